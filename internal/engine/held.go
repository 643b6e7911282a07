package engine

import "mossproxy.example/mossproxy/internal/guard"

// hold keeps the connection of an answer that names no request until the request is finished or its next
// attempt begins; nil = the answer names its request.
func (a *attempt) hold(c HeldConnection) {
	if c == nil {
		return
	}
	if a.held = c; a.request.finished {
		a.release()
	}
}

// release gives back the connection that an attempt holds, if any.
func (a *attempt) release() {
	if a.held != nil {
		a.held.Release()
		a.held = nil
	}
}

// release gives back the connection of a reply that nobody takes.
func (r *Reply) release() {
	if r.Held != nil {
		r.Held.Release()
	}
}

// closeHeld closes the connections that earlier attempts of a request hold, before its next attempt: what their
// servers have said may have been meant for other requests, so they may still be working on them.
func (r *request) closeHeld() {
	for _, a := range r.attempts {
		if a.held != nil {
			a.engine.Guard.CountPrevented(guard.Overlap, r.ID, "the connection of an attempt is closed before the next, as its answer names no request")
			a.canceler.Cancel()
			a.release()
		}
	}
}

// checkEarlierAttempts checks that no server can be working on an earlier attempt over an open connection.
func (a *attempt) checkEarlierAttempts() {
	if a.previous == nil || a.engine.hedging {
		return
	}
	a.engine.Guard.CountCheck(guard.Overlap)
	for p := a.previous; p != nil; p = p.previous {
		if p.link.IsOpen() {
			a.engine.Guard.RecordViolation(guard.Overlap, a.request.ID, "attempt %d begins while the connection of attempt %d is open and has brought no answer to it", a.index, p.index)
		}
	}
}
