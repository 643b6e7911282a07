package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Modes in which a sound answer comes slowly: its head at once, the rest later. They concern answers with a value.
const (
	SlowBody Mode = "slow-body" // the body comes in small pieces
	LateBody Mode = "late-body" // the body comes whole, after a pause
)

// Lengths of slow values in bytes. They are no longer than what routers buffer: a longer value that the router has
// begun to pass on fails with its server, and its connection with it, which the protocol page allows.
var slowLengths = []int{2000, 20000, 45000, 64 << 10}

// pace is how an answer is written.
type pace struct {
	pauses []time.Duration // ahead of each part of the body, which has as many equal parts
	length int             // of the value
}

// total returns the time from the head to the last byte.
func (p pace) total() (d time.Duration) {
	for _, pause := range p.pauses {
		d += pause
	}
	return d
}

// slowParts is into how many parts a slow body is cut.
const slowParts = 20

// evenly returns the pace of a body that comes in equal parts over a time.
func evenly(length int, over time.Duration) pace {
	return pace{slices.Repeat([]time.Duration{over / slowParts}, slowParts), length}
}

// after returns the pace of a body that comes whole after a pause.
func after(length int, pause time.Duration) pace {
	return pace{[]time.Duration{pause}, length}
}

// drawPace draws the pace of an answer in one of the modes above; ok is false in all others.
func drawPace(rng *rand.Rand, mode Mode) (p pace, ok bool) {
	length := slowLengths[rng.IntN(len(slowLengths))]
	over := time.Duration(200+rng.IntN(1000)) * time.Millisecond
	switch mode {
	case SlowBody:
		return evenly(length, over), true
	case LateBody:
		return after(length, over), true
	}
	return pace{}, false
}

// paddedValue is a value for a request that begins with what names it.
func paddedValue(prefix string, length int) string {
	return prefix + strings.Repeat("x", max(0, length-len(prefix)))
}

// writeSlowly writes an answer at a pace: the head at once, then the body and what ends the answer. It records
// a cut where the router closes the connection earlier. It reports whether the answer was written whole.
func (c *servedConn) writeSlowly(l *Ledger, a *Attempt, gone <-chan struct{}, head, body, end string, p pace) bool {
	l.markBegun(a, time.Now().Add(p.total()))
	if _, err := io.WriteString(c, head); err != nil {
		l.markCut(a, c.diedItself() || c.unsound.Load())
		return false
	}
	for i, pause := range p.pauses {
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-gone:
			timer.Stop()
			l.markCut(a, c.diedItself() || c.unsound.Load())
			return false
		}
		part := body[len(body)*i/len(p.pauses) : len(body)*(i+1)/len(p.pauses)]
		if i == len(p.pauses)-1 {
			l.markAnswered(a, c.TCPConn) // before the router can know
			part += end
		}
		if _, err := io.WriteString(c, part); err != nil {
			l.markCut(a, c.diedItself() || c.unsound.Load())
			return false
		}
	}
	return true
}

// diedItself reports whether the server has reset the connection by itself.
func (c *servedConn) diedItself() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.diedAt.IsZero()
}

// markBegun records that the head of a slow answer is about to be written, and when it will be whole.
func (l *Ledger) markBegun(a *Attempt, wholeBy time.Time) {
	l.update(func() { a.Begun, a.WholeBy = time.Now(), wholeBy })
}

// markCut records that the connection of a slow answer has ended before the answer was whole; excused says whether
// the server has ended it itself, or has written something on it that is no part of an answer.
func (l *Ledger) markCut(a *Attempt, excused bool) {
	l.update(func() {
		if !excused {
			a.CutAt = time.Now()
		}
	})
}

// cutMargin is how long before the client's deadline an answer has to be whole for its cut to be a violation:
// the router has to answer by the deadline, and bytes need their time.
const cutMargin = 100 * time.Millisecond

// cut checks that no sound answer was cut off that could have been whole in the client's time.
func (c *checker) cut(r *Request) {
	for i, a := range r.Attempts {
		if a.WholeBy.IsZero() || !r.Left.IsZero() || r.Excused {
			continue
		}
		// What the server was passed: a router that ends passes less than its client has left.
		due := a.Read.Add(a.PassedDeadline)
		if !a.WholeBy.Before(due.Add(-cutMargin)) {
			continue
		}
		c.r.Checked[CutOff]++
		if a.CutAt.IsZero() {
			continue
		}
		c.broken(CutOff, r.ID, fmt.Sprintf("attempt %d at %s: the answer began %v after the request was sent and was cut %v later; it would have been whole after %v, %v before its time was over",
			i, a.Server, a.Begun.Sub(r.Sent).Round(time.Millisecond), a.CutAt.Sub(a.Begun).Round(time.Millisecond), a.WholeBy.Sub(a.Begun).Round(time.Millisecond), due.Sub(a.WholeBy).Round(time.Millisecond)))
	}
}

// Forms of the body of an answer over HTTP.
const (
	formLength  = "length"
	formChunked = "chunked"
	formToEnd   = "no length"
)

var originForms = []string{formLength, formChunked, formToEnd}

// slowResponse returns the parts of an answer over HTTP in a form.
func slowResponse(form, value string) (head, body, end string) {
	head = fmt.Sprintf("HTTP/1.1 %d OK\r\nX-Backend-Load: rps=10,cpu=0.2\r\n", http.StatusOK)
	switch form {
	case formChunked:
		return head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s", len(value), value), "\r\n0\r\n\r\n"
	case formToEnd:
		return head + "\r\n", value, ""
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(value)), value, ""
}
