package engine

import "sync"

// Stop gives an attempt up. It does what a context's end would, without an allocation for each attempt. It may be used
// from any goroutine; the zero value is ready.
type Stop struct {
	mu   sync.Mutex
	over bool
	then func()
}

// Now gives the attempt up: what is to be done then is done by this call, once.
func (s *Stop) Now() {
	s.mu.Lock()
	then := s.then
	s.over, s.then = true, nil
	s.mu.Unlock()
	if then != nil {
		then()
	}
}

// Then has something done when the attempt is given up, in place of what was to be done before; where that has happened, it
// is done at once.
func (s *Stop) Then(do func()) {
	s.mu.Lock()
	over := s.over
	if !over {
		s.then = do
	}
	s.mu.Unlock()
	if over {
		do()
	}
}

// Release takes back what was to be done. It tells whether that is still undone, and so will not be done.
func (s *Stop) Release() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.then = nil
	return !s.over
}
