package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["window"] = window }

const (
	dedupWindow = 1000                   // ms for which all servers drop repeats of a key, by the settings
	longValue   = 16 << 10               // bytes of a value
	resetAfter  = 750 * time.Millisecond // a connection is reset under a request that has begun
	readTime    = 500 * time.Millisecond // that a slow server takes to read a value, less what comes with the command's line
	writes      = 8
	piece       = 1 << 10 // bytes that a slow server reads at a time
)

// group is what the servers of a group remember together: the first run of each idempotency key.
type group struct {
	w *world

	mu    sync.Mutex
	first map[string]time.Time // last byte of the attempt that ran first
	tries map[string]int
	twice []string
}

// arrives books an attempt whose first byte has come, and returns its number.
func (g *group) arrives(k string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tries[k]++
	return g.tries[k]
}

// runs books an attempt that is whole: it runs unless its key is still remembered.
func (g *group) runs(c *cache, k, id string, number int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	first, known := g.first[k]
	switch since := now.Sub(first); {
	case !known:
		g.first[k] = now
		g.w.notef("%s: attempt %d of %s is whole and runs, key %s", c.id, number, id, k)
	case since <= dedupWindow*time.Millisecond+socketSlack:
		g.w.notef("%s: attempt %d of %s is whole %v after the first and is dropped as a repeat", c.id, number, id, since.Round(time.Millisecond))
	default:
		g.w.notef("%s: attempt %d of %s is whole %v after the first, the key is forgotten: it RUNS AGAIN", c.id, number, id, since.Round(time.Millisecond))
		g.twice = append(g.twice, id)
	}
}

// pacedConn hands out what a peer sends at a pace, in pieces.
type pacedConn struct {
	net.Conn
	pace func() time.Duration // of a piece; 0 = at once
}

func (p pacedConn) Read(b []byte) (int, error) {
	if wait := p.pace(); wait > 0 {
		time.Sleep(wait)
		return p.Conn.Read(b[:min(len(b), piece)])
	}
	return p.Conn.Read(b)
}

// window: the connection of a keyed write is reset after it has run, and the server of the repeat reads slowly. The rule:
// no effect happens twice.
func window(w *world) {
	g := &group{w: w, first: map[string]time.Time{}, tries: map[string]int{}}
	var entries []listed
	for i := range 4 {
		c := w.newCache(fmt.Sprintf("s-%08x", 0x5be2a070+i), "")
		c.write = func(c *cache, conn net.Conn, cmd command, body io.Reader) (string, bool) {
			k := cmd.facts["k"]
			number := g.arrives(k)
			in := pacedConn{conn, func() time.Duration { return 0 }}
			if number > 1 && w.trouble {
				conn.(*net.TCPConn).SetReadBuffer(8 << 10) //nolint:errcheck // it only makes the pace exact
				in.pace = func() time.Duration { return readTime / (longValue / piece) }
			}
			began := time.Now()
			if _, err := io.CopyN(io.Discard, io.MultiReader(body, in), int64(cmd.length+2)); err != nil {
				w.notef("%s: attempt %d of %s ends before its last byte: %v", c.id, number, cmd.id, err)
				return "", true
			}
			w.notef("%s: attempt %d of %s, d=%s, took %v to come", c.id, number, cmd.id, cmd.facts["d"], time.Since(began).Round(time.Millisecond))
			g.runs(c, k, cmd.id, number)
			if number == 1 && w.trouble {
				time.Sleep(resetAfter)
				conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the close is then a reset
				w.notef("%s: the connection of attempt 1 of %s is reset", c.id, cmd.id)
				return "", true
			}
			return c.served(cmd), false
		}
		entries = append(entries, entryOf(c, i))
	}
	d := w.newDiscovery(entries...)
	listen := freeAddr()
	d.mu.Lock()
	known := d.full()
	d.mu.Unlock()
	settings := asked(2, 0)
	settings["discovery"] = "push"
	settings["categories"] = []object{
		{"name": "read-status", "effect": "repeatable", "target": 600, "hardLimit": 2500, "gain": 5, "lateWorth": 0},
		{"name": "order-poll", "effect": "by_key", "keyScope": "all", "window": dedupWindow, "target": 1000, "hardLimit": 2500, "gain": 2, "lateWorth": 0}}
	w.router("n0", listen, d.addr, known, settings)
	awaitReady(listen, 10*time.Second)
	stop := make(chan struct{})
	served, _, wait := w.load(listen, "c", 6, 20*time.Millisecond, stop)
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	for i := range writes {
		clients.Go(func() {
			c, err := dial(listen)
			if err != nil {
				panic(unable{err.Error()})
			}
			defer c.conn.Close()
			id := fmt.Sprintf("w%d", i)
			w.notef("client: sends %s, a keyed write of %d bytes", id, longValue)
			fmt.Fprintf(c.conn, "ms %016x %d O%s Pc=order-poll,d=1500,k=key%d\r\n%s\r\n", uint64(i+1)*0x9e3779b97f4a7c15, longValue, id, i, strings.Repeat("x", longValue))
			a, err := c.read(time.Now().Add(6 * time.Second))
			w.notef("client: %s is answered %q %v", id, a.line, err)
		})
		time.Sleep(700 * time.Millisecond)
	}
	clients.Wait()
	close(stop)
	wait()
	if served.Load() < 300 {
		panic(unable{"the load did not run"})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	w.notef("%d reads served; %d of %d writes ran twice", served.Load(), len(g.twice), writes)
	if len(g.twice) > 0 {
		w.breakf("%d keyed writes ran twice: %v", len(g.twice), g.twice)
	}
}
