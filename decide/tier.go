package decide

import (
	"fmt"
	"math"
)

// Tier is what is known of the routers that share what all have, where they tell each other: a fact, like a list.
type Tier struct {
	Routers int     // that there are, this one among them
	Parts   float64 // this router has one of so many equal parts of cold servers' budgets and of fetches
	Until   float64 // until then; +Inf = until the next word
	Then    float64 // and one of so many from there on
}

// Validate reports what is impossible in what is told of the tier.
func (t Tier) Validate() error {
	if t.Routers < 1 || !(t.Parts >= 1) || !(t.Then >= 1) || math.IsInf(t.Parts, 1) || math.IsInf(t.Then, 1) || math.IsNaN(t.Until) {
		return fmt.Errorf("decide: impossible tier %+v", t)
	}
	return nil
}

// Tier takes what is known of the tier from now on. An error means that it makes no sense, and nothing has changed.
func (b *Balancer) Tier(now float64, t Tier) error {
	if err := t.Validate(); err != nil {
		return err
	}
	b.advance(now)
	b.tier, b.tierKnown = t, true
	b.resize()
	return nil
}

// Share tells that so many processes of this router decide at once, each a router of its own: what all share is divided by as many
// more, and what this one had of it by the processes that have come.
func (b *Balancer) Share(now float64, processes int) {
	b.advance(now)
	b.processes = max(1, processes)
	b.resize()
}

// resize has what all share divided as it is to be now.
func (b *Balancer) resize() {
	if b.now > b.tier.Until {
		b.tier.Parts, b.tier.Until = b.tier.Then, math.Inf(1)
	}
	was := b.shares
	b.cfg.Routers, b.shares = b.tier.Routers*b.processes, b.tier.Parts*float64(b.processes)
	ratio := was / b.shares
	switch {
	case ratio > regained: // it had next to none: it begins as a new one does
		b.fetchLimit = max(b.fetchLimit, firstFetches(b.shares))
	default:
		b.fetchLimit = min(maxFetches, b.fetchLimit*ratio)
	}
	b.retryBudget *= min(1, ratio)
	for _, s := range b.servers {
		s.sendBudget.value *= min(1, ratio)
	}
}

// regained is a growth of the own part beyond which what was learned with it says nothing.
const regained = 16

// firstFetches is the bound on fetches of a router that knows nothing yet.
func firstFetches(parts float64) float64 { return min(8, 32/parts) }
