package backend

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
)

// Bounds on a long value that passes through.
const (
	pieceSize = 16 << 10        // bytes of it in memory
	pieceTime = 5 * time.Second // for its server to give the next bytes; who takes them bounds its own time
)

// pieces are the buffers of values that pass through, as many as there are such values at once.
var pieces = sync.Pool{New: func() any { b := make([]byte, pieceSize); return &b }}

// long is a value on a connection, of which nothing is read. It is an engine.Streamed. The connection's reader waits until it is over.
type long struct {
	c    *conn
	n    int
	tail string // behind the value
	over chan struct{}

	mu    sync.Mutex
	taken bool // by Pass or Drop
	whole bool // valid once over
}

// passOn has the caller take the value that follows on the connection, and waits for the end of that. It tells whether the connection goes on.
func (c *conn) passOn(w work, reply engine.Reply, last bool) bool {
	l := &long{c: c, n: reply.UnreadBytes, tail: reply.Trailer, over: make(chan struct{})}
	wanted := w.stop.Detach() && c.t.pool.passing(l)
	if wanted {
		reply.Streamed = l
		w.caller.Done(reply)
		<-l.over
		c.t.pool.passed(l)
	}
	reuse := wanted && l.whole && !last && c.clean()
	c.over()
	kept := c.t.pool.put(c, reuse)
	if !wanted {
		w.caller.Done(engine.Reply{Status: decide.Reset, Load: reply.Load}) // given up meanwhile: a late result
	}
	return kept
}

// passing books a value, false where the pool has ended.
func (u *Pool) passing(l *long) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.ended {
		u.longs[l] = struct{}{}
	}
	return !u.ended
}

func (u *Pool) passed(l *long) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.longs, l)
}

// take says whether the caller is the first.
func (l *long) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.taken
	l.taken = true
	return first
}

// Len is engine.Streamed's.
func (l *long) Len() int { return l.n }

// Drop is engine.Streamed's.
func (l *long) Discard() {
	if l.take() {
		close(l.over)
	}
}

// Pass is engine.Streamed's.
func (l *long) Stream(to io.Writer) error {
	if !l.take() {
		return errors.New("long value: dropped")
	}
	defer close(l.over)
	if err := l.pass(to); err != nil {
		return err
	}
	l.whole = true
	return nil
}

func (l *long) pass(to io.Writer) error {
	c := l.c
	c.left, c.timed = l.n+len(l.tail), true // its time is bounded here from now on
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	for left := l.n; left > 0; {
		c.SetReadDeadline(time.Now().Add(pieceTime))
		n, err := c.in.Read((*buf)[:min(left, pieceSize)])
		if _, werr := to.Write((*buf)[:n]); werr != nil {
			return fmt.Errorf("long value: taking it: %w", werr)
		}
		if left -= n; err != nil && left > 0 {
			return fmt.Errorf("long value: %d of %d bytes are missing: %w", left, l.n, err)
		}
	}
	c.SetReadDeadline(time.Now().Add(pieceTime))
	end := make([]byte, len(l.tail))
	if _, err := io.ReadFull(c.in, end); err != nil || string(end) != l.tail {
		return fmt.Errorf("long value: its end is %q: %w", end, errors.Join(err, io.ErrUnexpectedEOF))
	}
	return nil
}
