package decide

import "testing"

// Sixty per cent of a fleet is replaced, and eighty routers hear of each new server at the same time. Their parts of what it can do while it
// is cold took some seven seconds to fill for one request: none sent anything for as long, and the warm servers were overrun. Now
// they send from the first second on, and all together never more than the rule allows in any of its windows.
func TestTierOfEightyUsesAColdServerFromTheFirstSecondOn(t *testing.T) {
	const routers, step, seconds = 80, 50.0, 8
	cfg := testConfig()
	cfg.Routers, cfg.Cold, cfg.ColdFrom, cfg.FallMult, cfg.FallFor = routers, 8000, 0.3, 2.5, 3000
	var sent []float64 // times
	tier := newRouters(t, cfg, 36)
	for _, b := range tier {
		b.updateMedians()
		fresh := fleet(4)[3]
		fresh.Started = 1e5 + 100
		b.Servers(1e5+200, Changes, []Entry{fresh})
	}
	id := fleet(4)[3].ID
	for now := 1e5 + 200; now < 1e5+seconds*1000; now += step {
		for _, b := range tier {
			if s := b.servers[id]; func() bool { b.now = now; return b.budgetAllows(s, 1, 1) }() {
				s.sendBudget.value--
				sent = append(sent, now)
			}
		}
	}
	early := 0
	for _, at := range sent {
		if at < 1e5+1200 {
			early++
		}
	}
	if early < 4 || early > 25 { // a budget of 36 a second times 0.3 to 0.4
		t.Errorf("%d requests by all in the first second, of %d in %d s", early, len(sent), seconds)
	}
	for i, from := range sent {
		n, capacity := 0, 0.0
		for _, at := range sent[i:] {
			if at < from+cfg.FallFor {
				n++
			}
		}
		b := tier[0]
		b.now = from
		if capacity = 36 * b.warmFraction(b.servers[id]) * cfg.FallFor / 1000; float64(n) > cfg.FallMult*capacity {
			t.Fatalf("%d requests in the window from %v, of %.0f that the server can do", n, from-1e5, capacity)
		}
	}
}
