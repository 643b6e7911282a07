// Package fleet carries the routers' view of their fleet: datagrams and streams between the machines of internal/pure/fleet, which
// settle all. It decides nothing.
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

// Times and bounds of the transport. What is over a bound is dropped, as a network may.
const (
	tickInterval           = 50 * time.Millisecond
	streamTimeout          = 400 * time.Millisecond // for a stream to a member: connecting, and each frame
	inboxCapacity          = 512                    // messages and ends of streams that wait for the owner
	maxStreams             = 32                     // streams to others, and as many from others
	maxPushPulls           = 4                      // exchanges of views begun here, at once
	maxExchangeFrames      = 4096                   // of one exchange
	readBufferBytes        = 1 << 18                // of the socket: a burst of some hundred members
	joinAddrLimit          = 64
	maxChangeLogsPerSecond = 20 // lines a second that are logged of members' changes; what is over is counted
)

// MaxDescriptors are those that a Fleet may hold: its sockets, and streams.
const MaxDescriptors = 4 + 2*maxStreams + maxPushPulls

// MaxJoinAddrs is how many addresses to join by a configuration may name.
const MaxJoinAddrs = joinAddrLimit

// Config is what a router's part in the fleet works by.
type Config struct {
	Name, Site      string
	Listen          string   // HOST:PORT, of datagrams and streams
	Advertise       string   // by which the others reach it; "" = where it listens
	Join            []string // HOST:PORT of some others
	Key             []byte   // 32 bytes; nil = none, for loopback alone
	ExpectedRouters int      // routers that there are where nobody is met

	// TierChanged is told of each change of this router's part, by the owner's goroutine; nil = nobody is.
	TierChanged func(Tier)
	// MembersChanged is told who is there and is heard, this router among them, after changes, by the owner's goroutine; nil = nobody is.
	MembersChanged func([]Member)

	// RequestCount counts the requests that have come: by it routers lend each other their parts. It may not block; nil = nothing is lent. All routers
	// of a fleet lend, or none does.
	RequestCount func() uint64

	// PoolDemands is what has come to each pool so far, and Line is told what a pool serves, until a time, while the fleet can't serve all, by the
	// owner's goroutine. Neither may block; nil = the fleet settles no line. Both go with Work.
	PoolDemands      func() []PoolDemand
	ThresholdChanged func(pool string, l admission.Threshold, until time.Time)

	// Sockets are those of the process that this one takes over from; nil = it listens by itself.
	Sockets *Sockets
	// AwaitPredecessor waits until the process before this one takes part no longer, and gives what it handed on, nil where that is nothing. An error
	// means that it never will. nil = there was no such process.
	AwaitPredecessor func(ctx context.Context) (*HandoverState, error)
}

// PoolDemand is what has come to a pool.
type PoolDemand struct {
	Pool string
	admission.Demand
}

// Member is a router that is heard.
type Member struct {
	Name string
	Host string // of the address by which the others reach it
	Meta string // what it tells of itself; see Say
}

// TierChanged is what follows of the view for what all routers share.
type Tier struct {
	Routers int // that are there, this one among them
	Parts   float64
	Until   time.Time // with its monotonic part; zero = for ever
	Then    float64
}

// Counters count what went over the network and what came of it.
type Counters struct {
	Sent, SentBytes, Received, ReceivedBytes, Refused, Dropped, Changes uint64
}

// View is the view with figures, at one moment.
type View struct {
	fleet.View
	NowMS          float64 // on the clock of its times
	Counters       Counters
	Leases         LeaseStats
	PoolAdmissions []PoolAdmission
}

// Fleet is a router's part in the fleet.
type Fleet struct {
	cfg              Config
	udp              *net.UDPConn
	tcp              *net.TCPListener
	machine          *fleet.Machine
	machineConfig    fleet.Config
	leases           *leaseManager        // nil = there are none
	admissions       *admissionController // nil = there are none
	startedAt        time.Time
	inbox            chan func() // to the owner
	ctx              context.Context
	streamWG         sync.WaitGroup // of streams
	outStreams       chan struct{}  // a place each
	inStreams        chan struct{}
	pushPulls        chan struct{}
	changeLog        logLimiter
	lastTier         Tier
	handingOver      atomic.Bool    // another process goes on
	handedOver       *HandoverState // to that one
	started          atomic.Bool    // there is a machine
	publishedVersion uint64         // changes that Members has been told of, and one more; 0 = none
	counters         struct{ sent, sentBytes, received, receivedBytes, rejected, dropped, changes atomic.Uint64 }
}

// Open listens. An error leaves nothing open.
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

// listen opens datagrams and streams at one port.
func (f *Fleet) listen() error {
	if s := f.cfg.Sockets; s != nil {
		f.udp, f.tcp = s.Datagrams, s.Streams
		return nil
	}
	var err error
	for range 8 { // a port that the system chose for one may be another's for the other
		var tcp net.Listener
		if tcp, err = net.Listen("tcp", f.cfg.Listen); err != nil {
			return err
		}
		f.tcp = tcp.(*net.TCPListener)
		addr := tcp.Addr().(*net.TCPAddr)
		if f.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err == nil {
			f.udp.SetReadBuffer(readBufferBytes) //nolint:errcheck // with less, more is sent again
			return nil
		}
		tcp.Close()
	}
	return err
}

// startMachine makes the machine, where no other process is to hand on its own.
func (f *Fleet) startMachine() error {
	own, err := resolve(f.advertisedAddr())
	if err != nil {
		return err
	}
	if f.cfg.Key == nil && !own.Addr().IsLoopback() {
		return fmt.Errorf("%v is no loopback address, and there is no key_file: anybody could speak as a member", own)
	}
	join, err := f.resolveJoinAddrs(f.cfg.Join)
	if err != nil {
		return err
	}
	// The start tells two processes of one name apart, and which is the later one: a time, and a draw for two of one millisecond.
	start := uint64(time.Now().UnixMilli())<<16 | rand.Uint64N(1<<16)
	f.machineConfig = fleet.Config{Name: f.cfg.Name, Site: f.cfg.Site, Addr: toMachineAddr(own), Start: start, Join: join, ExpectedRouters: max(1, f.cfg.ExpectedRouters),
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

func (f *Fleet) advertisedAddr() string {
	if f.cfg.Advertise != "" {
		return f.cfg.Advertise
	}
	return f.udp.LocalAddr().String()
}

// resolveJoinAddrs reads addresses to join by.
func (f *Fleet) resolveJoinAddrs(texts []string) (out []fleet.Addr, err error) {
	if len(texts) > joinAddrLimit {
		return nil, fmt.Errorf("%d addresses to join by; %d are the most", len(texts), joinAddrLimit)
	}
	for _, t := range texts {
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

// resolve reads HOST:PORT; a name is looked up once.
func resolve(text string) (netip.AddrPort, error) {
	if a, err := netip.ParseAddrPort(text); err == nil && a.Port() > 0 && !a.Addr().IsUnspecified() {
		return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), nil
	}
	u, err := net.ResolveUDPAddr("udp", text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	a := u.AddrPort()
	if a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port()); a.Port() == 0 || a.Addr().IsUnspecified() {
		return a, fmt.Errorf("%q is no address that others can reach", text)
	}
	return a, nil
}

func toMachineAddr(a netip.AddrPort) fleet.Addr {
	return fleet.Addr{IP: a.Addr().As16(), Port: a.Port()}
}

func fromMachineAddr(a fleet.Addr) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.IP).Unmap(), a.Port)
}

// Addr is where the router listens for others.
func (f *Fleet) Addr() string { return f.udp.LocalAddr().String() }

// Close lets go of the sockets of a Fleet that does not run.
func (f *Fleet) Close() {
	f.udp.Close()
	f.tcp.Close()
}

// now is the machine's time: it grows whatever the wall clock does. It does not begin at 0, which stands for never.
func (f *Fleet) now() float64 { return 1e6 + float64(time.Since(f.startedAt).Microseconds())/1000 }

// Run takes part until ctx ends, says goodbye, and closes the sockets. It returns an error where another process goes by this one's name.
func (f *Fleet) Run(ctx context.Context) error {
	work, stop := context.WithCancel(ctx)
	f.ctx = work
	var wg sync.WaitGroup
	defer f.streamWG.Wait() // who may begin streams has ended by then
	defer wg.Wait()
	defer f.Close()
	defer stop()
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
		case do := <-f.inbox:
			do()
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

// post has something done by the owner. Where too much waits it is dropped.
func (f *Fleet) post(do func()) bool {
	select {
	case f.inbox <- do:
		return true
	default:
		f.counters.dropped.Add(1)
		return false
	}
}

// call has something done by the owner, and waits for it.
func (f *Fleet) call(ctx context.Context, do func()) error {
	done := make(chan struct{})
	select {
	case f.inbox <- func() { do(); close(done) }:
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

// demandRate has the owner answer, and waits for that. What comes after ctx has ended is nobody's: the answer goes by a place of its own.
func callResult[T any](ctx context.Context, f *Fleet, do func() T) (out T, err error) {
	got := make(chan T, 1)
	if err := f.call(ctx, func() { got <- do() }); err != nil {
		return out, err
	}
	return <-got, nil
}

// View is what the router knows.
func (f *Fleet) View(ctx context.Context) (v View, err error) {
	if !f.started.Load() {
		return v, errPredecessorActive
	}
	got := make(chan View, 1) // its own: ctx may end before the owner comes to it
	err = f.call(ctx, func() {
		v := View{View: f.machine.View(f.now()), NowMS: f.now(), Counters: f.counterValues()}
		if v.Leases.Share = shareForRouters(v.Share.Routers); f.leases != nil {
			v.Leases = f.leases.stats()
		}
		if f.admissions != nil {
			v.PoolAdmissions = f.admissions.stats()
		}
		got <- v
	})
	if err != nil {
		return v, fmt.Errorf("fleet: %w", err)
	}
	return <-got, nil
}

func (f *Fleet) counterValues() Counters {
	c := &f.counters
	return Counters{c.sent.Load(), c.sentBytes.Load(), c.received.Load(), c.receivedBytes.Load(), c.rejected.Load(), c.dropped.Load(), c.changes.Load()}
}

// SetJoinAddrs takes other addresses to join by.
func (f *Fleet) SetJoinAddrs(ctx context.Context, join []string) error {
	to, err := f.resolveJoinAddrs(join)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !f.started.Load() {
		return errPredecessorActive
	}
	return f.call(ctx, func() { f.machine.SetJoinAddrs(to) })
}

// host carries out what the machine wants; the owner calls it.
type host struct{ *Fleet }

// Send sends a datagram. What the system says of it is no proof of anything.
func (h host) Send(to fleet.Addr, m []byte) {
	b := fleet.AppendMAC(h.cfg.Key, m)
	h.counters.sent.Add(1)
	h.counters.sentBytes.Add(uint64(len(b)))
	h.udp.WriteToUDPAddrPort(b, fromMachineAddr(to)) //nolint:errcheck // lost, as on the way
}

// Cargo passes on what another router's parts have to say.
func (h host) DeliverPayload(from fleet.Record, b []byte) {
	pool, ours := admission.MessagePool(b)
	switch {
	case ours && h.admissions != nil:
		h.admissions.deliver(from, pool, b)
	case !ours && h.leases != nil:
		h.leases.deliver(from, b)
	}
}

// Changed logs what became of a member.
func (h host) MemberChanged(c fleet.Change) {
	h.counters.changes.Add(1)
	if !h.changeLog.allow(maxChangeLogsPerSecond) {
		return
	}
	level, by := slog.LevelInfo, c.Reporter
	if c.State >= fleet.Unresponsive && c.State <= fleet.Dead {
		level = slog.LevelWarn
	}
	if by == "" {
		by = "its own"
	}
	was := c.Previous.String()
	if c.New {
		was = "unknown"
	}
	slog.Log(h.ctx, level, "fleet: member", "name", c.Name, "addr", c.Addr.String(), "state", c.State.String(), "was", was, "start", c.Start, "word", by)
}

// logLimiter bounds the lines of a second. Its owner's goroutine alone uses it.
type logLimiter struct {
	used, suppressed int
	windowStart      time.Time
}

func (b *logLimiter) allow(most int) bool {
	if b.used++; b.used > most {
		b.suppressed++
		return false
	}
	return true
}

// nextWindow begins another second, and says what was left out of the one before.
func (b *logLimiter) nextWindow(now time.Time) {
	if now.Sub(b.windowStart) < time.Second {
		return
	}
	if b.suppressed > 0 {
		slog.Warn("fleet: more changes of members than are logged", "left_out", b.suppressed)
	}
	*b = logLimiter{windowStart: now}
}

// isClosed says whether an error only tells that a socket was closed here.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

// read takes datagrams until the socket closes.
func (f *Fleet) read() {
	buf := make([]byte, fleet.MaxMessage+1)
	for {
		n, _, err := f.udp.ReadFromUDPAddrPort(buf)
		if isClosed(err) {
			return
		}
		if err != nil {
			continue // of another datagram: nothing came
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

// receive has the machine take a message. The owner calls it.
func (f *Fleet) receive(m []byte) {
	if err := f.machine.Receive(f.now(), m); err != nil {
		f.counters.rejected.Add(1)
		slog.Debug("fleet: a message is refused", "why", err)
	}
}
