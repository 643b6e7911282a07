package decide

import (
	"fmt"
	"math"
)

// SetTier is what is known of the routers that share what all have, where they tell each other: a fact, like a list.
type Tier struct {
	Routers     int     // that there are, this one among them
	Shares      float64 // this router has one of so many equal parts of cold servers' budgets and of fetches
	Until       float64 // until then; +Inf = until the next word
	SharesAfter float64 // and one of so many from there on
}

// Validate reports what is impossible in what is told of the tier.
func (t Tier) Validate() error {
	if t.Routers < 1 || !(t.Shares >= 1) || !(t.SharesAfter >= 1) || math.IsInf(t.Shares, 1) || math.IsInf(t.SharesAfter, 1) || math.IsNaN(t.Until) {
		return fmt.Errorf("decide: impossible tier %+v", t)
	}
	return nil
}

// SetTier takes what is known of the tier from now on. An error means that it makes no sense, and nothing has changed.
func (b *Balancer) SetTier(now float64, t Tier) error {
	if err := t.Validate(); err != nil {
		return err
	}
	b.advance(now)
	b.tier, b.tierKnown = t, true
	b.applyShares()
	return nil
}

// SetProcesses tells that so many processes of this router decide at once, each a router of its own: what all share is divided by as many
// more, and what this one had of it by the processes that have come.
func (b *Balancer) SetProcesses(now float64, processes int) {
	b.advance(now)
	b.processes = max(1, processes)
	b.applyShares()
}

// applyShares has what all share divided as it is to be now.
func (b *Balancer) applyShares() {
	if b.now > b.tier.Until {
		b.tier.Shares, b.tier.Until = b.tier.SharesAfter, math.Inf(1)
	}
	was := b.shares
	b.cfg.Routers, b.shares = b.tier.Routers*b.processes, b.tier.Shares*float64(b.processes)
	ratio := was / b.shares
	switch {
	case ratio > maxShareGrowth: // it had next to none: it begins as a new one does
		b.fetchLimit = max(b.fetchLimit, initialFetchLimit(b.shares))
	default:
		b.fetchLimit = min(maxFetchLimit, b.fetchLimit*ratio)
	}
	b.retryBudget *= min(1, ratio)
	for _, s := range b.servers {
		s.sendBudget.value *= min(1, ratio)
	}
}

// maxShareGrowth is a growth of the own part beyond which what was learned with it says nothing.
const maxShareGrowth = 16

// initialFetchLimit is the bound on fetches of a router that knows nothing yet.
func initialFetchLimit(parts float64) float64 { return min(8, 32/parts) }
