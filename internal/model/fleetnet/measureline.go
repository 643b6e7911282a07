package fleetnet

import "mossproxy.example/mossproxy/decide"

// OneLine is how a fleet settles a line of worth: each router is asked for 40 a second of three worths, servers can do 1.25 times that, and then so many
// times is asked for.
type OneLine struct {
	Routers        int
	Times          float64
	After          float64 // ms until lines let pass less than 1.3 times what is right; -1 = not in 10 s
	Passes, Right  float64 // of what is asked for, from 1.2 s on
	Differ         float64 // share of requests of which two routers say different things
	Gone           float64 // ms until there is none, once that is over; -1 = not in 10 s
	CalmBS, BusyBS float64 // bytes a second per router, all gossip, heads counted
}

// MeasureLine plays such a fleet.
func MeasureLine(routers int, times float64, seed uint64) OneLine {
	const each, room = 40, 1.25
	m := OneLine{Routers: routers, Times: times, Right: min(1, room/times), After: -1, Gone: -1}
	n := New(seed)
	for i := range routers {
		n.Start(Lending(i))
	}
	ask := func(x float64) {
		for _, nd := range n.Nodes {
			nd.Asks = [decide.NumBands]float64{0: 0.2 * x * each, 6: 0.5 * x * each, 13: 0.3 * x * each}
			nd.Room, nd.Rate = room*each*float64(routers), x*each
		}
	}
	ask(1)
	n.Until(30e3, func() bool { return n.Spent() > 0.999 })
	n.For(8e3)
	was := n.bytes()
	n.For(5e3)
	m.CalmBS = (n.bytes() - was) / 5 / float64(routers)
	ask(times)
	if took, ok := n.Until(10e3, func() bool { over, _ := n.Over(); return over < 1.3*m.Right }); ok {
		m.After = took
	}
	n.For(1200)
	looks, began := 0.0, n.bytes()
	n.Run(n.Now+5e3, func() {
		over, differ := n.Over()
		m.Passes, m.Differ, looks = m.Passes+over, m.Differ+differ, looks+1
	})
	m.Passes, m.Differ = m.Passes/looks, m.Differ/looks
	m.BusyBS = (n.bytes() - began) / 5 / float64(routers)
	ask(1)
	if took, ok := n.Until(10e3, func() bool { over, _ := n.Over(); return over > 0.99 }); ok {
		m.Gone = took
	}
	return m
}
