package engine

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// An id is one's alone until it is given back, whoever takes it.
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
					t.Errorf("%s is taken twice", id)
				}
				held[n].Add(-1)
				s.release(id)
			}
		})
	}
	wg.Wait()
	if s.Len() != 0 {
		t.Errorf("%d are left", s.Len())
	}
	var none *RequestIDs
	for range 2 {
		if !none.acquire("a") {
			t.Error("without a register every id is free")
		}
	}
	none.release("a")
}

// Two engines with one register: the second of two requests with one id is not taken, and the id is free with the answer.
func TestIDsOfTwoEngines(t *testing.T) {
	ids := NewRequestIDs()
	var es []*Engine
	for range 2 {
		e, err := New(Options{MaxHeldBytes: 1 << 20, MaxQueuedBytes: 1 << 20, IDs: ids, Config: decide.Config{Routers: 2, Alone: true, MaxAttempts: 1, ColdFrom: 1, FallMult: 3, FallFor: 1000,
			Classes: []decide.Class{{Name: "read", Aim: 100, Deadline: 100}}}}, &randomBackend{})
		if err != nil {
			t.Fatal(err)
		}
		es = append(es, e)
	}
	var got []Result
	ask := func(e *Engine) *RequestHandle {
		k := &RequestHandle{OnAnswer: func(_ *Request, a Answer) { got = append(got, a.Result) }}
		e.Submit(&Request{ID: "same", Class: "read", Key: "k", Wait: 100, Owners: []uint32{}}, e.Now(), k)
		return k
	}
	ids.acquire("same") // as another engine's request would
	ask(es[0])
	ids.release("same")
	ask(es[1]) // nobody owns the key: refused at once
	ask(es[0])
	if len(got) != 3 || got[0] != Duplicate || got[1] != Refused || got[2] != Refused || ids.Len() != 0 {
		t.Errorf("%v, %d ids are left", got, ids.Len())
	}
}
