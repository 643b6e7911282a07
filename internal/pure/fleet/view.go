package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// departedRetentionMS is how long who has left or is gone is remembered, in ms; who is silent stays while there is room.
const departedRetentionMS = 600e3

// Words of one accuser that turn out wrong count against it; they are forgotten by half every accusationHalfLifeMS ms.
const (
	maxFalseAccusations  = 6.0
	accusationHalfLifeMS = 30e3
	maxTrackedAccusers   = 512
)

type accusationScore struct {
	count     float64
	decayedAt float64
}

// merge takes what is said of a member by from, "" for the member itself. It tells whether that was news.
func (m *Machine) merge(r Record, from string) bool {
	if r.Name == m.self.Name {
		m.mergeSelf(r, from)
		return false
	}
	old := m.members[r.Name]
	if old == nil {
		return m.addMember(r, from)
	}
	if r.State >= Suspect && r.State <= Dead && m.discredited(r.AccuserID) && from != "" {
		return false
	}
	if r.State == Excluded && r.Start == old.Start && (old.State.responsive() || old.State == Unresponsive && m.now-old.since < shareValidMS) {
		return false // this router's own clock says when
	}
	if !r.supersedes(old.Record) {
		if r.State == Suspect && r.Start == old.Start && r.Incarnation == old.Incarnation {
			m.confirmSuspicion(old, r.AccuserID)
		}
		return false
	}
	if r.Start != old.Start && r.Addr != old.Addr && old.State.responsive() && r.State != Left {
		// Another process of that name, elsewhere, while the older one is thought to live: first it must be seen that it does not.
		m.streamPing(old)
		return false
	}
	if old.State >= Suspect && old.State <= Dead && r.Start == old.Start && r.State < Suspect {
		m.recordFalseAccusation(old.AccuserID)
	}
	m.replaceRecord(old, r, from)
	return true
}

// addMember takes a member that was not known.
func (m *Machine) addMember(r Record, from string) bool {
	if len(m.members) >= MaxMembers && !m.evictMember() {
		return false
	}
	mem := &member{Record: r, orderIndex: -1, since: m.now, bucket: bucketOf(r.Name)}
	m.members[r.Name] = mem
	m.stateCounts[r.State]++
	if r.State.present() {
		m.addToProbeOrder(mem)
	} else {
		m.departed = append(m.departed, r.Name)
		mem.verifiedDown = r.State == Left
	}
	m.publishChange(mem, Change{Record: r, Previous: r.State, New: true}, from)
	if r.State == Suspect {
		m.startSuspicion(mem)
	}
	m.pruneDeparted()
	return true
}

// replaceRecord puts a newer record in place of a member's old one.
func (m *Machine) replaceRecord(mem *member, r Record, from string) {
	was := mem.Record
	if was.State.present() {
		m.toggleDigests(was)
	}
	m.stateCounts[was.State]--
	m.stateCounts[r.State]++
	if mem.Record = r; r.State != Excluded { // that one counts from the silence on
		mem.since = m.now
	}
	if r.Start != was.Start {
		mem.confirmed, mem.addrVerified, mem.verifiedDown = false, false, false
	}
	switch {
	case r.State.present() && !was.State.present():
		m.departed = slices.DeleteFunc(m.departed, func(n string) bool { return n == r.Name })
		mem.verifiedDown = false
		m.addToProbeOrder(mem)
	case r.State.present():
		m.toggleDigests(r)
	case was.State.present():
		m.handleDeparture(mem)
	}
	if was.State == Suspect {
		m.suspects = slices.DeleteFunc(m.suspects, func(n string) bool { return n == r.Name })
		mem.accusers = nil
	}
	if r.State == Suspect {
		m.startSuspicion(mem)
	}
	m.publishChange(mem, Change{Record: r, Previous: was.State}, from)
	m.pruneDeparted()
}

// addToProbeOrder gives a member its turn in the order of probes, at a random place.
func (m *Machine) addToProbeOrder(mem *member) {
	m.toggleDigests(mem.Record)
	m.probeOrder = append(m.probeOrder, mem)
	i := m.rng.IntN(len(m.probeOrder))
	last := len(m.probeOrder) - 1
	m.probeOrder[i], m.probeOrder[last] = m.probeOrder[last], m.probeOrder[i]
	m.probeOrder[i].orderIndex, m.probeOrder[last].orderIndex = i, last
}

// handleDeparture takes a member that is gone or has left out of the order, and remembers it for a while. Another's word that it does not run is
// looked at before anything is made of it.
func (m *Machine) handleDeparture(mem *member) {
	m.removeFromProbeOrder(mem)
	m.departed = append(m.departed, mem.Name)
	if mem.State == Left {
		m.markVerifiedDown(mem)
	} else {
		mem.verifiedDown = false
		m.streamPing(mem)
	}
}

// removeFromProbeOrder takes a member out of the order of probes.
func (m *Machine) removeFromProbeOrder(mem *member) {
	last := len(m.probeOrder) - 1
	m.probeOrder[mem.orderIndex] = m.probeOrder[last]
	m.probeOrder[mem.orderIndex].orderIndex = mem.orderIndex
	m.probeOrder, mem.orderIndex = m.probeOrder[:last], -1
}

// publishChange tells the host, and all others.
func (m *Machine) publishChange(mem *member, c Change, from string) {
	mem.reporter = from
	if c.Reporter = from; from == m.self.Name {
		c.Reporter = "me"
	}
	m.changedAt, m.share.recountNeeded = m.now, true
	m.changeCount++
	m.queueUpdate(mem.Record)
	m.host.MemberChanged(c)
}

// mergeSelf denies what is wrong. A record of a later start is another process of this name: it is asked whether it runs.
func (m *Machine) mergeSelf(r Record, from string) {
	switch {
	case r.Start == m.self.Start && r.Addr == m.self.Addr:
		if r.State > Alive && m.self.State != Left && r.supersedes(m.self) {
			m.refute(r)
		}
	case r.Addr == m.self.Addr: // a start of this very place: older ones are gone
		if r.Start > m.self.Start || r.State.responsive() {
			m.supersedeStart(r)
		}
	case r.Start < m.self.Start && r.State.responsive(): // it was there before, and may still run
		m.checkDuplicate(r)
	case r.Start > m.self.Start && !r.State.responsive() && from != "": // a later one that is no more
		m.supersedeStart(r)
	case r.Start > m.self.Start:
		m.queueUpdate(m.self)
	}
}

// checkDuplicate asks the process that goes by this one's name whether it runs. Only its own answer to this very question counts.
func (m *Machine) checkDuplicate(r Record) {
	if m.now < m.nextDuplicateCheckAt {
		return
	}
	m.nextDuplicateCheckAt, m.duplicateCheckSeq = m.now+minPingIntervalMS, m.newSeq()
	b := m.encodeWithUpdates(message{Type: ping, Seq: m.duplicateCheckSeq, Target: r.Name, TargetStart: r.Start}, MaxMessage, true)
	m.host.Send(r.Addr, b)
	if m.cfg.Streams {
		m.host.StreamPing(r.Addr, b)
	}
}

// refuse ends this process's part in the fleet.
func (m *Machine) refuse(r Record) {
	if m.refused == nil {
		m.refused = fmt.Errorf("%w: %s runs at %v since before this one at %v; give this one a name of its own", ErrDuplicateName, r.Name, r.Addr, m.self.Addr)
	}
}

// refute says that this process lives, over a word that it does not.
func (m *Machine) refute(r Record) {
	m.adjustHealthScore(1)
	m.updateSelf(func(s *Record) {
		s.Incarnation = r.Incarnation + 1
		if !m.cfg.PlainSWIM {
			s.TimeoutExtension = min(s.TimeoutExtension+1, maxTimeoutExtension)
		}
	})
	if m.extensionChangedAt == 0 || m.now-m.extensionChangedAt > 4*m.extensionHold {
		m.extensionHold = extensionHoldMS
	} else { // again, soon after it asked for less: then it asks later
		m.extensionHold = min(2*m.extensionHold, maxExtensionHoldMS)
	}
	m.extensionChangedAt = m.now
}

// reduceTimeoutExtension asks the others for less patience, a step at a time, once nobody has accused this router for a while.
func (m *Machine) reduceTimeoutExtension() {
	if m.self.TimeoutExtension == 0 || m.now-m.extensionChangedAt < m.extensionHold || m.self.State == Left {
		return
	}
	m.extensionChangedAt = m.now
	m.updateSelf(func(s *Record) { s.Incarnation, s.TimeoutExtension = s.Incarnation+1, s.TimeoutExtension-1 })
}

// supersedeStart takes a start over that of a process that went by this name, whose clock may have run ahead.
func (m *Machine) supersedeStart(r Record) {
	if r.Start < m.self.Start {
		m.queueUpdate(m.self)
		return
	}
	m.updateSelf(func(s *Record) { s.Start, s.Incarnation, s.State = r.Start+1, 0, Joining })
	m.rejoin()
}

// updateSelf changes what this router says of itself.
func (m *Machine) updateSelf(change func(*Record)) {
	m.toggleDigests(m.self)
	was := m.self.State
	change(&m.self)
	m.self.AccuserID = 0
	m.toggleDigests(m.self)
	m.changedAt = m.now
	m.changeCount++
	m.queueUpdate(m.self)
	m.host.MemberChanged(Change{Record: m.self, Previous: was, Reporter: "me"})
}

// recordFalseAccusation counts that the word of an accuser was denied, discredited says whether that was so often that it counts for nothing.
func (m *Machine) recordFalseAccusation(by uint32) {
	if m.cfg.PlainSWIM || by == 0 {
		return
	}
	if _, ok := m.falseAccusations[by]; !ok && len(m.falseAccusations) >= maxTrackedAccusers {
		return
	}
	m.falseAccusations[by] = accusationScore{m.falseAccusationsBy(by) + 1, m.now}
}

func (m *Machine) falseAccusationsBy(by uint32) float64 {
	b, ok := m.falseAccusations[by]
	if !ok {
		return 0
	}
	for at := b.decayedAt; at+accusationHalfLifeMS <= m.now && b.count > 0.5; at += accusationHalfLifeMS {
		b.count, b.decayedAt = b.count/2, at+accusationHalfLifeMS
	}
	if b.count <= 0.5 {
		delete(m.falseAccusations, by)
		return 0
	}
	m.falseAccusations[by] = b
	return b.count
}

func (m *Machine) discredited(by uint32) bool { return m.falseAccusationsBy(by) >= maxFalseAccusations }

// pruneDeparted lets go of who has left or is gone for long, the oldest first where there are too many.
func (m *Machine) pruneDeparted() {
	n := 0
	for n < len(m.departed) && (len(m.departed)-n > maxDeparted || m.now-m.members[m.departed[n]].since > departedRetentionMS) {
		if mem := m.members[m.departed[n]]; !mem.verifiedDown && m.now-mem.since <= departedRetentionMS {
			break
		}
		m.deleteMember(m.departed[n])
		n++
	}
	m.departed = m.departed[n:]
}

// evictMember forgets somebody for one that is new: who is gone, else who has been silent for longest. Nobody who is heard gives way.
func (m *Machine) evictMember() bool {
	if len(m.departed) > 0 {
		m.deleteMember(m.departed[0])
		m.departed = m.departed[1:]
		return true
	}
	var oldest *member
	for _, mem := range m.probeOrder {
		if mem.State == Excluded && (oldest == nil || mem.since < oldest.since) {
			oldest = mem
		}
	}
	if oldest == nil {
		return false
	}
	m.toggleDigests(oldest.Record)
	m.removeFromProbeOrder(oldest)
	m.deleteMember(oldest.Name)
	return true
}

// deleteMember forgets a member that has no place in the order.
func (m *Machine) deleteMember(name string) {
	m.stateCounts[m.members[name].State]--
	delete(m.members, name)
	delete(m.updates, name)
	m.share.recountNeeded = true
}

// Member is a router as the view has it.
type Member struct {
	Record
	SinceMS  float64 // for which it has been so
	Reporter string  // whose word it is, "" = its own
	Counted  bool    // among those that common goods are divided by
}

// ViewDigest is what a router knows of the fleet.
type View struct {
	Name        string
	Digest      uint64  // equal digests are equal views, of those that have neither left nor are gone
	SettledS    float64 // for which nothing has changed
	HealthScore int     // in oneself: 0 = none, to 8
	Share       Share
	Members     []Member // by name
}

// Present counts the routers that are thought to run, this one among them.
func (m *Machine) Present() int {
	return 1 + m.stateCounts[Joining] + m.stateCounts[Alive] + m.stateCounts[Suspect] + m.stateCounts[Unresponsive]
}

// ChangeCount counts those of what is known of any member, and of this router's own word.
func (m *Machine) ChangeCount() uint64 { return m.changeCount }

// Self is what this router says of itself.
func (m *Machine) Self() Record { return m.self }

// ForEach has something done with each other router that is known, in no order.
func (m *Machine) ForEach(do func(Record)) {
	for _, mem := range m.members {
		do(mem.Record)
	}
}

// ViewDigest is a copy of what the router knows.
func (m *Machine) View(now float64) View {
	v := View{Name: m.self.Name, Digest: m.viewDigest, SettledS: (now - m.changedAt) / 1000, HealthScore: m.healthScore, Share: m.Share()}
	v.Members = append(v.Members, Member{Record: m.self, SinceMS: now - m.startedAt, Counted: true})
	for _, mem := range m.members {
		v.Members = append(v.Members, Member{Record: mem.Record, SinceMS: now - mem.since, Reporter: mem.reporter, Counted: m.isCounted(mem)})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
