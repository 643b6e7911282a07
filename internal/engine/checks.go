package engine

import (
	"math"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// Limits of the rules, in ms.
const (
	// deadlineSlack is by how much the deadline passed to a server may exceed what the client has left.
	deadlineSlack = 150
	// deadlineMargin is subtracted from what the client has left: reading the request took some time, and its
	// bytes need some to arrive.
	deadlineMargin = 20
	// writeSlack is the part of deadlineSlack within which the last byte must be written. The rest allows for
	// a process that is suspended before it writes the first byte.
	writeSlack = deadlineSlack / 2
	// sendTimePerByte is the assumed time until a server has read one byte of a value: the deadline is sent ahead
	// of the value, and what lies in the server's own buffers can't be seen.
	sendTimePerByte = 0.016
	// slowReadTimePerByte is the longest time until a server has read one byte of a command, where a late last byte would
	// have an effect twice. A server may take seconds to read a value that its system has accepted at once.
	slowReadTimePerByte = 0.25
	// maxSlowReadTime is the longest time that a server is expected to take for a whole command.
	maxSlowReadTime = 3000
	// maxSendShare is the largest share of the remaining time that is allowed for transmitting a long value.
	maxSendShare = 0.5
	// maxProcessPause is how long a process may be suspended between reading its clock and a write.
	maxProcessPause = 150
	// drainGrace is how long new requests may reach a server after the notification that it drains.
	drainGrace = 500
	// clientCloseDelay is the longest time until a client's disconnection is noticed by the reader of its
	// connection.
	clientCloseDelay = 10
	// maxAnswerDelay is how long after the deadline an answer still counts as given.
	maxAnswerDelay = 500
	// timeLimitSlack is by how much every time limit is longer on sockets.
	timeLimitSlack = 50
)

// Begin implements AttemptHandler. Every attempt passes here at the last moment when its bytes can still be
// changed, on the goroutine that writes them: the engine's if an idle connection is used, else the one that
// opened the connection. It relies on nothing that was computed when the attempt was decided.
func (a *attempt) Begin() (Try, bool) {
	now := a.engine.now()
	if !a.mayBegin(now) {
		a.phase.CompareAndSwap(phaseOpening, phaseCanceled)
		return Try{}, false
	}
	if !a.phase.CompareAndSwap(phaseOpening, phaseWriting) {
		return Try{}, false
	}
	a.checkEarlierAttempts()
	if a.request.class.Effect != decide.Repeatable {
		a.engine.unsafe.Add(a.request.ID)
	}
	remaining := a.request.deadline - now
	sendTime := min(maxSendShare*remaining, sendTimePerByte*float64(len(a.request.Value)))
	wallNow := time.Now()
	try := Try{DeadlineMS: max(1, remaining-sendTime-deadlineMargin), WriteBy: wallNow.Add(milliseconds(sendTime + writeSlack)), AnswerBy: wallNow.Add(milliseconds(remaining)), Asking: a.asking}
	if a.beginBy > 0 {
		try.ArriveBy = wallNow.Add(milliseconds(a.beginBy + a.request.maxReadTime() - now))
		try.WriteBy = earlier(try.WriteBy, try.ArriveBy)
	}
	a.passedDeadline = try.DeadlineMS
	a.traceBegun(remaining)
	return try, true
}

// mayBegin reports whether an attempt may begin now. The decision may have been right when it was made, and
// the connection may have been established late.
func (a *attempt) mayBegin(now float64) bool {
	g, r := a.engine.Guard, a.request
	if r.deadline-now < 1 {
		g.CountPrevented(guard.Deadline, r.ID, "no time is left")
		return false
	}
	if since := a.target.closingSince(); since > 0 && now-since > drainGrace-maxProcessPause-timeLimitSlack {
		g.CountPrevented(guard.Draining, r.ID, "the server drains or is gone")
		return false
	}
	if a.beginBy > 0 && now > a.beginBy {
		g.CountPrevented(guard.Repeat, r.ID, "the window for repeats has passed")
		return false
	}
	if r.client != nil && now-r.readAt > clientCloseDelay {
		g.CountCheck(guard.Abandoned)
		if r.client.Closed() {
			g.CountPrevented(guard.Abandoned, r.ID, "the client has disconnected")
			// The reader of the client's connection may notice the disconnection much later.
			a.engine.events.postUnbounded(func() { a.engine.abandonRequest(r) })
			return false
		}
	}
	return true
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// maxReadTime returns the longest time in ms until a server has read the command of a request.
func (q *Request) maxReadTime() float64 {
	bytes := len(q.Value)
	for _, arg := range q.Args {
		bytes += len(arg)
	}
	return min(maxSlowReadTime, slowReadTimePerByte*float64(bytes))
}

// closingSince returns the time since which a server is known to drain or be gone, 0 if it is neither.
func (t *server) closingSince() float64 {
	if t == nil {
		return 0
	}
	return math.Float64frombits(t.closingBits.Load())
}

// mayRepeat reports whether a retry of a request is allowed after the earlier attempts, and returns the
// latest time for it to begin, 0 = no limit: its last byte has to be read within the window of each earlier one.
func (e *Engine) mayRepeat(r *request) (beginBy float64, ok bool) {
	if r.class.Effect == decide.Repeatable {
		return 0, true
	}
	e.Guard.CountCheck(guard.Repeat)
	for _, previous := range r.attempts {
		if !previous.mayHaveRun() {
			continue
		}
		if r.class.Effect == decide.Once {
			e.Guard.RecordViolation(guard.Repeat, r.ID, "class %s: attempt %d may have run", r.Class, previous.index)
			return 0, false
		}
		if latest := previous.startedAt + r.class.Window - maxProcessPause - r.maxReadTime(); beginBy == 0 || latest < beginBy {
			beginBy = latest
		}
	}
	return beginBy, true
}

// mayRefuse reports whether a request may be refused, which promises that a retry is harmless.
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

// checkAnswerTime checks that the final answer of a request is given in time.
func (e *Engine) checkAnswerTime(r *request) {
	e.Guard.CountCheck(guard.InTime)
	if late := e.now() - r.deadline; late > maxAnswerDelay {
		e.Guard.RecordViolation(guard.InTime, r.ID, "answered %.0f ms after the deadline", late)
	}
}

// mayHaveRun reports whether an attempt may have taken effect.
func (a *attempt) mayHaveRun() bool {
	if a.finished {
		return a.maybeRan
	}
	return a.phase.Load() != phaseCanceled
}

// Written implements AttemptHandler.
func (a *attempt) Written() {
	if a.counted {
		a.engine.counter.attempts.Add(1)
	}
	a.engine.Guard.CountCheck(guard.Deadline)
	if excess := a.passedDeadline - (a.request.deadline - a.engine.now()); excess > deadlineSlack {
		a.engine.Guard.RecordViolation(guard.Deadline, a.request.ID, "attempt %d: the deadline passed to the server was %.0f ms too long when the last byte was written", a.index, excess)
	}
}

// milliseconds converts a time span of the engine's clock to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
