package tenant

import (
	"strings"
	"testing"
)

func TestNames(t *testing.T) {
	for _, good := range []string{"a", "rades-terminal", "0", strings.Repeat("x", MaxNameBytes)} {
		if err := CheckName(good); err != nil {
			t.Errorf("%q: %v", good, err)
		}
	}
	for bad, want := range map[string]string{
		"":                                  "name: 0 bytes: 1 to 32",
		strings.Repeat("x", MaxNameBytes+1): "name: 33 bytes",
		"-a":                                `name: "-" at byte 0`,
		"a-":                                `name: "-" at byte 1`,
		"a.1":                               `name: "." at byte 1`,
		"a:":                                `name: ":" at byte 1`,
		"A":                                 `name: "A" at byte 0`,
		"\u00e9":                            "at byte 0",
	} {
		if err := CheckName(bad); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// A key that tries to climb out of its space stays in it.
func TestKeyCannotEscapeKeyspace(t *testing.T) {
	mine, err := NewKeyspace("mine", 3)
	if err != nil {
		t.Fatal(err)
	}
	other, _ := NewKeyspace("other", 1)
	later, _ := NewKeyspace("mine", 4)
	longer, _ := NewKeyspace("mine", 3*36+3)
	for _, key := range []string{"../other.1:k", "other.1:k", ":", ".", "mine.3:", "mine.4:k", "\x00", "\r\nmd other.1:k", "{other.1:}", " k", "k\xff"} {
		at, err := mine.ServerKey(key, 250)
		if err != nil {
			t.Fatalf("%q: %v", key, err)
		}
		if own, ok := mine.TenantKey(at); !ok || own != key {
			t.Errorf("%q comes back as %q", key, own)
		}
		for _, s := range []Keyspace{other, later, longer, {}} {
			if k, ok := s.TenantKey(at); ok {
				t.Errorf("%q is %q in another space", key, k)
			}
		}
	}
}

func TestLengthOfKeys(t *testing.T) {
	s, _ := NewKeyspace(strings.Repeat("n", MaxNameBytes), 1<<32-1)
	if len(s.prefix) != MaxPrefixBytes {
		t.Errorf("a prefix of %d bytes", len(s.prefix))
	}
	if _, err := s.ServerKey(strings.Repeat("k", 250-MaxPrefixBytes), 250); err != nil {
		t.Error(err)
	}
	if _, err := s.ServerKey(strings.Repeat("k", 251-MaxPrefixBytes), 250); err == nil || err.Error() != "key: 210 bytes: 1 to 209 are right" {
		t.Errorf("one too long: %v", err)
	}
	if _, err := s.ServerKey("", 250); err == nil {
		t.Error("no key")
	}
}

// Two tenants' keys are the same on the servers only where all of it is the same.
func FuzzKeyspaces(f *testing.F) {
	f.Add("a", uint32(1), "k", "a", uint32(11), "k")
	f.Add("a", uint32(1), "b.1:k", "b", uint32(1), "k")
	f.Add("a", uint32(0), ":", "a", uint32(0), "::")
	f.Fuzz(func(t *testing.T, n1 string, g1 uint32, k1, n2 string, g2 uint32, k2 string) {
		s1, err1 := NewKeyspace(n1, g1)
		s2, err2 := NewKeyspace(n2, g2)
		if err1 != nil || err2 != nil {
			return
		}
		a, err1 := s1.ServerKey(k1, 1<<16)
		z, err2 := s2.ServerKey(k2, 1<<16)
		if err1 != nil || err2 != nil {
			return
		}
		if (a == z) != (n1 == n2 && g1 == g2 && k1 == k2) {
			t.Fatalf("%q", a)
		}
		if _, ok := s2.TenantKey(a); ok != (n1 == n2 && g1 == g2) {
			t.Fatalf("%q in the space of %q, %d: %v", a, n2, g2, ok)
		}
	})
}
