// Package front serves the connections of clients, in whatever protocol they speak: places, idle times, pipelined commands
// and their answers in order.
package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// Bounds on clients. What a client is owed an answer for is bounded by its own deadline.
const (
	maxLineBytes         = 4096                    // of a reader's buffer, and the longest line that a protocol can read
	maxPipelinedCommands = 16                      // commands of a connection that wait for their answer
	maxInvalidCommands   = 4                       // commands of a connection that the router does not know
	firstCommandTimeout  = 2600 * time.Millisecond // for the first command to come whole: a client may take two seconds for its head, and more is no good one
	commandTimeout       = 2200 * time.Millisecond // for a later one to come whole once it has begun
	valueTimePerByte     = 4 * time.Microsecond    // more for each byte of a long value: a client writes 250 kB a second at least
	minRestTime          = 100 * time.Millisecond  // a connection that has just been answered is kept for
	answerWriteTimeout   = 5 * time.Second         // for a client to take its answers
	lingerTime           = 500 * time.Millisecond  // for a client that was turned away to close
	lingerBytes          = 256 << 10               // of its input that are read meanwhile
	throttleDelay        = 500 * time.Millisecond  // before who floods is answered: it costs a place that gives way, and little else
	firstByteTimeout     = 300 * time.Millisecond  // a connection that comes while others are closed has for its first byte
	throttlePollInterval = 25 * time.Millisecond   // looks at whether the place is wanted meanwhile
	bufferRetryTimeout   = time.Second             // for which a call is made again that the system lacks buffers for,
	bufferRetryInterval  = 2 * time.Millisecond    // so often
	silentGrace          = 200 * time.Millisecond  // a connection that has asked nothing after that
	silentPenalty        = time.Second             // counts as idle for that much longer
)

// Protocol is what clients speak.
type Protocol interface {
	Session(Peer) Session
	Idle() time.Duration // for the next command to begin
	Drain(yes bool)      // whether clients are to be sent elsewhere, where the protocol can
}

// Session is the protocol on one connection. Its methods are called by the connection's reader alone, but for Render.
type Session interface {
	// Read reads one command whose first byte has come, and takes its room from e where it holds a value. An error that is
	// none of Malformed means that nothing more can be read. ready says whether clients may be sent here.
	Read(in *bufio.Reader, e *engine.Engine, ready func() bool) (Command, error)
	// Malformed gives the answer to input that makes no sense; ok is false where the error is another.
	Malformed(err error) (text []byte, ok bool)
	// Revoked says whether what the connection's caller rests on has been taken back. It may be called from any goroutine.
	Revoked() bool
	// Tenant is whose connection it is, "" = nobody's that is known. The reader alone calls it.
	Tenant() string
	// TooManyConnections is the answer to who has come while that tenant has all the connections it may have.
	TooManyConnections() []byte
}

// Command is one command of a client.
type Command struct {
	Text     []byte                                      // the answer, where there is no request
	Request  *engine.Request                             // nil: Text is the answer
	Render   func(*engine.Request, engine.Answer) []byte // of the request's final answer; runs on the engine's goroutine
	Invalid  bool                                        // counts towards the few that a client may send
	OrderKey int                                         // commands of a connection with the same, above 0, are carried out one after the other
	End      bool                                        // the connection ends behind the answer
	Delayed  bool                                        // its sender floods: the answer comes after throttleDelay
}

// ConnManager serves the connections of one listener.
type ConnManager struct {
	engine        *engine.Engine
	protocol      Protocol
	listener      net.Listener
	slots         chan struct{} // a place for each connection that may be open
	readers       sync.Pool     // of *bufio.Reader: bad clients come and go by hundreds
	advertised    atomic.Bool   // clients may be sent here
	draining      atomic.Bool   // a connection ends as soon as nothing is open on it
	activeConns   atomic.Int64  // connections that have asked
	reservedSlots atomic.Int64  // places that are kept free
	limiter       *connLimiter  // nil = they are divided between nobody
	wg            sync.WaitGroup

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// New serves the clients that come to ln, at most limit at once, once Start is called. Their places are divided between tenants, within
// quota; nil = they are not.
func New(e *engine.Engine, proto Protocol, ln net.Listener, limit int, quota *Quota) *ConnManager {
	s := &ConnManager{engine: e, protocol: proto, listener: ln, limiter: newConnLimiter(limit, quota), slots: make(chan struct{}, limit), conns: map[*clientConn]struct{}{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}}
	s.advertised.Store(true)
	return s
}

// Start takes connections until the listener is closed. Drain waits for all that it starts.
func (s *ConnManager) Start() { s.wg.Go(s.acceptLoop) }

// acceptLoop takes connections until the listener is closed.
func (s *ConnManager) acceptLoop() {
	var away acceptGap
	for {
		began := time.Now()
		c, err := s.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			slog.Warn("accepting failed", "err", err)
			if !sock.IsPendingConnError(err) {
				time.Sleep(acceptRetryDelay)
				away = acceptGap{began, time.Now()}
			}
			continue
		}
		came := away.earliestArrival(began, time.Now())
		placed := time.Now()
		s.acquireSlot()
		if now := time.Now(); now.Sub(placed) > immediateAcceptTime {
			away = acceptGap{placed, now}
		}
		s.serveConn(c, came)
	}
}

// acceptGap is a time in which no connection was accepted: those that came meanwhile waited in the system's queue.
type acceptGap struct{ start, end time.Time }

// addUnidentified is when a connection came, at the earliest, that accept was called for and gave at these times.
func (a acceptGap) earliestArrival(called, gave time.Time) time.Time {
	if gave.Sub(called) < immediateAcceptTime && gave.Sub(a.end) < backlogDrainTime {
		return a.start
	}
	return gave
}

// acquireSlot takes a place for a connection. When all are taken, the connection that has been idle for longest gives way;
// where each has a request open, the next one waits.
func (s *ConnManager) acquireSlot() {
	for {
		select {
		case s.slots <- struct{}{}:
			return
		default:
		}
		s.evictIdle(evictionRule{tenant: unidentified})
		select {
		case s.slots <- struct{}{}:
			return
		case <-time.After(10 * time.Millisecond): // it may have got a request just then
		}
	}
}

// SetUsableShare has connections take a part of the places from now on, and returns once no more than those are taken, or ctx ends. Idle connections
// give way. One caller at a time.
func (s *ConnManager) SetUsableShare(ctx context.Context, part float64) error {
	keep := int64(float64(cap(s.slots)) * (1 - part))
	for s.reservedSlots.Load() > keep {
		<-s.slots
		s.reservedSlots.Add(-1)
	}
	for s.reservedSlots.Load() < keep {
		select {
		case s.slots <- struct{}{}:
			s.reservedSlots.Add(1)
			continue
		default:
		}
		s.evictIdle(evictionRule{tenant: unidentified})
		select {
		case s.slots <- struct{}{}:
			s.reservedSlots.Add(1)
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("places: %d are still taken of %d: %w", int64(cap(s.slots))-s.reservedSlots.Load(), int64(cap(s.slots))-keep, ctx.Err())
		}
	}
	return nil
}

// countActive counts a connection that has asked for the first time. Where many ask once and keep their connection, its end by
// time comes too late: they would hold all that clients may have, and the next requests had none.
func (s *ConnManager) countActive(c *clientConn) {
	c.countedActive.Store(true)
	if s.activeConns.Add(1) > (int64(cap(s.slots))-s.reservedSlots.Load())/2 {
		s.evictIdle(evictionRule{tenant: unidentified, requireRest: true})
	}
}

// acceptRetryDelay is waited for where accepting fails for want of a descriptor or of memory.
const acceptRetryDelay = 100 * time.Millisecond

// backlogDrainTime is how long after an absence the system's queue may still hold connections of before.
const backlogDrainTime = 50 * time.Millisecond

// immediateAcceptTime is how long accepting takes at most where a connection was there already.
const immediateAcceptTime = 2 * time.Millisecond

// completeStream serves a connection that came at a time.
func (s *ConnManager) serveConn(nc net.Conn, came time.Time) {
	r := s.readers.Get().(*bufio.Reader)
	c := &clientConn{Conn: nc, manager: s, reader: r, idleSince: time.Now()}
	r.Reset(c)
	c.arrival.lastEmpty = s.engine.Now() - float64(time.Since(came))/float64(time.Millisecond)
	c.queueChanged.L = &c.mu
	c.flushFunc, c.directWrite.writeFunc = c.flushAnswers, c.directWrite.write
	if sc, ok := nc.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn() // nil where there is none
	}
	nc.SetReadDeadline(time.Now().Add(firstCommandTimeout))
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if s.limiter.addUnidentified() {
		s.evictIdle(evictionRule{tenant: unidentified, sameTenant: true, exclude: c})
	}
	s.wg.Go(func() {
		if c.startSession() {
			c.finish(c.readCommands())
		} else {
			c.Close()
		}
		if c.countedActive.Load() {
			s.activeConns.Add(-1)
		}
		s.mu.Lock()
		delete(s.conns, c)
		party := c.tenant
		s.mu.Unlock()
		s.limiter.remove(party)
		r.Reset(nil)
		s.readers.Put(r)
		<-s.slots
	})
	if s.draining.Load() {
		c.drain()
	}
}

// Ready says whether clients may be sent here: a list is held and the router goes on.
func (s *ConnManager) Ready() bool { return s.engine.Ready() && s.advertised.Load() }

// DrainRevoked ends the connections whose caller rests on what has been taken back, once what they have asked is answered.
func (s *ConnManager) DrainRevoked() {
	s.mu.Lock()
	var over []*clientConn
	for c := range s.conns {
		if c.revoked() {
			over = append(over, c)
		}
	}
	s.mu.Unlock()
	for _, c := range over {
		c.drain()
	}
}

// SetAdvertised says whether clients may be sent here, to who asks. Without stay they are sent elsewhere, where the protocol can; what they
// send all the same is served.
func (s *ConnManager) SetAdvertised(yes, stay bool) {
	s.advertised.Store(yes)
	s.protocol.Drain(!stay)
}

// SetDraining has every connection closed once it has nothing to answer, and those that still come behind their first answer; or no longer.
// Those that are being closed stay so.
func (s *ConnManager) SetDraining(yes bool) {
	if s.draining.Swap(yes) == yes || !yes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
}

// Drain has every connection closed once it has nothing to answer, and returns when all are, or ctx ends.
func (s *ConnManager) Drain(ctx context.Context) {
	s.SetDraining(true)
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
			c.forceClose()
		}
		s.mu.Unlock()
		<-closed
	}
}
