package shares

import (
	"testing"

	"pgregory.net/rapid"
)

// Parties take all they can get, in any order: the next one to come finds something. Once those over their part have given back, all
// hold alike, and as much is free as the rule promises.
func TestGreedyPartiesLeaveRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(10, 2000).Draw(rt, "total")
		multiple := rapid.Float64Range(1, 16).Draw(rt, "multiple")
		k := rapid.IntRange(1, 6).Draw(rt, "parties")
		p := New(total, multiple)
		name := func(i int) string { return string(rune('a' + i)) }
		first := rapid.IntRange(0, k-1).Draw(rt, "first")
		for p.Take(name(first), 1, 0) {
		}
		if free := total - p.Used(); free > 1 && !p.Fits("new", 1, 0) {
			rt.Fatalf("nothing for a new one, of %d free", free)
		}
		for range 4 * total {
			for i := range k {
				if !p.Take(name(i), 1, 0) && p.Over(name(i), 0) {
					p.Add(name(i), -1)
				}
			}
		}
		if free, least := float64(total-p.Used()), float64(total)/(1+float64(k)*multiple)-1; free < least {
			rt.Fatalf("%v of %v left by %d at %v: %v promised", free, total, k, multiple, least)
		}
		for i := range k {
			if a, b := p.Held(name(i)), p.Held(name(0)); float64(max(a-b, b-a)) > multiple+1 {
				rt.Fatalf("%d and %d held, at %v", a, b, multiple)
			}
		}
	})
}

// Whatever is taken, added and given back: the sum is that of the parties, nobody holds less than nothing, and who holds nothing leaves
// no record.
func TestBooks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := New(100, 2)
		have := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			who, n := rapid.SampledFrom([]string{"a", "b", ""}).Draw(rt, "who"), rapid.Int64Range(-40, 40).Draw(rt, "n")
			most := rapid.Int64Range(0, 30).Draw(rt, "most")
			fits := p.Fits(who, n, most)
			switch {
			case rapid.Bool().Draw(rt, "add"):
				p.Add(who, n)
				have[who] = max(0, have[who]+n)
			case p.Take(who, n, most) != fits:
				rt.Fatal("Take and Fits differ")
			case fits:
				have[who] = max(0, have[who]+n)
			}
			sum, some := int64(0), 0
			for w, h := range have {
				if sum += h; h > 0 {
					some++
				}
				if p.Held(w) != h || p.Over(w, 1<<40) != (h > 0 && float64(h) > 2*float64(p.Total()-p.Used())) || p.Over(w, 5) && h <= 5 && float64(h) <= 2*float64(p.Total()-p.Used()) {
					rt.Fatalf("%q holds %d, not %d", w, p.Held(w), h)
				}
			}
			if p.Used() != sum || p.Parties() != some {
				rt.Fatalf("%d used by %d, not %d by %d", p.Used(), p.Parties(), sum, some)
			}
		}
	})
}
