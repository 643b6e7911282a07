package engine

import "sync"

// Canceler gives an attempt up. It does what a context's end would, without an allocation for each attempt. It may be used
// from any goroutine; the zero value is ready.
type Canceler struct {
	mu       sync.Mutex
	canceled bool
	onCancel func()
}

// Cancel gives the attempt up: what is to be done then is done by this call, once.
func (s *Canceler) Cancel() {
	s.mu.Lock()
	then := s.onCancel
	s.canceled, s.onCancel = true, nil
	s.mu.Unlock()
	if then != nil {
		then()
	}
}

// OnCancel has something done when the attempt is given up, in place of what was to be done before; where that has happened, it
// is done at once.
func (s *Canceler) OnCancel(do func()) {
	s.mu.Lock()
	over := s.canceled
	if !over {
		s.onCancel = do
	}
	s.mu.Unlock()
	if over {
		do()
	}
}

// Detach takes back what was to be done. It tells whether that is still undone, and so will not be done.
func (s *Canceler) Detach() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCancel = nil
	return !s.canceled
}
