package router

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/front"
	clients "mossproxy.example/mossproxy/internal/front/meta"
	"mossproxy.example/mossproxy/internal/identity/identitytest"
	"mossproxy.example/mossproxy/internal/member"
)

// Clients whose link takes about 1 MB a second, and who always have requests open.
const (
	linkBuffer   = 64 << 10 // receive buffer of a client
	linkPiece    = 4 << 10  // bytes that its link brings at a time,
	linkPause    = 4 * time.Millisecond
	linkDepth    = 8     // requests that it has open
	linkValue    = 60000 // bytes of an answer's value
	linkClients  = 3
	linkDeadline = 2000 // ms
)

// slowLink hands out what comes at the pace of a link.
type slowLink struct {
	net.Conn
	pause time.Duration
}

func (l slowLink) Read(b []byte) (int, error) {
	time.Sleep(l.pause)
	return l.Conn.Read(b[:min(len(b), linkPiece)])
}

// dialect is how a client asks and reads an answer.
type dialect struct {
	ask  func(id string) string
	read func(r *bufio.Reader) (answer string, err error) // answer: whole, begun, or "" where nothing of it has come
}

// metaDialect asks by the id of the request.
var metaDialect = dialect{func(id string) string { return read(id, linkDeadline) + "\r\n" }, readSized("VA %d ")}

// respDialect asks for one key.
func respDialect(key string) dialect {
	return dialect{func(string) string { return "GET " + key + "\r\n" }, readSized("$%d")}
}

// readSized returns a function that reads a line and the value behind it, whose length the line has in a format. It
// returns other lines as they are.
func readSized(format string) func(r *bufio.Reader) (string, error) {
	return func(r *bufio.Reader) (string, error) {
		line, err := r.ReadString('\n')
		length := 0
		if _, scan := fmt.Sscanf(line, format, &length); err != nil || scan != nil {
			return strings.TrimSpace(line), err
		}
		_, err = io.CopyN(io.Discard, r, int64(length+len("\r\n")))
		return wholeValue, err
	}
}

// wholeValue is what a dialect returns for an answer with a value.
const wholeValue = "value"

// linkedClient keeps linkDepth requests open on one connection until the router closes it, and reads slowly.
type linkedClient struct {
	name     string
	speaks   dialect
	conn     net.Conn
	requests []*busyRequest
	err      error // that ended the connection
	endedAt  time.Time
}

// send sends the next request.
func (l *linkedClient) send() {
	r := &busyRequest{id: fmt.Sprintf("%s-%d", l.name, len(l.requests)), sent: time.Now()}
	l.requests = append(l.requests, r)
	io.WriteString(l.conn, l.speaks.ask(r.id)) //nolint:errcheck // its reader sees it
}

// run sends and reads until the connection ends.
func (l *linkedClient) run(pause time.Duration) {
	in := bufio.NewReaderSize(slowLink{l.conn, pause}, linkPiece)
	for range linkDepth {
		l.send()
	}
	for next := 0; l.err == nil; next++ {
		l.readOne(in, l.requests[next])
	}
}

// readOne reads the answer to a request, and sends the next one if it is whole.
func (l *linkedClient) readOne(in *bufio.Reader, r *busyRequest) {
	r.answer, l.err = l.speaks.read(in)
	if l.err != nil {
		l.endedAt = time.Now()
		return
	}
	r.answered = time.Now()
	l.send()
}

// startLinkedClients starts clients over connections that dial opens, and waits until they are served.
func startLinkedClients(t *testing.T, speaks dialect, pause time.Duration, dial func() net.Conn) (clients []*linkedClient, wait func()) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range linkClients {
		l := &linkedClient{name: fmt.Sprintf("c%d", i), speaks: speaks, conn: dial()}
		l.conn.SetDeadline(time.Now().Add(30 * time.Second)) //nolint:errcheck // the test takes longer without
		clients = append(clients, l)
		wg.Go(func() { l.run(pause) })
		t.Cleanup(func() { l.conn.Close() })
	}
	time.Sleep(time.Second) // the links are busy: time itself is what is tested
	return clients, wg.Wait
}

// seenRequests are the ids of the requests that came to a server.
type seenRequests struct{ sync.Map }

// answering notes requests and answers each.
func (s *seenRequests) answering(answer func(line string) string) func(line string) string {
	return func(line string) string {
		s.Store(idOf(line), true)
		return answer(line)
	}
}

// checkDelivered fails the test if a request that came to a server has no whole answer, or if one was left
// unanswered that did not merely cross the close.
func (l *linkedClient) checkDelivered(t *testing.T, seen *seenRequests) {
	t.Helper()
	served, crossed, longest := 0, 0, time.Duration(0)
	for _, r := range l.requests {
		if !r.answered.IsZero() {
			served++
			continue
		}
		crossed, longest = crossed+1, max(longest, l.endedAt.Sub(r.sent))
		if r.answer != "" {
			t.Errorf("%s: the answer came in part (%v)", r.id, l.err)
		} else if _, came := seen.Load(r.id); came {
			t.Errorf("%s: came to a server, and has no answer (%v)", r.id, l.err)
		}
	}
	if longest > mayCross {
		t.Errorf("%s: %d requests have no answer, though the connection stayed open for up to %v behind them", l.name, crossed, longest)
	}
	t.Logf("%s: %d of %d answered; %d crossed the close, at most %v ahead; ended by %v", l.name, served, len(l.requests), crossed, longest, l.err)
	if served < 2*linkDepth {
		t.Errorf("%s: only %d answered, which tests nothing", l.name, served)
	}
}

// dialLink opens a connection whose receive buffer is that of a slow link.
func dialLink(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.(*net.TCPConn).SetReadBuffer(linkBuffer) //nolint:errcheck // the router's buffers take more without
	return c
}

// endings are the ways in which a router comes to close the connections of its clients.
var endings = map[string]struct {
	begin func(t *testing.T, r *running, c *Control)
	limit time.Duration // for the last connection to end; 0 = as long as its answers take
}{
	"SIGTERM":                  {func(_ *testing.T, r *running, _ *Control) { r.stop() }, longestDeadline + killAfter},
	"SIGTERM with a successor": {func(_ *testing.T, r *running, c *Control) { c.Followed(); r.stop() }, longestDeadline + killAfter},
	"out of service": {func(t *testing.T, _ *running, c *Control) {
		if err := c.OutOfService(t.Context()); err != nil {
			t.Error(err)
		}
	}, 0},
}

// Guards against answers that are thrown away on their way as a router ends connections: it has written them, and its
// system still holds them for a client that takes them slowly.
func TestAnswersOnTheirWayOutlastTheEndOfAConnection(t *testing.T) {
	answers := map[string]struct {
		answer func(line string) string
		pause  time.Duration
	}{
		"long answers":                   {longAnswer(linkValue), linkPause},
		"long answers, a narrow link":    {longAnswer(linkValue), 3 * linkPause},
		"short answers, read far behind": {hit, 60 * time.Millisecond},
	}
	for ending, e := range endings {
		for kind, a := range answers {
			t.Run(ending+", "+kind, func(t *testing.T) {
				t.Parallel()
				var seen seenRequests
				r, control := operated(t, box("s-0000000b", startFake(t, seen.answering(a.answer)).Addr))
				clients, wait := startLinkedClients(t, metaDialect, a.pause, func() net.Conn { return dialLink(t, r.addr) })
				began := time.Now()
				e.begin(t, r, control)
				wait()
				for _, l := range clients {
					l.checkDelivered(t, &seen)
					if took := l.endedAt.Sub(began); e.limit > 0 && took > e.limit+socketSlack {
						t.Errorf("%s: ended after %v", l.name, took)
					}
				}
			})
		}
	}
}

// Guards against the same with TLS.
func TestAnswersOnTheirWayOutlastTheEndOfATLSConnection(t *testing.T) {
	ca := identitytest.NewCA(t, "ca")
	certificate, key := ca.Issue(t, time.Hour, "127.0.0.1")
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		t.Fatal(err)
	}
	var seen seenRequests
	d := startDirectory(t, full(box("s-0000000b", startFake(t, seen.answering(longAnswer(linkValue))).Addr)))
	control := NewControl(1)
	ln := listenLocal(t)
	r := startSetup(t, Setup{Config: testConfig(t, d.Listener.Addr().String(), member.List{}), Control: control,
		TLS: tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13})})
	until(t, "the router to be ready", control.Ready)
	clients, wait := startLinkedClients(t, metaDialect, linkPause, func() net.Conn {
		config := ca.ClientConfig(t)
		config.ServerName = "127.0.0.1"
		return tls.Client(dialLink(t, ln.Addr().String()), config)
	})
	r.stop()
	wait()
	for _, l := range clients {
		l.checkDelivered(t, &seen)
	}
}

// Guards against the same with clients that speak RESP.
func TestAnswersOnTheirWayOutlastTheEndOfARESPConnection(t *testing.T) {
	r := serveRESP(t, startCluster(t, 1, 0), "")
	p := dialRESP(t, r.addr)
	if got := p.ask(fmt.Sprintf("*3\r\n$3\r\nSET\r\n$4\r\nlong\r\n$%d\r\n%s", linkValue, strings.Repeat("x", linkValue))); got != "+OK" {
		t.Fatalf("%q", got)
	}
	var none seenRequests
	clients, wait := startLinkedClients(t, respDialect("long"), linkPause, func() net.Conn { return dialLink(t, r.addr) })
	r.stop()
	wait()
	for _, l := range clients {
		l.checkDelivered(t, &none)
	}
}

// revocable is a protocol whose clients' credentials are all revoked at once.
type revocable struct {
	front.Protocol
	revoked *atomic.Bool
}

// Session implements front.Protocol.
func (p revocable) Session(peer front.Peer) front.Session {
	return revocableSession{p.Protocol.Session(peer), p.revoked}
}

type revocableSession struct {
	front.Session
	revoked *atomic.Bool
}

// Revoked implements front.Session.
func (s revocableSession) Revoked() bool { return s.revoked.Load() }

// Guards against answers that are thrown away on their way as a connection is closed for its idleness or for its
// credentials: all of them are written, but the client has not read them yet, and sends one request more.
func TestAnswersOnTheirWayOutlastAnEvictionAndARevocation(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, m *front.ConnManager, addr string, revoked *atomic.Bool){
		"eviction": func(t *testing.T, _ *front.ConnManager, addr string, _ *atomic.Bool) { dial(t, addr).send("mn\r\n") },
		"revocation": func(_ *testing.T, m *front.ConnManager, _ string, revoked *atomic.Bool) {
			revoked.Store(true)
			m.DrainRevoked()
		},
	} {
		t.Run(name, func(t *testing.T) {
			var revoked atomic.Bool
			s := startFake(t, longAnswer(linkValue))
			m, addr := startFront(t, revocable{clients.Protocol{}, &revoked}, 1, box("s-0000000b", s.Addr))
			conn := dialLink(t, addr)
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(wait)) //nolint:errcheck // the test takes longer without
			l := &linkedClient{name: "c", speaks: metaDialect, conn: conn}
			for range linkDepth {
				l.send()
			}
			for range linkDepth {
				next(t, s.Seen, "request at the server")
			}
			time.Sleep(100 * time.Millisecond) // for the answers to be written
			end(t, m, addr, &revoked)
			time.Sleep(100 * time.Millisecond) // for what the router does of it
			l.send()
			in := bufio.NewReaderSize(slowLink{conn, linkPause}, linkPiece)
			for i, r := range l.requests[:linkDepth] {
				if answer, err := metaDialect.read(in); answer != wholeValue || err != nil {
					t.Fatalf("answer %d of %d, to %s: %.40q, %v", i+1, linkDepth, r.id, answer, err)
				}
			}
		})
	}
}

// Guards against clients that ask for much, read nothing, and hold the slots of others: their answers will never arrive.
func TestClientThatReadsNothingHoldsNoSlot(t *testing.T) {
	const within = 3 * time.Second // a second in which its answers may be on their way, and its eviction
	s := startFake(t, longAnswer(linkValue))
	_, addr := startFront(t, clients.Protocol{}, 2, box("s-0000000b", s.Addr))
	for i := range 2 {
		silent := &linkedClient{name: fmt.Sprintf("c%d", i), speaks: metaDialect, conn: dialLink(t, addr)}
		defer silent.conn.Close()
		for range linkDepth {
			silent.send()
		}
		for range linkDepth {
			next(t, s.Seen, "request at the server")
		}
	}
	began := time.Now()
	if got := dial(t, addr).ask("mn"); got != "MN" {
		t.Errorf("%q", got)
	}
	if took := time.Since(began); took > within {
		t.Errorf("answered after %v", took)
	}
}

// Guards against answers that are thrown away as their connection is evicted while a client reads them slowly: nothing is read
// on an evicted connection, so only the wait for the client keeps its next request from resetting it.
func TestAnswersOnTheirWayOutlastTheEvictionOfASlowReader(t *testing.T) {
	const (
		pause   = 6 * linkPause           // ahead of each piece: the answers take three seconds
		evicted = 1500 * time.Millisecond // by when: answers on their way keep a connection for a second
	)
	s := startFake(t, longAnswer(linkValue))
	_, addr := startFront(t, clients.Protocol{}, 1, box("s-0000000b", s.Addr))
	l := &linkedClient{name: "c", speaks: metaDialect, conn: dialLink(t, addr)}
	defer l.conn.Close()
	l.conn.SetDeadline(time.Now().Add(wait)) //nolint:errcheck // the test takes longer without
	for range linkDepth {
		l.send()
	}
	for range linkDepth {
		next(t, s.Seen, "request at the server")
	}
	began := time.Now()
	dial(t, addr).send("mn\r\n") // waits for the only slot
	further := time.AfterFunc(evicted, func() {
		io.WriteString(l.conn, metaDialect.ask("next")) //nolint:errcheck // its connection ends
	})
	defer further.Stop()
	in := bufio.NewReaderSize(slowLink{l.conn, pause}, linkPiece)
	for i, r := range l.requests {
		if answer, err := metaDialect.read(in); answer != wholeValue || err != nil {
			t.Fatalf("answer %d of %d, to %s, after %v: %.40q, %v", i+1, linkDepth, r.id, time.Since(began), answer, err)
		}
	}
	if took := time.Since(began); took < evicted+time.Second {
		t.Errorf("all read after %v, which tests nothing", took)
	}
	if answer, err := metaDialect.read(in); err == nil {
		t.Errorf("the connection was not evicted: %.40q", answer)
	}
}
