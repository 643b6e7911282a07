// Package decide makes a router's decisions: which cache server gets a request, when to try again, when to
// refuse. This file is its interface; decide.go holds every decision.
//
// A Balancer is one router's share of the work. It has no goroutines and no clock: the router calls one method
// per event, each with the time in milliseconds, and the Balancer answers by calling its Host, always before the
// method returns. All times are float64 milliseconds on one clock that never runs backwards.
package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Effect says whether a request may run more than once.
type Effect int

// The effects that a class of requests can have.
const (
	Repeatable Effect = iota // safe to repeat
	Keyed                    // carries a key by which a group of servers drops repeats for a while
	Once                     // must never run twice
)

// Class describes one class of requests.
type Class struct {
	Name     string
	Effect   Effect
	Scope    string  // Keyed: servers that drop repeats together: "all", "zone" or "cell"
	Window   float64 // Keyed: how long they remember, from the send of the first attempt that may have run
	Aim      float64 // an answer within this time has its full worth
	Stretch  float64 // the aim grows by this multiple of the request's own work
	Deadline float64 // a client waits this long over all its tries
	Worth    float64
	Late     float64 // share of the worth left after the aim
	Stream   bool
}

// Tenant is one of the parties sharing the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all routers that count in full
}

// Config is what a router is told at its start.
type Config struct {
	Routers, Me int // how many routers there are, and this one's number
	Zone        string
	Classes     []Class
	Tenants     []Tenant
	OverWorth   float64 // share of the worth of a request beyond its tenant's quota
	ByWork      bool    // worth is counted for each unit of work, else for each request

	Alone      bool   // there is no origin: what the servers hold is all there is
	Aside      bool   // a miss comes back and the router asks the origin; else servers fetch by themselves
	OriginKind string // aside: the kind of the listed server that is the origin

	Weighted    bool // a listed size is a weight: the share of the keys that a server is to get, 1 = the usual
	SizesVary   bool // listed sizes are load figures that change from list to list
	ByProbe     bool // loads are reported in probe results only
	AskList     bool // the list is sent only to routers that ask for it
	MustAsk     float64
	Probes      bool
	Peers       bool
	Cancel      bool
	Copies      bool // a second attempt may run beside the first
	RetryAfter  bool // clients are told how long to stay away
	MaxAfter    float64
	MaxAttempts int
	ConnIdle    float64 // idle connections close by themselves after this; 0 = not told, and none is closed sooner
	CPU         float64 // microseconds of CPU a second, 0 = no limit

	Cold     float64 // a started server is warm after this time at the latest
	ColdFrom float64 // and starts with this share of its capacity at least
	FallMult float64 // sent more than this multiple of its capacity
	FallFor  float64 // for this long, a cold server falls over
}

// State is what the list says of a server.
type State int

// The states of a listed server.
const (
	Ready State = iota
	Draining
	Removed
)

// Entry is one server on the list.
type Entry struct {
	ID      uint32
	State   State
	Started float64 // time of the last start; 0 = long ago
	Size    float64
	Zone    string
	Cell    int
	Kind    string
}

// ListKind says what a list update holds.
type ListKind int

// The kinds of list updates.
const (
	Changes    ListKind = iota // changed entries only
	Full                       // the whole list
	Restored                   // the whole list as this router last held it
	ListFailed                 // the call for a list failed or the subscription broke
)

// QuotaStatus is where a request stands with its tenant's limits, which somebody else counts.
type QuotaStatus int

// The standings, the best first.
const (
	QuotaGuaranteed QuotaStatus = iota // the tenant always gets this, or nobody counts
	QuotaLeased                        // others leave it
	QuotaExceeded                      // nobody leaves it: the first to be refused
	QuotaDenied                        // it is not to be served, whatever is free
)

// Request is one request of a client. The Balancer owes it exactly one final answer.
type Request struct {
	ID     uint32
	Class  string
	Tenant string
	Key    uint64
	HasKey bool
	Left   float64 // time until the client gives this try up
	Hint   float64 // expected work; 0 = unknown
	Size   float64 // bytes; 0 = unknown
	Retry  bool
	Write  bool
	Owners []uint32 // the servers that may serve it, its key's home first; nil = any
	Stores bool     // no client's: it stores what a fetch of its key has brought, and comes before that one's Outcome

	Standing QuotaStatus
	Again    float64 // ms after which it would stand better; 0 = not known
}

// Status is how an attempt or a probe ended.
type Status int

// The ways an attempt can end.
const (
	OK Status = iota
	Failed
	QueueFull
	TimedOut
	ConnectError
	Reset
	Canceled
	Ignored
	Miss
	InvalidAnswer // an answer that can't be used: the attempt has run, and the server is at work
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == QueueFull || s == ConnectError || s == Ignored || s == Miss
}

// concernsServer reports whether the status says something of the server, rather than of the router's own doings.
func (s Status) concernsServer() bool { return s != Canceled && s != Ignored }

// Load is a server's report of its load; a figure below 0 or not finite is absent.
type Load struct{ QPS, EPS, Util, Inflight, Latency float64 }

// NoLoad is a report without figures.
var NoLoad = Load{-1, -1, -1, -1, -1}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          uint32
	Attempt     int
	Server      uint32
	Status      Status
	Latency     float64
	Final       bool // the request has its final answer
	CacheResult int  // 1 hit, 2 fetched or miss, 3 miss while another fetch of the key is out, 4 the origin has none
	Load        Load
	Owners      []uint32 // the server sent it on: who may serve it from now on; nil = as before
}

// Host carries out the actions of a Balancer. Attempts of a request are numbered from 0 in the order of Send.
type Host interface {
	Send(id, server uint32, timeout float64) // timeout 0 = until the client gives up
	Cancel(id uint32, attempt int)
	Refuse(id uint32, wait float64) // final: trying again is harmless
	Fail(id uint32)                 // final: no promise
	Probe(server uint32)
	Close(server uint32)               // closes the idle connections to a server
	Timer(after float64, token uint64) // calls Balancer.Timer with the token
	WatchList()                        // asks for changes of the list from now on
	Broadcast(data []byte)             // sends at most 256 bytes to every peer
	Log(text string)
}

// Validate reports the first setting that is missing or impossible.
func (c *Config) Validate() error {
	bad := func(name string, v any) error { return fmt.Errorf("decide: setting %s: impossible value %v", name, v) }
	pos := func(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
	nonneg := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	switch {
	case c.Routers < 1:
		return bad("Routers", c.Routers)
	case c.Me < 0 || c.Me >= c.Routers:
		return bad("Me", c.Me)
	case len(c.Classes) == 0:
		return bad("Classes", "(none)")
	case c.MaxAttempts < 1:
		return bad("MaxAttempts", c.MaxAttempts)
	case !nonneg(c.Cold):
		return bad("Cold", c.Cold)
	case !(c.ColdFrom > 0 && c.ColdFrom <= 1):
		return bad("ColdFrom", c.ColdFrom)
	case !pos(c.FallMult):
		return bad("FallMult", c.FallMult)
	case !pos(c.FallFor):
		return bad("FallFor", c.FallFor)
	case !nonneg(c.ConnIdle):
		return bad("ConnIdle", c.ConnIdle)
	case !nonneg(c.CPU):
		return bad("CPU", c.CPU)
	case !nonneg(c.OverWorth):
		return bad("OverWorth", c.OverWorth)
	case c.Aside && c.Alone:
		return bad("Alone", "(with Aside)")
	case c.Aside && c.OriginKind == "":
		return bad("OriginKind", "(none)")
	}
	for _, k := range c.Classes {
		name := func(field string) string { return fmt.Sprintf("Classes[%s].%s", k.Name, field) }
		switch {
		case k.Name == "":
			return bad("Classes[].Name", "(none)")
		case !pos(k.Aim):
			return bad(name("Aim"), k.Aim)
		case !pos(k.Deadline):
			return bad(name("Deadline"), k.Deadline)
		case !nonneg(k.Worth):
			return bad(name("Worth"), k.Worth)
		case !nonneg(k.Stretch):
			return bad(name("Stretch"), k.Stretch)
		case k.Effect < Repeatable || k.Effect > Once:
			return bad(name("Effect"), k.Effect)
		case k.Effect == Keyed && !nonneg(k.Window):
			return bad(name("Window"), k.Window)
		case k.Effect == Keyed && k.Scope != "all" && k.Scope != "zone" && k.Scope != "cell":
			return bad(name("Scope"), k.Scope)
		}
	}
	for _, t := range c.Tenants {
		if t.Name == "" || !nonneg(t.Quota) {
			return bad(fmt.Sprintf("Tenants[%s].Quota", t.Name), t.Quota)
		}
	}
	return nil
}

// Configure changes classes, tenants and what a request over its tenant's quota is worth. Requests that are open keep
// the class that they came with. An error names the setting that is impossible, and nothing changes.
func (b *Balancer) Configure(now float64, classes []Class, tenants []Tenant, overWorth float64) error {
	cfg := b.cfg
	cfg.Classes, cfg.Tenants, cfg.OverWorth = classes, tenants, overWorth
	if err := cfg.Validate(); err != nil {
		return err
	}
	b.advance(now)
	b.cfg = cfg
	b.setUpClasses()
	return nil
}

// setUpClasses makes the records of classes and tenants; tenants that stay keep what they have used.
func (b *Balancer) setUpClasses() {
	used := b.tenantUse
	b.classes, b.quotas, b.tenantUse, b.maxWorth = map[string]*Class{}, map[string]float64{}, map[string]*decayingSum{}, 0
	for i, c := range b.cfg.Classes {
		b.classes[c.Name], b.maxWorth = &b.cfg.Classes[i], max(b.maxWorth, c.Worth)
	}
	for _, t := range b.cfg.Tenants {
		if b.quotas[t.Name], b.tenantUse[t.Name] = t.Quota, used[t.Name]; b.tenantUse[t.Name] == nil {
			b.tenantUse[t.Name] = &decayingSum{}
		}
	}
}

// PeerMessage takes a message of another router. Routers tell each other nothing yet.
func (b *Balancer) PeerMessage(now float64, _ int, _ []byte) { b.advance(now) }

// New returns a Balancer for the settings, or an error that names the setting that is missing or impossible.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	parts := float64(cfg.Routers)
	b := &Balancer{cfg: cfg, tier: Tier{cfg.Routers, parts, math.Inf(1), parts}, processes: 1, shares: parts, host: host, rng: rand.New(rand.NewPCG(seed, 1)),
		startedAt: -1, retryBudget: 10, fetchLimit: initialFetchLimit(parts), waitShare: 0.2, connKeep: cfg.ConnIdle,
		trafficShare: 1 / float64(cfg.Routers),
		nextProbe:    int(seed % 4096), watchAt: math.Inf(1), servers: map[uint32]*server{}, zones: map[string]*zone{}, keys: map[uint64]*keyTraffic{},
		requests: map[uint32]*request{}}
	b.setUpClasses()
	return b, nil
}

func (b *Balancer) advance(now float64) {
	if b.now = now; b.startedAt < 0 {
		b.startedAt, b.solvedAt = now, now
		b.host.Timer(housekeepInterval, tickToken)
	}
	if now > b.tier.Until {
		b.applyShares()
	}
}

// ServerCounts counts the cache servers on the list, and those of them that requests are kept from now: they drain, or are taken for sick.
func (b *Balancer) ServerCounts() (known, avoided int) {
	for _, s := range b.serverList {
		if s.ejected || s.State != Ready {
			avoided++
		}
	}
	return len(b.serverList), avoided
}

// TrafficShare is the part of all traffic that this router is taken to have, 0 to 1.
func (b *Balancer) TrafficShare() float64 { return b.trafficShare }

// ClientGone tells that the client has left.
func (b *Balancer) ClientGone(now float64, id uint32) {
	b.advance(now)
	if r := b.requests[id]; r != nil && !r.finished {
		b.closeRequest(r)
		b.dispatchHeld()
	}
}

// StreamStarted tells that a stream has begun: the attempt belongs to the client, and nothing is left to decide.
func (b *Balancer) StreamStarted(now float64, id uint32) {
	b.advance(now)
	if r := b.requests[id]; r != nil {
		r.deadline, r.aimAt = math.Inf(1), math.Inf(-1)
	}
}

// Timer takes a timer that came due.
func (b *Balancer) Timer(now float64, token uint64) {
	b.advance(now)
	if token == tickToken {
		b.housekeep()
	} else if r := b.requests[uint32(token>>8)]; r != nil && !r.finished {
		if i := int(token & 255); i > 0 {
			b.handleStall(r, i-1)
		} else if r.waitingSince > 0 && r.inFlight == 0 { // waited too long
			b.endRequest(r)
		}
		b.dispatchHeld()
	}
}

// Request takes a request of a client.
func (b *Balancer) Request(now float64, q Request) {
	b.advance(now)
	c := b.classes[q.Class]
	if c == nil {
		b.host.Fail(q.ID)
		return
	}
	r := &request{Request: q, class: c, deadline: now + q.Left, worth: c.Worth, work: b.relativeWork(q.Hint), key: b.trafficOf(q)}
	r.aimAt = now + min(q.Left, c.Aim+c.Stretch*q.Hint)
	b.requests[q.ID] = r
	b.handleArrival(r)
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now float64, o Outcome) {
	b.advance(now)
	s, r := b.servers[o.Server], b.requests[o.ID]
	if s != nil {
		b.recordLoad(s, o.Load)
	}
	if a := r.recordOutcome(o.Attempt, o.Status); a != nil {
		b.handleOutcome(r, a, o)
	}
}

// ProbeResult takes the result of a probe.
func (b *Balancer) ProbeResult(now float64, id uint32, st Status, l Load) {
	b.advance(now)
	s := b.servers[id]
	if s == nil {
		return
	}
	b.recordLoad(s, l)
	if st != OK && st != QueueFull {
		s.consecutiveFailures++
		b.eject(s, true)
	}
}
