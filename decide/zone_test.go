package decide

import "testing"

// twoZoneFleet lists n servers, half of them in each of two zones.
func twoZoneFleet(n int) []Entry {
	entries := fleet(n)
	for i := range entries {
		entries[i].Zone = [...]string{"a", "b"}[i%2]
	}
	return entries
}

// countEjectedIn counts the ejected servers of a zone.
func countEjectedIn(b *Balancer, zone string) (n int) {
	for _, s := range b.serverList {
		if s.Zone == zone && s.ejected {
			n++
		}
	}
	return n
}

// serversIn returns the servers of a zone.
func serversIn(b *Balancer, zone string) (all []*server) {
	for _, s := range b.serverList {
		if s.Zone == zone {
			all = append(all, s)
		}
	}
	return all
}

// newZoneLoss returns a Balancer over n servers, 300 ms after it sent requests to zone a, which is
// unresponsive, and to zone b, which has answered.
func newZoneLoss(t *testing.T, n int) (b *Balancer, lost []*server, sent float64) {
	b, _ = start(t, testConfig(), twoZoneFleet(n))
	sent = b.now
	b.now += 300
	b.observeHealth(serversIn(b, "b")[0], OK, sent)
	return b, serversIn(b, "a"), sent
}

// Guards against ejecting the servers of a lost zone one by one, which took four seconds in a zone of thirty,
// as a router sends to each server only every few seconds. Three unresponsive servers in a row, of a zone
// without any answer while the other answers, are enough to eject all of them.
func TestUnresponsiveZoneIsEjectedAsAWhole(t *testing.T) {
	b, lost, sent := newZoneLoss(t, 60)
	for i := range zoneEjectionServers {
		if got := countEjectedIn(b, "a"); got != 0 {
			t.Fatalf("%d ejected after %d unresponsive servers", got, i)
		}
		b.observeHealth(lost[i], TimedOut, sent+1)
	}
	if got := countEjectedIn(b, "a"); got != 30 {
		t.Errorf("%d of 30 ejected", got)
	}
	if got := countEjectedIn(b, "b"); got != 0 {
		t.Errorf("%d of the zone that answers are ejected", got)
	}
	// After the zone has recovered, its first answer brings all others one trial request each at once.
	b.now += 9000
	b.observeHealth(lost[7], OK, b.now-50)
	if lost[7].ejected {
		t.Error("the server that answered is still ejected")
	}
	for _, s := range lost {
		if s.ejected && (s.trialAt > b.now || s.trialOverdue > b.now) {
			t.Fatalf("trial in %v ms, forced in %v ms", s.trialAt-b.now, s.trialOverdue-b.now)
		}
	}
}

// Cases that don't eject a zone: one server that is unresponsive repeatedly, no answers from any zone, which
// points to this router or the origin, and missing replies interrupted by an answer of the zone.
func TestSilenceThatIsNotAZoneLoss(t *testing.T) {
	for name, history := range map[string]func(b *Balancer, a, o []*server, sent float64){
		"one server": func(b *Balancer, a, o []*server, sent float64) {
			b.observeHealth(o[0], OK, sent)
			for range 10 {
				b.observeHealth(a[0], TimedOut, sent+1)
			}
		},
		"no answers from any zone": func(b *Balancer, a, o []*server, sent float64) {
			for i := range 10 {
				b.observeHealth(a[i], TimedOut, sent+1)
				b.observeHealth(o[i], TimedOut, sent+1)
			}
		},
		"an answer in between": func(b *Balancer, a, o []*server, sent float64) {
			b.observeHealth(o[0], OK, sent)
			b.observeHealth(a[0], TimedOut, sent+1)
			b.observeHealth(a[1], TimedOut, sent+1)
			b.observeHealth(a[5], Miss, sent+2)
			b.observeHealth(a[2], TimedOut, b.now+1)
			b.observeHealth(a[3], TimedOut, b.now+1)
		},
		"late time-outs of attempts sent before an answer": func(b *Balancer, a, o []*server, sent float64) {
			b.observeHealth(o[0], OK, sent)
			b.observeHealth(a[5], OK, sent)
			for i := range 5 {
				b.observeHealth(a[i], TimedOut, sent)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b, _ := start(t, testConfig(), twoZoneFleet(60))
			sent := b.now
			b.now += 300
			history(b, serversIn(b, "a"), serversIn(b, "b"), sent)
			if n := countEjectedIn(b, "a"); n > 1 {
				t.Errorf("%d servers ejected", n)
			}
		})
	}
}

// A server that restarts in a lost zone is used, and the others of the zone stay ejected.
func TestRestartedServerInLostZoneIsUsed(t *testing.T) {
	b, lost, sent := newZoneLoss(t, 12)
	for i := range zoneEjectionServers {
		b.observeHealth(lost[i], ConnectError, sent+1)
	}
	if got := countEjectedIn(b, "a"); got != 6 {
		t.Fatalf("%d of 6 ejected", got)
	}
	restarted := lost[4].Entry
	restarted.Started = b.now + 1
	b.Servers(b.now+100, Changes, []Entry{restarted})
	if lost[4].ejected || lost[4].zoneLost {
		t.Error("the restarted server is ejected")
	}
	if got := countEjectedIn(b, "a"); got != 5 {
		t.Errorf("%d others ejected, want 5", got)
	}
}
