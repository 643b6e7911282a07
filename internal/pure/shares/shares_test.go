package shares

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Parties take all they can get, in any order: the next one to come finds something. Once those over their part have given back, all
// hold alike, and as much is free as the rule promises.
func TestGreedyPartiesLeaveCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(10, 2000).Draw(rt, "total")
		multiple := rapid.Float64Range(1, 16).Draw(rt, "multiple")
		k := rapid.IntRange(1, 6).Draw(rt, "parties")
		p := New(total, multiple)
		name := func(i int) string { return string(rune('a' + i)) }
		first := rapid.IntRange(0, k-1).Draw(rt, "first")
		for p.Take(name(first), 1, 0) {
		}
		if free := total - p.Used(); free > 1 && !p.CanTake("new", 1, 0) {
			rt.Fatalf("nothing for a new one, of %d free", free)
		}
		for range 4 * total {
			for i := range k {
				if !p.Take(name(i), 1, 0) && p.OverLimit(name(i), 0) {
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
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := New(100, 2)
		have := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			party, n := rapid.SampledFrom([]string{"a", "b", ""}).Draw(rt, "who"), rapid.Int64Range(-40, 40).Draw(rt, "n")
			most := rapid.Int64Range(0, 30).Draw(rt, "most")
			fits := p.CanTake(party, n, most)
			switch {
			case rapid.Bool().Draw(rt, "add"):
				p.Add(party, n)
				have[party] = max(0, have[party]+n)
			case p.Take(party, n, most) != fits:
				rt.Fatal("Take and Fits differ")
			case fits:
				have[party] = max(0, have[party]+n)
			}
			sum, some := int64(0), 0
			for w, h := range have {
				if sum += h; h > 0 {
					some++
				}
				if p.Held(w) != h || p.OverLimit(w, 1<<40) != (h > 0 && float64(h) > 2*float64(p.Total()-p.Used())) || p.OverLimit(w, 5) && h <= 5 && float64(h) <= 2*float64(p.Total()-p.Used()) {
					rt.Fatalf("%q holds %d, not %d", w, p.Held(w), h)
				}
			}
			if p.Used() != sum || p.Parties() != some {
				rt.Fatalf("%d used by %d, not %d by %d", p.Used(), p.Parties(), sum, some)
			}
		}
	})
}

// Who gives way: strangers ahead of those that are known; a known party to itself, and to others only while it holds more than its part and
// more than they; of several the one that weighs most. A flood, of strangers or of a tenant, drives out nobody who holds little.
func TestChooseVictim(t *testing.T) {
	held := map[string]int64{"flood": 60, "big": 30, "small": 4, Unidentified: 6}
	made := func(without ...string) (*Pool, []string) {
		p := New(100, 8)
		var idle []string
		for party, n := range held {
			if !slices.Contains(without, party) {
				p.Add(party, n)
				idle = append(idle, party)
			}
		}
		return p, idle
	}
	for name, x := range map[string]struct {
		to      string
		without []string
		idle    []string // nil = all
		want    string
		ok      bool
	}{
		"a stranger, and the heaviest gives way":          {to: Unidentified, want: "flood", ok: true},
		"strangers weigh eight times":                     {to: Unidentified, without: []string{"flood"}, want: Unidentified, ok: true},
		"the small one is spared":                         {to: Unidentified, idle: []string{"small"}},
		"a small one to itself":                           {to: "small", idle: []string{"small"}, want: "small", ok: true},
		"a flood drives out nobody":                       {to: "flood", idle: []string{"big", "small"}},
		"but has its own":                                 {to: "flood", idle: []string{"flood", "big"}, want: "flood", ok: true},
		"a new one takes from who has most":               {to: "new", idle: []string{"big", "flood", "small"}, want: "flood", ok: true},
		"and from the next where that one is never idle":  {to: "new", idle: []string{"big", "small"}, want: "big", ok: true},
		"nobody is idle":                                  {to: "new", idle: []string{}},
		"a bigger one does not take from a smaller, over": {to: "flood", idle: []string{"big"}},
	} {
		p, idle := made(x.without...)
		if x.idle != nil {
			idle = x.idle
		}
		if party, ok := p.ChooseVictim(x.to, idle); party != x.want || ok != x.ok {
			t.Errorf("%s: %q %v", name, party, ok)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		p := New(200, 8)
		names := []string{Unidentified, "a", "b", "c", "d"}
		for _, n := range names {
			p.Add(n, rapid.Int64Range(0, 60).Draw(rt, n))
		}
		idle := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID[string]).Draw(rt, "idle")
		to := rapid.SampledFrom(append(names, "new")).Draw(rt, "to")
		party, ok := p.ChooseVictim(to, idle)
		turned := slices.Clone(idle)
		slices.Reverse(turned)
		if again, _ := p.ChooseVictim(to, turned); again != party {
			rt.Fatalf("%q, and %q in another order", party, again)
		}
		if ok && (!slices.Contains(idle, party) || p.Held(party) == 0) {
			rt.Fatalf("%q has nothing to give", party)
		}
		if ok && party != Unidentified && party != to && (p.Held(party)*int64(p.Parties()) <= p.Total() || to != Unidentified && p.Held(party) <= p.Held(to)) {
			rt.Fatalf("%q holds %d and gives way to %q", party, p.Held(party), to)
		}
	})
}
