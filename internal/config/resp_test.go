package config

import (
	"regexp"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// withRESP returns the example with its second pool, which speaks RESP, uncommented.
func withRESP(t *testing.T) string {
	t.Helper()
	text := example(t)
	at := strings.Index(text, "#[[pool]]")
	rest := regexp.MustCompile(`(?m)^#`).ReplaceAllString(text[at:], "")
	return text[:at] + strings.Replace(rest, `password_sha256 = ""`, `password_sha256 = "`+strings.Repeat("ab", 32)+`"`, 1)
}

func TestRESPPool(t *testing.T) {
	f := parse(t, withRESP(t))
	p := f.Pools[1]
	if p.RESP == nil || f.Pools[0].RESP != nil || p.RESP.Read != "read-status" || p.RESP.Write != "order-poll" || len(p.RESP.Rules) != 1 ||
		len(p.RESP.Logins) != 1 || p.RESP.Logins[0].SHA256[0] != 0xab || p.Source.Path != "" {
		t.Errorf("%+v", p.RESP)
	}
	c := p.Checked.Config
	if c.Alone || !c.Aside || c.OriginKind != OriginKind || c.Weighted || c.Cold != 0 || p.RESP.Origin != "127.0.0.1:8080" || p.RESP.KeepMS != 60000 {
		t.Errorf("%+v", c)
	}
	if _, err := decide.New(c, 1, nil); err != nil {
		t.Error(err)
	}
	if !f.Pools[0].Checked.Config.Aside || f.Pools[0].Checked.Config.Cold != 8000 {
		t.Error("the other pool has changed")
	}
}

func TestFaultsOfARESPPool(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`protocol = "resp"`, `protocol = "rsep"`, `pool[1].protocol: "rsep" is no protocol; meta and resp are`},
		{`protocol = "resp"`, `protocol = "meta"`, `pool[1].resp: belongs to a pool with protocol = "resp"`},
		{`seeds = ["127.0.0.1:7000"]`, `seeds = []`, "pool[1].resp.seeds: missing"},
		{`seeds = ["127.0.0.1:7000"]`, `seeds = ["here"]`, `pool[1].resp.seeds[0]: "here" is no address`},
		{`read_class = "read-status"`, `read_class = "none"`, `pool[1].resp.read_class: "none" is no class`},
		{`read_class = "read-status"`, `read_class = "log-handover"`, `"log-handover" has the effect by_key, and servers that speak RESP drop no repeats`},
		{`write_class = "order-poll"`, `write_class = "read-status"`, `pool[1].resp.write_class: "read-status" may run twice, and INCR must not`},
		{"class = \"read-status\"        # needed\n[[pool.resp.login]]", "class = \"x\"\n[[pool.resp.login]]", `pool[1].resp.rule[0].class: "x" is no class`},
		{strings.Repeat("ab", 32), "abc", "pool[1].resp.login[0].password_sha256: not the 64 hex digits of a SHA-256"},
		{"tenant = \"rades-terminal\"    # needed\n\n[end]", "tenant = \"x\"\n\n[end]", `pool[1].resp.login[0].tenant: "x" is no tenant`},
		{`peers = []`, `peers = ["127.0.0.1:1", "127.0.0.1:2"]`, "pool[1].resp.peers: 2 addresses, and tier.routers says 1"},
		{`password_file = ""`, `password_file = "none"`, "pool[1].resp.password_file: can't be read"},
		{`[pool.resp.origin]`, "[pool.resp.origin]\naddress = \"x\"\n[pool.resp.nothing]", "c.toml"},
		{`keep_ms = 60000`, ``, "pool[1].resp.origin.keep_ms: missing; for how long"},
		{`keep_ms = 60000`, `keep_ms = 0`, "pool[1].resp.origin.keep_ms: 0 is out of range"},
		{`address = "127.0.0.1:8080"`, `address = "there"`, `pool[1].resp.origin.address: "there" is no address`},
		{`meta_listen = ""`, `meta_listen = "127.0.0.1:11211"`, `pool[1].resp.meta_listen: "127.0.0.1:11211" is another's`},
		{`meta_listen = ""`, `meta_listen = "x"`, `pool[1].resp.meta_listen: "x" is no address`},
		{"[pool.resp]\n", "origin = \"router\"\n[pool.resp]\n", "[pool.resp.origin] names one with its address"},
		{"[pool.resp]\n", "[pool.servers]\nfile = \"x\"\n[pool.resp]\n", "pool[1].servers: the servers of a pool that speaks RESP come from its cluster"},
	} {
		text := strings.Replace(withRESP(t), c.old, c.new, 1)
		if text == withRESP(t) {
			t.Fatalf("%q is not in the example", c.old)
		}
		_, faults := ParseFile("c.toml", []byte(text))
		if got := faults.Error(); !strings.Contains(got, c.want) {
			t.Errorf("%s -> %s: got %q, want %q in it", c.old, c.new, got, c.want)
		}
	}
}

// A RESP pool without an origin runs standalone (Alone) and fetches nothing after a miss.
func TestRESPPoolAlone(t *testing.T) {
	text := regexp.MustCompile(`(?m)^\[pool.resp.origin\][^\n]*\n.*\n.*\n`).ReplaceAllString(withRESP(t), "")
	if c := parse(t, text).Pools[1].Checked.Config; !c.Alone || c.Aside || c.OriginKind != "" {
		t.Errorf("%+v", c)
	}
}

// Limits are divided among pools of both protocols, and changed seeds require a restart.
func TestRESPNeedsRestart(t *testing.T) {
	old := parse(t, withRESP(t))
	next := parse(t, strings.Replace(withRESP(t), "127.0.0.1:7000", "127.0.0.1:7001", 1))
	if got := strings.Join(old.NeedsRestart(next), ","); got != "pool[1].protocol or resp" {
		t.Error(got)
	}
	if old.Pools[0].Limits.Sockets != 512 || old.Pools[1].Limits.Sockets != 512 {
		t.Error("the limits are not shared")
	}
}
