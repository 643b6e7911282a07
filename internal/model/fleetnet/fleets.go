package fleetnet

import "mossproxy.example/mossproxy/internal/pure/fleet"

// mergeMS is the time that two fleets have from the moment when they first meet, each with its own whole, to become one.
const mergeMS = 3000

// process is one start of a router.
type process struct {
	name  string
	start uint64
}

// fleets say which processes are of one fleet: those that have met, directly or by others that live.
type fleets struct {
	met   map[[2]process]float64 // who knows whom, and from when on that makes one fleet of theirs
	of    map[process]process    // towards the one that stands for a fleet, by what is in force
	next  float64                // when a meeting comes into force that was not yet; 0 = none does
	stale bool                   // a process has come, ended or changed since
}

func newFleets() fleets { return fleets{met: map[[2]process]float64{}, stale: true} }

// lead is the process that stands for a fleet.
func (f *fleets) lead(p process) process {
	for {
		q, ok := f.of[p]
		if !ok || q == p {
			return p
		}
		if up, ok := f.of[q]; ok {
			f.of[p] = up
		}
		p = q
	}
}

// settle brings the fleets up to date.
func (f *fleets) settle(now float64, running []*Node) {
	if !f.stale && (f.next == 0 || now < f.next) {
		return
	}
	f.stale, f.next, f.of = false, 0, map[process]process{}
	up := map[process]bool{}
	for _, nd := range running {
		up[nd.process()] = true
	}
	for pair, from := range f.met {
		switch {
		case !up[pair[0]] || !up[pair[1]]:
		case now >= from:
			f.of[f.lead(pair[0])] = f.lead(pair[1])
		case f.next == 0 || from < f.next:
			f.next = from
		}
	}
}

func (nd *Node) process() process { return process{nd.Cfg.Name, nd.Self().Start} }

// meets notes that a node knows a process. Two fleets that both use parts when they first meet, by whomever, are not one at once.
func (n *Net) meets(nd *Node, p process) {
	if nd.Machine == nil {
		return
	}
	own := nd.process()
	if own == p {
		n.fleets.stale = true // it may have changed its start
		return
	}
	f := &n.fleets
	if _, known := f.met[[2]process{own, p}]; known {
		return
	}
	if _, known := f.met[[2]process{p, own}]; known {
		return
	}
	running := n.Running()
	f.settle(n.Now, running)
	a, b, from := f.lead(own), f.lead(p), 0.0
	if a != b {
		used := map[process]float64{}
		for _, o := range running {
			used[f.lead(o.process())] += n.spends(o)
		}
		if used[a] > 0 && used[b] > 0 {
			from = n.Now + mergeMS
		}
	}
	f.met[[2]process{own, p}] = from
	switch {
	case from > 0 && (f.next == 0 || from < f.next):
		f.next = from
	case from == 0 && a != b && n.lives(p): // whom nobody is any more joins nobody
		f.of[a] = b
	}
}

// lives says whether a process runs.
func (n *Net) lives(p process) bool {
	for _, nd := range n.Nodes {
		if nd.State <= Stopped && nd.process() == p {
			return true
		}
	}
	return false
}

// spends is what a process may use now of a whole of 1.
func (n *Net) spends(nd *Node) float64 {
	if nd.Quota != nil {
		nd.Quota.UpdateShare(n.Now, nd.own())
		return nd.Quota.UsableShare(n.Now, 0)
	}
	p := nd.Share()
	if n.Now > p.Until {
		p.Routers = p.RoutersAfter
	}
	if p.Routers >= fleet.NoShare {
		return 0
	}
	return 1 / p.Routers
}

// Spent is what all living processes that have met, directly or by others, may use now of a whole of 1; of several fleets that have not
// met the one that uses most. The invariant is that it is at most 1.
func (n *Net) Spent() (most float64) {
	running := n.Running()
	for _, nd := range running {
		most += n.spends(nd)
	}
	if most <= 1+1e-9 {
		return most
	}
	n.fleets.settle(n.Now, running)
	sums := map[process]float64{}
	most = 0
	for _, nd := range running {
		lead := n.fleets.lead(nd.process())
		sums[lead] += n.spends(nd)
		most = max(most, sums[lead])
	}
	return most
}
