// Package front serves client connections, whatever protocol the clients speak. It limits the number of
// connections, enforces timeouts, and answers pipelined commands in order.
package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// Limits on clients. The time until a request is answered is bounded by its own deadline.
const (
	maxLineBytes         = 4096 // size of a read buffer, and the longest line that a protocol can read
	maxPipelinedCommands = 16   // unanswered commands per connection
	maxInvalidCommands   = 4    // invalid commands per connection before it is closed
	// Time to read the first command completely. A well-behaved client takes up to two seconds to send its
	// head.
	firstCommandTimeout = 2600 * time.Millisecond
	// Time to read a later command completely, from its first byte.
	commandTimeout = 2200 * time.Millisecond
	// Added per byte of a value: the minimum rate is 16 kB/s for bufferedValue bytes and 250 kB/s beyond.
	shortValueTimePerByte = 64 * time.Microsecond
	valueTimePerByte      = 4 * time.Microsecond
	bufferedValue         = 64 << 10
	// Minimum idle time of a connection that countActive may evict: one that was answered just now is kept.
	minRestTime        = 100 * time.Millisecond
	answerWriteTimeout = 5 * time.Second        // for a client to take more of its answers
	lingerTime         = 500 * time.Millisecond // for a client to close its side after it was rejected
	lingerBytes        = 256 << 10              // input read and discarded during lingerTime
	// Delay before a throttled sender is answered. It costs only a connection slot, which can be reclaimed.
	throttleDelay = 500 * time.Millisecond
	// Time for the first byte of a connection that arrives while connections are being drained.
	firstByteTimeout = 300 * time.Millisecond
	// How long a call that fails for lack of system buffers is retried.
	bufferRetryTimeout  = time.Second
	bufferRetryInterval = 2 * time.Millisecond // between these retries
	// A connection that has sent no command for silentGrace counts as idle for silentPenalty longer.
	silentGrace   = 200 * time.Millisecond
	silentPenalty = time.Second
)

// Protocol is a protocol that clients speak.
type Protocol interface {
	Session(Peer) Session
	Idle() time.Duration // timeout for the next command to begin
	Drain(yes bool)      // whether to redirect clients to another router, if the protocol can
}

// Session handles the protocol on one connection. Except for Revoked, its methods are called only by the
// connection's reader goroutine.
type Session interface {
	// Read reads one command whose first byte has arrived, and reserves memory for its value from e. After
	// an error that Malformed does not recognize, nothing more can be read. ready reports whether clients
	// may be sent to this router.
	Read(in *bufio.Reader, e *engine.Engine, ready func() bool) (Command, error)
	// Malformed returns the answer to malformed input; ok is false if err has another cause.
	Malformed(err error) (text []byte, ok bool)
	// Revoked reports whether the credentials of the connection's caller have been revoked. It may be
	// called from any goroutine.
	Revoked() bool
	// Tenant returns the tenant of the connection, or "" if it is not identified. Only the reader calls it.
	Tenant() string
	// TooManyConnections returns the answer to a connection whose tenant is at its connection limit.
	TooManyConnections() []byte
}

// Command is a command read from a client.
type Command struct {
	Text    []byte          // the answer, if Request is nil
	Request *engine.Request // nil: Text is the answer
	// Render formats the request's final answer. It runs on the engine's goroutine.
	Render   func(*engine.Request, engine.Answer) []byte
	Invalid  bool // counts towards maxInvalidCommands
	OrderKey int  // commands of a connection with the same key above 0 run one after the other
	End      bool // the connection is closed after the answer
	Delayed  bool // the sender is throttled: the answer is sent after throttleDelay
	Work     int  // units of work beyond those of an ordinary command, see Pacer
}

// ConnManager accepts and serves the connections of one listener.
type ConnManager struct {
	engine        *engine.Engine
	protocol      Protocol
	listener      net.Listener
	slots         chan struct{}               // one element for each open connection or reserved slot
	readers       sync.Pool                   // of *bufio.Reader, as misbehaving clients reconnect by the hundreds
	advertised    atomic.Bool                 // clients may be sent to this router
	draining      atomic.Pointer[DrainLimits] // see StartDraining; nil = not draining
	activeConns   atomic.Int64                // connections that have sent a command
	reservedSlots atomic.Int64                // slots withheld by SetUsableShare
	limiter       *connLimiter                // nil = slots are not divided between tenants
	pacer         *Pacer                      // limits the work that clients cause beside requests
	wg            sync.WaitGroup

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// New returns a ConnManager that serves at most limit connections of ln at a time, once Start is called.
// The slots are divided between tenants, within quota; if quota is nil, they are not.
func New(e *engine.Engine, proto Protocol, ln net.Listener, limit int, quota *Quota) *ConnManager {
	m := &ConnManager{engine: e, protocol: proto, listener: ln, limiter: newConnLimiter(limit, quota), slots: make(chan struct{}, limit), conns: map[*clientConn]struct{}{},
		readers: sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxLineBytes) }}}
	m.advertised.Store(true)
	m.pacer = NewPacer()
	return m
}

// SetPacer shares a Pacer with the other ConnManagers of the engine. It must be called before Start.
func (m *ConnManager) SetPacer(p *Pacer) { m.pacer = p }

// Start accepts connections until the listener is closed. Drain waits for all goroutines that it starts.
func (m *ConnManager) Start() { m.wg.Go(m.acceptLoop) }

// acceptLoop accepts connections until the listener is closed.
func (m *ConnManager) acceptLoop() {
	var gap acceptGap
	for {
		start := time.Now()
		c, err := m.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			slog.Warn("accept failed", "err", err)
			if !sock.IsPendingConnError(err) {
				time.Sleep(acceptRetryDelay)
				gap = acceptGap{start, time.Now()}
			}
			continue
		}
		arrived := gap.earliestArrival(start, time.Now())
		waitStart := time.Now()
		m.acquireSlot()
		if now := time.Now(); now.Sub(waitStart) > immediateAcceptTime {
			gap = acceptGap{waitStart, now}
		}
		m.serveConn(c, arrived)
	}
}

// acceptGap is a period in which no connection was accepted: those that arrived waited in the listen
// backlog.
type acceptGap struct{ start, end time.Time }

// earliestArrival returns the earliest time at which a connection may have arrived whose call to accept
// began and returned at the given times.
func (a acceptGap) earliestArrival(called, returned time.Time) time.Time {
	if returned.Sub(called) < immediateAcceptTime && returned.Sub(a.end) < backlogDrainTime {
		return a.start
	}
	return returned
}

// acquireSlot takes a slot for a connection. When all are taken, it evicts the connection that has been
// idle for longest; if none is idle, it waits.
func (m *ConnManager) acquireSlot() {
	for {
		select {
		case m.slots <- struct{}{}:
			return
		default:
		}
		m.evictIdle(evictionRule{tenant: unidentified})
		select {
		case m.slots <- struct{}{}:
			return
		case <-time.After(10 * time.Millisecond): // the chosen connection may have got a request just then
		}
	}
}

// SetUsableShare limits connections to a share of the slots (0 to 1). It evicts idle connections and
// returns when no more than that share is taken, or with an error when ctx ends. Not safe for concurrent
// use.
func (m *ConnManager) SetUsableShare(ctx context.Context, share float64) error {
	reserve := int64(float64(cap(m.slots)) * (1 - share))
	for m.reservedSlots.Load() > reserve {
		<-m.slots
		m.reservedSlots.Add(-1)
	}
	for m.reservedSlots.Load() < reserve {
		select {
		case m.slots <- struct{}{}:
			m.reservedSlots.Add(1)
			continue
		default:
		}
		m.evictIdle(evictionRule{tenant: unidentified})
		select {
		case m.slots <- struct{}{}:
			m.reservedSlots.Add(1)
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("connection slots: %d still in use, limit %d: %w", int64(cap(m.slots))-m.reservedSlots.Load(), int64(cap(m.slots))-reserve, ctx.Err())
		}
	}
	return nil
}

// countActive counts a connection that has sent its first command. If more than half of the slots belong to
// such connections, it evicts an idle one: clients that ask once and keep their connection would otherwise
// hold all slots until the idle timeout, and leave none for new requests.
func (m *ConnManager) countActive(c *clientConn) {
	c.countedActive.Store(true)
	if m.activeConns.Add(1) > (int64(cap(m.slots))-m.reservedSlots.Load())/2 {
		m.evictIdle(evictionRule{tenant: unidentified, requireRest: true})
	}
}

// acceptRetryDelay is the delay after accept fails for lack of file descriptors or memory.
const acceptRetryDelay = 100 * time.Millisecond

// backlogDrainTime is how long after an acceptGap the backlog may still hold connections from before its
// end.
const backlogDrainTime = 50 * time.Millisecond

// immediateAcceptTime is the longest that accept takes when a connection is already in the backlog.
const immediateAcceptTime = 2 * time.Millisecond

// serveConn serves a connection that arrived at the given time.
func (m *ConnManager) serveConn(nc net.Conn, arrived time.Time) {
	r := m.readers.Get().(*bufio.Reader)
	c := &clientConn{Conn: nc, manager: m, reader: r, idleSince: time.Now()}
	r.Reset(c)
	c.arrival.lastEmpty = m.engine.Now() - float64(time.Since(arrived))/float64(time.Millisecond)
	c.queueChanged.L = &c.mu
	c.flushFunc, c.directWrite.writeFunc = c.flushAnswers, c.directWrite.write
	if sc, ok := nc.(syscall.Conn); ok {
		c.rawConn, _ = sc.SyscallConn() // nil if there is none
	}
	nc.SetReadDeadline(time.Now().Add(firstCommandTimeout))
	m.mu.Lock()
	m.conns[c] = struct{}{}
	m.mu.Unlock()
	if m.limiter.addUnidentified() {
		m.evictIdle(evictionRule{tenant: unidentified, sameTenant: true, exclude: c})
	}
	m.wg.Go(func() {
		if c.startSession() {
			c.finish(c.readCommands())
		} else {
			c.Close()
		}
		if c.countedActive.Load() {
			m.activeConns.Add(-1)
		}
		m.mu.Lock()
		delete(m.conns, c)
		tenant := c.tenant
		m.mu.Unlock()
		m.limiter.remove(tenant)
		r.Reset(nil)
		m.readers.Put(r)
		<-m.slots
	})
	if limits := m.draining.Load(); limits != nil {
		c.drain(*limits)
	}
}

// Ready reports whether clients may be sent to this router: the engine has a list of servers and the router
// is advertised.
func (m *ConnManager) Ready() bool { return m.engine.Ready() && m.advertised.Load() }

// DrainRevoked closes the connections whose credentials have been revoked, once their open commands are
// answered.
func (m *ConnManager) DrainRevoked() {
	for _, c := range m.openConns() {
		if c.revoked() {
			c.drainRevoked()
		}
	}
}

// SetAdvertised sets whether Ready may report true. Without keepClients, clients are redirected to another
// router if the protocol can; commands that they send nevertheless are served.
func (m *ConnManager) SetAdvertised(advertised, keepClients bool) {
	m.advertised.Store(advertised)
	m.protocol.Drain(!keepClients)
}

// StartDraining closes each connection once all its commands are answered and the client takes its answers, and new
// ones after their first answer. Commands that are read after CloseBy do not keep a connection open: the engine has
// to reject their requests. Repeated calls only bring the limits forward.
func (m *ConnManager) StartDraining(limits DrainLimits) {
	if current := m.draining.Load(); current != nil {
		if limits = current.earliest(limits); limits == *current {
			return
		}
	}
	m.draining.Store(&limits)
	for _, c := range m.openConns() {
		c.drain(limits)
	}
}

// StopDraining stops draining. Connections that are already closing still close as soon as no command is
// open, but no command is limited in time any more.
func (m *ConnManager) StopDraining() {
	if m.draining.Swap(nil) == nil {
		return
	}
	for _, c := range m.openConns() {
		c.liftLimits()
	}
}

// openConns returns the open connections.
func (m *ConnManager) openConns() []*clientConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.conns))
}

// Drain returns when all connections are closed, which StartDraining has begun. When ctx ends, it closes
// those that remain.
func (m *ConnManager) Drain(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		m.wg.Wait()
		close(closed)
	}()
	select {
	case <-closed:
	case <-ctx.Done():
		for _, c := range m.openConns() {
			c.forceClose()
		}
		<-closed
	}
}
