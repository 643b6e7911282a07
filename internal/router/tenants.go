package router

import (
	"context"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// portionEvery is how often, in ms, the part of the service that this engine has is brought up to date.
const portionEvery = 1000

// limits is an engine.TenantLimiter: what tenants use at one engine, which holds each to its part of the limits. Requests of tenants that
// nobody has named share one record without a floor: they get what is left. The engine's goroutine alone uses it, but for hands.
type limits struct {
	book     *tenant.Limiter
	members  map[string]*resident
	others   *resident
	classes  map[string]int // their numbers
	costs    []float64      // by number; a class without one counts 1
	fetch    float64        // what each way to the origin counts beside that,
	aside    bool           // where writes go in any case
	counted  map[*engine.Request]booked
	portion  float64             // when it was set
	off      bool                // nobody has limits
	booked   bool                // the book of callers says which tenants there are,
	departed map[string]departed // and these are no more
	usage    *Usage              // nil = nobody asks
	hands    *hands
}

// resident is a tenant as an engine knows it.
type resident struct {
	handle tenant.Handle
	Lifetime
	owed int64 // bytes of answers that the book has in its hand
	hand *hand
	used *used // nil = nobody counts, or nothing has come yet
}

// booked is what a request has been counted as.
type booked struct {
	*resident
	class int
	at    tenant.QuotaStatus
	paid  bool // its way to the origin is booked already
}

// newLimits is nil where no tenant has a limit. answers is the bound on bytes of answers that no client has taken.
func newLimits(cfg Setup, answers int64) engine.TenantLimiter {
	if cfg.Tenants == nil && cfg.Book == nil {
		return nil
	}
	l := &limits{members: map[string]*resident{}, departed: map[string]departed{}, counted: map[*engine.Request]booked{}, usage: cfg.Usage, booked: cfg.Book != nil,
		hands: newHands(answers)}
	t := cfg.Tenants
	if cfg.Book != nil {
		_, t = cfg.Book()
	}
	l.configure(0, cfg.Config, t)
	return l
}

// configure takes limits; tenants that stay keep what they have in hand. One of another generation is another tenant: nothing of the old
// one's reaches it, and what that has in hand is counted to its end.
func (l *limits) configure(now float64, cfg *config.Config, t *config.Tenants) {
	if t == nil {
		t = &config.Tenants{Off: true}
	}
	l.off = t.Off // what is counted is counted on, and nobody is held to it
	if l.book == nil {
		l.book = tenant.NewLimiter(t.Capacity)
		h, _ := l.book.Create(now, tenant.Limits{}) // no limit can be wrong
		l.others = &resident{handle: h, hand: l.hands.others}
	}
	l.book.SetCapacity(now, t.Capacity)
	l.classes, l.costs, l.fetch, l.aside = map[string]int{}, t.Costs, t.Fetch, cfg.Checked.Config.Aside
	for i, c := range cfg.Checked.Config.Classes {
		l.classes[c.Name] = i
	}
	named := make(map[string]*resident, len(t.Tenants))
	for _, x := range t.Tenants {
		m := l.members[x.Name]
		switch {
		case m != nil && m.Generation == x.Generation:
			l.book.SetLimits(now, m.handle, x.Limits) //nolint:errcheck // the configuration has checked them
		default:
			h, err := l.book.Create(now, x.Limits)
			if err != nil {
				continue // as above
			}
			of := Lifetime{x.Name, x.Generation}
			m = &resident{handle: h, Lifetime: of, hand: newHand(of)}
		}
		l.book.SetSuspended(m.handle, x.Suspended) //nolint:errcheck // it is there
		named[x.Name] = m
	}
	for name, m := range l.members {
		if named[name] != m {
			l.book.Delete(now, m.handle) //nolint:errcheck // it is there
			l.depart(now, m.Lifetime)
		}
	}
	l.members = named
	l.usage.keep(now, named, l.booked)
}

// departed is what is kept of a tenant that is no more: what its clients sent before they were turned away may still be on its way here.
type departed struct {
	generation uint32
	at         float64
}

// departedFor is how long that is kept, in ms: no command waits for the engine's goroutine for as long.
const departedFor = 10e3

// depart keeps what has to be known of a tenant that is no more, and forgets those that went long ago.
func (l *limits) depart(now float64, of Lifetime) {
	for name, d := range l.departed {
		if now-d.at > departedFor {
			delete(l.departed, name)
		}
	}
	l.departed[of.Name] = departed{of.Generation, now}
}

// of gives whose request it is. ok is false for one that was made by a tenant which is no more. One that this engine has not heard of yet
// shares the record of others until it has.
func (l *limits) of(q *engine.Request) (m *resident, ok bool) {
	m = l.members[q.Tenant]
	switch {
	case q.TenantGeneration == 0 || !l.booked:
	case m == nil || q.TenantGeneration > m.Generation:
		if d, gone := l.departed[q.Tenant]; gone && q.TenantGeneration <= d.generation {
			return nil, false
		}
		return l.others, true
	case q.TenantGeneration < m.Generation:
		return nil, false
	}
	if m == nil {
		return l.others, true
	}
	return m, true
}

// standings are the module's, by the tenant's.
var standings = [...]decide.QuotaStatus{tenant.Guaranteed: decide.QuotaGuaranteed, tenant.Leased: decide.QuotaLeased, tenant.Exceeded: decide.QuotaExceeded,
	tenant.HardLimited: decide.QuotaDenied, tenant.Suspended: decide.QuotaDenied}

// Arrived is engine.TenantLimiter'.
func (l *limits) Arrived(now, portion float64, q *engine.Request) (decide.QuotaStatus, float64) {
	if now-l.portion >= portionEvery {
		l.portion = now
		l.book.SetShare(now, portion)
	}
	m, ok := l.of(q)
	if !ok {
		return decide.QuotaDenied, 0 // it came in while its tenant went
	}
	class, ok := l.classes[q.Class]
	if !ok {
		class = -1
	}
	cost := 1.0
	if class >= 0 && class < len(l.costs) {
		cost = l.costs[class]
	}
	paid := q.Write && l.aside
	if paid {
		cost += l.fetch
	}
	v := l.stands(now, m, q, class, cost)
	taken := v.QuotaStatus < tenant.HardLimited
	if m != l.others { // names that clients make up are bounded by nobody
		if m.used == nil {
			m.used = l.usage.entry(m.Lifetime)
		}
		m.used.add(now, v.QuotaStatus, taken)
	}
	if !taken {
		return decide.QuotaDenied, v.RetryAfter
	}
	l.counted[q] = booked{m, class, v.QuotaStatus, paid}
	if l.off {
		return decide.QuotaGuaranteed, 0
	}
	return standings[v.QuotaStatus], v.RetryAfter
}

// stands says where a request stands with its tenant's limits, and with what its answer will need beside those that wait to be taken.
func (l *limits) stands(now float64, m *resident, q *engine.Request, class int, cost float64) tenant.Assessment {
	use, _ := l.book.InFlight(m.handle) // one that is no more has none
	fits, owed := l.hands.fits(m.hand, use.Open)
	if !fits {
		return tenant.Assessment{QuotaStatus: tenant.HardLimited, Limit: tenant.BytesLimit, RetryAfter: handBack}
	}
	l.book.AddBytes(m.handle, owed-m.owed)
	m.owed = owed
	v, err := l.book.Acquire(now, m.handle, class, cost, int64(q.HeldBytes))
	if err != nil {
		return tenant.Assessment{QuotaStatus: tenant.HardLimited}
	}
	return v
}

// Fetches is engine.TenantLimiter'. What a read takes of the origin is known only when it goes there. A write goes there in any case, and has been
// booked as such when it came: only what it takes beyond that is new.
func (l *limits) FetchStarted(now float64, q *engine.Request) {
	b, ok := l.counted[q]
	switch {
	case !ok || l.off:
	case b.paid:
		b.paid = false
		l.counted[q] = b
	default:
		l.book.Charge(now, b.handle, b.at, l.fetch)
	}
}

// Over is engine.TenantLimiter'.
func (l *limits) Finished(_ float64, q *engine.Request) {
	if b, ok := l.counted[q]; ok {
		delete(l.counted, q)
		l.book.Release(b.handle, b.class, int64(q.HeldBytes))
		b.used.over()
	}
}

// Owes is engine.TenantLimiter'.
func (l *limits) ReserveAnswer(q *engine.Request, bytes int) (party string) {
	m, ok := l.of(q)
	if !ok { // of a tenant that is no more: nobody's that there is
		m = l.others
	}
	return l.hands.owes(m.hand, bytes)
}

// Paid is engine.TenantLimiter'.
func (l *limits) ReleaseAnswer(party string, bytes int) { l.hands.paid(party, bytes) }

// bookEvery is how often the limits of the book are looked at: an admin waits for them to count.
const bookEvery = 20 * time.Millisecond

// followBook has all engines take the limits of the book as they change, until ctx ends. A change is told of once it counts on each.
func (rs engines) followBook(ctx context.Context, cfg Setup) {
	tick := time.NewTicker(bookEvery)
	defer tick.Stop()
	for last := uint64(0); ; {
		if epoch, t := cfg.Book(); epoch != last {
			last = epoch
			var all sync.WaitGroup
			all.Add(len(rs))
			rs.each(func(r *router) {
				defer all.Done()
				if l, ok := r.Tenants().(*limits); ok {
					l.configure(r.Now(), cfg.Config, t)
				}
			})
			if !waited(ctx, &all) {
				return
			}
			cfg.places.use(t)
			if cfg.InForce != nil {
				cfg.InForce(epoch)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// waited waits for all, or until ctx ends: an engine that has ended does nothing more.
func waited(ctx context.Context, all *sync.WaitGroup) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		all.Wait()
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
