// Package backend keeps the connections to servers and makes attempts on them, one at a time on each, in whatever
// protocol a server speaks.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// Protocol is what a server speaks. Its methods may be called from any goroutine.
type Protocol interface {
	// Command is what an attempt writes. An error says that the request can't be said in the protocol.
	Command(addr string, r *engine.Request, try engine.Try) ([]byte, error)
	// Answer reads the answer to it. With last the connection carries no further request; an error leaves it without use.
	Answer(in *bufio.Reader, addr string, r *engine.Request, try engine.Try) (a engine.Reply, last bool, err error)
	// Open is what is written ahead of the first command of a connection, and Opened reads the answer to it.
	Open() []byte
	Opened(in *bufio.Reader) error
	// Probe is what asks for the load; "" = it can't be asked.
	Probe(addr string) string
	// Load reads the answer to that.
	Load(in *bufio.Reader) (decide.Load, error)
	// Rest is how long a connection rests after an answer: where answers carry no id, a second copy of the last one that
	// comes a moment later must be there before the next request is, and not be taken for its answer.
	Rest() time.Duration
}

// target is a server at one address.
type target struct {
	pool  *Pool
	proto Protocol
	addr  string
	idle  []*conn // longest idle first; guarded by pool.mu, as is what follows
	open  int     // its part of the pool's
	gone  bool    // no connection to it is kept any more
}

// conn is a connection to a target. It carries one attempt at a time: answers come in order and giving up
// closes it, so others behind it would wait for the first, or go down with it.
type conn struct {
	net.Conn
	r     *bufio.Reader
	left  int       // bytes that may still come for what is being read
	since time.Time // idle since
	fresh bool      // nothing has been written
	began time.Time // an answer is being read since
	timed bool      // and has a deadline
	close func()    // Close, made once
}

// An answer is bounded in bytes and in time, whatever it says of itself.
const (
	maxAnswer  = 160 << 10              // two heads of 16 KiB and two values, with room for chunks and provisional answers
	answerRest = 250 * time.Millisecond // for the rest to come once it has begun; aims are longer, so a read is tried again in time
)

// Read reads from the connection, up to the bound.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, fmt.Errorf("answer over %d bytes", maxAnswer)
	}
	if !c.timed && !c.began.IsZero() { // the answer did not come in one piece: only then is its time bounded, as that costs
		c.timed = true
		if err := c.SetReadDeadline(c.began.Add(answerRest)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.New("answer stopped short")
	}
	return n, err
}

// begun waits for an answer's first byte and bounds the rest.
func (c *conn) begun() error {
	c.left, c.began = maxAnswer, time.Time{}
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	c.began = time.Now()
	return nil
}

// clean tells whether nothing has come with the answer that was read. What else is there belongs to no request; what comes
// later is found when the connection is taken again.
func (c *conn) clean() bool {
	c.began = time.Time{}
	if c.timed {
		c.timed = false
		if c.SetReadDeadline(time.Time{}) != nil {
			return false
		}
	}
	return c.r.Buffered() == 0
}

// Pool keeps the connections to cache servers and origin.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	limit   int

	mu      sync.Mutex
	open    int // connections open or being opened
	targets map[*target]struct{}
}

// lineSize is the size of a reader's buffer, and the longest line that a protocol can read.
const lineSize = 4096

// errNoSocket tells that the limit on sockets is reached.
var errNoSocket = errors.New("no socket left")

// NewPool keeps at most limit connections to all servers together. Servers close connections that stand idle for
// connIdle; one that is not up within connectTimeout has failed.
func NewPool(connIdle, connectTimeout time.Duration, limit int) *Pool {
	u := &Pool{limit: limit, targets: map[*target]struct{}{}}
	u.dialer.Timeout = connectTimeout
	u.dialer.KeepAlive = -1
	// A request written to a connection that the server has just closed ends as a reset: be well ahead of it.
	u.maxIdle = connIdle - min(connIdle/4, time.Second)
	return u
}

// Link is the way to the server at an address that speaks a protocol.
func (u *Pool) Link(addr string, p Protocol) engine.Link { return u.add(addr, p) }

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
	t.gone = true
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
	t.count(-len(old))
	u.mu.Unlock()
	closeAll(old)
}

// count books connections that are opened, or with n below 0 closed. The caller holds mu.
func (t *target) count(n int) {
	t.pool.open += n
	t.open += n
}

func closeAll(cs []*conn) {
	for _, c := range cs {
		c.Close()
	}
}

// Sweep closes connections that have stood idle for long or that the other side has closed, until ctx ends.
func (u *Pool) Sweep(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.mu.Lock()
			defer u.mu.Unlock()
			for t := range u.targets {
				closeAll(t.idle)
				t.idle = nil
			}
			return
		case <-tick.C:
		}
		var old []*conn
		u.mu.Lock()
		for t := range u.targets {
			before := len(t.idle)
			t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
				dead := time.Since(c.since) >= u.maxIdle || !c.quiet()
				if dead {
					old = append(old, c)
				}
				return dead
			})
			t.count(len(t.idle) - before)
		}
		u.mu.Unlock()
		closeAll(old)
	}
}

// quiet reports whether an idle connection is open and has nothing to read: an end, a reset or a stray answer makes
// it useless, and a request written to it would end as a reset.
func (c *conn) quiet() bool { return c.r.Buffered() == 0 && sock.Quiet(c.Conn) }

// take returns a connection to t, a kept one where there is one. stop ends the opening of another.
func (u *Pool) take(stop *engine.Stop, t *target) (*conn, error) {
	u.mu.Lock()
	for len(t.idle) > 0 && time.Since(t.idle[0].since) >= t.proto.Rest() {
		// The one that has been idle for longest, so that a peak's connections stay in use: taking the latest let the
		// others run out, and twice as many handshakes, each work for the server, had to be made.
		c := t.idle[0]
		t.idle = slices.Delete(t.idle, 0, 1)
		if time.Since(c.since) < u.maxIdle && c.quiet() {
			u.mu.Unlock()
			return c, nil
		}
		t.count(-1)
		c.Close()
	}
	if t.open >= u.most() || u.open >= u.limit && !u.evict() {
		u.mu.Unlock()
		return nil, errNoSocket
	}
	t.count(1)
	u.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop.Then(cancel)
	c, err := u.dialer.DialContext(ctx, "tcp", t.addr)
	stop.Release()
	if err != nil {
		u.mu.Lock()
		t.count(-1)
		u.mu.Unlock()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	uc := &conn{Conn: c, fresh: true}
	uc.close = func() { c.Close() }
	uc.r = bufio.NewReaderSize(uc, lineSize)
	return uc, nil
}

// evict closes the connection that has been idle for longest. The caller holds mu.
func (u *Pool) evict() bool {
	var from *target
	for t := range u.targets {
		if len(t.idle) > 0 && (from == nil || t.idle[0].since.Before(from.idle[0].since)) {
			from = t
		}
	}
	if from == nil {
		return false
	}
	from.idle[0].Close()
	from.idle = slices.Delete(from.idle, 0, 1)
	from.count(-1)
	return true
}

// most is how many connections one server may have: where there are others, three quarters of all, or one that hangs would
// take the sockets that requests to the others need. That leaves the origin more than the module's bound on fetches (64) where
// descriptors are fewest. The caller holds mu.
func (u *Pool) most() int {
	if len(u.targets) < 2 {
		return u.limit
	}
	return max(1, u.limit*3/4)
}

// put keeps a connection for the next attempt, or closes it.
func (u *Pool) put(t *target, c *conn, reuse bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reuse = reuse && !t.gone; reuse {
		c.since = time.Now()
		t.idle = append(t.idle, c)
		return
	}
	t.count(-1)
	c.Close()
}

// Attempt is engine.Link's.
func (t *target) Attempt(stop *engine.Stop, r *engine.Request, try engine.Try, begin func() bool) engine.Reply {
	u := t.pool
	a := engine.Reply{Load: decide.NoLoad}
	wire, err := t.proto.Command(t.addr, r, try)
	if err != nil {
		a.Status = decide.Ignored // it was not sent
		return a
	}
	c, err := u.take(stop, t)
	switch {
	case errors.Is(err, errNoSocket):
		a.Status = decide.Ignored
		return a
	case err != nil:
		a.Status, a.Refused = decide.ConnectError, errors.Is(err, syscall.ECONNREFUSED)
		return a
	case !begin():
		u.put(t, c, true)
		a.Status = decide.Canceled
		return a
	}
	stop.Then(c.close)
	opening := c.fresh
	if c.fresh = false; opening {
		wire = append(t.proto.Open(), wire...)
	}
	if _, err := c.Write(wire); err != nil { // the last byte is not out, so nothing can have run
		stop.Release()
		u.put(t, c, false)
		a.Status = decide.ConnectError
		return a
	}
	last := false
	err = c.begun()
	answered := err == nil
	if answered && opening {
		err = t.proto.Opened(c.r)
	}
	if answered && err == nil {
		a, last, err = t.proto.Answer(c.r, t.addr, r, try)
	}
	u.put(t, c, stop.Release() && err == nil && !last && c.clean())
	switch {
	case answered && err != nil: // not understood, or it broke off: it has run, and the server was at work
		a.Status = decide.Spoilt
	case err != nil: // ended after the last byte: it may have run
		a.Status = decide.Reset
	}
	return a
}

// Probe is engine.Link's.
func (t *target) Probe(ctx context.Context) (decide.Status, decide.Load) {
	u, l := t.pool, decide.NoLoad
	if t.proto.Probe(t.addr) == "" {
		return decide.OK, l
	}
	var stop engine.Stop
	defer context.AfterFunc(ctx, stop.Now)()
	c, err := u.take(&stop, t)
	if err != nil {
		return decide.ConnectError, l
	}
	stop.Then(c.close)
	if _, err = io.WriteString(c, t.proto.Probe(t.addr)); err == nil {
		err = c.begun()
	}
	if err == nil {
		l, err = t.proto.Load(c.r)
	}
	reuse := stop.Release()
	u.put(t, c, reuse && err == nil && c.clean())
	switch {
	case err == nil:
		return decide.OK, l
	case !reuse:
		return decide.TimedOut, l
	}
	return decide.Reset, l
}
