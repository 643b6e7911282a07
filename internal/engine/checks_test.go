package engine

import (
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// requestWithAttempt returns a request of a class with one attempt that began the given number of ms ago and
// may have run.
func requestWithAttempt(class decide.Class, agoMS float64) (*Engine, *request) {
	e := &Engine{clock: newClock(), Guard: &guard.Guard{}, events: newEvents()}
	r := &request{Request: &Request{ID: "a1", Class: class.Name}, class: class, deadline: e.now() + 5000, readAt: e.now()}
	r.attempts = []*attempt{{engine: e, request: r, startedAt: e.now() - agoMS, finished: true, maybeRan: true}}
	return e, r
}

// Guards against a keyed request that is repeated after its window because the connection for the repeat was
// established late.
func TestKeyedRepeatOverALateConnectionStaysWithinItsWindow(t *testing.T) {
	class := decide.Class{Name: "put", Effect: decide.Keyed, Scope: "all", Window: 1000}
	for ago, want := range map[float64]bool{0: true, 700: true, 860: false, 1200: false} {
		e, r := requestWithAttempt(class, ago)
		by, ok := e.mayRepeat(r)
		if !ok {
			t.Fatalf("%v ms after the first attempt: no repeat is allowed", ago)
		}
		a := &attempt{engine: e, request: r, index: 1, beginBy: by}
		if _, begins := a.Begin(); begins != want {
			t.Errorf("%v ms after the first attempt, in a window of 1000 ms: begins = %v", ago, begins)
		}
	}
}

// Guards against a keyed request whose repeat begins within its window, and is read by the server behind it: a long
// value takes time to be read, which the router can't see.
func TestKeyedRepeatLeavesTimeForItsValue(t *testing.T) {
	class := decide.Class{Name: "put", Effect: decide.Keyed, Scope: "all", Window: 2000}
	for _, c := range []struct {
		bytes  int
		ago    float64
		begins bool
	}{{5, 1800, true}, {4000, 800, true}, {4000, 900, false}, {16 << 10, 0, false}, {64 << 10, 0, false}} {
		e, r := requestWithAttempt(class, c.ago)
		r.Value = make([]byte, c.bytes)
		by, _ := e.mayRepeat(r)
		a := &attempt{engine: e, request: r, index: 1, beginBy: by}
		try, begins := a.Begin()
		if begins != c.begins {
			t.Errorf("%d bytes, %v ms after the first attempt, in a window of 2000 ms: begins = %v", c.bytes, c.ago, begins)
		}
		left := time.Duration((class.Window - c.ago) * float64(time.Millisecond))
		if begins && (try.ArriveBy.IsZero() || time.Until(try.ArriveBy) > left || try.WriteBy.After(try.ArriveBy)) {
			t.Errorf("%d bytes, %v ms after the first attempt: to be written in %v and there in %v, the window ends in %v", c.bytes, c.ago,
				time.Until(try.WriteBy), time.Until(try.ArriveBy), left)
		}
	}
}

// Guards against a second attempt of a request that must never run twice, even if the Balancer decides on
// one.
func TestUnsafeRequestIsNotRepeatedWhateverIsDecided(t *testing.T) {
	e, r := requestWithAttempt(decide.Class{Name: "bill", Effect: decide.Once}, 10)
	if _, ok := e.mayRepeat(r); ok {
		t.Error("repeated, although the earlier attempt may have run")
	}
	if e.mayRefuse(r) {
		t.Error("refused with the promise that a retry is harmless")
	}
	r.attempts[0].maybeRan = false
	if _, ok := e.mayRepeat(r); !ok {
		t.Error("not repeated, although the earlier attempt has not run")
	}
	for _, c := range e.Guard.Counts() {
		if want := map[guard.Rule]uint64{guard.Repeat: 1, guard.Promise: 1}[c.Rule]; c.Broken != want {
			t.Errorf("%v: %d violations, want %d", c.Rule, c.Broken, want)
		}
	}
}
