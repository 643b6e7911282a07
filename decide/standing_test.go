package decide

import "testing"

// What is beyond a tenant's limits is refused at once, whatever its effect, and is no traffic; what is over its floor is told when to come
// again if it is refused.
func TestQuotaDeniedIsRefused(t *testing.T) {
	b, h := start(t, testConfig(), fleet(3))
	before := b.arrivals.value
	for id, class := range map[uint32]string{1: "read", 2: "keyed", 3: "once"} {
		b.Request(100001, Request{ID: id, Class: class, Key: 42, HasKey: true, Left: 600, Standing: QuotaDenied, Again: 70})
		if h.refused[id] != 1 || len(h.sends) != 0 || b.requests[id] != nil {
			t.Errorf("%s: refused %v, sends %v, kept %v", class, h.refused, h.sends, b.requests[id])
		}
	}
	if b.arrivals.value > before {
		t.Error("it counts as traffic")
	}
	ask(b, 100002, 4, "read", 42)
	if len(h.sends) != 1 {
		t.Errorf("sends %v", h.sends)
	}
}

// Standings order what requests are worth, by which full servers refuse, and leave a part of the origin to those within.
func TestQuotaStatusOrdersShedding(t *testing.T) {
	cfg := testConfig()
	cfg.OverWorth = 0.25
	b, h := start(t, cfg, fleet(2))
	worth := func(id uint32, s QuotaStatus) float64 {
		b.Request(100001, Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Left: 600, Standing: s})
		return b.requests[id].worth
	}
	within, borrowed, over := worth(1, QuotaGuaranteed), worth(2, QuotaLeased), worth(3, QuotaExceeded)
	if !(within > borrowed && borrowed > over) || h.refused[1] > 0 {
		t.Errorf("worth %v, %v, %v", within, borrowed, over)
	}

	b, h, ids, origin := newAside(t)
	b.fetchLimit = 8
	out := func(s QuotaStatus) (n int) {
		from := len(h.sends)
		for i := range 20 {
			id := uint32(1000*int(s) + 10 + i)
			b.Request(100001, Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Left: 600, Owners: ids[:1], Standing: s})
			b.Outcome(100001, Outcome{ID: id, Server: ids[0], Status: Miss, CacheResult: 2, Latency: 1, Load: NoLoad})
		}
		for _, x := range h.sends[from:] {
			if x.server == origin {
				n++
			}
		}
		return n
	}
	// Those over have a quarter of the bound, those that borrow go on to a half, those within to all of it.
	if o, l, w := out(QuotaExceeded), out(QuotaLeased), out(QuotaGuaranteed); o != 2 || o+l != 4 || o+l+w != 8 {
		t.Errorf("fetches out: over %d, borrowed %d, within %d", o, l, w)
	}
}
