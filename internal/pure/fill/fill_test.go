package fill

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// A value fetched while its key was written is stale and not stored.
func TestNoStoreOverAWrite(t *testing.T) {
	args := func(arg ...string) (out [][]byte) {
		for _, x := range arg {
			out = append(out, []byte(x))
		}
		return out
	}
	for name, c := range map[string]struct {
		during func(*Table)
		kept   bool
	}{
		"nothing":            {func(*Table) {}, true},
		"a write of the key": {func(tb *Table) { tb.RecordWrite("k", nil) }, false},
		"a write of another": {func(tb *Table) { tb.RecordWrite("other", nil) }, true},
		"a read of the key":  {func(tb *Table) { tb.ReadStarted("k") }, true},
		"its second key":     {func(tb *Table) { tb.RecordWrite("a", args("DEL", "a", "k")) }, false},
		"a finished read":    {func(tb *Table) { tb.ReadFinished(tb.ReadStarted("k")) }, true},
	} {
		tb := New()
		r := tb.ReadStarted("k")
		if c.during(tb); tb.CanStore(r) != c.kept {
			t.Errorf("%s: %v", name, !c.kept)
		}
	}
	tb := New()
	tb.RecordWrite("k", nil)
	if r := tb.ReadStarted("k"); !tb.CanStore(r) { // the write came first, so a value fetched now is as new
		t.Error("a write before the read prevents the store")
	}
	if tb.CanStore(99) {
		t.Error("a value for an unknown read is stored")
	}
}

func TestStoresAreBounded(t *testing.T) {
	tb := New()
	out, last := 0, ""
	for i := range 2 * maxStoresInFlight {
		r := tb.ReadStarted(fmt.Sprint(i))
		if tb.CanStore(r) {
			id, q := tb.NewStore([]uint32{7})
			if id == last || !q.Stores || !q.Write || q.Class != Class().Name || len(q.Owners) != 1 {
				t.Fatalf("%q after %q: %+v", id, last, q)
			}
			last = id
			tb.StoreStarted()
			out++
		}
		tb.ReadFinished(r)
	}
	if out != maxStoresInFlight {
		t.Errorf("%d stores in flight", out)
	}
	for range out {
		tb.StoreFinished()
	}
	if r, k, o := tb.Size(); r+k+o != 0 {
		t.Errorf("%d reads, %d keys, %d stores are left", r, k, o)
	}
}

// After any history nothing is left once all reads have finished, and no value that a write has overtaken
// is stored.
func TestHistories(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tb := New()
		type open struct {
			r     ReadID
			key   string
			stale bool
		}
		var reads []*open
		for range 300 {
			k := fmt.Sprint(rng.IntN(4))
			switch i := rng.IntN(10); {
			case i < 4:
				reads = append(reads, &open{r: tb.ReadStarted(k), key: k})
			case i < 6:
				tb.RecordWrite(k, nil)
				for _, o := range reads {
					o.stale = o.stale || o.key == k
				}
			case len(reads) > 0:
				at := rng.IntN(len(reads))
				o := reads[at]
				if got := tb.CanStore(o.r); got == o.stale {
					t.Fatalf("seed %d: stale %v, stored %v", seed, o.stale, got)
				}
				tb.ReadFinished(o.r)
				reads = append(reads[:at], reads[at+1:]...)
			}
		}
		for _, o := range reads {
			tb.ReadFinished(o.r)
		}
		if r, k, o := tb.Size(); r+k+o != 0 {
			t.Fatalf("seed %d: %d reads, %d keys, %d stores are left", seed, r, k, o)
		}
	}
}
