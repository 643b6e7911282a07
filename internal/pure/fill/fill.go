// Package fill settles which values of the origin are stored in the servers of a pool, by a write of the router's own. It
// does no input or output and has no clock; who uses it tells it of requests and carries out what it asks for.
package fill

import (
	"strconv"

	"mossproxy.example/mossproxy/decide"
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

// Table knows the reads that are open, and what was written meanwhile: a value that was fetched before a write came is
// older than it, and not stored. Its memory is that of the open reads. It has no lock: one that several engines tell of their
// requests is guarded by its user, so that a write that comes to one counts for the reads of all.
type Table struct {
	seq   uint64
	reads map[Read]string // open reads, and the key of each
	keys  map[string]*key // that they are for
	out   int
	taken uint64
}

// Read is an open read. It grows with each event, so it tells too when the read came.
type Read uint64

// key is one that reads are open for.
type key struct {
	reads int
	wrote uint64 // when a write came last; 0 = none
}

// New is a table that knows of nothing.
func New() *Table { return &Table{reads: map[Read]string{}, keys: map[string]*key{}} }

// Arrived tells of a read that is taken. Over must be told of it.
func (t *Table) Arrived(name string) Read {
	t.seq++
	t.reads[Read(t.seq)] = name
	k := t.keys[name]
	if k == nil {
		k = &key{}
		t.keys[name] = k
	}
	k.reads++
	return Read(t.seq)
}

// Wrote tells of a write of a key, with the words of its command. Every word is looked at, as some commands name several keys:
// one that only looks like a key costs a store.
func (t *Table) Wrote(name string, words [][]byte) {
	t.seq++
	if k := t.keys[name]; k != nil {
		k.wrote = t.seq
	}
	for _, w := range words {
		if k := t.keys[string(w)]; k != nil {
			k.wrote = t.seq
		}
	}
}

// Over tells that a read has its final answer.
func (t *Table) Over(r Read) {
	name, ok := t.reads[r]
	if !ok {
		return
	}
	delete(t.reads, r)
	k := t.keys[name]
	if k.reads--; k.reads == 0 {
		delete(t.keys, name)
	}
}

// Fetched says whether the value that the origin has given for a read may be stored.
func (t *Table) Fetched(r Read) bool {
	name, open := t.reads[r]
	return open && t.keys[name].wrote <= uint64(r) && t.out < maxOut
}

// Store makes the request that stores such a value, without its words, by one of the owners of its key. Out and Done
// must be told of it.
func (t *Table) Store(owners []uint32) (id string, q decide.Request) {
	t.taken++
	return "store " + strconv.FormatUint(t.taken, 16), decide.Request{Class: className, Left: storeTime, Write: true, Owners: owners, Stores: true}
}

// Out tells that a store has begun, and Done that it is over.
func (t *Table) Out() { t.out++ }

// Done is Out's end.
func (t *Table) Done() { t.out-- }

// Size is how many reads and keys are known of, and how many stores are under way.
func (t *Table) Size() (reads, keys, out int) { return len(t.reads), len(t.keys), t.out }
