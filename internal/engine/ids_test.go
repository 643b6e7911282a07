package engine

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// An ID must have a single holder until it is released, whichever goroutine acquires it.
func TestIDs(t *testing.T) {
	s := NewRequestIDs()
	var wg sync.WaitGroup
	var held [100]atomic.Int32
	for range 8 {
		wg.Go(func() {
			for i := range 20000 {
				n := i * 7 % 100
				id := fmt.Sprint("id", n)
				if !s.acquire(id) {
					continue
				}
				if held[n].Add(1) != 1 {
					t.Errorf("%s has two holders", id)
				}
				held[n].Add(-1)
				s.release(id)
			}
		})
	}
	wg.Wait()
	if s.Len() != 0 {
		t.Errorf("%d IDs remain", s.Len())
	}
	var none *RequestIDs
	for range 2 {
		if !none.acquire("a") {
			t.Error("a nil set must accept every ID")
		}
	}
	none.release("a")
}

// Two engines share one set of IDs: the second of two requests with the same ID must be rejected, and the ID
// must be free again after the answer.
func TestIDsOfTwoEngines(t *testing.T) {
	ids := NewRequestIDs()
	var engines []*Engine
	for range 2 {
		e, err := New(Options{MaxHeldBytes: 1 << 20, MaxQueuedBytes: 1 << 20, IDs: ids, Config: decide.Config{Routers: 2, Alone: true, MaxAttempts: 1, ColdFrom: 1, FallMult: 3, FallFor: 1000,
			Classes: []decide.Class{{Name: "read", Aim: 100, Deadline: 100}}}}, &randomBackend{})
		if err != nil {
			t.Fatal(err)
		}
		engines = append(engines, e)
	}
	var got []Result
	ask := func(e *Engine) *RequestHandle {
		handle := &RequestHandle{OnAnswer: func(_ *Request, a Answer) { got = append(got, a.Result) }}
		e.Submit(&Request{ID: "same", Class: "read", Key: "k", Wait: 100, Owners: []uint32{}}, e.Now(), handle)
		return handle
	}
	ids.acquire("same") // as a request at another engine would
	ask(engines[0])
	ids.release("same")
	ask(engines[1]) // no server may serve the key, so the request is refused at once
	ask(engines[0])
	if len(got) != 3 || got[0] != Duplicate || got[1] != Refused || got[2] != Refused || ids.Len() != 0 {
		t.Errorf("results %v, %d IDs remain", got, ids.Len())
	}
}
