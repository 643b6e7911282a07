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

// runSteps grants steps for some seconds, each taking 1 ms, and counts them by kind and the longest time that a kind waited.
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
					t.Fatalf("nothing is granted, and asking again after %v ms", wait)
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

// By priority, by weight within one, and nothing starves: a kind of the lowest priority waits for its bound and no longer, whatever the others
// have to do.
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
		t.Errorf("%d steps of 6000", total)
	}
	if r := float64(counts["move"]) / float64(counts["store"]); math.Abs(r-3) > 0.1 {
		t.Errorf("by weight 3 to 1: %v", counts)
	}
	if longest["purge"] > 700+2*10+1 || counts["purge"] > 100 {
		t.Errorf("the lowest waited %v ms and had %d steps", longest["purge"], counts["purge"])
	}
}

// Under pressure background work yields within 100 ms, to nothing at once where a resource is full, and comes back slowly; a resource that is
// full holds up only those that need it.
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
	calm, _ := runSteps(t, s, 0, 2000, nil)
	s.SetPressure(2000, Origin, Saturated)
	full, _ := runSteps(t, s, 2000, 4000, nil)
	s.SetPressure(4000, Origin, Normal)
	first, _ := runSteps(t, s, 4000, 5000, nil)
	runSteps(t, s, 5000, 10000, nil)
	back, _ := runSteps(t, s, 10000, 11000, nil)
	if calm["fetch"] < 390 || full["fetch"] > 0 || full["compact"] < 190 {
		t.Errorf("calm %v, full %v", calm, full)
	}
	if first["fetch"] > 40 || first["fetch"] < 5 || back["fetch"] < 190 {
		t.Errorf("back: %v in the first second, %v later", first, back)
	}
	busy, _ := runSteps(t, s, 11000, 12000, func(now float64) {
		if int(now)%20 == 0 {
			s.SetPressure(now, Origin, Busy)
		}
	})
	if busy["fetch"] > 50 {
		t.Errorf("busy for a second: %v", busy)
	}
	later, _ := runSteps(t, s, 12000, 13000, nil)
	if later["fetch"] > 2 {
		t.Errorf("after a second of it: %v", later)
	}
	s.SetDraining(true)
	if none, _ := runSteps(t, s, 13000, 14000, nil); len(none) > 0 {
		t.Errorf("while draining: %v", none)
	}
}

// A step that fails is tried again later each time, one that goes well begins anew; the earliest deadline comes first; a job that is cancelled
// gets nothing more; what is kept brings the jobs back where they were.
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
			t.Fatal("nothing")
		}
		order = append(order, g.ID)
	}
	if got := strings.Join(order, " "); got != "soon late none" {
		t.Errorf("%s", got)
	}
	if err := errors.Join(s.Done(1, "soon", StepFailed, nil, ""), s.Done(1, "late", StepDone, nil, "half"), s.Done(1, "none", JobFinished, nil, "")); err != nil {
		t.Fatal(err)
	}
	g, _, _ := s.Next(2)
	if g.ID != "late" || g.Cursor != "half" {
		t.Errorf("%+v", g)
	}
	if _, wait, ok := s.Next(2); ok || math.Abs(wait-374) > 1 {
		t.Errorf("the failed one again: %v, after %v ms", ok, wait)
	}
	s.Cancel("late")
	if err := s.Done(3, "late", StepDone, nil, ""); !errors.Is(err, ErrNoStepInFlight) {
		t.Errorf("a cancelled one: %v", err)
	}
	now, was := 3.0, 0.0
	for range 12 {
		_, wait, _ := s.Next(now)
		if now += wait; wait < was || wait > maxRetryDelayMS {
			t.Errorf("%v ms after %v", wait, was)
		}
		was = wait
		g, _, ok := s.Next(now)
		if !ok || g.ID != "soon" {
			t.Fatalf("%+v at %v", g, now)
		}
		if err := s.Done(now, "soon", StepFailed, nil, ""); err != nil {
			t.Fatal(err)
		}
	}
	again := newScheduler(t, kinds, budgets)
	for _, j := range s.Jobs() {
		if err := again.Add(now, j); err != nil {
			t.Fatal(err)
		}
	}
	if a, b := fmt.Sprint(s.Jobs()), fmt.Sprint(again.Jobs()); a != b || len(s.Jobs()) != 1 {
		t.Errorf("%s and %s", a, b)
	}
}

// Whatever is asked in whatever order: no budget is overdrawn beyond what a step was told to take, each job has one step out at most, and what
// is wrong is refused.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		most := rapid.Float64Range(1, 1000).Draw(rt, "most")
		s, err := New([]JobKind{{Name: "a", Priority: 1, Cost: map[Resource]float64{CPU: 1}}, {Name: "b", Cost: map[Resource]float64{CPU: 2, Disk: 5}}},
			map[Resource]Budget{CPU: {MaxRate: most, Burst: 4}, Disk: {MaxRate: 50, Burst: 5, MinRate: 10}}, 0, constantJitter)
		if err != nil {
			rt.Fatal(err)
		}
		now, cpu := 0.0, 0.0
		out := map[string]bool{}
		for i := range rapid.IntRange(1, 150).Draw(rt, "steps") {
			now += rapid.Float64Range(0, 50).Draw(rt, "ms")
			switch rapid.IntRange(0, 4).Draw(rt, "what") {
			case 0:
				s.Add(now, Job{ID: fmt.Sprint(i), Kind: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "kind")}) //nolint:errcheck // ids are new
			case 1, 2:
				g, wait, ok := s.Next(now)
				if ok && out[g.ID] || !ok && wait <= 0 {
					rt.Fatalf("%+v %v", g, wait)
				}
				if ok {
					out[g.ID], cpu = true, cpu+g.Cost[CPU]
				}
			case 3:
				for id := range out {
					r := rapid.SampledFrom([]StepResult{StepDone, JobFinished, StepFailed}).Draw(rt, "result")
					if err := s.Done(now, id, r, nil, ""); err != nil {
						rt.Fatal(err)
					}
					delete(out, id)
					break
				}
			case 4:
				s.SetPressure(now, rapid.SampledFrom([]Resource{CPU, Disk}).Draw(rt, "resource"), Pressure(rapid.IntRange(0, 2).Draw(rt, "pressure")))
			}
			if limit := 4 + most*now/1000 + 1e-6; cpu > limit {
				rt.Fatalf("%v ms of processor after %v ms: %v at most", cpu, now, limit)
			}
		}
	})
	for name, x := range map[string]struct {
		kinds   []JobKind
		budgets map[Resource]Budget
		want    string
	}{
		"no name":           {[]JobKind{{Cost: map[Resource]float64{CPU: 1}}}, map[Resource]Budget{CPU: {MaxRate: 1, Burst: 1}}, "a name of its own"},
		"costs nothing":     {[]JobKind{{Name: "k"}}, nil, "what a step costs"},
		"more than a burst": {[]JobKind{{Name: "k", Cost: map[Resource]float64{CPU: 2}}}, map[Resource]Budget{CPU: {MaxRate: 1, Burst: 1}}, "up to the burst"},
		"no such resource":  {[]JobKind{{Name: "k", Cost: map[Resource]float64{ServerResource(3): 2}}}, nil, "server 3"},
		"a budget of none":  {nil, map[Resource]Budget{CPU: {}}, "budget of cpu"},
	} {
		if _, err := New(x.kinds, x.budgets, 0, constantJitter); err == nil || !strings.Contains(err.Error(), x.want) {
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
		t.Error("a long cursor")
	}
}
