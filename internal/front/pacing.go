package front

import (
	"time"

	"golang.org/x/time/rate"

	"mossproxy.example/mossproxy/internal/sock"
)

// Pacer limits the work that clients cause on one engine's core without any of it reaching a server: commands
// that are answered at once, requests of clients most of whose requests are rejected, and TLS handshakes. Other
// requests are limited by their open number, maxPipelinedCommands of a connection. A client beyond its allowance is slowed
// down by not being read, which delays its own answers and nobody else's. New connections are taken as they come:
// requests on them would wait too.
//
// Work is measured in units: one is about a command of one line. Methods may be called from any goroutine.
type Pacer struct {
	commands   *rate.Limiter // units of connections beyond their allowance
	handshakes *rate.Limiter // of TLS
}

// LoginUnits is the Work of a login, whose proof is verified.
const LoginUnits = 16

const (
	// A connection's own allowance, in units and units per second.
	allowanceBurst = 256
	allowanceRate  = 200
	// What all connections may have beyond their allowances together, in units per second: a small share of a
	// core.
	sharedRate  = 8000
	sharedBurst = 8 * turnUnits
	// turnUnits are taken at a time, so that connections take turns.
	turnUnits = 32
	// rejectedUnits is the cost of a request that is rejected without an attempt.
	rejectedUnits = 4
	// unitBytes is how many bytes of a command count as one unit.
	unitBytes = 2048
	// TLS handshakes per second, each about a millisecond of a core, and how many may come at once.
	handshakeRate  = 600
	handshakeBurst = 256
	// pauseStep is the time between checks for closing during a pause.
	pauseStep = 25 * time.Millisecond
)

// NewPacer returns a Pacer for the clients of one engine.
func NewPacer() *Pacer {
	return &Pacer{rate.NewLimiter(sharedRate, sharedBurst), rate.NewLimiter(handshakeRate, handshakeBurst)}
}

// reserve takes n units of a limiter and returns how long to wait for them.
func reserve(l *rate.Limiter, n int) time.Duration {
	now := time.Now()
	return l.ReserveN(now, n).DelayFrom(now)
}

// allowance is what a connection may still do at once, a token bucket. Only its reader uses it.
type allowance struct {
	units   float64
	updated time.Time
}

// spend takes units from the allowance at the given time, or gives some back if they are negative, and reports
// whether it sufficed.
func (a *allowance) spend(units int, now time.Time) bool {
	if a.updated.IsZero() {
		a.units = allowanceBurst
	} else {
		a.units = min(allowanceBurst, a.units+allowanceRate*now.Sub(a.updated).Seconds())
	}
	a.updated = now
	a.units = min(allowanceBurst, a.units-float64(units))
	return a.units >= 0
}

// countRejections counts the answer to a request. One that reached a server makes up for one that was rejected
// without an attempt, so that only a client most of whose requests are rejected is slowed down.
func (c *clientConn) countRejections(neverSent bool) {
	if neverSent {
		c.rejections.Add(rejectedUnits)
	} else {
		c.rejections.Add(-rejectedUnits)
	}
}

// pace waits if a command that was answered at once, or earlier requests that were rejected, exceed the connection's
// allowance, until its share of what all connections may have beyond that has come.
func (c *clientConn) pace(cmd *Command) {
	units := int(c.rejections.Swap(0))
	if cmd.Request == nil {
		units += 1 + cmd.Work + c.commandBytes/unitBytes
	}
	if units == 0 || c.allowance.spend(units, time.Now()) {
		return
	}
	for c.allowance.units < 0 {
		c.allowance.units += turnUnits
		c.pause(reserve(c.manager.pacer.commands, turnUnits))
	}
}

// pause waits for a time, or until the connection is to be closed.
func (c *clientConn) pause(d time.Duration) {
	for until := time.Now().Add(d); ; {
		left := time.Until(until)
		if left <= 0 || c.isClosing() {
			break
		}
		time.Sleep(min(left, pauseStep))
	}
	if c.reader.Buffered() == 0 && !sock.HasInput(c.Conn) {
		c.arrival.emptyAt(c.manager.engine.Now())
	}
}

// awaitHandshake waits for the connection's turn of a TLS handshake. That does not count towards the time for its
// first command.
func (c *clientConn) awaitHandshake() {
	wait := reserve(c.manager.pacer.handshakes, 1)
	if wait == 0 {
		return
	}
	time.Sleep(wait)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing.active {
		c.idleSince = time.Now()
		c.SetReadDeadline(c.idleSince.Add(firstCommandTimeout))
	}
}

// isClosing reports whether the connection is to be closed, or can't be written any more.
func (c *clientConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing.active || c.broken
}
