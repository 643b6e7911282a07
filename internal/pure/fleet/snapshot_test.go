package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// Each process is replaced by another in turn, while one joins and one is killed. To the others the router is the same member throughout: no
// word of it, the same start, and its part is its own again at once.
func TestReplacedProcessIsOneMember(t *testing.T) {
	w := begin(t, 12)
	w.settles(2000, "start")
	w.shares(12, 2000)
	starts := map[string]uint64{}
	for _, nd := range w.Nodes {
		starts[nd.Cfg.Name] = nd.Self().Start
		nd.OnWord = func(_ float64, c fleet.Change) {
			if c.State > fleet.Alive && c.Name != "r-011" {
				t.Errorf("%s calls %s %v", nd.Cfg.Name, c.Name, c.State)
			}
		}
	}
	for i, nd := range w.Nodes[:11] {
		part := nd.Share().Routers
		nd.Replace(20)
		if i == 4 {
			w.Start(fleetnet.Config(12))
		}
		if i == 8 {
			w.Nodes[11].Kill()
		}
		w.Pass(30)
		if i < 4 && nd.Share().Routers != part {
			t.Errorf("%s has one of %.0f parts, and had one of %.0f", nd.Cfg.Name, nd.Share().Routers, part)
		}
		w.Pass(500)
	}
	w.settles(3000, "all are replaced")
	w.shares(12, 3000)
	for _, nd := range w.Nodes[:11] {
		if got := nd.Self().Start; got != starts[nd.Cfg.Name] {
			t.Errorf("%s has start %d, and had %d", nd.Cfg.Name, got, starts[nd.Cfg.Name])
		}
	}
}

// One process gives way and the next comes late: the others may call the router silent meanwhile, as one that hangs, and it has its part again
// once it is back.
func TestReplacedProcessThatComesLate(t *testing.T) {
	w := begin(t, 8)
	w.settles(2000, "start")
	w.shares(8, 2000)
	w.Nodes[3].Replace(5000)
	w.Pass(5100)
	w.settles(3000, "it is back")
	w.shares(8, 3000)
}

// A snapshot that went the way between processes is the same, and one that is another router's or makes no sense is refused.
func TestSnapshots(t *testing.T) {
	w := begin(t, 5)
	w.settles(2000, "start")
	w.shares(5, 2000)
	nd := w.Nodes[2]
	nd.SetMeta(w.Now, "\xff\x00door") //nolint:errcheck // it fits
	w.Nodes[4].Kill()
	w.Pass(2000)
	s, err := nd.Snapshot(w.Now)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	read := func() (got fleet.Snapshot) {
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatal(err)
		}
		return got
	}
	m, err := fleet.Resume(nd.Cfg, deaf{}, 77, 5, read())
	if err != nil {
		t.Fatal(err)
	}
	if a, b := m.View(77), nd.View(w.Now); a.Digest != b.Digest || a.Share.Routers != b.Share.Routers || len(a.Members) != len(b.Members) {
		t.Errorf("it goes on with %+v\nand had %+v", a, b)
	}
	for want, change := range map[string]func(*fleet.Config, *fleet.Snapshot){
		`a snapshot of r-002 at 127.1.0.2:7946`: func(c *fleet.Config, _ *fleet.Snapshot) { c.Name = "other" },
		`in "rades": this is r-002`:             func(c *fleet.Config, _ *fleet.Snapshot) { c.Site = "sfax" },
		`a snapshot: the message is cut short`:  func(_ *fleet.Config, s *fleet.Snapshot) { s.Self = s.Self[:9] },
		`doubt 9`:                               func(_ *fleet.Config, s *fleet.Snapshot) { s.HealthScore = 9 },
		`member 1: r-`:                          func(_ *fleet.Config, s *fleet.Snapshot) { s.Members[1] = s.Members[0] },
		`member 0: 1 bytes behind the record`:   func(_ *fleet.Config, s *fleet.Snapshot) { s.Members[0].Record = append(s.Members[0].Record, 0) },
	} {
		cfg, s := nd.Cfg, read()
		change(&cfg, &s)
		if _, err := fleet.Resume(cfg, deaf{}, 77, 5, s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, err := fleet.Resume(nd.Cfg, deaf{}, 77, -1, read()); err == nil {
		t.Error("a snapshot of the future is taken")
	}
}
