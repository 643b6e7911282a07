package store

import (
	"context"
	"sort"
)

// Change is one change of a key. Its value must not be changed.
type Change struct {
	Version uint64
	Key     string
	Value   []byte
	Deleted bool
}

// feed keeps the latest changes for watchers, up to a bound in bytes. The store's mu guards it.
type feed struct {
	limit, bytes int64
	batches      []batchChanges
	oldest       uint64        // changes of versions above this one are all there
	known        bool          // and that is set
	news         chan struct{} // closed when there is more
}

type batchChanges struct {
	version uint64
	changes []Change
	bytes   int64
}

func newFeed(limit int64) feed { return feed{limit: limit, news: make(chan struct{})} }

// add adds a batch. Who waits is woken by wake.
func (f *feed) add(version uint64, changes []Change) {
	if !f.known {
		f.known, f.oldest = true, version-1
	}
	if len(changes) > 0 {
		b := batchChanges{version: version, changes: changes, bytes: 64}
		for i := range changes {
			changes[i].Version = version
			b.bytes += int64(len(changes[i].Key) + len(changes[i].Value) + 72)
		}
		f.batches, f.bytes = append(f.batches, b), f.bytes+b.bytes
	}
	for f.bytes > f.limit {
		f.oldest, f.bytes = f.batches[0].version, f.bytes-f.batches[0].bytes
		f.batches[0] = batchChanges{}
		f.batches = f.batches[1:]
	}
}

// wake wakes who waits for more.
func (f *feed) wake() {
	close(f.news)
	f.news = make(chan struct{})
}

// Watch gives the changes above a version, one batch after the other. A reader that is slower than changes come, by more than
// is kept, gets ErrTooOld and begins anew: with a snapshot, and a watch from its version.
type Watch struct {
	s  *Store
	at uint64
}

// Watch begins one. Nothing needs to be closed.
func (s *Store) Watch(from uint64) *Watch { return &Watch{s, from} }

// Next waits for the next batch and gives its changes. Moves by compaction are none.
func (w *Watch) Next(ctx context.Context) ([]Change, error) {
	for {
		changes, news, err := w.s.after(w.at)
		if err != nil {
			return nil, err
		}
		if len(changes) > 0 {
			w.at = changes[0].Version
			return changes, nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// after is the first batch above a version, or what is closed when there may be one.
func (s *Store) after(version uint64) ([]Change, <-chan struct{}, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f := &s.feed
	i := sort.Search(len(f.batches), func(i int) bool { return f.batches[i].version > version })
	switch {
	case f.known && version < f.oldest || !f.known && version < s.version:
		return nil, nil, ErrTooOld
	case i < len(f.batches):
		return f.batches[i].changes, nil, nil
	case len(s.segs) == 0:
		return nil, nil, ErrClosed
	}
	return nil, f.news, nil
}
