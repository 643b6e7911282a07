package engine

import (
	"hash/maphash"
	"sync"
)

// idShards is the number of shards, which keep lock contention between engines low.
const idShards = 64

// RequestIDs is the set of the request IDs that are open at any of several engines. It may be used from any
// goroutine. Its memory is proportional to the number of open requests. A nil set accepts every ID.
type RequestIDs struct {
	seed   maphash.Seed
	shards [idShards]struct {
		mu   sync.Mutex
		open map[string]struct{}
	}
}

// NewRequestIDs returns an empty set.
func NewRequestIDs() *RequestIDs {
	s := &RequestIDs{seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].open = map[string]struct{}{}
	}
	return s
}

// acquire adds an ID and reports whether it was free.
func (s *RequestIDs) acquire(id string) bool {
	if s == nil {
		return true
	}
	h := &s.shards[maphash.String(s.seed, id)%idShards]
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.open[id]; ok {
		return false
	}
	h.open[id] = struct{}{}
	return true
}

// release removes an ID.
func (s *RequestIDs) release(id string) {
	if s == nil {
		return
	}
	h := &s.shards[maphash.String(s.seed, id)%idShards]
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, id)
}

// Len returns the number of IDs in use.
func (s *RequestIDs) Len() (n int) {
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		n += len(h.open)
		h.mu.Unlock()
	}
	return n
}
