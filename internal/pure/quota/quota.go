// Package quota settles how much of what all routers share each of them may use, by what each needs: parts that the view of the fleet gives
// out equally are lent, for a second at a time, from routers that need little to such as need much. It does no input or output and has no
// clock.
//
// Invariant: whoever lends does not use what it has lent until the loan has ended by its own clock, and whoever borrows counts the loan's time
// from when it asked, which was earlier. So whatever is lost, late, doubled or out of order, the sum over all routers of what they may use
// is at most that of the parts that the view gives them. Design and options compared: docs/design/quota.md.
package quota

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// Times in ms. Term is how long a loan lasts, for the view too: what a router had is not another's before its loans have ended.
const (
	LeaseTerm            = 1000.0
	lesseeTermFactor     = 0.95   // of the term, for the borrower: clocks of two machines do not run quite alike
	shortRequestInterval = 100.0  // while there is too little here
	idleRequestInterval  = 1000.0 // otherwise, and where nobody had anything to lend: so the others hear how much work there is here
	renewalAge           = 400.0  // age of a loan at which it is asked for again
	rateReportTTL        = 10e3   // for which another's word of its work counts
)

// Bounds.
const (
	MaxResources        = 4
	maxLessors          = 64  // of one good, at once
	maxLeases           = 512 // that are out, of all goods
	maxLeasesPerLessee  = 6   // of one good to one borrower, those that it has asked for anew since among them
	newLessorsWhenShort = 4   // asked in a round beside those that lend already, where there is too little here
	newLessorsWhenIdle  = 2   // otherwise
	maxRateReports      = 512 // routers whose work is known, of one good
)

// Parts.
const (
	unleasableFraction = 0.25 // of the own part that is never lent: work may come at any moment
	minLeaseFraction   = 0.02 // of the own part, below which lending is not worth a message
	satisfiedFraction  = 0.95 // of what is due: no more is asked for then
	surplusFactor      = 1.25 // times what is due: loans are not asked for anew
	renewedFraction    = 0.7  // of a loan is lent again at least, while it is asked for: each lender's mean is another
	baseRate           = 1.0  // a second, added to the work of each: where next to none has any, all are due alike
	surgeFactor        = 1.3  // times more work than when it last asked in vain: it asks at once
)

// Peer is a process of another router.
type Peer struct {
	Name  string
	Start uint64
}

// Host carries out what a Machine wants.
type Host interface {
	Send(to Peer, m []byte) // at most MaxMessage bytes, which may be lost, late, doubled or out of order
}

// BaseShare is what the view gives this router: a share of each good until a time, and another from there on.
type BaseShare struct{ Share, Until, After float64 }

// sentAt is the share at a time.
func (o BaseShare) shareAt(now float64) float64 {
	if now > o.Until {
		return o.After
	}
	return o.Share
}

// Machine is one router's. Times are in ms on a clock that never runs backwards.
type Machine struct {
	host       Host
	rng        *rand.Rand
	now        float64
	base       BaseShare
	peers      []Peer
	seq        uint32
	resources  []resource
	leaseCount int // that are out
}

// resource is what is known of one common good.
type resource struct {
	rate            float64 // of work that needs it here
	leasedOut       map[Peer][]lease
	leasedIn        map[Peer]lease          // borrowed, the latest of each
	pending         map[Peer]pendingRequest // the last question to each that may still be answered
	nextRequestAt   float64
	fruitlessRounds int     // rounds in a row that brought nothing
	lastRoundRate   float64 // rate at the last round
	peerRates       map[Peer]rateReport
}

// rateReport is what another said of its work.
type rateReport struct{ rate, receivedAt float64 }

type lease struct {
	id     uint32
	amount float64
	start  float64 // when it was asked for
	until  float64
}

type pendingRequest struct {
	id     uint32
	sentAt float64
}

// New is the machine of a router that shares so many goods.
func New(goods int, seed uint64, host Host) (*Machine, error) {
	if goods < 1 || goods > MaxResources {
		return nil, fmt.Errorf("quota: %d goods; 1 to %d are right", goods, MaxResources)
	}
	m := &Machine{host: host, rng: rand.New(rand.NewPCG(seed, 13))}
	m.seq = m.rng.Uint32() >> 1 // it grows for weeks before it is used up
	for range goods {
		m.resources = append(m.resources, resource{leasedOut: map[Peer][]lease{}, leasedIn: map[Peer]lease{}, pending: map[Peer]pendingRequest{}, peerRates: map[Peer]rateReport{}})
	}
	return m, nil
}

// Tick lets time pass: own is what the view gives, rates the work that needs each good here, peers those that may be asked.
func (m *Machine) Tick(now float64, own BaseShare, rates []float64, peers []Peer) {
	m.now, m.base, m.peers = now, own, peers
	for i := range m.resources {
		g := &m.resources[i]
		if i < len(rates) {
			g.rate = baseRate + max(0, rates[i])
		}
		m.expire(g)
		m.requestLeases(i, g)
	}
}

// UpdateShare has another part count at once.
func (m *Machine) UpdateShare(now float64, own BaseShare) { m.now, m.base = max(m.now, now), own }

// expire lets go of loans that have ended, and of questions that nothing comes of any more.
func (m *Machine) expire(g *resource) {
	for p, ls := range g.leasedOut {
		before := len(ls)
		ls = slices.DeleteFunc(ls, func(l lease) bool { return m.now >= l.until })
		m.leaseCount -= before - len(ls)
		if g.leasedOut[p] = ls; len(ls) == 0 {
			delete(g.leasedOut, p)
		}
	}
	for p, l := range g.leasedIn {
		if m.now >= l.until {
			delete(g.leasedIn, p)
		}
	}
	for p, a := range g.pending {
		if m.now-a.sentAt >= LeaseTerm {
			delete(g.pending, p)
		}
	}
	for p, w := range g.peerRates {
		if m.now-w.receivedAt >= rateReportTTL {
			delete(g.peerRates, p)
		}
	}
}

// meanRate is the work of a router in the mean of this one and of those that have said how much theirs is.
func (g *resource) meanRate() float64 {
	sum := g.rate
	for _, w := range g.peerRates {
		sum += w.rate
	}
	return sum / float64(1+len(g.peerRates))
}

// fairShare is the share that work makes of a whole that is divided by work, own being an equal part.
func fairShare(own, rate, mean float64) float64 {
	if mean <= 0 {
		return own
	}
	return own * rate / mean
}

// largestLease is what a borrower may be using of what it was lent: of loans of one lender it uses one.
func largestLease(ls []lease, now float64) (most float64) {
	for _, l := range ls {
		if now < l.until {
			most = max(most, l.amount)
		}
	}
	return most
}

// leasedOutExcept is what is lent of a good, but for one borrower.
func (m *Machine) leasedOutExcept(g *resource, but Peer) (sum float64) {
	for p, ls := range g.leasedOut {
		if p != but || p == (Peer{}) { // what the process before lent is keyed by nobody
			sum += largestLease(ls, m.now)
		}
	}
	return sum
}

// leasedInExcept is what is borrowed of a good, but from one lender.
func (m *Machine) leasedInExcept(g *resource, but Peer) (sum float64) {
	for p, l := range g.leasedIn {
		if p != but && m.now < l.until {
			sum += l.amount
		}
	}
	return sum
}

// UsableShare is the share of a good that this router may use now.
func (m *Machine) UsableShare(now float64, i int) float64 {
	m.now = max(m.now, now)
	g := &m.resources[i]
	return max(0, m.base.shareAt(m.now)-m.leasedOutExcept(g, Peer{})) + m.leasedInExcept(g, Peer{})
}

// Leases are what is out of a good, and what is borrowed of it.
func (m *Machine) Leases(now float64, i int) (lent, borrowed float64) {
	m.now = max(m.now, now)
	return m.leasedOutExcept(&m.resources[i], Peer{}), m.leasedInExcept(&m.resources[i], Peer{})
}

// HandoverState is what a process hands on to the next one of the same router, which the others know by the same start.
type HandoverState struct {
	LeasedOut []float64 `json:"lent"` // of each good
	Seq       uint32    `json:"seq"`  // of the last question
}

// Handover ends the machine's life here.
func (m *Machine) Handover(now float64) (h HandoverState) {
	m.now = max(m.now, now)
	h.Seq = m.seq
	for i := range m.resources {
		h.LeasedOut = append(h.LeasedOut, m.leasedOutExcept(&m.resources[i], Peer{}))
	}
	return h
}

// Resume has this router keep back, for as long as loans last, what the process before it had lent. Its questions come after that one's: a
// number that was used before would be taken for a question that is asked twice, and answered with a loan that has begun long ago.
func (m *Machine) Resume(now float64, h HandoverState) {
	m.now, m.seq = max(m.now, now), h.Seq
	for i := range min(len(h.LeasedOut), len(m.resources)) {
		if lent := h.LeasedOut[i]; lent > 0 && lent <= 1 {
			m.resources[i].leasedOut[Peer{}] = []lease{{amount: lent, start: m.now, until: m.now + LeaseTerm}}
			m.leaseCount++
		}
	}
}

// Expiry is when what Have says of a good ends at the earliest, and Then what is left of it for ever from there on.
func (m *Machine) Expiry(now float64, i int) (until, then float64) {
	m.now = max(m.now, now)
	g := &m.resources[i]
	if until = m.base.Until; m.now > until {
		until = math.Inf(1)
	}
	for _, l := range g.leasedIn {
		if m.now < l.until {
			until = min(until, l.until)
		}
	}
	return until, max(0, min(m.base.shareAt(m.now), m.base.After)-m.leasedOutExcept(g, Peer{}))
}

// requestLeases asks those that lend, once their loans age, and a few others: more and sooner where there is less than is due.
func (m *Machine) requestLeases(i int, g *resource) {
	own := m.base.shareAt(m.now)
	has, is := m.UsableShare(m.now, i), fairShare(own, g.rate, g.meanRate())
	short := has < satisfiedFraction*is
	sudden := g.rate > surgeFactor*g.lastRoundRate
	if m.now < g.nextRequestAt && !sudden || len(m.peers) == 0 || own <= 0 {
		return
	}
	every, fresh := idleRequestInterval, newLessorsWhenIdle
	if g.fruitlessRounds++; short && g.fruitlessRounds <= 5 || sudden {
		every, fresh = shortRequestInterval, newLessorsWhenShort
	}
	if len(g.leasedIn) > 0 {
		every = min(every, (lesseeTermFactor*LeaseTerm-renewalAge)/2) // loans are renewed in time
	}
	g.nextRequestAt, g.lastRoundRate = m.now+every*(0.75+0.5*m.rng.Float64()), g.rate
	for _, p := range m.chooseLessors(g, fresh, has <= surplusFactor*is) {
		m.seq++
		g.pending[p] = pendingRequest{m.seq, m.now}
		have := max(0, own-m.leasedOutExcept(g, Peer{})) + m.leasedInExcept(g, p)
		m.host.Send(p, leaseRequest{resource: uint8(i), id: m.seq, rate: float32(g.rate), available: float32(min(1, have))}.encode())
	}
}

// chooseLessors are those whose loans age, where these are to be kept, and so many others.
func (m *Machine) chooseLessors(g *resource, fresh int, keep bool) (to []Peer) {
	for p, l := range g.leasedIn {
		if keep && m.now-l.start >= renewalAge && slices.Contains(m.peers, p) {
			to = append(to, p)
		}
	}
	slices.SortFunc(to, func(a, b Peer) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start)) })
	room := min(fresh, maxLessors-len(g.leasedIn))
	for range 4 * fresh {
		p := m.peers[m.rng.IntN(len(m.peers))]
		if _, has := g.leasedIn[p]; has || slices.Contains(to, p) {
			continue
		}
		if room--; room < 0 {
			break
		}
		to = append(to, p)
	}
	return to
}

// Receive takes a message of a peer. An error says what is wrong with it; then nothing has changed.
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
		return fmt.Errorf("quota: %s asks for a good that there is not", from.Name)
	}
	return nil
}

// handleRequest answers a question with a loan: of what is more than this router's due, as much as the other lacks to its own. The answer to a question
// that is asked twice is the same.
func (m *Machine) handleRequest(to Peer, q leaseRequest) {
	g := &m.resources[q.resource]
	m.expire(g)
	if _, known := g.peerRates[to]; known || len(g.peerRates) < maxRateReports {
		g.peerRates[to] = rateReport{float64(q.rate), m.now}
	}
	ls := g.leasedOut[to]
	for _, l := range ls {
		if l.id == q.id {
			m.host.Send(to, leaseGrant{resource: q.resource, id: q.id, amount: float32(l.amount)}.encode())
			return
		}
		if int32(q.id-l.id) < 0 {
			return // overtaken by a newer one
		}
	}
	own := m.base.shareAt(m.now)
	if len(ls) >= maxLeasesPerLessee || m.leaseCount >= maxLeases || own <= 0 || m.now+LeaseTerm > m.base.Until && m.base.After < own {
		return // the last: it may not be this router's for so long
	}
	mean := g.meanRate()
	spare := own - max(unleasableFraction*own, fairShare(own, g.rate, mean)) - m.leasedOutExcept(g, to)
	lacks := fairShare(own, float64(q.rate), mean) - float64(q.available)
	y := float64(float32(min(spare, max(lacks, renewedFraction*largestLease(ls, m.now)))))
	if y < minLeaseFraction*own {
		return
	}
	g.leasedOut[to] = append(ls, lease{id: q.id, amount: y, start: m.now, until: m.now + LeaseTerm})
	m.leaseCount++
	m.host.Send(to, leaseGrant{resource: q.resource, id: q.id, amount: float32(y)}.encode())
}

// handleGrant takes a loan that was asked for, in place of the one before of the same lender. An older one, or one that nobody asked for, is none.
func (m *Machine) handleGrant(from Peer, a leaseGrant) {
	g := &m.resources[a.resource]
	asked, ok := g.pending[from]
	if !ok || asked.id != a.id {
		return
	}
	delete(g.pending, from)
	until := asked.sentAt + lesseeTermFactor*LeaseTerm
	if m.now >= until || a.amount <= 0 {
		return
	}
	g.leasedIn[from] = lease{id: a.id, amount: float64(a.amount), start: asked.sentAt, until: until}
	g.fruitlessRounds = 0
}
