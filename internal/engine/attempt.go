package engine

import (
	"log/slog"
	"sync/atomic"

	"mossproxy.example/mossproxy/decide"
)

// attempt is one attempt of a request.
type attempt struct {
	engine    *Engine
	request   *request
	index     int
	serverID  uint32
	target    *server // nil = the server was not listed
	startedAt float64
	finished  bool // has its outcome; later results are dropped
	counted   bool // counted in Counts.Attempts once it is written
	// Deadline in ms passed to the server; used by the goroutine that writes the attempt.
	passedDeadline float64
	asking         bool // sent with ASKING
	maybeRan       bool // it may have run; valid once finished is set
	// Latest time to begin: later the server may have forgotten the earlier attempt and would not drop this
	// repeat as a duplicate; 0 = no limit.
	beginBy  float64
	canceler Canceler
	timer    timer
	phase    atomic.Int32
	previous *attempt       // the attempt of the request before this one; nil = this is the first
	link     Link           // whether a server may still be working on it
	held     HeldConnection // its connection, after an answer that names no request; nil = none
	// Float64 bits of the time when the latest bytes of its answer came, once that has begun.
	progressBits atomic.Uint64
	stallTimer   *timer // checks that more of the answer comes; nil = it has not begun
}

// Phases of an attempt. phaseOpening is left exactly once, for one of the other two.
const (
	phaseOpening  = iota // nothing is written
	phaseWriting         // from here on it may have run
	phaseCanceled        // it will never be written
)

// Link implements AttemptHandler.
func (a *attempt) Link() *Link { return &a.link }

// Done implements AttemptHandler.
func (a *attempt) Done(reply Reply) { a.engine.Post(func() { a.engine.finishAttempt(a, reply) }) }

// finishAttempt ends an attempt once. Later results reach neither the client nor the Balancer.
func (e *Engine) finishAttempt(a *attempt, reply Reply) {
	if reply.Streamed != nil && (a.finished || a.request.finished) { // nobody takes it
		defer reply.Streamed.Discard()
	}
	if a.finished {
		reply.release()
		return
	}
	a.finished, a.maybeRan = true, !reply.Status.NeverRan() && a.phase.Load() == phaseWriting
	if a.hold(reply.Held); a.held == nil {
		a.canceler.Cancel()
	}
	a.traceEnded(reply)
	e.timers.stop(&a.timer)
	if a.stallTimer != nil {
		e.timers.stop(a.stallTimer)
	}
	r := a.request
	r.inFlight--
	if reply.Status == decide.OK {
		fill := e.fillRequest(a, reply)
		e.finish(r, Answer{Result: Served, Body: reply.Body, Content: reply.Content, Absent: reply.Absent, Streamed: reply.Streamed})
		e.submitFill(fill)
	}
	e.removeIfDone(r)
	now := e.now()
	e.inferRestart(a, reply)
	if r.askingServers = nil; reply.Asking {
		r.askingServers = reply.Owners
	}
	e.balancer.Outcome(now, decide.Outcome{ID: r.id, Attempt: a.index, Server: a.serverID, Status: reply.Status, Latency: now - a.startedAt,
		Final: r.finished, CacheResult: reply.CacheResult, Load: reply.Load, Owners: reply.Owners})
}

// fillRequest returns the request that stores the value which an attempt at the origin has fetched, nil if
// there is nothing to store.
func (e *Engine) fillRequest(a *attempt, reply Reply) *Request {
	if e.store == nil || a.request.finished || a.request.Write || reply.Absent || a.target == nil || a.target.entry.Kind != e.originKind {
		return nil
	}
	return e.store.FillRequest(a.request.Request, reply.Body)
}

// submitFill submits the request that stores a fetched value. By now the client that caused the fetch has its
// answer. The Balancer learns of this request before it learns that the fetch has ended, so that requests
// waiting for the key find it stored.
func (e *Engine) submitFill(q *Request) {
	if q == nil || !e.ReserveValue(q.HeldBytes) {
		return
	}
	e.Submit(q, e.now(), &RequestHandle{OnAnswer: func(*Request, Answer) {}})
}

// inferRestart treats a server that refused connections and then answers again as restarted and cold, where
// nobody reports starts. A wrong inference only limits its load for as long as that of a cold server.
func (e *Engine) inferRestart(a *attempt, reply Reply) {
	t := a.target
	if !e.inferStarts || t == nil || e.targets[a.serverID] != t {
		return
	}
	switch {
	case reply.ConnRefused:
		t.refusedAt = e.now()
	case t.refusedAt > 0 && a.startedAt > t.refusedAt && reply.serverAnswered():
		t.started, t.inferredStart, t.refusedAt = t.refusedAt, t.refusedAt, 0
		t.entry.Started = t.inferredStart
		entry := t.entry
		e.deferred = append(e.deferred, func() {
			if e.targets[a.serverID] == t {
				slog.Info("server answers after it refused connections: taken as started anew, cold", "server", a.serverID, "addr", t.addr)
				e.balancer.Servers(e.now(), decide.Changes, []decide.Entry{entry})
			}
		})
	}
}

// replyWithStatus returns a reply that has only a status.
func replyWithStatus(status decide.Status) Reply { return Reply{Status: status, Load: decide.NoLoad} }

// timeOut ends an attempt whose time limit has passed.
func (e *Engine) timeOut(a *attempt) {
	if a.finished {
		return
	}
	status := decide.TimedOut
	if a.phase.CompareAndSwap(phaseOpening, phaseCanceled) {
		status = decide.ConnectError // the connection was never established, and nothing will be written
	}
	e.finishAttempt(a, replyWithStatus(status))
}

// cancel aborts an attempt by closing its connection.
func (a *attempt) cancel(e *Engine, reason cancelReason) {
	if a.finished {
		return
	}
	a.traceCanceled(reason)
	a.phase.CompareAndSwap(phaseOpening, phaseCanceled)
	a.canceler.Cancel()
	e.deferred = append(e.deferred, func() { e.finishAttempt(a, replyWithStatus(decide.Canceled)) })
}
