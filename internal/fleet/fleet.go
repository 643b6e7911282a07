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
	tick        = 50 * time.Millisecond
	streamWait  = 400 * time.Millisecond // for a stream to a member: connecting, and each frame
	maxInbox    = 512                    // messages and ends of streams that wait for the owner
	maxStreams  = 32                     // streams to others, and as many from others
	maxSyncs    = 4                      // exchanges of views begun here, at once
	maxFrames   = 4096                   // of one exchange
	readBuffer  = 1 << 18                // of the socket: a burst of some hundred members
	maxJoin     = 64
	changesRate = 20 // lines a second that are logged of members' changes; what is over is counted
)

// Descriptors are those that a Fleet may hold: its sockets, and streams.
const Descriptors = 4 + 2*maxStreams + maxSyncs

// MaxJoin is how many addresses to join by a configuration may name.
const MaxJoin = maxJoin

// Config is what a router's part in the fleet works by.
type Config struct {
	Name, Site string
	Listen     string   // HOST:PORT, of datagrams and streams
	Advertise  string   // by which the others reach it; "" = where it listens
	Join       []string // HOST:PORT of some others
	Key        []byte   // 32 bytes; nil = none, for loopback alone
	Expected   int      // routers that there are where nobody is met

	// Tier is told of each change of this router's part, by the owner's goroutine; nil = nobody is.
	Tier func(Tier)
	// Members is told who is there and is heard, this router among them, after changes, by the owner's goroutine; nil = nobody is.
	Members func([]Member)

	// Work counts the requests that have come: by it routers lend each other their parts. It may not block; nil = nothing is lent. All routers
	// of a fleet lend, or none does.
	Work func() uint64

	// Demands is what has come to each pool so far, and Line is told what a pool serves, until a time, while the fleet can't serve all, by the
	// owner's goroutine. Neither may block; nil = the fleet settles no line. Both go with Work.
	Demands func() []Demand
	Line    func(pool string, l admission.Threshold, until time.Time)

	// Sockets are those of the process that this one takes over from; nil = it listens by itself.
	Sockets *Sockets
	// Before waits until the process before this one takes part no longer, and gives what it handed on, nil where that is nothing. An error
	// means that it never will. nil = there was no such process.
	Before func(ctx context.Context) (*Handed, error)
}

// Demand is what has come to a pool.
type Demand struct {
	Pool string
	admission.Demand
}

// Member is a router that is heard.
type Member struct {
	Name string
	Host string // of the address by which the others reach it
	Card string // what it tells of itself; see Say
}

// Tier is what follows of the view for what all routers share.
type Tier struct {
	Routers int // that are there, this one among them
	Parts   float64
	Until   time.Time // with its monotonic part; zero = for ever
	Then    float64
}

// Figures count what went over the network and what came of it.
type Figures struct {
	Sent, SentBytes, Received, ReceivedBytes, Refused, Dropped, Changes uint64
}

// View is the view with figures, at one moment.
type View struct {
	fleet.View
	NowMS   float64 // on the clock of its times
	Figures Figures
	Loans   Loans
	Lines   []Line
}

// Fleet is a router's part in the fleet.
type Fleet struct {
	cfg     Config
	udp     *net.UDPConn
	tcp     *net.TCPListener
	m       *fleet.Machine
	pure    fleet.Config
	loans   *loans // nil = there are none
	lines   *lines // nil = there are none
	began   time.Time
	inbox   chan func() // to the owner
	ctx     context.Context
	wg      sync.WaitGroup // of streams
	out     chan struct{}  // a place each
	in      chan struct{}
	syncs   chan struct{}
	log     budget
	told    Tier
	handing atomic.Bool // another process goes on
	handed  *Handed     // to that one
	entered atomic.Bool // there is a machine
	shown   uint64      // changes that Members has been told of, and one more; 0 = none
	counts  struct{ sent, sentBytes, received, receivedBytes, refused, dropped, changes atomic.Uint64 }
}

// Open listens. An error leaves nothing open.
func Open(cfg Config) (*Fleet, error) {
	f := &Fleet{cfg: cfg, began: time.Now(), inbox: make(chan func(), maxInbox), out: make(chan struct{}, maxStreams), in: make(chan struct{}, maxStreams),
		syncs: make(chan struct{}, maxSyncs)}
	if err := f.listen(); err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	if err := f.begin(); err != nil {
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
			f.udp.SetReadBuffer(readBuffer) //nolint:errcheck // with less, more is sent again
			return nil
		}
		tcp.Close()
	}
	return err
}

// begin makes the machine, where no other process is to hand on its own.
func (f *Fleet) begin() error {
	own, err := resolve(f.advertised())
	if err != nil {
		return err
	}
	if f.cfg.Key == nil && !own.Addr().IsLoopback() {
		return fmt.Errorf("%v is no loopback address, and there is no key_file: anybody could speak as a member", own)
	}
	join, err := f.joins(f.cfg.Join)
	if err != nil {
		return err
	}
	// The start tells two processes of one name apart, and which is the later one: a time, and a draw for two of one millisecond.
	start := uint64(time.Now().UnixMilli())<<16 | rand.Uint64N(1<<16)
	f.pure = fleet.Config{Name: f.cfg.Name, Site: f.cfg.Site, Addr: toPure(own), Start: start, Join: join, ExpectedRouters: max(1, f.cfg.Expected),
		Streams: true, Seed: rand.Uint64()}
	if f.cfg.Work != nil {
		f.pure.LeaseMS = quota.LeaseTerm
	}
	if f.m, err = fleet.New(f.pure, host{f}); err != nil {
		return err
	}
	if f.loans, err = newLoans(f); err != nil {
		return err
	}
	if f.loans != nil && f.cfg.Demands != nil {
		f.lines = &lines{f: f, of: map[uint32]*poolLine{}}
	}
	f.entered.Store(f.cfg.Before == nil)
	return nil
}

func (f *Fleet) advertised() string {
	if f.cfg.Advertise != "" {
		return f.cfg.Advertise
	}
	return f.udp.LocalAddr().String()
}

// joins reads addresses to join by.
func (f *Fleet) joins(texts []string) (out []fleet.Addr, err error) {
	if len(texts) > maxJoin {
		return nil, fmt.Errorf("%d addresses to join by; %d are the most", len(texts), maxJoin)
	}
	for _, t := range texts {
		a, err := resolve(t)
		if err != nil {
			return nil, err
		}
		if f.cfg.Key == nil && !a.Addr().IsLoopback() {
			return nil, fmt.Errorf("join: %v is no loopback address, and there is no key_file", a)
		}
		out = append(out, toPure(a))
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

func toPure(a netip.AddrPort) fleet.Addr { return fleet.Addr{IP: a.Addr().As16(), Port: a.Port()} }

func fromPure(a fleet.Addr) netip.AddrPort {
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
func (f *Fleet) now() float64 { return 1e6 + float64(time.Since(f.began).Microseconds())/1000 }

// Run takes part until ctx ends, says goodbye, and closes the sockets. It returns an error where another process goes by this one's name.
func (f *Fleet) Run(ctx context.Context) error {
	work, stop := context.WithCancel(ctx)
	f.ctx = work
	var wg sync.WaitGroup
	defer f.wg.Wait() // who may begin streams has ended by then
	defer wg.Wait()
	defer f.Close()
	defer stop()
	if !f.enter(ctx) {
		return nil
	}
	wg.Go(f.read)
	wg.Go(f.accept)
	slog.Info("fleet: listening", "name", f.cfg.Name, "addr", f.Addr(), "advertised", f.advertised())
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.depart()
			return nil
		case do := <-f.inbox:
			do()
		case <-ticker.C:
			f.m.Tick(f.now())
			if f.loans != nil {
				f.loans.tick()
			}
			if f.lines != nil {
				f.lines.tick()
			}
			f.show()
			f.log.turn(time.Now())
		}
		if err := f.m.Refused(); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
		f.tell()
	}
}

// post has something done by the owner. Where too much waits it is dropped.
func (f *Fleet) post(do func()) bool {
	select {
	case f.inbox <- do:
		return true
	default:
		f.counts.dropped.Add(1)
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

// asked has the owner answer, and waits for that. What comes after ctx has ended is nobody's: the answer goes by a place of its own.
func asked[T any](ctx context.Context, f *Fleet, do func() T) (out T, err error) {
	got := make(chan T, 1)
	if err := f.call(ctx, func() { got <- do() }); err != nil {
		return out, err
	}
	return <-got, nil
}

// View is what the router knows.
func (f *Fleet) View(ctx context.Context) (v View, err error) {
	if !f.entered.Load() {
		return v, errElder
	}
	got := make(chan View, 1) // its own: ctx may end before the owner comes to it
	err = f.call(ctx, func() {
		v := View{View: f.m.View(f.now()), NowMS: f.now(), Figures: f.figures()}
		if v.Loans.Share = shareOf(v.Share.Routers); f.loans != nil {
			v.Loans = f.loans.figures()
		}
		if f.lines != nil {
			v.Lines = f.lines.figures()
		}
		got <- v
	})
	if err != nil {
		return v, fmt.Errorf("fleet: %w", err)
	}
	return <-got, nil
}

func (f *Fleet) figures() Figures {
	c := &f.counts
	return Figures{c.sent.Load(), c.sentBytes.Load(), c.received.Load(), c.receivedBytes.Load(), c.refused.Load(), c.dropped.Load(), c.changes.Load()}
}

// Rejoin takes other addresses to join by.
func (f *Fleet) Rejoin(ctx context.Context, join []string) error {
	to, err := f.joins(join)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if !f.entered.Load() {
		return errElder
	}
	return f.call(ctx, func() { f.m.SetJoinAddrs(to) })
}

// host carries out what the machine wants; the owner calls it.
type host struct{ *Fleet }

// Send sends a datagram. What the system says of it is no proof of anything.
func (h host) Send(to fleet.Addr, m []byte) {
	b := fleet.AppendMAC(h.cfg.Key, m)
	h.counts.sent.Add(1)
	h.counts.sentBytes.Add(uint64(len(b)))
	h.udp.WriteToUDPAddrPort(b, fromPure(to)) //nolint:errcheck // lost, as on the way
}

// Cargo passes on what another router's parts have to say.
func (h host) DeliverPayload(from fleet.Record, b []byte) {
	pool, ours := admission.MessagePool(b)
	switch {
	case ours && h.lines != nil:
		h.lines.cargo(from, pool, b)
	case !ours && h.loans != nil:
		h.loans.cargo(from, b)
	}
}

// Changed logs what became of a member.
func (h host) MemberChanged(c fleet.Change) {
	h.counts.changes.Add(1)
	if !h.log.take(changesRate) {
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

// budget bounds the lines of a second. Its owner's goroutine alone uses it.
type budget struct {
	used, over int
	since      time.Time
}

func (b *budget) take(most int) bool {
	if b.used++; b.used > most {
		b.over++
		return false
	}
	return true
}

// turn begins another second, and says what was left out of the one before.
func (b *budget) turn(now time.Time) {
	if now.Sub(b.since) < time.Second {
		return
	}
	if b.over > 0 {
		slog.Warn("fleet: more changes of members than are logged", "left_out", b.over)
	}
	*b = budget{since: now}
}

// closed says whether an error only tells that a socket was closed here.
func closed(err error) bool { return errors.Is(err, net.ErrClosed) }

// read takes datagrams until the socket closes.
func (f *Fleet) read() {
	buf := make([]byte, fleet.MaxMessage+1)
	for {
		n, _, err := f.udp.ReadFromUDPAddrPort(buf)
		if closed(err) {
			return
		}
		if err != nil {
			continue // of another datagram: nothing came
		}
		f.counts.received.Add(1)
		f.counts.receivedBytes.Add(uint64(n))
		m, err := fleet.VerifyMAC(f.cfg.Key, buf[:n])
		if err != nil {
			f.counts.refused.Add(1)
			continue
		}
		m = slices.Clone(m)
		f.post(func() { f.receive(m) })
	}
}

// receive has the machine take a message. The owner calls it.
func (f *Fleet) receive(m []byte) {
	if err := f.m.Receive(f.now(), m); err != nil {
		f.counts.refused.Add(1)
		slog.Debug("fleet: a message is refused", "why", err)
	}
}
