package front

import (
	"time"

	"mossproxy.example/mossproxy/internal/guard"
	"mossproxy.example/mossproxy/internal/sock"
)

const (
	// leftoverTime is how long input is still read once the last awaited command of a closing connection is
	// answered: what a client sent while the connection was not read is answered too.
	leftoverTime = 100 * time.Millisecond
	// maxUnreadTime is how long a connection may be open without being read because of an unanswered
	// command. A command that arrives later than that has not merely crossed the close.
	maxUnreadTime = 500 * time.Millisecond
)

// closingState tracks how a connection comes to its end once it is not to be kept. The connection is closed
// as soon as no command is open; what a client sends until then is read and answered, so that nothing lies
// unread on a connection that the client takes for open. A client that never stops sending is cut off when
// no command is awaited any more.
type closingState struct {
	active  bool // the connection closes as soon as no command is open
	revoked bool // because its credentials were revoked
	// Commands that are read later are not awaited; zero = no limit.
	closeBy   time.Time
	awaited   int       // open commands that keep the connection open
	readUntil time.Time // unless a command is awaited, nothing is read later; zero = no limit
	deliverBy time.Time // when the client must have its answers, as the process ends; zero = no limit
	tooLate   bool      // an answer to a command that is read now would not arrive by then
}

// DrainLimits bound in time how connections are drained. A zero time is no limit.
type DrainLimits struct {
	CloseBy   time.Time // commands that are read later do not keep a connection open
	DeliverBy time.Time // clients must have received all answers by then, as the process ends
}

// earliest returns the limits that satisfy both l and o.
func (l DrainLimits) earliest(o DrainLimits) DrainLimits {
	return DrainLimits{CloseBy: earlier(l.CloseBy, o.CloseBy), DeliverBy: earlier(l.DeliverBy, o.DeliverBy)}
}

// earlier returns the earlier of two times, of which zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// drain closes the connection once no command is open, none is being read and the client takes its answers.
// Commands that are read after CloseBy do not keep it open.
func (c *clientConn) drain(limits DrainLimits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing.limit(c.connCloseBy(limits.CloseBy))
	c.closing.deliverBy = earlier(c.closing.deliverBy, limits.DeliverBy)
	c.observeDelivery()
	c.startClosing()
	c.updateCommandDeadline()
}

// drainRevoked closes the connection like drain, because its credentials were revoked.
func (c *clientConn) drainRevoked() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.revoked {
		return
	}
	c.closing.revoked = true
	c.closing.limitReading(time.Now().Add(leftoverTime)) // its commands are rejected as they come
	c.startClosing()
	c.updateCommandDeadline()
}

// connCloseBy returns the limit for this connection: one that is so new that its first byte may still be on
// its way gets the time that every new connection has. The caller holds mu.
func (c *clientConn) connCloseBy(closeBy time.Time) time.Time {
	if c.commandSeen || !c.idleSince.Add(firstByteTimeout).After(closeBy) {
		return closeBy
	}
	return c.idleSince.Add(firstCommandTimeout)
}

// startClosing makes the connection close as soon as no command is open. The caller holds mu.
func (c *clientConn) startClosing() {
	if c.closing.active {
		return
	}
	c.closing.active = true
	switch firstByteDeadline := c.idleSince.Add(firstByteTimeout); {
	case c.reading: // to its end
	// Commands that arrive before the last answer are still accepted; writing that answer wakes the reader.
	case c.openCommands() > 0:
	// A new connection gets time for its first byte.
	case !c.commandSeen && time.Now().Before(firstByteDeadline):
		c.SetReadDeadline(firstByteDeadline)
	default:
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// liftLimits removes the limits of a drain that has been stopped. The connection still closes as soon as no
// command is open.
func (c *clientConn) liftLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing.closeBy, c.closing.deliverBy, c.closing.tooLate = time.Time{}, time.Time{}, false
	if !c.closing.revoked {
		c.closing.readUntil = time.Time{}
	}
	c.updateCommandDeadline()
}

// limit sets closeBy, unless an earlier limit holds.
func (s *closingState) limit(closeBy time.Time) {
	if !s.closeBy.IsZero() && s.closeBy.Before(closeBy) {
		return
	}
	s.closeBy = closeBy
	s.limitReading(closeBy)
}

// limitReading sets readUntil, unless an earlier limit holds.
func (s *closingState) limitReading(until time.Time) {
	if s.readUntil.IsZero() || until.Before(s.readUntil) {
		s.readUntil = until
	}
}

// awaits reports whether a command that is read now keeps the connection open.
func (s *closingState) awaits() bool {
	return s.closeBy.IsZero() || time.Now().Before(s.closeBy)
}

// answered records that awaited commands have been answered.
func (s *closingState) answered(n int) {
	s.awaited -= n
	if n == 0 || s.awaited > 0 || s.readUntil.IsZero() {
		return
	}
	if until := time.Now().Add(leftoverTime); until.After(s.readUntil) {
		s.readUntil = until
	}
}

// readLimit returns the time after which nothing is read; ok is false if there is none.
func (s *closingState) readLimit() (until time.Time, ok bool) {
	return s.readUntil, s.active && s.awaited == 0 && !s.readUntil.IsZero()
}

// acceptsNoMore reports whether the connection takes no more commands. While earlier answers are held up, what
// comes is still answered, within bounds, as the client can't know yet that the connection ends. The caller
// holds mu.
func (c *clientConn) acceptsNoMore() bool {
	until, limited := c.closing.readLimit()
	now := time.Now()
	if !limited || now.Before(until) {
		return false
	}
	until = earlier(until.Add(answerWriteTimeout), c.closing.deliverBy)
	return !now.Before(until) || !c.heldUp()
}

// commandArrivedAtTimeout reports whether a command arrived just as the wait for it timed out.
func (c *clientConn) commandArrivedAtTimeout() bool {
	c.mu.Lock()
	expired := !c.dropped && c.acceptsNoMore()
	c.mu.Unlock()
	return !expired && sock.HasInput(c.Conn)
}

// setCommandDeadline sets the read deadline for the rest of the command being read. The caller holds mu.
func (c *clientConn) setCommandDeadline() {
	deadline := c.commandDeadline
	if !c.valueStall.IsZero() && c.valueStall.Before(deadline) {
		deadline = c.valueStall
	}
	if until, limited := c.closing.readLimit(); limited && until.Before(deadline) {
		deadline = until
	}
	c.SetReadDeadline(deadline)
}

// updateCommandDeadline applies changed limits to the command being read, if any. The caller holds mu.
func (c *clientConn) updateCommandDeadline() {
	if c.reading && !c.dropped {
		c.setCommandDeadline()
	}
}

// checkUnread records a violation if the connection is closed over input that was not read for too long
// while a command was unanswered. readEnd is when reading ended. The rest of a command that came too slowly
// does not count.
func (c *clientConn) checkUnread(readEnd time.Time) {
	c.mu.Lock()
	unread, incomplete := c.lastAnswered.Sub(readEnd), c.reading
	c.mu.Unlock()
	if incomplete {
		return
	}
	g := c.manager.engine.Guard
	g.CountCheck(guard.Unanswered)
	if unread > maxUnreadTime && sock.HasInput(c.Conn) {
		g.RecordViolation(guard.Unanswered, c.RemoteAddr().String(), "closed over input, after %v in which it was not read", unread)
	}
}
