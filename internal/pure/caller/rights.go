package caller

import (
	"math"
	"slices"
	"strings"
)

// Access says how a request uses its keys.
type Access uint8

// The kinds of access.
const (
	Read Access = 1 << iota
	Write
)

// ReadWrite is the access of a request that both reads and writes.
const ReadWrite = Read | Write

// Span is a part of the week in minutes since Monday 00:00 UTC, from From inclusive to To exclusive.
type Span struct{ From, To int }

// MinutesPerWeek is the number of minutes in a week.
const MinutesPerWeek = 7 * 24 * 60

// Rule allows or denies requests. The first rule that matches a request decides; a request that matches none
// is denied.
type Rule struct {
	Deny    bool
	Classes []string // nil = any class
	Prefix  string   // prefix of the client's own key; "" = any key
	Access  Access
	Spans   []Span  // when the rule applies; nil = always
	Rate    float64 // requests per second over all routers; 0 = no limit; allow rules only
	Line    int     // position in the source; rules with the same position share one rate limit
	Column  int
}

// activeAt reports whether the rule applies at a minute of the week.
func (r *Rule) activeAt(minute int) bool {
	if r.Spans == nil {
		return true
	}
	return slices.ContainsFunc(r.Spans, func(s Span) bool { return s.From <= minute && minute < s.To })
}

// minuteOfWeek converts a Unix time in ms, not negative, to the minute of the week. 1970 began on a Thursday.
func minuteOfWeek(now float64) int { return int(math.Mod(now/60e3+3*24*60, MinutesPerWeek)) }

// shadows reports whether the rule matches every request that another one matches.
func (r *Rule) shadows(other *Rule) bool {
	return (r.Classes == nil || other.Classes != nil && !slices.ContainsFunc(other.Classes, func(c string) bool { return !slices.Contains(r.Classes, c) })) &&
		strings.HasPrefix(other.Prefix, r.Prefix) && r.Access&other.Access == other.Access && spansContain(r.Spans, other.Spans)
}

// spansContain reports whether outer contains every minute of inner. Both must be normalized by
// NormalizeSpans.
func spansContain(outer, inner []Span) bool {
	if outer == nil {
		return true
	}
	if inner == nil {
		inner = []Span{{0, MinutesPerWeek}}
	}
	return !slices.ContainsFunc(inner, func(s Span) bool {
		return !slices.ContainsFunc(outer, func(t Span) bool { return t.From <= s.From && s.To <= t.To })
	})
}

// NormalizeSpans returns the spans sorted, with empty ones removed and adjacent or overlapping ones merged.
func NormalizeSpans(spans []Span) []Span {
	sorted := slices.Clone(spans)
	slices.SortFunc(sorted, func(a, b Span) int { return a.From - b.From })
	var out []Span
	for _, span := range sorted {
		if n := len(out); n > 0 && span.From <= out[n-1].To {
			out[n-1].To = max(out[n-1].To, span.To)
		} else if span.From < span.To {
			out = append(out, span)
		}
	}
	return out
}

// ShadowedBy returns the index of an earlier rule that shadows rule i, so that rule i never decides a
// request, or -1 if there is none. It considers single rules, not what several of them match together.
func ShadowedBy(rules []Rule, i int) int {
	for j := range i {
		if rules[j].shadows(&rules[i]) {
			return j
		}
	}
	return -1
}

// Rights are compiled rules. They are immutable; the state of the rate limits is kept in a RateLimiter.
type Rights struct {
	rules      []Rule
	classIndex map[string]int // index in classTrees by class name
	classTrees []prefixTrees  // the last one is for all other classes
}

// prefixTrees holds the rules of one class in two radix trees, for reads and for writes.
type prefixTrees struct{ read, write node }

// node is a node of a radix tree of key prefixes. A lookup visits only prefixes of the key.
type node struct {
	rules []int // indexes of the rules for the prefix that ends here, ascending
	edges []edge
}

type edge struct {
	label string
	child *node
}

// Compile compiles rules for lookup. The memory used grows with the number of rules times the number of
// classes.
func Compile(rules []Rule) *Rights {
	r := &Rights{rules: slices.Clone(rules), classIndex: map[string]int{}}
	for _, rule := range rules {
		for _, c := range rule.Classes {
			if _, ok := r.classIndex[c]; !ok {
				r.classIndex[c] = len(r.classIndex)
			}
		}
	}
	r.classTrees = make([]prefixTrees, len(r.classIndex)+1)
	for i := range r.rules {
		rule := &r.rules[i]
		if rule.Classes == nil {
			for j := range r.classTrees {
				r.classTrees[j].add(rule, i)
			}
		}
		for _, c := range rule.Classes {
			r.classTrees[r.classIndex[c]].add(rule, i)
		}
	}
	return r
}

// Join returns the concatenated rules of several rights.
func Join(rights ...*Rights) *Rights {
	if len(rights) == 1 {
		return rights[0]
	}
	var rules []Rule
	for _, r := range rights {
		rules = append(rules, r.rules...)
	}
	return Compile(rules)
}

// Rules returns the rules in order. The caller must not modify them.
func (r *Rights) Rules() []Rule { return r.rules }

func (t *prefixTrees) add(rule *Rule, index int) {
	if rule.Access&Read != 0 {
		t.read.add(rule.Prefix, index)
	}
	if rule.Access&Write != 0 {
		t.write.add(rule.Prefix, index)
	}
}

func (n *node) add(prefix string, index int) {
	if prefix == "" {
		n.rules = append(n.rules, index)
		return
	}
	for i := range n.edges {
		e := &n.edges[i]
		common := 0
		for common < len(prefix) && common < len(e.label) && prefix[common] == e.label[common] {
			common++
		}
		if common == 0 {
			continue
		}
		if common < len(e.label) { // split the edge where the labels differ
			e.child = &node{edges: []edge{{e.label[common:], e.child}}}
			e.label = e.label[:common]
		}
		e.child.add(prefix[common:], index)
		return
	}
	child := &node{}
	child.add("", index)
	n.edges = append(n.edges, edge{prefix, child})
}

// firstMatch returns the index of the first rule for any prefix of the key that applies at a minute of the
// week, or -1 if there is none.
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

// DecidingRule returns the index in Rules of the rule that decides a request at the given time, or -1 if none
// matches and the request is denied. A request that reads and writes is decided by the write rule, unless the
// read is denied.
func (r *Rights) DecidingRule(now float64, class, key string, access Access) int {
	trees := &r.classTrees[len(r.classTrees)-1]
	if i, ok := r.classIndex[class]; ok {
		trees = &r.classTrees[i]
	}
	minute := minuteOfWeek(now)
	if access&Read != 0 {
		if i := trees.read.firstMatch(r.rules, key, minute); access == Read || i < 0 || r.rules[i].Deny {
			return i
		}
	}
	return trees.write.firstMatch(r.rules, key, minute)
}

// Allows reports whether a request is allowed at the given time, and the index of the deciding rule (-1 =
// none).
func (r *Rights) Allows(now float64, class, key string, access Access) (rule int, ok bool) {
	if r == nil {
		return -1, false
	}
	rule = r.DecidingRule(now, class, key, access)
	return rule, rule >= 0 && !r.rules[rule].Deny
}

// RateLimiter enforces the rate limits of rules, with a token bucket per caller and rule. Its memory is
// bounded: buckets that have not been used for some time are deleted, as they are full. It is not safe for
// concurrent use.
type RateLimiter struct {
	share     float64 // of each rate that this limiter may admit
	buckets   map[rateKey]*rateBucket
	lastSweep float64 // ms
}

type rateKey struct {
	caller       string
	line, column int
}

// rateBucket is the token bucket of one caller and rule; updatedAt is in ms.
type rateBucket struct{ tokens, updatedAt float64 }

// maxRateBuckets limits the number of buckets. Beyond it, requests that need a new bucket are rejected, since
// admitting them would leave their rates unlimited.
const maxRateBuckets = 1 << 16

// rateBurstSeconds is the size of a bucket in seconds of its rate.
const rateBurstSeconds = 1.0

// NewRateLimiter returns the rate limiter of a router, or of one engine of a router, that serves the given
// share of the service's requests, 0 to 1.
func NewRateLimiter(share float64) *RateLimiter {
	return &RateLimiter{share: min(1, max(1e-6, share)), buckets: map[rateKey]*rateBucket{}}
}

// Take counts one request of a caller against the rate limit of the rule that allows it. If the limit is
// reached, it returns false and the time in ms after which a retry can succeed.
func (l *RateLimiter) Take(now float64, caller string, r *Rights, ruleIndex int) (retryAfterMS float64, ok bool) {
	rule := &r.rules[ruleIndex]
	if rule.Rate <= 0 {
		return 0, true
	}
	rate := rule.Rate * l.share
	burst := max(1, rate*rateBurstSeconds)
	key := rateKey{caller, rule.Line, rule.Column}
	bucket := l.buckets[key]
	if bucket == nil {
		if l.sweep(now); len(l.buckets) >= maxRateBuckets {
			return 1000, false
		}
		bucket = &rateBucket{burst, now}
		l.buckets[key] = bucket
	}
	bucket.tokens = min(burst, bucket.tokens+rate*max(0, now-bucket.updatedAt)/1000)
	bucket.updatedAt = max(bucket.updatedAt, now)
	if bucket.tokens >= 1 {
		bucket.tokens--
		return 0, true
	}
	return math.Ceil((1 - bucket.tokens) / rate * 1000), false
}

// sweep deletes, at most once per second, the buckets that have been unused for long enough to be full.
func (l *RateLimiter) sweep(now float64) {
	if now-l.lastSweep < 1000 {
		return
	}
	l.lastSweep = now
	for k, b := range l.buckets {
		if now-b.updatedAt > rateBurstSeconds*1000+1000/l.share {
			delete(l.buckets, k)
		}
	}
}
