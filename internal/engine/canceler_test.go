package engine

import (
	"sync"
	"sync/atomic"
	"testing"
)

func TestStop(t *testing.T) {
	var s Canceler
	n := 0
	s.OnCancel(func() { t.Error("ran although it was replaced") })
	s.OnCancel(func() { n++ })
	s.Cancel()
	s.Cancel()
	if n != 1 || s.Detach() {
		t.Errorf("ran %d times, detached %v", n, s.Detach())
	}
	s.OnCancel(func() { n++ })
	if n != 2 {
		t.Error("already canceled, but did not run at once")
	}
	var r Canceler
	r.OnCancel(func() { t.Error("ran although it was detached") })
	if !r.Detach() {
		t.Error("not detached")
	}
	r.Cancel()
}

// Exactly one must happen: the registered function runs, or Detach reports that it will not.
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
			t.Fatalf("detached %v, ran %d times", released, done.Load())
		}
	}
}
