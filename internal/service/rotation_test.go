package service

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/identity/identitytest"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// A token whose key is retiring counts until the key is retired, and then is refused with key_retired: on a new connection, and on an
// open one with 16 commands in its pipeline, each of which has its answer.
func TestTokenOfAKeyJustRetired(t *testing.T) {
	g := startGated(t, 1)
	s := g.routers[0]
	token := g.signers[0].Token(t, "a/all", "r0")
	c, r := dialGuest(t, s.Addrs()[0]), dialGuest(t, s.Addrs()[1])
	if a, b := c.ask("auth token "+token), r.ask("AUTH token "+token); a != "HD" || b != "+OK" {
		t.Fatal(a, b)
	}
	g.inForce(g.life("k0", func(l *caller.Lifecycle) { l.Retiring = now() }))
	n := dialGuest(t, s.Addrs()[0])
	if a, b := n.ask("auth token "+token), c.ask(mg("k", "")); a != "HD" || !strings.HasPrefix(b, "a.1:k") {
		t.Errorf("within the overlap: %q, %q", a, b)
	}
	// Both have begun a command when the key goes: else their connections might end before they ask again.
	for _, x := range []struct {
		c    *guest
		text string
	}{{c, "mg "}, {r, "GET "}} {
		if _, err := x.c.Write([]byte(x.text)); err != nil {
			t.Fatal(err)
		}
	}
	g.inForce(g.life("k0", func(l *caller.Lifecycle) { l.Retired = now() }))
	var lines []string
	for range 16 {
		lines = append(lines, mg("k", ""))
	}
	if _, err := c.Write([]byte(strings.TrimPrefix(strings.Join(lines, "\r\n"), "mg ") + "\r\n")); err != nil {
		t.Fatal(err)
	}
	for i := range 16 {
		if got := c.line(); got != "CLIENT_ERROR key_retired" {
			t.Errorf("open connection, command %d: %q", i, got)
		}
	}
	if got := r.ask("k"); got != "-NOAUTH Authentication required: key_retired" {
		t.Errorf("RESP: %q", got)
	}
	if got := dialGuest(t, s.Addrs()[0]).ask("auth token " + token); got != "CLIENT_ERROR key_retired" {
		t.Errorf("new connection: %q", got)
	}
	for _, x := range []*guest{c, n, r} { // what rests on it ends, though it asks nothing
		if got := x.line(); got != "EOF" {
			t.Errorf("the connection goes on: %q", got)
		}
	}
}

// A key that is revoked in the middle of an order-poll: the poll runs once and has its answer, and nothing new is taken on any
// connection, engine or router, within 5 s.
func TestKeyRevokedDuringAPoll(t *testing.T) {
	g := startGated(t, 2)
	var open []*guest
	for _, s := range g.routers {
		for range 8 { // over both engines of each
			c := dialGuest(t, s.Addrs()[1])
			if got := c.ask("AUTH a-key a-secret"); got != "+OK" {
				t.Fatal(got)
			}
			open = append(open, c)
		}
	}
	for _, n := range g.cluster.Nodes() {
		n.Late(400 * time.Millisecond)
	}
	before := g.cluster.Record()
	if _, err := open[0].Write([]byte("INCR bill\r\n")); err != nil {
		t.Fatal(err)
	}
	standintest.Until(t, "the poll is out", func() bool {
		ran, _ := before.All()
		for _, x := range ran {
			if strings.Contains(strings.Join(x.Args, " "), "bill") {
				return true
			}
		}
		return false
	})
	revoked := time.Now()
	g.life("a-key", func(l *caller.Lifecycle) { l.Revoked = now() })
	if got := open[0].line(); got != ":1" {
		t.Errorf("the poll that was out: %q", got)
	}
	for _, n := range g.cluster.Nodes() {
		n.Late(0)
	}
	for i, c := range open {
		for {
			got := c.ask("GET k")
			if got == "-NOAUTH Authentication required: key_revoked" || got == "EOF" {
				break
			}
			if time.Since(revoked) > 5*time.Second {
				t.Fatalf("connection %d after %v: %q", i, time.Since(revoked), got)
			}
		}
	}
	t.Logf("nothing was taken any more %v after the file was written", time.Since(revoked))
	for _, s := range g.routers {
		if got := dialGuest(t, s.Addrs()[0]).ask("auth key a-key a-secret"); got != "CLIENT_ERROR key_revoked" {
			t.Errorf("a new connection: %q", got)
		}
		if got := dialGuest(t, s.Addrs()[0]).ask("auth key b-key b-secret"); got != "HD" {
			t.Errorf("another's key: %q", got)
		}
	}
	ran, _ := before.All()
	times := 0
	for _, x := range ran {
		if x.Args[0] == "INCR" {
			times++
		}
	}
	if times != 1 {
		t.Errorf("the poll ran %d times", times)
	}
}

// An edit by which one certificate would stand for two tenants is refused, and the old book goes on serving; as a first configuration
// it is refused too.
func TestCertificateOfTwoTenants(t *testing.T) {
	g := startGated(t, 1)
	log := standintest.CatchLog(t)
	cfg := g.authority.ClientConfig(t, "uri:spiffe://t/a")
	both := func(b *keybook.Credentials) {
		b.Callers[1].Certificates = append(b.Callers[1].Certificates, "uri:spiffe://t/a")
	}
	g.change(both)
	standintest.Until(t, "refused", func() bool { return log.Has("one would be two tenants") })
	c, err := dialTLS(t, g.routers[0].tlsAddr(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	if got := c.ask(mg("k", "")); !strings.HasPrefix(got, "a.1:k for") {
		t.Errorf("by the old book: %q", got)
	}
	if _, err := Open(g.dir + "/c-r0.toml"); err == nil || !strings.Contains(err.Error(), "one would be two tenants") {
		t.Errorf("as a first configuration: %v", err)
	}
	g.inForce(g.change(func(b *keybook.Credentials) { b.Callers[1].Certificates = nil }))
}

// A tenant that is deleted and created again with the same name: connections of the old one are over, and its keys are another's.
func TestTenantCreatedAgain(t *testing.T) {
	g := startGated(t, 1)
	s := g.routers[0]
	token := g.signers[0].Token(t, "a/all", "r0")
	c := dialGuest(t, s.Addrs()[1])
	if a, b := c.ask("AUTH token "+token), c.ask("SET k old"); a != "+OK" || b != "+OK" {
		t.Fatal(a, b)
	}
	g.inForce(g.change(func(b *keybook.Credentials) { b.Tenants[0].Generation++ }))
	if got := c.ask("GET k"); got != "-NOAUTH Authentication required: no_tenant" && got != "EOF" {
		t.Errorf("on the old connection: %q", got)
	}
	c = dialGuest(t, s.Addrs()[1])
	if a, b := c.ask("AUTH token "+token), c.ask("GET k"); a != "+OK" || b != "$-1" {
		t.Errorf("the new one: %q, %q", a, b)
	}
}

// TLS clients that stop in their handshake, by hundreds: others are served meanwhile, and the places come back.
func TestHandshakesThatStop(t *testing.T) {
	g := startGated(t, 1)
	s := g.routers[0]
	var idle []net.Conn
	for range 600 {
		c, err := net.Dial("tcp", s.tlsAddr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.Write([]byte{0x16, 3, 1, 2, 0, 1}) //nolint:errcheck // the beginning of a hello
		idle = append(idle, c)
	}
	c, err := dialTLS(t, s.tlsAddr(), g.authority.ClientConfig(t, "uri:spiffe://t/a"))
	if err != nil {
		t.Fatal(err)
	}
	if got := c.ask(mg("k", "")); !strings.HasPrefix(got, "a.1:k for") {
		t.Errorf("beside them: %q", got)
	}
	for _, x := range idle { // each ends within the time of a first command
		x.SetReadDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // the read fails then
		if _, err := x.Read(make([]byte, 1)); err == nil {
			t.Fatal("it was answered")
		} else if e, ok := err.(net.Error); ok && e.Timeout() {
			t.Fatal("it stays open")
		}
	}
}

// A session that is resumed after its caller was revoked, or what vouched for it withdrawn, brings no caller.
func TestResumptionAfterRevocation(t *testing.T) {
	g := startGated(t, 1)
	s := g.routers[0]
	cfg := g.authority.ClientConfig(t, "uri:spiffe://t/a")
	cfg.ClientSessionCache = tls.NewLRUClientSessionCache(8)
	dial := func() (*guest, bool) {
		c, err := dialTLS(t, s.tlsAddr(), cfg)
		if err != nil {
			t.Fatal(err)
		}
		return c, c.Conn.(*tls.Conn).ConnectionState().DidResume
	}
	c, _ := dial()
	if got := c.ask(mg("k", "")); !strings.HasPrefix(got, "a.1:k for") { // the ticket has come with it
		t.Fatal(got)
	}
	c, resumed := dial()
	if got := c.ask(mg("k", "")); !resumed || !strings.HasPrefix(got, "a.1:k for") {
		t.Fatalf("resumed %v: %q", resumed, got)
	}
	g.inForce(g.change(func(b *keybook.Credentials) { b.Callers[0].Certificates = nil }))
	if got := c.ask(mg("k", "")); got != "CLIENT_ERROR unknown_key" && got != "EOF" {
		t.Errorf("the open connection: %q", got)
	}
	c, resumed = dial()
	if got := c.ask(mg("k", "")); got != "CLIENT_ERROR unknown_key" {
		t.Errorf("resumed %v after the caller was taken away: %q", resumed, got)
	}
	g.inForce(g.change(func(b *keybook.Credentials) { b.Callers[0].Certificates = []string{"uri:spiffe://t/a"} }))
	g.bundle(identitytest.NewCA(t, "other"))
	if c, err := dialTLS(t, s.tlsAddr(), cfg); err == nil {
		if got := c.ask(mg("k", "")); strings.HasPrefix(got, "a.1:k") {
			t.Errorf("after the bundle was withdrawn: %q", got)
		}
	}
}

// Through a hundred rotations of the signing key, with the listener's certificate and the client bundle changing meanwhile, on two
// routers under load: no valid request is refused for its caller.
func TestRotationsUnderLoad(t *testing.T) {
	const rotations = 100
	g := startGated(t, 2)
	var signer atomic.Pointer[identitytest.Signer]
	signer.Store(g.signers[0])
	var client atomic.Pointer[tls.Config]
	client.Store(g.authority.ClientConfig(t, "uri:spiffe://t/c"))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, bad atomic.Int64
	check := func(name, got, want string) {
		switch {
		case strings.HasPrefix(got, want):
			served.Add(1)
		case got == "SERVER_ERROR busy" || strings.HasPrefix(got, "SERVER_ERROR busy") || strings.HasPrefix(got, "-TRYAGAIN"): // the servers are at their limit
		default:
			if bad.Add(1) < 10 {
				t.Errorf("%s: %q", name, got)
			}
		}
	}
	for i, s := range g.routers {
		audience := fmt.Sprint("r", i)
		loop := func(do func()) {
			wg.Go(func() {
				pace := time.NewTicker(20 * time.Millisecond)
				defer pace.Stop()
				for {
					select {
					case <-stop:
						return
					case <-pace.C: // a load, and no race for the processor: other tests of the run look at lateness
						do()
					}
				}
			})
		}
		meta := dialGuest(t, s.Addrs()[0])
		loop(func() { // a token for each request
			check("token", meta.ask(mg("k", ",a="+signer.Load().Token(t, "a/all", audience))), "a.1:k for")
		})
		kept := dialGuest(t, s.Addrs()[0])
		kept.ask("auth key b-key b-secret")
		loop(func() { check("kept", kept.ask(mg("k", "")), "b.1:k for") })
		loop(func() { // a connection for each login
			c := dialGuest(t, s.Addrs()[1])
			defer c.Close()
			check("login", c.ask("AUTH token "+signer.Load().Token(t, "b/all", audience)), "+OK")
			check("then", c.ask("SET k v"), "+OK")
		})
		loop(func() { // a handshake for each
			c, err := dialTLS(t, s.tlsAddr(), client.Load())
			if err != nil {
				check("handshake", err.Error(), "none")
				return
			}
			defer c.Close()
			check("certificate", c.ask(mg("k", "")), "c.1:k for")
		})
	}
	old := g.authority
	for n := range rotations {
		next := identitytest.NewSigner(t, fmt.Sprint("k", n+1), "issuer", []caller.Algorithm{caller.EdDSA, caller.ES256}[n%2])
		g.inForce(g.change(func(b *keybook.Credentials) {
			b.Keys = append(b.Keys, next.KeyWithLifecycle(caller.Lifecycle{Active: now()}))
		}))
		signer.Store(next)
		g.change(func(b *keybook.Credentials) { // the one before signs nothing new, and the one before that is over
			for i := range b.Keys {
				l := &b.Keys[i].Lifecycle
				switch b.Keys[i].ID {
				case fmt.Sprint("k", n):
					l.Retiring = now()
				case fmt.Sprint("k", n-2):
					l.Retired = now()
				}
			}
		})
		if n%10 == 4 { // the client bundle: the new authority beside the old one first
			a := identitytest.NewCA(t, fmt.Sprint("clients ", n))
			g.bundle(old, a)
			mixed := a.ClientConfig(t, "uri:spiffe://t/c")
			mixed.RootCAs = client.Load().RootCAs
			client.Store(mixed)
			old = a
		}
		if n%10 == 6 { // the listener's certificate, of the same authority
			cert, key := g.authority.Issue(t, time.Hour, "dns:router")
			before := g.routers[0].pools[0].link.Serial()
			g.write("router.key", string(key)) // first the one, then the other: neither alone is taken
			g.write("router.pem", string(cert))
			standintest.Until(t, "the certificate", func() bool { return g.routers[0].pools[0].link.Serial() > before })
		}
	}
	close(stop)
	wg.Wait()
	if bad.Load() > 0 || served.Load() < 500 {
		t.Errorf("%d requests were served, %d valid ones were not taken", served.Load(), bad.Load())
	}
	t.Logf("%d requests through %d rotations", served.Load(), rotations)
}

// bundle writes the client bundle of some authorities and waits until handshakes and book have it.
func (g *gated) bundle(of ...*identitytest.CA) {
	g.t.Helper()
	text := ""
	var anchors [][32]byte
	for _, a := range of {
		text += string(a.PEM())
		anchors = append(anchors, sha256.Sum256(a.Cert.Raw))
	}
	want := x509.NewCertPool()
	want.AppendCertsFromPEM([]byte(text))
	g.write("clients.pem", text)
	for _, s := range g.routers {
		standintest.Until(g.t, "the bundle", func() bool {
			return slices.Equal(s.known.gate.Credentials().Contents().TrustAnchors, anchors) && s.pools[0].link.Client().ClientCAs.Equal(want)
		})
	}
}
