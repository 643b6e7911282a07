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

// randomBackend is a backend that ends attempts in every way there is, at once, late or never, drawn from a seed. It counts, for
// each request, the attempts that are out together and those that may have run.
type randomBackend struct {
	mu          sync.Mutex
	rng         *rand.Rand
	inFlight    map[string]int
	ran         map[string]int
	maxInFlight int // attempts of one request out at once
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

// Attempt ends as the seed has it, at once or later.
func (l *randomEndpoint) Attempt(stop *Canceler, r *Request, caller AttemptHandler) (Reply, bool) {
	l.backend.mu.Lock()
	busy := l.backend.rng.IntN(10) == 0
	l.backend.mu.Unlock()
	if busy {
		return Reply{Status: decide.Ignored, Load: decide.NoLoad}, true
	}
	go func() { caller.Done(l.attempt(stop, r, caller.Begin)) }()
	return Reply{}, false
}

// attempt is one that takes its time. What may have run is counted from begin on.
func (l *randomEndpoint) attempt(stop *Canceler, r *Request, begin func() (Try, bool)) Reply {
	w, given := l.backend, make(chan struct{})
	stop.OnCancel(func() { close(given) })
	w.mu.Lock()
	status := []decide.Status{decide.OK, decide.OK, decide.OK, decide.Failed, decide.QueueFull, decide.ConnectError, decide.Reset, decide.Ignored, decide.InvalidAnswer}[w.rng.IntN(9)]
	pause := time.Duration(w.rng.IntN(4)) * time.Millisecond
	never := w.rng.IntN(12) == 0
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
	if !status.NeverRan() || never {
		w.ran[r.ID]++
	}
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.inFlight[r.ID]--
		w.mu.Unlock()
	}()
	if never {
		<-given
		return Reply{Status: decide.Reset, Load: decide.NoLoad}
	}
	select {
	case <-time.After(pause):
	case <-given:
	}
	return Reply{Status: status, Body: []byte(r.ID), Load: decide.NoLoad, Owners: owners}
}

// Whatever attempts come to, each request has exactly one final answer by its deadline, served with its own value alone;
// one that must not run twice never may have, and is refused only if it has not run. Nothing is left of them.
func TestOneFinalAnswer(t *testing.T) {
	const requests = 3000
	w := &randomBackend{rng: rand.New(rand.NewPCG(11, 3)), inFlight: map[string]int{}, ran: map[string]int{}}
	e, err := New(Options{Seed: 5, MaxHeldBytes: 1 << 20, MaxQueuedBytes: 1 << 20, Config: decide.Config{Routers: 1, Alone: true, MaxAttempts: 4, ColdFrom: 1, FallMult: 3, FallFor: 1000, ConnIdle: 1000,
		Classes: []decide.Class{{Name: "read", Aim: 150, Deadline: 200, Worth: 1}, {Name: "poll", Effect: decide.Once, Aim: 150, Deadline: 200, Worth: 1}}}}, w)
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
		tick := &RequestHandle{}
		tick.OnAnswer = func(q *Request, a Answer) {
			results[a.Result].Add(1)
			if answers[i].Add(1) > 1 {
				t.Errorf("request %d: a second answer", i)
				return
			}
			defer open.Done()
			w.mu.Lock()
			ran := w.ran[q.ID]
			w.mu.Unlock()
			switch {
			case a.Result == Served && string(a.Body) != q.ID:
				t.Errorf("request %d: served with %q", i, a.Body)
			case a.Result == Refused && q.Write && ran > 0:
				t.Errorf("request %d: refused, and %d attempts may have run", i, ran)
			case e.Now()-at > 200+answerGrace+150: // and what a busy machine takes
				t.Errorf("request %d: answered after %.0f ms", i, e.Now()-at)
			}
		}
		e.Post(func() { e.Submit(q, at, tick) })
		if leaves {
			e.Post(func() { e.ClientLeft(tick) })
		}
		if i%40 == 0 {
			time.Sleep(time.Millisecond) // some breadth in time; nothing is waited for
		}
	}
	open.Wait()
	w.mu.Lock()
	for id, n := range w.ran {
		var i int
		fmt.Sscan(id, &i)
		if i%3 == 0 && n > 1 {
			t.Errorf("poll %s: %d attempts may have run", id, n)
		}
	}
	if w.maxInFlight > 1 {
		t.Errorf("%d attempts of a request out at once", w.maxInFlight)
	}
	w.mu.Unlock()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		got := make(chan Size)
		e.Post(func() { got <- e.Size() })
		s := <-got
		if s.Requests+s.Open == 0 && e.HeldBytes.Used() == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v are left, %d bytes", s, e.HeldBytes.Used())
		}
	}
	for r := Served; r <= ClientGone; r++ {
		if r != Duplicate && results[r].Load() == 0 {
			t.Errorf("no answer of kind %d: the test shows little", r)
		}
	}
}
