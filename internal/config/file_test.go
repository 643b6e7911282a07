package config

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/cottonyoke.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func parse(t testing.TB, text string) *File {
	t.Helper()
	f, faults := ParseFile("dir/c.toml", []byte(text))
	if faults != nil {
		t.Fatal(faults)
	}
	return f
}

// The example is valid, yields settings that the decide package accepts, and states the actual default
// values.
func TestExample(t *testing.T) {
	f := parse(t, example(t))
	p := f.Pools[0]
	if len(f.Pools) != 1 || p.Listen != "127.0.0.1:11211" || p.Limits.MemoryMB != 192 || p.Limits.Sockets != 1024 {
		t.Errorf("got %+v", p)
	}
	c := p.Checked.Config
	if c.Zone != "rades" || !c.Aside || c.OriginKind != "origin" || len(c.Classes) != 3 || c.Classes[1].Effect != decide.Keyed ||
		c.Classes[2].Effect != decide.Once || c.Tenants[0].Quota != 1000 || !c.Weighted {
		t.Errorf("decide configuration: %+v", c)
	}
	if p.Source.Path != filepath.Join("dir", "servers.toml") || !p.Source.Rules.Origin || p.Source.Rules.GoneShare != 0.5 {
		t.Errorf("source %+v", p.Source)
	}
	if _, err := decide.New(c, 1, nil); err != nil {
		t.Error(err)
	}
	var short []string // the example without the lines that state defaults
	needed := regexp.MustCompile(`^(\[|name|site =|effect|aim_ms|deadline_ms|worth = [35]|scope|window_ms|share_per_s|listen|file|sites|kinds)`)
	for line := range strings.Lines(example(t)) {
		if needed.MatchString(line) {
			short = append(short, line)
		}
	}
	if without := parse(t, strings.Join(short, "")); !reflect.DeepEqual(without, f) {
		t.Errorf("without the defaults:\n%+v\nwith them:\n%+v", without.Pools[0], p)
	}
}

// Every key of the configuration file appears in the example.
func TestExampleHasEveryKey(t *testing.T) {
	text := example(t)
	var walk func(reflect.Type)
	walk = func(of reflect.Type) {
		for i := range of.NumField() {
			f := of.Field(i)
			if key := f.Tag.Get("toml"); !regexp.MustCompile(`(?m)^#?\[*#?(\w+\.)*` + key + `( =|\])`).MatchString(text) {
				t.Errorf("%s is not in the example", key)
			}
			kind := f.Type
			for kind.Kind() == reflect.Slice || kind.Kind() == reflect.Pointer {
				kind = kind.Elem()
			}
			if kind.Kind() == reflect.Struct {
				walk(kind)
			}
		}
	}
	walk(reflect.TypeFor[document]())
}

// A configuration truncated at any byte is rejected, even if the rest parses.
func TestHalfAConfigurationIsRefused(t *testing.T) {
	text := example(t)
	whole := strings.Index(text, "\n[end]") + len("\n[end]")
	for cut := range whole {
		if _, faults := ParseFile("c.toml", []byte(text[:cut])); faults == nil {
			t.Fatalf("cut at byte %d of %d: accepted", cut, len(text))
		}
	}
	for cut := whole; cut <= len(text); cut++ {
		if _, faults := ParseFile("c.toml", []byte(text[:cut])); faults != nil && !strings.Contains(text[whole:cut], "#") {
			t.Errorf("cut after the end marker: %v", faults)
		}
	}
}

func TestFaultsOfAConfiguration(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"memory_mb = 192 ", "memory_mb = 8 ", ":15: limits.memory_mb: 8 is out of range; from 16 to 1048576 MB is right"},
		{"memory_mb = 192 ", "memroy_mb = 192 ", ":15: limits.memroy_mb: no such key"},
		{"descriptors = 1024", "descriptors = 20", "limits.descriptors: 20 is out of range"},
		{"me = 0 ", "me = 3 ", "tier.me: 3 is no number of a tier of 1"},
		{`site = "rades"`, `#`, "site: missing"},
		{`name = "order-poll"`, `name = "read-status"`, `class[2].name: "read-status" stands twice`},
		{`effect = "once"`, `effect = "never"`, `class[2].effect: "never" is no effect; repeatable, by_key and once are`},
		{`scope = "all"`, `scope = "town"`, `class[1].scope: "town" is no scope`},
		{"window_ms = 2000", "#", "class[1].window_ms: missing"},
		{`effect = "by_key"`, `effect = "once"`, "class[1].scope: scope and window_ms belong to the effect by_key alone"},
		{"aim_ms = 150", "aim_ms = 1500", "class[0].aim_ms: 1500 is later than the deadline of 500"},
		{"deadline_ms = 500", "deadline_ms = nan", "class[0].deadline_ms: NaN is out of range"},
		{"deadline_ms = 500", "deadline_ms = -1", "class[0].deadline_ms: -1 is out of range"},
		{"share_per_s = 1000", "#", "tenant[0].share_per_s: missing"},
		{"share_per_s = 1000", "share_per_s = inf", "tenant[0].share_per_s: +Inf is out of range"},
		{`listen = "127.0.0.1:11211"`, `listen = "here"`, `pool[0].listen: "here" is no address; HOST:PORT is`},
		{`origin = "router"`, `origin = "x"`, `pool[0].origin: "x" is no way to the origin`},
		{`sites = ["rades", "sfax"]`, `sites = ["sfax"]`, `pool[0].sites: the router's own site "rades" is not among them`},
		{`file = "servers.toml"`, `#`, "pool[0].servers: takes one of the two"},
		{`file = "servers.toml"`, `discovery = "x:y"`, `pool[0].servers.discovery: "x:y" is no address`},
		{`name = "status"`, `name = "../x"`, `pool[0].name: "../x" is no name`},
		{"cores = 1 ", "cores = 100 ", "limits.cores: 100 is out of range"},
		{"cores = 1 ", "cores = 64 ", "limits.cores: leaves each of 64 engines"},
		{"[end]", "", "add as its last line: [end]"},
		{"[limits]", "[limits", "c.toml:14: "},
		{"part = 1 ", "part = 1000", "pool[0].part: 1000 is out of range"},
	} {
		text := strings.Replace(example(t), c.old, c.new, 1)
		if text == example(t) {
			t.Fatalf("%q is not in the example", c.old)
		}
		_, faults := ParseFile("c.toml", []byte(text))
		if got := faults.Error(); !strings.Contains(got, c.want) {
			t.Errorf("%s -> %s: got %q, want %q in it", c.old, c.new, got, c.want)
		}
	}
	both := strings.Replace(strings.Replace(example(t), "aim_ms = 150", "aim_ms = 0", 1), "worth = 5", "worth = -5", 1)
	if _, faults := ParseFile("c.toml", []byte(both)); len(faults) != 2 {
		t.Errorf("two faults: %v", faults)
	}
}

func TestPoolsShareTheLimits(t *testing.T) {
	text := strings.Replace(example(t), "[end]", "[[pool]]\nname = \"b\"\nlisten = \"127.0.0.1:11212\"\npart = 3\n[pool.servers]\ndiscovery = \"127.0.0.1:8500\"\n[end]", 1)
	f := parse(t, text)
	if a, b := f.Pools[0], f.Pools[1]; a.Limits.MemoryMB != 48 || b.Limits.MemoryMB != 144 || a.Limits.Sockets != 256 || b.Name != "cottonyoke/b" ||
		b.Discovery != "127.0.0.1:8500" || b.Source.Path != "" {
		t.Errorf("%+v\n%+v", a, b)
	}
	_, faults := ParseFile("c.toml", []byte(strings.Replace(text, "127.0.0.1:11212", "127.0.0.1:11211", 1)))
	if len(faults) != 1 || !strings.Contains(faults.Error(), "is another's") {
		t.Errorf("the same address: %v", faults)
	}
	_, faults = ParseFile("c.toml", []byte(strings.Replace(text, "memory_mb = 192", "memory_mb = 60", 1)))
	if len(faults) != 1 || !strings.Contains(faults.Error(), "leaves the pool 15 MB") {
		t.Errorf("too little for one of them: %v", faults)
	}
}

func TestNeedsRestart(t *testing.T) {
	old := parse(t, example(t))
	for _, c := range []struct{ old, new, want string }{
		{"worth = 5", "worth = 6", ""},
		{"share_per_s = 1000", "share_per_s = 10", ""},
		{`name = "order-poll"`, `name = "order"`, ""},
		{`file = "servers.toml"`, `file = "other.toml"`, ""},
		{"gone_share = 0.5", "gone_share = 0.9", ""},
		{"127.0.0.1:11211", "127.0.0.1:11212", "pool[0].listen"},
		{"memory_mb = 192", "memory_mb = 100", "limits"},
		{"cold_ms = 8000", "cold_ms = 9000", "site, tier, attempts or rules"},
		{`file = "servers.toml"`, `discovery = "127.0.0.1:1"`, "pool[0].servers.discovery (another kind of source)"},
	} {
		text := strings.Replace(example(t), c.old, c.new, 1)
		if c.new == `discovery = "127.0.0.1:1"` {
			text = regexp.MustCompile(`(?m)^(gone_share|settle_ms|notices).*$`).ReplaceAllString(text, "")
		}
		if got := strings.Join(old.NeedsRestart(parse(t, text)), ","); got != c.want {
			t.Errorf("%s -> %s: %q, want %q", c.old, c.new, got, c.want)
		}
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(example(f)))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, faults := ParseFile("c.toml", text)
		if (c == nil) == (faults == nil) {
			t.Error("neither a configuration nor a fault, or both")
		}
		if c != nil {
			for _, p := range c.Pools {
				if _, err := decide.New(p.Checked.Config, 1, nil); err != nil {
					t.Errorf("accepted, but decide.New returns: %v", err)
				}
			}
		}
	})
}
