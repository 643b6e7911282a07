package engine

import (
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// hourMS is an hour in ms, by which a wall clock is off.
const hourMS = 3600e3

// newIdleEngine is an engine that does not run.
func newIdleEngine(t *testing.T) *Engine {
	t.Helper()
	e, err := New(Options{Seed: 5, Config: decide.Config{Routers: 1, Alone: true, MaxAttempts: 4, ColdFrom: 0.3, FallMult: 3, FallFor: 1000, Cold: 8000, ConnIdle: 1000,
		Classes: []decide.Class{{Name: "read", Aim: 150, Deadline: 200, Worth: 1}}}}, missBackend{})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Guards against a server that has just started and is taken for warm, or for cold for an hour, as a wall clock was stepped.
func TestStartIsPutOnTheEnginesClockWhateverWallClocksSay(t *testing.T) {
	e := newIdleEngine(t)
	tell := func(kind decide.ListKind, started float64) float64 {
		e.UpdateServers(kind, []Server{{decide.Entry{ID: 7, Size: 1, Zone: "a", Started: started}, "127.0.0.1:7"}})
		return e.targets[7].entry.Started
	}
	long := e.now() - hourMS
	if got := tell(decide.Full, long); got != long {
		t.Errorf("the first list's start is taken for %.0f ms ago", e.now()-got)
	}
	if got := tell(decide.Full, long); got != long {
		t.Error("the same start is taken for another")
	}
	for name, listed := range map[string]float64{"behind": e.now() - hourMS + 5, "ahead": e.now() + hourMS} {
		now := e.now()
		got := tell(decide.Changes, listed)
		if age := now - got; age > 100 || age < -100 {
			t.Errorf("clock an hour %s: a start of just now is taken for %.0f ms ago", name, age)
		}
		if again := tell(decide.Full, listed); again != got {
			t.Errorf("clock an hour %s: the same start is taken for another", name)
		}
	}
	e.SetListSource(func() {}, false)
	if got := tell(decide.Full, long); got != long {
		t.Errorf("another source's list: taken for %.0f ms ago", e.now()-got)
	}
}

// Guards against a server in slow start that the next process of a router takes for warm, as the wall clock was stepped between their starts.
func TestHandoverKeepsSlowStartWhateverTheWallClockDid(t *testing.T) {
	for name, step := range map[string]float64{"forward": hourMS, "back": -hourMS} {
		old, next := newIdleEngine(t), newIdleEngine(t)
		next.unixStart += step
		listed := old.now() - 500
		old.UpdateServers(decide.Full, []Server{{decide.Entry{ID: 7, Size: 1, Zone: "a", Started: listed}, "127.0.0.1:7"}})
		h := old.ExportState()
		if err := next.ImportState(h); err != nil {
			t.Fatalf("wall clock stepped %s: %v", name, err)
		}
		age := next.now() - next.targets[7].entry.Started
		if age < 0 || age > 5000 {
			t.Errorf("wall clock stepped %s: a start of half a second ago is taken for %.0f ms ago", name, age)
		}
		next.UpdateServers(decide.Full, []Server{{decide.Entry{ID: 7, Size: 1, Zone: "a", Started: listed}, "127.0.0.1:7"}})
		if again := next.now() - next.targets[7].entry.Started; again < age || again > age+1000 {
			t.Errorf("wall clock stepped %s: the same start is taken for another, %.0f ms ago", name, again)
		}
	}
}
