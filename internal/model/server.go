package model

import (
	"math"

	"mossproxy.example/mossproxy/decide"
)

// mode is what a server does with what comes.
type mode uint8

const (
	serves mode = iota
	dead        // refuses connections
	silent      // says nothing, not even that
	hangs       // takes requests and answers none
)

// server is a cache server, or the origin.
type server struct {
	w        *World
	no       int
	id       uint32
	zone     int
	cores    int
	speed    float64
	slow     float64 // what its speed is multiplied by
	mode     mode
	life     uint32 // number of its process
	started  float64
	fallen   bool
	draining bool
	origin   bool

	busy  int
	queue []*attempt // in the order in which they came; given-up ones are passed over
	head  int

	keys  map[uint64]int32 // of what it keeps, the place in ring
	ring  []uint64         // the keys in the order in which they were stored; 0 = none
	write int              // next place in it

	// What it has been given beyond what it could do meanwhile, and of that what routers gave that knew of its start, or for the origin
	// what servers lacked that were cold.
	given, knew, givenAt float64

	reportAt           float64
	done, failed, used float64 // since the last report
	report             decide.Load
}

// full is the work a second that it does when it is warm.
func (s *server) full() float64 { return float64(s.cores) * s.speed * 1000 }

// warmth is the part of that which it does now.
func (s *server) warmth(now float64) float64 {
	c := &s.w.cfg
	if s.started <= 0 || c.Cold <= 0 || s.origin {
		return 1
	}
	return math.Min(1, c.ColdFrom+(1-c.ColdFrom)*(now-s.started)/c.Cold)
}

// isCold says whether it has not warmed up.
func (s *server) isCold(now float64) bool {
	return !s.origin && s.started > 0 && now < s.started+s.w.cfg.Cold
}

// reach takes an attempt that has come.
func (s *server) reach(t *attempt) {
	w := s.w
	w.note(Record{What: Reached, Request: t.q.req.no, Router: t.r.no, Server: s.no, Attempt: t.n})
	switch s.mode {
	case dead:
		w.back(t, decide.ConnectError, 0)
		return
	case silent:
		if !t.opened { // the connection never comes up
			w.after(w.cfg.Timeout, event{kind: evBack, t: t, life: t.life, token: uint64(decide.ConnectError)})
		}
		return
	}
	t.opened = true
	s.load(t)
	if s.mode == dead { // pushed over by this one
		w.back(t, decide.Reset, 0)
		return
	}
	if s.origin && w.stopped > w.now {
		w.back(t, decide.Failed, 0)
		return
	}
	if s.mode == hangs {
		t.waits = true
		return
	}
	t.waits = true
	s.queue = append(s.queue, t)
	s.next()
}

// load books what comes, all of its work, against a budget of what it can do: a cold server that is given more than a multiple of that for
// too long falls over, and the origin stops. The budget is one for every window of that length.
func (s *server) load(t *attempt) {
	w := s.w
	can := s.full() / 1000 * s.warmth(w.now) * w.cfg.FallMult // work a ms
	if left := math.Max(0, s.given-(w.now-s.givenAt)*can); s.given > 0 {
		s.knew *= left / s.given
		s.given = left
	}
	s.givenAt = w.now
	work := t.q.req.work
	s.given += work
	if s.origin && t.q.missed != nil && t.q.missed.isCold(w.now) || !s.origin && t.r.knows(s) {
		s.knew += work
	}
	if part := s.knew / (can * w.cfg.FallFor); part > w.spent && (s.origin || s.isCold(w.now)) {
		w.spent = part
		w.note(Record{What: Neared, Server: s.no, Router: -1, Spent: part, Cold: !s.origin})
	}
	switch {
	case s.given <= can*w.cfg.FallFor:
	case s.origin:
		w.note(Record{What: Stopped, Server: s.no, Router: -1, Blame: s.knew > s.given/2})
		w.stop(w.draw(w.cfg.OriginStop))
		s.given, s.knew = 0, 0
	case s.isCold(w.now):
		w.note(Record{What: Fell, Server: s.no, Router: -1, Blame: s.knew >= s.given*2/3})
		s.fallen = true
		s.end(dead)
	}
}

// next gives free cores work.
func (s *server) next() {
	for s.busy < s.cores && s.head < len(s.queue) {
		t := s.queue[s.head]
		s.queue[s.head] = nil
		s.head++
		if t.dropped {
			continue
		}
		s.begin(t)
	}
	if s.head > 64 && 2*s.head > len(s.queue) {
		s.queue = append(s.queue[:0], s.queue[s.head:]...)
		s.head = 0
	}
}

// begin begins a piece of work.
func (s *server) begin(t *attempt) {
	w := s.w
	s.busy++
	t.waits, t.runs = false, true
	work := t.q.req.work
	t.status, t.note = decide.OK, 1
	if !s.origin && !t.q.req.class.Write {
		w.tally.reads++
	}
	switch {
	case s.origin:
		w.tally.fetches++
		work = w.cfg.OriginWork * w.part()
		w.note(Record{What: Ran, Request: t.q.req.no, Router: t.r.no, Server: s.no, Attempt: t.n})
	case t.q.req.class.Write: // it is the origin's
		w.note(Record{What: Ran, Request: t.q.req.no, Router: t.r.no, Server: s.no, Attempt: t.n})
	case !s.has(t.q.req.key):
		w.tally.misses++
		work, t.status = w.cfg.MissWork, decide.Miss
	}
	took := work / (s.speed * s.slow * s.warmth(w.now))
	s.used += took
	w.after(took, event{kind: evDone, t: t, life: s.life, a: int32(s.no)})
}

// finish ends a piece of work and sends its answer.
func (s *server) finish(t *attempt) {
	s.busy--
	t.runs = false
	if s.mode == serves && !t.dropped {
		s.done++
		if s.origin && s.w.stopped > s.w.now {
			t.status = decide.Failed
		}
		if s.origin && t.status == decide.OK {
			s.w.fetched(t)
		}
		s.w.back(t, t.status, t.note)
	}
	s.next()
}

// give drops what was given up: what waits always, and what runs where that is so.
func (s *server) give(t *attempt) {
	if t.waits || t.runs && s.w.cfg.Cancels {
		t.dropped = true
	}
}

// has says whether a key is kept, store keeps it and void drops it. The oldest gives way.
func (s *server) has(key uint64) bool { _, ok := s.keys[key]; return ok }

func (s *server) store(key uint64) {
	if s.origin || len(s.ring) == 0 || s.has(key) || s.mode != serves {
		return
	}
	if old := s.ring[s.write]; old != 0 && s.keys[old] == int32(s.write) {
		delete(s.keys, old)
	}
	s.ring[s.write], s.keys[key] = key, int32(s.write)
	s.write = (s.write + 1) % len(s.ring)
}

func (s *server) void(key uint64) { delete(s.keys, key) }

// loads is the latest report, as its answers carry it.
func (s *server) loads(now float64) decide.Load {
	if span := now - s.reportAt; span >= s.w.cfg.Report {
		s.report = decide.Load{QPS: s.done / span * 1000, EPS: s.failed / span * 1000, Util: math.Min(1, s.used/span/float64(s.cores)), Inflight: -1, Latency: -1}
		s.reportAt, s.done, s.failed, s.used = now, 0, 0, 0
	}
	return s.report
}

// end ends its process, with all that it had.
func (s *server) end(m mode) {
	for _, t := range s.queue[s.head:] {
		if t != nil && !t.dropped && m == dead {
			s.w.back(t, decide.Reset, 0)
		}
	}
	s.life++
	s.mode, s.busy, s.queue, s.head = m, 0, nil, 0
	clear(s.keys)
	clear(s.ring)
	s.write, s.given, s.knew = 0, 0, 0
}

// start starts a new process, cold.
func (s *server) start() {
	if s.fallen { // it stays down
		return
	}
	s.life++
	s.mode, s.slow, s.started, s.givenAt, s.draining = serves, 1, s.w.now, s.w.now, false
	s.report, s.reportAt, s.done, s.used = decide.NoLoad, s.w.now, 0, 0
}
