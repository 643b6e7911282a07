package engine

import (
	"container/heap"
	"log/slog"
	"math"
)

// timer is something to do at a time. It says what by its kind: a closure for each would be most of what a request
// allocates.
type timer struct {
	at    float64
	i     int // its place in the heap from 1 on; 0 = it is not there
	kind  timerKind
	r     *request // requestDue
	a     *attempt // attemptDue
	token uint64   // moduleTimer
	next  *timer   // among spare ones
}

type timerKind int

const (
	moduleTimer timerKind = iota
	attemptDue
	requestDue
	countsDue
)

// set has a timer go off after that many ms. It is in the heap until then, or until it is stopped.
func (e *Engine) set(t *timer, ms float64) {
	if !(ms > 0) {
		ms = 0
	}
	t.at = e.now() + min(ms, math.MaxInt32)
	heap.Push(&e.timers, t)
}

// fire does what a timer is for. Those of the module are never stopped, so they can be used again.
func (e *Engine) fire(t *timer) {
	switch t.kind {
	case moduleTimer:
		token := t.token
		t.next, e.spare = e.spare, t
		e.b.Timer(e.now(), token)
	case attemptDue:
		e.timeOut(t.a)
	case countsDue:
		e.publish()
	case requestDue: // should the Balancer owe an answer even then, the client still gets one in time
		slog.Error("request: no answer by its deadline", "id", t.r.ID)
		host{e}.Fail(t.r.id)
		e.b.ClientGone(e.now(), t.r.id)
	}
}

// timerHeap holds timers, the next one first.
type timerHeap []*timer

// stop takes a timer out, with all that it holds: waiting until it is due would keep each request for seconds.
func (h *timerHeap) stop(t *timer) {
	if t.i > 0 {
		heap.Remove(h, t.i-1)
	}
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i+1, j+1
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.i = len(*h)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.i = nil, 0
	*h = old[:len(old)-1]
	return last
}
