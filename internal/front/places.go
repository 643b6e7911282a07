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
	most func(tenant string) int // 0 = no bound

	mu   sync.Mutex
	held map[string]int
}

// NewQuota bounds tenants' connections by most, which is asked each time.
func NewQuota(most func(tenant string) int) *Quota { return &Quota{most: most, held: map[string]int{}} }

// take takes one more for a tenant, within its bound unless forced.
func (q *Quota) take(who string, forced bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if who != strangers {
		if most := q.most(who); most > 0 && q.held[who] >= most && !forced {
			return false
		}
	}
	q.held[who]++
	return true
}

// give gives one back.
func (q *Quota) give(who string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.held[who]--; q.held[who] <= 0 {
		delete(q.held, who)
	}
}

// Held is how many connections a tenant has; "" = those of nobody known.
func (q *Quota) Held(tenant string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.held[tenant]
}

// places are those of one listener at one engine, divided between tenants. Who is not known yet counts as one more party, which gives way
// first. A nil one divides nothing.
type places struct {
	quota *Quota
	mu    sync.Mutex
	pool  *shares.Pool
}

const (
	// strangers is the party of connections whose caller is not known, which no tenant's name can be.
	strangers = shares.Unidentified
	// placesAhead is how many times what is free a tenant may hold: one alone gets eight ninths, and what it leaves is others'.
	placesAhead = 8
)

func newPlaces(total int, q *Quota) *places {
	if q == nil {
		return nil
	}
	return &places{quota: q, pool: shares.New(int64(total), placesAhead)}
}

// came books a connection that has come, of nobody known, and says whether there are too many of them.
func (p *places) came() (crowded bool) {
	if p == nil {
		return false
	}
	p.quota.take(strangers, true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Add(strangers, 1)
	return p.pool.OverLimit(strangers, 0)
}

// went ends a connection of a party.
func (p *places) went(who string) {
	if p == nil {
		return
	}
	p.quota.give(who)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Add(who, -1)
}

// shortage is why a connection can't go over to a party.
type shortage int

const (
	none    shortage = iota
	ofQuota          // the party's own bound is reached
	ofRoom           // it would hold too much beside others
)

// move has a connection go over to another party, where that has room or forced is set.
func (p *places) move(from, to string, forced bool) shortage {
	if !p.quota.take(to, forced) {
		return ofQuota
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool.Add(from, -1)
	if !forced && to != strangers && !p.pool.CanTake(to, 1, 0) {
		p.pool.Add(from, 1)
		p.quota.give(to)
		return ofRoom
	}
	p.pool.Add(to, 1)
	p.quota.give(from)
	return none
}

// yields names the party that gives way to one more of another, of those that have an idle connection.
func (p *places) yields(to string, idle []string) (who string, ok bool) {
	if p == nil { // all are one party
		return strangers, len(idle) > 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.ChooseVictim(to, idle)
}

// settle has a connection count as its caller's from now on. Where that has no place left, an idle connection gives way; at a bound of its
// own, one of its own. ok is false where there is none, and the connection stays whose it was. The connection's reader alone calls it.
func (s *Clients) settle(c *clientConn) (ok bool) {
	if s.places == nil {
		return true
	}
	to := c.session.Tenant()
	if to == c.settled {
		return true
	}
	if why := s.places.move(c.settled, to, false); why != none {
		if !s.evict(rule{to: to, own: why == ofQuota, but: c}) {
			return false
		}
		s.places.move(c.settled, to, true) // the other one is on its way out
	}
	s.mu.Lock()
	c.party = to
	s.mu.Unlock()
	c.settled = to
	return true
}

// rule says which connection is to give way.
type rule struct {
	to     string      // the party that one more comes of
	own    bool        // one of that party
	rested bool        // one that has asked, and since rested for a moment
	but    *clientConn // never this one
}

// evict ends the connection that has been idle for longest, of the party that gives way, and says whether there was one.
func (s *Clients) evict(by rule) bool {
	type idleOne struct {
		c     *clientConn
		since time.Time
	}
	longest := map[string]idleOne{} // few: those that hold something
	s.mu.Lock()
	for c := range s.conns {
		if c == by.but || by.own && c.party != by.to {
			continue
		}
		at, idle := c.idle()
		if by.rested && (!c.counted.Load() || time.Since(at) < rest) {
			continue
		}
		if was, there := longest[c.party]; idle && (!there || at.Before(was.since)) {
			longest[c.party] = idleOne{c, at}
		}
	}
	s.mu.Unlock()
	who, ok := s.places.yields(by.to, slices.Collect(maps.Keys(longest)))
	if ok {
		longest[who].c.drop()
	}
	return ok
}
