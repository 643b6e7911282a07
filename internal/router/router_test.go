package router

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/standin"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// Where the module may cancel, it gives up a read that takes some 15 ms at first: a slow machine would change verdicts.
const testSettings = `{"balancers":1,"myNumber":0,"zone":"a","categories":[` +
	`{"name":"read","effect":"repeatable","keyScope":"all","target":500,"hardLimit":2000,"gain":1},` +
	`{"name":"put","effect":"by_key","keyScope":"all","window":2000,"target":500,"hardLimit":2000,"gain":1},` +
	`{"name":"bill","effect":"once","keyScope":"all","target":500,"hardLimit":2000,"gain":2}],` +
	`"projects":[{"name":"t","quotaPerS":1000}],"kinds":["box","origin"],"familyInfo":{"mode":"aside","originKind":1},` +
	`"discovery":"push","weights":"nominal","loadInfo":{"columns":["rps","cpu"],"how":"answers"},` +
	`"caps":{"cancel":false,"mayProbe":true,"maxAttempts":4,"connIdle":10000,"connectTimeout":250},` +
	`"rules":{"cold":8000,"coldFrom":0.3,"overloadFactor":3,"overloadFor":2000}}`

const wait = standintest.Wait

var (
	listenLocal = standintest.Listen
	startFake   = standintest.Script
	httpAnswer  = standintest.HTTP
	hit         = standintest.Hit
	miss        = standintest.Miss
	originOK    = standintest.Origin
	until       = standintest.Until
	catchLog    = standintest.CatchLog
)

type fake = standin.Script

func next[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	return standintest.Next(t, ch, what)
}

// startDirectory starts a discovery service.
func startDirectory(t testing.TB, first member.List) *standin.Directory {
	t.Helper()
	d, err := standin.StartDirectory(first)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func box(id, addr string) member.Entry {
	return member.Entry{ID: id, Addr: addr, Zone: "a", Kind: "box", State: "active", Weight: 1}
}

func originAt(addr string) member.Entry {
	e := box("s-00000063", addr)
	e.Kind = "origin"
	return e
}

func full(entries ...member.Entry) member.List {
	return member.List{Version: 1, Full: true, Servers: entries}
}

// running is a router under test.
type running struct {
	addr    string
	stop    context.CancelFunc
	done    chan error
	updates chan Setup
	setup   Setup
}

func testConfig(t testing.TB, discovery string, known member.List) *config.Config {
	t.Helper()
	return configOf(t, discovery, known, testSettings)
}

// configOf is a configuration with the given settings.
func configOf(t testing.TB, discovery string, known member.List, settings string) *config.Config {
	t.Helper()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}, "known": known, "settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func start(t testing.TB, cfg *config.Config) *running {
	t.Helper()
	return startSetup(t, Setup{Config: cfg})
}

func startSetup(t testing.TB, setup Setup) *running {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	ln := listenLocal(t)
	r := &running{addr: ln.Addr().String(), stop: stop, done: make(chan error, 1), updates: make(chan Setup), setup: setup}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.done <- Serve(ctx, setup, ln, r.updates)
	}()
	t.Cleanup(func() { stop(); <-ended })
	return r
}

// serving starts a router over a list that discovery gives, and waits until it is ready.
func serving(t testing.TB, entries ...member.Entry) (*running, *standin.Directory) {
	t.Helper()
	d := startDirectory(t, full(entries...))
	r := start(t, testConfig(t, d.Listener.Addr().String(), member.List{}))
	next(t, d.Calls, "call for the list")
	next(t, d.Calls, "watch")
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
	return r, d
}

// client is a client's connection.
type client struct {
	net.Conn
	t testing.TB
	r *bufio.Reader
}

func dial(t testing.TB, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(wait))
	return &client{c, t, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// line returns the next answer, with its value behind it, or "EOF".
func (c *client) line() string {
	c.t.Helper()
	l, err := c.r.ReadString('\n')
	if err != nil {
		if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
			c.t.Fatal("no answer")
		}
		return "EOF"
	}
	l = strings.TrimSpace(l)
	if strings.HasPrefix(l, "VA ") {
		v, _ := c.r.ReadString('\n')
		l += " " + strings.TrimSpace(v)
	}
	return l
}

func (c *client) ask(command string) string {
	c.t.Helper()
	c.send(command + "\r\n")
	return c.line()
}

func read(id string, d int) string {
	return fmt.Sprintf("mg 7f3a9c21e0b4d655 v O%s Pc=read,t=t,d=%d,h=52000,size=5", id, d)
}

func bill(id string, d int) string {
	return fmt.Sprintf("ms 7f3a9c21e0b4d655 3 O%s Pc=bill,t=t,d=%d\r\nabc", id, d)
}

// nothingMore asserts that nothing more comes on a connection within a moment.
func (c *client) nothingMore() {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if b, err := c.r.ReadByte(); err == nil {
		c.t.Errorf("a second answer, from %q on", b)
	}
}

func TestHitIsServedAndPassedOnAsItCame(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	r, _ := serving(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	c := dial(t, r.addr)
	if got := c.ask("mg 7f3a9c21e0b4d655 v Oa1 Pc=read,t=t,zz=9,d=480,k=7,h=52000"); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
	var d int
	got := next(t, s.Seen, "request")
	if n, err := fmt.Sscanf(got, "mg 7f3a9c21e0b4d655 v Oa1 Pc=read,t=t,zz=9,d=%d,k=7,h=52000", &d); n != 1 || err != nil || d < 1 || d > 480 {
		t.Errorf("the cache server got %q", got)
	}
	if len(o.Seen) > 0 {
		t.Error("a hit went to the origin too")
	}
}

func TestMissIsFetchedFromTheOrigin(t *testing.T) {
	s, o := startFake(t, miss), startFake(t, originOK)
	r, _ := serving(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	if got := dial(t, r.addr).ask(read("a1", 480)); got != "VA 5 Oa1 fresh" {
		t.Errorf("got %q", got)
	}
	got := next(t, o.Seen, "fetch")
	_, facts, _ := strings.Cut(got, "X-Facts: ")
	var d int
	n, err := fmt.Sscanf(facts, "c=read,t=t,d=%d,h=52000,size=5 ", &d)
	if !strings.HasPrefix(got, "GET /7f3a9c21e0b4d655 ") || n != 1 || err != nil || d < 1 || d > 480 {
		t.Errorf("the origin got %q", got)
	}
}

func TestWriteGoesToTheOriginOnce(t *testing.T) {
	s, o := startFake(t, miss), startFake(t, originOK)
	r, _ := serving(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	if got := dial(t, r.addr).ask(bill("a1", 480)); got != "HD Oa1 c5c0f" {
		t.Errorf("got %q", got)
	}
	if got := next(t, o.Seen, "write"); !strings.HasPrefix(got, "PUT /7f3a9c21e0b4d655 ") || !strings.HasSuffix(got, " abc") {
		t.Errorf("the origin got %q", got)
	}
	if len(s.Seen)+len(o.Seen) > 0 {
		t.Error("the write was sent twice")
	}
}

// A write that may have run is failed, never refused or sent again; one that never ran is refused.
func TestUnsafeWriteIsNeverRepeated(t *testing.T) {
	for name, c := range map[string]struct{ answer, want string }{
		"broken":      {"close", "SERVER_ERROR failed"},
		"cut":         {"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{cut}", "SERVER_ERROR failed"},
		"error":       {httpAnswer("500 Internal Server Error", ""), "SERVER_ERROR failed"},
		"bare 503":    {httpAnswer("503 Service Unavailable", ""), "SERVER_ERROR failed"},
		"unprocessed": {httpAnswer("503 Service Unavailable", "", "X-Unprocessed: 1"), "SERVER_ERROR busy"},
		"silent":      {"", "SERVER_ERROR failed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, o := startFake(t, miss), startFake(t, func(string) string { return c.answer })
			r, _ := serving(t, box("s-0000000b", s.Addr), originAt(o.Addr))
			cl, began := dial(t, r.addr), time.Now()
			if got := cl.ask(bill("a1", 300)); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if took := time.Since(began); took > 300*time.Millisecond+time.Second {
				t.Errorf("answered after %v", took)
			}
			next(t, o.Seen, "write")
			cl.nothingMore()
			if len(o.Seen)+len(s.Seen) > 0 {
				t.Error("sent again")
			}
		})
	}
}

// A cache server that says nothing: the client has one answer by its deadline, and the attempt is given up.
func TestSilentServerIsGivenUpAtTheDeadline(t *testing.T) {
	s, o := startFake(t, func(string) string { return "" }), startFake(t, originOK)
	r, _ := serving(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	c, began := dial(t, r.addr), time.Now()
	if got := c.ask(read("a1", 200)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
	if took := time.Since(began); took < 190*time.Millisecond || took > 1200*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	next(t, s.Ended, "end of the attempt's connection")
	c.nothingMore()
}

// An attempt that the module cancels ends at once, with its connection, and the client has one answer.
func TestCanceledAttemptIsGivenUp(t *testing.T) {
	s, o := startFake(t, func(string) string { return "" }), startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", s.Addr), originAt(o.Addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), member.List{})
	cfg.Checked.Config.Cancel = true
	r := start(t, cfg)
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
	began := time.Now()
	if got := c.ask(read("a1", 8000)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
	next(t, s.Ended, "end of the attempt's connection")
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("given up after %v", took)
	}
	c.nothingMore()
}

func TestClientThatLeavesEndsItsAttempt(t *testing.T) {
	s, o := startFake(t, func(string) string { return "" }), startFake(t, originOK)
	r, _ := serving(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	c := dial(t, r.addr)
	c.send(read("a1", 60000) + "\r\n")
	next(t, s.Seen, "request")
	c.Close()
	next(t, s.Ended, "end of the attempt's connection")
}

func TestAnswersComeInTheOrderOfCommands(t *testing.T) {
	first := make(chan struct{})
	s := startFake(t, func(line string) string {
		if strings.Contains(line, "Oa1 ") {
			<-first
		}
		return hit(line)
	})
	let := sync.OnceFunc(func() { close(first) })
	t.Cleanup(let)
	r, _ := serving(t, box("s-0000000b", s.Addr), originAt(startFake(t, originOK).Addr))
	c := dial(t, r.addr)
	c.send(read("a1", 5000) + "\r\n" + read("a2", 5000) + "\r\nversion\r\n")
	next(t, s.Seen, "request")
	next(t, s.Seen, "request behind it, on a connection of its own")
	let()
	for _, want := range []string{"VA 5 Oa1 hello", "VA 5 Oa2 hello", "ERROR"} {
		if got := c.line(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if s.Conns.Load() != 2 {
		t.Errorf("%d connections carried two requests at once, want 2", s.Conns.Load())
	}
}

func TestDrainingServerGetsNothingNew(t *testing.T) {
	for _, state := range []string{"leaving", "left"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			s, o := startFake(t, hit), startFake(t, originOK)
			e := box("s-0000000b", s.Addr)
			r, d := serving(t, e, originAt(o.Addr))
			c := dial(t, r.addr)
			c.ask(read("a1", 2000))
			next(t, s.Seen, "request")
			e.State = state
			began := time.Now()
			d.Change(e)
			next(t, d.Calls, "watch after the change")
			if state == "left" {
				next(t, s.Ended, "end of the kept connection")
				if took := time.Since(began); took > 5*time.Second { // else it only ran out
					t.Errorf("closed after %v", took)
				}
			}
			for i := range 5 {
				c.ask(read(fmt.Sprint("b", i), 2000))
			}
			if len(s.Seen) > 0 {
				t.Error("sent to a server that drains")
			}
		})
	}
}

// A router that starts anew while discovery is down serves from the list that it last had.
func TestRestartServesFromTheKnownList(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	ln := listenLocal(t)
	ln.Close() // refuses
	for range 2 {
		r := start(t, testConfig(t, ln.Addr().String(), full(box("s-0000000b", s.Addr), originAt(o.Addr))))
		c := dial(t, r.addr)
		for c.ask("mn") != "MN" {
		}
		if got := c.ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
			t.Errorf("got %q", got)
		}
		r.stop()
		if err := next(t, r.done, "end"); err != nil {
			t.Error(err)
		}
	}
}

func TestNotReadyWithoutAList(t *testing.T) {
	ln := listenLocal(t)
	ln.Close()
	r := start(t, testConfig(t, ln.Addr().String(), member.List{}))
	if got := dial(t, r.addr).ask("mn"); got != "SERVER_ERROR not ready" {
		t.Errorf("got %q", got)
	}
}

// At a planned restart new connections come for a while, and what was taken is answered before the end.
func TestStopAnswersWhatWasTaken(t *testing.T) {
	release := make(chan struct{})
	s := startFake(t, hit)
	o := startFake(t, func(line string) string {
		<-release
		return originOK(line)
	})
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	r, _ := serving(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	idle, busy := dial(t, r.addr), dial(t, r.addr)
	busy.send(bill("slow", 8000) + "\r\n") // a write, which the module never gives up early
	next(t, o.Seen, "write")
	r.stop()
	time.Sleep(300 * time.Millisecond) // new connections come for up to 0.4 s: time itself is what is tested
	late := dial(t, r.addr)
	if got := late.ask(read("late", 2000)); got != "VA 5 Olate hello" {
		t.Errorf("a client that came late got %q", got)
	}
	if got := idle.line(); got != "EOF" {
		t.Errorf("an idle connection got %q", got)
	}
	let()
	if got := busy.line(); got != "HD Oslow c5c0f" {
		t.Errorf("got %q", got)
	}
	if got := busy.line(); got != "EOF" {
		t.Errorf("then %q", got)
	}
	if err := next(t, r.done, "end"); err != nil {
		t.Error(err)
	}
}

func TestMalformedClientInput(t *testing.T) {
	r, _ := serving(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	for _, in := range []string{
		"\r\n", "mg\r\n", "mg k v\r\n", "mg k v Oa1 Pc=read,d=x\r\n", "mg k v Oa1 Pc=read,d=-1\r\n", "mg k v Oa1 Pc=read,d=NaN\r\n",
		"mg k v Oa1\r\n", "ms k\r\n", "ms k -3 Oa1 Pc=put,d=9\r\n", "ms k 70000 Oa1 Pc=put,d=9\r\n", "ms k 2 Oa1 Pc=put,d=9\r\nabcdef\r\n",
		"mg k v Oa1 Pc=unheard,d=9\r\n", "mg k v Oa1 Pc=read,d=0x10\r\n", "mg k v Oa1 Pc=read,d=1e3\r\n", "mg k v Oa1 Pc=read,d=+9\r\n",
		"mg k v Oa1 Pc=read,d=9,d=8\r\n", "mg k v Oa1 Ob2 Pc=read,d=9\r\n", "mg k Oa1 Pc=read,d=9\r\n", "mg k v Pc=read,d=9\r\n",
		"mg k v Oa1 Pc=read,d=9 Q\r\n", "mg k v Oa1 Pc=read,d=9\n", "mg k v Oa1 Pc=read,d=9,r=yes\r\n", "mg k v O Pc=read,d=9\r\n",
		"ms k 62914560 Oa1 Pc=put,d=9,k=1\r\n", "ms k 2 Oa1 Pc=put,d=9\r\nab\r\n", "ms k 0x2 Oa1 Pc=put,d=9,k=1\r\nab\r\n",
		"mg " + strings.Repeat("k", 300) + " v Oa1 Pc=read,d=9\r\n", "mg k\x00 v Oa1 Pc=read,d=9\r\n", strings.Repeat("x", 5000),
	} {
		c := dial(t, r.addr)
		c.send(read("ok", 2000) + "\r\n" + in)
		if got := c.line(); got != "VA 5 Ook hello" {
			t.Errorf("before %.20q: got %q", in, got)
		}
		if got := c.line(); !strings.HasPrefix(got, "CLIENT_ERROR ") {
			t.Errorf("%.20q: got %q", in, got)
		}
		if got := c.line(); got != "EOF" {
			t.Errorf("%.20q: then %q", in, got)
		}
	}
}

// More clients than there are sockets for: idle connections make room, and all are served.
func TestIdleClientsMakeRoom(t *testing.T) {
	r, _ := serving(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	for i := range 300 {
		if got := dial(t, r.addr).ask(read(fmt.Sprint(i), 5000)); got != fmt.Sprintf("VA 5 O%d hello", i) {
			t.Fatalf("client %d got %q", i, got)
		}
	}
}

func TestBadConfigurationIsNamed(t *testing.T) {
	good := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(testSettings)}
	for name, c := range map[string]struct {
		value any
		want  string
	}{
		"name": {"", "name: missing"}, "listen": {"nowhere", "listen: "}, "discovery": {7, "discovery"},
		"seed": {"xyz", "seed: "}, "limits": {map[string]any{"memory_mb": 192}, "limits.sockets: "},
		"settings": {json.RawMessage(strings.Replace(testSettings, "once", "never", 1)), "categories[bill].effect"},
		"known":    {"x", "known"},
	} {
		cfg := map[string]any{}
		for k, v := range good {
			cfg[k] = v
		}
		cfg[name] = c.value
		text, _ := json.Marshal(cfg)
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := config.Load(path, func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line with %q", name, err, c.want)
		}
	}
	if _, err := config.Load(filepath.Join(t.TempDir(), "none"), os.Getenv); err == nil || !strings.HasPrefix(err.Error(), "GW_CONFIG: ") {
		t.Errorf("no file: got %v", err)
	}
}

// The next call of a watch follows within 200 ms, also where the agent answers at once with nothing; an answer that is
// no list, a failure, and an member.Entry that makes no sense end neither the watch nor the router.
func TestDiscoveryIsFollowed(t *testing.T) {
	answers := []string{`{"version":1,"full":true,"servers":[]}`, `{"version":1,"servers":[]}`, `{"version":2,"servers":[{"id":"s-1"`, "503",
		`{"version":3,"full":true,"servers":[{"id":"s-0000000b","addr":"nowhere","state":"active"},{"id":"","state":"left"},{"id":"x","state":"asleep"}]}`,
		`{"version":3,"servers":[]}`, `{"version":4,"servers":[{"id":"s-0000000b","addr":"127.0.0.1:1","kind":"box","state":"active"}]}`}
	type call struct {
		query string
		at    time.Time
	}
	calls := make(chan call, 100)
	var answered atomic.Int64
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := int(answered.Add(1)) - 1
		calls <- call{r.URL.RawQuery, time.Now()}
		switch {
		case n >= len(answers):
			<-r.Context().Done()
		case answers[n] == "503":
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			io.WriteString(w, answers[n])
		}
	}))
	defer d.Close()
	defer d.CloseClientConnections()
	r := start(t, testConfig(t, d.Listener.Addr().String(), member.List{}))
	var before call
	for i, after := range []string{"", "after=1&", "after=1&", "", "", "after=3&", "after=3&", "after=4&"} {
		c := next(t, calls, fmt.Sprintf("call %d", i))
		if !strings.HasPrefix(c.query, after) || after == "" && c.query != "" {
			t.Errorf("call %d asks %q, want %q", i, c.query, after)
		}
		if gap := c.at.Sub(before.at); after != "" && gap > 200*time.Millisecond {
			t.Errorf("call %d came after %v", i, gap)
		}
		before = c
	}
	c := dial(t, r.addr)
	for c.ask("mn") != "MN" {
	}
}

// A server that has started anew: connections to the process before it are closed.
func TestRestartedServerGetsNewConnections(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	e := box("s-0000000b", s.Addr)
	r, d := serving(t, e, originAt(o.Addr))
	dial(t, r.addr).ask(read("a1", 2000))
	e.Started = float64(time.Now().UnixMilli())
	began := time.Now()
	d.Change(e)
	next(t, s.Ended, "end of the old connection")
	if took := time.Since(began); took > 5*time.Second { // else it only ran out
		t.Errorf("closed after %v", took)
	}
}

// A watch may go silent without an end, and what discovery tells into it is lost: it is found out soon, also the next
// time, and the news of a drain comes with the whole list.
func TestSilentWatchIsGivenUp(t *testing.T) {
	s1, s2, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	servers := full(box("s-0000000b", s1.Addr), box("s-0000000c", s2.Addr), originAt(o.Addr))
	drained := full(servers.Servers...)
	drained.Version, drained.Servers = 2, slices.Clone(drained.Servers)
	drained.Servers[0].State = "leaving"
	calls := make(chan string, 100)
	var lists atomic.Int32
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		switch {
		case r.URL.RawQuery != "":
			<-r.Context().Done() // every watch is dead
		case lists.Add(1) == 1:
			json.NewEncoder(w).Encode(servers)
		default:
			json.NewEncoder(w).Encode(drained)
		}
	}))
	defer d.Close()
	defer d.CloseClientConnections()
	r := start(t, testConfig(t, d.Listener.Addr().String(), member.List{}))
	next(t, calls, "call for the list")
	next(t, calls, "watch")
	began := time.Now()
	next(t, calls, "call for the list after the dead watch")
	next(t, calls, "watch")
	if took := time.Since(began); took > 8*time.Second { // of the 10 s within which a wait of 10 s ends
		t.Errorf("found dead after %v", took)
	}
	c := dial(t, r.addr)
	for i := range 20 {
		c.ask(fmt.Sprintf("mg %016x v O%x Pc=read,t=t,d=2000,h=52000,size=5", 7919*(i+1), i))
	}
	if len(s1.Seen) > 0 || len(s2.Seen) != 20 {
		t.Errorf("%d requests to the draining server, %d to the other", len(s1.Seen), len(s2.Seen))
	}
}
