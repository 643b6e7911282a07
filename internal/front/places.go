package front

import (
	"maps"
	"slices"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/pure/shares"
)

// Quota bounds the connections of each tenant, at all listeners and engines of a pool together.
type Quota struct {
	limit func(tenant string) int // 0 = no bound

	mu     sync.Mutex
	counts map[string]int
}

// NewQuota bounds tenants' connections by most, which is asked each time.
func NewQuota(most func(tenant string) int) *Quota {
	return &Quota{limit: most, counts: map[string]int{}}
}

// acquire takes one more for a tenant, within its bound unless forced.
func (q *Quota) acquire(who string, forced bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if who != unidentified {
		if most := q.limit(who); most > 0 && q.counts[who] >= most && !forced {
			return false
		}
	}
	q.counts[who]++
	return true
}

// release gives one back.
func (q *Quota) release(who string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.counts[who]--; q.counts[who] <= 0 {
		delete(q.counts, who)
	}
}

// OpenConns is how many connections a tenant has; "" = those of nobody known.
func (q *Quota) OpenConns(tenant string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts[tenant]
}

// connLimiter are those of one listener at one engine, divided between tenants. Who is not known yet counts as one more party, which gives way
// first. A nil one divides nothing.
type connLimiter struct {
	quota *Quota
	mu    sync.Mutex
	pool  *shares.Pool
}

const (
	// unidentified is the party of connections whose caller is not known, which no tenant's name can be.
	unidentified = shares.Unidentified
	// freeSlotsFactor is how many times what is free a tenant may hold: one alone gets eight ninths, and what it leaves is others'.
	freeSlotsFactor = 8
)

func newConnLimiter(total int, q *Quota) *connLimiter {
	if q == nil {
		return nil
	}
	return &connLimiter{quota: q, pool: shares.New(int64(total), freeSlotsFactor)}
}

// addUnidentified books a connection that has come, of nobody known, and says whether there are too many of them.
func (p *connLimiter) addUnidentified() (crowded bool) {
	if p == nil {
		return false
	}
	p.quota.acquire(unidentified, true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Add(unidentified, 1)
	return p.pool.OverLimit(unidentified, 0)
}

// remove ends a connection of a party.
func (p *connLimiter) remove(who string) {
	if p == nil {
		return
	}
	p.quota.release(who)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Add(who, -1)
}

// moveResult is why a connection can't go over to a party.
type moveResult int

const (
	moveOK          moveResult = iota
	quotaReached               // the party's own bound is reached
	capacityReached            // it would hold too much beside others
)

// moveConn has a connection go over to another party, where that has room or forced is set.
func (p *connLimiter) moveConn(from, to string, forced bool) moveResult {
	if !p.quota.acquire(to, forced) {
		return quotaReached
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Add(from, -1)
	if !forced && to != unidentified && !p.pool.CanTake(to, 1, 0) {
		p.pool.Add(from, 1)
		p.quota.release(to)
		return capacityReached
	}
	p.pool.Add(to, 1)
	p.quota.release(from)
	return moveOK
}

// chooseVictim names the party that gives way to one more of another, of those that have an idle connection.
func (p *connLimiter) chooseVictim(to string, idle []string) (who string, ok bool) {
	if p == nil { // all are one party
		return unidentified, len(idle) > 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.ChooseVictim(to, idle)
}

// assignTenant has a connection count as its caller's from now on. Where that has no place left, an idle connection gives way; at a bound of its
// own, one of its own. ok is false where there is none, and the connection stays whose it was. The connection's reader alone calls it.
func (s *ConnManager) assignTenant(c *clientConn) (ok bool) {
	if s.limiter == nil {
		return true
	}
	to := c.session.Tenant()
	if to == c.readerTenant {
		return true
	}
	if why := s.limiter.moveConn(c.readerTenant, to, false); why != moveOK {
		if !s.evictIdle(evictionRule{tenant: to, sameTenant: why == quotaReached, exclude: c}) {
			return false
		}
		s.limiter.moveConn(c.readerTenant, to, true) // the other one is on its way out
	}
	s.mu.Lock()
	c.tenant = to
	s.mu.Unlock()
	c.readerTenant = to
	return true
}

// evictionRule says which connection is to give way.
type evictionRule struct {
	tenant      string      // the party that one more comes of
	sameTenant  bool        // one of that party
	requireRest bool        // one that has asked, and since rested for a moment
	exclude     *clientConn // never this one
}

// evictIdle ends the connection that has been idle for longest, of the party that gives way, and says whether there was one.
func (s *ConnManager) evictIdle(by evictionRule) bool {
	type idleOne struct {
		c     *clientConn
		since time.Time
	}
	longest := map[string]idleOne{} // few: those that hold something
	s.mu.Lock()
	for c := range s.conns {
		if c == by.exclude || by.sameTenant && c.tenant != by.tenant {
			continue
		}
		at, idle := c.idleState()
		if by.requireRest && (!c.countedActive.Load() || time.Since(at) < minRestTime) {
			continue
		}
		if was, there := longest[c.tenant]; idle && (!there || at.Before(was.since)) {
			longest[c.tenant] = idleOne{c, at}
		}
	}
	s.mu.Unlock()
	who, ok := s.limiter.chooseVictim(by.tenant, slices.Collect(maps.Keys(longest)))
	if ok {
		longest[who].c.closeIfIdle()
	}
	return ok
}
