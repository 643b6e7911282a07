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

// Limits on the streaming of a long value.
const (
	chunkBytes   = 16 << 10        // buffer size per streamed value
	chunkTimeout = 5 * time.Second // for the server to send the next bytes; the receiver limits its own time
)

// chunkBuffers recycles the buffers of streamed values.
var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, chunkBytes); return &b }}

// streamedValue is an unread value on a connection. It implements engine.StreamedValue. The goroutine that
// reads from the connection waits until done is closed.
type streamedValue struct {
	conn    *conn
	length  int
	trailer string // protocol text that follows the value
	done    chan struct{}

	mu       sync.Mutex
	claimed  bool // by Stream or Discard
	complete bool // the whole value was copied; valid once done is closed
}

// streamValue hands the value that follows on the connection to the handler and waits until it is consumed
// or discarded. It reports whether the connection was kept.
func (c *conn) streamValue(work task, reply engine.Reply, reuse engine.Reuse) bool {
	l := &streamedValue{conn: c, length: reply.UnreadBytes, trailer: reply.Trailer, done: make(chan struct{})}
	wanted := work.canceler.Detach() && c.target.pool.addStream(l)
	if wanted {
		reply.Streamed = l
		work.handler.Done(reply)
		<-l.done
		c.target.pool.removeStream(l)
	}
	reusable := wanted && l.complete && reuse == engine.Identified && c.readyForReuse()
	if reusable {
		c.unlink()
	}
	c.finishTask()
	kept := c.target.pool.put(c, reusable)
	if !wanted {
		work.handler.Done(engine.Reply{Status: decide.Reset, Load: reply.Load}) // canceled in the meantime
	}
	return kept
}

// addStream registers a streamed value. It returns false if the pool is closed.
func (pool *Pool) addStream(l *streamedValue) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if !pool.closed {
		pool.streams[l] = struct{}{}
	}
	return !pool.closed
}

func (pool *Pool) removeStream(l *streamedValue) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	delete(pool.streams, l)
}

// claim reports whether this is the first call of Stream or Discard.
func (l *streamedValue) claim() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.claimed
	l.claimed = true
	return first
}

// Len returns the length of the value in bytes.
func (l *streamedValue) Len() int { return l.length }

// Discard gives the value up, which closes its connection. It has no effect after Stream.
func (l *streamedValue) Discard() {
	if l.claim() {
		close(l.done)
	}
}

// Stream copies the value to a writer. It fails if the value was claimed before, if the writer fails or if
// the server does not send the whole value in time.
func (l *streamedValue) Stream(to io.Writer) error {
	if !l.claim() {
		return errors.New("long value: already streamed or discarded")
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
	c.readBudget, c.streaming, c.deadlineSet = l.length+len(l.trailer), true, true
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	for remaining := l.length; remaining > 0; {
		c.SetReadDeadline(time.Now().Add(chunkTimeout))
		n, err := c.in.Read((*buf)[:min(remaining, chunkBytes)])
		if _, writeErr := to.Write((*buf)[:n]); writeErr != nil {
			return fmt.Errorf("long value: writing to the receiver: %w", writeErr)
		}
		if remaining -= n; err != nil && remaining > 0 {
			return fmt.Errorf("long value: %d of %d bytes missing: %w", remaining, l.length, err)
		}
	}
	c.SetReadDeadline(time.Now().Add(chunkTimeout))
	trailer := make([]byte, len(l.trailer))
	if _, err := io.ReadFull(c.in, trailer); err != nil || string(trailer) != l.trailer {
		return fmt.Errorf("long value: unexpected trailer %q: %w", trailer, errors.Join(err, io.ErrUnexpectedEOF))
	}
	return nil
}
