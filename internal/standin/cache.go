package standin

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Mode is how a server behaves.
type Mode int

// The modes of a server.
const (
	Serves Mode = iota
	Hangs       // reads commands, works on none and says nothing
	Silent      // works on commands and says nothing: they have run
	Cuts        // ends connections in the middle of an answer
	Drops       // ends connections when a command has come, without working on it
	Drains      // turns new commands away
	Dead        // nothing listens, connections are reset
)

var modeNames = [...]string{"up", "hung", "silent", "cuts", "drops", "drains", "dead"}

func (m Mode) String() string { return modeNames[m] }

// Cache is a cache server of the meta protocol. It holds keys and makes each value for the request that asks.
type Cache struct {
	ID, Site string

	fleet *Fleet
	cap   Capacity
	seed  uint64
	addr  string

	mu    sync.Mutex
	ln    net.Listener // nil = dead
	mode  Mode
	model *model
	keys  map[string]struct{}
	conns map[net.Conn]struct{}
	runs  int64 // requests worked on
	hits  int64
	away  int64 // requests turned away
	wg    sync.WaitGroup
}

// listen listens, with TLS where there is any.
func listen(addr string, t *tls.Config) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil || t == nil {
		return ln, err
	}
	return tls.NewListener(ln, t), nil
}

// maxKeys bounds the keys that a stand-in holds; a full one forgets any.
const maxKeys = 1 << 20

// maxConns bounds the connections to a stand-in; more are closed at once.
const maxConns = 4096

// Addr is the address on loopback, the same after a restart.
func (c *Cache) Addr() string { return c.addr }

// listen starts the process. A cold one starts now, another started long ago.
func (c *Cache) listen(cold bool) error {
	ln, err := listen(c.addr, c.fleet.tls)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", c.ID, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	started := math.Inf(-1)
	if cold {
		started = c.fleet.now()
	}
	c.addr, c.ln, c.mode, c.model = ln.Addr().String(), ln, Serves, newModel(c.cap, c.seed, started)
	c.keys, c.conns = map[string]struct{}{}, map[net.Conn]struct{}{}
	c.wg.Go(func() { c.accept(ln) })
	return nil
}

func (c *Cache) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		if c.ln != ln || len(c.conns) >= maxConns {
			c.mu.Unlock()
			conn.Close()
			continue
		}
		c.conns[conn] = struct{}{}
		c.mu.Unlock()
		c.wg.Go(func() { c.serve(conn) })
	}
}

// Set changes how the server behaves from now on. Dead ones start again by Restart.
func (c *Cache) Set(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m == Dead {
		c.die()
		return
	}
	if c.mode != Dead {
		c.mode = m
	}
}

// die ends the process. The caller holds mu.
func (c *Cache) die() {
	if c.ln == nil {
		return
	}
	c.ln.Close()
	c.ln, c.mode = nil, Dead
	for conn := range c.conns {
		if t, ok := conn.(*net.TCPConn); ok {
			t.SetLinger(0) //nolint:errcheck // as the system does for a process that has died
		}
		conn.Close()
	}
}

// Restart starts a dead server again, cold and without its keys.
func (c *Cache) Restart() error {
	c.mu.Lock()
	up := c.ln != nil
	c.mu.Unlock()
	if up {
		return nil
	}
	return c.listen(true)
}

// close ends the server and waits for what it has started.
func (c *Cache) close() {
	c.Set(Dead)
	c.wg.Wait()
}

// CacheState is what a stand-in shows of itself.
type CacheState struct {
	ID, Site, Addr   string
	Mode             Mode
	Fallen           bool // it was pushed over while cold
	Runs, Hits, Away int64
	Keys             int
	Busy, Warmth     float64 // shares
}

// State is what the server shows of itself now.
func (c *Cache) State() CacheState {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.fleet.now()
	c.model.measure(now)
	return CacheState{ID: c.ID, Site: c.Site, Addr: c.addr, Mode: c.mode, Fallen: c.model.fallen, Runs: c.runs, Hits: c.hits, Away: c.away,
		Keys: len(c.keys), Busy: c.model.busy, Warmth: c.model.warmth(now)}
}

// store keeps a key.
func (c *Cache) store(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys) >= maxKeys {
		for k := range c.keys {
			delete(c.keys, k)
			break
		}
	}
	if c.ln != nil {
		c.keys[key] = struct{}{}
	}
}

// drop forgets a key.
func (c *Cache) drop(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.keys, key)
}

// work takes a command: when its answer is due, whether it is a hit, and how the server behaves. ok is false where it is
// turned away.
func (c *Cache) work(id, key, verb string) (due float64, hit bool, m Mode, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m = c.mode
	if m == Hangs || m == Drops || m == Dead {
		return 0, false, m, false
	}
	if m == Drains {
		c.away++
		return 0, false, m, false
	}
	if due, ok = c.model.arrive(c.fleet.now()); !ok {
		c.away++
		return 0, false, m, false
	}
	if c.model.fallen {
		c.die()
		return 0, false, Dead, false
	}
	c.runs++
	if _, hit = c.keys[key]; hit || c.fleet.full {
		hit = true
		c.hits++
	}
	if hit || verb == "ms" {
		c.fleet.ran(c.ID, id, verb, key)
	}
	return due, hit, m, true
}

// serve answers the commands of a connection, one after the other.
func (c *Cache) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	r := bufio.NewReaderSize(conn, 4096)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		f := strings.Fields(string(line))
		if len(f) > 2 && f[0] == "ms" {
			n, err := strconv.ParseUint(f[2], 10, 17)
			if err != nil {
				return
			}
			if _, err := r.Discard(int(n) + 2); err != nil {
				return
			}
		}
		text, err := c.answer(conn, f)
		if err != nil {
			io.WriteString(conn, text) //nolint:errcheck // what is left of a cut answer
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// errEnd ends a connection.
var errEnd = errors.New("the connection ends")

// answer works on a command and gives the answer, once it is due.
func (c *Cache) answer(conn net.Conn, f []string) (string, error) {
	switch {
	case len(f) == 1 && f[0] == "mn":
		return "MN\r\n", nil
	case len(f) == 2 && f[0] == "stats" && f[1] == "load":
		return c.stats(), nil
	case len(f) < 4 || f[0] != "mg" && f[0] != "ms":
		return "ERROR\r\n", nil
	}
	id := IDOf(strings.Join(f, " "))
	due, hit, m, ok := c.work(id, f[1], f[0])
	switch {
	case m == Drops || m == Dead:
		return "", errEnd
	case m == Hangs:
		return "", c.hang(conn)
	case !ok:
		return "SERVER_ERROR busy\r\n", nil
	}
	c.fleet.sleep(due)
	if m == Silent {
		return "", c.hang(conn)
	}
	text := c.reply(f[0], id, f[1], hit)
	if m == Cuts {
		return text[:len(text)/2], errEnd
	}
	return text, nil
}

// hang says nothing until the connection ends.
func (c *Cache) hang(conn net.Conn) error {
	io.Copy(io.Discard, conn) //nolint:errcheck // its end is what is waited for
	return errEnd
}

func (c *Cache) reply(verb, id, key string, hit bool) string {
	load := c.load()
	switch {
	case verb == "ms":
		return "HD O" + id + " c" + receipt(id) + load + "\r\n"
	case !hit:
		c.fleet.missed(id, c)
		return "EN O" + id + " h0" + load + "\r\n"
	}
	v := Value(key, id, c.ID)
	return "VA " + strconv.Itoa(len(v)) + " O" + id + " h1" + load + "\r\n" + v + "\r\n"
}

// load is the flag with the server's load.
func (c *Cache) load() string {
	s := c.State()
	return fmt.Sprintf(" Lqps=%.1f,util=%.3f", c.qps(), s.Busy)
}

func (c *Cache) qps() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.model.rate
}

func (c *Cache) stats() string {
	s := c.State()
	return fmt.Sprintf("STAT qps %.1f\r\nSTAT util %.3f\r\nEND\r\n", c.qps(), s.Busy)
}

// Value is what a server makes for a request: nothing else is its answer.
func Value(key, id, server string) string { return key + " for " + id + " by " + server }

// receipt is what a write gets.
func receipt(id string) string { return "r" + id }

// clock is Unix time in ms that never runs backwards.
type clock struct{ start time.Time }

func (c clock) now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start).Microseconds())/1000
}

// sleep waits until a time.
func (c clock) sleep(until float64) {
	if d := until - c.now(); d > 0 {
		time.Sleep(time.Duration(d * float64(time.Millisecond)))
	}
}
