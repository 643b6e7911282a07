package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// target is a cache server or the origin, at one address.
type target struct {
	addr    string
	origin  bool
	started float64         // of its process; the loop's
	idle    []*upstreamConn // longest idle first; guarded by upstreams.mu
	gone    bool            // no connection to it is kept any more
}

// upstreamConn is a connection to a target. It carries one attempt at a time: answers come in order and giving up
// closes it, so others behind it would wait for the first, or go down with it.
type upstreamConn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time // idle since
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
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peek error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		var n int
		if n, _, peek = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); n >= 0 && peek == nil {
			peek = io.EOF
		}
		return true
	})
	return err == nil && (errors.Is(peek, syscall.EAGAIN) || errors.Is(peek, syscall.EINTR))
}

// take returns a connection to t, a kept one where there is one.
func (u *upstreams) take(ctx context.Context, t *target) (*upstreamConn, error) {
	u.mu.Lock()
	for len(t.idle) > 0 {
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
	return &upstreamConn{Conn: c, r: bufio.NewReaderSize(c, maxLine)}, nil
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
		a.status = decide.ConnectError
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
	got, err := read(conn.r, c)
	u.put(t, conn, stop() && err == nil && !got.last)
	if err != nil { // broken, ended or not understood after the last byte: it may have run
		got.status = decide.Reset
	}
	return got
}

// originRequest writes c in the origin's HTTP.
func originRequest(addr string, c *command) ([]byte, error) {
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: addr, Path: "/" + c.key},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Host: addr,
		Header: http.Header{"X-Correlation-Id": {c.id}, "X-Facts": {c.facts}, "User-Agent": {""}}}
	if c.verb == "ms" {
		r.Method, r.ContentLength, r.Body = http.MethodPut, int64(len(c.value)), io.NopCloser(bytes.NewReader(c.value))
	}
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		return nil, fmt.Errorf("origin request: %w", err)
	}
	return b.Bytes(), nil
}

// readOriginReply reads the origin's answer to c.
func readOriginReply(r *bufio.Reader, c *command) (reply, error) {
	a := reply{load: decide.NoLoad}
	method := http.MethodGet
	if c.verb == "ms" {
		method = http.MethodPut
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return a, fmt.Errorf("origin answer: %w", err)
	}
	defer resp.Body.Close()
	if a.body, err = io.ReadAll(io.LimitReader(resp.Body, maxValue+1)); err != nil {
		return a, fmt.Errorf("origin answer: %w", err)
	}
	if len(a.body) > maxValue {
		return a, malformed("origin value over %d bytes", maxValue)
	}
	a.load, a.last = readLoad(resp.Header.Get("X-Backend-Load")), resp.Close
	switch code := resp.StatusCode; {
	case code == http.StatusOK:
		a.status = decide.OK
		if c.verb == "ms" && !isReceipt(a.body) {
			return a, malformed("receipt %.40q", a.body)
		}
	case (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		a.status = decide.QueueFull
	default: // a bare 503 too: without the header it may have run
		a.status = decide.Failed
	}
	return a, nil
}

// isReceipt says whether a receipt can stand in an answer's line.
func isReceipt(b []byte) bool {
	return len(b) > 0 && len(b) < maxLine/2 && !bytes.ContainsFunc(b, func(r rune) bool { return r <= ' ' || r > '~' })
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
		l, err = read(conn.r)
	}
	reuse := stop()
	u.put(t, conn, reuse && err == nil)
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

func readOriginLoad(r *bufio.Reader) (decide.Load, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return decide.NoLoad, fmt.Errorf("origin load: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxValue)); err != nil {
		return decide.NoLoad, fmt.Errorf("origin load: %w", err)
	}
	if resp.StatusCode != http.StatusOK || resp.Close {
		return decide.NoLoad, malformed("origin load: status %d", resp.StatusCode)
	}
	return readLoad(resp.Header.Get("X-Backend-Load")), nil
}
