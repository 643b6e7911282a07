package router

import (
	"sync"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Usage counts what tenants' requests were, at all engines of all pools of a router. Its memory is that of the tenants that asked: some
// 3 KiB each. It may be used from any goroutine.
type Usage struct {
	mu sync.Mutex
	of map[Lifetime]*used
}

// Lifetime is one of the tenants that a name has stood for. Generation 0 is that of tenants of the configuration's file.
type Lifetime struct {
	Name       string
	Generation uint32
}

// used is what one tenant has used. Engines keep it, so that a request looks nothing up.
type used struct {
	mu      sync.Mutex
	minutes tenant.Usage
	inHand  int     // requests that are taken and not answered
	goneAt  float64 // when it was known to be no more; 0 = it is there
}

// NewUsage has counted nothing.
func NewUsage() *Usage { return &Usage{of: map[Lifetime]*used{}} }

// entry is a tenant's, made where there is none; nil where nobody counts.
func (u *Usage) entry(of Lifetime) *used {
	if u == nil {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.of[of]
	if e == nil {
		e = &used{}
		u.of[of] = e
	}
	return e
}

// add counts a request. One that is taken is in hand until it is over.
func (e *used) add(now float64, s tenant.QuotaStatus, taken bool) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.minutes.Add(now, s); taken {
		e.inHand++
	}
}

// over ends a request that was taken.
func (e *used) over() {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inHand--
}

// get is an entry that is there.
func (u *Usage) get(of Lifetime) *used {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.of[of]
}

// InHand is how many requests of a tenant are taken and not answered, at all pools.
func (u *Usage) InHand(of Lifetime) int {
	e := u.get(of)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inHand
}

// Of gives a tenant's minutes of the last hour, at a time in ms.
func (u *Usage) Of(of Lifetime, now float64) []tenant.Minute {
	e := u.get(of)
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.minutes.Since(now)
}

// keep forgets the tenants that are no more, of the book or of the configuration's file. Other engines may not have heard of that yet: what
// is in hand of one, and what comes in for a while, is counted on.
func (u *Usage) keep(now float64, named map[string]*resident, booked bool) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for of, e := range u.of {
		m := named[of.Name]
		if (of.Generation > 0) != booked || m != nil && m.Lifetime == of {
			continue
		}
		e.mu.Lock()
		if e.goneAt == 0 {
			e.goneAt = now
		}
		if e.inHand <= 0 && now-e.goneAt > departedFor {
			delete(u.of, of)
		}
		e.mu.Unlock()
	}
}
