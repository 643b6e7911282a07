package fleetnet

import (
	"runtime"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// Times are how long news took, in ms: until the first, half and all of those that are up had them.
type Times struct{ First, Half, All float64 }

// knowing starts a measurement of how long it takes until routers call somebody by a word.
func (n *Net) knowing(name string, is func(fleet.State) bool) func() Times {
	began, at := n.Now, []float64{}
	up := 0
	for _, nd := range n.Nodes {
		if nd.State != Up || nd.Cfg.Name == name {
			nd.OnWord = nil
			continue
		}
		up++
		done := false
		nd.OnWord = func(now float64, c fleet.Change) {
			if !done && c.Name == name && is(c.State) {
				done = true
				at = append(at, now-began)
			}
		}
	}
	return func() Times {
		if len(at) < up {
			return Times{-1, -1, -1}
		}
		return Times{at[0], at[(up-1)/2], at[up-1]}
	}
}

// Measured is what the view of a fleet of some size does and costs.
type Measured struct {
	Routers         int
	Start           float64 // ms until views agree after all start at once
	Parts           float64 // and until the whole is in use
	Crash, Silence  Times
	Heal            float64 // ms until views agree after halves that were apart for 20 s meet
	BytesPerS       float64 // per router in calm, heads of UDP and IP counted
	MostBytesPerS   float64 // of one router in the second after a heal
	BytesOfMemory   float64 // per router
	NotSettled      int
	Overspent       float64 // most that was ever spent of a whole of 1
	StartBytesPerS  float64 // per router, from start to the whole in use
	AgreementFailed string
}

// Measure plays a fleet of some size.
func Measure(routers int, seed uint64) Measured {
	m := Measured{Routers: routers}
	before := inUse()
	n := New(seed)
	for i := range routers {
		n.Start(Config(i))
	}
	settle := func() float64 {
		took, ok := n.Until(30e3, func() bool { return n.Settled() == nil })
		if !ok {
			m.NotSettled++
			m.AgreementFailed = n.Settled().Error()
		}
		return took
	}
	m.Start = settle()
	n.Until(30e3, func() bool { m.Overspent = max(m.Overspent, n.Spent()); return n.Spent() > 0.999 })
	m.Parts = n.Now - 1e6
	m.StartBytesPerS = n.bytes() / (m.Parts / 1000) / float64(routers)
	n.For(20e3)
	m.BytesOfMemory = (inUse() - before) / float64(routers)
	was := n.bytes()
	n.For(20e3)
	m.BytesPerS = (n.bytes() - was) / 20 / float64(routers)
	known := n.knowing(n.Nodes[routers/3].Cfg.Name, func(s fleet.State) bool { return s >= fleet.Dead })
	n.Nodes[routers/3].Kill()
	settle()
	m.Crash = known()
	n.For(5e3)
	known = n.knowing(n.Nodes[routers/2].Cfg.Name, func(s fleet.State) bool { return s >= fleet.Unresponsive })
	n.Nodes[routers/2].Off()
	n.For(12e3)
	m.Silence = known()
	cut := true
	side := map[*Node]int{}
	for i, nd := range n.Nodes {
		side[nd] = i % 2
		nd.OnWord = nil
	}
	n.Link = func(a, b *Node) Link { return Link{Cut: cut && side[a] != side[b], Delay: 1} }
	n.Run(n.Now+20e3, func() { m.Overspent = max(m.Overspent, n.Spent()) })
	cut = false
	most := n.Nodes[0].Bytes
	m.Heal = settle()
	m.MostBytesPerS = float64(n.Nodes[0].Bytes-most) / max(1, m.Heal/1000)
	return m
}

// Calm is a fleet in which nobody dies: with a loss, or with a share of slow members, whose messages all wait up to twice SlowMS.
type Calm struct {
	Routers           int
	Hours, Loss       float64
	SlowShare, SlowMS float64
	Plain             bool
	Seed              uint64
}

// FalseDeaths plays it and counts the words that one who lives is silent or gone, the first of each: per member and hour. Of slow members
// only those about the others count.
func (c Calm) FalseDeaths() (deaths float64, bytesPerS float64) {
	routers, hours := c.Routers, c.Hours
	n := New(c.Seed)
	for i := range routers {
		cfg := Config(i)
		cfg.PlainSWIM = c.Plain
		n.Start(cfg)
	}
	n.Until(20e3, func() bool { return n.Settled() == nil })
	n.Link = func(_, _ *Node) Link { return Link{Loss: c.Loss, Delay: 1, Jitter: 2} }
	slows := map[string]bool{}
	for i := range routers {
		if c.SlowShare > 0 && i%int(1/c.SlowShare) == 7 {
			n.Nodes[i].Slow = c.SlowMS
			slows[n.Nodes[i].Cfg.Name] = true
		}
	}
	type episode struct {
		name string
		inc  uint32
	}
	seen := map[episode]bool{}
	for _, nd := range n.Nodes {
		nd.OnWord = func(_ float64, c fleet.Change) {
			if c.State >= fleet.Unresponsive && c.State <= fleet.Dead && !slows[c.Name] {
				seen[episode{c.Name, c.Incarnation}] = true
			}
		}
	}
	was := n.bytes()
	n.For(hours * 3600e3)
	return float64(len(seen)) / float64(routers-len(slows)) / hours, (n.bytes() - was) / (hours * 3600) / float64(routers)
}

func (n *Net) bytes() (sum float64) {
	for _, nd := range n.Nodes {
		sum += float64(nd.Bytes)
	}
	return sum
}

// inUse is what is in use of the heap.
func inUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
