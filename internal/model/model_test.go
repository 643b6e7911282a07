package model

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"
)

// hasher is a history's hash, over every byte of it.
type hasher struct {
	h io.Writer
	n int
}

func (h *hasher) See(r Record) { fmt.Fprintf(h.h, "%v\n", r); h.n++ }

func play(t testing.TB, c Config, seen Observer) *Outcome {
	t.Helper()
	w, err := New(c, seen)
	if err != nil {
		t.Fatal(err)
	}
	return w.Run()
}

// hard is a day with faults of each kind.
func hard(seed uint64) Config {
	c := Default()
	c.Seed = seed
	c.Faults = []Fault{{Kind: Kill, At: 5e3, For: 10e3, Who: 1}, {Kind: Silence, At: 12e3, For: 13e3, Who: 4}, {Kind: Hang, At: 20e3, For: 6e3, Who: 2},
		{Kind: Slow, At: 25e3, For: 8e3, Who: 7}, {Kind: Drain, At: 30e3, For: 6e3, Who: 3}, {Kind: Cut, At: 36e3, For: 4e3, Who: 0, To: 1},
		{Kind: Restart, At: 42e3, For: 3e3, Who: 0}, {Kind: Stop, At: 48e3, For: 4e3}}
	return c
}

// Two runs of a seed differ in no byte of their history, whatever GOMAXPROCS is; another seed's is another.
func TestDeterminism(t *testing.T) {
	sum := func(seed uint64) string {
		h := fnv.New128a()
		x := &hasher{h: h}
		play(t, hard(seed), x)
		return fmt.Sprintf("%x of %d", h.Sum(nil), x.n)
	}
	first := sum(3)
	for _, procs := range []int{1, 4} {
		was := runtime.GOMAXPROCS(procs)
		again := sum(3)
		runtime.GOMAXPROCS(was)
		if again != first {
			t.Errorf("with %d processors: %s, not %s", procs, again, first)
		}
	}
	if other := sum(4); other == first {
		t.Error("another seed has the same history")
	}
}

// The module keeps the rules through days with faults of each kind, and serves what it can.
func TestRulesOverHardDays(t *testing.T) {
	for seed := range uint64(8) {
		c := hard(seed)
		if seed >= 6 { // clocks of routers that run apart: a start that the list tells lies in the future of one and long ago for another
			c.ClockApart, c.ClockDrift = 4000, 0.002
		}
		check := NewChecker(&c)
		out := play(t, c, check)
		check.End(1e9)
		for _, v := range check.Violations() {
			t.Errorf("seed %d: %v", seed, v)
		}
		t.Logf("seed %d: %d asked, worth %.3f, hits %.2f, %d fetches: %+v", seed, out.Asked, out.Worth, out.Hits, out.Fetches, out.ByClass)
		if out.Worth < 0.6 || out.Asked < 5000 {
			t.Errorf("seed %d: worth %.3f of %d", seed, out.Worth, out.Asked)
		}
	}
}

// Events come in the order of their times, and of those at the same time in the order in which they were set, however far ahead.
func TestOrderOfEvents(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	q := queue{}
	now, set, came := float64(epoch), 0, 0
	var last event
	for set < 20000 || len(q.of) > 0 {
		if set < 20000 && (len(q.of) == 0 || rng.IntN(2) == 0) {
			at := now
			switch rng.IntN(4) {
			case 0:
				at += 10 * rng.Float64()
			case 1:
				at += 3000 * rng.Float64()
			case 2:
				at += 60e3 * rng.Float64()
			}
			q.push(event{at: at})
			set++
			continue
		}
		e := q.pop()
		if came++; before(&e, &last) {
			t.Fatalf("event %d at %v after %d at %v", e.seq, e.at, last.seq, last.at)
		}
		last, now = e, e.at
	}
	if came != set {
		t.Errorf("%d of %d came", came, set)
	}
}
