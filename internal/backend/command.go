package backend

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// remainder is the part of a command that the socket did not accept at once.
type remainder struct {
	done chan struct{} // closed once it is written or has failed
	err  error         // valid once done is closed
}

// startResult is the result of starting a task.
type startResult int

const (
	started     startResult = iota
	unusable                // the connection ended or received unexpected input; nothing was written
	canceled                // the task is no longer wanted; nothing was written
	unsupported             // the protocol cannot express the request; nothing was written
	writeFailed             // the last byte was not written, so the request cannot have run
)

// connReusable reports whether the connection is unaffected.
func (r startResult) connReusable() bool { return r == canceled || r == unsupported }

// start starts a task on a connection that was taken from the pool or has just been opened, without waiting
// for the socket.
func (c *conn) start(work task) startResult {
	work.canceler.OnCancel(c.abort) // first, as the answer may be read before start returns
	got := c.beginTask(work)
	if got != started {
		work.canceler.Detach()
	}
	return got
}

// beginTask is start without cancellation. It acquires mu.
func (c *conn) beginTask(work task) startResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return unusable
	}
	work.number = c.commands + 1
	// The TLS layer is writing records of its own; do not wait for it.
	if c.tls != nil && !c.tls.mu.TryLock() {
		return unusable
	}
	c.task = work
	c.writeOp.buf, c.writeOp.n, c.writeOp.err = nil, 0, nil
	err := c.raw.Write(c.writeOp.run)
	encoded := c.writeOp.buf // with TLS, the records
	c.writeOp.buf = nil
	got := c.writeResult(err)
	if got != started {
		c.releaseTLS()
		c.task, c.dead = task{}, c.dead || !got.connReusable()
		return got
	}
	c.commands, c.busy, c.remainder = work.number, true, nil
	c.limitArrival()
	c.traceWritten(&work)
	if c.writeOp.n < len(encoded) {
		c.remainder = &remainder{done: make(chan struct{})}
		go c.writeRemainder(encoded[c.writeOp.n:], c.remainder, c.task.try.WriteBy, work.handler)
		return started
	}
	c.releaseTLS()
	work.handler.Written()
	return started
}

// releaseTLS lets the TLS layer write again, once a command is written or has failed.
func (c *conn) releaseTLS() {
	if c.tls != nil {
		c.tls.mu.Unlock()
	}
}

// errCanceled is returned by writeCommand for a task that is no longer wanted.
var errCanceled = errors.New("task canceled")

// errUnusable is returned by writeCommand for a connection with unread input or that has ended.
var errUnusable = errors.New("connection not idle")

// errUnsupported is returned by writeCommand for a request that the protocol cannot express.
var errUnsupported = errors.New("request not supported by the protocol")

// writeCommand encodes and writes the command of the task, after a last check that the connection is idle. On
// a connection that has ended or been reset, the request would fail with a reset, which may have run; on one
// with unread input, it would be given that as its answer.
func (c *conn) writeCommand(fd uintptr) bool {
	op := &c.writeOp
	if !sock.IsIdleFD(fd) && (c.tls == nil || c.commands > 0) { // session tickets may follow a handshake
		op.err = errUnusable
		return true
	}
	var wanted bool
	if c.task.try, wanted = c.task.handler.Begin(); !wanted {
		op.err = errCanceled
		return true
	}
	if op.buf, op.err = c.encodeCommand(); op.err != nil {
		return true
	}
	if c.tls != nil {
		if op.buf, op.err = c.tls.encrypt(op.buf); op.err != nil {
			return true
		}
	}
	c.openLink()
	n, err := syscall.Write(int(fd), op.buf)
	if op.n = max(n, 0); err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		op.err = fmt.Errorf("writing: %w", err)
	}
	return true
}

// openLink marks the attempt of the task as in progress on this connection.
func (c *conn) openLink() {
	if l := c.task.handler.Link(); l != nil {
		l.Open()
		c.link.Store(l)
	}
	if c.shut.Load() { // in between: the write fails
		c.unlink()
	}
}

// encodeCommand returns the bytes to write for the task.
func (c *conn) encodeCommand() ([]byte, error) {
	work := &c.task
	encoded := []byte(work.probe)
	if work.request != nil {
		var err error
		if encoded, err = c.target.proto.Command(c.target.addr, work.request, work.try); err != nil {
			return nil, fmt.Errorf("%w: %w", errUnsupported, err)
		}
		barrier := c.target.proto.Barrier(work.number)
		work.barrier = len(barrier) > 0
		encoded = append(encoded, barrier...)
	}
	if work.number == 1 {
		encoded = append(c.target.proto.Preamble(), encoded...)
	}
	return encoded, nil
}

// writeResult converts the outcome of writeCommand. If err, the error of the socket, is not nil, writeCommand
// did not run.
func (c *conn) writeResult(err error) startResult {
	switch {
	case err != nil || errors.Is(c.writeOp.err, errUnusable):
		return unusable
	case errors.Is(c.writeOp.err, errCanceled):
		return canceled
	case errors.Is(c.writeOp.err, errUnsupported):
		return unsupported
	case c.writeOp.err != nil:
		return writeFailed
	}
	return started
}

// writeRemainder writes the rest of a command by a deadline. Without its last byte the server has not started
// the command.
func (c *conn) writeRemainder(encoded []byte, r *remainder, deadline time.Time, handler engine.AttemptHandler) {
	defer close(r.done)
	defer c.releaseTLS()
	err := c.SetWriteDeadline(deadline)
	if err == nil {
		_, err = c.Conn.Write(encoded)
	}
	if err != nil {
		r.err = err
		c.closeFor(closeWrite) // the answer can no longer be trusted
		return
	}
	if c.SetWriteDeadline(time.Time{}) != nil {
		c.closeFor(closeWrite) // the command was written: it may have run
	}
	handler.Written()
}
