package decide

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// routersWithThreshold returns four routers that coordinate, with a threshold and three servers of the
// given capacity. If the threshold admits some requests, or expires, no idle capacity is left for the
// others.
func routersWithThreshold(t *testing.T, perSecond float64, l AdmissionThreshold) (tier []*Balancer) {
	t.Helper()
	cfg := testConfig()
	cfg.Routers = 4
	tier = newRouters(t, cfg, perSecond)
	for _, b := range tier {
		if err := b.SetTier(1e5, Tier{Routers: 4, Shares: 4, Until: math.Inf(1), SharesAfter: 4}); err != nil {
			t.Fatal(err)
		}
		b.solve()
		b.Timer(1e5, tickToken) // updates the capacity
		if err := b.SetAdmissionThreshold(1e5, l); err != nil {
			t.Fatal(err)
		}
		if l.Band > 0 || !math.IsInf(l.Until, 1) {
			b.totalCapacity = 0 // no idle capacity
		}
	}
	return tier
}

// refusedAtOnce sends a request for a key to a router and reports whether it was refused at once.
func refusedAtOnce(b *Balancer, now float64, id uint32, class string, key uint64) bool {
	h := b.host.(*fakeHost)
	was := len(h.sends)
	b.Request(now, Request{ID: id, Class: class, Tenant: "t", Key: key, HasKey: true, Left: 600})
	if len(h.sends) > was {
		b.Outcome(now, Outcome{ID: id, Server: h.last().server, Status: OK, Latency: 5, Final: true, Load: NoLoad})
	}
	return h.refused[id] > 0
}

// All routers refuse the same requests, by key: a share of the threshold's band, all of the lower worth and
// none of the higher.
func TestThresholdIsTheSameAtAllRouters(t *testing.T) {
	tier := routersWithThreshold(t, 5000, AdmissionThreshold{Band: BandOf(0.25), Share: 0.3, Rotation: 0.4, RotationPeriod: 30e3, Until: 2e5})
	passed := 0
	for key := range uint64(2000) {
		first := refusedAtOnce(tier[0], 1e5+float64(5*key), uint32(key+1), "read", key)
		for _, b := range tier[1:] {
			if refusedAtOnce(b, 1e5+float64(5*key), uint32(key+1), "read", key) != first {
				t.Fatalf("key %d is refused by some routers only", key)
			}
		}
		if !first {
			passed++
		}
		if refusedAtOnce(tier[0], 1e5+float64(5*key), uint32(key+5000), "dear", key) {
			t.Fatalf("key %d of the highest worth is shed", key)
		}
	}
	if passed < 540 || passed > 660 {
		t.Errorf("%d of 2000 requests admitted, want about 600", passed)
	}
}

// A refused request is admitted at the time that its refusal names, if that time is near.
func TestThresholdRotates(t *testing.T) {
	tier := routersWithThreshold(t, 5000, AdmissionThreshold{Band: BandOf(0.25), Share: 0.3, Rotation: 0.9, RotationPeriod: 10e3, Until: 2e5})
	b, inTime := tier[0], 0
	for key := range uint64(300) {
		r := &request{Request: Request{Tenant: "t"}, class: b.classes["read"], worth: 1, work: 1, key: &keyTraffic{id: key}}
		b.now = 1e5 + float64(key)
		if !b.shouldShed(r) {
			continue
		}
		after := b.retryAfter(r)
		if after > maxRetryAfter {
			t.Fatalf("key %d: retry after %.0f ms", key, after)
		}
		if after > maxRetryAfter/2 {
			continue // it may be random, and earlier than the time of its admission
		}
		inTime++
		if b.now += after + 1; b.shouldShed(r) {
			t.Errorf("key %d is refused again at the time that its refusal named", key)
		}
	}
	if inTime < 30 {
		t.Errorf("%d of 300 requests were retried at the time of their admission", inTime)
	}
	b.cfg.MaxAfter = 800
	r := &request{Request: Request{Tenant: "t"}, class: b.classes["read"], worth: 1, work: 1, key: &keyTraffic{id: 7}}
	for range 100 {
		if after := b.retryAfter(r); after > 800 {
			t.Errorf("retry after %.0f ms, want at most 800", after)
		}
	}
}

// A threshold that is far too high, perhaps set by a malicious router, leaves no capacity unused: what
// remains of the router's share goes to the shed requests, the highest worth first if it is not enough for
// all.
func TestIdleCapacityUnderTheThresholdIsUsed(t *testing.T) {
	for _, c := range []struct {
		name                string
		dear, read          float64 // a second
		leastDear, mostRead float64 // shares that are served, at the least and at the most
		leastRead           float64
	}{{"capacity for all", 10, 10, 0.95, 1, 0.95}, {"capacity for the best", 24, 24, 0.9, 0.25, 0}} {
		// A router's share is 28 a second.
		tier := routersWithThreshold(t, 40, AdmissionThreshold{Band: 0, Share: 0, Rotation: 0, RotationPeriod: 1e6, Until: math.Inf(1)})
		b, id := tier[0], uint32(0)
		var requested, served [2]float64
		for now, due := 1e5, [2]float64{1e5, 1e5}; now < 1e5+60e3; now += 5 {
			b.Timer(now, tickToken)
			for i, k := range []struct {
				class string
				rate  float64
			}{{"dear", c.dear}, {"read", c.read}} {
				if now < due[i] {
					continue
				}
				due[i] += 1000 / k.rate
				id++
				requested[i]++
				if !refusedAtOnce(b, now, id, k.class, uint64(id)%50) {
					served[i]++
				}
			}
		}
		if dear, read := served[0]/requested[0], served[1]/requested[1]; dear < c.leastDear || read > c.mostRead || read < c.leastRead {
			t.Errorf("%s: %.2f of the higher worth and %.2f of the lower are served", c.name, dear, read)
		}
	}
}

// A threshold that is not renewed expires, one has no effect where routers don't coordinate, and an invalid
// one changes nothing.
func TestExpiredAndInvalidThresholds(t *testing.T) {
	all := AdmissionThreshold{Band: 0, Share: 0, RotationPeriod: 1e4, Until: 1e5 + 1000}
	tier := routersWithThreshold(t, 5000, all)
	if !refusedAtOnce(tier[0], 1e5+999, 1, "dear", 1) || refusedAtOnce(tier[0], 1e5+1001, 2, "dear", 1) {
		t.Error("the threshold does not expire at its time")
	}
	b, err := New(testConfig(), 1, newHost())
	if err != nil {
		t.Fatal(err)
	}
	b.Servers(1e5, Full, fleet(3))
	if err := b.SetAdmissionThreshold(1e5, all); err != nil {
		t.Fatal(err)
	}
	if refusedAtOnce(b, 1e5+1, 1, "read", 1) || b.Demand() != (Demand{}) {
		t.Error("a threshold applies, or demand is counted, where routers don't coordinate")
	}
	for _, l := range []AdmissionThreshold{{Band: -1}, {Band: NumBands + 1}, {Share: 2, RotationPeriod: 1}, {Share: math.NaN(), RotationPeriod: 1}, {Rotation: -1, RotationPeriod: 1}, {}, {RotationPeriod: math.Inf(1)}, {RotationPeriod: 1, Until: math.NaN()}} {
		if err := tier[1].SetAdmissionThreshold(1e5, l); err == nil || !strings.Contains(err.Error(), "invalid admission threshold") || tier[1].admission != all {
			t.Errorf("%+v: %v", l, err)
		}
	}
	if err := tier[1].SetAdmissionThreshold(1e5, AdmitAll); err != nil {
		t.Error(err)
	}
}

// Demand counts each request once, by worth, whatever its answer; retries by clients don't count. Capacity
// is what the usable servers report.
func TestDemandIsCountedOnce(t *testing.T) {
	tier := routersWithThreshold(t, 120, AdmissionThreshold{Band: 0, Share: 0, RotationPeriod: 1e6, Until: math.Inf(1)})
	b := tier[0]
	if d := b.Demand(); math.Abs(d.Capacity-3*0.95*120) > 1 {
		t.Errorf("capacity of %.1f a second with three servers of 120", d.Capacity)
	}
	for i := range uint32(200) {
		b.Request(1e5+1, Request{ID: i + 1, Class: "read", Tenant: "t", Key: uint64(i), HasKey: true, Left: 600, Retry: i >= 100})
	}
	d := b.Demand()
	if got := d.Arrived[BandOf(0.25)]; math.Abs(got-100) > 1e-9 || d.Shed[BandOf(0.25)] < 80 || d.Shed[BandOf(0.25)] > 100 {
		t.Errorf("%v arrived, %v of them were shed; want 100 first requests, without their retries", got, d.Shed[BandOf(0.25)])
	}
	b.serverList[0].ejected = true
	b.Timer(1e5+100, tickToken)
	if room := b.Demand().Capacity; math.Abs(room-2*0.95*120) > 1 {
		t.Errorf("capacity of %.1f with one server ejected", room)
	}
	var sum Demand
	sum.Add(d)
	sum.Add(d)
	if sum.Arrived[BandOf(0.25)] != 2*d.Arrived[BandOf(0.25)] || sum.Capacity != d.Capacity {
		t.Errorf("two processes of a router: %v, %v", sum.Arrived[BandOf(0.25)], sum.Capacity)
	}
}

func TestBands(t *testing.T) {
	last := 0
	for share := 1.0; share > 1e-6; share *= 0.9 {
		b := BandOf(share)
		if b < last || b >= NumBands {
			t.Fatalf("%v is in band %d, a higher worth in %d", share, b, last)
		}
		last = b
	}
	for _, share := range []float64{0, -1, math.NaN(), 1e-300} {
		if BandOf(share) != NumBands-1 {
			t.Errorf("%v is in band %d", share, BandOf(share))
		}
	}
	if BandOf(1) != 0 || BandOf(7) != 0 {
		t.Error("the highest worth is not in the first band")
	}
}

// One router of many sees few answers, so the wait that it accepts recovers within some seconds without a
// late answer, not after hundreds of answers. A router that doesn't coordinate recovers by answers alone.
func TestAcceptedWaitRecovers(t *testing.T) {
	tier := routersWithThreshold(t, 120, AdmitAll)
	alone := newRouters(t, testConfig(), 120)[0]
	for _, b := range []*Balancer{tier[0], alone} {
		b.waitShare, b.lastLate = 0, 1e5
		for now := 1e5; now < 1e5+3500; now += housekeepInterval {
			b.Timer(now, tickToken)
			if now < 1e5+waitShareRecoveryDelay && b.waitShare > 0 {
				t.Fatalf("base wait share %.3f, %.0f ms after a late answer", b.waitShare, now-1e5)
			}
		}
	}
	if tier[0].waitShare < 0.2 || alone.waitShare > 0 {
		t.Errorf("base wait share %.3f at one of four routers, %.3f at one that doesn't coordinate", tier[0].waitShare, alone.waitShare)
	}
}

// Good answers raise the fetch limits of all routers of a tier together by no more than the limit of a
// single router.
func TestFetchLimitsOfATierGrowTogether(t *testing.T) {
	totalLimit := func(routers int) (sum float64) {
		cfg := testConfig()
		cfg.Routers = routers
		for i, b := range newRouters(t, cfg, 120) {
			if err := b.SetTier(1e5, Tier{Routers: routers, Shares: float64(routers), Until: math.Inf(1), SharesAfter: float64(routers)}); err != nil {
				t.Fatal(err)
			}
			b.fetchLimit = 8 / float64(routers)
			k := &keyTraffic{id: 1}
			for range 240 / routers {
				r := &request{class: b.classes["read"], key: k}
				k.fetch = r
				b.adjustFetchLimit(r, OK, 20)
			}
			if sum += b.fetchLimit; i == routers-1 {
				break
			}
		}
		return sum
	}
	if one, many := totalLimit(1), totalLimit(12); many > 1.1*one || many < 0.7*one {
		t.Errorf("240 good answers raise the fetch limits of 12 routers from 8 to %.1f together, that of one to %.1f", many, one)
	}
}

// The retries of all routers of a fleet are at most a tenth of the first attempts, and about as few in any
// two seconds, however many attempts fail and however few requests each router has.
func TestRetriesOfAFleet(t *testing.T) {
	for _, routers := range []int{6, 24} {
		cfg := testConfig()
		cfg.Routers = routers
		tier := newRouters(t, cfg, 5000)
		for _, b := range tier {
			if err := b.SetTier(1e5, Tier{Routers: routers, Shares: float64(routers), Until: math.Inf(1), SharesAfter: float64(routers)}); err != nil {
				t.Fatal(err)
			}
		}
		first, retries, id, rng := 0, 0, uint32(0), rand.New(rand.NewPCG(uint64(routers), 3))
		var firstCounts, retryCounts []int // in each 100 ms
		for now := 1e5; now < 1e5+20e3; now += 10 {
			if int(now)%100 == 0 {
				firstCounts, retryCounts = append(firstCounts, first), append(retryCounts, retries)
			}
			// 480 requests a second arrive at all routers, and after 5 s every third attempt fails.
			for _, b := range tier {
				if rng.Float64() > 4.8/float64(routers) {
					continue
				}
				h := b.host.(*fakeHost)
				id++
				was := len(h.sends)
				b.Request(now, Request{ID: id, Class: "read", Tenant: "t", Key: uint64(id), HasKey: true, Left: 600})
				for n := was; n < len(h.sends); n++ {
					if n == was {
						first++
					} else {
						retries++
					}
					st := OK
					if now > 1e5+5e3 && (id+uint32(n-was))%3 == 0 {
						st = Failed
					}
					b.Outcome(now, Outcome{ID: id, Attempt: n - was, Server: h.sends[n].server, Status: st, Latency: 5, Final: st == OK, Load: NoLoad})
				}
			}
		}
		for i := 20; i < len(firstCounts); i++ {
			if f, more := firstCounts[i]-firstCounts[i-20], retryCounts[i]-retryCounts[i-20]; float64(more) > 0.15*float64(f)+float64(routers) {
				t.Errorf("%d routers, %.1f s: %d retries for %d first attempts in two seconds", routers, float64(i)/10, more, f)
				break
			}
		}
		if share := float64(retries) / float64(first); share > 0.1 || share < 0.005 {
			t.Errorf("%d routers: %.3f retries for each first attempt", routers, share)
		}
	}
}

// Requests at a dead server are sent elsewhere without use of the retry budget.
func TestDeadServerUsesNoRetryBudget(t *testing.T) {
	tier := routersWithThreshold(t, 5000, AdmitAll)
	b := tier[0]
	h := b.host.(*fakeHost)
	dead, redirected, refusals := b.serverList[0].ID, 0, 0
	b.retryBudget = 1
	for id := uint32(1); id <= 300; id++ {
		now, was := 1e5+float64(id), len(h.sends)
		b.Request(now, Request{ID: id, Class: "read", Tenant: "t", Key: uint64(id), HasKey: true, Left: 600})
		for n := was; n < len(h.sends); n++ {
			st := OK
			if h.sends[n].server == dead {
				st = ConnectError
			}
			b.Outcome(now, Outcome{ID: id, Attempt: n - was, Server: h.sends[n].server, Status: st, Latency: 5, Final: st == OK, Load: NoLoad})
		}
		if made := len(h.sends) - was; made > 1 {
			redirected++
		}
		if h.refused[id] > 0 {
			refusals++
		}
	}
	if redirected == 0 || refusals > 8 {
		t.Errorf("of 300 requests %d were sent elsewhere and %d were refused", redirected, refusals)
	}
}
