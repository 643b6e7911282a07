package engine

import (
	"sync"
	"sync/atomic"
	"testing"
)

func TestStop(t *testing.T) {
	var s Canceler
	n := 0
	s.OnCancel(func() { t.Error("replaced, and done all the same") })
	s.OnCancel(func() { n++ })
	s.Cancel()
	s.Cancel()
	if n != 1 || s.Detach() {
		t.Errorf("done %d times, released %v", n, s.Detach())
	}
	s.OnCancel(func() { n++ })
	if n != 2 {
		t.Error("given up already: not done at once")
	}
	var r Canceler
	r.OnCancel(func() { t.Error("released, and done all the same") })
	if !r.Detach() {
		t.Error("not released")
	}
	r.Cancel()
}

// Either what was to be done is done, or Release says that it won't be: never both, never neither.
func TestStopRace(t *testing.T) {
	for range 2000 {
		var s Canceler
		var done atomic.Int32
		s.OnCancel(func() { done.Add(1) })
		var wg sync.WaitGroup
		released := false
		wg.Go(s.Cancel)
		wg.Go(func() { released = s.Detach() })
		wg.Wait()
		if released != (done.Load() == 0) || done.Load() > 1 {
			t.Fatalf("released %v, done %d times", released, done.Load())
		}
	}
}
