package model

import (
	"fmt"

	"mossproxy.example/mossproxy/decide"
)

// Violation is a rule that was broken, and the event that broke it.
type Violation struct {
	Rule  int // 1 to 4, as the brief counts them
	What  string
	Event Record
	Index int // of the event in the history
}

// String says it in a line.
func (v Violation) String() string {
	e := v.Event
	return fmt.Sprintf("rule %d at %.1f ms, event %d: %s (%v request %d, router %d, server %d, attempt %d)", v.Rule, e.At, v.Index, v.What, e.What, e.Request, e.Router, e.Server, e.Attempt)
}

// Checker states the four rules over a history, as it sees it. It knows nothing of the model but its records. Its memory is that of the
// requests of the last seconds.
type Checker struct {
	classes []Class
	group   func(server int, scope string) string // who drops repeats together
	grace   float64
	most    int

	n     int
	found []Violation
	reqs  map[int]*seen
	order []int // of requests, to forget the oldest
	told  map[[2]int]float64
	near  float64
	what  string // came near
}

// seen is what is known of a request.
type seen struct {
	class  *Class
	at     float64
	visits map[int]*visit // by router, the last one
	runs   []ran
}

type ran struct {
	at     float64
	server int
}

// visit is a try at a router.
type visit struct {
	until    float64
	answers  int
	attempts []tried
	out      int
}

type tried struct {
	server int
	at     float64
	over   bool
	status decide.Status
}

// maxFound bounds the violations that are kept, and keepFor is how long a request is remembered, in ms: longer than any deadline and window.
const (
	maxFound = 100
	keepFor  = 30e3
)

// late is how long after its client's wait an answer may be noted, in ms: the router's own time-out comes then.
const late = grace + 1

// NewChecker checks histories of a configuration.
func NewChecker(c *Config) *Checker {
	zones := len(c.Zones)
	return &Checker{classes: c.Classes, grace: c.DrainGrace, most: maxAttempts, reqs: map[int]*seen{}, told: map[[2]int]float64{},
		group: func(server int, scope string) string {
			if scope == "all" {
				return ""
			}
			return c.Zones[server%zones]
		}}
}

// Near is how near the history came to a bound, as a part of it: the budget of a cold server or of the origin, and
// the time after the news of a drain. Attempts are whole numbers, of which all but the last would hide these.
func (c *Checker) Near() (part float64, what string) { return c.near, c.what }

func (c *Checker) neared(part float64, what string) {
	if part > c.near {
		c.near, c.what = part, what
	}
}

// Violations are those found so far, the first ones where there are many.
func (c *Checker) Violations() []Violation { return c.found }

func (c *Checker) bad(rule int, r Record, format string, args ...any) {
	if len(c.found) < maxFound {
		c.found = append(c.found, Violation{rule, fmt.Sprintf(format, args...), r, c.n})
	}
}

// See is Observer's.
func (c *Checker) See(r Record) {
	c.n++
	switch r.What {
	case Asked:
		c.reqs[r.Request] = &seen{class: &c.classes[r.Class], at: r.At, visits: map[int]*visit{}}
		c.order = append(c.order, r.Request)
		c.forget(r.At)
	case Told:
		c.told[[2]int{r.Router, r.Server}] = r.At
	case Listed:
		delete(c.told, [2]int{r.Router, r.Server})
	case Down: // what it had taken is lost with it
		for _, q := range c.reqs {
			delete(q.visits, r.Router)
		}
	case Neared:
		if r.Cold {
			c.neared(r.Spent, "the budget of a cold server")
		} else {
			c.neared(r.Spent, "what cold servers lacked, of the origin's budget")
		}
	case Fell:
		if r.Blame {
			c.bad(4, r, "a cold server was pushed over")
		}
	case Stopped:
		if r.Blame {
			c.bad(4, r, "misses at cold servers made much of what stopped the origin")
		}
	case Taken, Sent, Ran, Ended, Answered:
		if q := c.reqs[r.Request]; q != nil {
			c.request(q, r)
		}
	}
}

// request checks an event of a request.
func (c *Checker) request(q *seen, r Record) {
	if r.What == Ran {
		c.ran(q, r)
		return
	}
	v := q.visits[r.Router]
	if r.What == Taken {
		q.visits[r.Router] = &visit{until: r.Until}
		return
	}
	if v == nil {
		c.bad(1, r, "of a request that was not taken there")
		return
	}
	switch r.What {
	case Sent:
		c.sent(q, v, r)
	case Ended:
		if r.Attempt < len(v.attempts) && !v.attempts[r.Attempt].over {
			t := &v.attempts[r.Attempt]
			t.over, t.status = true, r.Status
			v.out--
		} else {
			c.bad(1, r, "an attempt that was not out ended")
		}
	case Answered:
		c.answered(q, v, r)
	}
}

func (c *Checker) sent(q *seen, v *visit, r Record) {
	if v.out > 0 {
		c.bad(2, r, "two attempts are out at once")
	}
	if len(v.attempts) >= c.most {
		c.bad(2, r, "over %d attempts", c.most)
	}
	if v.answers > 0 {
		c.bad(1, r, "sent after the final answer")
	}
	at, told := c.told[[2]int{r.Router, r.Server}]
	if told {
		c.neared((r.At-at)/c.grace, "the time after the news of a drain")
	}
	if told && r.At > at+c.grace {
		c.bad(3, r, "sent %.0f ms after the news that it drains or is gone", r.At-at)
	}
	for _, t := range v.attempts {
		if !t.over || t.status.NeverRan() || q.class.Effect == decide.Repeatable {
			continue
		}
		if q.class.Effect == decide.Once {
			c.bad(2, r, "an unsafe request is sent again though an attempt may have run")
		} else if same := c.group(t.server, q.class.Scope) == c.group(r.Server, q.class.Scope); !same || r.At >= t.at+q.class.Window {
			c.bad(2, r, "a keyed request is sent again out of its group or its time")
		}
	}
	v.attempts = append(v.attempts, tried{server: r.Server, at: r.At})
	v.out++
}

// ran checks an effect against those before it.
func (c *Checker) ran(q *seen, r Record) {
	for _, x := range q.runs {
		if q.class.Effect == decide.Once {
			c.bad(2, r, "an unsafe request runs twice, first %.0f ms ago", r.At-x.at)
			break
		}
	}
	q.runs = append(q.runs, ran{r.At, r.Server})
}

func (c *Checker) answered(q *seen, v *visit, r Record) {
	if v.answers++; v.answers > 1 {
		c.bad(1, r, "a second final answer")
	}
	if r.At > v.until+late {
		c.bad(1, r, "answered %.1f ms after its client has left", r.At-v.until)
	}
	if r.Result != Refused || q.class.Effect == decide.Repeatable || q.class.Effect == decide.Keyed && q.class.Scope == "all" {
		return
	}
	for _, t := range v.attempts {
		if !t.over || !t.status.NeverRan() {
			c.bad(2, r, "refused though an attempt may have run: a refusal says that a retry is harmless")
			return
		}
	}
}

// forget drops requests that nothing can happen to any more; those that a running router owes an answer are found then.
func (c *Checker) forget(now float64) {
	for len(c.order) > 0 {
		q := c.reqs[c.order[0]]
		if now-q.at < keepFor {
			return
		}
		c.owed(q, c.order[0], now)
		delete(c.reqs, c.order[0])
		c.order = c.order[1:]
	}
}

func (c *Checker) owed(q *seen, no int, now float64) {
	for r, v := range q.visits {
		if v.answers == 0 && v.until < now {
			c.bad(1, Record{At: now, What: Answered, Request: no, Router: r, Server: -1}, "no final answer to what a running router has taken")
		}
	}
}

// End ends a history: what is owed by now is found.
func (c *Checker) End(now float64) {
	for _, no := range c.order {
		c.owed(c.reqs[no], no, now)
	}
}
