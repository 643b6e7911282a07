// Package admission settles what the routers of a fleet refuse while all of them together can't serve all: one line of worth, the same at all, from
// what each has been asked for. It does no input or output and has no clock.
//
// Each router keeps a guess of the mean over all routers, by worth and of the room that there is. What changes here changes the guess at once;
// pairs of routers meet in the middle again and again; and each guess leaks towards what is so here, slowly. Neither of the first two
// moves the mean of all guesses from the mean of what is so, but where messages are lost or routers end: that is what the leak mends, so nothing
// has to be counted or to begin anew. Design and options compared: docs/design/line.md.
package admission

import (
	"math"
	"math/rand/v2"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// Demand is what has come to a router so far, and Line what follows for it.
type (
	Demand    = decide.Demand
	Threshold = decide.Line
)

// Times, in ms.
const (
	fastRateWindow       = 300.0  // over which what comes is counted as a rate that may have changed,
	slowRateWindow       = 1500.0 // and as one that has not: what one router's chance adds stands out in its guess until it has met others
	smoothingWindow      = 200.0  // over which a guess counts: what came here last stands out in it until two or three meetings later
	decayTime            = 5000.0 // in which a guess would come to what is so here
	busyExchangeInterval = 200.0  // between two meetings begun here, while there may be a line
	calmExchangeInterval = 1000.0 // and otherwise
	replyTimeout         = 1000.0 // for an answer
	hashRotationPeriod   = 30e3   // of the hash: for so long at most the same are refused
	thresholdTTL         = 2000.0 // unless told anew: a router that nobody tells any more serves as it did without
	fullRelaxTime        = 1000.0 // from nothing to everything: what tightens counts at once, what loosens comes by steps
)

// Bounds.
const (
	maxPendingExchanges   = 16   // questions that wait for answers
	maxAttemptsPerRequest = 4.0  // attempts that a request is taken to need
	rateChangeDeviations  = 2.5  // deviations of a count, beyond which a rate has changed
	maxRateToCapacity     = 8.0  // times its room that is believed of a router's work of one worth: a liar does no more
	busyFraction          = 0.75 // of the room, from which on there may be a line
	surgeFactor           = 1.25 // times more here than at the last meeting: the next one is at once
)

// Peer is a process of another router.
type Peer = quota.Peer

// Host carries out what a Machine wants.
type Host interface {
	Send(to Peer, m []byte) // at most MaxMessage bytes, which may be lost, late, doubled or out of order
}

// loadVector is work a second by worth, and behind it the room.
type loadVector [decide.Bands + 1]float64

// capacityIndex is where it stands in a vector.
const capacityIndex = decide.Bands

// totalRate is the work in it.
func (v *loadVector) totalRate() (sum float64) {
	for _, x := range v[:capacityIndex] {
		sum += x
	}
	return sum
}

// Machine is one router's, for one pool. Times are in ms on a clock that never runs backwards.
type Machine struct {
	pool               uint32
	host               Host
	rng                *rand.Rand
	now                float64
	started            bool
	lastDemand         Demand // as of lastAt
	lastDemandAt       float64
	attemptsPerRequest float64 // attempts at servers that a request needs
	local              loadVector
	fastLocal          loadVector // what is so here by the last moment alone
	estimate           loadVector // of the mean,
	smoothed           loadVector // and that over a moment
	admittedShare      float64    // share of all work that is over the line
	lastExchangeRate   float64    // total here at the last meeting
	nextExchangeAt     float64    // when the next one is
	seq                uint16
	pending            map[uint16]pendingExchange
	rotationTag        uint32  // whose turn the hash follows: the least of all that were heard of
	rotation           float64 // of it, 0 to 1, at turnAt
	rotationAt         float64
}

// pendingExchange is what was sent, and when.
type pendingExchange struct {
	sent   loadVector
	to     Peer
	sentAt float64
}

// New is the machine of a router for a pool, which all routers know by the same number.
func New(pool uint32, seed uint64, host Host) *Machine {
	rng := rand.New(rand.NewPCG(seed, 17))
	return &Machine{pool: pool, host: host, rng: rng, attemptsPerRequest: 1, admittedShare: 1, pending: map[uint16]pendingExchange{}, rotationTag: rng.Uint32(), rotation: rng.Float64()}
}

// Tick lets time pass: share is the part of the whole that the view gives this router, d what has come so far, peers those that may be met.
func (m *Machine) Tick(now, share float64, d Demand, peers []Peer) {
	m.updateLocal(now, share, d)
	for seq, q := range m.pending {
		if now-q.sentAt >= replyTimeout {
			delete(m.pending, seq)
		}
	}
	m.startExchange(peers)
}

// updateLocal brings up to date what is so here, and the guess by as much.
func (m *Machine) updateLocal(now, share float64, d Demand) {
	gone := now - m.lastDemandAt
	if !m.started || gone < 0 {
		m.started, m.now, m.lastDemandAt, m.lastDemand, m.rotationAt = true, now, now, d, now
		return
	}
	if m.now = now; gone == 0 {
		return
	}
	was := m.local
	if passed, sent := d.Passed-m.lastDemand.Passed, d.Sent-m.lastDemand.Sent; passed > 0 && sent >= 0 {
		// A request or two say little of the mean: as much as they are beside what comes in four of these times.
		w := min(1, passed/(8+4*m.local.totalRate()*slowRateWindow/1000))
		m.attemptsPerRequest += w * (min(maxAttemptsPerRequest, max(0.5, sent/passed)) - m.attemptsPerRequest)
	}
	for i := range d.Work {
		came := max(0, d.Work[i]-m.lastDemand.Work[i]) / gone * 1000 * max(1, m.attemptsPerRequest)
		m.fastLocal[i] += (1 - math.Exp(-gone/fastRateWindow)) * (came - m.fastLocal[i])
		m.local[i] += (1 - math.Exp(-gone/slowRateWindow)) * (came - m.local[i])
	}
	// A quick rate deviates by the root of what comes in twice its time.
	if is := m.local.totalRate(); math.Abs(m.fastLocal.totalRate()-is) > rateChangeDeviations*math.Sqrt(max(1, is)/(2*fastRateWindow/1000)) {
		m.local = m.fastLocal
	}
	m.local[capacityIndex] = max(0, d.Room*share)
	leak, soon := 1-math.Exp(-gone/decayTime), 1-math.Exp(-gone/smoothingWindow)
	for i := range m.estimate {
		m.estimate[i] = max(0, m.estimate[i]+m.local[i]-was[i])
		m.estimate[i] += leak * (m.local[i] - m.estimate[i])
		m.smoothed[i] += soon * (m.estimate[i] - m.smoothed[i])
	}
	m.lastDemand, m.lastDemandAt = d, now
	m.updateAdmittedShare(gone)
}

// updateAdmittedShare moves the share of all work that is over the line: down at once, up by steps.
func (m *Machine) updateAdmittedShare(gone float64) {
	want := 1.0
	if all, r := m.smoothed.totalRate(), m.smoothed[capacityIndex]; r > 0 && all > r {
		want = r / all
	}
	m.admittedShare = min(want, m.admittedShare+gone/fullRelaxTime)
}

// nearOverload says whether there may be a line soon.
func (m *Machine) nearOverload() bool {
	r := m.estimate[capacityIndex]
	return m.admittedShare < 1 || r > 0 && max(m.estimate.totalRate(), m.local.totalRate()) > busyFraction*r
}

// startExchange begins a meeting with a peer that is drawn, when it is time.
func (m *Machine) startExchange(peers []Peer) {
	all := m.local.totalRate()
	rush := all > surgeFactor*m.lastExchangeRate+1 && m.nearOverload()
	if m.now < m.nextExchangeAt && !rush || len(peers) == 0 || len(m.pending) >= maxPendingExchanges {
		return
	}
	every := calmExchangeInterval
	if m.nearOverload() {
		every = busyExchangeInterval
	}
	m.nextExchangeAt, m.lastExchangeRate = m.now+every*(0.75+0.5*m.rng.Float64()), all
	to := peers[m.rng.IntN(len(peers))]
	m.seq++
	m.pending[m.seq] = pendingExchange{sent: m.estimate, to: to, sentAt: m.now}
	m.host.Send(to, m.newMessage(kindRequest, m.seq).encode())
}

func (m *Machine) newMessage(kind byte, seq uint16) message {
	return message{kind: kind, pool: m.pool, seq: seq, rotationTag: m.rotationTag, rotation: m.currentRotation(), values: m.estimate}
}

// currentRotation is where the hash stands now.
func (m *Machine) currentRotation() float64 {
	t := m.rotation + (m.now-m.rotationAt)/hashRotationPeriod
	return t - math.Floor(t)
}

// Receive takes a message of a peer. An error says what is wrong with it; then nothing has changed.
func (m *Machine) Receive(now float64, from Peer, b []byte) error {
	q, err := decode(b)
	if err != nil {
		return err
	}
	if q.pool != m.pool {
		return errWrongPool
	}
	m.now = max(m.now, now)
	m.adoptRotation(q)
	for i := range q.values[:capacityIndex] {
		q.values[i] = min(q.values[i], maxRateToCapacity*max(m.estimate[capacityIndex], m.local[capacityIndex]))
	}
	if q.kind == kindRequest {
		m.host.Send(from, m.newMessage(kindReply, q.seq).encode())
		m.averagePairwise(m.estimate, q.values)
		return nil
	}
	asked, ok := m.pending[q.seq]
	if !ok || asked.to != from {
		return nil // late, doubled, or never asked
	}
	delete(m.pending, q.seq)
	m.averagePairwise(asked.sent, q.values)
	return nil
}

// averagePairwise moves the guess by half of the way between what two routers had when they met: the one by as much up as the other down.
func (m *Machine) averagePairwise(mine, theirs loadVector) {
	for i := range m.estimate {
		m.estimate[i] = max(0, m.estimate[i]+(theirs[i]-mine[i])/2)
	}
}

// adoptRotation takes the turn of the router with the least tag that was heard of, so that all have the same.
func (m *Machine) adoptRotation(q *message) {
	if q.rotationTag < m.rotationTag || q.rotationTag == m.rotationTag && q.seq%16 == 0 { // clocks do not run quite alike
		m.rotationTag, m.rotation, m.rotationAt = q.rotationTag, q.rotation, m.now
	}
}

// Threshold is the line that holds now; its end is a time of the machine's clock.
func (m *Machine) Threshold(now float64) Threshold {
	m.now = max(m.now, now)
	if m.admittedShare >= 1 {
		return decide.NoLine
	}
	left := m.admittedShare * m.smoothed.totalRate()
	for i, work := range m.smoothed[:capacityIndex] {
		if work > left {
			return Threshold{Band: i, Share: left / work, Turn: m.currentRotation(), Pace: hashRotationPeriod, Until: m.now + thresholdTTL}
		}
		left -= work
	}
	return decide.NoLine
}

// Stats are what is known of the whole, as means over the routers: work a second and what they may send on, and the share of the work that is over the line.
type Stats struct{ LocalRate, MeanRate, MeanCapacity, AdmittedShare, AttemptsPerRequest float64 }

// Stats are those of now.
func (m *Machine) Stats() Stats {
	return Stats{LocalRate: m.local.totalRate(), MeanRate: m.smoothed.totalRate(), MeanCapacity: m.smoothed[capacityIndex], AdmittedShare: m.admittedShare, AttemptsPerRequest: m.attemptsPerRequest}
}
