package decide

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// fakeHost records the actions of a Balancer.
type fakeHost struct {
	logs    []string
	sends   []sentAttempt
	refused map[uint32]int
	failed  map[uint32]int
	cancels []string
	timers  []timer
	probes  []uint32
	closes  []uint32
	watches int
	onSend  func(id uint32)
}

type sentAttempt struct{ id, server uint32 }

type timer struct {
	after float64
	token uint64
}

func newHost() *fakeHost { return &fakeHost{refused: map[uint32]int{}, failed: map[uint32]int{}} }

func (h *fakeHost) Send(id, server uint32, _ float64) {
	if h.onSend != nil {
		h.onSend(id)
	}
	h.sends = append(h.sends, sentAttempt{id, server})
}
func (h *fakeHost) Cancel(id uint32, a int)     { h.cancels = append(h.cancels, fmt.Sprint(id, "/", a)) }
func (h *fakeHost) Refuse(id uint32, _ float64) { h.refused[id]++ }
func (h *fakeHost) Fail(id uint32)              { h.failed[id]++ }
func (h *fakeHost) Probe(s uint32)              { h.probes = append(h.probes, s) }
func (h *fakeHost) Close(s uint32)              { h.closes = append(h.closes, s) }
func (h *fakeHost) Timer(after float64, token uint64) {
	h.timers = append(h.timers, timer{after, token})
}
func (h *fakeHost) WatchList()       { h.watches++ }
func (h *fakeHost) Broadcast([]byte) {}
func (h *fakeHost) Log(text string)  { h.logs = append(h.logs, text) }

func (h *fakeHost) last() sentAttempt { return h.sends[len(h.sends)-1] }

// answers returns the number of final answers that the Balancer itself gave a request.
func (h *fakeHost) answers(id uint32) int { return h.refused[id] + h.failed[id] }

func testConfig() Config {
	return Config{
		Routers: 2, Classes: []Class{
			{Name: "read", Effect: Repeatable, Aim: 300, Deadline: 600, Worth: 1},
			{Name: "dear", Effect: Repeatable, Aim: 300, Deadline: 600, Worth: 4},
			{Name: "keyed", Effect: Keyed, Scope: "all", Window: 2000, Aim: 300, Deadline: 600, Worth: 1},
			{Name: "zoned", Effect: Keyed, Scope: "zone", Window: 2000, Aim: 300, Deadline: 600, Worth: 1},
			{Name: "once", Effect: Once, Aim: 300, Deadline: 600, Worth: 1},
		},
		Cancel: true, Copies: true, MaxAttempts: 4, Cold: 8000, ColdFrom: 0.4, FallMult: 3, FallFor: 2000,
	}
}

// fleet lists n ready servers with IDs that are spread like real ones.
func fleet(n int) []Entry {
	var entries []Entry
	for i := range n {
		entries = append(entries, Entry{ID: uint32(mix64(uint64(i + 1))), Size: 1,
			Zone: string(rune('a' + i%2)), Cell: i / 3})
	}
	return entries
}

func start(t testing.TB, cfg Config, entries []Entry) (*Balancer, *fakeHost) {
	t.Helper()
	h := newHost()
	b, err := New(cfg, 7, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Servers(100000, Restored, entries)
	return b, h
}

// newRead returns a request for a key with time and worth to spare.
func newRead(b *Balancer, k *keyTraffic) *request {
	return &request{class: &b.cfg.Classes[0], key: k, work: 1, worth: 1, deadline: b.now + 600,
		aimAt: b.now + 300}
}

func ask(b *Balancer, now float64, id uint32, class string, key uint64) {
	b.Request(now, Request{ID: id, Class: class, Key: key, HasKey: true, Left: 600})
}

// ---- The policy file ----

func TestPolicyFileStaysShort(t *testing.T) {
	f, err := os.Open("decide.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close() //nolint:errcheck
	lines, sc := 0, bufio.NewScanner(f)
	for n := 1; sc.Scan(); n++ {
		text := sc.Text()
		if strings.TrimSpace(text) != "" {
			lines++
		}
		if w := utf8.RuneCountInString(strings.ReplaceAll(text, "\t", "    ")); w > 110 {
			t.Errorf("line %d has %d columns, 110 at most", n, w)
		}
	}
	if lines > 1200 {
		t.Errorf("%d lines that are not blank, 1,200 at most over all policy files", lines)
	}
}

// ---- M/G/m model ----

func TestDelayAgainstKnownValues(t *testing.T) {
	erlangC := func(m int, a float64) float64 { // by the textbook sum
		sum, term := 0.0, 1.0
		for k := range m {
			if k > 0 {
				term *= a / float64(k)
			}
			sum += term
		}
		term *= a / float64(m)
		tail := term / (1 - a/float64(m))
		return tail / (sum + tail)
	}
	for _, c := range []struct {
		m   int
		rho float64
	}{{1, 0.3}, {1, 0.9}, {2, 0.5}, {7, 0.8}, {20, 0.95}} {
		mu := 10.0
		a := c.rho * float64(c.m)
		got, _, _ := waitingRequests(a*mu, c.m, mu, 2) // exponential service: X² = 2·X̄²
		want := erlangC(c.m, a) * c.rho / (1 - c.rho)
		if math.Abs(got-want) > 1e-9*(1+want) {
			t.Errorf("m=%d rho=%v: %v requests waiting, want %v", c.m, c.rho, got, want)
		}
		half, _, _ := waitingRequests(a*mu, c.m, mu, 1) // fixed service waits half as long
		if math.Abs(half-want/2) > 1e-9*(1+want) {
			t.Errorf("m=%d rho=%v: fixed service %v, want %v", c.m, c.rho, half, want/2)
		}
	}
}

func TestDelayDerivatives(t *testing.T) {
	for _, m := range []int{1, 2, 5, 13} {
		for _, rho := range []float64{0.05, 0.4, 0.8, 0.97, 1.2} {
			mu, c2 := 8.0, 1.7
			lam := rho * float64(m) * mu
			e := 1e-4 * lam
			_, d, h := waitingRequests(lam, m, mu, c2)
			f1, d1, _ := waitingRequests(lam-e, m, mu, c2)
			f2, d2, _ := waitingRequests(lam+e, m, mu, c2)
			if n := (f2 - f1) / (2 * e); math.Abs(n-d) > 1e-4*math.Abs(d)+1e-12 {
				t.Errorf("m=%d rho=%v: FDL %v, numerically %v", m, rho, d, n)
			}
			if n := (d2 - d1) / (2 * e); math.Abs(n-h) > 1e-3*math.Abs(h)+1e-12 {
				t.Errorf("m=%d rho=%v: second derivative %v, numerically %v", m, rho, h, n)
			}
		}
	}
}

func TestDelayIsFiniteAndRising(t *testing.T) {
	for _, m := range []int{1, 3, 256} {
		was := -1.0
		for lam := 0.0; lam < 3*float64(m); lam += 0.01 * float64(m) {
			f, d, h := waitingRequests(lam, m, 1, 2)
			if f < was || math.IsNaN(f+d+h) || math.IsInf(f+d+h, 0) || d < 0 {
				t.Fatalf("m=%d lam=%v: f=%v d=%v h=%v after %v", m, lam, f, d, h, was)
			}
			was = f
		}
	}
}

// ---- Solver ----

func modelServers(ns ...int) []*server {
	var v []*server
	for i, n := range ns {
		v = append(v, &server{Entry: Entry{ID: uint32(i + 1)}, channels: n, serviceRate: 10})
	}
	return v
}

func totalWaiting(v []*server, x []float64, c2 float64) (f float64) {
	for j, s := range v {
		w, _, _ := waitingRequests(s.modelLoad+x[j], s.channels, s.serviceRate, c2)
		f += w
	}
	return f
}

func TestBalanceFindsTheOptimum(t *testing.T) {
	for _, c := range []struct {
		n     []int
		load  []float64
		total float64
	}{
		{[]int{2, 2, 2}, []float64{0, 0, 0}, 45}, {[]int{1, 4, 7}, []float64{5, 10, 0}, 60},
		{[]int{3, 3, 1}, []float64{29, 0, 0}, 20}, {[]int{1, 1, 1}, []float64{0, 0, 0}, 28.5},
	} {
		b := &Balancer{}
		v := modelServers(c.n...)
		for j, l := range c.load {
			v[j].modelLoad = l
		}
		x := []float64{c.total, 0, 0}
		b.balanceFlow(v, x)
		if sum := x[0] + x[1] + x[2]; math.Abs(sum-c.total) > 1e-6 {
			t.Fatalf("%v: rates add up to %v", c, sum)
		}
		best := math.Inf(1)
		const grid = 400
		for i := 0; i <= grid; i++ {
			for j := 0; i+j <= grid; j++ {
				y := []float64{float64(i), float64(j), float64(grid - i - j)}
				for k := range y {
					y[k] *= c.total / grid
				}
				best = min(best, totalWaiting(v, y, b.latencies.momentRatio()))
			}
		}
		if got := totalWaiting(v, x, b.latencies.momentRatio()); got > best*1.02+1e-6 {
			t.Errorf("%v: F %v at %v, brute force %v", c, got, x, best)
		}
	}
}

func TestBalanceEqualisesFDL(t *testing.T) {
	b := &Balancer{}
	v := modelServers(2, 3, 5)
	x := []float64{80, 0, 0}
	b.balanceFlow(v, x)
	var d [3]float64
	for j, s := range v {
		_, d[j], _ = waitingRequests(x[j], s.channels, s.serviceRate, b.latencies.momentRatio())
		if x[j] >= float64(s.channels)*s.serviceRate {
			t.Errorf("server %d gets a rate of %v, over its capacity", j, x[j])
		}
	}
	for j := range d {
		if math.Abs(d[j]-d[0]) > 0.1*d[0] {
			t.Errorf("FDLs differ: %v at rates %v", d, x)
		}
	}
}

func TestSplitWidensOnlyWhileWaitingFalls(t *testing.T) {
	b := &Balancer{}
	for _, c := range []struct {
		total, fetch float64 // rate, and latency of a fetch
		want         int
	}{{1, 1, 1}, {28, 10, 2}, {55, 10, 3}, {28, 1e6, 1}} {
		k := &keyTraffic{}
		v := modelServers(3, 3, 3, 3)
		b.loadScale, b.fetchLatency.value = 1, c.fetch
		b.splitFlow(k, v, c.total)
		if len(k.splitServers) != c.want && (c.want == 1 || len(k.splitServers) < c.want) {
			t.Errorf("total %v, fetch %v: %d servers, want %d", c.total, c.fetch, len(k.splitServers), c.want)
		}
		sum, load := 0.0, 0.0
		for j, p := range k.splitShares {
			sum += p
			load += k.splitServers[j].modelLoad
		}
		if k.splitServers[0].ID != 1 || math.Abs(sum-1) > 1e-9 || math.Abs(load-c.total) > 1e-6 {
			t.Errorf("total %v: home %d, shares add up to %v, load to %v", c.total, k.splitServers[0].ID, sum,
				load)
		}
	}
}

// ---- Hash list ----

func TestListsAgreeAfterRestart(t *testing.T) {
	entries := fleet(10)
	b1, _ := start(t, testConfig(), entries[:8])
	b1.Servers(100100, Changes, entries[8:])
	b1.Servers(100200, Changes, []Entry{{ID: entries[2].ID, State: Removed}})
	rest := append(append([]Entry{}, entries[3:]...), entries[:2]...)
	b2, _ := start(t, testConfig(), rest)
	for key := range uint64(500) {
		l1, l2 := b1.hashListOf(&keyTraffic{id: key}), b2.hashListOf(&keyTraffic{id: key})
		if len(l1) != maxCandidates || len(l2) != maxCandidates {
			t.Fatalf("key %d: lists of %d and %d", key, len(l1), len(l2))
		}
		for i := range l1 {
			if l1[i].ID != l2[i].ID {
				t.Fatalf("key %d: position %d differs", key, i)
			}
			for _, o := range l1[:i] {
				if o == l1[i] {
					t.Fatalf("key %d: a server is listed twice", key)
				}
			}
		}
	}
}

func TestChangeMovesFewKeys(t *testing.T) {
	entries := fleet(11)
	homes := func(entries []Entry) map[uint64]uint32 {
		b, _ := start(t, testConfig(), entries)
		m := map[uint64]uint32{}
		for key := range uint64(4000) {
			m[key] = b.hashListOf(&keyTraffic{id: key})[0].ID
		}
		return m
	}
	before, without, with := homes(entries[:10]), homes(entries[1:10]), homes(entries)
	moved, share := 0, map[uint32]int{}
	for key, h := range before {
		share[h]++
		if h != entries[0].ID && without[key] != h {
			t.Fatalf("key %d left a server that stayed", key)
		}
		if with[key] != h {
			moved++
			if with[key] != entries[10].ID {
				t.Fatalf("key %d moved between servers that stayed", key)
			}
		}
	}
	if moved > 4000*2/11 {
		t.Errorf("%d of 4000 keys moved to one new server of 11", moved)
	}
	for id, n := range share {
		if n < 150 || n > 800 {
			t.Errorf("server %d is home to %d of 4000 keys", id, n)
		}
	}
}

func TestHealthDoesNotMoveTheHash(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(8))
	k := &keyTraffic{id: 42}
	home := b.hashListOf(k)[0]
	home.ejected = true
	b.solve()
	if b.hashListOf(k)[0] != home {
		t.Error("an ejected server lost its position in the list")
	}
	if c := b.candidates(k); c[0] != b.hashListOf(k)[1] {
		t.Error("the second server does not replace an ejected first")
	}
}

// ---- Server choice ----

func TestPicksMatchShares(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.hashListOf(k)
	k.splitServers, k.splitShares = []*server{l[0], l[2]}, []float64{0.7, 0.3}
	n := map[*server]int{}
	for range 10000 {
		n[b.pickServer(newRead(b, k))]++
	}
	if math.Abs(float64(n[l[0]])/10000-0.7) > 0.02 || n[l[0]]+n[l[2]] != 10000 {
		t.Errorf("shares 0.7 and 0.3 were picked %d and %d times of 10000", n[l[0]], n[l[2]])
	}
}

// Guards against splitting groups of cold keys by shares that change with every solve: keys moved, and each
// move was a miss.
func TestColdKeyStaysHomeWhateverTheSolverFinds(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	for _, s := range b.serverList {
		s.capacity.update(b.now, 40, 1)
	}
	for key := range uint64(300) {
		b.trafficOf(Request{Key: key, HasKey: true}).rate.add(b.now, keyRateTau, 1)
	}
	for round := range 5 {
		for i, s := range b.serverList {
			s.reportedRate = float64(30 * ((i + round) % 2)) // alternating load from other routers
		}
		b.solve()
		for key := range uint64(300) {
			k := b.trafficOf(Request{Key: key, HasKey: true})
			if s := b.pickServer(newRead(b, k)); s != b.hashListOf(k)[0] {
				t.Fatalf("round %d: cold key %d left its home", round, key)
			}
		}
	}
}

// ---- Bursts ----

// fillQueue gives a server so many attempts in flight that another request would be late.
func fillQueue(b *Balancer, s *server) {
	s.capacity.update(b.now, 10, 1)
	s.latency.update(b.now, 100, 1)
	s.inFlight = 30
}

func TestFullHomeOffersTheRequestAlongTheList(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.hashListOf(k)
	fillQueue(b, l[0])
	b.solve()
	k.splitServers, k.splitShares = l[:1], []float64{1}
	ask(b, 100001, 1, "read", 5)
	if len(h.sends) != 1 || h.last().server != l[1].ID {
		t.Errorf("sends %v, want one to the second server of the list", h.sends)
	}
}

// Guards against spreading keys while the origin is slow: each request sent to a further server of its list
// was a miss there, and the misses held up all others.
func TestSlowOriginKeepsKeysFromSpreading(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	b.fetchLatency = movingAverage{value: 400, floor: 80, updated: b.now}
	k := b.trafficOf(Request{Key: 5, HasKey: true})
	l := b.hashListOf(k)
	fillQueue(b, l[0])
	ask(b, 100001, 1, "read", 5)
	k.storedOn = l[2]
	ask(b, 100002, 2, "read", 5)
	if h.refused[1] != 1 || len(h.sends) != 1 || h.last() != (sentAttempt{2, l[2].ID}) {
		t.Errorf("refused %v, sends %v: want a refusal, then a send to the server that stores the key",
			h.refused, h.sends)
	}
}

func TestFullFleetRefusesEarlyTheLeastWorthFirst(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, s := range b.serverList {
		fillQueue(b, s)
		s.inFlight = 1 // a wait of 100 ms
	}
	ask(b, 100001, 1, "read", 5)
	ask(b, 100001, 2, "dear", 6)
	if h.refused[1] != 1 || h.refused[2] != 0 || len(h.sends) != 1 {
		t.Errorf("refused %v, sends %v: want the request of low worth refused and the other sent", h.refused,
			h.sends)
	}
}

// Overloaded servers answer late although their estimated wait is short: the router must send them less than
// it sends quick ones.
func TestLateAnswersLowerToleratedWait(t *testing.T) {
	for _, c := range []struct {
		took      float64
		low, high float64
	}{{20, 0.24, 0.25}, {400, 0, 0.16}} {
		b, h := start(t, testConfig(), fleet(6))
		for i := range uint32(300) {
			now := 100001 + 500*float64(i)
			if ask(b, now, i+1, "read", uint64(i)); len(h.sends) == 0 || h.last().id != i+1 {
				continue // refused
			}
			o := Outcome{ID: i + 1, Server: h.last().server, Latency: c.took, CacheResult: 1, Final: true,
				Load: NoLoad}
			b.Outcome(now+c.took, o)
		}
		if b.waitShare < c.low || b.waitShare > c.high {
			t.Errorf("answers after %v ms: accepted wait is %v of the aim, want %v to %v", c.took,
				b.waitShare, c.low, c.high)
		}
	}
}

// Guards against overestimating the latency for a unit of work: a light request spends as much fixed time as
// a heavy one, and that time over its small work made small servers seem to take 700 ms.
func TestLatencyCountsForItsWork(t *testing.T) {
	b, h := start(t, testConfig(), fleet(1))
	for i := range uint32(400) {
		now, hint := 100001+500*float64(i), 1.0+9*float64(i%2)
		b.Request(now, Request{ID: i + 1, Class: "dear", Key: 1, HasKey: true, Left: 600, Hint: hint})
		latency := 50 + 10*hint
		b.Outcome(now+latency, Outcome{ID: i + 1, Server: h.last().server, Latency: latency, CacheResult: 1,
			Final: true, Load: NoLoad})
	}
	if v := b.serverList[0].latency.value; v < 80 || v > 160 { // the mean is 105 ms, at a mean work of 1
		t.Errorf("%v ms per unit of work, want about 105", v)
	}
}

// Guards against refusing for good after the loss of a zone: while all requests are refused, no answer can
// correct the observed latency, so it has to decay.
func TestObservedWaitDecays(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, s := range b.serverList {
		s.capacity.update(b.now, 10, 1)
		s.latency.update(b.now, 100, 1)
		s.latency.value, s.reportedRate = 2000, 20 // others hold 40 requests
	}
	ask(b, 100001, 1, "read", 5)
	ask(b, 110001, 2, "read", 5)
	if h.refused[1] != 1 || h.refused[2] != 0 {
		t.Errorf("refused %v: want the first only", h.refused)
	}
}

// Guards against copies of keys that don't pay: at 90% utilisation almost every home looks full, and the
// copies evicted each other from the caches.
func TestSplitComparesGainAtUnscaledRates(t *testing.T) {
	b := &Balancer{loadScale: 3}
	b.fetchLatency.value = 50
	k := &keyTraffic{}
	v := modelServers(3, 3)
	b.splitFlow(k, v, 28) // 28 of 30 when scaled, 9 in reality
	if len(k.splitServers) != 1 {
		t.Errorf("%d servers for a key that one can serve", len(k.splitServers))
	}
}

// Guards against judging a hot key by a router's own rate. One router of hundreds sees such a key once in
// eight seconds: at that rate all its requests would fit on one other server, and hundreds of routers moved
// them there together.
func TestKeyHotForTheFleetIsSplitAtTheFleetsRate(t *testing.T) {
	cfg := testConfig()
	cfg.Routers = 300
	b, h := start(t, cfg, fleet(40))
	hot := b.trafficOf(Request{Key: 1, HasKey: true})
	for i := range uint32(100) { // 2.5 a second, every 20th for the hot key
		now, key := 100010+400*float64(i), uint64(i)
		if i%20 == 0 {
			key = 1
		}
		ask(b, now, i+1, "read", key)
		if len(h.sends) > 0 && h.last().id == i+1 {
			b.Outcome(now+50, Outcome{ID: i + 1, Server: h.last().server, Status: OK, Latency: 50,
				Final: true, Load: NoLoad})
		}
		for _, s := range b.serverList {
			s.capacity.value, s.reportedRate = 40, 15
		}
		b.hashListOf(hot)[0].reportedRate = 22
		b.Timer(now+100, tickToken)
	}
	b.solve()
	if len(hot.splitServers) < 2 || hot.splitShares[0] < 0.1 || hot.splitShares[0] > 0.9 {
		t.Errorf("the key is at %d servers with shares %v", len(hot.splitServers), hot.splitShares)
	}
}

// Guards against a hot key that overloads its home unnoticed: each router sees it so seldom that its requests
// went to the same server again and again, and timed out.
func TestStallRaisesKeyRateWhenTrafficIsSparse(t *testing.T) {
	for _, c := range []struct {
		before int // requests in the second before
		hot    bool
	}{{2, true}, {400, false}} {
		cfg := testConfig()
		cfg.Aside, cfg.OriginKind = true, "origin"
		b, h := start(t, cfg, append(fleet(40), Entry{ID: 77, Kind: "origin"}))
		for i := range uint32(c.before) {
			ask(b, 100010+1000*float64(i)/float64(c.before), 100+i, "read", uint64(100+i))
			b.Outcome(b.now, Outcome{ID: 100 + i, Server: h.last().server, Latency: 5, Final: true,
				Load: NoLoad})
		}
		ask(b, 101010, 1, "read", 9)
		k := b.requests[1].key
		b.servers[h.last().server].lastReply = 0
		b.Timer(101200, 1<<8|1)
		if hot := k.rate.value >= minHotArrivals; hot != c.hot {
			t.Errorf("%d requests a second: %v arrivals after a stall", c.before, k.rate.value)
		}
	}
}
