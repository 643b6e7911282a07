package decide

import (
	"math/rand/v2"
	"testing"
)

// listService models the queue of the one discovery service of a tier. It handles calls in order and takes
// equally long for each, also for those that have timed out meanwhile, and rejects a call if the queue holds
// twice the longest wait.
type listService struct {
	freeAt, workTime, maxWait float64
}

// call returns when a call is answered, and whether with a list.
func (a *listService) call(now float64) (at float64, ok bool) {
	if a.freeAt = max(a.freeAt, now); a.freeAt+a.workTime-now > 2*a.maxWait {
		return now + 30, false
	}
	a.freeAt += a.workTime
	return min(a.freeAt, now+a.maxWait), a.freeAt <= now+a.maxWait
}

// Guards against an overload of discovery: eighty routers that start together called it at once, and each
// failed call came back a second later. The queue stayed longer than the callers' time-out, and nobody got a
// list any more.
func TestTierOfEightyGetsItsListsFromOneDiscovery(t *testing.T) {
	const routers = 80
	cfg := testConfig()
	cfg.AskList, cfg.Routers, cfg.MustAsk = true, routers, 10000
	type listReply struct {
		at float64
		ok bool
	}
	var routerList [routers]*Balancer
	var hosts [routers]*fakeHost
	var pending [routers]*listReply
	var receivedAt [routers]float64
	for i := range routerList {
		hosts[i] = &fakeHost{}
		b, err := New(cfg, uint64(i), hosts[i])
		if err != nil {
			t.Fatal(err)
		}
		routerList[i] = b
		b.Servers(1e5, Restored, fleet(3))
	}
	discovery := &listService{workTime: 120, maxWait: 2000}
	early, calls := 0, 0
	for now := 1e5 + 100; now < 1e5+30000; now += 100 {
		for i, b := range routerList {
			if o := pending[i]; o != nil && now >= o.at {
				if pending[i] = nil; !o.ok {
					b.Servers(now, ListFailed, nil)
				} else if b.Servers(now, Changes, nil); receivedAt[i] == 0 {
					receivedAt[i] = now
				}
			}
			before := hosts[i].watches
			if b.Timer(now, tickToken); hosts[i].watches > before {
				at, ok := discovery.call(now)
				pending[i] = &listReply{at, ok}
				if calls++; now <= 1e5+1000 {
					early++
				}
			}
		}
	}
	if early > routers/2 {
		t.Errorf("%d of %d routers called within the first second", early, routers)
	}
	for i, at := range receivedAt {
		if at == 0 {
			t.Errorf("router %d got no list in 30 s; %d calls by all", i, calls)
		}
	}
	if calls > 3*routers {
		t.Errorf("%d calls by %d routers", calls, routers)
	}
}

// Guards against requests at servers that drain: a router of a large tier waited up to 45 s until it asked again. List updates
// count as announced 6 s after the service could be reached: neither the spread of first calls nor the pauses between
// calls, however many have failed, may grow beyond what leaves time for the answer.
func TestPausesBetweenCallsForAListAreBounded(t *testing.T) {
	const longest = 4000 // ms
	for _, routers := range []int{1, 24, 30, 300, 1000} {
		cfg := testConfig()
		cfg.AskList, cfg.Routers, cfg.MustAsk = true, routers, 10000
		for seed := range uint64(50) {
			b, h := start(t, cfg, fleet(3))
			b.rng = rand.New(rand.NewPCG(seed, 1))
			now := 1e5
			if b.Servers(now, Restored, fleet(3)); b.listCalls.dueAt > now+longest {
				t.Fatalf("%d routers: first call after %v ms", routers, b.listCalls.dueAt-now)
			}
			for n := range 6 {
				for calls := h.watches; h.watches == calls; now += housekeepInterval {
					b.Timer(now, tickToken)
				}
				if b.Servers(now, ListFailed, nil); b.listCalls.dueAt <= now+minListRetryPause || b.listCalls.dueAt > now+longest {
					t.Fatalf("%d routers: call after %d failed ones after %v ms", routers, n+1, b.listCalls.dueAt-now)
				}
			}
			b.Servers(now, Changes, nil)
			if b.Servers(now, ListFailed, nil); b.listCalls.dueAt > now+longest {
				t.Fatalf("%d routers: call after a broken subscription after %v ms", routers, b.listCalls.dueAt-now)
			}
		}
	}
}

// Guards against a crowded service that is kept crowded: its calls fail after they have waited in turn. The first pause
// behind such a call is bounded as any other, later ones only by MustAsk.
func TestPausesGrowWhereCallsForAListWaitInTurn(t *testing.T) {
	const longest = 4000 // ms
	cfg := testConfig()
	cfg.AskList, cfg.Routers, cfg.MustAsk = true, 80, 10000
	for seed := range uint64(50) {
		b, h := start(t, cfg, fleet(3))
		b.rng = rand.New(rand.NewPCG(seed, 1))
		now := 1e5
		b.Servers(now, Restored, fleet(3))
		for n := range 6 {
			for calls := h.watches; h.watches == calls; now += housekeepInterval {
				b.Timer(now, tickToken)
			}
			now += 2000
			b.Servers(now, ListFailed, nil)
			pause := b.listCalls.dueAt - now
			if grows := pause > longest; grows != (n > 0) || pause > 3*cfg.MustAsk {
				t.Fatalf("call after %d ones that had waited in turn after %v ms", n+1, pause)
			}
		}
		for calls := h.watches; h.watches == calls; now += housekeepInterval {
			b.Timer(now, tickToken)
		}
		if b.Servers(now, ListFailed, nil); b.listCalls.dueAt > now+longest { // it may be down, and back at once
			t.Fatalf("call after one that was refused at once after %v ms", b.listCalls.dueAt-now)
		}
	}
}

// With registered sizes each server is the home of keys in proportion to its size. With equal numbers the
// small servers of a fleet of sixty got three times the requests they can serve, while the large ones were
// half idle.
func TestFleetOfSixtySharesKeysBySize(t *testing.T) {
	cfg := testConfig()
	cfg.Weighted = true
	entries := fleet(60)
	for i := range entries {
		entries[i].Size = [...]float64{0.4, 0.8, 2}[i%3]
	}
	b, _ := start(t, cfg, entries)
	homes, keys := map[float64]int{}, 30000
	for i := range keys {
		homes[b.hashListOf(&keyTraffic{id: uint64(i)})[0].Size]++
	}
	for size, n := range homes {
		want := size / 3.2 * float64(keys)
		if got := float64(n); got < 0.8*want || got > 1.25*want {
			t.Errorf("%d keys at the twenty servers of size %v, want about %.0f", n, size, want)
		}
	}
}
