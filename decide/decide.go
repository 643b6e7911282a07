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

	minHotArrivals       = 1.5   // decayed arrivals from which a key is solved on its own
	maxHotKeys           = 32    // keys solved on their own: they hold most of what one server cannot serve
	solveTolerance       = 1e-3  // relative change of F below which the sweeps end
	maxSolveSweeps       = 40    // sweeps for one key, to bound its work
	newtonStep           = 0.5   // step size of equation (10)
	targetUtilisation    = 0.9   // utilisation to which the rates are scaled for solving, as in the paper
	maxChannels          = 256   // channels of a modelled server: the cost of a delay grows with them
	defaultChannelsTime  = 4000  // capacity times mean latency in ms, if capacity is unknown: four channels
	minTrafficShare      = 0.5   // least estimate of the own traffic, whatever reports say, in equal shares
	housekeepInterval    = 100   // ms between two rounds of housekeeping
	solveInterval        = 1000  // ms between two regular solves
	minSolveInterval     = 250   // ms between two solves when one is requested: list updates come in bursts
	listCallTimeout      = 15000 // ms without an answer after which the list is requested again
	listCallSpread       = 1000  // ms of spread of the first list calls in a large tier, for each ten routers
	maxListCallDoublings = 2     // doublings of the pause between failing list calls, at most
	probeInterval        = 700   // ms between two probes of a server: reports are valid for about a second
	probesPerRequest     = 0.15  // probe budget that a request adds
	maxSavedProbes       = 4     // upper bound of the probe budget
	staleAfter           = 10000 // ms after which a stored key or a latency floor says little
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
	coldBudgetShare           = 0.4  // share of a cold server's overload point that is used: hints are rough
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
	idleReserveShare          = 0.5  // share of the idle budget that the highest worth does not need to find
	maxRetryAfter             = 5e3  // ms, upper bound of the time after which a refused client shall retry
	noteAbsent                = 4    // Outcome.Note: the origin has no value for the key
	absentMemory              = 1000 // ms in which readers of an absent key don't wait for another's fetch
)

// Servers applies an update of the server list, or a refused list call.
func (b *Balancer) Servers(now float64, kind ListKind, entries []Entry) {
	b.begin(now)
	if kind == Refused {
		// The pause is random, or all routers would call at once again. The list service works through its
		// queue in order, calls that have timed out included: hundreds of retries a second would keep it
		// permanently overloaded.
		pause := (500 + 1000*b.rng.Float64()) * b.crowd() *
			math.Exp2(float64(min(b.refusals, maxListCallDoublings)))
		b.watchAt = now + b.untold(3, pause)
		b.refusals++
		return
	}
	b.refusals = 0
	if b.watchAt = math.Inf(1); b.cfg.AskList && kind == Remembered {
		// In a small tier the next round of housekeeping requests the list.
		b.watchAt = now + b.untold(0.8, listCallSpread*(b.crowd()-1))*b.rng.Float64()
	}
	for _, s := range b.apply(kind, entries) {
		if s.Started > now-b.cfg.Cold { // a new process starts with a clean record
			s.fresh, s.ejected, s.strikes, s.accept = s.Started, false, 0, 1
			s.budget = rate{b.firstPart(), now}
			s.doubt, s.fails, s.refused, s.lost = 0, b.usual, false, false
		}
	}
	b.buildTable()
	b.dirty = true
}

// usable reports whether a request, or the solver if r is nil, may use a server. An ejected server gets one
// trial request at a time.
func (b *Balancer) usable(s *server, r *request) bool {
	trial := s.ejected && r != nil && b.now >= s.trial && s.out == 0 && r.class.Effect == Repeatable
	allowed := s.listed && s.State == Ready && (trial || !s.ejected)
	return allowed && (r == nil || b.budgetAllows(s, r.work, b.relativeWorth(r)))
}

// observeHealth updates the server's health from the outcome of an attempt that was sent at the given time.
func (b *Balancer) observeHealth(s *server, st Status, sent float64) {
	ok := st == OK || st == Miss
	switch {
	case ok || st == Failed || st == QueueFull || st == Spoilt:
		s.reply, s.strikes, s.passed = b.now, 0, max(s.passed, sent)
		b.recordResponse(s)
	case st == ConnectError: // dead, or its connection table is full: the next answer tells which
		s.refused = true
		b.recordNoResponse(s, sent)
	case st == Reset:
	case s.reply < sent:
		s.strikes++
		b.recordNoResponse(s, sent)
	default:
		return // it answers others: this one was queued or waited for a fetch; moving keys would add fetches
	}
	// Failures count relative to the fleet's usual rate: causes that end connections, spoil answers or
	// overload servers everywhere are not a fault of this one. Drawback: if most of a fleet fails at once,
	// that is detected later.
	if !ok {
		b.usual = usualFails(b.order)
	}
	if st != TimedOut {
		s.weigh(!ok, b.usual)
	}
	if !ok {
		// A server that fails fast must not look cheap.
		if s.accept *= failureAcceptFactor; st == Spoilt {
			s.accept *= spoiltAcceptFactor // a server that spoils most answers is still ejected
		}
		if s.ejected || s.doubt >= ejectionSuspicion || s.strikes >= maxConsecutiveFailures {
			b.eject(s, st == TimedOut)
		}
		return
	}
	if b.keep = min(b.cfg.ConnIdle, idleKeepGrowth*b.keep); s.refused {
		// The server answers, so its connection table was full: all routers keep idle connections for a
		// shorter time. Servers stopped by a release whose removal was announced late or never also refuse
		// connections but don't answer later. Counting those made a tier of eighty routers open a
		// connection for every second request for the rest of a day.
		s.refused, b.keep = false, max(minIdleKeep, b.keep/2)
	}
	s.accept, s.pause = s.accept+successAcceptGain*(1-s.accept),
		successPauseFactor*s.pause
	if s.ejected { // the trial succeeded: half of its channels, and half of the suspicion that ejects
		s.ejected, s.accept, s.doubt, b.dirty =
			false, acceptAfterTrial, ejectionSuspicion/2, true
	}
}

// eject takes a server out of use, or extends the pause after a failed trial. If half of the fleet is
// unresponsive, the cause is this router or the origin, and the server stays.
func (b *Balancer) eject(s *server, unresponsive bool) {
	if unresponsive && !s.ejected &&
		(s.strikes < maxConsecutiveFailures ||
			2*ejected(b.order)+2 > len(b.order)) {
		return
	}
	if s.ejected && b.now < s.trial { // sent before the ejection, so it is not a failed trial
		return
	}
	s.pause = min(maxPauseFactor*minEjectionPause, max(minEjectionPause, 2*s.pause))
	s.trial = b.now + s.pause*(0.75+0.5*b.rng.Float64()) // spread: routers must not try all at once
	if s.overdue = s.trial; unresponsive {
		s.overdue += unresponsiveTrialDelay
	}
	s.ejected, b.dirty = true, b.dirty || !s.ejected
}

// recordNoResponse records that an attempt at a server got no response. If several servers of a zone don't
// respond, none in it does and other zones do, all servers of the zone are ejected together. Where a router
// uses each server only every few seconds, detecting the loss of half a fleet of sixty server by server
// took each router three requests to each of them, and four seconds.
func (b *Balancer) recordNoResponse(s *server, sent float64) {
	z := b.zoneOf(s)
	if z.reply >= sent || slices.Contains(z.silent, s) {
		return
	}
	if z.silent = append(z.silent, s); len(z.silent) < zoneEjectionServers ||
		!b.othersReply(z, sent) {
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

// recordResponse records a response. If the server had been ejected with its zone, trials of all servers
// that were ejected with it become due at once.
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

// expectedWait returns the time in ms that a new request is expected to wait at a server. Own attempts in
// flight are known; those of other routers follow by Little's law from their rate and the latency seen. The
// influence of that latency decays, or a single refusal would never end.
func (b *Balancer) expectedWait(s *server) float64 {
	freshness := math.Exp((s.lat.at - b.now) / serverLatencyTau)
	others := max(0, s.qps-b.perSecond(&s.sent, sendRateTau)) *
		s.lat.v / 1000 * freshness
	// If each server is seldom used, the latency of the whole fleet is the only estimate of its queue.
	fleetWait := (b.jam.v - b.jam.floor) *
		math.Exp((b.jam.at-b.now)/fleetLatencyTau)
	if !s.ejected { // for an ejected one, used as a last resort, there is no better estimate
		fleetWait *= b.seldom()
	}
	return max(0, fleetWait) +
		max(0, (float64(s.out)+others+1)*1000/(b.capacityOf(s)*b.warmth(s))-s.lat.floor)
}

// capacityOf returns a server's capacity in requests a second. Until the server reports one, an estimate
// stands in: without it, all servers would be overloaded in the first second.
func (b *Balancer) capacityOf(s *server) float64 {
	if s.cap.v > 0 {
		return s.cap.v
	}
	return b.typical(s, defaultChannelsTime/max(1, b.x.mean))
}

// candidates returns the usable servers of a key in the order of its list.
func (b *Balancer) candidates(k *flow) []*server {
	return slices.DeleteFunc(slices.Clone(b.list(k)), func(s *server) bool { return !b.usable(s, nil) })
}

// balanceFlow distributes the rates x over the servers by the procedure of Table 1 and returns F.
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

// splitFlow assigns a flow to its first server and adds further servers, in ascending FDL, while the
// waiting falls. Shares are solved at scaled rates, but at the actual rates a further copy has to reduce
// the waiting by more than the latency of a fetch for each request.
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

// buildModel sets the channels and the background load of all servers, and the scale of the rates to the
// utilisation that is solved for.
func (b *Balancer) buildModel() {
	mu, mean, ownRate, total, capacity := 1000/max(1, b.x.mean), b.survey(), 0.0, 0.0, 0.0
	for _, s := range b.order {
		channels := b.capacityOf(s) * s.accept * s.accept * b.warmth(s) / mu
		s.mu, s.n = mu, int(min(maxChannels, max(1, channels)))
		own := b.perSecond(&s.sent, sendRateTau)
		// The weight of a report decays towards the mean rate. Hot keys are added on top.
		fresh := math.Exp((s.heard - b.now) / keyRateTau)
		s.load, s.hot = fresh*max(0, s.qps-own-s.hot)+(1-fresh)*mean, 0
		if ownRate += own; b.usable(s, nil) {
			total, capacity = total+own+s.load, capacity+float64(s.n)*mu
		}
	}
	if b.portion = 1 / float64(b.cfg.Routers); mean > 0 {
		b.portion = max(ownRate/max(total, ownRate, 1e-3), minTrafficShare*b.portion)
	}
	b.scale = targetUtilisation * capacity / max(total, 1e-3)
	for _, s := range b.order {
		s.load *= b.scale
	}
}

// solve splits hot keys one by one, hottest first by λ_i/μ_i. All other keys stay at their first
// candidates: when they were split in groups by shares, keys moved with every solve, and the misses
// overloaded the origin.
func (b *Balancer) solve() {
	b.solvedAt, b.dirty = b.now, false
	b.buildModel()
	mem := b.keyMem()
	for _, k := range b.hottest() {
		c, lam := b.candidates(k), b.perSecond(&k.rate, mem)*k.work*b.scale
		switch {
		case len(c) == 0:
		case k.rate.v >= minHotArrivals:
			// The arrival that brought the rate above the limit is left out, as it would bias the rate.
			b.splitFlow(k, c, lam/b.portion*(1-1/k.rate.v))
		default:
			c[0].load += lam
		}
	}
}

// pickServer returns the server for the next attempt, or nil if none is worth it. It draws by the solved
// probabilities, or takes the first candidate of a key that is not hot, and goes on to others if that one
// can't be used or the expected wait is too long.
func (b *Balancer) pickServer(r *request) *server {
	if b.now >= r.until-1 || r.class.Late == 0 && b.now >= r.aim {
		return nil // an answer would come too late to have any worth
	}
	var selected, fallback *server
	list := b.list(r.key)
	if i := slices.IndexFunc(list, func(s *server) bool { return b.usable(s, nil) }); i >= 0 {
		selected = list[i]
	}
	if selected != nil && !r.may(selected) {
		selected = nil
	}
	home := selected
	if len(list) > 0 {
		home = list[0]
	}
	trialDue := home != selected && r.may(home) && home.ejected && b.now >= home.overdue
	if trialDue && len(r.tries) == 0 && b.usable(home, r) {
		return home // its trial: without a queue at the others no request would try it otherwise
	}
	for j, u := 0, b.rng.Float64(); j < len(r.key.v) && u >= 0; j++ {
		if u -= r.key.p[j]; r.may(r.key.v[j]) {
			selected = r.key.v[j]
		}
	}
	// The accepted wait grows with the worth: the lowest worth is shed first, and early rather than late.
	maxWait := (b.bear + worthWaitShare*b.relativeWorth(r)) * (r.aim - b.now)
	list = append([]*server{r.missed, selected}, list...)
	if r.Owners != nil { // a redirect may name other servers than the key's
		list = append(list, b.listed(r.Owners)...)
	}
	for pass := 0; pass < 2 && fallback == nil; pass++ {
		for _, s := range list {
			if s == nil || !r.may(s) || s != r.missed && r.tried(s) || !b.mayAttempt(r, s) ||
				!b.usable(s, r) &&
					(pass == 0 || s.State != Ready || !b.budgetAllows(s, r.work, b.relativeWorth(r))) {
				continue
			}
			wait := b.expectedWait(s)
			if s != selected && s != r.missed && s != r.key.storeAt {
				// It needs a fetch there; spreading keys would keep a slow origin overloaded.
				wait += b.olat.v
			}
			if fallback = s; wait <= maxWait-
				latencyFloorShare*s.lat.floor*math.Exp((s.lat.at-b.now)/staleAfter)*r.work {
				return s
			}
		}
	}
	if b.mayRefuse(r) || r.out > 0 {
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
	if r.Standing == Beyond { // not served, so it doesn't count as traffic and changes no share
		b.host.Refuse(r.ID, r.Again)
		b.closeRequest(r)
		return
	}
	b.arrivals.add(b.now, keyRateTau, 1)
	b.spare, b.probes = min(b.retryBudgetCap(), b.spare+b.retryBudgetGain()),
		min(maxSavedProbes, b.probes+probesPerRequest)
	// A few arrivals above this router's share of the quota are chance; two standard deviations are not.
	q := b.quota[r.Tenant] * b.portion * keyRateTau / 1000
	if u := b.used[r.Tenant]; u != nil && u.add(b.now, keyRateTau, 1) > q+quotaDeviations*math.Sqrt(q) {
		r.worth *= b.cfg.OverWorth
	}
	r.worth *= [...]float64{Within: 1, Borrowed: leasedWorthFactor,
		Over: b.cfg.OverWorth}[r.Standing]
	if b.told && b.shouldShed(r) {
		b.host.Refuse(r.ID, b.retryAfter(r))
		b.closeRequest(r)
		return
	}
	k := r.key
	k.work += keyWorkWeight * (r.work - k.work)
	k.rate.add(b.now, b.keyMem(), 1)
	// Where servers fetch by themselves, writes and keys that were not stored lately lead to a fetch from
	// the origin too. A write whose servers are named goes to these.
	if b.cfg.Alone || r.Write && r.Owners != nil {
		b.sendOrEnd(r)
	} else if r.Write || k.fetch != nil || !b.cfg.Aside && b.now > k.stored+staleAfter {
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
	r.tries = append(r.tries, attempt{s: s, at: b.now, ran: true})
	r.out++
	s.out, s.sentAt, s.held = s.out+1, b.now, true
	if s != b.origin {
		b.demand.Sent += r.work
		s.budget.v -= (1 + r.work) / 2 // hints are rough: light requests turn out heavier
		s.sent.add(b.now, sendRateTau, r.work)
		// At least half a unit of work is assumed: hints are rough, and a server's pauses don't depend on
		// work.
		expected := max(s.lat.floor, b.x.mean/2, minExpectedTime)*max(0.5, r.work) +
			b.expectedWait(s)
		available := r.aim - b.now - retryTimeFactor*expected // leaves time for a retry
		patience := max(minPatienceFactor*expected, min(maxPatienceFactor*expected, available))
		// An unknown server, or one on trial, answers over a new connection and perhaps from another zone.
		// If these attempts are ended early, healthy servers stay ejected forever. Drawback: a dead server
		// costs such requests most of their time.
		if s.ejected || s.lat.v == 0 {
			patience = max(patience, unknownServerAimShare*(r.aim-b.now))
		}
		if b.now+patience < r.until {
			b.host.Timer(patience, uint64(r.ID)<<8|uint64(len(r.tries)))
		}
	}
	if s == b.origin { // a fetch whose answer is lost blocks all requests that wait for the key
		b.host.Timer(fetchPatienceFactor*max(b.olat.v, minExpectedTime),
			uint64(r.ID)<<8|uint64(len(r.tries)))
	}
	b.host.Send(r.ID, s.ID, 0)
}

// mayAttempt reports whether a further attempt may run on s. It is the only check of that. An attempt
// counts as possibly executed from its send on, until its outcome proves the contrary.
func (b *Balancer) mayAttempt(r *request, s *server) bool {
	for _, a := range r.tries {
		if !a.ran || r.class.Effect == Repeatable {
			continue
		}
		sameGroup := a.s.group(r.class.Scope) == s.group(r.class.Scope) &&
			a.s != b.origin && s != b.origin
		if r.class.Effect == Once || !sameGroup || b.now >= a.at+r.class.Window-1 {
			return false
		}
	}
	return len(r.tries) < b.cfg.MaxAttempts && (r.out == 0 || b.cfg.Copies)
}

// mayRefuse reports whether a refusal is true: either no attempt can have run, or a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Repeatable || r.class.Effect == Keyed && r.class.Scope == "all" ||
		!slices.ContainsFunc(r.tries, func(a attempt) bool { return a.ran })
}

// endRequest refuses or fails a request, unless an attempt in flight may still bring an answer.
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

// closeRequest cancels the attempts of a request that has its final answer and forgets it once none is in
// flight.
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

// handleOutcome records the outcome of an attempt, then retries, holds, ends or closes its request.
func (b *Balancer) handleOutcome(r *request, a *attempt, o Outcome) {
	// fetchFailed: the origin failed, not the server that fetched from it.
	likelyFetch, fetchFailed := r.asks, o.Status == Failed && o.Note == 2 && !b.cfg.Aside
	if b.setAsks(r, false); o.Status.tells() && !fetchFailed &&
		!(likelyFetch && o.Status == TimedOut) {
		b.observeHealth(a.s, o.Status, a.at)
	}
	if timeout := o.Status == TimedOut && !likelyFetch; a.s != b.origin &&
		(timeout || o.Status == QueueFull) {
		b.jam.see(b.now, b.jam.floor+r.class.Aim, fleetLatencyWeight)
		// A time-out shows a queue even if the server answers some requests in time.
		if unitLatency := o.Latency / r.work; timeout && unitLatency > a.s.lat.v {
			a.s.lat.see(b.now, unitLatency, min(maxLatencyWeight, latencyWeight*r.work))
		}
	}
	if a.passed && (o.Status == OK || o.Status == Miss) {
		b.lost -= lostAnswerWeight * b.lost
	}
	if a.s == b.origin || likelyFetch && o.Note != 1 { // 1: a hit, so there was no fetch
		b.adjustFetchLimit(r, o.Status, o.Latency)
	}
	if o.Note == noteAbsent {
		r.key.stored, r.key.absent = 0, b.now
	}
	if fetchFailed {
		r.key.stored = 0 // the next request of the key counts as a fetch again
	}
	if a.s != b.origin && o.Status == OK {
		if o.Note != 2 { // after a fetch, the latency says nothing about the server
			if b.bear = min(maxBaseWaitShare, b.bear+waitShareGain); b.now > r.aim {
				b.bear, b.lateAt = max(0, b.bear-waitShareCut), b.now
			}
			b.x.see(o.Latency)
			// Weighted by its work: a light request takes several times as long for each unit of work,
			// which would look like a queue.
			b.jam.see(b.now, o.Latency/r.work, min(maxLatencyWeight, fleetLatencyWeight*r.work))
			// A light request says little: the fleet's mean makes up for the rest.
			if a.s.lat.v == 0 {
				a.s.lat.see(b.now,
					b.x.mean+min(1, r.work)*(o.Latency/r.work-b.x.mean), 1)
			}
			a.s.lat.see(b.now, o.Latency/r.work, min(maxLatencyWeight, latencyWeight*r.work))
		}
		r.key.stored, r.key.storeAt, b.stored = b.now, a.s, true
	}
	// A read whose answer was spoilt, or whose connection ended at a server that is not suspected, is
	// retried where the key is stored, which needs no fetch. If that server is dead, this costs a second
	// attempt, which the retry budget bounds.
	disconnected := o.Status == Reset || o.Status == ConnectError
	repeatFetch := a.s == b.origin && (disconnected || o.Status == Canceled)
	if o.Owners != nil {
		r.Owners = o.Owners
	}
	retryHere := (o.Status == Spoilt ||
		disconnected && a.s != b.origin && a.s.doubt < ejectionSuspicion/2) && !r.Write
	if retryHere && a.s != b.origin {
		r.missed = a.s
	} else if (retryHere || repeatFetch) && r.key.fetch == r {
		r.key.fetch = nil
	}
	switch {
	case r.closed || o.Final:
		b.closeRequest(r)
	case repeatFetch && b.spare >= 1 && b.mayAttempt(r, a.s): // it counts as a new fetch
		b.spare--
		b.hold(r)
	case b.now >= r.until-1 || a.s == b.origin && !retryHere || fetchFailed:
		b.endRequest(r)
	case o.Status == Miss && b.cfg.Aside:
		r.missed = a.s
		b.hold(r)
	case o.Owners != nil && r.out == 0: // a redirect is not a retry, and MaxAttempts ends loops
		b.sendOrEnd(r)
	case r.out == 0 && b.told && disconnected && a.s.ejected:
		b.sendOrEnd(r) // the server died: all requests sent to it have to go elsewhere, whatever the budget
	case r.out > 0 || b.spare < 1: // prevents retry storms
		b.endRequest(r)
	default:
		b.spare--
		b.sendOrEnd(r)
	}
	b.dispatchHeld()
}

// handleStall acts on an attempt that has had no outcome in time. A server that has answered other requests
// since the attempt was sent is not suspected.
func (b *Balancer) handleStall(r *request, i int) {
	if i >= len(r.tries) || r.tries[i].over || b.now >= r.aim && r.tries[i].s != b.origin {
		return
	}
	a := &r.tries[i]
	if a.s.reply >= a.at || a.s == b.origin {
		// Later attempts were answered, so this one is lost or its request is heavy. It is given half as
		// much time again, unless most such attempts were lost lately. Drawbacks: a heavy request may be
		// executed twice, and losses are known only after a few of them.
		mayCancel := !b.cfg.Copies && b.cfg.Cancel && r.class.Effect == Repeatable && b.spare >= 1
		if mayCancel && a.s.passed > a.at && b.overtaken(a) {
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
		// A key that meets an overloaded server is most likely its cause.
		r.key.rate.add(b.now, b.keyMem(), b.seldom())
		// A stall is known a second earlier than the time-out.
		b.jam.see(b.now, b.jam.floor+r.class.Aim, fleetLatencyWeight)
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

// housekeep does the periodic work: solving, list calls, probes and closing idle connections.
func (b *Balancer) housekeep() {
	b.host.Timer(housekeepInterval, tickToken)
	b.room = b.usableCapacity()
	// By answers alone, one router of many, which sees few of them, would take many times as long to
	// recover.
	if b.told && b.now > b.lateAt+waitShareRecoveryDelay {
		b.bear = min(maxBaseWaitShare, b.bear+waitShareRecovery)
	}
	if since := b.now - b.solvedAt; since >= solveInterval || b.dirty && since >= minSolveInterval {
		b.solve()
	}
	if b.now >= b.watchAt {
		b.watchAt = b.now + listCallTimeout
		b.host.Watch()
	}
	// Requests pay for probes: in a large fleet, a bound on the age of reports cost many probes for each
	// request.
	for i, first := 0, b.turn; i < len(b.order); i++ {
		s := b.order[(first+i)%len(b.order)]
		if s.held && s.out == 0 && b.keep < b.cfg.ConnIdle && b.now > s.sentAt+b.keep {
			s.held = false
			b.host.Close(s.ID)
		}
		if b.cfg.ByProbe && b.cfg.Probes && b.probes >= 1 && b.now-s.probed >= probeInterval {
			b.probes, b.turn, s.probed = b.probes-1, first+i+1, b.now
			b.host.Probe(s.ID)
		}
	}
}

// fetchLimitShares are the shares of the fetch limit up to which requests of each standing may fetch.
// Without them, requests over a tenant's guaranteed floor would fill the limit, and those within it would
// wait.
var fetchLimitShares = [...]float64{Within: 1, Borrowed: 0.5, Over: 0.25}

// fetchLimitReached reports whether too many fetches are in flight for a request to start another.
func (b *Balancer) fetchLimitReached(r *request) bool {
	return b.fetching() >= max(1, b.fetches*fetchLimitShares[r.Standing])
}

// hold makes a request wait for the fetch limit or for a fetch of its key, as long as its answer can be in
// time.
func (b *Balancer) hold(r *request) {
	latest := r.until - minExpectedTime
	if r.class.Late == 0 {
		latest = min(latest, r.aim-b.olat.v/2)
	}
	r.held, b.held = b.now, append(b.held, r)
	b.host.Timer(max(1, latest-b.now), uint64(r.ID)<<8)
}

// dispatchHeld sends held requests on, the highest worth first: to the server that stores their key by now,
// or to the origin.
func (b *Balancer) dispatchHeld() {
	// Where servers fetch by themselves, no request can go on while the limit is reached and no key was
	// stored. In overload thousands wait, and checking all of them at every event prolonged the overload.
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
		case b.cfg.Aside &&
			(o == nil || o.State != Ready || !b.mayAttempt(r, o) || b.now+b.olat.floor > r.until):
			b.endRequest(r)
		case !r.Write && k.fetch != nil && !b.absent(k) || b.fetchLimitReached(r):
			return false
		case b.fetches < 1 &&
			b.asked.add(b.now, keyRateTau, 0) >=
				b.fetches*keyRateTau/max(b.olat.v, minFetchLatency):
			return false // a fetch in flight at each of hundreds of routers overloaded the origin
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

// adjustFetchLimit raises the limit on fetches while answers are quick and cuts it when they are slow or
// fail.
func (b *Balancer) adjustFetchLimit(r *request, st Status, lat float64) {
	if st == Spoilt { // the origin did its work, and the answer was stored
		st = OK
	}
	if r.key.fetch == r && st == OK {
		r.key.stored, r.key.storeAt, b.stored = b.now, r.missed, true
	}
	late := st == TimedOut && lat > 2*b.olat.floor // else sent too late: no sign of a slow origin
	if st == OK || late {
		b.olat.see(b.now, lat, b.fetchLatencyWeight())
	}
	// Even if the floor has risen in an overload, answers that come too late count as slow. Drawback: if
	// the aim is short for the origin, few fetches are in flight at once.
	slow := min(maxSlowFactor*b.olat.floor,
		max(minSlowFactor*b.olat.floor, minSlowAimShare*r.class.Aim),
		maxSlowAimShare*r.class.Aim)
	if (st == OK || late) && b.olat.v < slow {
		gain := min(1/max(1, b.fetches), max(fetchLimitGrowth*b.fetches, tierFetchLimitGrowth/b.parts))
		// An answer to any router adds to all limits together what it adds to the limit of a single router.
		if b.told {
			gain = min(gain, 1/max(1, b.fetches*b.parts))
		}
		b.fetches = min(maxFetchLimit, b.fetches+gain)
	} else if st.tells() && (st != TimedOut || late) && b.now-b.cutAt > fetchCutInterval {
		factor, minLimit := slowCutFactor, min(2, tierMinFetchLimit/b.parts)
		if st == Failed { // the origin has stopped, or works for clients that have left
			factor, minLimit = failedCutFactor, minLimit/failedMinDivisor
		}
		// A queue: the limit may be far above the fetches in flight.
		if b.cutAt = b.now; b.olat.v >= slow {
			b.fetches = min(b.fetches, max(minLimit, b.fetching()+1))
		}
		b.fetches = max(min(minLimit, b.fetches), factor*b.fetches)
	}
}

// sendLimit returns the work a second that all routers together may send to a server; 0 = no limit.
func (b *Balancer) sendLimit(s *server) float64 {
	switch {
	case b.isCold(s):
		// Reports overstate the capacity while many requests are cheap misses, and all do if the origin is
		// down.
		bound := max(defaultColdCapacity, leastReportFactor*b.least*s.unit(b.sized))
		return coldBudgetShare * b.cfg.FallMult *
			min(b.typical(s, defaultColdCapacity), bound) * b.warmth(s)
	case s.cap.v > 0 && s.last.Util >= inflatedReportUtilisation:
		// At low load the least report is chance.
		return warmCapacityShare * min(s.cap.v, inflatedReportFactor*s.cap.floor)
	}
	return warmCapacityShare * s.cap.v
}

// isCold reports whether a server is in its cold phase.
func (b *Balancer) isCold(s *server) bool { return b.now < s.fresh+coldPhaseFactor*b.cfg.Cold }

// retryBudgetGain returns the retry budget that a request adds. If the routers coordinate, the retries of
// all of them add up to a tenth of the first attempts: two dozen routers that had each saved up twenty
// retries sent a second wave of requests.
func (b *Balancer) retryBudgetGain() float64 {
	if b.told {
		return tierRetriesPerRequest
	}
	return retriesPerRequest
}

// retryBudgetCap returns the upper bound of the retry budget: if the routers coordinate, one retry or half
// a second's worth.
func (b *Balancer) retryBudgetCap() float64 {
	if b.told {
		return min(maxSavedRetries, max(1, tierRetriesPerRequest/2*b.perSecond(&b.arrivals, keyRateTau)))
	}
	return maxSavedRetries
}

// fetchLatencyWeight returns the weight of a fetch in the latency of fetches. It grows with the number of
// routers, as each of many sees few fetches.
func (b *Balancer) fetchLatencyWeight() float64 {
	if !b.told {
		return fleetLatencyWeight
	}
	return min(0.5, fleetLatencyWeight*max(1, b.parts/4))
}

// budgetAllows reports whether this router's share of a server's capacity leaves room for a request: the
// send budget of a cold server and, if the routers coordinate, the capacity of a warm one. Without it, two
// dozen routers that learned of each other's queues late kept all queues full, whatever each refused. The
// lowest worth is refused first. Drawback: a share that is not used here may be wanted elsewhere.
func (b *Balancer) budgetAllows(s *server, work, rank float64) bool {
	fillRate, window, minSize, reserve := b.sendLimit(s)/1000, b.cfg.FallFor/coldBurstDivisor, 1.0, 0.0
	switch {
	case b.isCold(s):
		fillRate /= b.parts
	case !b.told || s.cap.v == 0:
		return true
	default:
		fillRate /= b.warmServerShares()
		// Each call drops the budget saved beyond the size for its rank: a lower rank needs a time without
		// higher ones.
		window, minSize, reserve = warmBurstWindow, 2-rank, warmReserveShare*(1-rank)
		s.budget.v = max(-1000*fillRate, s.budget.v) // old debt counts for one second at most
	}
	size := max(minSize, fillRate*window)
	s.budget.v = min(size, s.budget.v+fillRate*(b.now-s.budget.at))
	s.budget.at = b.now
	return s.budget.v >= min((1+work)/2+reserve*size, size)
}

// warmServerShares returns the number of shares that warm servers are divided into. A router that has no
// share yet takes half of an equal one, so that no server is overloaded.
func (b *Balancer) warmServerShares() float64 {
	return min(b.parts, noShareFactor*float64(b.cfg.Routers))
}

// shouldShed reports whether a request is to be refused because the fleet can't serve all, and counts it.
// All routers decide alike: when each shed on its own, clients refused by one router tried the next, and
// all routers saw four times the requests. Capacity that this router's share has left over goes to requests
// under the threshold, the highest worth first, so a wrong or malicious threshold costs no more than their
// order. Drawback: the budget for that fills for a fraction of a second first.
func (b *Balancer) shouldShed(r *request) bool {
	threshold, fillRate := b.line, b.room/b.warmServerShares()/1000
	maxIdle := max(minIdleBudget, fillRate*idleBudgetWindow)
	b.idle.v = min(maxIdle, b.idle.v+fillRate*(b.now-b.idle.at))
	b.idle.at = b.now
	band := BandOf(r.worth / max(b.maxWorth, 1e-9))
	admitted := b.now > threshold.Until || band < threshold.Band ||
		band == threshold.Band && b.bandPosition(r) < threshold.Share
	if admitted = admitted ||
		b.idle.v >= maxIdle*(1-idleReserveShare*b.relativeWorth(r)); admitted {
		b.idle.v = max(-maxIdle, b.idle.v-r.work)
		b.demand.Admitted += r.work
	} else if !r.Retry {
		b.demand.Shed[band] += r.work
	}
	if !r.Retry { // a client's retry is no additional demand
		b.demand.Arrived[band] += r.work
	}
	return !admitted
}

// retryAfter returns the ms after which a shed request shall be retried: the time at which the rotating
// hash admits it. If that is far off, it is a random time of some seconds, as the threshold may be lifted
// by then.
func (b *Balancer) retryAfter(r *request) float64 {
	limit := maxRetryAfter
	if b.cfg.MaxAfter > 0 {
		limit = min(limit, b.cfg.MaxAfter)
	}
	return min(max(1, (1-b.bandPosition(r))*b.line.RotationPeriod), limit*(0.5+b.rng.Float64()/2))
}

// relativeWorth returns the square root of a request's worth relative to the highest, 0 to 1. The root
// brings classes closer together, whose worths lie far apart.
func (b *Balancer) relativeWorth(r *request) float64 {
	return math.Sqrt(r.worth / max(b.maxWorth, 1e-9))
}
