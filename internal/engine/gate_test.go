package engine

import (
	"testing"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// requestWithAttempt is a request of a class, one of whose attempts began so many ms ago and may have run.
func requestWithAttempt(class decide.Class, ago float64) (*Engine, *request) {
	e := &Engine{clock: newClock(), Guard: &guard.Guard{}, events: newEvents()}
	r := &request{Request: &Request{ID: "a1", Class: class.Name}, class: class, deadline: e.now() + 5000, readAt: e.now()}
	r.attempts = []*attempt{{engine: e, request: r, startedAt: e.now() - ago, finished: true, maybeRan: true}}
	return e, r
}

// Guards against a keyed request that is repeated after its window, as the connection for the repeat came up late.
func TestKeyedRepeatOverALateConnectionStaysWithinItsWindow(t *testing.T) {
	class := decide.Class{Name: "put", Effect: decide.Keyed, Scope: "all", Window: 1000}
	for ago, want := range map[float64]bool{0: true, 700: true, 860: false, 1200: false} {
		e, r := requestWithAttempt(class, ago)
		by, ok := e.mayRepeat(r)
		if !ok {
			t.Fatalf("%v ms after the first attempt: not to be repeated at all", ago)
		}
		a := &attempt{engine: e, request: r, index: 1, beginBy: by}
		if _, begins := a.Begin(); begins != want {
			t.Errorf("%v ms after the first attempt of a window of 1000: begins %v", ago, begins)
		}
	}
}

// Guards against a second attempt of what must never run twice, whoever has decided on it.
func TestUnsafeRequestIsNotRepeatedWhateverIsDecided(t *testing.T) {
	e, r := requestWithAttempt(decide.Class{Name: "bill", Effect: decide.Once}, 10)
	if _, ok := e.mayRepeat(r); ok {
		t.Error("repeated, though the attempt before may have run")
	}
	if e.mayRefuse(r) {
		t.Error("refused with the promise that a retry is harmless")
	}
	r.attempts[0].maybeRan = false
	if _, ok := e.mayRepeat(r); !ok {
		t.Error("not repeated, though the attempt before has never run")
	}
	for _, c := range e.Guard.Counts() {
		if want := map[guard.Rule]uint64{guard.Repeat: 1, guard.Promise: 1}[c.Rule]; c.Broken != want {
			t.Errorf("%v: %d broken, want %d", c.Rule, c.Broken, want)
		}
	}
}
