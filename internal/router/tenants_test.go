package router

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/member"
)

const limitsText = `site = "a"
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 500
deadline_ms = 2000
[[tenant]]
name = "t"
TENANT
[[tenant]]
name = "u"
floor_per_s = 1000
[[pool]]
name = "p"
listen = "127.0.0.1:0"
[pool.servers]
discovery = "127.0.0.1:1"
[end]
`

// limited is the configuration of a router's tests with limits of tenant t.
func limited(t *testing.T, discovery, lines string) *config.Config {
	t.Helper()
	f, faults := config.ParseFile(filepath.Join(t.TempDir(), "c.toml"), []byte(strings.Replace(limitsText, "TENANT", lines, 1)))
	if faults != nil {
		t.Fatal(faults)
	}
	cfg := testConfig(t, discovery, member.List{})
	cfg.Tenants, cfg.Standalone = f.Pools[0].Tenants, true
	return cfg
}

// Hard limits refuse with the time to come again, of their tenant alone; they change in service, below what is in hand too, and what is in
// hand has its answer. A suspended tenant gets nothing; one that is not listed gets what is left.
func TestLimitsOfTenants(t *testing.T) {
	release := make(chan struct{})
	s := startFake(t, func(line string) string {
		if strings.Contains(line, " Oslow") {
			<-release
		}
		return hit(line)
	})
	d := startDirectory(t, full(box("s-0000000b", s.Addr), originAt(s.Addr)))
	discovery := d.Listener.Addr().String()
	r := start(t, limited(t, discovery, "most_per_s = 1\nburst_s = 5"))
	c := dial(t, r.addr)
	until(t, "ready", func() bool { return c.ask("mn") == "MN" })
	as := func(id, tenant string) string { return strings.Replace(read(id, 2000), "t=t,", "t="+tenant+",", 1) }
	taken, refused := 0, ""
	for i := range 12 {
		if got := c.ask(as(fmt.Sprint("a", i), "t")); strings.HasPrefix(got, "VA ") {
			taken++
		} else {
			refused = got
		}
	}
	if taken < 5 || taken > 6 || !strings.HasPrefix(refused, "SERVER_ERROR busy ") {
		t.Errorf("%d taken, then %q", taken, refused)
	}
	for _, who := range []string{"u", "nobody"} {
		if got := c.ask(as("b"+who, who)); !strings.HasPrefix(got, "VA ") {
			t.Errorf("%s: %q", who, got)
		}
	}
	r.updates <- Setup{Config: limited(t, discovery, "open = 100")}
	slow := dial(t, r.addr)
	until(t, "the new limit", func() bool {
		return strings.HasPrefix(c.ask(as("c", "t")), "VA ")
	})
	for i := range 3 {
		slow.send(as(fmt.Sprint("slow", i), "t") + "\r\n")
	}
	for seen := 0; seen < 3; {
		if strings.Contains(next(t, s.Seen, "request"), " Oslow") {
			seen++
		}
	}
	r.updates <- Setup{Config: limited(t, discovery, "open = 1")} // below what is in hand
	until(t, "the lower limit", func() bool {
		return c.ask(as("d", "t")) == "SERVER_ERROR busy"
	})
	close(release)
	for i := range 3 {
		if got := slow.line(); !strings.HasPrefix(got, fmt.Sprint("VA 5 Oslow", i)) {
			t.Errorf("in hand: %q", got)
		}
	}
	r.updates <- Setup{Config: limited(t, discovery, "suspended = true")}
	until(t, "suspended", func() bool {
		return c.ask(as("e", "t")) == "SERVER_ERROR busy"
	})
	if got := c.ask(as("f", "u")); !strings.HasPrefix(got, "VA ") {
		t.Errorf("another tenant: %q", got)
	}
}
