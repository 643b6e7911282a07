package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

// The records that a Balancer keeps and their arithmetic. Nothing here decides.

// tickToken is the token of the housekeeping timer; other tokens hold a request and an attempt.
const tickToken = 1 << 63

// Balancer decides for one router.
type Balancer struct {
	cfg            Config
	tier           Tier               // what is known of the routers that share
	tierKnown      bool               // routers tell each other who there is
	admission      AdmissionThreshold // what they serve while they can't serve all,
	admissionAt    float64            // and when that was told
	demand         Demand             // but for its room
	totalCapacity  float64            // what all servers may be given a second by all routers
	idleBudget     decayingSum        // work that this router's part of that has left over
	processes      int                // of this router that decide at once
	shares         float64            // this process has one of so many equal parts of what all share
	host           Host
	rng            *rand.Rand
	now, startedAt float64
	classes        map[string]*Class
	quotas         map[string]float64
	tenantUse      map[string]*decayingSum // by tenant
	maxWorth       float64
	servers        map[uint32]*server
	serverList     []*server // cache servers on the list, by id
	origin         *server   // never a candidate
	zones          map[string]*zone
	mayFetchCount  int       // requests that are not closed and ask it by way of a server
	keyStored      bool      // a key was, since requests that wait were looked at last
	hashTable      []*server // buckets of the memento-hash; nil = removed
	tableEpoch     int       // of the table
	keys           map[uint64]*keyTraffic
	keyList        []*keyTraffic
	requests       map[uint32]*request
	waiting        []*request
	arrivals       decayingSum
	meanHint       float64 // mean hint
	latencies      moments // served latencies, ms
	solvedAt       float64
	loadScale      float64       // of rates to the utilisation that is solved for
	solveNeeded    bool          // something calls for a solve
	retryBudget    float64       // further attempts in hand
	probeBudget    float64       // and probes,
	nextProbe      int           // and whose turn it is to be probed
	fleetLatency   movingAverage // latency of a unit of work, over all servers
	connKeep       float64       // how long idle connections are kept
	waitShare      float64       // least share of the aim that is borne as wait
	lastLate       float64       // when an answer was late last
	fetchLimit     float64       // bound on outstanding fetches; under 1, they pause between two
	limitCutAt     float64       // when it was last cut,
	fetchesSent    decayingSum   // fetches sent
	fetchLatency   movingAverage // latency of fetches
	usualFailures  float64       // share of attempts that fail at the median server
	lostShare      float64       // share of overtaken attempts whose answers are lost
	medianCapacity float64       // capacity for a unit of size, of the servers that reported one
	medianFloor    float64       // and that of what they reported at their least, lately
	sizesKnown     bool          // whether sizes are told
	trafficShare   float64       // own part of all traffic, as far as reports tell
	watchAt        float64       // when to ask for the list again,
	listFailures   int           // and the calls that have failed in a row
}

// perSecond reads a rate, corrected for a memory that has not filled yet.
func (b *Balancer) perSecond(r *decayingSum, tau float64) float64 {
	return r.add(b.now, tau, 0) * 1000 / tau / (1 - math.Exp((b.startedAt-b.now-1)/tau))
}

// server is what a router knows of a server.
type server struct {
	Entry
	listed                   bool
	inFlight                 int     // own attempts outstanding,
	lastSent                 float64 // when the last was sent,
	connOpen                 bool    // and whether a connection may be open since
	connRefused              bool    // a connection was, and nothing has been answered since
	acceptShare              float64 // share of attempts accepted, lately
	suspicion                float64 // how much its failures speak for a sickness of its own,
	failShare                float64 // and their share, over thirty outcomes
	consecutiveFailures      int     // signs of silence since the last reply
	lastReply                float64 // time of the last reply
	answeredSentAt           float64 // when the latest of those that it has answered was sent
	ejected                  bool
	zoneLost                 bool        // was, with its whole zone
	trialAt, trialPause      float64     // ejected: when a trial is due, and the pause before it
	trialOverdue             float64     // and when it is, if no queue has brought one
	probedAt                 float64     // time of the last probe
	coldSince                float64     // start of the cold phase
	sendBudget               decayingSum // hard send budget while cold
	sentWork                 decayingSum // own work sent
	lastLoad                 Load
	reportedRate, reportedAt float64       // reported, a second, and when
	capacity                 movingAverage // capacity, requests a second; 0 = not reported
	latency                  movingAverage // latency of a unit of work
	channels                 int           // the model's channels,
	serviceRate, modelLoad   float64       // their rate, and the load set on the server so far,
	othersHotLoad            float64       // and what others are thought to send there of the keys solved singly
}

// maxZones bounds the records of zones.
const maxZones = 64

// zone is what a router knows of the servers of a zone together.
type zone struct {
	lastReply    float64   // time of the last reply of any of them
	unresponsive []*server // of which nothing has come since, each once, as many as make a zone lost
}

// zoneOf is the record of a server's zone.
func (b *Balancer) zoneOf(s *server) *zone {
	z := b.zones[s.Zone]
	if z == nil {
		if len(b.zones) >= maxZones { // names come and go with lists
			clear(b.zones)
		}
		z = &zone{}
		b.zones[s.Zone] = z
	}
	return z
}

// otherZoneReplied says whether a server of another zone has answered since.
func (b *Balancer) otherZoneReplied(z *zone, since float64) bool {
	for _, o := range b.zones {
		if o != z && o.lastReply > since {
			return true
		}
	}
	return false
}

// dedupGroup names those that drop repeats together with the server.
func (s *server) dedupGroup(scope string) string {
	switch scope {
	case "zone":
		return s.Zone
	case "cell":
		return strconv.Itoa(s.Cell)
	}
	return ""
}

// trafficOf is the traffic of a key.
type keyTraffic struct {
	id           uint64
	rate         decayingSum
	meanWork     float64   // mean work of a request
	tableEpoch   int       // of the hash table that list comes from
	owners       []uint32  // that may serve it; nil = any
	hashList     []*server // memento-hash list
	splitServers []*server // solved servers
	splitShares  []float64 // and their shares
	fetch        *request  // asks the origin for the key, or stores what that has brought
	absentAt     float64   // when the origin last had none; 0 = never
	storedAt     float64   // when a fetch last came back,
	storedOn     *server   // and where its answer was stored
}

// offeredLoad is λ_i/μ_i but for the memory of the rate, which is the same for all keys.
func (k *keyTraffic) offeredLoad() float64 { return k.rate.value * k.meanWork }

type attempt struct {
	server           *server
	sentAt           float64
	done, mayHaveRun bool // has its outcome; may have run
	wasOvertaken     bool // was past its patience when later ones had been answered
}

// request is a request of a client until its answer is given and its attempts are back.
type request struct {
	Request
	class           *Class
	key             *keyTraffic
	deadline, aimAt float64 // when the client leaves, and when the answer loses its worth
	work, worth     float64
	attempts        []attempt
	inFlight        int     // attempts outstanding
	missedOn        *server // where the key was missing
	waitingSince    float64 // since when it waits for the origin or for another's fetch; 0 = it doesn't
	mayFetch        bool    // its attempt is likely to ask the origin by way of the server
	finished        bool    // has its final answer
}

func (r *request) triedOn(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// recordOutcome books the outcome of an attempt and returns it, or nil if it is not outstanding.
func (r *request) recordOutcome(i int, st Status) *attempt {
	if r == nil || i < 0 || i >= len(r.attempts) || r.attempts[i].done {
		return nil
	}
	a := &r.attempts[i]
	a.done, a.mayHaveRun = true, !st.NeverRan()
	r.inFlight--
	a.server.inFlight--
	return a
}

// applyList brings a list update into the records and returns the servers that started anew.
func (b *Balancer) applyList(kind ListKind, entries []Entry) (started []*server) {
	for _, s := range b.servers {
		s.listed = s.listed && kind == Changes
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{acceptShare: 1, lastReply: b.now, coldSince: math.Inf(-1), probedAt: math.Inf(-1), reportedAt: math.Inf(-1)}
			b.servers[e.ID] = s
		}
		if e.Started > 0 && e.Started != s.Started {
			started = append(started, s)
		}
		s.Entry, s.listed = e, e.State != Removed
		if b.cfg.SizesVary {
			s.Size = 0 // a load figure, which says nothing of the machine
		}
	}
	b.serverList, b.origin = b.serverList[:0], nil
	for id, s := range b.servers {
		switch {
		case b.cfg.Aside && s.Kind == b.cfg.OriginKind:
			if s.listed && (b.origin == nil || id < b.origin.ID) {
				b.origin = s
			}
		case s.listed:
			b.serverList = append(b.serverList, s)
		case s.inFlight == 0:
			delete(b.servers, id)
		}
	}
	slices.SortFunc(b.serverList, func(p, q *server) int { return cmp.Compare(p.ID, q.ID) })
	return started
}

// buildTable fills the buckets of the memento-hash. A bucket that no listed server claims counts as removed:
// the table follows from ids alone, not from an order of changes, and few keys move.
func (b *Balancer) buildTable() {
	b.tableEpoch++
	b.hashTable = make([]*server, 1<<tableBits)
	for _, s := range b.serverList {
		for i := range b.bucketClaims(s) {
			slot := mix64(uint64(s.ID)<<8|uint64(i)) >> (64 - tableBits)
			if o := b.hashTable[slot]; o == nil || mix64(slot^uint64(s.ID)<<16) < mix64(slot^uint64(o.ID)<<16) {
				b.hashTable[slot] = s
			}
		}
	}
}

// bucketClaims is how many buckets a server claims. By weight they grow with it, and a change of one weight moves only the
// keys of the buckets that come or go.
func (b *Balancer) bucketClaims(s *server) int {
	if !b.cfg.Weighted || !validFigure(s.Size) {
		return bucketsPerServer
	}
	return int(min(maxBucketsPerServer, max(1, math.Round(bucketsPerServer*s.Size))))
}

// hashListOf gives the first distinct servers of a key. Keys of a removed bucket are drawn again over the table.
func (b *Balancer) hashListOf(k *keyTraffic) []*server {
	if k.tableEpoch != b.tableEpoch {
		k.hashList, k.tableEpoch, k.splitServers = b.listedServers(k.owners), b.tableEpoch, nil
		if k.owners != nil {
			return k.hashList
		}
		for h, i := mix64(k.id), 0; len(k.hashList) < min(maxCandidates, len(b.serverList)) && i < 4<<tableBits; i++ {
			if s := b.hashTable[h>>(64-tableBits)]; s != nil && !slices.Contains(k.hashList, s) {
				k.hashList = append(k.hashList, s)
			}
			h = mix64(h)
		}
	}
	return k.hashList
}

// listedServers are the servers of these ids that are on the list, at most as many as a key's list has.
func (b *Balancer) listedServers(ids []uint32) (list []*server) {
	for _, id := range ids {
		if s := b.servers[id]; s != nil && s.listed && len(list) < maxCandidates {
			list = append(list, s)
		}
	}
	return list
}

// canUse says whether a server may serve the request at all.
func (r *request) canUse(s *server) bool { return r.Owners == nil || slices.Contains(r.Owners, s.ID) }

// restore counts with exponential forgetting: its value over the memory is a rate.
type decayingSum struct{ value, updated float64 }

func (r *decayingSum) add(now, tau, x float64) float64 {
	if now > r.updated {
		r.value *= math.Exp((r.updated - now) / tau)
		r.updated = now
	}
	r.value += x
	return r.value
}

// restore follows a noisy figure, with a floor that rises slowly.
type movingAverage struct{ value, floor, updated float64 }

func (l *movingAverage) update(now, x, k float64) {
	if l.value == 0 {
		l.value, l.floor = x, x
	}
	if l.value += k * (x - l.value); l.value > l.floor {
		l.floor += (l.value - l.floor) * min(now-l.updated, 2000) / 60000
	} else {
		l.floor += 0.2 * (l.value - l.floor)
	}
	l.updated = now
}

// mix64 is the finaliser of SplitMix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// updateMedians brings the median capacity for a unit of size up to date, and returns the mean rate of the servers that
// reported one, 0 where none did. Where sizes are missing all count alike.
func (b *Balancer) updateMedians() (mean float64) {
	b.medianCapacity, b.medianFloor, b.sizesKnown = 0, 0, !slices.ContainsFunc(b.serverList, func(s *server) bool { return !validFigure(s.Size) || s.Size == 0 })
	xs, low, n := make([]float64, 0, len(b.serverList)), make([]float64, 0, len(b.serverList)), 0.0
	for _, s := range b.serverList {
		if s.reportedRate > 0 {
			mean, n = mean+s.reportedRate, n+1
		}
		if s.capacity.value > 0 {
			xs, low = append(xs, s.capacity.value/s.sizeUnit(b.sizesKnown)), append(low, min(s.capacity.value, s.capacity.floor)/s.sizeUnit(b.sizesKnown))
		}
	}
	if len(xs) > 0 {
		slices.Sort(xs)
		slices.Sort(low)
		b.medianCapacity, b.medianFloor = xs[len(xs)/2], low[len(low)/2]
	}
	return mean / max(1, n)
}

// typicalCapacity is the capacity that the median gives a server of the size of s; def where there is none.
func (b *Balancer) typicalCapacity(s *server, def float64) float64 {
	if b.medianCapacity == 0 {
		return def
	}
	return b.medianCapacity * s.sizeUnit(b.sizesKnown)
}

// medianFailShare is the share of attempts that fail at the median server: a few sick ones leave it where it is.
func medianFailShare(servers []*server) float64 {
	fails := make([]float64, 0, len(servers))
	for _, s := range servers {
		fails = append(fails, s.failShare)
	}
	if slices.Sort(fails); len(fails) == 0 {
		return 0
	}
	return fails[(len(fails)-1)/2]
}

// updateSuspicion adds an outcome to the evidence for a server that fails every second attempt, against one that fails no
// more than is usual: Page's test (CUSUM), the quickest to find a change for its rate of false alarms.
func (s *server) updateSuspicion(failed bool, usual float64) {
	usual = min(0.3, max(0.01, usual))
	if failed {
		s.failShare += (1 - s.failShare) / 30
		s.suspicion += math.Log(0.5 / usual)
		return
	}
	s.failShare -= s.failShare / 30
	s.suspicion = max(0, s.suspicion+math.Log(0.5/(1-usual)))
}

// recordOvertaken books an attempt past its patience that later ones have overtaken, and says whether it is taken for lost:
// the second time, or at once where most were. What was given up at once tells nothing, so the share falls a little,
// and soon the next one is waited for.
func (b *Balancer) recordOvertaken(a *attempt) bool {
	again, most := a.wasOvertaken, b.lostShare > 0.5
	switch a.wasOvertaken = true; {
	case again:
		b.lostShare += lostAnswerWeight * (1 - b.lostShare)
	case most:
		b.lostShare *= 0.97
	}
	return again || most
}

// recordLoad takes a load report; absent and absurd figures are passed over.
func (b *Balancer) recordLoad(s *server, l Load) {
	if !validFigure(l.QPS) || !validFigure(l.Util) || l == s.lastLoad {
		return
	}
	if s.lastLoad, s.reportedRate, s.reportedAt = l, l.QPS, b.now; l.Util > 0.03 && l.QPS > 0 {
		s.capacity.update(b.now, l.QPS/min(l.Util, 1.5)/b.warmFraction(s), 0.2) // over five reports, as they are noisy
	}
}

// sizeUnit is what a server's capacity is compared by.
func (s *server) sizeUnit(sized bool) float64 {
	if sized && s.Size > 0 {
		return s.Size
	}
	return 1
}

// validFigure says whether a reported figure can be used.
func validFigure(v float64) bool { return v >= 0 && v < 1e9 }

// countEjected counts the servers that are out of use.
func countEjected(servers []*server) (n int) {
	for _, s := range servers {
		if s.ejected {
			n++
		}
	}
	return n
}

// trafficOf finds the record of a request's key; without a key the request gets a place of its own.
func (b *Balancer) trafficOf(q Request) *keyTraffic {
	if !q.HasKey {
		return &keyTraffic{id: b.rng.Uint64(), meanWork: 1}
	}
	k := b.keys[q.Key]
	if k == nil {
		k = &keyTraffic{id: q.Key, meanWork: 1}
		b.keys[q.Key], b.keyList = k, append(b.keyList, k)
	}
	// Writes may go to fewer of them than reads, which is no change of the key's owners.
	part := q.Write && len(q.Owners) > 0 && len(k.owners) > 0 && k.owners[0] == q.Owners[0]
	if q.Owners != nil && !part && !slices.Equal(q.Owners, k.owners) {
		k.owners, k.tableEpoch = slices.Clone(q.Owners), 0
	}
	return k
}

// hottestKeys brings all rates up to now, forgets keys that have faded and the shares of the others, and returns the hottest of
// them in order. One pass without memory of its own: it stands in the way of requests, and keys come by the hundred
// thousand.
func (b *Balancer) hottestKeys() []*keyTraffic {
	mem, top := b.keyMemory(), make([]*keyTraffic, 0, maxHotKeys+1)
	b.keyList = slices.DeleteFunc(b.keyList, func(k *keyTraffic) bool {
		if k.rate.add(b.now, mem, 0) < 0.02 && k.fetch == nil {
			delete(b.keys, k.id)
			return true
		}
		k.splitServers, top = nil, insertHottest(top, k, maxHotKeys)
		return false
	})
	return top
}

// insertHottest puts a key among the hottest, which are in order, n at most.
func insertHottest(top []*keyTraffic, k *keyTraffic, n int) []*keyTraffic {
	c := k.offeredLoad()
	if len(top) == n && c <= top[n-1].offeredLoad() {
		return top
	}
	at := len(top) // behind those that are as hot
	for at > 0 && top[at-1].offeredLoad() < c {
		at--
	}
	if top = slices.Insert(top, at, k); len(top) > n {
		top = top[:n]
	}
	return top
}

// relativeWork is a request's work by its hint, in units of the mean.
func (b *Balancer) relativeWork(hint float64) float64 {
	if hint <= 0 || !validFigure(hint) {
		return 1
	}
	if b.meanHint == 0 {
		b.meanHint = hint
	}
	b.meanHint += 0.01 * (hint - b.meanHint)
	return min(50, max(0.05, hint/b.meanHint))
}

// moments are X̄ and X², moving with the last few hundred samples.
type moments struct{ mean, meanSquare, samples float64 }

func (m *moments) update(x float64) {
	m.samples = min(m.samples+1, 400)
	m.mean += (x - m.mean) / m.samples
	m.meanSquare += (x*x - m.meanSquare) / m.samples
}

// momentRatio is X²/X̄², bounded.
func (m *moments) momentRatio() float64 {
	return min(20, max(1, m.meanSquare/max(m.mean*m.mean, 1e-9)))
}

// fetchesInFlight counts the fetches out: at the origin, or of keys that servers are likely to fetch by themselves.
func (b *Balancer) fetchesInFlight() float64 {
	if b.origin != nil {
		return float64(b.origin.inFlight)
	}
	return float64(b.mayFetchCount)
}

// setMayFetch notes whether a request's attempt is likely to ask the origin by way of the server.
func (b *Balancer) setMayFetch(r *request, asks bool) {
	if r.mayFetch == asks {
		return
	}
	if r.mayFetch = asks; r.finished {
		return
	}
	if asks {
		b.mayFetchCount++
	} else {
		b.mayFetchCount--
	}
}

// tierScale is how many times larger the tier is than ten routers, 1 at least.
func (b *Balancer) tierScale() float64 { return max(1, float64(b.cfg.Routers)/10) }

// firstColdBudget is what a router has of a cold server's budget at first. In a large tier parts take seconds to fill for one request, and
// all fill at the same time: for as long nobody would use the server, and then all at once. So they begin spread.
func (b *Balancer) firstColdBudget() float64 {
	if b.tierScale() > 1 {
		return b.rng.Float64()
	}
	return 0
}

// boundListWait bounds a wait before the next call for the list by a part of the time after which news count as told unasked.
func (b *Balancer) boundListWait(part, wait float64) float64 {
	if b.cfg.MustAsk > 0 {
		return min(wait, part*b.cfg.MustAsk)
	}
	return wait
}

// sendSparsity is near 1 where seconds pass between two own sends to a server, near 0 where there are many.
func (b *Balancer) sendSparsity() float64 {
	return 1 - math.Exp(-float64(len(b.serverList))/(2*b.perSecond(&b.arrivals, keyRateTau)+0.01))
}

// keyMemory is the memory of key rates: a hundred arrivals, so that a router of many tells a hot key at all.
func (b *Balancer) keyMemory() float64 {
	return min(60000, max(keyRateTau, 1e5/max(1, b.perSecond(&b.arrivals, keyRateTau))))
}

// warmFraction is the share of its capacity that a server has at least.
func (b *Balancer) warmFraction(s *server) float64 {
	if math.IsInf(s.coldSince, -1) { // started long ago; with ColdFrom at 1 the line below would give no number
		return 1
	}
	return min(1, b.cfg.ColdFrom+(1-b.cfg.ColdFrom)*max(0, b.now-s.coldSince)/max(b.cfg.Cold, 1))
}

// waitingRequests gives λT(λ), the requests waiting at an M/G/m server by equations (2) to (5), and its two
// derivatives. n channels serve mu a second each; c2 is X²/X̄².
func waitingRequests(lam float64, n int, mu, c2 float64) (f, d, h float64) {
	m := float64(n)
	over := max(0, lam-0.98*m*mu) // λ_j < n_j·μ_o: past the guard a parabola keeps all finite
	a := max((lam-over)/mu, 1e-9)
	rho, e := a/m, 1.0
	for k := 1.0; k <= m; k++ {
		e = a * e / (k + a*e) // Erlang B
	}
	e1 := e * (m/a - 1 + e)
	e2 := e1*(m/a-1+e) + e*(e1-m/(a*a))
	q, q1, q2 := 1-rho*(1-e), rho*e1-(1-e)/m, 2*e1/m+rho*e2
	p := e / q // equation (2)
	p1 := (e1 - p*q1) / q
	p2 := (e2 - 2*p1*q1 - p*q2) / q
	g, k := 1/(1-rho), c2/2
	f = k * rho * g * p
	d = k * (g*g*p/m + rho*g*p1) / mu
	h = k * (2*g*g*g*p/(m*m) + 2*g*g*p1/m + rho*g*p2) / (mu * mu)
	return f + over*(d+over*h/2), d + over*h, h
}

// recentlyAbsent says whether the origin had no value of a key lately.
func (b *Balancer) recentlyAbsent(k *keyTraffic) bool {
	return k.absentAt > 0 && b.now < k.absentAt+absentMemory
}
