package backend

import (
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
)

// slowHandler is the handler of an attempt whose answer comes slowly.
type slowHandler struct {
	probeHandler
	answerBy time.Time
	begun    chan struct{} // capacity 1
}

func newSlowHandler(left time.Duration) slowHandler {
	return slowHandler{probeHandler{make(chan engine.Reply, 1)}, time.Now().Add(left), make(chan struct{}, 1)}
}

func (h slowHandler) Begin() (engine.Try, bool) {
	return engine.Try{DeadlineMS: 400, WriteBy: h.answerBy, AnswerBy: h.answerBy}, true
}

func (h slowHandler) AnswerBegun() { h.begun <- struct{}{} }

// Guards against an answer that is cut off a fixed time after its first byte, though its client still waits.
func TestAnswerThatComesSlowlyIsReadToItsEnd(t *testing.T) {
	_, endpoint, accept := newFakeServer(t, false)
	h := newSlowHandler(wait)
	if got, known := endpoint.Attempt(&engine.Canceler{}, getCommand(), h); known {
		t.Fatalf("finished at once: %v", got.Status)
	}
	p := accept()
	p.readCommand()
	p.send("VA 5 Oa1 h1\r\nhe")
	next(t, h.begun, "begin of the answer")
	time.Sleep(2 * minStall)
	p.send("l")
	time.Sleep(2 * minStall)
	p.send("lo\r\n")
	if got := next(t, h.result, "answer"); got.Status != decide.OK || string(got.Body) != "hello" {
		t.Errorf("got %v, %q", got.Status, got.Body)
	}
}

// Guards against a head that never ends and holds its request until the client's deadline, with no time left for
// a retry.
func TestHeadThatStopsShortLeavesTimeForARetry(t *testing.T) {
	_, endpoint, accept := newFakeServer(t, false)
	h := newSlowHandler(4 * minStall)
	if got, known := endpoint.Attempt(&engine.Canceler{}, getCommand(), h); known {
		t.Fatalf("finished at once: %v", got.Status)
	}
	p := accept()
	p.readCommand()
	p.send("VA 5 Oa")
	if got := next(t, h.result, "end"); got.Status != decide.InvalidAnswer {
		t.Errorf("got %v", got.Status)
	}
	if left := time.Until(h.answerBy); left < minStall {
		t.Errorf("%v are left for a retry, %v at least", left, minStall)
	}
}
