package soak

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Invariant is a rule that holds in every play.
type Invariant string

// The invariants. Sources: the protocol page and the standing test.
const (
	Deadline   Invariant = "deadline"   // no server is passed more time than the client has left
	Answer     Invariant = "answer"     // one final answer, in time, of a value made for the request
	Abandoned  Invariant = "abandoned"  // no attempt begins after the client has gone
	Overlap    Invariant = "overlap"    // one attempt out at a time
	Repeat     Invariant = "repeat"     // no effect twice
	Promise    Invariant = "promise"    // a refusal says that a retry is harmless
	MaxAttempt Invariant = "attempts"   // five attempts at most
	Drain      Invariant = "drain"      // nothing new to a draining server
	SlowStart  Invariant = "slow-start" // no server that has just started gets more than it is allowed, by all routers together
	Process    Invariant = "process"    // no crash, no start that fails, an end in time
	SelfCheck  Invariant = "self-check" // the router's own guard has found nothing
	CutOff     Invariant = "cut-off"    // no sound answer is cut off that can be whole in the client's time
	Empty      Invariant = "empty"      // a router out of service holds no connection that is idle or has a recent request
)

// Bounds of the invariants.
const (
	deadlineSlack  = 150 * time.Millisecond // what a server is passed may exceed what is left by this
	abandonedSlack = 100 * time.Millisecond // after the client's close an attempt may begin for this long
	answerSlack    = 500 * time.Millisecond // an answer later than this after the deadline is lost
	drainGrace     = 500 * time.Millisecond // for which a draining server may get something new
	timeLimitSlack = 50 * time.Millisecond  // by which each time limit of the rules is longer on sockets
	maxAttempts    = 5
	unreadFor      = 500 * time.Millisecond // for which a request may lie unread on a connection that is then closed: it crossed the close
	maxCountedOut  = 0.05                   // share of the checks of a time that may be counted apart as the harness itself was late
)

// Violation is a broken invariant.
type Violation struct {
	Rule    Invariant
	Request string // its id, or the router
	What    string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s: %s", v.Rule, v.Request, v.What) }

// Report is what the check of a play has found.
type Report struct {
	Traces                                       []string // of the requests with a violation, where the routers log at debug level
	Requests, Served, Refused, Failed, Abandoned int
	Attempts, Retries                            int
	Checked                                      map[Invariant]int // how often an invariant was exercised
	CountedOut                                   int               // checks of a time at which the harness was late
	Violations                                   []Violation
}

// checker checks one play.
type checker struct {
	l *Ledger
	r Report
}

// Check checks all that the ledger holds, once the play is over.
func (l *Ledger) Check(s settings) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &checker{l: l, r: Report{Checked: map[Invariant]int{}, Violations: slices.Clone(l.draining)}}
	c.r.Checked[Drain] = l.drained
	for _, r := range l.order {
		c.request(r)
	}
	c.slowStarts(s)
	if total := c.r.Checked[Deadline] + c.r.Checked[Abandoned]; total > 0 && float64(c.r.CountedOut) > maxCountedOut*float64(total) {
		c.broken(Process, "harness", fmt.Sprintf("too late itself for %d of %d checks: this play tells nothing", c.r.CountedOut, total))
	}
	return c.r
}

func (c *checker) broken(rule Invariant, id, what string) {
	c.r.Violations = append(c.r.Violations, Violation{rule, id, what})
}

// within checks a time against its bound. A check that only the harness's own lateness breaks is counted apart.
func (c *checker) within(rule Invariant, id string, over, bound time.Duration, at time.Time, what string) {
	c.r.Checked[rule]++
	if over <= bound {
		return
	}
	if over <= bound+c.l.lateness.around(at) {
		c.r.CountedOut++
		return
	}
	c.broken(rule, id, what)
}

func (c *checker) request(r *Request) {
	// Servers book what they have read some time after that, in any order.
	slices.SortStableFunc(r.Attempts, func(a, b *Attempt) int { return a.Read.Compare(b.Read) })
	c.r.Requests++
	c.r.Attempts += len(r.Attempts)
	c.r.Retries += max(0, len(r.Attempts)-1)
	c.answer(r)
	c.cut(r)
	if len(r.Attempts) > maxAttempts {
		c.broken(MaxAttempt, r.ID, fmt.Sprintf("%d attempts", len(r.Attempts)))
	}
	for i, a := range r.Attempts {
		left := r.Sent.Add(r.Wait).Sub(a.Read)
		c.within(Deadline, r.ID, a.PassedDeadline-left, deadlineSlack, a.Read,
			fmt.Sprintf("attempt %d at %s was passed %v, %v were left of %v", i, a.Server, a.PassedDeadline, left.Round(time.Millisecond), r.Wait))
		if !r.Left.IsZero() {
			late := a.Read.Sub(r.Left)
			c.within(Abandoned, r.ID, late, abandonedSlack+timeLimitSlack, a.Read,
				fmt.Sprintf("attempt %d at %s began %v after the client had closed", i, a.Server, late))
		}
		if i > 0 {
			c.repeated(r, i)
		}
	}
}

// repeated checks an attempt against those before it.
func (c *checker) repeated(r *Request, i int) {
	a := r.Attempts[i]
	for j, before := range r.Attempts[:i] {
		c.r.Checked[Overlap]++
		// The router had ended the attempt when it was read here, so it may have begun ahead of the other one.
		unordered := a.ReadGone && a.Read.Sub(before.Read) <= overlapSlack
		if !unordered && before.inProgressAt(a.Read, overlapSlack+c.l.lateness.around(a.Read)) {
			c.broken(Overlap, r.ID, fmt.Sprintf("attempt %d at %s began %v after attempt %d at %s, which ended %v after its begin; closed when they were read: %v, %v", i, a.Server, a.Read.Sub(before.Read), j,
				before.Server, before.Ended.Sub(before.Read), a.ReadGone, before.ReadGone))
		}
		if r.Class.Effect == Repeatable || !before.Ran {
			continue
		}
		c.r.Checked[Repeat]++
		since := a.Read.Sub(before.Read)
		if r.Class.Effect == Once || since > r.Class.Window+timeLimitSlack {
			c.broken(Repeat, r.ID, fmt.Sprintf("%s: attempt %d at %s began %v after attempt %d at %s, which may have run", r.Class.Name, i, a.Server, since, j, before.Server))
		}
	}
}

// inProgressAt says whether a server still worked on an attempt at a time, and its connection was open. An end by an answer is recorded ahead of the
// answer, so that the router can't know earlier. The end of a connection that the router has closed may be seen up to slack later.
func (a *Attempt) inProgressAt(at time.Time, slack time.Duration) bool {
	switch {
	case a.Ended.IsZero():
		return true
	case a.Gone || a.Ended.Equal(a.Closed):
		return a.Ended.After(at.Add(slack))
	}
	return a.Ended.After(at)
}

// overlapSlack is how long this process may take to see the end of a connection that the router has closed.
const overlapSlack = 30 * time.Millisecond

// answer checks what the client got.
func (c *checker) answer(r *Request) {
	switch r.Outcome {
	case Served:
		c.r.Served++
	case Refused:
		c.r.Refused++
		c.promise(r)
	case Failed:
		c.r.Failed++
	}
	if r.Foreign != "" {
		c.broken(Answer, r.ID, "got what was made for another request: "+r.Foreign)
	}
	if r.Answers > 1 {
		c.broken(Answer, r.ID, fmt.Sprintf("%d answers", r.Answers))
	}
	if !r.Left.IsZero() {
		c.r.Abandoned++
		return
	}
	if r.Resends > 0 {
		c.within(Answer, r.ID, r.Waited, unreadFor, r.Sent, fmt.Sprintf("lay unread for %v before its connection was closed (%s)", r.Waited, r.Closed))
	}
	if r.Outcome == None {
		if !r.Excused {
			c.r.Checked[Answer]++
			c.broken(Answer, r.ID, fmt.Sprintf("%s at router %d: no answer (%s), %d attempts", r.Class.Name, r.Router, r.Closed, len(r.Attempts)))
		}
		return
	}
	took := r.Answered.Sub(r.Sent)
	due := r.Sent.Add(r.Wait)
	if r.Behind.After(due) {
		due = r.Behind
	}
	c.within(Answer, r.ID, r.Answered.Sub(due), answerSlack, r.Answered, fmt.Sprintf("answered after %v of %v", took, r.Wait))
}

// slowStarts checks what servers got in each span of their slow start that begins after routers were notified of it.
func (c *checker) slowStarts(s settings) {
	for _, start := range c.l.starts {
		came := c.l.arrivals(start.server, start.notified, start.at.Add(s.ColdPhase))
		for i, from := range came {
			n := 0
			for _, at := range came[i:] {
				if at.Before(from.Add(s.FallFor)) {
					n++
				}
			}
			c.r.Checked[SlowStart]++
			if most := s.allowed(from.Add(s.FallFor).Sub(start.at)); float64(n) > most {
				c.broken(SlowStart, start.server, fmt.Sprintf("%d requests in %v, %v after its start; %.0f are allowed", n, s.FallFor, from.Sub(start.at), most))
				break
			}
		}
	}
}

// arrivals are when a server got attempts between two times, in order.
func (l *Ledger) arrivals(server string, from, until time.Time) (came []time.Time) {
	for _, r := range l.order {
		for _, a := range r.Attempts {
			if a.Server == server && a.Read.After(from) && a.Read.Before(until) {
				came = append(came, a.Read)
			}
		}
	}
	slices.SortFunc(came, time.Time.Compare)
	return came
}

// allowed is how many requests a server may get in the span that ends at an age.
func (s settings) allowed(age time.Duration) float64 {
	n := s.FallFactor * capacity * s.slow().warmth(age) * s.FallFor.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// promise checks that a refused request has not run, or may run again.
func (c *checker) promise(r *Request) {
	if r.Class.Effect != Once {
		return
	}
	c.r.Checked[Promise]++
	for i, a := range r.Attempts {
		if a.Ran {
			c.broken(Promise, r.ID, fmt.Sprintf("refused, but attempt %d at %s has run", i, a.Server))
		}
	}
}

// ByRule counts violations.
func (r Report) ByRule() map[Invariant]int {
	n := map[Invariant]int{}
	for _, v := range r.Violations {
		n[v.Rule]++
	}
	return n
}

// Exercised lists how often each invariant was checked.
func (r Report) Exercised() string {
	text := ""
	for _, rule := range slices.Sorted(maps.Keys(r.Checked)) {
		text += fmt.Sprintf(" %s %d", rule, r.Checked[rule])
	}
	return text
}
