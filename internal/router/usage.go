package router

import (
	"sync"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Usage counts what tenants' requests were, at all engines of all pools of a router. Its memory is that of the tenants that asked: some
// 3 KiB each. It may be used from any goroutine.
type Usage struct {
	mu     sync.Mutex
	of     map[string]*tenant.Usage
	inHand map[Lifetime]int // requests that are taken and not answered; nothing is kept of those without any
}

// Lifetime is one of the tenants that a name has stood for.
type Lifetime struct {
	Name       string
	Generation uint32
}

// NewUsage has counted nothing.
func NewUsage() *Usage { return &Usage{of: map[string]*tenant.Usage{}, inHand: map[Lifetime]int{}} }

// add counts a request of a tenant that the router knows: names that clients make up are bounded by nobody. One that is taken is in hand
// until it is over.
func (u *Usage) add(now float64, of Lifetime, s tenant.Standing, taken bool) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	t := u.of[of.Name]
	if t == nil {
		t = &tenant.Usage{}
		u.of[of.Name] = t
	}
	if t.Add(now, s); taken {
		u.inHand[of]++
	}
}

// over ends a request that was taken.
func (u *Usage) over(of Lifetime) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.inHand[of]--; u.inHand[of] <= 0 {
		delete(u.inHand, of)
	}
}

// InHand is how many requests of one of the tenants of a name are taken and not answered, at all pools.
func (u *Usage) InHand(of Lifetime) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inHand[of]
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
func (u *Usage) keep(named map[string]*resident) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for name := range u.of {
		if named[name] == nil {
			delete(u.of, name)
		}
	}
}
