package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults beside the modes of servers.
const (
	CacheMode     Kind = "cache"         // a cache server changes its mode for a while
	OriginMode    Kind = "origin"        // and the origin
	CacheTwice    Kind = "cache-twice"   // a cache server says answers, among them error lines, twice for a longer while
	OriginTwice   Kind = "origin-twice"  // and the origin
	CacheDown     Kind = "down"          // a cache server dies and comes back
	CloseIdle     Kind = "close"         // a cache server resets all its connections
	DrainServer   Kind = "drain"         // discovery says that a cache server drains, and later that it is active
	DiscoveryDown Kind = "discovery"     // discovery is away
	SilentWatches Kind = "silent"        // the open watches of discovery fall silent; new calls are answered
	HoldUp        Kind = "hold-up"       // a router is stopped for 0.15 s
	Reload        Kind = "reload"        // a router reads its configuration again
	Terminate     Kind = "terminate"     // a router is told to end, and killed at the earliest time; another takes its place
	SignalSeries  Kind = "signals"       // as above, with TERM, HUP and TERM within 50 ms
	Crash         Kind = "crash"         // a router is killed, and another takes its place
	Crowd         Kind = "crowd"         // idle clients fill the descriptors of a router
	HalfRequests  Kind = "half-requests" // clients stop in the middle of a request and stay
	LoudClients   Kind = "loud"          // clients send commands that need no server at full speed
	ComeAgain     Kind = "come-again"    // unsafe requests come again with their ids after their clients have left
	// Operators take a router out of service while some of its connections are never idle, and later put it
	// back into service or end it.
	OutOfService Kind = "out-of-service"
)

// Fault is one fault of a play.
type Fault struct {
	At     time.Duration // from the beginning
	For    time.Duration
	Kind   Kind
	Target int  // which server or router
	Mode   Mode // CacheMode, OriginMode; OutOfService: that of the origin meanwhile
	// OutOfService: the router is told to end instead of going back into service.
	Drained bool
	Loud    LoudKind // LoudClients: what they send
}

func (f Fault) String() string {
	return fmt.Sprintf("%v %s %d %s%s for %v", f.At.Round(time.Millisecond), f.Kind, f.Target, f.Mode, f.Loud, f.For.Round(time.Millisecond))
}

// Plan is one play, drawn from a seed.
type Plan struct {
	Seed             uint64
	Routers, Servers int
	Length           time.Duration // for which clients send
	PerSecond        float64       // requests of the clients of a router
	Leaves, Bursts   float64       // shares of requests whose client leaves early, or that come many at once,
	Pipelined        float64       // and that are sent behind an open one
	settings         settings
	Faults           []Fault
}

// Size bounds a play.
type Size struct {
	Routers [2]int // least and most
	Length  time.Duration
}

var (
	cacheModes  = []Mode{Slow, Hang, Cut, Reset, Busy, Fail, Spoil, Twice, Twice, Unsolicited, Stall, SlowBody, SlowBody, LateBody}
	originModes = []Mode{Slow, Hang, Cut, Reset, Busy, Fail, Endless, Twice, Twice, Stall, SlowBody, LateBody}
	drainModes  = []Mode{Normal, Slow, Hang, Hang}
)

// Draw draws a play.
func Draw(seed uint64, size Size) Plan {
	rng := rand.New(rand.NewPCG(seed, 826386))
	p := Plan{Seed: seed, Routers: size.Routers[0] + rng.IntN(size.Routers[1]-size.Routers[0]+1), Servers: 5 + rng.IntN(5), Length: size.Length,
		PerSecond: 8 + 12*rng.Float64(), Leaves: 0.15 * rng.Float64(), Bursts: 0.02 * rng.Float64(), Pipelined: 0.2 * rng.Float64()}
	p.settings = drawSettings(rng, p.Routers)
	for _, k := range []struct {
		kind Kind
		per  float64 // faults in ten seconds
	}{{CacheMode, 14}, {OriginMode, 4}, {CacheTwice, 6}, {OriginTwice, 2}, {CacheDown, 2}, {CloseIdle, 2}, {DrainServer, 2}, {DiscoveryDown, 1}, {HoldUp, 8}, {Reload, 2},
		{Terminate, 2}, {SignalSeries, 1}, {Crash, 1}, {Crowd, 0.5}, {HalfRequests, 1}, {OutOfService, 2}, {LoudClients, 3}, {ComeAgain, 3}} {
		n := k.per * size.Length.Seconds() / 10
		for range int(n + rng.Float64()) {
			p.Faults = append(p.Faults, p.drawFault(rng, k.kind))
		}
	}
	slices.SortFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// drawSettings draws what the routers are told. Deadlines go up to the longest that the protocol knows.
func drawSettings(rng *rand.Rand, routers int) settings {
	ms := func(least, most int) time.Duration {
		return time.Duration(least+rng.IntN(most-least+1)) * time.Millisecond
	}
	s := settings{Routers: routers, ConnectTimeout: []time.Duration{250, 600, 1500}[rng.IntN(3)] * time.Millisecond, Cancel: rng.IntN(4) > 0,
		ColdPhase: ms(2000, 6000), ColdFrom: 0.1 + 0.2*rng.Float64(), FallFactor: 1.5 + 1.5*rng.Float64(), FallFor: ms(1000, 2500)}
	for _, c := range []Class{{Name: "read", Effect: Repeatable}, {Name: "put", Effect: Keyed, Window: ms(500, 2000)}, {Name: "bill", Effect: Once}, {Name: "poll", Effect: Once, Read: true}} {
		c.Target, c.Deadline = ms(200, 600), ms(700, 3000)
		s.Classes = append(s.Classes, c)
	}
	return s
}

func (p *Plan) drawFault(rng *rand.Rand, kind Kind) Fault {
	f := Fault{Kind: kind, At: 300*time.Millisecond + time.Duration(rng.Float64()*float64(p.Length-500*time.Millisecond)),
		For: time.Duration(200+rng.IntN(1800)) * time.Millisecond}
	switch kind {
	case CacheMode:
		f.Target, f.Mode = rng.IntN(p.Servers), cacheModes[rng.IntN(len(cacheModes))]
	case OriginMode:
		f.Mode = originModes[rng.IntN(len(originModes))]
	case CacheDown, CloseIdle, DrainServer:
		f.Target = rng.IntN(p.Servers)
	case CacheTwice:
		f.Target, f.Mode, f.For = rng.IntN(p.Servers), Twice, time.Duration(1000+rng.IntN(3000))*time.Millisecond
	case OriginTwice:
		f.Mode, f.For = Twice, time.Duration(1000+rng.IntN(3000))*time.Millisecond
	case HoldUp:
		f.Target, f.For = rng.IntN(p.Routers), time.Duration(60+rng.IntN(91))*time.Millisecond
	case LoudClients:
		f.Target, f.Loud = rng.IntN(p.Routers), serverlessKinds[rng.IntN(len(serverlessKinds))]
	case OutOfService:
		f.Target, f.Drained, f.Mode = rng.IntN(p.Routers), rng.IntN(3) == 0, drainModes[rng.IntN(len(drainModes))]
	default:
		f.Target = rng.IntN(p.Routers)
	}
	return f
}

func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d routers, %d servers, %v, %.0f requests a second each, connect timeout %v", p.Seed, p.Routers, p.Servers, p.Length, p.PerSecond,
		p.settings.ConnectTimeout)
	for _, c := range p.settings.Classes {
		fmt.Fprintf(&b, ", %s %v", c.Name, c.Deadline)
	}
	for _, f := range p.Faults {
		fmt.Fprintf(&b, "\n  %v", f)
	}
	return b.String()
}
