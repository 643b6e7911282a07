package engine

import (
	"sync"
	"sync/atomic"
	"testing"
)

func TestCanceler(t *testing.T) {
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
func TestCancelerRace(t *testing.T) {
	for range 2000 {
		var s Canceler
		var runs atomic.Int32
		s.OnCancel(func() { runs.Add(1) })
		var wg sync.WaitGroup
		detached := false
		wg.Go(s.Cancel)
		wg.Go(func() { detached = s.Detach() })
		wg.Wait()
		if detached != (runs.Load() == 0) || runs.Load() > 1 {
			t.Fatalf("detached %v, ran %d times", detached, runs.Load())
		}
	}
}
