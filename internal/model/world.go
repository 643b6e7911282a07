package model

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"mossproxy.example/mossproxy/decide"
)

// World is one run.
type World struct {
	cfg     Config
	now     float64
	events  queue
	rng     *rand.Rand // of what the world draws; routers' modules have their own
	jitter  distuv.LogNormal
	ways    *rand.Rand
	zipf    *rand.Zipf
	servers []*server // and the origin behind them
	routers []*router
	seen    Observer
	stopped float64 // until when the origin is stopped
	spent   float64 // the most of a budget that was, see Neared
	cut     map[[2]int]int
	turn    []int // of the front layer, by zone
	tally   tally
	asked   int
}

// request is what a client wants, over all its tries.
type request struct {
	no      int
	class   *Class
	classNo int
	key     uint64
	tenant  string
	zone    int
	work    float64
	hint    float64
	born    float64
	tries   int
	done    bool
}

// epoch is when a run begins: a start at 0 would mean long ago to the module.
const epoch = 1e6

// New is a run of a configuration. seen is told of each event; nil = nobody is.
func New(cfg Config, seen Observer) (*World, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	w := &World{cfg: cfg, now: epoch, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), ways: rand.New(rand.NewPCG(cfg.Seed, 2)), seen: seen,
		cut: map[[2]int]int{}, turn: make([]int, len(cfg.Zones))}
	w.jitter = distuv.LogNormal{Sigma: math.Max(cfg.Jitter, 1e-9), Src: w.ways}
	w.zipf = rand.NewZipf(w.rng, cfg.Zipf, 1, uint64(cfg.Keys-1))
	w.tally.init(&cfg)
	w.build()
	if !cfg.Empty {
		if err := w.warm(); err != nil {
			return nil, err
		}
	}
	for _, r := range w.routers {
		if err := r.start(); err != nil {
			return nil, fmt.Errorf("router %d: %w", r.no, err)
		}
	}
	for i, f := range cfg.Faults {
		w.at(epoch+f.At, event{kind: evFault, a: int32(i)})
	}
	return w, nil
}

// build makes servers, the origin and routers. The servers have what they would after a long calm time.
func (w *World) build() {
	c := &w.cfg
	var list []decide.Entry
	for i := range c.Servers + 1 {
		m := w.machine(i)
		s := &server{w: w, no: i, id: uint32(i + 1), zone: i % len(c.Zones), cores: m.Cores, speed: m.Speed, slow: 1, givenAt: w.now, reportAt: w.now,
			report: decide.NoLoad, life: 1}
		e := decide.Entry{ID: s.id, State: decide.Ready, Zone: c.Zones[s.zone], Kind: "cache", Size: float64(m.Cores) * m.Speed}
		if i == c.Servers {
			s.origin, s.cores, s.speed, s.zone = true, c.OriginCores, 1, 0
			e.Kind, e.Zone, e.Size = "origin", c.Zones[0], 1
		} else {
			s.ring, s.keys = make([]uint64, c.PerCore*m.Cores), map[uint64]int32{}
		}
		w.servers, list = append(w.servers, s), append(list, e)
	}
	for i := range c.Routers {
		r := &router{w: w, no: i, zone: i % len(c.Zones), known: true, list: append([]decide.Entry(nil), list...)}
		if c.ClockApart > 0 || c.ClockDrift > 0 {
			r.ahead, r.pace = c.ClockApart*(2*w.rng.Float64()-1), c.ClockDrift*(2*w.rng.Float64()-1)
		}
		w.routers = append(w.routers, r)
	}
}

// machine is a server's kind: the fleet has each by its share, whatever the seed.
func (w *World) machine(i int) Machine {
	u := math.Mod(float64(i)*0.6180339887498949+0.3, 1) // spread evenly (golden ratio), so that small fleets have all kinds
	for _, m := range w.cfg.Machines {
		if u -= m.Share; u < 0 {
			return m
		}
	}
	return w.cfg.Machines[len(w.cfg.Machines)-1]
}

// at sets an event at a time, after in so many ms.
func (w *World) at(at float64, e event) { e.at = math.Max(at, w.now); w.events.push(e) }

func (w *World) after(ms float64, e event) { w.at(w.now+math.Max(0, ms), e) }

// note tells of an event.
func (w *World) note(r Record) {
	if w.seen != nil {
		r.At = w.now - epoch
		w.seen.See(r)
	}
}

// way is how long a message takes between two zones.
func (w *World) way(from, to int) float64 {
	d := w.cfg.Same
	if from != to {
		d = w.cfg.Cross
	}
	if w.cfg.Jitter == 0 {
		return d
	}
	return d * w.jitter.Rand()
}

// lost says whether what is sent from a zone to another is lost.
func (w *World) lost(from, to int) bool { return w.cut[[2]int{from, to}] > 0 }

// draw draws from a span, and expo from the exponential distribution of mean 1.
func (w *World) draw(r Range) float64 { return r.From + (r.To-r.From)*w.rng.Float64() }

func (w *World) expo() float64 { return distuv.Exponential{Rate: 1, Src: w.rng}.Rand() }

// part is how long a piece of work takes, of the mean.
func (w *World) part() float64 { return w.cfg.Fixed + (1-w.cfg.Fixed)*w.expo() }

// byID is the server of an id. The module names only those that it was told of.
func (w *World) byID(id uint32) *server { return w.servers[id-1] }

// back sends an outcome to the router of an attempt, with the server's load.
func (w *World) back(t *attempt, st decide.Status, note int) {
	if w.lost(t.s.zone, t.r.zone) {
		return
	}
	t.note = note
	if st != decide.ConnectError && st != decide.Reset {
		t.load = t.s.loads(w.now)
	}
	w.after(w.way(t.s.zone, t.r.zone), event{kind: evBack, t: t, life: t.life, token: uint64(st)})
}

// fetched has what the origin did: a read is stored where it was missing, a write voids all copies.
func (w *World) fetched(t *attempt) {
	if t.q.req.class.Write {
		if w.cfg.Keeps {
			return
		}
		for _, s := range w.servers {
			s.void(t.q.req.key)
		}
		return
	}
	if t.q.missed != nil {
		t.q.missed.store(t.q.req.key)
	}
}

// stop stops the origin for so many ms.
func (w *World) stop(ms float64) {
	w.stopped = math.Max(w.stopped, w.now+ms)
	o := w.servers[len(w.servers)-1]
	for _, t := range o.queue[o.head:] {
		if t != nil && !t.dropped {
			w.back(t, decide.Failed, 0)
		}
	}
	o.queue, o.head = nil, 0
}

// Run plays the load to its end, and until the last request is answered, and gives what came of it.
func (w *World) Run() *Outcome {
	w.after(0, event{kind: evArrive})
	end := epoch + w.cfg.For
	last := end
	for _, k := range w.cfg.Classes {
		last = math.Max(last, end+2*k.Deadline)
	}
	for len(w.events.of) > 0 {
		e := w.events.pop()
		if e.at > last {
			break
		}
		w.now = e.at
		w.step(&e)
	}
	return w.tally.outcome(w)
}

// step carries out an event.
func (w *World) step(e *event) {
	switch e.kind {
	case evArrive:
		w.arrive()
	case evTry:
		w.come(e.q)
	case evTimer:
		if r := w.routers[e.a]; r.up && r.life == e.life {
			r.b.Timer(r.time(), e.token)
		}
	case evReach:
		if !e.t.over {
			e.t.s.reach(e.t)
		}
	case evDone:
		if s := w.servers[e.a]; s.life == e.life {
			s.finish(e.t)
		}
	case evBack:
		e.t.r.outcome(e.t, decide.Status(e.token), e.t.note)
	case evDue:
		st := decide.TimedOut
		if !e.t.opened {
			st = decide.ConnectError
		}
		e.t.r.outcome(e.t, st, 0)
	case evLeft:
		if e.q.r.life == e.life {
			e.q.r.leave(e.q)
		}
	case evAnswer:
		w.answered(e.q)
	case evRefusal:
		w.again(e.q.req, Lost, 0)
	case evLate:
		if e.q.r.life == e.life {
			e.q.r.finish(e.q, Failed, 0)
		}
	case evRetry:
		w.try(e.q.req)
	case evProbe:
		w.probe(e)
	case evProbed:
		if r := w.routers[e.a]; r.up && r.life == e.life {
			r.b.ProbeResult(r.time(), w.servers[e.b].id, decide.Status(e.token), w.servers[e.b].report)
		}
	case evNews:
		if r := w.routers[e.a]; r.up {
			r.news(e.list)
		} else { // it comes back with its last list; what was told meanwhile comes when it is up
			w.after(100, *e)
		}
	case evFront:
		w.routers[e.a].known = w.routers[e.a].up
	case evFault:
		w.fault(&w.cfg.Faults[e.a], int(e.a))
	case evMend:
		w.mend(&w.cfg.Faults[e.a])
	}
}

// probe is answered by a server that serves; its work is small enough to leave out.
func (w *World) probe(e *event) {
	s, r := w.servers[e.b], w.routers[e.a]
	e.kind = evProbed
	switch s.mode {
	case serves:
		s.loads(w.now)
		e.token = uint64(decide.OK)
	case dead:
		e.token = uint64(decide.ConnectError)
	default:
		e.token = uint64(decide.TimedOut)
		w.after(300, *e)
		return
	}
	w.after(w.way(s.zone, r.zone), *e)
}
