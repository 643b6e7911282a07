package router

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/backend"
	"mossproxy.example/mossproxy/internal/backend/meta"
	"mossproxy.example/mossproxy/internal/backend/origin"
	servers "mossproxy.example/mossproxy/internal/backend/resp"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/front/resp"
	"mossproxy.example/mossproxy/internal/guard"
	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/member"
	protocol "mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/pure/fill"
	"mossproxy.example/mossproxy/internal/pure/slots"
)

// Setup is what a router works by.
type Setup struct {
	*config.Config
	Servers *member.FileSource                       // the server file, opened; nil = discovery tells of servers
	cluster *servers.Cluster                         // of a pool that speaks RESP
	guard   *guard.Guard                             // checks the rules for all its engines; nil = each has its own
	places  *places                                  // of its clients; nil = they are nobody's
	Meta    net.Listener                             // of such a pool: for clients that speak the meta commands; nil = none come
	TLS     net.Listener                             // for clients of the pool's own protocol whose links have TLS; nil = none come
	Links   backend.TLS                              // of links to servers and origin; nil = they are plain
	Book    func() (epoch uint64, t *config.Tenants) // limits of tenants that change by themselves, and how often they did; nil = Tenants has them
	Usage   *Usage                                   // counts what tenants with limits ask; nil = nobody does
	InForce func(epoch uint64)                       // told of each such change that counts on all engines
	Gate    *identity.Authenticator                  // settles who calls; nil = nobody is asked
	Tiers   *Tiers                                   // tells of the other routers; nil = the configuration says how many there are
	Doors   *Doors                                   // where clients find the routers of the fleet; nil = there is none
	Control *Control                                 // how operators reach the pool; nil = they don't
	Elder   <-chan struct{}                          // closed when the process that this one takes over from is gone; nil = clients are taken at once
	Part    float64                                  // of the limits that may be used at first: another process of the router lives; 0 = all
	Unsafe  *engine.UnsafeIDs                        // requests that must not run again, shared with another process; nil = with none
	Handed  []engine.HandoverState                   // what its engines have handed over; others than these engines would have are not taken
}

// Open opens the server file that a configuration names. Without one, discovery tells of servers. Links to them carry TLS where
// there is any.
func Open(cfg *config.Config, links backend.TLS) (Setup, error) {
	s := Setup{Config: cfg, Links: links}
	if cfg.RESP != nil {
		s.cluster = newCluster(cfg, links)
		return s, nil
	}
	if cfg.Source.Path == "" {
		return s, nil
	}
	log := logTo(cfg.Name)
	var err error
	s.Servers, err = member.OpenFile(cfg.Source, unixMS(), log)
	return s, err
}

// Serve is a router: it serves the clients of ln, which it closes, until ctx ends. Then it answers what it has taken
// and returns nil. From a setup that comes in updates it takes where servers come from and, where the configuration is
// the program's own, classes and tenants.
func Serve(ctx context.Context, cfg Setup, ln net.Listener, updates <-chan Setup) error {
	defer ln.Close()
	sockets := cfg.Limits.Sockets - config.FDReserve
	n := max(1, cfg.Cores)
	// Each attempt may hold a value of full length: all together a quarter of the memory.
	attempts := min(sockets*9/20, int(cfg.Limits.MemoryMB<<20/4/protocol.MaxValue))
	proto := cfg.clients(ln.Addr().String())
	shared := cfg.shared(n)
	cfg.places = newPlaces(cfg)
	var rs engines
	var pools []*backend.Pool
	cfg.guard = &guard.Guard{}
	defer cfg.guard.LogCounts()
	var fronts []*front.ConnManager
	for i := range n {
		links := newLinks(cfg, max(1, attempts/n))
		e, err := newEngine(cfg, links, shared.of(i))
		if err != nil {
			return err
		}
		rs, pools = append(rs, &router{Engine: e, extra: cfg.extraClasses()}), append(pools, links.pool)
		fronts = append(fronts, cfg.fronts(e, proto, ln, max(2, sockets*11/20/n))...)
	}

	work, stop := context.WithCancel(context.Background()) // outlives ctx: what was taken is still served
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	for i, r := range rs {
		wg.Go(func() { r.Run(work) })
		wg.Go(func() { pools[i].Sweep(work) })
	}
	d := newDrainer(cfg.Pool, cfg.Grace, rs, fronts, room{pools: pools, links: max(1, attempts/n), part: 1})
	if cfg.Part > 0 {
		cfg.Control.Beside(cfg.Part)
		cfg.Control.memory(cfg.Part)
		if err := d.share(ctx, cfg.Part, 2); err != nil {
			return err
		}
	}
	cfg.Tiers.join(func(t Tier) { rs.resize(t, cfg.places) })
	if cfg.Servers == nil && cfg.cluster == nil {
		rs.begin(cfg)
	}
	wg.Go(func() { rs.discover(work, cfg, updates) })
	started := make(chan struct{})
	go func() {
		defer close(started)
		cfg.turn(ctx, rs)
		for _, f := range fronts {
			f.Start()
		}
	}()
	if p, ok := proto.(*resp.Protocol); ok {
		if cfg.RESP.Fleet {
			port := uint16(ln.Addr().(*net.TCPAddr).Port)
			wg.Go(func() { cfg.Doors.follow(work, cfg.Pool, port, p, rs.ready) })
		} else {
			wg.Go(func() { p.PollPeers(work, logTo(cfg.Name)) })
		}
	}
	if cfg.Gate != nil {
		wg.Go(func() { recheck(work, fronts) })
	}
	if cfg.Book != nil {
		wg.Go(func() { rs.followBook(work, cfg) })
	}
	slog.Info("listening", "router", cfg.Name, "addr", ln.Addr().String())
	if cfg.TLS != nil {
		slog.Info("listening for TLS", "router", cfg.Name, "addr", cfg.TLS.Addr().String())
	}
	if cfg.Meta != nil {
		slog.Info("listening for meta commands", "router", cfg.Name, "addr", cfg.Meta.Addr().String())
	}

	cfg.Control.add(d)
	d.run(ctx)
	<-started // ctx has ended: it does not wait any more
	ln.Close()
	for _, other := range []net.Listener{cfg.Meta, cfg.TLS} {
		if other != nil {
			other.Close()
		}
	}
	end, cancel := context.WithDeadline(context.Background(), d.drainLimits(d.now()).DeliverBy)
	defer cancel()
	var drained sync.WaitGroup
	for _, f := range fronts {
		drained.Go(func() { f.Drain(end) })
	}
	drained.Wait()
	return nil
}

// longest is the longest that a client waits.
func (rs engines) longest() (d time.Duration) {
	for _, r := range rs {
		d = max(d, r.MaxDeadline())
	}
	return d
}

// turn waits, beside a process that still takes clients at the same listeners, until this one can serve what it takes.
func (s Setup) turn(ctx context.Context, rs engines) {
	if s.Elder == nil {
		return
	}
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !rs.ready() {
		select {
		case <-tick.C:
		case <-s.Elder:
			return
		case <-ctx.Done():
			return
		}
	}
}

// fronts are the ways in for clients, which share the places that there are.
func (s Setup) fronts(e *engine.Engine, proto front.Protocol, ln net.Listener, places int) []*front.ConnManager {
	type way struct {
		proto front.Protocol
		ln    net.Listener
	}
	ways := []way{{proto, ln}}
	if s.TLS != nil {
		ways = append(ways, way{proto, s.TLS})
	}
	if s.Meta != nil {
		p := s.metaClients()
		p.Owners = func(key string, write bool) []uint32 { return s.cluster.Owners(slots.ForKey([]byte(key)), write) }
		ways = append(ways, way{p, s.Meta})
	}
	var out []*front.ConnManager
	pacer := front.NewPacer()
	for i, w := range ways {
		n := places / (len(ways) - i) // equal parts, and the rest goes to the last
		places -= n
		m := front.New(e, w.proto, w.ln, max(1, n), s.places.shared())
		m.SetPacer(pacer)
		out = append(out, m)
	}
	return out
}

// extraClasses are the classes of the router's own requests.
func (s Setup) extraClasses() []decide.Class {
	if s.RESP == nil || s.RESP.Origin == "" {
		return nil
	}
	return []decide.Class{fill.Class()}
}

// store keeps what the origin of a pool that speaks RESP gives; nil where there is none.
func (s Setup) store() engine.Store {
	if s.RESP == nil || s.RESP.Origin == "" {
		return nil
	}
	return &stores{table: fill.New(), reads: map[*engine.Request]fill.ReadID{},
		owners:  func(key string) []uint32 { return s.cluster.Owners(slots.ForKey([]byte(key)), true) },
		command: func(key string, value []byte) [][]byte { return servers.StoreCommand(key, value, s.RESP.KeepMS) },
	}
}

// logTo writes what parts without a logger of their own have to tell, with the router's name.
func logTo(name string) func(format string, args ...any) {
	return func(format string, args ...any) { slog.Info(fmt.Sprintf(format, args...), "router", name) }
}

// engines are those of one pool: they share listeners, lists and ids, and nothing else.
type engines []*router

// each has something done by each engine.
func (rs engines) each(do func(*router)) {
	for _, r := range rs {
		r.Post(func() { do(r) })
	}
}

// router is an engine with the source of its servers.
type router struct {
	*engine.Engine
	source *source        // the one that is heard; the engine's goroutine's
	extra  []decide.Class // of its own requests
}

// own says whether a class is that of the router's own requests.
func (r *router) own(class string) bool {
	return slices.ContainsFunc(r.extra, func(c decide.Class) bool { return c.Name == class })
}

// share is what one engine of a pool has of it. To the module each engine is one more router of the tier.
type share struct {
	i, n   int
	ids    *engine.RequestIDs // nil = it is alone
	unsafe *engine.UnsafeIDs
	store  engine.Store // nil = none
}

// alone is the share of a pool's only engine.
func (s Setup) alone() share { return s.shared(1).of(0) }

// shared is what the engines of a pool have in common.
func (s Setup) shared(n int) share {
	out := share{n: n, store: s.store(), unsafe: s.Unsafe}
	if out.unsafe == nil {
		out.unsafe = engine.NewUnsafeIDs()
	}
	if n > 1 {
		out.ids = engine.NewRequestIDs()
	}
	return out
}

func (s share) of(i int) share {
	s.i = i
	return s
}

// newEngine is an engine of a configuration.
func newEngine(cfg Setup, b engine.Backend, s share) (*engine.Engine, error) {
	m := cfg.Checked.Config
	m.Classes = append(slices.Clip(m.Classes), cfg.extraClasses()...)
	m.Routers, m.Me = m.Routers*s.n, m.Me*s.n+s.i // equal parts of all that routers share: cold servers, the origin, quotas
	// A value is in memory up to three times, as it came and as it goes out.
	memory := cfg.Limits.MemoryMB << 20 / int64(s.n)
	m.MaxKeys = int(max(1, memory/8/decide.KeyBytes))
	return engine.New(engine.Options{Config: m, Store: s.store, CollectCounts: cfg.Control != nil, Tenants: newLimits(cfg, memory/8), IDs: s.ids, Unsafe: s.unsafe, Guard: cfg.guard, ReportRules: s.i == 0, Seed: cfg.SeedNumber + uint64(s.i), MaxHeldBytes: memory / 16,
		MaxQueuedBytes: memory / 8, InferStarts: cfg.Source.Path != "" || cfg.RESP != nil}, b)
}

// unixMS is Unix time in ms that never runs backwards.
func unixMS() func() float64 {
	began := time.Now()
	return func() float64 {
		return float64(began.UnixMicro())/1000 + float64(time.Since(began).Microseconds())/1000
	}
}

// newCluster is the cluster of a pool that speaks RESP.
func newCluster(cfg *config.Config, links backend.TLS) *servers.Cluster {
	log := logTo(cfg.Name)
	return servers.NewCluster(servers.Config{Seeds: cfg.RESP.Seeds, Site: cfg.Checked.Config.Zone, Now: unixMS(), Log: log, TLS: links,
		Protocol: servers.Protocol{User: cfg.RESP.User, Password: cfg.RESP.Password, Replicas: cfg.RESP.Replicas, Origin: cfg.RESP.Origin != ""}})
}

// clients is what the clients of a pool speak, that come to an address.
func (s Setup) clients(addr string) front.Protocol {
	if s.cluster == nil {
		return s.metaClients()
	}
	r := s.RESP
	c := resp.Config{ReadClass: r.Read, WriteClass: r.Write, DefaultTenant: r.Tenant, Peers: r.Peers, Self: s.Checked.Config.Me, Owners: s.cluster.Owners}
	if r.Fleet {
		c.RouterName, addr = r.FleetName, net.JoinHostPort(r.FleetHost, portOf(addr))
	}
	for _, x := range r.Rules {
		c.Rules = append(c.Rules, resp.Rule(x))
	}
	for _, x := range r.Logins {
		c.Logins = append(c.Logins, resp.Login(x))
	}
	if s.Gate != nil {
		c.Callers, c.ServerKey = s.Gate, s.keys()
	}
	return resp.New(c, addr)
}

// portOf is the port of an address; it is one that a listener has.
func portOf(addr string) string {
	_, port, _ := net.SplitHostPort(addr)
	return port
}

// links are the ways to cache servers and origin.
type links struct {
	pool   *backend.Pool
	cache  backend.Protocol
	origin string // the kind of the origin,
	behind origin.Protocol
}

func newLinks(cfg Setup, limit int) *links {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	l := &links{backend.NewPool(ms(cfg.Checked.Config.ConnIdle), ms(cfg.Checked.ConnectTimeout), limit), meta.Protocol{}, cfg.Checked.Config.OriginKind,
		origin.Protocol{NotFoundAsAbsent: cfg.cluster != nil, StreamLongValues: cfg.cluster == nil}}
	l.pool.SetGuard(cfg.guard)
	if cfg.Links != nil {
		l.pool.SetTLS(cfg.Links)
	}
	if cfg.cluster != nil {
		l.cache = cfg.cluster.Protocol()
	}
	return l
}

// Link is the way to a server, in the protocol that it speaks.
func (l *links) Endpoint(s engine.Server) engine.Endpoint {
	if l.origin != "" && s.Kind == l.origin {
		return l.pool.Endpoint(s.Addr, l.behind)
	}
	return l.pool.Endpoint(s.Addr, l.cache)
}

// list takes a list of servers from its source.
func (r *router) list(kind decide.ListKind, got member.List) {
	entries := make([]engine.Server, 0, len(got.Servers))
	for _, e := range got.Servers {
		d, err := e.BalancerEntry()
		if err != nil {
			slog.Warn("discovery: entry passed over", "err", err)
			continue
		}
		entries = append(entries, engine.Server{Entry: d, Addr: e.Addr})
	}
	r.UpdateServers(kind, entries)
}

// follow hears s from now on, and no source before it.
func (r *router) follow(s *source) {
	r.SetListSource(s.watch, r.source != nil)
	r.source = s
}

// discover follows the source of servers that the setup names, until ctx ends.
func (rs engines) discover(ctx context.Context, cfg Setup, updates <-chan Setup) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		life, end := context.WithCancel(ctx)
		d := rs.newSource(cfg)
		rs.each(func(r *router) { r.follow(d) }) // before anything that it tells
		wg.Go(func() { d.run(life) })
		next := cfg
		for next.sameSource(cfg) {
			select {
			case <-ctx.Done():
				end()
				return
			case next = <-updates:
				if cfg.Tenants != nil {
					cfg.places.use(next.Tenants)
				}
				rs.update(next)
			}
		}
		end() // the old watch
		cfg = next
	}
}

// sameSource says whether two setups take their servers from the same place, by the same rules.
func (s Setup) sameSource(t Setup) bool { return s.Discovery == t.Discovery && s.Servers == t.Servers }

// update takes from a setup what a running router can change beside its source.
func (rs engines) update(next Setup) {
	if !next.Standalone {
		slog.Info("SIGHUP: configuration read again", "discovery", next.Discovery)
		return
	}
	c := next.Checked.Config
	rs.each(func(r *router) {
		if l, ok := r.Tenants().(*limits); ok && next.Tenants != nil {
			l.configure(r.Now(), next.Config, next.Tenants)
		}
		if err := r.Configure(append(slices.Clip(c.Classes), r.extra...), c.Tenants, c.OverWorth); err != nil {
			slog.Warn("classes and tenants stay", "router", next.Name, "err", err)
		}
	})
}

// source is where lists come from. It is heard while the loop follows it: an answer of one before it that is still on
// its way is older than what the new one tells, and counts for nothing.
type source struct {
	run   func(context.Context)
	watch func() // asks it to be watched from now on
	tell  func(member.List)
}

// withOrigin adds the origin behind a cluster to its list.
func (s Setup) withOrigin(l member.List) member.List {
	if at := s.RESP.Origin; at != "" {
		l.Servers = append(l.Servers, member.Entry{ID: config.OriginKind + " " + at, Addr: at, Zone: s.Checked.Config.Zone, Kind: config.OriginKind,
			State: "active", Weight: 1})
	}
	return l
}

// newSource is the source of a setup.
func (rs engines) newSource(cfg Setup) *source {
	s := &source{}
	heard := func(do func(*router)) {
		rs.each(func(r *router) {
			if r.source == s {
				do(r)
			}
		})
	}
	s.tell = func(got member.List) {
		kind := decide.Changes
		if got.Full {
			kind = decide.Full
		}
		heard(func(r *router) { r.list(kind, got) })
	}
	if cfg.cluster != nil {
		s.watch = cfg.cluster.RequestRefresh
		s.run = func(ctx context.Context) { cfg.cluster.Run(ctx, func(l member.List) { s.tell(cfg.withOrigin(l)) }) }
		return s
	}
	if cfg.Servers != nil {
		s.watch = func() {}
		s.run = func(ctx context.Context) {
			s.tell(cfg.Servers.Current())
			cfg.Servers.Run(ctx, s.tell)
		}
		return s
	}
	ask := cfg.Checked.Config.AskList
	known := int64(-1)
	if len(cfg.Known.Servers) > 0 {
		known = cfg.Known.Version
	}
	d := member.NewDiscovery(cfg.Discovery, ask, known, s.tell, func() {
		if ask {
			heard(func(r *router) { r.list(decide.ListFailed, member.List{}) })
		}
	})
	s.run, s.watch = d.Run, d.RequestWatch
	return s
}
