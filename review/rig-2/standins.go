package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// command is what a cache server was sent.
type command struct {
	verb, key, id, class string
	facts                map[string]string
	length               int       // of a write's value
	first                time.Time // when its first byte came
}

// parse reads one command, without the value of a write.
func parse(r *bufio.Reader) (c command, err error) {
	if _, err = r.Peek(1); err != nil {
		return c, err
	}
	c.first = time.Now()
	line, err := r.ReadString('\n')
	if err != nil {
		return c, err
	}
	parts := strings.Fields(line)
	if len(parts) == 0 {
		return c, fmt.Errorf("an empty line")
	}
	c.verb, c.facts = parts[0], map[string]string{}
	if c.verb != "mg" && c.verb != "ms" {
		return c, nil
	}
	if len(parts) != 5 {
		return c, fmt.Errorf("%q", line)
	}
	c.key = parts[1]
	for _, f := range parts[3:] {
		switch f[0] {
		case 'O':
			c.id = f[1:]
		case 'P':
			for fact := range strings.SplitSeq(f[1:], ",") {
				name, v, _ := strings.Cut(fact, "=")
				c.facts[name] = v
			}
		}
	}
	c.class = c.facts["c"]
	if c.verb == "ms" {
		c.length, err = strconv.Atoi(parts[2])
	}
	return c, err
}

// cache is a stand-in for a cache server. It answers every command after lag, unless write does.
type cache struct {
	w        *world
	id, addr string
	ln       net.Listener
	lag      time.Duration
	// valueBytes is the length of the values; 0 = a short text.
	valueBytes int
	got        func(*cache, command) // called with each request; nil = nobody is told
	// write reads the value of a write, whose first bytes may stand in body, and answers; end: the connection is closed
	// without a word more. nil = as a sound server.
	write func(c *cache, conn net.Conn, cmd command, body io.Reader) (text string, end bool)

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func (w *world) newCache(id, addr string) *cache {
	c := &cache{w: w, id: id, addr: addr, lag: 3 * time.Millisecond, conns: map[net.Conn]bool{}}
	c.listen()
	w.atEnd(c.stop)
	return c
}

// listen starts the server, on a free port unless it had one.
func (c *cache) listen() {
	at := c.addr
	if at == "" {
		at = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		panic(unable{err.Error()})
	}
	c.ln, c.addr = ln, ln.Addr().String()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
}

// stop ends the server as a process that dies.
func (c *cache) stop() {
	c.ln.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.Close()
	}
}

// served is the answer of a sound server.
func (c *cache) served(cmd command) string {
	if cmd.verb == "ms" {
		return fmt.Sprintf("HD O%s cR-%s\r\n", cmd.id, cmd.id)
	}
	v := "value of " + cmd.key + " for " + cmd.id
	if c.valueBytes > 0 {
		v += strings.Repeat(".", c.valueBytes-len(v))
	}
	return fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(v), cmd.id, v)
}

func (c *cache) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		cmd, err := parse(r)
		if err != nil {
			return
		}
		switch cmd.verb {
		case "mg", "ms":
		case "mn":
			fmt.Fprint(conn, "MN\r\n")
			continue
		default:
			fmt.Fprint(conn, "ERROR\r\n")
			continue
		}
		if c.got != nil {
			c.got(c, cmd)
		}
		text, end := "", false
		switch {
		case cmd.verb == "ms" && c.write != nil:
			ahead, _ := r.Peek(min(r.Buffered(), cmd.length+2))
			text, end = c.write(c, conn, cmd, bytes.NewReader(bytes.Clone(ahead)))
			r.Discard(len(ahead)) //nolint:errcheck // it is there
		case cmd.verb == "ms":
			if _, err := io.CopyN(io.Discard, r, int64(cmd.length+2)); err != nil {
				return
			}
			fallthrough
		default:
			time.Sleep(c.lag)
			text = c.served(cmd)
		}
		if end {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// listed is an entry of the list of servers.
type listed struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is what discovery answers.
type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []listed `json:"servers"`
}

// discovery is the service that tells routers of servers.
type discovery struct {
	w    *world
	addr string

	mu      sync.Mutex
	version int64
	entries []listed
	server  *http.Server
}

func (w *world) newDiscovery(entries ...listed) *discovery {
	d := &discovery{w: w, version: 1, entries: entries}
	d.up()
	w.atEnd(d.down)
	return d
}

// entryOf is the entry of a cache server that has run for long.
func entryOf(c *cache, cell int) listed {
	return listed{ID: c.id, Addr: c.addr, Zone: "rades", Kind: "std-1c", Cell: cell, State: "active", Weight: 1}
}

// up starts the service, at the address that it had.
func (d *discovery) up() {
	at := d.addr
	if at == "" {
		at = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		panic(unable{err.Error()})
	}
	d.addr = ln.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: time.Minute}
	d.mu.Lock()
	d.server = s
	d.mu.Unlock()
	go s.Serve(ln) //nolint:errcheck // it ends with down
}

// down ends the service: watches end, and nobody listens.
func (d *discovery) down() {
	d.mu.Lock()
	s := d.server
	d.mu.Unlock()
	s.Close()
}

// full returns the whole list.
func (d *discovery) full() list {
	l := list{Version: d.version, Full: true, Servers: []listed{}}
	for _, e := range d.entries {
		if e.State != "left" {
			l.Servers = append(l.Servers, e)
		}
	}
	return l
}

func (d *discovery) handle(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	d.mu.Lock()
	l := d.full()
	d.mu.Unlock()
	if after, err := strconv.ParseInt(q.Get("after"), 10, 64); err == nil {
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		d.w.notef("discovery: a watch after version %d for %d ms begins", after, wait)
		end, stop := context.WithTimeout(r.Context(), time.Duration(min(wait, 60000))*time.Millisecond)
		defer stop()
		<-end.Done() // the list does not change in these cases
		l = list{Version: l.Version, Servers: []listed{}}
	} else {
		d.w.notef("discovery: a call for the whole list")
	}
	rw.Header().Set("Content-Type", "application/json")
	d.w.notef("discovery: answers version %d, %d entries, full %v", l.Version, len(l.Servers), l.Full)
	json.NewEncoder(rw).Encode(l) //nolint:errcheck // the router may have gone
}

// client is a connection of a client.
type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// answer is what a client got.
type answer struct {
	line, value string
}

// read reads one answer, until a time.
func (c *client) read(until time.Time) (a answer, err error) {
	c.conn.SetReadDeadline(until)
	line, err := c.r.ReadString('\n')
	if err != nil {
		return answer{line: line}, err
	}
	a.line = strings.TrimRight(line, "\r\n")
	if parts := strings.Fields(a.line); len(parts) > 1 && parts[0] == "VA" {
		n, err := strconv.Atoi(parts[1])
		if err != nil {
			return a, err
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(c.r, b); err != nil {
			return a, err
		}
		a.value = string(b[:n])
	}
	return a, nil
}
