package engine

import (
	"container/heap"
	"log/slog"
	"math"
)

// timer is something to do at a time. It says what by its kind: a closure for each would be most of what a request
// allocates.
type timer struct {
	at        float64
	heapIndex int // its place in the heap from 1 on; 0 = it is not there
	kind      timerKind
	request   *request // requestDeadline
	attempt   *attempt // attemptTimeout
	token     uint64   // balancerTimer
	nextFree  *timer   // among spare ones
}

type timerKind int

const (
	balancerTimer timerKind = iota
	attemptTimeout
	requestDeadline
	countsPublication
)

// startTimer has a timer go off after that many ms. It is in the heap until then, or until it is stopped.
func (e *Engine) startTimer(t *timer, ms float64) {
	if !(ms > 0) {
		ms = 0
	}
	t.at = e.now() + min(ms, math.MaxInt32)
	heap.Push(&e.timers, t)
}

// fireTimer does what a timer is for. Those of the module are never stopped, so they can be used again.
func (e *Engine) fireTimer(t *timer) {
	switch t.kind {
	case balancerTimer:
		token := t.token
		t.nextFree, e.freeTimers = e.freeTimers, t
		e.balancer.Timer(e.now(), token)
	case attemptTimeout:
		e.timeOut(t.attempt)
	case countsPublication:
		e.publishPeriodically()
	case requestDeadline: // should the Balancer owe an answer even then, the client still gets one in time
		slog.Error("request: no answer by its deadline", "id", t.request.ID)
		host{e}.Fail(t.request.id)
		e.balancer.ClientGone(e.now(), t.request.id)
	}
}

// timerHeap holds timers, the next one first.
type timerHeap []*timer

// canceler takes a timer out, with all that it holds: waiting until it is due would keep each request for seconds.
func (h *timerHeap) stop(t *timer) {
	if t.heapIndex > 0 {
		heap.Remove(h, t.heapIndex-1)
	}
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.heapIndex = len(*h)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.heapIndex = nil, 0
	*h = old[:len(old)-1]
	return last
}
