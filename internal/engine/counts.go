package engine

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// publishEvery is how often an engine publishes its counts, in ms: figures may be half a second old.
const publishEvery = 50

// ClassCounts are the final answers to the requests of a class.
type ClassCounts struct {
	Class                   string
	Served, Refused, Failed uint64
}

// Counts are what an engine has counted since its start, all at one moment. What is published is never changed.
type Counts struct {
	Classes        []ClassCounts // by name, also those that nobody has asked for
	Tries          uint64        // attempts that were written whole, to cache servers and to the origin
	Open           int           // requests that are taken and not answered
	Known, Avoided int           // cache servers on the list, and those of them that requests are kept from
	Rules          []guard.Count // how often each rule was checked, kept and broken; by rule
	Demand         decide.Demand // what has come by worth; nothing where routers tell each other nothing
}

// Add adds the counts of another engine.
func (c *Counts) Add(o Counts) {
	c.Tries, c.Open = c.Tries+o.Tries, c.Open+o.Open
	c.Known, c.Avoided = c.Known+o.Known, c.Avoided+o.Avoided
	c.Demand.Add(o.Demand)
	for i, r := range o.Rules {
		if i == len(c.Rules) {
			c.Rules = append(slices.Clip(c.Rules), guard.Count{Rule: r.Rule})
		}
		c.Rules[i].Add(r)
	}
	for _, k := range o.Classes {
		i, there := slices.BinarySearchFunc(c.Classes, k, byClass)
		if !there {
			c.Classes = slices.Insert(c.Classes, i, ClassCounts{Class: k.Class})
		}
		at := &c.Classes[i]
		at.Served, at.Refused, at.Failed = at.Served+k.Served, at.Refused+k.Refused, at.Failed+k.Failed
	}
}

func byClass(a, b ClassCounts) int { return strings.Compare(a.Class, b.Class) }

// counter counts for one engine. All but tries is its goroutine's.
type counter struct {
	classes   map[string]*ClassCounts // as many as configurations have named
	tries     atomic.Uint64
	published atomic.Pointer[Counts]
	due       timer
}

// name has classes counted, and shown before anybody asks for them.
func (c *counter) name(class string) {
	if c.classes[class] == nil {
		c.classes[class] = &ClassCounts{Class: class}
	}
}

// settled counts a final answer to a client. What ended after its client had left is not counted.
func (e *Engine) settled(class string, got Result) {
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

// Turned counts a request that was refused where it came, for want of room. It may be called from any goroutine.
func (e *Engine) Turned(class string) {
	if e.counter != nil {
		e.Post(func() { e.settled(class, Refused) })
	}
}

// Passed tells how a long value ended, which was served when its first bytes were. It may be called from any goroutine, the engine's too, and
// does not wait: a connection has one such value at a time, and those that wait behind it.
func (e *Engine) Passed(class string, whole bool) {
	e.events.add(func() {
		e.passing--
		got := Served
		if !whole {
			got = Failed
		}
		e.settled(class, got)
	})
}

// publish makes the counts of this moment what Counts gives, again and again.
func (e *Engine) publish() {
	e.show()
	e.set(&e.counter.due, publishEvery)
}

// show makes the counts of this moment what Counts gives.
func (e *Engine) show() {
	c := e.counter
	if c == nil {
		return
	}
	out := &Counts{Tries: c.tries.Load(), Open: len(e.open) + e.passing, Demand: e.b.Demand()}
	out.Known, out.Avoided = e.b.ServerCounts()
	if e.tellsRules {
		out.Rules = e.Guard.Counts()
	}
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		out.Classes = append(out.Classes, *c.classes[name])
	}
	c.published.Store(out)
}

// Counts are the engine's latest, none where it does not count. It may be called from any goroutine, and waits for nothing.
func (e *Engine) Counts() Counts {
	if e.counter == nil {
		return Counts{}
	}
	return *e.counter.published.Load()
}
