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

// The bands of three classes whose worths are 10, 1 and 0.1.
const (
	gold = 0
	read = 6
	bulk = 13
)

// baseRate is what a router is asked for in a second where nothing is overloaded.
const baseRate = 40.0

// testFleet is a fleet of routers that settle one line, behind which servers can do 1.25 times what is asked for at first.
type testFleet struct {
	*fleetnet.Net
	t            *testing.T
	demandFactor float64 // mean of what all are asked for, beside each
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
		t.Fatal("no start")
	}
	f.For(3000)
	return f
}

// demandOf is what a router is asked for, of three worths.
func demandOf(rate float64) [decide.Bands]float64 {
	return [decide.Bands]float64{gold: 0.2 * rate, read: 0.5 * rate, bulk: 0.3 * rate}
}

// setDemand has all be asked for so many times as much.
func (f *testFleet) setDemand(factor float64) {
	f.demandFactor = factor
	for _, node := range f.Nodes {
		node.Asks, node.Room = demandOf(factor*baseRate), 1.25*baseRate*float64(len(f.Nodes))
	}
}

// measureAdmitted is the share that lines let pass, in the mean over some time, and of how much two routers differ.
func (f *testFleet) measureAdmitted(ms float64) (admitted, difference float64) {
	n := 0.0
	f.Run(f.Now+ms, func() {
		a, d := f.Over()
		admitted, difference, n = admitted+a, difference+d, n+1
	})
	return admitted / n, difference / n
}

// checkAdmitted checks what lines let pass over some time.
func (f *testFleet) checkAdmitted(when string, ms, want float64) {
	f.t.Helper()
	admitted, difference := f.measureAdmitted(ms)
	f.t.Logf("%s: %.3f pass, %.3f are right, two routers differ about %.3f", when, admitted, want, difference)
	if admitted < 0.88*want || admitted > 1.12*want || difference > 0.06 {
		f.t.Errorf("%s: %.3f pass, %.3f are right, two routers differ about %.3f", when, admitted, want, difference)
	}
}

// Within a second of an overload all routers have one line, which lets pass what servers can do; the highest worth is over it. Without one there is none.
func TestOneThresholdForAll(t *testing.T) {
	for _, n := range []int{2, 6, maxFleetSize} {
		for _, times := range []float64{2, 4} {
			t.Run(fmt.Sprintf("%d routers, %v times", n, times), func(t *testing.T) {
				f := newTestFleet(t, n)
				if admitted, _ := f.measureAdmitted(3000); admitted < 0.99 {
					t.Errorf("in calm %.3f pass", admitted)
				}
				f.setDemand(times)
				began := f.Now
				took, ok := f.Until(2000, func() bool { o, _ := f.Over(); return o < 1.3*1.25/times })
				t.Logf("a line after %.0f ms", took)
				if !ok || took > 1000 {
					t.Errorf("no line within %.0f ms", took)
				}
				f.For(began + 1200 - f.Now)
				f.checkAdmitted("overload", 5000, 1.25/times)
				for i, node := range f.Nodes {
					if l := node.Line.Threshold(f.Now); l.Band == gold {
						t.Errorf("router %d refuses of the highest worth: %+v", i, l)
					}
				}
				f.setDemand(1)
				if took, ok := f.Until(3000, func() bool { o, _ := f.Over(); return o > 0.99 }); !ok {
					t.Error("the line stays")
				} else {
					t.Logf("none %.0f ms after", took)
				}
			})
		}
	}
}

// What comes to one router alone counts for all: one has ten times the mean, of which another has a twentieth; the highest worth comes to a third of the
// routers alone.
func TestUnevenLoadHasOneThreshold(t *testing.T) {
	t.Run("ten times the mean", func(t *testing.T) {
		f := newTestFleet(t, 12)
		f.setDemand(2)
		f.Nodes[3].Asks, f.Nodes[4].Asks = demandOf(20*baseRate), demandOf(0.1*baseRate)
		f.For(3000)
		f.checkAdmitted("uneven", 5000, 12*1.25/(10*2+20+0.1))
	})
	t.Run("worths at some", func(t *testing.T) {
		f := newTestFleet(t, 12)
		f.setDemand(2)
		for i, node := range f.Nodes { // 960 are asked for, of which a half is gold: it fits alone
			node.Asks = [decide.Bands]float64{bulk: 60}
			if i%3 == 0 {
				node.Asks = [decide.Bands]float64{gold: 120}
			}
		}
		f.For(3000)
		f.checkAdmitted("uneven", 5000, 600.0/960)
		for i, node := range f.Nodes {
			if l := node.Line.Threshold(f.Now); l.Band != bulk {
				t.Errorf("router %d: the line is in band %d, that of the least worth is %d", i, l.Band, bulk)
			}
		}
	})
}

// Messages lost, doubled and out of order, and all of one router late by 2 s, leave one line.
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

// Two thirds of the routers are killed while less than half of what servers can do is asked for, and their clients come to the others: nobody refuses. At
// more than that the line follows.
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
		t.Errorf("half of what servers can do is asked for, and %.3f pass", admitted)
	}
	for _, node := range f.Nodes {
		for b := range node.Asks {
			node.Asks[b] *= 2.5 / 0.6
		}
	}
	f.For(3000)
	f.checkAdmitted("a third of the routers", 5000, 0.5)
}

// Halves that don't hear each other and reach all servers each let pass what is theirs, and are one line soon after the cut has ended.
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
			t.Errorf("in halves %.3f pass, 0.5 are right", admitted)
		}
	}
	f.Link = func(_, _ *fleetnet.Node) fleetnet.Link { return fleetnet.Link{Delay: 1} }
	f.For(4000)
	f.checkAdmitted("healed", 5000, 0.5)
}

// A router that claims a thousand times what it is asked for has the line drawn at the highest worth at most: that is what it can do.
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
	t.Logf("%.3f of what all say that is asked for is over the line", minimum)
	if minimum < 1.0/40 { // 16 times the room, in the mean of those who met it lately
		t.Errorf("a liar leaves %.4f of what is asked for over the line", minimum)
	}
	f.setDemand(1)
	if took, ok := f.Until(20e3, func() bool { o, _ := f.Over(); return o > 0.99 }); !ok {
		t.Error("the line stays")
	} else {
		t.Logf("none %.0f ms after it stops", took)
	}
}

// Load around what servers can do does not have the line swing: what it lets pass stays between the two.
func TestThresholdDoesNotOscillate(t *testing.T) {
	f := newTestFleet(t, 12)
	minimum := 1.0
	for i := range 20 {
		f.setDemand([]float64{1.1, 1.45}[i%2]) // 0.88 and 1.16 of it
		admitted, _ := f.measureAdmitted(1500)
		minimum = min(minimum, admitted)
	}
	if minimum < 0.8 {
		t.Errorf("%.3f pass at the least, 0.86 are right", minimum)
	}
}

// All routers start anew within a second in the middle of an overload: the line is back as soon as they know of each other.
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

// The hash turns alike at all routers, also with one that came later.
func TestHashRotationIsCommon(t *testing.T) {
	f := newTestFleet(t, 6)
	f.Start(fleetnet.Lending(6))
	f.setDemand(3)
	f.For(5000)
	first := f.Nodes[0].Line.Threshold(f.Now).Turn
	for i, node := range f.Nodes {
		apart := node.Line.Threshold(f.Now).Turn - first
		if apart -= math.Round(apart); math.Abs(apart) > 0.005 {
			t.Errorf("router %d is %.3f of a turn apart", i, apart)
		}
	}
}

// Whatever comes, a router's line stays one, and its guess of what is asked for within what is believed.
func FuzzReceive(f *testing.F) {
	f.Add(make([]byte, admission.MaxMessage))
	f.Add(append([]byte{3, 0, 0, 0, 1}, make([]byte, admission.MaxMessage-5)...))
	f.Add(append([]byte{4, 0, 0, 0, 1}, bytes.Repeat([]byte{255}, admission.MaxMessage-5)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		m := admission.New(1, 1, discardHost{})
		d := admission.Demand{Room: 100}
		for now := 1000.0; now < 3000; now += 50 {
			d.Work[0] += 1
			d.Passed, d.Sent = d.Passed+1, d.Sent+1
			m.Tick(now, 1, d, []admission.Peer{{Name: "p"}})
			m.Receive(now, admission.Peer{Name: "p"}, b) //nolint:errcheck // what is wrong is refused
			if err := m.Threshold(now).Validate(); err != nil {
				t.Fatal(err)
			}
		}
		if g := m.Stats(); !(g.MeanRate <= 16*decide.Bands*100+1) || g.AdmittedShare < 0 || g.AdmittedShare > 1 {
			t.Errorf("%x: %+v", b, g)
		}
	})
}

type discardHost struct{}

func (discardHost) Send(admission.Peer, []byte) {}

func TestBadMessages(t *testing.T) {
	m := admission.New(1, 1, discardHost{})
	for name, b := range map[string][]byte{"nothing": nil, "short": make([]byte, admission.MaxMessage-1), "no kind of ours": make([]byte, admission.MaxMessage),
		"of another pool": append([]byte{3, 0, 0, 0, 9}, make([]byte, admission.MaxMessage-5)...)} {
		if err := m.Receive(1000, admission.Peer{Name: "p"}, b); err == nil || !strings.HasPrefix(err.Error(), "admission: message of ") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
