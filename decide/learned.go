package decide

import (
	"fmt"
	"math"
)

// The state that one process of a router hands to the next: what it has learned, with times on a clock that
// both share.

// Limits on what is imported from another process.
const (
	learnedVersion    = 1
	maxLearnedServers = 4096
	maxLearnedKeys    = 512 // the hottest, as those have solved shares and known locations
)

// MovingAverage is a serialized movingAverage.
type MovingAverage struct {
	Value   float64 `json:"v"`     // in the unit of the average
	Floor   float64 `json:"floor"` // slowly rising minimum
	Updated float64 `json:"at"`    // ms, 0 = never
}

// DecayingSum is a serialized decayingSum.
type DecayingSum struct {
	Value   float64 `json:"v"`  // in the unit of the sum
	Updated float64 `json:"at"` // ms, 0 = never
}

// LearnedServer is what was learned of a server. Times are in ms, 0 = long ago.
type LearnedServer struct {
	ID                  uint32        `json:"id"`
	Started             float64       `json:"started"` // start time of the server process that this describes
	AcceptShare         float64       `json:"accept"`  // recent share of attempts accepted, 0 to 1
	Suspicion           float64       `json:"doubt"`   // CUSUM statistic of the server's failures
	FailShare           float64       `json:"fails"`   // share of failures, 0 to 1
	ConsecutiveFailures int           `json:"strikes"` // missed replies since the last reply
	LastReply           float64       `json:"reply"`   // time of the last reply
	Ejected             bool          `json:"ejected"` // out of use because of its health
	ZoneLost            bool          `json:"lost"`    // ejected together with its whole zone
	ConnRefused         bool          `json:"refused"` // a connection was refused, no answer since
	TrialAt             float64       `json:"trial"`   // when a trial is due
	TrialPause          float64       `json:"pause"`   // ms between the ejection and the trial
	TrialOverdue        float64       `json:"overdue"` // when the trial is forced
	ColdSince           float64       `json:"fresh"`   // start of the cold phase
	SendBudget          DecayingSum   `json:"budget"`  // tokens; the share of each process if there are two
	SentWork            DecayingSum   `json:"sent"`    // own work sent recently
	ReportedRate        float64       `json:"qps"`     // reported requests per second
	ReportedAt          float64       `json:"heard"`   // and when
	Capacity            MovingAverage `json:"cap"`     // requests per second
	Latency             MovingAverage `json:"lat"`     // ms per unit of work
}

// LearnedKey is what was learned of a key. Times are in ms.
type LearnedKey struct {
	ID       uint64      `json:"id"`       // hash of the key
	Rate     DecayingSum `json:"rate"`     // recent requests
	MeanWork float64     `json:"work"`     // per request
	StoredAt float64     `json:"stored"`   // when a fetch last came back
	StoredOn uint32      `json:"store_at"` // ID of the server that stored it; 0 = unknown
}

// Learned is what a Balancer has learned. Times are in ms.
type Learned struct {
	Version       int                    `json:"version"`  // of this format
	StartedAt     float64                `json:"began"`    // first event of the first process
	Servers       []LearnedServer        `json:"servers"`  // on the list
	Keys          []LearnedKey           `json:"keys"`     // the hottest
	TenantUse     map[string]DecayingSum `json:"used"`     // recent requests by tenant
	Arrivals      DecayingSum            `json:"arrivals"` // recent requests
	MeanHint      float64                `json:"hint"`     // mean Request.Hint
	LatencyMean   float64                `json:"mean"`     // ms, of served requests
	LatencySquare float64                `json:"square"`   // mean of the squared latencies, ms²
	Samples       float64                `json:"samples"`  // number that the means are taken over
	WaitShare     float64                `json:"bear"`     // least share of the aim accepted as wait, 0 to 1
	UsualFailures float64                `json:"usual"`    // share of failures at the median server
	LostShare     float64                `json:"lost"`     // share of overtaken attempts lost, 0 to 1
	ConnKeep      float64                `json:"keep"`     // ms that idle connections are kept
	FetchLimit    float64                `json:"fetches"`  // fetches in flight, of one process if two run
	FleetLatency  MovingAverage          `json:"jam"`      // ms per unit of work
	FetchLatency  MovingAverage          `json:"fetch"`    // ms
}

// exportTime returns a time in the exported form, in which long ago is 0.
func exportTime(t float64) float64 { return max(0, t) }

// importTime is the inverse of exportTime.
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

// ExportLearned returns what the Balancer has learned so far.
func (b *Balancer) ExportLearned(now float64) Learned {
	b.advance(now)
	l := Learned{Version: learnedVersion, StartedAt: b.startedAt, Arrivals: b.arrivals.snapshot(),
		MeanHint: b.meanHint, LatencyMean: b.latencies.mean, LatencySquare: b.latencies.meanSquare,
		Samples:   b.latencies.samples,
		WaitShare: b.waitShare, UsualFailures: b.usualFailures, LostShare: b.lostShare, ConnKeep: b.connKeep,
		FetchLimit: b.fetchLimit, FleetLatency: b.fleetLatency.snapshot(),
		FetchLatency: b.fetchLatency.snapshot(), TenantUse: map[string]DecayingSum{}}
	for name, use := range b.tenantUse {
		l.TenantUse[name] = use.snapshot()
	}
	for _, s := range b.serverList[:min(len(b.serverList), maxLearnedServers)] {
		l.Servers = append(l.Servers, LearnedServer{ID: s.ID, Started: s.Started, AcceptShare: s.acceptShare,
			Suspicion: s.suspicion, FailShare: s.failShare, ConsecutiveFailures: s.consecutiveFailures,
			LastReply: s.lastReply, Ejected: s.ejected, ZoneLost: s.zoneLost, ConnRefused: s.connRefused,
			TrialAt: s.trialAt, TrialPause: s.trialPause, TrialOverdue: s.trialOverdue,
			ColdSince:  exportTime(s.coldSince),
			SendBudget: s.sendBudget.snapshot(), SentWork: s.sentWork.snapshot(),
			ReportedRate: s.reportedRate, ReportedAt: exportTime(s.reportedAt),
			Capacity: s.capacity.snapshot(), Latency: s.latency.snapshot()})
	}
	top := make([]*keyTraffic, 0, maxLearnedKeys+1)
	for _, k := range b.keyList {
		top = insertHottest(top, k, maxLearnedKeys)
	}
	for _, k := range top {
		learnedKey := LearnedKey{ID: k.id, Rate: k.rate.snapshot(), MeanWork: k.meanWork,
			StoredAt: k.storedAt}
		if k.storedOn != nil {
			learnedKey.StoredOn = k.storedOn.ID
		}
		l.Keys = append(l.Keys, learnedKey)
	}
	return l
}

// ImportLearned applies what another process of this router has learned, completely or not at all; call it
// after the list and before any request. An error names what is impossible. Entries of servers that are not
// on the list, or have restarted since, are ignored.
func (b *Balancer) ImportLearned(now float64, l Learned) error {
	b.advance(now)
	if err := l.validate(now); err != nil {
		return err
	}
	b.startedAt = min(b.startedAt, l.StartedAt)
	b.arrivals, b.meanHint, b.latencies = l.Arrivals.restore(), l.MeanHint,
		moments{l.LatencyMean, l.LatencySquare, l.Samples}
	b.waitShare, b.usualFailures, b.lostShare, b.connKeep = l.WaitShare, l.UsualFailures, l.LostShare,
		min(b.cfg.ConnIdle, l.ConnKeep)
	b.fetchLimit, b.fleetLatency, b.fetchLatency = l.FetchLimit, l.FleetLatency.restore(),
		l.FetchLatency.restore()
	for name, use := range l.TenantUse {
		if b.tenantUse[name] != nil {
			*b.tenantUse[name] = use.restore()
		}
	}
	for _, learned := range l.Servers {
		s := b.servers[learned.ID]
		if s == nil || !s.listed || s.Started != learned.Started {
			continue
		}
		s.acceptShare, s.suspicion, s.failShare, s.consecutiveFailures, s.lastReply = learned.AcceptShare,
			learned.Suspicion, learned.FailShare, learned.ConsecutiveFailures, learned.LastReply
		s.ejected, s.zoneLost, s.connRefused, s.trialAt, s.trialPause, s.trialOverdue = learned.Ejected,
			learned.ZoneLost, learned.ConnRefused, learned.TrialAt, learned.TrialPause, learned.TrialOverdue
		s.coldSince, s.sendBudget, s.sentWork = importTime(learned.ColdSince), learned.SendBudget.restore(),
			learned.SentWork.restore()
		s.reportedRate, s.reportedAt, s.capacity, s.latency = learned.ReportedRate,
			importTime(learned.ReportedAt), learned.Capacity.restore(), learned.Latency.restore()
	}
	for _, learned := range l.Keys {
		if b.keys[learned.ID] != nil {
			continue
		}
		k := &keyTraffic{id: learned.ID, rate: learned.Rate.restore(), meanWork: learned.MeanWork,
			storedAt: learned.StoredAt, storedOn: b.servers[learned.StoredOn]}
		b.keys[learned.ID], b.keyList = k, append(b.keyList, k)
	}
	b.solveNeeded = true
	return nil
}

// validate returns an error that names the first impossible value. Clocks of processes of one machine may
// differ a little.
func (l *Learned) validate(now float64) error {
	if l.Version != learnedVersion {
		return fmt.Errorf("decide: learned state has version %d, this process needs %d", l.Version,
			learnedVersion)
	}
	if len(l.Servers) > maxLearnedServers || len(l.Keys) > maxLearnedKeys {
		return fmt.Errorf("decide: learned state has %d servers and %d keys, at most %d and %d are allowed",
			len(l.Servers), len(l.Keys), maxLearnedServers, maxLearnedKeys)
	}
	latest := now + 1000
	checker := &learnedChecker{}
	checker.checkValues("the router", 1e12, l.MeanHint, l.LatencyMean, l.LatencySquare, l.Samples, l.ConnKeep)
	checker.checkValues("the router", 1, l.WaitShare, l.UsualFailures, l.LostShare)
	checker.checkValues("fetches", maxFetchLimit, l.FetchLimit)
	checker.checkValues("the start", latest, l.StartedAt)
	checker.checkAverages("the router", latest, l.FleetLatency, l.FetchLatency)
	checker.checkSums("the router", latest, l.Arrivals)
	for name, use := range l.TenantUse {
		checker.checkSums("tenant "+name, latest, use)
	}
	for _, s := range l.Servers {
		name := fmt.Sprintf("server %08x", s.ID)
		checker.checkValues(name, 1, s.AcceptShare, s.FailShare)
		checker.checkValues(name, 1e12, s.Suspicion, s.TrialPause, s.ReportedRate,
			float64(s.ConsecutiveFailures))
		checker.checkValues(name, latest, s.Started, s.LastReply, s.ColdSince, s.ReportedAt)
		checker.checkValues(name, latest+1e6, s.TrialAt, s.TrialOverdue)
		checker.checkAverages(name, latest, s.Capacity, s.Latency)
		checker.checkSums(name, latest, s.SentWork)
		checker.checkValues(name, 1e12, math.Abs(s.SendBudget.Value)) // negative if overdrawn
		checker.checkValues(name, latest, s.SendBudget.Updated)
	}
	for _, k := range l.Keys {
		name := fmt.Sprintf("key %016x", k.ID)
		checker.checkValues(name, 1e6, k.MeanWork)
		checker.checkValues(name, latest, k.StoredAt)
		checker.checkSums(name, latest, k.Rate)
	}
	return checker.err
}

// learnedChecker keeps the error of the first impossible value.
type learnedChecker struct{ err error }

func (c *learnedChecker) checkValues(subject string, limit float64, values ...float64) {
	for _, v := range values {
		if c.err == nil && !(v >= 0 && v <= limit) {
			c.err = fmt.Errorf("decide: learned state of %s: impossible value %v", subject, v)
		}
	}
}

func (c *learnedChecker) checkAverages(subject string, latest float64, averages ...MovingAverage) {
	for _, l := range averages {
		c.checkValues(subject, 1e12, l.Value, l.Floor)
		c.checkValues(subject, latest, l.Updated)
	}
}

func (c *learnedChecker) checkSums(subject string, latest float64, sums ...DecayingSum) {
	for _, r := range sums {
		c.checkValues(subject, 1e12, r.Value)
		c.checkValues(subject, latest, r.Updated)
	}
}
