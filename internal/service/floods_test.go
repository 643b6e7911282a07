package service

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// longValue is what slow readers ask for.
var longValue = strings.Repeat("v", 60<<10)

// maxFlooders bounds the connections that a flood holds at once, and flooderEvery is the time between two: other tests share the machine.
const (
	maxFlooders  = 600
	flooderEvery = 2 * time.Millisecond
)

// flood opens connections to a RESP pool as fast as they come up, until ctx ends, and holds them, the last maxFlooders. Each does what it is
// told; how many came is counted.
func flood(ctx context.Context, addr string, each func(net.Conn)) (opened int64) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for ; ctx.Err() == nil; time.Sleep(flooderEvery) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		opened++
		c.SetDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // a failure shows in what follows
		each(c)
		if held = append(held, c); len(held) > maxFlooders {
			held[0].Close()
			held = held[1:]
		}
	}
	return opened
}

const aLogin = "AUTH a-key a-secret\r\n"

// floods are those of issue 14 that are made of connections.
var floods = map[string]func(net.Conn){
	"connections of nobody":           func(net.Conn) {},
	"half commands of nobody":         func(c net.Conn) { io.WriteString(c, "*2\r\n$3\r\nGET\r\n$5\r\nab") },             //nolint:errcheck // it may be closed by then
	"connections of a tenant":         func(c net.Conn) { io.WriteString(c, aLogin) },                                    //nolint:errcheck
	"half commands of a tenant":       func(c net.Conn) { io.WriteString(c, aLogin+"*2\r\n$3\r\nGET\r\n$5\r\nab") },      //nolint:errcheck
	"slow readers and endless values": func(c net.Conn) { io.WriteString(c, aLogin+strings.Repeat("GET long\r\n", 16)) }, //nolint:errcheck
}

// calm is what tenant b does meanwhile: requests one after the other on connections that it keeps, and new connections with a login.
type calm struct{ asked, served, timely, refused, cut, logins, loggedIn int64 }

// ready logs tenant b in, and waits until the engine of the connection serves.
func (c *guest) ready() {
	c.t.Helper()
	if got := c.ask("AUTH b-key b-secret"); got != "+OK" {
		c.t.Fatal(got)
	}
	standintest.Until(c.t, "the engine serves", func() bool { return !strings.HasPrefix(c.ask("GET k"), "-") })
}

// calm runs b's load until ctx ends.
func (g *gated) calm(ctx context.Context, addr string) (out calm) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	book := func(do func(*calm)) {
		mu.Lock()
		defer mu.Unlock()
		do(&out)
	}
	for range 8 {
		c := dialGuest(g.t, addr)
		c.ready()
		wg.Go(func() {
			for ctx.Err() == nil {
				at := time.Now()
				got := c.ask("GET k")
				took := time.Since(at)
				book(func(o *calm) {
					o.asked++
					switch {
					case got == "EOF":
						o.cut++
					case strings.HasPrefix(got, "-"):
						o.refused++
					default:
						if o.served++; took < 500*time.Millisecond {
							o.timely++
						}
					}
				})
				if got == "EOF" {
					return
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			ok := false
			if c, err := net.DialTimeout("tcp", addr, 3*time.Second); err == nil {
				ok = guestOn(g.t, c).ask("AUTH b-key b-secret") == "+OK"
				c.Close()
			}
			book(func(o *calm) {
				if o.logins++; ok {
					o.loggedIn++
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	wg.Wait()
	return out
}

// fillLong has tenant a's long value at the servers, all engines serving, and limits of tenants: how often one reads is bounded by those,
// what it leaves unread is not.
func (g *gated) fillLong(addr string) {
	g.t.Helper()
	a := dialGuest(g.t, addr)
	defer a.Close()
	if x, y := a.ask("AUTH a-key a-secret"), a.ask(fmt.Sprintf("*3\r\n$3\r\nSET\r\n$4\r\nlong\r\n$%d\r\n%s", len(longValue), longValue)); x != "+OK" || y != "+OK" {
		g.t.Fatal(x, y)
	}
	g.inForce(g.change(func(b *keybook.Credentials) {
		b.Terms = map[string]keybook.Terms{"a": {Limits: tenant.Limits{Floor: 50, Most: 300}}, "b": {Limits: tenant.Limits{Floor: 5000}}}
	}))
}

// A flood of connections, of half commands, of slow readers that ask for endless values: another tenant's connections stay, its requests are
// served, and it comes in anew. What the flood holds is bounded.
func TestFloodsOfConnections(t *testing.T) {
	for name, each := range floods {
		t.Run(name, func(t *testing.T) {
			g := startGated(t, 1)
			s := g.routers[0]
			addr := s.Addrs()[1]
			g.fillLong(addr)
			ctx, stop := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer stop()
			opened := make(chan int64, 1)
			go func() { opened <- flood(ctx, addr, each) }()
			got := g.calm(ctx, addr)
			if n := <-opened; n < 150 {
				t.Errorf("no flood: %d connections", n)
			}
			t.Logf("%+v", got)
			if got.asked < 100 || got.cut > 0 || got.refused > got.asked/20 || got.logins < 5 || got.loggedIn < got.logins { // other tests take their part too
				t.Errorf("beside the flood: %+v", got)
			}
		})
	}
}

// A tenant's connections are held to its limit: an idle one of its own gives way to the next; where none is idle the next one is told why and
// ends. Another tenant is not bound by it, and the limit changes in service.
func TestConnectionsOfATenant(t *testing.T) {
	g := startGated(t, 1)
	s := g.routers[0]
	limit := func(n int) {
		g.inForce(g.change(func(b *keybook.Credentials) {
			b.Terms = map[string]keybook.Terms{"a": {Limits: tenant.Limits{Conns: n}}}
		}))
	}
	limit(2)
	standintest.Until(t, "the limit counts", func() bool { _, epoch := s.known.source.Version(); return s.pools[1].inForce.Load() >= epoch })
	addr := s.Addrs()[1]
	in := func(who string) (*guest, string) {
		c := dialGuest(t, addr)
		return c, c.ask("AUTH " + who + "-key " + who + "-secret")
	}
	for _, n := range g.cluster.Nodes() {
		n.Late(400 * time.Millisecond)
	}
	var cs []*guest
	for range 2 {
		c, got := in("a")
		if got != "+OK" {
			t.Fatal(got)
		}
		cs = append(cs, c)
	}
	func() {
		before, _ := g.cluster.Record().All()
		for _, c := range cs {
			c.Write([]byte("SET k v\r\n")) //nolint:errcheck // shows in the answer
		}
		standintest.Until(t, "both are out", func() bool { ran, _ := g.cluster.Record().All(); return len(ran) >= len(before)+2 })
		c, got := in("a")
		defer c.Close()
		ended := c.line() == "EOF"
		for _, c := range cs {
			if got := c.line(); got != "+OK" {
				t.Fatalf("busy ones stay: %q", got)
			}
		}
		if got != "-ERR max number of clients reached: too_many_connections" || !ended {
			t.Errorf("at the limit: %q, %v", got, ended)
		}
	}()
	for _, n := range g.cluster.Nodes() {
		n.Late(0)
	}
	if _, got := in("b"); got != "+OK" {
		t.Errorf("another tenant: %q", got)
	}
	var c *guest
	standintest.Until(t, "an idle one gives way", func() (ok bool) { // they are idle a moment after their answers have come
		var got string
		c, got = in("a")
		return got == "+OK"
	})
	if got := c.ask("PING"); got != "+PONG" {
		t.Errorf("with an idle one: %q", got)
	}
	var said [2]string
	standintest.Until(t, "one gives way", func() bool { // it ends a moment after the other was let in, and may answer once more
		said = [2]string{cs[0].ask("PING"), cs[1].ask("PING")}
		return said[0] == "EOF" || said[1] == "EOF"
	})
	if said[0] == said[1] {
		t.Errorf("one gave way: %q", said)
	}
	limit(50)
	standintest.Until(t, "the higher limit counts", func() bool { _, epoch := s.known.source.Version(); return s.pools[1].inForce.Load() >= epoch })
	for range 10 {
		if _, got := in("a"); got != "+OK" {
			t.Errorf("a higher limit: %q", got)
		}
	}
}
