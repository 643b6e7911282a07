package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/standin"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// house is a service over stand-ins, with two pools.
type house struct {
	t      *testing.T
	dir    string
	log    *standintest.Log
	s      *Service
	hup    chan os.Signal
	config string
}

func startHouse(t *testing.T) *house {
	t.Helper()
	h := &house{t: t, dir: t.TempDir(), log: standintest.CatchLog(t), hup: make(chan os.Signal)}
	fleet, err := standin.StartFleet(standin.FleetConfig{Servers: 2, Sites: []string{"a"}, Keep: 1,
		Cache:  standin.Capacity{Workers: 4, Work: 1, Queue: 50},
		Origin: standin.OriginConfig{Capacity: standin.Capacity{Workers: 8, Work: 1, Queue: 50}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	rows := ""
	for _, e := range fleet.Entries() {
		rows += fmt.Sprintf("  {id = %q, addr = %q, site = %q, kind = %q},\n", e.ID, e.Addr, e.Zone, e.Kind)
	}
	h.write("servers.toml", "servers = [\n"+rows+"]\nend = 3\n")
	h.write("other.toml", "servers = [\n"+rows) // cut short
	h.config = `site = "a"
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 500
deadline_ms = 2000
[[pool]]
name = "one"
listen = "127.0.0.1:0"
[pool.servers]
file = "servers.toml"
[[pool]]
name = "two"
listen = "127.0.0.1:0"
[pool.servers]
file = "servers.toml"
[end]
`
	h.write("c.toml", h.config)
	if h.s, err = Open(filepath.Join(h.dir, "c.toml")); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.s.Run(ctx, h.hup) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("ended with %v", err)
		}
	})
	for i := range 2 {
		standintest.Until(t, "ready", func() bool { return h.ask(i, "mn") == "MN" })
	}
	return h
}

func (h *house) write(name, text string) {
	h.t.Helper()
	if err := os.WriteFile(filepath.Join(h.dir, name), []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
}

// ask sends one line to a pool and returns the first line of the answer.
func (h *house) ask(pool int, line string) string {
	h.t.Helper()
	c, err := net.Dial("tcp", h.s.Addrs()[pool])
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, line+"\r\n")
	got, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(got)
}

var asked int

func (h *house) class(pool int, name string) string {
	asked++
	word, _, _ := strings.Cut(h.ask(pool, fmt.Sprintf("mg 0000000000000001 v Oh%d Pc=%s,t=t,d=2000", asked, name)), " ")
	return word
}

// Half a configuration, by SIGHUP or by an edit, changes nothing and is told of; a whole one is taken.
func TestHalfAConfiguration(t *testing.T) {
	h := startHouse(t)
	next := strings.Replace(h.config, `"read"`, `"fetch"`, 1)
	for _, cut := range []int{0, len(next) / 2, strings.Index(next, "[[pool]]\nname = \"two\""), len(next) - 4} {
		h.write("c.toml", next[:cut])
		h.hup <- syscall.SIGHUP
	}
	h.hup <- syscall.SIGHUP // taken once the one before it has been carried out
	if n := h.log.Count("SIGHUP: the configuration is kept"); n < 4 {
		t.Errorf("told %d times of 4", n)
	}
	standintest.Until(t, "told by the watch too", func() bool { return h.log.Count("configuration: refused, the one in use stays") > 0 })
	if got := h.class(0, "read"); got != "VA" {
		t.Errorf("the old class: %q", got)
	}
	h.write("c.toml", next) // no signal: the edit is seen
	for i := range 2 {
		standintest.Until(t, "the new class", func() bool { return h.class(i, "fetch") == "VA" })
		standintest.Until(t, "the old class has gone", func() bool { return h.class(i, "read") == "CLIENT_ERROR" })
	}
}

// A configuration of which one part can't count does not count at all: the other pool goes on as before.
func TestConfigurationIsTakenWhole(t *testing.T) {
	h := startHouse(t)
	at := strings.LastIndex(h.config, `"servers.toml"`)
	next := strings.Replace(h.config[:at]+strings.Replace(h.config[at:], "servers.toml", "other.toml", 1), `"read"`, `"fetch"`, 1)
	h.write("c.toml", next)
	standintest.Until(t, "refused", func() bool { return h.log.Count("other.toml:") > 0 })
	for i := range 2 {
		if got := h.class(i, "read"); got != "VA" {
			t.Errorf("pool %d: the old class: %q", i, got)
		}
		if got := h.class(i, "fetch"); got != "CLIENT_ERROR" {
			t.Errorf("pool %d: the new class: %q", i, got)
		}
	}
	h.write("c.toml", strings.Replace(h.config, "127.0.0.1:0", "127.0.0.1:1", 1))
	standintest.Until(t, "refused", func() bool { return h.log.Count("pool[0].listen can only change with a restart") > 0 })
}

// What is bad at the start ends the program with the reason, and leaves nothing open.
func TestBadStart(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "c.toml")
	for _, c := range []struct{ text, want string }{
		{"", "site: missing"},
		{"site = 3\n[end]\n", "c.toml:1: site: "},
		{"site = \"a\"\n[[class]]\nname = \"r\"\neffect = \"once\"\naim_ms = 1\ndeadline_ms = 1\n[[pool]]\nname = \"p\"\nlisten = \"127.0.0.1:0\"\n[pool.servers]\nfile = \"none\"\n[end]\n",
			"none: can't be read: no such file"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.text, err, c.want)
		}
	}
	if _, err := Open(filepath.Join(dir, "missing")); err == nil {
		t.Error("no file")
	}
}
