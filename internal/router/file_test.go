package router

import (
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/standin"
)

// fileSite is a router whose servers come from a watched file.
type fileSite struct {
	t     testing.TB
	path  string
	lines []string // a server's line each, in the file now
	r     *running
}

func serverLine(id, addr, site, more string) string {
	return fmt.Sprintf("{id = %q, addr = %q, site = %q%s}", id, addr, site, more)
}

func (f *fileSite) text() string {
	return "servers = [\n  " + strings.Join(f.lines, ",\n  ") + "\n]\nend = " + fmt.Sprint(len(f.lines)) + "\n"
}

func (f *fileSite) write(text string) {
	f.t.Helper()
	if err := os.WriteFile(f.path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

const fileConfigText = `site = "a"
[attempts]
cancel = false
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 500
deadline_ms = 2000
[[class]]
name = "bill"
effect = "once"
aim_ms = 500
deadline_ms = 2000
[[tenant]]
name = "t"
share_per_s = 10000
[[pool]]
name = "p"
listen = "127.0.0.1:0"
[pool.servers]
file = "servers.toml"
gone_share = 1
[end]
`

// serveFile starts a router over a server file with these lines.
func serveFile(t testing.TB, lines ...string) *fileSite {
	t.Helper()
	dir := t.TempDir()
	f := &fileSite{t: t, path: filepath.Join(dir, "servers.toml"), lines: lines}
	f.write(f.text())
	file, faults := config.ParseFile(filepath.Join(dir, "c.toml"), []byte(fileConfigText))
	if faults != nil {
		t.Fatal(faults)
	}
	setup, err := Open(file.Pools[0], nil)
	if err != nil {
		t.Fatal(err)
	}
	f.r = startSetup(t, setup)
	c := dial(t, f.r.addr)
	for c.ask("mn") != "MN" {
	}
	return f
}

// A server is taken out of the file while 200 requests are in flight: each has exactly one final answer, and the last
// request that the drained server got came within the grace.
func TestRemovalWithRequestsInFlight(t *testing.T) {
	var last atomic.Int64 // Unix ns of the last request that the drained server got
	slow := func(record bool) func(string) string {
		return func(line string) string {
			if record {
				last.Store(time.Now().UnixNano())
			}
			time.Sleep(20 * time.Millisecond) // its work: the requests are in flight meanwhile
			return hit(line)
		}
	}
	out, stays, o := startFake(t, slow(true)), startFake(t, slow(false)), startFake(t, originOK)
	f := serveFile(t, serverLine("out", out.Addr, "a", ""), serverLine("stays", stays.Addr, "a", ""), serverLine("db", o.Addr, "a", `, kind = "origin"`))
	stop := make(chan struct{})
	var sent, answered, inFlight, most atomic.Int64
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			c := dial(t, f.r.addr)
			for n := 0; ; n++ {
				select {
				case <-stop:
					c.nothingMore() // one answer each, and none twice
					return
				default:
				}
				id := fmt.Sprintf("%x-%x", i, n)
				most.Store(max(most.Load(), inFlight.Add(1)))
				sent.Add(1)
				got := c.ask(fmt.Sprintf("mg %016x v O%s Pc=read,t=t,d=2000", 7919*(i+1)*(n+1), id))
				inFlight.Add(-1)
				if got != "VA 5 O"+id+" hello" && !strings.HasPrefix(got, "SERVER_ERROR") {
					t.Errorf("answer %q", got)
					return
				}
				answered.Add(1)
			}
		})
	}
	until(t, "200 in flight and the server in use", func() bool { return most.Load() >= 180 && last.Load() > 0 })
	f.lines = f.lines[1:]
	f.write(f.text())
	whole := time.Now()
	until(t, "the drained server at rest", func() bool { return time.Since(time.Unix(0, last.Load())) > 700*time.Millisecond })
	close(stop)
	wg.Wait()
	if sent.Load() != answered.Load() {
		t.Errorf("%d requests, %d answers", sent.Load(), answered.Load())
	}
	if late := time.Unix(0, last.Load()).Sub(whole); late > 500*time.Millisecond {
		t.Errorf("the drained server got a request %v after the whole file was there", late)
	}
}

// The router over a file that is cut at places of an edit goes on with the old list, and takes the new one whole.
func TestRouterOverHalfAFile(t *testing.T) {
	l := catchLog(t)
	a, b, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	f := serveFile(t, serverLine("a", a.Addr, "a", ""), serverLine("db", o.Addr, "a", `, kind = "origin"`))
	c := dial(t, f.r.addr)
	f.lines = []string{serverLine("b", b.Addr, "a", ""), serverLine("db", o.Addr, "a", `, kind = "origin"`)}
	whole := f.text()
	for i, cut := range []int{0, 20, len(whole) / 2, len(whole) - 9} {
		f.write(whole[:cut])
		until(t, "the reason", func() bool { return l.Has("the list in use stays") })
		if got := c.ask(read(fmt.Sprint("x", i), 2000)); !strings.HasPrefix(got, "VA 5") {
			t.Errorf("cut at %d: %q", cut, got)
		}
	}
	if len(b.Seen) > 0 {
		t.Error("a server of half a list got a request")
	}
	f.write(whole)
	next(t, a.Ended, "end of the connection to the server that has gone")
	n := 0
	until(t, "an answer of the new server, which is cold", func() bool {
		n++
		return strings.HasPrefix(c.ask(read(fmt.Sprint("y", n), 2000)), "VA 5")
	})
	next(t, b.Seen, "request at the new server")
}

// A lowered weight counts from then on: the server's keys go elsewhere, and no others move.
func TestLoweredWeight(t *testing.T) {
	catchLog(t)
	fakes := []*fake{startFake(t, hit), startFake(t, hit), startFake(t, hit)}
	o := startFake(t, originOK)
	lines := func(weight string) []string {
		var out []string
		for i, s := range fakes {
			more := ""
			if i == 0 {
				more = weight
			}
			out = append(out, serverLine(fmt.Sprint("s", i), s.Addr, "a", more))
		}
		return append(out, serverLine("db", o.Addr, "a", `, kind = "origin"`))
	}
	f := serveFile(t, lines("")...)
	c := dial(t, f.r.addr)
	n := 0
	placed := func() map[int]int { // key to server, each asked for once
		at := map[int]int{}
		for key := range 300 {
			n++
			c.ask(fmt.Sprintf("mg %016x v Ok%d Pc=read,t=t,d=2000", 7919*(key+1), n))
			for i, s := range fakes {
				select {
				case <-s.Seen:
					at[key] = i
				default:
				}
			}
		}
		return at
	}
	share := func(at map[int]int) (first int) {
		for _, i := range at {
			if i == 0 {
				first++
			}
		}
		return first
	}
	before := placed()
	f.lines = lines(", weight = 0.25")
	f.write(f.text())
	var after map[int]int
	until(t, "the lower weight", func() bool { after = placed(); return share(after) < share(before)*2/3 })
	after = placed() // all of them since
	if n, m := share(before), share(after); n < 60 || m < 3 || m > n/2 {
		t.Errorf("%d of 300 keys at a weight of 1, %d at 0.25", n, m)
	}
	moved := 0
	for key, i := range before {
		if i != 0 && after[key] != i {
			moved++
		}
	}
	if moved > 15 { // a few requests may be placed by load
		t.Errorf("%d keys of the other servers moved", moved)
	}
}

// Where nobody tells of starts, a server that refused connections and answers again counts as cold.
func TestRestartIsInferred(t *testing.T) {
	catchLog(t)
	fleet, err := standin.StartFleet(standin.FleetConfig{Servers: 2, Sites: []string{"a"}, Keep: 1,
		Cache:  standin.Capacity{Workers: 4, Work: 2, Queue: 50},
		Origin: standin.OriginConfig{Capacity: standin.Capacity{Workers: 8, Work: 2, Queue: 50}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	var lines []string
	for _, e := range fleet.Entries() {
		lines = append(lines, serverLine(e.ID, e.Addr, e.Zone, fmt.Sprintf(", kind = %q", e.Kind)))
	}
	l := catchLog(t)
	f := serveFile(t, lines...)
	c := dial(t, f.r.addr)
	n := 0
	ask := func() {
		n++
		c.ask(fmt.Sprintf("mg %016x v Oq%d Pc=read,t=t,d=2000", 7919*(n%50+1), n))
	}
	for range 100 {
		ask()
	}
	fleet.Caches()[0].Set(standin.Dead)
	for range 50 {
		ask()
	}
	if l.Has("started anew") {
		t.Error("taken for started anew while it is dead")
	}
	if err := fleet.Caches()[0].Restart(); err != nil {
		t.Fatal(err)
	}
	until(t, "the restart", func() bool { ask(); return l.Has("taken as started anew, cold") })
}

// A new configuration of the program's own changes classes; requests of a class that is gone are told so.
func TestNewClasses(t *testing.T) {
	catchLog(t)
	s, o := startFake(t, hit), startFake(t, originOK)
	f := serveFile(t, serverLine("a", s.Addr, "a", ""), serverLine("db", o.Addr, "a", `, kind = "origin"`))
	file, faults := config.ParseFile(filepath.Join(filepath.Dir(f.path), "c.toml"), []byte(strings.Replace(fileConfigText, `"read"`, `"fetch"`, 1)))
	if faults != nil {
		t.Fatal(faults)
	}
	next := f.r.setup
	next.Config = file.Pools[0]
	f.r.updates <- next
	until(t, "the new class", func() bool {
		c := dial(t, f.r.addr)
		return strings.HasPrefix(c.ask("mg 0000000000000001 v Oa1 Pc=fetch,t=t,d=2000"), "VA 5")
	})
	if got := dial(t, f.r.addr).ask(read("b1", 2000)); !strings.HasPrefix(got, "CLIENT_ERROR") {
		t.Errorf("the old class: %q", got)
	}
}

// BenchmarkListOnTheLoop gives the time that the loop spends on a list of 10,000 servers, of which a tenth change: the
// part of a new list that stands in the way of requests.
func BenchmarkListOnTheLoop(b *testing.B) {
	file, faults := config.ParseFile("c.toml", []byte(fileConfigText))
	if faults != nil {
		b.Fatal(faults)
	}
	e, err := newEngine(Setup{Config: file.Pools[0]}, newLinks(Setup{Config: file.Pools[0]}, 100), Setup{Config: file.Pools[0]}.alone())
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(b.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	defer func() { stop(); <-ended }()
	l, lists := &router{Engine: e}, [2]member.List{}
	for i := range 11000 {
		e := member.Entry{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("127.1.%d.%d:1", i/250, i%250+1), Zone: "a", Kind: "cache", State: "active", Weight: 1}
		if i < 10000 {
			lists[0].Servers = append(lists[0].Servers, e)
		}
		if i >= 1000 {
			lists[1].Servers = append(lists[1].Servers, e)
		}
	}
	var most time.Duration
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		began := time.Now()
		look(e, func() { l.list(decide.Full, lists[i%2]) })
		most = max(most, time.Since(began))
	}
	b.ReportMetric(float64(most.Microseconds())/1000, "most-ms")
}

// BenchmarkEditsMemory makes a thousand edits and gives the growth of memory that is in use after them.
func BenchmarkEditsMemory(b *testing.B) {
	catchLog(b)
	s, o := startFake(b, hit), startFake(b, originOK)
	f := serveFile(b, serverLine("a", s.Addr, "a", ""), serverLine("db", o.Addr, "a", `, kind = "origin"`))
	inUse := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapInuse) / 1024
	}
	text := f.text()
	edit := func(n int) {
		ctx, stop := context.WithTimeout(b.Context(), 2*time.Minute)
		defer stop()
		for i := range n {
			f.write(strings.Replace(text, "servers =", fmt.Sprintf("# %d\nservers =", i), 1))
			time.Sleep(60 * time.Millisecond) // 1,000 a minute, each of which stands long enough to be taken
			if ctx.Err() != nil {
				b.Fatal("too slow")
			}
		}
	}
	edit(50)
	before, grown := inUse(), math.Inf(-1)
	for b.Loop() {
		edit(1000)
		grown = inUse() - before
	}
	b.ReportMetric(grown, "grown-KiB")
}
