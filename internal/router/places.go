package router

import (
	"sync/atomic"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/front"
)

// places are how many connections of a pool each tenant may hold. A nil one bounds nothing.
type places struct {
	quota   *front.Quota
	routers int
	most    atomic.Pointer[map[string]int]
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
	most := map[string]int{}
	if t != nil {
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
