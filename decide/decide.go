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
	b.advance(now)
	if kind == ListFailed {
		// Spread, or all routers ask at once again. One service works through the calls of all in turn, also
		// those that have waited too long: hundreds that come back each second get nothing, for good.
		pause := (500 + 1000*b.rng.Float64()) * b.tierScale() * math.Exp2(float64(min(b.listFailures, maxListCallDoublings)))
		b.watchAt = now + b.boundListWait(3, pause)
		b.listFailures++
		return
	}
	b.listFailures = 0
	if b.watchAt = math.Inf(1); b.cfg.AskList && kind == Restored {
		// A small tier's next housekeeping asks.
		b.watchAt = now + b.boundListWait(0.8, listCallSpread*(b.tierScale()-1))*b.rng.Float64()
	}
	for _, s := range b.applyList(kind, entries) {
		if s.Started > now-b.cfg.Cold { // a new process has a new record
			s.coldSince, s.ejected, s.consecutiveFailures, s.acceptShare = s.Started, false, 0, 1
			s.sendBudget = decayingSum{b.firstColdBudget(), now}
			s.suspicion, s.failShare, s.connRefused, s.zoneLost = 0, b.usualFailures, false, false
		}
	}
	b.buildTable()
	b.solveNeeded = true
}

// usable says whether a request, or with nil the solver, may use a server. An ejected one gets single trials.
func (b *Balancer) usable(s *server, r *request) bool {
	trial := s.ejected && r != nil && b.now >= s.trialAt && s.inFlight == 0 && r.class.Effect == Repeatable
	may := s.listed && s.State == Ready && (trial || !s.ejected)
	return may && (r == nil || b.budgetAllows(s, r.work, b.relativeWorth(r)))
}

// observeHealth draws from an outcome what it tells of the server's health.
func (b *Balancer) observeHealth(s *server, st Status, sent float64) {
	ok := st == OK || st == Miss
	switch {
	case ok || st == Failed || st == QueueFull || st == InvalidAnswer:
		s.lastReply, s.consecutiveFailures, s.answeredSentAt = b.now, 0, max(s.answeredSentAt, sent)
		b.recordResponse(s)
	case st == ConnectError: // dead, or its table is full of idle connections: the next answer tells
		s.connRefused = true
		b.recordNoResponse(s, sent)
	case st == Reset:
	case s.lastReply < sent:
		s.consecutiveFailures++
		b.recordNoResponse(s, sent)
	default:
		return // it answers others: this waited in line or for a fetch, and moving keys would add fetches
	}
	// Failures count as far as they stand out from the fleet's: what ends connections, spoils answers or
	// overloads everywhere is no server's own. Harm: where most of a fleet fails at once, it is seen later.
	if !ok {
		b.usualFailures = medianFailShare(b.serverList)
	}
	if st != TimedOut {
		s.updateSuspicion(!ok, b.usualFailures)
	}
	if !ok {
		if s.acceptShare *= failureAcceptFactor; st == InvalidAnswer { // who fails fast must look expensive
			s.acceptShare *= spoiltAcceptFactor // one that spoils most still goes out
		}
		if s.ejected || s.suspicion >= ejectionSuspicion || s.consecutiveFailures >= maxConsecutiveFailures {
			b.eject(s, st == TimedOut)
		}
		return
	}
	if b.connKeep = min(b.cfg.ConnIdle, idleKeepGrowth*b.connKeep); s.connRefused {
		// Its table was full, and all routers hold fewer. Those that a release had ended, told late or never,
		// looked alike, and for the rest of a day a tier of eighty opened one for each second request.
		s.connRefused, b.connKeep = false, max(minIdleKeep, b.connKeep/2)
	}
	s.acceptShare, s.trialPause = s.acceptShare+successAcceptGain*(1-s.acceptShare), successPauseFactor*s.trialPause
	if s.ejected { // the trial came back: in again at half its channels, and half way out
		s.ejected, s.acceptShare, s.suspicion, b.solveNeeded = false, acceptAfterTrial, ejectionSuspicion/2, true
	}
}

// eject takes a server out of use. Silence of half the fleet is our own trouble or the origin's.
func (b *Balancer) eject(s *server, silent bool) {
	if silent && !s.ejected && (s.consecutiveFailures < maxConsecutiveFailures || 2*countEjected(b.serverList)+2 > len(b.serverList)) {
		return
	}
	if s.ejected && b.now < s.trialAt { // sent before it went out: no trial has failed
		return
	}
	s.trialPause = min(maxPauseFactor*minEjectionPause, max(minEjectionPause, 2*s.trialPause))
	s.trialAt = b.now + s.trialPause*(0.75+0.5*b.rng.Float64()) // or all routers try at once
	if s.trialOverdue = s.trialAt; silent {
		s.trialOverdue += unresponsiveTrialDelay
	}
	s.ejected, b.solveNeeded = true, b.solveNeeded || !s.ejected
}

// recordNoResponse books that nothing has come of an attempt at a server. Where each is asked every few seconds, half
// a fleet of sixty was found dead one by one, by three requests of each router to each, in four seconds:
// servers of a zone of which none answers, while others do, are taken for lost together.
func (b *Balancer) recordNoResponse(s *server, sent float64) {
	z := b.zoneOf(s)
	if z.lastReply >= sent || slices.Contains(z.unresponsive, s) {
		return
	}
	if z.unresponsive = append(z.unresponsive, s); len(z.unresponsive) < zoneEjectionServers || !b.otherZoneReplied(z, sent) {
		z.unresponsive = z.unresponsive[max(0, len(z.unresponsive)-zoneEjectionServers):]
		return
	}
	for _, o := range b.serverList {
		if o.Zone == s.Zone && !o.ejected {
			o.consecutiveFailures, o.zoneLost = maxConsecutiveFailures, true
			b.eject(o, false)
			o.trialOverdue += unresponsiveTrialDelay
		}
	}
}

// recordResponse books an answer. What was lost with the zone of a server that answers again is tried again too.
func (b *Balancer) recordResponse(s *server) {
	z := b.zoneOf(s)
	if z.lastReply, z.unresponsive = b.now, z.unresponsive[:0]; !s.zoneLost {
		return
	}
	for _, o := range b.serverList {
		if o.Zone == s.Zone && o.zoneLost {
			o.zoneLost, o.trialAt, o.trialOverdue = false, b.now, b.now
		}
	}
}

// expectedWait is the wait that a new request will find: by Little's law others hold their rate times the latency
// seen, which fades, or one refusal would last for good. Own attempts out are known.
func (b *Balancer) expectedWait(s *server) float64 {
	seen := math.Exp((s.latency.updated - b.now) / serverLatencyTau)
	others := max(0, s.reportedRate-b.perSecond(&s.sentWork, sendRateTau)) * s.latency.value / 1000 * seen
	// Where each server is seldom asked, what all show is the best guess of a queue, and the only one.
	guess := (b.fleetLatency.value - b.fleetLatency.floor) * math.Exp((b.fleetLatency.updated-b.now)/fleetLatencyTau)
	if !s.ejected { // one taken for sick, tried as the last resort, has no better
		guess *= b.sendSparsity()
	}
	return max(0, guess) + max(0, (float64(s.inFlight)+others+1)*1000/(b.capacityOf(s)*b.warmFraction(s))-s.latency.floor)
}

// capacityOf has a stand-in until a report comes, or the first second chokes all servers.
func (b *Balancer) capacityOf(s *server) float64 {
	if s.capacity.value > 0 {
		return s.capacity.value
	}
	return b.typicalCapacity(s, defaultChannelsTime/max(1, b.latencies.mean))
}

// candidates leaves out the servers that can't be used: they are skipped in their place.
func (b *Balancer) candidates(k *keyTraffic) []*server {
	return slices.DeleteFunc(slices.Clone(b.hashListOf(k)), func(s *server) bool { return !b.usable(s, nil) })
}

// balanceFlow moves the rates x over the servers by the procedure of Table 1 and returns F.
func (b *Balancer) balanceFlow(v []*server, x []float64) float64 {
	var d, h [maxCandidates]float64
	c2 := b.latencies.momentRatio()
	for sweep, was := 0, 0.0; ; sweep++ {
		f, low, rest := 0.0, 0, 0.0
		for j, s := range v {
			var fj float64
			fj, d[j], h[j] = waitingRequests(s.modelLoad+x[j], s.channels, s.serviceRate, c2)
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
func (b *Balancer) splitFlow(k *keyTraffic, v []*server, total float64) {
	c2 := b.latencies.momentRatio()
	fdl := func(s *server) float64 {
		_, d, _ := waitingRequests(s.modelLoad, s.channels, s.serviceRate, c2)
		return d
	}
	slices.SortStableFunc(v[1:], func(p, q *server) int { return cmp.Compare(fdl(p), fdl(q)) })
	x := []float64{total}
	for i := 1; i < len(v); i++ {
		x = append(x, 0)
		y, gain := slices.Clone(x), 0.0
		b.balanceFlow(v[:i+1], y)
		for j, s := range v[:i+1] {
			f, _, _ := waitingRequests((s.modelLoad+x[j])/b.loadScale, s.channels, s.serviceRate, c2)
			g, _, _ := waitingRequests((s.modelLoad+y[j])/b.loadScale, s.channels, s.serviceRate, c2)
			gain += f - g
		}
		if gain <= total/b.loadScale*b.fetchLatency.value/1000+solveTolerance {
			x = x[:i]
			break
		}
		x = y
	}
	k.splitServers, k.splitShares = v[:len(x)], x
	for j, s := range k.splitServers {
		s.modelLoad += x[j]
		s.othersHotLoad += x[j] / b.loadScale * (1 - b.trafficShare)
		x[j] /= total
	}
}

// buildModel sets channels and background of all servers and the scale to the utilisation that is solved for.
func (b *Balancer) buildModel() {
	mu, mean, mine, total, room := 1000/max(1, b.latencies.mean), b.updateMedians(), 0.0, 0.0, 0.0
	for _, s := range b.serverList {
		channels := b.capacityOf(s) * s.acceptShare * s.acceptShare * b.warmFraction(s) / mu
		s.serviceRate, s.channels = mu, int(min(maxChannels, max(1, channels)))
		own := b.perSecond(&s.sentWork, sendRateTau)
		fresh := math.Exp((s.reportedAt - b.now) / keyRateTau) // an old report tells the mean, hot keys come on top
		s.modelLoad, s.othersHotLoad = fresh*max(0, s.reportedRate-own-s.othersHotLoad)+(1-fresh)*mean, 0
		if mine += own; b.usable(s, nil) {
			total, room = total+own+s.modelLoad, room+float64(s.channels)*mu
		}
	}
	if b.trafficShare = 1 / float64(b.cfg.Routers); mean > 0 {
		b.trafficShare = max(mine/max(total, mine, 1e-3), minTrafficShare*b.trafficShare)
	}
	b.loadScale = targetUtilisation * room / max(total, 1e-3)
	for _, s := range b.serverList {
		s.modelLoad *= b.loadScale
	}
}

// solve splits hot keys singly, hottest first by λ_i/μ_i. The tail stays at its homes: split by shares in
// groups, keys moved with every solve, and the misses jammed the origin.
func (b *Balancer) solve() {
	b.solvedAt, b.solveNeeded = b.now, false
	b.buildModel()
	mem := b.keyMemory()
	for _, k := range b.hottestKeys() {
		c, lam := b.candidates(k), b.perSecond(&k.rate, mem)*k.meanWork*b.loadScale
		switch {
		case len(c) == 0:
		case k.rate.value >= minHotArrivals:
			b.splitFlow(k, c, lam/b.trafficShare*(1-1/k.rate.value)) // the arrival that brought it up is no fair sample
		default:
			c[0].modelLoad += lam
		}
	}
}

// pickServer draws a server by the solved probabilities; a cold key's is its first candidate.
func (b *Balancer) pickServer(r *request) *server {
	if b.now >= r.deadline-1 || r.class.Late == 0 && b.now >= r.aimAt {
		return nil // nothing left to earn
	}
	var drawn, any *server
	list := b.hashListOf(r.key)
	if i := slices.IndexFunc(list, func(s *server) bool { return b.usable(s, nil) }); i >= 0 {
		drawn = list[i]
	}
	if drawn != nil && !r.canUse(drawn) {
		drawn = nil
	}
	home := drawn
	if len(list) > 0 {
		home = list[0]
	}
	due := home != drawn && r.canUse(home) && home.ejected && b.now >= home.trialOverdue
	if due && len(r.attempts) == 0 && b.usable(home, r) {
		return home // its trial: where no queue makes a request look further, it would stay out for good
	}
	for j, u := 0, b.rng.Float64(); j < len(r.key.splitServers) && u >= 0; j++ {
		if u -= r.key.splitShares[j]; r.canUse(r.key.splitServers[j]) {
			drawn = r.key.splitServers[j]
		}
	}
	// The wait that is borne falls with the worth: the least worth is shed first, and early rather than late.
	bear := (b.waitShare + worthWaitShare*b.relativeWorth(r)) * (r.aimAt - b.now)
	list = append([]*server{r.missedOn, drawn}, list...)
	if r.Owners != nil { // it may have been sent on to others than the key's
		list = append(list, b.listedServers(r.Owners)...)
	}
	for sick := 0; sick < 2 && any == nil; sick++ {
		for _, s := range list {
			if s == nil || !r.canUse(s) || s != r.missedOn && r.triedOn(s) || !b.mayAttempt(r, s) ||
				!b.usable(s, r) && (sick == 0 || s.State != Ready || !b.budgetAllows(s, r.work, b.relativeWorth(r))) {
				continue
			}
			wait := b.expectedWait(s)
			if s != drawn && s != r.missedOn && s != r.key.storedOn {
				wait += b.fetchLatency.value // it takes a fetch there; spreading keys would jam a slow origin for good
			}
			if any = s; wait <= bear-latencyFloorShare*s.latency.floor*math.Exp((s.latency.updated-b.now)/staleAfter)*r.work {
				return s
			}
		}
	}
	if b.mayRefuse(r) || r.inFlight > 0 {
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
	if r.Standing == QuotaDenied { // what is not served is no traffic either: it changes nobody's part
		b.host.Refuse(r.ID, r.Again)
		b.closeRequest(r)
		return
	}
	b.arrivals.add(b.now, keyRateTau, 1)
	b.retryBudget, b.probeBudget = min(b.retryBudgetCap(), b.retryBudget+b.retryBudgetGain()), min(maxSavedProbes, b.probeBudget+probesPerRequest)
	// A few arrivals over the quota's part are chance: two deviations of a count are not.
	q := b.quotas[r.Tenant] * b.trafficShare * keyRateTau / 1000
	if u := b.tenantUse[r.Tenant]; u != nil && u.add(b.now, keyRateTau, 1) > q+quotaDeviations*math.Sqrt(q) {
		r.worth *= b.cfg.OverWorth
	}
	r.worth *= [...]float64{QuotaGuaranteed: 1, QuotaLeased: leasedWorthFactor, QuotaExceeded: b.cfg.OverWorth}[r.Standing]
	if b.tierKnown && b.shouldShed(r) {
		b.host.Refuse(r.ID, b.retryAfter(r))
		b.closeRequest(r)
		return
	}
	k := r.key
	k.meanWork += keyWorkWeight * (r.work - k.meanWork)
	k.rate.add(b.now, b.keyMemory(), 1)
	// Where servers fetch by themselves, writes and keys not seen for a while go to the origin too. A write
	// whose servers are named is theirs.
	if b.cfg.Alone || r.Write && r.Owners != nil {
		b.sendOrEnd(r)
	} else if r.Write || k.fetch != nil || !b.cfg.Aside && b.now > k.storedAt+staleAfter {
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
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, mayHaveRun: true})
	r.inFlight++
	s.inFlight, s.lastSent, s.connOpen = s.inFlight+1, b.now, true
	if s != b.origin {
		b.demand.Sent += r.work
		s.sendBudget.value -= (1 + r.work) / 2 // hints are rough: light ones turn out heavier
		s.sentWork.add(b.now, sendRateTau, r.work)
		// Hints are rough, pauses are not.
		e := max(s.latency.floor, b.latencies.mean/2, minExpectedTime)*max(0.5, r.work) + b.expectedWait(s)
		left := r.aimAt - b.now - retryTimeFactor*e // for this one, so that there is time for another
		patience := max(minPatienceFactor*e, min(maxPatienceFactor*e, left))
		// An unknown server, and one on trial, answers over a new connection, perhaps from another zone:
		// ended early, healthy ones stayed out for good. Harm: a dead one costs these most of their time.
		if s.ejected || s.latency.value == 0 {
			patience = max(patience, unknownServerAimShare*(r.aimAt-b.now))
		}
		if b.now+patience < r.deadline {
			b.host.Timer(patience, uint64(r.ID)<<8|uint64(len(r.attempts)))
		}
	}
	if s == b.origin { // a fetch whose answer is lost holds all that wait for the key
		b.host.Timer(fetchPatienceFactor*max(b.fetchLatency.value, minExpectedTime), uint64(r.ID)<<8|uint64(len(r.attempts)))
	}
	b.host.Send(r.ID, s.ID, 0)
}

// mayAttempt alone says whether a further attempt may run on s, mayRefuse whether a refusal is true. An attempt
// may have run from its send on, until its outcome proves the contrary.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if !a.mayHaveRun || r.class.Effect == Repeatable {
			continue
		}
		same := a.server.dedupGroup(r.class.Scope) == s.dedupGroup(r.class.Scope) && a.server != b.origin && s != b.origin
		if r.class.Effect == Once || !same || b.now >= a.sentAt+r.class.Window-1 {
			return false
		}
	}
	return len(r.attempts) < b.cfg.MaxAttempts && (r.inFlight == 0 || b.cfg.Copies)
}

func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Repeatable || r.class.Effect == Keyed && r.class.Scope == "all" ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// endRequest gives the final answer, unless an attempt is still out that may give a better one.
func (b *Balancer) endRequest(r *request) {
	if r.finished || r.inFlight > 0 && b.now < r.deadline-1 {
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
	if r.mayFetch && !r.finished {
		b.mayFetchCount--
	}
	r.finished = true
	for i, a := range r.attempts {
		if !a.done && b.cfg.Cancel {
			b.host.Cancel(r.ID, i)
		}
	}
	if r.key.fetch == r {
		r.key.fetch = nil
	}
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) handleOutcome(r *request, a *attempt, o Outcome) {
	asked, lost := r.mayFetch, o.Status == Failed && o.CacheResult == 2 && !b.cfg.Aside // lost: the origin's failure
	if b.setMayFetch(r, false); o.Status.concernsServer() && !lost && !(asked && o.Status == TimedOut) {
		b.observeHealth(a.server, o.Status, a.sentAt)
	}
	if timeout := o.Status == TimedOut && !asked; a.server != b.origin && (timeout || o.Status == QueueFull) {
		b.fleetLatency.update(b.now, b.fleetLatency.floor+r.class.Aim, fleetLatencyWeight)
		if took := o.Latency / r.work; timeout && took > a.server.latency.value { // a jam, though some are answered
			a.server.latency.update(b.now, took, min(maxLatencyWeight, latencyWeight*r.work))
		}
	}
	if a.wasOvertaken && (o.Status == OK || o.Status == Miss) {
		b.lostShare -= lostAnswerWeight * b.lostShare
	}
	if a.server == b.origin || asked && o.CacheResult != 1 { // 1: it was there after all
		b.adjustFetchLimit(r, o.Status, o.Latency)
	}
	if o.CacheResult == noteAbsent {
		r.key.storedAt, r.key.absentAt = 0, b.now
	}
	if lost {
		r.key.storedAt = 0 // the next request of the key takes a place too
	}
	if a.server != b.origin && o.Status == OK {
		if o.CacheResult != 2 { // what waited for a fetch says nothing of the server
			if b.waitShare = min(maxBaseWaitShare, b.waitShare+waitShareGain); b.now > r.aimAt {
				b.waitShare, b.lastLate = max(0, b.waitShare-waitShareCut), b.now
			}
			b.latencies.update(o.Latency)
			// By its work: a light one takes several times as long for each unit, which looked like a queue.
			b.fleetLatency.update(b.now, o.Latency/r.work, min(maxLatencyWeight, fleetLatencyWeight*r.work))
			if a.server.latency.value == 0 { // a light request tells little: the fleet's mean stands in for the rest
				a.server.latency.update(b.now, b.latencies.mean+min(1, r.work)*(o.Latency/r.work-b.latencies.mean), 1)
			}
			a.server.latency.update(b.now, o.Latency/r.work, min(maxLatencyWeight, latencyWeight*r.work))
		}
		r.key.storedAt, r.key.storedOn, b.keyStored = b.now, a.server, true
	}
	// A read whose answer was spoilt, or whose connection ended at a server not thought sick, is asked for
	// again where it is kept: it takes no fetch. A dead server costs a second attempt, which spare bounds.
	cut := o.Status == Reset || o.Status == ConnectError
	again := a.server == b.origin && (cut || o.Status == Canceled)
	if o.Owners != nil {
		r.Owners = o.Owners
	}
	spoilt := (o.Status == InvalidAnswer || cut && a.server != b.origin && a.server.suspicion < ejectionSuspicion/2) && !r.Write
	if spoilt && a.server != b.origin {
		r.missedOn = a.server
	} else if (spoilt || again) && r.key.fetch == r {
		r.key.fetch = nil
	}
	switch {
	case r.finished || o.Final:
		b.closeRequest(r)
	case again && b.retryBudget >= 1 && b.mayAttempt(r, a.server): // it takes a place again
		b.retryBudget--
		b.hold(r)
	case b.now >= r.deadline-1 || a.server == b.origin && !spoilt || lost:
		b.endRequest(r)
	case o.Status == Miss && b.cfg.Aside:
		r.missedOn = a.server
		b.hold(r)
	case o.Owners != nil && r.inFlight == 0: // sent on: no retry, and the bound on attempts ends loops
		b.sendOrEnd(r)
	case r.inFlight == 0 && b.tierKnown && cut && a.server.ejected: // it died: what all had there has to go elsewhere
		b.sendOrEnd(r)
	case r.inFlight > 0 || b.retryBudget < 1: // retries must not become a storm
		b.endRequest(r)
	default:
		b.retryBudget--
		b.sendOrEnd(r)
	}
	b.dispatchHeld()
}

// handleStall acts on an attempt past its patience; a server that has answered others since is not suspected.
func (b *Balancer) handleStall(r *request, i int) {
	if i >= len(r.attempts) || r.attempts[i].done || b.now >= r.aimAt && r.attempts[i].server != b.origin {
		return
	}
	a := &r.attempts[i]
	if a.server.lastReply >= a.sentAt || a.server == b.origin {
		// Later ones were answered: it is lost, or heavy, and waited for half as long again unless most such
		// were lost. Harm: a heavy one may be done twice, and a few must tell before losses are known.
		may := !b.cfg.Copies && b.cfg.Cancel && r.class.Effect == Repeatable && b.retryBudget >= 1
		if may && a.server.answeredSentAt > a.sentAt && b.recordOvertaken(a) {
			if a.server != b.origin {
				r.missedOn = a.server
			}
			b.host.Cancel(r.ID, i)
			return
		}
		b.host.Timer(overtakenWaitFactor*(b.now-a.sentAt), uint64(r.ID)<<8|uint64(i+1))
		return
	}
	if !r.mayFetch {
		r.key.rate.add(b.now, b.keyMemory(), b.sendSparsity())                             // the key that meets a jam most likely makes it
		b.fleetLatency.update(b.now, b.fleetLatency.floor+r.class.Aim, fleetLatencyWeight) // known a second before the time-out
		a.server.consecutiveFailures++
		b.eject(a.server, true)
		b.recordNoResponse(a.server, a.sentAt)
	}
	if b.retryBudget < 1 || r.inFlight > 1 {
		return
	}
	if s := b.pickServer(r); b.cfg.Copies && s != nil {
		b.retryBudget--
		b.sendAttempt(r, s)
	} else if !b.cfg.Copies && b.cfg.Cancel && r.class.Effect == Repeatable {
		b.host.Cancel(r.ID, i)
	}
}

func (b *Balancer) housekeep() {
	b.host.Timer(housekeepInterval, tickToken)
	b.totalCapacity = b.usableCapacity()
	if b.tierKnown && b.now > b.lastLate+waitShareRecoveryDelay { // by answers alone one of many came back many times later
		b.waitShare = min(maxBaseWaitShare, b.waitShare+waitShareRecovery)
	}
	if since := b.now - b.solvedAt; since >= solveInterval || b.solveNeeded && since >= minSolveInterval {
		b.solve()
	}
	if b.now >= b.watchAt {
		b.watchAt = b.now + listCallTimeout
		b.host.WatchList()
	}
	// Probes are paid for by own requests: a bound on the age of reports cost many probes a request at size.
	for i, turn := 0, b.nextProbe; i < len(b.serverList); i++ {
		s := b.serverList[(turn+i)%len(b.serverList)]
		if s.connOpen && s.inFlight == 0 && b.connKeep < b.cfg.ConnIdle && b.now > s.lastSent+b.connKeep {
			s.connOpen = false
			b.host.Close(s.ID)
		}
		if b.cfg.ByProbe && b.cfg.Probes && b.probeBudget >= 1 && b.now-s.probedAt >= probeInterval {
			b.probeBudget, b.nextProbe, s.probedAt = b.probeBudget-1, turn+i+1, b.now
			b.host.Probe(s.ID)
		}
	}
}

// fetchLimitShares are the parts of the bound on fetches at which requests of a standing go on: what is asked over
// a floor would keep the origin as full as it may be, and those within would wait behind it.
var fetchLimitShares = [...]float64{QuotaGuaranteed: 1, QuotaLeased: 0.5, QuotaExceeded: 0.25}

// fetchLimitReached says whether as many fetches are out as may be where a request goes on.
func (b *Balancer) fetchLimitReached(r *request) bool {
	return b.fetchesInFlight() >= max(1, b.fetchLimit*fetchLimitShares[r.Standing])
}

// hold makes a request wait for a place at the origin or for a fetch of its key while it can be in time.
func (b *Balancer) hold(r *request) {
	by := r.deadline - minExpectedTime
	if r.class.Late == 0 {
		by = min(by, r.aimAt-b.fetchLatency.value/2)
	}
	r.waitingSince, b.waiting = b.now, append(b.waiting, r)
	b.host.Timer(max(1, by-b.now), uint64(r.ID)<<8)
}

// dispatchHeld lets held requests go on, those worth most first: to where their key is stored, or to the origin.
func (b *Balancer) dispatchHeld() {
	// Without a place, and no key stored since, nobody goes on where servers fetch by themselves: in overload
	// thousands wait, and looking at each for every event of others made the overload last.
	if !b.cfg.Aside && !b.keyStored && b.fetchesInFlight() >= max(1, b.fetchLimit) {
		return
	}
	b.keyStored = false
	slices.SortStableFunc(b.waiting, func(p, q *request) int { return cmp.Compare(q.worth, p.worth) })
	b.waiting = slices.DeleteFunc(b.waiting, func(r *request) bool {
		k, o := r.key, b.origin
		switch {
		case r.finished:
		case !r.Write && k.storedAt > r.waitingSince:
			r.missedOn, r.waitingSince = k.storedOn, 0
			b.sendOrEnd(r)
		case b.cfg.Aside && (o == nil || o.State != Ready || !b.mayAttempt(r, o) || b.now+b.fetchLatency.floor > r.deadline):
			b.endRequest(r)
		case !r.Write && k.fetch != nil && !b.recentlyAbsent(k) || b.fetchLimitReached(r):
			return false
		case b.fetchLimit < 1 && b.fetchesSent.add(b.now, keyRateTau, 0) >= b.fetchLimit*keyRateTau/max(b.fetchLatency.value, minFetchLatency):
			return false // a whole fetch at each of hundreds of routers jammed the origin
		default:
			if r.waitingSince = 0; !r.Write {
				k.fetch = r
			}
			if b.setMayFetch(r, !b.cfg.Aside); r.mayFetch {
				b.sendOrEnd(r)
			} else {
				b.sendAttempt(r, o)
			}
			if r.inFlight > 0 {
				b.fetchesSent.add(b.now, keyRateTau, 1)
			}
		}
		return true
	})
}

// adjustFetchLimit moves the bound on fetches: up while answers stay quick, down when they slow or fail.
func (b *Balancer) adjustFetchLimit(r *request, st Status, lat float64) {
	if st == InvalidAnswer { // it did its work, and its answer was stored
		st = OK
	}
	if r.key.fetch == r && st == OK {
		r.key.storedAt, r.key.storedOn, b.keyStored = b.now, r.missedOn, true
	}
	late := st == TimedOut && lat > 2*b.fetchLatency.floor // else it was sent too late: no sign of a slow origin
	if st == OK || late {
		b.fetchLatency.update(b.now, lat, b.fetchLatencyWeight())
	}
	// Harm of the bound by the aim: where it is short for the origin, few are out at once. A floor risen in
	// overload excuses no useless answer.
	slow := min(maxSlowFactor*b.fetchLatency.floor, max(minSlowFactor*b.fetchLatency.floor, minSlowAimShare*r.class.Aim), maxSlowAimShare*r.class.Aim)
	if (st == OK || late) && b.fetchLatency.value < slow {
		more := min(1/max(1, b.fetchLimit), max(fetchLimitGrowth*b.fetchLimit, tierFetchLimitGrowth/b.shares))
		if b.tierKnown { // a good answer anywhere adds to all bounds together what it adds to that of one router
			more = min(more, 1/max(1, b.fetchLimit*b.shares))
		}
		b.fetchLimit = min(maxFetchLimit, b.fetchLimit+more)
	} else if st.concernsServer() && (st != TimedOut || late) && b.now-b.limitCutAt > fetchCutInterval {
		cut, least := slowCutFactor, min(2, tierMinFetchLimit/b.shares)
		if st == Failed { // it needs room
			cut, least = failedCutFactor, least/failedMinDivisor
		}
		if b.limitCutAt = b.now; b.fetchLatency.value >= slow { // a queue: the bound may be far above those out
			b.fetchLimit = min(b.fetchLimit, max(least, b.fetchesInFlight()+1))
		}
		b.fetchLimit = max(min(least, b.fetchLimit), cut*b.fetchLimit)
	}
}

// sendLimit is what all routers together may send a server, in work a second; 0 = as much as they like.
func (b *Balancer) sendLimit(s *server) float64 {
	switch {
	case b.isCold(s):
		// Reports amid cheap misses overstate what a server can do; with a stopped origin all of them.
		sure := max(defaultColdCapacity, leastReportFactor*b.medianFloor*s.sizeUnit(b.sizesKnown))
		return coldBudgetShare * b.cfg.FallMult * min(b.typicalCapacity(s, defaultColdCapacity), sure) * b.warmFraction(s)
	case s.capacity.value > 0 && s.lastLoad.Util >= inflatedReportUtilisation: // at little load the least is chance
		return warmCapacityShare * min(s.capacity.value, inflatedReportFactor*s.capacity.floor)
	}
	return warmCapacityShare * s.capacity.value
}

func (b *Balancer) isCold(s *server) bool { return b.now < s.coldSince+coldPhaseFactor*b.cfg.Cold }

// retryBudgetGain is what a request pays for further attempts. Where routers tell each other who there is, those
// of all add up to a tenth of the first: two dozen that had each saved up twenty made a second wave of it.
func (b *Balancer) retryBudgetGain() float64 {
	if b.tierKnown {
		return tierRetriesPerRequest
	}
	return retriesPerRequest
}

// retryBudgetCap is what may be saved up of that: in a fleet one, or half a second's worth.
func (b *Balancer) retryBudgetCap() float64 {
	if b.tierKnown {
		return min(maxSavedRetries, max(1, tierRetriesPerRequest/2*b.perSecond(&b.arrivals, keyRateTau)))
	}
	return maxSavedRetries
}

// fetchLatencyWeight is the weight of a fetch in the fetches' latency: a router of many sees few.
func (b *Balancer) fetchLatencyWeight() float64 {
	if !b.tierKnown {
		return fleetLatencyWeight
	}
	return min(0.5, fleetLatencyWeight*max(1, b.shares/4))
}

// budgetAllows says whether this router's part of what a server can take has room: of a cold one's send budget and,
// where routers tell each other who there is, of what a warm one can do. Two dozen that each saw the others'
// queues late kept all queues full, whatever each refused. The least worth is refused first. Harm: a part not
// used here may be wanted elsewhere.
func (b *Balancer) budgetAllows(s *server, work, rank float64) bool {
	fill, window, least, kept := b.sendLimit(s)/1000, b.cfg.FallFor/coldBurstDivisor, 1.0, 0.0
	switch {
	case b.isCold(s):
		fill /= b.shares
	case !b.tierKnown || s.capacity.value == 0:
		return true
	default:
		fill /= b.warmServerShares()
		// Each that comes gives up what was saved beyond its bound: less worth needs a time without better.
		window, least, kept = warmBurstWindow, 2-rank, warmReserveShare*(1-rank)
		s.sendBudget.value = max(-1000*fill, s.sendBudget.value) // what was sent before there were parts is not owed
	}
	most := max(least, fill*window)
	s.sendBudget.value = min(most, s.sendBudget.value+fill*(b.now-s.sendBudget.updated))
	s.sendBudget.updated = b.now
	return s.sendBudget.value >= min((1+work)/2+kept*most, most)
}

// warmServerShares is how many parts warm servers are divided by: who has none yet takes half of an equal one.
func (b *Balancer) warmServerShares() float64 {
	return min(b.shares, noShareFactor*float64(b.cfg.Routers))
}

// shouldShed says whether a request is to be refused, as the fleet can't serve all. Where each router shed by its
// own luck, who was refused by one asked the next, and all saw four times the requests: this is the same at
// all. What this router's part of all servers has left is for those under the line, the best of them first: a
// wrong line, or a liar's, costs no more than their order. Harm: they wait for a part of a second first.
func (b *Balancer) shouldShed(r *request) bool {
	l, fill := b.admission, b.totalCapacity/b.warmServerShares()/1000
	most := max(minIdleBudget, fill*idleBudgetWindow)
	b.idleBudget.value = min(most, b.idleBudget.value+fill*(b.now-b.idleBudget.updated))
	b.idleBudget.updated = b.now
	band := BandOf(r.worth / max(b.maxWorth, 1e-9))
	over := b.now > l.Until || band < l.Band || band == l.Band && b.bandPosition(r) < l.Share
	if over = over || b.idleBudget.value >= most*(1-idleReserveShare*b.relativeWorth(r)); over {
		b.idleBudget.value = max(-most, b.idleBudget.value-r.work)
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
	return min(max(1, (1-b.bandPosition(r))*b.admission.RotationPeriod), most*(0.5+b.rng.Float64()/2))
}

// relativeWorth is a request's worth beside the highest, 0 to 1, by its root: classes lie far apart.
func (b *Balancer) relativeWorth(r *request) float64 {
	return math.Sqrt(r.worth / max(b.maxWorth, 1e-9))
}
