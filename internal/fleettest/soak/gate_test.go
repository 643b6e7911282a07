package soak

import (
	"io"
	"sync"
	"testing"
	"time"
)

// send draws reads of one wait and sends them on a new connection.
func (w *world) send(t *testing.T, n int, wait time.Duration) ([]*Request, *clientConn) {
	t.Helper()
	var requests []*Request
	for range n {
		r := w.groups[0].request()
		r.Class, r.Wait = w.plan.settings.Classes[0], wait
		requests = append(requests, r)
	}
	c := w.groups[0].send(true, requests...)
	if c == nil {
		t.Fatal("no connection to the router")
	}
	return requests, c
}

// none fails the test for each violation of a rule that the ledger shows.
func (w *world) none(t *testing.T, rules ...Invariant) {
	t.Helper()
	for _, v := range w.ledger.Check(w.plan.settings).Violations {
		for _, rule := range rules {
			if v.Rule == rule {
				t.Error(v)
			}
		}
	}
}

// Guards against attempts for a client that has closed while its connection was not read, as many commands were open on it.
func TestNoAttemptBeginsAfterAPipeliningClientHasClosed(t *testing.T) {
	w := scripted(t, 3, time.Second)
	for _, s := range w.caches {
		s.set(Slow)
	}
	_, c := w.send(t, 40, 2500*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	c.leave()
	time.Sleep(3 * time.Second)
	w.none(t, Abandoned)
}

// Guards against attempts for a client that has closed while the connection to the server was opened.
func TestNoAttemptBeginsAfterAClientHasClosedDuringAConnect(t *testing.T) {
	w := scripted(t, 1, 1500*time.Millisecond)
	w.caches[0].set(Stall)
	_, c := w.send(t, 20, 2500*time.Millisecond)
	time.AfterFunc(300*time.Millisecond, func() { w.caches[0].set(Normal) })
	time.Sleep(100 * time.Millisecond)
	c.leave()
	time.Sleep(2 * time.Second)
	w.none(t, Abandoned)
}

// Guards against requests to a draining server over a connection that was being opened when routers were notified.
func TestNothingNewReachesADrainingServerOverALateConnection(t *testing.T) {
	w := scripted(t, 1, 1500*time.Millisecond)
	w.caches[0].set(Stall)
	w.send(t, 4, 2500*time.Millisecond)
	time.Sleep(200 * time.Millisecond)
	w.directory.Change(w.entry(0, "leaving"))
	w.ledger.drain(w.caches[0].id, time.Now())
	time.Sleep(200 * time.Millisecond)
	w.caches[0].set(Normal)
	time.Sleep(2 * time.Second)
	w.none(t, Drain)
}

// endOf tells a router to end, has another take new clients, and kills it at the earliest time where it has not ended.
func (w *world) endOf(p *process) {
	p.term()
	since, _ := p.terminating()
	w.wg.Go(func() { w.succeed(0, w.groups[0]) })
	select {
	case <-p.ended:
	case <-time.After(time.Until(since.Add(w.longest() + killAfter))):
		p.kill()
	}
}

// Guards against a request that a slow client completes after SIGTERM and whose deadline lies beyond the end of the process.
func TestRequestCompletedAfterSIGTERMIsAnsweredBeforeTheKill(t *testing.T) {
	w := scripted(t, 1, time.Second)
	w.caches[0].set(Hang)
	p := w.process(0)
	g := w.groups[0]
	r := g.request()
	r.Class, r.Wait = w.plan.settings.Classes[0], w.longest()
	c, err := g.conn(true)
	if err != nil {
		t.Fatal(err)
	}
	g.ledger.addRequest(r)
	g.ledger.update(func() { r.Sent, r.NewConn = time.Now(), true })
	half := len(r.text()) / 2
	io.WriteString(c, r.text()[:half]) //nolint:errcheck // its reader sees it
	time.AfterFunc(2*time.Second, func() {
		c.mu.Lock()
		c.pending = append(c.pending, r)
		c.mu.Unlock()
		g.ledger.update(func() { r.Sent = time.Now() })
		io.WriteString(c.Conn, r.text()[half:]) //nolint:errcheck // its reader sees it
	})
	time.AfterFunc(400*time.Millisecond, func() { w.endOf(p) })
	time.Sleep(400*time.Millisecond + w.longest() + 2*killAfter)
	w.wg.Wait()
	w.none(t, Answer, Process, SelfCheck)
}

// endUnderBusyConnections ends a router whose connections are never idle, and checks that every request has its answer
// at the earliest kill. Clients wait for readDelay ahead of each read.
func endUnderBusyConnections(t *testing.T, readDelay time.Duration) {
	t.Helper()
	w := scripted(t, 1, time.Second)
	w.caches[0].hits = 0
	w.origin.set(Hang)
	p := w.process(0)
	w.groups[0].readDelay = readDelay
	var senders sync.WaitGroup
	for range 4 {
		_, c := w.send(t, 1, w.longest())
		senders.Go(func() {
			for !c.isClosed() {
				r := w.groups[0].request()
				r.Class, r.Wait = w.plan.settings.Classes[0], w.longest()
				w.ledger.addRequest(r)
				c.write(r)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	w.endOf(p)
	w.origin.set(Normal)
	senders.Wait()
	w.wg.Wait()
	time.Sleep(w.longest() + answerTime)
	w.none(t, Answer, Process, SelfCheck)
}

// Guards against requests on busy connections that are read after SIGTERM, or left unread, and have no answer at the earliest SIGKILL.
func TestRequestsOnBusyConnectionsAfterSIGTERMAreAnsweredBeforeTheKill(t *testing.T) {
	endUnderBusyConnections(t, 0)
}

// Guards against answers that lie in the router's socket as it closes, and go with the reset that their client's next request calls forth.
func TestRequestsOfClientsThatReadLateAreAnsweredBeforeTheKill(t *testing.T) {
	endUnderBusyConnections(t, 60*time.Millisecond)
}
