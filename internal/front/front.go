// Package front serves the connections of clients, in whatever protocol they speak: places, idle times, pipelined commands
// and their answers in order.
package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// Bounds on clients. What a client is owed an answer for is bounded by its own deadline.
const (
	lineSize     = 4096                   // of a reader's buffer, and the longest line that a protocol can read
	maxPipelined = 16                     // commands of a connection that wait for their answer
	maxUnknown   = 4                      // commands of a connection that the router does not know
	firstTime    = 2 * time.Second        // for the first command to come whole
	commandTime  = 2 * time.Second        // for a later one to come whole once it has begun
	rest         = 100 * time.Millisecond // a connection that has just been answered is kept for
	answerTime   = 5 * time.Second        // for a client to take its answers
	lingerTime   = 500 * time.Millisecond // for a client that was turned away to close
	lingerBytes  = 256 << 10              // of its input that are read meanwhile
	askSoon      = 200 * time.Millisecond // a connection that has asked nothing after that
	asksNothing  = time.Second            // counts as idle for that much longer
)

// Protocol is what clients speak.
type Protocol interface {
	Session() Session
	Idle() time.Duration // for the next command to begin
	Drain()              // clients are to be sent elsewhere, where the protocol can
}

// Session is the protocol on one connection. Its methods are called by the connection's reader alone, but for Render.
type Session interface {
	// Read reads one command whose first byte has come, and takes its room from e where it holds a value. An error that is
	// none of Malformed means that nothing more can be read. ready says whether clients may be sent here.
	Read(in *bufio.Reader, e *engine.Engine, ready func() bool) (Command, error)
	// Malformed gives the answer to input that makes no sense; ok is false where the error is another.
	Malformed(err error) (text []byte, ok bool)
}

// Command is one command of a client.
type Command struct {
	Text    []byte                                      // the answer, where there is no request
	Request *engine.Request                             // nil: Text is the answer
	Render  func(*engine.Request, engine.Answer) []byte // of the request's final answer; runs on the engine's goroutine
	Unknown bool                                        // counts towards the few that a client may send
	Lane    int                                         // commands of a connection with the same, above 0, are carried out one after the other
	End     bool                                        // the connection ends behind the answer
}

// slot is the place of a command's answer among those of its connection.
type slot struct {
	engine.Ticket
	c     *clientConn
	text  []byte // guarded by c.mu, as the others
	lane  int
	ready bool
}

// Clients serves the connections of one listener.
type Clients struct {
	e        *engine.Engine
	proto    Protocol
	ln       net.Listener
	room     chan struct{} // a place for each connection that may be open
	readers  sync.Pool     // of *bufio.Reader: bad clients come and go by hundreds
	draining atomic.Bool
	asked    atomic.Int64 // connections that have asked
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// clientConn is a client's connection. One goroutine reads commands; while there are answers to write, another writes
// them in the order of the commands.
type clientConn struct {
	net.Conn
	s       *Clients
	session Session
	r       *bufio.Reader
	counted atomic.Bool // among those that have asked

	mu      sync.Mutex
	changed sync.Cond // the queue got shorter
	queue   []*slot   // whose answers are not being written yet
	writing int       // answers that are
	broken  bool      // nothing can be written any more
	asked   bool      // a command has come
	reading bool      // another has begun
	closing bool      // ends as soon as nothing waits for its answer
	since   time.Time // idle since, while nothing is open
	flushes bool      // its answers are written at the end of the engine's batch

	raw     syscall.RawConn // nil = it has none
	once    quickWrite
	flushed func() // flush, made once
}

// open counts the commands that are not answered. The caller holds mu.
func (c *clientConn) open() int { return len(c.queue) + c.writing }

// New serves the clients that come to ln, at most limit at once, once Start is called.
func New(e *engine.Engine, proto Protocol, ln net.Listener, limit int) *Clients {
	return &Clients{e: e, proto: proto, ln: ln, room: make(chan struct{}, limit), conns: map[*clientConn]struct{}{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, lineSize) }}}
}

// Start takes connections until the listener is closed. Drain waits for all that it starts.
func (s *Clients) Start() { s.wg.Go(s.accept) }

// accept takes connections until the listener is closed.
func (s *Clients) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			log.Printf("accepting: %v", err)
			time.Sleep(100 * time.Millisecond) // as with no descriptor left: not in a tight loop
			continue
		}
		s.place()
		s.serve(c)
	}
}

// place takes a place for a connection. When all are taken, the connection that has been idle for longest gives way;
// where each has a request open, the next one waits.
func (s *Clients) place() {
	for {
		select {
		case s.room <- struct{}{}:
			return
		default:
		}
		s.evict(false)
		select {
		case s.room <- struct{}{}:
			return
		case <-time.After(10 * time.Millisecond): // it may have got a request just then
		}
	}
}

// evict ends the connection that has been idle for longest. With asked set, only those that have asked and since rested
// for a moment count.
func (s *Clients) evict(asked bool) {
	var oldest *clientConn
	var since time.Time
	s.mu.Lock()
	for c := range s.conns {
		at, idle := c.idle()
		if asked && (!c.counted.Load() || time.Since(at) < rest) {
			continue
		}
		if idle && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.drop()
	}
}

// crowd counts a connection that has asked for the first time. Where many ask once and keep their connection, its end by
// time comes too late: they would hold all that clients may have, and the next requests had none.
func (s *Clients) crowd(c *clientConn) {
	c.counted.Store(true)
	if s.asked.Add(1) > int64(cap(s.room)/2) {
		s.evict(true)
	}
}

func (s *Clients) serve(nc net.Conn) {
	r := s.readers.Get().(*bufio.Reader)
	r.Reset(nc)
	c := &clientConn{Conn: nc, s: s, session: s.proto.Session(), r: r, since: time.Now()}
	c.changed.L = &c.mu
	c.flushed, c.once.do = c.flush, c.once.write
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // nil where there is none
	}
	nc.SetReadDeadline(time.Now().Add(firstTime))
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Go(func() {
		turnedAway := c.read()
		c.finish(turnedAway)
		if c.counted.Load() {
			s.asked.Add(-1)
		}
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		r.Reset(nil)
		s.readers.Put(r)
		<-s.room
	})
	if s.draining.Load() {
		c.drain()
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
	if c.closing = true; !c.reading {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// drop ends the connection at once if no request is open: half a command is none.
func (c *clientConn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open() == 0 {
		c.closing = true
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// begin tells that a command has begun. The first one's time has run since the connection came.
func (c *clientConn) begin(first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading = true; !first || c.closing {
		c.SetReadDeadline(time.Now().Add(commandTime))
	}
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
	case c.closing: // what has come already is answered
		return c.r.Buffered() > 0
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
		if errors.Is(err, os.ErrDeadlineExceeded) && sock.Waiting(c.Conn) { // a command that crosses the end of the time
			c.begin(false)
			_, err = c.r.Peek(1)
		}
		if err != nil {
			return c.unread(err)
		}
		c.begin(first)
		cmd, err := c.session.Read(c.r, c.s.e, c.s.ready)
		read := c.s.e.Now()
		if err != nil {
			text, ok := c.session.Malformed(err)
			if !ok {
				return c.unread(err)
			}
			cmd = Command{Text: text, End: true}
		}
		if cmd.Lane > 0 {
			c.inTurn(cmd.Lane)
		}
		sl := c.push(cmd.Lane)
		if cmd.Request == nil {
			sl.answer(cmd.Text, false)
		} else {
			sl.Answer = func(q *engine.Request, a engine.Answer) {
				text := []byte(nil)
				if a.Result != engine.Gone {
					text = cmd.Render(q, a)
				}
				sl.answer(text, true)
			}
			c.s.e.Post(func() { c.s.e.Arrive(cmd.Request, read, &sl.Ticket) })
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
	c.mu.Lock()
	open := c.queue
	c.broken, c.queue = true, nil
	for _, sl := range open {
		if sl.ready {
			c.s.e.Queued.Give(len(sl.text))
		}
	}
	c.mu.Unlock()
	for _, sl := range open {
		c.s.e.Post(func() { c.s.e.Leave(&sl.Ticket) })
	}
	return false
}

// finish waits until all answers are out and closes the connection. A close with input unread would reset it, and might
// destroy answers on their way: a client that was turned away sees the end of the answers first, and is read on for a
// bounded time.
func (c *clientConn) finish(turnedAway bool) {
	c.mu.Lock()
	for c.open() > 0 && !c.broken {
		c.changed.Wait()
	}
	broken := c.broken
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && turnedAway && !broken && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(lingerTime))
		io.CopyBuffer(io.Discard, io.LimitReader(onlyReader{c.Conn}, lingerBytes), make([]byte, lineSize)) //nolint:errcheck // it is unwanted
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

// push makes a place for the answer to a command that has come.
func (c *clientConn) push(lane int) *slot {
	sl := &slot{c: c, lane: lane}
	c.mu.Lock()
	c.queue = append(c.queue, sl)
	c.mu.Unlock()
	return sl
}

// answer gives the answer to a command. It does not block. On the engine's goroutine the answers of a batch of events go out
// together.
func (sl *slot) answer(text []byte, engines bool) {
	c := sl.c
	c.s.e.Queued.Add(len(text))
	c.mu.Lock()
	defer c.mu.Unlock()
	if sl.lane > 0 {
		defer c.changed.Broadcast()
	}
	if sl.text, sl.ready = text, true; c.broken {
		c.s.e.Queued.Give(len(text))
		return
	}
	switch {
	case c.writing > 0 || c.flushes || !c.queue[0].ready:
	case engines:
		c.flushes = true
		c.s.e.AtEnd(c.flushed)
	default:
		out, size := c.batch()
		c.s.wg.Go(func() { c.write(out, size) })
	}
}

// flush writes the answers that are there as far as that needs no waiting; a goroutine writes the rest.
func (c *clientConn) flush() {
	c.mu.Lock()
	c.flushes = false
	var out net.Buffers
	size := 0
	if !c.broken && c.writing == 0 && len(c.queue) > 0 && c.queue[0].ready {
		out, size = c.batch()
	}
	c.mu.Unlock()
	for len(out) > 0 {
		if !c.quick(&out, size) {
			c.s.wg.Go(func() { c.write(out, size) })
			return
		}
		c.s.e.Queued.Give(size)
		out, size = c.written(nil)
	}
}

// maxQuick bounds the bytes that are written without a goroutine of their own.
const maxQuick = 16 << 10

// quickWrite is one write that does not wait, with what it needs kept: a closure for each would cost an allocation.
type quickWrite struct {
	text []byte
	buf  []byte // for several answers in one write
	n    int
	do   func(fd uintptr) bool
}

func (q *quickWrite) write(fd uintptr) bool {
	q.n, _ = syscall.Write(int(fd), q.text) // an error shows when the rest is written
	return true
}

// quick writes what it can without waiting, leaves the rest in out, and says whether that is nothing.
func (c *clientConn) quick(out *net.Buffers, size int) bool {
	if c.raw == nil || size > maxQuick {
		return false
	}
	q := &c.once
	if q.text = (*out)[0]; len(*out) > 1 {
		q.buf = q.buf[:0]
		for _, b := range *out {
			q.buf = append(q.buf, b...)
		}
		q.text = q.buf
	}
	q.n = 0
	if err := c.raw.Write(q.do); err != nil {
		return false
	}
	q.text = nil
	if q.n = max(0, q.n); q.n >= size {
		return true
	}
	for left := q.n; left > 0; {
		n := min(left, len((*out)[0]))
		if left -= n; n == len((*out)[0]) {
			*out = (*out)[1:]
		} else {
			(*out)[0] = (*out)[0][n:]
		}
	}
	return false
}

// batch takes the answers that are there off the queue, in the order of the commands. The caller holds mu.
func (c *clientConn) batch() (out net.Buffers, size int) {
	c.writing = 0
	for len(c.queue) > 0 && c.queue[0].ready {
		out, size = append(out, c.queue[0].text), size+len(c.queue[0].text)
		c.queue, c.writing = c.queue[1:], c.writing+1
	}
	return out, size
}

// write writes answers until none is there.
func (c *clientConn) write(out net.Buffers, size int) {
	for len(out) > 0 {
		c.SetWriteDeadline(time.Now().Add(answerTime))
		_, err := out.WriteTo(c.Conn)
		c.s.e.Queued.Give(size)
		out, size = c.written(err)
	}
}

// written books what has been written and returns what is next.
func (c *clientConn) written(err error) (out net.Buffers, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
	if err != nil && !c.broken {
		c.broken = true
		c.Close() // which ends the reader too; it tells the loop
	}
	if c.broken {
		c.writing = 0
		return nil, 0
	}
	if out, size = c.batch(); c.open() == 0 {
		c.queue = nil // and the answers that its array holds
		if c.since = time.Now(); !c.closing {
			c.SetReadDeadline(c.since.Add(c.s.proto.Idle()))
		}
	}
	return out, size
}

// ready says whether clients may be sent here: a list is held and the router goes on.
func (s *Clients) ready() bool { return s.e.Ready() && !s.draining.Load() }

// HandOn sends clients elsewhere from now on, where the protocol can; what they send all the same is served.
func (s *Clients) HandOn() { s.proto.Drain() }

// Drain has every connection closed once it has nothing to answer, and returns when all are, or ctx ends.
func (s *Clients) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	closed := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(closed)
	}()
	select {
	case <-closed:
	case <-ctx.Done():
		s.mu.Lock()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		<-closed
	}
}
