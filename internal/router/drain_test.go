package router

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Bounds of the platform's rule on routers that are taken out of service, counted from the operators' call.
const (
	emptyWithin   = 4 * time.Second        // no connection is held later that is idle or has a request
	recentRequest = 2 * time.Second        // that came within this time before
	mayCross      = 500 * time.Millisecond // a request on its way for this long has not crossed the close
	socketSlack   = 50 * time.Millisecond
)

// busyRequest is a request of a busyClient. Times are zero until they are known.
type busyRequest struct {
	id             string
	sent, answered time.Time
	answer         string
}

// busyClient sends requests at fixed intervals on one connection, whether or not the earlier ones are
// answered, until the router closes it.
type busyClient struct {
	conn  *client
	ended chan struct{} // closed when the router has closed the connection

	mu       sync.Mutex
	requests []*busyRequest
	endedAt  time.Time
}

// startBusyClient starts a client whose requests wait for d ms.
func startBusyClient(t *testing.T, addr, name string, interval time.Duration, d int) *busyClient {
	t.Helper()
	b := &busyClient{conn: dial(t, addr), ended: make(chan struct{})}
	var wg sync.WaitGroup
	wg.Go(b.readAnswers)
	wg.Go(func() { b.sendRequests(name, interval, d) })
	t.Cleanup(func() { b.conn.Close(); wg.Wait() })
	return b
}

func (b *busyClient) sendRequests(name string, interval time.Duration, d int) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		request := &busyRequest{id: fmt.Sprint(name, i), sent: time.Now()}
		b.mu.Lock()
		b.requests = append(b.requests, request)
		b.mu.Unlock()
		if _, err := io.WriteString(b.conn, bill(request.id, d)+"\r\n"); err != nil {
			return
		}
		select {
		case <-b.ended:
			return
		case <-tick.C:
		}
	}
}

func (b *busyClient) readAnswers() {
	defer close(b.ended)
	for i := 0; ; i++ {
		line, err := b.conn.r.ReadString('\n')
		b.mu.Lock()
		if err != nil {
			b.endedAt = time.Now()
			b.mu.Unlock()
			return
		}
		b.requests[i].answered, b.requests[i].answer = time.Now(), strings.TrimSpace(line)
		b.mu.Unlock()
	}
}

// checkNothingLost fails the test if a request got no answer that did not cross the close.
func (b *busyClient) checkNothingLost(t *testing.T) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	lost, longest := 0, time.Duration(0)
	for _, r := range b.requests {
		if unread := b.endedAt.Sub(r.sent); r.answered.IsZero() && unread > mayCross {
			lost, longest = lost+1, max(longest, unread)
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer, though the connection stayed open for up to %v after them", lost, len(b.requests), longest)
	}
}

// checkEmptyInTime fails the test if the connection was held too long after the operators' call.
func (b *busyClient) checkEmptyInTime(t *testing.T, call time.Time) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := call.Add(emptyWithin + socketSlack)
	if !b.endedAt.After(limit) {
		return
	}
	for _, r := range b.requests {
		if r.sent.After(limit.Add(-recentRequest)) && r.sent.Before(limit) && r.answered.After(limit) {
			t.Errorf("held until %v after the call, with a request that came %v after it", b.endedAt.Sub(call), r.sent.Sub(call))
			return
		}
	}
	t.Errorf("held until %v after the call, with older requests alone", b.endedAt.Sub(call))
}

// checkAnswers fails the test if an answer does not begin with one of the given texts.
func (b *busyClient) checkAnswers(t *testing.T, want ...string) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.requests {
		if r.answer != "" && !containsPrefixOf(want, r.answer) {
			t.Errorf("%s: %q", r.id, r.answer)
		}
	}
}

func containsPrefixOf(prefixes []string, text string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(text, prefix) {
			return true
		}
	}
	return false
}

// stoppableOrigin is an origin that answers at once until it is stopped, and then not at all.
type stoppableOrigin struct {
	addr    string
	seen    <-chan string
	stopped atomic.Bool
}

func startStoppable(t *testing.T) *stoppableOrigin {
	t.Helper()
	o := &stoppableOrigin{}
	end := make(chan struct{})
	s := startFake(t, func(line string) string {
		if o.stopped.Load() {
			<-end
		}
		return originOK(line)
	})
	t.Cleanup(func() { close(end) }) // before that of the stand-in, which waits for its answers
	o.addr, o.seen = s.Addr, s.Seen
	return o
}

// serveThenStop stops the origin when it has served so many requests more, and waits until it has got one
// that it does not answer.
func (o *stoppableOrigin) serveThenStop(t *testing.T, requests int) {
	t.Helper()
	for range requests {
		next(t, o.seen, "request at the origin")
	}
	o.stopped.Store(true)
	next(t, o.seen, "request at the origin")
	next(t, o.seen, "request at the origin")
}

// killAfter is the earliest time of SIGKILL after SIGTERM and the longest deadline.
const killAfter = 700 * time.Millisecond

// longestDeadline is that of testSettings.
const longestDeadline = 2 * time.Second

// checkEndedBefore fails the test if the connection was open at a time.
func (b *busyClient) checkEndedBefore(t *testing.T, limit time.Time, what string) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.endedAt.After(limit) {
		t.Errorf("ended %v after %s", b.endedAt.Sub(limit), what)
	}
}

// busyIntervals are how often a busy client sends.
var busyIntervals = map[string]time.Duration{
	"few requests open":          200 * time.Millisecond,
	"more than are read at once": 80 * time.Millisecond,
}

// Guards against connections that are never idle and outlast the time in which a drained router is to be
// empty, and against requests that lie unread on them until they are closed.
func TestBusyConnectionsEndInTimeAfterOutOfService(t *testing.T) {
	for name, interval := range busyIntervals {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := startStoppable(t)
			r, control := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(o.addr))
			b := startBusyClient(t, r.addr, "p", interval, 2000)
			o.serveThenStop(t, 10)
			call := time.Now()
			if err := control.OutOfService(t.Context()); err != nil {
				t.Fatal(err)
			}
			next(t, b.ended, "end of the connection")
			b.checkEmptyInTime(t, call)
			b.checkNothingLost(t)
			b.checkAnswers(t, "HD ", "SERVER_ERROR failed", "SERVER_ERROR busy")
		})
	}
}

// Guards against requests that lie unread on a connection that is never idle until a process that exits
// closes it, with a successor and without one.
func TestBusyConnectionsLoseNothingAfterSIGTERM(t *testing.T) {
	for _, successor := range []bool{false, true} {
		for name, interval := range busyIntervals {
			t.Run(fmt.Sprintf("successor %v, %s", successor, name), func(t *testing.T) {
				t.Parallel()
				o := startStoppable(t)
				r, control := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(o.addr))
				b := startBusyClient(t, r.addr, "p", interval, 2000)
				o.serveThenStop(t, 10)
				if successor {
					control.Followed()
				}
				told := time.Now()
				r.stop()
				next(t, b.ended, "end of the connection")
				b.checkEndedBefore(t, told.Add(longestDeadline+killAfter), "the earliest kill")
				b.checkNothingLost(t)
				b.checkAnswers(t, "HD ", "SERVER_ERROR failed", "SERVER_ERROR busy")
			})
		}
	}
}

// Guards against limits of a drain that outlast it: back in service, a connection that is never idle is
// served on, and what comes on it is not rejected.
func TestBusyConnectionIsServedOnceBackInService(t *testing.T) {
	o := startStoppable(t)
	r, control := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(o.addr))
	b := startBusyClient(t, r.addr, "p", 200*time.Millisecond, 2000)
	o.serveThenStop(t, 3)
	if err := control.OutOfService(t.Context()); err != nil {
		t.Fatal(err)
	}
	until(t, "a request to be rejected", func() bool { return control.Counts().Classes[0].Refused > 0 })
	if err := control.InService(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := dial(t, r.addr).ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("back in service: %q", got)
	}
	if err := control.OutOfService(t.Context()); err != nil {
		t.Fatal(err)
	}
	call := time.Now()
	next(t, b.ended, "end of the connection")
	b.checkEmptyInTime(t, call)
	b.checkNothingLost(t)
}

// Guards against a new request that is held by a router long out of service: it is rejected at once, as
// another router can serve it, and counted.
func TestRequestLongAfterOutOfServiceIsRejectedAtOnce(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	r, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	if err := control.OutOfService(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(recentRequest) // requests from then on may not be held: time itself is what is tested
	for _, command := range []string{read("a1", 2000), bill("a2", 2000)} {
		c := dial(t, r.addr)
		if got := c.ask(command); got != "SERVER_ERROR busy" || !c.closed() {
			t.Errorf("%s: %q", command, got)
		}
	}
	if len(s.Seen)+len(o.Seen) > 0 {
		t.Error("an attempt was made")
	}
	until(t, "both to be counted", func() bool {
		refused := uint64(0)
		for _, class := range control.Counts().Classes {
			refused += class.Refused
		}
		return refused == 2
	})
}
