package check

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/rights"
)

// readLimited reads at most one byte more than maxBytes, so that the parser detects files that are too large.
func readLimited(path string, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, nil
}

// checkCallers checks the files of the credentials store together, as a router does. A non-empty rightsFile
// replaces the configured one.
func checkCallers(out io.Writer, f *config.File, rightsFile string) bool {
	c := f.Callers
	if rightsFile != "" {
		c.Rights = rightsFile
	}
	var quarantined []error // a router would run without these items
	err := func() error {
		text, err := readLimited(c.Book, keybook.MaxFileBytes)
		if err != nil {
			return err
		}
		b, err := keybook.Parse(c.Book, text)
		if err != nil {
			return err
		}
		rules, err := readLimited(c.Rights, rights.MaxTextBytes)
		if err != nil {
			return err
		}
		var bundle []byte
		if c.Bundle != "" {
			if bundle, err = readLimited(c.Bundle, 1<<20); err != nil {
				return err
			}
		}
		contents, err := keybook.SourceConfig{CredentialsPath: c.Book, RightsPath: c.Rights, BundlePath: c.Bundle, Classes: f.Classes(), Pools: f.PoolNames(), Policy: c.Policy}.Contents(b, rules, bundle)
		if err != nil {
			return err
		}
		for _, item := range (keybook.Names{Classes: f.Classes(), Pools: f.PoolNames()}).Quarantine(b) {
			quarantined = append(quarantined, fmt.Errorf("%s: quarantined: %s", c.Book, item))
		}
		_, faults := caller.NewCredentialStore(contents)
		return errors.Join(append(quarantined, keybook.LocateFaults(c.Book, text, faults))...)
	}()
	if err != nil {
		fmt.Fprintln(out, err)
	}
	return err == nil
}

// Rights checks a rights file. With a configuration it also checks it against the configured classes and
// credentials store.
func Rights(out io.Writer, path, cfg string) (good bool, err error) {
	text, err := readLimited(path, rights.MaxTextBytes)
	if err != nil {
		return false, err
	}
	var classes []string
	var f *config.File
	if cfg != "" {
		if f, err = config.ReadFile(cfg); err != nil {
			return false, err
		}
		classes = f.Classes()
	}
	roles, faults := rights.Parse(path, string(text), classes)
	if faults != nil {
		fmt.Fprintln(out, faults)
		return false, nil
	}
	if f != nil && f.Callers != nil && !checkCallers(out, f, path) {
		return false, nil
	}
	rules := 0
	for _, r := range roles {
		rules += len(r.Rules())
	}
	fmt.Fprintf(out, "%s: good: %d role(s), %d rule(s)\n", path, len(roles), rules)
	return true, nil
}

// AccessQuery describes a request whose authorization is to be explained.
type AccessQuery struct {
	Roles      []string
	Class, Key string
	Write      bool
	At         time.Time // zero = now
}

// Explain prints which rule of a rights file decides the request; good reports whether it is allowed.
func Explain(out io.Writer, path string, q AccessQuery) (good bool, err error) {
	text, err := readLimited(path, rights.MaxTextBytes)
	if err != nil {
		return false, err
	}
	roles, faults := rights.Parse(path, string(text), nil)
	if faults != nil {
		fmt.Fprintln(out, faults)
		return false, nil
	}
	var selected []*caller.Rights
	for _, name := range q.Roles {
		r := roles[name]
		if r == nil {
			return false, fmt.Errorf("%s: %q is no role of it", path, name)
		}
		selected = append(selected, r)
	}
	if q.At.IsZero() {
		q.At = time.Now()
	}
	access := caller.Read
	if q.Write {
		access = caller.Write
	}
	r, now := caller.Join(selected...), float64(q.At.UnixMilli())
	rule, ok := r.Allows(now, q.Class, q.Key, access)
	lines := strings.Split(string(text), "\n")
	if rule < 0 {
		fmt.Fprintf(out, "denied: no rule of %s fits class %s, key %q, %s at %s UTC\n", strings.Join(q.Roles, ", "), q.Class, q.Key, accessVerb(access), q.At.UTC().Format("Mon 15:04"))
		return false, nil
	}
	deciding := r.Rules()[rule]
	verdict := "allowed"
	if !ok {
		verdict = "denied"
	}
	fmt.Fprintf(out, "%s by %s:%d:%d: %s\n", verdict, path, deciding.Line, deciding.Column, strings.TrimSpace(lines[deciding.Line-1]))
	if deciding.Rate > 0 {
		fmt.Fprintf(out, "up to %v requests a second of this caller over all routers\n", deciding.Rate)
	}
	return ok, nil
}

func accessVerb(a caller.Access) string {
	if a == caller.Write {
		return "write"
	}
	return "read"
}
