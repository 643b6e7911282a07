// Package drain decides how a router moves its clients away when operators take it out of service, and when
// it shuts down. It has no clock and no side effects: times are passed in ms, and the caller acts on the
// phase.
package drain

import "math"

// Phase says how client connections are handled.
type Phase int

// The phases, in the order in which a draining router passes through them.
const (
	Serving     Phase = iota // normal operation
	Redirecting              // clients are directed elsewhere, and those that still come are served as usual
	// Idle connections are closed; requests that still come are answered, and their connection closed.
	Draining
	Closing // no connections are accepted, and the process exits after the last answer; final
)

// Machine is the state machine of one router. The zero value with Grace set is in the phase Serving.
type Machine struct {
	Grace float64 // ms for which clients are still served as usual after they are directed elsewhere

	outOfService      bool
	outOfServiceSince float64
	shuttingDown      bool
	shutdownSince     float64
	longestDeadline   float64 // of a request, as the shutdown begins; ms
	hasSuccessor      bool
}

// TakeOutOfService starts draining the router. Repeated calls have no effect.
func (m *Machine) TakeOutOfService(now float64) {
	if !m.outOfService {
		m.outOfService, m.outOfServiceSince = true, now
	}
}

// PutInService reverts TakeOutOfService. It reports whether the router serves: one that is shutting down
// does not.
func (m *Machine) PutInService() bool {
	m.outOfService = false
	return !m.shuttingDown
}

// BeginShutdown starts the shutdown of the process, which cannot be reverted. longestDeadline is the longest
// time, in ms, that a client waits for an answer.
func (m *Machine) BeginShutdown(now, longestDeadline float64) {
	if !m.shuttingDown {
		m.shuttingDown, m.shutdownSince, m.longestDeadline = true, now, longestDeadline
	}
}

// SetSuccessor sets whether another process of this router accepts clients at the same address. This
// process then stops accepting them as soon as it shuts down. If the successor disappears, this process
// continues as before, unless it is shutting down.
func (m *Machine) SetSuccessor(present bool) {
	m.hasSuccessor = present || m.hasSuccessor && m.shuttingDown
}

// Phase returns the phase at the given time.
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

// Bounds returns the bounds that hold at the given time. Those of a router that is taken out of service begin
// with the phase Draining, those of a shutdown at once.
func (m *Machine) Bounds(now float64) Bounds {
	b := Unbounded()
	if m.outOfService && m.Phase(now) >= Draining {
		b = outOfServiceBounds(m.outOfServiceSince)
	}
	if m.shuttingDown {
		b = b.earliest(shutdownBounds(m.shutdownSince, m.longestDeadline))
	}
	return b
}

// NextChange returns the time at which the phase changes without a call, or +Inf.
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

// ShouldAdvertise reports whether clients may be sent to the router's address. While it shuts down this
// holds as long as it still accepts clients, because whoever started the shutdown knows of it, and until it
// exits if a successor accepts them at the same address.
func (m *Machine) ShouldAdvertise(now float64) bool {
	return !m.outOfService && (m.hasSuccessor || m.Phase(now) < Closing)
}

// IsOutOfService reports whether operators have taken the router out of service.
func (m *Machine) IsOutOfService() bool { return m.outOfService }
