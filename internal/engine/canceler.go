package engine

import "sync"

// Canceler cancels an attempt. It replaces a context's cancellation without an allocation for each attempt.
// It may be used from any goroutine; the zero value is ready to use.
type Canceler struct {
	mu       sync.Mutex
	canceled bool
	onCancel func()
}

// Cancel cancels the attempt and runs the registered function, once.
func (s *Canceler) Cancel() {
	s.mu.Lock()
	onCancel := s.onCancel
	s.canceled, s.onCancel = true, nil
	s.mu.Unlock()
	if onCancel != nil {
		onCancel()
	}
}

// OnCancel registers a function to run on cancellation, replacing the one registered before. If the attempt
// is already canceled, the function runs at once.
func (s *Canceler) OnCancel(action func()) {
	s.mu.Lock()
	canceled := s.canceled
	if !canceled {
		s.onCancel = action
	}
	s.mu.Unlock()
	if canceled {
		action()
	}
}

// Detach removes the registered function. It reports whether the attempt is not canceled, so that the
// function has not run and will not run.
func (s *Canceler) Detach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCancel = nil
	return !s.canceled
}
