package drain

import (
	"math"
	"math/rand/v2"
	"testing"
)

const (
	testGrace   = 500  // ms
	testLongest = 2500 // ms
)

// Each reason for which connections end has its own bounds, and several reasons the earliest of theirs.
func TestBoundsByReason(t *testing.T) {
	never := math.Inf(1)
	for name, c := range map[string]struct {
		prepare func(m *Machine)
		at      float64
		want    Bounds
	}{
		"serving":             {func(*Machine) {}, 0, Bounds{never, never, never, never, never}},
		"grace of a drain":    {func(m *Machine) { m.TakeOutOfService(0) }, testGrace - 1, Bounds{never, never, never, never, never}},
		"out of service":      {func(m *Machine) { m.TakeOutOfService(0) }, testGrace, Bounds{1800, 3800, never, 3900, never}},
		"back in service":     {func(m *Machine) { m.TakeOutOfService(0); m.PutInService() }, 1000, Bounds{never, never, never, never, never}},
		"out a second time":   {func(m *Machine) { m.TakeOutOfService(0); m.PutInService(); m.TakeOutOfService(2000) }, 3000, Bounds{3800, 5800, never, 5900, never}},
		"shutdown":            {func(m *Machine) { m.BeginShutdown(0, testLongest) }, 0, Bounds{3000, never, 3000, 3100, 3100}},
		"shutdown, successor": {func(m *Machine) { m.SetSuccessor(true); m.BeginShutdown(0, testLongest) }, 0, Bounds{3000, never, 3000, 3100, 3100}},
		"shutdown in a drain": {func(m *Machine) { m.TakeOutOfService(0); m.BeginShutdown(1000, testLongest) }, 1000, Bounds{1800, 3800, 4000, 3900, 4100}},
		"drain in a shutdown": {func(m *Machine) { m.BeginShutdown(0, testLongest); m.TakeOutOfService(100) }, 700, Bounds{1900, 3900, 3000, 3100, 3100}},
	} {
		m := &Machine{Grace: testGrace}
		c.prepare(m)
		if got := m.Bounds(c.at); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// Guards against requests that are admitted to a router out of service, and that keep a connection open when
// it has to be empty, or of a process that exits after its kill.
func TestAdmittedRequestsEndBeforeTheLimit(t *testing.T) {
	rng := rand.New(rand.NewPCG(63, 1))
	for range 20000 {
		m := &Machine{Grace: testGrace}
		out, shutdown := rng.Float64()*3000, rng.Float64()*3000
		drains, ends := rng.IntN(3) > 0, rng.IntN(3) > 0
		if drains {
			m.TakeOutOfService(out)
		}
		if ends {
			m.BeginShutdown(shutdown, testLongest)
		}
		now := max(out+testGrace, shutdown) + rng.Float64()*4000
		deadline := now + rng.Float64()*testLongest
		answerBy, ok := m.Bounds(now).Admit(now, deadline)
		if !ok {
			continue
		}
		if drains && (now > out+emptyAfter-recentRequest || answerBy > out+emptyAfter) {
			t.Fatalf("out of service at %v: admitted at %v, answered by %v", out, now, answerBy)
		}
		if drains && answerBy < deadline && !ends {
			t.Fatalf("out of service: a request waits until %v and is given until %v", deadline, answerBy)
		}
		if ends && answerBy > shutdown+testLongest+killAfter {
			t.Fatalf("shutdown at %v: admitted at %v, answered by %v", shutdown, now, answerBy)
		}
	}
}

// Guards against bounds that are compared with times of another clock.
func TestShiftMovesEveryBound(t *testing.T) {
	got := Bounds{1, 2, 3, 4, 5}.Shift(10)
	if want := (Bounds{11, 12, 13, 14, 15}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if Unbounded().Shift(-10) != Unbounded() {
		t.Error("no bound became one")
	}
}
