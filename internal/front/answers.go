package front

import (
	"errors"
	"fmt"
	"net"
	"os"
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
	awaited     bool                 // keeps a closing connection open
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

// enqueue appends an entry for the answer to a command that was read; isRequest is false if the answer is
// known at once.
func (c *clientConn) enqueue(orderKey int, isRequest bool) *pendingAnswer {
	pending := &pendingAnswer{conn: c, orderKey: orderKey}
	c.mu.Lock()
	if isRequest && c.closing.awaits() {
		pending.awaited = true
		c.closing.awaited++
	}
	c.queue = append(c.queue, pending)
	c.mu.Unlock()
	return pending
}

// completeStream sets an answer that ends with a long value; text precedes it.
func (a *pendingAnswer) completeStream(text []byte, streamClass string, stream engine.StreamedValue) {
	a.conn.mu.Lock()
	a.stream, a.streamClass = stream, streamClass
	a.conn.mu.Unlock()
	a.complete(text, true)
}

// bytes returns the size of the answer.
func (a *pendingAnswer) bytes() int {
	if a.stream == nil {
		return len(a.text)
	}
	return len(a.text) + a.stream.Len()
}

// discardStream releases a long value that will not be written.
func (a *pendingAnswer) discardStream() {
	if a.stream != nil {
		a.stream.Discard()
		a.conn.manager.engine.StreamEnded(a.streamClass, false)
	}
}

// complete sets the answer to a command. It does not block. Answers set on the engine's goroutine
// (onEngine) are written together at the end of its batch of events.
func (a *pendingAnswer) complete(text []byte, onEngine bool) {
	conn := a.conn
	tenant := conn.manager.engine.ReserveAnswer(a.request, len(text))
	a.request = nil // releases the request's value while the client takes the answer
	conn.mu.Lock()
	defer conn.mu.Unlock()
	a.tenant = tenant
	if conn.closing.active {
		conn.lastAnswered = time.Now()
	}
	if a.orderKey > 0 {
		defer conn.queueChanged.Broadcast()
	}
	if a.text, a.ready = text, true; conn.broken {
		conn.manager.engine.ReleaseAnswer(tenant, len(text))
		a.discardStream()
		return
	}
	switch {
	case conn.answersInWrite > 0 || conn.flushScheduled || !conn.queue[0].ready:
	case onEngine:
		conn.flushScheduled = true
		conn.manager.engine.AtBatchEnd(conn.flushFunc)
	default:
		out, _ := conn.takeReady()
		conn.manager.wg.Go(func() { conn.writeAnswers(out) })
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

func (w *nonBlockingWrite) write(fd uintptr) bool {
	w.written, _ = syscall.Write(int(fd), w.text) // an error recurs when the rest is written
	return true
}

// tryDirectWrite writes what it can without blocking and leaves the rest in out. Reports whether everything
// was written.
func (c *clientConn) tryDirectWrite(out *net.Buffers, size int) bool {
	if c.rawConn == nil || size > maxDirectWriteBytes {
		return false
	}
	w := &c.directWrite
	if w.text = (*out)[0]; len(*out) > 1 {
		w.buf = w.buf[:0]
		for _, b := range *out {
			w.buf = append(w.buf, b...)
		}
		w.text = w.buf
	}
	w.written = 0
	if err := c.rawConn.Write(w.writeFunc); err != nil {
		return false
	}
	w.text = nil
	if w.written = max(0, w.written); w.written >= size {
		return true
	}
	for left := w.written; left > 0; {
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
	c.answersInWrite, c.awaitedInWrite = 0, 0
	for len(c.queue) > 0 && c.queue[0].ready {
		pending := c.queue[0]
		if pending.awaited {
			c.awaitedInWrite++
		}
		out, size, c.reservations = append(out, pending.text), size+len(pending.text), append(c.reservations, answerReservation{pending.tenant, len(pending.text)})
		c.queue, c.answersInWrite = c.queue[1:], c.answersInWrite+1
		c.noteAnswerSize(pending.bytes())
		if pending.stream != nil { // the next answer follows the complete value
			c.streaming = pending
			break
		}
	}
	return out, size
}

// writeAnswers writes answers until none is ready.
func (c *clientConn) writeAnswers(out net.Buffers) {
	for len(out) > 0 {
		err := writeWithProgress(c.Conn, &out, answerWriteTimeout)
		for end := time.Now().Add(bufferRetryTimeout); sock.IsOutOfBuffers(err) && time.Now().Before(end); {
			time.Sleep(bufferRetryInterval)
			err = writeWithProgress(c.Conn, &out, answerWriteTimeout)
		}
		if pending := c.streaming; pending != nil { // used only by the writer
			c.streaming = nil
			err = c.writeStream(pending, err)
		}
		out, _ = c.finishWrite(err)
	}
}

// writeWithProgress writes buffers, however long that takes, as long as some of it is written in each span of
// the given length.
func writeWithProgress(c net.Conn, out *net.Buffers, span time.Duration) error {
	for {
		c.SetWriteDeadline(time.Now().Add(span))
		n, err := out.WriteTo(c)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
	}
}

// streamTerminator ends an answer with a long value. If it is missing, the client can tell that the value
// is incomplete.
var streamTerminator = []byte("\r\n")

// writeStream writes the long value of an answer to the client. err is the result of writing the text
// before it; if it is set, the value is discarded.
func (c *clientConn) writeStream(pending *pendingAnswer, err error) error {
	if err != nil {
		pending.stream.Discard()
	} else if err = pending.stream.Stream(deadlineWriter{c.Conn}); err == nil {
		_, err = deadlineWriter{c.Conn}.Write(streamTerminator)
	}
	c.manager.engine.StreamEnded(pending.streamClass, err == nil)
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
	for _, reservation := range c.reservations {
		c.manager.engine.ReleaseAnswer(reservation.tenant, reservation.bytes)
	}
	c.reservations = c.reservations[:0]
	c.closing.answered(c.awaitedInWrite)
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
		case !c.closing.active:
			c.SetReadDeadline(c.idleSince.Add(c.manager.protocol.Idle()))
		case c.reading:
			c.updateCommandDeadline()
		default:
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return out, size
}
