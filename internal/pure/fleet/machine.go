package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Times, in milliseconds. Those of a probe are multiplied by 1 + the router's doubt in itself.
const (
	probeIntervalMS       = 200.0 // between two probes
	pingTimeoutMS         = 120.0 // for the answer to a ping, before others are asked
	probeTimeoutMS        = 480.0 // for any answer to a probe
	indirectPingTimeoutMS = 250.0 // for which a helper waits for the answer to the ping that it sends for another
	maxSuspicionMS        = 3000.0
	minSuspicionMS        = 1200.0 // of a suspicion that enough others share
	extensionHoldMS       = 30e3   // for which a router asks for more patience, from the last accusation on, and doubled each time it is accused soon again
	maxExtensionHoldMS    = 960e3
	gossipIntervalMS      = 50.0   // between two rounds of fresh news
	reconnectIntervalMS   = 500.0  // between two questions to members that are silent or gone, and to addresses to join by
	minPingIntervalMS     = 400.0  // between two questions to one member
	pushPullIntervalMS    = 300.0  // between two exchanges of whole views
	minPauseMS            = 1000.0 // a gap between ticks of that length means that this process did not run
)

// Numbers.
const (
	indirectPingers        = 3  // that are asked to ping a member
	gossipFanout           = 3  // members that fresh news go to in a round
	suspicionConfirmations = 3  // further accusers who shorten a suspicion to its least
	maxHealthScore         = 8  // in oneself
	maxPingsPerTick        = 16 // questions that may go out in a tick, beside probes
	maxPendingProbes       = 16 // probes whose end is awaited
	maxIndirectPings       = 64 // pings for others
)

// Config is what a router is told of itself and of the way into the fleet.
type Config struct {
	Name, Site      string
	Addr            Addr // by which the others reach it
	Start           uint64
	Join            []Addr
	ExpectedRouters int // routers that there are where none has been met, itself among them
	Streams         bool
	LeaseMS         float64 // ms for which a part may be lent: for as long nobody has the part of one that is gone, and one that joins waits; 0 = none is
	PlainSWIM       bool    // SWIM without Lifeguard's measures: a baseline for tests and measurements
	Seed            uint64
}

// Host carries out what a Machine wants. It may not call the Machine back before the method that it is in returns.
type Host interface {
	Send(to Addr, m []byte) // a datagram
	StreamPing(to Addr, m []byte)
	PushPull(to Addr)       // exchanges Sums by a stream, and Pages of the buckets in which both differ: what comes to Receive
	MemberChanged(c Change) // of the view
	DeliverPayload(from Record, b []byte)
}

// Machine is one router's view of the fleet. Its methods take the time in milliseconds on a clock that never runs backwards; Tick wants
// to be called every 50 ms.
type Machine struct {
	cfg       Config
	host      Host
	rng       *rand.Rand
	now       float64
	lastTick  float64 // tick before; 0 = none
	startedAt float64

	self          Record
	members       map[string]*member // all that are known, but this one
	probeOrder    []*member          // those that are present, in the order of probes
	nextProbe     int                // in order
	departed      []string           // names of those that are gone or have left, the oldest first
	stateCounts   [numStates]int     // of members, by state
	viewDigest    uint64
	bucketDigests bucketDigests // of buckets of the view
	rosterDigest  uint32
	changedAt     float64 // when the view changed last
	changeCount   uint64

	updates      map[string]*queuedUpdate
	nextGossipAt float64

	seq                uint32
	pendingProbes      []*probe
	nextProbeAt        float64
	indirectPings      []indirectPing
	healthScore        int
	extensionChangedAt float64  // when the patience that is asked of the others changed last, 0 = never
	extensionHold      float64  // how long it stays so
	lastAckAt          float64  // when anybody has answered last
	lastAckedPingAt    float64  // when the last question was asked that anybody has answered: what waited in a socket is no news of now
	suspects           []string // names of those that are

	nextReconnectAt      float64
	nextPushPullAt       float64
	nextPage             int // next page where there are no streams
	pageReceiver         Addr
	surveyStartedAt      float64 // when the survey that runs began; 0 = none does
	falseAccusations     map[uint32]accusationScore
	refused              error
	nextDuplicateCheckAt float64 // when another process of this name was asked for last, and by which number
	duplicateCheckSeq    uint32

	onStream    bool // a message that came by a stream
	streamReply []byte

	share shareState
}

// member is what is known of another router.
type member struct {
	Record
	since             float64
	reporter          string  // whose the last change is
	addrVerified      bool    // has answered a question of this router's from its address
	lastAckAt         float64 // when last
	lastMessageAt     float64 // when it said anything last, itself
	lastPingAt        float64 // when it was asked last, beside probes
	streamPingedStart uint64  // the start that a stream was last to look for
	confirmed         bool    // it counts this process
	verifiedDown      bool    // gone or left, and this router has seen so itself
	shareFreeAt       float64 // when its part is free, once shown
	orderIndex        int     // in order; -1 = none
	bucket            int
	accusers          map[uint32]bool
	suspicionDeadline float64 // of the suspicion
}

type indirectPing struct {
	target       string
	requester    Addr
	seq          uint32 // of this router's ping
	requesterSeq uint32
	expiresAt    float64
}

// New is the view of a router that knows nobody, or an error that names what is impossible.
func New(cfg Config, host Host) (*Machine, error) {
	self := Record{Name: cfg.Name, Site: cfg.Site, Addr: cfg.Addr, Start: cfg.Start}
	if err := self.Validate(); err != nil {
		return nil, err
	}
	if cfg.ExpectedRouters < 1 {
		return nil, fmt.Errorf("member %s: %d routers are expected; 1 is the least", cfg.Name, cfg.ExpectedRouters)
	}
	m := &Machine{cfg: cfg, host: host, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), self: self, members: map[string]*member{}, updates: map[string]*queuedUpdate{},
		falseAccusations: map[uint32]accusationScore{}}
	m.seq = m.rng.Uint32()
	m.toggleDigests(self)
	return m, nil
}

// ErrDuplicateName is another running process that goes by this one's name.
var ErrDuplicateName = errors.New("two routers go by one name")

// Refused is why this process may not take part, nil while it may: another of its name runs, and was there before.
func (m *Machine) Refused() error { return m.refused }

// Tick lets time pass.
func (m *Machine) Tick(now float64) {
	m.advanceClock(now)
	m.lastTick = now
	if m.refused != nil {
		return
	}
	m.expireProbes()
	m.expireIndirectPings()
	m.expireSuspicions()
	if now >= m.nextProbeAt {
		m.probeNext()
	}
	m.reconnect()
	m.runSurvey()
	m.reduceTimeoutExtension()
	m.updateShare()
	m.sendGossip()
	m.sendPages()
}

func (m *Machine) advanceClock(now float64) {
	if m.now = now; m.startedAt == 0 {
		m.startedAt, m.changedAt, m.lastAckAt, m.nextProbeAt = now, now, now, now+m.rng.Float64()*probeIntervalMS
		m.share.contactAt, m.share.majoritySince, m.lastAckedPingAt = now, now, now
	}
	if gap := now - m.lastTick; m.lastTick > 0 && gap > minPauseMS {
		m.lastTick = now
		m.handlePause(gap)
	}
}

// handlePause is told that this process did not run for a while: what it waited for in that time means nothing, and others may have
// counted it out.
func (m *Machine) handlePause(gap float64) {
	m.pendingProbes, m.indirectPings = nil, nil
	for _, name := range m.suspects {
		m.members[name].suspicionDeadline += gap
	}
	m.share.majoritySince = m.now
	if m.expireShare(); !m.share.active {
		m.rejoin() // what others confirmed before says nothing of now
	}
	m.adjustHealthScore(1)
	m.surveyStartedAt = 0
	m.startSurvey()
}

// Receive takes a message without its sum. An error says what is wrong with it; then nothing has changed.
func (m *Machine) Receive(now float64, b []byte) error {
	m.advanceClock(now)
	if m.refused != nil {
		return nil
	}
	q, err := decode(b)
	if err != nil {
		return err
	}
	m.handleSender(&q)
	for _, r := range q.Updates {
		m.merge(r, q.From.Name)
	}
	switch q.Type {
	case ping:
		m.handlePing(&q, len(b))
	case ack:
		m.handleAck(&q)
	case pingReq:
		m.handlePingReq(&q)
	case nack:
		m.handleNack(&q)
	case payload:
		m.handlePayload(&q)
	}
	switch {
	case q.Type == viewPage || q.Type == viewDigests || q.From.Name == m.self.Name:
	case q.ViewDigest == m.viewDigest:
		m.handleEqualView()
	default:
		m.handleDifferentView(q.From)
	}
	return nil
}

// metAny takes what the sender says of itself.
func (m *Machine) handleSender(q *message) {
	if q.From.Name == m.self.Name && q.From.Start == m.self.Start && q.From.Addr == m.self.Addr {
		return // a message of this process, come back
	}
	m.merge(q.From, "")
	if mem := m.members[q.From.Name]; mem != nil && mem.Start == q.From.Start && mem.Addr == q.From.Addr {
		mem.lastMessageAt = m.now
	}
}

// handlePing answers a ping. To an address that has not proven itself no answer is longer than the question.
func (m *Machine) handlePing(q *message, size int) {
	if q.Target != "" && q.Target != m.self.Name {
		return // meant for one that was here before
	}
	limit := MaxMessage
	a := message{Type: ack, Seq: q.Seq, Target: m.self.Name, From: m.self}
	old := m.members[q.From.Name]
	if !m.onStream && (old == nil || !old.addrVerified || old.Addr != q.From.Addr) { // a stream has proven its address by itself
		if limit = min(limit, size+macBytes); len(a.head()) > size {
			return
		}
	}
	m.applyMemberChanges() // who is told that it counts does count from here on
	if old != nil {
		a.TargetStart = old.Start // whom this router knows by that name: the asker sees whether it counts
		if old.Start != q.From.Start || old.State > Alive {
			a.Updates = append(a.Updates, old.Record)
		}
	}
	m.send(q.From.Addr, a, limit)
}

// handleAck takes the answer to a ping, of this router or of a helper.
func (m *Machine) handleAck(q *message) {
	if i := m.indexOfIndirectPing(q.Seq, q.From.Name); i >= 0 {
		h := m.indirectPings[i]
		m.indirectPings = append(m.indirectPings[:i], m.indirectPings[i+1:]...)
		m.send(h.requester, message{Type: ack, Seq: h.requesterSeq, Target: h.target}, MaxMessage)
	}
	if q.Seq == m.duplicateCheckSeq && q.From.Name == m.self.Name && q.From.Start < m.self.Start {
		m.refuse(q.From)
		return
	}
	p := m.findProbe(q.Seq)
	if p == nil {
		return // late, doubled, or never asked
	}
	p.answered = true
	m.lastAckAt, m.lastAckedPingAt = m.now, max(m.lastAckedPingAt, p.began)
	if q.From.Name != q.Target {
		return // a helper says that the target answered
	}
	if mem := m.members[q.From.Name]; mem != nil && mem.Addr == q.From.Addr && mem.Start == q.From.Start {
		mem.addrVerified, mem.lastAckAt = true, m.now
		m.declareReplacedAt(mem.Addr, mem.Name, p.began)
		if q.TargetStart == m.self.Start && q.RosterDigest == m.rosterDigest {
			mem.confirmed = true
		}
	}
}

// send sends a message with as much news as fits.
func (m *Machine) send(to Addr, q message, limit int) {
	if b := m.encodeWithUpdates(q, limit, false); m.onStream && q.Type == ack {
		m.streamReply = b
	} else {
		m.host.Send(to, b)
	}
}

// Answer is what goes back on a stream for a question that came by it, nil for a message that is none. An error is Receive's.
func (m *Machine) Answer(now float64, b []byte) ([]byte, error) {
	m.onStream = true
	defer func() { m.onStream, m.streamReply = false, nil }()
	if err := m.Receive(now, b); err != nil {
		return nil, err
	}
	return m.streamReply, nil
}

// encodeWithUpdates completes a message and gives its bytes, filled up to the limit with zeros if padded.
func (m *Machine) encodeWithUpdates(q message, limit int, padded bool) []byte {
	q.ViewDigest, q.RosterDigest, q.From = m.viewDigest, m.rosterDigest, m.self
	own := len(q.Updates)
	if q.Type == payload {
		b, _ := q.encode(limit)
		return b
	}
	q.Updates = append(q.Updates, m.selectUpdates(q.Updates)...)
	b, n := q.encode(limit)
	m.countTransmissions(q.Updates[min(own, n):n])
	want := len(b)
	switch {
	case padded:
		want = limit - macBytes
	case q.Type == ping: // the other may not know yet that this is no forged address
		want = min(len(q.head())+maxHeadGrowth, limit-macBytes)
	}
	return append(b, make([]byte, max(0, want-len(b)))...)
}

// maxHeadGrowth is by how much the head of an answer may be longer than that of its question.
const maxHeadGrowth = MaxName + MaxSite + 1 + MaxMeta + 12

// sendPing pings a member, or whoever is at an address. Where it has not proven itself the question is padded, so that the answer may
// carry news.
func (m *Machine) sendPing(to Addr, target *member, seq uint32) {
	q := message{Type: ping, Seq: seq}
	if target != nil {
		q.Target, q.TargetStart = target.Name, target.Start
		if target.State > Alive && !m.cfg.PlainSWIM {
			q.Updates = append(q.Updates, target.Record) // it may want to deny that
		}
	}
	m.host.Send(to, m.encodeWithUpdates(q, MaxMessage, target == nil || !target.addrVerified))
}

// SendPayload has something brought to a member, and returns false where that is not heard. It may be lost, late, doubled or out of order.
func (m *Machine) SendPayload(now float64, to string, start uint64, b []byte) bool {
	m.advanceClock(now)
	mem := m.members[to]
	if len(b) > MaxPayload || mem == nil || mem.Start != start || !mem.State.responsive() || m.refused != nil {
		return false
	}
	m.send(mem.Addr, message{Type: payload, Target: to, TargetStart: start, Payload: b}, MaxMessage)
	return true
}

// handlePayload passes on what came for this very process from a member that is known by what it says of itself.
func (m *Machine) handlePayload(q *message) {
	mem := m.members[q.From.Name]
	if q.Target != m.self.Name || q.TargetStart != m.self.Start || mem == nil || mem.Start != q.From.Start || mem.Addr != q.From.Addr || m.self.State == Left {
		return
	}
	m.host.DeliverPayload(mem.Record, q.Payload)
}

// SetMeta has this router tell the others something of itself.
func (m *Machine) SetMeta(now float64, card string) error {
	m.advanceClock(now)
	r := m.self
	if r.Meta = card; card == m.self.Meta || m.self.State == Left {
		return nil
	}
	if err := r.Validate(); err != nil {
		return err
	}
	m.updateSelf(func(s *Record) { s.Incarnation, s.Meta = s.Incarnation+1, card })
	return nil
}

// Leave says goodbye to as many as one round reaches; the caller ends the process soon after.
func (m *Machine) Leave(now float64) {
	m.advanceClock(now)
	m.updateSelf(func(s *Record) { s.State = Left })
	sent := 0
	for _, i := range m.rng.Perm(len(m.probeOrder)) {
		if mem := m.probeOrder[i]; mem.State.responsive() && sent < 4*gossipFanout {
			q := message{Type: gossip, Updates: []Record{m.self}}
			m.send(mem.Addr, q, MaxMessage)
			sent++
		}
	}
}
