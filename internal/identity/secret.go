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

// Pepper is the key of the hashes of secrets. All routers of a tier and the commands that make secrets have the same; it stands in
// a file of its own, so that the book alone gives nobody anything to try secrets against.
type Pepper [32]byte

// ReadPepper reads a pepper file: 32 bytes in base64, as NewPepper writes them.
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

// NewPepper makes a pepper file that its owner alone may read. It changes no file that is there: secrets would be lost.
func NewPepper(path string) error {
	var b Pepper
	rand.Read(b[:]) //nolint:errcheck // crypto/rand ends the program where it can't
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
		os.Remove(path) //nolint:errcheck // half a pepper is none
		return fmt.Errorf("pepper: %w", err)
	}
	return nil
}

// NewSecret draws a secret of 256 bits. Secrets are always drawn, never chosen: only then is a quick hash as good as a slow one.
func NewSecret() string {
	var b [32]byte
	rand.Read(b[:]) //nolint:errcheck // as above
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// maxSecretBytes bounds what is hashed, in bytes.
const maxSecretBytes = 256

// Hash is what the book keeps of a key's secret: BLAKE3 keyed by the pepper over id and secret. An id holds no zero byte, so none
// runs into the secret.
func (p Pepper) Hash(id string, secret []byte) (out [32]byte) {
	h := newKeyedHasher([32]byte(p))
	h.WriteString(id)  //nolint:errcheck // never fails
	h.Write([]byte{0}) //nolint:errcheck // as above
	h.Write(secret)    //nolint:errcheck // as above
	h.Sum(out[:0])
	return out
}

// newKeyedHasher is BLAKE3 with a key, whose length is always right.
func newKeyedHasher(key [32]byte) *blake3.Hasher {
	h, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(err)
	}
	return h
}

// tokenHasher hashes tokens under a key that nobody outside the process has. A hasher takes 11 KiB, so they are used again.
type tokenHasher struct{ pool sync.Pool }

func newTokenHasher() *tokenHasher {
	var key [32]byte
	rand.Read(key[:]) //nolint:errcheck // crypto/rand ends the program where it can't
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
