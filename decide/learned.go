package decide

import (
	"fmt"
	"math"
)

// What one process of a router hands to the next: what it has learned, as data, with times on the clock that both share.

// Bounds on what is taken from another process.
const (
	learnedVersion = 1
	maxLearned     = 4096 // servers
	learnedKeys    = 512  // the hottest are handed over: they hold what is solved, and who is served where
)

// Level is a level as data.
type Level struct {
	V     float64 `json:"v"`
	Floor float64 `json:"floor"`
	At    float64 `json:"at"`
}

// Rate is a rate as data.
type Rate struct {
	V  float64 `json:"v"`
	At float64 `json:"at"`
}

// LearnedServer is what was learned of a server. Times of 0 are long ago.
type LearnedServer struct {
	ID      uint32  `json:"id"`
	Started float64 `json:"started"` // of the process that it was learned of
	Accept  float64 `json:"accept"`
	Doubt   float64 `json:"doubt"`
	Fails   float64 `json:"fails"`
	Strikes int     `json:"strikes"`
	Reply   float64 `json:"reply"`
	Ejected bool    `json:"ejected"`
	Lost    bool    `json:"lost"`
	Refused bool    `json:"refused"`
	Trial   float64 `json:"trial"`
	Pause   float64 `json:"pause"`
	Overdue float64 `json:"overdue"`
	Fresh   float64 `json:"fresh"`
	Budget  Rate    `json:"budget"` // the part of each process, once they are two
	Sent    Rate    `json:"sent"`
	QPS     float64 `json:"qps"`
	Heard   float64 `json:"heard"`
	Cap     Level   `json:"cap"`
	Lat     Level   `json:"lat"`
}

// LearnedKey is what was learned of a key.
type LearnedKey struct {
	ID      uint64  `json:"id"`
	Rate    Rate    `json:"rate"`
	Work    float64 `json:"work"`
	Stored  float64 `json:"stored"`
	StoreAt uint32  `json:"store_at"` // 0 = not known
}

// Learned is what a Balancer has learned.
type Learned struct {
	Version  int             `json:"version"`
	Began    float64         `json:"began"`
	Servers  []LearnedServer `json:"servers"`
	Keys     []LearnedKey    `json:"keys"`
	Used     map[string]Rate `json:"used"` // by tenant
	Arrivals Rate            `json:"arrivals"`
	Hint     float64         `json:"hint"`
	Mean     float64         `json:"mean"`
	Square   float64         `json:"square"`
	Samples  float64         `json:"samples"`
	Bear     float64         `json:"bear"`
	Usual    float64         `json:"usual"`
	Lost     float64         `json:"lost"`
	Keep     float64         `json:"keep"`
	Fetches  float64         `json:"fetches"` // the bound of each process, once they are two
	Jam      Level           `json:"jam"`
	Fetch    Level           `json:"fetch"`
}

// ago is a time as data, in which long ago is 0.
func ago(t float64) float64 { return max(0, t) }

// long is ago's reverse.
func long(t float64) float64 {
	if t == 0 {
		return math.Inf(-1)
	}
	return t
}

func (l level) data() Level { return Level{l.v, l.floor, l.at} }
func (r rate) data() Rate   { return Rate{r.v, r.at} }

func (l Level) level() level { return level{l.V, l.Floor, l.At} }
func (r Rate) rate() rate    { return rate{r.V, r.At} }

// Learned is what the Balancer has learned by now.
func (b *Balancer) Learned(now float64) Learned {
	b.begin(now)
	l := Learned{Version: learnedVersion, Began: b.began, Arrivals: b.arrivals.data(), Hint: b.hint, Mean: b.x.mean, Square: b.x.square, Samples: b.x.n,
		Bear: b.bear, Usual: b.usual, Lost: b.lost, Keep: b.keep, Fetches: b.fetches, Jam: b.jam.data(), Fetch: b.olat.data(), Used: map[string]Rate{}}
	for name, u := range b.used {
		l.Used[name] = u.data()
	}
	for _, s := range b.order[:min(len(b.order), maxLearned)] {
		l.Servers = append(l.Servers, LearnedServer{ID: s.ID, Started: s.Started, Accept: s.accept, Doubt: s.doubt, Fails: s.fails, Strikes: s.strikes,
			Reply: s.reply, Ejected: s.ejected, Lost: s.lost, Refused: s.refused, Trial: s.trial, Pause: s.pause, Overdue: s.overdue, Fresh: ago(s.fresh),
			Budget: s.budget.data(), Sent: s.sent.data(), QPS: s.qps, Heard: ago(s.heard), Cap: s.cap.data(), Lat: s.lat.data()})
	}
	top := make([]*flow, 0, learnedKeys+1)
	for _, k := range b.keyList {
		top = hotter(top, k, learnedKeys)
	}
	for _, k := range top {
		out := LearnedKey{ID: k.id, Rate: k.rate.data(), Work: k.work, Stored: k.stored}
		if k.storeAt != nil {
			out.StoreAt = k.storeAt.ID
		}
		l.Keys = append(l.Keys, out)
	}
	return l
}

// Learn takes what another process of this router has learned, after the list and before any request, whole or not at all. An error says
// what is impossible in it. What it says of servers that are not on the list, or have started anew since, is passed over.
func (b *Balancer) Learn(now float64, l Learned) error {
	b.begin(now)
	if err := l.check(now); err != nil {
		return err
	}
	b.began = min(b.began, l.Began)
	b.arrivals, b.hint, b.x = l.Arrivals.rate(), l.Hint, moments{l.Mean, l.Square, l.Samples}
	b.bear, b.usual, b.lost, b.keep = l.Bear, l.Usual, l.Lost, min(b.cfg.ConnIdle, l.Keep)
	b.fetches, b.jam, b.olat = l.Fetches, l.Jam.level(), l.Fetch.level()
	for name, u := range l.Used {
		if b.used[name] != nil {
			*b.used[name] = u.rate()
		}
	}
	for _, d := range l.Servers {
		s := b.servers[d.ID]
		if s == nil || !s.listed || s.Started != d.Started {
			continue
		}
		s.accept, s.doubt, s.fails, s.strikes, s.reply = d.Accept, d.Doubt, d.Fails, d.Strikes, d.Reply
		s.ejected, s.lost, s.refused, s.trial, s.pause, s.overdue = d.Ejected, d.Lost, d.Refused, d.Trial, d.Pause, d.Overdue
		s.fresh, s.budget, s.sent = long(d.Fresh), d.Budget.rate(), d.Sent.rate()
		s.qps, s.heard, s.cap, s.lat = d.QPS, long(d.Heard), d.Cap.level(), d.Lat.level()
	}
	for _, d := range l.Keys {
		if b.keys[d.ID] != nil {
			continue
		}
		k := &flow{id: d.ID, rate: d.Rate.rate(), work: d.Work, stored: d.Stored, storeAt: b.servers[d.StoreAt]}
		b.keys[d.ID], b.keyList = k, append(b.keyList, k)
	}
	b.dirty = true
	return nil
}

// check says what is impossible in what was learned. Clocks of processes of one machine lie a moment apart.
func (l *Learned) check(now float64) error {
	if l.Version != learnedVersion {
		return fmt.Errorf("decide: learned by version %d, this is %d", l.Version, learnedVersion)
	}
	if len(l.Servers) > maxLearned || len(l.Keys) > learnedKeys {
		return fmt.Errorf("decide: learned of %d servers and %d keys, %d and %d at most", len(l.Servers), len(l.Keys), maxLearned, learnedKeys)
	}
	latest := now + 1000
	c := &possible{}
	c.figures("the router", 1e12, l.Hint, l.Mean, l.Square, l.Samples, l.Keep)
	c.figures("the router", 1, l.Bear, l.Usual, l.Lost)
	c.figures("fetches", maxFetchLimit, l.Fetches)
	c.figures("the start", latest, l.Began)
	c.levels("the router", latest, l.Jam, l.Fetch)
	c.rates("the router", latest, l.Arrivals)
	for name, u := range l.Used {
		c.rates("tenant "+name, latest, u)
	}
	for _, s := range l.Servers {
		name := fmt.Sprintf("server %08x", s.ID)
		c.figures(name, 1, s.Accept, s.Fails)
		c.figures(name, 1e12, s.Doubt, s.Pause, s.QPS, float64(s.Strikes))
		c.figures(name, latest, s.Started, s.Reply, s.Fresh, s.Heard)
		c.figures(name, latest+1e6, s.Trial, s.Overdue)
		c.levels(name, latest, s.Cap, s.Lat)
		c.rates(name, latest, s.Sent)
		c.figures(name, 1e12, math.Abs(s.Budget.V)) // it may be spent beyond its end
		c.figures(name, latest, s.Budget.At)
	}
	for _, k := range l.Keys {
		name := fmt.Sprintf("key %016x", k.ID)
		c.figures(name, 1e6, k.Work)
		c.figures(name, latest, k.Stored)
		c.rates(name, latest, k.Rate)
	}
	return c.err
}

// possible keeps the first impossible figure.
type possible struct{ err error }

func (c *possible) figures(of string, most float64, vs ...float64) {
	for _, v := range vs {
		if c.err == nil && !(v >= 0 && v <= most) {
			c.err = fmt.Errorf("decide: learned of %s: impossible value %v", of, v)
		}
	}
}

func (c *possible) levels(of string, latest float64, ls ...Level) {
	for _, l := range ls {
		c.figures(of, 1e12, l.V, l.Floor)
		c.figures(of, latest, l.At)
	}
}

func (c *possible) rates(of string, latest float64, rs ...Rate) {
	for _, r := range rs {
		c.figures(of, 1e12, r.V)
		c.figures(of, latest, r.At)
	}
}
