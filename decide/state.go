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
	cfg        Config
	tier       Tier               // what is known of the routers that share
	told       bool               // routers tell each other who there is
	line       AdmissionThreshold // what they serve while they can't serve all,
	lineAt     float64            // and when that was told
	demand     Demand             // but for its room
	room       float64            // what all servers may be given a second by all routers
	idle       rate               // work that this router's part of that has left over
	processes  int                // of this router that decide at once
	parts      float64            // this process has one of so many equal parts of what all share
	host       Host
	rng        *rand.Rand
	now, began float64
	classes    map[string]*Class
	quota      map[string]float64
	used       map[string]*rate // by tenant
	maxWorth   float64
	servers    map[uint32]*server
	order      []*server // cache servers on the list, by id
	origin     *server   // never a candidate
	zones      map[string]*zone
	asking     int       // requests that are not closed and ask it by way of a server
	stored     bool      // a key was, since requests that wait were looked at last
	table      []*server // buckets of the memento-hash; nil = removed
	epoch      int       // of the table
	keys       map[uint64]*flow
	keyList    []*flow
	reqs       map[uint32]*request
	held       []*request
	arrivals   rate
	hint       float64 // mean hint
	x          moments // served latencies, ms
	solvedAt   float64
	scale      float64 // of rates to the utilisation that is solved for
	dirty      bool    // something calls for a solve
	spare      float64 // further attempts in hand
	probes     float64 // and probes,
	turn       int     // and whose turn it is to be probed
	jam        level   // latency of a unit of work, over all servers
	keep       float64 // how long idle connections are kept
	bear       float64 // least share of the aim that is borne as wait
	lateAt     float64 // when an answer was late last
	fetches    float64 // bound on outstanding fetches; under 1, they pause between two
	cutAt      float64 // when it was last cut,
	asked      rate    // fetches sent
	olat       level   // latency of fetches
	usual      float64 // share of attempts that fail at the median server
	lost       float64 // share of overtaken attempts whose answers are lost
	median     float64 // capacity for a unit of size, of the servers that reported one
	least      float64 // and that of what they reported at their least, lately
	sized      bool    // whether sizes are told
	portion    float64 // own part of all traffic, as far as reports tell
	watchAt    float64 // when to ask for the list again,
	refusals   int     // and the calls that have failed in a row
}

// perSecond reads a rate, corrected for a memory that has not filled yet.
func (b *Balancer) perSecond(r *rate, tau float64) float64 {
	return r.add(b.now, tau, 0) * 1000 / tau / (1 - math.Exp((b.began-b.now-1)/tau))
}

// server is what a router knows of a server.
type server struct {
	Entry
	listed       bool
	out          int     // own attempts outstanding,
	sentAt       float64 // when the last was sent,
	held         bool    // and whether a connection may be open since
	refused      bool    // a connection was, and nothing has been answered since
	accept       float64 // share of attempts accepted, lately
	doubt        float64 // how much its failures speak for a sickness of its own,
	fails        float64 // and their share, over thirty outcomes
	strikes      int     // signs of silence since the last reply
	reply        float64 // time of the last reply
	passed       float64 // when the latest of those that it has answered was sent
	ejected      bool
	lost         bool    // was, with its whole zone
	trial, pause float64 // ejected: when a trial is due, and the pause before it
	overdue      float64 // and when it is, if no queue has brought one
	probed       float64 // time of the last probe
	fresh        float64 // start of the cold phase
	budget       rate    // hard send budget while cold
	sent         rate    // own work sent
	last         Load
	qps, heard   float64 // reported, a second, and when
	cap          level   // capacity, requests a second; 0 = not reported
	lat          level   // latency of a unit of work
	n            int     // the model's channels,
	mu, load     float64 // their rate, and the load set on the server so far,
	hot          float64 // and what others are thought to send there of the keys solved singly
}

// maxZones bounds the records of zones.
const maxZones = 64

// zone is what a router knows of the servers of a zone together.
type zone struct {
	reply  float64   // time of the last reply of any of them
	silent []*server // of which nothing has come since, each once, as many as make a zone lost
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

// othersReply says whether a server of another zone has answered since.
func (b *Balancer) othersReply(z *zone, since float64) bool {
	for _, o := range b.zones {
		if o != z && o.reply > since {
			return true
		}
	}
	return false
}

// group names those that drop repeats together with the server.
func (s *server) group(scope string) string {
	switch scope {
	case "zone":
		return s.Zone
	case "cell":
		return strconv.Itoa(s.Cell)
	}
	return ""
}

// flow is the traffic of a key.
type flow struct {
	id      uint64
	rate    rate
	work    float64   // mean work of a request
	epoch   int       // of the hash table that list comes from
	owners  []uint32  // that may serve it; nil = any
	list    []*server // memento-hash list
	v       []*server // solved servers
	p       []float64 // and their shares
	fetch   *request  // asks the origin for the key, or stores what that has brought
	absent  float64   // when the origin last had none; 0 = never
	stored  float64   // when a fetch last came back,
	storeAt *server   // and where its answer was stored
}

// channels is λ_i/μ_i but for the memory of the rate, which is the same for all keys.
func (k *flow) channels() float64 { return k.rate.v * k.work }

type attempt struct {
	s         *server
	at        float64
	over, ran bool // has its outcome; may have run
	passed    bool // was past its patience when later ones had been answered
}

// request is a request of a client until its answer is given and its attempts are back.
type request struct {
	Request
	class       *Class
	key         *flow
	until, aim  float64 // when the client leaves, and when the answer loses its worth
	work, worth float64
	tries       []attempt
	out         int     // attempts outstanding
	missed      *server // where the key was missing
	held        float64 // since when it waits for the origin or for another's fetch; 0 = it doesn't
	asks        bool    // its attempt is likely to ask the origin by way of the server
	closed      bool    // has its final answer
}

func (r *request) tried(s *server) bool {
	return slices.ContainsFunc(r.tries, func(a attempt) bool { return a.s == s })
}

// settle books the outcome of an attempt and returns it, or nil if it is not outstanding.
func (r *request) settle(i int, st Status) *attempt {
	if r == nil || i < 0 || i >= len(r.tries) || r.tries[i].over {
		return nil
	}
	a := &r.tries[i]
	a.over, a.ran = true, !st.NeverRan()
	r.out--
	a.s.out--
	return a
}

// apply brings a list update into the records and returns the servers that started anew.
func (b *Balancer) apply(kind ListKind, entries []Entry) (started []*server) {
	for _, s := range b.servers {
		s.listed = s.listed && kind == Changes
	}
	for _, e := range entries {
		s := b.servers[e.ID]
		if s == nil {
			s = &server{accept: 1, reply: b.now, fresh: math.Inf(-1), probed: math.Inf(-1), heard: math.Inf(-1)}
			b.servers[e.ID] = s
		}
		if e.Started > 0 && e.Started != s.Started {
			started = append(started, s)
		}
		s.Entry, s.listed = e, e.State != Gone
		if b.cfg.SizesVary {
			s.Size = 0 // a load figure, which says nothing of the machine
		}
	}
	b.order, b.origin = b.order[:0], nil
	for id, s := range b.servers {
		switch {
		case b.cfg.Aside && s.Kind == b.cfg.OriginKind:
			if s.listed && (b.origin == nil || id < b.origin.ID) {
				b.origin = s
			}
		case s.listed:
			b.order = append(b.order, s)
		case s.out == 0:
			delete(b.servers, id)
		}
	}
	slices.SortFunc(b.order, func(p, q *server) int { return cmp.Compare(p.ID, q.ID) })
	return started
}

// buildTable fills the buckets of the memento-hash. A bucket that no listed server claims counts as removed:
// the table follows from ids alone, not from an order of changes, and few keys move.
func (b *Balancer) buildTable() {
	b.epoch++
	b.table = make([]*server, 1<<tableBits)
	for _, s := range b.order {
		for i := range b.claimsOf(s) {
			slot := mix(uint64(s.ID)<<8|uint64(i)) >> (64 - tableBits)
			if o := b.table[slot]; o == nil || mix(slot^uint64(s.ID)<<16) < mix(slot^uint64(o.ID)<<16) {
				b.table[slot] = s
			}
		}
	}
}

// claimsOf is how many buckets a server claims. By weight they grow with it, and a change of one weight moves only the
// keys of the buckets that come or go.
func (b *Balancer) claimsOf(s *server) int {
	if !b.cfg.Weighted || !figure(s.Size) {
		return bucketsPerServer
	}
	return int(min(maxBucketsPerServer, max(1, math.Round(bucketsPerServer*s.Size))))
}

// list gives the first distinct servers of a key. Keys of a removed bucket are drawn again over the table.
func (b *Balancer) list(k *flow) []*server {
	if k.epoch != b.epoch {
		k.list, k.epoch, k.v = b.listed(k.owners), b.epoch, nil
		if k.owners != nil {
			return k.list
		}
		for h, i := mix(k.id), 0; len(k.list) < min(maxCandidates, len(b.order)) && i < 4<<tableBits; i++ {
			if s := b.table[h>>(64-tableBits)]; s != nil && !slices.Contains(k.list, s) {
				k.list = append(k.list, s)
			}
			h = mix(h)
		}
	}
	return k.list
}

// listed are the servers of these ids that are on the list, at most as many as a key's list has.
func (b *Balancer) listed(ids []uint32) (list []*server) {
	for _, id := range ids {
		if s := b.servers[id]; s != nil && s.listed && len(list) < maxCandidates {
			list = append(list, s)
		}
	}
	return list
}

// may says whether a server may serve the request at all.
func (r *request) may(s *server) bool { return r.Owners == nil || slices.Contains(r.Owners, s.ID) }

// rate counts with exponential forgetting: its value over the memory is a rate.
type rate struct{ v, at float64 }

func (r *rate) add(now, tau, x float64) float64 {
	if now > r.at {
		r.v *= math.Exp((r.at - now) / tau)
		r.at = now
	}
	r.v += x
	return r.v
}

// level follows a noisy figure, with a floor that rises slowly.
type level struct{ v, floor, at float64 }

func (l *level) see(now, x, k float64) {
	if l.v == 0 {
		l.v, l.floor = x, x
	}
	if l.v += k * (x - l.v); l.v > l.floor {
		l.floor += (l.v - l.floor) * min(now-l.at, 2000) / 60000
	} else {
		l.floor += 0.2 * (l.v - l.floor)
	}
	l.at = now
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// survey brings the median capacity for a unit of size up to date, and returns the mean rate of the servers that
// reported one, 0 where none did. Where sizes are missing all count alike.
func (b *Balancer) survey() (mean float64) {
	b.median, b.least, b.sized = 0, 0, !slices.ContainsFunc(b.order, func(s *server) bool { return !figure(s.Size) || s.Size == 0 })
	xs, low, n := make([]float64, 0, len(b.order)), make([]float64, 0, len(b.order)), 0.0
	for _, s := range b.order {
		if s.qps > 0 {
			mean, n = mean+s.qps, n+1
		}
		if s.cap.v > 0 {
			xs, low = append(xs, s.cap.v/s.unit(b.sized)), append(low, min(s.cap.v, s.cap.floor)/s.unit(b.sized))
		}
	}
	if len(xs) > 0 {
		slices.Sort(xs)
		slices.Sort(low)
		b.median, b.least = xs[len(xs)/2], low[len(low)/2]
	}
	return mean / max(1, n)
}

// typical is the capacity that the median gives a server of the size of s; def where there is none.
func (b *Balancer) typical(s *server, def float64) float64 {
	if b.median == 0 {
		return def
	}
	return b.median * s.unit(b.sized)
}

// usualFails is the share of attempts that fail at the median server: a few sick ones leave it where it is.
func usualFails(servers []*server) float64 {
	fails := make([]float64, 0, len(servers))
	for _, s := range servers {
		fails = append(fails, s.fails)
	}
	if slices.Sort(fails); len(fails) == 0 {
		return 0
	}
	return fails[(len(fails)-1)/2]
}

// weigh adds an outcome to the evidence for a server that fails every second attempt, against one that fails no
// more than is usual: Page's test (CUSUM), the quickest to find a change for its rate of false alarms.
func (s *server) weigh(failed bool, usual float64) {
	usual = min(0.3, max(0.01, usual))
	if failed {
		s.fails += (1 - s.fails) / 30
		s.doubt += math.Log(0.5 / usual)
		return
	}
	s.fails -= s.fails / 30
	s.doubt = max(0, s.doubt+math.Log(0.5/(1-usual)))
}

// overtaken books an attempt past its patience that later ones have overtaken, and says whether it is taken for lost:
// the second time, or at once where most were. What was given up at once tells nothing, so the share falls a little,
// and soon the next one is waited for.
func (b *Balancer) overtaken(a *attempt) bool {
	again, most := a.passed, b.lost > 0.5
	switch a.passed = true; {
	case again:
		b.lost += lostAnswerWeight * (1 - b.lost)
	case most:
		b.lost *= 0.97
	}
	return again || most
}

// learn takes a load report; absent and absurd figures are passed over.
func (b *Balancer) learn(s *server, l Load) {
	if !figure(l.QPS) || !figure(l.Util) || l == s.last {
		return
	}
	if s.last, s.qps, s.heard = l, l.QPS, b.now; l.Util > 0.03 && l.QPS > 0 {
		s.cap.see(b.now, l.QPS/min(l.Util, 1.5)/b.warmth(s), 0.2) // over five reports, as they are noisy
	}
}

// unit is what a server's capacity is compared by.
func (s *server) unit(sized bool) float64 {
	if sized && s.Size > 0 {
		return s.Size
	}
	return 1
}

// figure says whether a reported figure can be used.
func figure(v float64) bool { return v >= 0 && v < 1e9 }

// ejected counts the servers that are out of use.
func ejected(servers []*server) (n int) {
	for _, s := range servers {
		if s.ejected {
			n++
		}
	}
	return n
}

// flow finds the record of a request's key; without a key the request gets a place of its own.
func (b *Balancer) flow(q Request) *flow {
	if !q.HasKey {
		return &flow{id: b.rng.Uint64(), work: 1}
	}
	k := b.keys[q.Key]
	if k == nil {
		k = &flow{id: q.Key, work: 1}
		b.keys[q.Key], b.keyList = k, append(b.keyList, k)
	}
	// Writes may go to fewer of them than reads, which is no change of the key's owners.
	part := q.Write && len(q.Owners) > 0 && len(k.owners) > 0 && k.owners[0] == q.Owners[0]
	if q.Owners != nil && !part && !slices.Equal(q.Owners, k.owners) {
		k.owners, k.epoch = slices.Clone(q.Owners), 0
	}
	return k
}

// maxHotKeys brings all rates up to now, forgets keys that have faded and the shares of the others, and returns the hottest of
// them in order. One pass without memory of its own: it stands in the way of requests, and keys come by the hundred
// thousand.
func (b *Balancer) hottest() []*flow {
	mem, top := b.keyMem(), make([]*flow, 0, maxHotKeys+1)
	b.keyList = slices.DeleteFunc(b.keyList, func(k *flow) bool {
		if k.rate.add(b.now, mem, 0) < 0.02 && k.fetch == nil {
			delete(b.keys, k.id)
			return true
		}
		k.v, top = nil, hotter(top, k, maxHotKeys)
		return false
	})
	return top
}

// hotter puts a key among the hottest, which are in order, n at most.
func hotter(top []*flow, k *flow, n int) []*flow {
	c := k.channels()
	if len(top) == n && c <= top[n-1].channels() {
		return top
	}
	at := len(top) // behind those that are as hot
	for at > 0 && top[at-1].channels() < c {
		at--
	}
	if top = slices.Insert(top, at, k); len(top) > n {
		top = top[:n]
	}
	return top
}

// workOf is a request's work by its hint, in units of the mean.
func (b *Balancer) workOf(hint float64) float64 {
	if hint <= 0 || !figure(hint) {
		return 1
	}
	if b.hint == 0 {
		b.hint = hint
	}
	b.hint += 0.01 * (hint - b.hint)
	return min(50, max(0.05, hint/b.hint))
}

// moments are X̄ and X², moving with the last few hundred samples.
type moments struct{ mean, square, n float64 }

func (m *moments) see(x float64) {
	m.n = min(m.n+1, 400)
	m.mean += (x - m.mean) / m.n
	m.square += (x*x - m.square) / m.n
}

// ratio is X²/X̄², bounded.
func (m *moments) ratio() float64 { return min(20, max(1, m.square/max(m.mean*m.mean, 1e-9))) }

// fetching counts the fetches out: at the origin, or of keys that servers are likely to fetch by themselves.
func (b *Balancer) fetching() float64 {
	if b.origin != nil {
		return float64(b.origin.out)
	}
	return float64(b.asking)
}

// setAsks notes whether a request's attempt is likely to ask the origin by way of the server.
func (b *Balancer) setAsks(r *request, asks bool) {
	if r.asks == asks {
		return
	}
	if r.asks = asks; r.closed {
		return
	}
	if asks {
		b.asking++
	} else {
		b.asking--
	}
}

// crowd is how many times larger the tier is than ten routers, 1 at least.
func (b *Balancer) crowd() float64 { return max(1, float64(b.cfg.Routers)/10) }

// firstPart is what a router has of a cold server's budget at first. In a large tier parts take seconds to fill for one request, and
// all fill at the same time: for as long nobody would use the server, and then all at once. So they begin spread.
func (b *Balancer) firstPart() float64 {
	if b.crowd() > 1 {
		return b.rng.Float64()
	}
	return 0
}

// untold bounds a wait before the next call for the list by a part of the time after which news count as told unasked.
func (b *Balancer) untold(part, wait float64) float64 {
	if b.cfg.MustAsk > 0 {
		return min(wait, part*b.cfg.MustAsk)
	}
	return wait
}

// seldom is near 1 where seconds pass between two own sends to a server, near 0 where there are many.
func (b *Balancer) seldom() float64 {
	return 1 - math.Exp(-float64(len(b.order))/(2*b.perSecond(&b.arrivals, keyRateTau)+0.01))
}

// keyMem is the memory of key rates: a hundred arrivals, so that a router of many tells a hot key at all.
func (b *Balancer) keyMem() float64 {
	return min(60000, max(keyRateTau, 1e5/max(1, b.perSecond(&b.arrivals, keyRateTau))))
}

// warmth is the share of its capacity that a server has at least.
func (b *Balancer) warmth(s *server) float64 {
	if math.IsInf(s.fresh, -1) { // started long ago; with ColdFrom at 1 the line below would give no number
		return 1
	}
	return min(1, b.cfg.ColdFrom+(1-b.cfg.ColdFrom)*max(0, b.now-s.fresh)/max(b.cfg.Cold, 1))
}

// delay gives λT(λ), the requests waiting at an M/G/m server by equations (2) to (5), and its two
// derivatives. n channels serve mu a second each; c2 is X²/X̄².
func delay(lam float64, n int, mu, c2 float64) (f, d, h float64) {
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

// absent says whether the origin had no value of a key lately.
func (b *Balancer) absent(k *flow) bool { return k.absent > 0 && b.now < k.absent+absentMemory }
