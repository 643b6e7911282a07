package fill

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"mossproxy.example/mossproxy/internal/engine"
)

func table() *Table {
	return New(Config{Owners: func(k string) []uint32 {
		if k == "nobody's" {
			return nil
		}
		return []uint32{7}
	}, Command: func(k string, v []byte) [][]byte { return [][]byte{[]byte("SET"), []byte(k), v} }})
}

func read(key string) *engine.Request { return &engine.Request{Key: key} }

func write(key string, words ...string) *engine.Request {
	q := &engine.Request{Key: key, Write: true}
	for _, w := range words {
		q.Words = append(q.Words, []byte(w))
	}
	return q
}

// A value that was fetched while its key was written is older than that, and not stored.
func TestNoStoreOverAWrite(t *testing.T) {
	for name, c := range map[string]struct {
		during *engine.Request
		kept   bool
	}{
		"nothing":                  {nil, true},
		"a write of the key":       {write("k"), false},
		"a write of another":       {write("other"), true},
		"a read of the key":        {read("k"), true},
		"its second key":           {write("a", "DEL", "a", "k"), false},
		"a write of another front": {&engine.Request{Key: "k", Write: true, Value: []byte("v")}, false},
	} {
		tb := table()
		q := read("k")
		tb.Arrived(q)
		if c.during != nil {
			tb.Arrived(c.during)
		}
		if got := tb.Fetched(q, []byte("v")); (got != nil) != c.kept {
			t.Errorf("%s: %+v", name, got)
		}
	}
	tb := table()
	tb.Arrived(write("k"))
	q := read("k") // after the write came: what is fetched now is as new
	tb.Arrived(q)
	if tb.Fetched(q, []byte("v")) == nil {
		t.Error("a write of before the read keeps its value from being stored")
	}
}

func TestStoreIsAWriteOfTheOwners(t *testing.T) {
	tb := table()
	q := read("k")
	tb.Arrived(q)
	got := tb.Fetched(q, []byte("value"))
	if got == nil || !got.Stores || !got.Write || got.Class != Class().Name || len(got.Owners) != 1 || string(got.Words[2]) != "value" || got.Held != 6 {
		t.Errorf("%+v", got)
	}
	if again := tb.Fetched(q, []byte("value")); again.ID == got.ID {
		t.Error("two stores have one id")
	}
	if tb.Fetched(read("k"), nil) != nil {
		t.Error("a value for a read that is not open is stored")
	}
	n := read("nobody's")
	tb.Arrived(n)
	if tb.Fetched(n, nil) != nil {
		t.Error("a value of a key without an owner is stored")
	}
}

func TestStoresAreBounded(t *testing.T) {
	tb := table()
	var out []*engine.Request
	for i := range 2 * maxOut {
		q := read(fmt.Sprint(i))
		tb.Arrived(q)
		if s := tb.Fetched(q, nil); s != nil {
			tb.Arrived(s)
			out = append(out, s)
		}
		tb.Over(q)
	}
	if len(out) != maxOut {
		t.Errorf("%d under way", len(out))
	}
	for _, s := range out {
		tb.Over(s)
	}
	if r, k, o := tb.Size(); r+k+o != 0 {
		t.Errorf("%d reads, %d keys, %d stores are left", r, k, o)
	}
}

// Whatever comes in whatever order: nothing is left when all is over, and no value is stored that a write has overtaken.
func TestHistories(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tb := table()
		type open struct {
			q     *engine.Request
			stale bool
		}
		var reads []*open
		for range 300 {
			k := fmt.Sprint(rng.IntN(4))
			switch i := rng.IntN(10); {
			case i < 4:
				o := &open{q: read(k)}
				tb.Arrived(o.q)
				reads = append(reads, o)
			case i < 6:
				w := write(k)
				tb.Arrived(w)
				for _, o := range reads {
					o.stale = o.stale || o.q.Key == k
				}
				tb.Over(w)
			case len(reads) > 0:
				at := rng.IntN(len(reads))
				o := reads[at]
				if got := tb.Fetched(o.q, nil); (got == nil) != o.stale {
					t.Fatalf("seed %d: stale %v, stored %v", seed, o.stale, got != nil)
				}
				tb.Over(o.q)
				reads = append(reads[:at], reads[at+1:]...)
			}
		}
		for _, o := range reads {
			tb.Over(o.q)
		}
		if r, k, o := tb.Size(); r+k+o != 0 {
			t.Fatalf("seed %d: %d reads, %d keys, %d stores are left", seed, r, k, o)
		}
	}
}
