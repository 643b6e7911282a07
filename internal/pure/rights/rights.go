// Package rights parses the language in which operators define what callers may do, as roles with rules. It
// compiles a text to the rules of package caller and reports errors with line and column. It performs no I/O.
//
//	role dispatcher {
//	  deny  any on "secret/"
//	  allow read-status, log-handover on "container/", "vessel/"
//	  allow order-poll on "poll/" write at mon-fri 06:00-22:00 up to 50/s
//	}
//
// Within a role, the first rule that matches a request decides; a request that matches none is denied. Times
// are UTC.
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

// Limits on a rights file.
const (
	MaxTextBytes     = 1 << 20 // length of the file
	MaxRoles         = 1000
	MaxRules         = 10_000 // in all roles, counting each prefix of a rule as a rule
	maxRatePerSecond = 1e9
	maxNameBytes     = 64
	maxPrefixBytes   = 250 // length of a prefix; no key is longer
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

// tokenRules defines the tokens of the language. A word may contain dashes, so that mon-fri is a single
// token.
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

// ParseError describes one syntax or semantic error in a rights file.
type ParseError struct {
	File         string
	Line, Column int // starting at 1
	Message      string
}

// Error returns the message, preceded by file, line and column.
func (e ParseError) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// ParseErrors lists the errors in a rights file, in the order in which they were found.
type ParseErrors []ParseError

// Error returns the errors, one per line.
func (errs ParseErrors) Error() string {
	lines := make([]string, len(errs))
	for i, e := range errs {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the errors as one error, or nil if there are none.
func (errs ParseErrors) Err() error {
	if len(errs) == 0 {
		return nil
	}
	return errs
}

// Parse validates a whole rights file and compiles its roles. If there are errors, the roles are nil. classes
// lists the class names that rules may use; nil = class names are not checked.
func Parse(fileName, text string, classes []string) (map[string]*caller.Rights, ParseErrors) {
	if len(text) > MaxTextBytes {
		return nil, ParseErrors{{fileName, 1, 1, fmt.Sprintf("text is longer than %d bytes", MaxTextBytes)}}
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		var syntaxErr participle.Error
		if errors.As(err, &syntaxErr) {
			return nil, ParseErrors{{fileName, syntaxErr.Position().Line, syntaxErr.Position().Column, syntaxErr.Message()}}
		}
		return nil, ParseErrors{{fileName, 1, 1, err.Error()}}
	}
	c := roleCompiler{fileName: fileName, classes: classes, roles: map[string]*caller.Rights{}, roleLines: map[string]int{}}
	c.compileFile(parsed)
	if c.errs != nil {
		return nil, c.errs
	}
	return c.roles, nil
}

// roleCompiler holds the state of compiling one file.
type roleCompiler struct {
	fileName  string
	classes   []string
	roles     map[string]*caller.Rights
	roleLines map[string]int // line of each role by name
	ruleCount int
	errs      ParseErrors
}

func (c *roleCompiler) errorf(pos lexer.Position, format string, args ...any) {
	if len(c.errs) < maxErrors {
		c.errs = append(c.errs, ParseError{c.fileName, pos.Line, pos.Column, fmt.Sprintf(format, args...)})
	}
}

func (c *roleCompiler) compileFile(f *file) {
	if len(f.Roles) > MaxRoles {
		c.errorf(f.Roles[MaxRoles].Pos, "more than %d roles", MaxRoles)
		return
	}
	for _, r := range f.Roles {
		c.compileRole(r)
	}
}

func (c *roleCompiler) compileRole(r *role) {
	switch line, duplicate := c.roleLines[r.Name]; {
	case duplicate:
		c.errorf(r.Pos, "role %s is already defined at line %d", r.Name, line)
	case len(r.Name) > maxNameBytes:
		c.errorf(r.Pos, "role name %.40s… is longer than %d characters", r.Name, maxNameBytes)
	}
	c.roleLines[r.Name] = r.Pos.Line
	var rules []caller.Rule
	var positions []lexer.Position
	for _, source := range r.Rules {
		for _, compiled := range c.expandRule(source) {
			rules, positions = append(rules, compiled), append(positions, source.Pos)
		}
	}
	if c.ruleCount += len(rules); c.ruleCount > MaxRules {
		c.errorf(r.Pos, "more than %d rules", MaxRules)
		return
	}
	c.reportShadowed(rules, positions)
	c.roles[r.Name] = caller.Compile(rules)
}

// reportShadowed reports rules that can never decide a request, which an operator cannot have intended.
func (c *roleCompiler) reportShadowed(rules []caller.Rule, positions []lexer.Position) {
	for i := range rules {
		j := caller.ShadowedBy(rules, i)
		switch {
		case j < 0:
		case rules[j].Deny != rules[i].Deny:
			c.errorf(positions[i], "contradicts line %d, which comes first, matches every request that this rule matches, and has the opposite effect", positions[j].Line)
		default:
			c.errorf(positions[i], "never applies: line %d already matches every request that this rule matches, with the same effect", positions[j].Line)
		}
	}
}

// expandRule returns one compiled rule for each prefix of a parsed rule.
func (c *roleCompiler) expandRule(source *rule) []caller.Rule {
	base := caller.Rule{Deny: source.Effect == "deny", Access: caller.ReadWrite, Line: source.Pos.Line, Column: source.Pos.Column}
	switch source.Access {
	case "read":
		base.Access = caller.Read
	case "write":
		base.Access = caller.Write
	}
	base.Classes = c.ruleClasses(source)
	base.Spans = c.ruleSpans(source)
	if source.Rate != nil {
		switch {
		case base.Deny:
			c.errorf(source.Rate.Pos, "only an allow rule can have a rate limit")
		case !(source.Rate.Value > 0 && source.Rate.Value <= maxRatePerSecond):
			c.errorf(source.Rate.Pos, "rate %v is out of range; it must be above 0 and at most %v requests per second", source.Rate.Value, maxRatePerSecond)
		}
		base.Rate = source.Rate.Value
	}
	if source.Prefixes == nil {
		return []caller.Rule{base}
	}
	var expanded []caller.Rule
	for _, prefix := range source.Prefixes {
		if prefix == "" || len(prefix) > maxPrefixBytes {
			c.errorf(source.Pos, "invalid prefix %q: must be 1 to %d bytes long; omit on … to match all keys", prefix[:min(len(prefix), 40)], maxPrefixBytes)
		}
		withPrefix := base
		withPrefix.Prefix = prefix
		expanded = append(expanded, withPrefix)
	}
	return expanded
}

// ruleClasses returns the classes of a rule, or nil for any class.
func (c *roleCompiler) ruleClasses(source *rule) []string {
	if slices.Contains(source.Classes, "any") {
		if len(source.Classes) > 1 {
			c.errorf(source.Pos, "any cannot be combined with other classes: it already means every class")
		}
		return nil
	}
	for i, class := range source.Classes {
		if c.classes != nil && !slices.Contains(c.classes, class) {
			c.errorf(source.Pos, "unknown class %.40q; the classes are %s", class, strings.Join(c.classes, ", "))
		}
		if slices.Contains(source.Classes[:i], class) {
			c.errorf(source.Pos, "class %s is listed twice", class)
		}
	}
	return source.Classes
}

var weekdays = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

const minutesPerDay = 24 * 60

// ruleSpans returns the parts of the week in which a rule applies, or nil for always.
func (c *roleCompiler) ruleSpans(source *rule) []caller.Span {
	var spans []caller.Span
	for _, h := range source.Hours {
		first, last, daysValid := parseDays(h.Days)
		from, fromValid := parseMinutes(h.From)
		to, toValid := parseMinutes(h.To)
		switch {
		case !daysValid:
			c.errorf(h.Pos, "invalid days %.20q; valid examples are mon, mon-fri and sat-sun", h.Days)
		case !fromValid || !toValid:
			c.errorf(h.Pos, "invalid time range %s-%s; times must lie between 00:00 and 24:00", h.From, h.To)
		case from == to:
			c.errorf(h.Pos, "time range %s-%s is empty", h.From, h.To)
		default:
			for day := first; ; day = (day + 1) % 7 {
				if from < to {
					spans = append(spans, caller.Span{From: day*minutesPerDay + from, To: day*minutesPerDay + to})
				} else { // past midnight
					spans = append(spans, caller.Span{From: day*minutesPerDay + from, To: (day + 1) * minutesPerDay}, caller.Span{From: (day + 1) % 7 * minutesPerDay, To: (day+1)%7*minutesPerDay + to})
				}
				if day == last {
					break
				}
			}
		}
	}
	if spans == nil {
		return nil
	}
	spans = caller.NormalizeSpans(spans)
	if len(spans) == 1 && spans[0] == (caller.Span{From: 0, To: caller.MinutesPerWeek}) {
		return nil
	}
	return spans
}

// parseDays parses a day or a range of days, such as mon or mon-fri, to indexes in weekdays. "" means every
// day.
func parseDays(text string) (first, last int, ok bool) {
	if text == "" {
		return 0, 6, true
	}
	firstName, lastName, ranged := strings.Cut(strings.ToLower(text), "-")
	if !ranged {
		lastName = firstName
	}
	first, last = slices.Index(weekdays, firstName), slices.Index(weekdays, lastName)
	return first, last, first >= 0 && last >= 0
}

// parseMinutes parses HH:MM, up to 24:00, to minutes since midnight.
func parseMinutes(text string) (int, bool) {
	hourText, minuteText, _ := strings.Cut(text, ":")
	hour, hourErr := strconv.Atoi(hourText)
	minute, minuteErr := strconv.Atoi(minuteText)
	total := hour*60 + minute
	return total, hourErr == nil && minuteErr == nil && minute < 60 && total <= minutesPerDay
}
