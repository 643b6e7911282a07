package caller

import (
	"math"
	"slices"
	"strings"
)

// Access is what a request does with its keys.
type Access uint8

// The accesses.
const (
	Read Access = 1 << iota
	Write
)

// ReadWrite is both.
const ReadWrite = Read | Write

// Span is a part of the week in minutes from Monday 00:00 UTC: From until before To.
type Span struct{ From, To int }

// MinutesPerWeek is the minutes of one.
const MinutesPerWeek = 7 * 24 * 60

// Rule allows or denies requests. The first rule that fits a request decides; what none fits is denied.
type Rule struct {
	Deny    bool
	Classes []string // nil = any
	Prefix  string   // of the client's own key; "" = any
	Access  Access
	Spans   []Span  // nil = always
	Rate    float64 // requests a second over the whole service; 0 = no bound. Of an allow alone.
	Line    int     // where it stands, for explanations; a rate is that of all rules of one place
	Column  int
}

// activeAt says whether a time lies in a rule's spans, and minute is that time's.
func (r *Rule) activeAt(minute int) bool {
	if r.Spans == nil {
		return true
	}
	return slices.ContainsFunc(r.Spans, func(s Span) bool { return s.From <= minute && minute < s.To })
}

// minuteOfWeek is the minute of the week of a Unix time in ms, which must not lie before 1970 (a Thursday).
func minuteOfWeek(now float64) int { return int(math.Mod(now/60e3+3*24*60, MinutesPerWeek)) }

// shadows says whether a rule decides all that another would.
func (r *Rule) shadows(o *Rule) bool {
	return (r.Classes == nil || o.Classes != nil && !slices.ContainsFunc(o.Classes, func(c string) bool { return !slices.Contains(r.Classes, c) })) &&
		strings.HasPrefix(o.Prefix, r.Prefix) && r.Access&o.Access == o.Access && spansContain(r.Spans, o.Spans)
}

// spansContain says whether every minute of b lies in a. Both are sorted and don't touch within themselves, as Normal makes them.
func spansContain(a, b []Span) bool {
	if a == nil {
		return true
	}
	if b == nil {
		b = []Span{{0, MinutesPerWeek}}
	}
	return !slices.ContainsFunc(b, func(s Span) bool {
		return !slices.ContainsFunc(a, func(t Span) bool { return t.From <= s.From && s.To <= t.To })
	})
}

// NormalizeSpans sorts spans and joins those that touch.
func NormalizeSpans(spans []Span) []Span {
	s := slices.Clone(spans)
	slices.SortFunc(s, func(a, b Span) int { return a.From - b.From })
	var out []Span
	for _, x := range s {
		if n := len(out); n > 0 && x.From <= out[n-1].To {
			out[n-1].To = max(out[n-1].To, x.To)
		} else if x.From < x.To {
			out = append(out, x)
		}
	}
	return out
}

// ShadowedBy finds the earlier rule because of which a rule never decides anything, -1 where there is none. Only single rules are
// looked at, not what several cover together.
func ShadowedBy(rules []Rule, i int) int {
	for j := range i {
		if rules[j].shadows(&rules[i]) {
			return j
		}
	}
	return -1
}

// Rights are rules made ready to be asked. They don't change, but for the rates, which their user keeps: see Rates.
type Rights struct {
	rules      []Rule
	classIndex map[string]int // of names to tables
	classTrees []prefixTrees  // the last one is of all other classes
}

// prefixTrees is what counts for one class: a tree of prefixes for reads and one for writes.
type prefixTrees struct{ read, write node }

// node is a place in a tree of prefixes. Rules of prefixes that a key does not have are never looked at.
type node struct {
	rules []int // in their order, of keys that begin so
	edges []edge
}

type edge struct {
	label string
	child *node
}

// Compile makes rules ready. Its memory is that of rules times their classes.
func Compile(rules []Rule) *Rights {
	r := &Rights{rules: slices.Clone(rules), classIndex: map[string]int{}}
	for _, x := range rules {
		for _, c := range x.Classes {
			if _, ok := r.classIndex[c]; !ok {
				r.classIndex[c] = len(r.classIndex)
			}
		}
	}
	r.classTrees = make([]prefixTrees, len(r.classIndex)+1)
	for i := range r.rules {
		x := &r.rules[i]
		if x.Classes == nil {
			for j := range r.classTrees {
				r.classTrees[j].add(x, i)
			}
		}
		for _, c := range x.Classes {
			r.classTrees[r.classIndex[c]].add(x, i)
		}
	}
	return r
}

// Join are the rules of several rights, one after the other.
func Join(of ...*Rights) *Rights {
	if len(of) == 1 {
		return of[0]
	}
	var all []Rule
	for _, r := range of {
		all = append(all, r.rules...)
	}
	return Compile(all)
}

// Rules are the rules in their order. They must not be changed.
func (r *Rights) Rules() []Rule { return r.rules }

func (t *prefixTrees) add(x *Rule, i int) {
	if x.Access&Read != 0 {
		t.read.add(x.Prefix, i)
	}
	if x.Access&Write != 0 {
		t.write.add(x.Prefix, i)
	}
}

func (n *node) add(prefix string, rule int) {
	if prefix == "" {
		n.rules = append(n.rules, rule)
		return
	}
	for i := range n.edges {
		e := &n.edges[i]
		same := 0
		for same < len(prefix) && same < len(e.label) && prefix[same] == e.label[same] {
			same++
		}
		if same == 0 {
			continue
		}
		if same < len(e.label) { // the edge is split where the two part
			e.child = &node{edges: []edge{{e.label[same:], e.child}}}
			e.label = e.label[:same]
		}
		e.child.add(prefix[same:], rule)
		return
	}
	to := &node{}
	to.add("", rule)
	n.edges = append(n.edges, edge{prefix, to})
}

// firstMatch is the first rule of all prefixes of a key that counts at a minute of the week.
func (n *node) firstMatch(rules []Rule, key string, minute int) int {
	best := -1
	for {
		for _, i := range n.rules {
			if best >= 0 && i > best {
				break
			}
			if rules[i].activeAt(minute) {
				best = i
				break
			}
		}
		next := -1
		for i := range n.edges {
			if strings.HasPrefix(key, n.edges[i].label) {
				next = i
				break
			}
		}
		if next < 0 {
			return best
		}
		key, n = key[len(n.edges[next].label):], n.edges[next].child
	}
}

// DecidingRule gives the rule that decides a request at a time, by its place among Rules; -1 = none fits, so it is denied. What both reads
// and writes is decided by the rule for writes, if that for reads does not deny it.
func (r *Rights) DecidingRule(now float64, class, key string, access Access) int {
	t := &r.classTrees[len(r.classTrees)-1]
	if i, ok := r.classIndex[class]; ok {
		t = &r.classTrees[i]
	}
	minute := minuteOfWeek(now)
	if access&Read != 0 {
		if i := t.read.firstMatch(r.rules, key, minute); access == Read || i < 0 || r.rules[i].Deny {
			return i
		}
	}
	return t.write.firstMatch(r.rules, key, minute)
}

// Allows says whether a request is allowed at a time, and by which rule.
func (r *Rights) Allows(now float64, class, key string, access Access) (rule int, ok bool) {
	if r == nil {
		return -1, false
	}
	rule = r.DecidingRule(now, class, key, access)
	return rule, rule >= 0 && !r.rules[rule].Deny
}

// RateLimiter keep what callers have used of rules that bound a rate. It has no lock. Its memory is bounded: buckets of which nothing
// was taken lately are forgotten, as they are full.
type RateLimiter struct {
	share     float64
	buckets   map[rateKey]*rateBucket
	lastSweep float64
}

type rateKey struct {
	caller       string
	line, column int
}

type rateBucket struct{ tokens, updatedAt float64 }

// maxRateBuckets bounds the buckets. Beyond it a rate counts as used up: better than none being kept.
const maxRateBuckets = 1 << 16

// rateBurstSeconds is the seconds of a rate that may be saved up.
const rateBurstSeconds = 1.0

// NewRateLimiter is of a router, or an engine of one, that has this part of the service.
func NewRateLimiter(portion float64) *RateLimiter {
	return &RateLimiter{share: min(1, max(1e-6, portion)), buckets: map[rateKey]*rateBucket{}}
}

// Allow takes one request of a caller from the rate of the rule that allows it. With false, it says after how many ms there is room.
func (t *RateLimiter) Take(now float64, caller string, r *Rights, rule int) (again float64, ok bool) {
	x := &r.rules[rule]
	if x.Rate <= 0 {
		return 0, true
	}
	rate := x.Rate * t.share
	depth := max(1, rate*rateBurstSeconds)
	k := rateKey{caller, x.Line, x.Column}
	b := t.buckets[k]
	if b == nil {
		if t.sweep(now); len(t.buckets) >= maxRateBuckets {
			return 1000, false
		}
		b = &rateBucket{depth, now}
		t.buckets[k] = b
	}
	b.tokens = min(depth, b.tokens+rate*max(0, now-b.updatedAt)/1000)
	b.updatedAt = max(b.updatedAt, now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return math.Ceil((1 - b.tokens) / rate * 1000), false
}

// sweep forgets, once a second at most, what nobody has used for so long that it is full.
func (t *RateLimiter) sweep(now float64) {
	if now-t.lastSweep < 1000 {
		return
	}
	t.lastSweep = now
	for k, b := range t.buckets {
		if now-b.updatedAt > rateBurstSeconds*1000+1000/t.share {
			delete(t.buckets, k)
		}
	}
}
