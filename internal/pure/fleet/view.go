package fleet

import (
	"cmp"
	"fmt"
	"slices"
)

// departedRetentionMS is how long dead and departed members are remembered, in ms; unresponsive members stay
// as long as there is capacity.
const departedRetentionMS = 600e3

// Accusations that turn out false count against their accuser; from maxFalseAccusations on, its accusations
// are ignored. The count decays by half every accusationHalfLifeMS.
const (
	maxFalseAccusations  = 6.0
	accusationHalfLifeMS = 30e3
	maxTrackedAccusers   = 512
)

// accusationScore is the decaying count of an accuser's false accusations.
type accusationScore struct {
	count     float64
	decayedAt float64
}

// merge merges a record that was received from the named member, "" for the member itself. Reports whether
// the view changed.
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
		return false // each router decides that by its own clock
	}
	if !r.supersedes(old.Record) {
		if r.State == Suspect && r.Start == old.Start && r.Incarnation == old.Incarnation {
			m.confirmSuspicion(old, r.AccuserID)
		}
		return false
	}
	if r.Start != old.Start && r.Addr != old.Addr && old.State.responsive() && r.State != Left {
		// Another process with that name at another address, while the older one is still responsive: the
		// older one must first be verified to be dead.
		m.streamPing(old)
		return false
	}
	if old.State >= Suspect && old.State <= Dead && r.Start == old.Start && r.State < Suspect {
		m.recordFalseAccusation(old.AccuserID)
	}
	m.replaceRecord(old, r, from)
	return true
}

// addMember adds a member that was not known. Reports false if there is no capacity.
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

// replaceRecord replaces a member's record by a newer one.
func (m *Machine) replaceRecord(mem *member, r Record, from string) {
	was := mem.Record
	if was.State.present() {
		m.toggleDigests(was)
	}
	m.stateCounts[was.State]--
	m.stateCounts[r.State]++
	if mem.Record = r; r.State != Excluded { // its age counts from the time it became unresponsive
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

// addToProbeOrder inserts a member at a random position in the probe order.
func (m *Machine) addToProbeOrder(mem *member) {
	m.toggleDigests(mem.Record)
	m.probeOrder = append(m.probeOrder, mem)
	i := m.rng.IntN(len(m.probeOrder))
	last := len(m.probeOrder) - 1
	m.probeOrder[i], m.probeOrder[last] = m.probeOrder[last], m.probeOrder[i]
	m.probeOrder[i].orderIndex, m.probeOrder[last].orderIndex = i, last
}

// handleDeparture takes a dead or departed member out of the probe order and remembers it for a while. A
// report that it is dead is verified before its share is reused.
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

// removeFromProbeOrder takes a member out of the probe order.
func (m *Machine) removeFromProbeOrder(mem *member) {
	last := len(m.probeOrder) - 1
	m.probeOrder[mem.orderIndex] = m.probeOrder[last]
	m.probeOrder[mem.orderIndex].orderIndex = mem.orderIndex
	m.probeOrder, mem.orderIndex = m.probeOrder[:last], -1
}

// publishChange notifies the host and queues the update for the other members.
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

// mergeSelf handles a record of this router's own name and refutes it if it is wrong. If the record is of an
// older start at another address, that process is asked whether it still runs.
func (m *Machine) mergeSelf(r Record, from string) {
	switch {
	case r.Start == m.self.Start && r.Addr == m.self.Addr:
		if r.State > Alive && m.self.State != Left && r.supersedes(m.self) {
			m.refute(r)
		}
	case r.Addr == m.self.Addr: // another start at this very address: its process is dead
		if r.Start > m.self.Start || r.State.responsive() {
			m.supersedeStart(r)
		}
	case r.Start < m.self.Start && r.State.responsive(): // it is older than this process, and may still run
		m.checkDuplicate(r)
	case r.Start > m.self.Start && !r.State.responsive() && from != "": // a later process that no longer runs
		m.supersedeStart(r)
	case r.Start > m.self.Start:
		m.queueUpdate(m.self)
	}
}

// checkDuplicate asks the process that uses this router's name whether it runs. Only its own answer to this
// very ping counts.
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

// refuse ends this process's participation in the fleet, because r is an older process of its name.
func (m *Machine) refuse(r Record) {
	if m.refused == nil {
		m.refused = fmt.Errorf("%w: %s runs at %v since before this one at %v; give this one a name of its own", ErrDuplicateName, r.Name, r.Addr, m.self.Addr)
	}
}

// refute answers a false report about this process with a higher incarnation.
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
	} else { // accused again soon after the extension shrank: wait longer before the next step
		m.extensionHold = min(2*m.extensionHold, maxExtensionHoldMS)
	}
	m.extensionChangedAt = m.now
}

// reduceTimeoutExtension lowers the requested timeout extension by one step once nobody has accused this
// router for a while.
func (m *Machine) reduceTimeoutExtension() {
	if m.self.TimeoutExtension == 0 || m.now-m.extensionChangedAt < m.extensionHold || m.self.State == Left {
		return
	}
	m.extensionChangedAt = m.now
	m.updateSelf(func(s *Record) { s.Incarnation, s.TimeoutExtension = s.Incarnation+1, s.TimeoutExtension-1 })
}

// supersedeStart moves this process's start past that of an earlier process of its name, whose clock may have
// run ahead.
func (m *Machine) supersedeStart(r Record) {
	if r.Start < m.self.Start {
		m.queueUpdate(m.self)
		return
	}
	m.updateSelf(func(s *Record) { s.Start, s.Incarnation, s.State = r.Start+1, 0, Joining })
	m.rejoin()
}

// updateSelf changes this router's own record and announces it.
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

// recordFalseAccusation counts that an accusation by the given member was refuted.
func (m *Machine) recordFalseAccusation(by uint32) {
	if m.cfg.PlainSWIM || by == 0 {
		return
	}
	if _, ok := m.falseAccusations[by]; !ok && len(m.falseAccusations) >= maxTrackedAccusers {
		return
	}
	m.falseAccusations[by] = accusationScore{m.falseAccusationsBy(by) + 1, m.now}
}

// falseAccusationsBy returns the decayed count of refuted accusations by a member.
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

// discredited reports whether a member made so many false accusations that its reports are ignored.
func (m *Machine) discredited(by uint32) bool { return m.falseAccusationsBy(by) >= maxFalseAccusations }

// pruneDeparted forgets members that departed or died long ago, and the oldest ones if there are too many. A
// member that is not verified to be down is still counted, so it and all later ones are kept for
// departedRetentionMS.
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

// evictMember frees capacity for a new member: it forgets the oldest dead or departed member, or else the one
// that has been excluded for longest. Responsive members are never evicted. Reports whether there was one to
// evict.
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

// deleteMember forgets a member that is not in the probe order.
func (m *Machine) deleteMember(name string) {
	m.stateCounts[m.members[name].State]--
	delete(m.members, name)
	delete(m.updates, name)
	m.share.recountNeeded = true
}

// Member is a router in a View.
type Member struct {
	Record
	SinceMS  float64 // time in this state, in ms
	Reporter string  // source of the last change, "" = the member itself
	Counted  bool    // whether common resources are divided by it, too
}

// View is a copy of what a router knows about the fleet.
type View struct {
	Name string
	// Digest covers all members that are neither dead nor departed: equal digests mean equal views.
	Digest      uint64
	SettledS    float64 // seconds since the last change
	HealthScore int     // local health score: 0 = healthy, up to 8
	Share       Share
	Members     []Member // sorted by name
}

// Present returns the number of routers that are thought to run, this one included.
func (m *Machine) Present() int {
	return 1 + m.stateCounts[Joining] + m.stateCounts[Alive] + m.stateCounts[Suspect] + m.stateCounts[Unresponsive]
}

// ChangeCount returns the number of changes so far to the records of all members, this router included.
func (m *Machine) ChangeCount() uint64 { return m.changeCount }

// Self returns this router's own record.
func (m *Machine) Self() Record { return m.self }

// ForEach calls do for every other known router, in no particular order.
func (m *Machine) ForEach(do func(Record)) {
	for _, mem := range m.members {
		do(mem.Record)
	}
}

// View returns a copy of the current view.
func (m *Machine) View(now float64) View {
	v := View{Name: m.self.Name, Digest: m.viewDigest, SettledS: (now - m.changedAt) / 1000, HealthScore: m.healthScore, Share: m.Share()}
	v.Members = append(v.Members, Member{Record: m.self, SinceMS: now - m.startedAt, Counted: true})
	for _, mem := range m.members {
		v.Members = append(v.Members, Member{Record: mem.Record, SinceMS: now - mem.since, Reporter: mem.reporter, Counted: m.isCounted(mem)})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}
