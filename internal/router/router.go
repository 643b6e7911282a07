package router

import (
	"context"
	"log"
	"net"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/member"
)

// comeAfterStop is how long connections are taken once the router is told to stop: for 0.4 s new ones still come.
const comeAfterStop = 500 * time.Millisecond

// Setup is what a router works by.
type Setup struct {
	*config.Config
	Servers *member.FileSource // the server file, opened; nil = discovery tells of servers
}

// Open opens the server file that a configuration names. Without one, discovery tells of servers.
func Open(cfg *config.Config) (Setup, error) {
	s := Setup{Config: cfg}
	if cfg.Source.Path == "" {
		return s, nil
	}
	clock := clock{time.Now()}
	log := func(format string, args ...any) { log.Printf(cfg.Name+": "+format, args...) }
	var err error
	s.Servers, err = member.OpenFile(cfg.Source, clock.now, log)
	return s, err
}

// Serve is a router: it serves the clients of ln, which it closes, until ctx ends. Then it answers what it has taken
// and returns nil. From a setup that comes in updates it takes where servers come from and, where the configuration is
// the program's own, classes and tenants.
func Serve(ctx context.Context, cfg Setup, ln net.Listener, updates <-chan Setup) error {
	defer ln.Close()
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	sockets := cfg.Limits.Sockets - config.FDReserve
	// Each attempt may hold a value of full length: all together a quarter of the memory.
	attempts := min(sockets*9/20, int(cfg.Limits.MemoryMB<<20/4/maxValue))
	up := newUpstreams(ms(cfg.Checked.Config.ConnIdle), ms(cfg.Checked.ConnectTimeout), attempts)
	l, err := newLoop(cfg.Config, up)
	if err != nil {
		return err
	}

	work, stop := context.WithCancel(context.Background()) // outlives ctx: what was taken is still served
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { l.run(work) })
	wg.Go(func() { up.sweep(work) })
	if cfg.Servers == nil {
		l.post(func() { l.list(decide.Remembered, cfg.Known) })
	}
	wg.Go(func() { l.discover(work, cfg, updates) })
	s := newClients(l, ln, sockets*11/20)
	s.wg.Go(s.accept) // so that drain waits for a connection that is just being taken
	log.Printf("%s: listening at %s", cfg.Name, ln.Addr())

	<-ctx.Done()
	time.Sleep(comeAfterStop)
	ln.Close()
	longest := 0.0 // no client waits longer, and SIGKILL comes later than that
	for _, k := range cfg.Checked.Config.Classes {
		longest = max(longest, k.Deadline)
	}
	end, cancel := context.WithTimeout(context.Background(), ms(longest))
	defer cancel()
	s.drain(end)
	return nil
}

// discover follows the source of servers that the setup names, until ctx ends.
func (l *loop) discover(ctx context.Context, cfg Setup, updates <-chan Setup) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		life, end := context.WithCancel(ctx)
		d := l.newSource(cfg)
		l.post(func() { l.follow(d) }) // before anything that it tells
		wg.Go(func() { d.run(life) })
		next := cfg
		for next.sameSource(cfg) {
			select {
			case <-ctx.Done():
				end()
				return
			case next = <-updates:
				l.update(next)
			}
		}
		end() // the old watch
		cfg = next
	}
}

// sameSource says whether two setups take their servers from the same place, by the same rules.
func (s Setup) sameSource(t Setup) bool { return s.Discovery == t.Discovery && s.Servers == t.Servers }

// update takes from a setup what a running router can change beside its source.
func (l *loop) update(next Setup) {
	if !next.Own {
		log.Printf("SIGHUP: discovery at %s", next.Discovery)
		return
	}
	c := next.Checked.Config
	l.post(func() {
		if err := l.b.Configure(l.now(), c.Classes, c.Tenants, c.OverWorth); err != nil {
			log.Printf("%s: classes and tenants stay: %v", next.Name, err)
			return
		}
		l.setClasses(c.Classes)
	})
}

// source is where lists come from. It is heard while the loop follows it: an answer of one before it that is still on
// its way is older than what the new one tells, and counts for nothing.
type source struct {
	run   func(context.Context)
	watch func() // asks it to be watched from now on
	tell  func(member.List)
}

// newSource is the source of a setup.
func (l *loop) newSource(cfg Setup) *source {
	s := &source{}
	heard := func(do func()) {
		l.post(func() {
			if l.source == s {
				do()
			}
		})
	}
	s.tell = func(got member.List) {
		kind := decide.Changes
		if got.Full {
			kind = decide.Full
		}
		heard(func() { l.list(kind, got) })
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
	d := member.NewDiscovery(cfg.Discovery, ask, s.tell, func() {
		if ask {
			heard(func() { l.list(decide.Refused, member.List{}) })
		}
	})
	s.run, s.watch = d.Run, d.Watch
	return s
}
