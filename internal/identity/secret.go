package identity

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/zeebo/blake3"
)

// Pepper is the key of the secret hashes. All routers of a tier and the commands that create secrets share
// it. It is stored in a file of its own, so that a leaked credentials store alone does not allow guessing
// secrets offline.
type Pepper [32]byte

// ReadPepper reads a pepper file: 32 bytes in base64, as written by NewPepper.
func ReadPepper(path string) (Pepper, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Pepper{}, fmt.Errorf("pepper: %w", err)
	}
	b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(b) != len(Pepper{}) {
		return Pepper{}, fmt.Errorf("pepper: %s: 32 bytes in base64 are right; cottonyoke key pepper FILE makes one", path)
	}
	return Pepper(b), nil
}

// NewPepper creates a pepper file that only its owner can read. It never overwrites an existing file, since
// that would invalidate all secrets.
func NewPepper(path string) error {
	var b Pepper
	rand.Read(b[:]) //nolint:errcheck // crypto/rand aborts the program on failure
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("pepper: %w", err)
	}
	if _, err = f.WriteString(base64.StdEncoding.EncodeToString(b[:]) + "\n"); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		os.Remove(path) //nolint:errcheck // best-effort removal of an incomplete file
		return fmt.Errorf("pepper: %w", err)
	}
	return nil
}

// NewSecret returns a random secret of 256 bits, base64url-encoded. Secrets are always random, never chosen
// by users, so a fast hash is as safe as a slow one.
func NewSecret() string {
	var b [32]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand aborts the program on failure
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// maxSecretBytes limits the input of Pepper.Hash.
const maxSecretBytes = 256

// Hash returns the hash of a secret that the credentials store keeps: BLAKE3 keyed by the pepper over id, a
// zero byte and secret. An id contains no zero byte, so the input is unambiguous.
func (p Pepper) Hash(id string, secret []byte) (out [32]byte) {
	h := newKeyedHasher([32]byte(p))
	h.WriteString(id)  //nolint:errcheck // never fails
	h.Write([]byte{0}) //nolint:errcheck // never fails
	h.Write(secret)    //nolint:errcheck // never fails
	h.Sum(out[:0])
	return out
}

// newKeyedHasher returns a BLAKE3 hasher with the key. NewKeyed fails only for keys of another length.
func newKeyedHasher(key [32]byte) *blake3.Hasher {
	h, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(err)
	}
	return h
}

// tokenHasher hashes tokens under a random key known only to this process. Hashers take 11 KiB each, so they
// are pooled.
type tokenHasher struct{ pool sync.Pool }

func newTokenHasher() *tokenHasher {
	var key [32]byte
	rand.Read(key[:]) //nolint:errcheck // crypto/rand aborts the program on failure
	return &tokenHasher{sync.Pool{New: func() any { return newKeyedHasher(key) }}}
}

func (t *tokenHasher) sum(text string) (out [32]byte) {
	h := t.pool.Get().(*blake3.Hasher)
	h.Reset()
	h.WriteString(text) //nolint:errcheck // never fails
	h.Sum(out[:0])
	t.pool.Put(h)
	return out
}
