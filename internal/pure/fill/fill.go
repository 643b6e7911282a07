// Package fill settles which values of the origin are stored in the servers of a pool, by a write of the router's own. It
// does no input or output and has no clock; who uses it tells it of requests and carries out what it asks for.
package fill

import (
	"strconv"

	"mossproxy.example/mossproxy/decide"
)

const (
	// maxStoresInFlight bounds the stores that are under way: beyond that a value is not kept, and the next reader fetches again.
	maxStoresInFlight = 64
	// className is one that no client can name: both dialects end a name at the comma.
	className = "store,own"
	// storeTimeout is how long a store may take, in ms. Those who wait for the key wait no longer for it.
	storeTimeout = 250
)

// Class is the class of stores: never made twice, and worth nothing beside a client's request.
func Class() decide.Class {
	return decide.Class{Name: className, Effect: decide.Once, Aim: storeTimeout, Deadline: storeTimeout}
}

// Table knows the reads that are open, and what was written meanwhile: a value that was fetched before a write came is
// older than it, and not stored. Its memory is that of the open reads. It has no lock: one that several engines tell of their
// requests is guarded by its user, so that a write that comes to one counts for the reads of all.
type Table struct {
	seq         uint64
	reads       map[ReadID]string    // open reads, and the key of each
	keys        map[string]*keyState // that they are for
	inFlight    int
	lastStoreID uint64
}

// ReadID is an open read. It grows with each event, so it tells too when the read came.
type ReadID uint64

// keyState is one that reads are open for.
type keyState struct {
	openReads int
	lastWrite uint64 // when a write came last; 0 = none
}

// New is a table that knows of nothing.
func New() *Table { return &Table{reads: map[ReadID]string{}, keys: map[string]*keyState{}} }

// ReadStarted tells of a read that is taken. Over must be told of it.
func (t *Table) ReadStarted(name string) ReadID {
	t.seq++
	t.reads[ReadID(t.seq)] = name
	k := t.keys[name]
	if k == nil {
		k = &keyState{}
		t.keys[name] = k
	}
	k.openReads++
	return ReadID(t.seq)
}

// RecordWrite tells of a write of a key, with the words of its command. Every word is looked at, as some commands name several keys:
// one that only looks like a key costs a store.
func (t *Table) RecordWrite(name string, words [][]byte) {
	t.seq++
	if k := t.keys[name]; k != nil {
		k.lastWrite = t.seq
	}
	for _, w := range words {
		if k := t.keys[string(w)]; k != nil {
			k.lastWrite = t.seq
		}
	}
}

// ReadFinished tells that a read has its final answer.
func (t *Table) ReadFinished(r ReadID) {
	name, ok := t.reads[r]
	if !ok {
		return
	}
	delete(t.reads, r)
	k := t.keys[name]
	if k.openReads--; k.openReads == 0 {
		delete(t.keys, name)
	}
}

// CanStore says whether the value that the origin has given for a read may be stored.
func (t *Table) CanStore(r ReadID) bool {
	name, open := t.reads[r]
	return open && t.keys[name].lastWrite <= uint64(r) && t.inFlight < maxStoresInFlight
}

// NewStore makes the request that stores such a value, without its words, by one of the owners of its key. Out and Done
// must be told of it.
func (t *Table) NewStore(owners []uint32) (id string, q decide.Request) {
	t.lastStoreID++
	return "store " + strconv.FormatUint(t.lastStoreID, 16), decide.Request{Class: className, Left: storeTimeout, Write: true, Owners: owners, Stores: true}
}

// StoreStarted tells that a store has begun, and Done that it is over.
func (t *Table) StoreStarted() { t.inFlight++ }

// StoreFinished is Out's end.
func (t *Table) StoreFinished() { t.inFlight-- }

// Size is how many reads and keys are known of, and how many stores are under way.
func (t *Table) Size() (reads, keys, out int) { return len(t.reads), len(t.keys), t.inFlight }
