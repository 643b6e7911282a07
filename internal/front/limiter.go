package front

import (
	"maps"
	"slices"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/pure/shares"
)

// Quota limits the connections of each tenant, over all listeners and engines of a pool.
type Quota struct {
	limit func(tenant string) int // 0 = no limit

	mu     sync.Mutex
	counts map[string]int
}

// NewQuota returns a Quota that asks limit for the limit of a tenant each time.
func NewQuota(limit func(tenant string) int) *Quota {
	return &Quota{limit: limit, counts: map[string]int{}}
}

// acquire counts one more connection for a tenant, up to its limit unless forced.
func (q *Quota) acquire(tenant string, forced bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if tenant != unidentified {
		if limit := q.limit(tenant); limit > 0 && q.counts[tenant] >= limit && !forced {
			return false
		}
	}
	q.counts[tenant]++
	return true
}

// release counts one connection less.
func (q *Quota) release(tenant string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.counts[tenant]--; q.counts[tenant] <= 0 {
		delete(q.counts, tenant)
	}
}

// OpenConns returns the number of connections of a tenant; "" = connections that are not identified.
func (q *Quota) OpenConns(tenant string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts[tenant]
}

// connLimiter divides the slots of one listener at one engine between tenants. Connections that are not
// identified count as a tenant of their own, which is evicted first. A nil connLimiter divides nothing.
type connLimiter struct {
	quota *Quota
	mu    sync.Mutex
	pool  *shares.Pool
}

const (
	// unidentified counts connections whose caller is not known. No tenant can have this name.
	unidentified = shares.Unidentified
	// freeSlotsFactor limits a tenant to this many times the free slots: a single one gets 8/9 and leaves
	// the rest to others.
	freeSlotsFactor = 8
)

func newConnLimiter(total int, q *Quota) *connLimiter {
	if q == nil {
		return nil
	}
	return &connLimiter{quota: q, pool: shares.New(int64(total), freeSlotsFactor)}
}

// addUnidentified counts a new connection and reports whether there are too many unidentified ones.
func (l *connLimiter) addUnidentified() (crowded bool) {
	if l == nil {
		return false
	}
	l.quota.acquire(unidentified, true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.Add(unidentified, 1)
	return l.pool.OverLimit(unidentified, 0)
}

// remove counts a connection of a tenant less.
func (l *connLimiter) remove(tenant string) {
	if l == nil {
		return
	}
	l.quota.release(tenant)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.Add(tenant, -1)
}

// moveResult is the result of moving a connection to a tenant.
type moveResult int

const (
	moveOK          moveResult = iota
	quotaReached               // the tenant's own limit is reached
	capacityReached            // the tenant would exceed its share of the slots
)

// moveConn counts a connection for another tenant, if its limits allow it or forced is set.
func (l *connLimiter) moveConn(from, to string, forced bool) moveResult {
	if !l.quota.acquire(to, forced) {
		return quotaReached
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pool.Add(from, -1)
	if !forced && to != unidentified && !l.pool.CanTake(to, 1, 0) {
		l.pool.Add(from, 1)
		l.quota.release(to)
		return capacityReached
	}
	l.pool.Add(to, 1)
	l.quota.release(from)
	return moveOK
}

// chooseVictim chooses, among the tenants with an idle connection, the one to evict from in favor of a new
// one of tenant to.
func (l *connLimiter) chooseVictim(to string, idle []string) (victim string, ok bool) {
	if l == nil { // all are one tenant
		return unidentified, len(idle) > 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pool.ChooseVictim(to, idle)
}

// assignTenant counts a connection for the tenant of its caller. If that tenant is at a limit, an idle
// connection is evicted: one of its own if its quota is reached. ok is false if there is none; the
// connection then stays counted as before. Only the reader of the connection calls it.
func (m *ConnManager) assignTenant(c *clientConn) (ok bool) {
	if m.limiter == nil {
		return true
	}
	tenant := c.session.Tenant()
	if tenant == c.readerTenant {
		return true
	}
	if result := m.limiter.moveConn(c.readerTenant, tenant, false); result != moveOK {
		if !m.evictIdle(evictionRule{tenant: tenant, sameTenant: result == quotaReached, exclude: c}) {
			return false
		}
		m.limiter.moveConn(c.readerTenant, tenant, true) // the evicted connection is about to close
	}
	m.mu.Lock()
	c.tenant = tenant
	m.mu.Unlock()
	c.readerTenant = tenant
	return true
}

// evictionRule selects the connection to evict.
type evictionRule struct {
	tenant      string      // of the connection that needs the slot
	sameTenant  bool        // only connections of that tenant
	requireRest bool        // only active connections that have been idle for minRestTime
	exclude     *clientConn // never evicted
}

// evictIdle closes the connection that has been idle for longest, of the tenant chosen by the limiter.
// Reports whether there was one.
func (m *ConnManager) evictIdle(rule evictionRule) bool {
	candidates := m.idleLongest(rule)
	victim, ok := m.limiter.chooseVictim(rule.tenant, slices.Collect(maps.Keys(candidates)))
	if ok {
		candidates[victim].closeIfIdle()
	}
	return ok
}

// idleLongest returns, for each tenant with a connection that a rule allows to evict, the one that has been idle for
// longest. One whose answers are on their way frees its slot late: it is returned only if its tenant has no other, and
// not within deliveryGrace.
func (m *ConnManager) idleLongest(rule evictionRule) map[string]*clientConn {
	delivered, undelivered := idleConns{}, idleConns{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		if c == rule.exclude || rule.sameTenant && c.tenant != rule.tenant {
			continue
		}
		since, idle := c.idleState()
		if rule.requireRest && (!c.countedActive.Load() || time.Since(since) < minRestTime) {
			continue
		}
		switch {
		case !idle || !delivered.isLonger(c.tenant, since):
		case !c.undelivered():
			delivered[c.tenant] = idleConn{c, since}
		case time.Since(since) >= deliveryGrace && undelivered.isLonger(c.tenant, since):
			undelivered[c.tenant] = idleConn{c, since}
		}
	}
	out := map[string]*clientConn{}
	for _, conns := range []idleConns{undelivered, delivered} {
		for tenant, idle := range conns {
			out[tenant] = idle.c
		}
	}
	return out
}

// idleConns has one idle connection for each tenant.
type idleConns map[string]idleConn

type idleConn struct {
	c     *clientConn
	since time.Time
}

// isLonger reports whether a connection that has been idle since the given time has been so for longer than that of its
// tenant.
func (s idleConns) isLonger(tenant string, since time.Time) bool {
	current, found := s[tenant]
	return !found || since.Before(current.since)
}
