package member

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// agentBound is how long after an agent has a change its router has to know of it: the grace of a drain and the slack on
// sockets, less 0.1 s until no attempt begins any more.
const agentBound = drainGrace + 50*time.Millisecond - 100*time.Millisecond

// Guards against requests at a server that drains, where lists are pushed: an agent was silent, or its machine's discovery
// away, and what it had at its return counts at once, but the router paused for up to 0.5 s behind each call.
func TestAgentThatReturnsIsHeardAtOnce(t *testing.T) {
	for name, fault := range map[string]serviceFault{"silent": silent, "refused": refused} {
		for i := range 50 {
			length := outage + time.Duration(i)*11*time.Millisecond
			t.Run(fmt.Sprintf("%s for %v", name, length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					if took := playAgentReturn(t, fault, length); took > agentBound {
						t.Errorf("the drain is known after %v", took)
					}
				})
			})
		}
	}
}

// playAgentReturn has an agent fail for a time and a server drain at its return. It returns how long it takes until that is
// known.
func playAgentReturn(t *testing.T, fault serviceFault, length time.Duration) time.Duration {
	t.Helper()
	agent := newQueuedService(0)
	known := make(chan struct{})
	var once sync.Once
	d := NewDiscovery("agent:1", false, -1, func(l List) {
		for _, e := range l.Servers {
			if e.State == "leaving" {
				once.Do(func() { close(known) })
			}
		}
	}, func() {})
	d.client.Transport.(*http.Transport).DialContext = agent.dial //nolint:forcetypeassert // it is one
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	time.Sleep(settledAfter)
	agent.fail(fault, true)
	time.Sleep(length)
	agent.heal()
	agent.change(true)
	back := time.Now()
	<-known
	took := time.Since(back)
	stop()
	running.Wait()
	time.Sleep(time.Minute) // the agent's ends of the connections
	return took
}
