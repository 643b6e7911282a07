package member

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// site is a folder with a server file, and a clock that the test sets.
type site struct {
	t          testing.TB
	path, keep string
	now        float64
	mu         sync.Mutex
	lines      []string
	lists      []List
}

func newSite(t testing.TB, content string) *site {
	dir := t.TempDir()
	s := &site{t: t, path: filepath.Join(dir, "servers.toml"), keep: filepath.Join(dir, "kept.json"), now: 4e12} // later than any file time
	s.write(content)
	return s
}

func (s *site) write(content string) {
	s.t.Helper()
	if err := os.WriteFile(s.path, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// replace puts a new file in the place of the old one.
func (s *site) replace(content string) {
	s.t.Helper()
	old := s.path
	s.path += ".new"
	s.write(content)
	if err := os.Rename(s.path, old); err != nil {
		s.t.Fatal(err)
	}
	s.path = old
}

func (s *site) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

func (s *site) said(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.lines {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n
}

func (s *site) config() FileConfig {
	return FileConfig{Path: s.path, State: s.keep, Rules: pool, SettleMS: 25}
}

func (s *site) open() (*FileSource, error) {
	src, err := OpenFile(s.config(), func() float64 { return s.now }, s.log)
	if err == nil {
		src.tell = func(l List) { s.lists = append(s.lists, l) }
	}
	return src, err
}

func (s *site) opened() *FileSource {
	s.t.Helper()
	src, err := s.open()
	if err != nil {
		s.t.Fatal(err)
	}
	return src
}

// stand lets the file stand for a while.
func (s *site) stand(src *FileSource, ms float64) {
	src.file.Look()
	s.now += ms
	src.file.Look()
}

// Whatever a file holds at any byte of an edit, in place or by a rename, growing or shrinking: each list that the router
// gets is the new one, whole; and it gets that one.
func TestEditAtEveryByte(t *testing.T) {
	small := text("", four()...)
	large := text("# grown\n", append(append(four(), many(3)...), row1("w", 88, "rades", ", weight = 0.25"))...)
	for name, c := range map[string]struct {
		old, next string
		write     func(*site, string)
	}{
		"growing in place": {small, large, (*site).write}, "shrinking in place": {large, small, (*site).write},
		"growing by rename": {small, large, (*site).replace}, "shrinking by rename": {large, small, (*site).replace},
	} {
		s := newSite(t, c.old)
		src := s.opened()
		for cut := range len(c.next) - 1 {
			c.write(s, c.next[:cut])
			s.stand(src, 30)
			s.stand(src, 500)
			if len(s.lists) > 0 {
				t.Fatalf("%s: cut at byte %d of %d: a list was handed on", name, cut, len(c.next))
			}
		}
		if n := s.said("the file may be cut short"); n == 0 || s.said("server file: taken") > 0 {
			t.Errorf("%s: %d reasons were told; %d lists taken", name, n, s.said("server file: taken"))
		}
		c.write(s, c.next)
		s.stand(src, 30)
		want := parsed(t, c.next)
		if len(s.lists) != 1 || len(s.lists[0].Servers) != len(want.Servers) || !s.lists[0].Full {
			t.Fatalf("%s: the whole file: got %+v", name, s.lists)
		}
		for i, e := range s.lists[0].Servers {
			if w := want.Servers[i]; e.ID != w.ID || e.Addr != w.Addr || e.Weight != w.Weight {
				t.Errorf("%s: server %d is %+v, want %+v", name, i, e, w)
			}
		}
	}
}

// A valid file that takes every node of a site is refused, told of once, and taken once it is allowed.
func TestFileThatTakesASite(t *testing.T) {
	s := newSite(t, text("", four()...))
	src := s.opened()
	two := []string{four()[0], four()[1], origin}
	s.write(text("", two...))
	for range 5 {
		s.stand(src, 500)
	}
	if len(s.lists) > 0 || s.said("site sfax would lose all of its 2 servers") != 1 {
		t.Errorf("lists %v, said %q", s.lists, s.lines)
	}
	s.write(text("allow = [\"site-gone sfax\"]\n", two...))
	s.stand(src, 30)
	if len(s.lists) != 1 || len(s.lists[0].Servers) != 3 {
		t.Errorf("allowed: lists %v, said %q", s.lists, s.lines)
	}
}

// A bad file at the start: the list that was kept serves; without one the reason comes back.
func TestBadFileAtTheStart(t *testing.T) {
	whole, half := text("", four()...), text("", four()...)[:120]
	s := newSite(t, whole)
	before := s.opened().Current()
	s.write(half)
	src := s.opened()
	if got := src.Current(); !reflect.DeepEqual(got, before) {
		t.Errorf("got %+v, want what was kept", got)
	}
	if s.said("refused, the last good list is used: ") != 1 {
		t.Errorf("said %q", s.lines)
	}
	s.stand(src, 500)
	if s.said("refused") != 1 {
		t.Errorf("told twice: %q", s.lines)
	}
	s.write(text("", append(four(), many(1)...)...)) // mended, with a server more
	s.stand(src, 30)
	if len(s.lists) != 1 || s.lists[0].Servers[5].Started < 4e12 {
		t.Errorf("mended: got %+v", s.lists)
	}
	if again := s.opened().Current(); again.Servers[5].Started != s.lists[0].Servers[5].Started {
		t.Error("a restart takes a cold server for a warm one")
	}

	s.write(half)
	if err := os.Remove(s.keep); err != nil {
		t.Fatal(err)
	}
	if _, err := s.open(); err == nil || !strings.Contains(err.Error(), "servers.toml:4: array is incomplete") {
		t.Errorf("nothing kept: got %v", err)
	}
	if err := os.Remove(s.path); err != nil {
		t.Fatal(err)
	}
	if _, err := s.open(); err == nil || !strings.Contains(err.Error(), "can't be read: no such file") {
		t.Errorf("no file: got %v", err)
	}
}

// What is kept may itself be damaged, at any byte: it is then told of and not used.
func TestDamagedState(t *testing.T) {
	s := newSite(t, text("", four()...))
	s.opened()
	whole, err := os.ReadFile(s.keep)
	if err != nil {
		t.Fatal(err)
	}
	s.write("half")
	good := parsed(t, text1())
	want := good.List(1).Servers
	for at := range whole {
		broken := append([]byte(nil), whole...)
		broken[at] ^= 1
		for _, text := range [][]byte{broken, whole[:at]} {
			if err := os.WriteFile(s.keep, text, 0o600); err != nil {
				t.Fatal(err)
			}
			if src, err := s.open(); err == nil && !reflect.DeepEqual(src.Current().Servers, want) {
				t.Fatalf("byte %d: a damaged list is used: %+v", at, src.Current())
			}
		}
	}
}

// text1 is four with the starts that a first list has.
func text1() string {
	rows := four()
	for i := range rows {
		rows[i] = strings.TrimSuffix(rows[i], "}") + ", warm = true}"
	}
	return text("", rows...)
}

// A restart judges the file against what was kept: nobody takes a site out by way of one.
func TestRestartIsJudgedToo(t *testing.T) {
	s := newSite(t, text("", four()...))
	s.opened()
	s.write(text("", four()[0], four()[1], origin))
	if got := s.opened().Current(); len(got.Servers) != 5 {
		t.Errorf("got %+v", got)
	}
}

// A state folder that can't be written costs the restart, not the change.
func TestStateThatCannotBeKept(t *testing.T) {
	s := newSite(t, text("", four()...))
	s.keep = filepath.Join(filepath.Dir(s.keep), "none", "kept.json")
	src := s.opened()
	s.write(text("", append(four(), many(1)...)...))
	s.stand(src, 30)
	if len(s.lists) != 1 || s.said("a restart won't have it") != 2 {
		t.Errorf("lists %v, said %q", s.lists, s.lines)
	}
}

// A thousand edits leave nothing behind.
func TestManyEdits(t *testing.T) {
	s := newSite(t, text("", four()...))
	src := s.opened()
	for i := range 1000 {
		s.write(text(fmt.Sprintf("# %d\n", i), append(four(), many(1+i%3)...)...))
		s.stand(src, 30)
	}
	if len(s.lists) != 1000 || s.lists[999].Version != 1001 {
		t.Errorf("%d lists", len(s.lists))
	}
	left, err := os.ReadDir(filepath.Dir(s.path))
	if err != nil || len(left) != 2 {
		t.Errorf("files %v, %v", left, err)
	}
}

// BenchmarkFileToList gives the time from the last byte of a file until its list is handed on, with notices and without,
// as p50 and p99, and beside it the time that a router would take that looks once a second, as is usual.
func BenchmarkFileToList(b *testing.B) {
	for _, notices := range []bool{true, false} {
		b.Run(map[bool]string{true: "notices", false: "looks"}[notices], func(b *testing.B) {
			s := newSite(b, text("", four()...))
			cfg := s.config()
			cfg.NoNotices, cfg.State = !notices, ""
			src, err := OpenFile(cfg, func() float64 { return float64(time.Now().UnixMicro()) / 1000 }, s.log)
			if err != nil {
				b.Fatal(err)
			}
			lists := make(chan List, 10)
			ctx, stop := context.WithCancel(b.Context())
			var wg sync.WaitGroup
			wg.Go(func() { src.Run(ctx, func(l List) { lists <- l }) })
			defer func() { stop(); wg.Wait() }()
			var took []float64
			for i := 0; b.Loop(); i++ {
				s.write(text(fmt.Sprintf("# %d\n", i), append(four(), many(1+i%2)...)...))
				began := time.Now()
				<-lists
				took = append(took, float64(time.Since(began).Microseconds())/1000)
			}
			report(b, took)
		})
	}
}

// BenchmarkTake gives the time and memory to take a list of 10,000 servers, off the router's loop.
func BenchmarkTake(b *testing.B) {
	s := newSite(b, text("", append(four(), many(9995)...)...))
	src := s.opened()
	content, err := os.ReadFile(s.path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		c, err := src.plan(src.use, content)
		if err != nil || len(c.Next.Servers) != 10000 {
			b.Fatal(err)
		}
	}
}

// report gives the median and the 99th percentile of times in ms.
func report(b *testing.B, took []float64) {
	b.Helper()
	if len(took) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(took))
	b.ReportMetric(sorted[len(sorted)/2], "p50-ms")
	b.ReportMetric(sorted[len(sorted)*99/100], "p99-ms")
}
