package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/operator"
)

// busy sends requests to a node, so many a second, until it is stopped or the node ends.
func (r *Rig) busy(n *Node, rate int) (stop func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			return
		}
		defer c.Close()
		defer context.AfterFunc(ctx, func() { c.Close() })()
		wg.Go(func() { // answers are not looked at
			in := bufio.NewReader(c)
			for {
				if _, err := in.ReadString('\n'); err != nil {
					return
				}
			}
		})
		for i := 0; ctx.Err() == nil; i++ {
			if _, err := fmt.Fprintf(c, "mg %016x v O%x Pc=read,t=t,d=2000,h=2000,size=5\r\n", i, i); err != nil {
				return
			}
			r.pause(time.Second / time.Duration(rate))
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// shares waits until what nodes say that they may use is as it should be.
func (r *Rig) sharesAre(t *testing.T, why string, is func(parts []operator.ResourceShare) bool, nodes ...int) time.Duration {
	t.Helper()
	var last []operator.ResourceShare
	took, err := r.Until(slow, func() error {
		last = nil
		for _, a := range r.Views(nodes...) {
			if a.Err != nil {
				return a.Err
			}
			last = append(last, a.View.ResourceShare)
		}
		if !is(last) {
			return fmt.Errorf("%+v", last)
		}
		return nil
	})
	if err != nil {
		t.Fatalf("%s: %v", why, err)
	}
	t.Logf("%s: after %v", why, took.Round(time.Millisecond))
	return took
}

// lending makes a rig whose requests name a tenant that there is.
func lending(t *testing.T, routers int) *Rig {
	return rigged(t, routers, func(o *Options) {
		o.Config = func(_ int, c *Config) {
			c.Extra = "[[class]]\nname = \"read\"\neffect = \"repeatable\"\naim_ms = 500\ndeadline_ms = 2000\n[[tenant]]\nname = \"t\"\nshare_per_s = 100000\n"
		}
	})
}

// evenly says whether all have their equal part, and nothing is lent.
func evenly(parts []operator.ResourceShare) bool {
	for _, p := range parts {
		if p.LeasedOut > 0 || p.LeasedIn > 0 || p.Effective < 0.999/float64(len(parts)) {
			return false
		}
	}
	return true
}

// One router has nearly all the work: the others lend it most of their parts, and have them back once its work ends. It is killed and hung
// with borrowed parts in hand: the others have theirs again, and it does not go on with what has ended.
func TestPartsGoWhereTheWorkIs(t *testing.T) {
	r := lending(t, 6)
	up(r, t)
	r.sharesAre(t, "calm", evenly, r.All()...)
	most := func(parts []operator.ResourceShare) bool { return parts[1].Effective > 0.6 && parts[1].LeasedIn > 0.45 }
	stop := r.busy(r.Nodes[1], 400)
	r.sharesAre(t, "work at one", most, r.All()...)
	stop()
	r.sharesAre(t, "its work has ended", evenly, r.All()...)

	stop = r.busy(r.Nodes[1], 400)
	r.sharesAre(t, "work at one again", most, r.All()...)
	r.Nodes[1].Stop()
	r.pause(3 * time.Second)
	r.Nodes[1].Continue()
	r.sharesAre(t, "the others after a hang", func(parts []operator.ResourceShare) bool { return parts[0].Effective > 0 }, 0)
	r.sharesAre(t, "it goes on", most, r.All()...)

	r.Nodes[1].Kill()
	stop()
	r.sharesAre(t, "the busy one is killed", evenly, 0, 2, 3, 4, 5)
	r.must(t, r.Nodes[1].Start())
	r.sharesAre(t, "it is back", evenly, r.All()...)
}

// Halves lend within themselves alone, and together never have more than the whole: each router still counts all.
func TestLoansInAPartition(t *testing.T) {
	r := lending(t, 6)
	up(r, t)
	stop := []func(){r.busy(r.Nodes[0], 400), r.busy(r.Nodes[1], 400)}
	defer func() {
		for _, s := range stop {
			s()
		}
	}()
	r.Split(func(i int) int { return i % 2 })
	inHalf := func(parts []operator.ResourceShare) bool {
		sum := 0.0
		for _, p := range parts {
			sum += p.Effective
		}
		return parts[0].Effective > 0.3 && sum < 0.501
	}
	r.sharesAre(t, "a half", inHalf, 0, 2, 4)
	r.sharesAre(t, "the other half", inHalf, 1, 3, 5)
	r.Heal()
	r.settle(t, "healed", r.All()...)
}
