package decide

import (
	"slices"
	"testing"
)

// readOnOneOf sends a read to one of four servers, without hedging, and returns that server.
func readOnOneOf(t *testing.T, left float64) (*Balancer, *fakeHost, *server) {
	t.Helper()
	cfg := testConfig()
	cfg.Copies = false
	h := newHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Servers(100000, Full, fleet(4))
	b.Request(100010, Request{ID: 7, Class: "read", Key: 42, HasKey: true, Left: left})
	if len(h.sends) != 1 {
		t.Fatalf("sent %v", h.sends)
	}
	return b, h, b.servers[h.last().server]
}

// beginSlowRead sends a read whose answer then begins.
func beginSlowRead(t *testing.T) (*Balancer, *fakeHost, *server) {
	t.Helper()
	b, h, s := readOnOneOf(t, 2500)
	b.AnswerBegun(100030, 7, 0)
	return b, h, s
}

// Guards against a sound answer that is cut off as stalled while it comes slowly.
func TestAttemptWhoseAnswerHasBegunIsNeitherCanceledNorRepeated(t *testing.T) {
	b, h, s := beginSlowRead(t)
	s.answeredSentAt = 100020 // by the answer to a later attempt
	for range 3 {             // a first timer of an overtaken attempt only sets a second one
		for _, due := range slices.Clone(h.timers) {
			b.Timer(100250, due.token)
		}
	}
	if len(h.sends) != 1 || len(h.cancels) != 0 || s.ejected {
		t.Errorf("sent to %v, canceled %v, ejected %v", h.sends, h.cancels, s.ejected)
	}
	b.Outcome(100600, Outcome{ID: 7, Server: s.ID, Status: OK, Latency: 590, Final: true, Load: NoLoad})
	if s.latency.value > 20 || s.answering != 0 {
		t.Errorf("the time that the body took counts as a queue: latency %v ms, %d answering", s.latency.value, s.answering)
	}
}

// Guards against a server that hangs in the middle of an answer and is not noticed before the client's deadline.
func TestServerThatHangsInTheMiddleOfAnAnswerIsAvoided(t *testing.T) {
	b, h, s := beginSlowRead(t)
	for range maxConsecutiveFailures {
		b.AnswerStalled(100300, 7, 0)
	}
	if !s.ejected {
		t.Error("new requests still use the server")
	}
	if len(h.cancels) != 0 {
		t.Error("the answer was cut off, though it may still be whole in time")
	}
}
