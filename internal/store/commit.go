package store

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"syscall"
	"time"
)

const (
	maxQueue   = 256     // batches that wait for the committer; who comes with one more waits
	maxGroup   = 4 << 20 // bytes that are written and synced together, with one batch more at most
	frameExtra = frameHead + frameTail
)

// Batch is a set of changes that is there whole or not at all. The zero value is empty. It must not be changed once it is
// applied.
type Batch struct {
	ops    []op
	expect []expectation
	bytes  int
	err    error
	loose  bool
}

type expectation struct {
	key     string
	version uint64
}

// Put sets a key's value. Neither may be changed by the caller until the batch is applied.
func (b *Batch) Put(key string, value []byte) { b.put(key, value, 0) }

// PutUntil sets a key's value until a time. Then the key reads as if it were not there; its space is used again some time
// later.
func (b *Batch) PutUntil(key string, value []byte, until time.Time) {
	b.put(key, value, max(1, until.UnixMilli()))
}

func (b *Batch) put(key string, value []byte, expires int64) {
	b.add(op{kind: opPut, key: []byte(key), value: value, expires: expires})
}

// Delete takes a key out, whether it is there or not.
func (b *Batch) Delete(key string) { b.add(op{kind: opDelete, key: []byte(key)}) }

// Expect has the batch refused with ErrConflict, whole, unless the key has that version; 0 = is not there.
func (b *Batch) Expect(key string, version uint64) {
	b.expect = append(b.expect, expectation{key, version})
}

// Loose has Apply return before the batch is synced: others see it at once, and a crash may take it back, with all loose ones
// after it. What is acknowledged as synced later is never there without it.
func (b *Batch) Loose() { b.loose = true }

func (b *Batch) add(o op) {
	b.bytes += o.size()
	switch {
	case len(o.key) == 0 || len(o.key) > MaxKey:
		b.err = fmt.Errorf("%w: a key of %d bytes: 1 to %d", ErrTooLarge, len(o.key), MaxKey)
	case len(o.value) > MaxValue:
		b.err = fmt.Errorf("%w: a value of %d bytes: %d at most", ErrTooLarge, len(o.value), MaxValue)
	case b.bytes > MaxBatch || len(b.ops) >= MaxOps:
		b.err = fmt.Errorf("%w: a batch of over %d bytes or %d ops", ErrTooLarge, MaxBatch, MaxOps)
	default:
		b.ops = append(b.ops, o)
	}
}

// commit is something for the committer to write.
type commit struct {
	*Batch
	move   []moved // instead of a batch: puts that compaction moves
	drop   uint64  // instead of a batch: the segments up to this one are needed no more
	forget []moved // keys that have ended, and are not moved
	roll   bool    // instead of a batch: begins a new segment
	done   chan result

	body    []byte    // of a batch, as it is stored
	puts    []indexed // with their places in it
	changes []Change  // whose values are of it
}

type result struct {
	version uint64
	err     error
}

// moved is a put that is to be moved, with where it is.
type moved struct {
	op
	from place
}

// Apply carries out a batch and gives its version: all its changes are in force, and last, once it returns without an error.
// With ErrConflict, ErrTooLarge and ErrFull nothing of it is there or will be. With ErrReadOnly and a cause it may be found in
// the store when that is opened again, whole.
func (s *Store) Apply(b *Batch) (version uint64, err error) {
	if b.err != nil {
		return 0, b.err
	}
	return s.submit(b.commit())
}

// commit is the batch as it is stored. Its caller makes that, so that the committer has little to do for each.
func (b *Batch) commit() *commit {
	c := &commit{Batch: b, body: make([]byte, 0, b.bytes), puts: make([]indexed, 0, len(b.ops)), changes: make([]Change, 0, len(b.ops))}
	for _, o := range b.ops {
		key, at := string(o.key), len(c.body)
		c.body = o.append(c.body)
		p := indexed{key: key, off: at, n: o.size(), expires: o.expires}
		if o.kind == opDelete {
			p.n = 0
		}
		c.puts = append(c.puts, p)
		c.changes = append(c.changes, Change{Key: key, Value: c.body[at+opHead+len(key) : len(c.body) : len(c.body)], Deleted: o.kind == opDelete})
	}
	return c
}

// Put is a batch of one.
func (s *Store) Put(key string, value []byte) (version uint64, err error) {
	var b Batch
	b.Put(key, value)
	return s.Apply(&b)
}

// Delete is a batch of one.
func (s *Store) Delete(key string) (version uint64, err error) {
	var b Batch
	b.Delete(key)
	return s.Apply(&b)
}

func (s *Store) submit(c *commit) (uint64, error) {
	if s.o.ReadOnly {
		return 0, ErrReadOnly
	}
	c.done = make(chan result, 1)
	select {
	case <-s.closing:
		return 0, ErrClosed
	default:
	}
	select {
	case s.queue <- c:
	case <-s.closing:
		return 0, ErrClosed
	}
	select {
	case r := <-c.done:
		return r.version, r.err
	case <-s.gone: // nobody takes it any more, unless that was just before
	}
	select {
	case r := <-c.done:
		return r.version, r.err
	default:
		return 0, ErrClosed
	}
}

// writer is what the committer works with.
type writer struct {
	buf     []byte
	news    map[string]uint64 // versions of keys in this group; 0 = deleted
	pending []pending
	version uint64
	again   []*commit
	tells   bool // news is kept: something in this group asks for it
}

// pending is a commit that is in the buffer.
type pending struct {
	c       *commit
	at      int // its frame in the buffer
	version uint64
	puts    []indexed // with their places in the buffer from at on, behind the frame's head
}

// indexed is a change of the index. n = 0: the key goes.
type indexed struct {
	key     string
	off     int
	n       int
	version uint64 // 0 = the batch's
	expires int64
}

// commits writes what comes, as much as has come meanwhile in one go, until the store is closed. It alone writes.
func (s *Store) commits() {
	defer close(s.gone)
	defer s.refuse()
	for {
		var c *commit
		select {
		case c = <-s.queue:
		case <-s.closing:
			return
		}
		s.group(s.gather(c))
	}
}

// refuse answers what still waits when the store is closed.
func (s *Store) refuse() {
	for {
		select {
		case c := <-s.queue:
			c.done <- result{err: ErrClosed}
		default:
			return
		}
	}
}

// maxYields bounds how often the committer lets others go first before it gathers.
const maxYields = 32

// gather takes what waits behind the first. Those whose batches have just been acknowledged are about to come with their next:
// without a moment for them every other group would be of one or two, at the cost of a sync.
func (s *Store) gather(c *commit) []*commit {
	for n := 0; n < maxYields && len(s.queue) < len(s.writer.again)/2; n++ {
		runtime.Gosched()
	}
	group, size := append(s.writer.again[:0], c), c.size()
	for size < maxGroup {
		select {
		case c := <-s.queue:
			group, size = append(group, c), size+c.size()
		default:
			s.writer.again = group
			return group
		}
	}
	s.writer.again = group
	return group
}

func (c *commit) size() int {
	if c.Batch != nil {
		return c.bytes
	}
	n := 0
	for _, m := range c.move {
		n += m.size()
	}
	return n
}

// group writes, syncs and acknowledges commits.
func (s *Store) group(group []*commit) {
	w := &s.writer
	w.buf, w.pending, w.version = w.buf[:0], w.pending[:0], s.version
	w.tells = slices.ContainsFunc(group, func(c *commit) bool { return len(c.move) > 0 || c.Batch != nil && len(c.expect) > 0 })
	clear(w.news)
	now, loose := s.now(), true
	unusable := s.usable()
	for _, c := range group {
		if unusable != nil {
			c.done <- result{err: unusable}
			continue
		}
		if c.roll {
			err := s.roll()
			if err != nil {
				err = s.failed(err)
				unusable = s.usable()
			}
			c.done <- result{err: err}
			continue
		}
		if err := s.encode(c, now); err != nil {
			c.done <- result{err: err}
			continue
		}
		loose = loose && c.Batch != nil && c.loose
	}
	if len(w.pending) == 0 {
		return
	}
	g, err := s.write(w.buf)
	if err == nil && !loose {
		err = s.sync(g)
	}
	if err != nil {
		s.answer(err)
		return
	}
	s.publish(g)
	s.answer(nil)
	if loose {
		s.sync(g) //nolint:errcheck // nobody was promised it; what comes next is refused
	}
	if cap(w.buf) > 2*maxGroup { // one very large batch is no reason to keep so much
		w.buf = nil
	}
}

// usable says why nothing can be written.
func (s *Store) usable() error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.broken
}

// encode adds a commit to the buffer, or says why it is refused. Where nothing is to be written of it, it is answered.
func (s *Store) encode(c *commit, now int64) error {
	w := &s.writer
	if c.Batch != nil {
		for _, e := range c.expect {
			if has := s.has(e.key, now); has != e.version {
				return fmt.Errorf("%w: %.40q has version %d, not %d", ErrConflict, e.key, has, e.version)
			}
		}
	}
	p := pending{c: c, at: len(w.buf), version: w.version + 1, puts: c.puts}
	w.buf = append(startFrame(w.buf), c.body...)
	count := len(c.puts)
	for _, m := range c.move {
		if s.still(m) {
			o := m.op
			o.kind = opMove
			p.puts = append(p.puts, indexed{string(o.key), len(w.buf) - p.at - frameHead, o.size(), o.version, o.expires})
			w.buf = o.append(w.buf)
			count++
		}
	}
	if c.drop > 0 {
		w.buf = op{kind: opDrop, version: c.drop}.append(w.buf)
		count++
	}
	if count == 0 && len(c.forget) == 0 { // an empty batch, or puts that have been overtaken
		w.buf = w.buf[:p.at]
		c.done <- result{version: s.version}
		return nil
	}
	w.tell(p)
	w.version = p.version
	w.buf = endFrame(w.buf, p.at, p.version, now, count)
	w.pending = append(w.pending, p)
	return nil
}

// tell keeps the versions of the keys of a commit, where something in the group asks for them.
func (w *writer) tell(p pending) {
	if !w.tells {
		return
	}
	if w.news == nil {
		w.news = map[string]uint64{}
	}
	for _, c := range p.puts {
		w.news[c.key] = p.versionOf(c)
		if c.n == 0 {
			w.news[c.key] = 0
		}
	}
}

// versionOf is the version that a put has.
func (p *pending) versionOf(c indexed) uint64 {
	if c.version != 0 {
		return c.version
	}
	return p.version
}

// has is the version of a key ahead of the next commit, 0 where it is not there.
func (s *Store) has(key string, now int64) uint64 {
	if v, ok := s.writer.news[key]; ok {
		return v
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index.Get(key)
	if ends := s.expires[key]; !ok || ends != 0 && ends <= now {
		return 0
	}
	return p.version
}

// still says whether a put is where it was, and in force.
func (s *Store) still(m moved) bool {
	if _, ok := s.writer.news[string(m.key)]; ok {
		return false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.index.Get(string(m.key))
	return ok && p == m.from
}

// write puts bytes at the end of the log, without a sync.
func (s *Store) write(b []byte) (*segment, error) {
	s.mu.RLock()
	g := s.segs[len(s.segs)-1]
	s.mu.RUnlock()
	if g.size > headSize && g.size+int64(len(b)) > s.o.SegmentBytes {
		if err := s.roll(); err != nil {
			return nil, s.failed(err)
		}
		s.mu.RLock()
		g = s.segs[len(s.segs)-1]
		s.mu.RUnlock()
	}
	if _, err := g.file.WriteAt(b, g.size); err != nil {
		err = fmt.Errorf("%s: offset %d: %w", g.name, g.size, err)
		if !full(err) {
			return nil, s.failed(err)
		}
		if cut := g.cut(g.size); cut != nil {
			return nil, s.failed(cut)
		}
		return nil, fmt.Errorf("%w: %w", ErrFull, err)
	}
	return g, nil
}

// full says whether an error is a full disk's, which goes away when there is room.
func full(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// failed ends all writing: after a failed write or sync nobody knows what the disk holds, and a second sync would succeed
// without having written what the first could not.
func (s *Store) failed(err error) error {
	if full(err) && errors.Is(err, errNotMade) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken == nil {
		s.broken = fmt.Errorf("%w since %w; open it anew to go on", ErrReadOnly, err)
	}
	return s.broken
}

func (s *Store) sync(g *segment) error {
	if err := g.file.Sync(); err != nil {
		return s.failed(fmt.Errorf("%s: sync: %w", g.name, err))
	}
	s.mu.Lock()
	s.stats.synced++
	s.mu.Unlock()
	return nil
}

// errNotMade marks errors of a new segment of which nothing is left.
var errNotMade = errors.New("no new segment")

// roll begins a new segment. All of the one before is synced.
func (s *Store) roll() error {
	s.mu.RLock()
	head := segmentHead{seq: s.dropped + 1, version: s.version}
	if n := len(s.segs); n > 0 {
		last := s.segs[n-1]
		head.seq = last.seq + 1
		size, err := last.file.Size() // where it is damaged, there is more in it than is used
		if err != nil {
			s.mu.RUnlock()
			return fmt.Errorf("%s: %w", last.name, err)
		}
		head.prevSize = uint64(size)
	}
	s.mu.RUnlock()
	g := &segment{seq: head.seq, name: fmt.Sprintf(segmentName, head.seq), size: headSize}
	if err := s.make(g, head); err != nil {
		return err
	}
	s.mu.Lock()
	s.segs = append(s.segs, g)
	s.mu.Unlock()
	return nil
}

// make creates a segment's file.
func (s *Store) make(g *segment, head segmentHead) error {
	f, err := s.fs.Create(g.name)
	if errors.Is(err, os.ErrExist) { // left of one that could not be made
		if err := s.fs.Remove(g.name); err != nil {
			return fmt.Errorf("%s: %w", g.name, err)
		}
		f, err = s.fs.Create(g.name)
	}
	if err != nil {
		return fmt.Errorf("%s: %w: %w", g.name, errNotMade, err)
	}
	g.file = f
	g.refs.Store(1)
	if _, err := f.WriteAt(head.append(nil), 0); err != nil {
		f.Close()
		if gone := s.fs.Remove(g.name); gone != nil {
			return fmt.Errorf("%s: %w", g.name, gone)
		}
		return fmt.Errorf("%s: %w: %w", g.name, errNotMade, err)
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return fmt.Errorf("%s: sync: %w", g.name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		f.Close()
		return fmt.Errorf("syncing the folder: %w", err)
	}
	return nil
}

// publish brings what has been written into force.
func (s *Store) publish(g *segment) {
	w := &s.writer
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range w.pending {
		at := uint32(g.size) + uint32(p.at) + frameHead
		for _, c := range p.puts {
			if c.n == 0 {
				s.unset(c.key)
			} else {
				s.set(c.key, place{g, at + uint32(c.off), uint32(c.n), p.versionOf(c)}, c.expires)
			}
		}
		for _, m := range p.c.forget {
			if now, ok := s.index.Get(string(m.key)); ok && now == m.from {
				s.unset(string(m.key))
			}
		}
		s.stats.moved += uint64(p.c.moves())
		s.dropped = max(s.dropped, p.c.drop)
		s.feed.add(p.version, p.c.changes)
	}
	s.feed.wake()
	s.stats.batches += uint64(len(w.pending))
	s.version = w.version
	g.size += int64(len(w.buf))
}

func (c *commit) moves() int {
	if c.Batch != nil {
		return 0
	}
	return c.size()
}

// answer tells those who wait.
func (s *Store) answer(err error) {
	w := &s.writer
	for i, p := range w.pending {
		if err != nil {
			p.c.done <- result{err: err}
		} else {
			p.c.done <- result{version: p.version}
		}
		w.pending[i] = pending{}
	}
}
