package engine

import (
	"sync"
	"time"
)

// maxEvents limits the queued events. A poster blocks while the queue is full. Posters are the readers of
// clients and servers, each of which has few events at a time.
const maxEvents = 1024

// events is a queue from any goroutine to the engine's, read in batches: a channel would cost a lock and
// often a goroutine switch for each event.
type events struct {
	wake chan struct{} // of capacity 1: signals that the queue is not empty

	mu        *sync.Mutex
	notFull   *sync.Cond
	queue     []func()
	queuedAt  time.Time     // when the oldest event in the queue came; valid while there is one
	lastWait  time.Duration // of the oldest event that take has returned last; the taker's
	lastBatch []func()      // memory of the previous batch, reused for the next
	ended     bool
}

func newEvents() events {
	mu := &sync.Mutex{}
	return events{wake: make(chan struct{}, 1), mu: mu, notFull: sync.NewCond(mu)}
}

// post adds an event, and blocks while the queue is full.
func (e *events) post(event func()) {
	e.mu.Lock()
	for len(e.queue) >= maxEvents && !e.ended {
		e.notFull.Wait()
	}
	e.enqueueAndUnlock(event)
}

// postUnbounded adds an event even if the queue is full.
func (e *events) postUnbounded(event func()) {
	e.mu.Lock()
	e.enqueueAndUnlock(event)
}

// enqueueAndUnlock adds an event and unlocks the mutex.
func (e *events) enqueueAndUnlock(event func()) {
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.queue = append(e.queue, event)
	first := len(e.queue) == 1
	if first {
		e.queuedAt = time.Now()
	}
	e.mu.Unlock()
	if first {
		select {
		case e.wake <- struct{}{}:
		default: // already signaled
		}
	}
}

// take removes and returns all queued events. The slice is valid until the next call.
func (e *events) take() []func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 {
		e.lastWait = time.Since(e.queuedAt)
	}
	clear(e.lastBatch) // already processed: releases what the events refer to
	batch := e.queue
	e.queue, e.lastBatch = e.lastBatch[:0], batch
	if len(batch) >= maxEvents {
		e.notFull.Broadcast()
	}
	return batch
}

// close drops the queued events and all later ones, and unblocks posters.
func (e *events) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended, e.queue, e.lastBatch = true, nil, nil
	e.notFull.Broadcast()
}
