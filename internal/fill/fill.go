// Package fill settles which values of the origin are stored in the servers of a pool, by a write of the router's own. It
// does no input or output and has no clock; the engine tells it of requests and carries out what it asks for.
package fill

import (
	"strconv"
	"sync"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
)

const (
	// maxOut bounds the stores that are under way: beyond that a value is not kept, and the next reader fetches again.
	maxOut = 64
	// className is one that no client can name: both dialects end a name at the comma.
	className = "store,own"
	// storeTime is how long a store may take, in ms. Those who wait for the key wait no longer for it.
	storeTime = 250
)

// Class is the class of stores: never made twice, and worth nothing beside a client's request.
func Class() decide.Class {
	return decide.Class{Name: className, Effect: decide.Once, Aim: storeTime, Deadline: storeTime}
}

// Config is what a table works by.
type Config struct {
	// Owners are the servers that may take a write of a key.
	Owners func(key string) []uint32
	// Command is the write that stores a value, only where the key is not there: a client's own write comes first.
	Command func(key string, value []byte) [][]byte
}

// Table knows the reads that are open, and what was written meanwhile: a value that was fetched before a write came is
// older than it, and not stored. It is an engine.Store, of one engine or of all those of a pool: a write that comes to one
// counts for the reads of all. Its memory is that of the open reads.
type Table struct {
	cfg   Config
	mu    sync.Mutex
	seq   uint64
	reads map[*engine.Request]uint64 // open reads, and when they came
	keys  map[string]*key            // that they are for
	out   int
	taken uint64
}

// key is one that reads are open for.
type key struct {
	reads int
	wrote uint64 // when a write came last; 0 = none
}

// New is a table that knows of nothing.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, reads: map[*engine.Request]uint64{}, keys: map[string]*key{}}
}

// Arrived is engine.Store's.
func (t *Table) Arrived(q *engine.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	switch {
	case q.Stores:
		t.out++
	case q.Write:
		t.wrote(q)
	default:
		t.reads[q] = t.seq
		k := t.keys[q.Key]
		if k == nil {
			k = &key{}
			t.keys[q.Key] = k
		}
		k.reads++
	}
}

// wrote notes a write. Every word is looked at, as some name several keys: one that only looks like a key costs a store.
func (t *Table) wrote(q *engine.Request) {
	if k := t.keys[q.Key]; k != nil {
		k.wrote = t.seq
	}
	for _, w := range q.Words {
		if k := t.keys[string(w)]; k != nil {
			k.wrote = t.seq
		}
	}
}

// Over is engine.Store's.
func (t *Table) Over(q *engine.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q.Stores {
		t.out--
		return
	}
	if _, ok := t.reads[q]; !ok {
		return
	}
	delete(t.reads, q)
	k := t.keys[q.Key]
	if k.reads--; k.reads == 0 {
		delete(t.keys, q.Key)
	}
}

// Fetched is engine.Store's.
func (t *Table) Fetched(q *engine.Request, value []byte) *engine.Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	came, open := t.reads[q]
	if !open || t.keys[q.Key].wrote > came || t.out >= maxOut {
		return nil
	}
	owners := t.cfg.Owners(q.Key)
	if len(owners) == 0 {
		return nil
	}
	t.taken++
	return &engine.Request{ID: "store " + strconv.FormatUint(t.taken, 16), Class: className, Key: q.Key, Held: len(q.Key) + len(value),
		Wait: storeTime, Write: true, Owners: owners, Words: t.cfg.Command(q.Key, value), Stores: true}
}

// Size is how many reads and keys are known of, and how many stores are under way.
func (t *Table) Size() (reads, keys, out int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reads), len(t.keys), t.out
}
