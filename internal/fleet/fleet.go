// Package fleet is the network transport of the fleet protocols. It carries datagrams (UDP) and streams (TCP)
// between the state machines of internal/pure/fleet, internal/pure/quota and internal/pure/admission, which
// take all decisions, and reports the results to the rest of the router.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/pure/admission"
	"mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// Timeouts and limits of the transport. Work beyond a limit is dropped: the protocols tolerate message loss.
const (
	tickInterval           = 50 * time.Millisecond
	streamTimeout          = 400 * time.Millisecond // for connecting; an open stream has twice that
	inboxCapacity          = 512                    // functions that wait for the owner goroutine
	maxStreams             = 32                     // outgoing streams, and as many incoming ones
	maxPushPulls           = 4                      // concurrent view exchanges that this router starts
	maxExchangeFrames      = 4096                   // frames that are read in one exchange
	readBufferBytes        = 1 << 18                // of the UDP socket: a burst of some hundred members
	joinAddrLimit          = 64
	maxChangeLogsPerSecond = 20 // member changes logged per second; the rest is counted
)

// MaxDescriptors is the maximum number of file descriptors that a Fleet holds for its sockets and streams.
const MaxDescriptors = 4 + 2*maxStreams + maxPushPulls

// MaxJoinAddrs is the maximum number of join addresses in a configuration.
const MaxJoinAddrs = joinAddrLimit

// Config configures the fleet membership of a router.
type Config struct {
	Name, Site      string
	Listen          string   // HOST:PORT, for datagrams and streams
	Advertise       string   // HOST:PORT at which other members reach it; "" = the listening address
	Join            []string // HOST:PORT of some other members
	Key             []byte   // MAC key of 32 bytes; nil = no key, allowed for loopback addresses only
	ExpectedRouters int      // assumed number of routers if no other member is reached

	// TierChanged is called on the owner goroutine after each change of this router's share; may be nil.
	TierChanged func(Tier)
	// MembersChanged is called on the owner goroutine after changes with all members that are alive or
	// suspect, this router included; may be nil.
	MembersChanged func([]Member)

	// RequestCount returns the total number of requests so far. Routers lease shares to each other by its
	// rate. It must not block; nil disables leases. Either all routers of a fleet use leases or none does.
	RequestCount func() uint64

	// PoolDemands returns the total demand of each pool so far. ThresholdChanged is called on the owner
	// goroutine with the admission threshold of a pool, valid until a time, while the fleet lacks the
	// capacity to serve all demand. Neither may block; nil PoolDemands disables admission thresholds. Both
	// require RequestCount.
	PoolDemands      func() []PoolDemand
	ThresholdChanged func(pool string, l admission.Threshold, until time.Time)

	// Sockets are inherited from the previous process; nil = the Fleet opens its own.
	Sockets *Sockets
	// AwaitPredecessor waits until the previous process has left the protocol, and returns the state that it
	// handed over, or nil if there is none. An error means that this process never takes over. The function
	// is nil if there was no previous process.
	AwaitPredecessor func(ctx context.Context) (*HandoverState, error)
}

// PoolDemand is the demand of a pool so far.
type PoolDemand struct {
	Pool string
	admission.Demand
}

// Member is a router that is alive or suspect.
type Member struct {
	Name string
	Host string // IP address at which other members reach it
	Meta string // metadata that it announces; see Fleet.SetMeta
}

// Tier is this router's share of the resources that all routers of the tier have in common.
type Tier struct {
	Routers int       // number of present routers, this one included
	Parts   float64   // the share is 1/Parts
	Until   time.Time // expiry of the share, with a monotonic reading; zero = it does not expire
	Then    float64   // value of Parts after Until
}

// Counters holds totals since the start: datagrams sent and received, bytes sent and received in datagrams
// and streams, messages rejected (Refused), work dropped at a limit or by a failed exchange, and member state
// changes.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes, Refused, Dropped, Changes uint64
}

// View is a snapshot of the membership view with counters and statistics.
type View struct {
	fleet.View
	NowMS          float64 // the moment of the snapshot, on the clock of its times
	Counters       Counters
	Leases         LeaseStats
	PoolAdmissions []PoolAdmission
}

// Fleet runs the fleet protocols of this router. The goroutine that calls Run owns the state machines; others
// reach them through inbox.
type Fleet struct {
	cfg              Config
	udp              *net.UDPConn
	tcp              *net.TCPListener
	machine          *fleet.Machine
	machineConfig    fleet.Config
	leases           *leaseManager        // nil = leases are disabled
	admissions       *admissionController // nil = admission thresholds are disabled
	startedAt        time.Time
	inbox            chan func() // runs on the owner goroutine
	ctx              context.Context
	streamWG         sync.WaitGroup // stream goroutines
	outStreams       chan struct{}  // semaphores, one slot for each stream or exchange
	inStreams        chan struct{}
	pushPulls        chan struct{}
	changeLog        logLimiter
	lastTier         Tier
	handingOver      atomic.Bool    // a successor process continues the membership
	handedOver       *HandoverState // state for the successor
	started          atomic.Bool    // no predecessor holds the view any more
	publishedVersion uint64         // ChangeCount at the last MembersChanged call, plus 1; 0 = never called
	counters         struct{ sent, sentBytes, received, receivedBytes, rejected, dropped, changes atomic.Uint64 }
}

// Open opens the sockets, or takes inherited ones, and prepares the state machines. On error nothing stays
// open.
func Open(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, startedAt: time.Now(), inbox: make(chan func(), inboxCapacity), outStreams: make(chan struct{}, maxStreams), inStreams: make(chan struct{}, maxStreams),
		pushPulls: make(chan struct{}, maxPushPulls)}
	if err := f.listen(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if err := f.startMachine(); err != nil {
		f.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return f, nil
}

// listen opens a UDP and a TCP socket on the same port.
func (f *Fleet) listen() error {
	if s := f.cfg.Sockets; s != nil {
		f.udp, f.tcp = s.Datagrams, s.Streams
		return nil
	}
	var err error
	for range 8 { // a port that the system chose for TCP may be in use for UDP
		var tcp net.Listener
		if tcp, err = net.Listen("tcp", f.cfg.Listen); err != nil {
			return err
		}
		f.tcp = tcp.(*net.TCPListener)
		addr := tcp.Addr().(*net.TCPAddr)
		if f.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err == nil {
			f.udp.SetReadBuffer(readBufferBytes) //nolint:errcheck // a smaller one means more retransmissions
			return nil
		}
		tcp.Close()
	}
	return err
}

// startMachine creates the membership machine and the lease and admission machines that depend on it.
func (f *Fleet) startMachine() error {
	ownAddr, err := resolve(f.advertisedAddr())
	if err != nil {
		return err
	}
	if f.cfg.Key == nil && !ownAddr.Addr().IsLoopback() {
		return fmt.Errorf("%v is no loopback address, and there is no key_file: anybody could speak as a member", ownAddr)
	}
	join, err := f.resolveJoinAddrs(f.cfg.Join)
	if err != nil {
		return err
	}
	// The start distinguishes two processes with the same name and orders them: wall-clock milliseconds in
	// the high bits, and 16 random bits in case both start in the same millisecond.
	start := uint64(time.Now().UnixMilli())<<16 | rand.Uint64N(1<<16)
	f.machineConfig = fleet.Config{Name: f.cfg.Name, Site: f.cfg.Site, Addr: toMachineAddr(ownAddr), Start: start, Join: join, ExpectedRouters: max(1, f.cfg.ExpectedRouters),
		Streams: true, Seed: rand.Uint64()}
	if f.cfg.RequestCount != nil {
		f.machineConfig.LeaseMS = quota.LeaseTerm
	}
	if f.machine, err = fleet.New(f.machineConfig, host{f}); err != nil {
		return err
	}
	if f.leases, err = newLeaseManager(f); err != nil {
		return err
	}
	if f.leases != nil && f.cfg.PoolDemands != nil {
		f.admissions = &admissionController{f: f, pools: map[uint32]*poolController{}}
	}
	f.started.Store(f.cfg.AwaitPredecessor == nil)
	return nil
}

// advertisedAddr returns the address at which other members reach this router.
func (f *Fleet) advertisedAddr() string {
	if f.cfg.Advertise != "" {
		return f.cfg.Advertise
	}
	return f.udp.LocalAddr().String()
}

// resolveJoinAddrs resolves and checks join addresses.
func (f *Fleet) resolveJoinAddrs(hostPorts []string) (out []fleet.Addr, err error) {
	if len(hostPorts) > joinAddrLimit {
		return nil, fmt.Errorf("%d addresses to join by; %d are the most", len(hostPorts), joinAddrLimit)
	}
	for _, t := range hostPorts {
		a, err := resolve(t)
		if err != nil {
			return nil, err
		}
		if f.cfg.Key == nil && !a.Addr().IsLoopback() {
			return nil, fmt.Errorf("join: %v is no loopback address, and there is no key_file", a)
		}
		out = append(out, toMachineAddr(a))
	}
	return out, nil
}

// resolve parses HOST:PORT. A host name is looked up once.
func resolve(text string) (netip.AddrPort, error) {
	if a, err := netip.ParseAddrPort(text); err == nil && a.Port() > 0 && !a.Addr().IsUnspecified() {
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
	}
	udpAddr, err := net.ResolveUDPAddr("udp", text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	a := udpAddr.AddrPort()
	if a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port()); a.Port() == 0 || a.Addr().IsUnspecified() {
		return a, fmt.Errorf("%q is no address that others can reach", text)
	}
	return a, nil
}

// toMachineAddr converts an address to that of the state machine.
func toMachineAddr(a netip.AddrPort) fleet.Addr {
	return fleet.Addr{IP: a.Addr().As16(), Port: a.Port()}
}

// fromMachineAddr is the inverse of toMachineAddr.
func fromMachineAddr(a fleet.Addr) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.IP).Unmap(), a.Port)
}

// Addr returns the address at which the router listens for other members.
func (f *Fleet) Addr() string { return f.udp.LocalAddr().String() }

// Close closes the sockets of a Fleet that is not running.
func (f *Fleet) Close() {
	f.udp.Close()
	f.tcp.Close()
}

// now returns the machines' time in ms. It is monotonic and does not start at 0, which stands for "never".
func (f *Fleet) now() float64 { return 1e6 + float64(time.Since(f.startedAt).Microseconds())/1000 }

// Run runs the protocols until ctx ends, then leaves the fleet or hands over, and closes the sockets. It
// returns an error if another process uses the same member name.
func (f *Fleet) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(ctx)
	f.ctx = runCtx
	var wg sync.WaitGroup
	defer f.streamWG.Wait() // the goroutines that start streams have ended by then
	defer wg.Wait()
	defer f.Close()
	defer cancel()
	if !f.takeOver(ctx) {
		return nil
	}
	wg.Go(f.read)
	wg.Go(f.accept)
	slog.Info("fleet: listening", "name", f.cfg.Name, "addr", f.Addr(), "advertised", f.advertisedAddr())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.leaveOrHandOver()
			return nil
		case fn := <-f.inbox:
			fn()
		case <-ticker.C:
			f.machine.Tick(f.now())
			if f.leases != nil {
				f.leases.tick()
			}
			if f.admissions != nil {
				f.admissions.tick()
			}
			f.publishMembers()
			f.changeLog.nextWindow(time.Now())
		}
		if err := f.machine.Refused(); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		f.publishTier()
	}
}

// post queues a function for the owner goroutine. It returns false if the inbox is full: the function is
// dropped.
func (f *Fleet) post(fn func()) bool {
	select {
	case f.inbox <- fn:
		return true
	default:
		f.counters.dropped.Add(1)
		return false
	}
}

// call runs a function on the owner goroutine and waits for its end or for that of ctx.
func (f *Fleet) call(ctx context.Context, fn func()) error {
	done := make(chan struct{})
	select {
	case f.inbox <- func() { fn(); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callResult runs a function on the owner goroutine and returns its result. The result travels through a
// channel of its own, so that a function that runs after ctx has ended writes to nothing that the caller
// reads.
func callResult[T any](ctx context.Context, f *Fleet, fn func() T) (out T, err error) {
	result := make(chan T, 1)
	if err := f.call(ctx, func() { result <- fn() }); err != nil {
		return out, err
	}
	return <-result, nil
}

// View returns a snapshot of the membership view. It fails while a predecessor process holds the view.
func (f *Fleet) View(ctx context.Context) (v View, err error) {
	if !f.started.Load() {
		return v, errPredecessorActive
	}
	result := make(chan View, 1) // own channel: ctx may end before the function runs
	err = f.call(ctx, func() {
		v := View{View: f.machine.View(f.now()), NowMS: f.now(), Counters: f.counterValues()}
		if v.Leases.Share = shareForRouters(v.Share.Routers); f.leases != nil {
			v.Leases = f.leases.stats()
		}
		if f.admissions != nil {
			v.PoolAdmissions = f.admissions.stats()
		}
		result <- v
	})
	if err != nil {
		return v, fmt.Errorf("fleet: %w", err)
	}
	return <-result, nil
}

// counterValues reads the counters. It may be called from any goroutine.
func (f *Fleet) counterValues() Counters {
	c := &f.counters
	return Counters{c.sent.Load(), c.sentBytes.Load(), c.received.Load(), c.receivedBytes.Load(), c.rejected.Load(), c.dropped.Load(), c.changes.Load()}
}

// SetJoinAddrs replaces the join addresses.
func (f *Fleet) SetJoinAddrs(ctx context.Context, join []string) error {
	addrs, err := f.resolveJoinAddrs(join)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !f.started.Load() {
		return errPredecessorActive
	}
	return f.call(ctx, func() { f.machine.SetJoinAddrs(addrs) })
}

// host implements fleet.Host. The machine calls it on the owner goroutine.
type host struct{ *Fleet }

// Send sends a datagram. Socket errors are ignored: they say nothing reliable about the receiver.
func (h host) Send(to fleet.Addr, m []byte) {
	b := fleet.AppendMAC(h.cfg.Key, m)
	h.counters.sent.Add(1)
	h.counters.sentBytes.Add(uint64(len(b)))
	h.udp.WriteToUDPAddrPort(b, fromMachineAddr(to)) //nolint:errcheck // the same as a loss on the network
}

// DeliverPayload passes a payload from another router to the admission controller or the lease manager.
func (h host) DeliverPayload(from fleet.Record, b []byte) {
	pool, isAdmission := admission.MessagePool(b)
	switch {
	case isAdmission && h.admissions != nil:
		h.admissions.deliver(from, pool, b)
	case !isAdmission && h.leases != nil:
		h.leases.deliver(from, b)
	}
}

// MemberChanged logs a state change of a member, up to maxChangeLogsPerSecond.
func (h host) MemberChanged(c fleet.Change) {
	h.counters.changes.Add(1)
	if !h.changeLog.allow(maxChangeLogsPerSecond) {
		return
	}
	level, reporter := slog.LevelInfo, c.Reporter
	if c.State >= fleet.Unresponsive && c.State <= fleet.Dead {
		level = slog.LevelWarn
	}
	if reporter == "" {
		reporter = "its own"
	}
	previous := c.Previous.String()
	if c.New {
		previous = "unknown"
	}
	slog.Log(h.ctx, level, "fleet: member", "name", c.Name, "addr", c.Addr.String(), "state", c.State.String(), "was", previous, "start", c.Start, "word", reporter)
}

// logLimiter limits the log lines per second. Only the owner goroutine uses it.
type logLimiter struct {
	used, suppressed int
	windowStart      time.Time
}

// allow reports whether another line may be logged in this window, up to the limit, and counts those that may
// not.
func (b *logLimiter) allow(limit int) bool {
	if b.used++; b.used > limit {
		b.suppressed++
		return false
	}
	return true
}

// nextWindow starts a new window once a second has passed, and logs how many lines the last one suppressed.
func (b *logLimiter) nextWindow(now time.Time) {
	if now.Sub(b.windowStart) < time.Second {
		return
	}
	if b.suppressed > 0 {
		slog.Warn("fleet: member changes were not logged: too many per second", "left_out", b.suppressed)
	}
	*b = logLimiter{windowStart: now}
}

// isClosed reports whether an error means that the socket was closed by this process.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// read receives datagrams until the socket closes.
func (f *Fleet) read() {
	buf := make([]byte, fleet.MaxMessage+1)
	for {
		n, _, err := f.udp.ReadFromUDPAddrPort(buf)
		if isClosed(err) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier datagram: nothing was received
		}
		f.counters.received.Add(1)
		f.counters.receivedBytes.Add(uint64(n))
		m, err := fleet.VerifyMAC(f.cfg.Key, buf[:n])
		if err != nil {
			f.counters.rejected.Add(1)
			continue
		}
		m = slices.Clone(m)
		f.post(func() { f.receive(m) })
	}
}

// receive passes a message to the machine. It runs on the owner goroutine.
func (f *Fleet) receive(m []byte) {
	if err := f.machine.Receive(f.now(), m); err != nil {
		f.counters.rejected.Add(1)
		slog.Debug("fleet: message rejected", "why", err)
	}
}
