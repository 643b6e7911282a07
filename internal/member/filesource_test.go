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

// fileFixture is a directory with a server file, and a clock that the test sets.
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
	s := &fileFixture{t: t, path: filepath.Join(dir, "servers.toml"), statePath: filepath.Join(dir, "kept.json"),
		now: 4e12} // later than any file time
	s.write(content)
	return s
}

func (s *fileFixture) write(content string) {
	s.t.Helper()
	if err := os.WriteFile(s.path, []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// replace replaces the file by renaming a new one.
func (s *fileFixture) replace(content string) {
	s.t.Helper()
	finalPath := s.path
	s.path += ".new"
	s.write(content)
	if err := os.Rename(s.path, finalPath); err != nil {
		s.t.Fatal(err)
	}
	s.path = finalPath
}

func (s *fileFixture) log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLines = append(s.logLines, fmt.Sprintf(format, args...))
}

// countLogged returns the number of log lines that contain text.
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
	source, err := s.open()
	if err != nil {
		s.t.Fatal(err)
	}
	return source
}

// pollAfter polls the file now and once more after ms milliseconds of the test's clock.
func (s *fileFixture) pollAfter(src *FileSource, ms float64) {
	src.file.Poll()
	s.now += ms
	src.file.Poll()
}

// Checks that no partial file is used while a file is written, in place or by renames, growing or shrinking:
// the router gets the complete new list, once, and nothing else.
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
				t.Fatalf("%s: cut at byte %d of %d: a list was used", name, cut, len(c.next))
			}
		}
		if n := s.countLogged("the file may be cut short"); n == 0 || s.countLogged("server file: applied") > 0 {
			t.Errorf("%s: %d reasons logged; %d lists applied", name, n, s.countLogged("server file: applied"))
		}
		c.write(s, c.next)
		s.pollAfter(src, 30)
		want := mustParse(t, c.next)
		if len(s.lists) != 1 || len(s.lists[0].Servers) != len(want.Servers) || !s.lists[0].Full {
			t.Fatalf("%s: complete file: got %+v", name, s.lists)
		}
		for i, e := range s.lists[0].Servers {
			if w := want.Servers[i]; e.ID != w.ID || e.Addr != w.Addr || e.Weight != w.Weight {
				t.Errorf("%s: server %d is %+v, want %+v", name, i, e, w)
			}
		}
	}
}

// Checks that a valid file that removes all servers of a site is refused and logged once, and accepted when
// it allows the removal.
func TestFileThatRemovesASite(t *testing.T) {
	s := newFileFixture(t, serverFileText("", fourServers()...))
	src := s.mustOpen()
	two := []string{fourServers()[0], fourServers()[1], originRow}
	s.write(serverFileText("", two...))
	for range 5 {
		s.pollAfter(src, 500)
	}
	if len(s.lists) > 0 || s.countLogged("site sfax would lose all of its 2 servers") != 1 {
		t.Errorf("lists %v, logged %q", s.lists, s.logLines)
	}
	s.write(serverFileText("allow = [\"site-gone sfax\"]\n", two...))
	s.pollAfter(src, 30)
	if len(s.lists) != 1 || len(s.lists[0].Servers) != 3 {
		t.Errorf("allowed: lists %v, logged %q", s.lists, s.logLines)
	}
}

// Checks that the saved list is used if the file is bad at the start, and that the reason is returned if
// there is no saved list.
func TestBadFileAtTheStart(t *testing.T) {
	whole, half := serverFileText("", fourServers()...), serverFileText("", fourServers()...)[:120]
	s := newFileFixture(t, whole)
	before := s.mustOpen().Current()
	s.write(half)
	src := s.mustOpen()
	if got := src.Current(); !reflect.DeepEqual(got, before) {
		t.Errorf("got %+v, want the saved list", got)
	}
	if s.countLogged("refused, using the last good list: ") != 1 {
		t.Errorf("logged %q", s.logLines)
	}
	s.pollAfter(src, 500)
	if s.countLogged("refused") != 1 {
		t.Errorf("logged twice: %q", s.logLines)
	}
	s.write(serverFileText("", append(fourServers(), manyServers(1)...)...)) // repaired, with one more server
	s.pollAfter(src, 30)
	if len(s.lists) != 1 || s.lists[0].Servers[5].Started < 4e12 {
		t.Errorf("repaired: got %+v", s.lists)
	}
	if again := s.mustOpen().Current(); again.Servers[5].Started != s.lists[0].Servers[5].Started {
		t.Error("after a restart, a cold server counts as warm")
	}

	s.write(half)
	if err := os.Remove(s.statePath); err != nil {
		t.Fatal(err)
	}
	if _, err := s.open(); err == nil || !strings.Contains(err.Error(), "servers.toml:4: array is incomplete") {
		t.Errorf("no saved list: got %v", err)
	}
	if err := os.Remove(s.path); err != nil {
		t.Fatal(err)
	}
	if _, err := s.open(); err == nil || !strings.Contains(err.Error(), "can't be read: no such file") {
		t.Errorf("no file: got %v", err)
	}
}

// Checks that a saved list is not used if any byte of it is damaged or it is truncated.
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
	for offset := range whole {
		broken := append([]byte(nil), whole...)
		broken[offset] ^= 1
		for _, text := range [][]byte{broken, whole[:offset]} {
			if err := os.WriteFile(s.statePath, text, 0o600); err != nil {
				t.Fatal(err)
			}
			if src, err := s.open(); err == nil && !reflect.DeepEqual(src.Current().Servers, want) {
				t.Fatalf("byte %d: a damaged list is used: %+v", offset, src.Current())
			}
		}
	}
}

// warmServersText returns the file of fourServers with the start times that a first list gets.
func warmServersText() string {
	rows := fourServers()
	for i := range rows {
		rows[i] = strings.TrimSuffix(rows[i], "}") + ", warm = true}"
	}
	return serverFileText("", rows...)
}

// Checks that after a restart the file is compared with the saved list, so that a site can't be removed by
// accident while the router is down.
func TestRestartChecksPlausibility(t *testing.T) {
	s := newFileFixture(t, serverFileText("", fourServers()...))
	s.mustOpen()
	s.write(serverFileText("", fourServers()[0], fourServers()[1], originRow))
	if got := s.mustOpen().Current(); len(got.Servers) != 5 {
		t.Errorf("got %+v", got)
	}
}

// Checks that a list is used even if it can't be saved for a restart.
func TestStateThatCannotBeSaved(t *testing.T) {
	s := newFileFixture(t, serverFileText("", fourServers()...))
	s.statePath = filepath.Join(filepath.Dir(s.statePath), "none", "kept.json")
	src := s.mustOpen()
	s.write(serverFileText("", append(fourServers(), manyServers(1)...)...))
	s.pollAfter(src, 30)
	if len(s.lists) != 1 || s.countLogged("could not be saved for a restart") != 2 {
		t.Errorf("lists %v, logged %q", s.lists, s.logLines)
	}
}

// Checks that a thousand edits leave no temporary files.
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

// BenchmarkFileToList measures the time from the last byte of a file until its list is passed on, as p50 and
// p99, with file system notifications and with polling alone.
func BenchmarkFileToList(b *testing.B) {
	for _, notifications := range []bool{true, false} {
		b.Run(map[bool]string{true: "notices", false: "looks"}[notifications], func(b *testing.B) {
			s := newFileFixture(b, serverFileText("", fourServers()...))
			cfg := s.config()
			cfg.NoNotices, cfg.State = !notifications, ""
			src, err := OpenFile(cfg, func() float64 { return float64(time.Now().UnixMicro()) / 1000 }, s.log)
			if err != nil {
				b.Fatal(err)
			}
			lists := make(chan List, 10)
			ctx, stop := context.WithCancel(b.Context())
			var wg sync.WaitGroup
			wg.Go(func() { src.Run(ctx, func(l List) { lists <- l }) })
			defer func() { stop(); wg.Wait() }()
			var tookMS []float64
			for i := 0; b.Loop(); i++ {
				s.write(serverFileText(fmt.Sprintf("# %d\n", i), append(fourServers(), manyServers(1+i%2)...)...))
				began := time.Now()
				<-lists
				tookMS = append(tookMS, float64(time.Since(began).Microseconds())/1000)
			}
			reportPercentiles(b, tookMS)
		})
	}
}

// BenchmarkParseAndPlan measures the time and memory to parse and plan a list of 10,000 servers, which
// happens outside the router's event loop.
func BenchmarkParseAndPlan(b *testing.B) {
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

// reportPercentiles reports the median and the 99th percentile of times in ms.
func reportPercentiles(b *testing.B, tookMS []float64) {
	b.Helper()
	if len(tookMS) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(tookMS))
	b.ReportMetric(sorted[len(sorted)/2], "p50-ms")
	b.ReportMetric(sorted[len(sorted)*99/100], "p99-ms")
}
