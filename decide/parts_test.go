package decide

import (
	"math"
	"testing"
)

// newRouters are the routers of a tier, which know three servers that can do so much.
func newRouters(t *testing.T, cfg Config, perSecond float64) (tier []*Balancer) {
	t.Helper()
	for i := range uint64(cfg.Routers) {
		b, err := New(cfg, i, newHost())
		if err != nil {
			t.Fatal(err)
		}
		b.Servers(1e5, Full, fleet(3))
		for _, s := range b.serverList {
			s.capacity.update(1e5, perSecond, 1)
		}
		tier = append(tier, b)
	}
	return tier
}

// newTier is a server that can do 120 a second, and what each of some routers, all told of each other, makes of it.
func newTier(t *testing.T, routers int, told Tier) (tier []*Balancer, id uint32) {
	t.Helper()
	cfg := testConfig()
	cfg.Routers = routers
	tier = newRouters(t, cfg, 120)
	for _, b := range tier {
		if err := b.SetTier(1e5, told); err != nil {
			t.Fatal(err)
		}
	}
	return tier, fleet(3)[0].ID
}

// sendWhileAllowed has each router send as much of a rank as it may, for so many seconds, and returns how much that was a second.
func sendWhileAllowed(tier []*Balancer, id uint32, seconds, rank float64) (perSecond float64) {
	began := tier[0].now
	for now := began; now < began+seconds*1000; now += 5 {
		for _, b := range tier {
			b.now = now
			if s := b.servers[id]; b.budgetAllows(s, 1, rank) {
				s.sendBudget.value--
				perSecond += 1 / seconds
			}
		}
	}
	return perSecond
}

// All routers together send a warm server no more than it can do, however many they are and whatever each has to send.
func TestPartsOfAWarmServerAddUpToIt(t *testing.T) {
	for _, n := range []int{2, 24, 100} {
		tier, id := newTier(t, n, Tier{Routers: n, Shares: float64(n), Until: math.Inf(1), SharesAfter: float64(n)})
		if got := sendWhileAllowed(tier, id, 20, 1); got < 0.85*120 || got > 120 {
			t.Errorf("%d routers send %.1f a second to a server of 120", n, got)
		}
	}
}

// What is worth less goes first: it finds room only where nothing better wants it.
func TestPartsOfAWarmServerGoToTheHighestWorth(t *testing.T) {
	tier, id := newTier(t, 4, Tier{Routers: 4, Shares: 4, Until: math.Inf(1), SharesAfter: 4})
	b, best, least := tier[0], 0, 0
	for now := 1e5; now < 1e5+20e3; now += 5 {
		b.now = now
		s := b.servers[id]
		for _, rank := range []float64{0.1, 1} { // the least worth asks first
			if b.budgetAllows(s, 1, rank) {
				s.sendBudget.value--
				if rank == 1 {
					best++
				} else {
					least++
				}
			}
		}
	}
	if best < 500 || least > best/20 {
		t.Errorf("%d of the highest worth and %d of the least were sent", best, least)
	}
	if alone := sendWhileAllowed(tier[:1], id, 20, 0.1); alone < 20 {
		t.Errorf("where nothing else comes %.1f of the least worth are sent a second, of 30", alone)
	}
}

// Nothing is held back where routers tell each other nothing, or the server has said nothing of itself; who has no part yet serves all the same.
func TestPartsThatAreNotKnown(t *testing.T) {
	tier, id := newTier(t, 4, Tier{Routers: 4, Shares: 1 << 20, Until: math.Inf(1), SharesAfter: 1 << 20})
	if got := sendWhileAllowed(tier[:1], id, 20, 1); got < 10 || got > 16 {
		t.Errorf("one of four that has no part sends %.1f a second, half of 30 is right", got)
	}
	b := tier[1]
	b.servers[id].capacity = movingAverage{}
	if got := sendWhileAllowed(tier[1:2], id, 1, 1); got < 199 {
		t.Errorf("a server that has reported nothing gets %.1f of 200", got)
	}
	b = tier[2]
	b.tierKnown = false
	if got := sendWhileAllowed(tier[2:3], id, 1, 1); got < 199 {
		t.Errorf("without a word of the others %.1f of 200 are sent", got)
	}
}

// What was sent before there were parts is owed for a second at most.
func TestPartsBeginSoon(t *testing.T) {
	tier, id := newTier(t, 2, Tier{Routers: 2, Shares: 2, Until: math.Inf(1), SharesAfter: 2})
	tier[0].servers[id].sendBudget = decayingSum{-5000, 1e5}
	if got := sendWhileAllowed(tier[:1], id, 4, 1); got < 40 {
		t.Errorf("%.1f a second are sent, 57 are its part", got)
	}
}

// The heaviest request of the least worth finds room too, where nothing better comes, and is paid for by its work.
func TestPartsHaveRoomForHeavyRequests(t *testing.T) {
	tier, id := newTier(t, 24, Tier{Routers: 24, Shares: 24, Until: math.Inf(1), SharesAfter: 24})
	b, sent := tier[0], 0
	for now := 1e5; now < 1e5+60e3; now += 5 {
		b.now = now
		if s := b.servers[id]; b.budgetAllows(s, 8, 0.1) {
			s.sendBudget.value -= (1 + 8) / 2.0
			sent++
		}
	}
	if sent < 50 || sent > 65 { // 4.75 a second, of which each takes 4.5
		t.Errorf("%d of work 8 were sent in a minute, 63 are right", sent)
	}
}

// What a server can do is bounded by the least that it told only while it is full: arrivals that are turned away swell reports then, and at little
// load the least is chance, which would hold a whole fleet back for a minute.
func TestPartsWhileReportsAreSwollen(t *testing.T) {
	for _, c := range []struct{ util, least, most float64 }{{0.5, 100, 120}, {1, 55, 70}} {
		tier, id := newTier(t, 1, Tier{Routers: 1, Shares: 1, Until: math.Inf(1), SharesAfter: 1})
		s := tier[0].servers[id]
		s.capacity.floor, s.lastLoad.Util = 60, c.util
		if got := sendWhileAllowed(tier, id, 10, 1); got < c.least || got > c.most {
			t.Errorf("at utilisation %v %.1f a second are sent to a server of 120 that once told 60; %v to %v are right", c.util, got, c.least, c.most)
		}
	}
}
