package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
)

// conn is a connection to a target. It carries one attempt at a time: answers come in order and canceling an
// attempt closes the connection, so pipelined attempts would wait for the first one or fail with it.
//
// One goroutine, serve, reads from the connection for as long as it is open, so the end of an idle connection
// is noticed at once. The goroutine that takes the connection from the pool starts a task on it and writes
// the command; serve reads the answer, returns the connection to the pool and reports the answer.
//
// Close waits for the reader, so it must never be called with mu held.
type conn struct {
	net.Conn
	target    *target
	raw       syscall.RawConn
	abort     func()    // shuts the connection down without blocking; created once
	idleSince time.Time // when it became idle; guarded by the mu of the pool
	reuse     reuseState
	link      atomic.Pointer[engine.Link] // of the attempt that may be in progress on it; nil = none
	shut      atomic.Bool                 // it was shut down or closed: nothing is in progress on it
	holder    *engine.Canceler            // of the attempt that holds it; valid while it is held
	tls       *tlsConn                    // nil = plain connection
	tlsSerial int                         // serial of the TLS configuration

	in          *bufio.Reader // this and the following fields belong to serve
	readBudget  int           // bytes that may still be read for the current answer
	answerStart time.Time     // when the first byte of the answer was there; zero = not reading an answer
	headDone    bool          // the head of the answer is read
	headFunc    func()        // sets headDone; created once
	answerBy    time.Time     // when the answer has to be whole; zero = unknown
	streaming   bool          // copyTo sets the read deadlines
	deadlineSet bool          // a read deadline is set
	// The read deadline is the latest for the whole answer.
	deadlineFinal bool
	begun         bool // the handler of the task has been told that the answer has begun
	readOp        socketOp

	mu        sync.Mutex
	commands  uint64 // written so far
	busy      bool   // a task is running whose answer has not been read
	dead      bool   // it ended or received unexpected input while idle
	task      task
	writeOp   socketOp
	remainder *remainder // of the command; nil = all was written at once
	// Ends the attempt if its command does not arrive in time; nil = its time is not limited.
	arrivalTimer *time.Timer
}

// task is a unit of work for a connection: an attempt, or a probe if there is no request.
type task struct {
	canceler *engine.Canceler
	request  *engine.Request
	handler  engine.AttemptHandler
	probe    string     // command that is written if there is no request
	try      engine.Try // as returned by Begin of the handler
	number   uint64     // of the command on its connection, from 1: the answer to the first follows the reply to the preamble
	barrier  bool       // a barrier is written behind the command
}

// socketOp is a non-blocking operation on the socket. It is reused, as a new closure each time would be an
// allocation.
type socketOp struct {
	buf []byte
	n   int
	err error
	run func(fd uintptr) bool
}

// Limits on an answer, whatever length it announces. Once its head is read it may take until the client stops
// waiting.
const (
	// Two heads of 16 KiB and two values, with room for chunk headers and 1xx responses.
	maxAnswerBytes = 160 << 10
	// minStall is the time for the next bytes of a head, which does not say yet that it answers the request, and
	// of an answer that no client waits for.
	minStall = 250 * time.Millisecond
	// headStallShare is the share of the client's time that the next bytes of a head may take if that is more.
	headStallShare = 0.5
	// cancelMargin is how long after the client's deadline reading ends if the attempt has not been canceled.
	cancelMargin = 100 * time.Millisecond
)

// maxLineBytes is the size of the read buffer and so the length of the longest line a protocol can read.
const maxLineBytes = 4096

// newConn returns a connection to a target for an open network connection, which it closes on errors.
func newConn(t *target, netConn net.Conn) (*conn, error) {
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		netConn.Close()
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		netConn.Close()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	c := &conn{Conn: netConn, target: t, raw: raw}
	c.abort = func() {
		c.discardOutput()
		raw.Control(shutdown) //nolint:errcheck // it may be closed already
		c.shut.Store(true)
		c.unlink()
	}
	c.headFunc = func() { c.headDone = true }
	c.readOp.run, c.writeOp.run = c.readSocket, c.writeCommand
	c.in = bufio.NewReaderSize(c, maxLineBytes)
	return c, nil
}

// Close closes the connection, which ends the attempt in progress on it. What has not arrived at the server is
// not sent any more.
func (c *conn) Close() error {
	c.discardOutput()
	err := c.Conn.Close()
	c.shut.Store(true)
	c.unlink()
	return err
}

// unlink marks the attempt in progress as ended on this connection.
func (c *conn) unlink() {
	if l := c.link.Swap(nil); l != nil {
		l.Finish()
	}
}

// shutdown shuts a connection down in both directions without blocking. serve notices the end and closes it.
// Close would wait for the reader, and an engine that cancels thousands of attempts at once would wait for
// each.
func shutdown(fd uintptr) {
	syscall.Shutdown(int(fd), syscall.SHUT_RDWR) //nolint:errcheck // it may have ended already
}

// Read reads from the connection, within the limits of an answer in bytes and time.
func (c *conn) Read(b []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, fmt.Errorf("answer over %d bytes", maxAnswerBytes)
	}
	if err := c.limitStall(); err != nil {
		return 0, err
	}
	c.readOp.buf, c.readOp.n, c.readOp.err = b[:min(len(b), c.readBudget)], 0, nil
	err := c.raw.Read(c.readOp.run)
	if err == nil {
		err = c.readOp.err
	}
	n := c.readOp.n
	c.readOp.buf = nil
	c.readBudget -= n
	if c.begun && n > 0 {
		c.task.handler.AnswerProgress()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.New("timed out in the middle of an answer")
	}
	return n, err
}

// limitStall sets the read deadline for the next bytes of an answer. Setting a deadline is costly, so only
// answers that do not arrive in one piece get one, and only one once the head is read.
func (c *conn) limitStall() error {
	if c.streaming || c.answerStart.IsZero() {
		return nil
	}
	now := time.Now()
	deadline := now.Add(minStall)
	switch {
	case c.answerBy.IsZero():
	case !c.headDone:
		left := time.Duration(headStallShare * float64(c.answerBy.Sub(now)))
		deadline = now.Add(max(minStall, left))
	case c.deadlineFinal:
		return nil
	default:
		deadline, c.deadlineFinal = c.answerBy.Add(cancelMargin), true
	}
	c.deadlineSet = true
	return c.SetReadDeadline(deadline)
}

// clearDeadline removes the read deadline, if one is set.
func (c *conn) clearDeadline() error {
	if !c.deadlineSet {
		return nil
	}
	c.deadlineSet = false
	return c.SetReadDeadline(time.Time{})
}

// readSocket reads what is available. It holds mu while it does so: input that was read while there was no
// task answers no request, however late serve gets to check it.
func (c *conn) readSocket(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Read(int(fd), c.readOp.buf)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), c.readOp.buf)
	}
	if errors.Is(err, syscall.EAGAIN) {
		c.tellBegun()
		return false
	}
	if c.readOp.n = max(n, 0); err != nil {
		c.readOp.err = fmt.Errorf("reading: %w", err)
	} else if n == 0 {
		c.readOp.err = io.EOF
	}
	// A TLS handshake and the session tickets after it are no answers.
	c.dead = c.dead || !c.busy && (c.tls == nil || c.commands > 0)
	return true
}

// tellBegun tells the handler of the task that its answer has begun, if more of it has to be waited for. The
// caller holds mu.
func (c *conn) tellBegun() {
	if c.headDone && !c.begun && c.busy {
		c.begun = true
		c.task.handler.AnswerBegun()
	}
}

// awaitAnswer waits for the first byte of an answer and starts its limits.
func (c *conn) awaitAnswer() error {
	c.readBudget, c.answerStart = maxAnswerBytes, time.Time{}
	c.headDone, c.begun, c.streaming, c.deadlineFinal = false, false, false, false
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	c.answerStart = time.Now()
	return nil
}

// readyForReuse ends the reading of an answer. It reports whether no further input came with it: that would
// belong to no request. Input that comes later ends the connection.
func (c *conn) readyForReuse() bool {
	c.answerStart = time.Time{}
	if c.clearDeadline() != nil {
		return false
	}
	return c.in.Buffered() == 0 && !c.tls.hasUnread()
}
