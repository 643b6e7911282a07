package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Bounds of the rule on routers that operators take out of service, counted from their call.
const (
	emptyWithin    = 4 * time.Second        // later no connection is held that is idle,
	recentRequest  = 2 * time.Second        // or has a request that came within this time
	redirectAfter  = 200 * time.Millisecond // for which new connections still come
	operatorAnswer = time.Second            // within which operators' calls are answered
)

// shortDrain is the longest Fault.For of a drain that ends before the router has to be empty.
const shortDrain = 800 * time.Millisecond

// busyIntervals are how often requests are sent on the connections that are kept busy while a router is out of
// service.
var busyIntervals = []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}

// busyBefore is how long these connections are busy before the operators' call.
const busyBefore = time.Second

// takeOutOfService has operators take a router out of service while some of its connections are never idle,
// checks that it is empty in time, and puts it back into service or ends it.
func (w *world) takeOutOfService(ctx context.Context, f Fault, p *process) {
	release, ok := w.reserve(f.Target)
	if !ok {
		return
	}
	defer release()
	if !p.serves() { // its successor is not ready yet
		return
	}
	g := w.groups[f.Target]
	senders, stop := context.WithCancel(ctx)
	defer stop()
	for _, interval := range busyIntervals {
		w.wg.Go(func() { g.keepBusy(senders, p, interval) })
	}
	waited(ctx, busyBefore)
	if f.Mode != Normal {
		w.origin.set(f.Mode)
		defer w.origin.set(Normal)
	}
	called := time.Now()
	if err := p.operate("out-of-service"); err != nil {
		w.problem(Process, p.name, err)
		return
	}
	waited(ctx, redirectAfter)
	g.divertTo(w.groups[(f.Target+1)%len(w.groups)])
	defer g.divertTo(nil)
	if f.For < shortDrain {
		waited(ctx, f.For)
	} else {
		waited(ctx, time.Until(called.Add(emptyWithin+timeLimitSlack)))
		w.checkEmpty(g, p, called)
	}
	if f.Drained {
		w.terminate(ctx, f, p)
		return
	}
	if err := p.operate("in-service"); err != nil {
		w.problem(Process, p.name, err)
	}
}

// checkEmpty records a violation for each connection that a router out of service may not hold any more.
func (w *world) checkEmpty(g *clientGroup, p *process, called time.Time) {
	at := time.Now()
	held := g.heldBy(p, at.Add(-recentRequest))
	time.Sleep(timeLimitSlack + w.ledger.lateness.around(at)) // for the clients to see the end of a connection
	w.ledger.update(func() { w.ledger.emptyChecks++ })
	for _, c := range held {
		if c.holds(at.Add(-recentRequest)) {
			w.problem(Empty, p.name, fmt.Errorf("%v after it was taken out of service it holds the connection %v, which is idle or has a request of the last %v",
				at.Sub(called).Round(time.Millisecond), c.LocalAddr(), recentRequest))
		}
	}
}

// heldBy returns the open connections to a process that are idle or have a request sent later than since.
func (g *clientGroup) heldBy(p *process, since time.Time) (held []*clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.all {
		if c.process == p && !c.crowd && c.holds(since) {
			held = append(held, c)
		}
	}
	return held
}

// holds reports whether the connection is open, and idle or with a request sent later than since.
func (c *clientConn) holds(since time.Time) (yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if len(c.pending) == 0 {
		return true
	}
	c.group.ledger.update(func() { yes = c.pending[len(c.pending)-1].Sent.After(since) })
	return yes
}

// keepBusy sends requests that the origin has to run on one connection to a process, whether or not earlier
// ones are answered, until the router closes it.
func (g *clientGroup) keepBusy(ctx context.Context, p *process, interval time.Duration) {
	c, err := g.conn(true)
	if err != nil || c.process != p {
		return
	}
	for !c.isClosed() && waited(ctx, interval) {
		r := g.write()
		g.ledger.addRequest(r)
		c.write(r)
	}
}

// write draws a request of a class that runs at the origin and may run once.
func (g *clientGroup) write() *Request {
	r := g.request()
	for _, class := range g.classes {
		if class.Effect == Once && !class.Read {
			r.Class, r.Wait = class, class.Deadline
		}
	}
	return r
}

// divertTo has new connections go to the process of another group; nil = to this group's own.
func (g *clientGroup) divertTo(other *clientGroup) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.divert = other; other == g {
		g.divert = nil
	}
}

// serves reports whether the process runs and was not told to end.
func (p *process) serves() bool {
	select {
	case <-p.ended:
		return false
	default:
	}
	_, ending := p.terminating()
	return !ending
}

var errOperator = errors.New("operators' call was not accepted")

// operate makes an operators' call that changes the state of the process.
func (p *process) operate(call string) error {
	client := http.Client{Timeout: operatorAnswer + timeLimitSlack, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+p.operator+"/control/"+call, "", nil)
	if err != nil {
		return fmt.Errorf("soak: %s: %w", call, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("soak: %s: %w: %s: %s", call, errOperator, resp.Status, text)
	}
	return nil
}
