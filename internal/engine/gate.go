package engine

import (
	"math"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// Spans of the rules, in ms.
const (
	// deadlineSlack is by how much a server's deadline may exceed what the client has left.
	deadlineSlack = 150
	// deadlineMargin is kept back of what is left: the request took a moment to be read, and its bytes take one to arrive.
	deadlineMargin = 20
	// writeSlack is the part of deadlineSlack within which the last byte is written; the rest is for a process that is held up before
	// the first.
	writeSlack = deadlineSlack / 2
	// sendTimePerByte is what a byte of a value is taken to need on its way; the deadline goes out ahead of the value.
	sendTimePerByte = 0.001
	// maxSendShare is the share of what is left that a long value may need.
	maxSendShare = 0.5
	// maxProcessPause is for how long a process may be held up between its clock and a write.
	maxProcessPause = 150
	// drainGrace is for how long something new may reach a server after the notification that it drains.
	drainGrace = 500
	// clientCloseDelay is how long a client's leaving takes at most to be known where its connection is read.
	clientCloseDelay = 10
	// maxAnswerDelay is how long after the deadline an answer still counts as one.
	maxAnswerDelay = 500
	// timeLimitSlack is by how much each time limit is longer on sockets.
	timeLimitSlack = 50
)

// Begin is Caller's. Every attempt passes here, on whatever goroutine opened its connection, as late as its bytes can still be
// changed: nothing that was computed when it was decided is relied on.
func (a *attempt) Begin() (Try, bool) {
	now := a.engine.now()
	if !a.mayBegin(now) {
		a.phase.CompareAndSwap(phaseOpening, phaseCanceled)
		return Try{}, false
	}
	if !a.phase.CompareAndSwap(phaseOpening, phaseWriting) {
		return Try{}, false
	}
	left := a.request.deadline - now
	sending := min(maxSendShare*left, sendTimePerByte*float64(len(a.request.Value)))
	try := Try{DeadlineMS: max(1, left-sending-deadlineMargin), WriteBy: time.Now().Add(milliseconds(sending + writeSlack)), Asking: a.asking}
	a.passedDeadline = try.DeadlineMS
	a.traceBegun(left)
	return try, true
}

// mayBegin says whether an attempt may begin now. Who decided it may have been right then, and its connection may have come up late.
func (a *attempt) mayBegin(now float64) bool {
	g, r := a.engine.Guard, a.request
	if r.deadline-now < 1 {
		g.CountPrevented(guard.Deadline, r.ID, "nothing is left")
		return false
	}
	if since := a.target.closingSince(); since > 0 && now-since > drainGrace-maxProcessPause-timeLimitSlack {
		g.CountPrevented(guard.Draining, r.ID, "the server drains or is gone")
		return false
	}
	if a.beginBy > 0 && now > a.beginBy {
		g.CountPrevented(guard.Repeat, r.ID, "the window for repeats is over")
		return false
	}
	if r.client != nil && now-r.readAt > clientCloseDelay {
		g.CountCheck(guard.Abandoned)
		if r.client.Closed() {
			g.CountPrevented(guard.Abandoned, r.ID, "the client has closed")
			a.engine.events.postUnbounded(func() { a.engine.abandonRequest(r) }) // its reader may not look for long
			return false
		}
	}
	return true
}

// closingSince is since when a server is known to drain or to be gone, 0 where it is not.
func (t *server) closingSince() float64 {
	if t == nil {
		return 0
	}
	return math.Float64frombits(t.closingBits.Load())
}

// mayRepeat checks a further attempt of a request against those before it, and says by when it has to begin, 0 = at any time.
func (e *Engine) mayRepeat(r *request) (by float64, ok bool) {
	if r.class.Effect == decide.Repeatable {
		return 0, true
	}
	e.Guard.CountCheck(guard.Repeat)
	for _, before := range r.attempts {
		if !before.mayHaveRun() {
			continue
		}
		if r.class.Effect == decide.Once {
			e.Guard.RecordViolation(guard.Repeat, r.ID, "class %s: attempt %d may have run", r.Class, before.index)
			return 0, false
		}
		if end := before.startedAt + r.class.Window - maxProcessPause; by == 0 || end < by {
			by = end
		}
	}
	return by, true
}

// mayRefuse checks that a refusal, which says that a retry is harmless, may be given.
func (e *Engine) mayRefuse(r *request) bool {
	if r.finished || r.class.Effect == decide.Repeatable || r.class.Effect == decide.Keyed && r.class.Scope == "all" {
		return true
	}
	e.Guard.CountCheck(guard.Promise)
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			e.Guard.RecordViolation(guard.Promise, r.ID, "class %s: refused, though attempt %d may have run", r.Class, a.index)
			return false
		}
	}
	return true
}

// checkAnswerTime checks when a request gets its final answer.
func (e *Engine) checkAnswerTime(r *request) {
	e.Guard.CountCheck(guard.InTime)
	if late := e.now() - r.deadline; late > maxAnswerDelay {
		e.Guard.RecordViolation(guard.InTime, r.ID, "the answer comes %.0f ms after the deadline", late)
	}
}

// mayHaveRun says whether an attempt may have had its effect.
func (a *attempt) mayHaveRun() bool {
	if a.finished {
		return a.maybeRan
	}
	return a.phase.Load() != phaseCanceled
}

// Written is Caller's.
func (a *attempt) Written() {
	if a.counted {
		a.engine.counter.attempts.Add(1)
	}
	a.engine.Guard.CountCheck(guard.Deadline)
	if over := a.passedDeadline - (a.request.deadline - a.engine.now()); over > deadlineSlack {
		a.engine.Guard.RecordViolation(guard.Deadline, a.request.ID, "attempt %d was passed %.0f ms too much when its last byte was out", a.index, over)
	}
}

// milliseconds is a span of the engine's clock as a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
