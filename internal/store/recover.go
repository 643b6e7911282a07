package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"mossproxy.example/mossproxy/internal/store/fsys"
)

// maxReopen is how often a list of segments is read again because one went meanwhile, as where another program compacts.
const maxReopen = 20

// recover reads what is there and makes it fit for use.
func (s *Store) recover() error {
	files, err := openSegments(s.fs, !s.o.ReadOnly)
	if err != nil {
		return err
	}
	s.segs = files
	r := replay{s: s, salvage: s.o.Salvage}
	for i, g := range files {
		if err := r.segment(g, i == len(files)-1); err != nil {
			return err
		}
	}
	if err := r.dropped(); err != nil {
		return err
	}
	if s.o.ReadOnly {
		return nil
	}
	return s.mend(&r)
}

// openSegments opens all segments, in their order.
func openSegments(fs fsys.FS, write bool) ([]*segment, error) {
	for range maxReopen {
		names, err := fs.List()
		if err != nil {
			return nil, err
		}
		segs, err := openAll(fs, names, write)
		if err == nil || !errors.Is(err, os.ErrNotExist) {
			return segs, err
		}
	}
	return nil, fmt.Errorf("segments go faster than they can be opened")
}

func openAll(fs fsys.FS, names []string, write bool) (segs []*segment, err error) {
	defer func() {
		if err != nil {
			for _, g := range segs {
				g.drop()
			}
			segs = nil
		}
	}()
	for _, name := range names {
		var seq uint64
		if n, err := fmt.Sscanf(name, segmentName, &seq); n != 1 || err != nil || fmt.Sprintf(segmentName, seq) != name {
			continue
		}
		f, err := fs.Open(name, write)
		if err != nil {
			return segs, err
		}
		g := &segment{seq: seq, name: name, file: f}
		g.refs.Store(1)
		segs = append(segs, g)
	}
	slices.SortFunc(segs, func(a, b *segment) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	return segs, nil
}

// content reads a segment as it is.
func (g *segment) content() ([]byte, error) {
	size, err := g.file.Size()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.name, err)
	}
	b := make([]byte, size)
	if size == 0 {
		return b, nil
	}
	if n, err := g.file.ReadAt(b, 0); n < len(b) {
		return nil, fmt.Errorf("%s: offset %d: reading: %w", g.name, n, err)
	}
	return b, nil
}

// replay is a recovery under way.
type replay struct {
	s        *Store
	salvage  bool
	headless *segment // the last one, whose head was cut off as it was made
	cut      bool     // the last one has a torn tail
	endless  bool     // its last batch lacks its end mark, and is whole but for that
	faults   int
	sizes    uint64 // of the segment before
	last     *segment
}

// fault reports damage, and is the error of a recovery that must not go on with it.
func (r *replay) fault(g *segment, off int64, format string, args ...any) error {
	f := Fault{g.name, off, fmt.Sprintf(format, args...)}
	r.faults++
	r.s.o.Report(f)
	if r.salvage {
		return nil
	}
	return f
}

// segment reads one segment; final is the last one, the only one that may have a torn tail.
func (r *replay) segment(g *segment, final bool) error {
	b, err := g.content()
	if err != nil {
		return err
	}
	head, cut, err := readHead(b)
	if cut && final {
		r.headless = g
		return nil
	}
	var format *FormatError
	if errors.As(err, &format) {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	if err != nil {
		if err := r.fault(g, 0, "%v", err); err != nil {
			return err
		}
	} else if err := r.follows(g, head); err != nil {
		return err
	}
	r.last, r.sizes = g, uint64(len(b))
	return r.frames(g, b, final)
}

// follows checks that a segment is the next one after those before.
func (r *replay) follows(g *segment, head segmentHead) error {
	s := r.s
	if head.seq != g.seq {
		return r.fault(g, 16, "this is segment %d", head.seq)
	}
	if r.last == nil {
		s.version = head.version
		return nil
	}
	if g.seq != r.last.seq+1 {
		if err := r.fault(g, 0, "the segments ahead of it, from "+segmentName+" on, are missing", r.last.seq+1); err != nil {
			return err
		}
	} else if head.prevSize != r.sizes {
		if err := r.fault(r.last, int64(min(head.prevSize, r.sizes)), "the file has %d bytes, and had %d when it was finished", r.sizes, head.prevSize); err != nil {
			return err
		}
	} else if head.version != s.version {
		if err := r.fault(g, 32, "it goes on from version %d, and the one before ends with %d", head.version, s.version); err != nil {
			return err
		}
	}
	s.version = max(s.version, head.version)
	return nil
}

// frames replays a segment's batches.
func (r *replay) frames(g *segment, b []byte, final bool) error {
	s, off := r.s, int64(headSize)
	for off < int64(len(b)) {
		f, err := readFrame(b[off:])
		if f.off = off; err == nil && f.version != s.version+1 {
			if err := r.fault(g, off, "batch %d follows on %d", f.version, s.version); err != nil {
				return err
			}
		}
		if err == nil {
			err = r.apply(g, &f)
		}
		if err == nil {
			off += f.size()
			continue
		}
		if f, ok := endCut(b[off:]); ok && final {
			f.off = off
			if f.version == s.version+1 && r.apply(g, &f) == nil {
				off += f.size()
				r.cut, r.endless = true, true
				break
			}
		}
		if final && torn(b[off:]) {
			r.cut = true
			break
		}
		if err := r.fault(g, off, "%v", err); err != nil {
			return err
		}
		if off = resume(b, off+1); off < 0 {
			off = int64(len(b)) // nothing can be read of the rest; it stays where it is
		}
	}
	g.size = off
	return nil
}

// resume finds the next frame that can be read from an offset on, or -1.
func resume(b []byte, from int64) int64 {
	for off := from; off+frameHead <= int64(len(b)); off++ {
		if b[off] != frameMagic&0xff {
			continue
		}
		if _, err := readFrame(b[off:]); err == nil {
			return off
		}
	}
	return -1
}

// apply brings a batch into the index.
func (r *replay) apply(g *segment, f *frame) error {
	s := r.s
	if err := f.ops(func(op, int64, int) {}); err != nil { // whole or not at all
		return err
	}
	changes := []Change(nil)
	f.ops(func(o op, off int64, n int) { //nolint:errcheck // as above
		switch o.kind {
		case opDrop:
			s.dropped = max(s.dropped, o.version)
		case opDelete:
			s.unset(string(o.key))
			changes = append(changes, Change{Key: string(o.key), Deleted: true})
		default:
			key := string(o.key)
			if old, ok := s.index.Get(key); ok && old.version > o.version {
				return
			}
			s.set(key, place{g, uint32(off), uint32(n), o.version}, o.expires)
			if o.kind == opPut {
				changes = append(changes, Change{Key: key, Value: slices.Clone(o.value)})
			}
		}
	})
	s.version = f.version
	s.clock.Store(max(s.clock.Load(), f.time))
	s.feed.publish(f.version, changes)
	return nil
}

// set has the index point to a put. The caller holds mu, or is alone.
func (s *Store) set(key string, p place, expires int64) {
	old, had := s.index.Set(key, p)
	if had {
		s.lives(old, -1)
	}
	s.lives(p, 1)
	if expires != 0 {
		s.expires[key] = expires
	} else if len(s.expires) > 0 {
		delete(s.expires, key)
	}
}

// unset forgets a key.
func (s *Store) unset(key string) {
	if old, had := s.index.Delete(key); had {
		s.lives(old, -1)
		delete(s.expires, key)
	}
}

// lives books what is needed of a segment.
func (s *Store) lives(p place, sign int64) {
	n := sign * (int64(p.n) + frameHead + frameTail) // as if it were alone in its batch
	p.seg.live += n
	s.live += n
}

// dropped checks that no segment is missing that is needed, and leaves out those that are needed no more. Where the last
// file has no head it counts too: it follows on those before.
func (r *replay) dropped() error {
	s := r.s
	keep := s.segs[:0:0]
	var gone []*segment
	for _, g := range s.segs {
		if g.seq <= s.dropped {
			gone = append(gone, g)
		} else {
			keep = append(keep, g)
		}
	}
	if len(keep) > 0 && keep[0].seq != s.dropped+1 && r.headless != keep[0] {
		if err := r.fault(keep[0], 0, "the segments ahead of it, from "+segmentName+" on, are missing", s.dropped+1); err != nil {
			return err
		}
	}
	if len(keep) > 0 && keep[0].seq != s.dropped+1 && r.headless == keep[0] && keep[0].seq > 1 {
		if err := r.fault(keep[0], 0, "the head is cut short, and no segment is ahead of it"); err != nil {
			return err
		}
	}
	s.segs = keep
	if s.o.ReadOnly {
		return nil
	}
	for _, g := range gone {
		g.drop()
	}
	for _, g := range gone {
		if err := s.fs.Remove(g.name); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
	}
	if len(gone) > 0 {
		return s.fs.SyncDir()
	}
	return nil
}

// mend cuts off what a crash has left, and makes ready for the next batch.
func (s *Store) mend(r *replay) error {
	if g := r.headless; g != nil {
		s.segs = s.segs[:len(s.segs)-1]
		if err := s.fs.Remove(g.name); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		g.drop()
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
	}
	if len(s.segs) == 0 {
		return s.roll()
	}
	g := s.segs[len(s.segs)-1]
	if r.cut {
		if r.endless {
			if _, err := g.file.WriteAt(binary.LittleEndian.AppendUint32(nil, endMagic), g.size-4); err != nil {
				return fmt.Errorf("%s: %w", g.name, err)
			}
		}
		if err := g.cut(g.size); err != nil {
			return err
		}
	}
	// What an unclean end left unsynced was read here and may be acted on: it must last from now on.
	if err := g.file.Sync(); err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return err
	}
	if r.faults > 0 {
		return s.roll() // nothing more goes into a damaged segment
	}
	return nil
}

// cut takes off what is behind size. It is synced, or what is written there next could be found mixed with it.
func (g *segment) cut(size int64) error {
	if err := g.file.Truncate(size); err != nil {
		return fmt.Errorf("%s: cutting off a torn tail: %w", g.name, err)
	}
	if err := g.file.Sync(); err != nil {
		return fmt.Errorf("%s: cutting off a torn tail: %w", g.name, err)
	}
	return nil
}

// Check reads a whole store and gives all faults, without changing anything. The error is one that kept it from reading.
func Check(fs fsys.FS) (faults []Fault, err error) {
	s, err := Open(fs, Options{ReadOnly: true, Salvage: true, Report: func(f Fault) { faults = append(faults, f) }, Now: func() time.Time { return time.UnixMilli(0) }})
	if err != nil {
		return faults, err
	}
	return faults, s.Close()
}
