// Package drain settles how a router sends its clients away: when operators take it out of service and in again, and when it is
// told to end. It has no clock and does nothing: times come in ms, and who asks acts on the phase.
package drain

import "math"

// Phase is what holds for clients' connections.
type Phase int

// The phases, in the order in which a router that empties goes through them.
const (
	Serving     Phase = iota // nothing is asked of it
	Redirecting              // clients are sent elsewhere, and served as ever: some are still sent here
	Draining                 // a connection ends as soon as nothing is open on it; who still comes is served, and closed behind the answer
	Closing                  // nobody is taken any more; the process ends when the last answer is out. It is final
)

// Machine is one router's. The zero value, with the time that newcomers get, serves.
type Machine struct {
	Grace float64 // ms for which clients still come, as ever, after they are told to go elsewhere

	outOfService      bool
	outOfServiceSince float64
	shuttingDown      bool
	shutdownSince     float64
	hasSuccessor      bool
}

// TakeOutOfService empties the router from now on. Two calls are one, of the first one's time.
func (m *Machine) TakeOutOfService(now float64) {
	if !m.outOfService {
		m.outOfService, m.outOfServiceSince = true, now
	}
}

// PutInService ends what TakeOutOfService has begun, and says whether the router serves: one that ends does not come back.
func (m *Machine) PutInService() bool {
	m.outOfService = false
	return !m.shuttingDown
}

// BeginShutdown has the process end. Nothing takes that back.
func (m *Machine) BeginShutdown(now float64) {
	if !m.shuttingDown {
		m.shuttingDown, m.shutdownSince = true, now
	}
}

// SetSuccessor tells whether another process of this router takes its clients, at the same address: then nobody needs this one to take
// any once it is told to end. Where that one is gone again, this one goes on as before, unless it has been told to end.
func (m *Machine) SetSuccessor(yes bool) { m.hasSuccessor = yes || m.hasSuccessor && m.shuttingDown }

// Phase is what holds now.
func (m *Machine) Phase(now float64) Phase {
	switch {
	case m.shuttingDown && (m.hasSuccessor || now >= m.shutdownSince+m.Grace):
		return Closing
	case m.outOfService && now >= m.outOfServiceSince+m.Grace:
		return Draining
	case m.outOfService || m.shuttingDown:
		return Redirecting
	}
	return Serving
}

// NextChange is when the phase changes by itself; +Inf where it does not.
func (m *Machine) NextChange(now float64) float64 {
	next := math.Inf(1)
	if at := m.shutdownSince + m.Grace; m.shuttingDown && !m.hasSuccessor && at > now {
		next = at
	}
	if at := m.outOfServiceSince + m.Grace; m.outOfService && at > now {
		next = min(next, at)
	}
	return next
}

// ShouldAdvertise says whether clients may be sent to the router's address. One that ends says so too while clients come all the same, as
// whoever ended it knows, and for as long as it lives where another process serves them there.
func (m *Machine) ShouldAdvertise(now float64) bool {
	return !m.outOfService && (m.hasSuccessor || m.Phase(now) < Closing)
}

// IsOutOfService says whether operators have taken the router out of service.
func (m *Machine) IsOutOfService() bool { return m.outOfService }
