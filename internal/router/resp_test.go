package router

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/standin"
)

const respConfigText = `site = "a"
[attempts]
cancel = false
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 800
deadline_ms = 2000
[[class]]
name = "poll"
effect = "once"
aim_ms = 500
deadline_ms = 1000
[[tenant]]
name = "t"
share_per_s = 100000
[[pool]]
name = "p"
listen = "127.0.0.1:0"
protocol = "resp"
[pool.resp]
seeds = ["SEED"]
read_class = "read"
write_class = "poll"
MORE
[end]
`

func startCluster(t testing.TB, primaries, replicas int) *standin.Cluster {
	t.Helper()
	c, err := standin.StartCluster(standin.ClusterConfig{Primaries: primaries, Replicas: replicas, Seed: 5, Keep: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// serveRESP starts a router in front of a cluster, and waits until it serves.
func serveRESP(t testing.TB, c *standin.Cluster, more string) *running {
	t.Helper()
	return serveSeed(t, c.Nodes()[0].Addr(), more)
}

// serveSeed is serveRESP for a cluster of which a server is known.
func serveSeed(t testing.TB, seed, more string) *running {
	t.Helper()
	r := startSetup(t, respSetup(t, seed, more))
	p := dialRESP(t, r.addr)
	until(t, "ready", func() bool { return !strings.HasPrefix(p.ask("GET ready"), "-LOADING") })
	return r
}

// respSetup is the setup of a pool that speaks RESP, with more lines behind its own.
func respSetup(t testing.TB, seed, more string) Setup {
	t.Helper()
	text := strings.NewReplacer("SEED", seed, "MORE", more).Replace(respConfigText)
	file, faults := config.ParseFile(filepath.Join(t.TempDir(), "c.toml"), []byte(text))
	if faults != nil {
		t.Fatal(faults)
	}
	setup, err := Open(file.Pools[0], nil)
	if err != nil {
		t.Fatal(err)
	}
	return setup
}

// peer is a RESP client's connection that speaks lines.
type peer struct{ *client }

func dialRESP(t testing.TB, addr string) *peer { return &peer{dial(t, addr)} }

// ask sends a command inline and gives the first line of the answer, with what is in a string behind it.
func (p *peer) ask(command string) string {
	p.t.Helper()
	p.send(command + "\r\n")
	return p.answer()
}

func (p *peer) answer() string {
	p.t.Helper()
	l, err := p.r.ReadString('\n')
	if err != nil {
		return "EOF"
	}
	l = strings.TrimSpace(l)
	if strings.HasPrefix(l, "$") && l != "$-1" {
		v, err := p.r.ReadString('\n')
		if err != nil {
			return "EOF"
		}
		return strings.TrimSpace(v)
	}
	return l
}

// keyAt is a key whose slot a node owns.
func keyAt(c *standin.Cluster, n *standin.Node, prefix string) string {
	for i := 0; ; i++ {
		if k := fmt.Sprintf("%s%d", prefix, i); c.Owner(slots.ForKey([]byte(k))) == n {
			return k
		}
	}
}

func TestRESPCommands(t *testing.T) {
	c := startCluster(t, 3, 0)
	r := serveRESP(t, c, "")
	p := dialRESP(t, r.addr)
	for _, s := range [][2]string{
		{"PING", "+PONG"}, {"ECHO hi", "hi"}, {"SELECT 0", "+OK"}, {"SELECT 1", "-ERR SELECT is not allowed in cluster mode"},
		{"SET a 1", "+OK"}, {"GET a", "1"}, {"INCR a", ":2"}, {"APPEND a x", ":2"}, {"STRLEN a", ":2"}, {"INCR a", "-ERR value is not an integer or out of range"},
		{"GET none", "$-1"}, {"MSET {t}1 x {t}2 y", "+OK"}, {"EXISTS {t}1 {t}2 {t}3", ":2"}, {"MGET a b", "-CROSSSLOT Keys in request don't hash to the same slot"},
		{"DEL {t}1 {t}2", ":2"}, {"GETSET a 7", "2x"}, {"GETDEL a", "7"}, {"SETNX a 1", ":1"}, {"SETNX a 1", ":0"}, {"GET", "-ERR wrong number of arguments for 'get' command"},
		{"MULTI", "-ERR MULTI: transactions are not taken: a router can't hold several commands together"},
		{"EVAL x 0", "-ERR EVAL: scripts are not taken: nobody can tell what running one twice does"},
		{"SUBSCRIBE x", "-ERR SUBSCRIBE: subscriptions are not taken: connect to a server for them"},
		{"BLPOP x 0", "-ERR BLPOP: blocking commands are not taken: each request has a deadline"},
		{"NOSUCH", "-ERR unknown command 'NOSUCH'"}, {"CLUSTER KEYSLOT foo", ":12182"}, {"CLIENT SETNAME me", "+OK"}, {"CLIENT GETNAME", "me"},
		{"YOKE class=read,d=500 GET a", "1"}, {"YOKE class=read INCR a", "-ERR class read may run twice, and INCR must not: name another class for it"},
		{"YOKE class=none GET a", "-ERR unknown class \"none\""}, {"YOKE k=7 GET a", "1"}, {"YOKE k= GET a", "-ERR yoke: \"k=\"; class=NAME, d=MS and k=KEY are taken"},
		{"COMMAND COUNT", ""}, {"HELLO 4", "-NOPROTO unsupported protocol version"}, {"QUIT", "+OK"}, {"", "EOF"},
	} {
		if got := p.ask(s[0]); got != s[1] && s[1] != "" {
			t.Errorf("%s: %q, want %q", s[0], got, s[1])
		}
	}
	if got := dialRESP(t, r.addr).ask("*1\r\n$-5\r\n"); !strings.HasPrefix(got, "-ERR protocol error: invalid length") {
		t.Errorf("a negative length: %q", got)
	}
}

// AUTH that is wrong, and that changes within a connection.
func TestRESPAuth(t *testing.T) {
	c := startCluster(t, 1, 0)
	login := func(user, sum string) string {
		return "[[pool.resp.login]]\nuser = \"" + user + "\"\npassword_sha256 = \"" + sum + "\"\ntenant = \"t\"\n"
	}
	r := serveRESP(t, c, login("default", "2bd806c97f0e00af1a1fc3328fa763a9269723c8db8fac4f93af71db186d6e90")+ // "alice" and "bob"
		login("bob", "81b637d8fcd2c6da6359e6963113a1170de795e4b725b84d1e0b4cfd9ec58ce9"))
	p := dialRESP(t, r.addr)
	for _, s := range [][2]string{
		{"GET a", "-NOAUTH Authentication required."}, {"AUTH wrong", "-WRONGPASS invalid username-password pair or user is disabled."},
		{"AUTH bob alice", "-WRONGPASS invalid username-password pair or user is disabled."}, {"GET a", "-NOAUTH Authentication required."},
		{"AUTH alice", "+OK"}, {"SET a 1", "+OK"}, {"AUTH bob wrong", "-WRONGPASS invalid username-password pair or user is disabled."}, {"GET a", "1"},
		{"AUTH bob bob", "+OK"}, {"GET a", "1"}, {"HELLO 3 AUTH bob wrong", "-WRONGPASS invalid username-password pair or user is disabled."}, {"GET a", "1"},
	} {
		if s[0] == "SET a 1" {
			until(t, "ready", func() bool { return !strings.HasPrefix(p.ask("GET ready"), "-LOADING") })
		}
		if got := p.ask(s[0]); got != s[1] {
			t.Errorf("%s: %q, want %q", s[0], got, s[1])
		}
	}
}

// A command of which the earlier attempt may have run is never sent again, whatever comes back: cut behind the last byte,
// timed out, answered late, sent on. The servers' record proves it.
func TestPollRunsOnce(t *testing.T) {
	for name, spoil := range map[string]func(*standin.Node){
		"cut": func(n *standin.Node) { n.Set(standin.Cuts) }, "silent": func(n *standin.Node) { n.Set(standin.Silent) },
		"late": func(n *standin.Node) { n.Late(1200 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 2, 0)
			r := serveRESP(t, c, "")
			n := c.Nodes()[0]
			key := keyAt(c, n, "poll")
			slot := slots.ForKey([]byte(key))
			spoil(n)
			p, began := dialRESP(t, r.addr), time.Now()
			p.send("INCR " + key + "\r\n")
			until(t, "it ran", func() bool { return c.Record().Times("INCR", key) == 1 })
			c.Migrate(slot, c.Nodes()[1]) // from now on others are sent on
			c.Finish(slot)
			if got := p.answer(); got != "-ERR failed: the command may have run" {
				t.Errorf("answer %q", got)
			}
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("answered after %v", took)
			}
			n.Set(standin.Serves)
			n.Late(0)
			until(t, "the new owner", func() bool { return p.ask("GET "+key) == "1" })
			if k := c.Record().Times("INCR", key); k != 1 {
				t.Errorf("ran %d times", k)
			}
		})
	}
}

// A client that lost its connection sends its poll again under the same key, while the first is open: it is not taken, and
// the first has its one run. Once that is answered the key is free.
func TestKeyOfAnOpenCommand(t *testing.T) {
	c := startCluster(t, 1, 0)
	r := serveRESP(t, c, "")
	n := c.Nodes()[0]
	n.Late(300 * time.Millisecond)
	first, second := dialRESP(t, r.addr), dialRESP(t, r.addr)
	first.send("YOKE k=o-17 INCR polls\r\n")
	until(t, "the first runs", func() bool { return c.Record().Times("INCR", "polls") == 1 })
	if got := second.ask("YOKE k=o-17 INCR polls"); got != "-ERR doubled: a command with this key is open, and this one has not run" {
		t.Errorf("again: %q", got)
	}
	if got := first.answer(); got != ":1" {
		t.Errorf("the first: %q", got)
	}
	if n := c.Record().Times("INCR", "polls"); n != 1 {
		t.Errorf("ran %d times", n)
	}
	n.Late(0)
	if got := second.ask("YOKE k=o-18 INCR polls"); got != ":2" {
		t.Errorf("another key: %q", got)
	}
	if got := second.ask("YOKE k=o-17 INCR polls"); got != ":3" {
		t.Errorf("the key once it is free: %q", got)
	}
}

// Each error that a server may give: what the client gets, and how often the command ran.
func TestRESPErrorTable(t *testing.T) {
	c := startCluster(t, 2, 0)
	r := serveRESP(t, c, "")
	a, b := c.Nodes()[0], c.Nodes()[1]
	p := dialRESP(t, r.addr)
	for i, row := range []struct {
		err, want string
		ran       int
	}{
		{"TRYAGAIN Multiple keys request during rehashing of slot", "-TRYAGAIN busy", 0},
		{"CLUSTERDOWN Hash slot not served", "-TRYAGAIN busy", 0},
		{"READONLY You can't write against a read only replica.", "-TRYAGAIN busy", 0},
		{"LOADING Redis is loading the dataset in memory", "-TRYAGAIN busy", 0},
		{"MASTERDOWN Link with MASTER is down", "-TRYAGAIN busy", 0},
		{"BUSY Redis is busy running a script", "-TRYAGAIN busy", 0},
		{"MISCONF Redis is configured to save RDB snapshots", "-TRYAGAIN busy", 0},
		{"OOM command not allowed when used memory > 'maxmemory'.", "-TRYAGAIN busy", 0},
		{"NOREPLICAS Not enough good replicas to write.", "-TRYAGAIN busy", 0},
		{"NOAUTH Authentication required.", "-TRYAGAIN busy", 0},
		{"WRONGTYPE Operation against a key holding the wrong kind of value", "-WRONGTYPE Operation against a key holding the wrong kind of value", 0},
		{"ERR something else", "-ERR something else", 0},
		{"MOVED 1 " + b.Addr(), "-TRYAGAIN busy", 0},     // b knows better: it sends back, and the way ends
		{"MOVED 1 " + a.Addr(), "-TRYAGAIN busy", 0},     // to itself
		{"MOVED 1 127.0.0.1:1", "-TRYAGAIN busy", 0},     // to one that is dead and not listed
		{"MOVED x y", "-TRYAGAIN busy", 0},               // nonsense
		{"ASK 1 " + b.Addr(), "-TRYAGAIN busy", 0},       // whose import was aborted: it sends back
		{"ASK 1 127.0.0.1:1", "-TRYAGAIN busy", 0},       // dead
		{"MOVED 99999 " + b.Addr(), "-TRYAGAIN busy", 0}, // no slot
	} {
		key := keyAt(c, a, fmt.Sprintf("row%d-", i))
		a.Order(row.err)
		got := p.ask("INCR " + key)
		if got != row.want {
			t.Errorf("%s: %q, want %q", row.err, got, row.want)
		}
		if n := c.Record().Times("INCR", key); n != row.ran {
			t.Errorf("%s: ran %d times, want %d", row.err, n, row.ran)
		}
		until(t, "served again after "+row.err, func() bool { return p.ask("SET "+key+" 1") == "+OK" }) // no map stays spoilt
	}
}

// A pipeline whose third command is redirected: answers stay in order, commands on a key too.
func TestPipelineWithARedirection(t *testing.T) {
	c := startCluster(t, 2, 0)
	r := serveRESP(t, c, "")
	a, b := c.Nodes()[0], c.Nodes()[1]
	stay, moves := keyAt(c, a, "stay"), keyAt(c, a, "moves")
	slot := slots.ForKey([]byte(moves))
	c.Migrate(slot, b)
	c.Finish(slot) // the router has not heard
	p := dialRESP(t, r.addr)
	p.send("SET " + stay + " 1\r\nINCR " + stay + "\r\nSET " + moves + " x\r\nAPPEND " + moves + " y\r\nGET " + moves + "\r\nINCR " + stay + "\r\n")
	for i, want := range []string{"+OK", ":2", "+OK", ":2", "xy", ":3"} {
		if got := p.answer(); got != want {
			t.Errorf("answer %d: %q, want %q", i, got, want)
		}
	}
	if n := c.Record().Times("SET", moves); n != 1 {
		t.Errorf("ran %d times", n)
	}
}

// ASK is followed with ASKING for that one command; once the import is aborted, keys are served where they stayed.
func TestAsk(t *testing.T) {
	c := startCluster(t, 2, 0)
	r := serveRESP(t, c, "")
	a, b := c.Nodes()[0], c.Nodes()[1]
	tag := "{" + keyAt(c, a, "ask") + "}" // one slot for all that bear it
	slot := slots.ForKey([]byte(tag))
	p := dialRESP(t, r.addr)
	p.ask("SET " + tag + "old 1")
	c.Migrate(slot, b)
	for _, s := range [][2]string{{"GET " + tag + "old", "1"}, {"INCR " + tag + "new", ":1"}, {"INCR " + tag + "new", ":2"}, {"MGET " + tag + "old " + tag + "new", "-TRYAGAIN busy"}} {
		if got := p.ask(s[0]); got != s[1] {
			t.Errorf("%s: %q, want %q", s[0], got, s[1])
		}
	}
	c.Abort(slot)
	if got := p.ask("INCR " + tag + "other"); got != "-TRYAGAIN busy" { // the sender still says ASK, the receiver sends back
		t.Errorf("while the import is aborted: %q", got)
	}
	if n := c.Record().Times("INCR", tag+"other"); n != 0 {
		t.Errorf("ran %d times", n)
	}
	if got := p.ask("GET " + tag + "new"); got != "2" {
		t.Errorf("what came back: %q", got)
	}
}

// A gap in the map: commands on it are refused at once, and served when somebody owns it again.
func TestGap(t *testing.T) {
	c := startCluster(t, 2, 0)
	r := serveRESP(t, c, "")
	key := keyAt(c, c.Nodes()[0], "gap")
	slot := slots.ForKey([]byte(key))
	c.Drop(slot, slot)
	p := dialRESP(t, r.addr)
	if got := p.ask("INCR " + key); got != "-TRYAGAIN busy" {
		t.Errorf("%q", got)
	}
	if n := c.Record().Times("INCR", key); n != 0 {
		t.Errorf("ran %d times", n)
	}
}

// A client that closes within a pipeline: its requests end, and others go on.
func TestClientClosesWithinAPipeline(t *testing.T) {
	c := startCluster(t, 1, 0)
	r := serveRESP(t, c, "")
	c.Nodes()[0].Late(100 * time.Millisecond)
	for range 20 {
		p := dialRESP(t, r.addr)
		p.send(strings.Repeat("INCR left\r\n", 10) + "*2\r\n$3\r\nGET\r\n$100\r\nhal")
		p.Close()
	}
	c.Nodes()[0].Late(0)
	if got := dialRESP(t, r.addr).ask("SET after 1"); got != "+OK" {
		t.Errorf("%q", got)
	}
}

// A failover in which the old primary goes on answering: writes go to the new one as soon as a map tells.
func TestFailover(t *testing.T) {
	c := startCluster(t, 2, 1)
	r := serveRESP(t, c, "")
	old, replica := c.Nodes()[0], c.Nodes()[2]
	key := keyAt(c, old, "fail")
	p := dialRESP(t, r.addr)
	p.ask("SET " + key + " 1")
	c.Fail(replica)
	began := time.Now()
	until(t, "a write at the new primary", func() bool {
		p.ask("SET " + key + " 2")
		ran, _ := c.Record().All()
		return ran[len(ran)-1].Node == replica.Addr()
	})
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("after %v", took)
	}
	old.Kill()
	for i := range 20 {
		if got := p.ask(fmt.Sprintf("SET %s %d", key, i)); got != "+OK" {
			t.Errorf("with the old primary dead: %q", got)
		}
	}
}

// Peers: slots of another router are sent there, and a router that drains hands its own on by ASK, which that one serves.
func TestPeers(t *testing.T) {
	c := startCluster(t, 2, 0)
	lns := []net.Listener{listenLocal(t), listenLocal(t)}
	peers := fmt.Sprintf("peers = [%q, %q]\n", lns[0].Addr().String(), lns[1].Addr().String())
	var stops []context.CancelFunc
	for i, ln := range lns {
		setup := respSetup(t, c.Nodes()[0].Addr(), fmt.Sprintf("%s[tier]\nrouters = 2\nme = %d", peers, i))
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Serve(ctx, setup, ln, nil) //nolint:errcheck // the test's answers tell
		}()
		stops = append(stops, stop)
		t.Cleanup(func() { stop(); <-done })
	}
	one, two := dialRESP(t, lns[0].Addr().String()), dialRESP(t, lns[1].Addr().String())
	low, high := "", "" // keys of the first router's slots and of the second's
	for i := 0; low == "" || high == ""; i++ {
		if k := fmt.Sprint("k", i); slots.ForKey([]byte(k)) < slots.Count/2 {
			low = k
		} else {
			high = k
		}
	}
	until(t, "both are ready", func() bool { return one.ask("SET "+low+" 1") == "+OK" && two.ask("SET "+high+" 1") == "+OK" })
	moved := fmt.Sprintf("-MOVED %d %s", slots.ForKey([]byte(high)), lns[1].Addr())
	until(t, "another's slot, once that one serves", func() bool { return one.ask("GET "+high) == moved })
	stops[0]()
	want := fmt.Sprintf("-ASK %d %s", slots.ForKey([]byte(low)), lns[1].Addr())
	until(t, "the slots are handed on", func() bool {
		got := one.ask("GET " + low)
		if got != "1" && got != want {
			t.Fatalf("while it drains: %q", got)
		}
		return got == want
	})
	if two.ask("ASKING") != "+OK" || two.ask("GET "+low) != "1" {
		t.Error("the other router does not serve by leave")
	}
	until(t, "the other has heard, and serves without leave", func() bool { return two.ask("GET "+low) == "1" })
	two.send("CLUSTER SLOTS\r\n")
	if got := two.answer(); got != "*1" { // both parts are its own by now
		t.Errorf("runs of slots: %q", got)
	}
	var lines []string
	for range 11 {
		l, _ := two.r.ReadString('\n')
		lines = append(lines, strings.TrimSpace(l))
	}
	if _, port, _ := net.SplitHostPort(lns[1].Addr().String()); !slices.Contains(lines, ":"+port) {
		t.Errorf("%q, want port %s", lines, port)
	}
}
