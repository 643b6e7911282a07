package backend

import (
	"bytes"
	"io"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/sock"
)

// bufferedPut returns a write that the router's system accepts at once, and that the buffers of a server that reads
// nothing don't hold.
func bufferedPut() *engine.Request {
	r := putCommand()
	r.Value = bytes.Repeat([]byte("x"), 512<<10)
	return r
}

// arriveByHandler handles an attempt whose command must have arrived within a time limit.
type arriveByHandler struct {
	probeHandler
	within time.Duration
}

// Begin implements engine.AttemptHandler.
func (h arriveByHandler) Begin() (engine.Try, bool) {
	return engine.Try{DeadlineMS: 400, WriteBy: time.Now().Add(wait), ArriveBy: time.Now().Add(h.within)}, true
}

// checkIncomplete reads what arrives at a server and fails the test if it is the whole value.
func (p fakeServer) checkIncomplete(r *engine.Request) {
	p.t.Helper()
	n, err := io.Copy(io.Discard, p) // to the end of the connection, or its reset
	if n >= int64(len(r.Value)) {
		p.t.Errorf("%d bytes of the value have come after the attempt was given up, and it runs (%v)", n, err)
	}
}

// Guards against a repeat that arrives whole after the window in which servers drop it: its last bytes lay in the
// router's own system.
func TestCommandThatHasNotArrivedInTimeNeverDoes(t *testing.T) {
	_, endpoint, accept := newFakeServer(t, false)
	p := keepConn(t, endpoint, accept)
	h := arriveByHandler{probeHandler{make(chan engine.Reply, 1)}, 100 * time.Millisecond}
	r := bufferedPut()
	if got, known := endpoint.Attempt(&engine.Canceler{}, r, h); known {
		t.Fatalf("finished at once: %v", got.Status)
	}
	p.readCommand() // and reads no further for now
	if got := next(t, h.result, "end"); got.Status != decide.Reset && got.Status != decide.ConnectError {
		t.Errorf("got %v", got.Status)
	}
	p.checkIncomplete(r)
}

// Guards against a command that arrives whole after its attempt was given up, for its client or its deadline.
func TestCanceledCommandThatHasNotArrivedNeverDoes(t *testing.T) {
	_, endpoint, accept := newFakeServer(t, false)
	p := keepConn(t, endpoint, accept)
	var stop engine.Canceler
	r := bufferedPut()
	replies := startAttempt(t, endpoint, &stop, r)
	p.readCommand()
	stop.Cancel()
	next(t, replies, "end")
	p.checkIncomplete(r)
}

// Guards against attempts that are aborted though their command has arrived, and against a limit that outlasts its
// attempt and ends the next one on the connection.
func TestCommandThatHasArrivedIsNotAborted(t *testing.T) {
	const limit = 100 * time.Millisecond
	_, endpoint, accept := newFakeServer(t, false)
	p := keepConn(t, endpoint, accept)
	h := arriveByHandler{probeHandler{make(chan engine.Reply, 1)}, limit}
	if got, known := endpoint.Attempt(&engine.Canceler{}, putCommand(), h); known {
		t.Fatalf("finished at once: %v", got.Status)
	}
	p.readCommand()
	p.readCommand() // the value
	time.Sleep(2 * limit)
	p.send("HD Oa1 c77\r\n")
	if got := next(t, h.result, "receipt"); got.Status != decide.OK {
		t.Errorf("got %v", got.Status)
	}
	if !sock.IsIdle(p) {
		t.Error("the connection was not kept")
	}
}
