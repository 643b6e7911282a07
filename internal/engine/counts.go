package engine

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// publishInterval is the time in ms between two publications of the counts. Figures may be half a second old.
const publishInterval = 50

// ClassCounts are the numbers of final answers to the requests of a class.
type ClassCounts struct {
	Class                   string
	Served, Refused, Failed uint64
}

// Counts are what an engine has counted since its start, all at one moment. Published counts are never
// changed.
type Counts struct {
	Classes []ClassCounts // sorted by name, including classes without requests
	// Attempts that were written completely, to cache servers and to the origin.
	Attempts uint64
	Open     int // requests that are accepted and not answered
	// Listed cache servers, and those of them that requests are kept away from.
	KnownServers, AvoidedServers int
	// Checks, preventions and violations of each rule; sorted by rule.
	Rules    []guard.Count
	Arrivals decide.Demand // arrivals by worth; empty where routers don't exchange any
	Waits    WaitCounts    // of events for the engines' turns
}

// Add adds the counts of another engine.
func (c *Counts) Add(other Counts) {
	c.Attempts, c.Open = c.Attempts+other.Attempts, c.Open+other.Open
	c.KnownServers, c.AvoidedServers = c.KnownServers+other.KnownServers, c.AvoidedServers+other.AvoidedServers
	c.Arrivals.Add(other.Arrivals)
	c.Waits.Add(other.Waits)
	for i, rule := range other.Rules {
		if i == len(c.Rules) {
			c.Rules = append(slices.Clip(c.Rules), guard.Count{Rule: rule.Rule})
		}
		c.Rules[i].Add(rule)
	}
	for _, class := range other.Classes {
		i, found := slices.BinarySearchFunc(c.Classes, class, compareByClass)
		if !found {
			c.Classes = slices.Insert(c.Classes, i, ClassCounts{Class: class.Class})
		}
		sum := &c.Classes[i]
		sum.Served, sum.Refused, sum.Failed = sum.Served+class.Served, sum.Refused+class.Refused, sum.Failed+class.Failed
	}
}

func compareByClass(a, b ClassCounts) int { return strings.Compare(a.Class, b.Class) }

// counter counts for one engine. Everything but attempts belongs to the engine's goroutine.
type counter struct {
	classes   map[string]*ClassCounts // grows to the number of class names ever configured
	attempts  atomic.Uint64
	published atomic.Pointer[Counts]
	timer     timer
}

// addClass makes a class counted, and published before its first request.
func (c *counter) addClass(class string) {
	if c.classes[class] == nil {
		c.classes[class] = &ClassCounts{Class: class}
	}
}

// countAnswer counts a final answer to a client. Requests whose client has disconnected are not counted.
func (e *Engine) countAnswer(class string, result Result) {
	if e.counter == nil {
		return
	}
	counts := e.counter.classes[class]
	if counts == nil { // the class was removed after the request arrived
		return
	}
	switch result {
	case Served:
		counts.Served++
	case Refused:
		counts.Refused++
	case Failed:
		counts.Failed++
	}
}

// CountRejected counts a request that its front refused for lack of capacity. It may be called from any
// goroutine.
func (e *Engine) CountRejected(class string) {
	if e.counter != nil {
		e.Post(func() { e.countAnswer(class, Refused) })
	}
}

// StreamEnded reports whether a streamed value, which counts as served from its first bytes, was written
// completely. It may be called from any goroutine, including the engine's, and does not block. The queue
// still stays short: a connection has at most one such value at a time, and its other requests wait behind
// it.
func (e *Engine) StreamEnded(class string, complete bool) {
	e.events.postUnbounded(func() {
		e.streaming--
		result := Served
		if !complete {
			result = Failed
		}
		e.countAnswer(class, result)
	})
}

// publishPeriodically publishes the current counts now and after every publishInterval.
func (e *Engine) publishPeriodically() {
	e.publishCounts()
	e.startTimer(&e.counter.timer, publishInterval)
}

// publishCounts makes the current counts available to Counts.
func (e *Engine) publishCounts() {
	c := e.counter
	if c == nil {
		return
	}
	counts := &Counts{Attempts: c.attempts.Load(), Open: len(e.openByID) + e.streaming, Arrivals: e.balancer.Demand(), Waits: e.waits}
	counts.KnownServers, counts.AvoidedServers = e.balancer.ServerCounts()
	if e.reportRules {
		counts.Rules = e.Guard.Counts()
	}
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		counts.Classes = append(counts.Classes, *c.classes[name])
	}
	c.published.Store(counts)
}

// Counts returns the latest published counts, or none if the engine does not count. It may be called from any
// goroutine and does not block.
func (e *Engine) Counts() Counts {
	if e.counter == nil {
		return Counts{}
	}
	return *e.counter.published.Load()
}
