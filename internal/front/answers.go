package front

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// pendingAnswer is the entry of a command in its connection's answer queue.
type pendingAnswer struct {
	engine.RequestHandle
	conn        *clientConn
	text        []byte // guarded by conn.mu, as are the fields below
	orderKey    int
	ready       bool
	request     *engine.Request      // nil = the answer was known at once
	tenant      string               // charged for the memory of the answer
	stream      engine.StreamedValue // long value that follows text; nil = text is the whole answer
	streamClass string               // class of the request, if stream is set
}

// answerReservation is memory charged to a tenant for an answer that is not written to the client yet.
type answerReservation struct {
	tenant string
	bytes  int
}

// enqueue appends an entry for the answer to a command that was read.
func (c *clientConn) enqueue(lane int) *pendingAnswer {
	sl := &pendingAnswer{conn: c, orderKey: lane}
	c.mu.Lock()
	c.queue = append(c.queue, sl)
	c.mu.Unlock()
	return sl
}

// completeStream sets an answer that ends with a long value; text precedes it.
func (sl *pendingAnswer) completeStream(text []byte, streamClass string, stream engine.StreamedValue) {
	sl.conn.mu.Lock()
	sl.stream, sl.streamClass = stream, streamClass
	sl.conn.mu.Unlock()
	sl.complete(text, true)
}

// discardStream releases a long value that will not be written.
func (sl *pendingAnswer) discardStream() {
	if sl.stream != nil {
		sl.stream.Discard()
		sl.conn.manager.engine.StreamEnded(sl.streamClass, false)
	}
}

// complete sets the answer to a command. It does not block. Answers set on the engine's goroutine
// (onEngine) are written together at the end of its batch of events.
func (sl *pendingAnswer) complete(text []byte, onEngine bool) {
	c := sl.conn
	tenant := c.manager.engine.ReserveAnswer(sl.request, len(text))
	sl.request = nil // releases the request's value while the client takes the answer
	c.mu.Lock()
	defer c.mu.Unlock()
	sl.tenant = tenant
	if sl.orderKey > 0 {
		defer c.queueChanged.Broadcast()
	}
	if sl.text, sl.ready = text, true; c.broken {
		c.manager.engine.ReleaseAnswer(tenant, len(text))
		sl.discardStream()
		return
	}
	switch {
	case c.answersInWrite > 0 || c.flushScheduled || !c.queue[0].ready:
	case onEngine:
		c.flushScheduled = true
		c.manager.engine.AtBatchEnd(c.flushFunc)
	default:
		out, _ := c.takeReady()
		c.manager.wg.Go(func() { c.writeAnswers(out) })
	}
}

// flushAnswers writes the answers that are ready, as far as possible without blocking; a goroutine writes
// the rest.
func (c *clientConn) flushAnswers() {
	c.mu.Lock()
	c.flushScheduled = false
	var out net.Buffers
	size := 0
	if !c.broken && c.answersInWrite == 0 && len(c.queue) > 0 && c.queue[0].ready {
		out, size = c.takeReady()
	}
	c.mu.Unlock()
	for len(out) > 0 {
		if c.streaming != nil || !c.tryDirectWrite(&out, size) {
			c.manager.wg.Go(func() { c.writeAnswers(out) })
			return
		}
		out, size = c.finishWrite(nil)
	}
}

// maxDirectWriteBytes is the maximum size of a write without its own goroutine.
const maxDirectWriteBytes = 16 << 10

// nonBlockingWrite holds the state of one non-blocking write. It is reused, as a closure per write would
// cost an allocation.
type nonBlockingWrite struct {
	text      []byte
	buf       []byte // to join several answers into one write
	written   int
	writeFunc func(fd uintptr) bool
}

func (q *nonBlockingWrite) write(fd uintptr) bool {
	q.written, _ = syscall.Write(int(fd), q.text) // an error recurs when the rest is written
	return true
}

// tryDirectWrite writes what it can without blocking and leaves the rest in out. Reports whether everything
// was written.
func (c *clientConn) tryDirectWrite(out *net.Buffers, size int) bool {
	if c.rawConn == nil || size > maxDirectWriteBytes {
		return false
	}
	q := &c.directWrite
	if q.text = (*out)[0]; len(*out) > 1 {
		q.buf = q.buf[:0]
		for _, b := range *out {
			q.buf = append(q.buf, b...)
		}
		q.text = q.buf
	}
	q.written = 0
	if err := c.rawConn.Write(q.writeFunc); err != nil {
		return false
	}
	q.text = nil
	if q.written = max(0, q.written); q.written >= size {
		return true
	}
	for left := q.written; left > 0; {
		n := min(left, len((*out)[0]))
		if left -= n; n == len((*out)[0]) {
			*out = (*out)[1:]
		} else {
			(*out)[0] = (*out)[0][n:]
		}
	}
	return false
}

// takeReady removes the ready answers at the head of the queue, in the order of the commands. The caller
// holds mu.
func (c *clientConn) takeReady() (out net.Buffers, size int) {
	c.answersInWrite = 0
	for len(c.queue) > 0 && c.queue[0].ready {
		sl := c.queue[0]
		out, size, c.reservations = append(out, sl.text), size+len(sl.text), append(c.reservations, answerReservation{sl.tenant, len(sl.text)})
		c.queue, c.answersInWrite = c.queue[1:], c.answersInWrite+1
		if sl.stream != nil { // the next answer follows the complete value
			c.streaming = sl
			break
		}
	}
	return out, size
}

// writeAnswers writes answers until none is ready.
func (c *clientConn) writeAnswers(out net.Buffers) {
	for len(out) > 0 {
		c.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		_, err := out.WriteTo(c.Conn)
		for end := time.Now().Add(bufferRetryTimeout); sock.Short(err) && time.Now().Before(end); {
			time.Sleep(bufferRetryInterval)
			_, err = out.WriteTo(c.Conn)
		}
		if sl := c.streaming; sl != nil { // used only by the writer
			c.streaming = nil
			err = c.writeStream(sl, err)
		}
		out, _ = c.finishWrite(err)
	}
}

// streamTerminator ends an answer with a long value. If it is missing, the client can tell that the value
// is incomplete.
var streamTerminator = []byte("\r\n")

// writeStream writes the long value of an answer to the client. err is the result of writing the text
// before it; if it is set, the value is discarded.
func (c *clientConn) writeStream(sl *pendingAnswer, err error) error {
	if err != nil {
		sl.stream.Discard()
	} else if err = sl.stream.Stream(deadlineWriter{c.Conn}); err == nil {
		_, err = deadlineWriter{c.Conn}.Write(streamTerminator)
	}
	c.manager.engine.StreamEnded(sl.streamClass, err == nil)
	return err
}

// deadlineWriter writes to a client with a new deadline for each write.
type deadlineWriter struct{ net.Conn }

// Write writes b within answerWriteTimeout.
func (t deadlineWriter) Write(b []byte) (int, error) {
	t.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	n, err := t.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("client: %w", err)
	}
	return n, nil
}

// finishWrite releases the reservations of the answers that were written and returns the next ready
// answers.
func (c *clientConn) finishWrite(err error) (out net.Buffers, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.reservations {
		c.manager.engine.ReleaseAnswer(d.tenant, d.bytes)
	}
	c.reservations = c.reservations[:0]
	c.queueChanged.Broadcast()
	if err != nil && !c.broken {
		c.broken = true
		c.Close() // this also ends the reader, which informs the engine
	}
	if c.broken {
		c.answersInWrite = 0
		return nil, 0
	}
	if out, size = c.takeReady(); c.openCommands() == 0 {
		c.queue = nil // releases the answers that the backing array still holds
		switch c.idleSince = time.Now(); {
		case !c.closing:
			c.SetReadDeadline(c.idleSince.Add(c.manager.protocol.Idle()))
		case !c.reading:
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return out, size
}
