// Package versus measures the store beside bbolt and Pebble, in turns within one run. One iteration of a benchmark is the whole
// measurement: go test -run xxx -bench . -benchtime 1x -v
package versus

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble"
	"go.etcd.io/bbolt"

	"mossproxy.example/mossproxy/internal/store"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// engine is a store under test.
type engine interface {
	put(keys []string, value []byte, sync bool) error // one batch
	get(key string) (int, error)
	scan(prefix string) (int, error)
	close() error
}

// kinds are the stores, by name; each opens a folder.
var kinds = []struct {
	name string
	open func(dir string) (engine, error)
}{
	{"cottonyoke", openOurs},
	{"bbolt", openBolt},
	{"pebble", openPebble},
}

type ours struct{ *store.Store }

func openOurs(dir string) (engine, error) {
	s, err := store.Open(fsys.Dir(dir), store.Options{})
	return ours{s}, err
}

func (s ours) put(keys []string, value []byte, sync bool) error {
	var b store.Batch
	for _, k := range keys {
		b.Put(k, value)
	}
	if !sync {
		b.Loose()
	}
	_, err := s.Apply(&b)
	return err
}

func (s ours) get(key string) (int, error) {
	item, err := s.Get(key)
	return len(item.Value), err
}

func (s ours) scan(prefix string) (n int, err error) {
	sn, err := s.Snapshot()
	if err != nil {
		return 0, err
	}
	defer sn.Release()
	for item, err := range sn.Scan(prefix, "") {
		if err != nil {
			return n, err
		}
		n += len(item.Value)
	}
	return n, nil
}

func (s ours) close() error { return s.Close() }

type bolt struct{ *bbolt.DB }

var bucket = []byte("b")

func openBolt(dir string) (engine, error) {
	db, err := bbolt.Open(filepath.Join(dir, "b.db"), 0o600, nil)
	if err != nil {
		return nil, err
	}
	db.MaxBatchDelay = time.Millisecond
	return bolt{db}, db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucketIfNotExists(bucket); return err })
}

func (s bolt) put(keys []string, value []byte, sync bool) error {
	if !sync {
		s.NoSync = true
	}
	return s.Batch(func(tx *bbolt.Tx) error {
		for _, k := range keys {
			if err := tx.Bucket(bucket).Put([]byte(k), value); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s bolt) get(key string) (n int, err error) {
	err = s.View(func(tx *bbolt.Tx) error {
		v := bytes.Clone(tx.Bucket(bucket).Get([]byte(key))) // it is valid within the transaction alone
		if n = len(v); v == nil {
			return errors.New("not there")
		}
		return nil
	})
	return n, err
}

func (s bolt) scan(prefix string) (n int, err error) {
	err = s.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucket).Cursor()
		for k, v := c.Seek([]byte(prefix)); k != nil && bytes.HasPrefix(k, []byte(prefix)); k, v = c.Next() {
			n += len(bytes.Clone(v))
		}
		return nil
	})
	return n, err
}

func (s bolt) close() error { return s.Close() }

type pebbles struct{ *pebble.DB }

type silent struct{}

func (silent) Infof(string, ...any)                   {}
func (silent) Errorf(string, ...any)                  {}
func (silent) Fatalf(f string, a ...any)              { panic(fmt.Sprintf(f, a...)) }
func (silent) Eventf(context.Context, string, ...any) {}
func (silent) IsTracingEnabled(context.Context) bool  { return false }

func openPebble(dir string) (engine, error) {
	db, err := pebble.Open(dir, &pebble.Options{Logger: silent{}})
	return pebbles{db}, err
}

func (s pebbles) put(keys []string, value []byte, sync bool) error {
	b := s.NewBatch()
	defer b.Close()
	for _, k := range keys {
		if err := b.Set([]byte(k), value, nil); err != nil {
			return err
		}
	}
	return b.Commit(&pebble.WriteOptions{Sync: sync})
}

func (s pebbles) get(key string) (int, error) {
	v, c, err := s.Get([]byte(key))
	if err != nil {
		return 0, err
	}
	n := len(bytes.Clone(v))
	return n, c.Close()
}

func (s pebbles) scan(prefix string) (n int, err error) {
	it, err := s.NewIter(&pebble.IterOptions{LowerBound: []byte(prefix)})
	if err != nil {
		return 0, err
	}
	for ok := it.First(); ok && bytes.HasPrefix(it.Key(), []byte(prefix)); ok = it.Next() {
		n += len(bytes.Clone(it.Value()))
	}
	return n, it.Close()
}

func (s pebbles) close() error { return s.Close() }

func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func key(i int) string { return fmt.Sprintf("tenant/%02d/key/%010d", i%100, i) }

// rounds is how often each store is measured, in turns.
const rounds = 3

// turns measures each store in turns, on a folder of its own, and logs the medians.
func turns(b *testing.B, unit string, measure func(b *testing.B, e engine) float64) {
	b.Helper()
	got := map[string][]float64{}
	for range rounds {
		for _, k := range kinds {
			dir := b.TempDir()
			e, err := k.open(dir)
			must(b, err)
			got[k.name] = append(got[k.name], measure(b, e))
			must(b, e.close())
			must(b, os.RemoveAll(dir))
		}
	}
	for _, k := range kinds {
		slices.Sort(got[k.name])
		b.Logf("%-12s %12.1f %s (%.1f to %.1f)", k.name, got[k.name][rounds/2], unit, got[k.name][0], got[k.name][rounds-1])
	}
}

// writes measures batches a second of so many writers for a second.
func writes(writers, keys int) func(b *testing.B, e engine) float64 {
	return func(b *testing.B, e engine) float64 {
		value := bytes.Repeat([]byte("v"), 100)
		var wg sync.WaitGroup
		counts := make([]int, writers)
		began := time.Now()
		for w := range writers {
			wg.Go(func() {
				for n := 0; time.Since(began) < time.Second; n++ {
					ks := make([]string, keys)
					for i := range ks {
						ks[i] = key((n*keys+i)*writers + w)
					}
					if err := e.put(ks, value, true); err != nil {
						b.Error(err)
						return
					}
					counts[w]++
				}
			})
		}
		wg.Wait()
		all := 0
		for _, n := range counts {
			all += n
		}
		return float64(all) / time.Since(began).Seconds()
	}
}

func BenchmarkWrites1(b *testing.B) { turns(b, "synced batches of 1 a second", writes(1, 1)) }
func BenchmarkWrites64(b *testing.B) {
	turns(b, "synced batches of 1 a second, 64 writers", writes(64, 1))
}
func BenchmarkWritesBatchOf100(b *testing.B) {
	turns(b, "synced batches of 100 a second", writes(1, 100))
}

// fill puts n keys of so many bytes, in batches that are not synced.
func fill(b *testing.B, e engine, n, size int) {
	b.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	value := make([]byte, size)
	for i := range value {
		value[i] = byte(rng.Uint32())
	}
	var ks []string
	for _, i := range rng.Perm(n) {
		if ks = append(ks, key(i)); len(ks) == 500 {
			must(b, e.put(ks, value, false))
			ks = ks[:0]
		}
	}
	if len(ks) > 0 {
		must(b, e.put(ks, value, false))
	}
}

func BenchmarkReads(b *testing.B) {
	turns(b, "random reads a second of 100,000 keys of 100 bytes", func(b *testing.B, e engine) float64 {
		fill(b, e, 100_000, 100)
		rng := rand.New(rand.NewPCG(3, 4))
		const n = 200_000
		began := time.Now()
		for range n {
			if size, err := e.get(key(rng.IntN(100_000))); err != nil || size != 100 {
				b.Fatal(size, err)
			}
		}
		return n / time.Since(began).Seconds()
	})
}

func BenchmarkScans(b *testing.B) {
	turns(b, "keys a second in scans of 1,000 keys of 100 bytes", func(b *testing.B, e engine) float64 {
		fill(b, e, 100_000, 100)
		const n = 300
		began := time.Now()
		for i := range n {
			if size, err := e.scan(fmt.Sprintf("tenant/%02d/", i%100)); err != nil || size != 100_000 {
				b.Fatal(size, err)
			}
		}
		return n * 1000 / time.Since(began).Seconds()
	})
}

// BenchmarkOpen opens stores of 100 MB of values, with the files in the system's cache.
func BenchmarkOpen(b *testing.B) {
	for _, size := range []int{100, 10_000} {
		n := 100_000_000 / (size + 24)
		for _, k := range kinds {
			dir := b.TempDir()
			e, err := k.open(dir)
			must(b, err)
			fill(b, e, n, size)
			must(b, e.close())
			var ms []float64
			for range rounds {
				runtime.GC()
				began := time.Now()
				e, err := k.open(dir)
				must(b, err)
				if got, err := e.get(key(n / 2)); err != nil || got != size {
					b.Fatal(got, err)
				}
				ms = append(ms, float64(time.Since(began).Microseconds())/1000)
				must(b, e.close())
			}
			slices.Sort(ms)
			b.Logf("%-12s %8.1f ms to open and read one of %d records of %d bytes (%.1f to %.1f)", k.name, ms[1], n, size, ms[0], ms[2])
			must(b, os.RemoveAll(dir))
		}
	}
}

// BenchmarkOverwrites puts a million values over 10,000 keys: the space after it, and the longest pause of a writer.
func BenchmarkOverwrites(b *testing.B) {
	value := bytes.Repeat([]byte("v"), 100)
	for _, k := range kinds {
		dir := b.TempDir()
		e, err := k.open(dir)
		must(b, err)
		most := time.Duration(0)
		began := time.Now()
		for i := range 10_000 {
			ks := make([]string, 100)
			for j := range ks {
				ks[j] = key((i*7919 + j*13) % 10_000)
			}
			at := time.Now()
			must(b, e.put(ks, value, false))
			most = max(most, time.Since(at))
		}
		took := time.Since(began)
		used := func() (n int64) {
			must(b, filepath.Walk(dir, func(_ string, i os.FileInfo, err error) error {
				if err == nil && !i.IsDir() {
					n += i.Size()
				}
				return nil // files go meanwhile
			}))
			return n
		}
		after := used()
		must(b, e.close())
		b.Logf("%-12s %6.1f MB after a million overwrites of 1.2 MB, in %v; longest pause of a batch that is not synced %v", k.name, float64(after)/1e6, took.Round(time.Millisecond), most.Round(10*time.Microsecond))
	}
}

// BenchmarkPauses has one writer put synced values while others overwrite, with compaction all the time: its p99 and longest
// pause.
func BenchmarkPauses(b *testing.B) {
	value := bytes.Repeat([]byte("v"), 10_000)
	for _, k := range kinds {
		dir := b.TempDir()
		e, err := k.open(dir)
		must(b, err)
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for w := range 4 {
			wg.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					if err := e.put([]string{key((i*4 + w) % 2000)}, value, true); err != nil {
						b.Error(err)
						return
					}
				}
			})
		}
		var ms []float64
		for began := time.Now(); time.Since(began) < 5*time.Second; {
			at := time.Now()
			must(b, e.put([]string{"one"}, value[:100], true))
			ms = append(ms, float64(time.Since(at).Microseconds())/1000)
		}
		close(stop)
		wg.Wait()
		slices.Sort(ms)
		more := ""
		if s, ok := e.(ours); ok {
			more = fmt.Sprintf("; %d segments let go", s.Stats().Compactions)
		}
		b.Logf("%-12s p50 %.2f, p99 %.2f, longest %.2f ms of %d%s", k.name, ms[len(ms)/2], ms[len(ms)*99/100], ms[len(ms)-1], len(ms), more)
		must(b, e.close())
	}
}

// BenchmarkMemory is the heap that a million keys of 24 bytes take.
func BenchmarkMemory(b *testing.B) {
	for _, k := range kinds {
		heap := func() uint64 {
			var m runtime.MemStats
			runtime.GC()
			runtime.GC()
			runtime.ReadMemStats(&m)
			return m.HeapAlloc
		}
		dir := b.TempDir()
		before := heap()
		e, err := k.open(dir)
		must(b, err)
		fill(b, e, 1_000_000, 100)
		b.Logf("%-12s %6.1f MB of heap for a million keys", k.name, float64(heap()-before)/1e6)
		must(b, e.close())
	}
}
