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
	maxPools           = 16 // that have one
	minShareChange     = 0.01
	reannounceInterval = 250 * time.Millisecond // where it has moved less than that
	logInterval        = time.Second            // between two lines of the log about one pool
)

// admissionController are what the pools of this router serve while the fleet can't serve all. The owner's goroutine alone uses it.
type admissionController struct {
	f            *Fleet
	pools        map[uint32]*poolController
	peers        []admission.Peer // all that are heard: one that has no part yet is asked for as much as others
	peersVersion uint64           // of the view that peers are of, and one more
}

// poolController is that of one pool.
type poolController struct {
	f            *Fleet
	name         string
	machine      *admission.Machine
	announced    admission.Threshold
	announcedAt  time.Time // when
	loggedBand   int       // the band that the log knows of
	loggedAt     time.Time
	lastDemand   admission.Demand // as it was a second before
	lastDemandAt time.Time
	shedRate     [decide.NumBands]float64 // work a second that is refused as it is under the line, and
	demandRate   [decide.NumBands]float64 // that is asked for
	rejectedRate float64                  // and that is refused though it is over the line
}

// poolID is by what all routers know a pool of a name.
func poolID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name)) //nolint:errcheck // it never fails
	return h.Sum32()
}

// Send is admission.Host's.
func (p *poolController) Send(to admission.Peer, m []byte) {
	p.f.machine.SendPayload(p.f.now(), to.Name, to.Start, m)
}

// tickInterval has each pool's machine take what has come, and tells what follows.
func (l *admissionController) tick() {
	share := l.f.leases.baseShare().Share
	if present := l.f.machine.Present(); share == 0 { // who has no part yet uses half of an equal one
		share = 0.5 / float64(max(1, present))
	}
	if l.peersVersion != l.f.machine.ChangeCount()+1 {
		l.peersVersion, l.peers = l.f.machine.ChangeCount()+1, l.peers[:0]
		l.f.machine.ForEach(func(r fleet.Record) {
			if r.State <= fleet.Suspect {
				l.peers = append(l.peers, admission.Peer{Name: r.Name, Start: r.Start})
			}
		})
	}
	for _, d := range l.f.cfg.PoolDemands() {
		id := poolID(d.Pool)
		p := l.pools[id]
		if p == nil {
			if len(l.pools) == maxPools {
				continue
			}
			p = &poolController{f: l.f, name: d.Pool, announced: decide.AdmitAll, loggedBand: decide.NumBands}
			p.machine = admission.New(id, rand.Uint64(), p)
			l.pools[id] = p
		}
		p.machine.Tick(l.f.now(), share, d.Demand, l.peers)
		p.updateRates(d.Demand)
		p.announce()
	}
}

// updateRates keeps figures of what is refused, over a second.
func (p *poolController) updateRates(d admission.Demand) {
	now := time.Now()
	if gone := now.Sub(p.lastDemandAt); gone >= time.Second {
		for i := range d.Arrived {
			if !p.lastDemandAt.IsZero() {
				p.demandRate[i] = max(0, d.Arrived[i]-p.lastDemand.Arrived[i]) / gone.Seconds()
				p.shedRate[i] = max(0, d.Shed[i]-p.lastDemand.Shed[i]) / gone.Seconds()
			}
		}
		if !p.lastDemandAt.IsZero() {
			p.rejectedRate = max(0, d.Rejected-p.lastDemand.Rejected) / gone.Seconds()
		}
		p.lastDemand, p.lastDemandAt = d, now
	}
}

// announce says what the pool serves, where that has changed or is about to lapse.
func (p *poolController) announce() {
	now, at := p.f.now(), time.Now()
	l := p.machine.Threshold(now)
	none := l.Band == decide.NumBands
	if none && p.announced.Band == decide.NumBands {
		return
	}
	if l.Band == p.announced.Band && math.Abs(l.Share-p.announced.Share) < minShareChange && at.Sub(p.announcedAt) < reannounceInterval {
		return
	}
	p.announced, p.announcedAt = l, at
	p.f.cfg.ThresholdChanged(p.name, l, at.Add(time.Duration(max(0, l.Until-now)*float64(time.Millisecond))))
	if l.Band == p.loggedBand || at.Sub(p.loggedAt) < logInterval && !none {
		return
	}
	p.loggedBand, p.loggedAt = l.Band, at
	f := p.machine.Stats()
	if none {
		slog.Info("fleet: all is served again", "pool", p.name, "asked", f.MeanRate, "room", f.MeanCapacity)
		return
	}
	slog.Warn("fleet: more is asked than servers can do; what is under the line is refused at all routers alike", "pool", p.name,
		"worth", MinWorth(l.Band), "share", l.Share, "asked", f.MeanRate, "room", f.MeanCapacity)
}

// MinWorth is the least worth in a band, as a share of the highest.
func MinWorth(band int) float64 { return math.Exp2(-float64(band+1) / 2) }

// deliver takes what another router has to say of a pool, once the machine that brought it has returned.
func (l *admissionController) deliver(from fleet.Record, pool uint32, b []byte) {
	l.f.post(func() {
		p := l.pools[pool]
		if p == nil {
			return // it has no such pool, or has not begun
		}
		if err := p.machine.Receive(l.f.now(), admission.Peer{Name: from.Name, Start: from.Start}, b); err != nil {
			l.f.counters.rejected.Add(1)
			slog.Debug("fleet: a word of the line is refused", "from", from.Name, "why", err)
		}
	})
}

// PoolAdmission is what a pool serves while the fleet can't serve all, with what it follows from: work a second, in the mean over the routers.
type PoolAdmission struct {
	Pool string
	admission.Threshold
	admission.Stats
	DemandRate, ShedRate [decide.NumBands]float64 // here
	RejectedRate         float64
}

func (l *admissionController) stats() (out []PoolAdmission) {
	for _, p := range l.pools {
		out = append(out, PoolAdmission{Pool: p.name, Threshold: p.announced, Stats: p.machine.Stats(), DemandRate: p.demandRate, ShedRate: p.shedRate, RejectedRate: p.rejectedRate})
	}
	slices.SortFunc(out, func(a, b PoolAdmission) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}
