package standin

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/pure/slots"
)

var quick = Capacity{Workers: 2, Work: 1, Queue: 10}

func startFleet(t *testing.T, cfg FleetConfig) *Fleet {
	t.Helper()
	if cfg.Sites == nil {
		cfg.Sites = []string{"a", "b"}
	}
	if cfg.Origin.Workers == 0 {
		cfg.Origin.Capacity = quick
	}
	f, err := StartFleet(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// peer is a router's connection.
type peer struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func connect(t *testing.T, addr string) *peer {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &peer{c, t, bufio.NewReader(c)}
}

// ask sends a command and returns the answer's first line, "EOF" where the connection ends.
func (p *peer) ask(line string) string {
	p.t.Helper()
	io.WriteString(p, line+"\r\n")
	got, err := p.r.ReadString('\n')
	if err != nil {
		return "EOF"
	}
	return strings.TrimSpace(got)
}

func fetch(t *testing.T, f *Fleet, method, key, id string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+f.Origin.Addr()+"/"+key, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", id)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return string(body)
}

// A miss, the origin's value, a hit; a write drops the copy. Each is on record.
func TestLookAside(t *testing.T) {
	f := startFleet(t, FleetConfig{Servers: 2, Cache: quick, Keep: 100})
	p := connect(t, f.Caches()[0].Addr())
	if got := p.ask("mg k v O1 Pd=100"); !strings.HasPrefix(got, "EN O1 h0 Lqps=") {
		t.Errorf("a miss: %q", got)
	}
	if got := fetch(t, f, "GET", "k", "1"); got != Value("k", "1", "db") {
		t.Errorf("the origin: %q", got)
	}
	v := Value("k", "2", "c-01")
	if got := p.ask("mg k v O2 Pd=100"); !strings.HasPrefix(got, fmt.Sprintf("VA %d O2 h1 L", len(v))) {
		t.Errorf("a hit: %q", got)
	}
	if got, _ := p.r.ReadString('\n'); got != v+"\r\n" {
		t.Errorf("its value: %q", got)
	}
	if got := connect(t, f.Caches()[1].Addr()).ask("mg k v O3 Pd=100"); !strings.HasPrefix(got, "EN") {
		t.Errorf("a server that did not ask: %q", got)
	}
	if got := fetch(t, f, "PUT", "k", "4"); got != "r4" {
		t.Errorf("a write: %q", got)
	}
	if got := p.ask("mg k v O5 Pd=100"); !strings.HasPrefix(got, "EN") {
		t.Errorf("after a write: %q", got)
	}
	var runs []string
	for _, r := range f.Record().Runs() {
		runs = append(runs, r.Server+" "+r.Verb+" "+r.ID)
	}
	if want := []string{"db mg 1", "c-01 mg 2", "db ms 4"}; !slices.Equal(runs, want) {
		t.Errorf("on record: %q, want %q", runs, want)
	}
	if got := p.ask("mn"); got != "MN" {
		t.Errorf("mn: %q", got)
	}
	if got := p.ask("stats load"); !strings.HasPrefix(got, "STAT qps ") {
		t.Errorf("stats: %q", got)
	}
}

// Each way of failing, as a router sees it, and whether the request has run.
func TestModes(t *testing.T) {
	f := startFleet(t, FleetConfig{Servers: 1, Cache: quick, Keep: 100})
	c := f.Caches()[0]
	c.store("k")
	for i, m := range []struct {
		mode Mode
		want string // a beginning; "silence" = nothing within a while
		runs int
	}{{Serves, "VA ", 1}, {Drains, "SERVER_ERROR busy", 0}, {Drops, "EOF", 0}, {Cuts, "EOF", 1}, {Hangs, "silence", 0}, {Silent, "silence", 1}} {
		c.Set(m.mode)
		p := connect(t, c.Addr())
		id := fmt.Sprint("m", i)
		if m.want == "silence" {
			io.WriteString(p, "mg k v O"+id+" Pd=1\r\n")
			waitFor(t, "the run", func() bool { return f.Record().Times(id) == m.runs })
			p.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if _, err := p.r.ReadByte(); err == nil || err == io.EOF {
				t.Errorf("%s: no silence: %v", m.mode, err)
			}
			continue
		}
		if got := p.ask("mg k v O" + id + " Pd=1"); !strings.HasPrefix(got, m.want) {
			t.Errorf("%s: %q, want %q", m.mode, got, m.want)
		}
		if n := f.Record().Times(id); n != m.runs {
			t.Errorf("%s: ran %d times, want %d", m.mode, n, m.runs)
		}
	}
	p := connect(t, c.Addr())
	c.Set(Dead)
	if got := p.ask("mn"); got != "EOF" {
		t.Errorf("dead: %q", got)
	}
	if _, err := net.Dial("tcp", c.Addr()); err == nil {
		t.Error("a dead server takes connections")
	}
	addr := c.Addr()
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	if s := c.State(); s.Addr != addr || s.Keys != 0 || s.Mode != Serves {
		t.Errorf("restarted: %+v", s)
	}
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// The model gives the same times from the same seed, turns away what its queue has no room for, and a cold server that is
// given too much for too long falls over, a warm one never.
func TestModel(t *testing.T) {
	c := Capacity{Workers: 2, Work: 10, Queue: 3, Cold: 8000, ColdFrom: 0.3, FallMult: 3, FallFor: 200}
	history := func(seed uint64) (out []float64) {
		m := newModel(c, seed, math.Inf(-1))
		for i := range 50 {
			d, ok := m.arrive(float64(i))
			if !ok {
				d = -1
			}
			out = append(out, d)
		}
		return out
	}
	a := history(1)
	if !slices.Equal(a, history(1)) || slices.Equal(a, history(2)) {
		t.Error("times do not follow from the seed alone")
	}
	if !slices.Contains(a, -1) || a[0] < 5 || a[0] > 100 {
		t.Errorf("times %v", a)
	}
	c.Queue = 1e6
	for _, h := range []struct {
		started, every float64
		falls          bool
	}{{0, 20, false}, {0, 2, true}, {math.Inf(-1), 2, false}} { // it can do 2 ms of work each ms, when warm
		m := newModel(c, 1, h.started)
		for at := 0.0; at < 3000; at += h.every {
			m.arrive(at)
		}
		if m.fallen != h.falls {
			t.Errorf("started %v, one each %v ms: fallen %v", h.started, h.every, m.fallen)
		}
	}
	m := newModel(c, 1, 0)
	if w := []float64{m.warmth(0), m.warmth(4000), m.warmth(8000)}; w[0] != 0.3 || math.Abs(w[1]-0.65) > 1e-9 || w[2] != 1 {
		t.Errorf("warmth %v", w)
	}
}

// The origin stops when more than its ceiling is out, and goes on after that.
func TestOriginStops(t *testing.T) {
	f := startFleet(t, FleetConfig{Servers: 1, Cache: quick, Keep: 10,
		Origin: OriginConfig{Capacity: Capacity{Workers: 1, Work: 5, Queue: 1000}, Ceiling: 10, StopFor: 300}})
	began := time.Now()
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() { fetch(t, f, "GET", "k", fmt.Sprint(i)) })
	}
	wg.Wait()
	s := f.Origin.State()
	if s.Stops == 0 || s.Most <= 10 || s.Asked != 20 || time.Since(began) < 300*time.Millisecond {
		t.Errorf("after %v: %+v", time.Since(began), s)
	}
}

// The record is bounded, and counts what it holds.
func TestRecordIsBounded(t *testing.T) {
	r := newRecord(3)
	for i := range 10 {
		r.add(Run{ID: fmt.Sprint(i % 4)})
	}
	if got := r.Runs(); len(got) != 3 || got[0].ID != "3" || got[2].ID != "1" || r.Times("2") != 0 || r.Times("0") != 1 || len(r.times) != 3 {
		t.Errorf("holds %+v, counts %v", got, r.times)
	}
}

// What a stand-in reads is hostile too: it ends or answers, and goes on serving others.
func FuzzCache(f *testing.F) {
	f.Add([]byte("mg k v O1 Pd=1\r\nms k 99999999999 O2 P\r\n"))
	f.Add([]byte("ms k 3 O2 Pd=1\r\nabc\r\nstats load\r\n"))
	fleet, err := StartFleet(FleetConfig{Servers: 1, Sites: []string{"a"}, Cache: Capacity{Workers: 8, Work: 0.01, Queue: 1000}, Keep: 10,
		Origin: OriginConfig{Capacity: quick}})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(fleet.Close)
	f.Fuzz(func(t *testing.T, in []byte) {
		c, err := net.Dial("tcp", fleet.Caches()[0].Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write(in)
		c.(*net.TCPConn).CloseWrite()
		c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("it neither answers nor ends: %v", err)
		}
	})
}

// A primary that is emptied owns nothing, keeps no key, and sends on whoever still comes.
func TestEmptiedPrimary(t *testing.T) {
	c, err := StartCluster(ClusterConfig{Primaries: 3, Seed: 1, Keep: 100})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	a, b, d := c.Nodes()[0], c.Nodes()[1], c.Nodes()[2]
	s := &session{}
	key := ""
	for i := 0; key == ""; i++ {
		if k := fmt.Sprint("k", i); c.Owner(slots.ForKey([]byte(k))) == a {
			key = k
		}
	}
	if text, _, _ := a.run(s, []string{"SET", key, "v"}); string(text) != "+OK\r\n" {
		t.Fatalf("%q", text)
	}
	before := c.Epoch()
	at := c.Empty(a, b, d)
	if c.IsPrimary(a) || c.Epoch() != before+1 {
		t.Error("it still owns slots, or nobody has heard")
	}
	if text, _, _ := a.run(s, []string{"GET", key}); !strings.HasPrefix(string(text), "-MOVED ") || a.Touched() < at {
		t.Errorf("%q, touched %v before %v", text, a.Touched(), at)
	}
	if text, _, _ := c.Owner(slots.ForKey([]byte(key))).run(s, []string{"GET", key}); string(text) != "$1\r\nv\r\n" {
		t.Errorf("at the new owner: %q", text)
	}
}

// The rate that a server reports is that of what it gets: with none reported no router knows what a server can do.
func TestReportedRate(t *testing.T) {
	m := newModel(Capacity{Workers: 1, Work: 1, Queue: 10}, 1, math.Inf(-1))
	for now := 10.0; now <= 5000; now += 10 {
		m.arrive(now)
	}
	if m.measure(5000); m.rate < 90 || m.rate > 110 {
		t.Errorf("100 a second come, %.1f are reported", m.rate)
	}
}

// A server's report of its load says what it can do, at little load and at much: of its workers' time, not of what arrivals find.
func TestReportedLoadIsRight(t *testing.T) {
	for _, share := range []float64{0.2, 0.5, 0.8} {
		m, rng := newModel(Capacity{Workers: 2, Work: 10, Queue: 1000}, 3, math.Inf(-1)), rand.New(rand.NewPCG(1, 5))
		now, busy, rate, n := 0.0, 0.0, 0.0, 0.0
		for now < 200e3 {
			now += rng.ExpFloat64() * 1000 / (share * 200)
			if _, ok := m.arrive(now); ok && now > 10e3 {
				busy, rate, n = busy+m.busy, rate+m.rate, n+1
			}
		}
		if busy, rate := busy/n, rate/n; math.Abs(busy-share) > 0.05 || math.Abs(rate/busy-200) > 15 {
			t.Errorf("at %.0f%% of 200 a second: %.1f a second, %.3f busy", 100*share, rate, busy)
		}
	}
}
