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

// fileFixture is a folder with a server file, and a clock that the test sets.
type fileFixture struct {
	t               testing.TB
	path, statePath string
	now             float64
	mu              sync.Mutex
	logLines        []string
	lists           []List
}

func newFileFixture(t testing.TB, content string) *fileFixture {
	dir := t.TempDir()
	s := &fileFixture{t: t, path: filepath.Join(dir, "servers.toml"), statePath: filepath.Join(dir, "kept.json"), now: 4e12} // later than any file time
	s.write(content)
	return s
}

func (s *fileFixture) write(content string) {
	s.t.Helper()
	if err := os.WriteFile(s.path, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// replace puts a new file in the place of the old one.
func (s *fileFixture) replace(content string) {
	s.t.Helper()
	old := s.path
	s.path += ".new"
	s.write(content)
	if err := os.Rename(s.path, old); err != nil {
		s.t.Fatal(err)
	}
	s.path = old
}

func (s *fileFixture) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLines = append(s.logLines, fmt.Sprintf(format, args...))
}

func (s *fileFixture) countLogged(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.logLines {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n
}

func (s *fileFixture) config() FileConfig {
	return FileConfig{Path: s.path, State: s.statePath, Rules: testRules, SettleMS: 25}
}

func (s *fileFixture) open() (*FileSource, error) {
	src, err := OpenFile(s.config(), func() float64 { return s.now }, s.log)
	if err == nil {
		src.onList = func(l List) { s.lists = append(s.lists, l) }
	}
	return src, err
}

func (s *fileFixture) mustOpen() *FileSource {
	s.t.Helper()
	src, err := s.open()
	if err != nil {
		s.t.Fatal(err)
	}
	return src
}

// pollAfter lets the file stand for a while.
func (s *fileFixture) pollAfter(src *FileSource, ms float64) {
	src.file.Poll()
	s.now += ms
	src.file.Poll()
}

// Whatever a file holds at any byte of an edit, in place or by a rename, growing or shrinking: each list that the router
// gets is the new one, whole; and it gets that one.
func TestEditAtEveryByte(t *testing.T) {
	small := serverFileText("", fourServers()...)
	large := serverFileText("# grown\n", append(append(fourServers(), manyServers(3)...), rowText("w", 88, "rades", ", weight = 0.25"))...)
	for name, c := range map[string]struct {
		old, next string
		write     func(*fileFixture, string)
	}{
		"growing in place": {small, large, (*fileFixture).write}, "shrinking in place": {large, small, (*fileFixture).write},
		"growing by rename": {small, large, (*fileFixture).replace}, "shrinking by rename": {large, small, (*fileFixture).replace},
	} {
		s := newFileFixture(t, c.old)
		src := s.mustOpen()
		for cut := range len(c.next) - 1 {
			c.write(s, c.next[:cut])
			s.pollAfter(src, 30)
			s.pollAfter(src, 500)
			if len(s.lists) > 0 {
				t.Fatalf("%s: cut at byte %d of %d: a list was handed on", name, cut, len(c.next))
			}
		}
		if n := s.countLogged("the file may be cut short"); n == 0 || s.countLogged("server file: taken") > 0 {
			t.Errorf("%s: %d reasons were told; %d lists taken", name, n, s.countLogged("server file: taken"))
		}
		c.write(s, c.next)
		s.pollAfter(src, 30)
		want := mustParse(t, c.next)
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
func TestFileThatRemovesASite(t *testing.T) {
	s := newFileFixture(t, serverFileText("", fourServers()...))
	src := s.mustOpen()
	two := []string{fourServers()[0], fourServers()[1], originRow}
	s.write(serverFileText("", two...))
	for range 5 {
		s.pollAfter(src, 500)
	}
	if len(s.lists) > 0 || s.countLogged("site sfax would lose all of its 2 servers") != 1 {
		t.Errorf("lists %v, said %q", s.lists, s.logLines)
	}
	s.write(serverFileText("allow = [\"site-gone sfax\"]\n", two...))
	s.pollAfter(src, 30)
	if len(s.lists) != 1 || len(s.lists[0].Servers) != 3 {
		t.Errorf("allowed: lists %v, said %q", s.lists, s.logLines)
	}
}

// A bad file at the start: the list that was kept serves; without one the reason comes back.
func TestBadFileAtTheStart(t *testing.T) {
	whole, half := serverFileText("", fourServers()...), serverFileText("", fourServers()...)[:120]
	s := newFileFixture(t, whole)
	before := s.mustOpen().Current()
	s.write(half)
	src := s.mustOpen()
	if got := src.Current(); !reflect.DeepEqual(got, before) {
		t.Errorf("got %+v, want what was kept", got)
	}
	if s.countLogged("refused, the last good list is used: ") != 1 {
		t.Errorf("said %q", s.logLines)
	}
	s.pollAfter(src, 500)
	if s.countLogged("refused") != 1 {
		t.Errorf("told twice: %q", s.logLines)
	}
	s.write(serverFileText("", append(fourServers(), manyServers(1)...)...)) // mended, with a server more
	s.pollAfter(src, 30)
	if len(s.lists) != 1 || s.lists[0].Servers[5].Started < 4e12 {
		t.Errorf("mended: got %+v", s.lists)
	}
	if again := s.mustOpen().Current(); again.Servers[5].Started != s.lists[0].Servers[5].Started {
		t.Error("a restart takes a cold server for a warm one")
	}

	s.write(half)
	if err := os.Remove(s.statePath); err != nil {
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
	s := newFileFixture(t, serverFileText("", fourServers()...))
	s.mustOpen()
	whole, err := os.ReadFile(s.statePath)
	if err != nil {
		t.Fatal(err)
	}
	s.write("half")
	good := mustParse(t, warmServersText())
	want := good.List(1).Servers
	for at := range whole {
		broken := append([]byte(nil), whole...)
		broken[at] ^= 1
		for _, text := range [][]byte{broken, whole[:at]} {
			if err := os.WriteFile(s.statePath, text, 0o600); err != nil {
				t.Fatal(err)
			}
			if src, err := s.open(); err == nil && !reflect.DeepEqual(src.Current().Servers, want) {
				t.Fatalf("byte %d: a damaged list is used: %+v", at, src.Current())
			}
		}
	}
}

// warmServersText is four with the starts that a first list has.
func warmServersText() string {
	rows := fourServers()
	for i := range rows {
		rows[i] = strings.TrimSuffix(rows[i], "}") + ", warm = true}"
	}
	return serverFileText("", rows...)
}

// A restart judges the file against what was kept: nobody takes a site out by way of one.
func TestRestartChecksPlausibility(t *testing.T) {
	s := newFileFixture(t, serverFileText("", fourServers()...))
	s.mustOpen()
	s.write(serverFileText("", fourServers()[0], fourServers()[1], originRow))
	if got := s.mustOpen().Current(); len(got.Servers) != 5 {
		t.Errorf("got %+v", got)
	}
}

// A state folder that can't be written costs the restart, not the change.
func TestStateThatCannotBeSaved(t *testing.T) {
	s := newFileFixture(t, serverFileText("", fourServers()...))
	s.statePath = filepath.Join(filepath.Dir(s.statePath), "none", "kept.json")
	src := s.mustOpen()
	s.write(serverFileText("", append(fourServers(), manyServers(1)...)...))
	s.pollAfter(src, 30)
	if len(s.lists) != 1 || s.countLogged("a restart won't have it") != 2 {
		t.Errorf("lists %v, said %q", s.lists, s.logLines)
	}
}

// A thousand edits leave nothing behind.
func TestManyEdits(t *testing.T) {
	s := newFileFixture(t, serverFileText("", fourServers()...))
	src := s.mustOpen()
	for i := range 1000 {
		s.write(serverFileText(fmt.Sprintf("# %d\n", i), append(fourServers(), manyServers(1+i%3)...)...))
		s.pollAfter(src, 30)
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
			s := newFileFixture(b, serverFileText("", fourServers()...))
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
				s.write(serverFileText(fmt.Sprintf("# %d\n", i), append(fourServers(), manyServers(1+i%2)...)...))
				began := time.Now()
				<-lists
				took = append(took, float64(time.Since(began).Microseconds())/1000)
			}
			reportPercentiles(b, took)
		})
	}
}

// BenchmarkTake gives the time and memory to take a list of 10,000 servers, off the router's loop.
func BenchmarkTake(b *testing.B) {
	s := newFileFixture(b, serverFileText("", append(fourServers(), manyServers(9995)...)...))
	src := s.mustOpen()
	content, err := os.ReadFile(s.path)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		c, err := src.planChange(src.current, content)
		if err != nil || len(c.Next.Servers) != 10000 {
			b.Fatal(err)
		}
	}
}

// reportPercentiles gives the median and the 99th percentile of times in ms.
func reportPercentiles(b *testing.B, took []float64) {
	b.Helper()
	if len(took) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(took))
	b.ReportMetric(sorted[len(sorted)/2], "p50-ms")
	b.ReportMetric(sorted[len(sorted)*99/100], "p99-ms")
}
