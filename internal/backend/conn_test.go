package backend

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
)

// fakeServer is the server's side of a connection that a test drives byte by byte.
type fakeServer struct {
	*net.TCPConn
	t *testing.T
}

// newFakeServer is a target whose server is the test itself, and its next connections.
func newFakeServer(t *testing.T, isOrigin bool) (u *Pool, at *target, accept func() fakeServer) {
	t.Helper()
	ln := listenLocal(t)
	u = testPool(t, 10*time.Second, 10)
	return u, u.add(ln.Addr().String(), protocolFor(isOrigin)), func() fakeServer {
		t.Helper()
		ln.(*net.TCPListener).SetDeadline(time.Now().Add(wait))
		c, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(wait))
		return fakeServer{c.(*net.TCPConn), t}
	}
}

// readCommand reads up to the end of a command's line.
func (p fakeServer) readCommand() string {
	p.t.Helper()
	var line []byte
	for b := make([]byte, 1); !bytes.HasSuffix(line, []byte("\r\n")); {
		if _, err := p.Read(b); err != nil {
			p.t.Fatalf("after %q: %v", line, err)
		}
		line = append(line, b[0])
	}
	return string(line)
}

// send writes to the router.
func (p fakeServer) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatal(err)
	}
}

// startAttempt begins an attempt, which must not be over at once.
func startAttempt(t *testing.T, at *target, stop *engine.Canceler, r *engine.Request) <-chan engine.Reply {
	t.Helper()
	a := attemptHandler{probeHandler{make(chan engine.Reply, 1)}, always}
	if got, known := at.Attempt(stop, r, a); known {
		t.Fatalf("over at once: %v", got.Status)
	}
	return a.result
}

const value = "VA 5 Oa1 h1\r\nhello\r\n"

// keepConn has one kept connection there.
func keepConn(t *testing.T, at *target, accept func() fakeServer) fakeServer {
	t.Helper()
	came := startAttempt(t, at, &engine.Canceler{}, getCommand())
	p := accept()
	p.readCommand()
	p.send(value)
	if got := next(t, came, "answer"); got.Status != decide.OK {
		t.Fatalf("got %v", got.Status)
	}
	return p
}

// waitUntil waits for something that a socket brings about.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(wait); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// The end of a kept connection shows at once, with nobody looking.
func TestEndOfAKeptConnectionIsSeenAtOnce(t *testing.T) {
	u, at, accept := newFakeServer(t, false)
	p := keepConn(t, at, accept)
	p.Close()
	waitUntil(t, "a connection that has ended is counted", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.open == 0 && len(at.idle) == 0
	})
}

// What comes while nothing is asked is nobody's answer, even if it reads like that of the next request.
func TestAnswerAheadOfItsRequestIsNobodys(t *testing.T) {
	for range 50 { // the next request is begun before, while and after the reader sees it
		_, at, accept := newFakeServer(t, false)
		p := keepConn(t, at, accept)
		p.send("VA 5 Oa1 h1\r\nstale\r\n") // over loopback it is there once this returns
		came := startAttempt(t, at, &engine.Canceler{}, getCommand())
		other := accept() // the old one is of no use
		other.readCommand()
		other.send(value)
		if got := next(t, came, "answer"); string(got.Body) != "hello" {
			t.Fatalf("got %v, %q", got.Status, got.Body)
		}
	}
}

// largePut is a write that no socket takes at once from a server that reads nothing.
func largePut() *engine.Request {
	r := putCommand()
	r.Value = bytes.Repeat([]byte("x"), 16<<20)
	return r
}

// A command that does not fit into the socket is finished without holding up who began it, and its answer counts once all of it
// is written.
func TestLongCommandIsFinishedBehind(t *testing.T) {
	_, at, accept := newFakeServer(t, false)
	p := keepConn(t, at, accept)
	came := startAttempt(t, at, &engine.Canceler{}, largePut()) // returns though nothing is read
	p.readCommand()
	if n, err := io.CopyN(io.Discard, p, 16<<20+2); err != nil {
		t.Fatalf("after %d bytes: %v", n, err)
	}
	p.send("HD Oa1 c77\r\n")
	if got := next(t, came, "receipt"); got.Status != decide.OK || string(got.Body) != "77" {
		t.Errorf("got %v, %q", got.Status, got.Body)
	}
}

// A server that answers before it has all of a command, and reads no further, has not got it: nothing has run.
func TestAnswerToHalfACommandIsNone(t *testing.T) {
	u, at, accept := newFakeServer(t, false)
	p := keepConn(t, at, accept)
	came := startAttempt(t, at, &engine.Canceler{}, largePut())
	p.readCommand()
	p.send("HD Oa1 c77\r\n")
	p.SetLinger(0)
	p.Close() // with input unread
	if got := next(t, came, "end"); got.Status != decide.ConnectError {
		t.Errorf("got %v: the last byte was never out", got.Status)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.open != 0 {
		t.Errorf("%d connections are still counted", u.open)
	}
}

// writeByHandler is who an attempt is made for whose last byte has to be out within a time.
type writeByHandler struct {
	probeHandler
	within time.Duration
}

func (h writeByHandler) Begin() (engine.Try, bool) {
	return engine.Try{DeadlineMS: 400, WriteBy: time.Now().Add(h.within)}, true
}

// Guards against a server that is passed more time than is left, as a long value went out long after the deadline ahead of it.
func TestCommandWhoseLastByteComesTooLateNeverRan(t *testing.T) {
	_, at, accept := newFakeServer(t, false)
	p := keepConn(t, at, accept)
	h := writeByHandler{probeHandler{make(chan engine.Reply, 1)}, 100 * time.Millisecond}
	if got, known := at.Attempt(&engine.Canceler{}, largePut(), h); known {
		t.Fatalf("over at once: %v", got.Status)
	}
	p.readCommand() // and reads no further
	if got := next(t, h.result, "end"); got.Status != decide.ConnectError {
		t.Errorf("got %v", got.Status)
	}
}

// Giving up an attempt whose command is not all out ends it.
func TestGivingUpALongCommand(t *testing.T) {
	_, at, accept := newFakeServer(t, false)
	p := keepConn(t, at, accept)
	var stop engine.Canceler
	came := startAttempt(t, at, &stop, largePut())
	p.readCommand()
	stop.Cancel()
	if got := next(t, came, "end"); got.Status != decide.ConnectError {
		t.Errorf("got %v", got.Status)
	}
	if _, err := io.Copy(io.Discard, p); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Errorf("the server's side: %v", err)
	}
}

// An attempt that was given up must not close the connection of the one that has it now.
func TestLateStopClosesNobodyElses(t *testing.T) {
	_, at, accept := newFakeServer(t, false)
	p := keepConn(t, at, accept)
	var first engine.Canceler
	came := startAttempt(t, at, &first, getCommand())
	p.readCommand()
	p.send(value)
	next(t, came, "first answer")
	came = startAttempt(t, at, &engine.Canceler{}, getCommand())
	first.Cancel()
	p.readCommand()
	p.send(value)
	if got := next(t, came, "second answer"); got.Status != decide.OK {
		t.Errorf("got %v", got.Status)
	}
}

// Attempts, ends of connections and attempts that are given up at once and together: each is told its end once, none gets
// another's value, and every connection is booked.
func TestAttemptsOverConnectionsThatEnd(t *testing.T) {
	u := testPool(t, 10*time.Second, 8)
	const own = "VA 3 O{id} h1\r\n{id}\r\n"
	f := startFake(t, func(line string) string {
		switch line = strings.TrimSpace(line); {
		case strings.HasSuffix(line, "1"):
			return own + "{cut}"
		case strings.HasSuffix(line, "2"):
			return "close"
		case strings.HasSuffix(line, "3"):
			return own + own
		}
		return own
	})
	at := u.add(f.Addr, protocolFor(false))
	const each, askers = 200, 6
	ended := make(chan int, askers)
	for a := range askers {
		go func() {
			n := 0
			for i := range each {
				r := getCommand()
				r.ID = strings.Repeat("abcdefgh"[a:a+1], 3)
				r.Facts += ",x=" + string(rune('0'+i%10))
				var stop engine.Canceler
				if i%7 == 0 {
					go stop.Cancel()
				}
				got := attempt(at, &stop, r, always)
				if n++; got.Status == decide.OK && string(got.Body) != r.ID {
					t.Errorf("got %q", got.Body)
				}
			}
			ended <- n
		}()
	}
	for range askers {
		if n := next(t, ended, "asker"); n != each {
			t.Errorf("%d ends", n)
		}
	}
	waitUntil(t, "connections are booked that are neither kept nor at work", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.open == len(at.idle) && at.open == u.open
	})
}
