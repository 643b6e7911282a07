package decide

import (
	"fmt"
	"math"
)

// What one process of a router hands to the next: what it has learned, as data, with times on the clock that both share.

// Bounds on what is taken from another process.
const (
	learnedVersion    = 1
	maxLearnedServers = 4096 // servers
	maxLearnedKeys    = 512  // the hottest are handed over: they hold what is solved, and who is served where
)

// MovingAverage is a level as data.
type MovingAverage struct {
	Value   float64 `json:"v"`
	Floor   float64 `json:"floor"`
	Updated float64 `json:"at"`
}

// DecayingSum is a rate as data.
type DecayingSum struct {
	Value   float64 `json:"v"`
	Updated float64 `json:"at"`
}

// LearnedServer is what was learned of a server. Times of 0 are long ago.
type LearnedServer struct {
	ID                  uint32        `json:"id"`
	Started             float64       `json:"started"` // of the process that it was learned of
	AcceptShare         float64       `json:"accept"`
	Suspicion           float64       `json:"doubt"`
	FailShare           float64       `json:"fails"`
	ConsecutiveFailures int           `json:"strikes"`
	LastReply           float64       `json:"reply"`
	Ejected             bool          `json:"ejected"`
	ZoneLost            bool          `json:"lost"`
	ConnRefused         bool          `json:"refused"`
	TrialAt             float64       `json:"trial"`
	TrialPause          float64       `json:"pause"`
	TrialOverdue        float64       `json:"overdue"`
	ColdSince           float64       `json:"fresh"`
	SendBudget          DecayingSum   `json:"budget"` // the part of each process, once they are two
	SentWork            DecayingSum   `json:"sent"`
	ReportedRate        float64       `json:"qps"`
	ReportedAt          float64       `json:"heard"`
	Capacity            MovingAverage `json:"cap"`
	Latency             MovingAverage `json:"lat"`
}

// LearnedKey is what was learned of a key.
type LearnedKey struct {
	ID       uint64      `json:"id"`
	Rate     DecayingSum `json:"rate"`
	MeanWork float64     `json:"work"`
	StoredAt float64     `json:"stored"`
	StoredOn uint32      `json:"store_at"` // 0 = not known
}

// ExportLearned is what a Balancer has learned.
type Learned struct {
	Version       int                    `json:"version"`
	StartedAt     float64                `json:"began"`
	Servers       []LearnedServer        `json:"servers"`
	Keys          []LearnedKey           `json:"keys"`
	TenantUse     map[string]DecayingSum `json:"used"` // by tenant
	Arrivals      DecayingSum            `json:"arrivals"`
	MeanHint      float64                `json:"hint"`
	LatencyMean   float64                `json:"mean"`
	LatencySquare float64                `json:"square"`
	Samples       float64                `json:"samples"`
	WaitShare     float64                `json:"bear"`
	UsualFailures float64                `json:"usual"`
	LostShare     float64                `json:"lost"`
	ConnKeep      float64                `json:"keep"`
	FetchLimit    float64                `json:"fetches"` // the bound of each process, once they are two
	FleetLatency  MovingAverage          `json:"jam"`
	FetchLatency  MovingAverage          `json:"fetch"`
}

// exportTime is a time as data, in which long ago is 0.
func exportTime(t float64) float64 { return max(0, t) }

// importTime is ago's reverse.
func importTime(t float64) float64 {
	if t == 0 {
		return math.Inf(-1)
	}
	return t
}

func (l movingAverage) snapshot() MovingAverage { return MovingAverage{l.value, l.floor, l.updated} }
func (r decayingSum) snapshot() DecayingSum     { return DecayingSum{r.value, r.updated} }

func (l MovingAverage) restore() movingAverage { return movingAverage{l.Value, l.Floor, l.Updated} }
func (r DecayingSum) restore() decayingSum     { return decayingSum{r.Value, r.Updated} }

// ExportLearned is what the Balancer has learned by now.
func (b *Balancer) ExportLearned(now float64) Learned {
	b.advance(now)
	l := Learned{Version: learnedVersion, StartedAt: b.startedAt, Arrivals: b.arrivals.snapshot(), MeanHint: b.meanHint, LatencyMean: b.latencies.mean, LatencySquare: b.latencies.meanSquare, Samples: b.latencies.samples,
		WaitShare: b.waitShare, UsualFailures: b.usualFailures, LostShare: b.lostShare, ConnKeep: b.connKeep, FetchLimit: b.fetchLimit, FleetLatency: b.fleetLatency.snapshot(), FetchLatency: b.fetchLatency.snapshot(), TenantUse: map[string]DecayingSum{}}
	for name, u := range b.tenantUse {
		l.TenantUse[name] = u.snapshot()
	}
	for _, s := range b.serverList[:min(len(b.serverList), maxLearnedServers)] {
		l.Servers = append(l.Servers, LearnedServer{ID: s.ID, Started: s.Started, AcceptShare: s.acceptShare, Suspicion: s.suspicion, FailShare: s.failShare, ConsecutiveFailures: s.consecutiveFailures,
			LastReply: s.lastReply, Ejected: s.ejected, ZoneLost: s.zoneLost, ConnRefused: s.connRefused, TrialAt: s.trialAt, TrialPause: s.trialPause, TrialOverdue: s.trialOverdue, ColdSince: exportTime(s.coldSince),
			SendBudget: s.sendBudget.snapshot(), SentWork: s.sentWork.snapshot(), ReportedRate: s.reportedRate, ReportedAt: exportTime(s.reportedAt), Capacity: s.capacity.snapshot(), Latency: s.latency.snapshot()})
	}
	top := make([]*keyTraffic, 0, maxLearnedKeys+1)
	for _, k := range b.keyList {
		top = insertHottest(top, k, maxLearnedKeys)
	}
	for _, k := range top {
		out := LearnedKey{ID: k.id, Rate: k.rate.snapshot(), MeanWork: k.meanWork, StoredAt: k.storedAt}
		if k.storedOn != nil {
			out.StoredOn = k.storedOn.ID
		}
		l.Keys = append(l.Keys, out)
	}
	return l
}

// ImportLearned takes what another process of this router has learned, after the list and before any request, whole or not at all. An error says
// what is impossible in it. What it says of servers that are not on the list, or have started anew since, is passed over.
func (b *Balancer) ImportLearned(now float64, l Learned) error {
	b.advance(now)
	if err := l.validate(now); err != nil {
		return err
	}
	b.startedAt = min(b.startedAt, l.StartedAt)
	b.arrivals, b.meanHint, b.latencies = l.Arrivals.restore(), l.MeanHint, moments{l.LatencyMean, l.LatencySquare, l.Samples}
	b.waitShare, b.usualFailures, b.lostShare, b.connKeep = l.WaitShare, l.UsualFailures, l.LostShare, min(b.cfg.ConnIdle, l.ConnKeep)
	b.fetchLimit, b.fleetLatency, b.fetchLatency = l.FetchLimit, l.FleetLatency.restore(), l.FetchLatency.restore()
	for name, u := range l.TenantUse {
		if b.tenantUse[name] != nil {
			*b.tenantUse[name] = u.restore()
		}
	}
	for _, d := range l.Servers {
		s := b.servers[d.ID]
		if s == nil || !s.listed || s.Started != d.Started {
			continue
		}
		s.acceptShare, s.suspicion, s.failShare, s.consecutiveFailures, s.lastReply = d.AcceptShare, d.Suspicion, d.FailShare, d.ConsecutiveFailures, d.LastReply
		s.ejected, s.zoneLost, s.connRefused, s.trialAt, s.trialPause, s.trialOverdue = d.Ejected, d.ZoneLost, d.ConnRefused, d.TrialAt, d.TrialPause, d.TrialOverdue
		s.coldSince, s.sendBudget, s.sentWork = importTime(d.ColdSince), d.SendBudget.restore(), d.SentWork.restore()
		s.reportedRate, s.reportedAt, s.capacity, s.latency = d.ReportedRate, importTime(d.ReportedAt), d.Capacity.restore(), d.Latency.restore()
	}
	for _, d := range l.Keys {
		if b.keys[d.ID] != nil {
			continue
		}
		k := &keyTraffic{id: d.ID, rate: d.Rate.restore(), meanWork: d.MeanWork, storedAt: d.StoredAt, storedOn: b.servers[d.StoredOn]}
		b.keys[d.ID], b.keyList = k, append(b.keyList, k)
	}
	b.solveNeeded = true
	return nil
}

// validate says what is impossible in what was learned. Clocks of processes of one machine lie a moment apart.
func (l *Learned) validate(now float64) error {
	if l.Version != learnedVersion {
		return fmt.Errorf("decide: learned by version %d, this is %d", l.Version, learnedVersion)
	}
	if len(l.Servers) > maxLearnedServers || len(l.Keys) > maxLearnedKeys {
		return fmt.Errorf("decide: learned of %d servers and %d keys, %d and %d at most", len(l.Servers), len(l.Keys), maxLearnedServers, maxLearnedKeys)
	}
	latest := now + 1000
	c := &learnedChecker{}
	c.checkValues("the router", 1e12, l.MeanHint, l.LatencyMean, l.LatencySquare, l.Samples, l.ConnKeep)
	c.checkValues("the router", 1, l.WaitShare, l.UsualFailures, l.LostShare)
	c.checkValues("fetches", maxFetchLimit, l.FetchLimit)
	c.checkValues("the start", latest, l.StartedAt)
	c.checkAverages("the router", latest, l.FleetLatency, l.FetchLatency)
	c.checkSums("the router", latest, l.Arrivals)
	for name, u := range l.TenantUse {
		c.checkSums("tenant "+name, latest, u)
	}
	for _, s := range l.Servers {
		name := fmt.Sprintf("server %08x", s.ID)
		c.checkValues(name, 1, s.AcceptShare, s.FailShare)
		c.checkValues(name, 1e12, s.Suspicion, s.TrialPause, s.ReportedRate, float64(s.ConsecutiveFailures))
		c.checkValues(name, latest, s.Started, s.LastReply, s.ColdSince, s.ReportedAt)
		c.checkValues(name, latest+1e6, s.TrialAt, s.TrialOverdue)
		c.checkAverages(name, latest, s.Capacity, s.Latency)
		c.checkSums(name, latest, s.SentWork)
		c.checkValues(name, 1e12, math.Abs(s.SendBudget.Value)) // it may be spent beyond its end
		c.checkValues(name, latest, s.SendBudget.Updated)
	}
	for _, k := range l.Keys {
		name := fmt.Sprintf("key %016x", k.ID)
		c.checkValues(name, 1e6, k.MeanWork)
		c.checkValues(name, latest, k.StoredAt)
		c.checkSums(name, latest, k.Rate)
	}
	return c.err
}

// learnedChecker keeps the first impossible figure.
type learnedChecker struct{ err error }

func (c *learnedChecker) checkValues(of string, most float64, vs ...float64) {
	for _, v := range vs {
		if c.err == nil && !(v >= 0 && v <= most) {
			c.err = fmt.Errorf("decide: learned of %s: impossible value %v", of, v)
		}
	}
}

func (c *learnedChecker) checkAverages(of string, latest float64, ls ...MovingAverage) {
	for _, l := range ls {
		c.checkValues(of, 1e12, l.Value, l.Floor)
		c.checkValues(of, latest, l.Updated)
	}
}

func (c *learnedChecker) checkSums(of string, latest float64, rs ...DecayingSum) {
	for _, r := range rs {
		c.checkValues(of, 1e12, r.Value)
		c.checkValues(of, latest, r.Updated)
	}
}
