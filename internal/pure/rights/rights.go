// Package rights is the language in which operators say what callers may do: roles, and the rules of each. It turns a text into
// the rules of package caller and says what is wrong in it, with line and column. It does no input or output.
//
//	role dispatcher {
//	  deny  any on "secret/"
//	  allow read-status, log-handover on "container/", "vessel/"
//	  allow order-poll on "poll/" write at mon-fri 06:00-22:00 up to 50/s
//	}
//
// In a role the first rule that fits a request decides; what none fits is denied. Times are UTC.
package rights

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Bounds of a text.
const (
	MaxTextBytes     = 1 << 20 // bytes
	MaxRoles         = 1000
	MaxRules         = 10_000 // of all roles, after each list of prefixes has become a rule for each
	maxRatePerSecond = 1e9
	maxNameBytes     = 64
	maxPrefixBytes   = 250 // bytes of a prefix: no key is longer
	maxErrors        = 100
)

type file struct {
	Roles []*role `parser:"@@*"`
}

type role struct {
	Pos   lexer.Position
	Name  string  `parser:"'role' @Word '{'"`
	Rules []*rule `parser:"@@* '}'"`
}

type rule struct {
	Pos      lexer.Position
	Effect   string   `parser:"@('allow' | 'deny')"`
	Classes  []string `parser:"@Word (',' @Word)*"`
	Prefixes []string `parser:"('on' @String (',' @String)*)?"`
	Access   string   `parser:"@('read' | 'write')?"`
	Hours    []*hours `parser:"('at' @@ (',' @@)*)?"`
	Rate     *number  `parser:"('up' 'to' @@ '/' 's')?"`
}

type hours struct {
	Pos  lexer.Position
	Days string `parser:"@Word?"`
	From string `parser:"@Time '-'"`
	To   string `parser:"@Time"`
}

type number struct {
	Pos   lexer.Position
	Value float64 `parser:"@Number"`
}

// tokenRules of a text. A word may hold a dash, so days are one: mon-fri.
var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Time", Pattern: `[0-9]{1,2}:[0-9]{2}`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?`},
	{Name: "Word", Pattern: `[A-Za-z_][A-Za-z0-9_.]*(-[A-Za-z0-9_.]+)*`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Mark", Pattern: `[{},/-]`},
	{Name: "Blank", Pattern: `[ \t\r\n]+`},
})

var parser = participle.MustBuild[file](participle.Lexer(tokenRules), participle.Elide("Comment", "Blank"), participle.Unquote("String"), participle.UseLookahead(2))

// ParseError is one thing that is wrong in a text.
type ParseError struct {
	File         string
	Line, Column int // from 1
	Message      string
}

func (f ParseError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// ParseErrors are all that is wrong in a text, in its order.
type ParseErrors []ParseError

func (fs ParseErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Err is the faults as an error, nil where there are none.
func (fs ParseErrors) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Parse checks a text whole and compiles its roles. classes are the names that rules may use; nil = nobody knows them here.
func Parse(name, text string, classes []string) (map[string]*caller.Rights, ParseErrors) {
	if len(text) > MaxTextBytes {
		return nil, ParseErrors{{name, 1, 1, fmt.Sprintf("over %d bytes", MaxTextBytes)}}
	}
	f, err := parser.ParseString("", text)
	if err != nil {
		var p participle.Error
		if errors.As(err, &p) {
			return nil, ParseErrors{{name, p.Position().Line, p.Position().Column, p.Message()}}
		}
		return nil, ParseErrors{{name, 1, 1, err.Error()}}
	}
	c := roleCompiler{fileName: name, classes: classes, roles: map[string]*caller.Rights{}, roleLines: map[string]int{}}
	c.compileFile(f)
	if c.errs != nil {
		return nil, c.errs
	}
	return c.roles, nil
}

type roleCompiler struct {
	fileName  string
	classes   []string
	roles     map[string]*caller.Rights
	roleLines map[string]int // lines of the roles
	ruleCount int
	errs      ParseErrors
}

func (c *roleCompiler) errorf(at lexer.Position, format string, args ...any) {
	if len(c.errs) < maxErrors {
		c.errs = append(c.errs, ParseError{c.fileName, at.Line, at.Column, fmt.Sprintf(format, args...)})
	}
}

func (c *roleCompiler) compileFile(f *file) {
	if len(f.Roles) > MaxRoles {
		c.errorf(f.Roles[MaxRoles].Pos, "over %d roles", MaxRoles)
		return
	}
	for _, r := range f.Roles {
		c.compileRole(r)
	}
}

func (c *roleCompiler) compileRole(r *role) {
	switch line, twice := c.roleLines[r.Name]; {
	case twice:
		c.errorf(r.Pos, "role %s is there already, at line %d", r.Name, line)
	case len(r.Name) > maxNameBytes:
		c.errorf(r.Pos, "role %.40s…: over %d characters", r.Name, maxNameBytes)
	}
	c.roleLines[r.Name] = r.Pos.Line
	var rules []caller.Rule
	var at []lexer.Position
	for _, x := range r.Rules {
		for _, y := range c.expandRule(x) {
			rules, at = append(rules, y), append(at, x.Pos)
		}
	}
	if c.ruleCount += len(rules); c.ruleCount > MaxRules {
		c.errorf(r.Pos, "over %d rules", MaxRules)
		return
	}
	c.reportShadowed(rules, at)
	c.roles[r.Name] = caller.Compile(rules)
}

// reportShadowed tells of rules that never decide anything: an operator who wrote one meant something else.
func (c *roleCompiler) reportShadowed(rules []caller.Rule, at []lexer.Position) {
	for i := range rules {
		j := caller.ShadowedBy(rules, i)
		switch {
		case j < 0:
		case rules[j].Deny != rules[i].Deny:
			c.errorf(at[i], "contradicts line %d, which says the opposite of all that this rule is about and comes first", at[j].Line)
		default:
			c.errorf(at[i], "never applies: line %d says the same of all that this rule is about", at[j].Line)
		}
	}
}

// expandRule gives a rule for each prefix.
func (c *roleCompiler) expandRule(x *rule) []caller.Rule {
	out := caller.Rule{Deny: x.Effect == "deny", Access: caller.ReadWrite, Line: x.Pos.Line, Column: x.Pos.Column}
	switch x.Access {
	case "read":
		out.Access = caller.Read
	case "write":
		out.Access = caller.Write
	}
	out.Classes = c.ruleClasses(x)
	out.Spans = c.ruleSpans(x)
	if x.Rate != nil {
		switch {
		case out.Deny:
			c.errorf(x.Rate.Pos, "a rate belongs to allow alone")
		case !(x.Rate.Value > 0 && x.Rate.Value <= maxRatePerSecond):
			c.errorf(x.Rate.Pos, "%v is no rate; above 0 and up to %v requests a second are", x.Rate.Value, maxRatePerSecond)
		}
		out.Rate = x.Rate.Value
	}
	if x.Prefixes == nil {
		return []caller.Rule{out}
	}
	var all []caller.Rule
	for _, p := range x.Prefixes {
		if p == "" || len(p) > maxPrefixBytes {
			c.errorf(x.Pos, "%q is no prefix; 1 to %d bytes are, and without on … a rule is about all keys", p[:min(len(p), 40)], maxPrefixBytes)
		}
		y := out
		y.Prefix = p
		all = append(all, y)
	}
	return all
}

// ruleClasses gives the classes of a rule, nil for any.
func (c *roleCompiler) ruleClasses(x *rule) []string {
	if slices.Contains(x.Classes, "any") {
		if len(x.Classes) > 1 {
			c.errorf(x.Pos, "any stands alone: it is every class")
		}
		return nil
	}
	for i, n := range x.Classes {
		if c.classes != nil && !slices.Contains(c.classes, n) {
			c.errorf(x.Pos, "%.40q is no class; %s are", n, strings.Join(c.classes, ", "))
		}
		if slices.Contains(x.Classes[:i], n) {
			c.errorf(x.Pos, "class %s is there twice", n)
		}
	}
	return x.Classes
}

var weekdays = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

const minutesPerDay = 24 * 60

// ruleSpans gives the parts of the week of a rule, nil for always.
func (c *roleCompiler) ruleSpans(x *rule) []caller.Span {
	var out []caller.Span
	for _, h := range x.Hours {
		first, last, ok := parseDays(h.Days)
		from, ok1 := parseMinutes(h.From)
		to, ok2 := parseMinutes(h.To)
		switch {
		case !ok:
			c.errorf(h.Pos, "%.20q are no days; mon, mon-fri and sat-sun are", h.Days)
		case !ok1 || !ok2:
			c.errorf(h.Pos, "%s-%s: 00:00 to 24:00 are right", h.From, h.To)
		case from == to:
			c.errorf(h.Pos, "%s-%s is no time at all", h.From, h.To)
		default:
			for d := first; ; d = (d + 1) % 7 {
				if from < to {
					out = append(out, caller.Span{From: d*minutesPerDay + from, To: d*minutesPerDay + to})
				} else { // over midnight
					out = append(out, caller.Span{From: d*minutesPerDay + from, To: (d + 1) * minutesPerDay}, caller.Span{From: (d + 1) % 7 * minutesPerDay, To: (d+1)%7*minutesPerDay + to})
				}
				if d == last {
					break
				}
			}
		}
	}
	if out == nil {
		return nil
	}
	out = caller.NormalizeSpans(out)
	if len(out) == 1 && out[0] == (caller.Span{From: 0, To: caller.MinutesPerWeek}) {
		return nil
	}
	return out
}

// parseDays reads mon or mon-fri; "" is every day.
func parseDays(text string) (first, last int, ok bool) {
	if text == "" {
		return 0, 6, true
	}
	a, b, ranged := strings.Cut(strings.ToLower(text), "-")
	if !ranged {
		b = a
	}
	first, last = slices.Index(weekdays, a), slices.Index(weekdays, b)
	return first, last, first >= 0 && last >= 0
}

// parseMinutes reads HH:MM up to 24:00.
func parseMinutes(text string) (int, bool) {
	h, m, _ := strings.Cut(text, ":")
	hour, err := strconv.Atoi(h)
	minute, err2 := strconv.Atoi(m)
	n := hour*60 + minute
	return n, err == nil && err2 == nil && minute < 60 && n <= minutesPerDay
}
