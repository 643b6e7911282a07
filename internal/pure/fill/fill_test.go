package fill

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A value that was fetched while its key was written is older than that, and not stored.
func TestNoStoreOverAWrite(t *testing.T) {
	words := func(w ...string) (out [][]byte) {
		for _, x := range w {
			out = append(out, []byte(x))
		}
		return out
	}
	for name, c := range map[string]struct {
		during func(*Table)
		kept   bool
	}{
		"nothing":             {func(*Table) {}, true},
		"a write of the key":  {func(tb *Table) { tb.Wrote("k", nil) }, false},
		"a write of another":  {func(tb *Table) { tb.Wrote("other", nil) }, true},
		"a read of the key":   {func(tb *Table) { tb.Arrived("k") }, true},
		"its second key":      {func(tb *Table) { tb.Wrote("a", words("DEL", "a", "k")) }, false},
		"a read that is over": {func(tb *Table) { tb.Over(tb.Arrived("k")) }, true},
	} {
		tb := New()
		r := tb.Arrived("k")
		if c.during(tb); tb.Fetched(r) != c.kept {
			t.Errorf("%s: %v", name, !c.kept)
		}
	}
	tb := New()
	tb.Wrote("k", nil)
	if r := tb.Arrived("k"); !tb.Fetched(r) { // after the write came: what is fetched now is as new
		t.Error("a write of before the read keeps its value from being stored")
	}
	if tb.Fetched(99) {
		t.Error("a value for a read that is not open is stored")
	}
}

func TestStoresAreBounded(t *testing.T) {
	tb := New()
	out, last := 0, ""
	for i := range 2 * maxOut {
		r := tb.Arrived(fmt.Sprint(i))
		if tb.Fetched(r) {
			id, q := tb.Store([]uint32{7})
			if id == last || !q.Stores || !q.Write || q.Class != Class().Name || len(q.Owners) != 1 {
				t.Fatalf("%q after %q: %+v", id, last, q)
			}
			last = id
			tb.Out()
			out++
		}
		tb.Over(r)
	}
	if out != maxOut {
		t.Errorf("%d under way", out)
	}
	for range out {
		tb.Done()
	}
	if r, k, o := tb.Size(); r+k+o != 0 {
		t.Errorf("%d reads, %d keys, %d stores are left", r, k, o)
	}
}

// Whatever comes in whatever order: nothing is left when all is over, and no value is stored that a write has overtaken.
func TestHistories(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tb := New()
		type open struct {
			r     Read
			key   string
			stale bool
		}
		var reads []*open
		for range 300 {
			k := fmt.Sprint(rng.IntN(4))
			switch i := rng.IntN(10); {
			case i < 4:
				reads = append(reads, &open{r: tb.Arrived(k), key: k})
			case i < 6:
				tb.Wrote(k, nil)
				for _, o := range reads {
					o.stale = o.stale || o.key == k
				}
			case len(reads) > 0:
				at := rng.IntN(len(reads))
				o := reads[at]
				if got := tb.Fetched(o.r); got == o.stale {
					t.Fatalf("seed %d: stale %v, stored %v", seed, o.stale, got)
				}
				tb.Over(o.r)
				reads = append(reads[:at], reads[at+1:]...)
			}
		}
		for _, o := range reads {
			tb.Over(o.r)
		}
		if r, k, o := tb.Size(); r+k+o != 0 {
			t.Fatalf("seed %d: %d reads, %d keys, %d stores are left", seed, r, k, o)
		}
	}
}
