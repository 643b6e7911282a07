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
	t     *target
	raw   syscall.RawConn
	end   func()    // ends the connection without waiting, made once
	since time.Time // kept since; guarded by the pool's mu
	tls   *sealed   // nil = the link is plain
	made  int       // by which TLS material

	in    *bufio.Reader // serve's, as is what follows
	left  int           // bytes that may still come for what is being read
	began time.Time     // an answer is being read since
	timed bool          // and has a deadline
	read  transfer

	mu    sync.Mutex
	fresh bool // nothing has been written
	busy  bool // with work, whose answer is not read
	dead  bool // it has ended, or brought what nobody asked for, while it was kept
	work  work
	write transfer
	rest  *rest // of the command; nil = all was written at once
}

// work is what a connection is asked for: an attempt, or a probe where there is no request.
type work struct {
	stop    *engine.Canceler
	r       *engine.Request
	caller  engine.AttemptHandler
	probe   string     // what is written where there is no request
	try     engine.Try // as its begin gave it
	opening bool       // the answer comes behind that to Open
}

// transfer is one look at a socket that does not wait. It is kept, as a closure for each would be an allocation.
type transfer struct {
	b   []byte
	n   int
	err error
	do  func(fd uintptr) bool
}

// rest is the part of a command that did not go into the socket at once.
type rest struct {
	out chan struct{} // closed once it is written, or can't be
	err error         // valid then
}

// An answer is bounded in bytes and in time, whatever it says of itself.
const (
	maxAnswer  = 160 << 10              // two heads of 16 KiB and two values, with room for chunks and provisional answers
	answerRest = 250 * time.Millisecond // for the rest to come once it has begun; aims are longer, so a read is tried again in time
)

// lineSize is the size of a reader's buffer, and the longest line that a protocol can read.
const lineSize = 4096

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
	c := &conn{Conn: opened, t: t, raw: raw, fresh: true}
	c.end = func() { raw.Control(shutdown) } //nolint:errcheck // it has been closed already
	c.read.do, c.write.do = c.receive, c.launch
	c.in = bufio.NewReaderSize(c, lineSize)
	return c, nil
}

// shutdown ends a connection both ways at once. serve sees the end and closes it: Close waits for who reads, and an engine that
// gives up thousands of attempts together would wait for each.
func shutdown(fd uintptr) {
	syscall.Shutdown(int(fd), syscall.SHUT_RDWR) //nolint:errcheck // it has ended already
}

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
	c.read.b, c.read.n, c.read.err = b[:min(len(b), c.left)], 0, nil
	err := c.raw.Read(c.read.do)
	if err == nil {
		err = c.read.err
	}
	n := c.read.n
	c.read.b = nil
	c.left -= n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.New("answer stopped short")
	}
	return n, err
}

// receive reads what is there. It does so with mu held: what was read while there was no work is nobody's answer, however
// late serve comes to look at it.
func (c *conn) receive(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := syscall.Read(int(fd), c.read.b)
	for errors.Is(err, syscall.EINTR) {
		n, err = syscall.Read(int(fd), c.read.b)
	}
	if errors.Is(err, syscall.EAGAIN) {
		return false
	}
	if c.read.n = max(n, 0); err != nil {
		c.read.err = fmt.Errorf("reading: %w", err)
	} else if n == 0 {
		c.read.err = io.EOF
	}
	c.dead = c.dead || !c.busy && (c.tls == nil || !c.fresh) // a handshake is no answer, nor are the tickets behind it
	return true
}

// begun waits for an answer's first byte and bounds the rest.
func (c *conn) begun() error {
	c.left, c.began = maxAnswer, time.Time{}
	if _, err := c.in.Peek(1); err != nil {
		return err
	}
	c.began = time.Now()
	return nil
}

// clean tells whether nothing has come with the answer that was read. What else is there belongs to no request; what comes
// later ends the connection.
func (c *conn) clean() bool {
	c.began = time.Time{}
	if c.timed {
		c.timed = false
		if c.SetReadDeadline(time.Time{}) != nil {
			return false
		}
	}
	return c.in.Buffered() == 0 && !c.tls.pending()
}

// start's results.
type startResult int

const (
	started    startResult = iota
	unfit                  // the connection has ended, or brought what nobody asked for: nothing was written
	calledOff              // the work is no longer wanted: nothing was written
	unsayable              // the protocol has no words for it: nothing was written
	notWritten             // the last byte is not out, so nothing can have run
)

// leavesConnection says whether the connection is as it was.
func (r startResult) leavesConnection() bool { return r == calledOff || r == unsayable }

// start begins work on a connection that was taken from the pool, without waiting for the socket.
func (c *conn) start(w work) startResult {
	w.stop.OnCancel(c.end) // ahead of all else: the answer may be read before this returns
	got := c.begin(w)
	if got != started {
		w.stop.Detach()
	}
	return got
}

// begin is start with the lock held.
func (c *conn) begin(w work) startResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return unfit
	}
	w.opening = c.fresh
	if c.tls != nil && !c.tls.mu.TryLock() { // the TLS writes something of its own just now, which the engine does not wait for
		return unfit
	}
	c.work = w
	c.write.b, c.write.n, c.write.err = nil, 0, nil
	err := c.raw.Write(c.write.do)
	wire := c.write.b // with TLS, its records
	c.write.b = nil
	got := c.launched(err)
	if got != started {
		c.written()
		c.work, c.dead = work{}, c.dead || !got.leavesConnection()
		return got
	}
	c.fresh, c.busy, c.rest = false, true, nil
	if c.write.n < len(wire) {
		c.rest = &rest{out: make(chan struct{})}
		go c.finish(wire[c.write.n:], c.rest, c.work.try.WriteBy, w.caller)
		return started
	}
	c.written()
	w.caller.Written()
	return started
}

// written tells that a command is out, or will never be.
func (c *conn) written() {
	if c.tls != nil {
		c.tls.mu.Unlock()
	}
}

// errCalledOff is launch's, for work that is no longer wanted.
var errCalledOff = errors.New("called off")

// errUnfit is launch's, for a connection that is not quiet.
var errUnfit = errors.New("not quiet")

// errUnsayable is launch's, for a request that the protocol has no words for.
var errUnsayable = errors.New("not sayable")

// launch makes and writes the command of the work, after a last look: an end, a reset or a stray answer makes a connection useless, and
// a request written to it would end as a reset, or be given what was meant for nobody.
func (c *conn) launch(fd uintptr) bool {
	t := &c.write
	if !sock.QuietFD(fd) && (c.tls == nil || !c.fresh) { // behind a handshake come tickets
		t.err = errUnfit
		return true
	}
	var wanted bool
	if c.work.try, wanted = c.work.caller.Begin(); !wanted {
		t.err = errCalledOff
		return true
	}
	if t.b, t.err = c.command(); t.err != nil {
		return true
	}
	if c.tls != nil {
		if t.b, t.err = c.tls.seal(t.b); t.err != nil {
			return true
		}
	}
	n, err := syscall.Write(int(fd), t.b)
	if t.n = max(n, 0); err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		t.err = fmt.Errorf("writing: %w", err)
	}
	return true
}

// command is what the work writes.
func (c *conn) command() ([]byte, error) {
	w := &c.work
	wire := []byte(w.probe)
	if w.r != nil {
		var err error
		if wire, err = c.t.proto.Command(c.t.addr, w.r, w.try); err != nil {
			return nil, fmt.Errorf("%w: %w", errUnsayable, err)
		}
	}
	if w.opening {
		wire = append(c.t.proto.Open(), wire...)
	}
	return wire, nil
}

// launched says what became of launch, which did not run where err is the socket's.
func (c *conn) launched(err error) startResult {
	switch {
	case err != nil || errors.Is(c.write.err, errUnfit):
		return unfit
	case errors.Is(c.write.err, errCalledOff):
		return calledOff
	case errors.Is(c.write.err, errUnsayable):
		return unsayable
	case c.write.err != nil:
		return notWritten
	}
	return started
}

// finish writes the rest of a command by a time. Without its last byte the server has not begun it.
func (c *conn) finish(wire []byte, r *rest, by time.Time, caller engine.AttemptHandler) {
	defer close(r.out)
	defer c.written()
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
	for c.next() {
	}
}

// next reads one answer and tells whether the connection goes on.
func (c *conn) next() bool {
	err := c.begun()
	c.mu.Lock()
	if c.dead || !c.busy {
		c.dead = true
		c.mu.Unlock()
		c.t.pool.drop(c)
		return false
	}
	w, r := c.work, c.rest
	c.mu.Unlock()
	reply, last, err := c.answer(w, err)
	if r != nil {
		<-r.out
		if r.err != nil {
			reply, err = engine.Reply{Status: decide.ConnectError, Load: decide.NoLoad}, r.err
		}
	}
	if err == nil && reply.UnreadBytes > 0 {
		return c.passOn(w, reply, last)
	}
	reuse := err == nil && !last && c.clean()
	c.over()
	kept := c.t.pool.put(c, w.stop.Detach() && reuse)
	w.caller.Done(reply)
	return kept
}

// over ends the work on the connection.
func (c *conn) over() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.work, c.rest = false, work{}, nil
}

// answer reads the answer to some work, of which the first byte is there, or err instead.
func (c *conn) answer(w work, err error) (a engine.Reply, last bool, _ error) {
	a.Load = decide.NoLoad
	if err != nil { // ended after the last byte: it may have run
		a.Status = decide.Reset
		return a, true, err
	}
	if w.opening {
		err = c.t.proto.Opened(c.in)
	}
	switch {
	case err != nil:
	case w.r == nil:
		a.Status = decide.OK
		a.Load, err = c.t.proto.Load(c.in)
	default:
		a, last, err = c.t.proto.Answer(c.in, c.t.addr, w.r, w.try)
	}
	if err == nil && a.UnreadBytes > 0 { // its first bytes are there before anybody is told: until then it can be tried again
		_, err = c.in.Peek(1)
	}
	if err != nil { // not understood, or it broke off: it has run, and the server was at work
		a.Status = decide.InvalidAnswer
	}
	return a, last, err
}
