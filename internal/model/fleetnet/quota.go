package fleetnet

import (
	"slices"
	"strings"

	"mossproxy.example/mossproxy/internal/pure/admission"
	"mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// Lending is Config for routers that lend each other their parts.
func Lending(i int) fleet.Config {
	cfg := Config(i)
	cfg.LeaseMS = quota.LeaseTerm
	return cfg
}

// lender carries what a node's quota has to say.
type lender struct{ *Node }

func (l lender) Send(to quota.Peer, m []byte) {
	nd := l.Node
	nd.cargo = append(nd.cargo, func() { nd.SendPayload(nd.net.Now, to.Name, to.Start, m) })
}

func newQuota(nd *Node) *quota.Machine {
	q, err := quota.New(1, nd.Cfg.Seed, lender{nd})
	if err != nil {
		panic(err) // one good is right
	}
	return q
}

// Cargo is fleet.Host's: it is taken once the machine has returned.
func (h host) DeliverPayload(from fleet.Record, b []byte) {
	nd := h.Node
	if nd.Quota == nil {
		return
	}
	if _, ours := admission.MessagePool(b); ours {
		nd.cargo = append(nd.cargo, func() { nd.Line.Receive(nd.net.Now, quota.Peer{Name: from.Name, Start: from.Start}, b) }) //nolint:errcheck // as below
		return
	}
	nd.cargo = append(nd.cargo, func() {
		nd.Quota.UpdateShare(nd.net.Now, nd.own())
		nd.Quota.Receive(nd.net.Now, quota.Peer{Name: from.Name, Start: from.Start}, b) //nolint:errcheck // tests of bad input look at it themselves
	})
}

// unload does what waits.
func (nd *Node) unload() {
	for len(nd.cargo) > 0 {
		do := nd.cargo[0]
		nd.cargo = nd.cargo[1:]
		do()
	}
}

// own is what the view gives the node.
func (nd *Node) own() quota.BaseShare {
	p := nd.Share()
	share := func(routers float64) float64 {
		if routers >= fleet.NoShare {
			return 0
		}
		return 1 / routers
	}
	return quota.BaseShare{Share: share(p.Routers), Until: p.Until, After: share(p.RoutersAfter)}
}

// sortPeers puts peers in order, so that one seed gives one run.
func sortPeers(ps []quota.Peer) {
	slices.SortFunc(ps, func(a, b quota.Peer) int { return strings.Compare(a.Name, b.Name) })
}

// peers are the members whose states are right, in order.
func (nd *Node) peers(right func(fleet.State) bool) (ps []quota.Peer) {
	nd.ForEach(func(r fleet.Record) {
		if right(r.State) {
			ps = append(ps, quota.Peer{Name: r.Name, Start: r.Start})
		}
	})
	sortPeers(ps)
	return ps
}

// lend has the node's quota take its time.
func (nd *Node) lend() {
	if nd.Quota == nil {
		return
	}
	nd.Quota.Tick(nd.net.Now, nd.own(), []float64{nd.Rate}, nd.peers(func(s fleet.State) bool { return s == fleet.Alive }))
	nd.unload()
}
