package fleet

import (
	"math"
	"slices"
	"strings"
)

// probe is a pending probe of a member.
type probe struct {
	name      string
	start     uint64
	seq       uint32
	began     float64
	indirect  bool // indirect pings have been requested
	answered  bool // acked by the member, directly or through another member
	nacked    bool // another member answered that the target did not: this router is not cut off
	scheduled bool // part of the probe order; a failure makes the member suspect
}

// newSeq returns the next sequence number.
func (m *Machine) newSeq() uint32 {
	m.seq++
	return m.seq
}

// localTimeoutFactor is Lifeguard's local health multiplier: the factor by which probe timeouts grow while
// this router's health score is poor or it has a timeout extension.
func (m *Machine) localTimeoutFactor() float64 {
	return float64(1 + max(m.healthScore, int(m.self.TimeoutExtension)))
}

// adjustHealthScore changes the local health score; 0 is healthy.
func (m *Machine) adjustHealthScore(by int) {
	if !m.cfg.PlainSWIM {
		m.healthScore = min(max(m.healthScore+by, 0), maxHealthScore)
	}
}

// probeNext probes the next member in the probe order. Unresponsive members are skipped; see reconnect.
func (m *Machine) probeNext() {
	m.nextProbeAt = m.now + probeIntervalMS*float64(1+m.healthScore)
	for range m.probeOrder {
		if m.nextProbe >= len(m.probeOrder) {
			m.nextProbe = 0
			m.shuffleProbeOrder()
		}
		mem := m.probeOrder[m.nextProbe]
		if m.nextProbe++; mem.State.responsive() {
			m.startProbe(mem, true)
			return
		}
	}
}

// shuffleProbeOrder draws a new random probe order.
func (m *Machine) shuffleProbeOrder() {
	m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	for i, mem := range m.probeOrder {
		mem.orderIndex = i
	}
}

// startProbe probes a member. A failure makes the member suspect only if the probe is a scheduled one.
func (m *Machine) startProbe(mem *member, scheduled bool) {
	if len(m.pendingProbes) >= maxPendingProbes && !scheduled {
		return
	}
	if len(m.pendingProbes) >= 4*maxPendingProbes {
		m.pendingProbes = m.pendingProbes[1:]
	}
	p := &probe{name: mem.Name, start: mem.Start, seq: m.newSeq(), began: m.now, scheduled: scheduled}
	m.pendingProbes = append(m.pendingProbes, p)
	mem.lastPingAt = m.now
	m.sendPing(mem.Addr, mem, p.seq)
}

// findProbe returns the pending probe with a sequence number, or nil.
func (m *Machine) findProbe(seq uint32) *probe {
	for _, p := range m.pendingProbes {
		if p.seq == seq {
			return p
		}
	}
	return nil
}

// expireProbes requests indirect pings for members that do not answer, and suspects a member that does not
// answer those either.
func (m *Machine) expireProbes() {
	m.pendingProbes = slices.DeleteFunc(m.pendingProbes, func(p *probe) bool {
		mem := m.members[p.name]
		switch {
		case p.answered:
			if p.scheduled {
				m.adjustHealthScore(-1)
			}
			return true
		case mem == nil || mem.Start != p.start || !mem.State.present():
			return true
		case m.now-p.began >= m.probeTimeout(p, mem):
			m.handleProbeFailure(p, mem)
			return true
		case !p.indirect && m.now-p.began >= pingTimeoutMS*m.localTimeoutFactor()*mem.timeoutFactor():
			p.indirect = true
			if p.scheduled {
				m.requestIndirectPings(p, mem)
			}
		}
		return false
	})
}

// probeTimeout returns the timeout of a probe in ms. Probes outside the probe order accuse nobody by
// themselves, and may take longer.
func (m *Machine) probeTimeout(p *probe, mem *member) float64 {
	wait := probeTimeoutMS * m.localTimeoutFactor() * mem.timeoutFactor()
	if p.scheduled {
		return wait
	}
	return max(surveyTimeoutMS, wait)
}

// timeoutFactor is the factor by which timeouts for this member grow, as requested by its record.
func (mem *member) timeoutFactor() float64 { return float64(1 + mem.TimeoutExtension) }

// requestIndirectPings asks other members to ping a member, pings it again itself, and sends a ping on a
// stream.
func (m *Machine) requestIndirectPings(p *probe, mem *member) {
	q := message{Type: pingReq, Seq: p.seq, Target: mem.Name, TargetStart: mem.Start, Updates: []Record{mem.Record}}
	for _, other := range m.randomMembers(indirectPingers, func(o *member) bool { return o != mem && (o.State == Alive || o.State == Joining) }) {
		m.send(other.Addr, q, MaxMessage)
	}
	m.sendPing(mem.Addr, mem, p.seq)
	m.streamPing(mem)
}

// randomMembers returns up to n different members that meet a condition.
func (m *Machine) randomMembers(n int, match func(*member) bool) (out []*member) {
	for range 4 * n {
		if len(m.probeOrder) == 0 || len(out) == n {
			break
		}
		if mem := m.probeOrder[m.rng.IntN(len(m.probeOrder))]; match(mem) && !slices.Contains(out, mem) {
			out = append(out, mem)
		}
	}
	return out
}

// streamPing pings a member on a stream, to find out whether its process runs: a refused connection proves
// that it does not.
func (m *Machine) streamPing(mem *member) {
	if !m.cfg.Streams {
		return
	}
	mem.streamPingedStart = mem.Start
	b := m.encodeWithUpdates(message{Type: ping, Seq: m.newSeq(), Target: mem.Name, TargetStart: mem.Start}, MaxMessage, true)
	m.host.StreamPing(mem.Addr, b)
}

// StreamPingDone takes the outcome of a StreamPing: an answer, which was passed to Receive, or a refused
// connection, which proves that no process of the fleet runs there. With neither, nothing is known.
func (m *Machine) StreamPingDone(now float64, to Addr, answered, refused bool) {
	m.advanceClock(now)
	if m.refused != nil {
		return
	}
	if answered {
		m.lastAckAt = now
		for _, p := range m.pendingProbes {
			if mem := m.members[p.name]; mem != nil && mem.Addr == to && mem.Start == p.start {
				p.answered = true
			}
		}
		return
	}
	if !refused {
		return
	}
	for _, mem := range m.membersAt(to) {
		if mem.streamPingedStart != mem.Start {
			continue // the refusal concerned an earlier process; this one started since
		}
		if mem.State.present() {
			r := mem.Record
			r.State, r.AccuserID = Dead, nameID(m.self.Name)
			m.replaceRecord(mem, r, m.self.Name)
		}
		m.markVerifiedDown(mem)
	}
}

// declareReplacedAt declares members dead that used to be at an address where a process of another name has
// answered since the given time, if they sent nothing since.
func (m *Machine) declareReplacedAt(addr Addr, name string, since float64) {
	if m.stateCounts[Unresponsive]+m.stateCounts[Excluded]+len(m.departed)+m.stateCounts[Suspect] == 0 {
		return
	}
	for _, mem := range m.membersAt(addr) {
		if mem.Name == name || mem.verifiedDown || mem.lastMessageAt >= since || mem.lastAckAt >= since || mem.State <= Alive {
			continue
		}
		if mem.State.present() {
			r := mem.Record
			r.State, r.AccuserID = Dead, nameID(m.self.Name)
			m.replaceRecord(mem, r, m.self.Name)
		}
		m.markVerifiedDown(mem)
	}
}

// membersAt returns the members at an address, sorted by name: more than one if a process has changed its
// name.
func (m *Machine) membersAt(a Addr) (out []*member) {
	for _, mem := range m.members {
		if mem.Addr == a {
			out = append(out, mem)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// handleProbeFailure handles a probe that got no answer, neither directly nor indirectly. If no member at all
// answers, this router itself is considered faulty first.
func (m *Machine) handleProbeFailure(p *probe, mem *member) {
	if !p.scheduled {
		return
	}
	if mem.lastMessageAt > p.began { // it sent something: it runs, and this router may be the slow one
		m.adjustHealthScore(1)
		if !m.cfg.PlainSWIM {
			return
		}
	}
	alone := m.now-m.lastAckAt > probeTimeoutMS
	if !p.nacked || alone {
		m.adjustHealthScore(1)
	}
	if alone && !m.cfg.PlainSWIM && len(m.probeOrder) > 1 {
		m.startSurvey()
		return
	}
	m.suspectMember(mem)
}

// suspectMember marks a member as suspect, or confirms an existing suspicion.
func (m *Machine) suspectMember(mem *member) {
	if !mem.State.responsive() {
		return
	}
	if mem.State == Suspect {
		m.confirmSuspicion(mem, nameID(m.self.Name))
		return
	}
	r := mem.Record
	r.State, r.AccuserID = Suspect, nameID(m.self.Name)
	m.replaceRecord(mem, r, m.self.Name)
}

// startSuspicion starts the suspicion of a member.
func (m *Machine) startSuspicion(mem *member) {
	mem.accusers = map[uint32]bool{mem.AccuserID: true}
	m.suspects = append(m.suspects, mem.Name)
	m.setSuspicionDeadline(mem)
	if mem.AccuserID != nameID(m.self.Name) && m.rng.Float64()*float64(len(m.probeOrder)) < indirectPingers+1 {
		m.startProbe(mem, true) // a few members verify it themselves
	}
}

// confirmSuspicion records that another member suspects a suspect, too.
func (m *Machine) confirmSuspicion(mem *member, by uint32) {
	if mem.State != Suspect || mem.accusers[by] || len(mem.accusers) > suspicionConfirmations || m.discredited(by) {
		return
	}
	mem.accusers[by] = true
	m.setSuspicionDeadline(mem)
	r := mem.Record
	r.AccuserID = by
	m.queueUpdate(r)
}

// setSuspicionDeadline sets when a suspect is declared unresponsive: the more accusers, the sooner.
func (m *Machine) setSuspicionDeadline(mem *member) {
	if m.cfg.PlainSWIM {
		mem.suspicionDeadline = mem.since + minSuspicionMS
		return
	}
	maxConfirmations := max(1, min(suspicionConfirmations, len(m.probeOrder)-2))
	confirmations := min(len(mem.accusers)-1, maxConfirmations)
	fraction := math.Log(float64(confirmations+1)) / math.Log(float64(maxConfirmations+1))
	mem.suspicionDeadline = mem.since + maxSuspicionMS - (maxSuspicionMS-minSuspicionMS)*fraction
}

// expireSuspicions declares suspects unresponsive that have not refuted in time.
func (m *Machine) expireSuspicions() {
	for _, name := range slices.Clone(m.suspects) {
		mem := m.members[name]
		if m.now < mem.suspicionDeadline {
			continue
		}
		r := mem.Record
		r.State = Unresponsive
		m.replaceRecord(mem, r, m.self.Name)
	}
}

// handlePingReq pings a member on behalf of another.
func (m *Machine) handlePingReq(q *message) {
	if len(q.Updates) == 0 || q.Updates[0].Name != q.Target || len(m.indirectPings) >= maxIndirectPings || q.Target == m.self.Name {
		return
	}
	mem := m.members[q.Target]
	if mem == nil || mem.Start != q.TargetStart || !mem.State.present() {
		return // only known members are pinged, not arbitrary addresses that a message names
	}
	seq := m.newSeq()
	m.indirectPings = append(m.indirectPings, indirectPing{target: q.Target, requester: q.From.Addr, seq: seq, requesterSeq: q.Seq, expiresAt: m.now + indirectPingTimeoutMS*mem.timeoutFactor()})
	m.sendPing(mem.Addr, mem, seq)
}

// indexOfIndirectPing returns the index of a pending indirect ping, or -1.
func (m *Machine) indexOfIndirectPing(seq uint32, name string) int {
	return slices.IndexFunc(m.indirectPings, func(h indirectPing) bool { return h.seq == seq && h.target == name })
}

// expireIndirectPings sends a nack for every indirect ping that was not answered in time.
func (m *Machine) expireIndirectPings() {
	m.indirectPings = slices.DeleteFunc(m.indirectPings, func(h indirectPing) bool {
		if m.now < h.expiresAt {
			return false
		}
		m.send(h.requester, message{Type: nack, Seq: h.requesterSeq, Target: h.target}, MaxMessage)
		return true
	})
}

// handleNack handles the report that an indirect ping failed. The sender does answer, so this router is not
// cut off.
func (m *Machine) handleNack(q *message) {
	if p := m.findProbe(q.Seq); p != nil {
		p.nacked, m.lastAckAt = true, m.now
	}
}

// startSurvey starts to ping all members, because this router is cut off or was paused.
func (m *Machine) startSurvey() {
	if m.surveyStartedAt == 0 {
		m.surveyStartedAt = m.now
	}
}

// surveyTimeoutMS is how long a survey waits for answers after its last ping.
const surveyTimeoutMS = 1500.0

// runSurvey pings all members that have not answered since the survey began, a limited number per tick. When
// all had time to answer, those that did not become suspect.
func (m *Machine) runSurvey() {
	if m.surveyStartedAt == 0 {
		return
	}
	sent, waiting := 0, false
	for _, mem := range m.probeOrder {
		if !mem.State.responsive() || mem.lastAckAt >= m.surveyStartedAt || mem.lastMessageAt >= m.surveyStartedAt {
			continue
		}
		if mem.lastPingAt < m.surveyStartedAt {
			if sent < maxPingsPerTick {
				sent++
				m.pendingProbes = append(m.pendingProbes, &probe{name: mem.Name, start: mem.Start, seq: m.newSeq(), began: m.now})
				mem.lastPingAt = m.now
				m.sendPing(mem.Addr, mem, m.seq)
			}
			waiting = true
		} else if m.now-mem.lastPingAt < surveyTimeoutMS {
			waiting = true
		}
	}
	if waiting {
		return
	}
	startedAt := m.surveyStartedAt
	m.surveyStartedAt = 0
	for _, mem := range slices.Clone(m.probeOrder) {
		if mem.State.responsive() && mem.lastAckAt < startedAt && mem.lastMessageAt < startedAt {
			m.suspectMember(mem)
		}
	}
}
