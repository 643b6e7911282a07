package decide

import "testing"

// newSparseRouter returns one router of a tier of 300, over 60 servers that report a utilisation, after it
// sent light and heavy reads that were answered without any wait. Each server gets a request every few
// seconds.
func newSparseRouter(t *testing.T, util float64, reads int) (*Balancer, *fakeHost, float64) {
	t.Helper()
	cfg := testConfig()
	cfg.Routers, cfg.Aside, cfg.OriginKind = 300, true, "origin"
	b, h := start(t, cfg, fleet(60))
	now := 100000.0
	for id := uint32(1); id <= uint32(reads); id++ {
		now += 100
		hint := 5.0 // every second one is light: its latency is mostly network and connection time
		if id%2 == 0 {
			hint = 95
		}
		b.Request(now, Request{ID: id, Class: "dear", Key: uint64(id), HasKey: true, Left: 600, Hint: hint})
		for _, s := range h.sends {
			latency := 40 + hint
			b.Outcome(now+latency, Outcome{ID: s.id, Server: s.server, Status: OK, CacheResult: 1,
				Latency: latency,
				Load:    Load{QPS: 20 + float64(id%7)/100, Util: util, EPS: -1, Inflight: -1, Latency: -1}})
		}
		h.sends = nil
		b.Timer(now+99, tickToken)
	}
	return b, h, now
}

// countRefused returns how many of so many reads are refused at their arrival.
func countRefused(b *Balancer, h *fakeHost, now float64, reads int) (refused int) {
	before := len(h.refused)
	for i := range uint32(reads) {
		b.Request(now, Request{ID: 1e6 + i, Class: "read", Key: uint64(7000 + i), HasKey: true, Left: 600,
			Hint: 50})
	}
	return len(h.refused) - before
}

// Guards against taking light reads for a queue: most of their latency is not work, so the latency per unit
// of work is high. Weighted like heavy reads they added an estimated wait of several hundred ms for every
// third request.
func TestLightReadsAreNotTakenForAQueue(t *testing.T) {
	b, h, now := newSparseRouter(t, 0.3, 200)
	if estimate := b.fleetLatency.value - b.fleetLatency.floor; estimate > 80 { // 256 with equal weights
		t.Errorf("estimated wait of %.0f ms without a queue", estimate)
	}
	if n := countRefused(b, h, now+1, 30); n > 0 {
		t.Errorf("%d of 30 refused", n)
	}
}
