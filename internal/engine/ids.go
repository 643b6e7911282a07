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
	shard := &s.shards[maphash.String(s.seed, id)%idShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if _, ok := shard.open[id]; ok {
		return false
	}
	shard.open[id] = struct{}{}
	return true
}

// release removes an ID.
func (s *RequestIDs) release(id string) {
	if s == nil {
		return
	}
	shard := &s.shards[maphash.String(s.seed, id)%idShards]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.open, id)
}

// Len returns the number of IDs in use.
func (s *RequestIDs) Len() (n int) {
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		n += len(shard.open)
		shard.mu.Unlock()
	}
	return n
}
