package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// randomBackend ends attempts in every possible way, at once, late or never, drawn from a seeded generator.
// For each request it counts the attempts in flight and those that may have run.
type randomBackend struct {
	mu          sync.Mutex
	rng         *rand.Rand
	inFlight    map[string]int
	ran         map[string]int
	maxInFlight int // largest number of attempts of one request in flight at once
}

func (w *randomBackend) Endpoint(s Server) Endpoint { return &randomEndpoint{w, s.ID} }

type randomEndpoint struct {
	backend  *randomBackend
	serverID uint32
}

func (l *randomEndpoint) Probe(context.Context) (decide.Status, decide.Load) {
	return decide.OK, decide.NoLoad
}
func (l *randomEndpoint) CloseIdle() {}
func (l *randomEndpoint) Remove()    {}

// Attempt ends as drawn, at once or later.
func (l *randomEndpoint) Attempt(canceler *Canceler, r *Request, handler AttemptHandler) (Reply, bool) {
	l.backend.mu.Lock()
	busy := l.backend.rng.IntN(10) == 0
	l.backend.mu.Unlock()
	if busy {
		return Reply{Status: decide.Ignored, Load: decide.NoLoad}, true
	}
	go func() { handler.Done(l.attempt(canceler, r, handler.Begin)) }()
	return Reply{}, false
}

// attempt is an attempt that takes time. It may have run once begin has been called.
func (l *randomEndpoint) attempt(canceler *Canceler, r *Request, begin func() (Try, bool)) Reply {
	w, canceled := l.backend, make(chan struct{})
	canceler.OnCancel(func() { close(canceled) })
	w.mu.Lock()
	status := []decide.Status{decide.OK, decide.OK, decide.OK, decide.Failed, decide.QueueFull, decide.ConnectError, decide.Reset, decide.Ignored, decide.InvalidAnswer}[w.rng.IntN(9)]
	pause := time.Duration(w.rng.IntN(4)) * time.Millisecond
	hangs := w.rng.IntN(12) == 0
	var owners []uint32
	if status == decide.Ignored && w.rng.IntN(2) == 0 {
		owners = []uint32{uint32(w.rng.IntN(6) + 1)}
	}
	w.mu.Unlock()
	if status == decide.ConnectError {
		return Reply{Status: status, Load: decide.NoLoad, ConnRefused: pause == 0}
	}
	if _, wanted := begin(); !wanted {
		return Reply{Status: decide.Canceled, Load: decide.NoLoad}
	}
	w.mu.Lock()
	w.inFlight[r.ID]++
	w.maxInFlight = max(w.maxInFlight, w.inFlight[r.ID])
	if !status.NeverRan() || hangs {
		w.ran[r.ID]++
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.inFlight[r.ID]--
		w.mu.Unlock()
	}()
	if hangs {
		<-canceled
		return Reply{Status: decide.Reset, Load: decide.NoLoad}
	}
	select {
	case <-time.After(pause):
	case <-canceled:
	}
	return Reply{Status: status, Body: []byte(r.ID), Load: decide.NoLoad, Owners: owners}
}

// Whatever the results of its attempts, each request must get exactly one final answer by its deadline, and
// be served only its own value. A request that must not run twice never may have, and is refused only if it
// has not run. No record of any request may remain.
func TestOneFinalAnswer(t *testing.T) {
	const requests = 3000
	backend := &randomBackend{rng: rand.New(rand.NewPCG(11, 3)), inFlight: map[string]int{}, ran: map[string]int{}}
	e, err := New(Options{Seed: 5, MaxHeldBytes: 1 << 20, MaxQueuedBytes: 1 << 20, Config: decide.Config{Routers: 1, Alone: true, MaxAttempts: 4, ColdFrom: 1, FallMult: 3, FallFor: 1000, ConnIdle: 1000,
		Classes: []decide.Class{{Name: "read", Aim: 150, Deadline: 200, Worth: 1}, {Name: "poll", Effect: decide.Once, Aim: 150, Deadline: 200, Worth: 1}}}}, backend)
	if err != nil {
		t.Fatal(err)
	}
	runEngine(t, e)
	var list []Server
	for i := range 6 {
		list = append(list, Server{decide.Entry{ID: uint32(i + 1), Size: 1, Zone: "a"}, fmt.Sprintf("127.0.0.1:%d", i+1)})
	}
	e.Post(func() { e.UpdateServers(decide.Full, list) })
	answers := make([]atomic.Int32, requests)
	var results [ClientGone + 1]atomic.Int64
	var open sync.WaitGroup
	rng := rand.New(rand.NewPCG(7, 7))
	for i := range requests {
		q := &Request{ID: fmt.Sprint(i), Class: "read", Key: fmt.Sprint("k", rng.IntN(50)), Wait: 200}
		if i%3 == 0 {
			q.Class, q.Write = "poll", true
		}
		if i%2 == 0 {
			q.Owners = []uint32{uint32(rng.IntN(6) + 1)}
		}
		leaves := i%20 == 19
		open.Add(1)
		at := e.Now()
		handle := &RequestHandle{}
		handle.OnAnswer = func(q *Request, a Answer) {
			results[a.Result].Add(1)
			if answers[i].Add(1) > 1 {
				t.Errorf("request %d: a second answer", i)
				return
			}
			defer open.Done()
			backend.mu.Lock()
			ran := backend.ran[q.ID]
			backend.mu.Unlock()
			switch {
			case a.Result == Served && string(a.Body) != q.ID:
				t.Errorf("request %d: served with %q", i, a.Body)
			case a.Result == Refused && q.Write && ran > 0:
				t.Errorf("request %d: refused, although %d attempts may have run", i, ran)
			case e.Now()-at > 200+answerGrace+150: // 150 ms for a busy machine
				t.Errorf("request %d: answered after %.0f ms", i, e.Now()-at)
			}
		}
		e.Post(func() { e.Submit(q, at, handle) })
		if leaves {
			e.Post(func() { e.ClientLeft(handle) })
		}
		if i%40 == 0 {
			time.Sleep(time.Millisecond) // spreads the arrivals; nothing is waited for
		}
	}
	open.Wait()
	backend.mu.Lock()
	for id, n := range backend.ran {
		var i int
		fmt.Sscan(id, &i)
		if i%3 == 0 && n > 1 {
			t.Errorf("poll %s: %d attempts may have run", id, n)
		}
	}
	if backend.maxInFlight > 1 {
		t.Errorf("%d attempts of a request in flight at once", backend.maxInFlight)
	}
	backend.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		got := make(chan Size)
		e.Post(func() { got <- e.Size() })
		s := <-got
		if s.Requests+s.Open == 0 && e.HeldBytes.Used() == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("still held: %+v, %d bytes", s, e.HeldBytes.Used())
		}
	}
	for r := Served; r <= ClientGone; r++ {
		if r != Duplicate && results[r].Load() == 0 {
			t.Errorf("no request ended with result %d: the test does not cover it", r)
		}
	}
}
