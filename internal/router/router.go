package router

import (
	"context"
	"log"
	"net"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
)

const (
	comeAfterStop = 600 * time.Millisecond // new connections still come for 0.4 s once the router is told to stop
	stopWithin    = 3 * time.Second        // of then; no client waits that long
)

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
	wg.Go(s.accept)
	log.Printf("%s: listening at %s", cfg.Name, ln.Addr())

	<-ctx.Done()
	time.Sleep(comeAfterStop)
	ln.Close()
	end, cancel := context.WithTimeout(context.Background(), stopWithin-comeAfterStop)
	defer cancel()
	s.drain(end)
	return nil
}
