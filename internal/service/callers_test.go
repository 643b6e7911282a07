package service

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/identity/identitytest"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/standin"
	"mossproxy.example/mossproxy/internal/standin/standintest"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// gated is routers over one fleet and one cluster, whose pools ask who calls. Pool 0 speaks the meta commands, pool 1 RESP.
type gated struct {
	t         testing.TB
	dir       string
	more      string // of the configuration
	fleet     *standin.Fleet
	cluster   *standin.Cluster
	routers   []*Service
	signers   []*identitytest.Signer
	pepper    identity.Pepper
	authority *identitytest.CA

	mu   sync.Mutex
	book keybook.Credentials
}

const gatedConfig = `site = "a"
[limits]
cores = 2
descriptors = 2048
memory_mb = 192
[callers]
book = "callers.toml"
rights = "callers.rights"
pepper_file = "pepper"
client_bundle = "clients.pem"
audiences = ["AUDIENCE"]
skew_ms = 2000
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 500
deadline_ms = 5000
[[class]]
name = "poll"
effect = "once"
aim_ms = 500
deadline_ms = 5000
[[class]]
name = "log"
effect = "by_key"
scope = "all"
window_ms = 2000
aim_ms = 500
deadline_ms = 5000
[[pool]]
name = "meta"
listen = "127.0.0.1:0"
callers = true
[pool.tls]
listen = "127.0.0.1:0"
certificate = "router.pem"
key = "router.key"
clients = "may"
[pool.servers]
file = "servers.toml"
[[pool]]
name = "resp"
listen = "127.0.0.1:0"
callers = true
protocol = "resp"
[pool.resp]
seeds = ["SEED"]
read_class = "read"
write_class = "poll"
meta_listen = "127.0.0.1:0"
[end]
`

const gatedRights = `role all { allow any }
role reader { allow read read }
role polls { allow poll on "poll/" write  allow read on "poll/" }
`

// startGated starts routers. Tenants a, b and c have a caller each, of all rights, by token (NAME/all), certificate (uri:spiffe://t/NAME)
// and secret (key NAME-key, secret NAME-secret); tenant a has a reader too.
func startGated(t testing.TB, routers int) *gated {
	t.Helper()
	g := &gated{t: t, dir: t.TempDir(), authority: identitytest.NewCA(t, "clients"), pepper: identity.Pepper{7}}
	quick := standin.Capacity{Workers: 16, Work: 0.1, Queue: 1 << 12}
	var err error
	if g.fleet, err = standin.StartFleet(standin.FleetConfig{Servers: 3, Sites: []string{"a"}, Keep: 1 << 16, Cache: quick, Origin: standin.OriginConfig{Capacity: quick}}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.fleet.Close)
	if g.cluster, err = standin.StartCluster(standin.ClusterConfig{Primaries: 3, Seed: 5, Keep: 1 << 16}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.cluster.Close)
	rows := ""
	for _, e := range g.fleet.Entries() {
		rows += fmt.Sprintf("  {id = %q, addr = %q, site = %q, kind = %q},\n", e.ID, e.Addr, e.Zone, e.Kind)
	}
	g.write("servers.toml", "servers = [\n"+rows+"]\nend = 4\n")
	g.write("callers.rights", gatedRights)
	g.write("pepper", "BwAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n")
	g.write("clients.pem", string(g.authority.PEM()))
	cert, key := g.authority.Issue(t, time.Hour, "dns:router")
	g.write("router.pem", string(cert))
	g.write("router.key", string(key))
	g.signers = append(g.signers, identitytest.NewSigner(t, "k0", "issuer", caller.EdDSA))
	g.book.Keys = append(g.book.Keys, g.signers[0].KeyWithLifecycle(caller.Lifecycle{Active: 1}))
	for _, n := range []string{"a", "b", "c"} {
		g.book.Tenants = append(g.book.Tenants, caller.Tenant{Name: n, Generation: 1})
		g.book.Callers = append(g.book.Callers, caller.Principal{Name: n + "-all", Tenant: n, Roles: []string{"all"},
			Subjects: []caller.Subject{{Issuer: "issuer", Name: n + "/all"}}, Certificates: []string{"uri:spiffe://t/" + n}})
		g.book.Keys = append(g.book.Keys, caller.Key{ID: n + "-key", Algorithm: caller.Secret, Caller: n + "-all", Digest: g.pepper.Hash(n+"-key", []byte(n+"-secret")), Lifecycle: caller.Lifecycle{Active: 1}})
	}
	g.book.Callers = append(g.book.Callers, caller.Principal{Name: "a-reader", Tenant: "a", Roles: []string{"reader"}, Subjects: []caller.Subject{{Issuer: "issuer", Name: "a/reader"}}},
		caller.Principal{Name: "a-polls", Tenant: "a", Roles: []string{"polls"}, Subjects: []caller.Subject{{Issuer: "issuer", Name: "a/polls"}}})
	g.change(func(*keybook.Credentials) {})
	for i := range routers {
		g.routers = append(g.routers, g.start(fmt.Sprint("r", i)))
	}
	return g
}

// start starts a router with an audience of its own.
func (g *gated) start(audience string) *Service { return g.startOn(audience, onDisk) }

// startOn is start with the folders of stores on a disk of one's own.
func (g *gated) startOn(audience string, disk func(string) fsys.FS) *Service {
	g.t.Helper()
	name := "c-" + audience + ".toml"
	g.write(name, strings.NewReplacer("AUDIENCE", audience, "SEED", g.cluster.Nodes()[0].Addr()).Replace(strings.Replace(gatedConfig, "[callers]", g.more+"[callers]", 1)))
	s, err := openOn(filepath.Join(g.dir, name), disk)
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, nil) }()
	g.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			g.t.Errorf("ended with %v", err)
		}
	})
	c := dialGuest(g.t, s.Addrs()[0])
	standintest.Until(g.t, "ready", func() bool { return c.ask("mn") == "MN" })
	c.Close()
	r := dialGuest(g.t, s.Addrs()[1])
	if got := r.ask("AUTH a-key a-secret"); got != "+OK" {
		g.t.Fatalf("login: %q", got)
	}
	standintest.Until(g.t, "ready", func() bool { return !strings.HasPrefix(r.ask("GET ready"), "-LOADING") })
	r.Close()
	return s
}

func (g *gated) write(name, text string) {
	g.t.Helper()
	next := filepath.Join(g.dir, name+".next")
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		g.t.Fatal(err)
	}
	if err := os.Rename(next, filepath.Join(g.dir, name)); err != nil {
		g.t.Fatal(err)
	}
}

// change writes another version of the book, and gives it. inForce waits until the routers have it.
func (g *gated) change(do func(*keybook.Credentials)) uint64 {
	g.t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	do(&g.book)
	g.book.Version++
	text, err := g.book.Encode()
	if err != nil {
		g.t.Fatal(err)
	}
	g.write("callers.toml", string(text))
	return g.book.Version
}

func (g *gated) inForce(version uint64) {
	g.t.Helper()
	for _, s := range g.routers {
		standintest.Until(g.t, "book in force", func() bool { v, _ := s.known.source.Version(); return v >= version })
	}
}

// life gives a key of the book another life.
func (g *gated) life(id string, set func(*caller.Lifecycle)) uint64 {
	return g.change(func(b *keybook.Credentials) {
		for i := range b.Keys {
			if b.Keys[i].ID == id {
				set(&b.Keys[i].Lifecycle)
			}
		}
	})
}

func now() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// guest is a client's connection that speaks lines.
type guest struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func dialGuest(t testing.TB, addr string) *guest {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return guestOn(t, c)
}

func guestOn(t testing.TB, c net.Conn) *guest {
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(60 * time.Second)) //nolint:errcheck // the test fails by reading then
	return &guest{c, t, bufio.NewReader(c)}
}

func dialTLS(t testing.TB, addr string, cfg *tls.Config) (*guest, error) {
	t.Helper()
	c, err := tls.Dial("tcp", addr, cfg)
	if err != nil {
		return nil, err
	}
	return guestOn(t, c), nil
}

func (c *guest) ask(lines string) string {
	if _, err := c.Write([]byte(lines + "\r\n")); err != nil {
		return "EOF"
	}
	return c.line()
}

// line is the first line of an answer; of a value, the value.
func (c *guest) line() string {
	l, err := c.r.ReadString('\n')
	if err != nil {
		return "EOF"
	}
	l = strings.TrimSpace(l)
	if strings.HasPrefix(l, "VA ") || strings.HasPrefix(l, "$") && l != "$-1" {
		v, err := c.r.ReadString('\n')
		if err != nil {
			return "EOF"
		}
		return strings.TrimSpace(v)
	}
	return l
}

var ids atomic.Int64

func mg(key, more string) string {
	return fmt.Sprintf("mg %s v Oid%d Pc=read,d=3000%s", key, ids.Add(1), more)
}

func ms(key, class, value, more string) string {
	return fmt.Sprintf("ms %s %d Oid%d Pc=%s,d=3000%s\r\n%s", key, len(value), ids.Add(1), class, more, value)
}

func (s *Service) metaAddr(pool int) string { return s.pools[pool].setup.Meta.Addr().String() }

func (s *Service) tlsAddr() string { return s.pools[0].setup.TLS.Addr().String() }

// Without a caller nothing but mn, PING and logins is taken; with one, what its rights allow, by every way of saying who calls.
func TestWhoIsCalling(t *testing.T) {
	g := startGated(t, 1)
	s := g.routers[0]
	token := g.signers[0].Token(t, "a/all", "r0")
	ask := func(name string, c *guest, text, want string) {
		t.Helper()
		if got := c.ask(text); !strings.HasPrefix(got, want) {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	c := dialGuest(t, s.Addrs()[0])
	ask("nobody", c, mg("k", ""), "CLIENT_ERROR no_caller")
	ask("nobody with a value", c, ms("k", "poll", "auth token x", ""), "CLIENT_ERROR no_caller")
	ask("mn", c, "mn", "MN")
	ask("wrong secret", c, "auth key a-key b-secret", "CLIENT_ERROR bad_signature")
	ask("secret", c, "auth key a-key a-secret", "HD")
	ask("then", c, mg("k", ""), "a.1:k for a.1:id")
	ask("its own tenant", c, mg("k", ",t=a"), "a.1:k for")
	ask("another's tenant", c, mg("k", ",t=b"), "CLIENT_ERROR no_right")
	ask("token for one request", c, mg("k", ",a="+g.signers[0].Token(t, "b/all", "r0")), "b.1:k for b.1:id")
	ask("which leaves the connection's caller", c, mg("k", ""), "a.1:k for")
	ask("another audience", c, mg("k", ",a="+g.signers[0].Token(t, "a/all", "r1")), "CLIENT_ERROR wrong_audience")

	c = dialGuest(t, s.Addrs()[0])
	ask("reader", c, "auth token "+g.signers[0].Token(t, "a/reader", "r0"), "HD")
	ask("reads", c, mg("k", ""), "a.1:k for")
	ask("does not write", c, ms("k", "poll", "v", ""), "CLIENT_ERROR no_right")
	c = dialGuest(t, s.Addrs()[0])
	ask("polls", c, "auth token "+g.signers[0].Token(t, "a/polls", "r0"), "HD")
	ask("its prefix", c, ms("poll/1", "poll", "v", ""), "HD O")
	ask("another prefix", c, ms("other/1", "poll", "v", ""), "CLIENT_ERROR no_right")
	ask("another class", c, ms("poll/1", "log", "v", ",k=1"), "CLIENT_ERROR no_right")

	r := dialGuest(t, s.Addrs()[1])
	ask("ping", r, "PING", "+PONG")
	ask("nobody", r, "GET k", "-NOAUTH")
	ask("cluster", r, "CLUSTER INFO", "-NOAUTH")
	ask("wrong", r, "AUTH a-key nothing", "-WRONGPASS invalid username-password pair or user is disabled: bad_signature")
	ask("token", r, "AUTH token "+token, "+OK")
	ask("set", r, "SET k 1", "+OK")
	ask("get", r, "GET k", "1")
	r2 := dialGuest(t, s.Addrs()[1])
	ask("hello", r2, "HELLO 2 AUTH b-key b-secret", "*14")
	for range 14 { // seven names with their values
		r2.line()
	}
	ask("another tenant's", r2, "GET k", "$-1")
	m := dialGuest(t, s.metaAddr(1))
	ask("meta on the same servers", m, "auth token "+token, "HD")
	ask("reads what RESP wrote", m, mg("k", ""), "1")

	for name, cfg := range map[string]*tls.Config{"a": g.authority.ClientConfig(t, "uri:spiffe://t/a"), "b": g.authority.ClientConfig(t, "uri:spiffe://t/b")} {
		c, err := dialTLS(t, s.tlsAddr(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		ask("certificate of "+name, c, mg("k", ""), name+".1:k for")
	}
	for name, cfg := range map[string]*tls.Config{"no certificate": g.authority.ClientConfig(t), "two tenants": g.authority.ClientConfig(t, "uri:spiffe://t/a", "uri:spiffe://t/b"), "nobody's": g.authority.ClientConfig(t, "dns:x")} {
		c, err := dialTLS(t, s.tlsAddr(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		ask(name, c, mg("k", ""), "CLIENT_ERROR "+map[string]string{"no certificate": "no_caller", "two tenants": "two_tenants", "nobody's": "unknown_key"}[name])
		ask(name+", then a token", c, "auth token "+token, "HD")
		ask(name+", then", c, mg("k", ""), "a.1:k for")
	}
}
