package router

import (
	"sync"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/pure/fill"
)

// stores is an engine.Store: the table of what may be stored, for all engines of a pool at once. Its memory is that of the open reads.
type stores struct {
	owners  func(key string) []uint32               // the servers that may take a write of a key
	command func(key string, value []byte) [][]byte // stores a value only where the key is not there: a client's own write comes first

	mu    sync.Mutex
	table *fill.Table
	reads map[*engine.Request]fill.ReadID
}

// Arrived is engine.Store's.
func (s *stores) Arrived(q *engine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case q.CacheFill:
		s.table.StoreStarted()
	case q.Write:
		s.table.RecordWrite(q.Key, q.Args)
	default:
		s.reads[q] = s.table.ReadStarted(q.Key)
	}
}

// Over is engine.Store's.
func (s *stores) Finished(q *engine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.CacheFill {
		s.table.StoreFinished()
	} else if r, ok := s.reads[q]; ok {
		s.table.ReadFinished(r)
		delete(s.reads, q)
	}
}

// Fetched is engine.Store's.
func (s *stores) FillRequest(q *engine.Request, value []byte) *engine.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.reads[q]
	if !ok || !s.table.CanStore(r) {
		return nil
	}
	owners := s.owners(q.Key)
	if len(owners) == 0 {
		return nil
	}
	id, d := s.table.NewStore(owners)
	return &engine.Request{ID: id, Class: d.Class, Key: q.Key, HeldBytes: len(q.Key) + len(value), Wait: d.Left, Write: d.Write, Owners: owners,
		Args: s.command(q.Key, value), CacheFill: d.Stores}
}
