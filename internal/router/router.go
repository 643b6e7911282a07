package router

import (
	"context"
	"log"
	"net"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// comeAfterStop is how long connections are taken once the router is told to stop: for 0.4 s new ones still come.
const comeAfterStop = 500 * time.Millisecond

// Serve is a router: it serves the clients of ln, which it closes, until ctx ends. Then it answers what it has taken
// and returns nil. From a configuration that comes in updates it takes the address of discovery.
func Serve(ctx context.Context, cfg *Config, ln net.Listener, updates <-chan *Config) error {
	defer ln.Close()
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	sockets := cfg.Limits.Sockets - fdReserve
	// Each attempt may hold a value of full length: all together a quarter of the memory.
	attempts := min(sockets*9/20, int(cfg.Limits.MemoryMB<<20/4/maxValue))
	up := newUpstreams(ms(cfg.settings.Config.ConnIdle), ms(cfg.settings.ConnectTimeout), attempts)
	l, err := newLoop(cfg, up)
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
	l.post(func() { l.list(decide.Remembered, cfg.Known) })
	wg.Go(func() { l.discover(work, cfg, updates) })
	s := newClients(l, ln, sockets*11/20)
	s.wg.Go(s.accept) // so that drain waits for a connection that is just being taken
	log.Printf("%s: listening at %s", cfg.Name, ln.Addr())

	<-ctx.Done()
	time.Sleep(comeAfterStop)
	ln.Close()
	longest := 0.0 // no client waits longer, and SIGKILL comes later than that
	for _, k := range cfg.settings.Config.Classes {
		longest = max(longest, k.Deadline)
	}
	end, cancel := context.WithTimeout(context.Background(), ms(longest))
	defer cancel()
	s.drain(end)
	return nil
}

// discover follows the discovery that the configuration names, until ctx ends.
func (l *loop) discover(ctx context.Context, cfg *Config, updates <-chan *Config) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		life, end := context.WithCancel(ctx)
		d := l.newSource(cfg)
		l.post(func() { l.follow(d) }) // before anything that it tells
		wg.Go(func() { d.run(life) })
		next := cfg
		for next == cfg || next.Discovery == cfg.Discovery {
			select {
			case <-ctx.Done():
				end()
				return
			case next = <-updates:
				log.Printf("SIGHUP: discovery at %s", next.Discovery)
			}
		}
		end() // the old watch
		cfg = next
	}
}

// newSource is the discovery of a configuration. It is heard while the loop follows it: an answer of one before it
// that is still on its way is older than what the new one tells, and counts for nothing.
func (l *loop) newSource(cfg *Config) *discovery {
	var d *discovery
	ask := cfg.settings.Config.AskList
	heard := func(do func()) {
		l.post(func() {
			if l.disc == d {
				do()
			}
		})
	}
	d = newDiscovery(cfg.Discovery, ask,
		func(got list) {
			kind := decide.Changes
			if got.Full {
				kind = decide.Full
			}
			heard(func() { l.list(kind, got) })
		},
		func() {
			if ask {
				heard(func() { l.list(decide.Refused, list{}) })
			}
		})
	return d
}
