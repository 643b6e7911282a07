// Package store is a small embedded store of keys and values that lasts: a log of batches in segments, with an index in memory.
// An acknowledged batch is there after any crash, whole; one that was not acknowledged is there whole or not at all. The format,
// the invariants of recovery and what is promised after which fault are in docs/design/store.md.
package store

import (
	"errors"
	"fmt"
	"io"
	"iter"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/btree"

	"mossproxy.example/mossproxy/internal/store/fsys"
)

// Bounds of what is stored.
const (
	MaxKey   = 4 << 10  // bytes of a key, 1 at least
	MaxValue = 1 << 20  // bytes of a value
	MaxBatch = 16 << 20 // bytes of a batch with 28 for each op
	MaxOps   = 100_000  // of a batch
)

// Errors that callers tell apart by errors.Is.
var (
	ErrNotFound = errors.New("store: no such key")
	ErrConflict = errors.New("store: the key has another version")
	ErrFull     = errors.New("store: the disk is full; nothing was written")
	ErrReadOnly = errors.New("store: read-only")
	ErrClosed   = errors.New("store: closed")
	ErrTooOld   = errors.New("store: changes that old are not kept; begin anew from a snapshot")
	ErrTooLarge = errors.New("store: over the bounds of a key, value or batch")
	ErrDamaged  = errors.New("store: damaged")
)

// Fault is damage: what is wrong, and where.
type Fault struct {
	File   string
	Offset int64
	What   string
}

func (f Fault) Error() string { return fmt.Sprintf("%s: offset %d: %s", f.File, f.Offset, f.What) }

// Is makes a fault an ErrDamaged.
func (f Fault) Is(err error) bool { return err == ErrDamaged }

// FormatError is a store of a format that this program does not know.
type FormatError struct{ Has, Knows uint32 }

func (e *FormatError) Error() string {
	return fmt.Sprintf("format %d of a newer program; this one knows formats up to %d", e.Has, e.Knows)
}

// Options are what a store is opened with. The zero value of each has a default.
type Options struct {
	SegmentBytes int64            // a segment gets no more batches beyond it: 64 KiB to 1 GiB, 16 MiB by default
	FeedBytes    int64            // of the latest changes that are kept for watchers: 4 MiB by default
	Owner        string           // who has the store, for others that try: "process N" by default
	ReadOnly     bool             // takes no lock and changes nothing, so another program may write meanwhile
	Salvage      bool             // opens a damaged store with what can be read of it; each fault is told to Report
	Report       func(Fault)      // nil = nobody asks
	Now          func() time.Time // time.Now by default
	NoCompact    bool             // compacts only when told to
}

const (
	defaultSegment = 16 << 20
	minSegment     = 64 << 10
	maxSegment     = 1 << 30
	defaultFeed    = 4 << 20
)

// place is where a key's newest put is.
type place struct {
	seg     *segment
	off, n  uint32 // of its op
	version uint64
}

// segment is a file of the log. Its bytes never change once they are written.
type segment struct {
	seq  uint64
	name string
	file fsys.File
	refs atomic.Int32 // of the store, snapshots and reads; at 0 the file is closed
	size int64        // guarded by the store's mu, as is
	live int64        // how much of it the index needs
}

// hold keeps the file open until drop. The caller holds the store's mu, or another hold.
func (g *segment) hold() { g.refs.Add(1) }

func (g *segment) drop() {
	if g.refs.Add(-1) == 0 {
		g.file.Close()
	}
}

// Store is an open store. Its methods may be called from any goroutine.
type Store struct {
	o    Options
	fs   fsys.FS
	lock io.Closer

	mu      sync.RWMutex
	index   *btree.Map[string, place]
	expires map[string]int64 // Unix ms, of those keys alone that have an end
	segs    []*segment       // oldest first; the last one gets the batches
	version uint64           // the last one in force
	dropped uint64           // the segments up to this one are needed no more
	live    int64            // bytes that the index needs
	broken  error            // why nothing more is written
	snaps   int
	feed    feed
	stats   counters

	worked  atomic.Int64 // ns for which compaction has moved,
	rested  atomic.Int64 // and rested
	clock   atomic.Int64 // Unix ms, the latest that was seen: time does not go back
	queue   chan *commit
	ask     chan compaction
	closing chan struct{}
	gone    chan struct{} // the committer has ended
	once    sync.Once
	wg      sync.WaitGroup
	writer  writer // the committer's alone

	compactFailed time.Time // when a compaction failed last, and none was tried since; its goroutine's alone
}

type counters struct{ batches, synced, moved, compactions uint64 }

// Open opens the store in a folder of files, or makes one there. What a crash left of a batch that was never acknowledged is
// cut off. An error that is an ErrDamaged names file and offset, and nothing was changed.
func Open(fs fsys.FS, o Options) (*Store, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	s := &Store{o: o, fs: fs, index: btree.NewMap[string, place](64), expires: map[string]int64{}, queue: make(chan *commit, maxQueue),
		ask: make(chan compaction), closing: make(chan struct{}), gone: make(chan struct{})}
	s.feed = newFeed(o.FeedBytes)
	if !o.ReadOnly {
		lock, err := fs.Lock("LOCK", o.Owner)
		if err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
		s.lock = lock
	}
	if err := s.recover(); err != nil {
		s.release()
		return nil, fmt.Errorf("store: %w", err)
	}
	if o.ReadOnly {
		s.broken = ErrReadOnly
		return s, nil
	}
	s.wg.Go(s.commits)
	s.wg.Go(s.compacts)
	return s, nil
}

func (o *Options) complete() error {
	if o.SegmentBytes == 0 {
		o.SegmentBytes = defaultSegment
	}
	if o.SegmentBytes < minSegment || o.SegmentBytes > maxSegment {
		return fmt.Errorf("store: segments of %d bytes: %d to %d", o.SegmentBytes, minSegment, maxSegment)
	}
	if o.FeedBytes <= 0 {
		o.FeedBytes = defaultFeed
	}
	if o.Owner == "" {
		o.Owner = fmt.Sprintf("process %d", os.Getpid())
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Report == nil {
		o.Report = func(Fault) {}
	}
	return nil
}

// Close ends the store once what was begun is over. Snapshots stay readable until they are released.
func (s *Store) Close() error {
	s.once.Do(func() { close(s.closing) })
	s.wg.Wait()
	s.release()
	return nil
}

// release lets files and lock go.
func (s *Store) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil || !s.o.ReadOnly {
		s.broken = ErrClosed
	}
	for _, g := range s.segs {
		g.drop()
	}
	s.segs = nil
	s.feed.wake()
	if s.lock != nil {
		s.lock.Close()
		s.lock = nil
	}
}

// now is the time in Unix ms. It does not go back, not even over a restart, or what has ended would be there again.
func (s *Store) now() int64 {
	now := s.o.Now().UnixMilli()
	for {
		last := s.clock.Load()
		if now <= last {
			return last
		}
		if s.clock.CompareAndSwap(last, now) {
			return now
		}
	}
}

// Item is a key with its value.
type Item struct {
	Key     string
	Value   []byte
	Version uint64    // of the batch that put it
	Expires time.Time // zero = never
}

// Get gives a key's value, or ErrNotFound.
func (s *Store) Get(key string) (Item, error) {
	s.mu.RLock()
	p, ok := s.index.Get(key)
	closed := len(s.segs) == 0
	if ok && !closed {
		p.seg.hold()
	}
	s.mu.RUnlock()
	switch {
	case closed:
		return Item{}, ErrClosed
	case !ok:
		return Item{}, ErrNotFound
	}
	defer p.seg.drop()
	item, ended, err := p.read(key, s.now())
	if err == nil && ended {
		err = ErrNotFound
	}
	return item, err
}

// read reads the put at a place, and says whether its time had ended by now.
func (p place) read(key string, now int64) (item Item, ended bool, err error) {
	b := make([]byte, p.n)
	if _, err := p.seg.file.ReadAt(b, int64(p.off)); err != nil {
		return item, false, Fault{p.seg.name, int64(p.off), fmt.Sprintf("reading: %v", err)}
	}
	o, n, err := readOp(b)
	if err != nil || n != len(b) || !checkOp(b) || string(o.key) != key {
		return item, false, Fault{p.seg.name, int64(p.off), fmt.Sprintf("the value of %.40q is not what was written", key)}
	}
	item = Item{Key: key, Value: o.value, Version: p.version}
	if o.expires != 0 {
		item.Expires = time.UnixMilli(o.expires)
	}
	return item, o.expires != 0 && o.expires <= now, nil
}

// Version is the version of the last batch in force.
func (s *Store) Version() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Snapshot is the store as it was at one version. It keeps the files that it needs until Release.
type Snapshot struct {
	Version uint64
	s       *Store
	index   *btree.Map[string, place]
	segs    []*segment
	now     int64
	once    sync.Once
}

// Snapshot takes one. It costs little, but copies nodes of the index as they are changed, and files stay on the disk until
// it is released.
func (s *Store) Snapshot() (*Snapshot, error) {
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.segs) == 0 {
		return nil, ErrClosed
	}
	sn := &Snapshot{Version: s.version, s: s, index: s.index.Copy(), segs: append([]*segment(nil), s.segs...), now: now}
	for _, g := range sn.segs {
		g.hold()
	}
	s.snaps++
	return sn, nil
}

// Release lets the snapshot's files go. It must not be used after that.
func (sn *Snapshot) Release() {
	sn.once.Do(func() {
		for _, g := range sn.segs {
			g.drop()
		}
		sn.s.mu.Lock()
		sn.s.snaps--
		sn.s.mu.Unlock()
	})
}

// Get gives a key's value as it was, or ErrNotFound.
func (sn *Snapshot) Get(key string) (Item, error) {
	p, ok := sn.index.Get(key)
	if !ok {
		return Item{}, ErrNotFound
	}
	item, ended, err := p.read(key, sn.now)
	if err == nil && ended {
		err = ErrNotFound
	}
	return item, err
}

// Scan gives the keys with a prefix from a key on, in the order of their bytes. An error ends it.
func (sn *Snapshot) Scan(prefix, from string) iter.Seq2[Item, error] {
	return func(yield func(Item, error) bool) {
		sn.index.Ascend(max(prefix, from), func(key string, p place) bool {
			if !strings.HasPrefix(key, prefix) {
				return false
			}
			item, ended, err := p.read(key, sn.now)
			if ended {
				return true
			}
			return yield(item, err) && err == nil
		})
	}
}

// Keys gives the keys with a prefix from a key on, with their versions, and reads no values: one whose time has ended may
// be among them.
func (sn *Snapshot) Keys(prefix, from string) iter.Seq2[string, uint64] {
	return func(yield func(string, uint64) bool) {
		sn.index.Ascend(max(prefix, from), func(key string, p place) bool {
			return strings.HasPrefix(key, prefix) && yield(key, p.version)
		})
	}
}

// Stats are figures of a store.
type Stats struct {
	Version     uint64 `json:"version"`
	Keys        int    `json:"keys"`
	Segments    int    `json:"segments"`
	Bytes       int64  `json:"bytes"`      // of all segments
	LiveBytes   int64  `json:"live_bytes"` // of them needed
	Snapshots   int    `json:"snapshots"`
	Batches     uint64 `json:"batches"` // since it was opened, as is what follows
	Syncs       uint64 `json:"syncs"`
	MovedBytes  uint64 `json:"moved_bytes"` // by compaction
	Compactions uint64 `json:"compactions"` // segments that were let go
	ReadOnly    string `json:"read_only,omitempty"`
}

// Stats gives them.
func (s *Store) Stats() Stats {
	s.mu.RLock()
	defer s.mu.RUnlock()
	st := Stats{Version: s.version, Keys: s.index.Len(), Segments: len(s.segs), LiveBytes: s.live, Snapshots: s.snaps, Batches: s.stats.batches,
		Syncs: s.stats.synced, MovedBytes: s.stats.moved, Compactions: s.stats.compactions}
	for _, g := range s.segs {
		st.Bytes += g.size
	}
	if s.broken != nil {
		st.ReadOnly = s.broken.Error()
	}
	return st
}
