package front

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// slot is the place of a command's answer among those of its connection.
type slot struct {
	engine.RequestHandle
	c       *clientConn
	text    []byte // guarded by c.mu, as the others
	lane    int
	ready   bool
	request *engine.Request      // nil = the answer was known at once
	party   string               // who the answer is booked to
	long    engine.StreamedValue // the value behind text; nil = text is the answer
	class   string               // of such an answer's request
}

// debt is what is booked to a party for an answer that its client has not taken yet.
type debt struct {
	party string
	bytes int
}

// push makes a place for the answer to a command that has come.
func (c *clientConn) push(lane int) *slot {
	sl := &slot{c: c, lane: lane}
	c.mu.Lock()
	c.queue = append(c.queue, sl)
	c.mu.Unlock()
	return sl
}

// serve gives the answer to a request that ends with a long value: text is what comes ahead of it.
func (sl *slot) serve(text []byte, class string, long engine.StreamedValue) {
	sl.c.mu.Lock()
	sl.long, sl.class = long, class
	sl.c.mu.Unlock()
	sl.answer(text, true)
}

// drop lets go of a long value that nobody takes.
func (sl *slot) drop() {
	if sl.long != nil {
		sl.long.Discard()
		sl.c.s.e.StreamEnded(sl.class, false)
	}
}

// answer gives the answer to a command. It does not block. On the engine's goroutine the answers of a batch of events go out
// together.
func (sl *slot) answer(text []byte, engines bool) {
	c := sl.c
	party := c.s.e.ReserveAnswer(sl.request, len(text))
	sl.request = nil // its value need not wait for the client
	c.mu.Lock()
	defer c.mu.Unlock()
	sl.party = party
	if sl.lane > 0 {
		defer c.changed.Broadcast()
	}
	if sl.text, sl.ready = text, true; c.broken {
		c.s.e.ReleaseAnswer(party, len(text))
		sl.drop()
		return
	}
	switch {
	case c.writing > 0 || c.flushes || !c.queue[0].ready:
	case engines:
		c.flushes = true
		c.s.e.AtBatchEnd(c.flushed)
	default:
		out, _ := c.batch()
		c.s.wg.Go(func() { c.write(out) })
	}
}

// flush writes the answers that are there as far as that needs no waiting; a goroutine writes the rest.
func (c *clientConn) flush() {
	c.mu.Lock()
	c.flushes = false
	var out net.Buffers
	size := 0
	if !c.broken && c.writing == 0 && len(c.queue) > 0 && c.queue[0].ready {
		out, size = c.batch()
	}
	c.mu.Unlock()
	for len(out) > 0 {
		if c.last != nil || !c.quick(&out, size) {
			c.s.wg.Go(func() { c.write(out) })
			return
		}
		out, size = c.written(nil)
	}
}

// maxQuick bounds the bytes that are written without a goroutine of their own.
const maxQuick = 16 << 10

// quickWrite is one write that does not wait, with what it needs kept: a closure for each would cost an allocation.
type quickWrite struct {
	text []byte
	buf  []byte // for several answers in one write
	n    int
	do   func(fd uintptr) bool
}

func (q *quickWrite) write(fd uintptr) bool {
	q.n, _ = syscall.Write(int(fd), q.text) // an error shows when the rest is written
	return true
}

// quick writes what it can without waiting, leaves the rest in out, and says whether that is nothing.
func (c *clientConn) quick(out *net.Buffers, size int) bool {
	if c.raw == nil || size > maxQuick {
		return false
	}
	q := &c.once
	if q.text = (*out)[0]; len(*out) > 1 {
		q.buf = q.buf[:0]
		for _, b := range *out {
			q.buf = append(q.buf, b...)
		}
		q.text = q.buf
	}
	q.n = 0
	if err := c.raw.Write(q.do); err != nil {
		return false
	}
	q.text = nil
	if q.n = max(0, q.n); q.n >= size {
		return true
	}
	for left := q.n; left > 0; {
		n := min(left, len((*out)[0]))
		if left -= n; n == len((*out)[0]) {
			*out = (*out)[1:]
		} else {
			(*out)[0] = (*out)[0][n:]
		}
	}
	return false
}

// batch takes the answers that are there off the queue, in the order of the commands. The caller holds mu.
func (c *clientConn) batch() (out net.Buffers, size int) {
	c.writing = 0
	for len(c.queue) > 0 && c.queue[0].ready {
		sl := c.queue[0]
		out, size, c.owed = append(out, sl.text), size+len(sl.text), append(c.owed, debt{sl.party, len(sl.text)})
		c.queue, c.writing = c.queue[1:], c.writing+1
		if sl.long != nil { // the next answer comes behind the whole of it
			c.last = sl
			break
		}
	}
	return out, size
}

// write writes answers until none is there.
func (c *clientConn) write(out net.Buffers) {
	for len(out) > 0 {
		c.SetWriteDeadline(time.Now().Add(answerTime))
		_, err := out.WriteTo(c.Conn)
		for end := time.Now().Add(shortTime); sock.IsOutOfBuffers(err) && time.Now().Before(end); {
			time.Sleep(shortStep)
			_, err = out.WriteTo(c.Conn)
		}
		if sl := c.last; sl != nil { // nobody else looks at it while answers are being written
			c.last = nil
			err = c.pass(sl, err)
		}
		out, _ = c.written(err)
	}
}

// longEnd ends an answer with a long value. Without it the client can tell that the value is not whole.
var longEnd = []byte("\r\n")

// pass passes on the long value of an answer whose beginning was written, or not, which err says.
func (c *clientConn) pass(sl *slot, err error) error {
	if err != nil {
		sl.long.Discard()
	} else if err = sl.long.Stream(taker{c.Conn}); err == nil {
		_, err = taker{c.Conn}.Write(longEnd)
	}
	c.s.e.StreamEnded(sl.class, err == nil)
	return err
}

// taker is a client that takes a value in pieces, each in its time.
type taker struct{ net.Conn }

// Write writes a piece.
func (t taker) Write(b []byte) (int, error) {
	t.SetWriteDeadline(time.Now().Add(answerTime))
	n, err := t.Conn.Write(b)
	if err != nil {
		return n, fmt.Errorf("client: %w", err)
	}
	return n, nil
}

// written books what has been written and returns what is next.
func (c *clientConn) written(err error) (out net.Buffers, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.owed {
		c.s.e.ReleaseAnswer(d.party, d.bytes)
	}
	c.owed = c.owed[:0]
	c.changed.Broadcast()
	if err != nil && !c.broken {
		c.broken = true
		c.Close() // which ends the reader too; it tells the loop
	}
	if c.broken {
		c.writing = 0
		return nil, 0
	}
	if out, size = c.batch(); c.open() == 0 {
		c.queue = nil // and the answers that its array holds
		switch c.since = time.Now(); {
		case !c.closing:
			c.SetReadDeadline(c.since.Add(c.s.proto.Idle()))
		case !c.reading:
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return out, size
}
