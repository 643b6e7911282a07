// Package backend maintains a pool of connections to servers and makes attempts on them, one at a time on
// each connection, in the protocol of each server.
package backend

import (
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
	"mossproxy.example/mossproxy/internal/guard"
)

// target is a server at one address.
type target struct {
	pool    *Pool
	proto   Protocol
	addr    string
	idle    []*conn // longest idle first; this and the following fields are guarded by pool.mu
	open    int     // connections open or being opened
	removed bool    // connections to it are no longer kept
}

// Pool maintains the connections to cache servers and the origin.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	limit   int
	tls     TLS          // nil = plain connections
	guard   *guard.Guard // nil = nothing is counted
	trace   bool         // connections are logged

	mu      sync.Mutex
	open    int // connections open or being opened
	targets map[*target]struct{}
	closed  bool                        // connections are no longer kept
	streams map[*streamedValue]struct{} // values being streamed
	held    map[*conn]struct{}          // connections that an attempt holds after its answer, see hold
}

// NewPool returns a pool of at most limit connections to all servers together. connIdle is the time after
// which servers close idle connections. A connection that is not open within connectTimeout has failed.
func NewPool(connIdle, connectTimeout time.Duration, limit int) *Pool {
	pool := &Pool{trace: tracingEnabled(), limit: limit, targets: map[*target]struct{}{}, streams: map[*streamedValue]struct{}{}, held: map[*conn]struct{}{}}
	pool.dialer.Timeout = connectTimeout
	pool.dialer.KeepAlive = -1
	// Close idle connections well before the server does: a request that is written to a connection that the
	// server has just closed ends as a reset.
	pool.maxIdle = connIdle - min(connIdle/4, time.Second)
	return pool
}

// SetTLS makes connections to servers use TLS. It must be called before the first Endpoint.
func (pool *Pool) SetTLS(t TLS) { pool.tls = t }

// SetGuard makes the pool count its checks. It must be called before the first Endpoint.
func (pool *Pool) SetGuard(g *guard.Guard) { pool.guard = g }

// SetLimit changes the maximum number of connections, which is at least 1. Idle connections above it are
// closed; those with an attempt in flight finish first, and no new one is opened until then.
func (pool *Pool) SetLimit(n int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.limit = max(1, n)
	for pool.open > pool.limit && pool.evict() {
	}
}

// Limit returns the maximum number of connections.
func (pool *Pool) Limit() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.limit
}

// tlsSerial returns the serial of the current TLS configuration; 0 = plain connections.
func (pool *Pool) tlsSerial() int {
	if pool.tls == nil {
		return 0
	}
	return pool.tls.Serial()
}

// Endpoint returns the endpoint for the server at addr that speaks protocol p.
func (pool *Pool) Endpoint(addr string, p Protocol) engine.Endpoint { return pool.add(addr, p) }

func (pool *Pool) add(addr string, p Protocol) *target {
	t := &target{pool: pool, proto: p, addr: addr}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.targets[t] = struct{}{}
	return t
}

// Remove stops keeping connections to a target. Attempts in flight finish first.
func (t *target) Remove() {
	pool := t.pool
	pool.mu.Lock()
	t.removed = true
	delete(pool.targets, t)
	pool.mu.Unlock()
	t.CloseIdle()
}

// CloseIdle closes the idle connections to a target.
func (t *target) CloseIdle() {
	pool := t.pool
	pool.mu.Lock()
	closing := t.idle
	t.idle = nil
	t.addOpen(-len(closing))
	pool.mu.Unlock()
	closeAll(closing, closeReset)
}

// addOpen counts n connections as opened, or if n is negative, -n as closed. The caller holds mu.
func (t *target) addOpen(n int) {
	t.pool.open += n
	t.open += n
}

func closeAll(cs []*conn, reason closeReason) {
	for _, c := range cs {
		c.closeFor(reason)
	}
}

// Sweep closes connections that have been idle for too long or use an earlier TLS configuration. When ctx
// ends, it closes all idle connections and the pool.
func (pool *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			pool.mu.Lock()
			defer pool.mu.Unlock()
			pool.closed = true
			for t := range pool.targets {
				closeAll(t.idle, closePool)
				t.addOpen(-len(t.idle))
				t.idle = nil
			}
			for l := range pool.streams {
				l.Discard()
			}
			for c := range pool.held {
				c.closeFor(closePool)
			}
			return
		case <-tick.C:
		}
		var expired []*conn
		serial := pool.tlsSerial()
		pool.mu.Lock()
		for t := range pool.targets {
			before := len(t.idle)
			t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
				isExpired := time.Since(c.idleSince) >= pool.maxIdle || c.tlsSerial != serial
				if isExpired {
					expired = append(expired, c)
				}
				return isExpired
			})
			t.addOpen(len(t.idle) - before)
		}
		pool.mu.Unlock()
		closeAll(expired, closeUnused)
	}
}

// takeIdle takes an idle connection to t that a request may use out of the pool, or returns nil. It takes the
// one that has been idle for longest, so that all connections that a load peak has opened stay in use. Taking
// the latest would let the others expire, which caused twice as many handshakes, each of them work for the
// server. A nil request is a probe.
func (pool *Pool) takeIdle(t *target, r *engine.Request) *conn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	for i := 0; i < len(t.idle); {
		c := t.idle[i]
		expired := now.Sub(c.idleSince) >= pool.maxIdle
		if !expired && !c.usableFor(r, now) {
			i++
			continue
		}
		t.idle = slices.Delete(t.idle, i, i+1)
		if !expired {
			c.reuse.use(r)
			return c
		}
		t.addOpen(-1)
		c.closeFor(closeUnused)
	}
	return nil
}

// reserve reserves capacity for one more connection to t. It reports whether there was any.
func (pool *Pool) reserve(t *target) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if t.open >= pool.maxPerTarget() && !t.evict() || pool.open >= pool.limit && !pool.evict() {
		return false
	}
	t.addOpen(1)
	return true
}

// dial opens a connection whose capacity is reserved. Canceling canceler aborts it.
func (pool *Pool) dial(canceler *engine.Canceler, t *target) (*conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	canceler.OnCancel(cancel)
	defer canceler.Detach()
	// Before the configuration is read, so that a change in between makes the connection an old one.
	serial := pool.tlsSerial()
	netConn, err := pool.dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	c, err := newConn(t, netConn)
	if err != nil || pool.tls == nil {
		return c, err
	}
	c.tlsSerial = serial
	if err := c.handshake(ctx, pool.tls.Client(), pool.dialer.Timeout); err != nil {
		c.Close()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return c, nil
}

// evict closes the connection that has been idle for longest. It returns false if none is idle. The caller
// holds mu.
func (pool *Pool) evict() bool {
	var oldest *target
	for t := range pool.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = t
		}
	}
	return oldest != nil && oldest.evict()
}

// evict closes the connection to a target that has been idle for longest. It returns false if none is idle.
// The caller holds the mu of the pool.
func (t *target) evict() bool {
	if len(t.idle) == 0 {
		return false
	}
	t.idle[0].closeFor(closeEvicted)
	t.idle = slices.Delete(t.idle, 0, 1)
	t.addOpen(-1)
	return true
}

// maxPerTarget returns how many connections one server may have: three quarters of the limit if there are
// other servers, as one that hangs would otherwise take all sockets. Even at the lowest limit on descriptors,
// that leaves the origin more connections than the 64 fetches in flight that package decide allows at most.
// The caller holds mu.
func (pool *Pool) maxPerTarget() int {
	if len(pool.targets) < 2 {
		return pool.limit
	}
	return max(1, pool.limit*3/4)
}

// put keeps a connection for the next attempt, or closes it. It reports whether it was kept.
func (pool *Pool) put(c *conn, reuse bool) bool {
	t := c.target
	reuse = reuse && c.tlsSerial == pool.tlsSerial()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if reuse = reuse && !t.removed && !pool.closed; reuse {
		c.idleSince = time.Now()
		t.idle = append(t.idle, c)
		return true
	}
	t.addOpen(-1)
	c.closeFor(closeNotReused)
	return false
}

// discard closes a connection that ended or received unexpected input while idle. err is what ended it, nil
// for input.
func (pool *Pool) discard(c *conn, err error) {
	pool.countUnsolicited(c, err)
	t := c.target
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if i := slices.Index(t.idle, c); i >= 0 { // otherwise the goroutine that took it out counts it
		t.idle = slices.Delete(t.idle, i, i+1)
		t.addOpen(-1)
	}
	c.closeFor(closeIdleInput)
}

// Attempt implements engine.Endpoint. On an idle connection it writes the command without blocking; the rest
// is written by another goroutine. If there is none, a new goroutine opens a connection and serves it.
func (t *target) Attempt(canceler *engine.Canceler, request *engine.Request, handler engine.AttemptHandler) (engine.Reply, bool) {
	return t.startTask(task{canceler: canceler, request: request, handler: handler})
}

// startTask starts a task. If the task finishes at once, it returns the reply and true.
func (t *target) startTask(work task) (engine.Reply, bool) {
	pool := t.pool
	for c := pool.takeIdle(t, work.request); c != nil; c = pool.takeIdle(t, work.request) {
		got := c.start(work)
		if got == started {
			return engine.Reply{}, false
		}
		if pool.put(c, got.connReusable()); got != unusable {
			return engine.Reply{Status: startFailureStatus[got], Load: decide.NoLoad}, true
		}
	}
	if !pool.reserve(t) {
		return engine.Reply{Status: decide.Ignored, Load: decide.NoLoad}, true
	}
	go t.connect(work)
	return engine.Reply{}, false
}

// connect opens a connection whose capacity is reserved, starts a task on it and serves it until it ends.
func (t *target) connect(work task) {
	pool := t.pool
	c, err := pool.dial(work.canceler, t)
	if err != nil {
		pool.mu.Lock()
		t.addOpen(-1)
		pool.mu.Unlock()
		work.handler.Done(engine.Reply{Status: decide.ConnectError, Load: decide.NoLoad, ConnRefused: errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	c.reuse.use(work.request)
	if got := c.start(work); got != started {
		kept := pool.put(c, got.connReusable())
		work.handler.Done(engine.Reply{Status: startFailureStatus[got], Load: decide.NoLoad})
		if !kept {
			return
		}
	}
	c.serve()
}

// startFailureStatus maps the result of a task that did not start to its status.
var startFailureStatus = map[startResult]decide.Status{unusable: decide.ConnectError, canceled: decide.Ignored, unsupported: decide.Ignored, writeFailed: decide.ConnectError}

// probeHandler is the engine.AttemptHandler of a probe.
type probeHandler struct{ result chan engine.Reply } // capacity 1

// Begin allows the probe and sets the deadline for writing it.
func (probeHandler) Begin() (engine.Try, bool) {
	return engine.Try{WriteBy: time.Now().Add(probeWriteTimeout)}, true
}

// probeWriteTimeout is the time for writing a probe, which is one line.
const probeWriteTimeout = 100 * time.Millisecond

// Written does nothing: probes are not attempts.
func (probeHandler) Written() {}

// AnswerBegun does nothing: a probe is bounded by its context.
func (probeHandler) AnswerBegun() {}

// AnswerProgress does nothing, as AnswerBegun.
func (probeHandler) AnswerProgress() {}

// Link returns nil: probes are not attempts.
func (probeHandler) Link() *engine.Link { return nil }

// Done receives the result of the probe.
func (p probeHandler) Done(r engine.Reply) { p.result <- r }

// Probe implements engine.Endpoint.
func (t *target) Probe(ctx context.Context) (decide.Status, decide.Load) {
	command := t.proto.Probe(t.addr)
	if command == "" {
		return decide.OK, decide.NoLoad
	}
	var canceler engine.Canceler
	defer context.AfterFunc(ctx, canceler.Cancel)()
	handler := probeHandler{result: make(chan engine.Reply, 1)}
	got, finished := t.startTask(task{canceler: &canceler, handler: handler, probe: command})
	if !finished {
		got = <-handler.result
	}
	if got.Status == decide.Ignored { // the connection limit is reached
		got.Status = decide.ConnectError
	}
	if got.Status != decide.OK && ctx.Err() != nil {
		got.Status = decide.TimedOut
	}
	return got.Status, got.Load
}
