package tenant

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// MaxNameBytes is the longest name of a tenant, in bytes.
const MaxNameBytes = 32

// MaxPrefixBytes is how many bytes of a server's key are not the tenant's own: its name, its generation and two marks.
const MaxPrefixBytes = MaxNameBytes + 1 + 7 + 1

// Keyspace is the part of the servers' keys that belongs to one tenant, of one generation. No bytes of a key lead out of it: what
// stands ahead of a key has a mark at its end that neither names nor generations can hold, so none is the beginning of another's.
type Keyspace struct{ prefix string }

// CheckName says what is wrong with a tenant's name: 1 to MaxNameBytes of a to z, 0 to 9 and -, none of them - at an end.
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

// NewKeyspace is the space of a tenant. The generation tells it from earlier tenants of its name, whose keys may not be purged yet.
func NewKeyspace(name string, generation uint32) (Keyspace, error) {
	if err := CheckName(name); err != nil {
		return Keyspace{}, err
	}
	return Keyspace{name + "." + strconv.FormatUint(uint64(generation), 36) + ":"}, nil
}

// ServerKey is a tenant's key as the servers know it. most is the longest key that they take, in bytes; an error tells how long the
// tenant's may be.
func (s Keyspace) ServerKey(key string, most int) (string, error) {
	if key == "" || len(s.prefix)+len(key) > most {
		return "", fmt.Errorf("key: %d bytes: 1 to %d are right", len(key), max(0, most-len(s.prefix)))
	}
	return s.prefix + key, nil
}

// TenantKey is the tenant's key of a server's, or not ok where that is in another space.
func (s Keyspace) TenantKey(serverKey string) (key string, ok bool) {
	key, ok = strings.CutPrefix(serverKey, s.prefix)
	return key, ok && key != "" && s.prefix != ""
}

// ID is a name within the space, for what must differ between tenants though it is no key: ids of requests and idempotency keys.
// It is the same at every router, and most bytes long at most, which must be 32 or more: the name behind the space's beginning or,
// where that is too long, 32 hex digits: 128 bits of SHA-256, so that no tenant finds another's. Such digits begin no other's.
func (s Keyspace) ID(name string, most int) string {
	if len(s.prefix)+len(name) <= most {
		return s.prefix + name
	}
	sum := sha256.Sum256([]byte(s.prefix + name)) // the prefix has its end mark
	return hex.EncodeToString(sum[:16])
}

// CheckPath says whether a key may stand in the path of a URL behind a space: one with a segment of one or two dots would lead out of it
// at an origin that resolves them (RFC 3986, 5.2.4).
func CheckPath(key string) error {
	for part := range strings.SplitSeq(key, "/") {
		if part == "." || part == ".." {
			return fmt.Errorf("key: no part between slashes may be %s", part)
		}
	}
	return nil
}

// SlotKey is a tenant's key as the servers of a cluster of slots know it: as Key, with a hash tag ahead that gives it the slot that
// the tenant's own key has, as its clients count. tag is that tag, without braces.
func (s Keyspace) SlotKey(key, tag string, most int) (string, error) {
	prefix := s.prefix[:max(0, len(s.prefix)-1)]
	n := len(s.prefix) + len(tag) + 2
	if prefix == "" || n+len(key) > most {
		return "", fmt.Errorf("key: %d bytes: 0 to %d are right", len(key), max(0, most-n))
	}
	return prefix + "{" + tag + "}:" + key, nil
}
