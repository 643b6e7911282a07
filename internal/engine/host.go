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
	r := e.requests[id]
	if r == nil { // over, and nothing is out: the Balancer has no record of it either
		return
	}
	now := e.now()
	left := r.deadline - now
	if timeout != 0 {
		left = min(left, timeout)
	}
	by, repeats := e.mayRepeat(r)
	a := &r.firstAttempt // one is enough for most
	if len(r.attempts) > 0 {
		a = &attempt{}
	} else {
		r.attempts = r.attemptsBuf[:0]
	}
	a.engine, a.request, a.index, a.serverID, a.startedAt = e.Engine, r, len(r.attempts), to, now
	r.attempts, r.inFlight = append(r.attempts, a), r.inFlight+1
	t := e.targets[to]
	a.target = t
	a.counted, a.beginBy = e.counter != nil, by
	if r.inFlight > 1 && !e.hedging || a.index >= e.maxAttempts {
		e.Guard.RecordViolation(guard.Overlap, r.ID, "attempt %d with %d out", a.index, r.inFlight-1)
	}
	if !repeats || r.finished || t == nil || left <= 0 || a.index >= e.maxAttempts || !e.hedging && r.inFlight > 1 {
		e.deferred = append(e.deferred, func() { e.finishAttempt(a, replyWithStatus(decide.Ignored)) })
		return
	}
	if r.countedByTenants && e.originKind != "" && t.entry.Kind == e.originKind {
		e.tenants.FetchStarted(now, r.Request)
	}
	a.timer = timer{kind: attemptTimeout, attempt: a}
	e.startTimer(&a.timer, left)
	a.asking = slices.Contains(r.askingServers, to)
	if got, known := t.Attempt(&a.canceler, r.Request, a); known {
		e.deferred = append(e.deferred, func() { e.finishAttempt(a, got) })
	}
}

// Cancel gives an attempt up.
func (e host) Cancel(id uint32, n int) {
	if r := e.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.attempts[n].cancel(e.Engine)
	}
}

// Refuse answers that trying again is harmless.
func (e host) Refuse(id uint32, wait float64) {
	r := e.requests[id]
	if r == nil {
		return
	}
	if !e.mayRefuse(r) {
		e.finish(r, Answer{Result: Failed})
		return
	}
	e.finish(r, Answer{Result: Refused, RetryAfter: wait})
}

// Fail answers with no promise.
func (e host) Fail(id uint32) {
	if r := e.requests[id]; r != nil {
		e.finish(r, Answer{Result: Failed})
	}
}

// probeTimeout is how long a probe is waited for, in milliseconds.
const probeTimeout = 500

// Probe asks a server for its load.
func (e host) Probe(server uint32) {
	t := e.targets[server]
	if t == nil {
		e.deferred = append(e.deferred, func() { e.balancer.ProbeResult(e.now(), server, decide.ConnectError, decide.NoLoad) })
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(e.ctx, probeTimeout*time.Millisecond)
		defer stop()
		st, load := t.Probe(ctx)
		e.Post(func() { e.balancer.ProbeResult(e.now(), server, st, load) })
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
	t := e.freeTimers
	if t == nil {
		t = &timer{}
	}
	e.freeTimers = t.nextFree
	*t = timer{kind: balancerTimer, token: token}
	e.startTimer(t, after)
}

// Watch asks discovery for changes from now on.
func (e host) WatchList() {
	e.watchList()
}

// Tell sends nothing: the module has nothing to tell other routers.
func (e host) Broadcast([]byte) {}

// Log writes a line of the module's.
func (e host) Log(text string) { slog.Info(text) }
