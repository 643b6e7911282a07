package resp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// startAnsweringNode is a cluster of one node that gives every INCR the same answer and counts them; "" ends the connection.
func startAnsweringNode(t *testing.T, answer string) (addr string, incrs *atomic.Int64) {
	t.Helper()
	ln := standintest.Listen(t)
	addr, incrs = ln.Addr().String(), new(atomic.Int64)
	p := New(Config{ReadClass: "r", WriteClass: "w"}, addr)
	var wg sync.WaitGroup
	t.Cleanup(func() { ln.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				serveAnswers(c, p, answer, incrs)
			})
		}
	})
	return addr, incrs
}

func serveAnswers(c net.Conn, p *Protocol, answer string, incrs *atomic.Int64) {
	s := p.Session(front.Peer{}).(*session)
	r := resp.NewReader(bufio.NewReaderSize(c, resp.MaxLine))
	for r.ReadCommand(&s.cmd) == nil {
		name := strings.ToUpper(string(s.cmd.Args[0]))
		var out []byte
		switch f := commandSpecs[name]; {
		case name == "INCR":
			incrs.Add(1)
			if answer == "" {
				return
			}
			out = []byte(answer + "\r\n")
		case f != nil && f.handler != nil:
			out = f.handler(s, s.cmd.Args)
		default:
			out = resp.AppendError(nil, "ERR unknown")
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// TestWhatClientsResend asks a real client library what it sends again by itself after each answer: the table in
// docs/design/resp.md, on which rests what a refusal and a failure look like.
func TestWhatClientsResend(t *testing.T) {
	for _, row := range []struct {
		answer  string
		resends bool
	}{
		{strings.TrimSpace(string(refusedReply(0))), true},
		{strings.TrimSpace(string(refusedReply(20))), true},
		{strings.TrimSpace(string(failedReply())), false},
		{"-LOADING x", true}, {"-CLUSTERDOWN x", true}, {"-READONLY x", true}, {"-MASTERDOWN x", true},
		{"-BUSY x", false}, {"-WRONGTYPE x", false}, {":1", false},
		{"", true}, // a connection that ends: never done while a command is open
	} {
		t.Run(strconv.Quote(row.answer), func(t *testing.T) {
			t.Parallel()
			addr, incrs := startAnsweringNode(t, row.answer)
			c := redis.NewClusterClient(&redis.ClusterOptions{Addrs: []string{addr}, MaxRedirects: 2, MinRetryBackoff: time.Millisecond, MaxRetryBackoff: 2 * time.Millisecond})
			defer c.Close()
			ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
			defer stop()
			c.Incr(ctx, "k")
			if n := incrs.Load(); n == 0 || (n > 1) != row.resends {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// noEndpoints is a backend without a way to any server.
type noEndpoints struct{}

func (noEndpoints) Endpoint(engine.Server) engine.Endpoint { return nil }

// newEngine is an engine that holds a list and whose requests nobody serves.
func newEngine(t testing.TB) *engine.Engine {
	t.Helper()
	e, err := engine.New(engine.Options{MaxHeldBytes: 1 << 20, MaxQueuedBytes: 1 << 20, Config: decide.Config{Routers: 1, Alone: true, MaxAttempts: 4, ColdFrom: 1,
		FallMult: 3, FallFor: 1000, Classes: []decide.Class{{Name: "r", Aim: 100, Deadline: 500}, {Name: "w", Effect: decide.Once, Aim: 100, Deadline: 700}}}}, noEndpoints{})
	if err != nil {
		t.Fatal(err)
	}
	e.UpdateServers(decide.Full, []engine.Server{{Entry: decide.Entry{ID: 7, Size: 1}, Addr: "127.0.0.1:1"}})
	return e
}

var alwaysOpen = func() bool { return true }

func testOwners(int, bool) []uint32 { return []uint32{7} }

// readCommand reads one command of a session.
func readCommand(t testing.TB, s *session, e *engine.Engine, words ...string) (text string, q *engine.Request) {
	t.Helper()
	var args [][]byte
	for _, w := range words {
		args = append(args, []byte(w))
	}
	cmd, err := s.Read(bufio.NewReaderSize(bytes.NewReader(resp.AppendCommand(nil, args...)), resp.MaxLine), e, alwaysOpen)
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(string(cmd.Text)), cmd.Request
}

func TestClasses(t *testing.T) {
	e := newEngine(t)
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, DefaultTenant: "t", Rules: []Rule{{Commands: []string{"SET", "MSET"}, Prefix: "st:", Class: "r"}}}, "127.0.0.1:1")
	s := p.Session(front.Peer{}).(*session)
	for _, c := range []struct {
		words, class string
		deadline     float64
	}{
		{"GET a", "r", 500}, {"INCR a", "w", 700}, {"SET a 1", "w", 700}, {"SET st:a 1", "r", 500}, {"YOKE class=w GET a", "w", 700},
		{"YOKE d=50 GET a", "r", 50}, {"YOKE d=5000 GET a", "r", 500}, {"SET st:a 1 EX 10", "r", 500},
	} {
		_, q := readCommand(t, s, e, strings.Fields(c.words)...)
		if q == nil || q.Class != c.class || q.Wait != c.deadline || q.Tenant != "t" || len(q.Owners) != 1 {
			t.Errorf("%s: %+v", c.words, q)
		}
		e.HeldBytes.Release(q.HeldBytes)
	}
	for _, words := range []string{"SET st:a 1 NX", "SET st:a 1 GET", "YOKE class=r APPEND a b"} {
		if text, q := readCommand(t, s, e, strings.Fields(words)...); q != nil || !strings.Contains(text, "must not") {
			t.Errorf("%s: %q", words, text)
		}
	}
	if e.HeldBytes.Used() != 0 {
		t.Errorf("%d bytes are held", e.HeldBytes.Used())
	}
}

// The words of a request are its own: the next command uses the reader's memory again.
func TestWordsAreKept(t *testing.T) {
	e := newEngine(t)
	s := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners}, "127.0.0.1:1").Session(front.Peer{}).(*session)
	_, q := readCommand(t, s, e, "SET", "key-one", "value-one")
	readCommand(t, s, e, "SET", "key-two", "value-two")
	if got := fmt.Sprintf("%s", q.Args); got != "[SET key-one value-one]" {
		t.Error(got)
	}
}

// Beyond the memory that is there, commands are refused.
func TestNoRoom(t *testing.T) {
	e := newEngine(t)
	s := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners}, "127.0.0.1:1").Session(front.Peer{}).(*session)
	value := strings.Repeat("v", resp.MaxBulk)
	taken := 0
	for {
		text, q := readCommand(t, s, e, "SET", "k", value)
		if q == nil {
			if text != "-TRYAGAIN busy" || taken < 10 {
				t.Errorf("%q after %d", text, taken)
			}
			return
		}
		taken++
	}
}

// Whatever a client sends, a session answers, takes, or ends with an error; it holds no more than what it took.
func FuzzSession(f *testing.F) {
	f.Add([]byte("*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$1\r\nv\r\nYOKE class=r,d=5 GET k\r\nCOMMAND INFO get x\r\n"))
	f.Add([]byte("HELLO 3 AUTH a b SETNAME x\r\nCLIENT SETNAME \"a b\"\r\nCLUSTER SLOTS\r\nCOMMAND GETKEYS mset a b\r\nMSET a\r\n"))
	e := newEngine(f)
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, Logins: []Login{{User: "a"}}}, "127.0.0.1:1")
	f.Fuzz(func(t *testing.T, in []byte) {
		s := p.Session(front.Peer{}).(*session)
		s.loggedIn = true
		r := bufio.NewReaderSize(bytes.NewReader(in), resp.MaxLine)
		for range 1000 {
			cmd, err := s.Read(r, e, alwaysOpen)
			if err != nil {
				return
			}
			if cmd.Request != nil {
				e.HeldBytes.Release(cmd.Request.HeldBytes)
				continue
			}
			if len(cmd.Text) > 0 {
				if _, err := resp.NewReader(bufio.NewReaderSize(bytes.NewReader(cmd.Text), resp.MaxLine)).ReadReply(); err != nil {
					t.Fatalf("answer %q: %v", cmd.Text, err)
				}
			}
		}
	})
}
