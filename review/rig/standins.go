package main

import (
	"bufio"
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

// entry is a server in the list of discovery.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// arrival is a command that a server got.
type arrival struct {
	at      float64 // of its first byte
	id, key string
}

// cacheServer is a cache server of the meta protocol that holds every key.
type cacheServer struct {
	r    *run
	id   string
	addr string

	mu       sync.Mutex
	arrivals []arrival
}

func (r *run) startCache(id string) (*cacheServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &cacheServer{r: r, id: id, addr: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *cacheServer) entry() entry {
	return entry{ID: s.id, Addr: s.addr, Zone: "a", Kind: "box", State: "active", Weight: 1}
}

// serve answers the commands of a connection.
func (s *cacheServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := s.r.now()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		f := strings.Fields(line)
		switch {
		case len(f) == 5 && f[0] == "mg":
			s.mu.Lock()
			s.arrivals = append(s.arrivals, arrival{at, f[3][1:], f[1]})
			s.mu.Unlock()
			s.r.noteAt(at, s.id, "got  "+strings.TrimSpace(line))
			value := "value-" + f[1]
			fmt.Fprintf(c, "VA %d %s h1\r\n%s\r\n", len(value), f[3], value)
		case len(f) == 1 && f[0] == "mn":
			fmt.Fprint(c, "MN\r\n")
		default:
			fmt.Fprint(c, "ERROR\r\n")
		}
	}
}

// after returns what came after a time.
func (s *cacheServer) after(at float64) (out []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at > at {
			out = append(out, a)
		}
	}
	return out
}

// origin is the origin. While it hangs it takes requests and answers none.
type origin struct {
	r    *run
	addr string

	mu    sync.Mutex
	hangs bool
}

func (r *run) startOrigin() (*origin, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &origin{r: r, addr: ln.Addr().String()}
	go http.Serve(ln, o) //nolint:errcheck // it runs until the process ends
	return o, nil
}

func (o *origin) setHangs(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.hangs = on
}

func (o *origin) entry() entry {
	return entry{ID: "s-000000ff", Addr: o.addr, Zone: "a", Kind: "origin", State: "active", Weight: 1}
}

// ServeHTTP implements http.Handler.
func (o *origin) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" || q.URL.Path == "/load" {
		return
	}
	io.Copy(io.Discard, q.Body) //nolint:errcheck // the value does not matter
	o.r.note("origin", fmt.Sprintf("got  %s %s id=%s", q.Method, q.URL.Path, q.Header.Get("X-Correlation-Id")))
	o.mu.Lock()
	hangs := o.hangs
	o.mu.Unlock()
	if hangs {
		<-q.Context().Done()
		return
	}
	time.Sleep(20 * time.Millisecond)
	if q.Method == http.MethodPut {
		fmt.Fprint(w, "r"+q.Header.Get("X-Correlation-Id"))
		return
	}
	fmt.Fprint(w, "value-"+strings.TrimPrefix(q.URL.Path, "/"))
}

// watch is a call of a router that waits for changes.
type watch struct {
	at     float64 // when it came
	wait   float64 // seconds
	silent bool    // it has fallen silent: nothing more comes on its connection
}

// discovery is the discovery service.
type discovery struct {
	r    *run
	addr string

	mu      sync.Mutex
	version int64
	servers []entry
	changed map[string]int64 // version of the last change, by id
	wake    chan struct{}    // closed at each change
	watches map[*watch]struct{}
}

func (r *run) startDiscovery(servers []entry) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{r: r, addr: ln.Addr().String(), version: 1, servers: servers, changed: map[string]int64{}, wake: make(chan struct{}), watches: map[*watch]struct{}{}}
	go http.Serve(ln, d) //nolint:errcheck // it runs until the process ends
	return d, nil
}

// setState changes the state of a server.
func (d *discovery) setState(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for i := range d.servers {
		if d.servers[i].ID == id {
			d.servers[i].State = state
		}
	}
	d.changed[id] = d.version
	close(d.wake)
	d.wake = make(chan struct{})
	d.r.note("discovery", fmt.Sprintf("version %d: %s is %s", d.version, id, state))
}

// open returns the watches that wait now and have not fallen silent.
func (d *discovery) open() (out []*watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		if !w.silent {
			out = append(out, w)
		}
	}
	return out
}

// silence makes the watches that wait now fall silent.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range d.watches {
		w.silent = true
	}
	d.r.note("discovery", fmt.Sprintf("%d open watch(es) fall silent; new calls are answered", len(d.watches)))
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseInt(q.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	waitMS, _ := strconv.ParseFloat(q.URL.Query().Get("wait_ms"), 64)
	d.r.note("discovery", "call "+q.URL.RequestURI())
	call := &watch{at: d.r.now(), wait: min(waitMS, 60000) / 1000}
	d.mu.Lock()
	d.watches[call] = struct{}{}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, call)
		d.mu.Unlock()
	}()
	over := time.After(time.Duration(call.wait * float64(time.Second)))
	for {
		d.mu.Lock()
		silent, version, wake := call.silent, d.version, d.wake
		reply := d.list(after)
		d.mu.Unlock()
		if silent {
			<-q.Context().Done() // the caller has closed the connection
			return
		}
		if after < 0 || version > after {
			d.answer(w, reply)
			return
		}
		select {
		case <-wake:
		case <-over:
			d.mu.Lock()
			silent = call.silent
			d.mu.Unlock()
			if !silent {
				d.answer(w, reply)
				return
			}
		case <-q.Context().Done():
			return
		}
	}
}

// list returns the whole list, or what changed after a version. The caller holds mu.
func (d *discovery) list(after int64) object {
	if after < 0 {
		return object{"version": d.version, "full": true, "servers": append([]entry{}, d.servers...)}
	}
	out := []entry{}
	for _, s := range d.servers {
		if d.changed[s.ID] > after {
			out = append(out, s)
		}
	}
	return object{"version": d.version, "full": false, "servers": out}
}

func (d *discovery) answer(w http.ResponseWriter, reply object) {
	text, err := json.Marshal(reply)
	if err != nil {
		return
	}
	d.r.note("discovery", "answer "+string(text))
	w.Write(text) //nolint:errcheck // the caller may have gone
}
