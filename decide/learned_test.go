package decide

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"
)

// newExperienced is a Balancer that has served for ten seconds: one server fails all, one has started anew, a key is hot.
func newExperienced(t *testing.T) *Balancer {
	t.Helper()
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "t", Quota: 100}}
	b, h := start(t, cfg, fleet(6))
	now, bad := 100000.0, fleet(6)[0].ID
	for id := uint32(1); id <= 2000; id++ {
		now += 5
		b.Request(now, Request{ID: id, Class: "read", Tenant: "t", Key: uint64(id % 37), HasKey: true, Left: 600})
		for _, s := range h.sends {
			st := OK
			if s.server == bad {
				st = Reset
			}
			b.Outcome(now+2, Outcome{ID: s.id, Server: s.server, Status: st, Latency: 2, Load: Load{QPS: 40, Util: 0.4, EPS: -1, Inflight: -1, Latency: -1}})
		}
		h.sends = nil
	}
	fresh := fleet(6)[1]
	fresh.Started = now - 100
	b.Servers(now, Changes, []Entry{fresh})
	if !b.servers[bad].ejected {
		t.Fatal("the bad server is not out")
	}
	return b
}

// What one process has learned, the next one knows: who is out, what is cold, who is how quick, which keys are hot.
func TestNextProcessImportsLearnedState(t *testing.T) {
	old := newExperienced(t)
	es := make([]Entry, 0, 6)
	for _, s := range old.serverList {
		es = append(es, s.Entry)
	}
	text, err := json.Marshal(old.ExportLearned(old.now))
	if err != nil {
		t.Fatal(err)
	}
	var l Learned
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	b, err := New(old.cfg, 8, newHost())
	if err != nil {
		t.Fatal(err)
	}
	b.Servers(old.now+50, Restored, es)
	if err := b.ImportLearned(old.now+50, l); err != nil {
		t.Fatal(err)
	}
	if got := b.ExportLearned(b.now); !reflect.DeepEqual(got.Servers, l.Servers) || len(got.Keys) != len(l.Keys) || got.LatencyMean != l.LatencyMean || got.TenantUse["t"] != l.TenantUse["t"] {
		t.Errorf("learned %+v, then %+v", l.Servers, got.Servers)
	}
	known, avoided := b.ServerCounts()
	if oldKnown, oldAvoided := old.ServerCounts(); known != oldKnown || avoided != oldAvoided || avoided == 0 {
		t.Errorf("%d of %d servers are avoided, by the old one %d of %d", avoided, known, oldAvoided, oldKnown)
	}
	if s, o := b.servers[fleet(6)[1].ID], old.servers[fleet(6)[1].ID]; s.coldSince != o.coldSince || b.warmFraction(s) > 0.5 {
		t.Errorf("a cold server is taken for %v warm", b.warmFraction(s))
	}
	for i := range uint32(50) { // and nothing goes to the one that is out
		ask(b, b.now+1, 10000+i, "read", uint64(i))
	}
	for _, s := range b.host.(*fakeHost).sends {
		if s.server == fleet(6)[0].ID && b.now < b.servers[s.server].trialAt {
			t.Error("a request to a server that was out")
		}
	}
}

// A server that has started anew since is another process: nothing that was learned of the one before counts.
func TestLearnedStateOfEarlierStartIsIgnored(t *testing.T) {
	old := newExperienced(t)
	es := fleet(6)
	es[0].Started = old.now - 10
	b, _ := start(t, old.cfg, es)
	if err := b.ImportLearned(old.now, old.ExportLearned(old.now)); err != nil {
		t.Fatal(err)
	}
	if b.servers[es[0].ID].ejected {
		t.Error("a new process is out for what the one before did")
	}
}

func TestInvalidLearnedStateIsRejectedWhole(t *testing.T) {
	old := newExperienced(t)
	for name, spoil := range map[string]func(l *Learned){
		"version 9":          func(l *Learned) { l.Version = 9 },
		"the start":          func(l *Learned) { l.StartedAt = old.now + 1e6 },
		"fetches":            func(l *Learned) { l.FetchLimit = math.Inf(1) },
		"the router":         func(l *Learned) { l.FleetLatency.Value = math.NaN() },
		"server":             func(l *Learned) { l.Servers[2].AcceptShare = 1.5 },
		"tenant t":           func(l *Learned) { l.TenantUse["t"] = DecayingSum{Value: -1} },
		"key":                func(l *Learned) { l.Keys[0].Rate.Updated = old.now + 1e9 },
		"4097 servers":       func(l *Learned) { l.Servers = make([]LearnedServer, maxLearnedServers+1) },
		"impossible value":   func(l *Learned) { l.Servers[0].SendBudget.Value = math.Inf(-1) },
		"impossible value -": func(l *Learned) { l.Servers[0].ConsecutiveFailures = -1 },
	} {
		b, _ := start(t, old.cfg, fleet(6))
		before := b.ExportLearned(old.now)
		l := old.ExportLearned(old.now)
		spoil(&l)
		if err := b.ImportLearned(old.now, l); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
		if !reflect.DeepEqual(b.ExportLearned(old.now), before) {
			t.Errorf("%s: some of it was taken", name)
		}
	}
}

// Two processes of a router have one router's part of a cold server's budget and of the origin, before, while and after both live.
func TestTwoProcessesSplitOneRoutersShare(t *testing.T) {
	old := newExperienced(t)
	cold := old.servers[fleet(6)[1].ID]
	old.advance(cold.coldSince + 2000)
	old.budgetAllows(cold, 1, 1)
	alone, fetches := cold.sendBudget.value, old.fetchLimit
	old.SetProcesses(old.now, 2)
	b, _ := start(t, old.cfg, fleet(6))
	b.tier = old.tier // as its configuration says
	b.SetProcesses(old.now, 2)
	es := make([]Entry, 0, 6)
	for _, s := range old.serverList {
		es = append(es, s.Entry)
	}
	b.Servers(old.now, Full, es)
	if err := b.ImportLearned(old.now, old.ExportLearned(old.now)); err != nil {
		t.Fatal(err)
	}
	next := b.servers[cold.ID]
	if sum := cold.sendBudget.value + next.sendBudget.value; math.Abs(sum-alone) > 1e-9 {
		t.Errorf("both have %v of a cold server's budget, one had %v", sum, alone)
	}
	if sum := old.fetchLimit + b.fetchLimit; math.Abs(sum-fetches) > 1e-9 {
		t.Errorf("both may have %v fetches out, one had %v", sum, fetches)
	}
	later := old.now + 100
	fill := func(x *Balancer, s *server) float64 {
		x.now = later
		was := s.sendBudget.value
		x.budgetAllows(s, 1, 1)
		return s.sendBudget.value - was
	}
	both := fill(old, cold) + fill(b, next)
	b.SetProcesses(later, 1) // the old one is gone
	single := newExperienced(t)
	s := single.servers[cold.ID]
	s.sendBudget = decayingSum{0, later - 100}
	single.now = later
	single.budgetAllows(s, 1, 1)
	if both > s.sendBudget.value*1.01 {
		t.Errorf("both gain %v of a cold server's budget in 100 ms, one alone %v", both, s.sendBudget.value)
	}
	if math.Abs(b.fetchLimit-fetches) > 1e-9 || b.cfg.Routers != b.tier.Routers {
		t.Errorf("alone again: %v fetches of %v, %d routers of %d", b.fetchLimit, fetches, b.cfg.Routers, b.tier.Routers)
	}
}
