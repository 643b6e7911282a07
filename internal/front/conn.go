package front

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/guard"
	"mossproxy.example/mossproxy/internal/pure/drain"
	"mossproxy.example/mossproxy/internal/sock"
)

// clientConn is a client connection. One goroutine reads commands; while there are answers to write, at
// most one other writes them in the order of the commands.
type clientConn struct {
	net.Conn
	manager       *ConnManager
	tenant        string  // counted by the limiter; guarded by manager.mu
	readerTenant  string  // the same, for the reader's use without the lock
	session       Session // set by startSession, under mu
	reader        *bufio.Reader
	countedActive atomic.Bool // included in manager.activeConns

	mu              sync.Mutex
	queueChanged    sync.Cond           // signals changes of the queue, answersInWrite and broken
	queue           []*pendingAnswer    // answers that are not being written yet
	answersInWrite  int                 // answers that are being written
	awaitedInWrite  int                 // those of them that closing awaits
	reservations    []answerReservation // memory reserved for answersInWrite
	broken          bool                // nothing can be written any more
	commandSeen     bool                // a command has been read
	reading         bool                // a command has begun and is not complete
	commandBytes    int                 // bytes read since it began, possibly including later commands
	dropped         bool                // closing at once, without waiting for the command being read
	closing         closingState
	delivery        drain.Delivery // observed while the connection closes
	meanAnswerBytes float64        // of its answers so far, the latest ones counting most
	lastAnswered    time.Time      // when the last answer became ready, while the connection closes
	idleSince       time.Time      // while no command is open
	commandDeadline time.Time      // for the rest of the command being read
	valueStall      time.Time      // for the next bytes of its value; zero = its value has not begun
	flushScheduled  bool           // answers are written at the end of the engine's batch
	// The last of the answers being written, if it ends with a long value. Used only by the writer.
	streaming *pendingAnswer

	arrival   arrivalTracker // of the input being read; used only by the reader
	allowance allowance      // used only by the reader
	// Units for requests that were rejected, less those for others, since pace last counted them.
	rejections atomic.Int64

	rawConn     syscall.RawConn // nil = the connection has none
	directWrite nonBlockingWrite
	flushFunc   func() // flushAnswers as a value, allocated once
}

// openCommands returns the number of unanswered commands. The caller holds mu.
func (c *clientConn) openCommands() int { return len(c.queue) + c.answersInWrite }

// startSession completes the TLS handshake, if any, creates the session and assigns the connection to its
// tenant. The handshake counts towards firstCommandTimeout, and no command is read before. Reports whether
// the connection may go on.
func (c *clientConn) startSession() bool {
	peer := Peer{RemoteAddr: c.RemoteAddr().String()}
	if tlsConn, ok := c.Conn.(*tls.Conn); ok {
		c.awaitHandshake()
		if err := tlsConn.Handshake(); err != nil { // the connection's read deadline applies
			return false
		}
		state := tlsConn.ConnectionState()
		peer.TLS = &state
	}
	session := c.manager.protocol.Session(peer)
	c.mu.Lock()
	c.session = session
	c.mu.Unlock()
	return c.manager.assignTenant(c) // by the client certificate, if there is one
}

// logClose logs at debug level why the connection is no longer read.
func (c *clientConn) logClose(rejected bool) {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := "idle timeout"
	switch {
	case c.broken:
		reason = "client disconnected or stopped reading answers"
	case rejected:
		reason = "rejected because of its input"
	case c.dropped:
		reason = "evicted while idle"
	case c.closing.active:
		reason = "draining, or credentials revoked"
	case c.reading:
		reason = "timeout while reading a command"
	}
	slog.Debug("client connection is no longer read", "client", c.RemoteAddr().String(), "why", reason, "open", c.openCommands())
}

// logUndelivered logs at debug level what a close would cut off: answers that the client has not acknowledged, and
// input that was not read, over which a close resets the connection.
func (c *clientConn) logUndelivered() {
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("client connection closes", "client", c.RemoteAddr().String(), "unacknowledged", sock.Unacknowledged(c.Conn), "unread", sock.HasInput(c.Conn))
	}
}

// Closed implements engine.Client.
func (c *clientConn) Closed() bool { return sock.Closed(c.Conn) }

// revoked reports whether the credentials of the connection's caller have been revoked.
func (c *clientConn) revoked() bool {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	return s != nil && s.Revoked()
}

// idleState returns since when the connection has had no open command, and whether it is idle now.
func (c *clientConn) idleState() (since time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Without the penalty, connections that send nothing would displace regular clients.
	if since = c.idleSince; !c.commandSeen && time.Since(since) > silentGrace {
		since = since.Add(-silentPenalty)
	}
	return since, c.openCommands() == 0 && !c.closing.active
}

// closeIfIdle closes the connection at once if no command is open; one that is only partly read does not
// count.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openCommands() == 0 {
		c.closing.active, c.dropped = true, true
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginCommand records that a command has begun and sets the deadline for reading it. The time for the
// first command runs from the start of the connection.
func (c *clientConn) beginCommand(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.commandBytes, c.valueStall = true, 0, time.Time{}
	if c.commandDeadline = c.idleSince.Add(firstCommandTimeout); !first || c.closing.active {
		c.commandDeadline = time.Now().Add(commandTimeout)
		c.setCommandDeadline()
	}
}

// Read reads client input; only the reader calls it. It retries while system buffers are short, and extends
// the deadline of a command with a long value by the number of its bytes.
//
// A reader whose input does not run dry yields before each read. The scheduler would go on running it and the goroutines
// that it wakes ahead of readers that the network has made ready, whose input would lie unread.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.arrival.flowing {
		runtime.Gosched()
	}
	c.arrival.readStarted(c.manager.engine.Now())
	n, err := c.Conn.Read(b)
	for end := time.Now().Add(bufferRetryTimeout); n <= 0 && sock.IsOutOfBuffers(err) && time.Now().Before(end); {
		time.Sleep(bufferRetryInterval)
		n, err = c.Conn.Read(b)
	}
	c.arrival.readFinished(c.manager.engine.Now(), n, len(b))
	if c.commandBytes += n; c.commandBytes <= maxLineBytes { // no line is longer: the rest is a value
		return n, err //nolint:wrapcheck // callers check the type of the error
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && !c.dropped {
		c.commandDeadline = c.commandDeadline.Add(valueTime(c.commandBytes-n, n))
		c.valueStall = time.Now().Add(commandTimeout)
		c.setCommandDeadline()
	}
	return n, err //nolint:wrapcheck // callers check the type of the error
}

// valueTime returns the time that n bytes of a command may take, behind the given number that came before.
func valueTime(before, n int) time.Duration {
	short := max(0, min(n, bufferedValue-before))
	return time.Duration(short)*shortValueTimePerByte + time.Duration(n-short)*valueTimePerByte
}

// awaitCommand sets the read deadline for the next command: none while commands are open, since the read
// then also detects that the client disconnects. Reports whether a command is to be read.
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
	// Input that has already arrived is answered.
	case c.closing.active && c.acceptsNoMore():
		return c.reader.Buffered() > 0
	case c.closing.active && c.openCommands() == 0:
		c.SetReadDeadline(time.Now().Add(deliveryPollInterval))
		return c.reader.Buffered() > 0 || sock.HasInput(c.Conn) || !c.dropped && c.heldUp()
	case c.openCommands() > 0:
		c.SetReadDeadline(time.Time{})
	default:
		c.SetReadDeadline(time.Now().Add(c.manager.protocol.Idle()))
	}
	return true
}

// awaitInput waits for the first byte of a command.
func (c *clientConn) awaitInput() error {
	for {
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if c.commandArrivedAtTimeout() {
			c.beginCommand(false)
			_, err = c.reader.Peek(1)
			return err
		}
		if !c.readsOn() {
			return err
		}
	}
}

// readCommands reads commands until the client disconnects, is rejected because of its input, or the
// connection times out.
func (c *clientConn) readCommands() (rejected bool) {
	unknown := 0
	for first := true; ; first = false {
		if err := c.awaitInput(); err != nil {
			return c.endReading(err)
		}
		c.beginCommand(first)
		cmd, err := c.session.Read(c.reader, c.manager.engine, c.manager.Ready)
		arrived := c.arrival.earliest
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
			c.pause(throttleDelay)
		}
		if cmd.OrderKey > 0 {
			c.waitForOrder(cmd.OrderKey)
		}
		answer := c.enqueue(cmd.OrderKey, cmd.Request != nil)
		if cmd.Request == nil {
			answer.complete(cmd.Text, false)
		} else {
			answer.request = cmd.Request
			answer.Client, answer.AnswerBy = c, c.answerDeadline()
			answer.OnAnswer = func(q *engine.Request, a engine.Answer) {
				c.countRejections(a.NeverSent)
				text := []byte(nil)
				if a.Result != engine.ClientGone {
					text = cmd.Render(q, a)
				}
				if a.Streamed != nil {
					answer.completeStream(text, q.Class, a.Streamed)
					return
				}
				answer.complete(text, true)
			}
			c.manager.engine.Post(func() { c.manager.engine.Submit(cmd.Request, arrived, &answer.RequestHandle) })
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
		c.pace(&cmd)
		if !c.awaitCommand() {
			return c.endReading(os.ErrDeadlineExceeded)
		}
	}
}

// endReading handles the error that ends reading. After a timeout, the open commands are still answered;
// after any other error they are abandoned. Always returns false.
func (c *clientConn) endReading(err error) (rejected bool) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.abandonOpen()
	return false
}

// abandonOpen gives up all open commands, as the client no longer takes answers.
func (c *clientConn) abandonOpen() {
	c.mu.Lock()
	open := c.queue
	c.broken, c.queue = true, nil
	for _, pending := range open {
		if pending.ready {
			c.manager.engine.ReleaseAnswer(pending.tenant, len(pending.text))
			pending.discardStream()
		}
	}
	c.mu.Unlock()
	for _, pending := range open {
		c.manager.engine.Post(func() { c.manager.engine.ClientLeft(&pending.RequestHandle) })
	}
}

// finish waits until all answers are written and delivered, and closes the connection.
func (c *clientConn) finish(rejected bool) {
	c.logClose(rejected)
	readEnd := time.Now()
	c.mu.Lock()
	for c.openCommands() > 0 && !c.broken {
		c.queueChanged.Wait()
	}
	broken := c.broken
	c.mu.Unlock()
	if broken {
		c.abandonOpen()
	} else {
		if !rejected {
			c.checkUnread(readEnd)
		}
		c.deliver(rejected)
	}
	c.logUndelivered()
	c.Close()
}

// forceClose closes the connection even if commands are open or answers are on their way, as the process ends.
func (c *clientConn) forceClose() {
	c.mu.Lock()
	open, broken := c.openCommands(), c.broken
	c.mu.Unlock()
	g := c.manager.engine.Guard
	g.CountCheck(guard.Unanswered)
	switch unacked := sock.Unacknowledged(c.Conn); {
	case broken || c.Closed():
	case open > 0:
		g.RecordViolation(guard.Unanswered, c.RemoteAddr().String(), "closed with %d requests open", open)
	case unacked > 0:
		g.RecordViolation(guard.Unanswered, c.RemoteAddr().String(), "closed over %d bytes of answers that the client has not acknowledged", unacked)
	}
	c.Close()
}

// waitForOrder waits until no command with the same order key is unanswered. Their deadlines bound the
// wait.
func (c *clientConn) waitForOrder(orderKey int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.broken && slices.ContainsFunc(c.queue, func(pending *pendingAnswer) bool { return pending.orderKey == orderKey && !pending.ready }) {
		c.queueChanged.Wait()
	}
}
