package engine

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// publishInterval is how often an engine publishes its counts, in ms: figures may be half a second old.
const publishInterval = 50

// ClassCounts are the final answers to the requests of a class.
type ClassCounts struct {
	Class                   string
	Served, Refused, Failed uint64
}

// CollectCounts are what an engine has counted since its start, all at one moment. What is published is never changed.
type Counts struct {
	Classes                      []ClassCounts // by name, also those that nobody has asked for
	Attempts                     uint64        // attempts that were written whole, to cache servers and to the origin
	Open                         int           // requests that are taken and not answered
	KnownServers, AvoidedServers int           // cache servers on the list, and those of them that requests are kept from
	Rules                        []guard.Count // how often each rule was checked, kept and broken; by rule
	Arrivals                     decide.Demand // what has come by worth; nothing where routers tell each other nothing
}

// Reserve adds the counts of another engine.
func (c *Counts) Add(o Counts) {
	c.Attempts, c.Open = c.Attempts+o.Attempts, c.Open+o.Open
	c.KnownServers, c.AvoidedServers = c.KnownServers+o.KnownServers, c.AvoidedServers+o.AvoidedServers
	c.Arrivals.Add(o.Arrivals)
	for i, r := range o.Rules {
		if i == len(c.Rules) {
			c.Rules = append(slices.Clip(c.Rules), guard.Count{Rule: r.Rule})
		}
		c.Rules[i].Add(r)
	}
	for _, k := range o.Classes {
		i, there := slices.BinarySearchFunc(c.Classes, k, compareByClass)
		if !there {
			c.Classes = slices.Insert(c.Classes, i, ClassCounts{Class: k.Class})
		}
		at := &c.Classes[i]
		at.Served, at.Refused, at.Failed = at.Served+k.Served, at.Refused+k.Refused, at.Failed+k.Failed
	}
}

func compareByClass(a, b ClassCounts) int { return strings.Compare(a.Class, b.Class) }

// counter counts for one engine. All but tries is its goroutine's.
type counter struct {
	classes   map[string]*ClassCounts // as many as configurations have named
	attempts  atomic.Uint64
	published atomic.Pointer[Counts]
	timer     timer
}

// addClass has classes counted, and shown before anybody asks for them.
func (c *counter) addClass(class string) {
	if c.classes[class] == nil {
		c.classes[class] = &ClassCounts{Class: class}
	}
}

// countAnswer counts a final answer to a client. What ended after its client had left is not counted.
func (e *Engine) countAnswer(class string, got Result) {
	if e.counter == nil {
		return
	}
	k := e.counter.classes[class]
	if k == nil { // of a configuration that is gone: the request came before
		return
	}
	switch got {
	case Served:
		k.Served++
	case Refused:
		k.Refused++
	case Failed:
		k.Failed++
	}
}

// CountRejected counts a request that was refused where it came, for want of room. It may be called from any goroutine.
func (e *Engine) CountRejected(class string) {
	if e.counter != nil {
		e.Post(func() { e.countAnswer(class, Refused) })
	}
}

// StreamEnded tells how a long value ended, which was served when its first bytes were. It may be called from any goroutine, the engine's too, and
// does not wait: a connection has one such value at a time, and those that wait behind it.
func (e *Engine) StreamEnded(class string, whole bool) {
	e.events.postUnbounded(func() {
		e.streaming--
		got := Served
		if !whole {
			got = Failed
		}
		e.countAnswer(class, got)
	})
}

// publishPeriodically makes the counts of this moment what Counts gives, again and again.
func (e *Engine) publishPeriodically() {
	e.publishCounts()
	e.startTimer(&e.counter.timer, publishInterval)
}

// publishCounts makes the counts of this moment what Counts gives.
func (e *Engine) publishCounts() {
	c := e.counter
	if c == nil {
		return
	}
	out := &Counts{Attempts: c.attempts.Load(), Open: len(e.openByID) + e.streaming, Arrivals: e.balancer.Demand()}
	out.KnownServers, out.AvoidedServers = e.balancer.ServerCounts()
	if e.reportRules {
		out.Rules = e.Guard.Counts()
	}
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		out.Classes = append(out.Classes, *c.classes[name])
	}
	c.published.Store(out)
}

// CollectCounts are the engine's latest, none where it does not count. It may be called from any goroutine, and waits for nothing.
func (e *Engine) Counts() Counts {
	if e.counter == nil {
		return Counts{}
	}
	return *e.counter.published.Load()
}
