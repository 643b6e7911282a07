package fleet

import (
	"math"
	"slices"
)

// Constants of the share that this router may use of the common resources. Durations are in milliseconds.
// Design and proof: docs/design/view.md, "What may be spent".
const (
	// shareValidMS is how long a router keeps its share without contact to half of the members that it
	// counts.
	shareValidMS = 60e3
	// excludeAfterMS is the time as unresponsive after which a majority excludes a member: longer than
	// shareValidMS, because the member may notice late that its share has expired.
	excludeAfterMS = 90e3
	// lapsedFraction is the fraction of its share that a router keeps after the share has expired.
	// excludedFraction is what the others reserve for a member that they exclude: more, because the fleet may
	// have grown since and their shares have shrunk.
	lapsedFraction   = 1.0 / 8
	excludedFraction = 1.0 / 4
	// firstContactWaitMS is how long a router that has met no other waits before it assumes a fleet of
	// Config.ExpectedRouters.
	firstContactWaitMS = 10e3
	// noSeedWaitMS is the same for a router without any other address to join by.
	noSeedWaitMS = 3e3
	// reactionTimeMS is the maximum time that a router takes to reduce its share for a new member, which
	// waits for as long before it uses its own.
	reactionTimeMS = 250.0
)

// NoShare is a value of Share.Routers so large that a share of any resource is zero.
const NoShare = 1 << 20

// Share is what a router may use: 1/Routers of each common resource until the time Until, in ms, and
// 1/RoutersAfter from then on.
type Share struct {
	Routers      float64
	Until        float64
	RoutersAfter float64
}

// shareState is the state from which a router derives its share.
//
// Invariant: over all processes that have met, the sum of 1/Routers of those whose time has not run out, and
// of 1/RoutersAfter of the others, is at most 1, under any partition, any message loss, and any pause or
// death of processes.
//
// Reason: a router that uses more than the lapsed fraction has had an answer from each member that it counts,
// given while both knew the same processes; so any two such routers count each other, and each divides by at
// least their number. A member is no longer counted when it is verified to be dead, has left, or has been
// unresponsive for so long that its share has expired; the last only by a majority, which then reserves the
// excluded fraction for it.
type shareState struct {
	active         bool    // all members count this router, so it may use a share
	hadShare       bool    // has had a share before
	allConfirmedAt float64 // time since which all members count it; 0 = they do not
	contactAt      float64 // time when half of the counted members were last reachable
	majoritySince  float64 // time since which more than half have been reachable
	metAny         bool    // has met any other router
	recountNeeded  bool    // counted is out of date
	counted        int     // members that common resources are divided by, besides this router
	recountAt      float64 // time when a share becomes available; 0 = none does
	current        Share
}

// isCounted reports whether common resources are divided by a member, too.
func (m *Machine) isCounted(mem *member) bool {
	if mem.State.present() {
		return mem.State != Excluded
	}
	return !mem.verifiedDown || m.now < mem.shareFreeAt
}

// markVerifiedDown records that this router has verified that a member no longer runs. What the member may
// have leased to others becomes available only after its leases have ended.
func (m *Machine) markVerifiedDown(mem *member) {
	mem.verifiedDown, mem.shareFreeAt = true, m.now+m.cfg.LeaseMS
	m.share.recountNeeded = true
	if m.cfg.LeaseMS > 0 {
		m.share.recountAt = mem.shareFreeAt // the latest, if there are several
	}
}

// rejoin reduces this router's share until all members count it again.
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

// updateShare recomputes the share that this router may use.
func (m *Machine) updateShare() {
	p := &m.share
	if p.recountAt > 0 && m.now >= p.recountAt {
		p.recountNeeded, p.recountAt = true, 0
	}
	if p.recountNeeded || m.stateCounts[Unresponsive] > 0 || m.stateCounts[Dead] > 0 {
		m.recountMembers()
	}
	m.handleFirstContact()
	m.expireShare() // before contactAt is updated: later contact does not revive an expired share
	reachable, voters := m.countReachable()
	switch {
	case reachable == 1 && voters <= 2:
		p.contactAt = m.now
	case 2*reachable >= voters:
		p.contactAt = max(p.contactAt, m.lastAckedPingAt)
	}
	if 2*reachable <= voters {
		p.majoritySince = m.now
	}
	routers := 1 + p.counted
	if !p.active {
		m.requestConfirmations(routers)
	}
	p.current = m.shareFor(routers)
}

// expireShare gives up the share after too long without contact.
func (m *Machine) expireShare() {
	if m.share.active && m.now-m.share.contactAt > shareValidMS {
		m.rejoin()
	}
}

// handleFirstContact makes a router that was alone join anew when it meets others: they may be many and do
// not count it yet.
func (m *Machine) handleFirstContact() {
	if p := &m.share; !p.metAny && m.stateCounts[Joining]+m.stateCounts[Alive]+m.stateCounts[Suspect] > 0 {
		p.metAny, p.hadShare = true, false
		m.rejoin()
	}
}

// applyMemberChanges makes membership changes take effect on the share at once.
func (m *Machine) applyMemberChanges() {
	m.handleFirstContact()
	if m.share.recountNeeded {
		m.recountMembers()
		m.share.current = m.shareFor(1 + m.share.counted)
	}
}

// recountMembers counts the members that common resources are divided by. A majority of the members counted
// last excludes those that have been unresponsive for so long that their share has expired. A member that is
// reported dead, and cannot be reached to verify it, has had time to refute that by then, too.
func (m *Machine) recountMembers() {
	p := &m.share
	for _, name := range m.departed {
		if mem := m.members[name]; !mem.verifiedDown && m.now-mem.since > excludeAfterMS {
			m.markVerifiedDown(mem)
		}
	}
	m.declareReplacedAt(m.self.Addr, m.self.Name, m.startedAt) // this process listens at that address
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

// countReachable returns the number of responsive members among those that have a share, and the number of
// those. Joining members are left out: unresponsive ones do not know them, so a majority that includes them
// proves nothing.
func (m *Machine) countReachable() (reachable, voters int) {
	return 1 + m.stateCounts[Alive], 1 + m.share.counted - m.stateCounts[Joining]
}

// countMembers returns the number of members that common resources are divided by.
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

// requestConfirmations asks all counted members whether they count this router, and activates its share once
// all have confirmed it. A router that has met no other waits for a while first.
func (m *Machine) requestConfirmations(routers int) {
	p := &m.share
	if routers == 1 && !p.metAny {
		wait := firstContactWaitMS
		if m.hasNoSeed() {
			wait = noSeedWaitMS
		}
		if m.now-m.startedAt < wait {
			return
		}
	}
	allConfirmed, sent := true, 0
	for _, name := range m.departed {
		if mem := m.members[name]; !mem.verifiedDown {
			allConfirmed = false
			m.recheckDead(mem)
		}
	}
	for _, mem := range m.probeOrder {
		if mem.confirmed || !m.isCounted(mem) {
			continue
		}
		allConfirmed = false
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
	case !allConfirmed:
		p.allConfirmedAt = 0
	case p.allConfirmedAt == 0:
		p.allConfirmedAt = m.now
	// Leases granted by this router's previous process have ended by then, too.
	case m.now-p.allConfirmedAt >= reactionTimeMS+m.cfg.LeaseMS:
		p.active, p.hadShare, p.contactAt = true, true, m.now
		if m.self.State == Joining {
			m.updateSelf(func(s *Record) { s.State = Alive })
		}
	}
}

// recheckDead verifies whether a member that is reported dead runs: its address refuses connections, or
// another process answers there.
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

// hasNoSeed reports whether there is no address to join by other than this router's own.
func (m *Machine) hasNoSeed() bool {
	for _, a := range m.cfg.Join {
		if a != m.self.Addr {
			return false
		}
	}
	return true
}

// shareFor returns the share when the given number of routers is counted, this one included.
func (m *Machine) shareFor(routers int) Share {
	p := &m.share
	lapsedRouters := math.Ceil(float64(routers) / lapsedFraction)
	switch {
	case !p.active && p.hadShare:
		return Share{lapsedRouters, math.Inf(1), lapsedRouters}
	case !p.active:
		return Share{NoShare, math.Inf(1), NoShare}
	}
	n := float64(routers) + math.Ceil(float64(m.stateCounts[Excluded])*excludedFraction)
	if routers == 1 && !p.metAny {
		n = float64(m.cfg.ExpectedRouters)
	}
	until := p.contactAt + shareValidMS
	if routers == 1 && m.stateCounts[Excluded] == 0 {
		until = math.Inf(1)
	}
	return Share{n, until, lapsedRouters}
}

// Share returns what this router may use now.
func (m *Machine) Share() Share {
	if m.refused != nil || m.share.current.Routers == 0 {
		return Share{NoShare, math.Inf(1), NoShare}
	}
	return m.share.current
}
