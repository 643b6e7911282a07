package admission_test

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/model/fleetnet"
	"mossproxy.example/mossproxy/internal/pure/admission"
)

// Bands of three classes with worths 10, 1 and 0.1.
const (
	gold = 0
	read = 6
	bulk = 13
)

// baseRate is the number of requests per second at each router without overload.
const baseRate = 40.0

// testFleet is a simulated fleet that computes one admission threshold. The servers' capacity is 1.25 times
// the initial demand.
type testFleet struct {
	*fleetnet.Net
	t            *testing.T
	demandFactor float64 // demand relative to baseRate
}

func newTestFleet(t *testing.T, routers int) *testFleet {
	t.Helper()
	t.Parallel()
	f := &testFleet{fleetnet.New(uint64(routers)), t, 1}
	for i := range routers {
		f.Start(fleetnet.Lending(i))
	}
	f.setDemand(1)
	if _, ok := f.Until(6000, func() bool { return f.Settled() == nil && f.Spent() > 0.999 }); !ok {
		t.Fatal("the fleet did not start")
	}
	f.For(3000)
	return f
}

// demandOf splits a rate into three bands of worth.
func demandOf(rate float64) [decide.NumBands]float64 {
	return [decide.NumBands]float64{gold: 0.2 * rate, read: 0.5 * rate, bulk: 0.3 * rate}
}

// setDemand sets the demand at all routers to a multiple of baseRate.
func (f *testFleet) setDemand(factor float64) {
	f.demandFactor = factor
	for _, node := range f.Nodes {
		node.Asks, node.Room = demandOf(factor*baseRate), 1.25*baseRate*float64(len(f.Nodes))
	}
}

// measureAdmitted returns the mean admitted share over some time, and the mean share of requests on which
// two random routers disagree.
func (f *testFleet) measureAdmitted(ms float64) (admitted, difference float64) {
	n := 0.0
	f.Run(f.Now+ms, func() {
		a, d := f.Over()
		admitted, difference, n = admitted+a, difference+d, n+1
	})
	return admitted / n, difference / n
}

// checkAdmitted checks the admitted share and the disagreement between routers over some time.
func (f *testFleet) checkAdmitted(when string, ms, want float64) {
	f.t.Helper()
	admitted, difference := f.measureAdmitted(ms)
	f.t.Logf("%s: admitted %.3f, want %.3f; two routers differ about %.3f", when, admitted, want, difference)
	if admitted < 0.88*want || admitted > 1.12*want || difference > 0.06 {
		f.t.Errorf("%s: admitted %.3f, want %.3f; two routers differ about %.3f", when, admitted, want, difference)
	}
}

// Within a second of an overload all routers have the same threshold. It admits what the servers can do and
// all of the highest worth. Without overload there is no threshold.
func TestOneThresholdForAll(t *testing.T) {
	for _, n := range []int{2, 6, maxFleetSize} {
		for _, times := range []float64{2, 4} {
			t.Run(fmt.Sprintf("%d routers, %v times", n, times), func(t *testing.T) {
				f := newTestFleet(t, n)
				if admitted, _ := f.measureAdmitted(3000); admitted < 0.99 {
					t.Errorf("without overload %.3f are admitted", admitted)
				}
				f.setDemand(times)
				began := f.Now
				took, ok := f.Until(2000, func() bool { o, _ := f.Over(); return o < 1.3*1.25/times })
				t.Logf("threshold after %.0f ms", took)
				if !ok || took > 1000 {
					t.Errorf("no threshold within %.0f ms", took)
				}
				f.For(began + 1200 - f.Now)
				f.checkAdmitted("overload", 5000, 1.25/times)
				for i, node := range f.Nodes {
					if l := node.Line.Threshold(f.Now); l.Band == gold {
						t.Errorf("router %d sheds requests of the highest worth: %+v", i, l)
					}
				}
				f.setDemand(1)
				if took, ok := f.Until(3000, func() bool { o, _ := f.Over(); return o > 0.99 }); !ok {
					t.Error("the threshold stays")
				} else {
					t.Logf("no threshold %.0f ms after the overload", took)
				}
			})
		}
	}
}

// Arrivals at a single router count for the whole fleet: one router has ten times the mean demand and
// another a twentieth, or the highest worth arrives at a third of the routers only.
func TestUnevenLoadHasOneThreshold(t *testing.T) {
	t.Run("ten times the mean", func(t *testing.T) {
		f := newTestFleet(t, 12)
		f.setDemand(2)
		f.Nodes[3].Asks, f.Nodes[4].Asks = demandOf(20*baseRate), demandOf(0.1*baseRate)
		f.For(3000)
		f.checkAdmitted("uneven", 5000, 12*1.25/(10*2+20+0.1))
	})
	t.Run("highest worth at some routers", func(t *testing.T) {
		f := newTestFleet(t, 12)
		f.setDemand(2)
		// 960 arrive per second, half of them gold, which fits the capacity of 600
		for i, node := range f.Nodes {
			node.Asks = [decide.NumBands]float64{bulk: 60}
			if i%3 == 0 {
				node.Asks = [decide.NumBands]float64{gold: 120}
			}
		}
		f.For(3000)
		f.checkAdmitted("uneven", 5000, 600.0/960)
		for i, node := range f.Nodes {
			if l := node.Line.Threshold(f.Now); l.Band != bulk {
				t.Errorf("router %d: the threshold is in band %d, want the lowest band %d", i, l.Band, bulk)
			}
		}
	})
}

// Routers agree on a threshold although messages are lost, duplicated and reordered, or those of one router
// are 2 s late, or reach one other router only.
func TestThresholdOnBadNetworks(t *testing.T) {
	for name, link := range map[string]func(f *testFleet, a, b *fleetnet.Node) fleetnet.Link{
		"a third lost, a third doubled": func(*testFleet, *fleetnet.Node, *fleetnet.Node) fleetnet.Link {
			return fleetnet.Link{Loss: 0.3, Double: 0.3, Delay: 1, Jitter: 100}
		},
		"one is late by 2 s": func(f *testFleet, a, b *fleetnet.Node) fleetnet.Link {
			if a == f.Nodes[1] || b == f.Nodes[1] {
				return fleetnet.Link{Delay: 2000}
			}
			return fleetnet.Link{Delay: 1}
		},
		"one way": func(f *testFleet, a, b *fleetnet.Node) fleetnet.Link {
			return fleetnet.Link{Delay: 1, Cut: a == f.Nodes[1] && b != f.Nodes[2]}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, 12)
			f.Link = func(a, b *fleetnet.Node) fleetnet.Link { return link(f, a, b) }
			f.setDemand(2.5)
			f.For(3000)
			f.checkAdmitted(name, 8000, 0.5)
		})
	}
}

// Two thirds of the routers are killed at less than half of the servers' capacity, and their clients move
// to the others: nothing is shed. When the demand then exceeds the capacity, the threshold follows.
func TestRoutersKilledUnderThreshold(t *testing.T) {
	f := newTestFleet(t, 12)
	f.setDemand(0.6)
	f.For(3000)
	kill := func() {
		for i, node := range f.Nodes {
			if i%3 != 0 {
				node.Kill()
				continue
			}
			for b := range node.Asks {
				node.Asks[b] *= 3
			}
		}
	}
	kill()
	if admitted, _ := f.measureAdmitted(10e3); admitted < 0.95 {
		t.Errorf("at half of the capacity %.3f are admitted", admitted)
	}
	for _, node := range f.Nodes {
		for b := range node.Asks {
			node.Asks[b] *= 2.5 / 0.6
		}
	}
	f.For(3000)
	f.checkAdmitted("a third of the routers", 5000, 0.5)
}

// Two halves that are partitioned from each other but reach all servers each admit their part, and agree on
// one threshold soon after the partition heals.
func TestThresholdDuringPartition(t *testing.T) {
	f := newTestFleet(t, 12)
	f.setDemand(2.5)
	f.For(2000)
	f.Link = func(a, b *fleetnet.Node) fleetnet.Link {
		return fleetnet.Link{Delay: 1, Cut: (a.Cfg.Seed < 6) != (b.Cfg.Seed < 6)}
	}
	for range 4 {
		f.For(1000)
		if admitted, _ := f.measureAdmitted(4000); admitted < 0.4 || admitted > 0.56 {
			t.Errorf("during the partition %.3f are admitted, want 0.5", admitted)
		}
	}
	f.Link = func(_, _ *fleetnet.Node) fleetnet.Link { return fleetnet.Link{Delay: 1} }
	f.For(4000)
	f.checkAdmitted("healed", 5000, 0.5)
}

// A router that reports a thousand times the normal demand raises the threshold to the highest worth at most.
func TestOverreportingPeerRaisesThreshold(t *testing.T) {
	f := newTestFleet(t, 24)
	f.setDemand(1)
	f.Nodes[1].Asks = demandOf(1000 * baseRate)
	f.For(5000)
	minimum := 1.0
	for i, node := range f.Nodes {
		if i != 1 {
			minimum = min(minimum, node.Line.Stats().AdmittedShare)
		}
	}
	t.Logf("%.3f of the reported demand is above the threshold", minimum)
	if minimum < 1.0/40 { // 16 times the capacity, averaged with the routers it recently exchanged with
		t.Errorf("an overreporting router leaves %.4f of the demand above the threshold", minimum)
	}
	f.setDemand(1)
	if took, ok := f.Until(20e3, func() bool { o, _ := f.Over(); return o > 0.99 }); !ok {
		t.Error("the threshold stays")
	} else {
		t.Logf("no threshold %.0f ms after the overreporting ends", took)
	}
}

// The admitted share does not oscillate when the demand varies around the capacity: it stays between the
// right values for both demands.
func TestThresholdDoesNotOscillate(t *testing.T) {
	f := newTestFleet(t, 12)
	minimum := 1.0
	for i := range 20 {
		f.setDemand([]float64{1.1, 1.45}[i%2]) // 0.88 and 1.16 of the capacity
		admitted, _ := f.measureAdmitted(1500)
		minimum = min(minimum, admitted)
	}
	if minimum < 0.8 {
		t.Errorf("minimum admitted share %.3f, want about 0.86", minimum)
	}
}

// All routers restart within a second during an overload. The threshold is back as soon as they know each
// other.
func TestThresholdAfterAllRestart(t *testing.T) {
	f := newTestFleet(t, 12)
	f.setDemand(2.5)
	f.For(3000)
	for _, node := range f.Nodes {
		node.Kill()
		f.For(40)
		node.Again()
	}
	f.setDemand(2.5)
	f.For(3500)
	f.checkAdmitted("restarted", 5000, 0.5)
}

// The hash rotation is the same at all routers, also at one that joined later.
func TestHashRotationIsCommon(t *testing.T) {
	f := newTestFleet(t, 6)
	f.Start(fleetnet.Lending(6))
	f.setDemand(3)
	f.For(5000)
	first := f.Nodes[0].Line.Threshold(f.Now).Rotation
	for i, node := range f.Nodes {
		apart := node.Line.Threshold(f.Now).Rotation - first
		if apart -= math.Round(apart); math.Abs(apart) > 0.005 {
			t.Errorf("router %d differs by %.3f of a rotation", i, apart)
		}
	}
}

// For any message, the threshold stays valid and the estimated demand stays below the limit for reported
// rates.
func FuzzReceive(f *testing.F) {
	f.Add(make([]byte, admission.MaxMessage))
	f.Add(append([]byte{3, 0, 0, 0, 1}, make([]byte, admission.MaxMessage-5)...))
	f.Add(append([]byte{4, 0, 0, 0, 1}, bytes.Repeat([]byte{255}, admission.MaxMessage-5)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := admission.New(1, 1, discardHost{})
		d := admission.Demand{Capacity: 100}
		for now := 1000.0; now < 3000; now += 50 {
			d.Arrived[0] += 1
			d.Admitted, d.Sent = d.Admitted+1, d.Sent+1
			m.Tick(now, 1, d, []admission.Peer{{Name: "p"}})
			m.Receive(now, admission.Peer{Name: "p"}, b) //nolint:errcheck // invalid messages are rejected
			if err := m.Threshold(now).Validate(); err != nil {
				t.Fatal(err)
			}
		}
		if g := m.Stats(); !(g.MeanRate <= 16*decide.NumBands*100+1) || g.AdmittedShare < 0 || g.AdmittedShare > 1 {
			t.Errorf("%x: %+v", b, g)
		}
	})
}

type discardHost struct{}

func (discardHost) Send(admission.Peer, []byte) {}

func TestBadMessages(t *testing.T) {
	m := admission.New(1, 1, discardHost{})
	for name, b := range map[string][]byte{"nothing": nil, "short": make([]byte, admission.MaxMessage-1), "unknown kind": make([]byte, admission.MaxMessage),
		"of another pool": append([]byte{3, 0, 0, 0, 9}, make([]byte, admission.MaxMessage-5)...)} {
		if err := m.Receive(1000, admission.Peer{Name: "p"}, b); err == nil || !strings.HasPrefix(err.Error(), "admission: message of ") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
