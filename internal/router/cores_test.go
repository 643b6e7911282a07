package router

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/standin"
)

// onCores is serving with several engines, on which connections spread: it gives some.
func onCores(t *testing.T, cores, conns int, entries ...member.Entry) (*running, *standin.Directory, []*client) {
	t.Helper()
	d := startDirectory(t, full(entries...))
	cfg := testConfig(t, d.Listener.Addr().String(), member.List{})
	cfg.Cores, cfg.Limits.Sockets = cores, 4096 // with room on each engine, wherever connections land
	r := start(t, cfg)
	var cs []*client
	for range conns {
		c := dial(t, r.addr)
		for c.ask("mn") != "MN" {
		}
		cs = append(cs, c)
	}
	return r, d, cs
}

// The same id sent to several engines at once: one takes it, the others say that it is open, and it runs once.
func TestSameIDOnTwoEngines(t *testing.T) {
	release := make(chan struct{})
	s := startFake(t, func(line string) string { <-release; return hit(line) })
	_, _, cs := onCores(t, 4, 12, box("s-0000000b", s.Addr), originAt(s.Addr))
	for round := range 5 {
		for _, c := range cs {
			c.send(read(fmt.Sprint("same", round), 2000) + "\r\n")
		}
		next(t, s.Seen, "the one that is taken")
		doubled := make(chan bool, len(cs))
		for _, c := range cs {
			go func() { doubled <- strings.HasPrefix(c.line(), "CLIENT_ERROR ") }()
		}
		for range len(cs) - 1 { // all but the one that waits
			if !next(t, doubled, "answer") {
				t.Error("a second one was taken")
			}
		}
		release <- struct{}{}
		if next(t, doubled, "the answer of the one that was taken") {
			t.Error("none was served")
		}
		if len(s.Seen) != 0 {
			t.Errorf("round %d: %d more were passed on", round, len(s.Seen))
		}
	}
}

// A list reaches all engines: from half a second after it nobody sends to a server that it drains, and all use the new one.
func TestListsReachAllEngines(t *testing.T) {
	var old, fresh atomic.Int64
	var lastOld atomic.Int64
	a := startFake(t, func(l string) string { old.Add(1); lastOld.Store(time.Now().UnixMicro()); return hit(l) })
	b := startFake(t, func(l string) string { fresh.Add(1); return hit(l) })
	_, d, cs := onCores(t, 4, 16, box("s-0000000b", a.Addr), originAt(a.Addr))
	var wg sync.WaitGroup
	var stop atomic.Bool
	for i, c := range cs {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				got := c.ask(read(fmt.Sprintf("c%d-%d", i, n), 2000))
				if !strings.HasPrefix(got, "VA ") && got != "SERVER_ERROR busy" { // the new one may be held back while it is unknown
					t.Errorf("got %q", got)
					return
				}
			}
		})
	}
	until(t, "load", func() bool { return old.Load() > 100 })
	drained := box("s-0000000b", a.Addr)
	drained.State = "leaving"
	at := time.Now()
	d.Change(drained, box("s-0000000c", b.Addr))
	until(t, "the new one is used", func() bool { return fresh.Load() > 1000 && time.Since(at) > 700*time.Millisecond })
	stop.Store(true)
	wg.Wait()
	if late := lastOld.Load() - at.Add(500*time.Millisecond).UnixMicro(); late > 0 {
		t.Errorf("the server that drains got a request %d us too late", late)
	}
}

// A key that alone is half of the load, on four engines: no engine knows what the others send, and still more than one server
// serves it, as one can't. Each server answers one request at a time.
func TestHotKeyOnFourEngines(t *testing.T) {
	var hot [4]atomic.Int64
	entries := []member.Entry{originAt("127.0.0.1:1")}
	for i := range hot {
		var one sync.Mutex
		s := startFake(t, func(l string) string {
			if strings.Contains(l, " 00000000000000aa ") {
				hot[i].Add(1)
			}
			one.Lock()
			defer one.Unlock()
			time.Sleep(500 * time.Microsecond)
			return hit(l)
		})
		entries = append(entries, box(fmt.Sprintf("s-%08x", 0xb+i), s.Addr))
	}
	_, _, cs := onCores(t, 4, 24, entries...)
	var served, other atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				key := fmt.Sprintf("%016x", 0x1000+n%500)
				if n%2 == 0 {
					key = "00000000000000aa"
				}
				switch got := c.ask(fmt.Sprintf("mg %s v Oc%d-%d Pc=read,t=t,d=2000", key, i, n)); {
				case strings.HasPrefix(got, "VA "):
					served.Add(1)
				case strings.HasPrefix(got, "SERVER_ERROR "):
					other.Add(1)
				default:
					t.Errorf("got %q", got)
				}
			}
		})
	}
	until(t, "load over some solves", func() bool { return served.Load() > 4000 })
	stop.Store(true)
	wg.Wait()
	sum, most, by := int64(0), int64(0), 0
	for i := range hot {
		n := hot[i].Load()
		if sum, most = sum+n, max(most, n); n > 20 {
			by++
		}
	}
	t.Logf("%d served, %d not; the hot key %d times, at most %d by one server, %d servers", served.Load(), other.Load(), sum, most, by)
	if by < 2 || most > sum*9/10 || other.Load() > served.Load()/4 {
		t.Errorf("%d of %d by one server, %d served, %d not", most, sum, served.Load(), other.Load())
	}
}

// A new configuration in the middle of a load reaches all engines: its class is taken on every connection, and no request is
// lost meanwhile.
func TestReloadUnderLoadOnAllEngines(t *testing.T) {
	s := startFake(t, hit)
	r, _, cs := onCores(t, 4, 16, box("s-0000000b", s.Addr), originAt(s.Addr))
	var asked, wrong atomic.Int64
	var stop atomic.Bool
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Go(func() {
			for n := 0; !stop.Load(); n++ {
				asked.Add(1)
				if got := c.ask(read(fmt.Sprintf("c%d-%d", i, n), 2000)); !strings.HasPrefix(got, "VA ") && got != "SERVER_ERROR busy" {
					wrong.Add(1)
					return
				}
			}
		})
	}
	until(t, "load", func() bool { return asked.Load() > 200 })
	next := *r.setup.Config
	next.Standalone = true // classes change in the program's own configuration alone
	m := &next.Checked.Config
	fast := m.Classes[0]
	fast.Name = "fast"
	m.Classes = append(slices.Clone(m.Classes), fast)
	r.updates <- Setup{Config: &next}
	n := 0
	until(t, "the new class on all engines", func() bool { // a connection that names an unknown class ends
		for range 16 {
			c := dial(t, r.addr)
			n++
			got := c.ask(fmt.Sprintf("mg 7f3a9c21e0b4d655 v Of%d Pc=fast,t=t,d=2000", n))
			c.Close()
			if !strings.HasPrefix(got, "VA ") {
				return false
			}
		}
		return true
	})
	stop.Store(true)
	wg.Wait()
	if wrong.Load() > 0 {
		t.Errorf("%d of %d were neither served nor refused", wrong.Load(), asked.Load())
	}
}

// A router that is told to stop in the middle of a load on all engines answers all that it has taken.
func TestStopUnderLoadOnAllEngines(t *testing.T) {
	s := startFake(t, func(l string) string { time.Sleep(2 * time.Millisecond); return hit(l) })
	r, _, cs := onCores(t, 4, 16, box("s-0000000b", s.Addr), originAt(s.Addr))
	var served, ended atomic.Int64
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Go(func() {
			for n := 0; ; n++ {
				switch got := c.ask(read(fmt.Sprintf("c%d-%d", i, n), 2000)); {
				case strings.HasPrefix(got, "VA "):
					served.Add(1)
				case got == "EOF":
					ended.Add(1)
					return
				case got != "SERVER_ERROR busy": // refused, which is an answer
					t.Errorf("got %q", got)
					return
				}
			}
		})
	}
	until(t, "load", func() bool { return served.Load() > 200 })
	r.stop()
	if err := next(t, r.done, "end of the router"); err != nil {
		t.Error(err)
	}
	wg.Wait()
	if ended.Load() != int64(len(cs)) {
		t.Errorf("%d of %d connections ended", ended.Load(), len(cs))
	}
}

// An engine that falls behind refuses what it can't serve, in time: none of its clients waits in silence. The server answers
// one request at a time, so nine in ten of a load that waits for nothing are too many.
func TestEngineThatFallsBehindRefusesInTime(t *testing.T) {
	var one sync.Mutex
	s := startFake(t, func(l string) string { one.Lock(); defer one.Unlock(); time.Sleep(5 * time.Millisecond); return hit(l) })
	_, _, cs := onCores(t, 4, 16, box("s-0000000b", s.Addr), originAt(s.Addr))
	var served, refused, failed, late atomic.Int64
	var wg sync.WaitGroup
	for i, c := range cs {
		const each, deadline = 40, 600
		at := make([]time.Time, each)
		wg.Go(func() {
			for n := range each { // all at once: answers come in the order of the commands
				at[n] = time.Now()
				c.send(read(fmt.Sprintf("c%d-%d", i, n), deadline) + "\r\n")
			}
			for n := range each {
				switch got := c.line(); {
				case strings.HasPrefix(got, "VA "):
					served.Add(1)
				case strings.HasPrefix(got, "SERVER_ERROR busy"):
					refused.Add(1)
				case got == "SERVER_ERROR failed":
					failed.Add(1)
				default:
					t.Errorf("got %q", got)
				}
				// Of a connection 16 are taken at once, so the last wait for two and a half rounds before them.
				if time.Since(at[n]) > time.Duration(n/16+1)*(deadline+300)*time.Millisecond {
					late.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if late.Load() > 0 || refused.Load()+failed.Load() < 100 || served.Load() < 10 {
		t.Errorf("%d served, %d refused, %d failed, %d late", served.Load(), refused.Load(), failed.Load(), late.Load())
	}
}

// Requests that wait on a server that hangs, as many as there are places, are not felt by those on other servers: each of
// these is answered while none of those is.
func TestHangingServerIsNotFeltByOthers(t *testing.T) {
	ps, key, hang := besideAHang(t, 4)
	waiting := hang()
	began := time.Now()
	for range 20 {
		for _, p := range ps {
			if got := p.ask("GET " + key); got != "1" {
				t.Fatalf("got %q after %v", got, time.Since(began))
			}
		}
	}
	for _, p := range waiting[:50] { // each has its answer by its deadline
		for range 16 {
			if got := p.answer(); got != "-TRYAGAIN busy" && got != "-ERR failed: the command may have run" {
				t.Fatalf("a request that waited: %q", got)
			}
		}
	}
}

// besideAHang is a cluster of two nodes behind a router, peers that have got their answers, a key of one node, and what
// has the other one hang with 10,240 commands at it.
func besideAHang(t testing.TB, cores int) (ps []*peer, key string, hang func() (waiting []*peer)) {
	t.Helper()
	c := startCluster(t, 2, 0)
	setup := respSetup(t, c.Nodes()[0].Addr(), "[limits]\ndescriptors = 16384\nmemory_mb = 512")
	setup.Cores = cores
	r := startSetup(t, setup)
	hangs, lives := c.Nodes()[0], c.Nodes()[1]
	key = keyAt(c, lives, "lives")
	for range 16 {
		p := dialRESP(t, r.addr)
		until(t, "ready", func() bool { return p.ask("SET "+key+" 1") == "+OK" })
		ps = append(ps, p)
	}
	return ps, key, func() (waiting []*peer) {
		hangs.Set(standin.Hangs)
		for i := range 640 { // 16 each: they wait, or are refused at the limit of attempts
			p := dialRESP(t, r.addr)
			for n := range 16 {
				p.send(fmt.Sprintf("INCR %s\r\n", keyAt(c, hangs, fmt.Sprintf("h%d-%d-", i, n))))
			}
			waiting = append(waiting, p)
		}
		return waiting
	}
}

// BenchmarkBesideAHang compares the times of reads at one node before the other hangs and while it does, with some 10,000
// commands that wait at it: 16 clients, each with a read every 4 ms.
func BenchmarkBesideAHang(b *testing.B) {
	ps, key, hang := besideAHang(b, 1)
	times := func(d time.Duration) (p50, p99 float64) {
		all := make(chan []float64, len(ps))
		end := time.Now().Add(d)
		for i, p := range ps {
			go func() {
				var ms []float64
				for due := time.Now().Add(time.Duration(i) * 250 * time.Microsecond); due.Before(end); due = due.Add(4 * time.Millisecond) {
					time.Sleep(time.Until(due))
					if got := p.ask("GET " + key); got != "1" {
						b.Errorf("got %q", got)
					}
					ms = append(ms, float64(time.Since(due).Microseconds())/1000)
				}
				all <- ms
			}()
		}
		var ms []float64
		for range ps {
			ms = append(ms, <-all...)
		}
		slices.Sort(ms)
		return ms[len(ms)/2], ms[len(ms)*99/100]
	}
	times(500 * time.Millisecond)
	b.ResetTimer()
	for b.Loop() {
		was50, was99 := times(2 * time.Second)
		began := time.Now()
		hang()
		sent := time.Since(began)
		is50, is99 := times(2 * time.Second)
		b.Logf("alone p50 %.2f, p99 %.2f ms; beside the hang (sent in %v) %.2f, %.2f", was50, was99, sent, is50, is99)
		b.ReportMetric(is99/was99, "p99_ratio")
	}
}

// Clients that take no answers cost bounded memory, whatever engines they are on, and others go on being served.
func TestSlowReadersOnAllEngines(t *testing.T) {
	value := strings.Repeat("v", 60<<10)
	s := startFake(t, func(string) string { return fmt.Sprintf("VA %d O{id} h1\r\n%s\r\n", len(value), value) })
	d := startDirectory(t, full(box("s-0000000b", s.Addr), originAt(s.Addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), member.List{})
	cfg.Cores, cfg.Limits.MemoryMB = 4, 64
	r := start(t, cfg)
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 60 {
		p := dial(t, r.addr)
		for n := range 16 {
			p.send(read(fmt.Sprintf("slow%d-%d", i, n), 2000) + "\r\n")
		}
	}
	quick := dial(t, r.addr)
	served := 0
	for n := range 200 {
		if got := quick.ask(read(fmt.Sprint("quick", n), 2000)); strings.HasPrefix(got, "VA ") {
			served++
		} else if !strings.HasPrefix(got, "SERVER_ERROR ") {
			t.Fatalf("got %.40q", got)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > cfg.Limits.MemoryMB<<20 {
		t.Errorf("the heap grew by %d MB", grown>>20)
	}
	t.Logf("%d of 200 served beside them", served)
}

// A write that comes to one engine keeps what another has fetched before it from being stored.
func TestNoStoreOverAWriteOfAnotherEngine(t *testing.T) {
	c := startCluster(t, 2, 0)
	release := make(chan struct{})
	o := startFake(t, func(line string) string {
		if strings.Contains(line, "/ready ") {
			return httpAnswer("404 Not Found", "")
		}
		<-release
		return httpAnswer("200 OK", "old")
	})
	setup := respSetup(t, c.Nodes()[0].Addr(), fmt.Sprintf("[pool.resp.origin]\naddress = %q\nkeep_ms = 60000\n", o.Addr))
	setup.Cores = 4
	r := startSetup(t, setup)
	var ps []*peer
	for range 8 {
		p := dialRESP(t, r.addr)
		until(t, "ready", func() bool { return !strings.HasPrefix(p.ask("GET ready"), "-LOADING") })
		ps = append(ps, p)
	}
	ps[0].send("GET k\r\n")
	until(t, "the fetch", func() bool { return asked(o, "k") == 1 })
	for _, p := range ps[1:] { // on whichever engine each is
		if got := p.ask("DEL k"); got != ":0" {
			t.Errorf("%q", got)
		}
	}
	close(release)
	if got := ps[0].answer(); got != "old" {
		t.Errorf("the reader got %q", got)
	}
	if got := ps[0].ask("GET {k}x"); got != "old" {
		t.Errorf("got %q", got)
	}
	until(t, "the other store", func() bool { return c.Record().Times("SET", "{k}x", "old") == 1 })
	if n := c.Record().Times("SET", "k", "old"); n != 0 {
		t.Errorf("an old value was stored %d times", n)
	}
}

// The engines of a pool hold no more together than one would.
func TestSharesOfEngines(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", member.List{})
	s := Setup{Config: cfg}
	var held, queued int64
	for i := range 4 {
		e, err := newEngine(s, newLinks(s, 10), s.shared(4).of(i))
		if err != nil {
			t.Fatal(err)
		}
		held, queued = held+e.HeldBytes.Limit(), queued+e.QueuedBytes.Limit()
	}
	if memory := cfg.Limits.MemoryMB << 20; held > memory/16 || queued > memory/8 || held == 0 {
		t.Errorf("%d and %d of %d bytes", held, queued, memory)
	}
}
