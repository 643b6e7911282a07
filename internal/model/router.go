package model

import (
	"slices"

	"mossproxy.example/mossproxy/decide"
)

// router runs the module as the engine does: one final answer for each try, attempts numbered in their order, what a Host method causes
// comes after the module's call. It is the module's Host.
type router struct {
	w     *World
	no    int
	zone  int
	life  uint32
	up    bool
	known bool // the front layer takes it to be up
	b     *decide.Balancer
	open  map[uint32]*try
	last  uint32
	list  []decide.Entry     // the last whole list
	told  map[uint32]float64 // when it was told that a server drains or is gone

	ahead, pace float64 // of its clock, see time
}

// time is the time by the router's own clock, on which its module lives.
func (r *router) time() float64 { return r.w.now + r.ahead + (r.w.now-epoch)*r.pace }

// try is a client's try at a router, from its arrival until it is answered and its attempts are back.
type try struct {
	req    *request
	r      *router
	life   uint32
	id     uint32
	until  float64
	over   bool // has its final answer, or its client has left
	tries  []*attempt
	out    int
	missed *server // where the key was missing last
	result Result
	wait   float64
}

// attempt is one attempt of a try.
type attempt struct {
	q       *try
	r       *router
	s       *server
	life    uint32 // of the router
	n       int
	at      float64
	over    bool // has its outcome
	opened  bool // its connection has come up
	waits   bool // in the server's queue
	runs    bool
	dropped bool
	status  decide.Status
	note    int
	load    decide.Load
}

// start starts a router's process with a list that it remembers.
func (r *router) start() error {
	r.life++
	r.up, r.open = true, map[uint32]*try{}
	r.told = map[uint32]float64{}
	var err error
	if r.b, err = decide.New(r.w.cfg.module(r.no), r.w.rng.Uint64(), r); err != nil {
		return err
	}
	r.b.Servers(r.time(), decide.Restored, r.heard(r.list))
	return nil
}

// end ends it: what it has taken is lost with it, as with any process that dies.
func (r *router) end() {
	r.up = false
	r.w.note(Record{What: Down, Router: r.no, Server: -1})
	for _, q := range r.open {
		q.over = true
		for _, t := range q.tries {
			if !t.over {
				t.over = true
				t.s.give(t)
			}
		}
	}
	r.open = nil
}

// take takes a try that has come.
func (r *router) take(q *try) {
	w := r.w
	for r.last++; r.open[r.last] != nil; r.last++ {
	}
	q.id, q.life = r.last, r.life
	r.open[q.id] = q
	k := q.req.class
	w.note(Record{What: Taken, Request: q.req.no, Router: r.no, Server: -1, Until: q.until - epoch})
	w.at(q.until+grace, event{kind: evLeft, q: q, life: r.life})
	r.b.Request(r.time(), decide.Request{ID: q.id, Class: k.Name, Tenant: q.req.tenant, Key: q.req.key, HasKey: true, Left: q.until - w.now,
		Hint: q.req.hint, Write: k.Write})
}

// grace is how long after a client's wait the router's own time-out comes, as in the engine, in ms.
const grace = 15

// finish gives a try its final answer.
func (r *router) finish(q *try, result Result, wait float64) {
	w := r.w
	w.note(Record{What: Answered, Request: q.req.no, Router: r.no, Server: -1, Result: result})
	if q.over {
		return
	}
	q.over, q.result, q.wait = true, result, wait
	r.forget(q)
	w.after(w.way(q.req.zone, r.zone), event{kind: evAnswer, q: q})
}

func (r *router) forget(q *try) {
	if q.over && q.out == 0 && r.open[q.id] == q {
		delete(r.open, q.id)
	}
}

// outcome ends an attempt at the router.
func (r *router) outcome(t *attempt, st decide.Status, note int) {
	if t.over || t.life != r.life || !r.up {
		return
	}
	w, q := r.w, t.q
	t.over = true
	q.out--
	w.note(Record{What: Ended, Request: q.req.no, Router: r.no, Server: t.s.no, Attempt: t.n, Status: st})
	switch st {
	case decide.OK:
		r.finish(q, Served, 0)
	case decide.Miss:
		q.missed = t.s
	case decide.TimedOut, decide.Canceled:
		t.s.give(t)
	}
	r.forget(q)
	r.b.Outcome(r.time(), decide.Outcome{ID: q.id, Attempt: t.n, Server: t.s.id, Status: st, Latency: w.now - t.at, Final: q.over, CacheResult: note, Load: t.load})
}

// leave ends a try that its client waits for no longer. That the module owes an answer by then breaks a rule.
func (r *router) leave(q *try) {
	if q.over || !r.up {
		return
	}
	q.over = true
	r.b.ClientGone(r.time(), q.id)
	r.forget(q)
}

// news takes a list.
func (r *router) news(n *news) {
	for _, e := range n.entries {
		if e.State != decide.Ready && r.told[e.ID] == 0 {
			r.told[e.ID] = r.w.now
			r.w.note(Record{What: Told, Router: r.no, Server: int(e.ID) - 1})
		} else if e.State == decide.Ready {
			delete(r.told, e.ID)
			r.w.note(Record{What: Listed, Router: r.no, Server: int(e.ID) - 1})
		}
		if i := slices.IndexFunc(r.list, func(x decide.Entry) bool { return x.ID == e.ID }); i >= 0 {
			r.list[i] = e
		} else {
			r.list = append(r.list, e)
		}
	}
	r.b.Servers(r.time(), decide.Changes, r.heard(n.entries))
}

// heard is what the module is told of a list.
func (r *router) heard(of []decide.Entry) []decide.Entry {
	if r.w.cfg.broken != nil {
		return r.w.cfg.broken.heard(of)
	}
	return of
}

// knows says whether it has been told of the start of the process that a server runs.
func (r *router) knows(s *server) bool { return r.list[s.no].Started == s.started }

// Send is decide.Host's.
func (r *router) Send(id, to uint32, timeout float64) {
	q := r.open[id]
	if q == nil {
		return
	}
	w := r.w
	s := w.byID(to)
	t := &attempt{q: q, r: r, s: s, life: r.life, n: len(q.tries), at: w.now, load: decide.NoLoad}
	q.tries = append(q.tries, t)
	q.out++
	w.note(Record{What: Sent, Request: q.req.no, Router: r.no, Server: s.no, Attempt: t.n})
	left := q.until - w.now
	if timeout != 0 {
		left = min(left, timeout)
	}
	if q.over || left <= 0 || t.n >= maxAttempts {
		w.after(0, event{kind: evBack, t: t, life: r.life, token: uint64(decide.Ignored)})
		return
	}
	w.after(left, event{kind: evDue, t: t, life: r.life})
	if !w.lost(r.zone, s.zone) {
		w.after(w.way(r.zone, s.zone), event{kind: evReach, t: t})
	}
	if w.cfg.broken != nil {
		w.cfg.broken.sent(r, q, to)
	}
}

const maxAttempts = 5

// Cancel is decide.Host's.
func (r *router) Cancel(id uint32, n int) {
	q := r.open[id]
	if q == nil || n < 0 || n >= len(q.tries) || q.tries[n].over {
		return
	}
	r.w.after(0, event{kind: evBack, t: q.tries[n], life: r.life, token: uint64(decide.Canceled)})
}

// Refuse is decide.Host's.
func (r *router) Refuse(id uint32, wait float64) {
	q := r.open[id]
	if q == nil || r.w.cfg.broken != nil && r.w.cfg.broken.refused(r, q, wait) {
		return
	}
	r.finish(q, Refused, wait)
}

// Fail is decide.Host's.
func (r *router) Fail(id uint32) {
	q := r.open[id]
	if q == nil || r.w.cfg.broken != nil && r.w.cfg.broken.failed(r, q) {
		return
	}
	r.finish(q, Failed, 0)
}

// Probe is decide.Host's.
func (r *router) Probe(to uint32) {
	s := r.w.byID(to)
	r.w.after(r.w.way(r.zone, s.zone), event{kind: evProbe, a: int32(r.no), b: int32(s.no), life: r.life})
}

// Timer is decide.Host's.
func (r *router) Timer(after float64, token uint64) {
	r.w.after(after/(1+r.pace), event{kind: evTimer, a: int32(r.no), token: token, life: r.life})
}

// Close, Watch, Tell and Log are decide.Host's. Connections cost nothing in the model, lists are pushed, and there is nobody to tell.
func (r *router) Close(uint32) {}

// Watch is Close's brother.
func (r *router) WatchList() {}

// Tell is Close's brother.
func (r *router) Broadcast([]byte) {}

// Log is Close's brother.
func (r *router) Log(string) {}
