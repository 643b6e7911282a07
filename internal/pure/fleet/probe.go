package fleet

import (
	"math"
	"slices"
	"strings"
)

// findProbe is a question to a member whose end is awaited.
type probe struct {
	name      string
	start     uint64
	seq       uint32
	began     float64
	indirect  bool // others have been asked
	answered  bool // it answered, or a helper heard it
	nacked    bool // a helper at least answered: this router is not cut off
	scheduled bool // a turn of the order, whose failure accuses
}

func (m *Machine) newSeq() uint32 {
	m.seq++
	return m.seq
}

// localTimeoutFactor is by how much times are stretched while this router doubts itself, or is known to be slow.
func (m *Machine) localTimeoutFactor() float64 {
	return float64(1 + max(m.healthScore, int(m.self.TimeoutExtension)))
}

// adjustHealthScore changes what this router thinks of itself: 0 is well.
func (m *Machine) adjustHealthScore(by int) {
	if !m.cfg.PlainSWIM {
		m.healthScore = min(max(m.healthScore+by, 0), maxHealthScore)
	}
}

// probeNext asks the next member in turn. One that everybody calls silent has no turn; see reconnect.
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

func (m *Machine) shuffleProbeOrder() {
	m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	for i, mem := range m.probeOrder {
		mem.orderIndex = i
	}
}

// startProbe asks a member. A failure accuses it where that is its turn.
func (m *Machine) startProbe(mem *member, turn bool) {
	if len(m.pendingProbes) >= maxPendingProbes && !turn {
		return
	}
	if len(m.pendingProbes) >= 4*maxPendingProbes {
		m.pendingProbes = m.pendingProbes[1:]
	}
	p := &probe{name: mem.Name, start: mem.Start, seq: m.newSeq(), began: m.now, scheduled: turn}
	m.pendingProbes = append(m.pendingProbes, p)
	mem.lastPingAt = m.now
	m.sendPing(mem.Addr, mem, p.seq)
}

func (m *Machine) findProbe(seq uint32) *probe {
	for _, p := range m.pendingProbes {
		if p.seq == seq {
			return p
		}
	}
	return nil
}

// expireProbes asks others where a member does not answer, and accuses it where they get no answer either.
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

// probeTimeout is how long the answer to a probe counts. What is asked beside the turns accuses nobody by itself, and may take longer.
func (m *Machine) probeTimeout(p *probe, mem *member) float64 {
	wait := probeTimeoutMS * m.localTimeoutFactor() * mem.timeoutFactor()
	if p.scheduled {
		return wait
	}
	return max(surveyTimeoutMS, wait)
}

// timeoutFactor is by how much a member's answers may take longer, as it says itself.
func (mem *member) timeoutFactor() float64 { return float64(1 + mem.TimeoutExtension) }

// requestIndirectPings asks others to ping a member, asks it once more, and looks by a stream whether it runs.
func (m *Machine) requestIndirectPings(p *probe, mem *member) {
	q := message{Type: pingReq, Seq: p.seq, Target: mem.Name, TargetStart: mem.Start, Updates: []Record{mem.Record}}
	for _, other := range m.randomMembers(indirectPingers, func(o *member) bool { return o != mem && (o.State == Alive || o.State == Joining) }) {
		m.send(other.Addr, q, MaxMessage)
	}
	m.sendPing(mem.Addr, mem, p.seq)
	m.streamPing(mem)
}

// randomMembers draws members.
func (m *Machine) randomMembers(n int, fit func(*member) bool) (out []*member) {
	for range 4 * n {
		if len(m.probeOrder) == 0 || len(out) == n {
			break
		}
		if mem := m.probeOrder[m.rng.IntN(len(m.probeOrder))]; fit(mem) && !slices.Contains(out, mem) {
			out = append(out, mem)
		}
	}
	return out
}

// streamPing has a stream tell whether a member's process runs: who refuses does not.
func (m *Machine) streamPing(mem *member) {
	if !m.cfg.Streams {
		return
	}
	mem.streamPingedStart = mem.Start
	b := m.encodeWithUpdates(message{Type: ping, Seq: m.newSeq(), Target: mem.Name, TargetStart: mem.Start}, MaxMessage, true)
	m.host.StreamPing(mem.Addr, b)
}

// StreamPingDone takes what came of a Check: whether there was an answer, which went to Receive, or a refusal, which proves that no process of
// the fleet runs there. Neither proves nothing.
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
			continue // the refusal was the process's before: this one has come since
		}
		if mem.State.present() {
			r := mem.Record
			r.State, r.AccuserID = Dead, nameID(m.self.Name)
			m.replaceRecord(mem, r, m.self.Name)
		}
		m.markVerifiedDown(mem)
	}
}

// declareReplacedAt takes that one process, which goes by a name, has listened at an address since a time: who was there before under another name
// and has said nothing since does not run any more.
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

// membersAt are the members at an address, by name: more than one where a process has changed its name.
func (m *Machine) membersAt(a Addr) (out []*member) {
	for _, mem := range m.members {
		if mem.Addr == a {
			out = append(out, mem)
		}
	}
	slices.SortFunc(out, func(a, b *member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// handleProbeFailure takes that neither a member nor anybody who asked it for this router has answered. Where nobody at all does, the fault is
// looked for here first.
func (m *Machine) handleProbeFailure(p *probe, mem *member) {
	if !p.scheduled {
		return
	}
	if mem.lastMessageAt > p.began { // late: that is no silence, and the fault may be here
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

// suspectMember says that a member does not answer.
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

// startSuspicion begins a suspicion.
func (m *Machine) startSuspicion(mem *member) {
	mem.accusers = map[uint32]bool{mem.AccuserID: true}
	m.suspects = append(m.suspects, mem.Name)
	m.setSuspicionDeadline(mem)
	if mem.AccuserID != nameID(m.self.Name) && m.rng.Float64()*float64(len(m.probeOrder)) < indirectPingers+1 {
		m.startProbe(mem, true) // a few look for themselves
	}
}

// confirmSuspicion takes that another accuses a suspect too.
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

// setSuspicionDeadline sets when a suspect is called silent: the sooner the more accuse it.
func (m *Machine) setSuspicionDeadline(mem *member) {
	if m.cfg.PlainSWIM {
		mem.suspicionDeadline = mem.since + minSuspicionMS
		return
	}
	most := max(1, min(suspicionConfirmations, len(m.probeOrder)-2))
	k := min(len(mem.accusers)-1, most)
	part := math.Log(float64(k+1)) / math.Log(float64(most+1))
	mem.suspicionDeadline = mem.since + maxSuspicionMS - (maxSuspicionMS-minSuspicionMS)*part
}

// expireSuspicions calls those silent who have not denied in time.
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

// handlePingReq pings a member for another.
func (m *Machine) handlePingReq(q *message) {
	if len(q.Updates) == 0 || q.Updates[0].Name != q.Target || len(m.indirectPings) >= maxIndirectPings || q.Target == m.self.Name {
		return
	}
	mem := m.members[q.Target]
	if mem == nil || mem.Start != q.TargetStart || !mem.State.present() {
		return // a fleet's member is asked, not whatever address a message names
	}
	seq := m.newSeq()
	m.indirectPings = append(m.indirectPings, indirectPing{target: q.Target, requester: q.From.Addr, seq: seq, requesterSeq: q.Seq, expiresAt: m.now + indirectPingTimeoutMS*mem.timeoutFactor()})
	m.sendPing(mem.Addr, mem, seq)
}

func (m *Machine) indexOfIndirectPing(seq uint32, name string) int {
	return slices.IndexFunc(m.indirectPings, func(h indirectPing) bool { return h.seq == seq && h.target == name })
}

// expireIndirectPings says that a member has not answered in time.
func (m *Machine) expireIndirectPings() {
	m.indirectPings = slices.DeleteFunc(m.indirectPings, func(h indirectPing) bool {
		if m.now < h.expiresAt {
			return false
		}
		m.send(h.requester, message{Type: nack, Seq: h.requesterSeq, Target: h.target}, MaxMessage)
		return true
	})
}

// handleNack takes that a helper got no answer: it answers itself, so this router is not cut off.
func (m *Machine) handleNack(q *message) {
	if p := m.findProbe(q.Seq); p != nil {
		p.nacked, m.lastAckAt = true, m.now
	}
}

// startSurvey asks everybody: this router is cut off, or has not run for a while.
func (m *Machine) startSurvey() {
	if m.surveyStartedAt == 0 {
		m.surveyStartedAt = m.now
	}
}

// surveyTimeoutMS is how long a survey waits for answers, from its last question on.
const surveyTimeoutMS = 1500.0

// runSurvey asks all who have not answered since it began, some at a time. When all have had their time, those who did not answer are
// accused.
func (m *Machine) runSurvey() {
	if m.surveyStartedAt == 0 {
		return
	}
	sent, waits := 0, false
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
			waits = true
		} else if m.now-mem.lastPingAt < surveyTimeoutMS {
			waits = true
		}
	}
	if waits {
		return
	}
	began := m.surveyStartedAt
	m.surveyStartedAt = 0
	for _, mem := range slices.Clone(m.probeOrder) {
		if mem.State.responsive() && mem.lastAckAt < began && mem.lastMessageAt < began {
			m.suspectMember(mem)
		}
	}
}
