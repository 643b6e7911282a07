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

// simulatedTenant is a tenant with a request rate that depends on the time.
type simulatedTenant struct {
	limits Limits
	rate   func(ms float64) float64 // requests per second
	cost   float64                  // cost of each request; 0 = 1
}

// simulate runs random arrivals of requests, which take 20 ms each, for some seconds of simulated time and
// returns the number of requests by tenant and status.
func simulate(t testing.TB, b *Limiter, seconds float64, tenants ...simulatedTenant) (counts [][5]int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, uint64(len(tenants))))
	handles := make([]Handle, len(tenants))
	for i, tenant := range tenants {
		h, err := b.Create(0, tenant.limits)
		if err != nil {
			t.Fatal(err)
		}
		handles[i] = h
	}
	counts = make([][5]int, len(tenants))
	type end struct {
		at float64
		i  int
	}
	var releases []end
	for ms := 0.0; ms < seconds*1000; ms += 0.25 {
		for len(releases) > 0 && releases[0].at <= ms {
			b.Release(handles[releases[0].i], 0, 10)
			releases = releases[1:]
		}
		for i, tenant := range tenants {
			if rng.Float64() >= tenant.rate(ms)/4000 {
				continue
			}
			v, err := b.Acquire(ms, handles[i], 0, max(1, tenant.cost), 10)
			if err != nil {
				t.Fatal(err)
			}
			if counts[i][v.QuotaStatus]++; v.QuotaStatus < HardLimited {
				releases = append(releases, end{ms + 20, i})
			}
		}
	}
	return counts
}

// constantRate returns a request rate that does not depend on the time.
func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// checkGuaranteed fails the test if more than maxPerMille of 1000 requests are not Guaranteed.
func checkGuaranteed(t *testing.T, name string, counts [5]int, maxPerMille int) {
	t.Helper()
	total := counts[Guaranteed] + counts[Leased] + counts[Exceeded] + counts[HardLimited] + counts[Suspended]
	if total == 0 || (total-counts[Guaranteed])*1000 > maxPerMille*total {
		t.Errorf("%s: %v", name, counts)
	}
}

// The requests of tenants within their floor stay Guaranteed while others flood: one tenant at ten times
// its floor, three at once, one that alternates each second, and one whose requests are expensive.
func TestFloodLeavesTheFloorsOfOthers(t *testing.T) {
	calm := simulatedTenant{Limits{Floor: 100}, constantRate(80), 0}
	flood := simulatedTenant{Limits{Floor: 100}, constantRate(1000), 0}
	alternating := simulatedTenant{Limits{Floor: 100}, func(ms float64) float64 {
		if int(ms/1000)%2 == 0 {
			return 1000
		}
		return 0
	}, 0}
	expensive := simulatedTenant{Limits{Floor: 100}, constantRate(200), 10}
	for name, tenants := range map[string][]simulatedTenant{
		"one":        {calm, calm, calm, flood},
		"three":      {calm, flood, flood, flood},
		"alternates": {calm, calm, calm, alternating},
		"expensive":  {calm, calm, calm, expensive},
	} {
		t.Run(name, func(t *testing.T) {
			counts := simulate(t, NewLimiter(400), 20, tenants...)
			for i, c := range counts {
				if tenants[i].rate(0) == 80 {
					checkGuaranteed(t, fmt.Sprint("member ", i), c, 5)
					continue
				}
				if c[Exceeded] == 0 {
					t.Errorf("flood %d never exceeds its quota: %v", i, c)
				}
			}
		})
	}
}

// Nearly all capacity that others leave unused is leased, and no more than that. Several lessees get shares
// by weight, and what one of them does not use goes to the others.
func TestLeasing(t *testing.T) {
	idle := simulatedTenant{Limits{Floor: 100}, constantRate(0), 0}
	flood := func(weight float64) simulatedTenant {
		return simulatedTenant{Limits{Floor: 100, Weight: weight}, constantRate(2000), 0}
	}
	one := simulate(t, NewLimiter(0), 20, idle, idle, idle, flood(0))[3]
	if n := float64(one[Leased]) / 20; n < 290 || n > 310 {
		t.Errorf("%v per second leased, want about 300: %v", n, one)
	}
	two := simulate(t, NewLimiter(0), 20, idle, idle, flood(1), flood(3))
	a, z := float64(two[2][Leased]), float64(two[3][Leased])
	if a+z < 20*190 || a+z > 20*210 || z < 2.7*a || z > 3.3*a {
		t.Errorf("%v and %v leased, want about 4000 in the ratio 1 to 3", a, z)
	}
	// A lessee that uses little of its share leaves the rest to the other.
	little := simulatedTenant{Limits{Floor: 100, Weight: 3}, constantRate(120), 0}
	two = simulate(t, NewLimiter(0), 20, idle, idle, flood(1), little)
	if n := float64(two[2][Leased]) / 20; n < 165 || n > 200 {
		t.Errorf("%v per second leased, want about 180", n)
	}
	checkGuaranteed(t, "tenant at 20 above its floor", [5]int{Guaranteed: two[3][Guaranteed] + two[3][Leased], Exceeded: two[3][Exceeded]}, 30)
}

// Each router of a tier that does not communicate enforces its share of a floor.
func TestShareOfATier(t *testing.T) {
	total := 0
	for range 4 {
		b := NewLimiter(0)
		b.SetShare(0, 0.25)
		c := simulate(t, b, 20, simulatedTenant{Limits{Floor: 400}, constantRate(1000), 0})[0]
		total += c[Guaranteed] + c[Leased]
	}
	if n := float64(total) / 20; n < 390 || n > 430 { // plus one second of burst
		t.Errorf("%v per second, want about 400", n)
	}
}

// Each hard limit applies by itself. Rate limits return the time after which a retry succeeds.
func TestHardLimits(t *testing.T) {
	for name, test := range map[string]struct {
		limits    Limits
		class     int
		want      LimitKind
		accepted  int
		retryable bool
	}{
		"rate":       {Limits{Most: 5}, 0, RateLimit, 5, true},
		"open":       {Limits{Open: 3}, 0, OpenLimit, 3, false},
		"bytes":      {Limits{Bytes: 45}, 0, BytesLimit, 4, false},
		"class rate": {Limits{Classes: []ClassLimits{{}, {Most: 2}}}, 1, ClassRateLimit, 2, true},
		"class open": {Limits{Classes: []ClassLimits{{}, {Open: 2}}}, 1, ClassOpenLimit, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewLimiter(1000)
			h, err := b.Create(0, test.limits)
			if err != nil {
				t.Fatal(err)
			}
			for i := range test.accepted {
				if v, _ := b.Acquire(0, h, test.class, 1, 10); v.QuotaStatus >= HardLimited {
					t.Fatalf("request %d: %+v", i, v)
				}
			}
			v, _ := b.Acquire(0, h, test.class, 1, 10)
			if v.QuotaStatus != HardLimited || v.Limit != test.want || (v.RetryAfter > 0) != test.retryable {
				t.Fatalf("%+v", v)
			}
			if u, _ := b.InFlight(h); u.Open != test.accepted || u.Bytes != int64(10*test.accepted) {
				t.Errorf("%+v in flight: a HardLimited request was counted", u)
			}
			now := v.RetryAfter
			if !test.retryable {
				b.Release(h, test.class, 10)
			}
			if v, _ := b.Acquire(now, h, test.class, 1, 10); v.QuotaStatus >= HardLimited {
				t.Errorf("after %v ms: %+v", now, v)
			}
		})
	}
}

// Lowering a limit below the number of requests in flight ends none of them, and accepts no new one until
// the number has dropped below the limit.
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
			t.Fatalf("with %d in flight: %+v", left, v)
		}
		b.Release(h, 0, 1)
	}
	if v, _ := b.Acquire(3, h, 0, 1, 1); v.QuotaStatus != Guaranteed {
		t.Errorf("with 2 in flight: %+v", v)
	}
	// The count of a class continues although its limits were removed in between.
	if err := b.SetLimits(4, h, Limits{Floor: 100, Classes: []ClassLimits{{Open: 4}}}); err != nil {
		t.Fatal(err)
	}
	b.Acquire(5, h, 0, 1, 1)
	if v, _ := b.Acquire(5, h, 0, 1, 1); v.Limit != ClassOpenLimit {
		t.Errorf("with 4 of the class in flight: %+v", v)
	}
}

// A deleted tenant's handle is invalid and does not affect a tenant that is created later in its place.
func TestGenerations(t *testing.T) {
	b := NewLimiter(0)
	old, _ := b.Create(0, Limits{Floor: 10, Open: 1})
	b.Acquire(0, old, 0, 1, 5)
	if err := b.Delete(1, old); err != nil {
		t.Fatal(err)
	}
	recreated, _ := b.Create(1, Limits{Floor: 10, Open: 1})
	if old == recreated {
		t.Fatal("the new tenant has the handle of the deleted one")
	}
	b.Release(old, 0, 5) // a request that was in flight at deletion
	if u, err := b.InFlight(recreated); err != nil || u != (InFlight{}) {
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
	if v, _ := b.Acquire(2, recreated, 0, 1, 1); v.QuotaStatus != Guaranteed {
		t.Errorf("%+v", v)
	}
	if err := b.SetSuspended(recreated, true); err != nil {
		t.Fatal(err)
	}
	if v, _ := b.Acquire(3, recreated, 0, 1, 1); v.QuotaStatus != Suspended {
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

// For random sequences of calls, the accepted cost never exceeds the capacity plus the bucket depths, and
// the counts of requests and bytes, the sum of idle floors and the heap stay consistent.
func TestInvariantsUnderRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]float64{0, 50, 500}).Draw(t, "capacity")
		b := NewLimiter(capacity)
		share := rapid.SampledFrom([]float64{1, 0.5, 0.01}).Draw(t, "portion")
		b.SetShare(0, share)
		type live struct {
			h     Handle
			l     Limits
			open  int
			bytes int64
		}
		var all []live
		now, floors, accepted := 0.0, 0.0, 0.0
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
					accepted++
				}
			}
			if u, _ := b.InFlight(x.h); u.Open != x.open || u.Bytes != x.bytes {
				t.Fatalf("%+v in flight, want %d requests and %d bytes", u, x.open, x.bytes)
			}
			if b.idleFloorSum < -1e-6 || b.idleFloorSum > floors+1e-6 {
				t.Fatalf("sum of idle floors is %v, of %v in total", b.idleFloorSum, floors)
			}
			for at, i := range b.refillHeap {
				if int(b.tenants[i].heapPos) != at+1 || at > 0 && b.fullsBefore(at, (at-1)/2) {
					t.Fatalf("the heap is out of order at %d", at)
				}
			}
		}
		rate := max(capacity, floors) * share
		burst := rate*leasePoolSeconds + minBucketDepth
		for _, x := range all {
			burst += b.bucketDepth(x.l.Floor, 1)
		}
		if maxAccepted := rate*now/1000 + burst + 1e-6; accepted > maxAccepted {
			t.Fatalf("%v were Guaranteed or Leased in %v ms, want at most %v", accepted, now, maxAccepted)
		}
	})
}

// newLargeLimiter returns a Limiter with 10,000 tenants, and the handles of 50 active ones.
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
		t.Errorf("%v allocations per request", n)
	}
}

// BenchmarkAcquire measures a request with 10,000 tenants, 50 of them active, at 20,000 requests per second.
func BenchmarkAcquire(b *testing.B) {
	limiter, active := newLargeLimiter(b)
	now, i := 0.0, 0
	b.ReportAllocs()
	for b.Loop() {
		now += 0.05
		i++
		h := active[i%len(active)]
		if v, _ := limiter.Acquire(now, h, 0, 1, 100); v.QuotaStatus < HardLimited {
			limiter.Release(h, 0, 100)
		}
	}
}

// Extra cost is debited where the request was counted: a tenant whose requests cost four times what was
// passed to Acquire gets a quarter of its floor and of its leased capacity. The floors of others are
// unaffected, and a negative floor bucket recovers within its burst time.
func TestChargesAreRepaid(t *testing.T) {
	b := NewLimiter(300)
	expensive, err1 := b.Create(0, Limits{Floor: 100})
	calm, err2 := b.Create(0, Limits{Floor: 100})
	if err1 != nil || err2 != nil {
		t.Fatal(err1, err2)
	}
	var counts [5]int
	notGuaranteed := 0
	for ms := 0.0; ms < 20e3; ms++ {
		v, err := b.Acquire(ms, expensive, 0, 1, 0)
		if err != nil {
			t.Fatal(err)
		}
		if counts[v.QuotaStatus]++; v.QuotaStatus < Exceeded {
			b.Charge(ms, expensive, v.QuotaStatus, 3)
		}
		b.Release(expensive, 0, 0)
		if int(ms)%12 == 0 {
			if v, _ := b.Acquire(ms, calm, 0, 1, 0); v.QuotaStatus != Guaranteed {
				notGuaranteed++
			}
			b.Release(calm, 0, 0)
		}
	}
	guaranteed, leased := float64(counts[Guaranteed])/20, float64(counts[Leased])/20
	if guaranteed < 24 || guaranteed > 32 || leased < 20 || leased > 40 {
		t.Errorf("%v per second Guaranteed of a floor of 100, %v Leased of some 110: %v", guaranteed, leased, counts)
	}
	if notGuaranteed > 0 {
		t.Errorf("the other tenant was not Guaranteed %d times", notGuaranteed)
	}
	b.Charge(20e3, expensive, Guaranteed, 1e9)
	b.Charge(20e3, expensive, Exceeded, 1e9) // Exceeded requests are not debited
	for _, x := range []struct {
		ms   float64
		want bool
	}{{20e3 + 900, false}, {20e3 + 1100, true}} { // a burst of one second, overdrawn by as much
		if v, _ := b.Acquire(x.ms, expensive, 0, 1, 0); (v.QuotaStatus == Guaranteed) != x.want {
			t.Errorf("%v ms after the bucket was overdrawn: %v", x.ms-20e3, v.QuotaStatus)
		}
	}
	if err := b.Delete(30e3, expensive); err != nil {
		t.Fatal(err)
	}
	b.Charge(30e3, expensive, Guaranteed, 5) // no effect on a deleted tenant
	if v, _ := b.Acquire(30e3, calm, 0, 1, 0); v.QuotaStatus != Guaranteed {
		t.Errorf("after the deletion the other tenant has status %v", v.QuotaStatus)
	}
}
