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
	manager       *ConnManager
	tenant        string  // among those that places are divided between; guarded by s.mu,
	readerTenant  string  // and as its reader knows it
	session       Session // set by meet, under mu
	reader        *bufio.Reader
	countedActive atomic.Bool // among those that have asked

	mu              sync.Mutex
	queueChanged    sync.Cond           // the queue got shorter
	queue           []*pendingAnswer    // whose answers are not being written yet
	answersInWrite  int                 // answers that are,
	reservations    []answerReservation // and whose they are
	broken          bool                // nothing can be written any more
	commandSeen     bool                // a command has come
	reading         bool                // another has begun
	commandBytes    int                 // bytes read since it has begun, and perhaps some behind it
	dropped         bool                // closing, and what is being read is not waited for
	closing         bool                // ends as soon as nothing waits for its answer
	closingSince    time.Time           // since then
	idleSince       time.Time           // idle since, while nothing is open
	commandDeadline time.Time           // when the command that is being read is to be whole
	flushScheduled  bool                // its answers are written at the end of the engine's batch
	streaming       *pendingAnswer      // the last answer of those that are being written ends with a long value; who writes them alone uses it

	arrival arrivalTracker // of what is being read; its reader's

	rawConn     syscall.RawConn // nil = it has none
	directWrite nonBlockingWrite
	flushFunc   func() // flush, made once
}

// openCommands counts the commands that are not answered. The caller holds mu.
func (c *clientConn) openCommands() int { return len(c.queue) + c.answersInWrite }

// startSession learns who is there: with TLS, by the handshake, which has the time of a first command. Until then nothing is taken.
func (c *clientConn) startSession() bool {
	peer := Peer{RemoteAddr: c.RemoteAddr().String()}
	if t, ok := c.Conn.(*tls.Conn); ok {
		if err := t.Handshake(); err != nil { // its deadline is the connection's
			return false
		}
		state := t.ConnectionState()
		peer.TLS = &state
	}
	session := c.manager.protocol.Session(peer)
	c.mu.Lock()
	c.session = session
	c.mu.Unlock()
	return c.manager.assignTenant(c) // by its certificate, if it has one
}

// logClose logs why a connection is read no longer.
func (c *clientConn) logClose(turnedAway bool) {
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
	slog.Debug("client connection read no longer", "client", c.RemoteAddr().String(), "why", why, "open", c.openCommands())
}

// Gone is engine.Client's.
func (c *clientConn) Closed() bool { return sock.Closed(c.Conn) }

// revoked says whether the connection's caller has lost what it rests on.
func (c *clientConn) revoked() bool {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	return s != nil && s.Revoked()
}

// delayThrottled waits for throttleDelay, or until the connection's place is wanted.
func (c *clientConn) delayThrottled() {
	for until := time.Now().Add(throttleDelay); time.Now().Before(until); time.Sleep(throttlePollInterval) {
		c.mu.Lock()
		over := c.closing || c.broken
		c.mu.Unlock()
		if over {
			return
		}
	}
}

// idleState tells since when the connection has had no request open.
func (c *clientConn) idleState() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since = c.idleSince; !c.commandSeen && time.Since(since) > silentGrace { // else silent ones would drive out the usual clients
		since = since.Add(-silentPenalty)
	}
	return since, c.openCommands() == 0 && !c.closing
}

// drain ends the connection once nothing waits for its answer and no command is coming.
func (c *clientConn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return
	}
	c.closing, c.closingSince = true, time.Now()
	switch first := c.idleSince.Add(firstByteTimeout); {
	case c.reading:
	case c.openCommands() > 0: // what comes until the last answer is out is taken, and that wakes the reader
	case !c.commandSeen && c.closingSince.Before(first): // who has just come is heard
		c.SetReadDeadline(first)
	default:
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// acceptsNoMore says whether a connection that is closing takes no more commands: from then on their answers might come too late. The caller
// holds mu.
func (c *clientConn) acceptsNoMore() bool {
	return c.closing && time.Since(c.closingSince) >= c.manager.engine.MaxDeadline()
}

// commandArrivedAtTimeout says whether a command has come that crosses the end of the connection's time.
func (c *clientConn) commandArrivedAtTimeout() bool {
	c.mu.Lock()
	over := !c.dropped && c.acceptsNoMore()
	c.mu.Unlock()
	return !over && sock.HasInput(c.Conn)
}

// discardStream ends the connection at once if no request is open: half a command is none.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCommands() == 0 {
		c.closing, c.dropped = true, true
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginCommand tells that a command has begun. The first one's time has run since the connection came.
func (c *clientConn) beginCommand(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.commandBytes = true, 0
	if c.commandDeadline = c.idleSince.Add(firstCommandTimeout); !first || c.closing {
		c.commandDeadline = time.Now().Add(commandTimeout)
		c.SetReadDeadline(c.commandDeadline)
	}
}

// Read reads what the client sends, for the connection's reader alone. A command that has begun has more time for a long value, by its bytes.
func (c *clientConn) Read(b []byte) (int, error) {
	c.arrival.readStarted(c.manager.engine.Now())
	n, err := c.Conn.Read(b)
	for end := time.Now().Add(bufferRetryTimeout); n <= 0 && sock.IsOutOfBuffers(err) && time.Now().Before(end); {
		time.Sleep(bufferRetryInterval)
		n, err = c.Conn.Read(b)
	}
	c.arrival.readFinished(c.manager.engine.Now(), n, len(b))
	if c.commandBytes += n; c.commandBytes <= maxLineBytes { // no line is longer: beyond that it is a value
		return n, err //nolint:wrapcheck // its kind counts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && !c.dropped {
		c.commandDeadline = c.commandDeadline.Add(time.Duration(n) * valueTimePerByte)
		c.SetReadDeadline(c.commandDeadline)
	}
	return n, err //nolint:wrapcheck // its kind counts
}

// awaitCommand sets the time for the next command: none while requests are open, as then the client's leaving is waited for.
// It tells whether one is to be read.
func (c *clientConn) awaitCommand() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.commandSeen = false, true
	for c.openCommands() >= maxPipelinedCommands && !c.broken {
		c.queueChanged.Wait()
	}
	switch {
	case c.broken:
		return false
	case c.closing && (c.openCommands() == 0 || c.acceptsNoMore()): // what has come already is answered
		return c.reader.Buffered() > 0 || !c.acceptsNoMore() && sock.HasInput(c.Conn)
	case c.openCommands() > 0:
		c.SetReadDeadline(time.Time{})
	default:
		c.SetReadDeadline(time.Now().Add(c.manager.protocol.Idle()))
	}
	return true
}

// readCommands reads commands until the client leaves, is turned away for what it sent, or the connection's time is up.
func (c *clientConn) readCommands() (turnedAway bool) {
	unknown := 0
	for first := true; ; first = false {
		_, err := c.reader.Peek(1)
		if errors.Is(err, os.ErrDeadlineExceeded) && c.commandArrivedAtTimeout() {
			c.beginCommand(false)
			_, err = c.reader.Peek(1)
		}
		if err != nil {
			return c.endReading(err)
		}
		c.beginCommand(first)
		cmd, err := c.session.Read(c.reader, c.manager.engine, c.manager.Ready)
		read := c.arrival.earliest
		if err != nil {
			text, ok := c.session.Malformed(err)
			if !ok {
				return c.endReading(err)
			}
			cmd = Command{Text: text, End: true}
		}
		if !c.manager.assignTenant(c) {
			if cmd.Request != nil {
				c.manager.engine.HeldBytes.Release(cmd.Request.HeldBytes)
			}
			cmd = Command{Text: c.session.TooManyConnections(), End: true}
		}
		if cmd.Delayed {
			c.delayThrottled()
		}
		if cmd.OrderKey > 0 {
			c.waitForOrder(cmd.OrderKey)
		}
		sl := c.enqueue(cmd.OrderKey)
		if cmd.Request == nil {
			sl.complete(cmd.Text, false)
		} else {
			sl.request = cmd.Request
			sl.Client = c
			sl.OnAnswer = func(q *engine.Request, a engine.Answer) {
				text := []byte(nil)
				if a.Result != engine.ClientGone {
					text = cmd.Render(q, a)
				}
				if a.Streamed != nil {
					sl.completeStream(text, q.Class, a.Streamed)
					return
				}
				sl.complete(text, true)
			}
			c.manager.engine.Post(func() { c.manager.engine.Submit(cmd.Request, read, &sl.RequestHandle) })
		}
		if cmd.Invalid {
			unknown++
		}
		if cmd.End || unknown == maxInvalidCommands {
			return true
		}
		if first {
			c.manager.countActive(c)
		}
		if !c.awaitCommand() {
			return c.endReading(os.ErrDeadlineExceeded)
		}
	}
}

// endReading ends the reading of a connection after an error. Where the client has not left, what was taken is answered.
func (c *clientConn) endReading(err error) (turnedAway bool) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.abandonOpen()
	return false
}

// abandonOpen gives up all that is open: nobody takes an answer any more.
func (c *clientConn) abandonOpen() {
	c.mu.Lock()
	open := c.queue
	c.broken, c.queue = true, nil
	for _, sl := range open {
		if sl.ready {
			c.manager.engine.ReleaseAnswer(sl.tenant, len(sl.text))
			sl.discardStream()
		}
	}
	c.mu.Unlock()
	for _, sl := range open {
		c.manager.engine.Post(func() { c.manager.engine.ClientLeft(&sl.RequestHandle) })
	}
}

// finish waits until all answers are out and closes the connection. A close with input unread would reset it, and might
// destroy answers on their way: a client that was turned away sees the end of the answers first, and is read on for a
// bounded time.
func (c *clientConn) finish(turnedAway bool) {
	c.logClose(turnedAway)
	c.mu.Lock()
	for c.openCommands() > 0 && !c.broken {
		c.queueChanged.Wait()
	}
	broken := c.broken
	c.mu.Unlock()
	if broken {
		c.abandonOpen()
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && turnedAway && !broken && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, lingerBytes), make([]byte, maxLineBytes)) //nolint:errcheck // it is unwanted
	}
	c.Close()
}

// forceClose closes the connection whatever is open on it, as the process ends.
func (c *clientConn) forceClose() {
	c.mu.Lock()
	open, broken := c.openCommands(), c.broken
	c.mu.Unlock()
	g := c.manager.engine.Guard
	g.CountCheck(guard.Unanswered)
	if open > 0 && !broken && !c.Closed() {
		g.RecordViolation(guard.Unanswered, c.RemoteAddr().String(), "closed with %d requests open", open)
	}
	c.Close()
}

// onlyReader hides the methods by which a copy would do without the buffer it is given.
type onlyReader struct{ io.Reader }

// waitForOrder waits until no command of the same lane waits for its answer. Their deadlines bound the wait.
func (c *clientConn) waitForOrder(lane int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.broken && slices.ContainsFunc(c.queue, func(sl *pendingAnswer) bool { return sl.orderKey == lane && !sl.ready }) {
		c.queueChanged.Wait()
	}
}
