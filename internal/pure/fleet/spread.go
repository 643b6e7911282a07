package fleet

import (
	"math"
	"slices"
)

// queuedUpdate is news: a record that is told so many times more.
type queuedUpdate struct {
	Record
	remaining, sent int
}

// maxQueuedUpdates bounds the news that wait; the exchange of views makes good what was dropped.
const maxQueuedUpdates = 512

// queueUpdate has a record ride on messages to come.
func (m *Machine) queueUpdate(r Record) {
	if len(m.updates) >= maxQueuedUpdates && m.updates[r.Name] == nil {
		return
	}
	n := float64(len(m.probeOrder) + 1)
	m.updates[r.Name] = &queuedUpdate{Record: r, remaining: 3 + int(math.Ceil(math.Log2(n+1)))}
}

// maxUpdatesPerMessage is more records than a message holds.
const maxUpdatesPerMessage = 8

// selectUpdates are the records that are told next, those first that were told least.
func (m *Machine) selectUpdates(but []Record) []Record {
	var best [maxUpdatesPerMessage + 1]*queuedUpdate
	n := 0
	for _, it := range m.updates {
		if slices.ContainsFunc(but, func(r Record) bool { return r.Name == it.Name }) {
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

// before orders news: who was told least, the worse news, by name.
func (it *queuedUpdate) before(o *queuedUpdate) bool {
	switch {
	case it.sent != o.sent:
		return it.sent < o.sent
	case it.State != o.State:
		return it.State > o.State
	}
	return it.Name < o.Name
}

// countTransmissions counts what went out.
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

// handleEqualView is told that a member has the same view: that is as good as having told it all news.
func (m *Machine) handleEqualView() {
	for name, it := range m.updates {
		if it.remaining--; it.remaining <= 0 {
			delete(m.updates, name)
		}
	}
}

// sendGossip sends news to a few at once while there are any that nobody has heard often.
func (m *Machine) sendGossip() {
	if m.now < m.nextGossipAt || len(m.probeOrder) == 0 {
		return
	}
	fresh := false
	for _, it := range m.updates {
		if it.sent < it.remaining { // the first half of its tellings is hurried
			fresh = true
			break
		}
	}
	if !fresh {
		return
	}
	m.nextGossipAt = m.now + gossipIntervalMS
	for _, mem := range m.randomMembers(gossipFanout, func(o *member) bool { return o.State.responsive() }) {
		m.send(mem.Addr, message{Type: gossip}, MaxMessage)
	}
}

// reconnect asks addresses to join by, and members that are silent or gone: two halves that were apart find each other by that.
func (m *Machine) reconnect() {
	if m.now < m.nextReconnectAt {
		return
	}
	m.nextReconnectAt = m.now + reconnectIntervalMS*(0.75+0.5*m.rng.Float64())
	var lost []Addr
	known := map[Addr]bool{m.self.Addr: true}
	for _, mem := range m.probeOrder {
		known[mem.Addr] = true
		if !mem.State.responsive() {
			lost = append(lost, mem.Addr)
		}
	}
	for _, a := range m.cfg.Join {
		if !known[a] {
			lost = append(lost, a)
		}
	}
	for range 2 {
		if len(lost) > 0 {
			m.pingAddr(lost[m.rng.IntN(len(lost))])
		}
	}
	for _, name := range m.departed { // those that still have a part come first
		if mem := m.members[name]; mem.State == Dead && !mem.verifiedDown {
			m.recheckDead(mem)
			return
		}
	}
	if len(m.departed) > 0 && m.rng.IntN(4) == 0 {
		if mem := m.members[m.departed[m.rng.IntN(len(m.departed))]]; mem.State == Dead {
			m.pingAddr(mem.Addr)
		}
	}
}

// pingAddr asks whoever is at an address, and tells it what is said of a member that was there.
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

// SetJoinAddrs takes other addresses to join by.
func (m *Machine) SetJoinAddrs(join []Addr) { m.cfg.Join = join }
