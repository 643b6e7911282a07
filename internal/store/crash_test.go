package store

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mossproxy.example/mossproxy/internal/standin/disk"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// keeps are what a loss of power leaves of what was not synced.
func keeps(seed int) map[string]disk.Keep {
	return map[string]disk.Keep{"none": disk.KeepNone, "all": disk.KeepAll, "half": disk.KeepHalf, "length": disk.KeepLength, "some": disk.KeepSome(uint64(seed)), "others": disk.KeepSome(uint64(seed) + 1000)}
}

// historyUntil is a disk whose power was lost at a call of the history, and what of that was acknowledged.
func historyUntil(t testing.TB, call int) (d *disk.Disk, acked, maybe map[string]string) {
	t.Helper()
	d = disk.New()
	d.LosePower(call)
	acked, maybe = map[string]string{}, map[string]string{}
	if s, err := Open(d, small); err == nil {
		history(t, s, acked, maybe)
		s.Close()
	}
	return d, acked, maybe
}

// Power is lost at every call of a history with new segments and compactions, and what was not synced is lost, torn, kept or
// reordered: what was acknowledged is there, and a batch is there whole or not at all.
func TestPowerLostAtEveryCall(t *testing.T) {
	for n := 0; ; n++ {
		d, acked, maybe := historyUntil(t, n)
		for name, keep := range keeps(n) {
			after := d.Restart(keep)
			within(t, fmt.Sprintf("power lost at call %d, %s kept", n, name), content(t, open(t, after, small)), acked, maybe)
		}
		if len(d.Calls()) < n {
			t.Logf("%d calls", len(d.Calls()))
			return
		}
	}
}

// The power is lost again at every step of the recovery from a torn tail, a torn new segment and a compaction that was cut
// off, and a third time at every step of the recovery from that.
func TestPowerLostInRecovery(t *testing.T) {
	deepest := 0
	for n := range 200 {
		d, acked, maybe := historyUntil(t, n)
		if len(d.Calls()) < n {
			break
		}
		for name, keep := range map[string]disk.Keep{"half": disk.KeepHalf, "some": disk.KeepSome(uint64(n))} {
			first := d.Restart(keep)
			for m := 0; ; m++ {
				second := first.Restart(disk.KeepAll)
				second.LosePower(m)
				if s, err := Open(second, small); err == nil {
					s.Close()
				}
				for k := 0; ; k++ {
					third := second.Restart(disk.KeepSome(uint64(n + m + k)))
					third.LosePower(k)
					if s, err := Open(third, small); err == nil {
						s.Close()
					}
					within(t, fmt.Sprintf("calls %d, %d and %d, %s kept", n, m, k, name), content(t, open(t, third.Restart(disk.KeepSome(uint64(k))), small)), acked, maybe)
					deepest = max(deepest, k)
					if len(third.Calls()) < k {
						break
					}
				}
				if len(second.Calls()) < m {
					break
				}
			}
		}
	}
	if deepest < 3 {
		t.Errorf("%d steps of the deepest recovery", deepest)
	}
}

// A process ends at any call and the machine goes on; then the power is lost. What was seen in between stays.
func TestKilledAndThenPowerLost(t *testing.T) {
	for n := 0; ; n++ {
		d, acked, maybe := historyUntil(t, n)
		calls := len(d.Calls())
		d.Kill()
		s, err := Open(d, small)
		if err != nil {
			t.Fatalf("ended at call %d: %v", n, err)
		}
		seen := content(t, s)
		within(t, fmt.Sprintf("ended at call %d", n), seen, acked, maybe)
		put(t, s, "after", "1")
		seen["after"] = "1"
		s.Close()
		same(t, fmt.Sprintf("ended at call %d, and then no power", n), content(t, open(t, d.Restart(disk.KeepNone), small)), seen)
		if calls < n {
			return
		}
	}
}

// A disk was full in the middle of a write, has room again, and the power is lost at any call after that: what was left of the
// write is not found mixed with the next.
func TestPowerLostAfterAFullDisk(t *testing.T) {
	for n := range 8 {
		for seed := range 20 {
			d := disk.New()
			s := open(t, d, small)
			put(t, s, "k", "v")
			d.Limit(d.Used() + 600)
			if _, err := s.Put("large", []byte(strings.Repeat("L", 2000))); !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			d.Limit(0)
			d.LosePower(n)
			_, err := s.Put("less", []byte("1"))
			s.Close()
			got := content(t, open(t, d.Restart(disk.KeepSome(uint64(seed))), small))
			_, there := got["less"]
			if got["k"] != "v" || err == nil && !there || got["large"] != "" {
				t.Fatalf("power lost at call %d: %v", n, got)
			}
		}
	}
}

// A put that compaction wants to move has been overtaken, in the batch ahead of the move or in the same group: the later one
// stays.
func TestMoveOfAnOvertakenPut(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	at := func() moved {
		p, _ := s.index.Get("k")
		b := make([]byte, p.n)
		if _, err := p.seg.file.ReadAt(b, int64(p.off)); err != nil {
			t.Fatal(err)
		}
		o, _, err := readOp(b)
		if err != nil {
			t.Fatal(err)
		}
		return moved{o, p}
	}
	put(t, s, "k", "1")
	old := at()
	put(t, s, "k", "2")
	if _, err := s.submit(&commit{move: []moved{old}}); err != nil {
		t.Fatal(err)
	}
	same(t, "overtaken before", content(t, s), map[string]string{"k": "2"})
	old = at()
	var b Batch
	b.Put("k", []byte("3"))
	s.Close()
	s = open(t, d, small)
	old.from, _ = s.index.Get("k")
	s.once.Do(func() { close(s.closing) })
	s.wg.Wait() // the committer has ended: this goroutine is it for once
	group := []*commit{b.commit(), {move: []moved{old}}}
	for _, c := range group {
		c.done = make(chan result, 1)
	}
	s.group(group)
	same(t, "overtaken in the group", content(t, s), map[string]string{"k": "3"})
	s.Close()
	same(t, "opened anew", content(t, open(t, d, small)), map[string]string{"k": "3"})
}

// A batch that is whole but not where it belongs is damage.
func TestBatchAtAnotherPlace(t *testing.T) {
	d, _ := tiny(t)
	name := segmentsOf(t, d)[1]
	b := d.Content(name)
	first, err := readFrame(b[headSize:])
	if err != nil {
		t.Fatal(err)
	}
	n := int(first.size())
	for what, changed := range map[string][]byte{
		"twice": slices.Concat(b[:headSize], b[headSize:headSize+n], b[headSize:]),
		"gone":  slices.Concat(b[:headSize], b[headSize+n:]),
	} {
		c := d.Restart(disk.KeepAll)
		c.Put(name, changed)
		if _, err := Open(c, small); err == nil || !strings.Contains(err.Error(), " follows on ") {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// tiny is a store of three segments that is short enough to be broken at every byte, and what it holds after each batch.
func tiny(t *testing.T) (d *disk.Disk, states []map[string]string) {
	t.Helper()
	d = disk.New()
	s := open(t, d, small)
	m := map[string]string{}
	states = append(states, maps.Clone(m))
	for i := range 9 {
		var b Batch
		for _, k := range []string{fmt.Sprint("k", i%4), fmt.Sprint("pair", i%2)} {
			b.Put(k, []byte(fmt.Sprint("v", i)))
			m[k] = fmt.Sprint("v", i)
		}
		if i == 4 {
			b.Delete("k1")
			delete(m, "k1")
		}
		if _, err := s.Apply(&b); err != nil {
			t.Fatal(err)
		}
		states = append(states, maps.Clone(m))
		if i%3 == 2 && i < 8 {
			if _, err := s.submit(&commit{roll: true}); err != nil {
				t.Fatal(err)
			}
		}
	}
	s.Close()
	return d, states
}

// segmentsOf are the names of a disk's segments, oldest first.
func segmentsOf(t *testing.T, d *disk.Disk) (names []string) {
	t.Helper()
	all, err := d.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range all {
		if strings.HasSuffix(n, ".seg") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// Every file is cut at every byte. In the last one that is what a crash leaves, and all batches ahead of the cut are there;
// any other is damage, which is reported with file and offset, and nothing is changed.
func TestEveryFileCutAtEveryByte(t *testing.T) {
	d, states := tiny(t)
	names := segmentsOf(t, d)
	if len(names) != 3 {
		t.Fatal(names)
	}
	for i, name := range names {
		whole := d.Content(name)
		for n := range whole {
			c := d.Restart(disk.KeepAll)
			c.Put(name, whole[:n])
			s, err := Open(c, small)
			if i < len(names)-1 {
				var f Fault
				if !errors.As(err, &f) || f.File == "" || len(c.Calls()) > 0 {
					t.Fatalf("%s cut to %d bytes: %v, %d changes", name, n, err, len(c.Calls()))
				}
				continue
			}
			if err != nil {
				t.Fatalf("%s cut to %d bytes: %v", name, n, err)
			}
			want := states[6+framesIn(whole[:n])]
			same(t, fmt.Sprintf("%s cut to %d bytes", name, n), content(t, s), want)
			put(t, s, "more", "1") // and it goes on
			s.Close()
			if got := content(t, open(t, c, small)); got["more"] != "1" || len(got) != len(want)+1 {
				t.Fatalf("%s cut to %d bytes and written: %v", name, n, got)
			}
		}
	}
}

// framesIn counts the whole frames of a segment.
func framesIn(b []byte) (n int) {
	if len(b) < headSize {
		return 0
	}
	for b = b[headSize:]; ; n++ {
		f, err := readFrame(b)
		if err != nil {
			return n
		}
		b = b[f.size():]
	}
}

// Every single byte is changed, in three ways and to 0. It is reported with file and offset, and the store does not open; told
// to open all the same it gives no wrong value. Check names the fault. It may open where nothing is lost by the change.
func TestEveryByteChanged(t *testing.T) {
	d, states := tiny(t)
	final := states[len(states)-1]
	valid := map[string]bool{}
	for _, m := range states {
		for k, v := range m {
			valid[k+"="+v] = true
		}
	}
	opened := 0
	for _, name := range segmentsOf(t, d) {
		whole := d.Content(name)
		for n := range whole {
			for _, flip := range []byte{0x01, 0x80, 0xff, whole[n]} {
				b := slices.Clone(whole)
				if flip == 0 {
					continue
				}
				b[n] ^= flip
				c := d.Restart(disk.KeepAll)
				c.Put(name, b)
				what := fmt.Sprintf("%s: byte %d changed by %#x", name, n, flip)
				s, err := Open(c, small)
				if err == nil {
					same(t, what+": opened", content(t, s), final)
					s.Close()
					opened++
					continue
				}
				var f Fault
				if format := (*FormatError)(nil); !errors.As(err, &f) && !errors.As(err, &format) || len(c.Calls()) > 0 {
					t.Fatalf("%s: %v", what, err)
				}
				if f.File != "" && (f.File != name || f.Offset > int64(n)) {
					t.Fatalf("%s: reported as %v", what, f)
				}
				faults, err := Check(c)
				if err == nil && len(faults) == 0 {
					t.Fatalf("%s: check finds nothing", what)
				}
				if err != nil {
					continue
				}
				o := small
				o.Salvage = true
				s, err = Open(c, o)
				if err != nil {
					t.Fatalf("%s: salvage: %v", what, err)
				}
				for k, v := range content(t, s) {
					if !valid[k+"="+v] {
						t.Fatalf("%s: salvaged %q = %q, which was never written", what, k, v)
					}
				}
				s.Close()
			}
		}
	}
	if opened > 1 { // the last byte of all, changed to 0: the batch's own checksum still holds
		t.Errorf("%d changes were not noticed", opened)
	}
}

// A byte that changes while the store is open never yields a wrong value.
func TestByteChangedWhileOpen(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	put(t, s, "k", "the value")
	p, _ := s.index.Get("k")
	f, err := d.Open(p.seg.name, true)
	if err != nil {
		t.Fatal(err)
	}
	whole := d.Content(p.seg.name)
	for n := p.off; n < p.off+p.n; n++ {
		if _, err := f.WriteAt([]byte{whole[n] ^ 4}, int64(n)); err != nil {
			t.Fatal(err)
		}
		if item, err := s.Get("k"); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), p.seg.name) {
			t.Fatalf("byte %d: got %q, %v", n, item.Value, err)
		}
		if _, err := f.WriteAt(whole[n:n+1], int64(n)); err != nil {
			t.Fatal(err)
		}
	}
	if item, err := s.Get("k"); err != nil || string(item.Value) != "the value" {
		t.Errorf("whole again: %q, %v", item.Value, err)
	}
}

// A store that was opened although damaged is whole again once it is compacted, without what can't be read.
func TestSalvageAndCompact(t *testing.T) {
	d, states := tiny(t)
	name := segmentsOf(t, d)[1]
	b := d.Content(name)
	b[headSize+frameHead+opHead+3] ^= 1 // its first batch
	d.Put(name, b)
	o := small
	o.Salvage = true
	s := open(t, d, o)
	if err := s.Compact(t.Context()); err != nil {
		t.Fatal(err)
	}
	got := content(t, s)
	s.Close()
	same(t, "opened anew", content(t, open(t, d, small)), got)
	want := states[len(states)-1]
	for k, v := range got {
		if want[k] != v && k != "k1" { // whose deletion was in another batch
			t.Errorf("%q = %q, not %q", k, v, want[k])
		}
	}
	if faults, err := Check(d); err != nil || len(faults) > 0 {
		t.Errorf("%v, %v", faults, err)
	}
}

func TestMissingSegments(t *testing.T) {
	for i, want := range []string{
		"0000000000000002.seg: offset 0: the segments ahead of it, from 0000000000000001.seg on, are missing",
		"0000000000000003.seg: offset 0: the segments ahead of it, from 0000000000000002.seg on, are missing",
	} {
		d, _ := tiny(t)
		if err := d.Remove(segmentsOf(t, d)[i]); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(d, small); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("without the segment at %d: %v", i, err)
		}
	}
}

// Random operations against a model, with losses of power in between. Loose batches may be lost, but only from some point on,
// and never once a synced one behind them is acknowledged.
func TestAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := disk.New()
		o := small
		s, err := Open(d, o)
		if err != nil {
			t.Fatal(err)
		}
		states := []map[string]string{{}} // after each batch since the last that is known to last
		last := func() map[string]string { return states[len(states)-1] }
		key := rapid.SampledFrom([]string{"a", "b", "c/1", "c/2", "c/3", "\x00", "\xff"})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				if err := s.Compact(t.Context()); err != nil {
					t.Fatal(err)
				}
				states = states[len(states)-1:]
			case 1:
				s.Close()
				if s, err = Open(d, o); err != nil {
					t.Fatal(err)
				}
				states = states[len(states)-1:]
			case 2:
				after := d.Restart(disk.KeepSome(rapid.Uint64().Draw(t, "keep")))
				s.Close()
				d = after
				if s, err = Open(d, o); err != nil {
					t.Fatal(err)
				}
				got := mapOf(t, s)
				i := slices.IndexFunc(states, func(m map[string]string) bool { return maps.Equal(m, got) })
				if i < 0 {
					t.Fatalf("after a loss of power: %v, which is none of %v", got, states)
				}
				states = []map[string]string{got}
			default:
				m := maps.Clone(last())
				var b Batch
				for range rapid.IntRange(1, 4).Draw(t, "ops") {
					k := key.Draw(t, "key")
					if rapid.IntRange(0, 3).Draw(t, "deletes") == 0 {
						b.Delete(k)
						delete(m, k)
						continue
					}
					v := strings.Repeat("v", rapid.SampledFrom([]int{0, 1, 100, 9000}).Draw(t, "bytes")) + k
					b.Put(k, []byte(v))
					m[k] = v
				}
				loose := rapid.Bool().Draw(t, "loose")
				if loose {
					b.Loose()
				}
				if _, err := s.Apply(&b); err != nil {
					t.Fatal(err)
				}
				if states = append(states, m); !loose {
					states = states[len(states)-1:]
				}
			}
			if got := mapOf(t, s); !maps.Equal(got, last()) {
				t.Fatalf("got %v, want %v", got, last())
			}
		}
		s.Close()
	})
}

func mapOf(t *rapid.T, s *Store) map[string]string {
	m := map[string]string{}
	sn, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	defer sn.Release()
	for item, err := range sn.Scan("", "") {
		if err != nil {
			t.Fatal(err)
		}
		m[item.Key] = string(item.Value)
	}
	return m
}

// 64 writers, 16 readers and a compaction at once. Each reader sees a writer's two keys alike, and a writer its own.
func TestManyWritersAndReaders(t *testing.T) {
	const writers, each = 64, 30
	dir := fsys.Dir(t.TempDir())
	o := small
	o.NoCompact = false
	s := open(t, dir, o)
	var writing, reading sync.WaitGroup
	done := make(chan struct{})
	for w := range writers {
		writing.Go(func() {
			a, z := fmt.Sprintf("a%02d", w), fmt.Sprintf("z%02d", w)
			for i := range each {
				v := []byte(strings.Repeat(strconv.Itoa(i%10), 500+i))
				var b Batch
				b.Put(a, v)
				b.Put(z, v)
				version, err := s.Apply(&b)
				if err != nil {
					t.Error(err)
					return
				}
				if item, err := s.Get(z); err != nil || item.Version != version || string(item.Value) != string(v) {
					t.Errorf("own write: %d, %v", item.Version, err)
				}
			}
		})
	}
	reads := make(chan int, 16)
	for r := range 16 {
		reading.Go(func() {
			n := 0
			defer func() { reads <- n }()
			for i := r; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				sn, err := s.Snapshot()
				if err != nil {
					t.Error(err)
					return
				}
				a, errA := sn.Get(fmt.Sprintf("a%02d", i%writers))
				z, errZ := sn.Get(fmt.Sprintf("z%02d", i%writers))
				sn.Release()
				if string(a.Value) != string(z.Value) || a.Version != z.Version || (errA == nil) != (errZ == nil) {
					t.Errorf("half of a batch: %d and %d, %v, %v", a.Version, z.Version, errA, errZ)
				}
				n++
			}
		})
	}
	writing.Wait()
	close(done)
	reading.Wait()
	for range 16 {
		if <-reads == 0 {
			t.Error("a reader read nothing")
		}
	}
	want := content(t, s)
	if len(want) != 2*writers || s.Version() < writers*each {
		t.Errorf("%d keys, version %d", len(want), s.Version())
	}
	s.Close()
	same(t, "opened anew", content(t, open(t, dir, small)), want)
}

// A process is killed in the middle of its writes, again and again, while a reader of another process looks on. What it said
// was written is there.
func TestKilledProcess(t *testing.T) {
	if dir := os.Getenv("STORE_TEST_DIR"); dir != "" {
		writeUntilKilled(dir)
	}
	dir := fsys.Dir(t.TempDir())
	next := 0
	for round := range 6 {
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestKilledProcess$")
		cmd.Env = append(os.Environ(), "STORE_TEST_DIR="+string(dir), "STORE_TEST_FROM="+strconv.Itoa(next))
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		in, acked := bufio.NewScanner(out), -1
		for in.Scan() {
			n, err := strconv.Atoi(in.Text())
			if err != nil {
				t.Fatalf("the writer says %q", in.Text())
			}
			if acked = n; n%20 == 0 { // a reader beside it
				r, err := Open(dir, Options{ReadOnly: true})
				if err != nil {
					t.Fatal(err)
				}
				checkCounted(t, r, n)
				r.Close()
			}
			if n >= next+60+7*round {
				cmd.Process.Kill()
			}
		}
		cmd.Wait() //nolint:errcheck // it was killed
		if acked < next {
			t.Fatal("it wrote nothing")
		}
		s, err := Open(dir, small)
		if err != nil {
			t.Fatal(err)
		}
		checkCounted(t, s, acked)
		next = acked + 1
		s.Close()
	}
}

// writeUntilKilled writes numbers, and says each once it is acknowledged.
func writeUntilKilled(dir string) {
	o := small
	o.NoCompact = false
	s, err := Open(fsys.Dir(dir), o)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	n, _ := strconv.Atoi(os.Getenv("STORE_TEST_FROM"))
	for ; ; n++ {
		var b Batch
		b.Put(fmt.Sprintf("n%d", n%100), []byte(strconv.Itoa(n)+strings.Repeat(" ", 3000)))
		b.Put("last", []byte(strconv.Itoa(n)))
		if _, err := s.Apply(&b); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

// checkCounted says that the numbers up to acked are there, each as the last of its key or followed by a later one.
func checkCounted(t *testing.T, s *Store, acked int) {
	t.Helper()
	got := content(t, s)
	last, err := strconv.Atoi(got["last"])
	if err != nil || last < acked {
		t.Fatalf("%d is the last one, %d was acknowledged (%v)", last, acked, err)
	}
	for n := max(0, last-99); n <= last; n++ {
		if v := strings.TrimSpace(got[fmt.Sprintf("n%d", n%100)]); v != strconv.Itoa(n) {
			t.Fatalf("%d is %q, and %d the last one", n, v, last)
		}
	}
}

// A crash between a new segment and the removal of the old one is made good.
func TestOldSegmentIsRemovedAtTheNextOpening(t *testing.T) {
	d := disk.New()
	s := open(t, d, small)
	put(t, s, "k", "v")
	d.Fault(func(_ int, c disk.Call) error {
		if c.Op == "remove" {
			return errors.New("input/output error")
		}
		return nil
	})
	if err := s.Compact(t.Context()); err == nil || !strings.Contains(err.Error(), "0000000000000001.seg: input/output error") {
		t.Errorf("got %v", err)
	}
	put(t, s, "k2", "v2") // which does not keep it from going on
	s.Close()
	d.Fault(nil)
	if n := len(segmentsOf(t, d)); n != 2 {
		t.Fatalf("%d segments", n)
	}
	same(t, "opened anew", content(t, open(t, d, small)), map[string]string{"k": "v", "k2": "v2"})
	if n := len(segmentsOf(t, d)); n != 1 {
		t.Errorf("%d segments", n)
	}
}

// Nothing runs on when a store is closed, whatever was under way.
func TestCloseEndsAll(t *testing.T) {
	before := runtime.NumGoroutine()
	for range 20 {
		s, err := Open(disk.New(), small)
		if err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() {
				for {
					if _, err := s.Put(strconv.Itoa(i), nil); err != nil {
						if !errors.Is(err, ErrClosed) {
							t.Error(err)
						}
						return
					}
				}
			})
		}
		wg.Go(func() { s.Compact(t.Context()) }) //nolint:errcheck // it may be closed by then
		s.Close()
		wg.Wait()
	}
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before", runtime.NumGoroutine(), before)
		}
	}
}

// Power is lost at any call under eight writers, whose batches are written in groups while others come into force: each one's
// last acknowledged number is there, or the one after it.
func TestPowerLostUnderManyWriters(t *testing.T) {
	const writers = 8
	for n := range 150 {
		d := disk.New()
		s := open(t, d, small)
		d.LosePower(n)
		var acked [writers]int
		var wg sync.WaitGroup
		for w := range writers {
			wg.Go(func() {
				for i := 1; i < 200; i++ {
					var b Batch
					b.Put(fmt.Sprint("a", w), []byte(strconv.Itoa(i)))
					b.Put(fmt.Sprint("z", w), []byte(strconv.Itoa(i)))
					if i%16 == 15 {
						item, err := s.Get(fmt.Sprint("a", w))
						if err != nil {
							return // the power is gone
						}
						b.Expect(fmt.Sprint("a", w), item.Version)
					}
					if _, err := s.Apply(&b); err != nil {
						if !errors.Is(err, ErrReadOnly) {
							t.Errorf("writer %d: %v", w, err)
						}
						return
					}
					acked[w] = i
				}
			})
		}
		if n%3 == 0 {
			wg.Go(func() { s.Compact(t.Context()) }) //nolint:errcheck // the power goes
		}
		wg.Wait()
		s.Close()
		got := content(t, open(t, d.Restart(disk.KeepSome(uint64(n))), small))
		for w, last := range acked {
			a, z := got[fmt.Sprint("a", w)], got[fmt.Sprint("z", w)]
			if v, _ := strconv.Atoi(a); a != z || v != last && v != last+1 {
				t.Fatalf("power lost at call %d: writer %d has %q and %q, %d was acknowledged", n, w, a, z, last)
			}
		}
	}
}
