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
	s := NewIDs()
	var wg sync.WaitGroup
	var held [100]atomic.Int32
	for range 8 {
		wg.Go(func() {
			for i := range 20000 {
				n := i * 7 % 100
				id := fmt.Sprint("id", n)
				if !s.take(id) {
					continue
				}
				if held[n].Add(1) != 1 {
					t.Errorf("%s is taken twice", id)
				}
				held[n].Add(-1)
				s.give(id)
			}
		})
	}
	wg.Wait()
	if s.Len() != 0 {
		t.Errorf("%d are left", s.Len())
	}
	var none *IDs
	for range 2 {
		if !none.take("a") {
			t.Error("without a register every id is free")
		}
	}
	none.give("a")
}

// Two engines with one register: the second of two requests with one id is not taken, and the id is free with the answer.
func TestIDsOfTwoEngines(t *testing.T) {
	ids := NewIDs()
	var es []*Engine
	for range 2 {
		e, err := New(Options{Held: 1 << 20, Queued: 1 << 20, IDs: ids, Module: decide.Config{Routers: 2, Alone: true, MaxAttempts: 1, ColdFrom: 1, FallMult: 3, FallFor: 1000,
			Classes: []decide.Class{{Name: "read", Aim: 100, Deadline: 100}}}}, &whim{})
		if err != nil {
			t.Fatal(err)
		}
		es = append(es, e)
	}
	var got []Result
	ask := func(e *Engine) *Ticket {
		k := &Ticket{Answer: func(_ *Request, a Answer) { got = append(got, a.Result) }}
		e.Arrive(&Request{ID: "same", Class: "read", Key: "k", Wait: 100, Owners: []uint32{}}, e.Now(), k)
		return k
	}
	ids.take("same") // as another engine's request would
	ask(es[0])
	ids.give("same")
	ask(es[1]) // nobody owns the key: refused at once
	ask(es[0])
	if len(got) != 3 || got[0] != Doubled || got[1] != Refused || got[2] != Refused || ids.Len() != 0 {
		t.Errorf("%v, %d ids are left", got, ids.Len())
	}
}
