package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// conn is a connection to a target. It carries one attempt at a time: answers come in order and giving up
// closes it, so others behind it would wait for the first, or go down with it.
//
// One goroutine, serve, reads from it for as long as it is open, so the end of a kept one shows at once. Who has taken it from
// the pool starts work on it and writes the command; serve reads the answer, puts it back and tells of the answer.
//
// Close waits for who reads: it must never be called with mu held.
type conn struct {
	net.Conn
	target    *target
	raw       syscall.RawConn
	abort     func()    // ends the connection without waiting, made once
	idleSince time.Time // kept since; guarded by the pool's mu
	tls       *tlsConn  // nil = the link is plain
	tlsSerial int       // by which TLS material

	in          *bufio.Reader // serve's, as is what follows
	readBudget  int           // bytes that may still come for what is being read
	answerStart time.Time     // an answer is being read since
	deadlineSet bool          // and has a deadline
	readOp      socketOp

	mu        sync.Mutex
	unused    bool // nothing has been written
	busy      bool // with work, whose answer is not read
	dead      bool // it has ended, or brought what nobody asked for, while it was kept
	task      task
	writeOp   socketOp
	remainder *remainder // of the command; nil = all was written at once
}

// task is what a connection is asked for: an attempt, or a probe where there is no request.
type task struct {
	canceler *engine.Canceler
	request  *engine.Request
	handler  engine.AttemptHandler
	probe    string     // what is written where there is no request
	try      engine.Try // as its begin gave it
	opening  bool       // the answer comes behind that to Open
}

// socketOp is one look at a socket that does not wait. It is kept, as a closure for each would be an allocation.
type socketOp struct {
	buf []byte
	n   int
	err error
	run func(fd uintptr) bool
}

// remainder is the part of a command that did not go into the socket at once.
type remainder struct {
	done chan struct{} // closed once it is written, or can't be
	err  error         // valid then
}

// An answer is bounded in bytes and in time, whatever it says of itself.
const (
	maxAnswerBytes = 160 << 10              // two heads of 16 KiB and two values, with room for chunks and provisional answers
	answerTimeout  = 250 * time.Millisecond // for the rest to come once it has begun; aims are longer, so a read is tried again in time
)

// maxLineBytes is the size of a reader's buffer, and the longest line that a protocol can read.
const maxLineBytes = 4096

// newConn is a connection of a target that has just been opened.
func newConn(t *target, opened net.Conn) (*conn, error) {
	sc, ok := opened.(syscall.Conn)
	if !ok {
		opened.Close()
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		opened.Close()
		return nil, fmt.Errorf("connecting: %w", err)
	}
	c := &conn{Conn: opened, target: t, raw: raw, unused: true}
	c.abort = func() { raw.Control(shutdown) } //nolint:errcheck // it has been closed already
	c.readOp.run, c.writeOp.run = c.readSocket, c.writeCommand
	c.in = bufio.NewReaderSize(c, maxLineBytes)
	return c, nil
}

// shutdown ends a connection both ways at once. serve sees the end and closes it: Close waits for who reads, and an engine that
// gives up thousands of attempts together would wait for each.
func shutdown(fd uintptr) {
	syscall.Shutdown(int(fd), syscall.SHUT_RDWR) //nolint:errcheck // it has ended already
}

// Read reads from the connection, up to the bound.
func (c *conn) Read(b []byte) (int, error) {
	if c.readBudget <= 0 {
		return 0, fmt.Errorf("answer over %d bytes", maxAnswerBytes)
	}
	if !c.deadlineSet && !c.answerStart.IsZero() { // the answer did not come in one piece: only then is its time bounded, as that costs
		c.deadlineSet = true
		if err := c.SetReadDeadline(c.answerStart.Add(answerTimeout)); err != nil {
			return 0, err
		}
	}
	c.readOp.buf, c.readOp.n, c.readOp.err = b[:min(len(b), c.readBudget)], 0, nil
	err := c.raw.Read(c.readOp.run)
	if err == nil {
		err = c.readOp.err
	}
	n := c.readOp.n
	c.readOp.buf = nil
	c.readBudget -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.New("answer stopped short")
	}
	return n, err
}

// readSocket reads what is there. It does so with mu held: what was read while there was no work is nobody's answer, however
// late serve comes to look at it.
func (c *conn) readSocket(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Read(int(fd), c.readOp.buf)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), c.readOp.buf)
	}
	if errors.Is(err, syscall.EAGAIN) {
		return false
	}
	if c.readOp.n = max(n, 0); err != nil {
		c.readOp.err = fmt.Errorf("reading: %w", err)
	} else if n == 0 {
		c.readOp.err = io.EOF
	}
	c.dead = c.dead || !c.busy && (c.tls == nil || !c.unused) // a handshake is no answer, nor are the tickets behind it
	return true
}

// awaitAnswer waits for an answer's first byte and bounds the rest.
func (c *conn) awaitAnswer() error {
	c.readBudget, c.answerStart = maxAnswerBytes, time.Time{}
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	c.answerStart = time.Now()
	return nil
}

// readyForReuse tells whether nothing has come with the answer that was read. What else is there belongs to no request; what comes
// later ends the connection.
func (c *conn) readyForReuse() bool {
	c.answerStart = time.Time{}
	if c.deadlineSet {
		c.deadlineSet = false
		if c.SetReadDeadline(time.Time{}) != nil {
			return false
		}
	}
	return c.in.Buffered() == 0 && !c.tls.hasUnread()
}

// start's results.
type startResult int

const (
	started     startResult = iota
	unusable                // the connection has ended, or brought what nobody asked for: nothing was written
	canceled                // the work is no longer wanted: nothing was written
	unsupported             // the protocol has no words for it: nothing was written
	writeFailed             // the last byte is not out, so nothing can have run
)

// connReusable says whether the connection is as it was.
func (r startResult) connReusable() bool { return r == canceled || r == unsupported }

// start begins work on a connection that was taken from the pool, without waiting for the socket.
func (c *conn) start(w task) startResult {
	w.canceler.OnCancel(c.abort) // ahead of all else: the answer may be read before this returns
	got := c.startLocked(w)
	if got != started {
		w.canceler.Detach()
	}
	return got
}

// startTask is start with the lock held.
func (c *conn) startLocked(w task) startResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return unusable
	}
	w.opening = c.unused
	if c.tls != nil && !c.tls.mu.TryLock() { // the TLS writes something of its own just now, which the engine does not wait for
		return unusable
	}
	c.task = w
	c.writeOp.buf, c.writeOp.n, c.writeOp.err = nil, 0, nil
	err := c.raw.Write(c.writeOp.run)
	wire := c.writeOp.buf // with TLS, its records
	c.writeOp.buf = nil
	got := c.writeResult(err)
	if got != started {
		c.releaseTLS()
		c.task, c.dead = task{}, c.dead || !got.connReusable()
		return got
	}
	c.unused, c.busy, c.remainder = false, true, nil
	if c.writeOp.n < len(wire) {
		c.remainder = &remainder{done: make(chan struct{})}
		go c.writeRemainder(wire[c.writeOp.n:], c.remainder, c.task.try.WriteBy, w.handler)
		return started
	}
	c.releaseTLS()
	w.handler.Written()
	return started
}

// releaseTLS tells that a command is out, or will never be.
func (c *conn) releaseTLS() {
	if c.tls != nil {
		c.tls.mu.Unlock()
	}
}

// errCanceled is launch's, for work that is no longer wanted.
var errCanceled = errors.New("called off")

// errUnusable is launch's, for a connection that is not quiet.
var errUnusable = errors.New("not quiet")

// errUnsupported is launch's, for a request that the protocol has no words for.
var errUnsupported = errors.New("not sayable")

// writeCommand makes and writes the command of the work, after a last look: an end, a reset or a stray answer makes a connection useless, and
// a request written to it would end as a reset, or be given what was meant for nobody.
func (c *conn) writeCommand(fd uintptr) bool {
	t := &c.writeOp
	if !sock.IsIdleFD(fd) && (c.tls == nil || !c.unused) { // behind a handshake come tickets
		t.err = errUnusable
		return true
	}
	var wanted bool
	if c.task.try, wanted = c.task.handler.Begin(); !wanted {
		t.err = errCanceled
		return true
	}
	if t.buf, t.err = c.encodeCommand(); t.err != nil {
		return true
	}
	if c.tls != nil {
		if t.buf, t.err = c.tls.encrypt(t.buf); t.err != nil {
			return true
		}
	}
	n, err := syscall.Write(int(fd), t.buf)
	if t.n = max(n, 0); err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		t.err = fmt.Errorf("writing: %w", err)
	}
	return true
}

// encodeCommand is what the work writes.
func (c *conn) encodeCommand() ([]byte, error) {
	w := &c.task
	wire := []byte(w.probe)
	if w.request != nil {
		var err error
		if wire, err = c.target.proto.Command(c.target.addr, w.request, w.try); err != nil {
			return nil, fmt.Errorf("%w: %w", errUnsupported, err)
		}
	}
	if w.opening {
		wire = append(c.target.proto.Preamble(), wire...)
	}
	return wire, nil
}

// writeResult says what became of launch, which did not run where err is the socket's.
func (c *conn) writeResult(err error) startResult {
	switch {
	case err != nil || errors.Is(c.writeOp.err, errUnusable):
		return unusable
	case errors.Is(c.writeOp.err, errCanceled):
		return canceled
	case errors.Is(c.writeOp.err, errUnsupported):
		return unsupported
	case c.writeOp.err != nil:
		return writeFailed
	}
	return started
}

// writeRemainder writes the rest of a command by a time. Without its last byte the server has not begun it.
func (c *conn) writeRemainder(wire []byte, r *remainder, by time.Time, caller engine.AttemptHandler) {
	defer close(r.done)
	defer c.releaseTLS()
	err := c.SetWriteDeadline(by)
	if err == nil {
		_, err = c.Conn.Write(wire)
	}
	if err == nil {
		err = c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		r.err = err
		c.Close() // no answer can be trusted now
		return
	}
	caller.Written()
}

// serve reads from the connection until it ends. The pool's goroutine that has opened it becomes this.
func (c *conn) serve() {
	for c.serveOne() {
	}
}

// serveOne reads one answer and tells whether the connection goes on.
func (c *conn) serveOne() bool {
	err := c.awaitAnswer()
	c.mu.Lock()
	if c.dead || !c.busy {
		c.dead = true
		c.mu.Unlock()
		c.target.pool.discard(c)
		return false
	}
	w, r := c.task, c.remainder
	c.mu.Unlock()
	reply, last, err := c.readAnswer(w, err)
	if r != nil {
		<-r.done
		if r.err != nil {
			reply, err = engine.Reply{Status: decide.ConnectError, Load: decide.NoLoad}, r.err
		}
	}
	if err == nil && reply.UnreadBytes > 0 {
		return c.streamValue(w, reply, last)
	}
	reuse := err == nil && !last && c.readyForReuse()
	c.finishTask()
	kept := c.target.pool.put(c, w.canceler.Detach() && reuse)
	w.handler.Done(reply)
	return kept
}

// done ends the work on the connection.
func (c *conn) finishTask() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.task, c.remainder = false, task{}, nil
}

// readAnswer reads the answer to some work, of which the first byte is there, or err instead.
func (c *conn) readAnswer(w task, err error) (a engine.Reply, last bool, _ error) {
	a.Load = decide.NoLoad
	if err != nil { // ended after the last byte: it may have run
		a.Status = decide.Reset
		return a, true, err
	}
	if w.opening {
		err = c.target.proto.ReadPreambleReply(c.in)
	}
	switch {
	case err != nil:
	case w.request == nil:
		a.Status = decide.OK
		a.Load, err = c.target.proto.ReadLoad(c.in)
	default:
		a, last, err = c.target.proto.ReadAnswer(c.in, c.target.addr, w.request, w.try)
	}
	if err == nil && a.UnreadBytes > 0 { // its first bytes are there before anybody is told: until then it can be tried again
		_, err = c.in.Peek(1)
	}
	if err != nil { // not understood, or it broke off: it has run, and the server was at work
		a.Status = decide.InvalidAnswer
	}
	return a, last, err
}
