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

// simulatedTenant is one tenant of a day: how much it asks at a time.
type simulatedTenant struct {
	limits Limits
	rate   func(ms float64) float64 // requests a second
	cost   float64                  // of each; 0 = 1
}

// simulate plays some seconds and counts standings, by member. Requests come as by chance, and stay 20 ms.
func simulate(t testing.TB, b *Limiter, seconds float64, members ...simulatedTenant) (counts [][5]int) {
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
			b.Release(hs[ends[0].i], 0, 10)
			ends = ends[1:]
		}
		for i, m := range members {
			if rng.Float64() >= m.rate(ms)/4000 {
				continue
			}
			v, err := b.Acquire(ms, hs[i], 0, max(1, m.cost), 10)
			if err != nil {
				t.Fatal(err)
			}
			if counts[i][v.QuotaStatus]++; v.QuotaStatus < HardLimited {
				ends = append(ends, end{ms + 20, i})
			}
		}
	}
	return counts
}

func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// checkGuaranteed says that a member's requests stood within its floor, but for so many in a thousand.
func checkGuaranteed(t *testing.T, who string, c [5]int, perMille int) {
	t.Helper()
	all := c[Guaranteed] + c[Leased] + c[Exceeded] + c[HardLimited] + c[Suspended]
	if all == 0 || (all-c[Guaranteed])*1000 > perMille*all {
		t.Errorf("%s: %v", who, c)
	}
}

// One at ten times its floor, three at once, and one that alternates each second: the others stand within, always.
func TestFloodLeavesTheFloorsOfOthers(t *testing.T) {
	calm := simulatedTenant{Limits{Floor: 100}, constantRate(80), 0}
	flood := simulatedTenant{Limits{Floor: 100}, constantRate(1000), 0}
	turns := simulatedTenant{Limits{Floor: 100}, func(ms float64) float64 {
		if int(ms/1000)%2 == 0 {
			return 1000
		}
		return 0
	}, 0}
	dear := simulatedTenant{Limits{Floor: 100}, constantRate(200), 10}
	for name, members := range map[string][]simulatedTenant{
		"one":        {calm, calm, calm, flood},
		"three":      {calm, flood, flood, flood},
		"alternates": {calm, calm, calm, turns},
		"dear class": {calm, calm, calm, dear},
	} {
		t.Run(name, func(t *testing.T) {
			counts := simulate(t, NewLimiter(400), 20, members...)
			for i, c := range counts {
				if members[i].rate(0) == 80 {
					checkGuaranteed(t, fmt.Sprint("member ", i), c, 5)
					continue
				}
				if c[Exceeded] == 0 {
					t.Errorf("flood %d is never over: %v", i, c)
				}
			}
		})
	}
}

// What others leave is borrowed nearly whole, and no more than that; by weight where several want it.
func TestLeasing(t *testing.T) {
	idle := simulatedTenant{Limits{Floor: 100}, constantRate(0), 0}
	flood := func(weight float64) simulatedTenant {
		return simulatedTenant{Limits{Floor: 100, Weight: weight}, constantRate(2000), 0}
	}
	one := simulate(t, NewLimiter(0), 20, idle, idle, idle, flood(0))[3]
	if n := float64(one[Leased]) / 20; n < 290 || n > 310 {
		t.Errorf("%v a second borrowed of 300: %v", n, one)
	}
	two := simulate(t, NewLimiter(0), 20, idle, idle, flood(1), flood(3))
	a, z := float64(two[2][Leased]), float64(two[3][Leased])
	if a+z < 20*190 || a+z > 20*210 || z < 2.7*a || z > 3.3*a {
		t.Errorf("%v and %v borrowed of 4000", a, z)
	}
	// One that asks for little of its part leaves the rest of it to the other.
	little := simulatedTenant{Limits{Floor: 100, Weight: 3}, constantRate(120), 0}
	two = simulate(t, NewLimiter(0), 20, idle, idle, flood(1), little)
	if n := float64(two[2][Leased]) / 20; n < 165 || n > 200 {
		t.Errorf("%v a second borrowed of 180", n)
	}
	checkGuaranteed(t, "who asks for 20 over its floor", [5]int{Guaranteed: two[3][Guaranteed] + two[3][Leased], Exceeded: two[3][Exceeded]}, 30)
}

// Each router of a tier that shares nothing holds to its part.
func TestShareOfATier(t *testing.T) {
	all := 0
	for range 4 {
		b := NewLimiter(0)
		b.SetShare(0, 0.25)
		c := simulate(t, b, 20, simulatedTenant{Limits{Floor: 400}, constantRate(1000), 0})[0]
		all += c[Guaranteed] + c[Leased]
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
		want   LimitKind
		taken  int
		again  bool
	}{
		"rate":       {Limits{Most: 5}, 0, RateLimit, 5, true},
		"open":       {Limits{Open: 3}, 0, OpenLimit, 3, false},
		"bytes":      {Limits{Bytes: 45}, 0, BytesLimit, 4, false},
		"class rate": {Limits{Classes: []ClassLimits{{}, {Most: 2}}}, 1, ClassRateLimit, 2, true},
		"class open": {Limits{Classes: []ClassLimits{{}, {Open: 2}}}, 1, ClassOpenLimit, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewLimiter(1000)
			h, err := b.Create(0, c.limits)
			if err != nil {
				t.Fatal(err)
			}
			for i := range c.taken {
				if v, _ := b.Acquire(0, h, c.class, 1, 10); v.QuotaStatus >= HardLimited {
					t.Fatalf("request %d: %+v", i, v)
				}
			}
			v, _ := b.Acquire(0, h, c.class, 1, 10)
			if v.QuotaStatus != HardLimited || v.Limit != c.want || (v.RetryAfter > 0) != c.again {
				t.Fatalf("%+v", v)
			}
			if u, _ := b.InFlight(h); u.Open != c.taken || u.Bytes != int64(10*c.taken) {
				t.Errorf("%+v in hand: what is beyond is not booked", u)
			}
			now := v.RetryAfter
			if !c.again {
				b.Release(h, c.class, 10)
			}
			if v, _ := b.Acquire(now, h, c.class, 1, 10); v.QuotaStatus >= HardLimited {
				t.Errorf("after %v ms: %+v", now, v)
			}
		})
	}
}

// A limit that is lowered below what is in hand ends nothing, and lets nothing new in until that has gone.
func TestLimitLoweredBelowInFlight(t *testing.T) {
	b := NewLimiter(1000)
	h, _ := b.Create(0, Limits{Floor: 100, Open: 10, Classes: []ClassLimits{{Open: 10}}})
	for range 8 {
		b.Acquire(0, h, 0, 1, 1)
	}
	if err := b.SetLimits(1, h, Limits{Floor: 100, Open: 3}); err != nil {
		t.Fatal(err)
	}
	for left := 8; left >= 3; left-- {
		if v, _ := b.Acquire(2, h, 0, 1, 1); v.Limit != OpenLimit {
			t.Fatalf("with %d in hand: %+v", left, v)
		}
		b.Release(h, 0, 1)
	}
	if v, _ := b.Acquire(3, h, 0, 1, 1); v.QuotaStatus != Guaranteed {
		t.Errorf("with 2 in hand: %+v", v)
	}
	if err := b.SetLimits(4, h, Limits{Floor: 100, Classes: []ClassLimits{{Open: 4}}}); err != nil { // what was in hand still counts
		t.Fatal(err)
	}
	b.Acquire(5, h, 0, 1, 1)
	if v, _ := b.Acquire(5, h, 0, 1, 1); v.Limit != ClassOpenLimit {
		t.Errorf("with 4 of the class in hand: %+v", v)
	}
}

// A tenant that is created again, by whatever name, meets nothing of the one before.
func TestGenerations(t *testing.T) {
	b := NewLimiter(0)
	old, _ := b.Create(0, Limits{Floor: 10, Open: 1})
	b.Acquire(0, old, 0, 1, 5)
	if err := b.Delete(1, old); err != nil {
		t.Fatal(err)
	}
	again, _ := b.Create(1, Limits{Floor: 10, Open: 1})
	if old == again {
		t.Fatal("the same handle")
	}
	b.Release(old, 0, 5) // the end of what was in flight
	if u, err := b.InFlight(again); err != nil || u != (InFlight{}) {
		t.Errorf("%+v, %v", u, err)
	}
	for what, err := range map[string]error{"set": b.SetLimits(2, old, Limits{}), "delete": b.Delete(2, old), "suspend": b.SetSuspended(old, true)} {
		if !errors.Is(err, ErrDeleted) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if v, err := b.Acquire(2, old, 0, 1, 1); !errors.Is(err, ErrDeleted) || v.QuotaStatus != Suspended {
		t.Errorf("%+v, %v", v, err)
	}
	if v, _ := b.Acquire(2, again, 0, 1, 1); v.QuotaStatus != Guaranteed {
		t.Errorf("%+v", v)
	}
	if err := b.SetSuspended(again, true); err != nil {
		t.Fatal(err)
	}
	if v, _ := b.Acquire(3, again, 0, 1, 1); v.QuotaStatus != Suspended {
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
func TestInvariantsUnderRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]float64{0, 50, 500}).Draw(t, "capacity")
		b := NewLimiter(capacity)
		portion := rapid.SampledFrom([]float64{1, 0.5, 0.01}).Draw(t, "portion")
		b.SetShare(0, portion)
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
				b.Release(x.h, 0, 7)
				x.open, x.bytes = x.open-1, x.bytes-7
			} else {
				v, err := b.Acquire(now, x.h, 0, 1, 7)
				if err != nil || v.QuotaStatus >= HardLimited {
					t.Fatalf("%+v, %v", v, err)
				}
				x.open, x.bytes = x.open+1, x.bytes+7
				if v.QuotaStatus != Exceeded {
					got++
				}
			}
			if u, _ := b.InFlight(x.h); u.Open != x.open || u.Bytes != x.bytes {
				t.Fatalf("%+v, not %d and %d", u, x.open, x.bytes)
			}
			if b.idleFloorSum < -1e-6 || b.idleFloorSum > floors+1e-6 {
				t.Fatalf("%v of %v idle", b.idleFloorSum, floors)
			}
			for at, i := range b.refillHeap {
				if int(b.tenants[i].heapPos) != at+1 || at > 0 && b.fullsBefore(at, (at-1)/2) {
					t.Fatalf("the heap is out of order at %d", at)
				}
			}
		}
		rate := max(capacity, floors) * portion
		saved := rate*leasePoolSeconds + minBucketDepth
		for _, x := range all {
			saved += b.bucketDepth(x.l.Floor, 1)
		}
		if most := rate*now/1000 + saved + 1e-6; got > most {
			t.Fatalf("%v were within or borrowed in %v ms, %v at most", got, now, most)
		}
	})
}

// newLargeLimiter is a book of 10,000 tenants, and handles of 50 that are active.
func newLargeLimiter(tb testing.TB) (*Limiter, []Handle) {
	tb.Helper()
	b := NewLimiter(0)
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
	b, active := newLargeLimiter(t)
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
		if v, err := b.Acquire(now, h, 0, 1, 100); err == nil && v.QuotaStatus < HardLimited {
			b.Release(h, 0, 100)
		}
	}); n > 0 {
		t.Errorf("%v allocations for each request", n)
	}
}

// BenchmarkArrive is the cost of a request with 10,000 tenants of which 50 are active, at 20,000 requests a second.
func BenchmarkArrive(b *testing.B) {
	book, active := newLargeLimiter(b)
	now, i := 0.0, 0
	b.ReportAllocs()
	for b.Loop() {
		now += 0.05
		i++
		h := active[i%len(active)]
		if v, _ := book.Acquire(now, h, 0, 1, 100); v.QuotaStatus < HardLimited {
			book.Release(h, 0, 100)
		}
	}
}

// What turns out to cost more is charged to what it stood by: a tenant all of whose requests take four times what they were booked as gets a
// quarter of its floor, and of what it borrows; the floors of others are untouched, and a debt is repaid within the time that its burst takes.
func TestChargesAreRepaid(t *testing.T) {
	b := NewLimiter(300)
	dear, err1 := b.Create(0, Limits{Floor: 100})
	calm, err2 := b.Create(0, Limits{Floor: 100})
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	var counts [5]int
	out := 0
	for ms := 0.0; ms < 20e3; ms++ {
		v, err := b.Acquire(ms, dear, 0, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if counts[v.QuotaStatus]++; v.QuotaStatus < Exceeded {
			b.Charge(ms, dear, v.QuotaStatus, 3)
		}
		b.Release(dear, 0, 0)
		if int(ms)%12 == 0 {
			if v, _ := b.Acquire(ms, calm, 0, 1, 0); v.QuotaStatus != Guaranteed {
				out++
			}
			b.Release(calm, 0, 0)
		}
	}
	within, borrowed := float64(counts[Guaranteed])/20, float64(counts[Leased])/20
	if within < 24 || within > 32 || borrowed < 20 || borrowed > 40 {
		t.Errorf("%v a second within, of 100, %v borrowed, of some 110: %v", within, borrowed, counts)
	}
	if out > 0 {
		t.Errorf("the other one is out of its floor %d times", out)
	}
	b.Charge(20e3, dear, Guaranteed, 1e9)
	b.Charge(20e3, dear, Exceeded, 1e9) // nobody's to spend
	for _, x := range []struct {
		ms   float64
		want bool
	}{{20e3 + 900, false}, {20e3 + 1100, true}} { // a burst of one second, in debt by as much
		if v, _ := b.Acquire(x.ms, dear, 0, 1, 0); (v.QuotaStatus == Guaranteed) != x.want {
			t.Errorf("%v ms after the debt: %v", x.ms-20e3, v.QuotaStatus)
		}
	}
	if err := b.Delete(30e3, dear); err != nil {
		t.Fatal(err)
	}
	b.Charge(30e3, dear, Guaranteed, 5) // of one that is no more: nothing
	if v, _ := b.Acquire(30e3, calm, 0, 1, 0); v.QuotaStatus != Guaranteed {
		t.Errorf("after all that the other stands %v", v.QuotaStatus)
	}
}
