package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// MaxNameBytes is the maximum length of a tenant name.
const MaxNameBytes = 32

// MaxPrefixBytes is the maximum length of the prefix that a Keyspace puts before a key: the name, the
// generation (7 base-36 digits) and two separators.
const MaxPrefixBytes = MaxNameBytes + 1 + 7 + 1

// Keyspace is the set of server keys that belong to one tenant of one generation. A tenant cannot address a
// key of another keyspace: every server key starts with a prefix whose final separator occurs in neither
// names nor generations, so no prefix is a prefix of another.
type Keyspace struct{ prefix string }

// CheckName returns an error if a tenant name is invalid: it must have 1 to MaxNameBytes bytes of a to z, 0
// to 9 and -, and neither start nor end with -.
func CheckName(name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fmt.Errorf("name: %d bytes: 1 to %d are right", len(name), MaxNameBytes)
	}
	for i, c := range []byte(name) {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' && i > 0 && i < len(name)-1) {
			return fmt.Errorf("name: %q at byte %d: a to z, 0 to 9 and, inside, - are right", name[i:i+1], i)
		}
	}
	return nil
}

// NewKeyspace returns the keyspace of a tenant. The generation separates it from earlier tenants of the
// same name, whose keys may not have been purged yet.
func NewKeyspace(name string, generation uint32) (Keyspace, error) {
	if err := CheckName(name); err != nil {
		return Keyspace{}, err
	}
	return Keyspace{name + "." + strconv.FormatUint(uint64(generation), 36) + ":"}, nil
}

// ServerKey returns the server key of a tenant's key. maxBytes is the longest key that the servers accept;
// the error states how long the tenant's key may be.
func (s Keyspace) ServerKey(key string, maxBytes int) (string, error) {
	if key == "" || len(s.prefix)+len(key) > maxBytes {
		return "", fmt.Errorf("key: %d bytes: 1 to %d are right", len(key), max(0, maxBytes-len(s.prefix)))
	}
	return s.prefix + key, nil
}

// TenantKey returns the tenant's key of a server key; ok is false if the server key belongs to another
// keyspace.
func (s Keyspace) TenantKey(serverKey string) (key string, ok bool) {
	key, ok = strings.CutPrefix(serverKey, s.prefix)
	return key, ok && key != "" && s.prefix != ""
}

// ID returns an identifier that is unique to the tenant, for names other than keys, such as request IDs and
// idempotency keys. It is the same at every router and has at most maxBytes bytes, which must be 32 or
// more: the prefix followed by the name or, if that is too long, the first 128 bits of its SHA-256 as 32
// hex digits, which no other tenant can reproduce. Those digits contain no separator, so they never equal a
// prefixed name.
func (s Keyspace) ID(name string, maxBytes int) string {
	if len(s.prefix)+len(name) <= maxBytes {
		return s.prefix + name
	}
	sum := sha256.Sum256([]byte(s.prefix + name)) // unambiguous, since the prefix ends in a separator
	return hex.EncodeToString(sum[:16])
}

// CheckPath returns an error if a key must not be used in a URL path after a keyspace prefix: an origin
// that resolves "." and ".." segments (RFC 3986, 5.2.4) would leave the keyspace.
func CheckPath(key string) error {
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "." || segment == ".." {
			return fmt.Errorf("key: no part between slashes may be %s", segment)
		}
	}
	return nil
}

// SlotKey returns the server key of a tenant's key in a cluster with slots. It is like ServerKey, with a
// hash tag before the key that maps it to the slot which clients compute from the tenant's own key. tag is
// that hash tag without braces.
func (s Keyspace) SlotKey(key, tag string, maxBytes int) (string, error) {
	prefix := s.prefix[:max(0, len(s.prefix)-1)]
	overhead := len(s.prefix) + len(tag) + 2
	if prefix == "" || overhead+len(key) > maxBytes {
		return "", fmt.Errorf("key: %d bytes: 0 to %d are right", len(key), max(0, maxBytes-overhead))
	}
	return prefix + "{" + tag + "}:" + key, nil
}
