package decide // Interface: api.go (settings, events, actions). Records: state.go. Every decision is here.

import (
	"cmp"
	"math"
	"slices"
)

// The hash table and the solver.
const (
	tableBits           = 13   // memento-hash table of 8192 buckets, so that claims seldom clash
	bucketsPerServer    = 64   // buckets that a server claims, of a weight of 1 where weights count
	maxBucketsPerServer = 1024 // and with the highest weight
	maxCandidates       = 6    // candidates of a key

	minHotArrivals       = 1.5   // arrivals in memory from which a key is solved singly,
	maxHotKeys           = 32    // for so many at most: they hold most of the traffic that one server can't
	solveTolerance       = 1e-3  // relative change of F that ends the sweeps,
	maxSolveSweeps       = 40    // and their number, which bounds the work of a key
	newtonStep           = 0.5   // of equation (10)
	targetUtilisation    = 0.9   // utilisation that is solved for, as in the paper
	maxChannels          = 256   // of a modelled server: the work of a delay grows with them
	defaultChannelsTime  = 4000  // over the mean latency: four channels, for a server of unknown capacity
	minTrafficShare      = 0.5   // of the equal part of all traffic is taken for own at least, whatever reports say
	housekeepInterval    = 100   // ms between two rounds of housekeeping,
	solveInterval        = 1000  // between two solves,
	minSolveInterval     = 250   // and where something calls for one: lists come in bursts
	listCallTimeout      = 15000 // before the list is asked for again without an answer
	listCallSpread       = 1000  // over which ten routers of a large tier that starts ask for the list
	maxListCallDoublings = 2     // doublings of the pause between calls that fail, at most
	probeInterval        = 700   // between two probes of a server: reports live for about a second
	probesPerRequest     = 0.15  // probes that a request pays for,
	maxSavedProbes       = 4     // and that are saved up
	staleAfter           = 10000 // ms after which what was stored, or a latency's floor, tells little
)

// Memories, in ms.
const (
	keyRateTau       = 5000 // of the rates of keys and tenants
	sendRateTau      = 2000 // of own sends to a server
	serverLatencyTau = 1000 // of a latency as a sign of a queue: a refusal must not last for good
	fleetLatencyTau  = 2000 // of what the whole fleet's latency says
)

// Health.
const (
	minEjectionPause       = 500  // first pause of an ejected server, ms,
	maxPauseFactor         = 8    // which doubles up to so many times that
	maxConsecutiveFailures = 3    // signs of silence that eject
	zoneEjectionServers    = 3    // silent servers of a zone in a row, and no answer from it, that eject the zone
	ejectionSuspicion      = 7.5  // doubt that ejects: two failures in a row where they are rare, six at one in eight
	failureAcceptFactor    = 0.88 // share of its acceptance that a server keeps at a failure: over eight outcomes
	spoiltAcceptFactor     = 1.07 // and is given back where the answer was spoilt on the way, from any alike
	successAcceptGain      = 0.12 // share of the missing acceptance that a success brings back, as slowly
	successPauseFactor     = 0.8  // of the pause at a success: five undo a doubling or so
	acceptAfterTrial       = 0.75 // acceptance after a trial: half of the channels
	unresponsiveTrialDelay = 8000 // ms that a trial of a silent server may be overdue: it costs a request its time
	minIdleKeep            = 200  // ms that idle connections are kept at least
	idleKeepGrowth         = 1.01 // a success lengthens it by this factor; a refused connection halves it
	lostAnswerWeight       = 0.2  // weight of one attempt in the share of lost answers: over five
	overtakenWaitFactor    = 0.5  // an overtaken attempt is waited for that much longer
)

// Attempts.
const (
	retriesPerRequest     = 0.2  // further attempts that a request pays for: retries must not become a storm
	tierRetriesPerRequest = 0.1  // in a fleet,
	maxSavedRetries       = 20   // and that are saved up
	minPatienceFactor     = 1.2  // multiple of the expected time that an attempt gets at least,
	maxPatienceFactor     = 3    // and at most
	retryTimeFactor       = 1.5  // of the expected time is left for another attempt
	unknownServerAimShare = 0.75 // of the aim, for a server that is unknown or on trial
	fetchPatienceFactor   = 2    // multiple of the latency of fetches after which one is looked at
	minExpectedTime       = 5    // ms: no server is expected to be quicker, nor a wait for a fetch to end well after it
	quotaDeviations       = 2    // of a count that are no chance: arrivals over a tenant's part
	leasedWorthFactor     = 0.8  // share of its worth that a request keeps which its tenant borrows for
	keyWorkWeight         = 0.2  // weight of a request in its key's mean work: over five
	latencyWeight         = 0.2  // weight of a unit of work in a server's latency,
	maxLatencyWeight      = 0.5  // and of a heavy request at most
	fleetLatencyWeight    = 0.1  // weight of an outcome in the fleet's latency, and of a fetch in the fetches'
)

// The wait that is borne, as a share of the aim.
const (
	worthWaitShare         = 0.55   // on top, for what is worth most
	maxBaseWaitShare       = 0.25   // of what all bear: fixed, idle servers refused and choked ones were late,
	waitShareGain          = 0.0005 // so it rises with each answer
	waitShareCut           = 0.01   // and falls with each late one: one in twenty holds it level
	waitShareRecoveryDelay = 1000   // ms without one after which it rises
	waitShareRecovery      = 0.01   // so much at each tick, where routers tell each other who there is
	latencyFloorShare      = 0.7    // of a server's floor that is left for the work itself
)

// Fetches at the origin.
const (
	maxFetchLimit             = 64   // out at once of one router
	fetchLimitGrowth          = 0.25 // of the bound a good answer adds at most,
	tierFetchLimitGrowth      = 4    // or this over the routers: a tier grows together
	tierMinFetchLimit         = 8    // over the routers, the bound's least, two at most
	fetchCutInterval          = 500  // ms between two cuts: answers of before tell nothing new
	slowCutFactor             = 0.8  // of the bound is left when answers slow,
	failedCutFactor           = 0.4  // and when they fail: the origin has stopped, or works for those that have left
	failedMinDivisor          = 40   // times lower its least is then
	minSlowFactor             = 1.3  // multiple of the floor that is no queue yet,
	maxSlowFactor             = 2.5  // and that is one whatever the aim
	minSlowAimShare           = 0.5  // beyond that share of the aim a queue serves nobody, as the cache came first,
	maxSlowAimShare           = 0.8  // and beyond that one it does not, whatever the floor
	minFetchLatency           = 100  // ms that a fetch is taken for where the bound is under one
	coldBudgetShare           = 0.4  // of what pushes a cold server over is spent: hints and reports are rough
	coldPhaseFactor           = 1.5  // times the cold phase: the news of a start may have been late
	coldBurstDivisor          = 6    // parts of the window that a burst may fill
	leastReportFactor         = 1.6  // times the least capacity told lately is believed where a cold one's is guessed
	defaultColdCapacity       = 10   // requests a second of a cold server of unknown capacity
	warmCapacityShare         = 0.95 // of what a warm server can do is given out in parts,
	warmBurstWindow           = 250  // which fill for so many ms,
	warmReserveShare          = 0.5  // and of which so much has to be there beyond it for what is worth least;
	inflatedReportUtilisation = 0.95 // utilisation from which arrivals that are turned away swell what is told of that:
	inflatedReportFactor      = 1.1  // then it is that multiple of the least told at most.
	noShareFactor             = 2    // Who has no part yet takes one of so many times as many as there are: none falls over
	idleBudgetWindow          = 250  // ms for which what no better request wants is saved up for those under the line,
	minIdleBudget             = 2    // and so many requests at least;
	idleReserveShare          = 0.5  // the best of them find half of that enough
	maxRetryAfter             = 5e3  // ms after which who was refused is to come back, at the most
	noteAbsent                = 4    // an outcome's note: the origin has no value
	absentMemory              = 1000 // ms for which readers of such a key don't wait for each other's fetches
)

// Servers takes a list update.
func (b *Balancer) Servers(now float64, kind ListKind, entries []Entry) {
	b.begin(now)
	if kind == Refused {
		// Spread, or all routers ask at once again. One service works through the calls of all in turn, also
		// those that have waited too long: hundreds that come back each second get nothing, for good.
		pause := (500 + 1000*b.rng.Float64()) * b.crowd() * math.Exp2(float64(min(b.refusals, maxListCallDoublings)))
		b.watchAt = now + b.untold(3, pause)
		b.refusals++
		return
	}
	b.refusals = 0
	if b.watchAt = math.Inf(1); b.cfg.AskList && kind == Remembered {
		// A small tier's next housekeeping asks.
		b.watchAt = now + b.untold(0.8, listCallSpread*(b.crowd()-1))*b.rng.Float64()
	}
	for _, s := range b.apply(kind, entries) {
		if s.Started > now-b.cfg.Cold { // a new process has a new record
			s.fresh, s.ejected, s.strikes, s.accept = s.Started, false, 0, 1
			s.budget = rate{b.firstPart(), now}
			s.doubt, s.fails, s.refused, s.lost = 0, b.usual, false, false
		}
	}
	b.buildTable()
	b.dirty = true
}

// usable says whether a request, or with nil the solver, may use a server. An ejected one gets single trials.
func (b *Balancer) usable(s *server, r *request) bool {
	trial := s.ejected && r != nil && b.now >= s.trial && s.out == 0 && r.class.Effect == Repeatable
	may := s.listed && s.State == Ready && (trial || !s.ejected)
	return may && (r == nil || b.budgetAllows(s, r.work, b.relativeWorth(r)))
}

// observeHealth draws from an outcome what it tells of the server's health.
func (b *Balancer) observeHealth(s *server, st Status, sent float64) {
	ok := st == OK || st == Miss
	switch {
	case ok || st == Failed || st == QueueFull || st == Spoilt:
		s.reply, s.strikes, s.passed = b.now, 0, max(s.passed, sent)
		b.recordResponse(s)
	case st == ConnectError: // dead, or its table is full of idle connections: the next answer tells
		s.refused = true
		b.recordNoResponse(s, sent)
	case st == Reset:
	case s.reply < sent:
		s.strikes++
		b.recordNoResponse(s, sent)
	default:
		return // it answers others: this waited in line or for a fetch, and moving keys would add fetches
	}
	// Failures count as far as they stand out from the fleet's: what ends connections, spoils answers or
	// overloads everywhere is no server's own. Harm: where most of a fleet fails at once, it is seen later.
	if !ok {
		b.usual = usualFails(b.order)
	}
	if st != TimedOut {
		s.weigh(!ok, b.usual)
	}
	if !ok {
		if s.accept *= failureAcceptFactor; st == Spoilt { // who fails fast must look expensive
			s.accept *= spoiltAcceptFactor // one that spoils most still goes out
		}
		if s.ejected || s.doubt >= ejectionSuspicion || s.strikes >= maxConsecutiveFailures {
			b.eject(s, st == TimedOut)
		}
		return
	}
	if b.keep = min(b.cfg.ConnIdle, idleKeepGrowth*b.keep); s.refused {
		// Its table was full, and all routers hold fewer. Those that a release had ended, told late or never,
		// looked alike, and for the rest of a day a tier of eighty opened one for each second request.
		s.refused, b.keep = false, max(minIdleKeep, b.keep/2)
	}
	s.accept, s.pause = s.accept+successAcceptGain*(1-s.accept), successPauseFactor*s.pause
	if s.ejected { // the trial came back: in again at half its channels, and half way out
		s.ejected, s.accept, s.doubt, b.dirty = false, acceptAfterTrial, ejectionSuspicion/2, true
	}
}

// eject takes a server out of use. Silence of half the fleet is our own trouble or the origin's.
func (b *Balancer) eject(s *server, silent bool) {
	if silent && !s.ejected && (s.strikes < maxConsecutiveFailures || 2*ejected(b.order)+2 > len(b.order)) {
		return
	}
	if s.ejected && b.now < s.trial { // sent before it went out: no trial has failed
		return
	}
	s.pause = min(maxPauseFactor*minEjectionPause, max(minEjectionPause, 2*s.pause))
	s.trial = b.now + s.pause*(0.75+0.5*b.rng.Float64()) // or all routers try at once
	if s.overdue = s.trial; silent {
		s.overdue += unresponsiveTrialDelay
	}
	s.ejected, b.dirty = true, b.dirty || !s.ejected
}

// recordNoResponse books that nothing has come of an attempt at a server. Where each is asked every few seconds, half
// a fleet of sixty was found dead one by one, by three requests of each router to each, in four seconds:
// servers of a zone of which none answers, while others do, are taken for lost together.
func (b *Balancer) recordNoResponse(s *server, sent float64) {
	z := b.zoneOf(s)
	if z.reply >= sent || slices.Contains(z.silent, s) {
		return
	}
	if z.silent = append(z.silent, s); len(z.silent) < zoneEjectionServers || !b.othersReply(z, sent) {
		z.silent = z.silent[max(0, len(z.silent)-zoneEjectionServers):]
		return
	}
	for _, o := range b.order {
		if o.Zone == s.Zone && !o.ejected {
			o.strikes, o.lost = maxConsecutiveFailures, true
			b.eject(o, false)
			o.overdue += unresponsiveTrialDelay
		}
	}
}

// recordResponse books an answer. What was lost with the zone of a server that answers again is tried again too.
func (b *Balancer) recordResponse(s *server) {
	z := b.zoneOf(s)
	if z.reply, z.silent = b.now, z.silent[:0]; !s.lost {
		return
	}
	for _, o := range b.order {
		if o.Zone == s.Zone && o.lost {
			o.lost, o.trial, o.overdue = false, b.now, b.now
		}
	}
}

// expectedWait is the wait that a new request will find: by Little's law others hold their rate times the latency
// seen, which fades, or one refusal would last for good. Own attempts out are known.
func (b *Balancer) expectedWait(s *server) float64 {
	seen := math.Exp((s.lat.at - b.now) / serverLatencyTau)
	others := max(0, s.qps-b.perSecond(&s.sent, sendRateTau)) * s.lat.v / 1000 * seen
	// Where each server is seldom asked, what all show is the best guess of a queue, and the only one.
	guess := (b.jam.v - b.jam.floor) * math.Exp((b.jam.at-b.now)/fleetLatencyTau)
	if !s.ejected { // one taken for sick, tried as the last resort, has no better
		guess *= b.seldom()
	}
	return max(0, guess) + max(0, (float64(s.out)+others+1)*1000/(b.capacityOf(s)*b.warmth(s))-s.lat.floor)
}

// capacityOf has a stand-in until a report comes, or the first second chokes all servers.
func (b *Balancer) capacityOf(s *server) float64 {
	if s.cap.v > 0 {
		return s.cap.v
	}
	return b.typical(s, defaultChannelsTime/max(1, b.x.mean))
}

// candidates leaves out the servers that can't be used: they are skipped in their place.
func (b *Balancer) candidates(k *flow) []*server {
	return slices.DeleteFunc(slices.Clone(b.list(k)), func(s *server) bool { return !b.usable(s, nil) })
}

// balanceFlow moves the rates x over the servers by the procedure of Table 1 and returns F.
func (b *Balancer) balanceFlow(v []*server, x []float64) float64 {
	var d, h [maxCandidates]float64
	c2 := b.x.ratio()
	for sweep, was := 0, 0.0; ; sweep++ {
		f, low, rest := 0.0, 0, 0.0
		for j, s := range v {
			var fj float64
			fj, d[j], h[j] = delay(s.load+x[j], s.n, s.mu, c2)
			if f, rest = f+fj, rest+x[j]; d[j] < d[low] {
				low = j
			}
		}
		if sweep == maxSolveSweeps || sweep > 0 && math.Abs(f-was) <= solveTolerance*f {
			return f
		}
		for j := range v {
			if j != low {
				x[j] = max(0, x[j]-newtonStep*(d[j]-d[low])/(h[j]+h[low]+1e-12)) // equation (10)
				rest -= x[j]
			}
		}
		x[low], was = rest, f // equation (11)
	}
}

// splitFlow starts a flow at its first server; later ones join, in ascending FDL, while the waiting falls.
// Shares are solved at scaled rates, but a copy must save each request a fetch at the rates as they are.
func (b *Balancer) splitFlow(k *flow, v []*server, total float64) {
	c2 := b.x.ratio()
	fdl := func(s *server) float64 { _, d, _ := delay(s.load, s.n, s.mu, c2); return d }
	slices.SortStableFunc(v[1:], func(p, q *server) int { return cmp.Compare(fdl(p), fdl(q)) })
	x := []float64{total}
	for i := 1; i < len(v); i++ {
		x = append(x, 0)
		y, gain := slices.Clone(x), 0.0
		b.balanceFlow(v[:i+1], y)
		for j, s := range v[:i+1] {
			f, _, _ := delay((s.load+x[j])/b.scale, s.n, s.mu, c2)
			g, _, _ := delay((s.load+y[j])/b.scale, s.n, s.mu, c2)
			gain += f - g
		}
		if gain <= total/b.scale*b.olat.v/1000+solveTolerance {
			x = x[:i]
			break
		}
		x = y
	}
	k.v, k.p = v[:len(x)], x
	for j, s := range k.v {
		s.load += x[j]
		s.hot += x[j] / b.scale * (1 - b.portion)
		x[j] /= total
	}
}

// buildModel sets channels and background of all servers and the scale to the utilisation that is solved for.
func (b *Balancer) buildModel() {
	mu, mean, mine, total, room := 1000/max(1, b.x.mean), b.survey(), 0.0, 0.0, 0.0
	for _, s := range b.order {
		channels := b.capacityOf(s) * s.accept * s.accept * b.warmth(s) / mu
		s.mu, s.n = mu, int(min(maxChannels, max(1, channels)))
		own := b.perSecond(&s.sent, sendRateTau)
		fresh := math.Exp((s.heard - b.now) / keyRateTau) // an old report tells the mean, hot keys come on top
		s.load, s.hot = fresh*max(0, s.qps-own-s.hot)+(1-fresh)*mean, 0
		if mine += own; b.usable(s, nil) {
			total, room = total+own+s.load, room+float64(s.n)*mu
		}
	}
	if b.portion = 1 / float64(b.cfg.Routers); mean > 0 {
		b.portion = max(mine/max(total, mine, 1e-3), minTrafficShare*b.portion)
	}
	b.scale = targetUtilisation * room / max(total, 1e-3)
	for _, s := range b.order {
		s.load *= b.scale
	}
}

// solve splits hot keys singly, hottest first by λ_i/μ_i. The tail stays at its homes: split by shares in
// groups, keys moved with every solve, and the misses jammed the origin.
func (b *Balancer) solve() {
	b.solvedAt, b.dirty = b.now, false
	b.buildModel()
	mem := b.keyMem()
	for _, k := range b.hottest() {
		c, lam := b.candidates(k), b.perSecond(&k.rate, mem)*k.work*b.scale
		switch {
		case len(c) == 0:
		case k.rate.v >= minHotArrivals:
			b.splitFlow(k, c, lam/b.portion*(1-1/k.rate.v)) // the arrival that brought it up is no fair sample
		default:
			c[0].load += lam
		}
	}
}

// pickServer draws a server by the solved probabilities; a cold key's is its first candidate.
func (b *Balancer) pickServer(r *request) *server {
	if b.now >= r.until-1 || r.class.Late == 0 && b.now >= r.aim {
		return nil // nothing left to earn
	}
	var drawn, any *server
	list := b.list(r.key)
	if i := slices.IndexFunc(list, func(s *server) bool { return b.usable(s, nil) }); i >= 0 {
		drawn = list[i]
	}
	if drawn != nil && !r.may(drawn) {
		drawn = nil
	}
	home := drawn
	if len(list) > 0 {
		home = list[0]
	}
	due := home != drawn && r.may(home) && home.ejected && b.now >= home.overdue
	if due && len(r.tries) == 0 && b.usable(home, r) {
		return home // its trial: where no queue makes a request look further, it would stay out for good
	}
	for j, u := 0, b.rng.Float64(); j < len(r.key.v) && u >= 0; j++ {
		if u -= r.key.p[j]; r.may(r.key.v[j]) {
			drawn = r.key.v[j]
		}
	}
	// The wait that is borne falls with the worth: the least worth is shed first, and early rather than late.
	bear := (b.bear + worthWaitShare*b.relativeWorth(r)) * (r.aim - b.now)
	list = append([]*server{r.missed, drawn}, list...)
	if r.Owners != nil { // it may have been sent on to others than the key's
		list = append(list, b.listed(r.Owners)...)
	}
	for sick := 0; sick < 2 && any == nil; sick++ {
		for _, s := range list {
			if s == nil || !r.may(s) || s != r.missed && r.tried(s) || !b.mayAttempt(r, s) ||
				!b.usable(s, r) && (sick == 0 || s.State != Ready || !b.budgetAllows(s, r.work, b.relativeWorth(r))) {
				continue
			}
			wait := b.expectedWait(s)
			if s != drawn && s != r.missed && s != r.key.storeAt {
				wait += b.olat.v // it takes a fetch there; spreading keys would jam a slow origin for good
			}
			if any = s; wait <= bear-latencyFloorShare*s.lat.floor*math.Exp((s.lat.at-b.now)/staleAfter)*r.work {
				return s
			}
		}
	}
	if b.mayRefuse(r) || r.out > 0 {
		return nil
	}
	return any
}

func (b *Balancer) handleArrival(r *request) {
	if r.Stores { // who waits for the fetch waits for what it has brought to be there
		r.key.fetch = r
		b.sendOrEnd(r)
		return
	}
	if r.Standing == Beyond { // what is not served is no traffic either: it changes nobody's part
		b.host.Refuse(r.ID, r.Again)
		b.closeRequest(r)
		return
	}
	b.arrivals.add(b.now, keyRateTau, 1)
	b.spare, b.probes = min(b.retryBudgetCap(), b.spare+b.retryBudgetGain()), min(maxSavedProbes, b.probes+probesPerRequest)
	// A few arrivals over the quota's part are chance: two deviations of a count are not.
	q := b.quota[r.Tenant] * b.portion * keyRateTau / 1000
	if u := b.used[r.Tenant]; u != nil && u.add(b.now, keyRateTau, 1) > q+quotaDeviations*math.Sqrt(q) {
		r.worth *= b.cfg.OverWorth
	}
	r.worth *= [...]float64{Within: 1, Borrowed: leasedWorthFactor, Over: b.cfg.OverWorth}[r.Standing]
	if b.told && b.shouldShed(r) {
		b.host.Refuse(r.ID, b.retryAfter(r))
		b.closeRequest(r)
		return
	}
	k := r.key
	k.work += keyWorkWeight * (r.work - k.work)
	k.rate.add(b.now, b.keyMem(), 1)
	// Where servers fetch by themselves, writes and keys not seen for a while go to the origin too. A write
	// whose servers are named is theirs.
	if b.cfg.Alone || r.Write && r.Owners != nil {
		b.sendOrEnd(r)
	} else if r.Write || k.fetch != nil || !b.cfg.Aside && b.now > k.stored+staleAfter {
		b.hold(r)
		b.dispatchHeld()
	} else {
		b.sendOrEnd(r)
	}
}

// sendOrEnd sends a request on, or ends it where no attempt is worth its work.
func (b *Balancer) sendOrEnd(r *request) {
	if s := b.pickServer(r); s != nil {
		b.sendAttempt(r, s)
	} else {
		b.endRequest(r)
	}
}

func (b *Balancer) sendAttempt(r *request, s *server) {
	r.tries = append(r.tries, attempt{s: s, at: b.now, ran: true})
	r.out++
	s.out, s.sentAt, s.held = s.out+1, b.now, true
	if s != b.origin {
		b.demand.Sent += r.work
		s.budget.v -= (1 + r.work) / 2 // hints are rough: light ones turn out heavier
		s.sent.add(b.now, sendRateTau, r.work)
		// Hints are rough, pauses are not.
		e := max(s.lat.floor, b.x.mean/2, minExpectedTime)*max(0.5, r.work) + b.expectedWait(s)
		left := r.aim - b.now - retryTimeFactor*e // for this one, so that there is time for another
		patience := max(minPatienceFactor*e, min(maxPatienceFactor*e, left))
		// An unknown server, and one on trial, answers over a new connection, perhaps from another zone:
		// ended early, healthy ones stayed out for good. Harm: a dead one costs these most of their time.
		if s.ejected || s.lat.v == 0 {
			patience = max(patience, unknownServerAimShare*(r.aim-b.now))
		}
		if b.now+patience < r.until {
			b.host.Timer(patience, uint64(r.ID)<<8|uint64(len(r.tries)))
		}
	}
	if s == b.origin { // a fetch whose answer is lost holds all that wait for the key
		b.host.Timer(fetchPatienceFactor*max(b.olat.v, minExpectedTime), uint64(r.ID)<<8|uint64(len(r.tries)))
	}
	b.host.Send(r.ID, s.ID, 0)
}

// mayAttempt alone says whether a further attempt may run on s, mayRefuse whether a refusal is true. An attempt
// may have run from its send on, until its outcome proves the contrary.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	for _, a := range r.tries {
		if !a.ran || r.class.Effect == Repeatable {
			continue
		}
		same := a.s.group(r.class.Scope) == s.group(r.class.Scope) && a.s != b.origin && s != b.origin
		if r.class.Effect == Once || !same || b.now >= a.at+r.class.Window-1 {
			return false
		}
	}
	return len(r.tries) < b.cfg.MaxAttempts && (r.out == 0 || b.cfg.Copies)
}

func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Repeatable || r.class.Effect == Keyed && r.class.Scope == "all" ||
		!slices.ContainsFunc(r.tries, func(a attempt) bool { return a.ran })
}

// endRequest gives the final answer, unless an attempt is still out that may give a better one.
func (b *Balancer) endRequest(r *request) {
	if r.closed || r.out > 0 && b.now < r.until-1 {
		return
	}
	if b.mayRefuse(r) {
		b.demand.Rejected += r.work
		b.host.Refuse(r.ID, r.Again)
	} else {
		b.host.Fail(r.ID)
	}
	b.closeRequest(r)
}

// closeRequest forgets a request that has its final answer, but for attempts still out.
func (b *Balancer) closeRequest(r *request) {
	if r.asks && !r.closed {
		b.asking--
	}
	r.closed = true
	for i, a := range r.tries {
		if !a.over && b.cfg.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
	if r.key.fetch == r {
		r.key.fetch = nil
	}
	if r.out == 0 {
		delete(b.reqs, r.ID)
	}
}

func (b *Balancer) handleOutcome(r *request, a *attempt, o Outcome) {
	asked, lost := r.asks, o.Status == Failed && o.Note == 2 && !b.cfg.Aside // lost: the origin's failure
	if b.setAsks(r, false); o.Status.tells() && !lost && !(asked && o.Status == TimedOut) {
		b.observeHealth(a.s, o.Status, a.at)
	}
	if timeout := o.Status == TimedOut && !asked; a.s != b.origin && (timeout || o.Status == QueueFull) {
		b.jam.see(b.now, b.jam.floor+r.class.Aim, fleetLatencyWeight)
		if took := o.Latency / r.work; timeout && took > a.s.lat.v { // a jam, though some are answered
			a.s.lat.see(b.now, took, min(maxLatencyWeight, latencyWeight*r.work))
		}
	}
	if a.passed && (o.Status == OK || o.Status == Miss) {
		b.lost -= lostAnswerWeight * b.lost
	}
	if a.s == b.origin || asked && o.Note != 1 { // 1: it was there after all
		b.adjustFetchLimit(r, o.Status, o.Latency)
	}
	if o.Note == noteAbsent {
		r.key.stored, r.key.absent = 0, b.now
	}
	if lost {
		r.key.stored = 0 // the next request of the key takes a place too
	}
	if a.s != b.origin && o.Status == OK {
		if o.Note != 2 { // what waited for a fetch says nothing of the server
			if b.bear = min(maxBaseWaitShare, b.bear+waitShareGain); b.now > r.aim {
				b.bear, b.lateAt = max(0, b.bear-waitShareCut), b.now
			}
			b.x.see(o.Latency)
			// By its work: a light one takes several times as long for each unit, which looked like a queue.
			b.jam.see(b.now, o.Latency/r.work, min(maxLatencyWeight, fleetLatencyWeight*r.work))
			if a.s.lat.v == 0 { // a light request tells little: the fleet's mean stands in for the rest
				a.s.lat.see(b.now, b.x.mean+min(1, r.work)*(o.Latency/r.work-b.x.mean), 1)
			}
			a.s.lat.see(b.now, o.Latency/r.work, min(maxLatencyWeight, latencyWeight*r.work))
		}
		r.key.stored, r.key.storeAt, b.stored = b.now, a.s, true
	}
	// A read whose answer was spoilt, or whose connection ended at a server not thought sick, is asked for
	// again where it is kept: it takes no fetch. A dead server costs a second attempt, which spare bounds.
	cut := o.Status == Reset || o.Status == ConnectError
	again := a.s == b.origin && (cut || o.Status == Canceled)
	if o.Owners != nil {
		r.Owners = o.Owners
	}
	spoilt := (o.Status == Spoilt || cut && a.s != b.origin && a.s.doubt < ejectionSuspicion/2) && !r.Write
	if spoilt && a.s != b.origin {
		r.missed = a.s
	} else if (spoilt || again) && r.key.fetch == r {
		r.key.fetch = nil
	}
	switch {
	case r.closed || o.Final:
		b.closeRequest(r)
	case again && b.spare >= 1 && b.mayAttempt(r, a.s): // it takes a place again
		b.spare--
		b.hold(r)
	case b.now >= r.until-1 || a.s == b.origin && !spoilt || lost:
		b.endRequest(r)
	case o.Status == Miss && b.cfg.Aside:
		r.missed = a.s
		b.hold(r)
	case o.Owners != nil && r.out == 0: // sent on: no retry, and the bound on attempts ends loops
		b.sendOrEnd(r)
	case r.out == 0 && b.told && cut && a.s.ejected: // it died: what all had there has to go elsewhere
		b.sendOrEnd(r)
	case r.out > 0 || b.spare < 1: // retries must not become a storm
		b.endRequest(r)
	default:
		b.spare--
		b.sendOrEnd(r)
	}
	b.dispatchHeld()
}

// handleStall acts on an attempt past its patience; a server that has answered others since is not suspected.
func (b *Balancer) handleStall(r *request, i int) {
	if i >= len(r.tries) || r.tries[i].over || b.now >= r.aim && r.tries[i].s != b.origin {
		return
	}
	a := &r.tries[i]
	if a.s.reply >= a.at || a.s == b.origin {
		// Later ones were answered: it is lost, or heavy, and waited for half as long again unless most such
		// were lost. Harm: a heavy one may be done twice, and a few must tell before losses are known.
		may := !b.cfg.Copies && b.cfg.Cancel && r.class.Effect == Repeatable && b.spare >= 1
		if may && a.s.passed > a.at && b.overtaken(a) {
			if a.s != b.origin {
				r.missed = a.s
			}
			b.host.Cancel(r.ID, i)
			return
		}
		b.host.Timer(overtakenWaitFactor*(b.now-a.at), uint64(r.ID)<<8|uint64(i+1))
		return
	}
	if !r.asks {
		r.key.rate.add(b.now, b.keyMem(), b.seldom())                 // the key that meets a jam most likely makes it
		b.jam.see(b.now, b.jam.floor+r.class.Aim, fleetLatencyWeight) // known a second before the time-out
		a.s.strikes++
		b.eject(a.s, true)
		b.recordNoResponse(a.s, a.at)
	}
	if b.spare < 1 || r.out > 1 {
		return
	}
	if s := b.pickServer(r); b.cfg.Copies && s != nil {
		b.spare--
		b.sendAttempt(r, s)
	} else if !b.cfg.Copies && b.cfg.Cancel && r.class.Effect == Repeatable {
		b.host.Cancel(r.ID, i)
	}
}

func (b *Balancer) housekeep() {
	b.host.Timer(housekeepInterval, tickToken)
	b.room = b.usableCapacity()
	if b.told && b.now > b.lateAt+waitShareRecoveryDelay { // by answers alone one of many came back many times later
		b.bear = min(maxBaseWaitShare, b.bear+waitShareRecovery)
	}
	if since := b.now - b.solvedAt; since >= solveInterval || b.dirty && since >= minSolveInterval {
		b.solve()
	}
	if b.now >= b.watchAt {
		b.watchAt = b.now + listCallTimeout
		b.host.Watch()
	}
	// Probes are paid for by own requests: a bound on the age of reports cost many probes a request at size.
	for i, turn := 0, b.turn; i < len(b.order); i++ {
		s := b.order[(turn+i)%len(b.order)]
		if s.held && s.out == 0 && b.keep < b.cfg.ConnIdle && b.now > s.sentAt+b.keep {
			s.held = false
			b.host.Close(s.ID)
		}
		if b.cfg.ByProbe && b.cfg.Probes && b.probes >= 1 && b.now-s.probed >= probeInterval {
			b.probes, b.turn, s.probed = b.probes-1, turn+i+1, b.now
			b.host.Probe(s.ID)
		}
	}
}

// fetchLimitShares are the parts of the bound on fetches at which requests of a standing go on: what is asked over
// a floor would keep the origin as full as it may be, and those within would wait behind it.
var fetchLimitShares = [...]float64{Within: 1, Borrowed: 0.5, Over: 0.25}

// fetchLimitReached says whether as many fetches are out as may be where a request goes on.
func (b *Balancer) fetchLimitReached(r *request) bool {
	return b.fetching() >= max(1, b.fetches*fetchLimitShares[r.Standing])
}

// hold makes a request wait for a place at the origin or for a fetch of its key while it can be in time.
func (b *Balancer) hold(r *request) {
	by := r.until - minExpectedTime
	if r.class.Late == 0 {
		by = min(by, r.aim-b.olat.v/2)
	}
	r.held, b.held = b.now, append(b.held, r)
	b.host.Timer(max(1, by-b.now), uint64(r.ID)<<8)
}

// dispatchHeld lets held requests go on, those worth most first: to where their key is stored, or to the origin.
func (b *Balancer) dispatchHeld() {
	// Without a place, and no key stored since, nobody goes on where servers fetch by themselves: in overload
	// thousands wait, and looking at each for every event of others made the overload last.
	if !b.cfg.Aside && !b.stored && b.fetching() >= max(1, b.fetches) {
		return
	}
	b.stored = false
	slices.SortStableFunc(b.held, func(p, q *request) int { return cmp.Compare(q.worth, p.worth) })
	b.held = slices.DeleteFunc(b.held, func(r *request) bool {
		k, o := r.key, b.origin
		switch {
		case r.closed:
		case !r.Write && k.stored > r.held:
			r.missed, r.held = k.storeAt, 0
			b.sendOrEnd(r)
		case b.cfg.Aside && (o == nil || o.State != Ready || !b.mayAttempt(r, o) || b.now+b.olat.floor > r.until):
			b.endRequest(r)
		case !r.Write && k.fetch != nil && !b.absent(k) || b.fetchLimitReached(r):
			return false
		case b.fetches < 1 && b.asked.add(b.now, keyRateTau, 0) >= b.fetches*keyRateTau/max(b.olat.v, minFetchLatency):
			return false // a whole fetch at each of hundreds of routers jammed the origin
		default:
			if r.held = 0; !r.Write {
				k.fetch = r
			}
			if b.setAsks(r, !b.cfg.Aside); r.asks {
				b.sendOrEnd(r)
			} else {
				b.sendAttempt(r, o)
			}
			if r.out > 0 {
				b.asked.add(b.now, keyRateTau, 1)
			}
		}
		return true
	})
}

// adjustFetchLimit moves the bound on fetches: up while answers stay quick, down when they slow or fail.
func (b *Balancer) adjustFetchLimit(r *request, st Status, lat float64) {
	if st == Spoilt { // it did its work, and its answer was stored
		st = OK
	}
	if r.key.fetch == r && st == OK {
		r.key.stored, r.key.storeAt, b.stored = b.now, r.missed, true
	}
	late := st == TimedOut && lat > 2*b.olat.floor // else it was sent too late: no sign of a slow origin
	if st == OK || late {
		b.olat.see(b.now, lat, b.fetchLatencyWeight())
	}
	// Harm of the bound by the aim: where it is short for the origin, few are out at once. A floor risen in
	// overload excuses no useless answer.
	slow := min(maxSlowFactor*b.olat.floor, max(minSlowFactor*b.olat.floor, minSlowAimShare*r.class.Aim), maxSlowAimShare*r.class.Aim)
	if (st == OK || late) && b.olat.v < slow {
		more := min(1/max(1, b.fetches), max(fetchLimitGrowth*b.fetches, tierFetchLimitGrowth/b.parts))
		if b.told { // a good answer anywhere adds to all bounds together what it adds to that of one router
			more = min(more, 1/max(1, b.fetches*b.parts))
		}
		b.fetches = min(maxFetchLimit, b.fetches+more)
	} else if st.tells() && (st != TimedOut || late) && b.now-b.cutAt > fetchCutInterval {
		cut, least := slowCutFactor, min(2, tierMinFetchLimit/b.parts)
		if st == Failed { // it needs room
			cut, least = failedCutFactor, least/failedMinDivisor
		}
		if b.cutAt = b.now; b.olat.v >= slow { // a queue: the bound may be far above those out
			b.fetches = min(b.fetches, max(least, b.fetching()+1))
		}
		b.fetches = max(min(least, b.fetches), cut*b.fetches)
	}
}

// sendLimit is what all routers together may send a server, in work a second; 0 = as much as they like.
func (b *Balancer) sendLimit(s *server) float64 {
	switch {
	case b.isCold(s):
		// Reports amid cheap misses overstate what a server can do; with a stopped origin all of them.
		sure := max(defaultColdCapacity, leastReportFactor*b.least*s.unit(b.sized))
		return coldBudgetShare * b.cfg.FallMult * min(b.typical(s, defaultColdCapacity), sure) * b.warmth(s)
	case s.cap.v > 0 && s.last.Util >= inflatedReportUtilisation: // at little load the least is chance
		return warmCapacityShare * min(s.cap.v, inflatedReportFactor*s.cap.floor)
	}
	return warmCapacityShare * s.cap.v
}

func (b *Balancer) isCold(s *server) bool { return b.now < s.fresh+coldPhaseFactor*b.cfg.Cold }

// retryBudgetGain is what a request pays for further attempts. Where routers tell each other who there is, those
// of all add up to a tenth of the first: two dozen that had each saved up twenty made a second wave of it.
func (b *Balancer) retryBudgetGain() float64 {
	if b.told {
		return tierRetriesPerRequest
	}
	return retriesPerRequest
}

// retryBudgetCap is what may be saved up of that: in a fleet one, or half a second's worth.
func (b *Balancer) retryBudgetCap() float64 {
	if b.told {
		return min(maxSavedRetries, max(1, tierRetriesPerRequest/2*b.perSecond(&b.arrivals, keyRateTau)))
	}
	return maxSavedRetries
}

// fetchLatencyWeight is the weight of a fetch in the fetches' latency: a router of many sees few.
func (b *Balancer) fetchLatencyWeight() float64 {
	if !b.told {
		return fleetLatencyWeight
	}
	return min(0.5, fleetLatencyWeight*max(1, b.parts/4))
}

// budgetAllows says whether this router's part of what a server can take has room: of a cold one's send budget and,
// where routers tell each other who there is, of what a warm one can do. Two dozen that each saw the others'
// queues late kept all queues full, whatever each refused. The least worth is refused first. Harm: a part not
// used here may be wanted elsewhere.
func (b *Balancer) budgetAllows(s *server, work, rank float64) bool {
	fill, window, least, kept := b.sendLimit(s)/1000, b.cfg.FallFor/coldBurstDivisor, 1.0, 0.0
	switch {
	case b.isCold(s):
		fill /= b.parts
	case !b.told || s.cap.v == 0:
		return true
	default:
		fill /= b.warmServerShares()
		// Each that comes gives up what was saved beyond its bound: less worth needs a time without better.
		window, least, kept = warmBurstWindow, 2-rank, warmReserveShare*(1-rank)
		s.budget.v = max(-1000*fill, s.budget.v) // what was sent before there were parts is not owed
	}
	most := max(least, fill*window)
	s.budget.v = min(most, s.budget.v+fill*(b.now-s.budget.at))
	s.budget.at = b.now
	return s.budget.v >= min((1+work)/2+kept*most, most)
}

// warmServerShares is how many parts warm servers are divided by: who has none yet takes half of an equal one.
func (b *Balancer) warmServerShares() float64 {
	return min(b.parts, noShareFactor*float64(b.cfg.Routers))
}

// shouldShed says whether a request is to be refused, as the fleet can't serve all. Where each router shed by its
// own luck, who was refused by one asked the next, and all saw four times the requests: this is the same at
// all. What this router's part of all servers has left is for those under the line, the best of them first: a
// wrong line, or a liar's, costs no more than their order. Harm: they wait for a part of a second first.
func (b *Balancer) shouldShed(r *request) bool {
	l, fill := b.line, b.room/b.warmServerShares()/1000
	most := max(minIdleBudget, fill*idleBudgetWindow)
	b.idle.v = min(most, b.idle.v+fill*(b.now-b.idle.at))
	b.idle.at = b.now
	band := BandOf(r.worth / max(b.maxWorth, 1e-9))
	over := b.now > l.Until || band < l.Band || band == l.Band && b.bandPosition(r) < l.Share
	if over = over || b.idle.v >= most*(1-idleReserveShare*b.relativeWorth(r)); over {
		b.idle.v = max(-most, b.idle.v-r.work)
		b.demand.Admitted += r.work
	} else if !r.Retry {
		b.demand.Shed[band] += r.work
	}
	if !r.Retry { // who comes back is no more than came before
		b.demand.Arrived[band] += r.work
	}
	return !over
}

// retryAfter is when one that is under the line is to come back: as the hash turns, each has its own time. Where
// that is late it is some seconds, spread, as the line may be gone by then.
func (b *Balancer) retryAfter(r *request) float64 {
	most := maxRetryAfter
	if b.cfg.MaxAfter > 0 {
		most = min(most, b.cfg.MaxAfter)
	}
	return min(max(1, (1-b.bandPosition(r))*b.line.RotationPeriod), most*(0.5+b.rng.Float64()/2))
}

// relativeWorth is a request's worth beside the highest, 0 to 1, by its root: classes lie far apart.
func (b *Balancer) relativeWorth(r *request) float64 {
	return math.Sqrt(r.worth / max(b.maxWorth, 1e-9))
}
