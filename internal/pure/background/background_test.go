package background

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func constantJitter() float64 { return 0.5 }

func newScheduler(t testing.TB, kinds []JobKind, budgets map[Resource]Budget) *Scheduler {
	t.Helper()
	s, err := New(kinds, budgets, 0, constantJitter)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runSteps grants and completes steps from one time to another (ms), retrying every ms. It returns the
// number of steps and the longest time without a step in ms, by kind.
func runSteps(t testing.TB, s *Scheduler, from, to float64, each func(now float64)) (counts map[string]int, longest map[string]float64) {
	t.Helper()
	counts, longest = map[string]int{}, map[string]float64{}
	last := map[string]float64{}
	for _, k := range s.kinds {
		last[k.Name] = from
	}
	for now := from; now < to; now++ {
		if each != nil {
			each(now)
		}
		for {
			g, wait, ok := s.Next(now)
			if !ok {
				if wait <= 0 {
					t.Fatalf("no grant, and a wait of %v ms", wait)
				}
				break
			}
			counts[g.Kind]++
			longest[g.Kind] = max(longest[g.Kind], now-last[g.Kind])
			last[g.Kind] = now
			if err := s.Done(now, g.ID, StepDone, nil, g.Cursor); err != nil {
				t.Fatal(err)
			}
		}
	}
	return counts, longest
}

// Kinds run by priority and, within a priority, by weight. A kind of the lowest priority is not starved: it
// waits for its MaxWait and no longer, however much work the others have.
func TestOrderAndStarvation(t *testing.T) {
	s := newScheduler(t, []JobKind{{Name: "move", Priority: 2, Weight: 3, Cost: map[Resource]float64{CPU: 1}}, {Name: "store", Priority: 2, Cost: map[Resource]float64{CPU: 1}},
		{Name: "purge", Priority: 1, MaxWait: 700, Cost: map[Resource]float64{CPU: 1}}}, map[Resource]Budget{CPU: {MaxRate: 100, Burst: 1}})
	for _, k := range []string{"move", "store", "purge"} {
		for i := range 3 {
			if err := s.Add(0, Job{ID: fmt.Sprint(k, i), Kind: k}); err != nil {
				t.Fatal(err)
			}
		}
	}
	counts, longest := runSteps(t, s, 0, 60e3, nil)
	total := counts["move"] + counts["store"] + counts["purge"]
	if total < 5900 || total > 6010 {
		t.Errorf("%d steps, want about 6000", total)
	}
	if r := float64(counts["move"]) / float64(counts["store"]); math.Abs(r-3) > 0.1 {
		t.Errorf("not in the ratio 3 to 1 of the weights: %v", counts)
	}
	if longest["purge"] > 700+2*10+1 || counts["purge"] > 100 {
		t.Errorf("the kind of the lowest priority waited up to %v ms and had %d steps", longest["purge"], counts["purge"])
	}
}

// Under pressure, background work reduces its rate within 100 ms, stops at once where a resource is
// saturated, and recovers slowly. A saturated resource delays only the kinds that need it.
func TestYieldsAndRecovers(t *testing.T) {
	kinds := []JobKind{{Name: "fetch", Cost: map[Resource]float64{Origin: 1, CPU: 0.1}}, {Name: "compact", Cost: map[Resource]float64{Disk: 1}}}
	s := newScheduler(t, kinds, map[Resource]Budget{Origin: {MaxRate: 200, Burst: 4, RecoverySeconds: 5}, CPU: {MaxRate: 1000, Burst: 10}, Disk: {MaxRate: 100, Burst: 2}})
	for _, k := range kinds {
		for i := range 4 {
			if err := s.Add(0, Job{ID: fmt.Sprint(k.Name, i), Kind: k.Name}); err != nil {
				t.Fatal(err)
			}
		}
	}
	normal, _ := runSteps(t, s, 0, 2000, nil)
	s.SetPressure(2000, Origin, Saturated)
	saturated, _ := runSteps(t, s, 2000, 4000, nil)
	s.SetPressure(4000, Origin, Normal)
	recovering, _ := runSteps(t, s, 4000, 5000, nil)
	runSteps(t, s, 5000, 10000, nil)
	recovered, _ := runSteps(t, s, 10000, 11000, nil)
	if normal["fetch"] < 390 || saturated["fetch"] > 0 || saturated["compact"] < 190 {
		t.Errorf("normal pressure: %v, saturated: %v", normal, saturated)
	}
	if recovering["fetch"] > 40 || recovering["fetch"] < 5 || recovered["fetch"] < 190 {
		t.Errorf("recovery: %v in the first second, %v later", recovering, recovered)
	}
	busy, _ := runSteps(t, s, 11000, 12000, func(now float64) {
		if int(now)%20 == 0 {
			s.SetPressure(now, Origin, Busy)
		}
	})
	if busy["fetch"] > 50 {
		t.Errorf("during a second of pressure Busy: %v", busy)
	}
	later, _ := runSteps(t, s, 12000, 13000, nil)
	if later["fetch"] > 2 {
		t.Errorf("after a second of pressure Busy: %v", later)
	}
	s.SetDraining(true)
	if drained, _ := runSteps(t, s, 13000, 14000, nil); len(drained) > 0 {
		t.Errorf("while draining: %v", drained)
	}
}

// A failed step is retried with increasing delays; a successful one resets the delay. The earliest deadline
// comes first, a cancelled job gets no further step, and a scheduler restored from Jobs holds the same
// jobs.
func TestJobs(t *testing.T) {
	kinds := []JobKind{{Name: "k", Cost: map[Resource]float64{CPU: 1}}}
	budgets := map[Resource]Budget{CPU: {MaxRate: 1e6, Burst: 1e3}}
	s := newScheduler(t, kinds, budgets)
	for _, j := range []Job{{ID: "none", Kind: "k"}, {ID: "late", Kind: "k", Deadline: 900}, {ID: "soon", Kind: "k", Deadline: 500}} {
		if err := s.Add(0, j); err != nil {
			t.Fatal(err)
		}
	}
	var order []string
	for range 3 {
		g, _, ok := s.Next(1)
		if !ok {
			t.Fatal("no grant")
		}
		order = append(order, g.ID)
	}
	if got := strings.Join(order, " "); got != "soon late none" {
		t.Errorf("order by deadline: %s", got)
	}
	if err := errors.Join(s.Done(1, "soon", StepFailed, nil, ""), s.Done(1, "late", StepDone, nil, "half"), s.Done(1, "none", JobFinished, nil, "")); err != nil {
		t.Fatal(err)
	}
	g, _, _ := s.Next(2)
	if g.ID != "late" || g.Cursor != "half" {
		t.Errorf("grant %+v, want the job late at its cursor", g)
	}
	if _, wait, ok := s.Next(2); ok || math.Abs(wait-374) > 1 {
		t.Errorf("retry of the failed step: granted %v, wait %v ms", ok, wait)
	}
	s.Cancel("late")
	if err := s.Done(3, "late", StepDone, nil, ""); !errors.Is(err, ErrNoStepInFlight) {
		t.Errorf("Done for a cancelled job: %v", err)
	}
	now, previous := 3.0, 0.0
	for range 12 {
		_, wait, _ := s.Next(now)
		if now += wait; wait < previous || wait > maxRetryDelayMS {
			t.Errorf("retry delay of %v ms after one of %v ms", wait, previous)
		}
		previous = wait
		g, _, ok := s.Next(now)
		if !ok || g.ID != "soon" {
			t.Fatalf("grant %+v at %v, want the job soon", g, now)
		}
		if err := s.Done(now, "soon", StepFailed, nil, ""); err != nil {
			t.Fatal(err)
		}
	}
	restored := newScheduler(t, kinds, budgets)
	for _, j := range s.Jobs() {
		if err := restored.Add(now, j); err != nil {
			t.Fatal(err)
		}
	}
	if a, b := fmt.Sprint(s.Jobs()), fmt.Sprint(restored.Jobs()); a != b || len(s.Jobs()) != 1 {
		t.Errorf("jobs %s, restored as %s", a, b)
	}
}

// For random sequences of calls, steps never use more than the budget allows and each job has at most one
// step in flight. Invalid configurations and jobs are rejected.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		most := rapid.Float64Range(1, 1000).Draw(rt, "most")
		s, err := New([]JobKind{{Name: "a", Priority: 1, Cost: map[Resource]float64{CPU: 1}}, {Name: "b", Cost: map[Resource]float64{CPU: 2, Disk: 5}}},
			map[Resource]Budget{CPU: {MaxRate: most, Burst: 4}, Disk: {MaxRate: 50, Burst: 5, MinRate: 10}}, 0, constantJitter)
		if err != nil {
			rt.Fatal(err)
		}
		now, cpuUsed := 0.0, 0.0
		inFlight := map[string]bool{}
		for i := range rapid.IntRange(1, 150).Draw(rt, "steps") {
			now += rapid.Float64Range(0, 50).Draw(rt, "ms")
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				s.Add(now, Job{ID: fmt.Sprint(i), Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "kind")}) //nolint:errcheck // new IDs
			case 1, 2:
				g, wait, ok := s.Next(now)
				if ok && inFlight[g.ID] || !ok && wait <= 0 {
					rt.Fatalf("grant %+v, wait %v", g, wait)
				}
				if ok {
					inFlight[g.ID], cpuUsed = true, cpuUsed+g.Cost[CPU]
				}
			case 3:
				for id := range inFlight {
					r := rapid.SampledFrom([]StepResult{StepDone, JobFinished, StepFailed}).Draw(rt, "result")
					if err := s.Done(now, id, r, nil, ""); err != nil {
						rt.Fatal(err)
					}
					delete(inFlight, id)
					break
				}
			case 4:
				s.SetPressure(now, rapid.SampledFrom([]Resource{CPU, Disk}).Draw(rt, "resource"), Pressure(rapid.IntRange(0, 2).Draw(rt, "pressure")))
			}
			if limit := 4 + most*now/1000 + 1e-6; cpuUsed > limit {
				rt.Fatalf("%v ms of CPU time used after %v ms, want at most %v", cpuUsed, now, limit)
			}
		}
	})
	for name, testCase := range map[string]struct {
		kinds   []JobKind
		budgets map[Resource]Budget
		want    string
	}{
		"no name":           {[]JobKind{{Cost: map[Resource]float64{CPU: 1}}}, map[Resource]Budget{CPU: {MaxRate: 1, Burst: 1}}, "name must be set and unique"},
		"costs nothing":     {[]JobKind{{Name: "k"}}, nil, "cost of a step must be set"},
		"more than a burst": {[]JobKind{{Name: "k", Cost: map[Resource]float64{CPU: 2}}}, map[Resource]Budget{CPU: {MaxRate: 1, Burst: 1}}, "at most the burst"},
		"no such resource":  {[]JobKind{{Name: "k", Cost: map[Resource]float64{ServerResource(3): 2}}}, nil, "server 3"},
		"a budget of none":  {nil, map[Resource]Budget{CPU: {}}, "budget of cpu"},
	} {
		if _, err := New(testCase.kinds, testCase.budgets, 0, constantJitter); err == nil || !strings.Contains(err.Error(), testCase.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	s := newScheduler(t, []JobKind{{Name: "k", Cost: map[Resource]float64{CPU: 1}}}, map[Resource]Budget{CPU: {MaxRate: 1, Burst: 1}})
	if err := s.Add(0, Job{ID: "x", Kind: "none"}); !errors.Is(err, ErrUnknownKind) {
		t.Error(err)
	}
	if err := errors.Join(s.Add(0, Job{ID: "x", Kind: "k"}), s.Add(0, Job{ID: "x", Kind: "k"})); !errors.Is(err, ErrJobExists) {
		t.Error(err)
	}
	if err := s.Add(0, Job{ID: "y", Kind: "k", Cursor: strings.Repeat("c", maxCursorBytes+1)}); err == nil {
		t.Error("a cursor that is too long was accepted")
	}
}
