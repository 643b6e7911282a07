// Package backend keeps the connections to servers and makes attempts on them, one at a time on each, in whatever
// protocol a server speaks.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
)

// Protocol is what a server speaks. Its methods may be called from any goroutine.
type Protocol interface {
	// Command is what an attempt writes, made when its connection is up. An error says that the request can't be said in the
	// protocol; it comes before anything is written.
	Command(addr string, r *engine.Request, try engine.Try) ([]byte, error)
	// ReadAnswer reads the answer to it. With last the connection carries no further request; an error leaves it without use.
	ReadAnswer(in *bufio.Reader, addr string, r *engine.Request, try engine.Try) (a engine.Reply, last bool, err error)
	// Preamble is what is written ahead of the first command of a connection, and Opened reads the answer to it.
	Preamble() []byte
	ReadPreambleReply(in *bufio.Reader) error
	// Probe is what asks for the load; "" = it can't be asked.
	Probe(addr string) string
	// ReadLoad reads the answer to that.
	ReadLoad(in *bufio.Reader) (decide.Load, error)
	// ReuseDelay is how long a connection rests after an answer: where answers carry no id, a second copy of the last one that
	// comes a moment later must be there before the next request is, and not be taken for its answer.
	ReuseDelay() time.Duration
}

// target is a server at one address.
type target struct {
	pool    *Pool
	proto   Protocol
	addr    string
	idle    []*conn // longest idle first; guarded by pool.mu, as is what follows
	open    int     // its part of the pool's
	removed bool    // no connection to it is kept any more
}

// Pool keeps the connections to cache servers and origin.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	limit   int
	tls     TLS // nil = links are plain

	mu      sync.Mutex
	open    int // connections open or being opened
	targets map[*target]struct{}
	closed  bool                        // nothing is kept any more
	streams map[*streamedValue]struct{} // values that are passing
}

// NewPool keeps at most limit connections to all servers together. Servers close connections that stand idle for
// connIdle; one that is not up within connectTimeout has failed.
func NewPool(connIdle, connectTimeout time.Duration, limit int) *Pool {
	u := &Pool{limit: limit, targets: map[*target]struct{}{}, streams: map[*streamedValue]struct{}{}}
	u.dialer.Timeout = connectTimeout
	u.dialer.KeepAlive = -1
	// A request written to a connection that the server has just closed ends as a reset: be well ahead of it.
	u.maxIdle = connIdle - min(connIdle/4, time.Second)
	return u
}

// SetTLS has links to servers carry TLS. It is called before the first Link.
func (u *Pool) SetTLS(t TLS) { u.tls = t }

// SetLimit changes how many connections there may be at most. Idle ones are closed where there are more; those with an attempt out end
// by themselves, and no new one is opened until then.
func (u *Pool) SetLimit(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = max(1, n)
	for u.open > u.limit && u.evict() {
	}
}

// Limit is how many connections there may be at most.
func (u *Pool) Limit() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limit
}

// tlsSerial is that of the material of new connections.
func (u *Pool) tlsSerial() int {
	if u.tls == nil {
		return 0
	}
	return u.tls.Serial()
}

// Endpoint is the way to the server at an address that speaks a protocol.
func (u *Pool) Endpoint(addr string, p Protocol) engine.Endpoint { return u.add(addr, p) }

func (u *Pool) add(addr string, p Protocol) *target {
	t := &target{pool: u, proto: p, addr: addr}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.targets[t] = struct{}{}
	return t
}

// Remove lets a target go once its attempts are back.
func (t *target) Remove() {
	u := t.pool
	u.mu.Lock()
	t.removed = true
	delete(u.targets, t)
	u.mu.Unlock()
	t.CloseIdle()
}

// CloseIdle closes the idle connections to a target.
func (t *target) CloseIdle() {
	u := t.pool
	u.mu.Lock()
	old := t.idle
	t.idle = nil
	t.addOpen(-len(old))
	u.mu.Unlock()
	closeAll(old)
}

// addOpen books connections that are opened, or with n below 0 closed. The caller holds mu.
func (t *target) addOpen(n int) {
	t.pool.open += n
	t.open += n
}

func closeAll(cs []*conn) {
	for _, c := range cs {
		c.Close()
	}
}

// Sweep closes connections that have stood idle for long, until ctx ends.
func (u *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.mu.Lock()
			defer u.mu.Unlock()
			u.closed = true
			for t := range u.targets {
				closeAll(t.idle)
				t.addOpen(-len(t.idle))
				t.idle = nil
			}
			for l := range u.streams {
				l.Discard()
			}
			return
		case <-tick.C:
		}
		var old []*conn
		serial := u.tlsSerial()
		u.mu.Lock()
		for t := range u.targets {
			before := len(t.idle)
			t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
				dead := time.Since(c.idleSince) >= u.maxIdle || c.tlsSerial != serial
				if dead {
					old = append(old, c)
				}
				return dead
			})
			t.addOpen(len(t.idle) - before)
		}
		u.mu.Unlock()
		closeAll(old)
	}
}

// takeIdle takes a kept connection to t for an attempt, nil where there is none. The one that has been idle for longest, so that a
// peak's connections stay in use: taking the latest let the others run out, and twice as many handshakes, each work for the
// server, had to be made.
func (u *Pool) takeIdle(t *target) *conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(t.idle) > 0 && time.Since(t.idle[0].idleSince) >= t.proto.ReuseDelay() {
		c := t.idle[0]
		t.idle = slices.Delete(t.idle, 0, 1)
		if time.Since(c.idleSince) < u.maxIdle {
			return c
		}
		t.addOpen(-1)
		c.Close()
	}
	return nil
}

// reserve takes a place for one more connection to t, if there is any.
func (u *Pool) reserve(t *target) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if t.open >= u.maxPerTarget() || u.open >= u.limit && !u.evict() {
		return false
	}
	t.addOpen(1)
	return true
}

// dial opens a connection, whose place is taken. stop ends the opening.
func (u *Pool) dial(stop *engine.Canceler, t *target) (*conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop.OnCancel(cancel)
	defer stop.Detach()
	serial := u.tlsSerial() // ahead of the material: what changes meanwhile makes the connection an old one
	opened, err := u.dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	c, err := newConn(t, opened)
	if err != nil || u.tls == nil {
		return c, err
	}
	c.tlsSerial = serial
	if err := c.handshake(ctx, u.tls.Client(), u.dialer.Timeout); err != nil {
		c.Close()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return c, nil
}

// evict closes the connection that has been idle for longest. The caller holds mu.
func (u *Pool) evict() bool {
	var from *target
	for t := range u.targets {
		if len(t.idle) > 0 && (from == nil || t.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = t
		}
	}
	if from == nil {
		return false
	}
	from.idle[0].Close()
	from.idle = slices.Delete(from.idle, 0, 1)
	from.addOpen(-1)
	return true
}

// maxPerTarget is how many connections one server may have: where there are others, three quarters of all, or one that hangs would
// take the sockets that requests to the others need. That leaves the origin more than the module's bound on fetches (64) where
// descriptors are fewest. The caller holds mu.
func (u *Pool) maxPerTarget() int {
	if len(u.targets) < 2 {
		return u.limit
	}
	return max(1, u.limit*3/4)
}

// put keeps a connection for the next attempt, or closes it. It tells whether it is kept.
func (u *Pool) put(c *conn, reuse bool) bool {
	t := c.target
	reuse = reuse && c.tlsSerial == u.tlsSerial()
	u.mu.Lock()
	defer u.mu.Unlock()
	if reuse = reuse && !t.removed && !u.closed; reuse {
		c.idleSince = time.Now()
		t.idle = append(t.idle, c)
		return true
	}
	t.addOpen(-1)
	c.Close()
	return false
}

// discard lets a connection go that has ended, or brought what nobody asked for, while it was kept.
func (u *Pool) discard(c *conn) {
	t := c.target
	u.mu.Lock()
	defer u.mu.Unlock()
	if i := slices.Index(t.idle, c); i >= 0 { // else who took it out has counted it
		t.idle = slices.Delete(t.idle, i, i+1)
		t.addOpen(-1)
	}
	c.Close()
}

// Attempt is engine.Endpoint's. On a kept connection the command is written here, as far as that needs no waiting; where there is
// none, another is opened by a goroutine that reads from it from then on.
func (t *target) Attempt(stop *engine.Canceler, r *engine.Request, caller engine.AttemptHandler) (engine.Reply, bool) {
	return t.startTask(task{canceler: stop, request: r, handler: caller})
}

// startTask has some work done. It tells how that ended if it is known at once.
func (t *target) startTask(w task) (engine.Reply, bool) {
	u := t.pool
	for c := u.takeIdle(t); c != nil; c = u.takeIdle(t) {
		got := c.start(w)
		if got == started {
			return engine.Reply{}, false
		}
		if u.put(c, got.connReusable()); got != unusable {
			return engine.Reply{Status: startFailureStatus[got], Load: decide.NoLoad}, true
		}
	}
	if !u.reserve(t) {
		return engine.Reply{Status: decide.Ignored, Load: decide.NoLoad}, true
	}
	go t.connect(w)
	return engine.Reply{}, false
}

// connect opens a connection for some work, whose place is taken, and reads from it until it ends.
func (t *target) connect(w task) {
	u := t.pool
	c, err := u.dial(w.canceler, t)
	if err != nil {
		u.mu.Lock()
		t.addOpen(-1)
		u.mu.Unlock()
		w.handler.Done(engine.Reply{Status: decide.ConnectError, Load: decide.NoLoad, ConnRefused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	if got := c.start(w); got != started {
		kept := u.put(c, got.connReusable())
		w.handler.Done(engine.Reply{Status: startFailureStatus[got], Load: decide.NoLoad})
		if !kept {
			return
		}
	}
	c.serve()
}

// startFailureStatus are the statuses of work that a connection did not begin.
var startFailureStatus = map[startResult]decide.Status{unusable: decide.ConnectError, canceled: decide.Ignored, unsupported: decide.Ignored, writeFailed: decide.ConnectError}

// probeHandler is who a probe is made for.
type probeHandler struct{ result chan engine.Reply } // of capacity 1

// Begin says that the probe is wanted.
func (probeHandler) Begin() (engine.Try, bool) {
	return engine.Try{WriteBy: time.Now().Add(probeWriteTimeout)}, true
}

// probeWriteTimeout is for a probe to be written, which is one line.
const probeWriteTimeout = 100 * time.Millisecond

// Written needs not be told: probes are no attempts.
func (probeHandler) Written() {}

// Done takes how the probe ended.
func (p probeHandler) Done(r engine.Reply) { p.result <- r }

// Probe is engine.Endpoint's.
func (t *target) Probe(ctx context.Context) (decide.Status, decide.Load) {
	text := t.proto.Probe(t.addr)
	if text == "" {
		return decide.OK, decide.NoLoad
	}
	var stop engine.Canceler
	defer context.AfterFunc(ctx, stop.Cancel)()
	p := probeHandler{result: make(chan engine.Reply, 1)}
	got, known := t.startTask(task{canceler: &stop, handler: p, probe: text})
	if !known {
		got = <-p.result
	}
	if got.Status == decide.Ignored { // no socket is left
		got.Status = decide.ConnectError
	}
	if got.Status != decide.OK && ctx.Err() != nil {
		got.Status = decide.TimedOut
	}
	return got.Status, got.Load
}
