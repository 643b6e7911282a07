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
	chunkBytes   = 16 << 10        // bytes of it in memory
	chunkTimeout = 5 * time.Second // for its server to give the next bytes; who takes them bounds its own time
)

// chunkBuffers are the buffers of values that pass through, as many as there are such values at once.
var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// streamedValue is a value on a connection, of which nothing is read. It is an engine.Streamed. The connection's reader waits until it is over.
type streamedValue struct {
	conn    *conn
	length  int
	trailer string // behind the value
	done    chan struct{}

	mu       sync.Mutex
	claimed  bool // by Pass or Drop
	complete bool // valid once over
}

// streamValue has the caller take the value that follows on the connection, and waits for the end of that. It tells whether the connection goes on.
func (c *conn) streamValue(w task, reply engine.Reply, last bool) bool {
	l := &streamedValue{conn: c, length: reply.UnreadBytes, trailer: reply.Trailer, done: make(chan struct{})}
	wanted := w.canceler.Detach() && c.target.pool.addStream(l)
	if wanted {
		reply.Streamed = l
		w.handler.Done(reply)
		<-l.done
		c.target.pool.removeStream(l)
	}
	reuse := wanted && l.complete && !last && c.readyForReuse()
	c.finishTask()
	kept := c.target.pool.put(c, reuse)
	if !wanted {
		w.handler.Done(engine.Reply{Status: decide.Reset, Load: reply.Load}) // given up meanwhile: a late result
	}
	return kept
}

// addStream books a value, false where the pool has ended.
func (u *Pool) addStream(l *streamedValue) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.closed {
		u.streams[l] = struct{}{}
	}
	return !u.closed
}

func (u *Pool) removeStream(l *streamedValue) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.streams, l)
}

// takeIdle says whether the caller is the first.
func (l *streamedValue) claim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.claimed
	l.claimed = true
	return first
}

// Len is engine.Streamed's.
func (l *streamedValue) Len() int { return l.length }

// Drop is engine.Streamed's.
func (l *streamedValue) Discard() {
	if l.claim() {
		close(l.done)
	}
}

// Pass is engine.Streamed's.
func (l *streamedValue) Stream(to io.Writer) error {
	if !l.claim() {
		return errors.New("long value: dropped")
	}
	defer close(l.done)
	if err := l.copyTo(to); err != nil {
		return err
	}
	l.complete = true
	return nil
}

func (l *streamedValue) copyTo(to io.Writer) error {
	c := l.conn
	c.readBudget, c.deadlineSet = l.length+len(l.trailer), true // its time is bounded here from now on
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	for left := l.length; left > 0; {
		c.SetReadDeadline(time.Now().Add(chunkTimeout))
		n, err := c.in.Read((*buf)[:min(left, chunkBytes)])
		if _, werr := to.Write((*buf)[:n]); werr != nil {
			return fmt.Errorf("long value: taking it: %w", werr)
		}
		if left -= n; err != nil && left > 0 {
			return fmt.Errorf("long value: %d of %d bytes are missing: %w", left, l.length, err)
		}
	}
	c.SetReadDeadline(time.Now().Add(chunkTimeout))
	end := make([]byte, len(l.trailer))
	if _, err := io.ReadFull(c.in, end); err != nil || string(end) != l.trailer {
		return fmt.Errorf("long value: its end is %q: %w", end, errors.Join(err, io.ErrUnexpectedEOF))
	}
	return nil
}
