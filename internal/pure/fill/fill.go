// Package fill decides which values fetched from the origin the router stores in the servers of a pool. It
// performs no I/O and has no clock: the caller reports requests to it and carries out the stores.
package fill

import (
	"strconv"

	"mossproxy.example/mossproxy/decide"
)

const (
	// maxStoresInFlight limits the stores in flight. Beyond it a value is not stored, and the next read
	// fetches it again.
	maxStoresInFlight = 64
	// className cannot be named by a client, as both protocols end a class name at the comma.
	className = "store,own"
	// storeTimeout is the time limit of a store in ms, and thereby of requests that wait for its key.
	storeTimeout = 250
)

// Class returns the class of stores. They are never retried, and have no worth compared with a client's
// request.
func Class() decide.Class {
	return decide.Class{Name: className, Effect: decide.Once, Aim: storeTimeout, Deadline: storeTimeout}
}

// Table tracks the open reads and the writes that arrive meanwhile. A value fetched for a read that a write
// of the key has overtaken is stale and not stored. The memory is proportional to the number of open reads.
// A Table has no lock: if several engines share one, the caller must guard it, so that a write at one
// engine counts for the reads at all.
type Table struct {
	seq         uint64
	reads       map[ReadID]string    // key of each open read
	keys        map[string]*keyState // keys with open reads
	inFlight    int
	lastStoreID uint64
}

// ReadID identifies an open read. It grows with each event, so it also orders reads and writes.
type ReadID uint64

// keyState is the state of a key with open reads.
type keyState struct {
	openReads int
	lastWrite uint64 // sequence number of the last write; 0 if none
}

// New returns an empty Table.
func New() *Table { return &Table{reads: map[ReadID]string{}, keys: map[string]*keyState{}} }

// ReadStarted records a read that was accepted. The caller must call ReadFinished for it.
func (t *Table) ReadStarted(key string) ReadID {
	t.seq++
	t.reads[ReadID(t.seq)] = key
	k := t.keys[key]
	if k == nil {
		k = &keyState{}
		t.keys[key] = k
	}
	k.openReads++
	return ReadID(t.seq)
}

// RecordWrite records a write of a key with the arguments of its command. Every argument is treated as a
// key, since some commands name several; one that merely equals a key costs a store.
func (t *Table) RecordWrite(key string, args [][]byte) {
	t.seq++
	if k := t.keys[key]; k != nil {
		k.lastWrite = t.seq
	}
	for _, arg := range args {
		if k := t.keys[string(arg)]; k != nil {
			k.lastWrite = t.seq
		}
	}
}

// ReadFinished records that a read has its final answer.
func (t *Table) ReadFinished(r ReadID) {
	key, ok := t.reads[r]
	if !ok {
		return
	}
	delete(t.reads, r)
	k := t.keys[key]
	if k.openReads--; k.openReads == 0 {
		delete(t.keys, key)
	}
}

// CanStore reports whether the value that the origin returned for a read may be stored.
func (t *Table) CanStore(r ReadID) bool {
	key, open := t.reads[r]
	return open && t.keys[key].lastWrite <= uint64(r) && t.inFlight < maxStoresInFlight
}

// NewStore returns the request that stores such a value at one of the owners of its key, without the
// arguments of the command. The caller must call StoreStarted and StoreFinished for it.
func (t *Table) NewStore(owners []uint32) (id string, q decide.Request) {
	t.lastStoreID++
	return "store " + strconv.FormatUint(t.lastStoreID, 16), decide.Request{Class: className, Left: storeTimeout, Write: true, Owners: owners, Stores: true}
}

// StoreStarted records that a store is in flight.
func (t *Table) StoreStarted() { t.inFlight++ }

// StoreFinished records that a store has finished.
func (t *Table) StoreFinished() { t.inFlight-- }

// Size returns the number of open reads, of keys with open reads, and of stores in flight.
func (t *Table) Size() (reads, keys, inFlight int) { return len(t.reads), len(t.keys), t.inFlight }
