package router

import (
	"log/slog"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// Tier is what a view of the fleet says of the routers that share what all have.
type Tier struct {
	Routers int       // that there are, this one among them
	Parts   float64   // this one has one of so many equal parts
	Until   time.Time // until then, by its monotonic part; zero = until the next word
	Then    float64   // and one of so many from there on
}

// Tiers tells pools of the tier, the last word to those that come later. Its methods may be called from any goroutine.
type Tiers struct {
	mu   sync.Mutex
	last Tier
	to   []func(Tier)
}

// NewTiers is for pools that have no part of anything before the first word, as the others may not know of them yet.
func NewTiers(routers int) *Tiers {
	return &Tiers{last: Tier{Routers: max(1, routers), Parts: fleet.NoShare, Then: fleet.NoShare}}
}

// Tell tells all pools.
func (t *Tiers) Tell(now Tier) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = now
	for _, do := range t.to {
		do(now)
	}
}

// join has do told, now and at each change. It may not block.
func (t *Tiers) join(do func(Tier)) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.to = append(t.to, do)
	do(t.last)
}

// resize has the engines of a pool, each a router of its own to the module, and its places follow the tier.
func (rs engines) resize(t Tier, p *places) {
	n := float64(len(rs))
	rs.each(func(r *router) {
		if err := r.SetTier(t.Routers*len(rs), t.Parts*n, t.Until, t.Then*n); err != nil {
			slog.Error("what is told of the tier is not taken", "err", err)
		}
	})
	p.among(t.Routers)
}
