package front

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/guard"
	"mossproxy.example/mossproxy/internal/sock"
)

// clientConn is a client's connection. One goroutine reads commands; while there are answers to write, another writes
// them in the order of the commands.
type clientConn struct {
	net.Conn
	s       *Clients
	party   string  // among those that places are divided between; guarded by s.mu,
	settled string  // and as its reader knows it
	session Session // set by meet, under mu
	r       *bufio.Reader
	counted atomic.Bool // among those that have asked

	mu      sync.Mutex
	changed sync.Cond // the queue got shorter
	queue   []*slot   // whose answers are not being written yet
	writing int       // answers that are,
	owed    []debt    // and whose they are
	broken  bool      // nothing can be written any more
	asked   bool      // a command has come
	reading bool      // another has begun
	got     int       // bytes read since it has begun, and perhaps some behind it
	dropped bool      // closing, and what is being read is not waited for
	closing bool      // ends as soon as nothing waits for its answer
	closes  time.Time // since then
	since   time.Time // idle since, while nothing is open
	due     time.Time // when the command that is being read is to be whole
	flushes bool      // its answers are written at the end of the engine's batch
	last    *slot     // the last answer of those that are being written ends with a long value; who writes them alone uses it

	arrival arrival // of what is being read; its reader's

	raw     syscall.RawConn // nil = it has none
	once    quickWrite
	flushed func() // flush, made once
}

// open counts the commands that are not answered. The caller holds mu.
func (c *clientConn) open() int { return len(c.queue) + c.writing }

// meet learns who is there: with TLS, by the handshake, which has the time of a first command. Until then nothing is taken.
func (c *clientConn) meet() bool {
	peer := Peer{From: c.RemoteAddr().String()}
	if t, ok := c.Conn.(*tls.Conn); ok {
		if err := t.Handshake(); err != nil { // its deadline is the connection's
			return false
		}
		state := t.ConnectionState()
		peer.TLS = &state
	}
	session := c.s.proto.Session(peer)
	c.mu.Lock()
	c.session = session
	c.mu.Unlock()
	return c.s.settle(c) // by its certificate, if it has one
}

// traceClose logs why a connection is read no longer.
func (c *clientConn) traceClose(turnedAway bool) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	why := "idle for long"
	switch {
	case c.broken:
		why = "the client has left, or takes no answers"
	case turnedAway:
		why = "turned away for what it sent"
	case c.dropped:
		why = "gave way to another"
	case c.closing:
		why = "the router ends or is taken out of service"
	case c.reading:
		why = "a command did not come whole"
	}
	slog.Debug("client connection read no longer", "client", c.RemoteAddr().String(), "why", why, "open", c.open())
}

// Gone is engine.Client's.
func (c *clientConn) Closed() bool { return sock.Closed(c.Conn) }

// withdrawn says whether the connection's caller has lost what it rests on.
func (c *clientConn) withdrawn() bool {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	return s != nil && s.Withdrawn()
}

// dawdle waits for slowTime, or until the connection's place is wanted.
func (c *clientConn) dawdle() {
	for until := time.Now().Add(slowTime); time.Now().Before(until); time.Sleep(slowStep) {
		c.mu.Lock()
		over := c.closing || c.broken
		c.mu.Unlock()
		if over {
			return
		}
	}
}

// idle tells since when the connection has had no request open.
func (c *clientConn) idle() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since = c.since; !c.asked && time.Since(since) > askSoon { // else silent ones would drive out the usual clients
		since = since.Add(-asksNothing)
	}
	return since, c.open() == 0 && !c.closing
}

// drain ends the connection once nothing waits for its answer and no command is coming.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.closing, c.closes = true, time.Now()
	switch first := c.since.Add(newcomer); {
	case c.reading:
	case c.open() > 0: // what comes until the last answer is out is taken, and that wakes the reader
	case !c.asked && c.closes.Before(first): // who has just come is heard
		c.SetReadDeadline(first)
	default:
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// lastCall says whether a connection that is closing takes no more commands: from then on their answers might come too late. The caller
// holds mu.
func (c *clientConn) lastCall() bool {
	return c.closing && time.Since(c.closes) >= c.s.e.MaxDeadline()
}

// crossed says whether a command has come that crosses the end of the connection's time.
func (c *clientConn) crossed() bool {
	c.mu.Lock()
	over := !c.dropped && c.lastCall()
	c.mu.Unlock()
	return !over && sock.HasInput(c.Conn)
}

// drop ends the connection at once if no request is open: half a command is none.
func (c *clientConn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open() == 0 {
		c.closing, c.dropped = true, true
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// begin tells that a command has begun. The first one's time has run since the connection came.
func (c *clientConn) begin(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.got = true, 0
	if c.due = c.since.Add(firstTime); !first || c.closing {
		c.due = time.Now().Add(commandTime)
		c.SetReadDeadline(c.due)
	}
}

// Read reads what the client sends, for the connection's reader alone. A command that has begun has more time for a long value, by its bytes.
func (c *clientConn) Read(b []byte) (int, error) {
	c.arrival.before(c.s.e.Now())
	n, err := c.Conn.Read(b)
	for end := time.Now().Add(shortTime); n <= 0 && sock.IsOutOfBuffers(err) && time.Now().Before(end); {
		time.Sleep(shortStep)
		n, err = c.Conn.Read(b)
	}
	c.arrival.after(c.s.e.Now(), n, len(b))
	if c.got += n; c.got <= lineSize { // no line is longer: beyond that it is a value
		return n, err //nolint:wrapcheck // its kind counts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && !c.dropped {
		c.due = c.due.Add(time.Duration(n) * valueTime)
		c.SetReadDeadline(c.due)
	}
	return n, err //nolint:wrapcheck // its kind counts
}

// await sets the time for the next command: none while requests are open, as then the client's leaving is waited for.
// It tells whether one is to be read.
func (c *clientConn) await() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.asked = false, true
	for c.open() >= maxPipelined && !c.broken {
		c.changed.Wait()
	}
	switch {
	case c.broken:
		return false
	case c.closing && (c.open() == 0 || c.lastCall()): // what has come already is answered
		return c.r.Buffered() > 0 || !c.lastCall() && sock.HasInput(c.Conn)
	case c.open() > 0:
		c.SetReadDeadline(time.Time{})
	default:
		c.SetReadDeadline(time.Now().Add(c.s.proto.Idle()))
	}
	return true
}

// read reads commands until the client leaves, is turned away for what it sent, or the connection's time is up.
func (c *clientConn) read() (turnedAway bool) {
	unknown := 0
	for first := true; ; first = false {
		_, err := c.r.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.crossed() {
			c.begin(false)
			_, err = c.r.Peek(1)
		}
		if err != nil {
			return c.unread(err)
		}
		c.begin(first)
		cmd, err := c.session.Read(c.r, c.s.e, c.s.Ready)
		read := c.arrival.at
		if err != nil {
			text, ok := c.session.Malformed(err)
			if !ok {
				return c.unread(err)
			}
			cmd = Command{Text: text, End: true}
		}
		if !c.s.settle(c) {
			if cmd.Request != nil {
				c.s.e.HeldBytes.Release(cmd.Request.HeldBytes)
			}
			cmd = Command{Text: c.session.Crowded(), End: true}
		}
		if cmd.Slow {
			c.dawdle()
		}
		if cmd.Lane > 0 {
			c.inTurn(cmd.Lane)
		}
		sl := c.push(cmd.Lane)
		if cmd.Request == nil {
			sl.answer(cmd.Text, false)
		} else {
			sl.request = cmd.Request
			sl.Client = c
			sl.OnAnswer = func(q *engine.Request, a engine.Answer) {
				text := []byte(nil)
				if a.Result != engine.ClientGone {
					text = cmd.Render(q, a)
				}
				if a.Streamed != nil {
					sl.serve(text, q.Class, a.Streamed)
					return
				}
				sl.answer(text, true)
			}
			c.s.e.Post(func() { c.s.e.Submit(cmd.Request, read, &sl.RequestHandle) })
		}
		if cmd.Unknown {
			unknown++
		}
		if cmd.End || unknown == maxUnknown {
			return true
		}
		if first {
			c.s.crowd(c)
		}
		if !c.await() {
			return c.unread(os.ErrDeadlineExceeded)
		}
	}
}

// unread ends the reading of a connection after an error. Where the client has not left, what was taken is answered.
func (c *clientConn) unread(err error) (turnedAway bool) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.abandon()
	return false
}

// abandon gives up all that is open: nobody takes an answer any more.
func (c *clientConn) abandon() {
	c.mu.Lock()
	open := c.queue
	c.broken, c.queue = true, nil
	for _, sl := range open {
		if sl.ready {
			c.s.e.ReleaseAnswer(sl.party, len(sl.text))
			sl.drop()
		}
	}
	c.mu.Unlock()
	for _, sl := range open {
		c.s.e.Post(func() { c.s.e.ClientLeft(&sl.RequestHandle) })
	}
}

// finish waits until all answers are out and closes the connection. A close with input unread would reset it, and might
// destroy answers on their way: a client that was turned away sees the end of the answers first, and is read on for a
// bounded time.
func (c *clientConn) finish(turnedAway bool) {
	c.traceClose(turnedAway)
	c.mu.Lock()
	for c.open() > 0 && !c.broken {
		c.changed.Wait()
	}
	broken := c.broken
	c.mu.Unlock()
	if broken {
		c.abandon()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && turnedAway && !broken && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, lingerBytes), make([]byte, lineSize)) //nolint:errcheck // it is unwanted
	}
	c.Close()
}

// cutOff closes the connection whatever is open on it, as the process ends.
func (c *clientConn) cutOff() {
	c.mu.Lock()
	open, broken := c.open(), c.broken
	c.mu.Unlock()
	g := c.s.e.Guard
	g.CountCheck(guard.Unanswered)
	if open > 0 && !broken && !c.Closed() {
		g.RecordViolation(guard.Unanswered, c.RemoteAddr().String(), "closed with %d requests open", open)
	}
	c.Close()
}

// onlyReader hides the methods by which a copy would do without the buffer it is given.
type onlyReader struct{ io.Reader }

// inTurn waits until no command of the same lane waits for its answer. Their deadlines bound the wait.
func (c *clientConn) inTurn(lane int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.broken && slices.ContainsFunc(c.queue, func(sl *slot) bool { return sl.lane == lane && !sl.ready }) {
		c.changed.Wait()
	}
}
