package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/internal/store/fsys"
)

// The commands on a store that another one writes, and on one that is damaged.
func TestTools(t *testing.T) {
	dir := t.TempDir()
	s := open(t, fsys.Dir(dir), small)
	for _, k := range []string{"a", "b", "c"} {
		put(t, s, k, "of "+k)
	}
	var out bytes.Buffer
	if err := CheckTo(&out, dir); err != nil || out.String() != "no fault\n" {
		t.Errorf("check: %q, %v", out.String(), err)
	}
	out.Reset()
	var st Stats
	if err := StatsTo(&out, dir); err != nil || json.Unmarshal(out.Bytes(), &st) != nil || st.Keys != 3 || st.Version != 3 || st.ReadOnly != "" {
		t.Errorf("stats: %s, %v", out.String(), err)
	}
	file := filepath.Join(t.TempDir(), "backup.jsonl")
	if err := BackupTo(dir, file); err != nil {
		t.Fatal(err)
	}
	if err := CompactDir(t.Context(), &out, dir, false); err == nil || !strings.Contains(err.Error(), "is held by process") {
		t.Errorf("compact beside a writer: %v", err)
	}
	s.Close()
	out.Reset()
	if err := CompactDir(t.Context(), &out, dir, false); err != nil || !strings.Contains(out.String(), " before\n") {
		t.Errorf("compact: %q, %v", out.String(), err)
	}
	to := filepath.Join(t.TempDir(), "new", "store")
	out.Reset()
	if err := RestoreFrom(&out, nil, to, file); err != nil || out.String() != "3 keys\n" {
		t.Fatalf("restore: %q, %v", out.String(), err)
	}
	if err := RestoreFrom(&out, nil, to, file); err == nil || !strings.Contains(err.Error(), "has a store already") {
		t.Errorf("restore over a store: %v", err)
	}
	var one, other bytes.Buffer
	if err := DumpTo(&one, to); err != nil {
		t.Fatal(err)
	}
	to2 := filepath.Join(t.TempDir(), "s")
	if err := RestoreFrom(&out, strings.NewReader(one.String()[:one.Len()-5]), to2, "-"); err == nil {
		t.Error("a dump that was cut is restored")
	}
	if names, _ := fsys.Dir(to2).List(); hasSegments(names) {
		t.Error("half of a store is left")
	}
	if err := RestoreFrom(&out, bytes.NewReader(one.Bytes()), to2, "-"); err != nil {
		t.Fatal(err)
	}
	if err := DumpTo(&other, to2); err != nil || len(other.String()) < 100 {
		t.Errorf("%q, %v", other.String(), err)
	}

	name := filepath.Join(to, "0000000000000001.seg")
	b, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	b[headSize+frameHead+5] ^= 1
	if err := os.WriteFile(name, b, 0o600); err != nil {
		t.Fatal(err)
	}
	out.Reset()
	if err := CheckTo(&out, to); !errors.Is(err, ErrFaults) || !strings.HasPrefix(out.String(), "0000000000000001.seg: offset 48: ") {
		t.Errorf("check: %q, %v", out.String(), err)
	}
	if err := DumpTo(&out, to); !errors.Is(err, ErrDamaged) {
		t.Errorf("dump of a damaged store: %v", err)
	}
	if err := CompactDir(t.Context(), &out, to, true); err != nil {
		t.Fatal(err)
	}
	out.Reset()
	if err := CheckTo(&out, to); err != nil || out.String() != "no fault\n" {
		t.Errorf("check after that: %q, %v", out.String(), err)
	}
	if err := CheckTo(&out, t.TempDir()); err == nil || !strings.Contains(err.Error(), "there is no store") {
		t.Errorf("an empty folder: %v", err)
	}
}
