package fleet

import (
	"hash/fnv"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/admission"
	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// Bounds of lines.
const (
	maxPools   = 16 // that have one
	shareMoves = 0.01
	toldAgain  = 250 * time.Millisecond // where it has moved less than that
	sayAgain   = time.Second            // between two lines of the log about one pool
)

// lines are what the pools of this router serve while the fleet can't serve all. The owner's goroutine alone uses it.
type lines struct {
	f       *Fleet
	of      map[uint32]*poolLine
	peers   []admission.Peer // all that are heard: one that has no part yet is asked for as much as others
	changes uint64           // of the view that peers are of, and one more
}

// poolLine is that of one pool.
type poolLine struct {
	f      *Fleet
	name   string
	m      *admission.Machine
	told   admission.Threshold
	at     time.Time // when
	said   int       // the band that the log knows of
	sayAt  time.Time
	gone   admission.Demand // as it was a second before
	goneT  time.Time
	shed   [decide.NumBands]float64 // work a second that is refused as it is under the line, and
	asked  [decide.NumBands]float64 // that is asked for
	turned float64                  // and that is refused though it is over the line
}

// poolNumber is by what all routers know a pool of a name.
func poolNumber(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name)) //nolint:errcheck // it never fails
	return h.Sum32()
}

// Send is admission.Host's.
func (p *poolLine) Send(to admission.Peer, m []byte) {
	p.f.m.SendPayload(p.f.now(), to.Name, to.Start, m)
}

// tick has each pool's machine take what has come, and tells what follows.
func (l *lines) tick() {
	share := l.f.loans.own().Share
	if present := l.f.m.Present(); share == 0 { // who has no part yet uses half of an equal one
		share = 0.5 / float64(max(1, present))
	}
	if l.changes != l.f.m.ChangeCount()+1 {
		l.changes, l.peers = l.f.m.ChangeCount()+1, l.peers[:0]
		l.f.m.ForEach(func(r fleet.Record) {
			if r.State <= fleet.Suspect {
				l.peers = append(l.peers, admission.Peer{Name: r.Name, Start: r.Start})
			}
		})
	}
	for _, d := range l.f.cfg.Demands() {
		id := poolNumber(d.Pool)
		p := l.of[id]
		if p == nil {
			if len(l.of) == maxPools {
				continue
			}
			p = &poolLine{f: l.f, name: d.Pool, told: decide.AdmitAll, said: decide.NumBands}
			p.m = admission.New(id, rand.Uint64(), p)
			l.of[id] = p
		}
		p.m.Tick(l.f.now(), share, d.Demand, l.peers)
		p.count(d.Demand)
		p.tell()
	}
}

// count keeps figures of what is refused, over a second.
func (p *poolLine) count(d admission.Demand) {
	now := time.Now()
	if gone := now.Sub(p.goneT); gone >= time.Second {
		for i := range d.Arrived {
			if !p.goneT.IsZero() {
				p.asked[i] = max(0, d.Arrived[i]-p.gone.Arrived[i]) / gone.Seconds()
				p.shed[i] = max(0, d.Shed[i]-p.gone.Shed[i]) / gone.Seconds()
			}
		}
		if !p.goneT.IsZero() {
			p.turned = max(0, d.Rejected-p.gone.Rejected) / gone.Seconds()
		}
		p.gone, p.goneT = d, now
	}
}

// tell says what the pool serves, where that has changed or is about to lapse.
func (p *poolLine) tell() {
	now, at := p.f.now(), time.Now()
	l := p.m.Threshold(now)
	none := l.Band == decide.NumBands
	if none && p.told.Band == decide.NumBands {
		return
	}
	if l.Band == p.told.Band && math.Abs(l.Share-p.told.Share) < shareMoves && at.Sub(p.at) < toldAgain {
		return
	}
	p.told, p.at = l, at
	p.f.cfg.Line(p.name, l, at.Add(time.Duration(max(0, l.Until-now)*float64(time.Millisecond))))
	if l.Band == p.said || at.Sub(p.sayAt) < sayAgain && !none {
		return
	}
	p.said, p.sayAt = l.Band, at
	f := p.m.Stats()
	if none {
		slog.Info("fleet: all is served again", "pool", p.name, "asked", f.MeanRate, "room", f.MeanCapacity)
		return
	}
	slog.Warn("fleet: more is asked than servers can do; what is under the line is refused at all routers alike", "pool", p.name,
		"worth", WorthOf(l.Band), "share", l.Share, "asked", f.MeanRate, "room", f.MeanCapacity)
}

// WorthOf is the least worth in a band, as a share of the highest.
func WorthOf(band int) float64 { return math.Exp2(-float64(band+1) / 2) }

// cargo takes what another router has to say of a pool, once the machine that brought it has returned.
func (l *lines) cargo(from fleet.Record, pool uint32, b []byte) {
	l.f.post(func() {
		p := l.of[pool]
		if p == nil {
			return // it has no such pool, or has not begun
		}
		if err := p.m.Receive(l.f.now(), admission.Peer{Name: from.Name, Start: from.Start}, b); err != nil {
			l.f.counts.refused.Add(1)
			slog.Debug("fleet: a word of the line is refused", "from", from.Name, "why", err)
		}
	})
}

// Line is what a pool serves while the fleet can't serve all, with what it follows from: work a second, in the mean over the routers.
type Line struct {
	Pool string
	admission.Threshold
	admission.Stats
	Asked, Shed [decide.NumBands]float64 // here
	Turned      float64
}

func (l *lines) figures() (out []Line) {
	for _, p := range l.of {
		out = append(out, Line{Pool: p.name, Threshold: p.told, Stats: p.m.Stats(), Asked: p.asked, Shed: p.shed, Turned: p.turned})
	}
	slices.SortFunc(out, func(a, b Line) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}
