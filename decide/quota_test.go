package decide

import "testing"

// A request beyond its tenant's limits is refused at once, whatever its effect, and isn't counted as traffic.
func TestQuotaDeniedIsRefused(t *testing.T) {
	b, h := start(t, testConfig(), fleet(3))
	before := b.arrivals.value
	for id, class := range map[uint32]string{1: "read", 2: "keyed", 3: "once"} {
		b.Request(100001, Request{ID: id, Class: class, Key: 42, HasKey: true, Left: 600,
			Standing: QuotaDenied, Again: 70})
		if h.refused[id] != 1 || len(h.sends) != 0 || b.requests[id] != nil {
			t.Errorf("%s: refused %v, sends %v, request record %v", class, h.refused, h.sends, b.requests[id])
		}
	}
	if b.arrivals.value > before {
		t.Error("a denied request counts as traffic")
	}
	ask(b, 100002, 4, "read", 42)
	if len(h.sends) != 1 {
		t.Errorf("sends %v", h.sends)
	}
}

// The quota status lowers the worth by which full servers refuse, and keeps a part of the fetches for
// guaranteed requests.
func TestQuotaStatusOrdersShedding(t *testing.T) {
	cfg := testConfig()
	cfg.OverWorth = 0.25
	b, h := start(t, cfg, fleet(2))
	worth := func(id uint32, s QuotaStatus) float64 {
		b.Request(100001, Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Left: 600,
			Standing: s})
		return b.requests[id].worth
	}
	guaranteed, leased, exceeded := worth(1, QuotaGuaranteed), worth(2, QuotaLeased), worth(3, QuotaExceeded)
	if !(guaranteed > leased && leased > exceeded) || h.refused[1] > 0 {
		t.Errorf("worth %v, %v, %v", guaranteed, leased, exceeded)
	}

	b, h, ids, origin := newAside(t)
	b.fetchLimit = 8
	fetchesFor := func(s QuotaStatus) (n int) {
		from := len(h.sends)
		for i := range 20 {
			id := uint32(1000*int(s) + 10 + i)
			b.Request(100001, Request{ID: id, Class: "read", Key: uint64(id), HasKey: true, Left: 600,
				Owners: ids[:1], Standing: s})
			b.Outcome(100001, Outcome{ID: id, Server: ids[0], Status: Miss, CacheResult: 2, Latency: 1,
				Load: NoLoad})
		}
		for _, x := range h.sends[from:] {
			if x.server == origin {
				n++
			}
		}
		return n
	}
	// Exceeded requests may use a quarter of the limit, leased ones up to a half, guaranteed ones all of it.
	if o, l, w := fetchesFor(QuotaExceeded), fetchesFor(QuotaLeased), fetchesFor(QuotaGuaranteed); o != 2 ||
		o+l != 4 || o+l+w != 8 {
		t.Errorf("fetches in flight: exceeded %d, leased %d, guaranteed %d", o, l, w)
	}
}
