package decide

import "testing"

// newSparseRouter is one router of a tier of 300, over 60 servers that report a utilisation, after as many light and heavy reads that were answered
// without any wait. Each server is asked every few seconds.
func newSparseRouter(t *testing.T, util float64, reads int) (*Balancer, *fakeHost, float64) {
	t.Helper()
	cfg := testConfig()
	cfg.Routers, cfg.Aside, cfg.OriginKind = 300, true, "origin"
	b, h := start(t, cfg, fleet(60))
	now := 100000.0
	for id := uint32(1); id <= uint32(reads); id++ {
		now += 100
		hint := 5.0 // every second one is light: its latency is the way and the connection, hardly its work
		if id%2 == 0 {
			hint = 95
		}
		b.Request(now, Request{ID: id, Class: "dear", Key: uint64(id), HasKey: true, Left: 600, Hint: hint})
		for _, s := range h.sends {
			latency := 40 + hint
			b.Outcome(now+latency, Outcome{ID: s.id, Server: s.server, Status: OK, CacheResult: 1, Latency: latency,
				Load: Load{QPS: 20 + float64(id%7)/100, Util: util, EPS: -1, Inflight: -1, Latency: -1}})
		}
		h.sends = nil
		b.Timer(now+99, tickToken)
	}
	return b, h, now
}

// countRefused is how many of as many reads are refused at their arrival.
func countRefused(b *Balancer, h *fakeHost, now float64, reads int) (refused int) {
	before := len(h.refused)
	for i := range uint32(reads) {
		b.Request(now, Request{ID: 1e6 + i, Class: "read", Key: uint64(7000 + i), HasKey: true, Left: 600, Hint: 50})
	}
	return len(h.refused) - before
}

// A light read's latency for each unit of its work says little of a queue: most of it is no work. Weighed like any other it made every third
// request look as if it would wait for several hundred ms, with no queue anywhere.
func TestLightReadsAreNotTakenForAQueue(t *testing.T) {
	b, h, now := newSparseRouter(t, 0.3, 200)
	if guess := b.fleetLatency.value - b.fleetLatency.floor; guess > 80 { // 256 before
		t.Errorf("a guessed wait of %.0f ms, where nothing waits", guess)
	}
	if n := countRefused(b, h, now+1, 30); n > 0 {
		t.Errorf("%d of 30 refused", n)
	}
}
