package fleet_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// world is a network with what the cases ask of it. At the end no more than the whole was ever spent.
type world struct {
	fleetnet.Watched
	t *testing.T
}

func begin(t *testing.T, routers int) *world {
	t.Helper()
	t.Parallel()
	w := &world{fleetnet.Watched{Net: fleetnet.New(uint64(routers))}, t}
	for i := range routers {
		cfg := fleetnet.Config(i)
		cfg.Join = cfg.Join[:1] // one seed address
		w.Start(cfg)
	}
	t.Cleanup(func() {
		if w.Worse != nil {
			t.Error(w.Worse)
		}
	})
	return w
}

// settles waits for views that are equal and true, and for all of the whole to be in use.
func (w *world) settles(within float64, why string) {
	w.t.Helper()
	began := w.Now
	for w.Settled() != nil && w.Now-began < within {
		w.Pass(50)
	}
	if err := w.Settled(); err != nil {
		w.t.Fatalf("%s: not settled within %.0f ms: %v", why, within, err)
	}
}

// shares waits until the routers that are up have equal parts of so many.
func (w *world) shares(of int, within float64) {
	w.t.Helper()
	began := w.Now
	for {
		bad := ""
		for _, nd := range w.Running() {
			if p := nd.Share(); p.Routers != float64(of) {
				bad = fmt.Sprintf("%s has one of %v parts", nd.Cfg.Name, p.Routers)
			}
		}
		if bad == "" {
			return
		}
		if w.Now-began > within {
			w.t.Fatalf("%s, not one of %d, after %.0f ms", bad, of, within)
		}
		w.Pass(50)
	}
}

// deaths counts the words that a process which lives is silent or gone.
func (w *world) deaths() *int {
	n := new(int)
	for _, nd := range w.Nodes {
		nd.OnWord = func(_ float64, c fleet.Change) {
			for _, o := range w.Nodes {
				if c.State >= fleet.Unresponsive && c.State <= fleet.Dead && o.Cfg.Name == c.Name && o.State == fleetnet.Up && o.Self().Start == c.Start {
					*n++
				}
			}
		}
	}
	return n
}

func TestTwelveStartAtOnceWithOneSeed(t *testing.T) {
	w := begin(t, 12)
	w.settles(2000, "start")
	w.shares(12, 2000)
}

func TestSeedIsTheFirstToDie(t *testing.T) {
	w := begin(t, 12)
	w.settles(2000, "start")
	w.shares(12, 2000)
	w.Nodes[0].Kill()
	w.settles(1500, "death of the seed")
	w.shares(11, 1500)
	w.Nodes[0].Again() // knows no address to join by: the others find it
	w.settles(5000, "the seed is back")
	w.shares(12, 5000)
}

func TestThirdKilledAtOnce(t *testing.T) {
	w := begin(t, 24)
	w.settles(2000, "start")
	w.shares(24, 2000)
	for i := range 8 {
		w.Nodes[3*i].Kill()
	}
	w.settles(1500, "a third is gone")
	w.shares(16, 1500)
}

func TestAllButOneKilled(t *testing.T) {
	w := begin(t, 12)
	w.settles(2000, "start")
	w.shares(12, 2000)
	for _, nd := range w.Nodes[1:] {
		nd.Kill()
	}
	w.settles(6000, "all but one are gone")
	w.shares(1, 1000)
}

func TestSilenceIsNoDeath(t *testing.T) {
	w := begin(t, 12)
	w.settles(2000, "start")
	w.shares(12, 2000)
	w.Nodes[4].Off()
	w.settles(5000, "a machine is off")
	w.Pass(60e3)
	w.shares(12, 0) // it may still act, for all that the others know
	w.Pass(40e3)
	w.shares(12, 0) // a quarter of its part, rounded up, is left to it
	if v := w.Nodes[0].View(w.Now); v.Members[4].State != fleet.Excluded || v.Members[4].Counted {
		t.Errorf("after 100 s: %+v", v.Members[4])
	}
	for _, i := range []int{5, 6, 7} {
		w.Nodes[i].Off()
	}
	w.Pass(110e3)
	w.shares(9, 0) // 8 that are heard, and a quarter of 4
}

func TestStoppedProcessWakes(t *testing.T) {
	for _, ms := range []float64{500, 3000, 30e3, 130e3} {
		t.Run(fmt.Sprintf("%.1fs", ms/1000), func(t *testing.T) {
			w := begin(t, 12)
			w.settles(2000, "start")
			w.shares(12, 2000)
			w.Nodes[5].Stop()
			w.Pass(ms)
			w.Nodes[5].Continue()
			w.settles(3000, "it wakes")
			w.shares(12, 3000)
		})
	}
}

func TestPartitions(t *testing.T) {
	sides := map[string]func(i int) int{
		"halves": func(i int) int { return i % 2 },
		"thirds": func(i int) int { return i % 3 },
		"alone":  func(i int) int { return min(i, 1) },
		"uneven": func(i int) int { return min(i/4, 1) },
	}
	for name, side := range sides {
		for _, ms := range []float64{1000, 20e3, 700e3} {
			t.Run(fmt.Sprintf("%s/%.0fs", name, ms/1000), func(t *testing.T) {
				w := begin(t, 12)
				w.settles(2000, "start")
				w.shares(12, 2000)
				cut := true
				number := map[*fleetnet.Node]int{}
				for i, nd := range w.Nodes {
					number[nd] = i
				}
				w.Link = func(a, b *fleetnet.Node) fleetnet.Link {
					return fleetnet.Link{Cut: cut && side(number[a]) != side(number[b]), Delay: 1}
				}
				w.Pass(ms / 2)
				w.Nodes[4].Kill() // crashes on both sides, one comes back, somebody joins, and one changes its name
				w.Nodes[5].Kill()
				joined := fleetnet.Config(12)
				joined.Join = []fleet.Addr{w.Nodes[6].Cfg.Addr}
				number[w.Start(joined)] = 6
				renamed := w.Nodes[7]
				renamed.Goodbye()
				cfg := renamed.Cfg
				cfg.Name, cfg.Start, cfg.Join = "renamed", 999, []fleet.Addr{w.Nodes[9].Cfg.Addr}
				w.Start(cfg)
				w.Pass(ms / 2)
				w.Nodes[5].Again()
				cut = false
				w.settles(3000, "healed")
				w.shares(12, 3000)
			})
		}
	}
}

// A pair that can't speak, or hears in one direction alone, is kept by what the others say.
func TestCutsBetweenTwoKillNobody(t *testing.T) {
	for name, cut := range map[string]func(a, b string) bool{
		"pair":    func(a, b string) bool { return a+b == "r-001r-002" || a+b == "r-002r-001" },
		"one way": func(a, b string) bool { return a+b == "r-001r-002" },
		"deaf":    func(a, b string) bool { return b == "r-003" && (a == "r-001" || a == "r-002") },
	} {
		t.Run(name, func(t *testing.T) {
			w := begin(t, 8)
			w.settles(2000, "start")
			w.shares(8, 2000)
			n := w.deaths()
			w.Link = func(a, b *fleetnet.Node) fleetnet.Link {
				return fleetnet.Link{Cut: cut(a.Cfg.Name, b.Cfg.Name), Delay: 1}
			}
			w.Pass(300e3)
			if *n > 0 {
				t.Errorf("%d words that one who lives is dead", *n)
			}
			w.settles(1000, "under the cut")
			w.shares(8, 0)
		})
	}
}

func TestLoss(t *testing.T) {
	for _, loss := range []float64{0.05, 0.2, 0.4} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			w := begin(t, 24)
			w.Link = func(_, _ *fleetnet.Node) fleetnet.Link { return fleetnet.Link{Loss: loss, Delay: 1, Jitter: 2} }
			w.settles(8000, "start")
			n := w.deaths()
			w.Pass(120e3)
			if *n > 0 && loss < 0.4 {
				t.Errorf("%d words that one who lives is dead", *n)
			}
			w.Link = func(_, _ *fleetnet.Node) fleetnet.Link { return fleetnet.Link{Delay: 1} }
			w.settles(5000, "no more loss")
			w.shares(24, 5000)
		})
	}
}

// Everything that was sent in the first minute comes once more, an hour later, to everybody: nothing changes.
func TestHourOldMessages(t *testing.T) {
	w := begin(t, 8)
	var old [][]byte
	w.OnSend = func(m []byte) {
		if len(old) < 20000 {
			old = append(old, m)
		}
	}
	w.settles(2000, "start")
	w.Nodes[3].Kill()
	w.Pass(5000)
	w.Nodes[3].Again()
	w.Nodes[2].Stop()
	w.Pass(10e3)
	w.Nodes[2].Continue()
	w.settles(5000, "a crash and a pause")
	w.shares(8, 5000)
	w.OnSend = nil
	w.Pass(3600e3)
	before := w.Nodes[0].View(w.Now).Digest
	for i, m := range old {
		for _, nd := range w.Nodes {
			if err := nd.Receive(w.Now, m); err != nil {
				t.Fatal(err)
			}
		}
		if i%500 == 0 {
			w.Pass(50)
		}
	}
	w.settles(3000, "old messages")
	if after := w.Nodes[0].View(w.Now).Digest; after != before {
		t.Errorf("the view has become another one")
	}
}

func TestRollingRestart(t *testing.T) {
	w := begin(t, 20)
	w.settles(2000, "start")
	w.shares(20, 2000)
	for i := 0; i < 20; i += 2 {
		w.Nodes[i].Goodbye()
		w.Nodes[i+1].Kill() // one in two without a word
		w.Pass(500)
		w.Nodes[i].Again()
		w.Nodes[i+1].Again()
		w.Pass(1000)
	}
	w.settles(2000, "all are new")
	w.shares(20, 2000)
}

func TestRestartWithin100ms(t *testing.T) {
	w := begin(t, 8)
	w.settles(2000, "start")
	w.shares(8, 2000)
	n := w.deaths()
	for range 5 {
		w.Nodes[6].Kill()
		w.Pass(90)
		w.Nodes[6].Again()
		w.settles(1500, "it is back")
		w.shares(8, 2000)
	}
	if *n > 0 {
		t.Errorf("%d words that it was dead, about the process that had just started", *n)
	}
}

// The refusal that the old process's address gave is still on its way when the new one is there: it says nothing of that one.
func TestRefusalOfTheProcessBefore(t *testing.T) {
	for _, dead := range []float64{130, 150, 170} {
		t.Run(fmt.Sprint(dead), func(t *testing.T) {
			w := begin(t, 4)
			w.Link = func(_, _ *fleetnet.Node) fleetnet.Link { return fleetnet.Link{Delay: 35} }
			w.settles(4000, "start")
			w.shares(4, 4000)
			n := w.deaths()
			for i := range 100 {
				w.Pass(float64(7 * i))
				w.Nodes[3].Kill()
				w.Pass(dead)
				w.Nodes[3].Again()
				w.settles(3000, "it is back")
				w.shares(4, 4000)
			}
			for _, nd := range w.Nodes {
				if nd.Self().Incarnation > 0 {
					t.Errorf("%s had to deny %d times that it was dead", nd.Cfg.Name, nd.Self().Incarnation)
				}
			}
			if *n > 0 {
				t.Errorf("%d words that it was dead", *n)
			}
		})
	}
}

// The wall clock, which gives starts, has jumped back between two starts at one place: the newer process still replaces the older.
func TestClockJumpsBackBetweenStarts(t *testing.T) {
	w := begin(t, 8)
	w.settles(2000, "start")
	w.Nodes[6].Again()
	w.settles(2000, "a restart")
	w.Nodes[6].Kill()
	cfg := w.Nodes[6].Cfg
	cfg.Start = 3
	w.Start(cfg)
	w.settles(3000, "a start with an old clock")
	w.shares(8, 3000)
}

func TestCopiedName(t *testing.T) {
	w := begin(t, 8)
	w.settles(2000, "start")
	w.shares(8, 2000)
	cfg := fleetnet.Config(20)
	cfg.Name = "r-005"
	double := w.Start(cfg)
	w.Pass(3000)
	err := double.Refused()
	if !errors.Is(err, fleet.ErrDuplicateName) || !strings.Contains(fmt.Sprint(err), "r-005 runs at 127.1.0.5:7946 since before this one at 127.1.0.20:7946") {
		t.Errorf("the later one is told: %v", err)
	}
	if p := double.Share(); p.Routers < fleet.NoShare {
		t.Errorf("the later one has a part: %+v", p)
	}
	if err := w.Nodes[5].Refused(); err != nil {
		t.Errorf("the older one: %v", err)
	}
	w.settles(1000, "the older goes on")
	w.shares2(8)
}

// shares2 looks at the parts of those who are not refused.
func (w *world) shares2(of int) {
	w.t.Helper()
	for _, nd := range w.Running() {
		if p := nd.Share(); nd.Refused() == nil && p.Routers != float64(of) {
			w.t.Errorf("%s has one of %v parts, not of %d", nd.Cfg.Name, p.Routers, of)
		}
	}
}

// A name that moves: the machine is another one, the older process is gone. That is no double.
func TestNameMoves(t *testing.T) {
	w := begin(t, 8)
	w.settles(2000, "start")
	w.Nodes[5].Kill()
	cfg := fleetnet.Config(20)
	cfg.Name = "r-005"
	w.Start(cfg)
	w.settles(3000, "moved")
	w.shares(8, 3000)
}

// A process is killed and another starts at its address at once under another name, so that nobody is ever refused there: who answers at
// the address proves that the one before runs no more, and all have the whole again in seconds, not after a silence of 90 s.
func TestNameChangesAtOneAddress(t *testing.T) {
	w := begin(t, 8)
	w.settles(2000, "start")
	w.shares(8, 2000)
	w.Nodes[4].Rename()
	w.settles(5000, "renamed")
	w.shares(8, 3000)
	for _, nd := range w.Nodes {
		if nd.Cfg.Name == "r-004" {
			t.Error("it has its old name")
		}
	}
}

// 300 of them; 100 under the race detector, as in CI.
func TestCrowdJoinsWithinASecond(t *testing.T) {
	t.Parallel()
	w := &world{fleetnet.Watched{Net: fleetnet.New(3)}, t}
	for i := range crowd {
		w.Start(fleetnet.Config(i))
		w.For(1000.0 / crowd)
	}
	w.settles(5000, "all are there")
	for w.Spent() < 0.999 && w.Now < 1e6+20e3 {
		w.For(50)
	}
	if err := w.Overspent(); err != nil || w.Spent() < 0.999 {
		t.Errorf("%v; %.3f of the whole in use after %.0f ms", err, w.Spent(), w.Now-1e6)
	}
}

func TestRubbish(t *testing.T) {
	w := begin(t, 8)
	w.settles(2000, "start")
	w.shares(8, 2000)
	before := w.Nodes[1].View(w.Now).Digest
	for i := range 20000 {
		b := make([]byte, w.Rng.IntN(300))
		for j := range b {
			b[j] = byte(w.Rng.Uint32())
		}
		if i%2 == 0 && len(b) > 2 {
			b[0], b[1] = 1, byte(1+i%6)
		}
		if err := w.Nodes[1].Receive(w.Now, b); err == nil {
			t.Fatalf("%x is taken", b)
		}
	}
	if after := w.Nodes[1].View(w.Now); after.Digest != before {
		t.Errorf("rubbish has changed the view: %+v", after)
	}
}

// A member that claims again and again that everybody is dead is not believed for long, and nobody's part grows by its word.
func TestLiarClaimsThatEverybodyIsDead(t *testing.T) {
	w := begin(t, 12)
	w.settles(2000, "start")
	w.shares(12, 2000)
	lies := func() {
		liar := w.Nodes[11].View(w.Now)
		for _, m := range liar.Members {
			if m.Name == "r-011" {
				continue
			}
			r := m.Record
			r.State, r.AccuserID = fleet.Dead, fleet.NameID("r-011")
			for _, nd := range w.Nodes[:11] {
				if err := nd.Receive(w.Now, fleet.Encode(w.Nodes[11].Self(), r)); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for range 20 {
		lies()
		w.Pass(300)
		for _, nd := range w.Running() {
			if p := nd.Share(); p.Routers < 12 {
				t.Fatalf("%s takes one of %v parts by a liar's word", nd.Cfg.Name, p.Routers)
			}
		}
	}
	n := w.deaths()
	lies()
	w.Pass(2000)
	if *n > 0 {
		t.Errorf("the 21st time it is still believed: %d words", *n)
	}
	w.settles(1000, "lies")
}
