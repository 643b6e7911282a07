package decide

import (
	"fmt"
	"math"
)

// Tier describes the routers that share the servers' common capacity, as far as they coordinate. Like the
// server list, it is set from outside.
type Tier struct {
	Routers     int     // number of routers, this one included
	Shares      float64 // this router has one of Shares equal shares of cold servers' budgets and of fetches
	Until       float64 // time until which Shares holds, ms; +Inf = until the next update
	SharesAfter float64 // number of equal shares from then on
}

// Validate returns an error if a field is out of its range.
func (t Tier) Validate() error {
	if t.Routers < 1 || !(t.Shares >= 1) || !(t.SharesAfter >= 1) || math.IsInf(t.Shares, 1) || math.IsInf(t.SharesAfter, 1) || math.IsNaN(t.Until) {
		return fmt.Errorf("decide: invalid tier %+v", t)
	}
	return nil
}

// SetTier applies a description of the tier from now on. It returns an error, and changes nothing, if the
// description is invalid.
func (b *Balancer) SetTier(now float64, t Tier) error {
	if err := t.Validate(); err != nil {
		return err
	}
	b.advance(now)
	b.tier, b.tierKnown = t, true
	b.applyShares()
	return nil
}

// SetProcesses sets the number of processes of this router that decide at the same time, each as a router
// of its own. The router's share of the common resources is divided among them.
func (b *Balancer) SetProcesses(now float64, processes int) {
	b.advance(now)
	b.processes = max(1, processes)
	b.applyShares()
}

// applyShares recomputes this process's share and scales the fetch limit to it. The budgets are
// scaled down only.
func (b *Balancer) applyShares() {
	if b.now > b.tier.Until {
		b.tier.Shares, b.tier.Until = b.tier.SharesAfter, math.Inf(1)
	}
	was := b.shares
	b.cfg.Routers, b.shares = b.tier.Routers*b.processes, b.tier.Shares*float64(b.processes)
	ratio := was / b.shares
	switch {
	case ratio > maxShareGrowth: // its share was close to nothing: it starts like a new router
		b.fetchLimit = max(b.fetchLimit, initialFetchLimit(b.shares))
	default:
		b.fetchLimit = min(maxFetchLimit, b.fetchLimit*ratio)
	}
	b.retryBudget *= min(1, ratio)
	for _, s := range b.servers {
		s.sendBudget.value *= min(1, ratio)
	}
}

// maxShareGrowth is the factor of growth of the own share beyond which the fetch limit learned with the
// smaller share is no longer meaningful.
const maxShareGrowth = 16

// initialFetchLimit returns the fetch limit of a router that has no measurements yet.
func initialFetchLimit(shares float64) float64 { return min(8, 32/shares) }
