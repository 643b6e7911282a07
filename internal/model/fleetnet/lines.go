package fleetnet

import (
	"math"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/admission"
	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// Lines are a node's line of worth, and what is asked of it.
type Lines struct {
	Line *admission.Machine // nil = it has none
	Asks [decide.NumBands]float64
	Room float64 // work a second of all servers, as it knows them

	came   admission.Demand
	cameAt float64
}

// meeter carries what a node's line has to say.
type meeter struct{ *Node }

func (m meeter) Send(to admission.Peer, b []byte) {
	nd := m.Node
	nd.cargo = append(nd.cargo, func() { nd.SendPayload(nd.net.Now, to.Name, to.Start, b) })
}

// beginLine has a process begin without a word of anything; its servers and clients are those of before.
func (nd *Node) beginLine() {
	nd.Line, nd.came, nd.cameAt = admission.New(1, nd.Cfg.Seed, meeter{nd}), admission.Demand{}, nd.net.Now
}

// settleLine has the node's line take its time. Requests come as they are drawn, and each takes one attempt.
func (nd *Node) settleLine() {
	if nd.Line == nil {
		return
	}
	n := nd.net
	gone := n.Now - nd.cameAt
	nd.cameAt = n.Now
	for i, rate := range nd.Asks {
		if rate > 0 {
			came := drawn(n, rate*gone/1000)
			nd.came.Arrived[i] += came
			nd.came.Admitted, nd.came.Sent = nd.came.Admitted+came, nd.came.Sent+came
		}
	}
	nd.came.Capacity = nd.Room
	nd.Line.Tick(n.Now, nd.ofWarm(), nd.came, nd.peers(func(s fleet.State) bool { return s <= fleet.Suspect }))
	nd.unload()
}

// ofWarm is the part of warm servers that the node goes by: who has none yet takes half of an equal one.
func (nd *Node) ofWarm() float64 {
	if share := nd.own().Share; share > 0 {
		return share
	}
	return 0.5 / float64(max(1, nd.Present()))
}

// drawn is how many come where so many are expected, by Poisson's law.
func drawn(n *Net, mean float64) (k float64) {
	if mean > 30 { // the normal law is as good, and bounded in time
		return max(0, math.Round(mean+math.Sqrt(mean)*n.Rng.NormFloat64()))
	}
	for p := math.Exp(-mean); ; k++ {
		if p *= 1 / max(1e-300, n.Rng.Float64()); p > 1 {
			return k
		}
	}
}

// Over is the share of what is asked of all running routers together that the line of each lets pass, and the share of requests of which two
// routers drawn at random would say different things, by their lines alone.
func (n *Net) Over() (share, differ float64) {
	var all, over float64
	var lines []admission.Threshold
	running := n.Running()
	for _, nd := range running {
		l := nd.Line.Threshold(n.Now)
		lines = append(lines, l)
		for i, rate := range nd.Asks {
			all += rate
			switch {
			case i < l.Band:
				over += rate
			case i == l.Band:
				over += l.Share * rate
			}
		}
	}
	mix := [decide.NumBands]float64{}
	for _, nd := range running {
		for i, rate := range nd.Asks {
			mix[i] += rate / max(1e-9, all)
		}
	}
	for _, a := range lines {
		for _, b := range lines {
			for i, w := range mix {
				differ += w * math.Abs(passes(a, i)-passes(b, i)) / float64(len(lines)*len(lines))
			}
		}
	}
	return over / max(1e-9, all), differ
}

// passes is the share of a band that is over a line.
func passes(l admission.Threshold, band int) float64 {
	switch {
	case band < l.Band:
		return 1
	case band == l.Band:
		return l.Share
	}
	return 0
}
