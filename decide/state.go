package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

// The state that a Balancer keeps and the arithmetic on it. The decisions are in decide.go.

// tickToken is the token of the housekeeping timer; other tokens encode a request and an attempt.
const tickToken = 1 << 63

// Balancer makes the decisions of one router. It is not safe for concurrent use.
type Balancer struct {
	cfg            Config
	tier           Tier               // what is known of the routers that share the servers
	tierKnown      bool               // routers announce themselves to each other
	admission      AdmissionThreshold // admission threshold of the tier,
	admissionAt    float64            // and when it was received, ms
	demand         Demand             // arrivals so far; its capacity is filled in when it is read
	totalCapacity  float64            // work per second that all routers may send to all servers
	idleBudget     decayingSum        // tokens: work that this router's share of totalCapacity has left
	processes      int                // of this router that decide at the same time
	shares         float64            // this process has 1/shares of each shared resource
	host           Host
	rng            *rand.Rand
	now, startedAt float64 // latest event; first event, or -1 before it
	classes        map[string]*Class
	quotas         map[string]float64      // requests per second, by tenant
	tenantUse      map[string]*decayingSum // recent requests, by tenant
	maxWorth       float64                 // highest worth of a class
	servers        map[uint32]*server
	serverList     []*server // cache servers on the list, by ID
	origin         *server   // never a candidate
	zones          map[string]*zone
	mayFetchCount  int       // unfinished requests that ask the origin through a server
	keyStored      bool      // a key was stored since the waiting requests were last checked
	hashTable      []*server // buckets of the memento-hash; nil = removed
	tableEpoch     int       // counts rebuilds of hashTable
	keys           map[uint64]*keyTraffic
	keyList        []*keyTraffic // values of keys
	nextEviction   int           // index in keyList behind which the next key to forget is looked for
	requests       map[uint32]*request
	waiting        []*request    // for the origin or for a fetch of their key
	arrivals       decayingSum   // requests
	meanHint       float64       // mean Request.Hint
	latencies      moments       // of served requests, ms
	solvedAt       float64       // time of the last solve
	loadScale      float64       // factor that brings rates to the utilisation solved for
	solveNeeded    bool          // solve sooner than the usual interval
	retryBudget    float64       // retries and hedged attempts available
	probeBudget    float64       // probes available
	nextProbe      int           // index in serverList of the next server to probe
	fleetLatency   movingAverage // ms per unit of work, over all servers
	connKeep       float64       // ms that idle connections are kept
	waitShare      float64       // least share of the aim accepted as waiting time
	lastLate       float64       // when an answer was last late
	fetchLimit     float64       // bound on fetches in flight; below 1 it limits their rate
	limitCutAt     float64       // when fetchLimit was last cut
	fetchesSent    decayingSum   // recent fetches
	fetchLatency   movingAverage // of fetches, ms
	usualFailures  float64       // share of attempts that fail at the median server
	lostShare      float64       // share of overtaken attempts whose answers are lost
	medianCapacity float64       // requests per second and unit of size, of the servers that reported
	medianFloor    float64       // the same, by the lowest recent value of each server
	sizesKnown     bool          // whether all listed servers have a size
	trafficShare   float64       // estimated share of all traffic that this router handles
	listCalls      listCalls     // for the list, where it has to be asked for
	lateAt, lateBy float64       // when this router itself was last late, and by how many ms; 0 = never
}

// perSecond returns a rate per second, corrected for a window that is not filled yet.
func (b *Balancer) perSecond(r *decayingSum, tau float64) float64 {
	return r.add(b.now, tau, 0) * 1000 / tau / (1 - math.Exp((b.startedAt-b.now-1)/tau))
}

// server holds what a router knows of a server. Times are in ms.
type server struct {
	Entry
	listed                   bool          // is on the list
	inFlight                 int           // own attempts
	answering                int           // those of them whose answers have begun
	lastSent                 float64       // when the last attempt was sent
	connOpen                 bool          // a connection may have been open since lastSent
	connRefused              bool          // a connection was refused, and nothing has been answered since
	acceptShare              float64       // recent share of attempts accepted
	suspicion                float64       // CUSUM statistic: evidence that the server itself is faulty
	failShare                float64       // share of failures, averaged over 30 outcomes
	consecutiveFailures      int           // missed replies since the last reply
	lastReply                float64       // time of the last reply
	answeredSentAt           float64       // send time of the latest attempt that it has answered
	ejected                  bool          // out of use because of its health
	zoneLost                 bool          // ejected together with its whole zone
	trialAt, trialPause      float64       // ejected: when a trial is due, and the pause before it
	trialOverdue             float64       // when to force a trial that no queue has brought about
	probedAt                 float64       // time of the last probe
	coldSince                float64       // start of the cold phase; -Inf = long ago
	sendBudget               decayingSum   // tokens: limits what is sent to a cold server or by a share
	sentWork                 decayingSum   // own work sent recently
	lastLoad                 Load          // the latest report
	reportedRate, reportedAt float64       // reported requests per second, and when
	capacity                 movingAverage // requests per second; 0 = not reported
	latency                  movingAverage // ms per unit of work
	channels                 int           // in the queueing model
	serviceRate, modelLoad   float64       // of a channel, per second; load assigned so far
	othersHotLoad            float64       // load that others are expected to send for the keys solved singly
}

// maxZones bounds the number of zone records.
const maxZones = 64

// zone holds what a router knows of the servers of a zone together.
type zone struct {
	lastReply    float64   // time of the last reply of any of them, ms
	unresponsive []*server // distinct servers without a reply since; at most as many as eject a zone
}

// zoneOf returns the record of a server's zone.
func (b *Balancer) zoneOf(s *server) *zone {
	z := b.zones[s.Zone]
	if z == nil {
		if len(b.zones) >= maxZones { // zone names come and go with lists
			clear(b.zones)
		}
		z = &zone{}
		b.zones[s.Zone] = z
	}
	return z
}

// otherZoneReplied reports whether a server of another zone has answered since.
func (b *Balancer) otherZoneReplied(z *zone, since float64) bool {
	for _, o := range b.zones {
		if o != z && o.lastReply > since {
			return true
		}
	}
	return false
}

// dedupGroup identifies the servers that drop duplicates together with s.
func (s *server) dedupGroup(scope string) string {
	switch scope {
	case "zone":
		return s.Zone
	case "cell":
		return strconv.Itoa(s.Cell)
	}
	return ""
}

// keyTraffic is the traffic of a key and where it is served.
type keyTraffic struct {
	id           uint64
	rate         decayingSum // recent requests
	meanWork     float64     // mean work of a request
	tableEpoch   int         // value of Balancer.tableEpoch that hashList was built for
	owners       []uint32    // that may serve it; nil = any
	hashList     []*server   // candidates in memento-hash order, or the listed owners
	splitServers []*server   // servers that the solver splits the key over; nil = none
	splitShares  []float64   // and the share of each
	fetch        *request    // in flight at the origin, or storing what it returned
	absentAt     float64     // when the origin last reported it absent, ms; 0 = never
	storedAt     float64     // when a fetch last came back, ms
	storedOn     *server     // where that answer was stored
}

// offeredLoad is λ_i/μ_i up to the window of the rate, which is the same for all keys.
func (k *keyTraffic) offeredLoad() float64 { return k.rate.value * k.meanWork }

type attempt struct {
	server           *server
	sentAt           float64
	extendedAt       float64 // when the patience with it was extended last; 0 = never
	begunAt          float64 // when its answer began, before it was whole; 0 = it has not
	done, mayHaveRun bool    // its outcome is known; may have run
	wasOvertaken     bool    // was past its patience when later ones had been answered
}

// request is a request of a client until it has its final answer and no attempt is in flight.
type request struct {
	Request
	class           *Class
	key             *keyTraffic
	deadline, aimAt float64 // when the client leaves, and until when the answer has its full worth
	work, worth     float64
	attempts        []attempt
	inFlight        int     // attempts
	missedOn        *server // where the key was missing, or is known to be stored
	waitingSince    float64 // since when it waits for the origin or for a fetch of its key; 0 = it doesn't
	mayFetch        bool    // its attempt is likely to ask the origin through the server
	finished        bool    // has its final answer
}

func (r *request) triedOn(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// recordOutcome records the outcome of an attempt and returns it, or nil if it is not in flight.
func (r *request) recordOutcome(i int, st Status) *attempt {
	if r == nil || i < 0 || i >= len(r.attempts) || r.attempts[i].done {
		return nil
	}
	a := &r.attempts[i]
	a.done, a.mayHaveRun = true, !st.NeverRan()
	r.inFlight--
	a.server.inFlight--
	if a.begun() {
		a.server.answering--
	}
	return a
}

// applyList merges a list update into the records and returns the servers that have restarted.
func (b *Balancer) applyList(kind ListKind, entries []Entry) (started []*server) {
	for _, s := range b.servers {
		s.listed = s.listed && kind == Changes
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{acceptShare: 1, lastReply: b.now, coldSince: math.Inf(-1), probedAt: math.Inf(-1),
				reportedAt: math.Inf(-1)}
			b.servers[e.ID] = s
		}
		if e.Started > 0 && e.Started != s.Started {
			started = append(started, s)
		}
		s.Entry, s.listed = e, e.State != Removed
		if b.cfg.SizesVary {
			s.Size = 0 // a load figure, which doesn't describe the machine
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
// the table depends on the IDs alone, not on the order of changes, and few keys move.
func (b *Balancer) buildTable() {
	b.tableEpoch++
	b.hashTable = make([]*server, 1<<tableBits)
	for _, s := range b.serverList {
		for i := range b.bucketClaims(s) {
			slot := mix64(uint64(s.ID)<<8|uint64(i)) >> (64 - tableBits)
			if o := b.hashTable[slot]; o == nil ||
				mix64(slot^uint64(s.ID)<<16) < mix64(slot^uint64(o.ID)<<16) {
				b.hashTable[slot] = s
			}
		}
	}
}

// bucketClaims returns how many buckets a server claims. They grow with its weight, and a change of one
// weight moves only the keys of the buckets that are added or removed.
func (b *Balancer) bucketClaims(s *server) int {
	if !b.cfg.Weighted || !validFigure(s.Size) {
		return bucketsPerServer
	}
	return int(min(maxBucketsPerServer, max(1, math.Round(bucketsPerServer*s.Size))))
}

// hashListOf returns the first distinct servers of a key. Keys of a removed bucket are hashed again over the
// table.
func (b *Balancer) hashListOf(k *keyTraffic) []*server {
	if k.tableEpoch != b.tableEpoch {
		k.hashList, k.tableEpoch, k.splitServers = b.listedServers(k.owners), b.tableEpoch, nil
		if k.owners != nil {
			return k.hashList
		}
		for h, i := mix64(k.id), 0; len(k.hashList) < min(maxCandidates, len(b.serverList)) &&
			i < 4<<tableBits; i++ {
			if s := b.hashTable[h>>(64-tableBits)]; s != nil && !slices.Contains(k.hashList, s) {
				k.hashList = append(k.hashList, s)
			}
			h = mix64(h)
		}
	}
	return k.hashList
}

// listedServers returns the listed servers with these IDs, at most as many as a key's list has.
func (b *Balancer) listedServers(ids []uint32) (list []*server) {
	for _, id := range ids {
		if s := b.servers[id]; s != nil && s.listed && len(list) < maxCandidates {
			list = append(list, s)
		}
	}
	return list
}

// canUse reports whether a server may serve the request at all.
func (r *request) canUse(s *server) bool { return r.Owners == nil || slices.Contains(r.Owners, s.ID) }

// decayingSum is a sum with exponential decay: its value over the time constant is a rate. Times are in ms.
// It also holds the tokens of a token bucket.
type decayingSum struct{ value, updated float64 }

func (r *decayingSum) add(now, tau, x float64) float64 {
	if now > r.updated {
		r.value *= math.Exp((r.updated - now) / tau)
		r.updated = now
	}
	r.value += x
	return r.value
}

// movingAverage follows a noisy figure, with a floor that rises slowly and falls quickly.
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

// updateMedians recomputes the median capacities per unit of size and whether all sizes are known, and
// returns the mean rate of the servers that reported one, 0 if none did. Where a size is missing all servers
// count alike.
func (b *Balancer) updateMedians() (mean float64) {
	b.medianCapacity, b.medianFloor, b.sizesKnown = 0, 0, !slices.ContainsFunc(b.serverList,
		func(s *server) bool { return !validFigure(s.Size) || s.Size == 0 })
	capacities, floors, n := make([]float64, 0, len(b.serverList)), make([]float64, 0, len(b.serverList)), 0.0
	for _, s := range b.serverList {
		if s.reportedRate > 0 {
			mean, n = mean+s.reportedRate, n+1
		}
		if s.capacity.value > 0 {
			capacities, floors = append(capacities, s.capacity.value/s.sizeUnit(b.sizesKnown)), append(floors,
				min(s.capacity.value, s.capacity.floor)/s.sizeUnit(b.sizesKnown))
		}
	}
	if len(capacities) > 0 {
		slices.Sort(capacities)
		slices.Sort(floors)
		b.medianCapacity, b.medianFloor = capacities[len(capacities)/2], floors[len(floors)/2]
	}
	return mean / max(1, n)
}

// typicalCapacity returns the median capacity scaled to the size of s, or fallback if no server has reported
// one.
func (b *Balancer) typicalCapacity(s *server, fallback float64) float64 {
	if b.medianCapacity == 0 {
		return fallback
	}
	return b.medianCapacity * s.sizeUnit(b.sizesKnown)
}

// medianFailShare returns the share of attempts that fail at the median server, which a few faulty ones don't
// change.
func medianFailShare(servers []*server) float64 {
	shares := make([]float64, 0, len(servers))
	for _, s := range servers {
		shares = append(shares, s.failShare)
	}
	if slices.Sort(shares); len(shares) == 0 {
		return 0
	}
	return shares[(len(shares)-1)/2]
}

// updateSuspicion adds an outcome to the evidence for a server that fails every second attempt, against one
// that fails no more than is usual: Page's test (CUSUM), which detects a change soonest for its rate of false
// alarms.
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

// recordOvertaken records an attempt past its patience that later ones have overtaken, and reports whether it
// is assumed lost: the second time, or at once if most were. An attempt given up at once shows nothing about
// losses, so the share decays a little, and soon the next one is waited for.
func (b *Balancer) recordOvertaken(a *attempt) bool {
	again, mostLost := a.wasOvertaken, b.lostShare > 0.5
	switch a.wasOvertaken = true; {
	case again:
		b.lostShare += lostAnswerWeight * (1 - b.lostShare)
	case mostLost:
		b.lostShare *= 0.97
	}
	return again || mostLost
}

// recordLoad applies a load report; reports with absent or absurd figures are ignored.
func (b *Balancer) recordLoad(s *server, l Load) {
	if !validFigure(l.QPS) || !validFigure(l.Util) || l == s.lastLoad {
		return
	}
	if s.lastLoad, s.reportedRate, s.reportedAt = l, l.QPS, b.now; l.Util > 0.03 && l.QPS > 0 {
		s.capacity.update(b.now, l.QPS/min(l.Util, 1.5)/b.warmFraction(s), 0.2) // over five noisy reports
	}
}

// sizeUnit returns the size that a server's capacity is divided by for comparison.
func (s *server) sizeUnit(sized bool) float64 {
	if sized && s.Size > 0 {
		return s.Size
	}
	return 1
}

// validFigure reports whether a reported figure can be used.
func validFigure(v float64) bool { return v >= 0 && v < 1e9 }

// countEjected counts the ejected servers.
func countEjected(servers []*server) (n int) {
	for _, s := range servers {
		if s.ejected {
			n++
		}
	}
	return n
}

// trafficOf returns the record of a request's key; a request without a key gets a record of its own.
func (b *Balancer) trafficOf(req Request) *keyTraffic {
	if !req.HasKey {
		return &keyTraffic{id: b.rng.Uint64(), meanWork: 1}
	}
	k := b.keys[req.Key]
	if k == nil {
		k = &keyTraffic{id: req.Key, meanWork: 1}
		b.addKey(k)
	}
	// Writes may name fewer owners than reads; that doesn't change the key's owners.
	subset := req.Write && len(req.Owners) > 0 && len(k.owners) > 0 && k.owners[0] == req.Owners[0]
	if req.Owners != nil && !subset && !slices.Equal(req.Owners, k.owners) {
		k.owners, k.tableEpoch = slices.Clone(req.Owners), 0
	}
	return k
}

// maxEvictionSamples is how many records are compared for the eviction of one.
const maxEvictionSamples = 8

// addKey adds the record of a key. If there are too many, it takes the place of the coldest of the next few in
// turn; if those are all being fetched, the new key goes without a record.
func (b *Balancer) addKey(k *keyTraffic) {
	if len(b.keyList) < b.cfg.MaxKeys {
		b.keys[k.id], b.keyList = k, append(b.keyList, k)
		return
	}
	coldest := -1
	for range min(maxEvictionSamples, len(b.keyList)) {
		b.nextEviction = (b.nextEviction + 1) % len(b.keyList)
		candidate := b.keyList[b.nextEviction]
		rate := candidate.rate.add(b.now, b.keyMemory(), 0)
		if candidate.fetch == nil && (coldest < 0 || rate < b.keyList[coldest].rate.value) {
			coldest = b.nextEviction
		}
	}
	if coldest < 0 {
		return
	}
	delete(b.keys, b.keyList[coldest].id)
	b.keys[k.id], b.keyList[coldest] = k, k
}

// hottestKeys decays all rates to the present, forgets faded keys and the shares of the others, and returns
// the hottest of them in order. It is a single pass without allocations per key: requests wait for it, and
// there are hundreds of thousands of keys.
func (b *Balancer) hottestKeys() []*keyTraffic {
	memory, top := b.keyMemory(), make([]*keyTraffic, 0, maxHotKeys+1)
	b.keyList = slices.DeleteFunc(b.keyList, func(k *keyTraffic) bool {
		if k.rate.add(b.now, memory, 0) < 0.02 && k.fetch == nil {
			delete(b.keys, k.id)
			return true
		}
		k.splitServers, top = nil, insertHottest(top, k, maxHotKeys)
		return false
	})
	return top
}

// insertHottest inserts a key into the hottest, which are in descending order, n at most.
func insertHottest(top []*keyTraffic, k *keyTraffic, n int) []*keyTraffic {
	c := k.offeredLoad()
	if len(top) == n && c <= top[n-1].offeredLoad() {
		return top
	}
	pos := len(top) // after those that are as hot
	for pos > 0 && top[pos-1].offeredLoad() < c {
		pos--
	}
	if top = slices.Insert(top, pos, k); len(top) > n {
		top = top[:n]
	}
	return top
}

// relativeWork returns a request's work by its hint, in units of the mean.
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

// moments are X̄ and X², moving over the last few hundred samples.
type moments struct{ mean, meanSquare, samples float64 }

func (m *moments) update(x float64) {
	m.samples = min(m.samples+1, 400)
	m.mean += (x - m.mean) / m.samples
	m.meanSquare += (x*x - m.meanSquare) / m.samples
}

// momentRatio is X²/X̄², bounded to 1 to 20.
func (m *moments) momentRatio() float64 {
	return min(20, max(1, m.meanSquare/max(m.mean*m.mean, 1e-9)))
}

// fetchesInFlight counts the fetches at the origin, or of keys that servers are likely to fetch themselves.
func (b *Balancer) fetchesInFlight() float64 {
	if b.origin != nil {
		return float64(b.origin.inFlight)
	}
	return float64(b.mayFetchCount)
}

// setMayFetch records whether a request's attempt is likely to ask the origin through the server.
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

// tierScale returns how many times larger the tier is than ten routers, at least 1.
func (b *Balancer) tierScale() float64 { return max(1, float64(b.cfg.Routers)/10) }

// firstColdBudget returns the initial tokens of a cold server's budget. In a large tier a share takes seconds
// to fill for one request, and all fill at the same time: nobody would use the server for as long, and then
// all at once. So the initial values are random.
func (b *Balancer) firstColdBudget() float64 {
	if b.tierScale() > 1 {
		return b.rng.Float64()
	}
	return 0
}

// sendSparsity is near 1 if seconds pass between two own sends to a server, near 0 if there are many.
func (b *Balancer) sendSparsity() float64 {
	return 1 - math.Exp(-float64(len(b.serverList))/(2*b.perSecond(&b.arrivals, keyRateTau)+0.01))
}

// keyMemory returns the time constant of key rates, ms: a hundred arrivals, so that one router of many
// notices a hot key.
func (b *Balancer) keyMemory() float64 {
	return min(60000, max(keyRateTau, 1e5/max(1, b.perSecond(&b.arrivals, keyRateTau))))
}

// warmFraction returns the share of its capacity that a server has at least.
func (b *Balancer) warmFraction(s *server) float64 {
	if math.IsInf(s.coldSince, -1) { // started long ago; with ColdFrom at 1 the formula below would give NaN
		return 1
	}
	return min(1, b.cfg.ColdFrom+(1-b.cfg.ColdFrom)*max(0, b.now-s.coldSince)/max(b.cfg.Cold, 1))
}

// waitingRequests returns λT(λ), the number of requests waiting at an M/G/m server by equations (2) to (5),
// and its two derivatives. n channels serve mu per second each; c2 is X²/X̄².
func waitingRequests(lam float64, n int, mu, c2 float64) (f, d, h float64) {
	m := float64(n)
	over := max(0, lam-0.98*m*mu) // λ_j < n_j·μ_o: beyond this limit a parabola keeps all values finite
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

// recentlyAbsent reports whether the origin lately had no value for a key.
func (b *Balancer) recentlyAbsent(k *keyTraffic) bool {
	return k.absentAt > 0 && b.now < k.absentAt+absentMemory
}
