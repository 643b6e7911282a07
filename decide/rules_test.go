package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// ---- The four rules ----

// TestEveryOutcomeAndEffect checks which actions may follow each outcome of a request of each effect.
func TestEveryOutcomeAndEffect(t *testing.T) {
	all := []Status{Failed, QueueFull, TimedOut, ConnectError, Reset, Canceled, Ignored, InvalidAnswer}
	for _, class := range []string{"read", "keyed", "zoned", "once"} {
		for _, st := range all {
			t.Run(fmt.Sprint(class, "/", st), func(t *testing.T) {
				b, h := start(t, testConfig(), fleet(6))
				ask(b, 100010, 1, class, 9)
				first := h.last()
				b.Outcome(100050, Outcome{ID: 1, Server: first.server, Status: st, Latency: 40, Load: NoLoad})
				retried := len(h.sends) > 1
				switch {
				case class == "once" && !st.NeverRan():
					if retried || h.refused[1] > 0 || h.failed[1] != 1 {
						t.Errorf("may have run: sends %v, refused %d, failed %d", h.sends, h.refused[1], h.failed[1])
					}
				case class == "zoned" && !st.NeverRan():
					if h.refused[1] > 0 {
						t.Error("refused although the attempt may have run")
					}
					if retried && b.servers[h.last().server].Zone != b.servers[first.server].Zone {
						t.Error("sent again outside the group")
					}
				default:
					if !retried {
						t.Error("no retry although one is allowed")
					}
				}
				// After a spoilt answer only the same server has the key.
				if retried && (h.last().server == first.server) != (st == InvalidAnswer) {
					t.Error("retried at the server that just failed, or after a spoilt answer at another")
				}
			})
		}
	}
}

func TestKeyedIsNotSentAfterItsWindow(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Window = 100
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "keyed", 9)
	b.Outcome(100110, Outcome{ID: 1, Server: h.last().server, Status: Failed, Latency: 100, Load: NoLoad})
	if len(h.sends) != 1 || h.refused[1] != 1 {
		t.Errorf("sends %v, refused %d: want one send and a refusal", h.sends, h.refused[1])
	}
}

// Guards against a repeat that is sent within the window of an attempt, and arrives behind it.
func TestKeyedRepeatHasTimeToArrive(t *testing.T) {
	const window, arrival = 100, 60
	for after, want := range map[float64]int{30: 2, 45: 1} { // sends
		cfg := testConfig()
		cfg.Classes[2].Window = window
		b, h := start(t, cfg, fleet(6))
		b.Request(100010, Request{ID: 1, Class: "keyed", Key: 9, HasKey: true, Left: 600, ArrivalTime: arrival})
		b.Outcome(100010+after, Outcome{ID: 1, Server: h.last().server, Status: Failed, Latency: after, Load: NoLoad})
		if len(h.sends) != want {
			t.Errorf("%v ms after the first of a window of %v ms, arriving in %v ms: %d sends", after, window, arrival, len(h.sends))
		}
	}
}

func TestNoHedgedAttemptWhereNotAllowed(t *testing.T) {
	cfg := testConfig()
	cfg.Copies = false
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "read", 9)
	for _, tm := range h.timers {
		b.Timer(100010+tm.after, tm.token)
	}
	if len(h.sends) != 1 {
		t.Errorf("sends %v while the first is in flight", h.sends)
	}
	if len(h.cancels) != 1 {
		t.Fatalf("cancels %v: want the unresponsive attempt canceled", h.cancels)
	}
	b.Outcome(100200, Outcome{ID: 1, Server: h.sends[0].server, Status: Canceled, Latency: 190, Load: NoLoad})
	if len(h.sends) != 2 {
		t.Error("no second attempt after the cancel")
	}
}

func TestLateDuplicateAndUnknownIDs(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	s := h.last().server
	ok := Outcome{ID: 1, Server: s, Status: OK, Latency: 40, Final: true, CacheResult: 1, Load: NoLoad}
	b.Outcome(100050, ok)
	b.Outcome(100051, ok)
	b.Outcome(100052, Outcome{ID: 77, Attempt: 3, Server: 5, Status: Failed, Load: NoLoad})
	b.Outcome(100053, Outcome{ID: 1, Attempt: -1, Server: s, Status: Failed, Load: NoLoad})
	b.ClientGone(100054, 1)
	b.ClientGone(100055, 78)
	b.StreamStarted(100056, 79)
	b.Timer(100057, 80<<8|1)
	b.ProbeResult(100058, 81, OK, NoLoad)
	if len(h.sends) != 1 || h.answers(1) != 0 || b.servers[s].inFlight != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, answers %d, in flight %d, requests %d", h.sends, h.answers(1), b.servers[s].inFlight, len(b.requests))
	}
}

func TestNothingNewToDrainingOrGone(t *testing.T) {
	es := fleet(4)
	b, h := start(t, testConfig(), es)
	es[0].State, es[1].State = Draining, Removed
	b.Servers(100005, Changes, es[:2])
	for i := range uint32(300) {
		now := 100010 + float64(i)
		ask(b, now, i+1, "read", uint64(i))
		b.Outcome(now, Outcome{ID: i + 1, Server: h.last().server, Status: OK, Latency: 1, Final: true, Load: NoLoad})
	}
	for _, s := range h.sends {
		if s.server == es[0].ID || s.server == es[1].ID {
			t.Fatalf("request %d sent to a server that drains or is gone", s.id)
		}
	}
	if len(h.sends) != 300 {
		t.Errorf("%d of 300 sent", len(h.sends))
	}
}

func TestRequestWithoutCandidatesIsAnswered(t *testing.T) {
	drain := fleet(2)
	drain[0].State, drain[1].State = Draining, Draining
	cfg := testConfig()
	aside := cfg
	aside.Aside, aside.OriginKind = true, "origin"
	for name, c := range map[string]struct {
		cfg Config
		es  []Entry
	}{"empty": {cfg, nil}, "draining": {cfg, drain}, "origin only": {aside, []Entry{{ID: 9, Kind: "origin"}}}} {
		for _, class := range []string{"read", "once", "unknown"} {
			b, h := start(t, c.cfg, c.es)
			ask(b, 100010, 1, class, 5)
			if h.answers(1) != 1 || len(h.sends) != 0 {
				t.Errorf("%s, %s: %d answers, sends %v", name, class, h.answers(1), h.sends)
			}
		}
	}
}

// The budget of a cold server follows the capacity of servers of its size, also if all of them have
// reported five times that since: misses are cheap, and while the origin is down there are only misses. A
// search with the model found eight such days.
func TestColdServerBudgetHoldsOverAllRouters(t *testing.T) {
	for name, told := range map[string]float64{"accurate reports": 1, "reports amid cheap misses": 5} {
		t.Run(name, func(t *testing.T) { checkColdServerBudget(t, told) })
	}
}

func checkColdServerBudget(t *testing.T, inflation float64) {
	es := fleet(3)
	cfg := testConfig()
	es[0].Started = 99500
	total, capacity := 0.0, 20.0
	for r := range cfg.Routers {
		cfg.Me = r
		b, h := start(t, cfg, es)
		for _, e := range es {
			b.servers[e.ID].capacity.update(b.now, capacity, 1)
			for range 20 {
				b.servers[e.ID].capacity.update(b.now, inflation*capacity, 0.2)
			}
		}
		b.solve()
		for i := range uint32(4000) { // 2 s at 2000 a second, many times its capacity
			now := 100010 + float64(i)/2
			ask(b, now, i+1, "read", uint64(i))
			if n := len(h.sends); n > 0 && h.sends[n-1].id == i+1 {
				b.Outcome(now, Outcome{ID: i + 1, Server: h.last().server, Status: OK, Latency: 1, Final: true, Load: NoLoad})
			}
		}
		for _, s := range h.sends {
			if s.server == es[0].ID {
				total++
			}
		}
	}
	warmth := cfg.ColdFrom + (1-cfg.ColdFrom)*500/cfg.Cold // at the start of the window
	if limit := cfg.FallMult * capacity * warmth * cfg.FallFor / 1000; total > limit || total < limit/8 {
		t.Errorf("%v requests sent to a cold server in the window, its limit is %v", total, limit)
	}
}

// TestEveryRequestIsAnsweredOnce simulates random outcomes of all kinds and counts the answers to each
// request.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		cfg := testConfig()
		cfg.Copies, cfg.Cancel, cfg.Aside, cfg.OriginKind = seed%2 == 0, seed%3 != 0, seed%4 > 1, "origin"
		es := append(fleet(5), Entry{ID: 77, Kind: "origin"})
		b, h := start(t, cfg, es)
		type pendingOutcome struct {
			due float64
			o   Outcome
		}
		answered, tries, until := map[uint32]int{}, map[uint32]int{}, map[uint32]float64{}
		h.onSend = func(id uint32) {
			if answered[id]+h.answers(id) > 0 {
				t.Fatalf("seed %d: request %d sent after its answer", seed, id)
			}
		}
		var pending []pendingOutcome
		seen, timers := 0, []timer{}
		next := uint32(0)
		for now := 100000.0; now < 104000; now += 5 {
			if now < 103000 {
				for range rng.IntN(4) {
					next++
					class := cfg.Classes[rng.IntN(5)].Name
					left := 50 + 500*rng.Float64()
					until[next] = now + left
					b.Request(now, Request{ID: next, Class: class, Key: uint64(rng.IntN(20)), HasKey: rng.IntN(9) > 0,
						Left: left, Write: class == "once"})
				}
			}
			rest := timers[:0]
			for _, tm := range timers {
				if tm.after <= now {
					b.Timer(now, tm.token)
				} else {
					rest = append(rest, tm)
				}
			}
			timers = rest
			kept := pending[:0]
			for _, l := range pending {
				if l.due > now && until[l.o.ID] > now {
					kept = append(kept, l)
					continue
				}
				if l.due > now {
					l.o.Status = TimedOut
				}
				if answered[l.o.ID]+h.answers(l.o.ID) > 0 {
					l.o.Final = true
				} else if l.o.Status == OK {
					l.o.Final = true
					answered[l.o.ID]++
				}
				b.Outcome(now, l.o)
			}
			pending = kept
			for ; seen < len(h.sends); seen++ {
				s := h.sends[seen]
				st := []Status{OK, OK, Failed, QueueFull, TimedOut, ConnectError, Reset, Miss, InvalidAnswer}[rng.IntN(9)]
				pending = append(pending, pendingOutcome{now + 300*rng.Float64(),
					Outcome{ID: s.id, Attempt: tries[s.id], Server: s.server, Status: st, Latency: 20, Load: NoLoad}})
				tries[s.id]++
			}
			for _, tm := range h.timers {
				timers = append(timers, timer{now + tm.after, tm.token})
			}
			h.timers = nil
		}
		for id := uint32(1); id <= next; id++ {
			if n := answered[id] + h.answers(id); n != 1 {
				t.Fatalf("seed %d: request %d has %d answers", seed, id, n)
			}
		}
		if len(b.requests) != 0 || len(b.waiting) != 0 {
			t.Errorf("seed %d: %d requests and %d held requests are left over", seed, len(b.requests), len(b.waiting))
		}
	}
}

// ---- Reports ----

func TestAbsurdReportsLeaveTheModelFinite(t *testing.T) {
	b, h := start(t, testConfig(), fleet(4))
	inf := math.Inf(1)
	for i, l := range []Load{NoLoad, {}, {QPS: 5}, {Util: 5}, {QPS: inf, Util: 0.5}, {QPS: 5, Util: inf - inf},
		{QPS: 1e8, Util: 1e-9}, {QPS: 1e-9, Util: 1e8}, {QPS: -3, Util: 0.5}} {
		for j, e := range fleet(4) {
			b.ProbeResult(100010+float64(i), e.ID, OK, Load{l.QPS + float64(j), l.EPS, l.Util, l.Inflight, l.Latency})
		}
		for r := range uint32(40) {
			id := uint32(i)*100 + r
			ask(b, 100010+float64(i), id, "read", uint64(r%3))
			b.Outcome(100010+float64(i), Outcome{ID: id, Server: h.last().server, Status: OK, Latency: 10, Final: true, Load: l})
		}
		b.solve()
		for _, s := range b.serverList {
			if s.channels < 1 || s.channels > 256 || s.modelLoad < 0 || s.modelLoad != s.modelLoad || s.modelLoad > 1e12 {
				t.Errorf("report %v: n %d, load %v", l, s.channels, s.modelLoad)
			}
		}
		for _, k := range b.keyList {
			for _, p := range k.splitShares {
				if p != p || p < 0 || p > 1+1e-9 {
					t.Errorf("report %v: share %v", l, p)
				}
			}
		}
	}
}

// ---- Settings ----

func TestNewNamesTheBadSetting(t *testing.T) {
	for want, corrupt := range map[string]func(*Config){
		"Routers":             func(c *Config) { c.Routers = 0 },
		"Me":                  func(c *Config) { c.Me = 5 },
		"Classes":             func(c *Config) { c.Classes = nil },
		"Classes[read].Aim":   func(c *Config) { c.Classes[0].Aim = 0 },
		"Classes[keyed].Scop": func(c *Config) { c.Classes[2].Scope = "planet" },
		"ColdFrom":            func(c *Config) { c.ColdFrom = 0 },
		"FallMult":            func(c *Config) { c.FallMult = 0 },
		"MaxAttempts":         func(c *Config) { c.MaxAttempts = 0 },
		"OriginKind":          func(c *Config) { c.Aside = true },
		"Tenants[x].Quota":    func(c *Config) { c.Tenants = []Tenant{{Name: "x", Quota: -1}} },
	} {
		cfg := testConfig()
		corrupt(&cfg)
		if _, err := New(cfg, 1, newHost()); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error that names %s, got %v", want, err)
		}
	}
}

// ---- Origin ----

// Guards against a fetch limit that falls although the origin answers quickly: a fetch that is sent too late
// times out, which is no sign of a slow origin.
func TestLateFetchIsNoSignOfASlowOrigin(t *testing.T) {
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind = true, "origin"
	b, _ := start(t, cfg, append(fleet(3), Entry{ID: 77, Kind: "origin"}))
	was := b.fetchLimit
	for i := range 20 {
		b.now += 1000
		r := &request{class: &Class{Aim: 300}, key: &keyTraffic{}}
		b.adjustFetchLimit(r, OK, 100)
		b.adjustFetchLimit(r, TimedOut, 40)
		if i == 0 {
			was = b.fetchLimit
		}
	}
	if b.fetchLimit < was {
		t.Errorf("fetch limit fell from %v to %v", was, b.fetchLimit)
	}
	for range 12 {
		b.now += 1000
		b.adjustFetchLimit(&request{class: &Class{Aim: 300}, key: &keyTraffic{}}, TimedOut, 900)
	}
	if b.fetchLimit > was/2 {
		t.Errorf("fetch limit %v though every fetch is slow", b.fetchLimit)
	}
}

// Guards against a latency floor that rises, in a lasting overload, to the latency of the overload: no fetch
// counted as slow any more, and writes were answered 100 ms late all day.
func TestRisenFloorDoesNotExcuseUselessFetches(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(2))
	was := b.fetchLimit
	r := &request{class: &Class{Aim: 300}, key: &keyTraffic{}}
	for range 200 {
		b.now += 100
		b.adjustFetchLimit(r, OK, 290)
	}
	if b.fetchLimit > was/2 {
		t.Errorf("fetch limit %v: fetches of 290 ms for an aim of 300 counted as quick", b.fetchLimit)
	}
}

func TestMissesOfAKeyShareAFetch(t *testing.T) {
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(3), Entry{ID: 77, Kind: "origin"}))
	ask(b, 100010, 1, "read", 5)
	home := h.last().server
	ask(b, 100011, 2, "read", 5)
	b.Outcome(100020, Outcome{ID: 1, Server: home, Status: Miss, Latency: 9, CacheResult: 2, Load: NoLoad})
	b.Outcome(100021, Outcome{ID: 2, Server: home, Status: Miss, Latency: 9, CacheResult: 2, Load: NoLoad})
	ask(b, 100022, 3, "read", 5)
	if len(h.sends) != 3 || h.last() != (sentAttempt{1, 77}) {
		t.Fatalf("sends %v, want two at the home and one fetch", h.sends)
	}
	b.Outcome(100060, Outcome{ID: 1, Attempt: 1, Server: 77, Status: OK, Latency: 40, Final: true, Load: NoLoad})
	if len(h.sends) != 5 || h.sends[3].server != home || h.sends[4].server != home {
		t.Errorf("sends %v, want the two held requests at the home", h.sends)
	}
}

// Guards against an overload of the origin that lasts because each request whose fetch failed is retried at
// another server, which fetches again.
func TestFailedFetchIsBlamedOnTheOrigin(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for i := range uint32(40) { // 300 ms apart; the limit falls below one, and fetches are paced
		now, was := 100010+300*float64(i), len(h.sends)
		ask(b, now, i+1, "read", uint64(i))
		if len(h.sends) > was {
			b.Outcome(now+20, Outcome{ID: i + 1, Server: h.last().server, Status: Failed, Latency: 20, CacheResult: 2, Load: NoLoad})
		}
		if len(h.sends) > was+1 {
			t.Fatalf("request %d was sent again", i+1)
		}
	}
	if n := len(h.sends); n < 6 || n > 20 || b.fetchLimit > 0.5 || countEjected(b.serverList) > 0 {
		t.Errorf("%d sends for 40 requests, fetch limit %v, %d ejected", n, b.fetchLimit, countEjected(b.serverList))
	}
	n := len(h.sends)
	for i := range uint32(40) {
		ask(b, 120000, 100+i, "once", uint64(100+i))
	}
	if out := len(h.sends) - n; out != 1 {
		t.Errorf("%d in flight at a fetch limit of %v", out, b.fetchLimit)
	}
	for i := range uint32(60) { // answers raise the limit again
		if r := b.requests[h.last().id]; r != nil && r.inFlight > 0 {
			b.Outcome(120020+20*float64(i), Outcome{ID: r.ID, Server: h.last().server, Latency: 20, CacheResult: 2, Final: true, Load: NoLoad})
		}
	}
	if b.fetchLimit < 2 {
		t.Errorf("fetch limit %v after the origin recovered", b.fetchLimit)
	}
}

// Guards against counting a key as stored after its fetch failed: requests for such keys bypassed the fetch
// limit, and a stopped origin got 88 fetches a second.
func TestKeyWhoseFetchFailedCountsAsAFetch(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100001, 1, "read", 5)
	b.Outcome(100041, Outcome{ID: 1, Server: h.last().server, Latency: 40, CacheResult: 2, Final: true, Load: NoLoad})
	if ask(b, 101000, 2, "read", 5); b.requests[2].mayFetch {
		t.Error("a key stored a second ago counts as a miss")
	}
	b.Outcome(101200, Outcome{ID: 2, Server: h.last().server, Status: Failed, Latency: 200, CacheResult: 2, Load: NoLoad})
	if ask(b, 102000, 3, "read", 5); !b.requests[3].mayFetch {
		t.Error("a key whose fetch failed counts as stored")
	}
}

// Guards against a latency floor that stays high after an overload: if requests for servers that are idle by
// then are refused because of the floor, no answer can correct it.
func TestLatencyFloorDecays(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	for _, s := range b.serverList {
		s.capacity.update(b.now, 100, 1)
		s.latency.update(b.now, 250, 1)
	}
	ask(b, 100001, 1, "read", 5)
	ask(b, 112001, 2, "read", 6)
	if h.refused[1] != 1 || h.refused[2] != 0 {
		t.Errorf("refused %v: want the first only", h.refused)
	}
}

// Guards against an expected wait of zero at servers that have not reported yet: the first second overloaded
// all servers for half a minute.
func TestUnreportedServersAreNotFlooded(t *testing.T) {
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(6), Entry{ID: 77, Kind: "origin"}))
	b.latencies.update(100)
	for i := range uint32(600) {
		ask(b, 100001, i+1, "dear", uint64(i))
	}
	if n := len(h.sends) / 6; n < 3 || n > 12 {
		t.Errorf("%d requests in flight at each server that has not reported yet", n)
	}
}

// ---- List ----

// Guards against ejecting healthy servers, whose keys become misses elsewhere, because requests that wait
// there for fetches time out.
func TestTimeOutAtAnAnsweringServerIsNoFailure(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.serverList[0]
	for range 20 {
		s.lastReply = b.now
		b.observeHealth(s, TimedOut, b.now-400)
	}
	if s.acceptShare < 1 || s.ejected {
		t.Errorf("accept %.2f, ejected %v: time-outs count against a server that answers others", s.acceptShare, s.ejected)
	}
	for range 20 {
		b.observeHealth(s, TimedOut, b.now+1)
	}
	if !s.ejected {
		t.Error("an unresponsive server is still in use")
	}
}

// Guards against counting a fetch as a server's latency, where servers fetch by themselves: the floor
// included it, and requests for idle servers were refused.
func TestWaitForAFetchIsNotTheServersLatency(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100001, 1, "read", 5)
	s := b.servers[h.last().server]
	was, x := s.latency, b.latencies
	b.Outcome(100301, Outcome{ID: 1, Server: s.ID, Status: OK, Latency: 300, CacheResult: 2, Final: true, Load: NoLoad})
	if s.latency != was || b.latencies != x {
		t.Errorf("latency %v, moments %v: changed by a fetch", s.latency, b.latencies)
	}
	ask(b, 100302, 2, "read", 5)
	b.Outcome(100342, Outcome{ID: 2, Server: s.ID, Status: OK, Latency: 40, CacheResult: 1, Final: true, Load: NoLoad})
	if s.latency.value != 40 || b.latencies.mean != 40 {
		t.Errorf("latency %v, mean %v after a hit of 40 ms", s.latency.value, b.latencies.mean)
	}
}

func TestListIsAskedForAgainAfterARefusal(t *testing.T) {
	cfg := testConfig()
	cfg.AskList = true
	b, h := start(t, cfg, fleet(3))
	tickTo := func(from, to float64) {
		for now := from; now <= to; now += 100 {
			b.Timer(now, tickToken)
		}
	}
	tickTo(100100, 100300)
	if h.watches != 1 {
		t.Fatalf("%d calls after the start, want 1", h.watches)
	}
	b.Servers(100350, ListFailed, nil)
	tickTo(100400, 102000)
	if h.watches != 2 {
		t.Fatalf("%d calls after a refusal, want 2", h.watches)
	}
	if len(b.serverList) != 3 {
		t.Error("a refusal lost the list")
	}
	b.Servers(102050, Changes, nil)
	tickTo(102100, 120000)
	if h.watches != 2 {
		t.Errorf("%d calls while subscribed, want 2", h.watches)
	}
}

func TestSilentServerIsEjectedAndTakenBackSlowly(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.serverList[0]
	for range maxConsecutiveFailures {
		b.observeHealth(s, TimedOut, b.now+1)
	}
	if !s.ejected || b.usable(s, newRead(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("three time-outs did not eject the server")
	}
	for _, o := range b.serverList[1:3] {
		o.ejected = true
	}
	o := b.serverList[3]
	for range 2 * maxConsecutiveFailures {
		b.observeHealth(o, TimedOut, b.now+1)
	}
	if o.ejected {
		t.Error("a server was ejected though half of the fleet is unresponsive")
	}
	b.now = s.trialAt + 1
	if !b.usable(s, newRead(b, b.trafficOf(Request{Key: 1, HasKey: true}))) {
		t.Fatal("no trial after the pause")
	}
	for _, o := range b.serverList {
		o.capacity.update(b.now, 100, 1)
	}
	b.latencies.update(100)
	b.observeHealth(s, OK, b.now)
	if b.buildModel(); s.ejected || s.channels > 6 || b.serverList[5].channels != 10 {
		t.Errorf("ejected %v, %d channels where others have %d: want it back with about half", s.ejected, s.channels, b.serverList[5].channels)
	}
	if b.observeHealth(s, Failed, b.now); !s.ejected {
		t.Error("one failure after the trial did not eject the server again")
	}
}

// Guards against several probes for each request: a bound on the age of reports caused them in a large
// fleet.
func TestProbesAreBoundedByRequests(t *testing.T) {
	cfg := testConfig()
	cfg.ByProbe, cfg.Probes, cfg.Routers = true, true, 600
	b, h := start(t, cfg, fleet(100))
	n := uint32(0)
	for now := 100000.0; now < 160000; now += 100 {
		b.Timer(now, tickToken)
		if int(now)%400 == 0 { // 2.5 requests a second
			n++
			ask(b, now, n, "read", uint64(n))
			b.Outcome(now, Outcome{ID: n, Server: h.last().server, Status: OK, Latency: 1, Final: true, Load: NoLoad})
		}
	}
	if most := 0.2 * float64(n); float64(len(h.probes)) > most || len(h.probes) < int(n)/10 {
		t.Errorf("%d probes for %d requests, want 0.1 to 0.2 each", len(h.probes), n)
	}
	seen := map[uint32]bool{}
	for _, id := range h.probes {
		seen[id] = true
	}
	if len(seen) != len(h.probes) {
		t.Errorf("%d probes went to %d servers: want them in turn", len(h.probes), len(seen))
	}
}

// Guards against a fetch limit far above the fetches in flight, to which it rises while the origin is quick.
// When the origin was overloaded, cuts of a fifth left a queue there for seconds, and half of all fetches
// came too late.
func TestBoundOnFetchesFallsBelowThoseThatQueue(t *testing.T) {
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind = true, "origin"
	b, _ := start(t, cfg, append(fleet(3), Entry{ID: 77, Kind: "origin"}))
	b.fetchLimit, b.fetchLatency, b.origin.inFlight = 40, movingAverage{value: 80, floor: 80, updated: b.now}, 12
	r := &request{class: &Class{Aim: 300}, key: &keyTraffic{}}
	for range 20 { // 160 ms are less than 2.5 times the floor, but over half of the aim
		b.now += 10
		b.adjustFetchLimit(r, OK, 160)
	}
	if b.fetchLimit >= 12 {
		t.Errorf("fetch limit %v with 12 in flight and latencies over half of the aim", b.fetchLimit)
	}
	b.fetchLimit, b.fetchLatency, b.origin.inFlight = 40, movingAverage{value: 80, floor: 80, updated: b.now}, 2
	b.now += 1000
	if b.adjustFetchLimit(r, Reset, 400); b.fetchLimit < 30 { // a lost answer is no sign of a queue
		t.Errorf("fetch limit %v after one reset", b.fetchLimit)
	}
}

// Guards against overloading the origin by one fetch in flight at each of hundreds of routers, at the start
// or as the lower bound after cuts.
func TestFetchLimitsOfManyRoutersAddUpToAFew(t *testing.T) {
	for _, routers := range []int{4, 300} {
		cfg := testConfig()
		cfg.Aside, cfg.OriginKind, cfg.Routers = true, "origin", routers
		b, h := start(t, cfg, append(fleet(3), Entry{ID: 77, Kind: "origin"}))
		r := &request{class: &Class{Aim: 300}, key: &keyTraffic{}}
		b.adjustFetchLimit(r, OK, 30)
		for range 60 {
			b.now += 1000
			b.adjustFetchLimit(r, TimedOut, 900)
		}
		if all := b.fetchLimit * float64(routers); all > 10 {
			t.Errorf("%d routers: a fetch limit of %v in all though every fetch is late", routers, all)
		}
		b.fetchLimit, b.fetchLatency = 0.1, movingAverage{value: 100, floor: 100}
		n := len(h.sends)
		for i := range uint32(100) { // in 10 s
			b.now += 100
			b.Request(b.now, Request{ID: i + 1, Class: "once", Key: uint64(i), HasKey: true, Write: true, Left: 600})
			if r := b.requests[h.last().id]; r != nil && r.inFlight > 0 {
				b.Outcome(b.now, Outcome{ID: r.ID, Server: 77, Status: OK, Latency: 100, Final: true, Load: NoLoad})
				b.fetchLimit = 0.1
			}
		}
		// With few routers, an answer raises the limit above one.
		if sent := len(h.sends) - n; routers == 300 && (sent < 8 || sent > 20) {
			t.Errorf("%d routers: %d fetches in 10 s at a limit of 0.1 and 100 ms each, want about ten", routers, sent)
		}
	}
}

// Guards against idle connections of hundreds of routers that fill the servers' connection tables, so that
// other attempts fail to connect.
func TestConnectErrorsShortenTheTimeThatConnectionsAreKept(t *testing.T) {
	cfg := testConfig()
	cfg.ConnIdle = 60000
	b, h := start(t, cfg, fleet(6))
	ask(b, 100010, 1, "read", 9)
	first := h.last().server
	b.Outcome(100050, Outcome{ID: 1, Server: first, Status: OK, Latency: 40, Final: true, Load: NoLoad})
	b.Timer(105000, tickToken)
	if len(h.closes) != 0 {
		t.Fatalf("closed %v though no connect failed", h.closes)
	}
	for range 5 { // dead servers of a stale list, which never answer
		b.observeHealth(b.serverList[5], ConnectError, b.now)
	}
	if b.connKeep != cfg.ConnIdle {
		t.Errorf("kept for %v after a dead server refused, want %v", b.connKeep, cfg.ConnIdle)
	}
	for _, s := range b.serverList[:5] { // full servers refuse a connection and answer later
		b.observeHealth(s, ConnectError, b.now)
		b.observeHealth(s, OK, b.now)
	}
	b.Timer(105100, tickToken)
	b.Timer(105200, tickToken)
	if len(h.closes) != 1 || h.closes[0] != first {
		t.Errorf("closed %v, want once the server used last 5 s ago, %d", h.closes, first)
	}
	for range 1000 {
		b.observeHealth(b.serverList[0], OK, b.now)
	}
	if b.connKeep != cfg.ConnIdle {
		t.Errorf("kept for %v after a thousand answers, want %v", b.connKeep, cfg.ConnIdle)
	}
}

// Guards against a router that sheds nothing while the whole fleet is overloaded: if it uses each of many
// servers once in ten seconds, it sees no queue at any of them. A router that uses each server often relies
// on that server's own latency.
func TestSeldomUsedServersAreAssumedAsLoadedAsTheFleet(t *testing.T) {
	wait := func(perSecond int) float64 {
		b, h := start(t, testConfig(), fleet(40))
		for i := range uint32(10 * uint32(perSecond)) {
			now := 100010 + float64(i)*1000/float64(perSecond)
			ask(b, now, i+1, "read", uint64(i))
			if len(h.sends) == 0 || h.last().id != i+1 {
				continue
			}
			took := 40.0
			if i > 8*uint32(perSecond) {
				took = 400
			}
			b.Outcome(now+took, Outcome{ID: i + 1, Server: h.last().server, Status: OK, Latency: took, Final: true, Load: NoLoad})
		}
		s := b.serverList[0]
		s.inFlight, s.latency = 0, movingAverage{value: 40, floor: 40, updated: b.now}
		s.capacity.value = 100
		return b.expectedWait(s)
	}
	if seldom, often := wait(8), wait(400); seldom < 50 || often > 20 {
		t.Errorf("wait %v if each server is seldom used, %v if often: want a long and a short one", seldom, often)
	}
}

// Guards against shedding whole tenants in turn. If a router sees little traffic, a few requests over its
// share of a quota are chance and must not count as over the quota.
func TestChanceDoesNotPutATenantOverItsQuota(t *testing.T) {
	cfg := testConfig()
	cfg.Routers, cfg.OverWorth = 100, 0.05
	cfg.Tenants = []Tenant{{Name: "x", Quota: 100}} // one a second here
	for perSecond, want := range map[int]bool{1: false, 4: true} {
		b, h := start(t, cfg, fleet(6))
		over := 0
		rng := rand.New(rand.NewPCG(3, 4))
		for i := range uint32(40 * uint32(perSecond)) {
			now := b.now + rng.ExpFloat64()*1000/float64(perSecond)
			b.Request(now, Request{ID: i + 1, Class: "read", Tenant: "x", Key: uint64(i), HasKey: true, Left: 600})
			if r := b.requests[i+1]; r != nil && r.worth < 1 {
				over++
			}
			b.Outcome(now, Outcome{ID: i + 1, Server: h.last().server, Status: OK, Latency: 1, Final: true, Load: NoLoad})
		}
		if share := float64(over) / float64(40*perSecond); want != (share > 0.5) || !want && share > 0.15 {
			t.Errorf("%d a second for a quota of 1: %v of the requests count as over it", perSecond, share)
		}
	}
}

// Guards against taking an overloaded server for idle because it still answers a few requests in time: it
// got all others too.
func TestTimeOutsRaiseTheWaitOfAServer(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	s := b.servers[h.last().server]
	s.reportedRate = 40
	b.Outcome(100050, Outcome{ID: 1, Server: s.ID, Status: OK, Latency: 40, Final: true, CacheResult: 1, Load: NoLoad})
	idle := b.expectedWait(s)
	for i := range uint32(5) {
		id := i + 2
		ask(b, 100060, id, "read", 9)
		b.Outcome(100060+300, Outcome{ID: id, Server: s.ID, Status: TimedOut, Latency: 300, Load: NoLoad})
	}
	if loaded := b.expectedWait(s); loaded < idle+10 {
		t.Errorf("wait %v after five time-outs, %v before", loaded, idle)
	}
	was := s.latency.value
	ask(b, 100400, 10, "read", 9)
	b.Outcome(100405, Outcome{ID: 10, Server: s.ID, Status: TimedOut, Latency: 5, Load: NoLoad})
	if s.latency.value < was {
		t.Errorf("a time-out of 5 ms lowered the latency from %v to %v", was, s.latency.value)
	}
}

// Guards against ignoring time-outs in the fleet's latency: when only answers and refusals counted and nine
// in ten attempts timed out, the router sent everything to servers that no longer answered.
func TestTimeOutsOfTheFleetShedWhereServersAreSeldomAsked(t *testing.T) {
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(60), Entry{ID: 77, Kind: "origin"}))
	refused := 0
	for i := range uint32(120) {
		now := 100010 + 350*float64(i)
		ask(b, now, i+1, "read", uint64(i))
		switch sent := len(h.sends) > 0 && h.last().id == i+1; {
		case !sent:
			refused++
		case i < 20:
			b.Outcome(now+40, Outcome{ID: i + 1, Server: h.last().server, Status: OK, Latency: 40, Final: true, CacheResult: 1, Load: NoLoad})
		default:
			b.Outcome(now+600, Outcome{ID: i + 1, Server: h.last().server, Status: TimedOut, Latency: 600, Load: NoLoad})
		}
	}
	if refused < 20 {
		t.Errorf("%d of 100 requests refused early while every attempt timed out", refused)
	}
}

// Guards against detecting a collapse only by its time-outs, over a second late, when the servers are already
// overloaded.
func TestStallsSignalOverloadBeforeTimeOuts(t *testing.T) {
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(60), Entry{ID: 77, Kind: "origin"}))
	ask(b, 100010, 1, "read", 1)
	b.Outcome(100050, Outcome{ID: 1, Server: h.last().server, Status: OK, Latency: 40, Final: true, CacheResult: 1, Load: NoLoad})
	was := b.expectedWait(b.serverList[0])
	for i := range uint32(8) {
		id, now := i+2, 101010+float64(300*i)
		ask(b, now, id, "read", uint64(id))
		b.servers[h.last().server].lastReply = 0
		b.Timer(now+200, uint64(id)<<8|1)
	}
	if wait := b.expectedWait(b.serverList[0]); wait < was+30 {
		t.Errorf("wait %v after eight stalls, %v before", wait, was)
	}
}

// Guards against a busy router that, with all servers refusing and ejected, tries them as a last resort for
// each request, although each of them refuses.
func TestLastResortIsAssumedAsLoadedAsTheFleet(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.serverList[0]
	b.arrivals.add(b.now, keyRateTau, 2000)
	b.fleetLatency = movingAverage{value: 400, floor: 40, updated: b.now}
	healthy := b.expectedWait(s)
	s.ejected = true
	if ejectedWait := b.expectedWait(s); ejectedWait < 300 || healthy > 100 {
		t.Errorf("wait %v at an ejected server, %v at another of a busy router", ejectedWait, healthy)
	}
}

// An answer that is spoilt on its way says little about the server: it is not suspected to be dead, and
// idle connections are not closed earlier. A server whose answers are all spoilt is ejected nevertheless.
func TestSpoiltAnswersAreNoSignOfADeadServer(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	keep := b.connKeep
	for id := uint32(1); id <= 8; id++ {
		now := 100000 + float64(id)*100
		ask(b, now, id, "read", 9)
		b.Outcome(now+10, Outcome{ID: id, Server: h.last().server, Status: InvalidAnswer, Latency: 10, Load: NoLoad})
		if s := b.servers[h.sends[0].server]; id == 1 && (s.ejected || s.consecutiveFailures > 0 || b.connKeep != keep) {
			t.Fatalf("after %d: ejected %v, strikes %d, connections kept for %v", id, s.ejected, s.consecutiveFailures, b.connKeep)
		}
		for a := 1; h.answers(id) == 0; a++ {
			b.Outcome(now+20, Outcome{ID: id, Attempt: a, Server: h.last().server, Status: InvalidAnswer, Latency: 10, Load: NoLoad})
		}
	}
	if s := b.servers[h.sends[0].server]; !s.ejected {
		t.Error("a server whose answers are all spoilt is still in use")
	}
}

// If the origin's answer is spoilt on its way to the router, it is stored at the server where the key was
// missing. The request is retried there.
func TestSpoiltFetchIsAskedForWhereItIsStored(t *testing.T) {
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind = true, "origin"
	b, h := start(t, cfg, append(fleet(3), Entry{ID: 99, Kind: "origin"}))
	fetches := b.fetchLimit
	ask(b, 100010, 1, "read", 9)
	home := h.last().server
	b.Outcome(100020, Outcome{ID: 1, Server: home, Status: Miss, Latency: 10, Load: NoLoad})
	if h.last().server != 99 {
		t.Fatal("no fetch")
	}
	b.Outcome(100060, Outcome{ID: 1, Attempt: 1, Server: 99, Status: InvalidAnswer, Latency: 40, Load: NoLoad})
	if len(h.sends) != 3 || h.last().server != home || b.fetchLimit < fetches || b.keys[9].fetch != nil {
		t.Errorf("sends %v, fetch limit %v", h.sends, b.fetchLimit)
	}
}

// An ejected server gets a trial even without queues, when no request needs to look beyond the other
// servers.
func TestTrialComesWithoutAQueue(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	ask(b, 100010, 1, "read", 9)
	home := b.servers[h.last().server]
	b.Outcome(100015, Outcome{ID: 1, Server: home.ID, Status: OK, Latency: 5, Final: true, Load: NoLoad})
	b.observeHealth(home, Reset, 100020)
	if home.ejected { // a reset ends one connection only
		t.Fatal("ejected after one reset")
	}
	b.observeHealth(home, Reset, 100020)
	if !home.ejected {
		t.Fatal("two resets do not eject a server")
	}
	tried := false
	for i := range 40 {
		id, now := uint32(100+i), 100100+float64(i)*200
		ask(b, now, id, "read", 9)
		s := h.last()
		if s.server == home.ID && !tried {
			tried = true
			if now < home.trialAt {
				t.Errorf("trial before it was due")
			}
		}
		b.Outcome(now+10, Outcome{ID: id, Server: s.server, Status: OK, Latency: 10, Final: true, Load: NoLoad})
	}
	if !tried || home.ejected {
		t.Errorf("tried %v, ejected %v", tried, home.ejected)
	}
}

// If connections end everywhere, a healthy server has two or three failures in a row by chance, which must
// not eject it. One that fails every second attempt is still ejected soon, and a dead one sooner.
func TestFailuresCountAgainstTheFleets(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(9))
	rng := rand.New(rand.NewPCG(5, 5))
	out := 0
	for range 3000 {
		for _, s := range b.serverList {
			st := OK
			if rng.Float64() < 0.12 {
				st = Reset
			}
			if b.observeHealth(s, st, b.now); s.ejected {
				out++
			}
		}
	}
	if out > 15 { // of 27,000 outcomes
		t.Errorf("healthy servers were ejected after %d outcomes", out)
	}
	for _, c := range []struct {
		name    string
		fails   func(i int) bool
		atLeast int
		within  int
	}{{"every second", func(i int) bool { return i%2 == 0 }, 3, 40}, {"dead", func(int) bool { return true }, 4, 10}} {
		s := b.serverList[4]
		n := 0
		for s.suspicion, s.ejected = 0, false; !s.ejected && n < 1000; n++ {
			st := OK
			if c.fails(n) {
				st = Reset
			}
			b.observeHealth(s, st, b.now)
		}
		if n < c.atLeast || n > c.within {
			t.Errorf("%s: ejected after %d outcomes, want %d to %d", c.name, n, c.atLeast, c.within)
		}
	}
}

// Attempts in flight when a server is ejected may fail later. They are not failed trials, and the first
// pause stays short.
func TestOldAttemptsAreNoFailedTrials(t *testing.T) {
	b, _ := start(t, testConfig(), fleet(6))
	s := b.serverList[2]
	for range 2 {
		b.observeHealth(s, Reset, b.now)
	}
	if !s.ejected {
		t.Fatal("two resets do not eject a server of a quiet fleet")
	}
	trial := s.trialAt
	for range 10 {
		b.observeHealth(s, Reset, b.now)
		b.eject(s, true)
	}
	if s.trialAt != trial || s.trialOverdue != trial {
		t.Errorf("trial due at %.0f (%.0f), at %.0f (%.0f) after failures of older attempts", trial, trial, s.trialAt, s.trialOverdue)
	}
	b.now = trial + 1
	if b.observeHealth(s, Reset, b.now); s.trialAt <= trial+minEjectionPause {
		t.Errorf("a failed trial is followed by the next after %.0f ms", s.trialAt-trial)
	}
}

// Guards against judging a server by a light first request, which takes nearly as long as any other: its
// latency for a unit of work made the server look twenty times as slow as it is, and the server was hardly
// used for half a minute.
func TestFirstLatencyCountsForItsWork(t *testing.T) {
	cfg := testConfig()
	b, h := start(t, cfg, fleet(6))
	hint := func(id uint32, key uint64, hint float64) *server {
		b.Request(100000+float64(id), Request{ID: id, Class: "read", Key: key, HasKey: true, Left: 600, Hint: hint})
		s := h.last().server
		b.Outcome(100010+float64(id), Outcome{ID: id, Server: s, Status: OK, Latency: 10, Final: true, Load: NoLoad})
		return b.servers[s]
	}
	first := hint(1, 9, 100)
	for id := uint32(2); ; id++ { // the key of another server
		if id == 100 {
			t.Fatal("one server has all keys")
		}
		s := hint(id, uint64(id), 5)
		if s == first {
			continue
		}
		if s.latency.value > 30 {
			t.Errorf("latency of a unit of work %.0f ms, want about 10", s.latency.value)
		}
		return
	}
}

// Guards against a patience in proportion to the work, although a part of the latency doesn't depend on it:
// light requests were given up after a few milliseconds, and a pause of a server with four of them in flight
// looked like its death.
func TestLightRequestsGetThePatienceOfHalfAUnit(t *testing.T) {
	b, h := start(t, testConfig(), fleet(6))
	patience := func(id uint32, hint float64) float64 {
		b.Request(100010, Request{ID: id, Class: "read", Key: 9, HasKey: true, Left: 600, Hint: hint})
		s := h.last().server
		p := h.timers[len(h.timers)-1].after
		b.Outcome(100010, Outcome{ID: id, Server: s, Status: OK, Latency: 20, Final: true, Load: NoLoad})
		return p
	}
	patience(1, 100)
	half, light := patience(2, 50), patience(3, 5)
	if light < 0.9*half || light > 1.1*half {
		t.Errorf("patience %.0f ms for half a unit and %.0f for a twentieth", half, light)
	}
}
