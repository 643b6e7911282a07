package backend

import (
	"bytes"
	"io"
	"testing"

	"mossproxy.example/mossproxy/internal/engine"
)

// bufferedPut returns a write that the router's system accepts at once, and that the buffers of a server that reads
// nothing don't hold.
func bufferedPut() *engine.Request {
	r := putCommand()
	r.Value = bytes.Repeat([]byte("x"), 512<<10)
	return r
}

// checkIncomplete reads what arrives at a server and fails the test if it is the whole value.
func (p fakeServer) checkIncomplete(r *engine.Request) {
	p.t.Helper()
	n, err := io.Copy(io.Discard, p) // to the end of the connection, or its reset
	if n >= int64(len(r.Value)) {
		p.t.Errorf("%d bytes of the value have come after the attempt was given up, and it runs (%v)", n, err)
	}
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
