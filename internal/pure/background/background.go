// Package background schedules background work, such as compaction, purges of deleted tenants' keys, probes
// and moves of keys, on the capacity of each resource that requests leave unused. It runs nothing itself:
// the caller asks for a grant, runs the step and reports what it used. It has no clock, goroutine or I/O:
// each method takes the time in ms, which must not decrease. docs/design/background.md compares the
// alternatives.
//
// The order of the kinds of jobs follows three rules. A kind that has waited longer than its MaxWait comes
// first, so that nothing starves. Then the highest priority comes first. Within a priority, stride
// scheduling by weight decides (C. A. Waldspurger and W. E. Weihl, 1995). Within a kind, the job with the
// earliest deadline comes first. The rate of each resource follows the load of the service by additive
// increase and multiplicative decrease, as in congestion control.
package background

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Resource is something that background work shares with requests. Each server is a resource of its own.
type Resource string

// Resources that exist once. ServerResource returns those of the servers.
const (
	CPU     Resource = "cpu"    // ms of CPU time
	Origin  Resource = "origin" // fetches
	Disk    Resource = "disk"   // bytes
	Syncs   Resource = "syncs"
	Sockets Resource = "sockets"
)

// ServerResource returns the resource for work at one cache server, in ms.
func ServerResource(id uint32) Resource { return Resource(fmt.Sprint("server ", id)) }

// Pressure is the load that requests put on a resource.
type Pressure int

// The levels of pressure.
const (
	Normal    Pressure = iota // there is unused capacity
	Busy                      // requests are affected or soon will be: halves the rate, at most every 100 ms
	Saturated                 // no capacity is left: drops the rate to MinRate at once
)

// Budget bounds what background work may use of a resource.
type Budget struct {
	MaxRate         float64 // units per second under normal pressure
	MinRate         float64 // units per second under any pressure; 0 = may stop entirely
	Burst           float64 // depth of the token bucket in units; a step must not cost more
	RecoverySeconds float64 // seconds in which the rate recovers from 0 to MaxRate; 0 = 10
}

// JobKind describes jobs with the same priority and the same cost per step.
type JobKind struct {
	Name            string
	Priority        int     // higher values run first
	Weight          float64 // share within its priority; 0 = 1
	MaxWait         float64 // ms without a grant after which it precedes all less overdue kinds; 0 = 1 min
	RunsDuringDrain bool    // keeps getting grants while the router drains
	Cost            map[Resource]float64
}

// Job is a series of short steps, each of which costs what its kind says. The owner of the job records its
// progress in Cursor, which is kept across restarts.
type Job struct {
	ID                  string  `json:"id"`
	Kind                string  `json:"kind"`
	Cursor              string  `json:"cursor,omitempty"`
	Deadline            float64 `json:"deadline,omitempty"` // ms; 0 = none
	ConsecutiveFailures int     `json:"tries,omitempty"`    // failed steps since the last successful one
	NotBefore           float64 `json:"not_before,omitempty"`
}

// Limits and tuning constants.
const (
	maxJobs             = 100000
	maxKinds            = 64
	maxCursorBytes      = 4096
	firstRetryDelayMS   = 500. // after the first failure; doubles with each further one
	maxRetryDelayMS     = 5 * 60e3
	halvingIntervalMS   = 100. // between halvings; steps granted since the last one show no effect yet
	costTolerance       = 1e-9 // units by which a level may fall short of a cost, for rounding errors
	minRecoveryFraction = 1e-3 // fraction of MaxRate at which a recovery starts
)

// Errors that Add and Done return.
var (
	ErrUnknownKind    = errors.New("unknown kind of jobs")
	ErrJobExists      = errors.New("a job with this ID exists already, or the ID is empty")
	ErrTooManyJobs    = errors.New("too many jobs")
	ErrNoStepInFlight = errors.New("no step of this job is in flight")
)

// tokenBucket limits the use of a resource; its rate varies with the pressure.
type tokenBucket struct {
	Budget
	rate, level, updatedAt float64
	pressure               Pressure
	halvedAt               float64
}

// kindState is a kind of jobs and its scheduling state.
type kindState struct {
	JobKind
	pass      float64     // virtual time of stride scheduling
	readyJobs []*jobState // jobs without a step in flight, in the order of compareJobs
	servedAt  float64     // time of the last grant, or of the end of the last idle period
	inFlight  int
}

// jobState is a job and its scheduling state.
type jobState struct {
	Job
	kind     *kindState
	inFlight bool
	seq      uint64
}

// Scheduler holds jobs and budgets. Its memory is proportional to the number of jobs.
type Scheduler struct {
	kinds    []*kindState
	buckets  map[Resource]*tokenBucket
	jobs     map[string]*jobState
	seq      uint64
	draining bool
	jitter   func() float64 // returns 0 to 1; spreads retries
}

// New returns a Scheduler of kinds and budgets. jitter returns numbers from 0 to 1. An error names the kind
// or resource and what is invalid.
func New(kinds []JobKind, budgets map[Resource]Budget, now float64, jitter func() float64) (*Scheduler, error) {
	s := &Scheduler{buckets: map[Resource]*tokenBucket{}, jobs: map[string]*jobState{}, jitter: jitter}
	for r, b := range budgets {
		if !(b.MaxRate > 0) || math.IsInf(b.MaxRate, 0) || !(b.MinRate >= 0 && b.MinRate <= b.MaxRate) || !(b.Burst > 0) || !(b.RecoverySeconds >= 0) {
			return nil, fmt.Errorf("budget of %s: %+v: the maximum rate and the burst must be above 0, the minimum rate at most the maximum rate", r, b)
		}
		if b.RecoverySeconds == 0 {
			b.RecoverySeconds = 10
		}
		s.buckets[r] = &tokenBucket{Budget: b, rate: b.MaxRate, level: b.Burst, updatedAt: now, halvedAt: math.Inf(-1)}
	}
	if len(kinds) > maxKinds {
		return nil, fmt.Errorf("%d kinds of jobs; the maximum is %d", len(kinds), maxKinds)
	}
	for _, k := range kinds {
		if err := s.validateKind(&k); err != nil {
			return nil, fmt.Errorf("kind %q: %w", k.Name, err)
		}
		s.kinds = append(s.kinds, &kindState{JobKind: k, servedAt: now})
	}
	return s, nil
}

// validateKind sets the defaults of a kind and returns an error if the kind is invalid.
func (s *Scheduler) validateKind(k *JobKind) error {
	if k.Weight == 0 {
		k.Weight = 1
	}
	if k.MaxWait == 0 {
		k.MaxWait = 60e3
	}
	if k.Name == "" || s.findKind(k.Name) != nil {
		return errors.New("the name must be set and unique")
	}
	if !(k.Weight > 0) || !(k.MaxWait > 0) || len(k.Cost) == 0 {
		return errors.New("the weight and the maximum wait must be above 0, and the cost of a step must be set")
	}
	for r, c := range k.Cost {
		if b := s.buckets[r]; b == nil || !(c > 0 && c <= b.Burst) {
			return fmt.Errorf("cost: %v of %s: must be above 0 and at most the burst of its budget", c, r)
		}
	}
	return nil
}

// findKind returns the kind of this name, or nil.
func (s *Scheduler) findKind(name string) *kindState {
	for _, k := range s.kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Add adds a new job, or one restored after a restart.
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
		return fmt.Errorf("%q: a cursor of %d bytes; the maximum is %d", j.ID, len(j.Cursor), maxCursorBytes)
	}
	s.seq++
	job := &jobState{Job: j, kind: k, seq: s.seq}
	s.jobs[j.ID] = job
	s.enqueue(now, job)
	return nil
}

// enqueue inserts a job into the queue of its kind.
func (s *Scheduler) enqueue(now float64, job *jobState) {
	k := job.kind
	if len(k.readyJobs) == 0 && k.inFlight == 0 { // an idle kind accumulates no claim on its share
		k.servedAt = now
		k.pass = max(k.pass, s.minPass(k))
	}
	at, _ := slices.BinarySearchFunc(k.readyJobs, job, compareJobs)
	k.readyJobs = slices.Insert(k.readyJobs, at, job)
}

// compareJobs orders the jobs of a kind by deadline, those without one last, then by age.
func compareJobs(a, b *jobState) int {
	deadlineOf := func(job *jobState) float64 {
		if job.Deadline == 0 {
			return math.Inf(1)
		}
		return job.Deadline
	}
	if c := cmp.Compare(deadlineOf(a), deadlineOf(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// minPass returns the lowest pass among the other kinds of the same priority that have work, or the kind's
// own pass if there is none.
func (s *Scheduler) minPass(kind *kindState) float64 {
	lowest := math.Inf(1)
	for _, k := range s.kinds {
		if k != kind && k.Priority == kind.Priority && (len(k.readyJobs) > 0 || k.inFlight > 0) {
			lowest = min(lowest, k.pass)
		}
	}
	if math.IsInf(lowest, 1) {
		return kind.pass
	}
	return lowest
}

// Cancel removes a job. If a step of it is in flight, Done for that step returns ErrNoStepInFlight and
// changes nothing.
func (s *Scheduler) Cancel(id string) {
	job := s.jobs[id]
	if job == nil {
		return
	}
	delete(s.jobs, id)
	if job.inFlight {
		job.kind.inFlight--
		return
	}
	job.kind.readyJobs = slices.DeleteFunc(job.kind.readyJobs, func(y *jobState) bool { return y == job })
}

// SetPressure reports the pressure on a resource.
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

// refill brings a bucket up to now. Under normal pressure its rate recovers linearly. Recovery starts from
// a small rate, so that a bucket whose rate is zero grants something again.
func (b *tokenBucket) refill(now float64) {
	ms := max(0, now-b.updatedAt)
	b.updatedAt = now
	if b.pressure == Normal && b.rate < b.MaxRate {
		oldRate := max(b.rate, minRecoveryFraction*b.MaxRate)
		b.rate = min(b.MaxRate, oldRate+b.MaxRate*ms/1000/b.RecoverySeconds)
		b.level += (oldRate + b.rate) / 2 * ms / 1000
	} else {
		b.level += b.rate * ms / 1000
	}
	b.level = min(b.level, b.Burst)
}

// SetDraining sets whether the router drains; while it does, only kinds with RunsDuringDrain get grants.
func (s *Scheduler) SetDraining(draining bool) { s.draining = draining }

// Grant permits one step of a job.
type Grant struct {
	Job
	Cost map[Resource]float64 // debited from the budgets; must not be modified
}

// Next grants the next step, or returns after how many ms to call it again; +Inf = not until a job is added
// or another method changes the state. The cost of a granted step is debited at once; Done corrects it.
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
		job, at := k.firstRunnable(now)
		if job == nil {
			wait = min(wait, at)
			continue
		}
		if shortage := s.shortageDelay(k); shortage > 0 {
			wait = min(wait, shortage)
			continue
		}
		if best == nil || s.runsBefore(now, k, best) {
			best, next = k, job
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

// firstRunnable returns the first job that may run now, or nil and the time in ms until one may.
func (k *kindState) firstRunnable(now float64) (*jobState, float64) {
	delay := math.Inf(1)
	for _, job := range k.readyJobs {
		if job.NotBefore <= now {
			return job, 0
		}
		delay = min(delay, job.NotBefore-now)
	}
	return nil, delay
}

// shortageDelay returns for how many ms, at least, some resource lacks the tokens for a step of a kind; 0 =
// all have enough. The delay is at most halvingIntervalMS, since a rate may change, even from zero.
func (s *Scheduler) shortageDelay(k *kindState) (delay float64) {
	for r, c := range k.Cost {
		b := s.buckets[r]
		if b.level+costTolerance >= c {
			continue
		}
		refillTime := halvingIntervalMS
		if b.rate > 0 {
			refillTime = max(1, min(halvingIntervalMS, (c-b.level)/b.rate*1000))
		}
		delay = max(delay, refillTime)
	}
	return delay
}

// runsBefore reports whether kind a is to run before kind b if both have a runnable job.
func (s *Scheduler) runsBefore(now float64, a, b *kindState) bool {
	aOverdue, bOverdue := now-a.servedAt-a.MaxWait, now-b.servedAt-b.MaxWait
	switch {
	case aOverdue > 0 || bOverdue > 0:
		return aOverdue > bOverdue
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	}
	return a.pass < b.pass
}

// StepResult is the outcome of a step.
type StepResult int

// The outcomes of a step.
const (
	StepDone    StepResult = iota // the step succeeded and the job has more steps
	JobFinished                   // the job is done
	StepFailed                    // the step is retried with exponential backoff
)

// Done reports the result of a granted step, the cost that it used (nil = the debited cost) and the
// progress of the job.
func (s *Scheduler) Done(now float64, id string, r StepResult, usedCost map[Resource]float64, cursor string) error {
	job := s.jobs[id]
	if job == nil || !job.inFlight {
		return fmt.Errorf("%q: %w", id, ErrNoStepInFlight)
	}
	if len(cursor) > maxCursorBytes {
		return fmt.Errorf("%q: a cursor of %d bytes; the maximum is %d", id, len(cursor), maxCursorBytes)
	}
	for resource, used := range usedCost {
		if b := s.buckets[resource]; b != nil && used >= 0 {
			b.level = min(b.Burst, b.level+job.kind.Cost[resource]-used)
		}
	}
	job.inFlight = false
	job.kind.inFlight--
	switch r {
	case JobFinished:
		delete(s.jobs, id)
		return nil
	case StepFailed:
		delay := min(maxRetryDelayMS, firstRetryDelayMS*math.Pow(2, float64(min(job.ConsecutiveFailures, 20))))
		job.ConsecutiveFailures++
		job.NotBefore = now + delay*(0.5+0.5*s.jitter())
	case StepDone:
		job.ConsecutiveFailures, job.NotBefore, job.Cursor = 0, 0, cursor
	}
	s.enqueue(now, job)
	return nil
}

// Jobs returns all jobs ordered by ID, so that the caller can store them for a restart.
func (s *Scheduler) Jobs() (all []Job) {
	for _, job := range s.jobs {
		all = append(all, job.Job)
	}
	slices.SortFunc(all, func(a, b Job) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
