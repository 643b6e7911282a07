package router

import (
	"sync"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Usage counts what tenants' requests were, at all engines of all pools of a router. Its memory is that of the tenants that asked: some
// 3 KiB each. It may be used from any goroutine.
type Usage struct {
	mu sync.Mutex
	of map[string]*tenant.Usage
}

// NewUsage has counted nothing.
func NewUsage() *Usage { return &Usage{of: map[string]*tenant.Usage{}} }

// add counts a request of a tenant that the router knows: names that clients make up are bounded by nobody.
func (u *Usage) add(now float64, name string, s tenant.Standing) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.of[name]
	if t == nil {
		t = &tenant.Usage{}
		u.of[name] = t
	}
	t.Add(now, s)
}

// Of gives a tenant's minutes of the last hour, at a time in ms.
func (u *Usage) Of(name string, now float64) []tenant.Minute {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t := u.of[name]; t != nil {
		return t.Since(now)
	}
	return nil
}

// keep forgets the tenants that are no more.
func (u *Usage) keep(named map[string]bool) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range u.of {
		if !named[name] {
			delete(u.of, name)
		}
	}
}
