package engine

import (
	"hash/maphash"
	"sync"
)

// idShards spreads the ids, so that engines seldom wait for each other.
const idShards = 64

// RequestIDs are those of the requests that are open at any of several engines. It may be used from any goroutine. Its memory is
// that of the open requests. A nil one takes all ids.
type RequestIDs struct {
	seed   maphash.Seed
	shards [idShards]struct {
		mu   sync.Mutex
		open map[string]struct{}
	}
}

// NewRequestIDs holds no id.
func NewRequestIDs() *RequestIDs {
	s := &RequestIDs{seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].open = map[string]struct{}{}
	}
	return s
}

// acquire takes an id, and tells whether it was free.
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

// release gives an id back.
func (s *RequestIDs) release(id string) {
	if s == nil {
		return
	}
	h := &s.shards[maphash.String(s.seed, id)%idShards]
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, id)
}

// Len is how many ids are taken.
func (s *RequestIDs) Len() (n int) {
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		n += len(h.open)
		h.mu.Unlock()
	}
	return n
}
