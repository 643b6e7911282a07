package fleet

import (
	"math"
	"slices"
)

// queuedUpdate is a record with the number of transmissions that remain and that were made.
type queuedUpdate struct {
	Record
	remaining, sent int
}

// maxQueuedUpdates limits the queued updates; push-pull exchanges make up for those that are dropped.
const maxQueuedUpdates = 512

// queueUpdate queues a record to be piggybacked on messages, a number of times that grows with the logarithm
// of the fleet's size.
func (m *Machine) queueUpdate(r Record) {
	if len(m.updates) >= maxQueuedUpdates && m.updates[r.Name] == nil {
		return
	}
	n := float64(len(m.probeOrder) + 1)
	m.updates[r.Name] = &queuedUpdate{Record: r, remaining: 3 + int(math.Ceil(math.Log2(n+1)))}
}

// maxUpdatesPerMessage is more than the number of records that fit into a message.
const maxUpdatesPerMessage = 8

// selectUpdates returns the records to transmit next, those with the fewest transmissions first.
func (m *Machine) selectUpdates(exclude []Record) []Record {
	var best [maxUpdatesPerMessage + 1]*queuedUpdate
	n := 0
	for _, it := range m.updates {
		if slices.ContainsFunc(exclude, func(r Record) bool { return r.Name == it.Name }) {
			continue
		}
		at := n
		for ; at > 0 && it.before(best[at-1]); at-- {
			best[at] = best[at-1]
		}
		best[at] = it
		n = min(n+1, maxUpdatesPerMessage)
	}
	if n == 0 {
		return nil
	}
	out := make([]Record, n)
	for i, it := range best[:n] {
		out[i] = it.Record
	}
	return out
}

// before orders updates: fewest transmissions first, then the higher state, then by name.
func (it *queuedUpdate) before(o *queuedUpdate) bool {
	switch {
	case it.sent != o.sent:
		return it.sent < o.sent
	case it.State != o.State:
		return it.State > o.State
	}
	return it.Name < o.Name
}

// countTransmissions records that updates were transmitted and drops those with no transmissions left.
func (m *Machine) countTransmissions(rs []Record) {
	for _, r := range rs {
		it := m.updates[r.Name]
		if it == nil {
			continue
		}
		it.sent++
		if it.remaining--; it.remaining <= 0 {
			delete(m.updates, r.Name)
		}
	}
}

// handleEqualView counts one transmission of every update, because a member with the same view knows them
// all.
func (m *Machine) handleEqualView() {
	for name, it := range m.updates {
		if it.remaining--; it.remaining <= 0 {
			delete(m.updates, name)
		}
	}
}

// sendGossip sends updates to a few members at once while any update has had less than half of its
// transmissions.
func (m *Machine) sendGossip() {
	if m.now < m.nextGossipAt || len(m.probeOrder) == 0 {
		return
	}
	urgent := false
	for _, it := range m.updates {
		if it.sent < it.remaining { // the first half of its transmissions is not left to piggybacking alone
			urgent = true
			break
		}
	}
	if !urgent {
		return
	}
	m.nextGossipAt = m.now + gossipIntervalMS
	for _, mem := range m.randomMembers(gossipFanout, func(o *member) bool { return o.State.responsive() }) {
		m.send(mem.Addr, message{Type: gossip}, MaxMessage)
	}
}

// reconnect pings join addresses and unresponsive or dead members, so that the two sides of a healed
// partition find each other.
func (m *Machine) reconnect() {
	if m.now < m.nextReconnectAt {
		return
	}
	m.nextReconnectAt = m.now + reconnectIntervalMS*(0.75+0.5*m.rng.Float64())
	var addrs []Addr
	known := map[Addr]bool{m.self.Addr: true}
	for _, mem := range m.probeOrder {
		known[mem.Addr] = true
		if !mem.State.responsive() {
			addrs = append(addrs, mem.Addr)
		}
	}
	for _, a := range m.cfg.Join {
		if !known[a] {
			addrs = append(addrs, a)
		}
	}
	for range 2 {
		if len(addrs) > 0 {
			m.pingAddr(addrs[m.rng.IntN(len(addrs))])
		}
	}
	if mem := m.unverifiedDead(); mem != nil { // those that still hold a share come first
		m.recheckDead(mem)
		return
	}
	if len(m.departed) > 0 && m.rng.IntN(4) == 0 {
		if mem := m.members[m.departed[m.rng.IntN(len(m.departed))]]; mem.State == Dead {
			m.pingAddr(mem.Addr)
		}
	}
}

// unverifiedDead returns one of the members that are reported dead and still hold a share, as their death is not
// verified, or nil. It is drawn at random: one whose death can't be verified must not keep the others waiting.
func (m *Machine) unverifiedDead() (drawn *member) {
	n := 0
	for _, name := range m.departed {
		mem := m.members[name]
		if mem.State != Dead || mem.verifiedDown {
			continue
		}
		if n++; m.rng.IntN(n) == 0 {
			drawn = mem
		}
	}
	return drawn
}

// pingAddr pings whichever process is at an address, and tells it the record of a member that was there.
func (m *Machine) pingAddr(to Addr) {
	q := message{Type: ping, Seq: m.newSeq()}
	for _, mem := range m.probeOrder {
		if mem.Addr == to {
			q.Updates = append(q.Updates, mem.Record)
			break
		}
	}
	m.host.Send(to, m.encodeWithUpdates(q, MaxMessage, true))
}

// SetJoinAddrs replaces the addresses to join by.
func (m *Machine) SetJoinAddrs(join []Addr) { m.cfg.Join = join }
