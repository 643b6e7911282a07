package engine

import "sync"

// maxEvents bounds the events that wait. Who posts one more waits: the readers of clients and servers, each of which has
// few.
const maxEvents = 1024

// events are handed from any goroutine to the engine's, in batches: a channel costs a lock and often a switch for each.
type events struct {
	wake chan struct{} // of capacity 1: some are there

	mu        *sync.Mutex
	notFull   *sync.Cond
	queue     []func()
	lastBatch []func() // the last batch's memory
	ended     bool
}

func newEvents() events {
	mu := &sync.Mutex{}
	return events{wake: make(chan struct{}, 1), mu: mu, notFull: sync.NewCond(mu)}
}

// post adds an event, waiting for room.
func (e *events) post(event func()) {
	e.mu.Lock()
	for len(e.queue) >= maxEvents && !e.ended {
		e.notFull.Wait()
	}
	e.enqueueAndUnlock(event)
}

// postUnbounded adds an event, room or not.
func (e *events) postUnbounded(event func()) {
	e.mu.Lock()
	e.enqueueAndUnlock(event)
}

// enqueueAndUnlock adds an event and unlocks.
func (e *events) enqueueAndUnlock(event func()) {
	if e.ended {
		e.mu.Unlock()
		return
	}
	e.queue = append(e.queue, event)
	first := len(e.queue) == 1
	e.mu.Unlock()
	if first {
		select {
		case e.wake <- struct{}{}:
		default: // it is awake already
		}
	}
}

// acquire takes all events that are there. They are the caller's until it takes the next.
func (e *events) take() []func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.lastBatch) // carried out: what they hold can go
	batch := e.queue
	e.queue, e.lastBatch = e.lastBatch[:0], batch
	if len(batch) >= maxEvents {
		e.notFull.Broadcast()
	}
	return batch
}

// close drops what waits and comes later.
func (e *events) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended, e.queue, e.lastBatch = true, nil, nil
	e.notFull.Broadcast()
}
