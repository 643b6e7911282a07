package service

import (
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/identity/identitytest"
	"mossproxy.example/mossproxy/internal/standin"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

const serverTLSConfig = `site = "a"
[attempts]
probes = false
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 500
deadline_ms = 3000
[[class]]
name = "poll"
effect = "once"
aim_ms = 500
deadline_ms = 3000
[[pool]]
name = "meta"
listen = "127.0.0.1:0"
[pool.servers]
file = "servers.toml"
[pool.server_tls]
bundle = "servers.pem"
certificate = "router.pem"
key = "router.key"
[[pool]]
name = "resp"
listen = "127.0.0.1:0"
protocol = "resp"
[pool.resp]
seeds = ["SEED"]
read_class = "read"
write_class = "poll"
[pool.server_tls]
bundle = "servers.pem"
certificate = "router.pem"
key = "router.key"
[end]
`

// Links to cache servers, origin and cluster carry TLS on both sides: values of all sizes pass, cancelled and hung attempts leave nothing
// behind, and while servers' certificates, the router's and the bundles change under load, no request fails for it. A server of another
// authority is never asked.
func TestTLSToServers(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, text []byte) {
		if err := os.WriteFile(filepath.Join(dir, name+".next"), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(filepath.Join(dir, name+".next"), filepath.Join(dir, name)); err != nil {
			t.Fatal(err)
		}
	}
	authority := identitytest.NewCA(t, "servers")
	var serving atomic.Pointer[tls.Config]
	issue := func(a *identitytest.CA) *tls.Config {
		cert, key := a.Issue(t, time.Hour, "dns:server")
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		c := authority.ClientConfig(t)
		return &tls.Config{Certificates: []tls.Certificate{pair}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: c.RootCAs, MinVersion: tls.VersionTLS13}
	}
	serving.Store(issue(authority))
	cfg := &tls.Config{GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return serving.Load(), nil }}
	quick := standin.Capacity{Workers: 16, Work: 0.1, Queue: 1 << 12}
	fleet, err := standin.StartFleet(standin.FleetConfig{Servers: 2, Sites: []string{"a"}, Keep: 1 << 16, Cache: quick, Origin: standin.OriginConfig{Capacity: quick}, TLS: cfg})
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Close()
	cluster, err := standin.StartCluster(standin.ClusterConfig{Primaries: 2, Seed: 5, Keep: 1 << 16, TLS: cfg})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	rows := ""
	for _, e := range fleet.Entries() {
		rows += fmt.Sprintf("  {id = %q, addr = %q, site = %q, kind = %q},\n", e.ID, e.Addr, e.Zone, e.Kind)
	}
	write("servers.toml", []byte("servers = [\n"+rows+"]\nend = 3\n"))
	write("servers.pem", authority.PEM())
	cert, key := authority.Issue(t, time.Hour, "dns:router")
	write("router.pem", cert)
	write("router.key", key)
	write("c.toml", []byte(strings.Replace(serverTLSConfig, "SEED", cluster.Nodes()[0].Addr(), 1)))
	s, err := Open(filepath.Join(dir, "c.toml"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, nil) }()
	defer func() { stop(); <-ended }()
	m, r := dialGuest(t, s.Addrs()[0]), dialGuest(t, s.Addrs()[1])
	standintest.Until(t, "ready", func() bool {
		return m.ask("mn") == "MN" && !strings.HasPrefix(r.ask("GET ready"), "-")
	})
	for n, want := range map[int]string{1: "x", 4096: "", 16 << 10: "", 60000: ""} { // below and over a record
		want = strings.Repeat("x", n)
		if got := r.ask(fmt.Sprintf("*3\r\n$3\r\nSET\r\n$1\r\nv\r\n$%d\r\n%s", n, want)); got != "+OK" {
			t.Fatalf("%d bytes: %q", n, got)
		}
		if got := r.ask("GET v"); got != want {
			t.Fatalf("%d bytes come back as %d", n, len(got))
		}
	}
	if got := m.ask(mg("k", "")); !strings.HasPrefix(got, "k for id") {
		t.Fatal(got)
	}
	// Attempts that hang are given up on their connection alone.
	fleet.Caches()[0].Set(standin.Hangs)
	for i := range 20 {
		if got := m.ask(mg(fmt.Sprint("h", i), "")); !strings.HasPrefix(got, fmt.Sprintf("h%d for id", i)) && !strings.HasPrefix(got, "SERVER_ERROR") {
			t.Fatal(got)
		}
	}
	fleet.Caches()[0].Set(standin.Serves)
	// All that proves who is who changes under load.
	done := make(chan struct{})
	failed := make(chan string, 1)
	go func() {
		defer close(failed)
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
			}
			if got := r.ask("SET k v"); got != "+OK" && !strings.HasPrefix(got, "-TRYAGAIN") {
				failed <- got
				return
			}
		}
	}()
	servers := s.pools[1].servers
	for range 10 {
		next := identitytest.NewCA(t, "next")
		write("servers.pem", append(next.PEM(), authority.PEM()...))
		before := servers.Serial()
		serial := func() { // the bundle's change, and the pair's, each wait until the router has them
			t.Helper()
			standintest.Until(t, "the router has it", func() bool { return servers.Serial() > before })
			before = servers.Serial()
		}
		serial()
		serving.Store(issue(next))
		cert, key := authority.Issue(t, time.Hour, "dns:router")
		write("router.key", key)
		write("router.pem", cert)
		serial()
		serving.Store(issue(authority))
	}
	close(done)
	if why, bad := <-failed; bad {
		t.Errorf("a request failed while material changed: %s", why)
	}
	// A server that proves another authority is a connection that never came up.
	serving.Store(issue(identitytest.NewCA(t, "stranger")))
	for _, c := range fleet.Caches() {
		c.Set(standin.Dead)
		if err := c.Restart(); err != nil {
			t.Fatal(err)
		}
	}
	runs := len(fleet.Record().Runs())
	for i := range 10 {
		m.ask(mg(fmt.Sprint("s", i), ""))
	}
	if n := len(fleet.Record().Runs()); n != runs {
		t.Errorf("%d requests ran at strangers", n-runs)
	}
}
