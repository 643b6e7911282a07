// Package service runs a router by its own configuration: a router for each pool, and new configurations while they
// serve, each taken whole or not at all.
package service

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/backend"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/fleet"
	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/router"
	"mossproxy.example/mossproxy/internal/store/fsys"
	"mossproxy.example/mossproxy/internal/watch"
)

// Service is a router of one's own.
type Service struct {
	path    string
	file    *config.File
	pools   []*pool
	known   *known // who may call; nil = nobody is asked
	admin   *administration
	calls   net.Listener // of operators; nil = they have no address
	control *router.Control
	fleet   *fleet.Fleet             // nil = it keeps no view of one
	doors   *router.Doors            // nil = no pool has the fleet's routers as peers
	tiers   *router.Tiers            // nil = there is no fleet
	sockets *sockets                 // that it listens at
	news    *news                    // for a process that takes over
	heir    *heir                    // of a process before this one
	disk    func(dir string) fsys.FS // of the administration's store
}

// pool is one running pool.
type pool struct {
	setup   router.Setup
	inForce atomic.Uint64 // what of the book's limits counts on all engines
	ln      net.Listener
	link    *identity.TLSReloader // of its TLS listener; nil = there is none
	servers *identity.TLSReloader // of the way to its servers; nil = it is plain
	updates chan router.Setup
}

// Open reads the configuration, opens the server files that it names and listens. An error leaves nothing open.
func Open(path string) (*Service, error) { return openOn(path, onDisk) }

// onDisk is a folder of this machine.
func onDisk(dir string) fsys.FS { return fsys.Dir(dir) }

// openOn is Open with the folders of stores on a disk of one's own.
func openOn(path string, disk func(dir string) fsys.FS) (*Service, error) {
	file, err := config.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Service{path: path, file: file, disk: disk, sockets: takeSockets(file), news: newNews()}
	seed(file)
	if file.Operator != "" || file.Handover != "" || file.Fleet != nil {
		s.control = router.NewControl(len(file.Pools))
	}
	if file.Operator != "" {
		if s.calls, err = s.sockets.listen(file.Operator); err != nil {
			s.close()
			return nil, fmt.Errorf("operator: %w", err)
		}
	}
	if s.known, err = openKnown(file); err != nil {
		s.close()
		return nil, err
	}
	for _, p := range file.Pools {
		q, err := open(p, s.known, s.sockets)
		if err != nil {
			s.close()
			return nil, fmt.Errorf("pool %s: %w", p.Name, err)
		}
		q.setup.Control = s.control
		if s.sockets.taken != nil {
			q.setup.Part, q.setup.Elder = s.sockets.taken.Share, s.sockets.taken.Gone()
		}
		s.pools = append(s.pools, q)
	}
	if err := s.openFleet(); err != nil {
		s.close()
		return nil, err
	}
	for _, q := range s.pools {
		q.setup.Tiers, q.setup.Doors = s.tiers, s.doors
	}
	if file.Admin != nil {
		if s.admin, err = s.openAdmin(file.Admin); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// open opens what a pool works by, and listens. An error leaves nothing open.
func open(cfg *config.Config, k *known, at *sockets) (*pool, error) {
	var links backend.TLS // nil in itself, not a nil link
	servers, err := openServerLink(cfg.ServerTLS)
	if err != nil {
		return nil, err
	}
	if servers != nil {
		links = servers
	}
	setup, err := router.Open(cfg, links)
	if err != nil {
		return nil, err
	}
	p := &pool{setup: setup, servers: servers, updates: make(chan router.Setup)}
	if cfg.Callers != nil {
		p.setup.Gate = k.gate
		p.setup.InForce, p.setup.Usage = p.inForce.Store, k.usage
		if cfg.Tenants == nil {
			p.setup.Book = k.limits(cfg.Pool)
		}
	}
	if err := p.listen(cfg, at); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// listen opens the pool's listeners.
func (p *pool) listen(cfg *config.Config, at *sockets) (err error) {
	if p.ln, err = at.listen(cfg.Listen); err != nil {
		return err
	}
	if cfg.RESP != nil && cfg.RESP.Meta != "" {
		if p.setup.Meta, err = at.listen(cfg.RESP.Meta); err != nil {
			return err
		}
	}
	if cfg.TLS == nil {
		return nil
	}
	if p.link, err = openLink(cfg.TLS); err != nil {
		return err
	}
	ln, err := at.listen(cfg.TLS.Listen)
	if err != nil {
		return err
	}
	p.setup.TLS = tls.NewListener(ln, p.link.Server())
	return nil
}

// close closes what is open of a pool.
func (p *pool) close() {
	for _, ln := range []net.Listener{p.ln, p.setup.Meta, p.setup.TLS} {
		if ln != nil {
			ln.Close()
		}
	}
}

// seed draws the seed that a configuration leaves out.
func seed(f *config.File) {
	for _, p := range f.Pools {
		if p.SeedNumber == 0 {
			p.SeedNumber = rand.Uint64()
		}
	}
}

func (s *Service) close() {
	s.sockets.close()
	if s.calls != nil {
		s.calls.Close()
	}
	if s.fleet != nil {
		s.fleet.Close()
	}
	for _, p := range s.pools {
		p.close()
	}
}

// File is the configuration that the service started with.
func (s *Service) File() *config.File { return s.file }

// Addrs are the addresses of the pools, in the order of the configuration.
func (s *Service) Addrs() []string {
	var out []string
	for _, p := range s.pools {
		out = append(out, p.ln.Addr().String())
	}
	return out
}

// Fleet is the address where other routers reach this one, "" where it takes no part in a fleet.
func (s *Service) Fleet() string {
	if s.fleet == nil {
		return ""
	}
	return s.fleet.Addr()
}

// Operator is the address of operators, "" where they have none.
func (s *Service) Operator() string {
	if s.calls == nil {
		return ""
	}
	return s.calls.Addr().String()
}

// Callers are the figures of who has called; false where nobody is asked.
func (s *Service) Callers() (identity.Stats, bool) {
	if s.known == nil {
		return identity.Stats{}, false
	}
	return s.known.gate.Stats(), true
}

// Run serves until ctx ends, and then answers what was taken. A signal in hup, or a change of the file, brings a new
// configuration.
func (s *Service) Run(ctx context.Context, hup <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if s.calls != nil {
		slog.Info("operators' calls", "addr", s.Operator())
		defer operate(s.calls, s.control, s.fleetView())()
	}
	defer s.handOver(stop)()
	var wg sync.WaitGroup
	ended := make([]error, len(s.pools)+1)
	leave := takePart(s.fleet, func(err error) { // till the last answer is out: until then it uses its part
		ended[len(s.pools)] = err
		stop()
	})
	for i, p := range s.pools {
		wg.Go(func() {
			ended[i] = router.Serve(ctx, p.setup, p.ln, p.updates)
			stop() // one pool that can't serve ends the others
		})
	}
	if s.known != nil {
		wg.Go(func() { s.known.source.Run(ctx) })
	}
	if s.admin != nil {
		wg.Go(func() { s.admin.run(ctx) })
	}
	for _, p := range s.pools {
		for _, l := range []*identity.TLSReloader{p.link, p.servers} {
			if l != nil {
				wg.Go(func() { l.Run(ctx) })
			}
		}
	}
	wg.Go(func() { s.follow(ctx, hup) })
	wg.Wait()
	leave()
	if s.fleet != nil {
		s.news.end(s.fleet.HandoverState())
	}
	return errors.Join(ended...)
}

// follow takes new configurations until ctx ends. Only its goroutine changes the service.
func (s *Service) follow(ctx context.Context, hup <-chan os.Signal) {
	t := &taker{s: s, ctx: ctx}
	now := func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	f := watch.New(watch.Config{Path: s.path, MaxBytes: config.MaxFileBytes, SettleMS: watch.DefaultSettleMS}, now, t)
	if text, err := f.Read(); err == nil {
		f.SetCurrent(text) // a change since the start counts as one: it is compared with what runs at the next
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { f.Run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		text, err := f.Read()
		if err == nil {
			err = t.Apply(text)
		}
		if err != nil {
			slog.Warn("SIGHUP: the configuration is kept", "why", oneLine(err))
		}
	}
}

// taker takes configurations, from the signal and from the watched file.
type taker struct {
	s   *Service
	ctx context.Context
	mu  sync.Mutex
}

// Take goes over to the configuration in text, whole, or says why not.
func (t *taker) Apply(text []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	next, faults := config.ParseFile(t.s.path, text)
	if faults != nil {
		return faults
	}
	if keys := t.s.file.NeedsRestart(next); len(keys) > 0 {
		return fmt.Errorf("%s: %s can only change with a restart", t.s.path, strings.Join(keys, ", "))
	}
	setups, err := t.setups(next)
	if err != nil {
		return err
	}
	if err := t.rejoin(next); err != nil {
		return err
	}
	changed := 0
	for i, p := range t.s.pools {
		if reflect.DeepEqual(p.setup.Config, setups[i].Config) {
			continue
		}
		select {
		case p.updates <- setups[i]:
		case <-t.ctx.Done():
			return nil
		}
		p.setup = setups[i]
		changed++
	}
	t.s.file = next
	if t.s.known != nil {
		t.s.known.source.SetClasses(next.Classes())
	}
	slog.Info("configuration: taken", "changed", changed, "pools", len(setups))
	return nil
}

// setups opens all that is new in a configuration, before anything of it counts.
func (t *taker) setups(next *config.File) ([]router.Setup, error) {
	var out []router.Setup
	for i, p := range next.Pools {
		old := t.s.pools[i].setup
		p.SeedNumber = old.SeedNumber
		if reflect.DeepEqual(p.Source, old.Source) {
			out = append(out, router.Setup{Config: p, Servers: old.Servers})
			continue
		}
		setup, err := router.Open(p, old.Links)
		if err != nil {
			return nil, fmt.Errorf("pool %s: %w", p.Name, err)
		}
		out = append(out, setup)
	}
	return out, nil
}

// Refused tells why a changed file is not taken.
func (t *taker) Refused(why error) {
	slog.Warn("configuration: refused, the one in use stays", "why", oneLine(why))
}

// Trouble tells that notices fail.
func (t *taker) NotificationsFailed(err error) {
	slog.Warn("configuration: no notices, the file is only looked at four times a second", "err", err)
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }
