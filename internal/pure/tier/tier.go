// Package tier decides which router of a tier serves which partition of the slots. Each router serves its
// own; those of routers that are draining, loading or unresponsive go to the next router that serves. The
// package performs no I/O and has no clock.
//
// Routers need not agree, because any router can serve any slot: only the cluster behind them holds the
// data. A partition that two routers consider their own is served by both. If each considers it the
// other's, the client reaches the right one with one more redirect, once the slower router has been
// updated.
package tier

import "slices"

// State is the state that a router reports of itself.
type State int

// Router states.
const (
	Serving      State = iota // also assumed while nothing is known of a router
	Draining                  // is leaving, and still answers requests
	Loading                   // has no list of servers yet
	Unresponsive              // has missed maxMissedReplies replies in a row
)

// maxMissedReplies is the number of consecutive missed replies after which a router is unresponsive.
const maxMissedReplies = 3

// Table holds what one router knows of its tier. Its memory is proportional to the number of routers.
type Table struct {
	self    int
	peers   []peer
	version uint64
}

type peer struct {
	state         State
	missedReplies int
}

// New returns the Table of router me among n routers, all assumed to be serving.
func New(n, me int) *Table { return &Table{self: me, peers: make([]peer, max(1, n))} }

// RecordState records the state that a router has reported. It reports whether the state changed.
func (t *Table) RecordState(router int, s State) bool {
	if router < 0 || router >= len(t.peers) {
		return false
	}
	t.peers[router].missedReplies = 0
	return t.setState(router, s)
}

// RecordMissedReply records that a router did not reply. It reports whether the router becomes unresponsive
// by that. A router is never unresponsive to itself.
func (t *Table) RecordMissedReply(router int) bool {
	if router < 0 || router >= len(t.peers) || router == t.self {
		return false
	}
	p := &t.peers[router]
	if p.missedReplies++; p.missedReplies < maxMissedReplies {
		return false
	}
	p.missedReplies = maxMissedReplies
	return t.setState(router, Unresponsive)
}

func (t *Table) setState(router int, s State) bool {
	p := &t.peers[router]
	if p.state == s {
		return false
	}
	p.state = s
	t.version++
	return true
}

// State returns the last known state of a router.
func (t *Table) State(router int) State { return t.peers[router].state }

// Version returns a number that grows with each change.
func (t *Table) Version() uint64 { return t.version }

// ServedBy returns the serving router of each partition, indexed by the router that owns it. If no router
// serves, each keeps its own, because the owner knows why requests have to be refused.
func (t *Table) ServedBy() []int {
	return t.assign(func(i int) bool { return t.peers[i].state == Serving })
}

// OwnPartition reports whether a partition would be served by this router if it were not draining. Those
// are the partitions that it hands over.
func (t *Table) OwnPartition(partition int) bool {
	return t.assign(func(i int) bool { return i == t.self || t.peers[i].state == Serving })[partition] == t.self
}

func (t *Table) assign(canServe func(int) bool) []int {
	n := len(t.peers)
	servedBy := make([]int, n)
	for partition := range servedBy {
		servedBy[partition] = partition
		for step := range n {
			if server := (partition + step) % n; canServe(server) {
				servedBy[partition] = server
				break
			}
		}
	}
	return servedBy
}

// PartitionsOf returns the partitions that a router serves, in ascending order.
func PartitionsOf(servedBy []int, router int) (partitions []int) {
	for partition, server := range servedBy {
		if server == router {
			partitions = append(partitions, partition)
		}
	}
	return slices.Clip(partitions)
}
