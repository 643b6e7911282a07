package router

import (
	"sync"
	"sync/atomic"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/front"
)

// places are how many connections of a pool each tenant may hold. A nil one bounds nothing.
type places struct {
	quota *front.Quota
	most  atomic.Pointer[map[string]int]

	mu      sync.Mutex
	routers int
	limits  *config.Tenants
}

// newPlaces is nil where connections are nobody's.
func newPlaces(cfg Setup) *places {
	if cfg.Gate == nil && (cfg.RESP == nil || len(cfg.RESP.Logins) == 0) {
		return nil
	}
	p := &places{routers: max(1, cfg.Checked.Config.Routers)}
	p.quota = front.NewQuota(func(tenant string) int { return (*p.most.Load())[tenant] })
	p.use(cfg.Tenants)
	return p
}

// use takes limits of connections over the whole service. Connections stay where they are, so each router has an equal part.
func (p *places) use(t *config.Tenants) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limits = t
	p.divide()
}

// among has the limits divided by so many routers.
func (p *places) among(routers int) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.routers != max(1, routers) {
		p.routers = max(1, routers)
		p.divide()
	}
}

// divide finds what each tenant may hold here. The caller holds mu.
func (p *places) divide() {
	most := map[string]int{}
	if t := p.limits; t != nil {
		for _, x := range t.Tenants {
			if x.Conns > 0 {
				most[x.Name] = (x.Conns + p.routers - 1) / p.routers
			}
		}
	}
	p.most.Store(&most)
}

// shared is what the fronts take; nil in itself where there is none.
func (p *places) shared() *front.Quota {
	if p == nil {
		return nil
	}
	return p.quota
}
