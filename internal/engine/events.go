package engine

import "sync"

// maxEvents bounds the events that wait. Who posts one more waits: the readers of clients and servers, each of which has
// few.
const maxEvents = 1024

// events are handed from any goroutine to the engine's, in batches: a channel costs a lock and often a switch for each.
type events struct {
	wake chan struct{} // of capacity 1: some are there

	mu    *sync.Mutex
	room  *sync.Cond
	queue []func()
	spare []func() // the last batch's memory
	ended bool
}

func newEvents() events {
	mu := &sync.Mutex{}
	return events{wake: make(chan struct{}, 1), mu: mu, room: sync.NewCond(mu)}
}

// post adds an event, waiting for room.
func (e *events) post(event func()) {
	e.mu.Lock()
	for len(e.queue) >= maxEvents && !e.ended {
		e.room.Wait()
	}
	e.put(event)
}

// add adds an event, room or not.
func (e *events) add(event func()) {
	e.mu.Lock()
	e.put(event)
}

// put adds an event and unlocks.
func (e *events) put(event func()) {
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

// take takes all events that are there. They are the caller's until it takes the next.
func (e *events) take() []func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.spare) // carried out: what they hold can go
	batch := e.queue
	e.queue, e.spare = e.spare[:0], batch
	if len(batch) >= maxEvents {
		e.room.Broadcast()
	}
	return batch
}

// end drops what waits and comes later.
func (e *events) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended, e.queue, e.spare = true, nil, nil
	e.room.Broadcast()
}
