// Package decide makes a router's decisions: which cache server gets a request, when to retry it and when to
// refuse it. This file is its interface; the decisions are in decide.go.
//
// A Balancer is one router's share of the work. It has no goroutines and no clock: the router calls one
// method per event, each with the time in milliseconds, and the Balancer answers by calling its Host, always
// before the method returns. All times are float64 milliseconds on one clock that never runs backwards.
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
	Repeatable Effect = iota // idempotent: safe to repeat
	Keyed                    // has an idempotency key: a group of servers drops duplicates for a while
	Once                     // must never run twice
)

// Class describes one class of requests.
type Class struct {
	Name     string
	Effect   Effect
	Scope    string  // Keyed: servers that drop duplicates together: "all", "zone" or "cell"
	Window   float64 // Keyed: ms that they remember, from the send of the first attempt that may have run
	Aim      float64 // latency target, ms: an answer within this time has its full worth
	Stretch  float64 // ms by which the aim grows per unit of Request.Hint
	Deadline float64 // ms that a client waits over all its tries
	Worth    float64 // value of serving a request, used as its priority; 0 or more
	Late     float64 // share of the worth that is left after the aim, 0 to 1
	Stream   bool    // the answer is a stream
}

// Tenant is one of the parties sharing the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all routers that count with their full worth
}

// Config holds the settings that a router starts with.
type Config struct {
	Routers, Me int      // number of routers, and this one's index, from 0
	Zone        string   // of this router
	Classes     []Class  // at least one
	Tenants     []Tenant // those with a quota
	OverWorth   float64  // share of its worth that a request beyond its tenant's quota keeps, 0 or more
	ByWork      bool     // worth is counted per unit of work instead of per request

	Alone      bool   // there is no origin: the servers hold all the data there is
	Aside      bool   // cache-aside: on a miss the router asks the origin; else servers fetch themselves
	OriginKind string // Aside: the kind of the listed server that is the origin

	Weighted    bool    // a listed size is a weight: a server's share of the keys, 1 = the default
	SizesVary   bool    // listed sizes are load figures that change from list to list
	ByProbe     bool    // loads are reported in probe results only
	AskList     bool    // the list is sent only to routers that ask for it
	MustAsk     float64 // ms without asking after which list updates count as announced anyway; 0 = never
	Probes      bool    // servers may be probed
	Peers       bool    // routers can send each other messages
	Cancel      bool    // attempts can be canceled
	Copies      bool    // hedged attempts are allowed: a second attempt may run beside the first
	RetryAfter  bool    // clients are told how long to stay away
	MaxAfter    float64 // ms that a client is told to stay away at most; 0 = no limit
	MaxAttempts int     // per request, 1 or more
	MaxKeys     int     // keys whose traffic is recorded; 0 = DefaultMaxKeys
	ConnIdle    float64 // ms after which idle connections close by themselves; 0 = unknown
	CPU         float64 // microseconds of CPU per second, 0 = no limit

	Cold     float64 // ms after its start by which a server is warm
	ColdFrom float64 // share of its capacity that a server starts with at least, above 0 and up to 1
	FallMult float64 // multiple of its capacity beyond which a cold server is overloaded
	FallFor  float64 // ms of such an overload after which a cold server fails
}

// State is the state of a server on the list.
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
	Started float64 // time of the last start, ms; 0 = long ago
	Size    float64 // weight or relative capacity, 0 = unknown; see Config.Weighted and Config.SizesVary
	Zone    string  // failure domain
	Cell    int     // group of servers that may drop duplicates together
	Kind    string  // tells the origin from the cache servers; see Config.OriginKind
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

// QuotaStatus says how a request stands against its tenant's limits, which are counted outside this package.
type QuotaStatus int

// The quota statuses, in descending order of priority.
const (
	QuotaGuaranteed QuotaStatus = iota // within the tenant's guarantee, or nobody counts
	QuotaLeased                        // uses capacity that other tenants leave unused
	QuotaExceeded                      // beyond what others leave unused: the first to be refused
	QuotaDenied                        // must not be served, even with free capacity
)

// Request is one request of a client. The Balancer owes it exactly one final answer.
type Request struct {
	ID     uint32
	Class  string
	Tenant string
	Key    uint64  // hash of the key; see HasKey
	HasKey bool    // Key is set
	Left   float64 // ms until the client gives this try up
	// ms until an attempt has arrived whole at its server, at the latest.
	ArrivalTime float64
	Hint        float64  // expected work; 0 = unknown
	Size        float64  // bytes; 0 = unknown
	Retry       bool     // the client tries again after a refusal or failure
	Write       bool     // changes the value of the key
	Owners      []uint32 // servers that may serve it, its key's home first; nil = any
	Stores      bool     // not a client's: stores what a fetch returned, before the fetch's Outcome

	Standing QuotaStatus // against its tenant's limits
	Again    float64     // ms after which its quota status would be better; 0 = unknown
}

// Status is how an attempt or a probe ended.
type Status int

// The ways an attempt can end.
const (
	OK        Status = iota
	Failed           // the server answered with a failure
	QueueFull        // the server refused it without running it
	TimedOut
	ConnectError  // no usable connection: it was not sent
	Reset         // the connection ended before the answer
	Canceled      // by the router
	Ignored       // it did not run, which says nothing about the server
	Miss          // the server does not have the key
	InvalidAnswer // the attempt ran and the server works, but its answer can't be used
)

// NeverRan reports whether the status proves that the attempt did not run.
func (s Status) NeverRan() bool {
	return s == QueueFull || s == ConnectError || s == Ignored || s == Miss
}

// concernsServer reports whether the status says something about the server; Canceled and Ignored don't.
func (s Status) concernsServer() bool { return s != Canceled && s != Ignored }

// Load is a server's report of its load; a figure that is negative or not finite is absent. QPS and EPS are
// requests and errors per second, Util is the utilisation (1 = full), Inflight counts requests, Latency is in
// ms.
type Load struct{ QPS, EPS, Util, Inflight, Latency float64 }

// NoLoad is a report without figures.
var NoLoad = Load{-1, -1, -1, -1, -1}

// Outcome is the end of one attempt.
type Outcome struct {
	ID          uint32 // of the request
	Attempt     int    // number of the attempt, from 0 in the order of Host.Send
	Server      uint32
	Status      Status
	Latency     float64  // ms
	Final       bool     // the request has its final answer
	CacheResult int      // 1 hit, 2 fetched or miss, 3 miss during another fetch, 4 absent at the origin
	Load        Load     // the server's load report, or NoLoad
	Owners      []uint32 // the server redirected the request to these owners; nil = no redirect
}

// Host carries out the actions of a Balancer. Attempts of a request are numbered from 0 in the order of Send.
type Host interface {
	// Send starts an attempt; the timeout is in ms, 0 = until the client gives up.
	Send(id, server uint32, timeout float64)
	// Cancel aborts an attempt.
	Cancel(id uint32, attempt int)
	// Refuse gives a final answer that makes a retry harmless; the client may wait so many ms first, 0 =
	// unknown.
	Refuse(id uint32, wait float64)
	// Fail gives a final answer that does not say whether the request ran.
	Fail(id uint32)
	// Probe asks a server for its load; Balancer.ProbeResult takes the answer.
	Probe(server uint32)
	// Close closes the idle connections to a server.
	Close(server uint32)
	// Timer calls Balancer.Timer with the token after so many ms.
	Timer(after float64, token uint64)
	// WatchList subscribes to changes of the list.
	WatchList()
	// Broadcast sends at most 256 bytes to every peer.
	Broadcast(data []byte)
	// Log records a message.
	Log(text string)
}

// DefaultMaxKeys is the default of Config.MaxKeys.
const DefaultMaxKeys = 1 << 20

// KeyBytes is about the memory that the record of a key takes.
const KeyBytes = 320

// Validate returns an error that names the first setting that is missing or impossible.
func (c *Config) Validate() error {
	bad := func(name string, v any) error {
		return fmt.Errorf("decide: setting %s: impossible value %v", name, v)
	}
	positive := func(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
	nonNegative := func(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }
	switch {
	case c.Routers < 1:
		return bad("Routers", c.Routers)
	case c.Me < 0 || c.Me >= c.Routers:
		return bad("Me", c.Me)
	case len(c.Classes) == 0:
		return bad("Classes", "(none)")
	case c.MaxKeys < 0:
		return bad("MaxKeys", c.MaxKeys)
	case c.MaxAttempts < 1:
		return bad("MaxAttempts", c.MaxAttempts)
	case !nonNegative(c.Cold):
		return bad("Cold", c.Cold)
	case !(c.ColdFrom > 0 && c.ColdFrom <= 1):
		return bad("ColdFrom", c.ColdFrom)
	case !positive(c.FallMult):
		return bad("FallMult", c.FallMult)
	case !positive(c.FallFor):
		return bad("FallFor", c.FallFor)
	case !nonNegative(c.ConnIdle):
		return bad("ConnIdle", c.ConnIdle)
	case !nonNegative(c.CPU):
		return bad("CPU", c.CPU)
	case !nonNegative(c.OverWorth):
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
		case !positive(k.Aim):
			return bad(name("Aim"), k.Aim)
		case !positive(k.Deadline):
			return bad(name("Deadline"), k.Deadline)
		case !nonNegative(k.Worth):
			return bad(name("Worth"), k.Worth)
		case !nonNegative(k.Stretch):
			return bad(name("Stretch"), k.Stretch)
		case k.Effect < Repeatable || k.Effect > Once:
			return bad(name("Effect"), k.Effect)
		case k.Effect == Keyed && !nonNegative(k.Window):
			return bad(name("Window"), k.Window)
		case k.Effect == Keyed && k.Scope != "all" && k.Scope != "zone" && k.Scope != "cell":
			return bad(name("Scope"), k.Scope)
		}
	}
	for _, t := range c.Tenants {
		if t.Name == "" || !nonNegative(t.Quota) {
			return bad(fmt.Sprintf("Tenants[%s].Quota", t.Name), t.Quota)
		}
	}
	return nil
}

// Configure changes classes, tenants and the share of its worth that a request over its tenant's quota keeps.
// Open requests keep the class that they arrived with. An error names the impossible setting, and nothing
// changes.
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

// setUpClasses rebuilds the lookup tables of classes and tenants; tenants that stay keep their counted use.
func (b *Balancer) setUpClasses() {
	used := b.tenantUse
	b.classes, b.quotas, b.tenantUse, b.maxWorth = map[string]*Class{}, map[string]float64{},
		map[string]*decayingSum{}, 0
	for i, c := range b.cfg.Classes {
		b.classes[c.Name], b.maxWorth = &b.cfg.Classes[i], max(b.maxWorth, c.Worth)
	}
	for _, t := range b.cfg.Tenants {
		if b.quotas[t.Name], b.tenantUse[t.Name] = t.Quota, used[t.Name]; b.tenantUse[t.Name] == nil {
			b.tenantUse[t.Name] = &decayingSum{}
		}
	}
}

// PeerMessage handles a message of another router. Routers don't send any yet.
func (b *Balancer) PeerMessage(now float64, _ int, _ []byte) { b.advance(now) }

// New returns a Balancer for the settings; the seed makes its random choices repeatable. An error names the
// setting that is missing or impossible.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	shares := float64(cfg.Routers)
	if cfg.MaxKeys == 0 {
		cfg.MaxKeys = DefaultMaxKeys
	}
	b := &Balancer{cfg: cfg, tier: Tier{cfg.Routers, shares, math.Inf(1), shares}, processes: 1,
		shares: shares, host: host, rng: rand.New(rand.NewPCG(seed, 1)),
		startedAt: -1, retryBudget: 10, fetchLimit: initialFetchLimit(shares), waitShare: 0.2,
		connKeep:     cfg.ConnIdle,
		trafficShare: 1 / float64(cfg.Routers),
		nextProbe:    int(seed % 4096), listCalls: newListCalls(), servers: map[uint32]*server{},
		zones: map[string]*zone{}, keys: map[uint64]*keyTraffic{},
		requests: map[uint32]*request{}}
	b.setUpClasses()
	return b, nil
}

// advance sets the current time, arms the housekeeping timer at the first event and applies a tier change
// that is due.
func (b *Balancer) advance(now float64) {
	if b.now = now; b.startedAt < 0 {
		b.startedAt, b.solvedAt = now, now
		b.host.Timer(housekeepInterval, tickToken)
	}
	if now > b.tier.Until {
		b.applyShares()
	}
}

// ServerCounts returns the number of cache servers on the list, and how many of them are avoided because they
// drain or are ejected.
func (b *Balancer) ServerCounts() (known, avoided int) {
	for _, s := range b.serverList {
		if s.ejected || s.State != Ready {
			avoided++
		}
	}
	return len(b.serverList), avoided
}

// TrafficShare returns the estimated share of all traffic that this router handles, 0 to 1.
func (b *Balancer) TrafficShare() float64 { return b.trafficShare }

// ClientGone handles the departure of a client before its request was answered.
func (b *Balancer) ClientGone(now float64, id uint32) {
	b.advance(now)
	if r := b.requests[id]; r != nil && !r.finished {
		b.closeRequest(r)
		b.dispatchHeld()
	}
}

// StreamStarted handles the start of a streamed answer: the attempt is the final one, and nothing is left to
// decide.
func (b *Balancer) StreamStarted(now float64, id uint32) {
	b.advance(now)
	if r := b.requests[id]; r != nil {
		r.deadline, r.aimAt = math.Inf(1), math.Inf(-1)
	}
}

// Timer handles a timer that expired.
func (b *Balancer) Timer(now float64, token uint64) {
	b.advance(now)
	if token == tickToken {
		b.housekeep()
	} else if r := b.requests[uint32(token>>8)]; r != nil && !r.finished {
		if i := int(token & 255); i > 0 {
			b.handleStall(r, i-1)
		} else if r.waitingSince > 0 && r.inFlight == 0 { // it waited too long
			b.endRequest(r)
		}
		b.dispatchHeld()
	}
}

// Request handles the arrival of a request. A request of an unknown class fails.
func (b *Balancer) Request(now float64, req Request) {
	b.advance(now)
	c := b.classes[req.Class]
	if c == nil {
		b.host.Fail(req.ID)
		return
	}
	r := &request{Request: req, class: c, deadline: now + req.Left, worth: c.Worth,
		work: b.relativeWork(req.Hint), key: b.trafficOf(req)}
	r.aimAt = now + min(req.Left, c.Aim+c.Stretch*req.Hint)
	b.requests[req.ID] = r
	b.handleArrival(r)
}

// Outcome handles the end of an attempt.
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

// ProbeResult handles the result of a probe.
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
