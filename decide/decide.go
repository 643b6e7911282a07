package decide // Interface: api.go (settings, events, actions). Records: state.go. Every decision is here.

import (
	"cmp"
	"math"
	"slices"
)

// Hash table, solver, housekeeping and probes.
const (
	tableBits           = 13   // log2 of the buckets of the memento-hash table: claims seldom collide
	bucketsPerServer    = 64   // buckets that a server claims; with weights, for a weight of 1
	maxBucketsPerServer = 1024 // buckets that a server claims at most, whatever its weight
	maxCandidates       = 6    // candidate servers of a key

	minHotArrivals      = 1.5   // decayed arrivals from which a key is solved on its own
	maxHotKeys          = 32    // keys solved on their own: they hold most of what one server cannot serve
	solveTolerance      = 1e-3  // relative change of F below which the sweeps end
	maxSolveSweeps      = 40    // sweeps for one key, to bound its work
	newtonStep          = 0.5   // step size of equation (10)
	targetUtilisation   = 0.9   // utilisation to which the rates are scaled for solving, as in the paper
	maxChannels         = 256   // channels of a modelled server: the cost of a delay grows with them
	defaultChannelsTime = 4000  // capacity times mean latency in ms, if capacity is unknown: four channels
	minTrafficShare     = 0.5   // least own traffic, as a part of an equal share, whatever reports say
	housekeepInterval   = 100   // ms between two rounds of housekeeping
	solveInterval       = 1000  // ms between two regular solves
	minSolveInterval    = 250   // ms between two solves when one is requested: list updates come in bursts
	probeInterval       = 700   // ms between two probes of a server: reports are valid for about a second
	probesPerRequest    = 0.15  // probe budget that a request adds
	maxSavedProbes      = 4     // upper bound of the probe budget
	staleAfter          = 10000 // ms after which a stored key or a latency floor says little
)

// Time constants of exponential decay, in ms.
const (
	keyRateTau       = 5000 // arrival rates of keys and tenants
	sendRateTau      = 2000 // rate of own sends to a server
	serverLatencyTau = 1000 // a server's latency as a sign of a queue: it fades, or a refusal would never end
	fleetLatencyTau  = 2000 // the latency of the whole fleet as a sign of queues
)

// Health.
const (
	minEjectionPause       = 500  // ms, the first pause of an ejected server
	maxPauseFactor         = 8    // upper bound of the doubling pause, in multiples of the first one
	maxConsecutiveFailures = 3    // consecutive failures by lack of response that eject a server
	zoneEjectionServers    = 3    // unresponsive servers that eject their zone if nothing in it replies
	ejectionSuspicion      = 7.5  // suspicion that ejects: two in a row, six if one in eight is usual
	failureAcceptFactor    = 0.88 // factor on a server's acceptance at a failure: a mean over eight outcomes
	spoiltAcceptFactor     = 1.07 // factor for a spoilt answer on top: any server's answers may be spoilt
	successAcceptGain      = 0.12 // share of the missing acceptance that a success restores, at the same rate
	successPauseFactor     = 0.8  // factor on the pause at a success: five undo a doubling or so
	acceptAfterTrial       = 0.75 // acceptance after a successful trial: about half of the channels
	unresponsiveTrialDelay = 8000 // ms that the trial of an unresponsive server may wait: it delays a request
	minIdleKeep            = 200  // ms for which idle connections are kept at least
	idleKeepGrowth         = 1.01 // growth of the idle time at a success; a refused connection halves it
	lostAnswerWeight       = 0.2  // weight of an attempt in the share of lost answers: a mean over five
	overtakenWaitFactor    = 0.5  // extra wait for an overtaken attempt, as a multiple of its age
)

// Attempts.
const (
	retriesPerRequest     = 0.2  // retry budget that a request adds, to prevent retry storms
	tierRetriesPerRequest = 0.1  // retry budget that a request adds if the routers of the tier coordinate
	maxSavedRetries       = 20   // upper bound of the retry budget
	minPatienceFactor     = 1.2  // multiple of the expected time that an attempt gets at least
	maxPatienceFactor     = 3    // multiple of the expected time that an attempt gets at most
	retryTimeFactor       = 1.5  // multiple of the expected time that is reserved for a retry
	unknownServerAimShare = 0.75 // share of the aim that an attempt at an unknown server or a trial gets
	fetchPatienceFactor   = 2    // multiple of the fetch latency after which a fetch counts as stalled
	minExpectedTime       = 5    // ms, least expected answer time; also reserved after a wait for a fetch
	quotaDeviations       = 2    // standard deviations of a count that a tenant may exceed its share by
	leasedWorthFactor     = 0.8  // factor on the worth of a request that uses leased quota
	keyWorkWeight         = 0.2  // weight of a request in its key's mean work: a mean over five
	latencyWeight         = 0.2  // weight of a unit of work in a server's latency
	maxLatencyWeight      = 0.5  // weight of a heavy request in a latency, at most
	fleetLatencyWeight    = 0.1  // weight of an outcome in the fleet's latency and of a fetch in the origin's
)

// The expected wait that a request accepts at a server, as a share of its aim: a base share, and more for
// higher worth. The base share adapts: a fixed one made idle servers refuse and overloaded ones answer late.
const (
	worthWaitShare         = 0.55   // share that the highest worth accepts on top of the base share
	maxBaseWaitShare       = 0.25   // upper bound of the base share
	waitShareGain          = 0.0005 // rise of the base share with each answer
	waitShareCut           = 0.01   // fall of the base share with each late answer; one in twenty is level
	waitShareRecoveryDelay = 1000   // ms without a late answer after which the base share recovers with time
	waitShareRecovery      = 0.01   // rise of the base share per housekeeping round if the routers coordinate
	latencyFloorShare      = 0.7    // share of a server's latency floor that is reserved for the work itself
)

// Fetches from the origin and the capacity of cache servers.
const (
	maxFetchLimit             = 64   // upper bound of the limit on a router's fetches in flight
	fetchLimitGrowth          = 0.25 // share of the limit that a good answer adds at most
	tierFetchLimitGrowth      = 4    // growth of all limits together at a good answer: a tier grows as one
	tierMinFetchLimit         = 8    // lower bound of all routers' limits together; at most two per router
	fetchCutInterval          = 500  // ms between two cuts: answers to earlier fetches add no information
	slowCutFactor             = 0.8  // factor on the limit when answers are slow
	failedCutFactor           = 0.4  // factor on the limit when fetches fail
	failedMinDivisor          = 40   // divisor of the limit's lower bound when answers fail
	minSlowFactor             = 1.3  // multiple of the latency floor up to which there is no queue yet
	maxSlowFactor             = 2.5  // multiple of the latency floor that counts as a queue whatever the aim
	minSlowAimShare           = 0.5  // share of the aim beyond which a fetch is too late: a lookup came first
	maxSlowAimShare           = 0.8  // share of the aim that counts as a queue whatever the floor
	minFetchLatency           = 100  // ms, least fetch latency assumed for pacing if the limit is below one
	coldBudgetShare           = 0.4  // share used of a cold server's overload: hints and reports are rough
	coldPhaseFactor           = 1.5  // multiple of the cold phase, as the notice of a start may be late
	coldBurstDivisor          = 6    // divisor of Config.FallFor: a burst may fill a sixth of that window
	leastReportFactor         = 1.6  // multiple of recent least reports that bounds a cold server's capacity
	defaultColdCapacity       = 10   // requests a second of a cold server of unknown capacity
	warmCapacityShare         = 0.95 // share of a warm server's capacity that is given out in shares
	warmBurstWindow           = 250  // ms of its share that a router may save up at a warm server
	warmReserveShare          = 0.5  // share of the saved budget that has to remain for the lowest worth
	inflatedReportUtilisation = 0.95 // utilisation from which rejected arrivals inflate the reported capacity
	inflatedReportFactor      = 1.1  // bound of an inflated capacity, as a multiple of the least reported
	noShareFactor             = 2    // times Routers: divisor of warm servers for a router without a share
	idleBudgetWindow          = 250  // ms of unused capacity that is saved for requests under the threshold
	minIdleBudget             = 2    // requests, lower bound of the size of the idle budget
	idleReserveShare          = 0.5  // share of the idle budget that may be missing for the highest worth
	maxRetryAfter             = 5e3  // ms, upper bound of the wait that a refused client is told
	noteAbsent                = 4    // Outcome.CacheResult: the origin has no value for the key
	absentMemory              = 1000 // ms in which readers of an absent key don't wait for another's fetch
)

// Servers applies an update of the server list, or a refused list call.
func (b *Balancer) Servers(now float64, kind ListKind, entries []Entry) {
	b.advance(now)
	if kind == ListFailed {
		b.scheduleListCall()
		return
	}
	if b.listCalls.received(); b.cfg.AskList && kind == Restored {
		b.scheduleFirstCall()
	}
	for _, s := range b.applyList(kind, entries) {
		if s.Started > now-b.cfg.Cold { // a new process starts with a clean record
			s.coldSince, s.ejected, s.consecutiveFailures, s.acceptShare = s.Started, false, 0, 1
			s.sendBudget = decayingSum{b.firstColdBudget(), now}
			s.suspicion, s.failShare, s.connRefused, s.zoneLost = 0, b.usualFailures, false, false
		}
	}
	b.buildTable()
	b.solveNeeded = true
}

// usable reports whether a request, or the solver if r is nil, may use a server. An ejected server gets one
// trial request at a time.
func (b *Balancer) usable(s *server, r *request) bool {
	trial := s.ejected && r != nil && b.now >= s.trialAt && s.inFlight == 0 && r.class.Effect == Repeatable
	allowed := s.listed && s.State == Ready && (trial || !s.ejected)
	return allowed && (r == nil || b.budgetAllows(s, r.work, b.relativeWorth(r)))
}

// observeHealth updates the server's health from the outcome of an attempt that was sent at the given time.
func (b *Balancer) observeHealth(s *server, st Status, sent float64) {
	ok := st == OK || st == Miss
	switch {
	case ok || st == Failed || st == QueueFull || st == InvalidAnswer:
		s.lastReply, s.consecutiveFailures, s.answeredSentAt = b.now, 0, max(s.answeredSentAt, sent)
		b.recordResponse(s)
	case st == ConnectError: // dead, or its connection table is full: the next answer tells which
		s.connRefused = true
		b.recordNoResponse(s, sent)
	case st == Reset:
	case s.lastReply < sent:
		s.consecutiveFailures++
		b.recordNoResponse(s, sent)
	default:
		return // it answers others: this one was queued or waited for a fetch; moving keys would add fetches
	}
	// Failures count relative to the fleet's usual rate: causes that end connections, spoil answers or
	// overload servers everywhere are not a fault of this one. Drawback: if most of a fleet fails at once,
	// that is detected later.
	if !ok {
		b.usualFailures = medianFailShare(b.serverList)
	}
	if st != TimedOut {
		s.updateSuspicion(!ok, b.usualFailures)
	}
	if !ok {
		// A server that fails fast must not look cheap.
		if s.acceptShare *= failureAcceptFactor; st == InvalidAnswer {
			s.acceptShare *= spoiltAcceptFactor // a server that spoils most answers is still ejected
		}
		if s.ejected || s.suspicion >= ejectionSuspicion || s.consecutiveFailures >= maxConsecutiveFailures {
			b.eject(s, st == TimedOut)
		}
		return
	}
	if b.connKeep = min(b.cfg.ConnIdle, idleKeepGrowth*b.connKeep); s.connRefused {
		// The server answers, so its connection table was full: all routers keep idle connections for a
		// shorter time. Servers stopped by a release whose removal was announced late or never also refuse
		// connections but don't answer later. Counting those made a tier of eighty routers open a
		// connection for every second request for the rest of a day.
		s.connRefused, b.connKeep = false, max(minIdleKeep, b.connKeep/2)
	}
	s.acceptShare, s.trialPause = s.acceptShare+successAcceptGain*(1-s.acceptShare),
		successPauseFactor*s.trialPause
	if s.ejected { // the trial succeeded: half of its channels, and half of the suspicion that ejects
		s.ejected, s.acceptShare, s.suspicion, b.solveNeeded =
			false, acceptAfterTrial, ejectionSuspicion/2, true
	}
}

// eject takes a server out of use, or extends the pause after a failed trial. If half of the fleet is
// unresponsive, the cause is this router or the origin, and the server stays.
func (b *Balancer) eject(s *server, unresponsive bool) {
	if unresponsive && !s.ejected &&
		(s.consecutiveFailures < maxConsecutiveFailures ||
			2*countEjected(b.serverList)+2 > len(b.serverList)) {
		return
	}
	if s.ejected && b.now < s.trialAt { // sent before the ejection, so it is not a failed trial
		return
	}
	s.trialPause = min(maxPauseFactor*minEjectionPause, max(minEjectionPause, 2*s.trialPause))
	s.trialAt = b.now + s.trialPause*(0.75+0.5*b.rng.Float64()) // spread: routers must not try all at once
	if s.trialOverdue = s.trialAt; unresponsive {
		s.trialOverdue += unresponsiveTrialDelay
	}
	s.ejected, b.solveNeeded = true, b.solveNeeded || !s.ejected
}

// recordNoResponse records that an attempt at a server got no response. If several servers of a zone don't
// respond, none in it does and other zones do, all servers of the zone are ejected together. Where a router
// uses each server only every few seconds, detecting the loss of half a fleet of sixty server by server
// took each router three requests to each of them, and four seconds.
func (b *Balancer) recordNoResponse(s *server, sent float64) {
	z := b.zoneOf(s)
	if z.lastReply >= sent || slices.Contains(z.unresponsive, s) {
		return
	}
	if z.unresponsive = append(z.unresponsive, s); len(z.unresponsive) < zoneEjectionServers ||
		!b.otherZoneReplied(z, sent) {
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

// recordResponse records a response. If the server had been ejected with its zone, trials of all servers
// that were ejected with it become due at once.
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

// expectedWait returns the time in ms that a new request is expected to wait at a server. Own attempts in
// flight are known; those of other routers follow by Little's law from their rate and the latency seen. The
// influence of that latency decays, or a single refusal would never end.
func (b *Balancer) expectedWait(s *server) float64 {
	freshness := math.Exp((s.latency.updated - b.now) / serverLatencyTau)
	others := max(0, s.reportedRate-b.perSecond(&s.sentWork, sendRateTau)) *
		s.latency.value / 1000 * freshness
	// If each server is seldom used, the latency of the whole fleet is the only estimate of its queue.
	fleetWait := (b.fleetLatency.value - b.fleetLatency.floor) *
		math.Exp((b.fleetLatency.updated-b.now)/fleetLatencyTau)
	if !s.ejected { // for an ejected one, used as a last resort, there is no better estimate
		fleetWait *= b.sendSparsity()
	}
	queued := float64(s.inFlight-s.answering) + others + 1
	return max(0, fleetWait) + max(0, queued*1000/(b.capacityOf(s)*b.warmFraction(s))-s.latency.floor)
}

// capacityOf returns a server's capacity in requests a second. Until the server reports one, an estimate
// stands in: without it, all servers would be overloaded in the first second.
func (b *Balancer) capacityOf(s *server) float64 {
	if s.capacity.value > 0 {
		return s.capacity.value
	}
	return b.typicalCapacity(s, defaultChannelsTime/max(1, b.latencies.mean))
}

// candidates returns the usable servers of a key in the order of its list.
func (b *Balancer) candidates(k *keyTraffic) []*server {
	return slices.DeleteFunc(slices.Clone(b.hashListOf(k)), func(s *server) bool { return !b.usable(s, nil) })
}

// balanceFlow distributes the rates x over the servers by the procedure of Table 1 and returns F.
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

// splitFlow assigns a flow to its first server and adds further servers while the waiting falls, in
// ascending FDL (the derivative of the number of waiting requests by the load). Shares are solved at scaled
// rates, but at the actual rates a further copy has to reduce the waiting by more than the latency of a
// fetch for each request.
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

// buildModel sets the channels and the background load of all servers, and the scale of the rates to the
// utilisation that is solved for.
func (b *Balancer) buildModel() {
	mu, mean, ownRate, total, capacity := 1000/max(1, b.latencies.mean), b.updateMedians(), 0.0, 0.0, 0.0
	for _, s := range b.serverList {
		channels := b.capacityOf(s) * s.acceptShare * s.acceptShare * b.warmFraction(s) / mu
		s.serviceRate, s.channels = mu, int(min(maxChannels, max(1, channels)))
		own := b.perSecond(&s.sentWork, sendRateTau)
		// The weight of a report decays towards the mean rate. Hot keys are added on top.
		fresh := math.Exp((s.reportedAt - b.now) / keyRateTau)
		s.modelLoad, s.othersHotLoad = fresh*max(0, s.reportedRate-own-s.othersHotLoad)+(1-fresh)*mean, 0
		if ownRate += own; b.usable(s, nil) {
			total, capacity = total+own+s.modelLoad, capacity+float64(s.channels)*mu
		}
	}
	if b.trafficShare = 1 / float64(b.cfg.Routers); mean > 0 {
		b.trafficShare = max(ownRate/max(total, ownRate, 1e-3), minTrafficShare*b.trafficShare)
	}
	b.loadScale = targetUtilisation * capacity / max(total, 1e-3)
	for _, s := range b.serverList {
		s.modelLoad *= b.loadScale
	}
}

// solve splits hot keys one by one, hottest first by λ_i/μ_i. All other keys stay at their first
// candidates: when they were split in groups by shares, keys moved with every solve, and the misses
// overloaded the origin.
func (b *Balancer) solve() {
	b.solvedAt, b.solveNeeded = b.now, false
	b.buildModel()
	mem := b.keyMemory()
	for _, k := range b.hottestKeys() {
		c, lam := b.candidates(k), b.perSecond(&k.rate, mem)*k.meanWork*b.loadScale
		switch {
		case len(c) == 0:
		case k.rate.value >= minHotArrivals:
			// The arrival that brought the rate above the limit is left out, as it would bias the rate.
			b.splitFlow(k, c, lam/b.trafficShare*(1-1/k.rate.value))
		default:
			c[0].modelLoad += lam
		}
	}
}

// pickServer returns the server for the next attempt, or nil if none is worth it. It draws by the solved
// probabilities, or takes the first candidate of a key that is not hot, and goes on to others if that one
// can't be used or the expected wait is too long.
func (b *Balancer) pickServer(r *request) *server {
	if b.now >= r.deadline-1 || r.class.Late == 0 && b.now >= r.aimAt {
		return nil // an answer would come too late to have any worth
	}
	var selected, fallback *server
	list := b.hashListOf(r.key)
	if i := slices.IndexFunc(list, func(s *server) bool { return b.usable(s, nil) }); i >= 0 {
		selected = list[i]
	}
	if selected != nil && !r.canUse(selected) {
		selected = nil
	}
	home := selected
	if len(list) > 0 {
		home = list[0]
	}
	trialDue := home != selected && r.canUse(home) && home.ejected && b.now >= home.trialOverdue
	if trialDue && len(r.attempts) == 0 && b.usable(home, r) {
		return home // its trial: without a queue at the others no request would try it otherwise
	}
	for j, u := 0, b.rng.Float64(); j < len(r.key.splitServers) && u >= 0; j++ {
		if u -= r.key.splitShares[j]; r.canUse(r.key.splitServers[j]) {
			selected = r.key.splitServers[j]
		}
	}
	// The accepted wait grows with the worth: the lowest worth is shed first, and early rather than late.
	maxWait := (b.waitShare + worthWaitShare*b.relativeWorth(r)) * (r.aimAt - b.now)
	list = append([]*server{r.missedOn, selected}, list...)
	if r.Owners != nil { // a redirect may name other servers than the key's
		list = append(list, b.listedServers(r.Owners)...)
	}
	for pass := 0; pass < 2 && fallback == nil; pass++ { // the second one includes ejected servers
		for _, s := range list {
			if s == nil || !r.canUse(s) || s != r.missedOn && r.triedOn(s) || !b.mayAttempt(r, s) ||
				!b.usable(s, r) &&
					(pass == 0 || s.State != Ready || !b.budgetAllows(s, r.work, b.relativeWorth(r))) {
				continue
			}
			wait := b.expectedWait(s)
			if s != selected && s != r.missedOn && s != r.key.storedOn {
				// It needs a fetch there; spreading keys would keep a slow origin overloaded.
				wait += b.fetchLatency.value
			}
			if fallback = s; wait <= maxWait-
				latencyFloorShare*s.latency.floor*math.Exp((s.latency.updated-b.now)/staleAfter)*r.work {
				return s
			}
		}
	}
	if b.mayRefuse(r) || r.inFlight > 0 {
		return nil
	}
	return fallback
}

// handleArrival sheds a new request, holds it for a fetch or sends it on.
func (b *Balancer) handleArrival(r *request) {
	if r.Stores { // readers that wait for the fetch wait until its value is stored
		r.key.fetch = r
		b.sendOrEnd(r)
		return
	}
	if r.Standing == QuotaDenied { // not served, so it doesn't count as traffic and changes no share
		b.host.Refuse(r.ID, r.Again)
		b.closeRequest(r)
		return
	}
	b.arrivals.add(b.now, keyRateTau, 1)
	b.retryBudget, b.probeBudget = min(b.retryBudgetCap(), b.retryBudget+b.retryBudgetGain()),
		min(maxSavedProbes, b.probeBudget+probesPerRequest)
	// A few arrivals above this router's share of the quota are chance; two standard deviations are not.
	q := b.quotas[r.Tenant] * b.trafficShare * keyRateTau / 1000
	if u := b.tenantUse[r.Tenant]; u != nil && u.add(b.now, keyRateTau, 1) > q+quotaDeviations*math.Sqrt(q) {
		r.worth *= b.cfg.OverWorth
	}
	r.worth *= [...]float64{QuotaGuaranteed: 1, QuotaLeased: leasedWorthFactor,
		QuotaExceeded: b.cfg.OverWorth}[r.Standing]
	if b.tierKnown && b.shouldShed(r) {
		b.host.Refuse(r.ID, b.retryAfter(r))
		b.closeRequest(r)
		return
	}
	k := r.key
	k.meanWork += keyWorkWeight * (r.work - k.meanWork)
	k.rate.add(b.now, b.keyMemory(), 1)
	// Where servers fetch by themselves, writes and keys that were not stored lately lead to a fetch from
	// the origin too. A write whose servers are named goes to these.
	if b.cfg.Alone || r.Write && r.Owners != nil {
		b.sendOrEnd(r)
	} else if r.Write || k.fetch != nil || !b.cfg.Aside && b.now > k.storedAt+staleAfter {
		b.hold(r)
		b.dispatchHeld()
	} else {
		b.sendOrEnd(r)
	}
}

// sendOrEnd sends a request to a server, or ends it if no attempt is worth its work.
func (b *Balancer) sendOrEnd(r *request) {
	if s := b.pickServer(r); s != nil {
		b.sendAttempt(r, s)
	} else {
		b.endRequest(r)
	}
}

// sendAttempt sends a request to a server and sets the timer after which the attempt counts as stalled.
func (b *Balancer) sendAttempt(r *request, s *server) {
	r.attempts = append(r.attempts, attempt{server: s, sentAt: b.now, mayHaveRun: true})
	r.inFlight++
	s.inFlight, s.lastSent, s.connOpen = s.inFlight+1, b.now, true
	if s != b.origin {
		b.demand.Sent += r.work
		s.sendBudget.value -= (1 + r.work) / 2 // hints are rough: light requests turn out heavier
		s.sentWork.add(b.now, sendRateTau, r.work)
		// At least half a unit of work is assumed: hints are rough, and a server's pauses don't depend on
		// work.
		expected := max(s.latency.floor, b.latencies.mean/2, minExpectedTime)*max(0.5, r.work) +
			b.expectedWait(s)
		available := r.aimAt - b.now - retryTimeFactor*expected // leaves time for a retry
		patience := max(minPatienceFactor*expected, min(maxPatienceFactor*expected, available))
		// An unknown server, or one on trial, answers over a new connection and perhaps from another zone.
		// If these attempts are ended early, healthy servers stay ejected forever. Drawback: a dead server
		// costs such requests most of their time.
		if s.ejected || s.latency.value == 0 {
			patience = max(patience, unknownServerAimShare*(r.aimAt-b.now))
		}
		if b.now+patience < r.deadline {
			b.host.Timer(patience, stallToken(r, len(r.attempts)-1))
		}
	}
	if s == b.origin { // a fetch whose answer is lost blocks all requests that wait for the key
		b.host.Timer(fetchPatienceFactor*max(b.fetchLatency.value, minExpectedTime),
			stallToken(r, len(r.attempts)-1))
	}
	b.host.Send(r.ID, s.ID, 0)
}

// mayAttempt reports whether a further attempt may run on s. It is the only check of that. An attempt
// counts as possibly executed from its send on, until its outcome proves the contrary. A repeat has to arrive
// while the servers still remember that attempt, so it is sent that much earlier.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	for _, a := range r.attempts {
		if !a.mayHaveRun || r.class.Effect == Repeatable {
			continue
		}
		sameGroup := a.server.dedupGroup(r.class.Scope) == s.dedupGroup(r.class.Scope) &&
			a.server != b.origin && s != b.origin
		if r.class.Effect == Once || !sameGroup || b.now+r.ArrivalTime >= a.sentAt+r.class.Window-1 {
			return false
		}
	}
	return len(r.attempts) < b.cfg.MaxAttempts && (r.inFlight == 0 || b.cfg.Copies)
}

// mayRefuse reports whether a refusal is true: either no attempt can have run, or a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Repeatable || r.class.Effect == Keyed && r.class.Scope == "all" ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// endRequest refuses or fails a request, unless an attempt in flight may still bring an answer.
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

// closeRequest cancels the attempts of a request that has its final answer and forgets it once none is in
// flight.
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

// handleOutcome records the outcome of an attempt, then retries, holds, ends or closes its request.
func (b *Balancer) handleOutcome(r *request, a *attempt, o Outcome) {
	o.Latency = a.timeToAnswer(o.Latency)
	// fetchFailed: the origin failed, not the server that fetched from it.
	likelyFetch, fetchFailed := r.mayFetch, o.Status == Failed && o.CacheResult == 2 && !b.cfg.Aside
	if b.setMayFetch(r, false); o.Status.concernsServer() && !fetchFailed &&
		!(likelyFetch && o.Status == TimedOut) {
		b.observeHealth(a.server, o.Status, a.sentAt)
	}
	if timeout := o.Status == TimedOut && !likelyFetch && !a.begun(); a.server != b.origin &&
		(timeout || o.Status == QueueFull) {
		b.fleetLatency.update(b.now, b.fleetLatency.floor+r.class.Aim, fleetLatencyWeight)
		// A time-out shows a queue even if the server answers some requests in time.
		if unitLatency := o.Latency / r.work; timeout && unitLatency > a.server.latency.value {
			a.server.latency.update(b.now, unitLatency, min(maxLatencyWeight, latencyWeight*r.work))
		}
	}
	if a.wasOvertaken && (o.Status == OK || o.Status == Miss) {
		b.lostShare -= lostAnswerWeight * b.lostShare
	}
	if a.server == b.origin || likelyFetch && o.CacheResult != 1 { // 1: a hit, so there was no fetch
		b.adjustFetchLimit(r, o.Status, o.Latency)
	}
	if o.CacheResult == noteAbsent {
		r.key.storedAt, r.key.absentAt = 0, b.now
	}
	if fetchFailed {
		r.key.storedAt = 0 // the next request of the key counts as a fetch again
	}
	if a.server != b.origin && o.Status == OK {
		if o.CacheResult != 2 { // after a fetch, the latency says nothing about the server
			if b.waitShare = min(maxBaseWaitShare, b.waitShare+waitShareGain); a.answeredAt(b.now) > r.aimAt {
				b.waitShare, b.lastLate = max(0, b.waitShare-waitShareCut), b.now
			}
			b.latencies.update(o.Latency)
			// Weighted by its work: a light request takes several times as long for each unit of work,
			// which would look like a queue.
			b.fleetLatency.update(b.now, o.Latency/r.work, min(maxLatencyWeight, fleetLatencyWeight*r.work))
			// A light request says little: the fleet's mean makes up for the rest.
			if a.server.latency.value == 0 {
				a.server.latency.update(b.now,
					b.latencies.mean+min(1, r.work)*(o.Latency/r.work-b.latencies.mean), 1)
			}
			a.server.latency.update(b.now, o.Latency/r.work, min(maxLatencyWeight, latencyWeight*r.work))
		}
		r.key.storedAt, r.key.storedOn, b.keyStored = b.now, a.server, true
	}
	// A read whose answer was spoilt, or whose connection ended at a server that is not suspected, is
	// retried where the key is stored, which needs no fetch. If that server is dead, this costs a second
	// attempt, which the retry budget bounds.
	disconnected := o.Status == Reset || o.Status == ConnectError
	repeatFetch := a.server == b.origin && (disconnected || o.Status == Canceled)
	if o.Owners != nil {
		r.Owners = o.Owners
	}
	retryHere := (o.Status == InvalidAnswer ||
		disconnected && a.server != b.origin && a.server.suspicion < ejectionSuspicion/2) && !r.Write
	if retryHere && a.server != b.origin {
		r.missedOn = a.server
	} else if (retryHere || repeatFetch) && r.key.fetch == r {
		r.key.fetch = nil
	}
	switch {
	case r.finished || o.Final:
		b.closeRequest(r)
	case repeatFetch && b.retryBudget >= 1 && b.mayAttempt(r, a.server): // it counts as a new fetch
		b.retryBudget--
		b.hold(r)
	case b.now >= r.deadline-1 || a.server == b.origin && !retryHere || fetchFailed:
		b.endRequest(r)
	case o.Status == Miss && b.cfg.Aside:
		r.missedOn = a.server
		b.hold(r)
	case o.Owners != nil && r.inFlight == 0: // a redirect is not a retry, and MaxAttempts ends loops
		b.sendOrEnd(r)
	case r.inFlight == 0 && b.tierKnown && disconnected && a.server.ejected:
		b.sendOrEnd(r) // the server died: all requests sent to it have to go elsewhere, whatever the budget
	case r.inFlight > 0 || b.retryBudget < 1: // prevents retry storms
		b.endRequest(r)
	default:
		b.retryBudget--
		b.sendOrEnd(r)
	}
	b.dispatchHeld()
}

// handleStall acts on an attempt that has had no outcome in time. A server that has answered other requests
// since the attempt was sent is not suspected.
func (b *Balancer) handleStall(r *request, i int) {
	if i >= len(r.attempts) || r.attempts[i].done || r.attempts[i].begun() ||
		b.now >= r.aimAt && r.attempts[i].server != b.origin {
		return
	}
	if b.extendPatience(r, i) {
		return
	}
	a := &r.attempts[i]
	if a.server.lastReply >= a.sentAt || a.server == b.origin {
		// Later attempts were answered, so this one is lost or its request is heavy. It is given half as
		// much time again, unless most such attempts were lost lately. Drawbacks: a heavy request may be
		// executed twice, and losses are known only after a few of them.
		mayCancel := !b.cfg.Copies && b.cfg.Cancel && r.class.Effect == Repeatable && b.retryBudget >= 1
		if mayCancel && a.server.answeredSentAt > a.sentAt && b.recordOvertaken(a) {
			if a.server != b.origin {
				r.missedOn = a.server
			}
			b.host.Cancel(r.ID, i)
			return
		}
		b.host.Timer(overtakenWaitFactor*(b.now-a.sentAt), stallToken(r, i))
		return
	}
	if !r.mayFetch {
		// A key that meets an overloaded server is most likely its cause.
		r.key.rate.add(b.now, b.keyMemory(), b.sendSparsity())
		// A stall is known a second earlier than the time-out.
		b.fleetLatency.update(b.now, b.fleetLatency.floor+r.class.Aim, fleetLatencyWeight)
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

// housekeep does the periodic work: solving, list calls, probes and closing idle connections.
func (b *Balancer) housekeep() {
	b.host.Timer(housekeepInterval, tickToken)
	b.totalCapacity = b.usableCapacity()
	// By answers alone, one router of many, which sees few of them, would take many times as long to
	// recover.
	if b.tierKnown && b.now > b.lastLate+waitShareRecoveryDelay {
		b.waitShare = min(maxBaseWaitShare, b.waitShare+waitShareRecovery)
	}
	if since := b.now - b.solvedAt; since >= solveInterval || b.solveNeeded && since >= minSolveInterval {
		b.solve()
	}
	if b.now >= b.listCalls.dueAt {
		b.listCalls.call(b.now)
		b.host.WatchList()
	}
	// Requests pay for probes: in a large fleet, a bound on the age of reports cost many probes for each
	// request.
	for i, first := 0, b.nextProbe; i < len(b.serverList); i++ {
		s := b.serverList[(first+i)%len(b.serverList)]
		if s.connOpen && s.inFlight == 0 && b.connKeep < b.cfg.ConnIdle && b.now > s.lastSent+b.connKeep {
			s.connOpen = false
			b.host.Close(s.ID)
		}
		if b.cfg.ByProbe && b.cfg.Probes && b.probeBudget >= 1 && b.now-s.probedAt >= probeInterval {
			b.probeBudget, b.nextProbe, s.probedAt = b.probeBudget-1, first+i+1, b.now
			b.host.Probe(s.ID)
		}
	}
}

// fetchLimitShares are the shares of the fetch limit up to which requests of each standing may fetch.
// Without them, requests over a tenant's guaranteed floor would fill the limit, and those within it would
// wait.
var fetchLimitShares = [...]float64{QuotaGuaranteed: 1, QuotaLeased: 0.5, QuotaExceeded: 0.25}

// fetchLimitReached reports whether too many fetches are in flight for a request to start another.
func (b *Balancer) fetchLimitReached(r *request) bool {
	return b.fetchesInFlight() >= max(1, b.fetchLimit*fetchLimitShares[r.Standing])
}

// hold makes a request wait for the fetch limit or for a fetch of its key, as long as its answer can be in
// time.
func (b *Balancer) hold(r *request) {
	latest := r.deadline - minExpectedTime
	if r.class.Late == 0 {
		latest = min(latest, r.aimAt-b.fetchLatency.value/2)
	}
	r.waitingSince, b.waiting = b.now, append(b.waiting, r)
	b.host.Timer(max(1, latest-b.now), uint64(r.ID)<<8)
}

// dispatchHeld sends held requests on, the highest worth first: to the server that stores their key by now,
// or to the origin.
func (b *Balancer) dispatchHeld() {
	// Where servers fetch by themselves, no request can go on while the limit is reached and no key was
	// stored. In overload thousands wait, and checking all of them at every event prolonged the overload.
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
		case b.cfg.Aside &&
			(o == nil || o.State != Ready || !b.mayAttempt(r, o) || b.now+b.fetchLatency.floor > r.deadline):
			b.endRequest(r)
		case !r.Write && k.fetch != nil && !b.recentlyAbsent(k) || b.fetchLimitReached(r):
			return false
		case b.fetchLimit < 1 &&
			b.fetchesSent.add(b.now, keyRateTau, 0) >=
				b.fetchLimit*keyRateTau/max(b.fetchLatency.value, minFetchLatency):
			return false // a fetch in flight at each of hundreds of routers overloaded the origin
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

// adjustFetchLimit raises the limit on fetches while answers are quick and cuts it when they are slow or
// fail.
func (b *Balancer) adjustFetchLimit(r *request, st Status, lat float64) {
	if st == InvalidAnswer { // the origin did its work, and the answer was stored
		st = OK
	}
	if r.key.fetch == r && st == OK {
		r.key.storedAt, r.key.storedOn, b.keyStored = b.now, r.missedOn, true
	}
	late := st == TimedOut && lat > 2*b.fetchLatency.floor // else sent too late: no sign of a slow origin
	if st == OK || late {
		b.fetchLatency.update(b.now, lat, b.fetchLatencyWeight())
	}
	// Even if the floor has risen in an overload, answers that come too late count as slow. Drawback: if
	// the aim is short for the origin, few fetches are in flight at once.
	slow := min(maxSlowFactor*b.fetchLatency.floor,
		max(minSlowFactor*b.fetchLatency.floor, minSlowAimShare*r.class.Aim),
		maxSlowAimShare*r.class.Aim)
	if (st == OK || late) && b.fetchLatency.value < slow {
		gain := min(1/max(1, b.fetchLimit), max(fetchLimitGrowth*b.fetchLimit, tierFetchLimitGrowth/b.shares))
		// An answer to any router adds to all limits together what it adds to the limit of a single router.
		if b.tierKnown {
			gain = min(gain, 1/max(1, b.fetchLimit*b.shares))
		}
		b.fetchLimit = min(maxFetchLimit, b.fetchLimit+gain)
	} else if st.concernsServer() && (st != TimedOut || late) && b.now-b.limitCutAt > fetchCutInterval {
		factor, minLimit := slowCutFactor, min(2, tierMinFetchLimit/b.shares)
		if st == Failed { // the origin has stopped, or works for clients that have left
			factor, minLimit = failedCutFactor, minLimit/failedMinDivisor
		}
		// A queue: the limit may be far above the fetches in flight.
		if b.limitCutAt = b.now; b.fetchLatency.value >= slow {
			b.fetchLimit = min(b.fetchLimit, max(minLimit, b.fetchesInFlight()+1))
		}
		b.fetchLimit = max(min(minLimit, b.fetchLimit), factor*b.fetchLimit)
	}
}

// sendLimit returns the work a second that all routers together may send to a server; 0 = no limit.
func (b *Balancer) sendLimit(s *server) float64 {
	switch {
	case b.isCold(s):
		// Reports overstate the capacity while many requests are cheap misses, and all do if the origin is
		// down.
		bound := max(defaultColdCapacity, leastReportFactor*b.medianFloor*s.sizeUnit(b.sizesKnown))
		return coldBudgetShare * b.cfg.FallMult *
			min(b.typicalCapacity(s, defaultColdCapacity), bound) * b.warmFraction(s)
	case s.capacity.value > 0 && s.lastLoad.Util >= inflatedReportUtilisation:
		// At low load the least report is chance.
		return warmCapacityShare * min(s.capacity.value, inflatedReportFactor*s.capacity.floor)
	}
	return warmCapacityShare * s.capacity.value
}

// isCold reports whether a server is in its cold phase.
func (b *Balancer) isCold(s *server) bool { return b.now < s.coldSince+coldPhaseFactor*b.cfg.Cold }

// retryBudgetGain returns the retry budget that a request adds. If the routers coordinate, the retries of
// all of them add up to a tenth of the first attempts: two dozen routers that had each saved up twenty
// retries sent a second wave of requests.
func (b *Balancer) retryBudgetGain() float64 {
	if b.tierKnown {
		return tierRetriesPerRequest
	}
	return retriesPerRequest
}

// retryBudgetCap returns the upper bound of the retry budget: if the routers coordinate, one retry or half
// a second's worth.
func (b *Balancer) retryBudgetCap() float64 {
	if b.tierKnown {
		return min(maxSavedRetries, max(1, tierRetriesPerRequest/2*b.perSecond(&b.arrivals, keyRateTau)))
	}
	return maxSavedRetries
}

// fetchLatencyWeight returns the weight of a fetch in the latency of fetches. It grows with the number of
// routers, as each of many sees few fetches.
func (b *Balancer) fetchLatencyWeight() float64 {
	if !b.tierKnown {
		return fleetLatencyWeight
	}
	return min(0.5, fleetLatencyWeight*max(1, b.shares/4))
}

// budgetAllows reports whether this router's share of a server's capacity leaves room for a request: the
// send budget of a cold server and, if the routers coordinate, the capacity of a warm one. Without it, two
// dozen routers that learned of each other's queues late kept all queues full, whatever each refused. The
// lowest worth is refused first. Drawback: a share that is not used here may be wanted elsewhere.
func (b *Balancer) budgetAllows(s *server, work, rank float64) bool {
	fillRate, window, minSize, reserve := b.sendLimit(s)/1000, b.cfg.FallFor/coldBurstDivisor, 1.0, 0.0
	switch {
	case b.isCold(s):
		fillRate /= b.shares
	case !b.tierKnown || s.capacity.value == 0:
		return true
	default:
		fillRate /= b.warmServerShares()
		// Each call drops the budget saved beyond the size for its rank: a lower rank needs a time without
		// higher ones.
		window, minSize, reserve = warmBurstWindow, 2-rank, warmReserveShare*(1-rank)
		// Debt from sends before there were shares is limited to what the share allows in a second.
		s.sendBudget.value = max(-1000*fillRate, s.sendBudget.value)
	}
	size := max(minSize, fillRate*window)
	s.sendBudget.value = min(size, s.sendBudget.value+fillRate*(b.now-s.sendBudget.updated))
	s.sendBudget.updated = b.now
	return s.sendBudget.value >= min((1+work)/2+reserve*size, size)
}

// warmServerShares returns the number of shares that warm servers are divided into. A router that has no
// share yet takes half of an equal one, so that no server is overloaded.
func (b *Balancer) warmServerShares() float64 {
	return min(b.shares, noShareFactor*float64(b.cfg.Routers))
}

// shouldShed reports whether a request is to be refused because the fleet can't serve all, and counts it.
// All routers decide alike: when each shed on its own, clients refused by one router tried the next, and
// all routers saw four times the requests. Capacity that this router's share has left over goes to requests
// under the threshold, the highest worth first, so a wrong or malicious threshold costs no more than their
// order. Drawback: the budget for that fills for a fraction of a second first.
func (b *Balancer) shouldShed(r *request) bool {
	threshold, fillRate := b.admission, b.totalCapacity/b.warmServerShares()/1000
	maxIdle := max(minIdleBudget, fillRate*idleBudgetWindow)
	b.idleBudget.value = min(maxIdle, b.idleBudget.value+fillRate*(b.now-b.idleBudget.updated))
	b.idleBudget.updated = b.now
	band := BandOf(r.worth / max(b.maxWorth, 1e-9))
	admitted := b.now > threshold.Until || band < threshold.Band ||
		band == threshold.Band && b.bandPosition(r) < threshold.Share
	if admitted = admitted ||
		b.idleBudget.value >= maxIdle*(1-idleReserveShare*b.relativeWorth(r)); admitted {
		b.idleBudget.value = max(-maxIdle, b.idleBudget.value-r.work)
		b.demand.Admitted += r.work
	} else if !r.Retry {
		b.demand.Shed[band] += r.work
	}
	if !r.Retry { // a client's retry is no additional demand
		b.demand.Arrived[band] += r.work
	}
	return !admitted
}

// retryAfter returns the ms after which the client of a shed request is told to retry: the time at which
// the rotating hash admits it. If that is far off, it is a random time of some seconds, as the threshold may
// be lifted by then.
func (b *Balancer) retryAfter(r *request) float64 {
	limit := maxRetryAfter
	if b.cfg.MaxAfter > 0 {
		limit = min(limit, b.cfg.MaxAfter)
	}
	return min(max(1, (1-b.bandPosition(r))*b.admission.RotationPeriod), limit*(0.5+b.rng.Float64()/2))
}

// relativeWorth returns the square root of a request's worth relative to the highest, 0 to 1. The root
// brings classes closer together, whose worths lie far apart.
func (b *Balancer) relativeWorth(r *request) float64 {
	return math.Sqrt(r.worth / max(b.maxWorth, 1e-9))
}
