package router

import (
	"fmt"
	"testing"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// booked are the limits of an engine whose tenants come from the book, with so many bytes for answers.
func bookedLimits(t testing.TB, bytes int64, tenants ...config.TenantLimits) (l *limits, change func(float64, ...config.TenantLimits)) {
	t.Helper()
	cfg := &config.Config{}
	cfg.Checked.Config.Classes = []decide.Class{{Name: "read"}, {Name: "write"}}
	made := &config.Tenants{Costs: []float64{1, 4}, Tenants: tenants}
	l = newLimits(Setup{Config: cfg, Usage: NewUsage(), Book: func() (uint64, *config.Tenants) { return 1, made }}, bytes).(*limits)
	return l, func(now float64, tenants ...config.TenantLimits) {
		l.configure(now, cfg, &config.Tenants{Costs: made.Costs, Tenants: tenants})
	}
}

func ask(name string, generation uint32) *engine.Request {
	return &engine.Request{Tenant: name, TenantGeneration: generation, Class: "read"}
}

func named(name string, generation uint32, l tenant.Limits) config.TenantLimits {
	return config.TenantLimits{Name: name, Generation: generation, Limits: l}
}

// A tenant whose clients take nothing fills its own hand and nobody else's: it is refused with a time to come again while others go on, and
// goes on itself once its clients have taken some. What a deleted tenant left unread is not the next one's of its name, whose requests in hand
// are its own too.
func TestHandsOfTenants(t *testing.T) {
	const all = 4 << 20
	l, change := bookedLimits(t, all, named("slow", 1, tenant.Limits{}), named("other", 1, tenant.Limits{Floor: 100}))
	now := 1000.0
	parties := []string{}
	for range 1000 { // each answer is long, and none is taken
		q := ask("slow", 1)
		s, again := l.Arrived(now, 1, q)
		if s == decide.QuotaDenied {
			if again != handBack {
				t.Errorf("come again after %v", again)
			}
			break
		}
		l.Finished(now, q)
		parties = append(parties, l.ReserveAnswer(q, 60<<10))
	}
	if held := 60 << 10 * len(parties); held < all/2 || held > all*3/4 {
		t.Errorf("%d of %d bytes held by one", held, all)
	}
	if s, _ := l.Arrived(now, 1, ask("other", 1)); s != decide.QuotaGuaranteed {
		t.Errorf("the other stands %v", s)
	}
	change(now, named("slow", 2, tenant.Limits{}), named("other", 1, tenant.Limits{Floor: 100}))
	if s, _ := l.Arrived(now, 1, ask("slow", 1)); s != decide.QuotaDenied {
		t.Errorf("what was sent by the one before stands %v", s)
	}
	fresh := ask("slow", 2)
	if s, _ := l.Arrived(now, 1, fresh); s == decide.QuotaDenied {
		t.Error("the next one of the name has the hand of the one before")
	}
	if a, b := l.usage.InHand(Lifetime{"slow", 1}), l.usage.InHand(Lifetime{"slow", 2}); a != 0 || b != 1 {
		t.Errorf("in hand: %d and %d", a, b)
	}
	for _, p := range parties {
		l.ReleaseAnswer(p, 60<<10)
	}
	l.Finished(now, fresh)
	if l.hands.pool.Used() != 0 || len(l.counted) != 1 { // the other's request
		t.Errorf("%d bytes, %d requests left", l.hands.pool.Used(), len(l.counted))
	}
}

// A tenant that comes, goes and comes again while its requests are on their way: those of one that is no more are refused, those of one that
// the engine has not heard of yet are taken, and what is known of the past is forgotten.
func TestRequestsOfTenantsThatComeAndGo(t *testing.T) {
	l, change := bookedLimits(t, 1<<20, named("t", 3, tenant.Limits{Floor: 10}))
	stands := func(now float64, name string, generation uint32) decide.QuotaStatus {
		s, _ := l.Arrived(now, 1, ask(name, generation))
		return s
	}
	for generation, taken := range map[uint32]bool{3: true, 2: false, 4: true} {
		if s := stands(1000, "t", generation); (s != decide.QuotaDenied) != taken {
			t.Errorf("generation %d of 3 stands %v", generation, s)
		}
	}
	change(2000)
	if a, b, c := stands(2000, "t", 3), stands(2000, "t", 4), stands(2000, "unheard", 1); a != decide.QuotaDenied || b == decide.QuotaDenied || c == decide.QuotaDenied {
		t.Errorf("gone %v, made again %v, new %v", a, b, c)
	}
	change(2001, named("t", 4, tenant.Limits{Floor: 10}))
	if a, b := stands(2001, "t", 3), stands(2001, "t", 4); a != decide.QuotaDenied || b != decide.QuotaGuaranteed {
		t.Errorf("the old one %v, the new one %v", a, b)
	}
	for i := range 100 {
		change(2001+float64(i), named(fmt.Sprint("x", i), 1, tenant.Limits{}))
	}
	change(2001+2*departedFor, named("y", 1, tenant.Limits{}))
	if len(l.departed) > 2 {
		t.Errorf("%d are remembered", len(l.departed))
	}
}

// A read costs what its way to the origin does when it goes there, each time; a write has that booked when it comes, and pays only for further
// ways. Without limits nothing is charged.
func TestWaysToTheOriginCost(t *testing.T) {
	cfg := &config.Config{}
	cfg.Checked.Config.Classes, cfg.Checked.Config.Aside = []decide.Class{{Name: "read"}}, true
	for name, x := range map[string]struct {
		write, off bool
		ways       int
		left       int // requests of cost 1 that then stand within, of a floor of 10
	}{"a hit": {left: 9}, "a miss": {ways: 1, left: 6}, "a miss that fetches twice": {ways: 2, left: 3}, "a write": {write: true, ways: 1, left: 6},
		"a write that was not sent": {write: true, left: 6}, "a write sent twice": {write: true, ways: 2, left: 3}, "without limits": {off: true, ways: 2, left: 20}} {
		made := &config.Tenants{Fetch: 3, Off: x.off, Tenants: []config.TenantLimits{named("t", 1, tenant.Limits{Floor: 10})}}
		l := newLimits(Setup{Config: cfg, Book: func() (uint64, *config.Tenants) { return 1, made }}, 1<<20).(*limits)
		q := ask("t", 1)
		q.Write = x.write
		l.Arrived(1000, 1, q)
		for range x.ways {
			l.FetchStarted(1000, q)
		}
		l.Finished(1000, q)
		left := 0
		for range 20 {
			more := ask("t", 1)
			if s, _ := l.Arrived(1000, 1, more); s == decide.QuotaGuaranteed {
				left++
			}
			l.Finished(1000, more)
		}
		if left != x.left {
			t.Errorf("%s: %d left", name, left)
		}
	}
}

// BenchmarkLimits is what limits cost a request at the router: it arrives, is answered, and its client takes the answer. 50 tenants are active.
// docs/design/tenants.md has the figures beside those of the pure module.
func BenchmarkLimits(b *testing.B) {
	var all []config.TenantLimits
	var qs []*engine.Request
	for i := range 50 {
		name := fmt.Sprint("t", i)
		all = append(all, named(name, 1, tenant.Limits{Floor: 1e6, Most: 1e9, Open: 1000}))
		qs = append(qs, ask(name, 1))
	}
	l, _ := bookedLimits(b, 64<<20, all...)
	b.ReportAllocs()
	now, beyond := 1000.0, 0
	for i := 0; b.Loop(); i++ {
		q := qs[i%len(qs)]
		now += 0.001
		if s, _ := l.Arrived(now, 1, q); s == decide.QuotaDenied {
			beyond++
			continue
		}
		l.Finished(now, q)
		l.ReleaseAnswer(l.ReserveAnswer(q, 200), 200)
	}
	b.ReportMetric(float64(beyond)/float64(b.N), "beyond/op")
}
