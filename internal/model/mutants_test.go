package model

import (
	"slices"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// mutant is a module that is broken on purpose: its settings, what it is told, or what it has done is other than it should be.
type mutant struct {
	name   string
	rule   int
	cfg    func(*decide.Config)
	hear   func(decide.Entry) (decide.Entry, bool) // of a list; false = it is not told
	send   func(*router, *try, uint32)             // after a send
	refuse func(*router, *try, float64) bool       // in place of a refusal; false = as it is
	fail   func(*router, *try) bool                // in place of a failure
	day    func(*Config)
}

func (m *mutant) settings(c *decide.Config) {
	if m.cfg != nil {
		m.cfg(c)
	}
}

func (m *mutant) heard(of []decide.Entry) (out []decide.Entry) {
	if m.hear == nil {
		return of
	}
	for _, e := range of {
		if e, told := m.hear(e); told {
			out = append(out, e)
		}
	}
	return out
}

func (m *mutant) sent(r *router, q *try, to uint32) {
	if m.send != nil {
		m.send(r, q, to)
	}
}

func (m *mutant) refused(r *router, q *try, wait float64) bool {
	return m.refuse != nil && m.refuse(r, q, wait)
}

func (m *mutant) failed(r *router, q *try) bool { return m.fail != nil && m.fail(r, q) }

// resend sends a try again to another server.
func resend(r *router, q *try, not uint32) {
	for _, e := range r.list {
		if e.ID != not && e.Kind == "cache" {
			r.Send(q.id, e.ID, 0)
			return
		}
	}
}

func mayHaveRun(q *try) bool {
	return slices.ContainsFunc(q.tries, func(t *attempt) bool { return !t.over || !t.status.NeverRan() })
}

// mutants break each rule in several ways.
var mutants = []mutant{
	{name: "a poll is sent again", rule: 2, fail: func(r *router, q *try) bool {
		if q.req.class.Effect == decide.Once && mayHaveRun(q) && len(q.tries) < 2 && q.out == 0 {
			r.Send(q.id, uint32(len(r.w.servers)), 0)
		}
		return false
	}},
	{name: "a poll that may have run is refused", rule: 2, fail: func(r *router, q *try) bool {
		if q.req.class.Effect == decide.Once {
			r.finish(q, Refused, 0)
			return true
		}
		return false
	}},
	{name: "polls are taken for safe", rule: 2, cfg: func(c *decide.Config) {
		for i := range c.Classes {
			c.Classes[i].Effect = decide.Repeatable
		}
	}},
	{name: "keyed ones out of their group", rule: 2, cfg: func(c *decide.Config) {
		for i := range c.Classes {
			if c.Classes[i].Effect == decide.Keyed {
				c.Classes[i].Effect = decide.Repeatable
			}
		}
	}, day: func(c *Config) {
		for i := range c.Classes {
			if c.Classes[i].Effect == decide.Keyed {
				c.Classes[i].Scope, c.Classes[i].Window = "zone", 300
			}
		}
	}},
	{name: "two attempts at once", rule: 2, send: func(r *router, q *try, to uint32) {
		if q.out == 1 && len(q.tries) == 1 && q.req.no%50 == 0 && !q.req.class.Write {
			resend(r, q, to)
		}
	}},
	{name: "copies are allowed", rule: 2, cfg: func(c *decide.Config) { c.Copies = true }},
	{name: "six attempts and more", rule: 2, cfg: func(c *decide.Config) { c.MaxAttempts = 50 }, send: func(r *router, q *try, to uint32) {
		if q.req.no%200 == 0 && len(q.tries) < 7 { // a loop of resends
			for q.out > 0 && !q.over {
				t := q.tries[len(q.tries)-1]
				t.over = true
				q.out--
				r.w.note(Record{What: Ended, Request: q.req.no, Router: r.no, Server: t.s.no, Attempt: t.n, Status: decide.Canceled})
			}
			resend(r, q, to)
		}
	}},
	{name: "a drain is ignored", rule: 3, hear: func(e decide.Entry) (decide.Entry, bool) {
		if e.State == decide.Draining {
			e.State = decide.Ready
		}
		return e, true
	}},
	{name: "what is gone is not heard of", rule: 3, hear: func(e decide.Entry) (decide.Entry, bool) { return e, e.State != decide.Removed }},
	{name: "a cold server is taken for warm", rule: 4, hear: func(e decide.Entry) (decide.Entry, bool) { e.Started = 0; return e, true },
		cfg: func(c *decide.Config) { c.ColdFrom = 1 }, day: coldDay},
	{name: "the cold bound eight times what it is", rule: 4, cfg: func(c *decide.Config) { c.FallMult *= 8 }, day: coldDay},
	{name: "an answer is swallowed", rule: 1, refuse: func(_ *router, q *try, _ float64) bool { return q.req.no%7 == 0 }},
	{name: "two answers", rule: 1, refuse: func(r *router, q *try, wait float64) bool {
		r.finish(q, Refused, wait)
		r.finish(q, Failed, 0)
		return true
	}},
	{name: "an answer comes too late", rule: 1, refuse: func(r *router, q *try, _ float64) bool {
		r.w.after(q.until-r.w.now+grace+50, event{kind: evLate, q: q, life: r.life})
		return true
	}},
	{name: "sent after its answer", rule: 1, refuse: func(r *router, q *try, wait float64) bool {
		r.finish(q, Refused, wait)
		r.open[q.id] = q
		resend(r, q, 0)
		return true
	}},
}

// coldDay has a small fleet come back cold under a load that would push it over.
func coldDay(c *Config) {
	c.Servers, c.Load, c.Swing, c.ColdFrom, c.Cold = 4, 2.2, 0, 0.05, 20e3
	c.PerCore, c.OriginCores = 6000, 64
	c.Faults = []Fault{{Kind: Kill, At: 5e3, For: 6e3, Who: 1}, {Kind: Kill, At: 20e3, For: 6e3, Who: 2}, {Kind: Kill, At: 35e3, For: 6e3, Who: 0}}
}

// Each way of breaking a rule is found by the checker, within a few runs of hard days; what is not broken is found on none.
func TestMutants(t *testing.T) {
	const runs = 12
	for i := range mutants {
		m := &mutants[i]
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(runs) {
				c := hard(seed)
				if m.day != nil {
					m.day(&c)
				}
				sound := NewChecker(&c)
				play(t, c, sound)
				sound.End(1e9)
				for _, v := range sound.Violations() {
					t.Fatalf("the module as it is, seed %d: %v", seed, v)
				}
				c.broken = m
				check := NewChecker(&c)
				play(t, c, check)
				check.End(1e9)
				for _, v := range check.Violations() {
					if v.Rule == m.rule {
						t.Logf("found in run %d: %v", seed+1, v)
						return
					}
				}
			}
			t.Errorf("not found in %d runs", runs)
		})
	}
}
