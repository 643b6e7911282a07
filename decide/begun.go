package decide

import "math"

// Answers that have begun. The server of such an attempt has decided on its answer and is passing it on, so
// the attempt is neither stalled nor repeated: only the client's deadline ends it. How long the rest takes
// says nothing about the queue of the server.

// begun reports whether the answer to an attempt has begun.
func (a *attempt) begun() bool { return a.begunAt > 0 }

// timeToAnswer returns the latency of an outcome without the time that the answer took to come whole, in ms.
func (a *attempt) timeToAnswer(latency float64) float64 {
	if !a.begun() {
		return latency
	}
	return math.Min(latency, a.begunAt-a.sentAt)
}

// answeredAt returns when the answer that is whole now began.
func (a *attempt) answeredAt(now float64) float64 {
	if !a.begun() {
		return now
	}
	return a.begunAt
}

// AnswerBegun handles the begin of the answer to an attempt: its head is there, and the rest is still to
// come.
func (b *Balancer) AnswerBegun(now float64, id uint32, i int) {
	b.advance(now)
	a := b.attemptInFlight(id, i)
	if a == nil || a.begun() {
		return
	}
	a.begunAt = now
	s := a.server
	s.answering++
	s.lastReply, s.consecutiveFailures, s.answeredSentAt = now, 0, max(s.answeredSentAt, a.sentAt)
	b.recordResponse(s)
}

// AnswerStalled handles an answer that has begun and of which nothing more has come for a while. The attempt
// goes on, as the answer may still be whole in time, but new requests avoid the server unless it has answered
// others since.
func (b *Balancer) AnswerStalled(now float64, id uint32, i int) {
	b.advance(now)
	a := b.attemptInFlight(id, i)
	if a == nil || !a.begun() || a.server == b.origin || a.server.lastReply > a.begunAt {
		return
	}
	a.server.consecutiveFailures++
	b.eject(a.server, true)
	b.recordNoResponse(a.server, a.begunAt)
}

// attemptInFlight returns an attempt of an open request that has no outcome yet, or nil.
func (b *Balancer) attemptInFlight(id uint32, i int) *attempt {
	r := b.requests[id]
	if r == nil || i < 0 || i >= len(r.attempts) || r.attempts[i].done {
		return nil
	}
	return &r.attempts[i]
}
