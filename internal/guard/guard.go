// Package guard checks at run time that a router keeps its rules, and counts by rule how often that was checked, how often something was
// called off to keep a rule, and how often one was broken all the same.
package guard

import (
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
)

// Rule is one of the rules that a router keeps for every request.
type Rule int

// The rules.
const (
	Deadline   Rule = iota // no server is passed more time than the client has left
	Abandoned              // no attempt begins for a client that has gone
	Overlap                // one attempt of a request is out at a time, and no more than may be made in all
	Repeat                 // what may have run is not repeated, or within its window alone
	Promise                // a refusal says that a retry is harmless
	Draining               // nothing new goes to a server that drains or is gone
	InTime                 // the final answer comes by the client's deadline
	Unanswered             // no connection is closed over a request that was read
	NumRules               // how many there are
)

var ruleNames = [NumRules]string{"deadline", "abandoned", "overlap", "repeat", "promise", "draining", "in_time", "unanswered"}

func (r Rule) String() string { return ruleNames[r] }

// maxRecords bounds the log records of broken rules of a process; later ones are counted alone.
const maxRecords = 1000

// Guard counts for one process. It may be used from any goroutine; the zero value is ready, and a nil one counts nothing.
type Guard struct {
	rules   [NumRules]counters
	records atomic.Int64
}

// counters are those of one rule.
type counters struct{ checked, prevented, broken atomic.Uint64 }

// Count is what a guard has counted of a rule.
type Count struct {
	Rule      Rule
	Checked   uint64 // how often it was checked
	Prevented uint64 // how often something was called off to keep it
	Broken    uint64 // how often it was broken
}

// Add adds the counts of another guard.
func (c *Count) Add(o Count) {
	c.Checked += o.Checked
	c.Prevented += o.Prevented
	c.Broken += o.Broken
}

// CountCheck books one check of a rule.
func (g *Guard) CountCheck(rule Rule) {
	if g != nil {
		g.rules[rule].checked.Add(1)
	}
}

// CountPrevented books that something was called off to keep a rule.
func (g *Guard) CountPrevented(rule Rule, request, cause string) {
	if g == nil {
		return
	}
	g.rules[rule].prevented.Add(1)
	slog.Debug("called off to keep an invariant", "rule", rule.String(), "request", request, "cause", cause)
}

// RecordViolation books a broken rule, with one log record that names the request, this process and the cause.
func (g *Guard) RecordViolation(rule Rule, request string, cause string, args ...any) {
	if g == nil {
		return
	}
	g.rules[rule].broken.Add(1)
	if g.records.Add(1) <= maxRecords {
		slog.Error("invariant violated", "rule", rule.String(), "request", request, "pid", os.Getpid(), "cause", fmt.Sprintf(cause, args...))
	}
}

// Counts are the counts by rule.
func (g *Guard) Counts() []Count {
	out := make([]Count, 0, NumRules)
	for rule := range NumRules {
		c := &g.rules[rule]
		out = append(out, Count{rule, c.checked.Load(), c.prevented.Load(), c.broken.Load()})
	}
	return out
}

// LogCounts writes the counts of the rules that were checked.
func (g *Guard) LogCounts() {
	for _, c := range g.Counts() {
		if c.Checked+c.Prevented+c.Broken > 0 {
			slog.Info("invariant", "rule", c.Rule.String(), "checked", c.Checked, "prevented", c.Prevented, "broken", c.Broken)
		}
	}
}
