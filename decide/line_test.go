package decide

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// routersWithThreshold are routers that have been told of each other and of a line, behind three servers that can do so much each. With a line that lets some pass, or
// that ends, there is no room left for others.
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
		b.Timer(1e5, tickToken) // it surveys the room
		if err := b.SetAdmissionThreshold(1e5, l); err != nil {
			t.Fatal(err)
		}
		if l.Band > 0 || !math.IsInf(l.Until, 1) {
			b.totalCapacity = 0 // nothing is left over
		}
	}
	return tier
}

// refusedAtOnce has a router take a request of a key, and says whether it was refused at once.
func refusedAtOnce(b *Balancer, now float64, id uint32, class string, key uint64) bool {
	h := b.host.(*fakeHost)
	was := len(h.sends)
	b.Request(now, Request{ID: id, Class: class, Tenant: "t", Key: key, HasKey: true, Left: 600})
	if len(h.sends) > was {
		b.Outcome(now, Outcome{ID: id, Server: h.last().server, Status: OK, Latency: 5, Final: true, Load: NoLoad})
	}
	return h.refused[id] > 0
}

// What is refused is the same at all routers, by the key: so much of a band, all that is worth less, nothing that is worth more.
func TestLineIsTheSameAtAll(t *testing.T) {
	tier := routersWithThreshold(t, 5000, AdmissionThreshold{Band: BandOf(0.25), Share: 0.3, Rotation: 0.4, RotationPeriod: 30e3, Until: 2e5})
	passed := 0
	for key := range uint64(2000) {
		first := refusedAtOnce(tier[0], 1e5+float64(5*key), uint32(key+1), "read", key)
		for _, b := range tier[1:] {
			if refusedAtOnce(b, 1e5+float64(5*key), uint32(key+1), "read", key) != first {
				t.Fatalf("key %d is refused by some alone", key)
			}
		}
		if !first {
			passed++
		}
		if refusedAtOnce(tier[0], 1e5+float64(5*key), uint32(key+5000), "dear", key) {
			t.Fatalf("key %d of the highest worth is under the line", key)
		}
	}
	if passed < 540 || passed > 660 {
		t.Errorf("%d of 2000 pass, 600 are right", passed)
	}
}

// Whoever is refused passes when its time comes, as it is told where that is soon.
func TestLineTurns(t *testing.T) {
	tier := routersWithThreshold(t, 5000, AdmissionThreshold{Band: BandOf(0.25), Share: 0.3, Rotation: 0.9, RotationPeriod: 10e3, Until: 2e5})
	b, own := tier[0], 0
	for key := range uint64(300) {
		r := &request{Request: Request{Tenant: "t"}, class: b.classes["read"], worth: 1, work: 1, key: &keyTraffic{id: key}}
		b.now = 1e5 + float64(key)
		if !b.shouldShed(r) {
			continue
		}
		after := b.retryAfter(r)
		if after > maxRetryAfter {
			t.Fatalf("key %d is to come back after %.0f ms", key, after)
		}
		if after > maxRetryAfter/2 {
			continue // it may be spread, and sooner than its time
		}
		own++
		if b.now += after + 1; b.shouldShed(r) {
			t.Errorf("key %d comes back when it was told, and is refused", key)
		}
	}
	if own < 30 {
		t.Errorf("%d of 300 came back at their own time", own)
	}
	b.cfg.MaxAfter = 800
	r := &request{Request: Request{Tenant: "t"}, class: b.classes["read"], worth: 1, work: 1, key: &keyTraffic{id: 7}}
	for range 100 {
		if after := b.retryAfter(r); after > 800 {
			t.Errorf("to come back after %.0f ms, 800 are the most that may be told", after)
		}
	}
}

// A line that is drawn far too high, as by a liar, leaves nothing unused: what its part of the servers has left goes to those under it, and to the best
// of them while it is not enough for all.
func TestRoomUnderTheLineIsUsed(t *testing.T) {
	for _, c := range []struct {
		name               string
		dear, read         float64 // a second
		leastDear, mostBad float64 // shares that are served, at the least and at the most
		leastRead          float64
	}{{"room for all", 10, 10, 0.95, 1, 0.95}, {"room for the best", 24, 24, 0.9, 0.25, 0}} {
		tier := routersWithThreshold(t, 40, AdmissionThreshold{Band: 0, Share: 0, Rotation: 0, RotationPeriod: 1e6, Until: math.Inf(1)}) // 28 a second are its part
		b, id := tier[0], uint32(0)
		var asked, served [2]float64
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
				asked[i]++
				if !refusedAtOnce(b, now, id, k.class, uint64(id)%50) {
					served[i]++
				}
			}
		}
		if dear, read := served[0]/asked[0], served[1]/asked[1]; dear < c.leastDear || read > c.mostBad || read < c.leastRead {
			t.Errorf("%s: %.2f of the higher worth and %.2f of the lesser are served", c.name, dear, read)
		}
	}
}

// A line that nobody tells anew lapses, and so does one where routers tell each other nothing; impossible ones change nothing.
func TestLinesThatDoNotHold(t *testing.T) {
	all := AdmissionThreshold{Band: 0, Share: 0, RotationPeriod: 1e4, Until: 1e5 + 1000}
	tier := routersWithThreshold(t, 5000, all)
	if !refusedAtOnce(tier[0], 1e5+999, 1, "dear", 1) || refusedAtOnce(tier[0], 1e5+1001, 2, "dear", 1) {
		t.Error("the line does not end when it was told to")
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
		t.Error("a line holds, or demand is counted, where routers tell each other nothing")
	}
	for _, l := range []AdmissionThreshold{{Band: -1}, {Band: NumBands + 1}, {Share: 2, RotationPeriod: 1}, {Share: math.NaN(), RotationPeriod: 1}, {Rotation: -1, RotationPeriod: 1}, {}, {RotationPeriod: math.Inf(1)}, {RotationPeriod: 1, Until: math.NaN()}} {
		if err := tier[1].SetAdmissionThreshold(1e5, l); err == nil || !strings.Contains(err.Error(), "impossible line") || tier[1].admission != all {
			t.Errorf("%+v: %v", l, err)
		}
	}
	if err := tier[1].SetAdmissionThreshold(1e5, AdmitAll); err != nil {
		t.Error(err)
	}
}

// What comes is counted once, by worth, whoever refuses it, and returns are no demand. Room is what servers say, at those that can be used.
func TestDemandIsCountedOnce(t *testing.T) {
	tier := routersWithThreshold(t, 120, AdmissionThreshold{Band: 0, Share: 0, RotationPeriod: 1e6, Until: math.Inf(1)})
	b := tier[0]
	if d := b.Demand(); math.Abs(d.Capacity-3*0.95*120) > 1 {
		t.Errorf("room for %.1f a second, three servers of 120 are there", d.Capacity)
	}
	for i := range uint32(200) {
		b.Request(1e5+1, Request{ID: i + 1, Class: "read", Tenant: "t", Key: uint64(i), HasKey: true, Left: 600, Retry: i >= 100})
	}
	d := b.Demand()
	if got := d.Arrived[BandOf(0.25)]; math.Abs(got-100) > 1e-9 || d.Shed[BandOf(0.25)] < 80 || d.Shed[BandOf(0.25)] > 100 {
		t.Errorf("%v asked for the first time, %v of them under the line; 100 came, and as many again", got, d.Shed[BandOf(0.25)])
	}
	b.serverList[0].ejected = true
	b.Timer(1e5+100, tickToken)
	if room := b.Demand().Capacity; math.Abs(room-2*0.95*120) > 1 {
		t.Errorf("with one server sick there is room for %.1f", room)
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
			t.Fatalf("%v is in band %d, more is in %d", share, b, last)
		}
		last = b
	}
	for _, share := range []float64{0, -1, math.NaN(), 1e-300} {
		if BandOf(share) != NumBands-1 {
			t.Errorf("%v is in band %d", share, BandOf(share))
		}
	}
	if BandOf(1) != 0 || BandOf(7) != 0 {
		t.Error("the highest worth is in the first band")
	}
}

// One router of many sees few answers: what it bears as wait comes back in a second or two without a late one, not after hundreds of answers. Alone
// it stays as it was.
func TestWhatIsBorneComesBack(t *testing.T) {
	tier := routersWithThreshold(t, 120, AdmitAll)
	alone := newRouters(t, testConfig(), 120)[0]
	for _, b := range []*Balancer{tier[0], alone} {
		b.waitShare, b.lastLate = 0, 1e5
		for now := 1e5; now < 1e5+3500; now += housekeepInterval {
			b.Timer(now, tickToken)
			if now < 1e5+waitShareRecoveryDelay && b.waitShare > 0 {
				t.Fatalf("%.3f is borne %.0f ms after a late answer", b.waitShare, now-1e5)
			}
		}
	}
	if tier[0].waitShare < 0.2 || alone.waitShare > 0 {
		t.Errorf("%.3f is borne by one of four, %.3f by one that is told nothing", tier[0].waitShare, alone.waitShare)
	}
}

// Good answers add to the bounds on fetches of all routers together no more than to that of one alone, which they are of.
func TestFetchesOfATierGrowAsOne(t *testing.T) {
	grown := func(routers int) (sum float64) {
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
	if one, many := grown(1), grown(12); many > 1.1*one || many < 0.7*one {
		t.Errorf("240 good answers bring the bounds of 12 routers from 8 to %.1f together, that of one to %.1f", many, one)
	}
}

// Attempts beyond the first are a tenth of the first ones over all routers of a fleet, in any two seconds, whatever fails and however little each
// has to do; where a whole server has died, what all had there goes elsewhere.
func TestFurtherAttemptsOfAFleet(t *testing.T) {
	for _, routers := range []int{6, 24} {
		cfg := testConfig()
		cfg.Routers = routers
		tier := newRouters(t, cfg, 5000)
		for _, b := range tier {
			if err := b.SetTier(1e5, Tier{Routers: routers, Shares: float64(routers), Until: math.Inf(1), SharesAfter: float64(routers)}); err != nil {
				t.Fatal(err)
			}
		}
		first, further, id, rng := 0, 0, uint32(0), rand.New(rand.NewPCG(uint64(routers), 3))
		var firsts, furthers []int // in each 100 ms
		for now := 1e5; now < 1e5+20e3; now += 10 {
			if int(now)%100 == 0 {
				firsts, furthers = append(firsts, first), append(furthers, further)
			}
			for _, b := range tier { // 480 a second come to all together, and after 5 s each third attempt fails
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
						further++
					}
					st := OK
					if now > 1e5+5e3 && (id+uint32(n-was))%3 == 0 {
						st = Failed
					}
					b.Outcome(now, Outcome{ID: id, Attempt: n - was, Server: h.sends[n].server, Status: st, Latency: 5, Final: st == OK, Load: NoLoad})
				}
			}
		}
		for i := 20; i < len(firsts); i++ {
			if f, more := firsts[i]-firsts[i-20], furthers[i]-furthers[i-20]; float64(more) > 0.15*float64(f)+float64(routers) {
				t.Errorf("%d routers, %.1f s: %d attempts beyond %d first ones in two seconds", routers, float64(i)/10, more, f)
				break
			}
		}
		if share := float64(further) / float64(first); share > 0.1 || share < 0.005 {
			t.Errorf("%d routers: %.3f of the first attempts were made again", routers, share)
		}
	}
}

// A server that has died takes no budget: all that was there is sent elsewhere.
func TestDeadServerTakesNoBudget(t *testing.T) {
	tier := routersWithThreshold(t, 5000, AdmitAll)
	b := tier[0]
	h := b.host.(*fakeHost)
	dead, again, lost := b.serverList[0].ID, 0, 0
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
			again++
		}
		if h.refused[id] > 0 {
			lost++
		}
	}
	if again == 0 || lost > 8 {
		t.Errorf("of 300 requests %d went elsewhere and %d were refused", again, lost)
	}
}
