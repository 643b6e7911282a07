// Package soak plays real router processes against recording servers and clients on loopback while faults overlap, and checks
// the router's invariants by what the servers and the clients counted. A play is drawn from a seed. It is for tests alone.
package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/sock"
)

// Effect says how often a request of a class may run.
type Effect int

// The effects of the classes that clients use.
const (
	Repeatable Effect = iota // safe to repeat
	Keyed                    // the origin drops a repeat of its key within the window
	Once                     // never twice
)

// Class is a class of requests as the routers' settings have it.
type Class struct {
	Name     string
	Effect   Effect
	Target   time.Duration
	Deadline time.Duration // longest that a client of the class waits
	Window   time.Duration // Keyed: how long repeats of the key are dropped
	Read     bool          // its requests are reads; all of class Repeatable are
}

// Attempt is one attempt as a server saw it.
type Attempt struct {
	Server         string
	PassedDeadline time.Duration // deadline that the server was passed
	Read           time.Time     // when the last byte was read
	Ended          time.Time     // when it was answered, or its connection ended; zero = it is out
	Closed         time.Time     // when the end of its connection was seen; zero = it is open
	Gone           bool          // it was answered on a connection that the router had closed
	ReadGone       bool          // the router had closed its connection when the last byte was read
	Ran            bool          // it may have had its effect
	Effect         Effect        // of its request's class
	Begun          time.Time     // when the head of a slow answer was written; zero = it was none,
	WholeBy        time.Time     // when that answer is whole,
	CutAt          time.Time     // and when the router closed its connection before; zero = it did not
}

// Outcome is what a client got.
type Outcome int

// The outcomes of a request.
const (
	None Outcome = iota // nothing
	Served
	Refused // a retry is harmless
	Failed  // no promise
)

// Request is one request of a client, with all that was seen of it. The ledger guards it.
type Request struct {
	ID, Key string
	Class   Class
	Router  int
	Sent    time.Time // when its last byte was written for the first time
	Wait    time.Duration
	Length  int           // of the value of a write; 0 = a short one
	Left    time.Time     // when the client closed its connection; zero = it did not
	Excused bool          // its router was killed by us while it could still be answered
	NewConn bool          // it was the first request of its connection
	Resends int           // how often it was sent again after an unread close,
	Waited  time.Duration // and how long it had lain unread by then
	// Unwritten is how many connections were closed before it was written.
	Unwritten int

	Outcome  Outcome
	Answers  int
	Answered time.Time
	Behind   time.Time // when the answer ahead of it on its connection came; the time before that does not count
	Foreign  string    // an answer that was made for another request
	Closed   string    // why its connection ended without an answer; empty = it did not
	Attempts []*Attempt
}

// Ledger is what servers and clients have seen in a play. It may be used from any goroutine.
type Ledger struct {
	mu       sync.Mutex
	requests map[string]*Request
	order    []*Request
	drains   map[string]time.Time // server -> since when routers know that it drains
	starts   []started
	drained  int // drains so far
	// emptyChecks is how often it was checked that a router out of service was empty.
	emptyChecks int
	cameAgain   int // requests that came again after their clients had left
	draining    []Violation
	lateness    Lateness
}

// NewLedger is an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{requests: map[string]*Request{}, drains: map[string]time.Time{}}
}

// addRequest records a request that is about to be sent.
func (l *Ledger) addRequest(r *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.ID] = r
	l.order = append(l.order, r)
}

// update changes a request.
func (l *Ledger) update(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	do()
}

// addAttempt records an attempt whose first and last bytes were read at these times. It returns nil where no client has sent the request.
func (l *Ledger) addAttempt(server, id string, passed time.Duration, first, last time.Time) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since, ok := l.drains[server]; ok {
		if late := first.Sub(since); late > drainGrace+timeLimitSlack+l.lateness.around(first) {
			l.draining = append(l.draining, Violation{Drain, id, fmt.Sprintf("%s got it %v after it was notified as draining", server, late)})
		}
	}
	r := l.requests[id]
	if r == nil {
		return nil
	}
	a := &Attempt{Server: server, PassedDeadline: passed, Read: last, Effect: r.Class.Effect}
	r.Attempts = append(r.Attempts, a)
	return a
}

// markRead records whether the connection of an attempt was closed when its last byte was read.
func (l *Ledger) markRead(a *Attempt, c net.Conn) {
	gone := sock.Closed(c)
	l.update(func() { a.ReadGone = gone })
}

// markRan records that an attempt has its effect.
func (l *Ledger) markRan(a *Attempt) { l.update(func() { a.Ran = true }) }

// markEnded records the end of an attempt.
func (l *Ledger) markEnded(a *Attempt) {
	l.update(func() {
		if a.Ended.IsZero() {
			a.Ended = time.Now()
		}
	})
}

// markAnswered records the end of an attempt by an answer that is about to be written on a connection.
func (l *Ledger) markAnswered(a *Attempt, c net.Conn) {
	gone := sock.Closed(c)
	l.update(func() {
		if a.Ended.IsZero() {
			a.Ended, a.Gone = time.Now(), gone
		}
	})
}

// markClosed records that the connection of attempts has ended at a time. Those that were out have ended with it.
func (l *Ledger) markClosed(attempts []*Attempt, at time.Time) {
	l.update(func() {
		for _, a := range attempts {
			a.Closed = at
			if a.Ended.IsZero() {
				a.Ended = at
			}
		}
	})
}

// drain records since when routers are notified of a draining server, and undrain that it is active again.
func (l *Ledger) drain(server string, since time.Time) {
	l.update(func() {
		l.drains[server] = since
		l.drained++
	})
}
func (l *Ledger) undrain(server string) { l.update(func() { delete(l.drains, server) }) }

// started is the start of a server that routers were notified of.
type started struct {
	server       string
	at, notified time.Time
}

// start records a server's start, of which routers are notified since a time.
func (l *Ledger) start(server string, at, notified time.Time) {
	l.update(func() { l.starts = append(l.starts, started{server, at, notified}) })
}

// attempts is how many attempts of a request servers have seen.
func (l *Ledger) attempts(r *Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(r.Attempts)
}
