package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
)

// Durations in milliseconds. Probe timeouts are multiplied by 1 + the local health score.
const (
	probeIntervalMS       = 200.0  // between two probes
	pingTimeoutMS         = 120.0  // for a direct ping, before indirect pings are requested
	probeTimeoutMS        = 480.0  // for a whole probe, indirect pings included
	indirectPingTimeoutMS = 250.0  // for a ping that is sent on behalf of another member
	maxSuspicionMS        = 3000.0 // suspicion timeout without confirmations
	minSuspicionMS        = 1200.0 // suspicion timeout with all confirmations
	// Time without accusations before the timeout extension shrinks by one step. It doubles whenever the
	// router is accused again soon after that.
	extensionHoldMS     = 30e3
	maxExtensionHoldMS  = 960e3  // limit of that doubling
	gossipIntervalMS    = 50.0   // between two rounds of gossip
	reconnectIntervalMS = 500.0  // between two pings to unresponsive or dead members and join addresses
	minPingIntervalMS   = 400.0  // between two pings outside the probe order to the same member
	pushPullIntervalMS  = 300.0  // between two exchanges of whole views
	minPauseMS          = 1000.0 // a longer gap between ticks means that this process was paused
)

const (
	indirectPingers        = 3  // members asked to ping a target indirectly
	gossipFanout           = 3  // members that receive new updates in a round
	suspicionConfirmations = 3  // confirmations that shorten a suspicion to its minimum
	maxHealthScore         = 8  // worst local health score
	maxPingsPerTick        = 16 // besides probes
	maxPendingProbes       = 16 // outside the probe order; multiples of it hold for other probes
	maxIndirectPings       = 64 // pending pings on behalf of others
)

// Config describes this router and how it joins the fleet.
type Config struct {
	Name, Site      string
	Addr            Addr // address advertised to the other members
	Start           uint64
	Join            []Addr // seed addresses
	ExpectedRouters int    // fleet size to assume, this router included, until another router has been met
	Streams         bool   // whether the host has streams besides datagrams
	// LeaseMS is the maximum duration, in ms, for which a share may be leased. The share of a dead member
	// stays unused, and a joining router waits, for that long. 0 = no leases.
	LeaseMS   float64
	PlainSWIM bool // SWIM without Lifeguard's measures: a baseline for tests and measurements
	Seed      uint64
}

// Host performs the I/O for a Machine. It must not call the Machine before the Machine's method returns.
type Host interface {
	Send(to Addr, m []byte)       // sends a datagram
	StreamPing(to Addr, m []byte) // sends a ping on a stream; the outcome goes to StreamPingDone
	// PushPull exchanges BucketDigests on a stream, and then the Pages of the buckets that differ; received
	// pages go to Receive.
	PushPull(to Addr)
	MemberChanged(c Change)               // reports a change of the view
	DeliverPayload(from Record, b []byte) // delivers a payload that was sent by SendPayload
}

// Machine is one router's view of the fleet. Its methods take the time in ms on a monotonic clock; Tick
// should be called every 50 ms.
type Machine struct {
	cfg       Config
	host      Host
	rng       *rand.Rand
	now       float64
	lastTick  float64 // time of the previous tick; 0 = none
	startedAt float64

	self          Record
	members       map[string]*member // all known members except this router
	probeOrder    []*member          // members that are present, in the order of probes
	nextProbe     int                // index into probeOrder
	departed      []string           // names of dead and departed members, the oldest first
	stateCounts   [numStates]int     // members by state
	viewDigest    uint64
	bucketDigests bucketDigests // per bucket of the view
	rosterDigest  uint32
	changedAt     float64 // time of the last change of the view
	changeCount   uint64

	updates      map[string]*queuedUpdate
	nextGossipAt float64

	seq                uint32
	pendingProbes      []*probe
	nextProbeAt        float64
	indirectPings      []indirectPing
	healthScore        int
	extensionChangedAt float64 // time of the last change of the own timeout extension, 0 = never
	extensionHold      float64 // how long the extension stays unchanged, in ms
	lastAckAt          float64 // time of the last answer from any member
	// lastAckedPingAt is the send time of the latest ping that was answered. Unlike lastAckAt it is not
	// affected by answers that waited in a socket buffer.
	lastAckedPingAt float64
	suspects        []string // names of the suspect members

	nextReconnectAt      float64
	nextPushPullAt       float64
	nextPage             int // next page to send where there are no streams; 0 = none
	pageReceiver         Addr
	surveyStartedAt      float64 // 0 = no survey runs
	falseAccusations     map[uint32]accusationScore
	refused              error
	nextDuplicateCheckAt float64 // earliest time of the next ping to a process with the same name
	duplicateCheckSeq    uint32  // sequence number of the last such ping

	// The message that is being handled came on a stream; the reply goes to streamReply.
	onStream    bool
	streamReply []byte

	share shareState
}

// member holds what is known about another router.
type member struct {
	Record
	since             float64
	reporter          string  // source of the last change
	addrVerified      bool    // has answered a ping of this router from its address
	lastAckAt         float64 // time of its last answer
	lastMessageAt     float64 // time of the last message from the member itself
	lastPingAt        float64 // time of the last ping that this router started by itself
	streamPingedStart uint64  // start that the last stream ping was meant for
	confirmed         bool    // it counts this process
	verifiedDown      bool    // dead or departed, and this router has verified that itself
	shareFreeAt       float64 // time at which its share becomes available, once verifiedDown
	orderIndex        int     // index in probeOrder; -1 = none
	bucket            int
	accusers          map[uint32]bool
	suspicionDeadline float64
}

// indirectPing is a pending ping on behalf of another member.
type indirectPing struct {
	target       string
	requester    Addr
	seq          uint32 // of this router's ping
	requesterSeq uint32
	expiresAt    float64
}

// New returns the Machine of a router that knows no other member, or an error if cfg is invalid.
func New(cfg Config, host Host) (*Machine, error) {
	self := Record{Name: cfg.Name, Site: cfg.Site, Addr: cfg.Addr, Start: cfg.Start}
	if err := self.Validate(); err != nil {
		return nil, err
	}
	if cfg.ExpectedRouters < 1 {
		return nil, fmt.Errorf("member %s: %d routers are expected; the minimum is 1", cfg.Name, cfg.ExpectedRouters)
	}
	m := &Machine{cfg: cfg, host: host, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), self: self, members: map[string]*member{}, updates: map[string]*queuedUpdate{},
		falseAccusations: map[uint32]accusationScore{}}
	m.seq = m.rng.Uint32()
	m.toggleDigests(self)
	return m, nil
}

// ErrDuplicateName reports that another running process uses this router's name.
var ErrDuplicateName = errors.New("two routers use the same name")

// Refused returns why this process may not take part, or nil if it may: an older process with its name still
// runs.
func (m *Machine) Refused() error { return m.refused }

// Tick advances the time and performs all work that is due.
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

// handlePause is called after this process did not run for gap ms. Pending probes prove nothing then, and
// other members may have excluded this router.
func (m *Machine) handlePause(gap float64) {
	m.pendingProbes, m.indirectPings = nil, nil
	for _, name := range m.suspects {
		m.members[name].suspicionDeadline += gap
	}
	m.share.majoritySince = m.now
	if m.expireShare(); !m.share.active {
		m.rejoin() // earlier confirmations are no longer valid
	}
	m.adjustHealthScore(1)
	m.surveyStartedAt = 0
	m.startSurvey()
}

// Receive handles a message without its MAC. An error means that the message is malformed; then nothing has
// changed.
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

// handleSender merges the sender's record of itself.
func (m *Machine) handleSender(q *message) {
	if q.From.Name == m.self.Name && q.From.Start == m.self.Start && q.From.Addr == m.self.Addr {
		return // a message of this process that was sent back
	}
	m.merge(q.From, "")
	if mem := m.members[q.From.Name]; mem != nil && mem.Start == q.From.Start && mem.Addr == q.From.Addr {
		mem.lastMessageAt = m.now
	}
}

// handlePing answers a ping. To an address that is not verified, no answer is longer than the ping, which
// prevents amplification.
func (m *Machine) handlePing(q *message, size int) {
	if q.Target != "" && q.Target != m.self.Name {
		return // meant for an earlier process at this address
	}
	limit := MaxMessage
	a := message{Type: ack, Seq: q.Seq, Target: m.self.Name, From: m.self}
	old := m.members[q.From.Name]
	// A stream verifies its address by itself.
	if !m.onStream && (old == nil || !old.addrVerified || old.Addr != q.From.Addr) {
		if limit = min(limit, size+macBytes); len(a.head()) > size {
			return
		}
	}
	m.applyMemberChanges() // the ack confirms that the sender is counted, so it must be counted from here on
	if old != nil {
		a.TargetStart = old.Start // tells the sender which start of it is counted
		if old.Start != q.From.Start || old.State > Alive {
			a.Updates = append(a.Updates, old.Record)
		}
	}
	m.send(q.From.Addr, a, limit)
}

// handleAck handles the answer to a ping, whether sent by this router for itself or on behalf of another
// member.
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
		return // late, duplicate or unsolicited
	}
	p.answered = true
	m.lastAckAt, m.lastAckedPingAt = m.now, max(m.lastAckedPingAt, p.began)
	if q.From.Name != q.Target {
		return // relayed: the target answered an indirect ping
	}
	if mem := m.members[q.From.Name]; mem != nil && mem.Addr == q.From.Addr && mem.Start == q.From.Start {
		mem.addrVerified, mem.lastAckAt = true, m.now
		m.declareReplacedAt(mem.Addr, mem.Name, p.began)
		if q.TargetStart == m.self.Start && q.RosterDigest == m.rosterDigest {
			mem.confirmed = true
		}
	}
}

// send sends a message with as many queued updates as fit.
func (m *Machine) send(to Addr, q message, limit int) {
	if b := m.encodeWithUpdates(q, limit, false); m.onStream && q.Type == ack {
		m.streamReply = b
	} else {
		m.host.Send(to, b)
	}
}

// Answer handles a message that came on a stream and returns the reply to it, nil if there is none. Errors
// are those of Receive.
func (m *Machine) Answer(now float64, b []byte) ([]byte, error) {
	m.onStream = true
	defer func() { m.onStream, m.streamReply = false, nil }()
	if err := m.Receive(now, b); err != nil {
		return nil, err
	}
	return m.streamReply, nil
}

// encodeWithUpdates completes a message with this router's state and queued updates and returns its bytes,
// padded with zeros to the limit if padded is set.
func (m *Machine) encodeWithUpdates(q message, limit int, padded bool) []byte {
	q.ViewDigest, q.RosterDigest, q.From = m.viewDigest, m.rosterDigest, m.self
	given := len(q.Updates)
	if q.Type == payload {
		b, _ := q.encode(limit)
		return b
	}
	q.Updates = append(q.Updates, m.selectUpdates(q.Updates)...)
	b, n := q.encode(limit)
	m.countTransmissions(q.Updates[min(given, n):n])
	length := len(b)
	switch {
	case padded:
		length = limit - macBytes
	case q.Type == ping:
		// Leaves room for the ack's longer head: if the receiver has not verified this router's address, its
		// ack is no longer than the ping.
		length = min(len(q.head())+maxHeadGrowth, limit-macBytes)
	}
	return append(b, make([]byte, max(0, length-len(b)))...)
}

// maxHeadGrowth is the maximum number of bytes by which the head of an answer exceeds that of its ping.
const maxHeadGrowth = MaxName + MaxSite + 1 + MaxMeta + 12

// sendPing pings a member, or whichever process is at an address if target is nil. Unless the address is
// verified the ping is padded, so that the answer may carry updates.
func (m *Machine) sendPing(to Addr, target *member, seq uint32) {
	q := message{Type: ping, Seq: seq}
	if target != nil {
		q.Target, q.TargetStart = target.Name, target.Start
		if target.State > Alive && !m.cfg.PlainSWIM {
			q.Updates = append(q.Updates, target.Record) // allows the target to refute it
		}
	}
	m.host.Send(to, m.encodeWithUpdates(q, MaxMessage, target == nil || !target.addrVerified))
}

// SendPayload sends a payload to a member, best effort, and returns false if the member is not known to be
// responsive. The payload may be lost, late, duplicated or out of order.
func (m *Machine) SendPayload(now float64, to string, start uint64, b []byte) bool {
	m.advanceClock(now)
	mem := m.members[to]
	if len(b) > MaxPayload || mem == nil || mem.Start != start || !mem.State.responsive() || m.refused != nil {
		return false
	}
	m.send(mem.Addr, message{Type: payload, Target: to, TargetStart: start, Payload: b}, MaxMessage)
	return true
}

// handlePayload delivers a payload that is meant for this very process and comes from a known member.
func (m *Machine) handlePayload(q *message) {
	mem := m.members[q.From.Name]
	if q.Target != m.self.Name || q.TargetStart != m.self.Start || mem == nil || mem.Start != q.From.Start || mem.Addr != q.From.Addr || m.self.State == Left {
		return
	}
	m.host.DeliverPayload(mem.Record, q.Payload)
}

// SetMeta sets the metadata that this router announces, or returns an error if it is too long.
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

// Leave announces the departure to a few members in one round; the caller ends the process soon after.
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
