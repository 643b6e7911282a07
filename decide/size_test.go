package decide

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// newLarge is a Balancer of 1,000 servers and 10,000 tenants that has seen 100,000 keys, each often enough to be hot.
func newLarge(tb testing.TB) (*Balancer, *fakeHost, float64) {
	tb.Helper()
	cfg := testConfig()
	cfg.Alone, cfg.Copies = true, false
	for i := range 10000 {
		cfg.Tenants = append(cfg.Tenants, Tenant{Name: fmt.Sprint("tenant", i), Quota: 100})
	}
	h := &fakeHost{refused: map[uint32]int{}, failed: map[uint32]int{}}
	b, err := New(cfg, 1, h)
	if err != nil {
		tb.Fatal(err)
	}
	var es []Entry
	for i := range 1000 {
		es = append(es, Entry{ID: uint32(i + 1), Size: 1, Zone: "a", Kind: "cache"})
	}
	now := 100000.0
	b.Servers(now, Full, es)
	for i := range 300000 {
		now += 0.002
		serveOne(b, h, now, uint32(i+1), uint64(i%100000), i)
	}
	return b, h, now
}

// serveOne makes one request and has it answered.
func serveOne(b *Balancer, h *fakeHost, now float64, id uint32, key uint64, n int) {
	h.sends = h.sends[:0]
	b.Request(now, Request{ID: id, Class: "read", Tenant: fmt.Sprint("tenant", n%10000), Key: mix64(key), HasKey: true, Left: 600})
	if len(h.sends) == 1 {
		b.Outcome(now+0.001, Outcome{ID: id, Server: h.sends[0].server, Status: OK, Latency: 2, Final: true, CacheResult: 1, Load: Load{500, 0, 0.4, 3, 2}})
	}
	h.timers = h.timers[:0]
}

// What the module holds of 100,000 hot keys, 1,000 servers and 10,000 tenants is bounded, and keys that nobody asks for any
// more are forgotten.
func TestMemoryAtSize(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b, h, now := newLarge(t)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 128<<20 {
		t.Errorf("%d MB", grown>>20)
	} else {
		t.Logf("%d keys, %.1f MB", len(b.keys), float64(grown)/(1<<20))
	}
	for range 1200 { // two minutes
		now += 100
		b.Timer(now, tickToken)
		h.timers = h.timers[:0]
	}
	if len(b.keys) > 10000 {
		t.Errorf("%d keys are held two minutes after the last request", len(b.keys))
	}
}

// BenchmarkAtSize gives the time of a request and its answer, and of a housekeeping in which all is solved anew: that stands
// in the way of requests.
func BenchmarkAtSize(b *testing.B) {
	m, h, now := newLarge(b)
	b.Run("request", func(b *testing.B) {
		for i := 0; b.Loop(); i++ {
			now += 0.002
			serveOne(m, h, now, uint32(1000000+i), uint64(i%100000), i)
		}
	})
	b.Run("solve", func(b *testing.B) {
		var most time.Duration
		for b.Loop() {
			now += solveInterval
			began := time.Now()
			m.Timer(now, tickToken)
			most = max(most, time.Since(began))
			for i := range 1000 { // else the keys fade
				serveOne(m, h, now, uint32(2000000+i), uint64(i), i)
			}
		}
		b.ReportMetric(float64(most.Microseconds())/1000, "most-ms")
	})
}

// In overload thousands wait for a place at the origin. What each event costs must not grow with their square, nor the count
// of those that ask drift: it is that of the requests themselves.
func TestManyWaitingRequests(t *testing.T) {
	cfg := testConfig()
	cfg.Copies = false
	b, h := start(t, cfg, fleet(6))
	now := 100000.0
	count := func() (n int) {
		for _, r := range b.requests {
			if r.mayFetch && !r.finished {
				n++
			}
		}
		return n
	}
	began := time.Now()
	for i := range 20000 {
		now += 0.02
		id := uint32(i + 1)
		b.Request(now, Request{ID: id, Class: "read", Key: mix64(uint64(i)), HasKey: true, Left: 600})
		switch i % 50 {
		case 7:
			b.ClientGone(now, id-3)
		case 11: // one that is out comes back, whichever that is
			s := h.sends[len(h.sends)-1]
			b.Outcome(now, Outcome{ID: s.id, Server: s.server, Status: []Status{OK, TimedOut, Failed}[i%3], Latency: 1, CacheResult: 2, Load: NoLoad})
		}
		if i%500 == 0 {
			if n := count(); n != b.mayFetchCount {
				t.Fatalf("event %d: %d ask, %d are counted", i, n, b.mayFetchCount)
			}
		}
	}
	if len(b.waiting) < 5000 {
		t.Errorf("%d wait: the test shows nothing", len(b.waiting))
	}
	if took := time.Since(began); took > 20*time.Second { // it was minutes
		t.Errorf("%v for 20,000 requests", took)
	}
}
