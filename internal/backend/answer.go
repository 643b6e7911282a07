package backend

import (
	"errors"
	"fmt"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/guard"
)

// serve reads from the connection until it ends. It runs on the goroutine that opened the connection.
func (c *conn) serve() {
	for c.serveOne() {
	}
}

// serveOne reads one answer. It reports whether the connection is still open.
func (c *conn) serveOne() bool {
	err := c.awaitAnswer()
	c.mu.Lock()
	if c.dead || !c.busy {
		c.dead = true
		c.mu.Unlock()
		c.target.pool.discard(c, err)
		return false
	}
	work, r := c.task, c.remainder
	c.answerBy = work.try.AnswerBy
	c.mu.Unlock()
	reply, reuse, err := c.readAnswer(work, err)
	if r != nil {
		<-r.done
		if r.err != nil {
			reply, err = engine.Reply{Status: decide.ConnectError, Load: decide.NoLoad}, r.err
		}
	}
	if err == nil && reply.UnreadBytes > 0 {
		return c.streamValue(work, reply, reuse)
	}
	if err != nil || !c.readyForReuse() {
		reuse = engine.NoReuse
	}
	c.traceAnswered(&work, reuse)
	c.finishTask()
	return c.finishAnswer(work, reply, reuse)
}

// finishAnswer returns the connection to the pool or closes it, and reports the answer. It reports whether
// the connection is still open.
func (c *conn) finishAnswer(work task, reply engine.Reply, reuse engine.Reuse) bool {
	if reuse == engine.Identified {
		c.unlink()
	}
	c.target.pool.noteAnswer(c, reuse)
	if work.request != nil && (reuse == engine.UnnamedError || reuse == engine.UnnamedAnswer) {
		return c.hold(work, reply)
	}
	kept := c.target.pool.put(c, work.canceler.Detach() && reuse != engine.NoReuse)
	work.handler.Done(reply)
	return kept
}

// finishTask clears the finished task.
func (c *conn) finishTask() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopArrivalTimer()
	c.busy, c.task, c.remainder = false, task{}, nil
}

// readAnswer reads the answer to a task. err is the result of waiting for its first byte.
func (c *conn) readAnswer(work task, err error) (a engine.Reply, reuse engine.Reuse, _ error) {
	a.Load = decide.NoLoad
	if err != nil { // the connection ended after the last byte of the command: it may have run
		a.Status = decide.Reset
		return a, engine.NoReuse, err
	}
	proto := c.target.proto
	if work.number == 1 {
		err = proto.ReadPreambleReply(c.in)
	}
	switch {
	case err != nil:
	case work.request == nil:
		a.Status = decide.OK
		a.Load, reuse, err = proto.ReadLoad(c.in)
	default:
		a, reuse, err = proto.ReadAnswer(c.in, c.target.addr, work.request, work.try, c.headFunc)
		if err == nil {
			reuse, err = c.passBarrier(work, reuse)
		}
	}
	// Wait for the first byte of the value: until the handler is notified, a retry is possible.
	if err == nil && a.UnreadBytes > 0 {
		_, err = c.in.Peek(1)
	}
	if err != nil { // invalid or incomplete: the request has run, and the server was working
		c.traceIncomplete(&work, err)
		a = engine.Reply{Status: decide.InvalidAnswer, Load: a.Load}
		c.target.pool.guard.CountPrevented(guard.Attribution, work.requestID(), err.Error())
	}
	return a, reuse, err
}

// errNoProof is the error of an answer that may be a copy of an earlier one.
var errNoProof = errors.New("the server rejects the command that proves which answer is which")

// passBarrier reads the reply to the barrier behind a command, if the protocol has one. Only the first answer
// of a connection is accepted without it, as no other can be on its way, and the connection is not used again.
func (c *conn) passBarrier(work task, reuse engine.Reuse) (engine.Reuse, error) {
	if !work.barrier {
		return reuse, nil
	}
	proven, err := c.target.proto.ReadBarrierReply(c.in, work.number)
	switch {
	case err != nil:
		return engine.NoReuse, fmt.Errorf("barrier: %w", err)
	case proven:
		return reuse, nil
	case work.number > 1:
		return engine.NoReuse, errNoProof
	}
	return engine.NoReuse, nil
}

// requestID returns the id of the request of a task, for logs.
func (w *task) requestID() string {
	if w.request == nil {
		return "probe"
	}
	return w.request.ID
}
