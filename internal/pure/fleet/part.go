package fleet

import (
	"math"
	"slices"
)

// What this router may use of what all share. Design and proof: docs/design/view.md, "What may be spent".
const (
	// shareValidMS is for how long a router's part stays its own without contact to half of those that it counts.
	shareValidMS = 60e3
	// excludeAfterMS is the silence after which a majority counts a member out: longer than its right, with room for slow notice.
	excludeAfterMS = 90e3
	// lapsedFraction is the part of its part that a router keeps beyond that, and left what others leave to one that they count out: more, as
	// they may have become more meanwhile.
	lapsedFraction   = 1.0 / 8
	excludedFraction = 1.0 / 4
	// firstContactWaitMS is for how long a router that has met nobody waits for others before it counts with those that it was told to expect.
	firstContactWaitMS = 10e3
	// noSeedWaitMS is the same where it knows of no address to join by.
	noSeedWaitMS = 3e3
	// reactionTimeMS is what a router may take to heed that there is one more: that one waits for as long.
	reactionTimeMS = 250.0
)

// NoShare stands for so many routers that a part of anything is none.
const NoShare = 1 << 20

// Share is what a router may use: one of Routers equal parts of each common good until Until, one of Then from there on.
type Share struct {
	Routers      float64
	Until        float64
	RoutersAfter float64
}

// Invariant: of all processes that have met, the sum of 1/Routers over those whose time has not run out, and of 1/Then over the others,
// is at most 1, in any partition, whatever is lost, and whoever stops or dies.
//
// Why: who uses more than the lapsed part has had an answer from each that it counts, given while both knew the same processes; so any
// two of them count each other, and each divides by as many as they are at least. A member is counted out when it is shown not to run,
// has left, or has been silent for so long that its right has ended, and then by a majority alone, which goes on to leave it the
// lapsed part.
type shareState struct {
	active         bool    // all count this router
	hadShare       bool    // a part once
	allConfirmedAt float64 // when all were first seen to count it; 0 = they do not yet
	contactAt      float64 // when half of those counted were last in reach
	majoritySince  float64 // since when more than half have been
	metAny         bool    // anybody ever
	recountNeeded  bool    // counted is to be found again
	counted        int     // members that common goods are divided by, beside this router
	recountAt      float64 // when a part becomes free; 0 = none does
	current        Share
}

// counted says whether the member is among those that common goods are divided by.
func (m *Machine) isCounted(mem *member) bool {
	if mem.State.present() {
		return mem.State != Excluded
	}
	return !mem.verifiedDown || m.now < mem.shareFreeAt
}

// markVerifiedDown notes that this router has seen itself that a member runs no more. What that one may have lent is not free before its loans have ended.
func (m *Machine) markVerifiedDown(mem *member) {
	mem.verifiedDown, mem.shareFreeAt = true, m.now+m.cfg.LeaseMS
	m.share.recountNeeded = true
	if m.cfg.LeaseMS > 0 {
		m.share.recountAt = mem.shareFreeAt // of several the last
	}
}

// rejoin has this router use nothing until all count it again.
func (m *Machine) rejoin() {
	m.share.active, m.share.allConfirmedAt = false, 0
	for _, mem := range m.members {
		mem.confirmed = false
	}
	if m.self.State == Alive {
		m.updateSelf(func(s *Record) { s.Incarnation, s.State = s.Incarnation+1, Joining })
	}
	m.share.recountNeeded = true
}

// updateShare finds what this router may use.
func (m *Machine) updateShare() {
	p := &m.share
	if p.recountAt > 0 && m.now >= p.recountAt {
		p.recountNeeded, p.recountAt = true, 0
	}
	if p.recountNeeded || m.stateCounts[Unresponsive] > 0 || m.stateCounts[Dead] > 0 {
		m.recountMembers()
	}
	m.handleFirstContact()
	m.expireShare() // before contact is seen anew: what was heard after it had ended does not bring a right back
	reach, voters := m.countReachable()
	switch {
	case reach == 1 && voters <= 2:
		p.contactAt = m.now
	case 2*reach >= voters:
		p.contactAt = max(p.contactAt, m.lastAckedPingAt)
	}
	if 2*reach <= voters {
		p.majoritySince = m.now
	}
	whole := 1 + p.counted
	if !p.active {
		m.requestConfirmations(whole)
	}
	p.current = m.shareFor(whole)
}

// expireShare ends a right without contact for too long.
func (m *Machine) expireShare() {
	if m.share.active && m.now-m.share.contactAt > shareValidMS {
		m.rejoin()
	}
}

// handleFirstContact has whoever was alone and meets others, who may be many and know nothing of it, take its part anew, as one that joins.
func (m *Machine) handleFirstContact() {
	if p := &m.share; !p.metAny && m.stateCounts[Joining]+m.stateCounts[Alive]+m.stateCounts[Suspect] > 0 {
		p.metAny, p.hadShare = true, false
		m.rejoin()
	}
}

// applyMemberChanges has a change of members count at once.
func (m *Machine) applyMemberChanges() {
	m.handleFirstContact()
	if m.share.recountNeeded {
		m.recountMembers()
		m.share.current = m.shareFor(1 + m.share.counted)
	}
}

// recountMembers counts those that common goods are divided by. A majority of the last whole counts out those that have been silent for so
// long that their right has ended. Who is said to be gone and can't be reached to see it has had the time to deny it by then, too.
func (m *Machine) recountMembers() {
	p := &m.share
	for _, name := range m.departed {
		if mem := m.members[name]; !mem.verifiedDown && m.now-mem.since > excludeAfterMS {
			m.markVerifiedDown(mem)
		}
	}
	m.declareReplacedAt(m.self.Addr, m.self.Name, m.startedAt) // this process listens there
	p.counted = m.countMembers()
	p.recountNeeded = false
	if m.stateCounts[Unresponsive] == 0 || !p.active {
		return
	}
	for _, mem := range slices.Clone(m.probeOrder) {
		if mem.State == Unresponsive && m.now-max(mem.since, p.majoritySince) > excludeAfterMS {
			r := mem.Record
			r.State = Excluded
			m.replaceRecord(mem, r, m.self.Name)
		}
	}
	p.counted = m.countMembers()
}

// countReachable counts those that are heard among those that have a part: who is still joining is not known to those that are not heard, so that
// a majority with its help proves nothing.
func (m *Machine) countReachable() (reach, voters int) {
	return 1 + m.stateCounts[Alive], 1 + m.share.counted - m.stateCounts[Joining]
}

// countMembers counts the members that common goods are divided by.
func (m *Machine) countMembers() (n int) {
	for _, mem := range m.probeOrder {
		if m.isCounted(mem) {
			n++
		}
	}
	for _, name := range m.departed {
		if m.isCounted(m.members[name]) {
			n++
		}
	}
	return n
}

// requestConfirmations asks all that are counted whether they count this router, and has it take its part once all have said so. One that
// has met nobody waits for a while.
func (m *Machine) requestConfirmations(whole int) {
	p := &m.share
	if whole == 1 && !p.metAny {
		wait := firstContactWaitMS
		if m.hasNoSeed() {
			wait = noSeedWaitMS
		}
		if m.now-m.startedAt < wait {
			return
		}
	}
	all, sent := true, 0
	for _, name := range m.departed {
		if mem := m.members[name]; !mem.verifiedDown {
			all = false
			m.recheckDead(mem)
		}
	}
	for _, mem := range m.probeOrder {
		if mem.confirmed || !m.isCounted(mem) {
			continue
		}
		all = false
		if sent >= maxPingsPerTick || m.now-mem.lastPingAt < minPingIntervalMS {
			continue
		}
		sent++
		mem.lastPingAt = m.now
		if len(m.pendingProbes) < 8*maxPendingProbes {
			m.pendingProbes = append(m.pendingProbes, &probe{name: mem.Name, start: mem.Start, seq: m.newSeq(), began: m.now})
			m.sendPing(mem.Addr, mem, m.seq)
		}
	}
	switch {
	case !all:
		p.allConfirmedAt = 0
	case p.allConfirmedAt == 0:
		p.allConfirmedAt = m.now
	case m.now-p.allConfirmedAt >= reactionTimeMS+m.cfg.LeaseMS: // what the process before it has lent has ended by then, too
		p.active, p.hadShare, p.contactAt = true, true, m.now
		if m.self.State == Joining {
			m.updateSelf(func(s *Record) { s.State = Alive })
		}
	}
}

// recheckDead looks whether one that is said to be gone does not run: its address refuses, or somebody else answers there.
func (m *Machine) recheckDead(mem *member) {
	if m.now-mem.lastPingAt < minPingIntervalMS {
		return
	}
	mem.lastPingAt = m.now
	m.streamPing(mem)
	m.pingAddr(mem.Addr)
	for _, o := range m.membersAt(mem.Addr) {
		if o != mem && o.State.responsive() {
			m.startProbe(o, false)
		}
	}
}

func (m *Machine) hasNoSeed() bool {
	for _, a := range m.cfg.Join {
		if a != m.self.Addr {
			return false
		}
	}
	return true
}

// shareFor is what follows for a whole of so many.
func (m *Machine) shareFor(whole int) Share {
	p := &m.share
	then := math.Ceil(float64(whole) / lapsedFraction)
	switch {
	case !p.active && p.hadShare:
		return Share{then, math.Inf(1), then}
	case !p.active:
		return Share{NoShare, math.Inf(1), NoShare}
	}
	n := float64(whole) + math.Ceil(float64(m.stateCounts[Excluded])*excludedFraction)
	if whole == 1 && !p.metAny {
		n = float64(m.cfg.ExpectedRouters)
	}
	until := p.contactAt + shareValidMS
	if whole == 1 && m.stateCounts[Excluded] == 0 {
		until = math.Inf(1)
	}
	return Share{n, until, then}
}

// Share is what this router may use now.
func (m *Machine) Share() Share {
	if m.refused != nil || m.share.current.Routers == 0 {
		return Share{NoShare, math.Inf(1), NoShare}
	}
	return m.share.current
}
