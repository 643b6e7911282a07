package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/backend"
	servers "mossproxy.example/mossproxy/internal/backend/meta"
	"mossproxy.example/mossproxy/internal/backend/origin"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	clients "mossproxy.example/mossproxy/internal/front/meta"
	protocol "mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/sock"

	"mossproxy.example/mossproxy/internal/member"
)

// parts is a router whose engine the test can look at.
func parts(t *testing.T, memoryMB int64, places int, entries ...member.Entry) (*engine.Engine, string) {
	t.Helper()
	return partsOn(t, listenLocal(t), memoryMB, places, entries...)
}

// partsOn is such a router with a listener of the test's.
func partsOn(t *testing.T, ln net.Listener, memoryMB int64, places int, entries ...member.Entry) (*engine.Engine, string) {
	t.Helper()
	e, _ := startParts(t, ln, clients.Protocol{}, memoryMB, places, entries...)
	return e, ln.Addr().String()
}

// startFront starts a router whose front the test can reach, for clients that speak a protocol.
func startFront(t *testing.T, proto front.Protocol, places int, entries ...member.Entry) (m *front.ConnManager, addr string) {
	t.Helper()
	ln := listenLocal(t)
	_, m = startParts(t, ln, proto, 192, places, entries...)
	return m, ln.Addr().String()
}

// startParts starts an engine and a front, with no more of a router around them.
func startParts(t *testing.T, ln net.Listener, proto front.Protocol, memoryMB int64, places int, entries ...member.Entry) (*engine.Engine, *front.ConnManager) {
	t.Helper()
	cfg := testConfig(t, "127.0.0.1:1", member.List{})
	cfg.Limits.MemoryMB = memoryMB
	e, err := newEngine(Setup{Config: cfg}, &links{backend.NewPool(10*time.Second, time.Second, 100), servers.Protocol{}, "origin", origin.Protocol{}}, Setup{Config: cfg}.alone())
	if err != nil {
		t.Fatal(err)
	}
	s := front.New(e, proto, ln, places, nil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(t.Context())
	}()
	s.Start()
	t.Cleanup(func() {
		ln.Close()
		now, stop := context.WithCancel(context.Background())
		stop()
		s.Drain(now)
		<-ended
	})
	e.Post(func() { (&router{Engine: e}).list(0, full(entries...)) })
	return e, s
}

// look runs do on the engine's goroutine, once what was posted before has been carried out.
func look(e *engine.Engine, do func()) {
	done := make(chan struct{})
	e.Post(func() { do(); close(done) })
	<-done
}

// What is kept for a request ends with it, also on a connection that stays, and for deadlines far away.
func TestNothingIsKeptOfAnsweredRequests(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	l, addr := parts(t, 192, 10, box("s-0000000b", s.Addr), originAt(o.Addr))
	c := dial(t, addr)
	for i := range 50 {
		if got := c.ask(read(fmt.Sprint("a", i), 4000000000)); !strings.HasPrefix(got, "VA ") {
			t.Fatalf("got %q", got)
		}
		c.ask(fmt.Sprintf("ms 7f3a9c21e0b4d655 3 Ow%d Pc=put,t=t,d=4000000000,k=7\r\nabc", i))
	}
	if got := c.ask("quit"); got != "EOF" { // comes once the router has booked all that it has written
		t.Errorf("got %q", got)
	}
	look(l, func() {
		if n := l.Size(); n.Requests+n.Open > 0 || n.FarTimers > 0 || n.Timers > 150 || l.HeldBytes.Used() != 0 || l.QueuedBytes.Used() != 0 {
			t.Errorf("%+v, %d and %d bytes", n, l.HeldBytes.Used(), l.QueuedBytes.Used())
		}
	})
}

// A client may not name the id of a request that is open.
func TestIDOfAnOpenRequest(t *testing.T) {
	release := make(chan struct{})
	s := startFake(t, func(line string) string { <-release; return hit(line) })
	l, addr := parts(t, 192, 10, box("s-0000000b", s.Addr), originAt(s.Addr))
	one, two := dial(t, addr), dial(t, addr)
	one.send(read("a1", 2000) + "\r\n")
	next(t, s.Seen, "request")
	if got := two.ask(read("a1", 2000)); !strings.HasPrefix(got, "CLIENT_ERROR ") {
		t.Errorf("got %q", got)
	}
	close(release)
	if got := one.line(); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
	if got := two.ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("once it is answered: got %q", got)
	}
	look(l, func() {
		if len(s.Seen) != 1 {
			t.Errorf("%d more requests were passed on", len(s.Seen))
		}
	})
}

// Connections that ask nothing end in time; half a command does not help. One with a request open stays.
func TestSilentClientsAreClosed(t *testing.T) {
	release := make(chan struct{})
	o := startFake(t, func(line string) string { <-release; return originOK(line) })
	r, _ := serving(t, box("s-0000000b", startFake(t, miss).Addr), originAt(o.Addr))
	began := time.Now()
	busy := dial(t, r.addr)
	busy.send(bill("slow", 8000) + "\r\n")
	next(t, o.Seen, "write")
	close(release)
	for name, text := range map[string]string{"silent": "", "half a command": "mg 7f3a", "half a value": "ms k 60000 Oa1 Pc=put,d=900,k=1\r\nabc"} {
		c := dial(t, r.addr)
		c.send(text)
		if got := c.line(); got != "EOF" {
			t.Errorf("%s: got %q", name, got)
		}
		if took := time.Since(began); took > 3*2600*time.Millisecond+time.Second {
			t.Errorf("%s: closed after %v", name, took)
		}
	}
	if got := busy.line(); got != "HD Oslow c5c0f" {
		t.Errorf("got %q", got)
	}
}

// Silent clients by the hundred take all places: the usual ones get theirs, and none with a request open is closed.
func TestPlacesAreTakenFromTheIdle(t *testing.T) {
	release := make(chan struct{})
	s := startFake(t, func(line string) string {
		if strings.Contains(line, "Oslow ") {
			<-release
		}
		return hit(line)
	})
	_, addr := parts(t, 192, 8, box("s-0000000b", s.Addr), originAt(s.Addr))
	busy := dial(t, addr)
	busy.send(read("slow", 2000) + "\r\n")
	next(t, s.Seen, "request")
	for i := range 40 {
		dial(t, addr).send("mg half")
		if i%10 == 0 {
			if got := dial(t, addr).ask(read(fmt.Sprint(i), 2000)); !strings.HasPrefix(got, "VA ") {
				t.Errorf("a client among silent ones got %q", got)
			}
		}
	}
	close(release)
	if got := busy.line(); got != "VA 5 Oslow hello" {
		t.Errorf("the client with a request open got %q", got)
	}
}

// The answers before an error reach the client, however much it goes on sending: the connection isn't reset at once.
func TestAnswersSurviveRejectedInput(t *testing.T) {
	r, _ := serving(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	for range 20 {
		c := dial(t, r.addr)
		go io.WriteString(c, read("a1", 2000)+"\r\nms k 62914560 Oa2 Pc=put,d=900,k=1\r\n"+strings.Repeat("x", 100<<10))
		time.Sleep(20 * time.Millisecond) // so that an early reset would be there before the answers are read
		if got := c.line(); got != "VA 5 Oa1 hello" {
			t.Fatalf("got %q", got)
		}
		if got := c.line(); !strings.HasPrefix(got, "CLIENT_ERROR ") {
			t.Fatalf("got %q", got)
		}
		if got := c.line(); got != "EOF" {
			t.Fatalf("got %q", got)
		}
	}
}

// A client that sends for ever is read for a bounded time and number of bytes.
func TestEndlessInputIsCutOff(t *testing.T) {
	r, _ := serving(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	c := dial(t, r.addr)
	c.send("ms k 62914560 Oa2 Pc=put,d=900,k=1\r\n")
	chunk, sent := make([]byte, 64<<10), 0
	for sent < 60<<20 {
		n, err := c.Write(chunk)
		if sent += n; err != nil {
			break
		}
	}
	if sent >= 60<<20 {
		t.Error("all of a value of 60 MB was taken")
	}
	if got := dial(t, r.addr).ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
}

// Unknown commands are told so a few times, and then end the connection.
func TestUnknownCommandsAreBounded(t *testing.T) {
	r, _ := serving(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	c := dial(t, r.addr)
	c.send(strings.Repeat("version\r\n", 10*4))
	for range 4 {
		if got := c.line(); got != "ERROR" {
			t.Errorf("got %q", got)
		}
	}
	if got := c.line(); got != "EOF" {
		t.Errorf("then %q", got)
	}
}

// Values in hand are bounded by the memory that the configuration tells: a write beyond that is refused, and has not
// run.
func TestHeldValuesAreBounded(t *testing.T) {
	release := make(chan struct{})
	o := startFake(t, func(line string) string { <-release; return originOK(line) })
	l, addr := parts(t, 16, 100, originAt(o.Addr)) // a budget of 1 MiB
	value := strings.Repeat("v", protocol.MaxValue)
	write := func(c *client, id int) {
		c.send(fmt.Sprintf("ms 7f3a9c21e0b4d655 %d Ow%d Pc=put,t=t,d=2000,k=%d\r\n%s\r\n", protocol.MaxValue, id, id, value))
	}
	var first []*client
	for i := range 16 {
		c := dial(t, addr)
		write(c, i)
		first = append(first, c)
	}
	for full := false; !full; {
		look(l, func() { full = l.HeldBytes.Full() })
	}
	c := dial(t, addr)
	write(c, 99)
	if got := c.line(); got != "SERVER_ERROR busy" {
		t.Errorf("beyond the bound: got %q", got)
	}
	close(release)
	for _, c := range first {
		c.line()
	}
	write(c, 100)
	if got := c.line(); got != "HD Ow100 c5c0f" {
		t.Errorf("once there is room: got %q", got)
	}
}

// Answers that a client does not take are bounded too: what comes beyond is refused before it is asked for.
func TestUntakenAnswersAreBounded(t *testing.T) {
	l, addr := parts(t, 16, 10, originAt("127.0.0.1:1"))
	l.QueuedBytes.Reserve(int(l.QueuedBytes.Limit()))
	c := dial(t, addr)
	if got := c.ask(read("a1", 2000)); got != "SERVER_ERROR busy" {
		t.Errorf("got %q", got)
	}
	look(l, func() {
		if l.Size().Accepted != 0 {
			t.Error("the request reached the module")
		}
	})
}

// A command that comes just as the connection's time is up shows, though a read says only that the time is up.
func TestInputIsSeenWhenTheTimeIsUp(t *testing.T) {
	ln := listenLocal(t)
	c := dial(t, ln.Addr().String())
	s, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.SetReadDeadline(time.Unix(1, 0))
	if sock.HasInput(s) {
		t.Error("input before any was sent")
	}
	c.send("mn\r\n")
	for end := time.Now().Add(wait); !sock.HasInput(s); {
		if time.Now().After(end) {
			t.Fatal("the input does not show")
		}
	}
	if _, err := s.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read: %v", err)
	}
}

// Clients that ask once and keep their connections don't hold more than half of the places, long before time ends them:
// the one that has been idle for longest goes when another has asked.
func TestClientsThatAskOnceGiveWay(t *testing.T) {
	s := startFake(t, hit)
	_, addr := parts(t, 192, 8, box("s-0000000b", s.Addr), originAt(s.Addr))
	began := time.Now()
	var kept []*client
	for i := range 5 {
		c := dial(t, addr)
		c.ask(read(fmt.Sprint("a", i), 2000))
		kept = append(kept, c)
		time.Sleep(120 * time.Millisecond) // time itself is what counts
	}
	if got := kept[0].line(); got != "EOF" {
		t.Errorf("got %q", got)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("only after %v, by time", took)
	}
	if got := kept[4].ask(read("b", 2000)); got != "VA 5 Ob hello" {
		t.Errorf("the last one got %q", got)
	}
}
