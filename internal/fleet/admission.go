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

// Limits and intervals of the admission thresholds.
const (
	maxPools           = 16                     // pools with an admission threshold; further ones have none
	minShareChange     = 0.01                   // smallest change of Share that is announced at once
	reannounceInterval = 250 * time.Millisecond // for announcements without such a change
	logInterval        = time.Second            // minimum time between two log lines about one pool
)

// admissionController runs the admission thresholds of this router's pools. Only the owner goroutine uses it.
type admissionController struct {
	f            *Fleet
	pools        map[uint32]*poolController
	peers        []admission.Peer // alive or suspect; those without a share yet have demand too
	peersVersion uint64           // ChangeCount at which peers was built, plus 1
}

// poolController runs the admission threshold of one pool.
type poolController struct {
	f            *Fleet
	name         string
	machine      *admission.Machine
	announced    admission.Threshold
	announcedAt  time.Time // time of the last announcement
	loggedBand   int       // Threshold.Band in the last log line
	loggedAt     time.Time
	lastDemand   admission.Demand // totals at lastDemandAt, a second ago
	lastDemandAt time.Time
	shedRate     [decide.NumBands]float64 // work per second that is shed below the threshold
	demandRate   [decide.NumBands]float64 // work per second that has arrived
	rejectedRate float64                  // work per second that is rejected though it is above the threshold
}

// poolID returns the number by which all routers identify the pool of a name.
func poolID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name)) //nolint:errcheck // a hash never fails
	return h.Sum32()
}

// Send implements admission.Host.
func (p *poolController) Send(to admission.Peer, m []byte) {
	p.f.machine.SendPayload(p.f.now(), to.Name, to.Start, m)
}

// tick passes the demand of each pool to its machine and announces the resulting threshold.
func (l *admissionController) tick() {
	share := l.f.leases.baseShare().Share
	if present := l.f.machine.Present(); share == 0 { // without a share yet: assume half of an equal one
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

// updateRates computes the rates of arrived, shed and rejected work, once per second.
func (p *poolController) updateRates(d admission.Demand) {
	now := time.Now()
	if elapsed := now.Sub(p.lastDemandAt); elapsed >= time.Second {
		for i := range d.Arrived {
			if !p.lastDemandAt.IsZero() {
				p.demandRate[i] = max(0, d.Arrived[i]-p.lastDemand.Arrived[i]) / elapsed.Seconds()
				p.shedRate[i] = max(0, d.Shed[i]-p.lastDemand.Shed[i]) / elapsed.Seconds()
			}
		}
		if !p.lastDemandAt.IsZero() {
			p.rejectedRate = max(0, d.Rejected-p.lastDemand.Rejected) / elapsed.Seconds()
		}
		p.lastDemand, p.lastDemandAt = d, now
	}
}

// announce reports the threshold of the pool after a change or before the last report expires, and logs it.
func (p *poolController) announce() {
	now, wallTime := p.f.now(), time.Now()
	threshold := p.machine.Threshold(now)
	admitsAll := threshold.Band == decide.NumBands
	if admitsAll && p.announced.Band == decide.NumBands {
		return
	}
	if threshold.Band == p.announced.Band && math.Abs(threshold.Share-p.announced.Share) < minShareChange && wallTime.Sub(p.announcedAt) < reannounceInterval {
		return
	}
	p.announced, p.announcedAt = threshold, wallTime
	p.f.cfg.ThresholdChanged(p.name, threshold, wallTime.Add(time.Duration(max(0, threshold.Until-now)*float64(time.Millisecond))))
	if threshold.Band == p.loggedBand || wallTime.Sub(p.loggedAt) < logInterval && !admitsAll {
		return
	}
	p.loggedBand, p.loggedAt = threshold.Band, wallTime
	stats := p.machine.Stats()
	if admitsAll {
		slog.Info("fleet: load shedding ended", "pool", p.name, "asked", stats.MeanRate, "room", stats.MeanCapacity)
		return
	}
	slog.Warn("fleet: demand exceeds server capacity; all routers shed requests below the admission threshold", "pool", p.name,
		"worth", MinWorth(threshold.Band), "share", threshold.Share, "asked", stats.MeanRate, "room", stats.MeanCapacity)
}

// MinWorth returns the lowest worth in a band, as a fraction of the highest worth.
func MinWorth(band int) float64 { return math.Exp2(-float64(band+1) / 2) }

// deliver queues an admission message from another router: the membership machine that delivers it must
// return first.
func (l *admissionController) deliver(from fleet.Record, pool uint32, b []byte) {
	l.f.post(func() {
		p := l.pools[pool]
		if p == nil {
			return // this router has no such pool, or has not ticked yet
		}
		if err := p.machine.Receive(l.f.now(), admission.Peer{Name: from.Name, Start: from.Start}, b); err != nil {
			l.f.counters.rejected.Add(1)
			slog.Debug("fleet: admission message rejected", "from", from.Name, "why", err)
		}
	})
}

// PoolAdmission holds the admission threshold of a pool and the estimates behind it: Stats is in work per
// second, as the mean over the routers, and the rates are in work per second at this router.
type PoolAdmission struct {
	Pool string
	admission.Threshold
	admission.Stats
	DemandRate, ShedRate [decide.NumBands]float64 // arrived, and shed below the threshold, by band
	RejectedRate         float64                  // rejected though above the threshold
}

// stats returns the admission state of all pools, sorted by pool name.
func (l *admissionController) stats() (out []PoolAdmission) {
	for _, p := range l.pools {
		out = append(out, PoolAdmission{Pool: p.name, Threshold: p.announced, Stats: p.machine.Stats(), DemandRate: p.demandRate, ShedRate: p.shedRate, RejectedRate: p.rejectedRate})
	}
	slices.SortFunc(out, func(a, b PoolAdmission) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}
