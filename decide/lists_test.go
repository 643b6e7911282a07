package decide

import (
	"testing"
)

// listService is a queue of calls for a list, as one discovery for a whole tier has it: it takes calls in turn, works for each as
// long, also for those that have waited for too long and get nothing, and turns away what comes to a queue of twice that wait.
type listService struct {
	freeAt, workTime, maxWait float64
}

// call says when a call that comes at a time is answered, and whether with a list.
func (a *listService) call(now float64) (at float64, ok bool) {
	if a.freeAt = max(a.freeAt, now); a.freeAt+a.workTime-now > 2*a.maxWait {
		return now + 30, false
	}
	a.freeAt += a.workTime
	return min(a.freeAt, now+a.maxWait), a.freeAt <= now+a.maxWait
}

// Eighty routers that start together asked one discovery at once, and each that had failed a second later: its queue stayed longer
// than anybody's patience, and for the rest of the day nobody got a list.
func TestTierOfEightyGetsItsListsFromOneDiscovery(t *testing.T) {
	const routers = 80
	cfg := testConfig()
	cfg.AskList, cfg.Routers, cfg.MustAsk = true, routers, 10000
	type told struct {
		at float64
		ok bool
	}
	var bs [routers]*Balancer
	var hs [routers]*fakeHost
	var out [routers]*told
	var got [routers]float64
	for i := range bs {
		hs[i] = &fakeHost{}
		b, err := New(cfg, uint64(i), hs[i])
		if err != nil {
			t.Fatal(err)
		}
		bs[i] = b
		b.Servers(1e5, Restored, fleet(3))
	}
	d := &listService{workTime: 120, maxWait: 2000}
	early, calls := 0, 0
	for now := 1e5 + 100; now < 1e5+30000; now += 100 {
		for i, b := range bs {
			if o := out[i]; o != nil && now >= o.at {
				if out[i] = nil; !o.ok {
					b.Servers(now, ListFailed, nil)
				} else if b.Servers(now, Changes, nil); got[i] == 0 {
					got[i] = now
				}
			}
			was := hs[i].watches
			if b.Timer(now, tickToken); hs[i].watches > was {
				at, ok := d.call(now)
				out[i] = &told{at, ok}
				if calls++; now <= 1e5+1000 {
					early++
				}
			}
		}
	}
	if early > routers/2 {
		t.Errorf("%d of %d routers asked within the first second", early, routers)
	}
	for i, at := range got {
		if at == 0 {
			t.Errorf("router %d got no list in 30 s; %d calls by all", i, calls)
		}
	}
	if calls > 3*routers {
		t.Errorf("%d calls by %d routers", calls, routers)
	}
}

// News count as told to who does not ask for too long: neither a large tier's spread nor its pauses go beyond that.
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

// Where registered sizes are told, each server is the first of keys in proportion to its size: with as many for all, the small ones of a
// fleet of sixty were asked for three times what they can do, and cut off, while the large ones stood half idle.
func TestFleetOfSixtySharesKeysBySize(t *testing.T) {
	cfg := testConfig()
	cfg.Weighted = true
	es := fleet(60)
	for i := range es {
		es[i].Size = [...]float64{0.4, 0.8, 2}[i%3]
	}
	b, _ := start(t, cfg, es)
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
