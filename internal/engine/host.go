package engine

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// host implements decide.Host for the engine's Balancer.
type host struct{ *Engine }

// Send starts an attempt. A timeout of 0, or one beyond the client's deadline, means the client's deadline.
func (e host) Send(id, to uint32, timeout float64) {
	r := e.requests[id]
	if r == nil { // finished with nothing in flight: the Balancer has no record of it either
		return
	}
	if !e.hedging {
		r.closeHeld()
	}
	now := e.now()
	remaining := r.deadline - now
	if timeout != 0 {
		remaining = min(remaining, timeout)
	}
	beginBy, allowed := e.mayRepeat(r)
	a := &r.firstAttempt // most requests need only one
	if n := len(r.attempts); n > 0 {
		a = &attempt{previous: r.attempts[n-1]}
	} else {
		r.attempts = r.attemptsBuf[:0]
	}
	a.engine, a.request, a.index, a.serverID, a.startedAt = e.Engine, r, len(r.attempts), to, now
	r.attempts, r.inFlight = append(r.attempts, a), r.inFlight+1
	target := e.targets[to]
	a.target = target
	a.counted, a.beginBy = e.counter != nil, beginBy
	if r.inFlight > 1 && !e.hedging || a.index >= e.maxAttempts {
		e.Guard.RecordViolation(guard.Overlap, r.ID, "attempt %d with %d in flight", a.index, r.inFlight-1)
	}
	if !allowed || r.finished || target == nil || remaining <= 0 || a.index >= e.maxAttempts || !e.hedging && r.inFlight > 1 {
		e.deferred = append(e.deferred, func() { e.finishAttempt(a, replyWithStatus(decide.Ignored)) })
		return
	}
	if r.countedByTenants && e.originKind != "" && target.entry.Kind == e.originKind {
		e.tenants.FetchStarted(now, r.Request)
	}
	a.timer = timer{kind: attemptTimeout, attempt: a}
	e.startTimer(&a.timer, remaining)
	a.asking = slices.Contains(r.askingServers, to)
	if reply, known := target.Attempt(&a.canceler, r.Request, a); known {
		e.deferred = append(e.deferred, func() { e.finishAttempt(a, reply) })
	}
}

// Cancel aborts an attempt.
func (e host) Cancel(id uint32, n int) {
	if r := e.requests[id]; r != nil && n >= 0 && n < len(r.attempts) {
		r.attempts[n].cancel(e.Engine, cancelDecided)
	}
}

// Refuse answers a request with the promise that a retry is harmless, unless an attempt may have run.
func (e host) Refuse(id uint32, wait float64) {
	r := e.requests[id]
	if r == nil {
		return
	}
	if !e.mayRefuse(r) {
		e.finish(r, Answer{Result: Failed})
		return
	}
	e.finish(r, Answer{Result: Refused, RetryAfter: wait, NeverSent: len(r.attempts) == 0})
}

// Fail answers a request without any promise.
func (e host) Fail(id uint32) {
	if r := e.requests[id]; r != nil {
		e.finish(r, Answer{Result: Failed})
	}
}

// probeTimeout is how long the reply to a probe is waited for, in milliseconds.
const probeTimeout = 500

// Probe asks a server for its load.
func (e host) Probe(server uint32) {
	target := e.targets[server]
	if target == nil {
		e.deferred = append(e.deferred, func() { e.balancer.ProbeResult(e.now(), server, decide.ConnectError, decide.NoLoad) })
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(e.ctx, probeTimeout*time.Millisecond)
		defer stop()
		status, load := target.Probe(ctx)
		e.Post(func() { e.balancer.ProbeResult(e.now(), server, status, load) })
	}()
}

// Close closes the idle connections to a server.
func (e host) Close(server uint32) {
	if t := e.targets[server]; t != nil {
		t.CloseIdle()
	}
}

// Timer calls the Balancer's Timer after the given number of milliseconds.
func (e host) Timer(after float64, token uint64) {
	t := e.freeTimers
	if t == nil {
		t = &timer{}
	}
	e.freeTimers = t.nextFree
	*t = timer{kind: balancerTimer, token: token}
	e.startTimer(t, after)
}

// WatchList asks discovery to report changes from now on.
func (e host) WatchList() {
	e.watchList()
}

// Broadcast sends nothing, as the Balancer has nothing to announce to other routers.
func (e host) Broadcast([]byte) {}

// Log writes a log line of the Balancer.
func (e host) Log(text string) { slog.Info(text) }
