package fleettest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/standin"
)

// The troubles that a phase of a load can bring.
const (
	serversLost   = "servers lost"     // a third of the servers is killed, and back cold after a while
	routersLost   = "routers lost"     // two thirds of the routers are killed
	halves        = "halves"           // the routers of the two halves don't hear each other, for as long as the phase lasts
	restarts      = "all restart"      // all routers are killed within a second, and start anew
	originStopped = "origin stopped"   // for 5 s, or as long as the phase lasts
	oneHangs      = "one router hangs" // for 3 s, and wakes with what it had in hand
)

const (
	originStops = 5 * time.Second
	routerHangs = 3 * time.Second
)

// trouble brings what is ordered. The returned function waits until that is over, and says what went wrong with it.
func (l *load) trouble(ctx context.Context, what string) (over func() error, err error) {
	done := func() error { return nil }
	if what != "" {
		l.rig.say("trouble: %s", what)
	}
	switch what {
	case "":
	case serversLost:
		return l.killServers(ctx), nil
	case routersLost:
		for i, n := range l.rig.Nodes {
			if i%3 != 0 {
				n.Kill()
			}
		}
	case halves:
		l.rig.Split(func(i int) int { return i % 2 })
		return func() error { l.rig.Heal(); return nil }, nil
	case restarts:
		return l.restartAll(), nil
	case originStopped:
		l.servers.Origin.Stop(originStops)
	case oneHangs:
		n := l.rig.Nodes[len(l.rig.Nodes)-1]
		n.Stop()
		wake := time.AfterFunc(routerHangs, n.Continue)
		return func() error {
			if wake.Stop() {
				n.Continue()
			}
			return nil
		}, nil
	default:
		return nil, fmt.Errorf("no trouble is called %q", what)
	}
	return done, nil
}

// restartAll kills all routers, one after the other within a second, and starts each anew at once.
func (l *load) restartAll() (over func() error) {
	nodes := l.rig.Nodes
	errs := make([]error, len(nodes))
	var wg sync.WaitGroup
	for i, n := range nodes {
		wg.Go(func() {
			l.rig.pause(time.Duration(i) * time.Second / time.Duration(len(nodes)))
			n.Kill()
			errs[i] = n.Start()
		})
	}
	return func() error { wg.Wait(); return errors.Join(errs...) }
}

// killServers kills a third of the servers and has them back cold after a while; the returned function waits for that.
func (l *load) killServers(ctx context.Context) (wait func() error) {
	var wg sync.WaitGroup
	for i, c := range l.servers.Caches() {
		if i%3 == 0 {
			c.Set(standin.Dead)
			wg.Go(func() {
				select {
				case <-time.After(coldAfter):
				case <-ctx.Done():
				}
				c.Set(standin.Serves)
				c.Restart() //nolint:errcheck // its port is its own
			})
		}
	}
	return func() error { wg.Wait(); return nil }
}
