package meta

import (
	"io"
	"testing"

	"mossproxy.example/mossproxy/internal/engine"
)

// fakeStream is a long value's stand-in.
type fakeStream struct{}

func (fakeStream) Len() int               { return 10 }
func (fakeStream) Stream(io.Writer) error { return nil }
func (fakeStream) Discard()               {}

// The head of a long value names its length and the id that its client knows, also where servers know another.
func TestHeadOfALongValue(t *testing.T) {
	q, a := &engine.Request{ID: "inner"}, engine.Answer{Result: engine.Served, Streamed: fakeStream{}}
	if got := string(render(q, a)); got != "VA 10 Oinner\r\n" {
		t.Errorf("got %q", got)
	}
	if got := string(renderWithID("outer", q, a)); got != "VA 10 Oouter\r\n" {
		t.Errorf("got %q", got)
	}
}
