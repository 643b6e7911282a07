// Package line settles what the routers of a fleet refuse while all of them together can't serve all: one line of worth, the same at all, from
// what each has been asked for. It does no input or output and has no clock.
//
// Each router keeps a guess of the mean over all routers, by worth and of the room that there is. What changes here changes the guess at once;
// pairs of routers meet in the middle again and again; and each guess leaks towards what is so here, slowly. Neither of the first two
// moves the mean of all guesses from the mean of what is so, but where messages are lost or routers end: that is what the leak mends, so nothing
// has to be counted or to begin anew. Design and options compared: docs/design/line.md.
package line

import (
	"math"
	"math/rand/v2"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// Demand is what has come to a router so far, and Line what follows for it.
type (
	Demand = decide.Demand
	Line   = decide.AdmissionThreshold
)

// Times, in ms.
const (
	quick     = 300.0  // over which what comes is counted as a rate that may have changed,
	slow      = 1500.0 // and as one that has not: what one router's chance adds stands out in its guess until it has met others
	smooth    = 200.0  // over which a guess counts: what came here last stands out in it until two or three meetings later
	leakOver  = 5000.0 // in which a guess would come to what is so here
	meetBusy  = 200.0  // between two meetings begun here, while there may be a line
	meetCalm  = 1000.0 // and otherwise
	waitFor   = 1000.0 // for an answer
	turnOver  = 30e3   // of the hash: for so long at most the same are refused
	lineLasts = 2000.0 // unless told anew: a router that nobody tells any more serves as it did without
	loosenIn  = 1000.0 // from nothing to everything: what tightens counts at once, what loosens comes by steps
)

// Bounds.
const (
	maxWaits = 16   // questions that wait for answers
	maxCost  = 4.0  // attempts that a request is taken to need
	chance   = 2.5  // deviations of a count, beyond which a rate has changed
	mostRoom = 8.0  // times its room that is believed of a router's work of one worth: a liar does no more
	near     = 0.75 // of the room, from which on there may be a line
	sudden   = 1.25 // times more here than at the last meeting: the next one is at once
)

// Peer is a process of another router.
type Peer = quota.Peer

// Host carries out what a Machine wants.
type Host interface {
	Send(to Peer, m []byte) // at most MaxMessage bytes, which may be lost, late, doubled or out of order
}

// vector is work a second by worth, and behind it the room.
type vector [decide.NumBands + 1]float64

// room is where it stands in a vector.
const room = decide.NumBands

// total is the work in it.
func (v *vector) total() (sum float64) {
	for _, x := range v[:room] {
		sum += x
	}
	return sum
}

// Machine is one router's, for one pool. Times are in ms on a clock that never runs backwards.
type Machine struct {
	pool  uint32
	host  Host
	rng   *rand.Rand
	now   float64
	begun bool
	last  Demand // as of lastAt
	at    float64
	cost  float64 // attempts at servers that a request needs
	here  vector
	fresh vector  // what is so here by the last moment alone
	guess vector  // of the mean,
	taken vector  // and that over a moment
	open  float64 // share of all work that is over the line
	met   float64 // total here at the last meeting
	meet  float64 // when the next one is
	seq   uint16
	waits map[uint16]question
	tag   uint32  // whose turn the hash follows: the least of all that were heard of
	turn  float64 // of it, 0 to 1, at turnAt
	turnT float64
}

// question is what was sent, and when.
type question struct {
	sent vector
	to   Peer
	at   float64
}

// New is the machine of a router for a pool, which all routers know by the same number.
func New(pool uint32, seed uint64, host Host) *Machine {
	rng := rand.New(rand.NewPCG(seed, 17))
	return &Machine{pool: pool, host: host, rng: rng, cost: 1, open: 1, waits: map[uint16]question{}, tag: rng.Uint32(), turn: rng.Float64()}
}

// Tick lets time pass: share is the part of the whole that the view gives this router, d what has come so far, peers those that may be met.
func (m *Machine) Tick(now, share float64, d Demand, peers []Peer) {
	m.count(now, share, d)
	for seq, q := range m.waits {
		if now-q.at >= waitFor {
			delete(m.waits, seq)
		}
	}
	m.meetNext(peers)
}

// count brings up to date what is so here, and the guess by as much.
func (m *Machine) count(now, share float64, d Demand) {
	gone := now - m.at
	if !m.begun || gone < 0 {
		m.begun, m.now, m.at, m.last, m.turnT = true, now, now, d, now
		return
	}
	if m.now = now; gone == 0 {
		return
	}
	was := m.here
	if passed, sent := d.Admitted-m.last.Admitted, d.Sent-m.last.Sent; passed > 0 && sent >= 0 {
		// A request or two say little of the mean: as much as they are beside what comes in four of these times.
		w := min(1, passed/(8+4*m.here.total()*slow/1000))
		m.cost += w * (min(maxCost, max(0.5, sent/passed)) - m.cost)
	}
	for i := range d.Arrived {
		came := max(0, d.Arrived[i]-m.last.Arrived[i]) / gone * 1000 * max(1, m.cost)
		m.fresh[i] += (1 - math.Exp(-gone/quick)) * (came - m.fresh[i])
		m.here[i] += (1 - math.Exp(-gone/slow)) * (came - m.here[i])
	}
	// A quick rate deviates by the root of what comes in twice its time.
	if is := m.here.total(); math.Abs(m.fresh.total()-is) > chance*math.Sqrt(max(1, is)/(2*quick/1000)) {
		m.here = m.fresh
	}
	m.here[room] = max(0, d.Capacity*share)
	leak, soon := 1-math.Exp(-gone/leakOver), 1-math.Exp(-gone/smooth)
	for i := range m.guess {
		m.guess[i] = max(0, m.guess[i]+m.here[i]-was[i])
		m.guess[i] += leak * (m.here[i] - m.guess[i])
		m.taken[i] += soon * (m.guess[i] - m.taken[i])
	}
	m.last, m.at = d, now
	m.loosen(gone)
}

// loosen moves the share of all work that is over the line: down at once, up by steps.
func (m *Machine) loosen(gone float64) {
	want := 1.0
	if all, r := m.taken.total(), m.taken[room]; r > 0 && all > r {
		want = r / all
	}
	m.open = min(want, m.open+gone/loosenIn)
}

// busy says whether there may be a line soon.
func (m *Machine) busy() bool {
	r := m.guess[room]
	return m.open < 1 || r > 0 && max(m.guess.total(), m.here.total()) > near*r
}

// meetNext begins a meeting with a peer that is drawn, when it is time.
func (m *Machine) meetNext(peers []Peer) {
	all := m.here.total()
	rush := all > sudden*m.met+1 && m.busy()
	if m.now < m.meet && !rush || len(peers) == 0 || len(m.waits) >= maxWaits {
		return
	}
	every := meetCalm
	if m.busy() {
		every = meetBusy
	}
	m.meet, m.met = m.now+every*(0.75+0.5*m.rng.Float64()), all
	to := peers[m.rng.IntN(len(peers))]
	m.seq++
	m.waits[m.seq] = question{sent: m.guess, to: to, at: m.now}
	m.host.Send(to, m.message(kindQuestion, m.seq).encode())
}

func (m *Machine) message(kind byte, seq uint16) message {
	return message{kind: kind, pool: m.pool, seq: seq, tag: m.tag, turn: m.turned(), values: m.guess}
}

// turned is where the hash stands now.
func (m *Machine) turned() float64 {
	t := m.turn + (m.now-m.turnT)/turnOver
	return t - math.Floor(t)
}

// Receive takes a message of a peer. An error says what is wrong with it; then nothing has changed.
func (m *Machine) Receive(now float64, from Peer, b []byte) error {
	q, err := decode(b)
	if err != nil {
		return err
	}
	if q.pool != m.pool {
		return errPool
	}
	m.now = max(m.now, now)
	m.follow(q)
	for i := range q.values[:room] {
		q.values[i] = min(q.values[i], mostRoom*max(m.guess[room], m.here[room]))
	}
	if q.kind == kindQuestion {
		m.host.Send(from, m.message(kindAnswer, q.seq).encode())
		m.toMiddle(m.guess, q.values)
		return nil
	}
	asked, ok := m.waits[q.seq]
	if !ok || asked.to != from {
		return nil // late, doubled, or never asked
	}
	delete(m.waits, q.seq)
	m.toMiddle(asked.sent, q.values)
	return nil
}

// toMiddle moves the guess by half of the way between what two routers had when they met: the one by as much up as the other down.
func (m *Machine) toMiddle(mine, theirs vector) {
	for i := range m.guess {
		m.guess[i] = max(0, m.guess[i]+(theirs[i]-mine[i])/2)
	}
}

// follow takes the turn of the router with the least tag that was heard of, so that all have the same.
func (m *Machine) follow(q *message) {
	if q.tag < m.tag || q.tag == m.tag && q.seq%16 == 0 { // clocks do not run quite alike
		m.tag, m.turn, m.turnT = q.tag, q.turn, m.now
	}
}

// Line is the line that holds now; its end is a time of the machine's clock.
func (m *Machine) Line(now float64) Line {
	m.now = max(m.now, now)
	if m.open >= 1 {
		return decide.AdmitAll
	}
	left := m.open * m.taken.total()
	for i, work := range m.taken[:room] {
		if work > left {
			return Line{Band: i, Share: left / work, Rotation: m.turned(), RotationPeriod: turnOver, Until: m.now + lineLasts}
		}
		left -= work
	}
	return decide.AdmitAll
}

// Figures are what is known of the whole, as means over the routers: work a second and what they may send on, and the share of the work that is over the line.
type Figures struct{ Here, Mean, Room, Open, Cost float64 }

// Figures are those of now.
func (m *Machine) Figures() Figures {
	return Figures{Here: m.here.total(), Mean: m.taken.total(), Room: m.taken[room], Open: m.open, Cost: m.cost}
}
