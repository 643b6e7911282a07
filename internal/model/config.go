// Package model plays the whole service in virtual time: clients, the front layer, routers that run the very module of decisions, cache
// servers, the origin, links, lists that come late, and faults. It is a discrete-event simulation: the same configuration and seed give
// the same history to the last event, on any machine. docs/design/model.md says what is modelled, what is left out, and why.
//
// All times are float64 milliseconds of virtual time, work is milliseconds on a core of speed 1.
package model

import (
	"errors"
	"fmt"
	"math"

	"mossproxy.example/mossproxy/decide"
)

// Class is one class of requests.
type Class struct {
	decide.Class
	Share float64 // of all requests
	Work  float64 // mean, ms
	Write bool
}

// Machine is a kind of cache server.
type Machine struct {
	Share float64 // of the fleet
	Cores int
	Speed float64 // of a core; 1 is what work is measured by
}

// Range is a span that values are drawn from, evenly.
type Range struct{ From, To float64 }

// Config is the service and its load. Default gives one with the figures of the platform's brief.
type Config struct {
	Seed     uint64
	For      float64 // ms of load; what is open then is still answered
	Zones    []string
	Routers  int
	Servers  int
	Machines []Machine
	Classes  []Class

	Load    float64 // part of the fleet's capacity that the load needs, when all reads hit
	Swing   float64 // part of the load by which it swells and falls, in a wave
	Wave    float64 // ms of one wave
	Keys    int
	Zipf    float64 // exponent of the keys' popularity
	PerCore int     // keys that a server keeps, for each core
	Keeps   bool    // copies of a key outlast a write of it
	Fixed   float64 // part of each piece of work that is the same for all; the rest is exponential
	Empty   bool    // servers begin with none, not with what a long calm time would have left in them

	Same, Cross float64 // ms one way within a zone, and between two
	Jitter      float64 // sigma of the logarithm of a way's time
	Timeout     float64 // ms for which a connection that does not come up is waited for

	Retries  int     // of a client, beyond its first try
	TryShare float64 // of the class's deadline after which a try is given up
	Backoff  float64 // ms before the next
	Notice   Range   // ms until a list tells of a server that ended, or that came
	Silent   Range   // ms until it tells of one that fell silent
	Front    Range   // ms for which the front layer sends to a router that is dead

	MissWork   float64 // ms of work that a miss costs
	Report     float64 // ms between two reports of a server's load
	Cold       float64 // ms that a server needs to be warm
	ColdFrom   float64 // part of its capacity that it starts with
	FallMult   float64 // multiple of what it can do, that pushes a cold server over
	FallFor    float64 // in so many ms; the same stops the origin
	Cancels    bool    // work that runs is dropped when it is given up; waiting work always is
	DrainGrace float64 // ms after the news for which something new may go to a server that drains

	OriginCores int
	OriginWork  float64 // mean ms of a fetch
	OriginStop  Range   // ms for which it stops when it is pushed over

	ClockApart float64 // ms by which a router's clock is ahead or behind at most,
	ClockDrift float64 // and the part of a second by which its seconds are longer or shorter at most

	Faults []Fault

	broken breaker // a module that is broken on purpose, to see that it is found; nil = none
}

// breaker changes what a router's module is told, and what comes of what it does.
type breaker interface {
	settings(*decide.Config)
	heard([]decide.Entry) []decide.Entry
	sent(r *router, q *try, to uint32)
	refused(r *router, q *try, wait float64) (instead bool)
	failed(r *router, q *try) (instead bool)
}

// Default is the service of the brief: 10 servers and 3 routers at two sites, 160 requests a second and so on.
func Default() Config {
	safe := decide.Class{Name: "read-status", Effect: decide.Repeatable, Aim: 600, Deadline: 2500, Worth: 5}
	keyed := decide.Class{Name: "log-handover", Effect: decide.Keyed, Scope: "all", Window: 2000, Aim: 600, Deadline: 1200, Worth: 10}
	once := decide.Class{Name: "order-poll", Effect: decide.Once, Aim: 1000, Deadline: 2500, Worth: 2}
	return Config{Seed: 1, For: 60e3, Zones: []string{"rades", "sfax"}, Routers: 3, Servers: 10,
		Machines: []Machine{{0.37, 2, 1.6}, {0.42, 1, 1}, {0.21, 1, 0.6}}, // brief, "The fleet": middles of the spans
		Classes:  []Class{{safe, 0.925, 70, false}, {keyed, 0.039, 70, true}, {once, 0.036, 70, true}},
		Load:     0.5, Swing: 0.25, Wave: 30e3, Keys: 6000, Zipf: 1.1, PerCore: 600,
		Same: 0.2, Cross: 15, Jitter: 0.2, Timeout: 250,
		Retries: 3, TryShare: 0.55, Backoff: 100, Notice: Range{690, 4300}, Silent: Range{4200, 14000}, Front: Range{1300, 3100},
		MissWork: 2, Report: 200, Cold: 8100, ColdFrom: 0.3, FallMult: 2.5, FallFor: 3000, DrainGrace: 500,
		OriginCores: 8, OriginWork: 120, OriginStop: Range{3000, 6000}} // a database that is slow and has room for twice the usual fetches
}

// Kind is what a fault does.
type Kind int

// The kinds of faults.
const (
	Kill    Kind = iota // the process ends: connections are refused
	Silence             // neither a reset nor an answer
	Hang                // takes requests and answers none
	Slow                // does its work at a fifth of its speed
	Drain               // the list says that it drains, and it serves on until it is killed
	Cut                 // what a router's zone sends to the server's zone is lost, that way alone
	Restart             // a router ends and comes back with its last list
	Stop                // the origin stops
)

var kinds = [...]string{"kill", "silence", "hang", "slow", "drain", "cut", "restart", "stop"}

// String is the kind's name in scenarios.
func (k Kind) String() string { return kinds[k] }

// Fault is one fault, from a time on, for so long. What dies comes back cold.
type Fault struct {
	Kind    Kind
	At, For float64
	Who     int // number of the server or router; of Cut the zone that sends
	To      int // Cut: the zone that is not reached
}

// maxServers, maxRouters and maxKeys bound a model's memory.
const (
	maxServers = 5000
	maxRouters = 200
	maxKeys    = 1 << 22
	maxFor     = 24 * 3600e3
)

// Check says what is wrong with a configuration, by the name of the field.
func (c *Config) Check() error {
	within := func(name string, v, from, to float64) error {
		if !(v >= from && v <= to) {
			return fmt.Errorf("%s: %v: %v to %v is right", name, v, from, to)
		}
		return nil
	}
	errs := []error{within("Servers", float64(c.Servers), 1, maxServers), within("Routers", float64(c.Routers), 1, maxRouters),
		within("Zones", float64(len(c.Zones)), 1, 16), within("Machines", float64(len(c.Machines)), 1, 64),
		within("Classes", float64(len(c.Classes)), 1, 64), within("Keys", float64(c.Keys), 1, maxKeys), within("For", c.For, 1, maxFor),
		within("Load", c.Load, 1e-6, 100), within("Swing", c.Swing, 0, 1), within("Wave", c.Wave, 1, maxFor), within("Zipf", c.Zipf, 1.0001, 10),
		within("PerCore", float64(c.PerCore), 1, maxKeys), within("Same", c.Same, 1e-3, 1e4), within("Cross", c.Cross, 1e-3, 1e4),
		within("Jitter", c.Jitter, 0, 2), within("Timeout", c.Timeout, 1, 1e6), within("Retries", float64(c.Retries), 0, 100),
		within("TryShare", c.TryShare, 0.01, 1), within("OriginCores", float64(c.OriginCores), 1, 1e4), within("OriginWork", c.OriginWork, 1e-3, 1e6),
		within("MissWork", c.MissWork, 1e-3, 1e6), within("Report", c.Report, 1, 1e6), within("Backoff", c.Backoff, 0, 1e6), within("Fixed", c.Fixed, 0, 1), within("ClockApart", c.ClockApart, 0, epoch/2), within("ClockDrift", c.ClockDrift, 0, 0.1)}
	for name, r := range map[string]Range{"Notice": c.Notice, "Silent": c.Silent, "Front": c.Front, "OriginStop": c.OriginStop} {
		errs = append(errs, within(name+".From", r.From, 0, 1e7), within(name+".To", r.To, r.From, 1e7))
	}
	for i, k := range c.Classes {
		errs = append(errs, within(fmt.Sprintf("Classes[%d].Share", i), k.Share, 0, 1), within(fmt.Sprintf("Classes[%d].Work", i), k.Work, 1e-3, 1e6))
	}
	for i, m := range c.Machines {
		errs = append(errs, within(fmt.Sprintf("Machines[%d].Cores", i), float64(m.Cores), 1, 1024), within(fmt.Sprintf("Machines[%d].Speed", i), m.Speed, 0.01, 100),
			within(fmt.Sprintf("Machines[%d].Share", i), m.Share, 0, 1))
	}
	for i, f := range c.Faults {
		at := fmt.Sprintf("Faults[%d]", i)
		errs = append(errs, within(at+".At", f.At, 0, maxFor), within(at+".For", f.For, 0, maxFor), within(at+".Kind", float64(f.Kind), 0, float64(Stop)))
		switch f.Kind {
		case Restart:
			errs = append(errs, within(at+".Who", float64(f.Who), 0, float64(c.Routers-1)))
		case Cut:
			errs = append(errs, within(at+".Who", float64(f.Who), 0, float64(len(c.Zones)-1)), within(at+".To", float64(f.To), 0, float64(len(c.Zones)-1)))
		case Stop:
		default:
			errs = append(errs, within(at+".Who", float64(f.Who), 0, float64(c.Servers-1)))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	m := c.module(0)
	return m.Validate()
}

// module is what a router's module is told.
func (c *Config) module(me int) decide.Config {
	m := decide.Config{Routers: c.Routers, Me: me, Zone: c.Zones[me%len(c.Zones)], OverWorth: 0.05, ByWork: true, Aside: true, OriginKind: "origin",
		Weighted: true, Probes: true, Cancel: true, RetryAfter: true, MaxAfter: 1200, MaxAttempts: 5, ConnIdle: 10e3,
		Cold: c.Cold, ColdFrom: c.ColdFrom, FallMult: c.FallMult, FallFor: c.FallFor}
	for _, k := range c.Classes {
		m.Classes = append(m.Classes, k.Class)
	}
	if c.broken != nil {
		c.broken.settings(&m)
	}
	return m
}

// capacity is the work a second that the fleet does, in ms.
func (c *Config) capacity(of []*server) (sum float64) {
	for _, s := range of {
		sum += s.full()
	}
	return math.Max(sum, 1e-9)
}
