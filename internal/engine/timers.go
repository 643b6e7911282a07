package engine

import (
	"container/heap"
	"log/slog"
	"math"
)

// timer runs an action at a given time. The action is selected by kind: a closure for each timer would be
// most of what a request allocates.
type timer struct {
	at        float64
	heapIndex int // index in the heap, counted from 1; 0 = not in the heap
	kind      timerKind
	request   *request // requestDeadline only
	attempt   *attempt // attemptTimeout and answerStall only
	token     uint64   // balancerTimer only
	nextFree  *timer   // in the list of free timers
}

type timerKind int

const (
	balancerTimer timerKind = iota
	attemptTimeout
	answerStall
	requestDeadline
	countsPublication
)

// startTimer makes a timer fire after the given number of ms. It stays in the heap until then, or until it is
// stopped.
func (e *Engine) startTimer(t *timer, ms float64) {
	if !(ms > 0) {
		ms = 0
	}
	t.at = e.now() + min(ms, math.MaxInt32)
	heap.Push(&e.timers, t)
}

// fireTimer runs a timer's action. Timers of the Balancer are never stopped, so they can be reused.
func (e *Engine) fireTimer(t *timer) {
	switch t.kind {
	case balancerTimer:
		token := t.token
		t.nextFree, e.freeTimers = e.freeTimers, t
		e.balancer.Timer(e.now(), token)
	case attemptTimeout:
		e.timeOut(t.attempt)
	case answerStall:
		e.checkProgress(t.attempt)
	case countsPublication:
		e.publishPeriodically()
	case requestDeadline: // fallback: the client gets an answer in time even if the Balancer has given none
		slog.Error("request: no answer by its deadline", "id", t.request.ID)
		host{e}.Fail(t.request.id)
		e.balancer.ClientGone(e.now(), t.request.id)
	}
}

// timerHeap is a min-heap of timers by time.
type timerHeap []*timer

// stop removes a timer from the heap, so that it does not keep its request in memory for seconds until it is
// due.
func (h *timerHeap) stop(t *timer) {
	if t.heapIndex > 0 {
		heap.Remove(h, t.heapIndex-1)
	}
}

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i+1, j+1
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	*h = append(*h, t)
	t.heapIndex = len(*h)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.heapIndex = nil, 0
	*h = old[:len(old)-1]
	return last
}
