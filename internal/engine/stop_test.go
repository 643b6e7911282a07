package engine

import (
	"sync"
	"sync/atomic"
	"testing"
)

func TestStop(t *testing.T) {
	var s Stop
	n := 0
	s.Then(func() { t.Error("replaced, and done all the same") })
	s.Then(func() { n++ })
	s.Now()
	s.Now()
	if n != 1 || s.Release() {
		t.Errorf("done %d times, released %v", n, s.Release())
	}
	s.Then(func() { n++ })
	if n != 2 {
		t.Error("given up already: not done at once")
	}
	var r Stop
	r.Then(func() { t.Error("released, and done all the same") })
	if !r.Release() {
		t.Error("not released")
	}
	r.Now()
}

// Either what was to be done is done, or Release says that it won't be: never both, never neither.
func TestStopRace(t *testing.T) {
	for range 2000 {
		var s Stop
		var done atomic.Int32
		s.Then(func() { done.Add(1) })
		var wg sync.WaitGroup
		released := false
		wg.Go(s.Now)
		wg.Go(func() { released = s.Release() })
		wg.Wait()
		if released != (done.Load() == 0) || done.Load() > 1 {
			t.Fatalf("released %v, done %d times", released, done.Load())
		}
	}
}
