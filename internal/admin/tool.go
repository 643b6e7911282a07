package admin

import (
	"errors"
	"fmt"
	"io"
	"time"

	"mossproxy.example/mossproxy/internal/store"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// withTokens calls do with the tokens of the store in dir.
func withTokens(dir string, do func(*Tokens) error) error {
	if dir == "" {
		return errors.New("--state: missing; it names the folder of the store")
	}
	if err := fsys.Dir(dir).MkdirAll(); err != nil {
		return fmt.Errorf("--state: %w", err)
	}
	s, err := store.Open(fsys.Dir(dir), store.Options{Owner: "cottonyoke admin"})
	if err != nil {
		return err
	}
	defer s.Close()
	return do(NewTokens(s))
}

// CreateToken creates a token in the store in dir and prints it; the token is not stored in readable form.
func CreateToken(out io.Writer, dir, id, right string) error {
	return withTokens(dir, func(t *Tokens) error {
		text, err := t.Create(id, right, time.Now())
		if err == nil {
			_, err = fmt.Fprintln(out, text)
		}
		return err
	})
}

// RevokeToken revokes a token of the store in dir.
func RevokeToken(dir, id string) error {
	return withTokens(dir, func(t *Tokens) error { return t.Revoke(id) })
}
