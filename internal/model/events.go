package model

// kind is what happens at an event.
type kind uint8

const (
	evArrive  kind = iota // the next request of the load
	evTry                 // a client's try comes to a router, q
	evTimer               // a timer of a router's module, a and token
	evReach               // an attempt comes to its server, t
	evDone                // a server has done a piece of work, t
	evBack                // an outcome comes back to its router, t
	evDue                 // a router waits for an attempt no longer, t
	evLeft                // a client gives a try up, q
	evAnswer              // an answer comes to its client, q
	evProbe               // a probe of a router reaches a server, a and b
	evProbed              // and its result comes back
	evNews                // a list comes to a router, a and list
	evFault               // a fault begins, a
	evMend                // and ends
	evFront               // the front layer learns of a router, a
	evRefusal             // a try meets no router, q
	evRetry               // a client tries again, q
	evLate                // an answer that was held back, q
)

// event is something that happens at a time. Which of its fields count is said by its kind.
type event struct {
	at    float64
	seq   uint64 // of two at the same time, the one that was set first comes first
	kind  kind
	a, b  int32
	life  uint32 // of the router or server; one that has ended since does nothing
	token uint64
	q     *try
	t     *attempt
	list  *news
}

// queue gives events in the order of their times, and of those at the same time in the order in which they were set.
type queue struct {
	seq uint64
	of  heap
}

func (q *queue) push(e event) {
	q.seq++
	e.seq = q.seq
	q.of.push(e)
}

func (q *queue) pop() event { return q.of.pop() }

// heap is a heap of events with four children to a node, which has fewer levels than with two and the same work in each.
type heap []event

func (q *heap) push(e event) {
	h := append(*q, e)
	*q = h
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !before(&e, &h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = e
}

func before(x, y *event) bool { return x.at < y.at || x.at == y.at && x.seq < y.seq }

func (q *heap) pop() event {
	h := *q
	first := h[0]
	n := len(h) - 1
	last := h[n]
	h[n] = event{}
	h = h[:n]
	if *q = h; n == 0 {
		return first
	}
	i := 0
	for {
		c := 4*i + 1
		if c >= n {
			break
		}
		least := c
		for k := c + 1; k < min(c+4, n); k++ {
			if before(&h[k], &h[least]) {
				least = k
			}
		}
		if !before(&h[least], &last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return first
}
