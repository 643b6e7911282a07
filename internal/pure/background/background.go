// Package background says which piece of background work may run next, with what requests leave of each resource: compaction, purges of
// deleted tenants' keys, probes, moves of keys. It runs nothing; whoever does asks for a grant, carries the step out and tells what it took.
// It has no clock, goroutine or input: each method gets the time, in ms, which must not go back. docs/design/background.md compares the ways.
//
// Three rules decide, in this order: a kind that has waited for its bound comes first, so that nothing starves; then the highest priority; then,
// within a priority, stride scheduling by weight (C. A. Waldspurger and W. E. Weihl, 1995); and within a kind the earliest deadline.
// What a resource gives follows the service by additive increase and multiplicative decrease, as congestion control does.
package background

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Resource is something that background work shares with requests. Those of servers are one each.
type Resource string

// Resources that there is one of. Server makes those of servers.
const (
	CPU     Resource = "cpu"    // ms of processor time
	Origin  Resource = "origin" // fetches
	Disk    Resource = "disk"   // bytes
	Syncs   Resource = "syncs"
	Sockets Resource = "sockets"
)

// ServerResource is the work at one cache server, in ms.
func ServerResource(id uint32) Resource { return Resource(fmt.Sprint("server ", id)) }

// Pressure is how a resource stands with the service.
type Pressure int

// The pressures.
const (
	Normal    Pressure = iota // there is room
	Busy                      // requests feel it, or soon will: yield by half each hundred ms
	Saturated                 // nothing is to be had: yield at once
)

// Budget is what background work may take of a resource.
type Budget struct {
	MaxRate         float64 // units a second when the service is calm
	MinRate         float64 // and when it is busy, however long; 0 = nothing
	Burst           float64 // units that may be saved up; a step that costs more is none
	RecoverySeconds float64 // seconds from nothing to Most; 0 = 10
}

// JobKind is a kind of jobs.
type JobKind struct {
	Name            string
	Priority        int     // the higher one comes first
	Weight          float64 // its part within its priority; 0 = 1
	MaxWait         float64 // ms after which it comes ahead of any other that has not waited as long; 0 = a minute
	RunsDuringDrain bool    // goes on while the router drains
	Cost            map[Resource]float64
}

// Job is a job of a kind: a number of short steps, each of the kind's cost. What it has done is its owner's to say, in Cursor, which is kept
// over restarts.
type Job struct {
	ID                  string  `json:"id"`
	Kind                string  `json:"kind"`
	Cursor              string  `json:"cursor,omitempty"`
	Deadline            float64 `json:"deadline,omitempty"` // ms; 0 = none
	ConsecutiveFailures int     `json:"tries,omitempty"`    // steps in a row that failed
	NotBefore           float64 `json:"not_before,omitempty"`
}

// Bounds.
const (
	maxJobs             = 100000
	maxKinds            = 64
	maxCursorBytes      = 4096 // bytes
	firstRetryDelayMS   = 500.
	maxRetryDelayMS     = 5 * 60e3
	halvingIntervalMS   = 100. // ms between two halvings: what was granted meanwhile has not been felt yet
	costTolerance       = 1e-9 // units by which a level may be short of a cost: it is a sum of many
	minRecoveryFraction = 1e-3 // part of Most from which a budget comes back
)

// Errors of calls.
var (
	ErrUnknownKind    = errors.New("there is no such kind of jobs")
	ErrJobExists      = errors.New("there is a job of that id")
	ErrTooManyJobs    = errors.New("there are too many jobs")
	ErrNoStepInFlight = errors.New("no step of such a job is out")
)

// tokenBucket is what a resource gives: a token bucket whose rate moves.
type tokenBucket struct {
	Budget
	rate, level, updatedAt float64
	pressure               Pressure
	halvedAt               float64
}

type kindState struct {
	JobKind
	pass      float64     // of stride scheduling
	readyJobs []*jobState // that have no step out, earliest deadline first
	servedAt  float64     // when it last got a grant, or last had nothing to do
	inFlight  int
}

type jobState struct {
	Job
	kind     *kindState
	inFlight bool
	seq      uint64
}

// Scheduler keeps jobs and budgets. Its memory is that of the jobs.
type Scheduler struct {
	kinds    []*kindState
	buckets  map[Resource]*tokenBucket
	jobs     map[string]*jobState
	seq      uint64
	draining bool
	jitter   func() float64 // 0 to 1, spreads retries
}

// New is a scheduler of kinds and budgets. jitter gives numbers from 0 to 1. An error names the kind and field.
func New(kinds []JobKind, budgets map[Resource]Budget, now float64, jitter func() float64) (*Scheduler, error) {
	s := &Scheduler{buckets: map[Resource]*tokenBucket{}, jobs: map[string]*jobState{}, jitter: jitter}
	for r, b := range budgets {
		if !(b.MaxRate > 0) || math.IsInf(b.MaxRate, 0) || !(b.MinRate >= 0 && b.MinRate <= b.MaxRate) || !(b.Burst > 0) || !(b.RecoverySeconds >= 0) {
			return nil, fmt.Errorf("budget of %s: %+v: most above 0, least up to it, a burst above 0", r, b)
		}
		if b.RecoverySeconds == 0 {
			b.RecoverySeconds = 10
		}
		s.buckets[r] = &tokenBucket{Budget: b, rate: b.MaxRate, level: b.Burst, updatedAt: now, halvedAt: math.Inf(-1)}
	}
	if len(kinds) > maxKinds {
		return nil, fmt.Errorf("%d kinds; %d at most", len(kinds), maxKinds)
	}
	for _, k := range kinds {
		if err := s.validateKind(&k); err != nil {
			return nil, fmt.Errorf("kind %q: %w", k.Name, err)
		}
		s.kinds = append(s.kinds, &kindState{JobKind: k, servedAt: now})
	}
	return s, nil
}

func (s *Scheduler) validateKind(k *JobKind) error {
	if k.Weight == 0 {
		k.Weight = 1
	}
	if k.MaxWait == 0 {
		k.MaxWait = 60e3
	}
	if k.Name == "" || s.findKind(k.Name) != nil {
		return errors.New("a name of its own is right")
	}
	if !(k.Weight > 0) || !(k.MaxWait > 0) || len(k.Cost) == 0 {
		return errors.New("weight and max wait above 0, and what a step costs, are right")
	}
	for r, c := range k.Cost {
		if b := s.buckets[r]; b == nil || !(c > 0 && c <= b.Burst) {
			return fmt.Errorf("cost: %v of %s: above 0 and up to the burst of its budget", c, r)
		}
	}
	return nil
}

func (s *Scheduler) findKind(name string) *kindState {
	for _, k := range s.kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Add adds a job, also one that was there before a restart.
func (s *Scheduler) Add(now float64, j Job) error {
	k := s.findKind(j.Kind)
	switch {
	case k == nil:
		return fmt.Errorf("%q: %w", j.Kind, ErrUnknownKind)
	case s.jobs[j.ID] != nil || j.ID == "":
		return fmt.Errorf("%q: %w", j.ID, ErrJobExists)
	case len(s.jobs) >= maxJobs:
		return ErrTooManyJobs
	case len(j.Cursor) > maxCursorBytes:
		return fmt.Errorf("%q: a cursor of %d bytes; %d at most", j.ID, len(j.Cursor), maxCursorBytes)
	}
	s.seq++
	x := &jobState{Job: j, kind: k, seq: s.seq}
	s.jobs[j.ID] = x
	s.enqueue(now, x)
	return nil
}

// enqueue puts a job among those of its kind that wait.
func (s *Scheduler) enqueue(now float64, x *jobState) {
	k := x.kind
	if len(k.readyJobs) == 0 && k.inFlight == 0 { // it comes back with what others of its priority have had since, no more
		k.servedAt = now
		k.pass = max(k.pass, s.minPass(k))
	}
	at, _ := slices.BinarySearchFunc(k.readyJobs, x, compareJobs)
	k.readyJobs = slices.Insert(k.readyJobs, at, x)
}

// compareJobs is that of jobs of a kind: the earliest deadline, none at all last, then the oldest.
func compareJobs(a, b *jobState) int {
	dead := func(x *jobState) float64 {
		if x.Deadline == 0 {
			return math.Inf(1)
		}
		return x.Deadline
	}
	if c := cmp.Compare(dead(a), dead(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// minPass is the least pass of the kinds of a priority that have work.
func (s *Scheduler) minPass(of *kindState) float64 {
	out := math.Inf(1)
	for _, k := range s.kinds {
		if k != of && k.Priority == of.Priority && (len(k.readyJobs) > 0 || k.inFlight > 0) {
			out = min(out, k.pass)
		}
	}
	if math.IsInf(out, 1) {
		return of.pass
	}
	return out
}

// Cancel ends a job. A step that is out is told of by Done as any other, which does nothing then.
func (s *Scheduler) Cancel(id string) {
	x := s.jobs[id]
	if x == nil {
		return
	}
	delete(s.jobs, id)
	if x.inFlight {
		x.kind.inFlight--
		return
	}
	x.kind.readyJobs = slices.DeleteFunc(x.kind.readyJobs, func(y *jobState) bool { return y == x })
}

// SetPressure tells how a resource stands with the service.
func (s *Scheduler) SetPressure(now float64, r Resource, p Pressure) {
	b := s.buckets[r]
	if b == nil {
		return
	}
	b.refill(now)
	switch b.pressure = p; {
	case p == Saturated:
		b.rate, b.level = b.MinRate, min(b.level, 0)
	case p == Busy && now-b.halvedAt >= halvingIntervalMS:
		b.halvedAt, b.rate = now, max(b.MinRate, b.rate/2)
		b.level = min(b.level, b.Burst/2)
	}
}

// refill brings a bucket up to now. While the service is calm its rate comes back evenly; it starts from a little, or it never would.
func (b *tokenBucket) refill(now float64) {
	ms := max(0, now-b.updatedAt)
	b.updatedAt = now
	if b.pressure == Normal && b.rate < b.MaxRate {
		was := max(b.rate, minRecoveryFraction*b.MaxRate)
		b.rate = min(b.MaxRate, was+b.MaxRate*ms/1000/b.RecoverySeconds)
		b.level += (was + b.rate) / 2 * ms / 1000
	} else {
		b.level += b.rate * ms / 1000
	}
	b.level = min(b.level, b.Burst)
}

// SetDraining says that the router drains: only kinds that go on then get grants.
func (s *Scheduler) SetDraining(on bool) { s.draining = on }

// Grant is leave for one step of a job.
type Grant struct {
	Job
	Cost map[Resource]float64 // booked; it must not be changed
}

// Next gives leave for the next step, or says after how many ms to ask again; +Inf = when something is added or told. What was granted is
// booked until Done.
func (s *Scheduler) Next(now float64) (g Grant, wait float64, ok bool) {
	for _, b := range s.buckets {
		b.refill(now)
	}
	wait = math.Inf(1)
	var best *kindState
	var next *jobState
	for _, k := range s.kinds {
		if s.draining && !k.RunsDuringDrain {
			continue
		}
		x, at := k.firstRunnable(now)
		if x == nil {
			wait = min(wait, at)
			continue
		}
		if short := s.shortageDelay(k); short > 0 {
			wait = min(wait, short)
			continue
		}
		if best == nil || s.runsBefore(now, k, best) {
			best, next = k, x
		}
	}
	if best == nil {
		return Grant{}, wait, false
	}
	for r, c := range best.Cost {
		s.buckets[r].level -= c
	}
	best.readyJobs = slices.DeleteFunc(best.readyJobs, func(y *jobState) bool { return y == next })
	best.pass += 1 / best.Weight
	best.servedAt, next.inFlight = now, true
	best.inFlight++
	return Grant{next.Job, best.Cost}, 0, true
}

// firstRunnable is the first job of a kind that may run by now, or in how many ms one may.
func (k *kindState) firstRunnable(now float64) (*jobState, float64) {
	soon := math.Inf(1)
	for _, x := range k.readyJobs {
		if x.NotBefore <= now {
			return x, 0
		}
		soon = min(soon, x.NotBefore-now)
	}
	return nil, soon
}

// shortageDelay is for how many ms, at least, a resource has too little for a step of a kind; 0 = all have enough. What has nothing to give now is
// looked at again soon.
func (s *Scheduler) shortageDelay(k *kindState) (ms float64) {
	for r, c := range k.Cost {
		b := s.buckets[r]
		if b.level+costTolerance >= c {
			continue
		}
		need := halvingIntervalMS
		if b.rate > 0 {
			need = max(1, min(halvingIntervalMS, (c-b.level)/b.rate*1000))
		}
		ms = max(ms, need)
	}
	return ms
}

// runsBefore says whether a kind comes ahead of another that could run too.
func (s *Scheduler) runsBefore(now float64, a, b *kindState) bool {
	aw, bw := now-a.servedAt-a.MaxWait, now-b.servedAt-b.MaxWait
	switch {
	case aw > 0 || bw > 0:
		return aw > bw
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	}
	return a.pass < b.pass
}

// StepResult is how a step ended.
type StepResult int

// The results.
const (
	StepDone    StepResult = iota // there is more to do
	JobFinished                   // the job is done
	StepFailed                    // the step is to be tried again, later each time
)

// Done tells how a granted step ended, what it took instead of what was booked, nil = that, and how far the job is.
func (s *Scheduler) Done(now float64, id string, r StepResult, took map[Resource]float64, cursor string) error {
	x := s.jobs[id]
	if x == nil || !x.inFlight {
		return fmt.Errorf("%q: %w", id, ErrNoStepInFlight)
	}
	if len(cursor) > maxCursorBytes {
		return fmt.Errorf("%q: a cursor of %d bytes; %d at most", id, len(cursor), maxCursorBytes)
	}
	for at, used := range took {
		if b := s.buckets[at]; b != nil && used >= 0 {
			b.level = min(b.Burst, b.level+x.kind.Cost[at]-used)
		}
	}
	x.inFlight = false
	x.kind.inFlight--
	switch r {
	case JobFinished:
		delete(s.jobs, id)
		return nil
	case StepFailed:
		pause := min(maxRetryDelayMS, firstRetryDelayMS*math.Pow(2, float64(min(x.ConsecutiveFailures, 20))))
		x.ConsecutiveFailures++
		x.NotBefore = now + pause*(0.5+0.5*s.jitter())
	case StepDone:
		x.ConsecutiveFailures, x.NotBefore, x.Cursor = 0, 0, cursor
	}
	s.enqueue(now, x)
	return nil
}

// Jobs are all that there are, in the order of their ids, for whoever keeps them over restarts.
func (s *Scheduler) Jobs() (out []Job) {
	for _, x := range s.jobs {
		out = append(out, x.Job)
	}
	slices.SortFunc(out, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
