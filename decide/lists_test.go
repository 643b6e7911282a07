package decide

import (
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

// List updates count as announced after MustAsk: neither the spread of first calls nor the pauses may grow
// beyond it.
func TestPausesBetweenCallsForAListAreBounded(t *testing.T) {
	cfg := testConfig()
	cfg.AskList, cfg.Routers, cfg.MustAsk = true, 1000, 10000
	for seed := range uint64(50) {
		b, err := New(cfg, seed, &fakeHost{})
		if err != nil {
			t.Fatal(err)
		}
		if b.Servers(1e5, Restored, fleet(3)); b.watchAt > 1e5+cfg.MustAsk*0.8 {
			t.Fatalf("first call after %v ms", b.watchAt-1e5)
		}
		for range 6 {
			if b.Servers(1e5, ListFailed, nil); b.watchAt <= 1e5+500 || b.watchAt > 1e5+3*cfg.MustAsk {
				t.Fatalf("next call after %v ms", b.watchAt-1e5)
			}
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
