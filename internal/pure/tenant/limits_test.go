package tenant

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// member is one tenant of a day: how much it asks at a time.
type member struct {
	limits Limits
	rate   func(ms float64) float64 // requests a second
	cost   float64                  // of each; 0 = 1
}

// day plays some seconds and counts standings, by member. Requests come as by chance, and stay 20 ms.
func day(t testing.TB, b *Book, seconds float64, members ...member) (counts [][5]int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, uint64(len(members))))
	hs := make([]Handle, len(members))
	for i, m := range members {
		h, err := b.Create(0, m.limits)
		if err != nil {
			t.Fatal(err)
		}
		hs[i] = h
	}
	counts = make([][5]int, len(members))
	type end struct {
		at float64
		i  int
	}
	var ends []end
	for ms := 0.0; ms < seconds*1000; ms += 0.25 {
		for len(ends) > 0 && ends[0].at <= ms {
			b.Done(hs[ends[0].i], 0, 10)
			ends = ends[1:]
		}
		for i, m := range members {
			if rng.Float64() >= m.rate(ms)/4000 {
				continue
			}
			v, err := b.Arrive(ms, hs[i], 0, max(1, m.cost), 10)
			if err != nil {
				t.Fatal(err)
			}
			if counts[i][v.Standing]++; v.Standing < Beyond {
				ends = append(ends, end{ms + 20, i})
			}
		}
	}
	return counts
}

func steady(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// always says that a member's requests stood within its floor, but for so many in a thousand.
func always(t *testing.T, who string, c [5]int, perMille int) {
	t.Helper()
	all := c[Within] + c[Borrowed] + c[Over] + c[Beyond] + c[Suspended]
	if all == 0 || (all-c[Within])*1000 > perMille*all {
		t.Errorf("%s: %v", who, c)
	}
}

// One at ten times its floor, three at once, and one that alternates each second: the others stand within, always.
func TestFloodLeavesTheFloorsOfOthers(t *testing.T) {
	calm := member{Limits{Floor: 100}, steady(80), 0}
	flood := member{Limits{Floor: 100}, steady(1000), 0}
	turns := member{Limits{Floor: 100}, func(ms float64) float64 {
		if int(ms/1000)%2 == 0 {
			return 1000
		}
		return 0
	}, 0}
	dear := member{Limits{Floor: 100}, steady(200), 10}
	for name, members := range map[string][]member{
		"one":        {calm, calm, calm, flood},
		"three":      {calm, flood, flood, flood},
		"alternates": {calm, calm, calm, turns},
		"dear class": {calm, calm, calm, dear},
	} {
		t.Run(name, func(t *testing.T) {
			counts := day(t, NewBook(400), 20, members...)
			for i, c := range counts {
				if members[i].rate(0) == 80 {
					always(t, fmt.Sprint("member ", i), c, 5)
					continue
				}
				if c[Over] == 0 {
					t.Errorf("flood %d is never over: %v", i, c)
				}
			}
		})
	}
}

// What others leave is borrowed nearly whole, and no more than that; by weight where several want it.
func TestBorrowing(t *testing.T) {
	idle := member{Limits{Floor: 100}, steady(0), 0}
	flood := func(weight float64) member { return member{Limits{Floor: 100, Weight: weight}, steady(2000), 0} }
	one := day(t, NewBook(0), 20, idle, idle, idle, flood(0))[3]
	if n := float64(one[Borrowed]) / 20; n < 290 || n > 310 {
		t.Errorf("%v a second borrowed of 300: %v", n, one)
	}
	two := day(t, NewBook(0), 20, idle, idle, flood(1), flood(3))
	a, z := float64(two[2][Borrowed]), float64(two[3][Borrowed])
	if a+z < 20*190 || a+z > 20*210 || z < 2.7*a || z > 3.3*a {
		t.Errorf("%v and %v borrowed of 4000", a, z)
	}
	// One that asks for little of its part leaves the rest of it to the other.
	little := member{Limits{Floor: 100, Weight: 3}, steady(120), 0}
	two = day(t, NewBook(0), 20, idle, idle, flood(1), little)
	if n := float64(two[2][Borrowed]) / 20; n < 165 || n > 200 {
		t.Errorf("%v a second borrowed of 180", n)
	}
	always(t, "who asks for 20 over its floor", [5]int{Within: two[3][Within] + two[3][Borrowed], Over: two[3][Over]}, 30)
}

// Each router of a tier that shares nothing holds to its part.
func TestPartOfATier(t *testing.T) {
	all := 0
	for range 4 {
		b := NewBook(0)
		b.Portion(0, 0.25)
		c := day(t, b, 20, member{Limits{Floor: 400}, steady(1000), 0})[0]
		all += c[Within] + c[Borrowed]
	}
	if n := float64(all) / 20; n < 390 || n > 430 { // and a second of burst
		t.Errorf("%v a second of 400", n)
	}
}

// Hard limits: each by itself, with the time after which it is worth to come back.
func TestHardLimits(t *testing.T) {
	for name, c := range map[string]struct {
		limits Limits
		class  int
		want   Limit
		taken  int
		again  bool
	}{
		"rate":       {Limits{Most: 5}, 0, Rate, 5, true},
		"open":       {Limits{Open: 3}, 0, Open, 3, false},
		"bytes":      {Limits{Bytes: 45}, 0, Bytes, 4, false},
		"class rate": {Limits{Classes: []ClassLimits{{}, {Most: 2}}}, 1, ClassRate, 2, true},
		"class open": {Limits{Classes: []ClassLimits{{}, {Open: 2}}}, 1, ClassOpen, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBook(1000)
			h, err := b.Create(0, c.limits)
			if err != nil {
				t.Fatal(err)
			}
			for i := range c.taken {
				if v, _ := b.Arrive(0, h, c.class, 1, 10); v.Standing >= Beyond {
					t.Fatalf("request %d: %+v", i, v)
				}
			}
			v, _ := b.Arrive(0, h, c.class, 1, 10)
			if v.Standing != Beyond || v.Limit != c.want || (v.Again > 0) != c.again {
				t.Fatalf("%+v", v)
			}
			if u, _ := b.Use(h); u.Open != c.taken || u.Bytes != int64(10*c.taken) {
				t.Errorf("%+v in hand: what is beyond is not booked", u)
			}
			now := v.Again
			if !c.again {
				b.Done(h, c.class, 10)
			}
			if v, _ := b.Arrive(now, h, c.class, 1, 10); v.Standing >= Beyond {
				t.Errorf("after %v ms: %+v", now, v)
			}
		})
	}
}

// A limit that is lowered below what is in hand ends nothing, and lets nothing new in until that has gone.
func TestLimitLoweredBelowWhatIsInHand(t *testing.T) {
	b := NewBook(1000)
	h, _ := b.Create(0, Limits{Floor: 100, Open: 10, Classes: []ClassLimits{{Open: 10}}})
	for range 8 {
		b.Arrive(0, h, 0, 1, 1)
	}
	if err := b.Set(1, h, Limits{Floor: 100, Open: 3}); err != nil {
		t.Fatal(err)
	}
	for left := 8; left >= 3; left-- {
		if v, _ := b.Arrive(2, h, 0, 1, 1); v.Limit != Open {
			t.Fatalf("with %d in hand: %+v", left, v)
		}
		b.Done(h, 0, 1)
	}
	if v, _ := b.Arrive(3, h, 0, 1, 1); v.Standing != Within {
		t.Errorf("with 2 in hand: %+v", v)
	}
	if err := b.Set(4, h, Limits{Floor: 100, Classes: []ClassLimits{{Open: 4}}}); err != nil { // what was in hand still counts
		t.Fatal(err)
	}
	b.Arrive(5, h, 0, 1, 1)
	if v, _ := b.Arrive(5, h, 0, 1, 1); v.Limit != ClassOpen {
		t.Errorf("with 4 of the class in hand: %+v", v)
	}
}

// A tenant that is created again, by whatever name, meets nothing of the one before.
func TestGenerations(t *testing.T) {
	b := NewBook(0)
	old, _ := b.Create(0, Limits{Floor: 10, Open: 1})
	b.Arrive(0, old, 0, 1, 5)
	if err := b.Delete(1, old); err != nil {
		t.Fatal(err)
	}
	again, _ := b.Create(1, Limits{Floor: 10, Open: 1})
	if old == again {
		t.Fatal("the same handle")
	}
	b.Done(old, 0, 5) // the end of what was in flight
	if u, err := b.Use(again); err != nil || u != (Use{}) {
		t.Errorf("%+v, %v", u, err)
	}
	for what, err := range map[string]error{"set": b.Set(2, old, Limits{}), "delete": b.Delete(2, old), "suspend": b.Suspend(old, true)} {
		if !errors.Is(err, ErrGone) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if v, err := b.Arrive(2, old, 0, 1, 1); !errors.Is(err, ErrGone) || v.Standing != Suspended {
		t.Errorf("%+v, %v", v, err)
	}
	if v, _ := b.Arrive(2, again, 0, 1, 1); v.Standing != Within {
		t.Errorf("%+v", v)
	}
	if err := b.Suspend(again, true); err != nil {
		t.Fatal(err)
	}
	if v, _ := b.Arrive(3, again, 0, 1, 1); v.Standing != Suspended {
		t.Errorf("%+v", v)
	}
}

func TestCheck(t *testing.T) {
	for want, l := range map[string]Limits{
		"floor: -1":             {Floor: -1},
		"weight: NaN":           {Weight: math.NaN()},
		"most: 1: not below":    {Most: 1, Floor: 2},
		"burst: 61: 60 seconds": {Burst: 61},
		"open: -1":              {Open: -1},
		"bytes: -5":             {Bytes: -5},
		"classes[1]: -1, 0":     {Classes: []ClassLimits{{}, {Most: -1}}},
		"classes: 65: 64":       {Classes: make([]ClassLimits, 65)},
	} {
		if err := l.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v", want, err)
		}
	}
}

// Whatever comes in whatever order: nobody gets more than there is, who asks for no more than its floor is within it, and the
// books balance.
func TestWhateverComes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]float64{0, 50, 500}).Draw(t, "capacity")
		b := NewBook(capacity)
		portion := rapid.SampledFrom([]float64{1, 0.5, 0.01}).Draw(t, "portion")
		b.Portion(0, portion)
		type live struct {
			h     Handle
			l     Limits
			open  int
			bytes int64
		}
		var all []live
		now, floors, got := 0.0, 0.0, 0.0
		for range rapid.IntRange(1, 6).Draw(t, "tenants") {
			l := Limits{Floor: rapid.SampledFrom([]float64{0, 1, 20, 100}).Draw(t, "floor"), Weight: rapid.SampledFrom([]float64{0, 1, 5}).Draw(t, "weight")}
			h, err := b.Create(0, l)
			if err != nil {
				t.Fatal(err)
			}
			all, floors = append(all, live{h: h, l: l}), floors+l.Floor
		}
		n := len(all)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0.1, 3, 400}).Draw(t, "ms")
			x := &all[rapid.IntRange(0, n-1).Draw(t, "who")]
			if x.open > 0 && rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				b.Done(x.h, 0, 7)
				x.open, x.bytes = x.open-1, x.bytes-7
			} else {
				v, err := b.Arrive(now, x.h, 0, 1, 7)
				if err != nil || v.Standing >= Beyond {
					t.Fatalf("%+v, %v", v, err)
				}
				x.open, x.bytes = x.open+1, x.bytes+7
				if v.Standing != Over {
					got++
				}
			}
			if u, _ := b.Use(x.h); u.Open != x.open || u.Bytes != x.bytes {
				t.Fatalf("%+v, not %d and %d", u, x.open, x.bytes)
			}
			if b.idle < -1e-6 || b.idle > floors+1e-6 {
				t.Fatalf("%v of %v idle", b.idle, floors)
			}
			for at, i := range b.filling {
				if int(b.tenants[i].heap) != at+1 || at > 0 && b.before(at, (at-1)/2) {
					t.Fatalf("the heap is out of order at %d", at)
				}
			}
		}
		rate := max(capacity, floors) * portion
		saved := rate*poolDepth + leastDepth
		for _, x := range all {
			saved += b.depth(x.l.Floor, 1)
		}
		if most := rate*now/1000 + saved + 1e-6; got > most {
			t.Fatalf("%v were within or borrowed in %v ms, %v at most", got, now, most)
		}
	})
}

// many is a book of 10,000 tenants, and handles of 50 that are active.
func many(tb testing.TB) (*Book, []Handle) {
	tb.Helper()
	b := NewBook(0)
	var active []Handle
	for i := range 10_000 {
		h, err := b.Create(0, Limits{Floor: 10, Open: 1000, Bytes: 1 << 20, Most: 100})
		if err != nil {
			tb.Fatal(err)
		}
		if i%200 == 0 {
			active = append(active, h)
		}
	}
	return b, active
}

func TestTenThousandTenants(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b, active := many(t)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := int64(after.HeapAlloc) - int64(before.HeapAlloc); n > 8<<20 {
		t.Errorf("%d bytes for 10,000 tenants", n)
	} else {
		t.Logf("%d bytes for 10,000 tenants", n)
	}
	now, i := 0.0, 0
	if n := testing.AllocsPerRun(5000, func() {
		now += 0.05
		i++
		h := active[i%len(active)]
		if v, err := b.Arrive(now, h, 0, 1, 100); err == nil && v.Standing < Beyond {
			b.Done(h, 0, 100)
		}
	}); n > 0 {
		t.Errorf("%v allocations for each request", n)
	}
}

// BenchmarkArrive is the cost of a request with 10,000 tenants of which 50 are active, at 20,000 requests a second.
func BenchmarkArrive(b *testing.B) {
	book, active := many(b)
	now, i := 0.0, 0
	b.ReportAllocs()
	for b.Loop() {
		now += 0.05
		i++
		h := active[i%len(active)]
		if v, _ := book.Arrive(now, h, 0, 1, 100); v.Standing < Beyond {
			book.Done(h, 0, 100)
		}
	}
}

// What turns out to cost more is charged to what it stood by: a tenant all of whose requests take four times what they were booked as gets a
// quarter of its floor, and of what it borrows; the floors of others are untouched, and a debt is repaid within the time that its burst takes.
func TestChargesAreRepaid(t *testing.T) {
	b := NewBook(300)
	dear, err1 := b.Create(0, Limits{Floor: 100})
	calm, err2 := b.Create(0, Limits{Floor: 100})
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	var counts [5]int
	out := 0
	for ms := 0.0; ms < 20e3; ms++ {
		v, err := b.Arrive(ms, dear, 0, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if counts[v.Standing]++; v.Standing < Over {
			b.Charge(ms, dear, v.Standing, 3)
		}
		b.Done(dear, 0, 0)
		if int(ms)%12 == 0 {
			if v, _ := b.Arrive(ms, calm, 0, 1, 0); v.Standing != Within {
				out++
			}
			b.Done(calm, 0, 0)
		}
	}
	within, borrowed := float64(counts[Within])/20, float64(counts[Borrowed])/20
	if within < 24 || within > 32 || borrowed < 20 || borrowed > 40 {
		t.Errorf("%v a second within, of 100, %v borrowed, of some 110: %v", within, borrowed, counts)
	}
	if out > 0 {
		t.Errorf("the other one is out of its floor %d times", out)
	}
	b.Charge(20e3, dear, Within, 1e9)
	b.Charge(20e3, dear, Over, 1e9) // nobody's to spend
	for _, x := range []struct {
		ms   float64
		want bool
	}{{20e3 + 900, false}, {20e3 + 1100, true}} { // a burst of one second, in debt by as much
		if v, _ := b.Arrive(x.ms, dear, 0, 1, 0); (v.Standing == Within) != x.want {
			t.Errorf("%v ms after the debt: %v", x.ms-20e3, v.Standing)
		}
	}
	if err := b.Delete(30e3, dear); err != nil {
		t.Fatal(err)
	}
	b.Charge(30e3, dear, Within, 5) // of one that is no more: nothing
	if v, _ := b.Arrive(30e3, calm, 0, 1, 0); v.Standing != Within {
		t.Errorf("after all that the other stands %v", v.Standing)
	}
}
