package rights

import (
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

const sampleRules = `# roles
role dispatcher {
  deny any on "secret/"
  allow read-status, log-handover on "container/", "vessel/"   # two prefixes
  allow order-poll on "poll/" write at mon-fri 06:00-22:00, sat 22:00-02:00 up to 50/s
}
role reader { allow any read }
`

var sampleClasses = []string{"read-status", "log-handover", "order-poll"}

func unixMS(t string) float64 {
	x, err := time.Parse("2006-01-02 15:04", t)
	if err != nil {
		panic(err)
	}
	return float64(x.UnixMilli())
}

// Checks which rule of a role decides a request, by class, prefix, access and time of the week.
func TestRules(t *testing.T) {
	roles, faults := Parse("r", sampleRules, sampleClasses)
	if faults != nil {
		t.Fatal(faults)
	}
	for _, c := range []struct {
		role, class, key string
		access           caller.Access
		at               string
		line             int // line of the deciding rule; 0 = denied because no rule matched
		ok               bool
	}{
		{"dispatcher", "read-status", "container/1", caller.Read, "2026-12-01 12:00", 4, true},
		{"dispatcher", "read-status", "vessel/1", caller.Write, "2026-12-01 12:00", 4, true},
		{"dispatcher", "read-status", "containe", caller.Read, "2026-12-01 12:00", 0, false},
		{"dispatcher", "read-status", "secret/1", caller.Read, "2026-12-01 12:00", 3, false},
		{"dispatcher", "order-poll", "poll/1", caller.Write, "2026-12-01 06:00", 5, true}, // Tuesday
		{"dispatcher", "order-poll", "poll/1", caller.Write, "2026-12-01 05:59", 0, false},
		{"dispatcher", "order-poll", "poll/1", caller.Write, "2026-12-01 22:00", 0, false},
		{"dispatcher", "order-poll", "poll/1", caller.Write, "2026-12-05 23:00", 5, true}, // Saturday
		{"dispatcher", "order-poll", "poll/1", caller.Write, "2026-12-06 01:59", 5, true}, // past midnight
		{"dispatcher", "order-poll", "poll/1", caller.Write, "2026-12-06 02:00", 0, false},
		{"dispatcher", "order-poll", "poll/1", caller.Read, "2026-12-01 12:00", 0, false},
		{"reader", "whatever", "x", caller.Read, "2026-12-01 12:00", 7, true},
		{"reader", "whatever", "x", caller.Write, "2026-12-01 12:00", 0, false},
	} {
		rights := roles[c.role]
		i, ok := rights.Allows(unixMS(c.at), c.class, c.key, c.access)
		line := 0
		if i >= 0 {
			line = rights.Rules()[i].Line
		}
		if ok != c.ok || line != c.line {
			t.Errorf("%+v: line %d, %v", c, line, ok)
		}
	}
	if rights := roles["dispatcher"].Rules(); len(rights) != 4 || rights[3].Rate != 50 {
		t.Errorf("%+v", rights)
	}
}

// Every error is reported with its line and column, and then Parse returns no roles at all.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"order-poll on", "order-pol on", `r:5:3: unknown class "order-pol"; the classes are read-status, log-handover, order-poll`},
		{"deny any on", "deny any, read-status on", "r:3:3: any cannot be combined with other classes"},
		{`deny any on "secret/"`, "allow any", `r:4:3: never applies: line 3 already matches every request that this rule matches, with the same effect`},
		{`deny any on "secret/"`, "deny any", `r:4:3: contradicts line 3`},
		{`"vessel/"`, `"container/x"`, `r:4:3: never applies: line 4`},
		{`"vessel/"`, `""`, `r:4:3: invalid prefix ""`},
		{"06:00", "26:00", "r:5:40: invalid time range 26:00-22:00"},
		{"06:00", "22:00", "r:5:40: time range 22:00-22:00 is empty"},
		{"mon-fri", "mon-xxx", `invalid days "mon-xxx"`},
		{"50/s", "0/s", "rate 0 is out of range"},
		{"50/s", "50/m", `r:5:`},
		{"deny any on \"secret/\"", "deny any on \"secret/\" up to 5/s", "r:3:31: only an allow rule can have a rate limit"},
		{"role reader", "role dispatcher", "r:7:1: role dispatcher is already defined at line 2"},
		{"role reader {", "role reader", `r:7:13: unexpected token "allow"`},
		{"allow any read", "allwo any read", `unexpected token "allwo"`},
		{"read }", "read", "unexpected token \"<EOF>\""},
		{"# roles", strings.Repeat(" ", MaxTextBytes), "text is longer than 1048576 bytes"},
		{"# roles", "$", "r:1:1: "},
	} {
		roles, faults := Parse("r", strings.Replace(sampleRules, c.old, c.new, 1), sampleClasses)
		if roles != nil || !strings.Contains(faults.Error(), c.want) {
			t.Errorf("%s -> %s: %v, want %q", c.old, c.new, faults, c.want)
		}
	}
}

// Checks for any text that Parse returns either roles or errors, and that no compiled rule is shadowed by
// another.
func FuzzParse(f *testing.F) {
	f.Add(sampleRules)
	f.Add(`role a{allow any on "\"" at 1:00-0:30}`)
	f.Fuzz(func(t *testing.T, text string) {
		roles, faults := Parse("r", text, nil)
		if (roles == nil) == (faults == nil) {
			t.Fatalf("%v and %v", roles, faults)
		}
		for _, r := range roles {
			for i := range r.Rules() {
				if r.Rules()[i].Line < 1 || caller.ShadowedBy(r.Rules(), i) >= 0 {
					t.Fatalf("rule %+v", r.Rules()[i])
				}
			}
			r.Allows(1e12, "x", "y", caller.ReadWrite)
		}
	})
}
