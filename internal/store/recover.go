package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
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
	if err := r.segments(files); err != nil {
		return err
	}
	if err := r.dropped(); err != nil {
		return err
	}
	if s.o.ReadOnly {
		return nil
	}
	if err := s.mend(&r); err != nil {
		return err
	}
	return s.feedAgain()
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

// decoded is what one segment holds.
type decoded struct {
	err          error // it could not be read at all
	cut          bool  // its head was cut off
	headErr      error
	head         segmentHead
	faults       []Fault
	entries      []entry // by key, the last one of each
	length       uint64  // of the file
	end          int64   // behind the last batch
	version      uint64  // the last one
	time         int64   // the latest
	dropped      uint64
	torn, endCut bool // its tail
}

// entry is the last change of a key in a segment.
type entry struct {
	key     string
	off, n  uint32 // n = 0: it is deleted
	version uint64
	expires int64
}

// fault reports damage, and is the error of a recovery that must not go on with it.
func (r *replay) fault(f Fault) error {
	r.faults++
	r.s.o.Report(f)
	if r.salvage {
		return nil
	}
	return f
}

// segments reads all segments, some at once, and applies them in their order. So what is in hand is bounded by that many
// segments.
func (r *replay) segments(files []*segment) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ahead := runtime.GOMAXPROCS(0)
	results := make([]chan decoded, len(files))
	start := func(i int) {
		results[i] = make(chan decoded, 1)
		wg.Go(func() { results[i] <- decode(files[i], i == len(files)-1) })
	}
	for i := range min(ahead, len(files)) {
		start(i)
	}
	for i, g := range files {
		if err := r.segment(g, <-results[i], i == len(files)-1); err != nil {
			return err
		}
		if i+ahead < len(files) {
			start(i + ahead)
		}
	}
	return nil
}

// segment applies one segment; final is the last one, the only one that may have a torn tail.
func (r *replay) segment(g *segment, d decoded, final bool) error {
	var format *FormatError
	switch {
	case d.err != nil:
		return d.err
	case d.cut && final:
		r.headless = g
		return nil
	case errors.As(d.headErr, &format):
		return fmt.Errorf("%s: %w", g.name, d.headErr)
	case d.headErr != nil:
		if err := r.fault(Fault{g.name, 0, d.headErr.Error()}); err != nil {
			return err
		}
	default:
		if err := r.follows(g, d.head); err != nil {
			return err
		}
	}
	for _, f := range d.faults {
		if err := r.fault(f); err != nil {
			return err
		}
	}
	r.last, r.sizes, g.size = g, d.length, d.end
	r.cut, r.endless = d.torn, d.endCut
	r.apply(g, &d)
	return nil
}

// follows checks that a segment is the next one after those before.
func (r *replay) follows(g *segment, head segmentHead) error {
	s := r.s
	switch {
	case head.seq != g.seq:
		return r.fault(Fault{g.name, 16, fmt.Sprintf("this is segment %d", head.seq)})
	case r.last == nil:
		return nil
	case g.seq != r.last.seq+1:
		return r.fault(Fault{g.name, 0, fmt.Sprintf("the segments ahead of it, from "+segmentName+" on, are missing", r.last.seq+1)})
	case head.prevSize != r.sizes:
		return r.fault(Fault{r.last.name, int64(min(head.prevSize, r.sizes)), fmt.Sprintf("the file has %d bytes, and had %d when it was finished", r.sizes, head.prevSize)})
	case head.version != s.version:
		return r.fault(Fault{g.name, 32, fmt.Sprintf("it goes on from version %d, and the one before ends with %d", head.version, s.version)})
	}
	return nil
}

// decode reads a segment. It is called for several at once.
func decode(g *segment, final bool) (d decoded) {
	b, err := g.content()
	if err != nil {
		return decoded{err: err}
	}
	d.length = uint64(len(b))
	if d.head, d.cut, d.headErr = readHead(b); d.cut && final {
		return d
	}
	d.version = d.head.version
	var keys []byte // all in one piece: a string for each would be most of what is allocated
	var ends []int
	take := func(f *frame) {
		f.ops(func(o op, off int64, n int) { //nolint:errcheck // it was checked
			e := entry{off: uint32(off), n: uint32(n), version: f.version, expires: o.expires}
			switch o.kind {
			case opDrop:
				d.dropped = max(d.dropped, o.version)
				return
			case opMove:
				e.version = o.version
			case opDelete:
				e.n = 0
			}
			keys = append(keys, o.key...)
			d.entries, ends = append(d.entries, e), append(ends, len(keys))
		})
		d.version, d.time = f.version, max(d.time, f.time)
	}
	d.end = d.frames(g, b, final, take)
	all, from := string(keys), 0
	for i, end := range ends {
		d.entries[i].key, from = all[from:end], end
	}
	d.entries = lasts(d.entries)
	return d
}

// lasts sorts entries by their keys and keeps the last one of each.
func lasts(all []entry) []entry {
	slices.SortStableFunc(all, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	kept := all[:0]
	for i, e := range all {
		if i+1 == len(all) || all[i+1].key != e.key {
			kept = append(kept, e)
		}
	}
	return kept
}

// frames calls take for each batch of a segment that can be read, and notes faults. It gives where the last one ends.
func (d *decoded) frames(g *segment, b []byte, final bool, take func(f *frame)) int64 {
	off := int64(headSize)
	for off < int64(len(b)) {
		f, err := readFrame(b[off:])
		if f.off = off; err == nil {
			err = f.ops(func(op, int64, int) {}) // whole or not at all
		}
		if err == nil {
			if f.version != d.version+1 && (d.headErr == nil || off > headSize) {
				d.faults = append(d.faults, Fault{g.name, off, fmt.Sprintf("batch %d follows on %d", f.version, d.version)})
			}
			take(&f)
			off += f.size()
			continue
		}
		if f, ok := endCut(b[off:]); ok && final && f.version == d.version+1 && f.ops(func(op, int64, int) {}) == nil {
			f.off = off
			take(&f)
			d.torn, d.endCut = true, true
			return off + f.size()
		}
		if final && torn(b[off:]) {
			d.torn = true
			return off
		}
		d.faults = append(d.faults, Fault{g.name, off, err.Error()})
		if off = resume(b, off+1); off < 0 {
			return int64(len(b)) // nothing can be read of the rest; it stays where it is
		}
	}
	return off
}

// apply brings what a segment holds into the index.
func (r *replay) apply(g *segment, d *decoded) {
	s := r.s
	for _, e := range d.entries {
		if e.n == 0 {
			s.unset(e.key)
		} else {
			s.set(e.key, place{g, e.off, e.n, e.version}, e.expires)
		}
	}
	s.version = max(s.version, d.version)
	s.dropped = max(s.dropped, d.dropped)
	s.clock.Store(max(s.clock.Load(), d.time))
}

// feedAgain fills the feed with the latest changes that the log has.
func (s *Store) feedAgain() error {
	from, bytes := len(s.segs), int64(0)
	for from > 0 && bytes < s.o.FeedBytes {
		from--
		bytes += s.segs[from].size
	}
	for _, g := range s.segs[from:] {
		b, err := g.content()
		if err != nil {
			return err
		}
		var d decoded
		d.frames(g, b[:min(g.size, int64(len(b)))], false, func(f *frame) {
			var changes []Change
			f.ops(func(o op, _ int64, _ int) { //nolint:errcheck // it was checked
				if o.kind == opPut || o.kind == opDelete {
					changes = append(changes, Change{Key: string(o.key), Value: slices.Clone(o.value), Deleted: o.kind == opDelete})
				}
			})
			s.feed.add(f.version, changes)
		})
	}
	return nil
}

// maxTries bounds the heads of frames without a right frame behind them that are looked at, each of which may name a great
// length.
const maxTries = 1000

// resume finds the next frame that can be read from an offset on, or -1.
func resume(b []byte, from int64) int64 {
	tries := 0
	for off := from; off+frameHead <= int64(len(b)) && tries < maxTries; off++ {
		if b[off] != frameMagic&0xff {
			continue
		}
		if _, _, ok := readFrameHead(b[off:]); !ok {
			continue
		}
		tries++
		if f, err := readFrame(b[off:]); err == nil && f.ops(func(op, int64, int) {}) == nil {
			return off
		}
	}
	return -1
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
		if err := r.fault(Fault{keep[0].name, 0, fmt.Sprintf("the segments ahead of it, from "+segmentName+" on, are missing", s.dropped+1)}); err != nil {
			return err
		}
	}
	if len(keep) > 0 && keep[0].seq != s.dropped+1 && r.headless == keep[0] && keep[0].seq > 1 {
		if err := r.fault(Fault{keep[0].name, 0, "the head is cut short, and no segment is ahead of it"}); err != nil {
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
