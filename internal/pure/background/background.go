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
	CPU    Resource = "cpu"    // ms of processor time
	Origin Resource = "origin" // fetches
	Disk   Resource = "disk"   // bytes
	Syncs  Resource = "syncs"
	Socket Resource = "sockets"
)

// Server is the work at one cache server, in ms.
func Server(id uint32) Resource { return Resource(fmt.Sprint("server ", id)) }

// Pressure is how a resource stands with the service.
type Pressure int

// The pressures.
const (
	Calm Pressure = iota // there is room
	Busy                 // requests feel it, or soon will: yield by half each hundred ms
	Full                 // nothing is to be had: yield at once
)

// Budget is what background work may take of a resource.
type Budget struct {
	Most  float64 // units a second when the service is calm
	Least float64 // and when it is busy, however long; 0 = nothing
	Burst float64 // units that may be saved up; a step that costs more is none
	Back  float64 // seconds from nothing to Most; 0 = 10
}

// Kind is a kind of jobs.
type Kind struct {
	Name     string
	Priority int     // the higher one comes first
	Weight   float64 // its part within its priority; 0 = 1
	MaxWait  float64 // ms after which it comes ahead of any other that has not waited as long; 0 = a minute
	Drains   bool    // goes on while the router drains
	Cost     map[Resource]float64
}

// Job is a job of a kind: a number of short steps, each of the kind's cost. What it has done is its owner's to say, in Cursor, which is kept
// over restarts.
type Job struct {
	ID        string  `json:"id"`
	Kind      string  `json:"kind"`
	Cursor    string  `json:"cursor,omitempty"`
	Deadline  float64 `json:"deadline,omitempty"` // ms; 0 = none
	Tries     int     `json:"tries,omitempty"`    // steps in a row that failed
	NotBefore float64 `json:"not_before,omitempty"`
}

// Bounds.
const (
	maxJobs    = 100000
	maxKinds   = 64
	maxCursor  = 4096 // bytes
	firstRetry = 500.
	maxRetry   = 5 * 60e3
	yieldEvery = 100. // ms between two halvings: what was granted meanwhile has not been felt yet
	rounding   = 1e-9 // units by which a level may be short of a cost: it is a sum of many
	leastRate  = 1e-3 // part of Most from which a budget comes back
)

// Errors of calls.
var (
	ErrKind   = errors.New("there is no such kind of jobs")
	ErrExists = errors.New("there is a job of that id")
	ErrMany   = errors.New("there are too many jobs")
	ErrJob    = errors.New("no step of such a job is out")
)

// bucket is what a resource gives: a token bucket whose rate moves.
type bucket struct {
	Budget
	rate, level, at float64
	pressure        Pressure
	cutAt           float64
}

type kind struct {
	Kind
	pass   float64 // of stride scheduling
	ready  []*job  // that have no step out, earliest deadline first
	served float64 // when it last got a grant, or last had nothing to do
	out    int
}

type job struct {
	Job
	k   *kind
	out bool
	seq uint64
}

// Scheduler keeps jobs and budgets. Its memory is that of the jobs.
type Scheduler struct {
	kinds    []*kind
	buckets  map[Resource]*bucket
	jobs     map[string]*job
	seq      uint64
	draining bool
	jitter   func() float64 // 0 to 1, spreads retries
}

// New is a scheduler of kinds and budgets. jitter gives numbers from 0 to 1. An error names the kind and field.
func New(kinds []Kind, budgets map[Resource]Budget, now float64, jitter func() float64) (*Scheduler, error) {
	s := &Scheduler{buckets: map[Resource]*bucket{}, jobs: map[string]*job{}, jitter: jitter}
	for r, b := range budgets {
		if !(b.Most > 0) || math.IsInf(b.Most, 0) || !(b.Least >= 0 && b.Least <= b.Most) || !(b.Burst > 0) || !(b.Back >= 0) {
			return nil, fmt.Errorf("budget of %s: %+v: most above 0, least up to it, a burst above 0", r, b)
		}
		if b.Back == 0 {
			b.Back = 10
		}
		s.buckets[r] = &bucket{Budget: b, rate: b.Most, level: b.Burst, at: now, cutAt: math.Inf(-1)}
	}
	if len(kinds) > maxKinds {
		return nil, fmt.Errorf("%d kinds; %d at most", len(kinds), maxKinds)
	}
	for _, k := range kinds {
		if err := s.check(&k); err != nil {
			return nil, fmt.Errorf("kind %q: %w", k.Name, err)
		}
		s.kinds = append(s.kinds, &kind{Kind: k, served: now})
	}
	return s, nil
}

func (s *Scheduler) check(k *Kind) error {
	if k.Weight == 0 {
		k.Weight = 1
	}
	if k.MaxWait == 0 {
		k.MaxWait = 60e3
	}
	if k.Name == "" || s.kind(k.Name) != nil {
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

func (s *Scheduler) kind(name string) *kind {
	for _, k := range s.kinds {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// Add adds a job, also one that was there before a restart.
func (s *Scheduler) Add(now float64, j Job) error {
	k := s.kind(j.Kind)
	switch {
	case k == nil:
		return fmt.Errorf("%q: %w", j.Kind, ErrKind)
	case s.jobs[j.ID] != nil || j.ID == "":
		return fmt.Errorf("%q: %w", j.ID, ErrExists)
	case len(s.jobs) >= maxJobs:
		return ErrMany
	case len(j.Cursor) > maxCursor:
		return fmt.Errorf("%q: a cursor of %d bytes; %d at most", j.ID, len(j.Cursor), maxCursor)
	}
	s.seq++
	x := &job{Job: j, k: k, seq: s.seq}
	s.jobs[j.ID] = x
	s.ready(now, x)
	return nil
}

// ready puts a job among those of its kind that wait.
func (s *Scheduler) ready(now float64, x *job) {
	k := x.k
	if len(k.ready) == 0 && k.out == 0 { // it comes back with what others of its priority have had since, no more
		k.served = now
		k.pass = max(k.pass, s.least(k))
	}
	at, _ := slices.BinarySearchFunc(k.ready, x, order)
	k.ready = slices.Insert(k.ready, at, x)
}

// order is that of jobs of a kind: the earliest deadline, none at all last, then the oldest.
func order(a, b *job) int {
	dead := func(x *job) float64 {
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

// least is the least pass of the kinds of a priority that have work.
func (s *Scheduler) least(of *kind) float64 {
	out := math.Inf(1)
	for _, k := range s.kinds {
		if k != of && k.Priority == of.Priority && (len(k.ready) > 0 || k.out > 0) {
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
	if x.out {
		x.k.out--
		return
	}
	x.k.ready = slices.DeleteFunc(x.k.ready, func(y *job) bool { return y == x })
}

// Press tells how a resource stands with the service.
func (s *Scheduler) Press(now float64, r Resource, p Pressure) {
	b := s.buckets[r]
	if b == nil {
		return
	}
	b.fill(now)
	switch b.pressure = p; {
	case p == Full:
		b.rate, b.level = b.Least, min(b.level, 0)
	case p == Busy && now-b.cutAt >= yieldEvery:
		b.cutAt, b.rate = now, max(b.Least, b.rate/2)
		b.level = min(b.level, b.Burst/2)
	}
}

// fill brings a bucket up to now. While the service is calm its rate comes back evenly; it starts from a little, or it never would.
func (b *bucket) fill(now float64) {
	ms := max(0, now-b.at)
	b.at = now
	if b.pressure == Calm && b.rate < b.Most {
		was := max(b.rate, leastRate*b.Most)
		b.rate = min(b.Most, was+b.Most*ms/1000/b.Back)
		b.level += (was + b.rate) / 2 * ms / 1000
	} else {
		b.level += b.rate * ms / 1000
	}
	b.level = min(b.level, b.Burst)
}

// Drain says that the router drains: only kinds that go on then get grants.
func (s *Scheduler) Drain(on bool) { s.draining = on }

// Grant is leave for one step of a job.
type Grant struct {
	Job
	Cost map[Resource]float64 // booked; it must not be changed
}

// Next gives leave for the next step, or says after how many ms to ask again; +Inf = when something is added or told. What was granted is
// booked until Done.
func (s *Scheduler) Next(now float64) (g Grant, wait float64, ok bool) {
	for _, b := range s.buckets {
		b.fill(now)
	}
	wait = math.Inf(1)
	var best *kind
	var next *job
	for _, k := range s.kinds {
		if s.draining && !k.Drains {
			continue
		}
		x, at := k.first(now)
		if x == nil {
			wait = min(wait, at)
			continue
		}
		if short := s.short(k); short > 0 {
			wait = min(wait, short)
			continue
		}
		if best == nil || s.ahead(now, k, best) {
			best, next = k, x
		}
	}
	if best == nil {
		return Grant{}, wait, false
	}
	for r, c := range best.Cost {
		s.buckets[r].level -= c
	}
	best.ready = slices.DeleteFunc(best.ready, func(y *job) bool { return y == next })
	best.pass += 1 / best.Weight
	best.served, next.out = now, true
	best.out++
	return Grant{next.Job, best.Cost}, 0, true
}

// first is the first job of a kind that may run by now, or in how many ms one may.
func (k *kind) first(now float64) (*job, float64) {
	soon := math.Inf(1)
	for _, x := range k.ready {
		if x.NotBefore <= now {
			return x, 0
		}
		soon = min(soon, x.NotBefore-now)
	}
	return nil, soon
}

// short is for how many ms, at least, a resource has too little for a step of a kind; 0 = all have enough. What has nothing to give now is
// looked at again soon.
func (s *Scheduler) short(k *kind) (ms float64) {
	for r, c := range k.Cost {
		b := s.buckets[r]
		if b.level+rounding >= c {
			continue
		}
		need := yieldEvery
		if b.rate > 0 {
			need = max(1, min(yieldEvery, (c-b.level)/b.rate*1000))
		}
		ms = max(ms, need)
	}
	return ms
}

// ahead says whether a kind comes ahead of another that could run too.
func (s *Scheduler) ahead(now float64, a, b *kind) bool {
	aw, bw := now-a.served-a.MaxWait, now-b.served-b.MaxWait
	switch {
	case aw > 0 || bw > 0:
		return aw > bw
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	}
	return a.pass < b.pass
}

// Result is how a step ended.
type Result int

// The results.
const (
	More   Result = iota // there is more to do
	Over                 // the job is done
	Failed               // the step is to be tried again, later each time
)

// Done tells how a granted step ended, what it took instead of what was booked, nil = that, and how far the job is.
func (s *Scheduler) Done(now float64, id string, r Result, took map[Resource]float64, cursor string) error {
	x := s.jobs[id]
	if x == nil || !x.out {
		return fmt.Errorf("%q: %w", id, ErrJob)
	}
	if len(cursor) > maxCursor {
		return fmt.Errorf("%q: a cursor of %d bytes; %d at most", id, len(cursor), maxCursor)
	}
	for at, used := range took {
		if b := s.buckets[at]; b != nil && used >= 0 {
			b.level = min(b.Burst, b.level+x.k.Cost[at]-used)
		}
	}
	x.out = false
	x.k.out--
	switch r {
	case Over:
		delete(s.jobs, id)
		return nil
	case Failed:
		pause := min(maxRetry, firstRetry*math.Pow(2, float64(min(x.Tries, 20))))
		x.Tries++
		x.NotBefore = now + pause*(0.5+0.5*s.jitter())
	case More:
		x.Tries, x.NotBefore, x.Cursor = 0, 0, cursor
	}
	s.ready(now, x)
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
