package engine

import "math"

// answerStallTime is how long, in ms, nothing of an answer that has begun may come until its server is taken
// to be stalled.
const answerStallTime = 250

// AnswerBegun implements AttemptHandler. From here on the attempt is bounded by the client's deadline alone.
func (a *attempt) AnswerBegun() {
	a.AnswerProgress()
	a.engine.events.postUnbounded(func() { a.engine.answerBegun(a) }) // once for an attempt
}

// AnswerProgress implements AttemptHandler.
func (a *attempt) AnswerProgress() { a.progressBits.Store(math.Float64bits(a.engine.now())) }

// answerBegun tells the Balancer that the answer to an attempt has begun, and watches its progress.
func (e *Engine) answerBegun(a *attempt) {
	if a.finished {
		return
	}
	e.balancer.AnswerBegun(e.now(), a.request.id, a.index)
	a.stallTimer = &timer{kind: answerStall, attempt: a}
	e.startTimer(a.stallTimer, answerStallTime)
}

// checkProgress tells the Balancer if nothing more of an answer has come for answerStallTime, and checks again
// later if something has.
func (e *Engine) checkProgress(a *attempt) {
	if a.finished {
		return
	}
	since := e.now() - math.Float64frombits(a.progressBits.Load())
	if since < answerStallTime {
		e.startTimer(a.stallTimer, answerStallTime-since)
		return
	}
	a.traceStalled(since)
	e.balancer.AnswerStalled(e.now(), a.request.id, a.index)
}
