package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"
)

var (
	seeds   = flag.Int("soak.seeds", 3, "how many seeds are played")
	first   = flag.Uint64("soak.first", 1, "the first seed")
	routers = flag.Int("soak.routers", 12, "most routers of a play; 10 are the least")
	length  = flag.Duration("soak.length", 10*time.Second, "for which clients send")
	asked   = flag.Int("soak.asked", 2, "how many seeds are played with routers that ask for their lists")
	// To compare with an earlier version.
	program = flag.String("soak.program", "", "router program that is played; built from this tree where it is empty")
)

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak-")
	if err == nil && *program == "" {
		*program, err = Build(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// shown bounds the violations of a rule that a test prints.
const shown = 5

// report prints what a play has found, and fails the test for each invariant that was broken.
func report(t *testing.T, plan Plan, r Report) {
	t.Helper()
	t.Logf("seed %d: %d requests: %d served, %d refused, %d failed, %d left; %d attempts, %d of them retries; checks:%s; counted apart %d",
		plan.Seed, r.Requests, r.Served, r.Refused, r.Failed, r.Abandoned, r.Attempts, r.Retries, r.Exercised(), r.CountedOut)
	printed := map[Invariant]int{}
	for _, v := range r.Violations {
		if printed[v.Rule]++; printed[v.Rule] <= shown {
			t.Errorf("seed %d: %v", plan.Seed, v)
		}
	}
	for _, line := range r.Traces {
		t.Log(line)
	}
	if len(r.Violations) > 0 {
		t.Errorf("seed %d: violations: %v\n%v", plan.Seed, r.ByRule(), plan)
	}
}

// Guards against broken rules when faults overlap: whatever the seed draws, the invariants hold.
func TestSoakKeepsInvariantsUnderOverlappingFaults(t *testing.T) {
	total := map[Invariant]int{}
	for i := range *seeds {
		plan := Draw(*first+uint64(i), Size{Routers: [2]int{min(10, *routers), *routers}, Length: *length})
		r, err := Play(t.Context(), *program, t.TempDir(), plan, nil)
		if err != nil {
			t.Fatalf("seed %d: %v", plan.Seed, err)
		}
		report(t, plan, r)
		for rule, n := range r.Checked {
			total[rule] += n
		}
	}
	for _, rule := range []Invariant{Deadline, Answer, Abandoned, Overlap, Drain, SlowStart, Promise, Process, SelfCheck, Empty, CutOff} {
		if total[rule] == 0 {
			t.Errorf("no play has exercised %s", rule)
		}
	}
	t.Logf("exercised in all plays: %v %v", slices.Sorted(maps.Keys(total)), total)
}

// pipelineSeed draws six clients that pipeline cheap commands at full speed to one of twelve routers.
const pipelineSeed = 214

// Guards against servers that are passed more time than a client has left, as its request had lain unread beside clients
// that pipeline: the scheduler ran their readers and the engine in turn, and the client's reader behind them.
func TestSoakBesideClientsThatPipeline(t *testing.T) {
	plan := Draw(pipelineSeed, Size{Routers: [2]int{min(10, *routers), *routers}, Length: *length})
	if !slices.ContainsFunc(plan.Faults, func(f Fault) bool { return f.Loud == LoudPipeline }) {
		t.Fatalf("seed %d has no clients that pipeline:\n%v", pipelineSeed, plan)
	}
	r, err := Play(t.Context(), *program, t.TempDir(), plan, nil)
	if err != nil {
		t.Fatal(err)
	}
	report(t, plan, r)
}

// askedLength is for how long clients send to routers that ask for their lists: what a silent watch of 12 s has missed is
// notified by then.
const askedLength = 24 * time.Second

// Guards against requests at servers that drain where lists are asked for, beside all other faults: watches had fallen silent
// or discovery was away, and routers asked too late.
func TestSoakWhereListsAreAskedFor(t *testing.T) {
	drained := 0
	for i := range *asked {
		plan := DrawAsked(*first+uint64(i), Size{Routers: [2]int{min(10, *routers), *routers}, Length: askedLength})
		r, err := Play(t.Context(), *program, t.TempDir(), plan, nil)
		if err != nil {
			t.Fatalf("seed %d: %v", plan.Seed, err)
		}
		report(t, plan, r)
		drained += r.Checked[Drain]
	}
	if drained == 0 && *asked > 0 {
		t.Error("no server has drained")
	}
}
