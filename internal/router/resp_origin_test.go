package router

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/standin"
)

// behind starts a cluster of two with an origin behind it, and a router. Requests for a key that the test has not asked
// for itself come from the way that it waits until the router is ready.
func behind(t *testing.T, answer func(line string) string) (*standin.Cluster, *fake, *running) {
	t.Helper()
	c, o := startCluster(t, 2, 0), startFake(t, func(line string) string {
		if strings.Contains(line, "/ready ") {
			return httpAnswer("404 Not Found", "")
		}
		return answer(line)
	})
	return c, o, serveRESP(t, c, fmt.Sprintf("[pool.resp.origin]\naddress = %q\nkeep_ms = 60000\n", o.Addr))
}

// asked is how often the origin was asked for a key so far.
func asked(o *fake, key string) (n int) {
	for {
		select {
		case line := <-o.Seen:
			if strings.Contains(line, "/"+key+" ") {
				n++
			}
		default:
			return n
		}
	}
}

func hold(release <-chan struct{}, answer string) func(string) string {
	return func(string) string { <-release; return answer }
}

// readers has clients send a command at once. What it gives waits for their answers and counts those that are as wanted.
func readers(t *testing.T, r *running, n int, command, want string) (count func() int64) {
	t.Helper()
	var wg sync.WaitGroup
	var right atomic.Int64
	for range n {
		p := dialRESP(t, r.addr)
		wg.Go(func() {
			if p.ask(command) == want {
				right.Add(1)
			}
		})
	}
	return func() int64 {
		wg.Wait()
		return right.Load()
	}
}

// A nil is a miss: the origin's value is answered, and stored where the key belongs. The next read finds it there.
func TestOriginBehindACluster(t *testing.T) {
	c, o, r := behind(t, func(string) string { return httpAnswer("200 OK", "fresh") })
	p := dialRESP(t, r.addr)
	if got := p.ask("GET k"); got != "fresh" {
		t.Fatalf("got %q", got)
	}
	until(t, "stored", func() bool { return c.Record().Times("SET", "k", "fresh", "PX", "60000", "NX") == 1 })
	if got := p.ask("GET k"); got != "fresh" {
		t.Errorf("got %q", got)
	}
	if n := asked(o, "k"); n != 1 {
		t.Errorf("the origin was asked %d times", n)
	}
	for _, s := range [][2]string{{"SET k mine", "+OK"}, {"GET k", "mine"}, {"INCR n", ":1"}, {"STRLEN none", ":0"}, {"EXISTS none", ":0"}} {
		if got := p.ask(s[0]); got != s[1] { // writes and what is no GET are the servers' alone
			t.Errorf("%s: %q, want %q", s[0], got, s[1])
		}
	}
	if n := asked(o, "none") + asked(o, "n"); n != 0 {
		t.Errorf("the origin was asked %d times for what is no GET", n)
	}
}

// What the origin has not is nil, however many ask: they don't wait for each other's fetches.
func TestOriginHasNone(t *testing.T) {
	var out, most atomic.Int64
	_, _, r := behind(t, func(string) string {
		for n := out.Add(1); ; {
			if m := most.Load(); n <= m || most.CompareAndSwap(m, n) {
				break
			}
		}
		time.Sleep(20 * time.Millisecond) // others come meanwhile
		out.Add(-1)
		return httpAnswer("404 Not Found", "no")
	})
	dialRESP(t, r.addr).ask("GET none")
	if n := readers(t, r, 20, "GET none", "$-1")(); n != 20 || most.Load() < 2 {
		t.Errorf("%d of 20 are nil, by %d fetches at once at most", n, most.Load())
	}
}

// Many readers of a key that no server has: one fetch, and each is served.
func TestOneFetchForManyReaders(t *testing.T) {
	release := make(chan struct{})
	c, o, r := behind(t, hold(release, httpAnswer("200 OK", "fresh")))
	served := readers(t, r, 30, "GET hot", "fresh")
	until(t, "one has missed", func() bool { return c.Record().Times("GET", "hot") >= 1 })
	close(release)
	if k, n := served(), asked(o, "hot"); n != 1 || k != 30 {
		t.Errorf("%d fetches, %d of 30 served", n, k)
	}
}

// The store never delays the client and is never made twice, whatever becomes of it.
func TestStoreNeitherDelaysNorRepeats(t *testing.T) {
	for name, mode := range map[string]standin.Mode{"silent": standin.Silent, "cut": standin.Cuts, "hangs": standin.Hangs} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var node atomic.Pointer[standin.Node]
			c, _, r := behind(t, func(string) string {
				if n := node.Load(); n != nil {
					n.Set(mode) // from the store on
				}
				return httpAnswer("200 OK", "fresh")
			})
			n := c.Nodes()[0]
			key := keyAt(c, n, "k")
			node.Store(n)
			p, began := dialRESP(t, r.addr), time.Now()
			if got := p.ask("GET " + key); got != "fresh" || time.Since(began) > 400*time.Millisecond {
				t.Errorf("%q after %v", got, time.Since(began))
			}
			ran := 1
			if mode == standin.Hangs {
				ran = 0
			} else {
				until(t, "the store ran", func() bool { return c.Record().Times("SET", key) == 1 })
			}
			time.Sleep(400 * time.Millisecond) // beyond the store's time
			if got := c.Record().Times("SET", key); got != ran {
				t.Errorf("the store ran %d times, want %d", got, ran)
			}
		})
	}
}

// A value that was fetched before a client wrote is older than that, and never stored over it.
func TestNoStoreOverAClientsWrite(t *testing.T) {
	for _, write := range []string{"SET k mine", "DEL k", "DEL {k}other k", "MSET {k}a 1 k 2"} {
		t.Run(write, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			c, o, r := behind(t, hold(release, httpAnswer("200 OK", "old")))
			reader, writer := dialRESP(t, r.addr), dialRESP(t, r.addr)
			reader.send("GET k\r\n")
			until(t, "the fetch", func() bool { return asked(o, "k") == 1 })
			writer.ask(write)
			close(release)
			if got := reader.answer(); got != "old" {
				t.Errorf("the reader got %q", got)
			}
			if got := writer.ask("GET {k}x"); got != "old" { // stored in its turn, behind which a store of k would stand
				t.Errorf("got %q", got)
			}
			until(t, "the other store", func() bool { return c.Record().Times("SET", "{k}x", "old") == 1 })
			if n := c.Record().Times("SET", "k", "old"); n != 0 {
				t.Errorf("an old value was stored %d times", n)
			}
		})
	}
}

// The origin fails, stands still or speaks nonsense: one answer each, in time, and commands that need no origin go on.
func TestOriginInTrouble(t *testing.T) {
	for name, answer := range map[string]string{
		"busy": httpAnswer("503 Service Unavailable", "", "X-Unprocessed: 1"), "fails": httpAnswer("500 Oh", ""),
		"closes": "close", "silent": "", "nonsense": "what?\r\n\r\n", "too long": "HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, _, r := behind(t, func(string) string { return answer })
			p, began := dialRESP(t, r.addr), time.Now()
			if got := p.ask("GET k"); got != "-TRYAGAIN busy" && got != "-ERR failed: the command may have run" {
				t.Errorf("got %q", got)
			}
			if took := time.Since(began); took > 2100*time.Millisecond {
				t.Errorf("after %v", took)
			}
			if got := p.ask("SET other 1"); got != "+OK" {
				t.Errorf("a write: %q", got)
			}
			if got := p.ask("GET other"); got != "1" {
				t.Errorf("a read that hits: %q", got)
			}
			if n := c.Record().Times("SET", "k"); n != 0 {
				t.Errorf("%d stores", n)
			}
		})
	}
}

// A slot that moves between the miss and the store: the store goes to the new owner, once.
func TestStoreInAMigration(t *testing.T) {
	release := make(chan struct{})
	c, o, r := behind(t, hold(release, httpAnswer("200 OK", "fresh")))
	a, b := c.Nodes()[0], c.Nodes()[1]
	key := keyAt(c, a, "k")
	slot := slots.ForKey([]byte(key))
	p := dialRESP(t, r.addr)
	p.send("GET " + key + "\r\n")
	until(t, "the fetch", func() bool { return asked(o, key) == 1 })
	c.Migrate(slot, b)
	c.Finish(slot)
	close(release)
	if got := p.answer(); got != "fresh" {
		t.Errorf("got %q", got)
	}
	until(t, "the store", func() bool { return c.Record().Times("SET", key) == 1 })
	ran, _ := c.Record().All()
	for _, x := range ran {
		if x.Args[0] == "SET" && x.Node != b.Addr() {
			t.Errorf("stored at %s", x.Node)
		}
	}
	if got := p.ask("GET " + key); got != "fresh" {
		t.Errorf("got %q", got)
	}
}
