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

// limits is an engine.Tenants: what tenants use at one engine, which holds each to its part of the limits. Requests of tenants that
// nobody has named share one record without a floor: they get what is left. The engine's goroutine alone uses it.
type limits struct {
	book    *tenant.Book
	handles map[string]tenant.Handle
	others  tenant.Handle
	classes map[string]int // their numbers
	costs   []float64      // by number; a class without one counts 1
	counted map[*engine.Request]booked
	portion float64 // when it was set
	off     bool    // nobody has limits
	usage   *Usage  // nil = nobody asks
}

// booked is what a request has been counted as.
type booked struct {
	of    tenant.Handle
	class int
}

// newLimits is nil where no tenant has a limit.
func newLimits(cfg Setup) engine.Tenants {
	if cfg.Tenants == nil && cfg.Book == nil {
		return nil
	}
	l := &limits{handles: map[string]tenant.Handle{}, counted: map[*engine.Request]booked{}, usage: cfg.Usage}
	t := cfg.Tenants
	if cfg.Book != nil {
		_, t = cfg.Book()
	}
	l.configure(0, cfg.Config, t)
	return l
}

// configure takes limits; tenants that stay keep what they have in hand.
func (l *limits) configure(now float64, cfg *config.Config, t *config.Tenants) {
	if l.off = t == nil; l.off { // what is counted is counted on, and nobody is held to it
		t = &config.Tenants{}
	}
	if l.book == nil {
		l.book = tenant.NewBook(t.Capacity)
		l.others, _ = l.book.Create(now, tenant.Limits{}) // no limit can be wrong
	}
	l.book.SetCapacity(now, t.Capacity)
	l.classes, l.costs = map[string]int{}, t.Costs
	for i, c := range cfg.Checked.Config.Classes {
		l.classes[c.Name] = i
	}
	named := map[string]bool{}
	for _, x := range t.Tenants {
		named[x.Name] = true
		if h, there := l.handles[x.Name]; there {
			l.book.Set(now, h, x.Limits) //nolint:errcheck // the configuration has checked them
		} else if h, err := l.book.Create(now, x.Limits); err == nil {
			l.handles[x.Name] = h
		}
		l.book.Suspend(l.handles[x.Name], x.Suspended) //nolint:errcheck // it is there
	}
	for name, h := range l.handles {
		if !named[name] {
			l.book.Delete(now, h) //nolint:errcheck // it is there
			delete(l.handles, name)
		}
	}
	if !l.off {
		l.usage.keep(named)
	}
}

// standings are the module's.
var standings = map[tenant.Standing]decide.Standing{tenant.Within: decide.Within, tenant.Borrowed: decide.Borrowed, tenant.Over: decide.Over,
	tenant.Beyond: decide.Beyond, tenant.Suspended: decide.Beyond}

// Arrived is engine.Tenants'.
func (l *limits) Arrived(now, portion float64, q *engine.Request) (decide.Standing, float64) {
	if now-l.portion >= portionEvery {
		l.portion = now
		l.book.Portion(now, portion)
	}
	h, named := l.handles[q.Tenant]
	if !named {
		h = l.others
	}
	class, ok := l.classes[q.Class]
	if !ok {
		class = -1
	}
	cost := 1.0
	if class >= 0 && class < len(l.costs) {
		cost = l.costs[class]
	}
	v, err := l.book.Arrive(now, h, class, cost, int64(q.Held))
	if named {
		l.usage.add(now, q.Tenant, v.Standing)
	}
	if l.off {
		if v.Standing < tenant.Beyond {
			l.counted[q] = booked{h, class}
		}
		return decide.Within, 0
	}
	if err != nil || v.Standing >= tenant.Beyond {
		return decide.Beyond, v.Again
	}
	l.counted[q] = booked{h, class}
	return standings[v.Standing], v.Again
}

// Over is engine.Tenants'.
func (l *limits) Over(_ float64, q *engine.Request) {
	if b, ok := l.counted[q]; ok {
		delete(l.counted, q)
		l.book.Done(b.of, b.class, int64(q.Held))
	}
}

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
