package engine

import (
	"context"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// rejectLateDeadlines admits requests that end by a time, and cuts nothing.
type rejectLateDeadlines float64

func (l rejectLateDeadlines) Admit(_, deadline float64) (float64, bool) {
	return deadline, deadline <= float64(l)
}

// cutDeadlines admits every request, up to a time.
type cutDeadlines float64

func (l cutDeadlines) Admit(_, deadline float64) (float64, bool) {
	return min(deadline, float64(l)), true
}

// hangingBackend never answers.
type hangingBackend struct{ missEndpoint }

func (b hangingBackend) Endpoint(Server) Endpoint { return b }

func (hangingBackend) Attempt(*Canceler, *Request, AttemptHandler) (Reply, bool) {
	return Reply{}, false
}

// startEngine runs an engine without servers, each of which would hang, until the test ends.
func startEngine(t *testing.T, o Options) *Engine {
	t.Helper()
	o.Config = decide.Config{Routers: 1, MaxAttempts: 2, ColdFrom: 1, FallMult: 3, FallFor: 1000,
		Classes: []decide.Class{{Name: "read", Effect: decide.Repeatable, Deadline: 2000, Aim: 500, Worth: 1}}}
	e, err := New(o, hangingBackend{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); e.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
	return e
}

// submit submits a request and returns its answer.
func submit(e *Engine, q *Request) Answer {
	answers := make(chan Answer, 1)
	e.Post(func() {
		e.Submit(q, e.Now(), &RequestHandle{OnAnswer: func(_ *Request, a Answer) { answers <- a }})
	})
	return <-answers
}

// Guards against rejected requests that keep their id, their memory or a record, or are not counted.
func TestRequestThatIsNotAdmittedLeavesNothing(t *testing.T) {
	ids := NewRequestIDs()
	e := startEngine(t, Options{MaxHeldBytes: 1000, MaxQueuedBytes: 1000, IDs: ids, CollectCounts: true})
	e.SetAdmission(rejectLateDeadlines(e.Now() + 1000))
	if !e.ReserveValue(100) {
		t.Fatal("no memory")
	}
	q := &Request{ID: "a1", Class: "read", Key: "k", Wait: 1500, HeldBytes: 100}
	if got := submit(e, q); got.Result != Refused {
		t.Errorf("got %v", got.Result)
	}
	size := make(chan Size)
	e.Post(func() { e.publishCounts(); size <- e.Size() })
	if got := <-size; got.Requests+got.Open > 0 || ids.Len() > 0 || e.HeldBytes.Used() > 0 {
		t.Errorf("kept: %+v, %d ids, %d bytes", got, ids.Len(), e.HeldBytes.Used())
	}
	if got := e.Counts().Classes; len(got) != 1 || got[0].Refused != 1 {
		t.Errorf("counts %+v", got)
	}
}

// Guards against requests of the router's own, which store what was fetched, that are rejected as clients'
// requests are.
func TestOwnRequestsAreAdmitted(t *testing.T) {
	e := startEngine(t, Options{MaxHeldBytes: 1000, MaxQueuedBytes: 1000})
	e.SetAdmission(rejectLateDeadlines(0))
	submit(e, &Request{ID: "a1", Class: "read", Key: "k", Wait: 1500, CacheFill: true})
	size := make(chan Size)
	e.Post(func() { size <- e.Size() })
	if got := <-size; got.Accepted != 1 {
		t.Error("a request of the router's own was rejected")
	}
}

// Guards against answers after the process has ended: a cut deadline is that of the request.
func TestDeadlineIsCutOnAdmission(t *testing.T) {
	e := startEngine(t, Options{MaxHeldBytes: 1000, MaxQueuedBytes: 1000})
	e.Post(func() { e.UpdateServers(decide.Full, []Server{{Entry: decide.Entry{ID: 1}, Addr: "a:1"}}) })
	limit := e.Now() + 200
	e.SetAdmission(cutDeadlines(limit))
	deadline := make(chan float64)
	e.Post(func() {
		handle := &RequestHandle{OnAnswer: func(*Request, Answer) {}}
		e.Submit(&Request{ID: "a1", Class: "read", Key: "k", Wait: 1500}, e.Now(), handle)
		deadline <- handle.request.deadline
	})
	if got := <-deadline; got != limit {
		t.Errorf("a deadline %v ms after the limit", got-limit)
	}
}
