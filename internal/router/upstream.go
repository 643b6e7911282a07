package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// target is a cache server or the origin, at one address.
type target struct {
	addr     string
	origin   bool
	started  float64         // of its process; the loop's,
	inferred float64         // as it took it from refused connections,
	refused  float64         // when one was refused last, and nothing has been answered since
	entry    decide.Entry    // as the Balancer has it
	idle     []*upstreamConn // longest idle first; guarded by upstreams.mu
	gone     bool            // no connection to it is kept any more
}

// upstreamConn is a connection to a target. It carries one attempt at a time: answers come in order and giving up
// closes it, so others behind it would wait for the first, or go down with it.
type upstreamConn struct {
	net.Conn
	r     *bufio.Reader
	left  int       // bytes that may still come for what is being read
	since time.Time // idle since
}

// An answer is bounded in bytes and in time, whatever it says of itself.
const (
	maxAnswer  = 2*maxHead + 2*maxValue // with room for chunks and provisional answers
	answerRest = 250 * time.Millisecond // for the rest to come once it has begun; aims are longer, so a read is tried again in time
)

// Read reads from the connection, up to the bound.
func (c *upstreamConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, malformed("answer over %d bytes", maxAnswer)
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = malformed("answer stopped short")
	}
	return n, err
}

// begun waits for an answer's first byte and bounds the rest.
func (c *upstreamConn) begun() error {
	c.left = maxAnswer
	if _, err := c.r.Peek(1); err != nil {
		return err
	}
	return c.SetReadDeadline(time.Now().Add(answerRest))
}

// clean tells whether nothing has come beside the answer that was read. What else is there belongs to no request.
func (c *upstreamConn) clean() bool {
	return c.r.Buffered() == 0 && c.SetReadDeadline(time.Time{}) == nil && c.quiet()
}

// upstreams keeps the connections to cache servers and origin.
type upstreams struct {
	dialer  net.Dialer
	maxIdle time.Duration
	limit   int

	mu      sync.Mutex
	open    int // connections open or being opened
	targets map[*target]struct{}
}

// errNoSocket tells that the limit on sockets is reached.
var errNoSocket = errors.New("no socket left")

func newUpstreams(connIdle, connectTimeout time.Duration, limit int) *upstreams {
	u := &upstreams{limit: limit, targets: map[*target]struct{}{}}
	u.dialer.Timeout = connectTimeout
	u.dialer.KeepAlive = -1
	// A request written to a connection that the server has just closed ends as a reset: be well ahead of it.
	u.maxIdle = connIdle - min(connIdle/4, time.Second)
	return u
}

func (u *upstreams) add(addr string, origin bool) *target {
	t := &target{addr: addr, origin: origin}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.targets[t] = struct{}{}
	return t
}

// remove lets a target go once its attempts are back.
func (u *upstreams) remove(t *target) {
	u.mu.Lock()
	t.gone = true
	delete(u.targets, t)
	u.mu.Unlock()
	u.closeIdle(t)
}

// closeIdle closes the idle connections to a target.
func (u *upstreams) closeIdle(t *target) {
	u.mu.Lock()
	old := t.idle
	t.idle = nil
	u.open -= len(old)
	u.mu.Unlock()
	closeAll(old)
}

func closeAll(cs []*upstreamConn) {
	for _, c := range cs {
		c.Close()
	}
}

// sweep closes connections that have stood idle for long or that the other side has closed, until ctx ends.
func (u *upstreams) sweep(ctx context.Context) {
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
		var old []*upstreamConn
		u.mu.Lock()
		for t := range u.targets {
			t.idle = slices.DeleteFunc(t.idle, func(c *upstreamConn) bool {
				dead := time.Since(c.since) >= u.maxIdle || !c.quiet()
				if dead {
					old = append(old, c)
				}
				return dead
			})
		}
		u.open -= len(old)
		u.mu.Unlock()
		closeAll(old)
	}
}

// quiet reports whether an idle connection is open and has nothing to read: an end, a reset or a stray answer makes
// it useless, and a request written to it would end as a reset.
func (c *upstreamConn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	_, err := peek(c.Conn)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}

// waiting reports whether there is something to read on a connection.
func waiting(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek looks for input on a connection without taking it or waiting for it.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("peeking: %w", err)
	}
	if ctl := raw.Control(func(fd uintptr) { // not Read, which fails once the time for reading is up
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); ctl != nil {
		return 0, fmt.Errorf("peeking: %w", ctl)
	}
	return n, err
}

// originRest is how long a connection to the origin rests after an answer. Answers in HTTP carry no id: a second copy
// of the last one that comes a moment later must be there before the next request is, and not be taken for its answer.
const originRest = 20 * time.Millisecond

// take returns a connection to t, a kept one where there is one.
func (u *upstreams) take(ctx context.Context, t *target) (*upstreamConn, error) {
	u.mu.Lock()
	for len(t.idle) > 0 && (!t.origin || time.Since(t.idle[0].since) >= originRest) {
		// The one that has been idle for longest, so that a peak's connections stay in use: taking the latest let the
		// others run out, and twice as many handshakes, each work for the server, had to be made.
		c := t.idle[0]
		t.idle = slices.Delete(t.idle, 0, 1)
		if time.Since(c.since) < u.maxIdle && c.quiet() {
			u.mu.Unlock()
			return c, nil
		}
		u.open--
		c.Close()
	}
	if u.open >= u.limit && !u.evict() {
		u.mu.Unlock()
		return nil, errNoSocket
	}
	u.open++
	u.mu.Unlock()
	c, err := u.dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		u.mu.Lock()
		u.open--
		u.mu.Unlock()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	uc := &upstreamConn{Conn: c}
	uc.r = bufio.NewReaderSize(uc, maxLine)
	return uc, nil
}

// evict closes the connection that has been idle for longest. The caller holds mu.
func (u *upstreams) evict() bool {
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
	u.open--
	return true
}

// put keeps a connection for the next attempt, or closes it.
func (u *upstreams) put(t *target, c *upstreamConn, reuse bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if reuse = reuse && !t.gone; reuse {
		c.since = time.Now()
		t.idle = append(t.idle, c)
		return
	}
	u.open--
	c.Close()
}

// attempt writes c to t once, never twice, and says how that ended. The end of ctx gives the attempt up by closing
// its connection. begin is asked once, before the first byte: false calls the attempt off.
func (u *upstreams) attempt(ctx context.Context, t *target, c *command, wait float64, begin func() bool) reply {
	a := reply{load: decide.NoLoad}
	wire, read := c.append(nil, wait), readReply
	if t.origin {
		var err error
		if wire, err = originRequest(t.addr, c); err != nil {
			a.status = decide.Ignored // it can't be said in HTTP, and was not sent
			return a
		}
		read = readOriginReply
	}
	conn, err := u.take(ctx, t)
	switch {
	case errors.Is(err, errNoSocket):
		a.status = decide.Ignored
		return a
	case err != nil:
		a.status, a.refused = decide.ConnectError, errors.Is(err, syscall.ECONNREFUSED)
		return a
	case !begin():
		u.put(t, conn, true)
		a.status = decide.Canceled
		return a
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	if _, err := conn.Write(wire); err != nil { // the last byte is not out, so nothing can have run
		stop()
		u.put(t, conn, false)
		a.status = decide.ConnectError
		return a
	}
	err = conn.begun()
	answered := err == nil
	if answered {
		a, err = read(conn.r, c)
	}
	u.put(t, conn, stop() && err == nil && !a.last && conn.clean())
	switch {
	case answered && err != nil: // not understood, or it broke off: it has run, and the server was at work
		a.status = decide.Spoilt
	case err != nil: // ended after the last byte: it may have run
		a.status = decide.Reset
	}
	return a
}

// probe asks a target for its load.
func (u *upstreams) probe(ctx context.Context, t *target) (decide.Status, decide.Load) {
	l := decide.NoLoad
	conn, err := u.take(ctx, t)
	if err != nil {
		return decide.ConnectError, l
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	ask, read := "stats load\r\n", readStats
	if t.origin {
		ask, read = "GET /load HTTP/1.1\r\nHost: "+t.addr+"\r\n\r\n", readOriginLoad
	}
	if _, err = io.WriteString(conn, ask); err == nil {
		err = conn.begun()
	}
	if err == nil {
		l, err = read(conn.r)
	}
	reuse := stop()
	u.put(t, conn, reuse && err == nil && conn.clean())
	switch {
	case err == nil:
		return decide.OK, l
	case !reuse:
		return decide.TimedOut, l
	}
	return decide.Reset, l
}

func readStats(r *bufio.Reader) (decide.Load, error) {
	var fields []string
	for range 64 {
		line, err := readLine(r)
		if err != nil {
			return decide.NoLoad, err
		}
		if string(line) == "END" {
			return readLoad(strings.Join(fields, ",")), nil
		}
		var name, value string
		if n, _ := fmt.Sscanf(string(line), "STAT %s %s", &name, &value); n != 2 {
			return decide.NoLoad, malformed("statistics line %q", line)
		}
		fields = append(fields, name+"="+value)
	}
	return decide.NoLoad, malformed("statistics without an end")
}
