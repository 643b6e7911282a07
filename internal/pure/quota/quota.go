// Package quota divides resources shared by all routers according to need. The membership view gives every
// router an equal share; routers with little work lease part of theirs, for one second at a time, to
// routers with much work. The package performs no I/O and has no clock.
//
// Invariant: a lessor does not use what it has leased out until the lease has expired by its own clock, and
// a lessee counts the term from when it sent the request, which is earlier. So even if messages are lost,
// late, duplicated or reordered, the sum of the usable shares of all routers never exceeds the sum of the
// shares that the view gives them. Design and options compared: docs/design/quota.md.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Times in ms. LeaseTerm is the duration of a lease. The membership view waits for it too: the share of a
// departed router is given to others only after its leases have expired.
const (
	LeaseTerm = 1000.0
	// Fraction of the term that a lessee uses, as the clocks of two machines drift.
	lesseeTermFactor     = 0.95
	shortRequestInterval = 100.0 // between request rounds while the usable share is too small
	// Otherwise, and after five rounds in a row in which no lease was granted. The requests also tell peers
	// the local rate.
	idleRequestInterval = 1000.0
	renewalAge          = 400.0 // age at which a lease is renewed
	rateReportTTL       = 10e3  // for which a peer's reported rate is used
)

// Limits.
const (
	MaxResources        = 4
	maxLessors          = 64  // per resource, at the same time
	maxLeases           = 512 // leased out, over all resources
	maxLeasesPerLessee  = 6   // per resource; includes leases that were renewed and have not expired yet
	newLessorsWhenShort = 4   // new lessors asked per round while the usable share is too small
	newLessorsWhenIdle  = 2   // new lessors asked per round otherwise
	maxRateReports      = 512 // peers with a known rate, per resource
)

// Fractions and factors of shares and rates.
const (
	unleasableFraction = 0.25 // of the own share, never leased out as local work may arrive at any moment
	minLeaseFraction   = 0.02 // of the own share; smaller leases are not worth a message
	satisfiedFraction  = 0.95 // of the fair share; a router that has this much is not short
	surplusFactor      = 1.25 // of the fair share; a router with more does not renew its leases
	// Of a lease that is granted again on renewal at least, as lessors differ in their mean rate.
	renewedFraction = 0.7
	// Per second, added to each router's rate; with hardly any work all fair shares are equal.
	baseRate    = 1.0
	surgeFactor = 1.3 // growth of the rate since the last round that triggers a round at once
)

// Peer identifies a process of another router.
type Peer struct {
	Name  string
	Start uint64
}

// Host sends messages on behalf of a Machine.
type Host interface {
	// Send sends m, of at most MaxMessage bytes, which may be lost, delayed, duplicated or reordered.
	Send(to Peer, m []byte)
}

// BaseShare is what the membership view gives this router of each resource: Share until the time Until, and
// After from then on.
type BaseShare struct{ Share, Until, After float64 }

// shareAt returns the share at the given time.
func (o BaseShare) shareAt(now float64) float64 {
	if now > o.Until {
		return o.After
	}
	return o.Share
}

// Machine is the state machine of one router. Times are in ms on a monotonic clock.
type Machine struct {
	host       Host
	rng        *rand.Rand
	now        float64
	base       BaseShare
	peers      []Peer
	seq        uint32
	resources  []resource
	leaseCount int // leases granted and not expired, over all resources
}

// resource is the state of one shared resource.
type resource struct {
	rate            float64 // local work that needs the resource, per second
	leasedOut       map[Peer][]lease
	leasedIn        map[Peer]lease          // latest lease by lessor
	pending         map[Peer]pendingRequest // last request to each lessor that can still be answered
	nextRequestAt   float64
	fruitlessRounds int     // consecutive rounds without a new lease
	lastRoundRate   float64 // rate at the last round
	peerRates       map[Peer]rateReport
}

// rateReport is the rate of work that a peer has reported.
type rateReport struct{ rate, receivedAt float64 }

type lease struct {
	id     uint32
	amount float64
	start  float64 // when it was requested (lessee) or granted (lessor)
	until  float64
}

type pendingRequest struct {
	id     uint32
	sentAt float64
}

// New returns the Machine of a router that shares the given number of resources, or an error if that is not
// within 1 to MaxResources.
func New(resources int, seed uint64, host Host) (*Machine, error) {
	if resources < 1 || resources > MaxResources {
		return nil, fmt.Errorf("quota: %d resources, want 1 to %d", resources, MaxResources)
	}
	m := &Machine{host: host, rng: rand.New(rand.NewPCG(seed, 13))}
	m.seq = m.rng.Uint32() >> 1 // half of the range is left, which lasts for weeks
	for range resources {
		m.resources = append(m.resources, resource{leasedOut: map[Peer][]lease{}, leasedIn: map[Peer]lease{}, pending: map[Peer]pendingRequest{}, peerRates: map[Peer]rateReport{}})
	}
	return m, nil
}

// Tick advances the time. own is what the view gives this router, rates is the local work per second by
// resource, and peers are the routers that may be asked for leases.
func (m *Machine) Tick(now float64, own BaseShare, rates []float64, peers []Peer) {
	m.now, m.base, m.peers = now, own, peers
	for i := range m.resources {
		res := &m.resources[i]
		if i < len(rates) {
			res.rate = baseRate + max(0, rates[i])
		}
		m.expire(res)
		m.requestLeases(i, res)
	}
}

// UpdateShare applies a new base share immediately.
func (m *Machine) UpdateShare(now float64, own BaseShare) { m.now, m.base = max(m.now, now), own }

// expire removes expired leases, rate reports and requests.
func (m *Machine) expire(res *resource) {
	for p, leases := range res.leasedOut {
		before := len(leases)
		leases = slices.DeleteFunc(leases, func(l lease) bool { return m.now >= l.until })
		m.leaseCount -= before - len(leases)
		if res.leasedOut[p] = leases; len(leases) == 0 {
			delete(res.leasedOut, p)
		}
	}
	for p, l := range res.leasedIn {
		if m.now >= l.until {
			delete(res.leasedIn, p)
		}
	}
	for p, a := range res.pending {
		if m.now-a.sentAt >= LeaseTerm {
			delete(res.pending, p)
		}
	}
	for p, report := range res.peerRates {
		if m.now-report.receivedAt >= rateReportTTL {
			delete(res.peerRates, p)
		}
	}
}

// meanRate returns the mean rate of this router and of all peers with a known rate.
func (res *resource) meanRate() float64 {
	sum := res.rate
	for _, report := range res.peerRates {
		sum += report.rate
	}
	return sum / float64(1+len(res.peerRates))
}

// fairShare returns the share of a router when the whole is divided in proportion to the rates; equalShare
// is an equal part of it.
func fairShare(equalShare, rate, mean float64) float64 {
	if mean <= 0 {
		return equalShare
	}
	return equalShare * rate / mean
}

// largestLease returns the most that a lessee may be using: it uses only one of the leases of a lessor at a
// time.
func largestLease(leases []lease, now float64) (largest float64) {
	for _, l := range leases {
		if now < l.until {
			largest = max(largest, l.amount)
		}
	}
	return largest
}

// leasedOutExcept returns the share leased out to all lessees but one.
func (m *Machine) leasedOutExcept(res *resource, except Peer) (sum float64) {
	for p, leases := range res.leasedOut {
		if p != except || p == (Peer{}) { // leases of the previous process have the zero Peer as key
			sum += largestLease(leases, m.now)
		}
	}
	return sum
}

// leasedInExcept returns the share leased from all lessors but one.
func (m *Machine) leasedInExcept(res *resource, except Peer) (sum float64) {
	for p, l := range res.leasedIn {
		if p != except && m.now < l.until {
			sum += l.amount
		}
	}
	return sum
}

// UsableShare returns the share of resource i that this router may use now.
func (m *Machine) UsableShare(now float64, i int) float64 {
	m.now = max(m.now, now)
	res := &m.resources[i]
	return max(0, m.base.shareAt(m.now)-m.leasedOutExcept(res, Peer{})) + m.leasedInExcept(res, Peer{})
}

// Leases returns the shares of resource i that are leased out and leased in.
func (m *Machine) Leases(now float64, i int) (leasedOut, leasedIn float64) {
	m.now = max(m.now, now)
	return m.leasedOutExcept(&m.resources[i], Peer{}), m.leasedInExcept(&m.resources[i], Peer{})
}

// HandoverState is what a process hands over to its successor, which peers see as the same process of the
// router.
type HandoverState struct {
	LeasedOut []float64 `json:"lent"` // by resource
	Seq       uint32    `json:"seq"`  // of the last request
}

// Handover returns the state for the successor. The Machine must not be used afterwards.
func (m *Machine) Handover(now float64) (h HandoverState) {
	m.now = max(m.now, now)
	h.Seq = m.seq
	for i := range m.resources {
		h.LeasedOut = append(h.LeasedOut, m.leasedOutExcept(&m.resources[i], Peer{}))
	}
	return h
}

// Resume takes over the state of the previous process: what that had leased out stays reserved for a full
// lease term, and request numbers continue after its last. Lessors would take a reused number for a
// duplicate of an old request and answer it with a lease that began long ago.
func (m *Machine) Resume(now float64, h HandoverState) {
	m.now, m.seq = max(m.now, now), h.Seq
	for i := range min(len(h.LeasedOut), len(m.resources)) {
		if leasedOut := h.LeasedOut[i]; leasedOut > 0 && leasedOut <= 1 {
			m.resources[i].leasedOut[Peer{}] = []lease{{amount: leasedOut, start: m.now, until: m.now + LeaseTerm}}
			m.leaseCount++
		}
	}
}

// Expiry returns the earliest time at which the value of UsableShare can change (+Inf if never), and the
// share that is certain to remain after that.
func (m *Machine) Expiry(now float64, i int) (until, after float64) {
	m.now = max(m.now, now)
	res := &m.resources[i]
	if until = m.base.Until; m.now > until {
		until = math.Inf(1)
	}
	for _, l := range res.leasedIn {
		if m.now < l.until {
			until = min(until, l.until)
		}
	}
	return until, max(0, min(m.base.shareAt(m.now), m.base.After)-m.leasedOutExcept(res, Peer{}))
}

// requestLeases asks lessors whose leases are due for renewal and a few other peers for leases. It asks
// more peers, and more often, while the usable share is below the fair share, unless five rounds in a row
// brought no lease.
func (m *Machine) requestLeases(i int, res *resource) {
	base := m.base.shareAt(m.now)
	usable, fair := m.UsableShare(m.now, i), fairShare(base, res.rate, res.meanRate())
	short := usable < satisfiedFraction*fair
	surged := res.rate > surgeFactor*res.lastRoundRate
	if m.now < res.nextRequestAt && !surged || len(m.peers) == 0 || base <= 0 {
		return
	}
	interval, maxNew := idleRequestInterval, newLessorsWhenIdle
	if res.fruitlessRounds++; short && res.fruitlessRounds <= 5 || surged {
		interval, maxNew = shortRequestInterval, newLessorsWhenShort
	}
	if len(res.leasedIn) > 0 {
		// So that leases are renewed before they expire.
		interval = min(interval, (lesseeTermFactor*LeaseTerm-renewalAge)/2)
	}
	res.nextRequestAt, res.lastRoundRate = m.now+interval*(0.75+0.5*m.rng.Float64()), res.rate
	for _, p := range m.chooseLessors(res, maxNew, usable <= surplusFactor*fair) {
		m.seq++
		res.pending[p] = pendingRequest{m.seq, m.now}
		have := max(0, base-m.leasedOutExcept(res, Peer{})) + m.leasedInExcept(res, p)
		m.host.Send(p, leaseRequest{resource: uint8(i), id: m.seq, rate: float32(res.rate), available: float32(min(1, have))}.encode())
	}
}

// chooseLessors returns the lessors whose leases are due for renewal, unless keep is false, and up to
// maxNew random other peers.
func (m *Machine) chooseLessors(res *resource, maxNew int, keep bool) (lessors []Peer) {
	for p, l := range res.leasedIn {
		if keep && m.now-l.start >= renewalAge && slices.Contains(m.peers, p) {
			lessors = append(lessors, p)
		}
	}
	slices.SortFunc(lessors, func(a, b Peer) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start)) })
	remaining := min(maxNew, maxLessors-len(res.leasedIn))
	for range 4 * maxNew {
		p := m.peers[m.rng.IntN(len(m.peers))]
		if _, has := res.leasedIn[p]; has || slices.Contains(lessors, p) {
			continue
		}
		if remaining--; remaining < 0 {
			break
		}
		lessors = append(lessors, p)
	}
	return lessors
}

// Receive processes a message from a peer. If it returns an error, no lease or request has changed.
func (m *Machine) Receive(now float64, from Peer, b []byte) error {
	m.now = max(m.now, now)
	q, a, err := decode(b)
	switch {
	case err != nil:
		return err
	case q != nil && int(q.resource) < len(m.resources):
		m.handleRequest(from, *q)
	case a != nil && int(a.resource) < len(m.resources):
		m.handleGrant(from, *a)
	default:
		return fmt.Errorf("quota: message from %s names an unknown resource", from.Name)
	}
	return nil
}

// handleRequest grants a lease from what exceeds this router's fair share, at most what the lessee lacks to
// its own. A duplicate request gets the same answer again.
func (m *Machine) handleRequest(to Peer, q leaseRequest) {
	res := &m.resources[q.resource]
	m.expire(res)
	if _, known := res.peerRates[to]; known || len(res.peerRates) < maxRateReports {
		res.peerRates[to] = rateReport{float64(q.rate), m.now}
	}
	leases := res.leasedOut[to]
	for _, l := range leases {
		if l.id == q.id {
			m.host.Send(to, leaseGrant{resource: q.resource, id: q.id, amount: float32(l.amount)}.encode())
			return
		}
		if int32(q.id-l.id) < 0 {
			return // older than a request already answered
		}
	}
	base := m.base.shareAt(m.now)
	if len(leases) >= maxLeasesPerLessee || m.leaseCount >= maxLeases || base <= 0 || m.now+LeaseTerm > m.base.Until && m.base.After < base {
		return // no capacity for another lease, or the own share may shrink before the lease expires
	}
	mean := res.meanRate()
	surplus := base - max(unleasableFraction*base, fairShare(base, res.rate, mean)) - m.leasedOutExcept(res, to)
	deficit := fairShare(base, float64(q.rate), mean) - float64(q.available)
	amount := float64(float32(min(surplus, max(deficit, renewedFraction*largestLease(leases, m.now)))))
	if amount < minLeaseFraction*base {
		return
	}
	res.leasedOut[to] = append(leases, lease{id: q.id, amount: amount, start: m.now, until: m.now + LeaseTerm})
	m.leaseCount++
	m.host.Send(to, leaseGrant{resource: q.resource, id: q.id, amount: float32(amount)}.encode())
}

// handleGrant stores a lease in place of the previous one from the same lessor. Grants that do not match
// the pending request are ignored.
func (m *Machine) handleGrant(from Peer, a leaseGrant) {
	res := &m.resources[a.resource]
	request, ok := res.pending[from]
	if !ok || request.id != a.id {
		return
	}
	delete(res.pending, from)
	until := request.sentAt + lesseeTermFactor*LeaseTerm
	if m.now >= until || a.amount <= 0 {
		return
	}
	res.leasedIn[from] = lease{id: a.id, amount: float64(a.amount), start: request.sentAt, until: until}
	res.fruitlessRounds = 0
}
