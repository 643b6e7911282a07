package meta

import (
	"io"
	"testing"

	"mossproxy.example/mossproxy/internal/engine"
)

// fakeStream stands for a value of ten bytes that is streamed.
type fakeStream struct{}

func (fakeStream) Len() int               { return 10 }
func (fakeStream) Stream(io.Writer) error { return nil }
func (fakeStream) Discard()               {}

// Guards against a streamed value's head with a wrong length or with the servers' id instead of the
// client's.
func TestHeadOfALongValue(t *testing.T) {
	q, a := &engine.Request{ID: "inner"}, engine.Answer{Result: engine.Served, Streamed: fakeStream{}}
	if got := string(render(q, a)); got != "VA 10 Oinner\r\n" {
		t.Errorf("got %q", got)
	}
	if got := string(renderWithID("outer", q, a)); got != "VA 10 Oouter\r\n" {
		t.Errorf("got %q", got)
	}
}
