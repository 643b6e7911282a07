package store

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	moveBytes    = 256 << 10              // of puts that are moved with one commit, with one more at most: what a writer may wait for
	compactGap   = 100 * time.Millisecond // between looks whether there is something to compact
	compactRetry = 10 * time.Second       // after a failure
	sweepEvery   = time.Minute            // between looks for keys whose time has ended
	sweepMost    = 1000                   // of them that are deleted with one batch
)

// compaction is one that is asked for.
type compaction struct {
	ctx  context.Context
	done chan error
}

// compacts compacts where there is need, until the store is closed.
func (s *Store) compacts() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		select {
		case <-s.closing:
			stop()
		case <-ctx.Done():
		}
	}()
	look := time.NewTicker(compactGap)
	defer look.Stop()
	swept := time.Now()
	for {
		select {
		case <-s.closing:
			return
		case c := <-s.ask:
			c.done <- s.compactAll(c.ctx)
		case <-look.C:
			if time.Since(swept) > sweepEvery {
				swept = time.Now()
				s.sweep()
			}
			if !s.o.NoCompact {
				s.compactWanted(ctx, time.Now())
			}
		}
	}
}

// compactWanted compacts while there is need. After a failure, as of a full disk or a value that can't be read, it leaves it for
// a while: each try reads a whole segment.
func (s *Store) compactWanted(ctx context.Context, now time.Time) {
	if !s.compactFailed.IsZero() && now.Sub(s.compactFailed) < compactRetry {
		return
	}
	s.compactFailed = time.Time{}
	for s.wants() && ctx.Err() == nil {
		if s.compactOldest(ctx, true) != nil {
			s.compactFailed = now
			return
		}
	}
}

// wants says whether more than half of the log is not needed, two segments aside. So the log has at most twice the bytes that
// are needed and three segments, whatever is done, as long as compaction keeps up.
func (s *Store) wants() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.broken != nil || len(s.segs) < 3 {
		return false
	}
	total := int64(0)
	for _, g := range s.segs {
		total += g.size
	}
	return total > 2*s.live+2*s.o.SegmentBytes
}

// Compact moves all that is needed to new segments, and lets the ones before go.
func (s *Store) Compact(ctx context.Context) error {
	if s.o.ReadOnly {
		return ErrReadOnly
	}
	c := compaction{ctx, make(chan error, 1)}
	select {
	case s.ask <- c:
	case <-s.closing:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	return <-c.done
}

func (s *Store) compactAll(ctx context.Context) error {
	s.mu.RLock()
	if len(s.segs) == 0 {
		s.mu.RUnlock()
		return ErrClosed
	}
	last := s.segs[len(s.segs)-1].seq
	s.mu.RUnlock()
	if _, err := s.submit(&commit{roll: true}); err != nil {
		return err
	}
	for {
		s.mu.RLock()
		done := s.segs[0].seq > last
		s.mu.RUnlock()
		if done {
			return nil
		}
		if err := s.compactOldest(ctx, false); err != nil {
			return err
		}
	}
}

// compactOldest moves what is needed of the oldest segment to the end of the log and lets it go. It is always the oldest: so
// nothing older is left that a deletion would have to hide, and deletions need not be moved. gently has it rest for as long
// as it has worked, so that it takes half of the disk's time at most.
func (s *Store) compactOldest(ctx context.Context, gently bool) error {
	s.mu.RLock()
	if len(s.segs) < 2 {
		s.mu.RUnlock()
		return fmt.Errorf("store: there is one segment, which is written")
	}
	g := s.segs[0]
	g.hold()
	s.mu.RUnlock()
	defer g.drop()
	b, err := g.content()
	if err != nil {
		return err
	}
	for c := range s.movable(g, b) {
		began := time.Now()
		if _, err := s.submit(c); err != nil {
			return err
		}
		worked := time.Since(began)
		s.worked.Add(int64(worked))
		if gently {
			began = time.Now()
			rest(ctx, worked)
			s.rested.Add(int64(time.Since(began)))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return s.letGo(g)
}

func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// movable gives what is needed of a segment, in portions.
func (s *Store) movable(g *segment, b []byte) func(yield func(*commit) bool) {
	return func(yield func(*commit) bool) {
		c, size, now := &commit{}, 0, s.now()
		for off := int64(headSize); off >= 0 && off < g.size; {
			f, err := readFrame(b[off:])
			if err != nil { // damaged, and opened all the same
				off = resume(b, off+1)
				continue
			}
			f.off = off
			var all []moved
			err = f.ops(func(o op, at int64, n int) {
				if o.kind == opPut {
					o.version = f.version
				}
				all = append(all, moved{o, place{g, uint32(at), uint32(n), o.version}})
			})
			if err != nil {
				off += f.size()
				continue
			}
			for _, m := range all {
				if !s.needs(m) {
					continue
				}
				if m.expires != 0 && m.expires <= now {
					c.forget = append(c.forget, m)
					continue
				}
				c.move, size = append(c.move, m), size+m.size()
				if size >= moveBytes {
					if !yield(c) {
						return
					}
					c, size = &commit{}, 0
				}
			}
			off += f.size()
		}
		if len(c.move)+len(c.forget) > 0 {
			yield(c)
		}
	}
}

// needs says whether the index points to a put.
func (s *Store) needs(m moved) bool {
	if m.kind != opPut && m.kind != opMove {
		return false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index.Get(string(m.key))
	return ok && p == m.from
}

// letGo removes a segment of which nothing is needed. That it is not needed is written and synced first: a crash in between
// leaves the file, and recovery removes it.
func (s *Store) letGo(g *segment) error {
	if err := s.unneeded(g); err != nil {
		return err
	}
	if _, err := s.submit(&commit{drop: g.seq}); err != nil {
		return err
	}
	s.mu.Lock()
	s.segs = slices.Clone(s.segs[1:]) // snapshots have the old list
	s.stats.compactions++
	s.mu.Unlock()
	g.drop()
	if err := s.fs.Remove(g.name); err != nil {
		return fmt.Errorf("store: %s: %w", g.name, err) // it is removed when the store is opened again
	}
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// unneeded makes sure that the index needs nothing of a segment. Something that could not be read may be left.
func (s *Store) unneeded(g *segment) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if g.live == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s: %d bytes that are needed can't be read; the file is kept", ErrDamaged, g.name, g.live)
}

// sweep deletes keys whose time has ended.
func (s *Store) sweep() {
	for now := s.now(); ; {
		var b Batch
		s.mu.RLock()
		for key, ends := range s.expires {
			if ends <= now && len(b.ops) < sweepMost {
				b.Expect(key, 0) // and not put again meanwhile
				b.Delete(key)
			}
		}
		s.mu.RUnlock()
		if len(b.ops) == 0 {
			return
		}
		if _, err := s.Apply(&b); err != nil {
			return // at the next look
		}
	}
}
