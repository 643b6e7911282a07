// Package guard checks at run time that a router keeps its invariants, called rules. For each rule it counts
// the checks, how often an action was canceled to keep the rule, and how often the rule was violated.
package guard

import (
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
)

// Rule is an invariant that a router keeps for every request.
type Rule int

// Rules of a router.
const (
	Deadline   Rule = iota // no server is passed more time than the client has left
	Abandoned              // no attempt begins for a client that has disconnected
	Overlap                // one attempt of a request is in flight at a time; the total is limited
	Repeat                 // an attempt that may have run is not repeated, or only within its window
	Promise                // a refusal promises that a retry is harmless
	Draining               // no new request goes to a server that drains or is gone
	InTime                 // the final answer is given by the client's deadline
	Unanswered             // no connection is closed while a request read from it is unanswered
	// Attribution: an answer is given only to the attempt that it belongs to. Checked counts answers that name
	// no request, Prevented the connections closed over input that answers no command.
	Attribution
	NumRules // number of rules
)

var ruleNames = [NumRules]string{"deadline", "abandoned", "overlap", "repeat", "promise", "draining", "in_time", "unanswered", "attribution"}

// String returns the name of the rule in logs and metrics.
func (r Rule) String() string { return ruleNames[r] }

// maxRecords limits the log records of violations by one process; later ones are only counted.
const maxRecords = 1000

// Guard counts for one process. It may be used from any goroutine. The zero value is ready to use, and a nil
// Guard counts nothing.
type Guard struct {
	rules   [NumRules]counters
	records atomic.Int64
}

// counters are those of one rule.
type counters struct{ checked, prevented, broken atomic.Uint64 }

// Count is what a guard has counted for one rule.
type Count struct {
	Rule      Rule
	Checked   uint64 // number of checks
	Prevented uint64 // number of actions canceled to keep the rule
	Broken    uint64 // number of violations
}

// Add adds the counts of another guard for the same rule.
func (c *Count) Add(o Count) {
	c.Checked += o.Checked
	c.Prevented += o.Prevented
	c.Broken += o.Broken
}

// CountCheck counts one check of a rule.
func (g *Guard) CountCheck(rule Rule) {
	if g != nil {
		g.rules[rule].checked.Add(1)
	}
}

// CountPrevented counts an action that was canceled to keep a rule.
func (g *Guard) CountPrevented(rule Rule, request, cause string) {
	if g == nil {
		return
	}
	g.rules[rule].prevented.Add(1)
	slog.Debug("canceled to keep an invariant", "rule", rule.String(), "request", request, "cause", cause)
}

// RecordViolation counts a violation and logs one record with the request, this process and the cause.
func (g *Guard) RecordViolation(rule Rule, request string, cause string, args ...any) {
	if g == nil {
		return
	}
	g.rules[rule].broken.Add(1)
	if g.records.Add(1) <= maxRecords {
		slog.Error("invariant violated", "rule", rule.String(), "request", request, "pid", os.Getpid(), "cause", fmt.Sprintf(cause, args...))
	}
}

// Counts returns the counts of all rules, sorted by rule.
func (g *Guard) Counts() []Count {
	out := make([]Count, 0, NumRules)
	for rule := range NumRules {
		c := &g.rules[rule]
		out = append(out, Count{rule, c.checked.Load(), c.prevented.Load(), c.broken.Load()})
	}
	return out
}

// LogCounts logs the counts of the rules that were checked, prevented something or were violated.
func (g *Guard) LogCounts() {
	for _, c := range g.Counts() {
		if c.Checked+c.Prevented+c.Broken > 0 {
			slog.Info("invariant", "rule", c.Rule.String(), "checked", c.Checked, "prevented", c.Prevented, "broken", c.Broken)
		}
	}
}
