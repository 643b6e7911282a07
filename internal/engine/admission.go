package engine

// Admission decides on requests that arrive while the router drains or ends. Times are the engine's, in ms.
// Its methods run on the engine's goroutine.
type Admission interface {
	// Admit decides on a request that is read at the time now and whose client waits until deadline. It
	// returns the time by which the request has to be answered; ok is false if the request is rejected.
	Admit(now, deadline float64) (answerBy float64, ok bool)
}

// admitAll is the Admission of a router that neither drains nor ends.
type admitAll struct{}

// Admit implements Admission.
func (admitAll) Admit(_, deadline float64) (answerBy float64, ok bool) { return deadline, true }

// SetAdmission replaces the decision on requests that arrive from now on. It may be called from any goroutine
// and does not block.
func (e *Engine) SetAdmission(a Admission) { e.admission.Store(&a) }
