// Package tier settles which router of a tier serves which part of the slots: each its own, and those of routers that drain,
// load or say nothing go to the next one that serves. It does no input or output and has no clock: what was heard of each
// router goes in, the routers that serve go out.
//
// Routers need not agree: any of them can serve any slot, as the cluster behind them alone knows the data. A part that two
// of them take for theirs is served by both, and one that each takes for the other's is found by the client after one hop
// more, once the slower has heard.
package tier

import "slices"

// State is what a router says of itself.
type State int

// The states of a router.
const (
	Serving      State = iota // also taken for granted of one that nothing is known of
	Draining                  // goes away, and still answers what comes
	Loading                   // has no list of servers yet
	Unresponsive              // has not answered several times in a row
)

// maxMissedReplies is how many answers in a row may be missing before a router counts as silent.
const maxMissedReplies = 3

// Table is what one router knows of its tier. Its memory is that of the routers.
type Table struct {
	self    int
	peers   []peer
	version uint64
}

type peer struct {
	state         State
	missedReplies int
}

// New is the table of router me among n. All are taken for serving.
func New(n, me int) *Table { return &Table{self: me, peers: make([]peer, max(1, n))} }

// RecordState takes what a router says of itself, and tells whether that is news.
func (t *Table) RecordState(router int, s State) bool {
	if router < 0 || router >= len(t.peers) {
		return false
	}
	t.peers[router].missedReplies = 0
	return t.setState(router, s)
}

// RecordMissedReply takes that a router has given no answer, and tells whether it counts as silent from now on. One router never
// counts as silent to itself.
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

// State is what was heard of a router last.
func (t *Table) State(router int) State { return t.peers[router].state }

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }

// ServedBy are the routers that serve, by the router whose part it is at home. Where nobody serves each keeps its own: what
// comes there is refused by who knows why.
func (t *Table) ServedBy() []int {
	return t.assign(func(i int) bool { return t.peers[i].state == Serving })
}

// OwnPartition says whether a part would be this router's if that did not drain: those are the ones that it hands on.
func (t *Table) OwnPartition(home int) bool {
	return t.assign(func(i int) bool { return i == t.self || t.peers[i].state == Serving })[home] == t.self
}

func (t *Table) assign(can func(int) bool) []int {
	n := len(t.peers)
	out := make([]int, n)
	for home := range out {
		out[home] = home
		for step := range n {
			if at := (home + step) % n; can(at) {
				out[home] = at
				break
			}
		}
	}
	return out
}

// PartitionsOf are the homes that a router serves, in order.
func PartitionsOf(serves []int, router int) (homes []int) {
	for home, at := range serves {
		if at == router {
			homes = append(homes, home)
		}
	}
	return slices.Clip(homes)
}
