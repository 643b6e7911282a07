package engine

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// host is the engine as the Balancer sees it. Its methods are those of decide.Host.
type host struct{ *Engine }

// Send starts an attempt. A time-out of 0, and any later than the client's, ends with the client's wait.
func (e host) Send(id, to uint32, timeout float64) {
	r := e.reqs[id]
	if r == nil { // over, and nothing is out: the Balancer has no record of it either
		return
	}
	now := e.now()
	left := r.until - now
	if timeout != 0 {
		left = min(left, timeout)
	}
	by, repeats := e.mayRepeat(r)
	a := &r.first // one is enough for most
	if len(r.tries) > 0 {
		a = &attempt{}
	} else {
		r.tries = r.few[:0]
	}
	a.e, a.r, a.n, a.server, a.at = e.Engine, r, len(r.tries), to, now
	r.tries, r.out = append(r.tries, a), r.out+1
	t := e.targets[to]
	a.t = t
	a.counts, a.by = e.counter != nil, by
	if r.out > 1 && !e.copies || a.n >= e.maxTry {
		e.Guard.Break(guard.Overlap, r.ID, "attempt %d with %d out", a.n, r.out-1)
	}
	if !repeats || r.over || t == nil || left <= 0 || a.n >= e.maxTry || !e.copies && r.out > 1 {
		e.later = append(e.later, func() { e.outcome(a, ends(decide.Ignored)) })
		return
	}
	if r.counted && e.origin != "" && t.entry.Kind == e.origin {
		e.tenants.Fetches(now, r.Request)
	}
	a.due = timer{kind: attemptDue, a: a}
	e.set(&a.due, left)
	a.asking = slices.Contains(r.asking, to)
	if got, known := t.Attempt(&a.stop, r.Request, a); known {
		e.later = append(e.later, func() { e.outcome(a, got) })
	}
}

// Cancel gives an attempt up.
func (e host) Cancel(id uint32, n int) {
	if r := e.reqs[id]; r != nil && n >= 0 && n < len(r.tries) {
		r.tries[n].cancel(e.Engine)
	}
}

// Refuse answers that trying again is harmless.
func (e host) Refuse(id uint32, wait float64) {
	r := e.reqs[id]
	if r == nil {
		return
	}
	if !e.mayPromise(r) {
		e.finish(r, Answer{Result: Failed})
		return
	}
	e.finish(r, Answer{Result: Refused, Wait: wait})
}

// Fail answers with no promise.
func (e host) Fail(id uint32) {
	if r := e.reqs[id]; r != nil {
		e.finish(r, Answer{Result: Failed})
	}
}

// probeTimeout is how long a probe is waited for, in milliseconds.
const probeTimeout = 500

// Probe asks a server for its load.
func (e host) Probe(server uint32) {
	t := e.targets[server]
	if t == nil {
		e.later = append(e.later, func() { e.b.ProbeResult(e.now(), server, decide.ConnectError, decide.NoLoad) })
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(e.ctx, probeTimeout*time.Millisecond)
		defer stop()
		st, load := t.Probe(ctx)
		e.Post(func() { e.b.ProbeResult(e.now(), server, st, load) })
	}()
}

// Close closes the idle connections to a server.
func (e host) Close(server uint32) {
	if t := e.targets[server]; t != nil {
		t.CloseIdle()
	}
}

// Timer calls the Balancer's Timer after that many milliseconds.
func (e host) Timer(after float64, token uint64) {
	t := e.spare
	if t == nil {
		t = &timer{}
	}
	e.spare = t.next
	*t = timer{kind: moduleTimer, token: token}
	e.set(t, after)
}

// Watch asks discovery for changes from now on.
func (e host) WatchList() {
	e.watch()
}

// Tell sends nothing: the module has nothing to tell other routers.
func (e host) Broadcast([]byte) {}

// Log writes a line of the module's.
func (e host) Log(text string) { slog.Info(text) }
