package engine

import (
	"slices"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

const (
	// unsafeMemory is how long the ID of an unsafe request is remembered: longer than any client waits.
	unsafeMemory = 10 * time.Second
	// maxUnsafe limits the number of remembered IDs; the oldest make way.
	maxUnsafe = 8192
)

// UnsafeIDs remembers the IDs of unsafe requests that may run, or have run: such a request must not run if it comes
// again, as its client may have left without its answer. It is shared by the engines of a pool, and by a process
// with the one that takes over from it. It may be used from any goroutine. A nil set remembers nothing.
type UnsafeIDs struct {
	mu      sync.Mutex
	until   map[string]time.Time
	order   []string      // in the order in which they came; some are not in until any more
	changed chan struct{} // of capacity 1
}

// NewUnsafeIDs returns an empty set.
func NewUnsafeIDs() *UnsafeIDs {
	return &UnsafeIDs{until: map[string]time.Time{}, changed: make(chan struct{}, 1)}
}

// Add remembers IDs.
func (s *UnsafeIDs) Add(ids ...string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, id := range ids {
		for len(s.order) > 0 && (len(s.order) >= maxUnsafe || !s.until[s.order[0]].After(now)) {
			delete(s.until, s.order[0])
			s.order = s.order[1:]
		}
		if _, known := s.until[id]; !known {
			s.order = append(s.order, id)
		}
		s.until[id] = now.Add(unsafeMemory)
	}
	select {
	case s.changed <- struct{}{}:
	default: // already signaled
	}
}

// remove forgets an ID.
func (s *UnsafeIDs) remove(id string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, id)
}

// contains reports whether an ID is remembered.
func (s *UnsafeIDs) contains(id string) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.until[id]
	return ok && time.Now().Before(until)
}

// All returns the remembered IDs.
func (s *UnsafeIDs) All() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(s.order), func(id string) bool { return !s.until[id].After(now) })
}

// Changed returns the channel that signals that IDs have been added.
func (s *UnsafeIDs) Changed() <-chan struct{} { return s.changed }

// mayRun reports whether a request may run that a client has just sent. An unsafe one may not if one with its ID
// may have run.
func (e *Engine) mayRun(q *Request, class decide.Class) bool {
	if class.Effect == decide.Repeatable {
		return true
	}
	e.Guard.CountCheck(guard.Repeat)
	if e.unsafe.contains(q.ID) {
		e.Guard.CountPrevented(guard.Repeat, q.ID, "one with its id may have run")
		return false
	}
	return true
}

// forgetAnswered forgets the ID of a request that gets an answer, if it cannot have run. One whose ID a later
// request may have is forgotten too, unless its client has left.
func (e *Engine) forgetAnswered(r *request, result Result) {
	if r.class.Effect == decide.Repeatable || len(r.attempts) == 0 || result == ClientGone {
		return
	}
	mayHaveRun := slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun() })
	clientLeft := r.client != nil && r.client.Closed()
	if mayHaveRun && (!r.ReusableID || clientLeft) {
		return
	}
	e.unsafe.remove(r.ID)
}
