package fleetnet

// Lent is how loans move the parts of a fleet in calm to one router that has ten times the work of the others, and back.
type Lent struct {
	Routers     int
	Whole       float64    // ms after which the whole is in use, from a start of all at once
	Shares      [4]float64 // of the busy one, 250, 500, 1,000 and 5,000 ms after its work has come
	Due         float64
	Back        float64 // ms after its work has gone until it has less than twice, and each other more than 0.9 of, an equal part; -1 = not in 30 s
	BytesPerS   float64 // per router while one is busy, heads counted
	LeastInUse  float64 // of the whole, in those 5 s
	Overspent   float64 // most that was ever in use
	StillUneven int     // routers with loans 30 s after
}

// MeasureLoans plays such a fleet.
func MeasureLoans(routers int, seed uint64) Lent {
	const usual, busy = 10, 100
	m := Lent{Routers: routers, LeastInUse: 1}
	n := New(seed)
	for i := range routers {
		n.Start(Lending(i)).Rate = usual
	}
	look := func() { m.Overspent = max(m.Overspent, n.Spent()) }
	m.Whole, _ = n.Until(30e3, func() bool { look(); return n.Spent() > 0.999 })
	n.Run(n.Now+12e3, look)
	one := n.Nodes[1%routers]
	one.Rate = busy
	m.Due = float64(busy+1) / float64(busy+1+(usual+1)*(routers-1))
	was, began := n.bytes(), n.Now
	for i, at := range []float64{250, 500, 1000, 5000} {
		n.Run(began+at, func() {
			look()
			if n.Now-began > 1000 {
				m.LeastInUse = min(m.LeastInUse, n.Spent())
			}
		})
		m.Shares[i] = n.spends(one)
	}
	m.BytesPerS = (n.bytes() - was) / 5 / float64(routers)
	one.Rate = usual
	even := func() bool {
		look()
		for _, nd := range n.Nodes {
			if s := n.spends(nd) * float64(routers); nd == one && s > 2 || nd != one && s < 0.9 {
				return false
			}
		}
		return true
	}
	back, ok := n.Until(30e3, even)
	if m.Back = back; !ok {
		m.Back = -1
	}
	n.Run(n.Now+30e3, look)
	for _, nd := range n.Nodes {
		if lent, borrowed := nd.Quota.Leases(n.Now, 0); lent+borrowed > 0 {
			m.StillUneven++
		}
	}
	return m
}
