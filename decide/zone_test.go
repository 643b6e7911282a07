package decide

import "testing"

// twoZoneFleet is a fleet of n servers, half of them in each of two zones.
func twoZoneFleet(n int) []Entry {
	es := fleet(n)
	for i := range es {
		es[i].Zone = [...]string{"a", "b"}[i%2]
	}
	return es
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

// serversIn gives the servers of a zone.
func serversIn(b *Balancer, zone string) (all []*server) {
	for _, s := range b.serverList {
		if s.Zone == zone {
			all = append(all, s)
		}
	}
	return all
}

// newZoneLoss is a Balancer in front of n servers, 300 ms after it sent to servers of zone a, which is silent, and of zone b, which has answered.
func newZoneLoss(t *testing.T, n int) (b *Balancer, dead []*server, sent float64) {
	b, _ = start(t, testConfig(), twoZoneFleet(n))
	sent = b.now
	b.now += 300
	b.observeHealth(serversIn(b, "b")[0], OK, sent)
	return b, serversIn(b, "a"), sent
}

// A zone of thirty is lost. A router that asks each server every few seconds takes four to find each of them silent by itself: three
// silent servers in a row, of a zone that says nothing while the other answers, are enough for all.
func TestUnresponsiveZoneIsEjectedAsAWhole(t *testing.T) {
	b, dead, sent := newZoneLoss(t, 60)
	for i := range zoneEjectionServers {
		if got := countEjectedIn(b, "a"); got != 0 {
			t.Fatalf("%d out after %d silent servers", got, i)
		}
		b.observeHealth(dead[i], TimedOut, sent+1)
	}
	if got := countEjectedIn(b, "a"); got != 30 {
		t.Errorf("%d of 30 out", got)
	}
	if got := countEjectedIn(b, "b"); got != 0 {
		t.Errorf("%d of the zone that answers are out", got)
	}
	// It is back: the first that answers has all others tried again at once, each by one request.
	b.now += 9000
	b.observeHealth(dead[7], OK, b.now-50)
	if dead[7].ejected {
		t.Error("the one that answered is still out")
	}
	for _, s := range dead {
		if s.ejected && (s.trialAt > b.now || s.trialOverdue > b.now) {
			t.Fatalf("trial in %v ms, due in %v", s.trialAt-b.now, s.trialOverdue-b.now)
		}
	}
}

// What does not make a lost zone: one silent server again and again, silence everywhere, which is this router's own trouble or the
// origin's, and silence that an answer of the zone has interrupted.
func TestSilenceThatIsNotAZoneLoss(t *testing.T) {
	for name, history := range map[string]func(b *Balancer, a, o []*server, sent float64){
		"one server": func(b *Balancer, a, o []*server, sent float64) {
			b.observeHealth(o[0], OK, sent)
			for range 10 {
				b.observeHealth(a[0], TimedOut, sent+1)
			}
		},
		"silence everywhere": func(b *Balancer, a, o []*server, sent float64) {
			for i := range 10 {
				b.observeHealth(a[i], TimedOut, sent+1)
				b.observeHealth(o[i], TimedOut, sent+1)
			}
		},
		"an answer between": func(b *Balancer, a, o []*server, sent float64) {
			b.observeHealth(o[0], OK, sent)
			b.observeHealth(a[0], TimedOut, sent+1)
			b.observeHealth(a[1], TimedOut, sent+1)
			b.observeHealth(a[5], Miss, sent+2)
			b.observeHealth(a[2], TimedOut, b.now+1)
			b.observeHealth(a[3], TimedOut, b.now+1)
		},
		"late news of attempts from before an answer": func(b *Balancer, a, o []*server, sent float64) {
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
				t.Errorf("%d servers out", n)
			}
		})
	}
}

// A new process in a lost zone has a new record, and the zone's end does not touch it.
func TestRestartedServerInLostZoneIsUsed(t *testing.T) {
	b, dead, sent := newZoneLoss(t, 12)
	for i := range zoneEjectionServers {
		b.observeHealth(dead[i], ConnectError, sent+1)
	}
	if got := countEjectedIn(b, "a"); got != 6 {
		t.Fatalf("%d of 6 out", got)
	}
	again := dead[4].Entry
	again.Started = b.now + 1
	b.Servers(b.now+100, Changes, []Entry{again})
	if dead[4].ejected || dead[4].zoneLost {
		t.Error("the new process is out")
	}
	if got := countEjectedIn(b, "a"); got != 5 {
		t.Errorf("%d others out, want 5", got)
	}
}
