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
// and returns nil.
func Serve(ctx context.Context, cfg *Config, ln net.Listener) error {
	defer ln.Close()
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	sockets := cfg.Limits.Sockets - fdReserve
	up := newUpstreams(ms(cfg.settings.Config.ConnIdle), ms(cfg.settings.ConnectTimeout), sockets*2/5)
	l, err := newLoop(cfg, up)
	if err != nil {
		return err
	}
	l.disc = newDiscovery(cfg.Discovery, cfg.settings.Config.AskList,
		func(got list) {
			l.post(func() {
				kind := decide.Changes
				if got.Full {
					kind = decide.Full
				}
				l.list(kind, got)
			})
		},
		func() {
			if cfg.settings.Config.AskList {
				l.post(func() { l.list(decide.Refused, list{}) })
			}
		})

	work, stop := context.WithCancel(context.Background()) // outlives ctx: what was taken is still served
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	wg.Go(func() { l.run(work) })
	wg.Go(func() { up.sweep(work) })
	l.post(func() { l.list(decide.Remembered, cfg.Known) })
	wg.Go(func() { l.disc.run(work) })
	s := newClients(l, ln, sockets*3/5)
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
