package backend

import (
	"errors"
	"io"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/guard"
)

// Times for which a connection has to be silent after an answer that names no request. A copy of the answer
// that arrives in that time ends the connection; one that arrives behind the next command would pass for the
// answer to it. Requests that may not be repeated freely don't use such a connection at all: a copy would be a
// false proof that they have run, or have not.
const (
	// errorLineQuietPeriod is for error lines. Taking a copy for an answer costs a retry at most, as the
	// connection is closed before the retry begins.
	errorLineQuietPeriod = 20 * time.Millisecond
	// answerQuietPeriod is for all other answers, with which a copy would give a client what was made for
	// another one.
	answerQuietPeriod = 1500 * time.Millisecond
)

// reuseState is what decides which request may use an idle connection. The mu of the pool guards it.
type reuseState struct {
	unnamed     engine.Reuse // kind of the last answer that named no request
	unnamedAt   time.Time    // when it was read; zero = there was none
	lastRequest uint64       // Serial of the request that used the connection last
}

// use records the request that uses a connection next; nil = a probe.
func (s *reuseState) use(r *engine.Request) {
	if r != nil {
		s.lastRequest = r.Serial
	}
}

// usableFor reports whether a request may use an idle connection. A request does not use the same connection
// twice: a copy of the answer to its earlier attempt carries the same id. A nil request is a probe.
func (c *conn) usableFor(r *engine.Request, now time.Time) bool {
	if r != nil && r.Serial != 0 && r.Serial == c.reuse.lastRequest {
		return false
	}
	if c.reuse.unnamedAt.IsZero() {
		return true
	}
	if r != nil && !r.Repeatable {
		return false
	}
	quiet := errorLineQuietPeriod
	if c.reuse.unnamed == engine.UnnamedAnswer {
		quiet = answerQuietPeriod
	}
	return now.Sub(c.reuse.unnamedAt) >= quiet
}

// noteAnswer records what was read from a connection.
func (pool *Pool) noteAnswer(c *conn, reuse engine.Reuse) {
	if reuse != engine.UnnamedError && reuse != engine.UnnamedAnswer {
		return
	}
	pool.guard.CountCheck(guard.Attribution)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	c.reuse.unnamed, c.reuse.unnamedAt = reuse, time.Now()
}

// hold reports an answer that names no request and keeps the connection with its attempt: the server may
// still be working on the attempt, if the line was a copy of an earlier one. The engine closes the connection
// before it begins another attempt of the request, by canceling this attempt, and calls Release once the
// request has its final answer. It reports whether the connection is still open.
func (c *conn) hold(work task, reply engine.Reply) bool {
	pool := c.target.pool
	c.holder = work.canceler
	pool.mu.Lock()
	closed := pool.closed
	if !closed {
		pool.held[c] = struct{}{}
	}
	pool.mu.Unlock()
	if closed {
		pool.put(c, false)
		work.handler.Done(reply)
		return false
	}
	reply.Held = c
	work.handler.Done(reply)
	return true
}

// Release implements engine.HeldConnection.
func (c *conn) Release() {
	pool := c.target.pool
	pool.mu.Lock()
	delete(pool.held, c)
	pool.mu.Unlock()
	open := c.holder.Detach() && !c.isDead()
	if open {
		c.unlink() // no other attempt of the request follows
	}
	if pool.put(c, open) && c.isDead() { // it ended in between
		pool.discard(c, io.EOF)
	}
}

// isDead reports whether the connection ended or received unexpected input while no task was running.
func (c *conn) isDead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// countUnsolicited counts a connection that is closed because of input that answers no command. err is the
// result of waiting for input; the end of a connection is none.
func (pool *Pool) countUnsolicited(c *conn, err error) {
	if err == nil || !errors.Is(err, io.EOF) && c.in.Buffered() > 0 {
		pool.guard.CountPrevented(guard.Attribution, "", "closed a connection to "+c.target.addr+": input that answers no command")
	}
}
