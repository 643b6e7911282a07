// Package fleetnet has the fleet's view in virtual time: many routers' machines on one network whose faults are ordered, for tests and
// measurements. The same seed and orders give the same run, to the last message.
package fleetnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// tickMS is the time between two ticks of a machine.
const tickMS = 50

// streamWaitMS is how long a stream waits for what does not come.
const streamWaitMS = 400

// Link is what the network does to datagrams and streams from one router to another.
type Link struct {
	Cut    bool
	Loss   float64 // of datagrams
	Delay  float64 // ms, one way
	Jitter float64 // ms, drawn evenly on top
	Double float64 // share of datagrams that come twice
}

// State is what is with a router's process or machine.
type State int

// The states of a process.
const (
	Up      State = iota
	Stopped       // hangs: takes nothing and does nothing, and goes on where it was
	Dead          // refuses
	Off           // its machine is off: says nothing
)

// Node is one router.
type Node struct {
	*fleet.Machine
	Cfg     fleet.Config
	State   State
	Slow    float64 // ms by which what it hears waits, drawn anew between 0 and twice that for each
	Sent    int     // datagrams
	Bytes   int     // of them
	Changes []fleet.Change
	OnWord  func(now float64, c fleet.Change)
	net     *Net
	life    int
	inbox   []func()       // while it is stopped
	passes  bool           // one process is taking over from another
	Quota   *quota.Machine // nil = it lends nothing
	Rate    float64        // of work here that needs what all share
	Lines                  // what it makes of the line of worth
	cargo   []func()       // that waits until the machine has returned
}

// Net is the network and its clock.
type Net struct {
	Now    float64
	Nodes  []*Node
	Link   func(from, to *Node) Link
	Rng    *rand.Rand
	OnSend func(m []byte) // sees each datagram; nil = nobody does
	events events
	seq    int
	fleets fleets
	byAddr map[fleet.Addr]*Node
}

// New is a network without routers, whose links all take a millisecond.
func New(seed uint64) *Net {
	return &Net{Now: 1e6, Rng: rand.New(rand.NewPCG(seed, 7)), byAddr: map[fleet.Addr]*Node{}, fleets: newFleets(),
		Link: func(_, _ *Node) Link { return Link{Delay: 1} }}
}

// Config is that of the router of a number, which joins by the first three. Who has met nobody has no part worth counting.
func Config(i int) fleet.Config {
	var join []fleet.Addr
	for seed := range 3 {
		join = append(join, addr(seed))
	}
	return fleet.Config{Name: fmt.Sprintf("r-%03d", i), Site: []string{"rades", "sfax"}[i%2], Addr: addr(i), Start: uint64(i + 1), Join: join,
		ExpectedRouters: fleet.NoShare, Streams: true, Seed: uint64(i)}
}

func addr(i int) fleet.Addr { return fleet.IPv4(127, 1, byte(i>>8), byte(i), 7946) }

// Start starts a router. One that was there at the address is replaced.
func (n *Net) Start(cfg fleet.Config) *Node {
	nd := n.byAddr[cfg.Addr]
	if nd == nil {
		nd = &Node{net: n}
		n.byAddr[cfg.Addr] = nd
		n.Nodes = append(n.Nodes, nd)
	}
	nd.Cfg, nd.State, nd.inbox, nd.passes = cfg, Up, nil, false
	nd.life++
	n.fleets.stale = true
	m, err := fleet.New(cfg, host{nd})
	if err != nil {
		panic(err) // the orders are the program's own
	}
	nd.Machine, nd.Quota, nd.cargo = m, nil, nil
	if cfg.LeaseMS > 0 {
		nd.Quota = newQuota(nd)
		nd.beginLine()
	}
	n.tick(nd, nd.life, n.Rng.Float64()*tickMS)
	return nd
}

func (n *Net) tick(nd *Node, life int, after float64) {
	n.after(after, func() {
		if nd.life != life {
			return
		}
		if nd.State == Up {
			nd.Tick(n.Now)
			nd.lend()
			nd.settleLine()
		}
		if nd.State <= Stopped {
			n.tick(nd, life, tickMS)
		}
	})
}

// Kill ends a process: from now on its machine refuses. Off is a machine that says nothing any more.
func (nd *Node) Kill() { nd.end(Dead) }

// Off ends a process with its machine.
func (nd *Node) Off() { nd.end(Off) }

func (nd *Node) end(s State) {
	nd.State, nd.inbox, nd.passes = s, nil, false
	nd.life++
	nd.net.fleets.stale = true
}

// Goodbye has a router leave.
func (nd *Node) Goodbye() {
	nd.Leave(nd.net.Now)
	nd.Kill()
}

// Stop has a process hang.
func (nd *Node) Stop() {
	if nd.State == Up {
		nd.State = Stopped
	}
}

// Continue has it go on: what has come meanwhile is taken first, as far as the socket's buffer held it.
func (nd *Node) Continue() {
	if nd.State != Stopped || nd.passes {
		return
	}
	nd.State = Up
	held := nd.inbox
	nd.inbox = nil
	for _, do := range held {
		do()
	}
}

// Again starts a dead router's process once more, under a newer start.
func (nd *Node) Again() {
	cfg := nd.Cfg
	cfg.Start += 1000
	cfg.Seed += 7919
	nd.net.Start(cfg)
}

// maxRenames bounds the length of a name that grows.
const maxRenames = 3

// Rename ends a node's process and starts one at its address under another name at once, so that nobody is ever refused there.
func (nd *Node) Rename() {
	if nd.State > Stopped || len(nd.Cfg.Name) >= len("r-000")+maxRenames {
		return
	}
	nd.Kill()
	nd.Cfg.Name += "x"
	nd.Again()
}

// Replace has another process take over from a node's: it goes on with what that one knew after so many ms in which it takes nothing. The
// next start of this node will be a later one all the same.
func (nd *Node) Replace(gap float64) {
	if nd.State != Up || nd.Refused() != nil {
		return
	}
	s, err := nd.Snapshot(nd.net.Now)
	if err != nil {
		panic(err) // it is not refused
	}
	var handed quota.HandoverState
	if nd.Quota != nil {
		handed = nd.Quota.Handover(nd.net.Now)
	}
	nd.State, nd.passes = Stopped, true
	life := nd.life + 1
	nd.life = life
	nd.net.after(gap, func() {
		if nd.life != life {
			return
		}
		nd.passes = false
		m, err := fleet.Resume(nd.Cfg, host{nd}, nd.net.Now, gap, s)
		if err != nil {
			panic(err) // the snapshot is its own
		}
		nd.Machine = m
		if nd.Quota != nil {
			nd.Quota = newQuota(nd)
			nd.Quota.Resume(nd.net.Now, handed)
			nd.beginLine()
		}
		nd.net.tick(nd, life, nd.net.Rng.Float64()*tickMS)
		nd.Continue()
	})
}

// Run lets time pass until a time, looking each tick.
func (n *Net) Run(until float64, look func()) {
	next := n.Now
	for len(n.events) > 0 && n.events[0].at <= until {
		e := heap.Pop(&n.events).(event)
		for look != nil && next < e.at {
			n.Now = max(n.Now, next)
			look()
			next += tickMS
		}
		n.Now = e.at
		e.do()
	}
	n.Now = until
}

// For lets so many ms pass.
func (n *Net) For(ms float64) { n.Run(n.Now+ms, nil) }

func (n *Net) after(ms float64, do func()) {
	n.seq++
	heap.Push(&n.events, event{n.Now + ms, n.seq, do})
}

// take has a node take something, now, later if it is slow, or never.
func (nd *Node) take(do func()) {
	life := nd.life
	run := func() {
		switch {
		case nd.life != life:
		case nd.State == Up:
			do()
		case nd.State == Stopped && len(nd.inbox) < 64:
			nd.inbox = append(nd.inbox, do)
		}
	}
	if nd.Slow > 0 {
		nd.net.after(2*nd.Slow*nd.net.Rng.Float64(), run)
		return
	}
	run()
}

// host carries out what a node's machine wants.
type host struct{ *Node }

func (h host) Send(to fleet.Addr, m []byte) {
	h.Sent++
	h.Bytes += len(m) + 16 + 28 // the sum, and the heads of UDP and IP
	dst, n := h.net.byAddr[to], h.net
	if n.OnSend != nil {
		n.OnSend(m)
	}
	if dst == nil {
		return
	}
	l := n.Link(h.Node, dst)
	if l.Cut || l.Loss > 0 && n.Rng.Float64() < l.Loss {
		return
	}
	copies := 1
	if l.Double > 0 && n.Rng.Float64() < l.Double {
		copies = 2
	}
	for range copies {
		n.after(l.Delay+l.Jitter*n.Rng.Float64(), func() {
			dst.take(func() {
				dst.Receive(n.Now, m) //nolint:errcheck // tests of bad input look at it themselves
				dst.unload()
			})
		})
	}
}

// stream has something done at the other end of a stream, and hears what came of it after both ways.
func (h host) stream(to fleet.Addr, there func(dst *Node) (back func()), over func(answered, refused bool)) {
	n, life := h.net, h.life
	end := func(after float64, answered, refused bool) {
		n.after(after, func() {
			if h.life == life {
				h.take(func() { over(answered, refused) })
			}
		})
	}
	dst := n.byAddr[to]
	if dst == nil {
		end(streamWaitMS, false, false)
		return
	}
	out, in := n.Link(h.Node, dst), n.Link(dst, h.Node)
	switch {
	case out.Cut || in.Cut || dst.State == Off:
		end(streamWaitMS, false, false)
	case dst.State == Dead:
		end(out.Delay+in.Delay, false, true)
	default:
		began, done := n.Now, false
		n.after(out.Delay, func() {
			dst.take(func() {
				if n.Now-began > streamWaitMS {
					return
				}
				back := there(dst)
				n.after(in.Delay, func() {
					if h.life == life && back != nil {
						done = true
						h.take(back)
						end(0, true, false)
					}
				})
			})
		})
		n.after(streamWaitMS, func() {
			if !done {
				end(0, false, false)
			}
		})
	}
}

func (h host) StreamPing(to fleet.Addr, m []byte) {
	h.stream(to, func(dst *Node) func() {
		a, err := dst.Answer(h.net.Now, m)
		if err != nil || a == nil {
			return nil
		}
		return func() { h.Receive(h.net.Now, a) } //nolint:errcheck // as above
	}, func(answered, refused bool) { h.StreamPingDone(h.net.Now, to, answered, refused) })
}

// Sync is two round trips on one stream: sums, then pages.
func (h host) PushPull(to fleet.Addr) {
	ask := h.BucketDigests()
	h.count([][]byte{ask})
	over := func(bool, bool) {}
	h.stream(to, func(dst *Node) func() {
		there, err := dst.CompareDigests(h.net.Now, ask)
		if err != nil {
			return nil
		}
		reply := dst.BucketDigests()
		host{dst}.count([][]byte{reply})
		return func() {
			here, err := h.CompareDigests(h.net.Now, reply)
			if err != nil {
				return
			}
			sent := h.Pages(here)
			h.count(sent)
			h.stream(to, func(dst *Node) func() {
				dst.receiveAll(sent)
				got := dst.Pages(there)
				host{dst}.count(got)
				return func() { h.receiveAll(got) }
			}, over)
		}
	}, over)
}

func (nd *Node) receiveAll(pages [][]byte) {
	for _, p := range pages {
		nd.Receive(nd.net.Now, p) //nolint:errcheck // as above
	}
}

func (h host) count(ps [][]byte) {
	for _, p := range ps {
		h.Bytes += len(p) + 16
	}
}

func (h host) MemberChanged(c fleet.Change) {
	h.net.meets(h.Node, process{c.Name, c.Start})
	if h.OnWord != nil {
		h.OnWord(h.net.Now, c)
	}
}

type event struct {
	at  float64
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
