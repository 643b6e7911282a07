package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/standin/disk"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// small are options of stores whose segments are as short as they can be.
var small = Options{SegmentBytes: minSegment, NoCompact: true}

func open(t testing.TB, fs fsys.FS, o Options) *Store {
	t.Helper()
	s, err := Open(fs, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func put(t testing.TB, s *Store, key, value string) uint64 {
	t.Helper()
	v, err := s.Put(key, []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// content is all that a store holds.
func content(t testing.TB, s *Store) map[string]string {
	t.Helper()
	sn, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer sn.Release()
	return held(t, sn)
}

func held(t testing.TB, sn *Snapshot) map[string]string {
	t.Helper()
	m := map[string]string{}
	last := ""
	for item, err := range sn.Scan("", "") {
		if err != nil {
			t.Fatal(err)
		}
		if item.Key <= last && last != "" {
			t.Fatalf("%q after %q", item.Key, last)
		}
		last = item.Key
		m[item.Key] = string(item.Value)
	}
	return m
}

func same(t testing.TB, what string, got, want map[string]string) {
	t.Helper()
	if !maps.Equal(got, want) {
		t.Fatalf("%s: got %d keys, want %d: %.300v", what, len(got), len(want), diff(got, want))
	}
}

func diff(got, want map[string]string) (d []string) {
	for k, v := range want {
		if g, ok := got[k]; !ok || g != v {
			d = append(d, fmt.Sprintf("%q is %.20q, not %.20q", k, g, v))
		}
	}
	for k := range got {
		if _, ok := want[k]; !ok {
			d = append(d, fmt.Sprintf("%q is there", k))
		}
	}
	slices.Sort(d)
	return d
}

func TestPutGetDeleteScan(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	if _, err := s.Get("a"); !errors.Is(err, ErrNotFound) {
		t.Errorf("nothing there: %v", err)
	}
	for i, k := range []string{"b/2", "a", "b/1", "c", "b/3"} {
		if v := put(t, s, k, "of "+k); v != uint64(i+1) {
			t.Errorf("version %d", v)
		}
	}
	if _, err := s.Delete("b/2"); err != nil {
		t.Fatal(err)
	}
	put(t, s, "a", "anew")
	check := func(s *Store) {
		t.Helper()
		same(t, "all", content(t, s), map[string]string{"a": "anew", "b/1": "of b/1", "b/3": "of b/3", "c": "of c"})
		sn, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		defer sn.Release()
		var keys []string
		for k := range sn.Keys("b/", "b/2") {
			keys = append(keys, k)
		}
		if !slices.Equal(keys, []string{"b/3"}) {
			t.Errorf("keys from b/2 on: %v", keys)
		}
		if item, err := s.Get("a"); err != nil || item.Version != 7 || string(item.Value) != "anew" {
			t.Errorf("got %+v, %v", item, err)
		}
	}
	check(s)
	s.Close()
	check(open(t, d, small))
}

func TestBounds(t *testing.T) {
	s := open(t, disk.New(), small)
	for name, b := range map[string]func(b *Batch){
		"empty key":  func(b *Batch) { b.Put("", nil) },
		"long key":   func(b *Batch) { b.Put(strings.Repeat("k", MaxKey+1), nil) },
		"long value": func(b *Batch) { b.Put("k", make([]byte, MaxValue+1)) },
		"long batch": func(b *Batch) {
			v := make([]byte, MaxValue)
			for i := range 17 {
				b.Put(fmt.Sprint(i), v)
			}
		},
		"many ops": func(b *Batch) {
			for range MaxOps + 1 {
				b.Delete("k")
			}
		},
	} {
		var batch Batch
		b(&batch)
		if _, err := s.Apply(&batch); !errors.Is(err, ErrTooLarge) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var batch Batch
	v := bytes.Repeat([]byte("v"), MaxValue)
	for i := range 15 {
		batch.Put(strings.Repeat("k", MaxKey-2)+fmt.Sprintf("%02d", i), v)
	}
	if _, err := s.Apply(&batch); err != nil {
		t.Fatal(err)
	}
	if got := len(content(t, s)); got != 15 {
		t.Errorf("%d keys", got)
	}
	if _, err := s.Apply(&Batch{}); err != nil {
		t.Errorf("an empty batch: %v", err)
	}
}

func TestExpect(t *testing.T) {
	s := open(t, disk.New(), small)
	create := func() error {
		var b Batch
		b.Expect("k", 0)
		b.Put("k", []byte("mine"))
		b.Put("other", nil)
		_, err := s.Apply(&b)
		return err
	}
	if err := create(); err != nil {
		t.Fatal(err)
	}
	if err := create(); !errors.Is(err, ErrConflict) || !strings.Contains(err.Error(), `"k" has version 1, not 0`) {
		t.Errorf("again: %v", err)
	}
	// Of many that change the same version at once, one wins.
	for round := range 20 {
		item, err := s.Get("k")
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		wins := make(chan string, 16)
		for i := range 16 {
			wg.Go(func() {
				var b Batch
				me := fmt.Sprint(round, " ", i)
				b.Expect("k", item.Version)
				b.Put("k", []byte(me))
				if _, err := s.Apply(&b); err == nil {
					wins <- me
				} else if !errors.Is(err, ErrConflict) {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if len(wins) != 1 {
			t.Fatalf("%d won", len(wins))
		}
		if item, _ := s.Get("k"); string(item.Value) != <-wins {
			t.Errorf("another one's value: %q", item.Value)
		}
	}
}

// A snapshot held through three compactions shows what it showed.
func TestSnapshotThroughThreeCompactions(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	fill := func(round int) {
		for i := range 40 {
			put(t, s, fmt.Sprintf("k%02d", i), fmt.Sprintf("%d %s", round, strings.Repeat("x", 4000)))
		}
	}
	fill(0)
	was := content(t, s)
	sn, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for round := range 3 {
		fill(round + 1)
		if err := s.Compact(t.Context()); err != nil {
			t.Fatal(err)
		}
		same(t, fmt.Sprintf("after %d compactions", round+1), held(t, sn), was)
	}
	now := content(t, s)
	sn.Release()
	for _, g := range sn.segs {
		if g.refs.Load() != 0 {
			t.Errorf("%s is still open", g.name)
		}
	}
	s.Close()
	same(t, "opened anew", content(t, open(t, d, small)), now)
}

// Compaction takes away what is not needed, deletions too, and keeps to its bound.
func TestCompactionKeepsToItsBound(t *testing.T) {
	d := disk.New()
	o := small
	o.NoCompact = false
	s := open(t, d, o)
	most := int64(0)
	for i := range 3000 {
		put(t, s, fmt.Sprintf("k%02d", i%50), strings.Repeat("x", 1000))
		if i%10 == 9 {
			if _, err := s.Delete(fmt.Sprintf("k%02d", i%50)); err != nil {
				t.Fatal(err)
			}
		}
		most = max(most, d.Used())
	}
	for end := time.Now().Add(20 * time.Second); s.wants(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not compacted: %+v", s.Stats())
		}
	}
	st := s.Stats()
	if st.Compactions == 0 || st.Bytes > 2*st.LiveBytes+3*minSegment {
		t.Errorf("%+v", st)
	}
	if err := s.Compact(t.Context()); err != nil {
		t.Fatal(err)
	}
	if st := s.Stats(); st.Bytes > st.LiveBytes+4*headSize+1024 {
		t.Errorf("after all was compacted: %+v", st)
	}
	same(t, "all", content(t, s), content(t, s))
	if n := len(content(t, s)); n != 45 {
		t.Errorf("%d keys", n)
	}
}

// Compaction that nobody asked for rests for as long as it works, and moves what a writer waits for in small portions.
func TestCompactionRests(t *testing.T) {
	d := disk.New()
	o := small
	o.SegmentBytes = 1 << 20
	s := open(t, d, o)
	for i := range 300 {
		put(t, s, fmt.Sprintf("k%03d", i), strings.Repeat("x", 10_000))
	}
	most := 0
	d.Fault(func(_ int, c disk.Call) error {
		if c.Op == "write" {
			most = max(most, c.Bytes)
		}
		return nil
	})
	if err := s.compactOldest(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	if worked, rested := s.worked.Load(), s.rested.Load(); worked == 0 || rested < worked {
		t.Errorf("%d ns of work, %d of rest", worked, rested)
	}
	if s.Stats().MovedBytes < 1<<19 || most > moveBytes+20_000 {
		t.Errorf("%d bytes moved, %d at once", s.Stats().MovedBytes, most)
	}
}

// A compaction that fails is not tried again at once, over and over: each try reads a whole segment.
func TestCompactionThatFailsWaits(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	for i := range 40 {
		put(t, s, fmt.Sprintf("k%02d", i%4), strings.Repeat("x", 10_000))
	}
	writes := 0
	d.Fault(func(_ int, c disk.Call) error {
		if c.Op == "write" {
			writes++
			return syscall.ENOSPC
		}
		return nil
	})
	now := time.Now()
	s.compactWanted(t.Context(), now)
	if writes == 0 || s.Stats().Compactions > 0 {
		t.Fatalf("%d writes, %+v", writes, s.Stats())
	}
	before := writes
	s.compactWanted(t.Context(), now.Add(compactRetry-1))
	if writes != before {
		t.Error("tried again at once")
	}
	d.Fault(nil)
	s.compactWanted(t.Context(), now.Add(compactRetry))
	if s.Stats().Compactions == 0 || s.wants() {
		t.Errorf("with room again: %+v", s.Stats())
	}
}

func TestKeysThatEnd(t *testing.T) {
	d := disk.New()
	now := time.UnixMilli(1_000_000)
	var mu sync.Mutex
	o := small
	o.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	set := func(ms int64) { mu.Lock(); now = time.UnixMilli(ms); mu.Unlock() }
	s := open(t, d, o)
	var b Batch
	b.PutUntil("k", []byte("v"), time.UnixMilli(1_000_100))
	b.PutUntil("long", []byte("v"), time.UnixMilli(9_000_000))
	if _, err := s.Apply(&b); err != nil {
		t.Fatal(err)
	}
	if item, err := s.Get("k"); err != nil || item.Expires.UnixMilli() != 1_000_100 {
		t.Errorf("%+v, %v", item, err)
	}
	set(1_000_100)
	if _, err := s.Get("k"); !errors.Is(err, ErrNotFound) {
		t.Errorf("after its end: %v", err)
	}
	put(t, s, "other", "1")
	// The clock goes back, here and over a restart: what has ended stays so.
	set(500_000)
	if _, err := s.Get("k"); !errors.Is(err, ErrNotFound) {
		t.Errorf("with the clock set back: %v", err)
	}
	s.Close()
	s = open(t, d, o)
	if _, err := s.Get("k"); !errors.Is(err, ErrNotFound) {
		t.Errorf("with the clock set back, opened anew: %v", err)
	}
	var again Batch
	again.Expect("k", 0) // it is not there
	again.Put("k2", nil)
	if _, err := s.Apply(&again); err != nil {
		t.Errorf("expected not to be there: %v", err)
	}
	s.sweep()
	if got := s.Stats().Keys; got != 3 { // long, other, k2
		t.Errorf("%d keys after a sweep", got)
	}
	set(9_000_000)
	if err := s.Compact(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := s.Stats().Keys; got != 2 {
		t.Errorf("%d keys after a compaction", got)
	}
}

func TestWatch(t *testing.T) {
	d := disk.New()
	o := small
	o.FeedBytes = 4096
	s := open(t, d, o)
	w := s.Watch(0)
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	got := make(chan []Change)
	go func() {
		defer close(got)
		for {
			c, err := w.Next(ctx)
			if err != nil {
				if !errors.Is(err, ErrClosed) {
					t.Error(err)
				}
				return
			}
			got <- c
		}
	}()
	var b Batch
	b.Put("a", []byte("1"))
	b.Delete("b")
	if _, err := s.Apply(&b); err != nil {
		t.Fatal(err)
	}
	if c := <-got; len(c) != 2 || c[0].Key != "a" || string(c[0].Value) != "1" || !c[1].Deleted || c[1].Version != 1 {
		t.Errorf("%+v", c)
	}
	if err := s.Compact(ctx); err != nil { // moves are no changes
		t.Fatal(err)
	}
	v := put(t, s, "c", "3")
	if c := <-got; len(c) != 1 || c[0].Key != "c" || c[0].Version != v {
		t.Errorf("%+v", c)
	}
	s.Close()
	if _, ok := <-got; ok {
		t.Error("a change after the end")
	}
	s = open(t, d, o) // changes that the log still has are there after a restart
	if c, err := s.Watch(v - 1).Next(ctx); err != nil || c[0].Key != "c" {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := s.Watch(0).Next(ctx); !errors.Is(err, ErrTooOld) {
		t.Errorf("changes of a segment that is gone: %v", err)
	}
	for i := range 100 {
		put(t, s, fmt.Sprint(i), strings.Repeat("x", 100))
	}
	if _, err := s.Watch(v).Next(ctx); !errors.Is(err, ErrTooOld) {
		t.Errorf("more than is kept: %v", err)
	}
	if s.feed.bytes > o.FeedBytes {
		t.Errorf("%d bytes are kept", s.feed.bytes)
	}
}

func TestOneOpener(t *testing.T) {
	dir := fsys.Dir(t.TempDir())
	o := small
	o.Owner = "the first"
	s := open(t, dir, o)
	put(t, s, "k", "v")
	if _, err := Open(dir, small); err == nil || !strings.Contains(err.Error(), "LOCK is held by the first: one program can have the store open") {
		t.Errorf("a second one: %v", err)
	}
	r := open(t, dir, Options{ReadOnly: true})
	same(t, "read beside it", content(t, r), map[string]string{"k": "v"})
	if _, err := r.Put("k", nil); !errors.Is(err, ErrReadOnly) {
		t.Errorf("a write by the reader: %v", err)
	}
	s.Close()
	open(t, dir, small)
}

// A failed sync is the end of writing: a second one would succeed without having written anything.
func TestFailedSyncIsNotTriedAgain(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	put(t, s, "k", "v")
	fail := errors.New("input/output error")
	syncs := 0
	d.Fault(func(_ int, c disk.Call) error {
		if c.Op == "sync" {
			if syncs++; syncs == 1 {
				return fail
			}
		}
		return nil
	})
	if _, err := s.Put("lost", []byte("?")); !errors.Is(err, ErrReadOnly) || !errors.Is(err, fail) || !strings.Contains(err.Error(), "0000000000000001.seg: sync") {
		t.Errorf("got %v", err)
	}
	if _, err := s.Put("more", nil); !errors.Is(err, ErrReadOnly) {
		t.Errorf("the next one: %v", err)
	}
	if syncs != 1 {
		t.Errorf("%d syncs", syncs)
	}
	if !strings.Contains(s.Stats().ReadOnly, "read-only since") {
		t.Errorf("%+v", s.Stats())
	}
	same(t, "what is read", content(t, s), map[string]string{"k": "v"})
	s.Close()
	d.Fault(nil)
	got := content(t, open(t, d.Restart(disk.KeepNone), small))
	same(t, "opened anew", got, map[string]string{"k": "v"})
}

// A full disk refuses writes, loses nothing, and goes on when there is room.
func TestFullDisk(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	d.Limit(200 << 10)
	want := map[string]string{}
	refused := 0
	for i := range 300 {
		k, v := fmt.Sprintf("k%03d", i), strings.Repeat("x", 1000+i)
		switch _, err := s.Put(k, []byte(v)); {
		case err == nil:
			want[k] = v
		case errors.Is(err, ErrFull):
			refused++
		default:
			t.Fatal(err)
		}
	}
	if refused == 0 || len(want) < 100 {
		t.Fatalf("%d refused, %d not", refused, len(want))
	}
	same(t, "while it is full", content(t, s), want)
	for _, keep := range []disk.Keep{disk.KeepNone, disk.KeepAll, disk.KeepHalf, disk.KeepSome(3)} {
		same(t, "after a loss of power", content(t, open(t, d.Restart(keep), small)), want)
	}
	d.Limit(0)
	put(t, s, "more", "1")
	want["more"] = "1"
	same(t, "with room", content(t, s), want)
	s.Close()
	same(t, "opened anew", content(t, open(t, d, small)), want)
}

// Every single write, sync, creation and so on fails once with an input/output error: what was acknowledged stays.
func TestEveryCallFails(t *testing.T) {
	for n := 0; ; n++ {
		d := disk.New()
		hit := false
		d.Fault(func(at int, c disk.Call) error {
			if at == n {
				hit = true
				return errors.New("input/output error")
			}
			return nil
		})
		s, err := Open(d, small)
		acked, maybe := map[string]string{}, map[string]string{}
		if err == nil {
			history(t, s, acked, maybe)
			s.Close()
		}
		d.Fault(nil)
		for _, keep := range []disk.Keep{disk.KeepNone, disk.KeepAll, disk.KeepSome(uint64(n))} {
			within(t, fmt.Sprintf("call %d failed", n), content(t, open(t, d.Restart(keep), small)), acked, maybe)
		}
		if !hit {
			t.Logf("%d calls", n)
			return
		}
	}
}

// history writes what makes each kind of call: new segments, compactions, batches and deletions. It keeps in acked what must
// be there, and in maybe what the one write that is not acknowledged would make of it. It stops at the first error.
func history(t testing.TB, s *Store, acked, maybe map[string]string) {
	t.Helper()
	big := strings.Repeat("x", 20<<10)
	steps := []func(b *Batch, m map[string]string){}
	for i := range 12 {
		steps = append(steps, func(b *Batch, m map[string]string) {
			for _, k := range []string{fmt.Sprint("k", i%5), fmt.Sprint("pair", i%3)} {
				v := fmt.Sprint(i, big[:1000*(i%7)])
				if i%5 == 0 {
					v = fmt.Sprint(i, big)
				}
				b.Put(k, []byte(v))
				m[k] = v
			}
			if i%4 == 3 {
				b.Delete("k1")
				delete(m, "k1")
			}
		})
	}
	for i, step := range steps {
		var b Batch
		maps.Copy(maybe, acked)
		for k := range maybe {
			if _, ok := acked[k]; !ok {
				delete(maybe, k)
			}
		}
		step(&b, maybe)
		if _, err := s.Apply(&b); err != nil {
			return
		}
		clear(acked)
		maps.Copy(acked, maybe)
		if i == 5 || i == 10 {
			if err := s.Compact(t.Context()); err != nil {
				return
			}
		}
	}
}

// within says that a store holds what was acknowledged, or that with the one batch that was not.
func within(t testing.TB, what string, got, acked, maybe map[string]string) {
	t.Helper()
	if !maps.Equal(got, acked) && !maps.Equal(got, maybe) {
		t.Fatalf("%s: neither what was acknowledged nor with the batch after it: %.300v", what, diff(got, acked))
	}
}

func TestNewerFormatIsRefused(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	put(t, s, "k", "v")
	s.Close()
	name := fmt.Sprintf(segmentName, 1)
	b := d.Content(name)
	head := segmentHead{seq: 1}.append(nil)
	head[8] = formatVersion + 1
	copy(head[40:], le32(checksum(head[:40])))
	d.Put(name, append(head, b[headSize:]...))
	for _, o := range []Options{small, {Salvage: true}, {ReadOnly: true}} {
		var format *FormatError
		if _, err := Open(d, o); !errors.As(err, &format) || !strings.Contains(err.Error(), name+": format 2 of a newer program; this one knows formats up to 1") {
			t.Errorf("got %v", err)
		}
	}
	if !bytes.Equal(d.Content(name)[headSize:], b[headSize:]) {
		t.Error("it was changed")
	}
}

func le32(v uint32) []byte { return []byte{byte(v), byte(v >> 8), byte(v >> 16), byte(v >> 24)} }

// A store of format 1 that was written once and for all opens.
func TestFormat1Opens(t *testing.T) {
	b, err := os.ReadFile("testdata/format1.seg")
	if err != nil {
		t.Fatal(err)
	}
	d := disk.New()
	d.Put(fmt.Sprintf(segmentName, 1), b)
	s := open(t, d, small)
	same(t, "format 1", content(t, s), map[string]string{"a": "anew", "c\x00\xff": "of c", "empty": ""})
	if s.Version() != 5 {
		t.Errorf("version %d", s.Version())
	}
}
