package shares

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Parties take all they can, in any order, and the next one still finds some free. Once parties over their
// limit have released, all hold the same and the promised amount is free.
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
			rt.Fatalf("a new party cannot take any of %d free", free)
		}
		for range 4 * total {
			for i := range k {
				if !p.Take(name(i), 1, 0) && p.OverLimit(name(i), 0) {
					p.Add(name(i), -1)
				}
			}
		}
		if free, least := float64(total-p.Used()), float64(total)/(1+float64(k)*multiple)-1; free < least {
			rt.Fatalf("%v of %v free with %d parties at multiple %v, want at least %v", free, total, k, multiple, least)
		}
		for i := range k {
			if a, b := p.Held(name(i)), p.Held(name(0)); float64(max(a-b, b-a)) > multiple+1 {
				rt.Fatalf("unequal holdings %d and %d at multiple %v", a, b, multiple)
			}
		}
	})
}

// After any sequence of takes, adds and releases the total is the sum over the parties, no party holds less
// than 0, and a party that holds nothing has no record.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := New(100, 2)
		want := map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			party, n := rapid.SampledFrom([]string{"a", "b", ""}).Draw(rt, "who"), rapid.Int64Range(-40, 40).Draw(rt, "n")
			limit := rapid.Int64Range(0, 30).Draw(rt, "most")
			canTake := p.CanTake(party, n, limit)
			switch {
			case rapid.Bool().Draw(rt, "add"):
				p.Add(party, n)
				want[party] = max(0, want[party]+n)
			case p.Take(party, n, limit) != canTake:
				rt.Fatal("Take and CanTake differ")
			case canTake:
				want[party] = max(0, want[party]+n)
			}
			sum, holders := int64(0), 0
			for w, h := range want {
				if sum += h; h > 0 {
					holders++
				}
				if p.Held(w) != h || p.OverLimit(w, 1<<40) != (h > 0 && float64(h) > 2*float64(p.Total()-p.Used())) || p.OverLimit(w, 5) && h <= 5 && float64(h) <= 2*float64(p.Total()-p.Used()) {
					rt.Fatalf("%q holds %d, want %d", w, p.Held(w), h)
				}
			}
			if p.Used() != sum || p.Parties() != holders {
				rt.Fatalf("%d used by %d parties, want %d by %d", p.Used(), p.Parties(), sum, holders)
			}
		}
	})
}

// Unidentified clients are chosen first; an identified party for its own requests, and for others only if
// it holds more than its share and more than the requester; of several the one with the greatest weight. A
// flood, by unidentified clients or by a tenant, evicts no party that holds little.
func TestChooseVictim(t *testing.T) {
	held := map[string]int64{"flood": 60, "big": 30, "small": 4, Unidentified: 6}
	newPool := func(without ...string) (*Pool, []string) {
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
		idle    []string // nil means all parties
		want    string
		ok      bool
	}{
		"unidentified requester, heaviest is victim":  {to: Unidentified, want: "flood", ok: true},
		"unidentified clients weigh eight times":      {to: Unidentified, without: []string{"flood"}, want: Unidentified, ok: true},
		"a small party is spared":                     {to: Unidentified, idle: []string{"small"}},
		"a small party evicts itself":                 {to: "small", idle: []string{"small"}, want: "small", ok: true},
		"a flood evicts no smaller party":             {to: "flood", idle: []string{"big", "small"}},
		"a flood evicts itself":                       {to: "flood", idle: []string{"flood", "big"}, want: "flood", ok: true},
		"a new party takes from the largest":          {to: "new", idle: []string{"big", "flood", "small"}, want: "flood", ok: true},
		"from the next if that is not idle":           {to: "new", idle: []string{"big", "small"}, want: "big", ok: true},
		"no party is idle":                            {to: "new", idle: []string{}},
		"a larger party takes nothing from a smaller": {to: "flood", idle: []string{"big"}},
	} {
		p, idle := newPool(x.without...)
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
		reversed := slices.Clone(idle)
		slices.Reverse(reversed)
		if again, _ := p.ChooseVictim(to, reversed); again != party {
			rt.Fatalf("victim %q, and %q in another order", party, again)
		}
		if ok && (!slices.Contains(idle, party) || p.Held(party) == 0) {
			rt.Fatalf("victim %q has nothing to release", party)
		}
		if ok && party != Unidentified && party != to && (p.Held(party)*int64(p.Parties()) <= p.Total() || to != Unidentified && p.Held(party) <= p.Held(to)) {
			rt.Fatalf("%q holds %d and is a victim for %q", party, p.Held(party), to)
		}
	})
}
