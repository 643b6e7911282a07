package model

import "mossproxy.example/mossproxy/decide"

// news is what a list tells.
type news struct{ entries []decide.Entry }

// tell has all routers told of a server, each by itself and late.
func (w *World) tell(s *server, st decide.State, late Range) {
	e := w.routers[0].list[s.no]
	e.State, e.Started = st, s.started
	n := &news{entries: []decide.Entry{e}}
	at := w.draw(late)
	for _, r := range w.routers {
		w.after(at+w.draw(Range{0, 300}), event{kind: evNews, a: int32(r.no), list: n})
	}
}

// fault begins a fault.
func (w *World) fault(f *Fault, n int) {
	w.note(Record{What: Faulted, Router: -1, Server: f.Who, Attempt: n})
	if f.For > 0 && f.Kind != Stop {
		w.after(f.For, event{kind: evMend, a: int32(n)})
	}
	switch f.Kind {
	case Kill:
		w.servers[f.Who].end(dead)
		w.tell(w.servers[f.Who], decide.Removed, w.cfg.Notice)
	case Silence:
		w.servers[f.Who].end(silent)
		w.tell(w.servers[f.Who], decide.Removed, w.cfg.Silent)
	case Hang:
		w.servers[f.Who].mode = hangs
	case Slow:
		w.servers[f.Who].slow = 0.2
	case Drain:
		w.servers[f.Who].draining = true
		w.tell(w.servers[f.Who], decide.Draining, w.cfg.Notice)
	case Cut:
		w.cut[[2]int{f.Who, f.To}]++
	case Restart:
		r := w.routers[f.Who]
		if !r.up {
			return
		}
		r.end()
		w.after(w.draw(w.cfg.Front), event{kind: evFront, a: int32(r.no)})
	case Stop:
		w.stop(f.For)
	}
}

// mend ends it.
func (w *World) mend(f *Fault) {
	w.note(Record{What: Mended, Router: -1, Server: f.Who})
	switch f.Kind {
	case Kill, Silence, Drain:
		s := w.servers[f.Who]
		if f.Kind == Drain {
			s.end(dead)
		}
		if s.start(); !s.fallen {
			w.tell(s, decide.Ready, w.cfg.Notice)
		}
	case Hang:
		if s := w.servers[f.Who]; s.mode == hangs {
			s.mode = serves
			s.busy = 0
			s.next()
		}
	case Slow:
		w.servers[f.Who].slow = 1
	case Cut:
		w.cut[[2]int{f.Who, f.To}]--
	case Restart:
		r := w.routers[f.Who]
		if r.up {
			return
		}
		if r.start() == nil { // its settings were good before
			w.after(w.draw(w.cfg.Front), event{kind: evFront, a: int32(r.no)})
		}
	}
}
