package front

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// pendingAnswer is the place of a command's answer among those of its connection.
type pendingAnswer struct {
	engine.RequestHandle
	conn        *clientConn
	text        []byte // guarded by c.mu, as the others
	orderKey    int
	ready       bool
	request     *engine.Request      // nil = the answer was known at once
	tenant      string               // who the answer is booked to
	stream      engine.StreamedValue // the value behind text; nil = text is the answer
	streamClass string               // of such an answer's request
}

// answerReservation is what is booked to a party for an answer that its client has not taken yet.
type answerReservation struct {
	tenant string
	bytes  int
}

// enqueue makes a place for the answer to a command that has come.
func (c *clientConn) enqueue(lane int) *pendingAnswer {
	sl := &pendingAnswer{conn: c, orderKey: lane}
	c.mu.Lock()
	c.queue = append(c.queue, sl)
	c.mu.Unlock()
	return sl
}

// completeStream gives the answer to a request that ends with a long value: text is what comes ahead of it.
func (sl *pendingAnswer) completeStream(text []byte, class string, long engine.StreamedValue) {
	sl.conn.mu.Lock()
	sl.stream, sl.streamClass = long, class
	sl.conn.mu.Unlock()
	sl.complete(text, true)
}

// discardStream lets go of a long value that nobody takes.
func (sl *pendingAnswer) discardStream() {
	if sl.stream != nil {
		sl.stream.Discard()
		sl.conn.manager.engine.StreamEnded(sl.streamClass, false)
	}
}

// complete gives the answer to a command. It does not block. On the engine's goroutine the answers of a batch of events go out
// together.
func (sl *pendingAnswer) complete(text []byte, engines bool) {
	c := sl.conn
	party := c.manager.engine.ReserveAnswer(sl.request, len(text))
	sl.request = nil // its value need not wait for the client
	c.mu.Lock()
	defer c.mu.Unlock()
	sl.tenant = party
	if sl.orderKey > 0 {
		defer c.queueChanged.Broadcast()
	}
	if sl.text, sl.ready = text, true; c.broken {
		c.manager.engine.ReleaseAnswer(party, len(text))
		sl.discardStream()
		return
	}
	switch {
	case c.answersInWrite > 0 || c.flushScheduled || !c.queue[0].ready:
	case engines:
		c.flushScheduled = true
		c.manager.engine.AtBatchEnd(c.flushFunc)
	default:
		out, _ := c.takeReady()
		c.manager.wg.Go(func() { c.writeAnswers(out) })
	}
}

// flushAnswers writes the answers that are there as far as that needs no waiting; a goroutine writes the rest.
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

// maxDirectWriteBytes bounds the bytes that are written without a goroutine of their own.
const maxDirectWriteBytes = 16 << 10

// nonBlockingWrite is one write that does not wait, with what it needs kept: a closure for each would cost an allocation.
type nonBlockingWrite struct {
	text      []byte
	buf       []byte // for several answers in one write
	written   int
	writeFunc func(fd uintptr) bool
}

func (q *nonBlockingWrite) write(fd uintptr) bool {
	q.written, _ = syscall.Write(int(fd), q.text) // an error shows when the rest is written
	return true
}

// tryDirectWrite writes what it can without waiting, leaves the rest in out, and says whether that is nothing.
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

// takeReady takes the answers that are there off the queue, in the order of the commands. The caller holds mu.
func (c *clientConn) takeReady() (out net.Buffers, size int) {
	c.answersInWrite = 0
	for len(c.queue) > 0 && c.queue[0].ready {
		sl := c.queue[0]
		out, size, c.reservations = append(out, sl.text), size+len(sl.text), append(c.reservations, answerReservation{sl.tenant, len(sl.text)})
		c.queue, c.answersInWrite = c.queue[1:], c.answersInWrite+1
		if sl.stream != nil { // the next answer comes behind the whole of it
			c.streaming = sl
			break
		}
	}
	return out, size
}

// writeAnswers writes answers until none is there.
func (c *clientConn) writeAnswers(out net.Buffers) {
	for len(out) > 0 {
		c.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
		_, err := out.WriteTo(c.Conn)
		for end := time.Now().Add(bufferRetryTimeout); sock.IsOutOfBuffers(err) && time.Now().Before(end); {
			time.Sleep(bufferRetryInterval)
			_, err = out.WriteTo(c.Conn)
		}
		if sl := c.streaming; sl != nil { // nobody else looks at it while answers are being written
			c.streaming = nil
			err = c.writeStream(sl, err)
		}
		out, _ = c.finishWrite(err)
	}
}

// streamTerminator ends an answer with a long value. Without it the client can tell that the value is not whole.
var streamTerminator = []byte("\r\n")

// writeStream passes on the long value of an answer whose beginning was written, or not, which err says.
func (c *clientConn) writeStream(sl *pendingAnswer, err error) error {
	if err != nil {
		sl.stream.Discard()
	} else if err = sl.stream.Stream(deadlineWriter{c.Conn}); err == nil {
		_, err = deadlineWriter{c.Conn}.Write(streamTerminator)
	}
	c.manager.engine.StreamEnded(sl.streamClass, err == nil)
	return err
}

// deadlineWriter is a client that takes a value in pieces, each in its time.
type deadlineWriter struct{ net.Conn }

// Write writes a piece.
func (t deadlineWriter) Write(b []byte) (int, error) {
	t.SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	n, err := t.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("client: %w", err)
	}
	return n, nil
}

// finishWrite books what has been written and returns what is next.
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
		c.Close() // which ends the reader too; it tells the loop
	}
	if c.broken {
		c.answersInWrite = 0
		return nil, 0
	}
	if out, size = c.takeReady(); c.openCommands() == 0 {
		c.queue = nil // and the answers that its array holds
		switch c.idleSince = time.Now(); {
		case !c.closing:
			c.SetReadDeadline(c.idleSince.Add(c.manager.protocol.Idle()))
		case !c.reading:
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return out, size
}
