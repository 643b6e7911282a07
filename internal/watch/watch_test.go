package watch

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// recorder takes contents that begin with "good" and tells of all that happens.
type recorder struct {
	applied, refused chan string
}

func (r *recorder) Apply(text []byte) error {
	if !strings.HasPrefix(string(text), "good") {
		return errors.New("bad: " + string(text))
	}
	r.applied <- string(text)
	return nil
}
func (r *recorder) Refused(why error)         { r.refused <- why.Error() }
func (r *recorder) NotificationsFailed(error) {}

func unixMS() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// startWatch runs a watch of path until the test ends.
func startWatch(t *testing.T, path string, notices bool) *recorder {
	t.Helper()
	r := &recorder{make(chan string, 1000), make(chan string, 1000)}
	f := New(Config{Path: path, MaxBytes: 1 << 20, SettleMS: 10, PollOnly: !notices}, unixMS, r)
	text, err := f.Read()
	if err != nil {
		t.Fatal(err)
	}
	f.SetCurrent(text)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	t.Cleanup(func() { stop(); wg.Wait() })
	return r
}

func wantMessage(t *testing.T, ch <-chan string, text string) {
	t.Helper()
	select {
	case got := <-ch:
		if !strings.Contains(got, text) {
			t.Fatalf("got %q, want %q", got, text)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("%q never came", text)
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// All the ways in which people and tools change a file, with notices and without.
func TestWaysOfEditing(t *testing.T) {
	for _, notices := range []bool{true, false} {
		name := map[bool]string{true: "notices", false: "looks"}[notices]
		t.Run(name+"/in place", func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f")
			writeFile(t, path, "good 0")
			r := startWatch(t, path, notices)
			writeFile(t, path, "good 1")
			wantMessage(t, r.applied, "good 1")
			f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
			requireNoError(t, err)
			_, err = f.WriteString(" and more")
			requireNoError(t, err)
			requireNoError(t, f.Close())
			wantMessage(t, r.applied, "good 1 and more")
		})
		t.Run(name+"/rename", func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f")
			writeFile(t, path, "good 0")
			r := startWatch(t, path, notices)
			writeFile(t, path+".swp", "good 1")
			requireNoError(t, os.Rename(path+".swp", path))
			wantMessage(t, r.applied, "good 1")
			requireNoError(t, os.Rename(path, path+"~")) // as editors that keep a copy do
			writeFile(t, path, "good 2")
			wantMessage(t, r.applied, "good 2")
		})
		t.Run(name+"/link", func(t *testing.T) {
			dir := t.TempDir()
			requireNoError(t, os.MkdirAll(filepath.Join(dir, "1"), 0o700))
			requireNoError(t, os.MkdirAll(filepath.Join(dir, "2"), 0o700))
			writeFile(t, filepath.Join(dir, "1", "f"), "good 1")
			writeFile(t, filepath.Join(dir, "2", "f"), "good 2")
			requireNoError(t, os.Symlink("1", filepath.Join(dir, "now")))
			requireNoError(t, os.Symlink(filepath.Join("now", "f"), filepath.Join(dir, "f")))
			r := startWatch(t, filepath.Join(dir, "f"), notices)
			requireNoError(t, os.Symlink("2", filepath.Join(dir, "next")))
			requireNoError(t, os.Rename(filepath.Join(dir, "next"), filepath.Join(dir, "now")))
			wantMessage(t, r.applied, "good 2")
			writeFile(t, filepath.Join(dir, "2", "f"), "good 3") // behind the link
			wantMessage(t, r.applied, "good 3")
		})
		t.Run(name+"/removed and back", func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f")
			writeFile(t, path, "good 0")
			r := startWatch(t, path, notices)
			requireNoError(t, os.Remove(path))
			wantMessage(t, r.refused, "can't be read")
			writeFile(t, path, "good 1")
			wantMessage(t, r.applied, "good 1")
		})
		t.Run(name+"/folder replaced", func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "d")
			requireNoError(t, os.Mkdir(dir, 0o700))
			path := filepath.Join(dir, "f")
			writeFile(t, path, "good 0")
			r := startWatch(t, path, notices)
			requireNoError(t, os.Mkdir(dir+".new", 0o700))
			writeFile(t, filepath.Join(dir+".new", "f"), "good 1")
			requireNoError(t, os.Rename(dir, dir+".old"))
			requireNoError(t, os.Rename(dir+".new", dir))
			wantMessage(t, r.applied, "good 1")
			writeFile(t, path, "good 2") // in the new folder
			wantMessage(t, r.applied, "good 2")
			writeFile(t, filepath.Join(dir+".old", "f"), "good of the old folder")
			writeFile(t, path, "good 3")
			wantMessage(t, r.applied, "good 3")
		})
	}
}

// A pipe, a folder, a file that is too long or may not be read: told of once, and what is in use stays.
func TestUnreadableFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	writeFile(t, path, "good 0")
	r := startWatch(t, path, true)
	requireNoError(t, os.Remove(path))
	requireNoError(t, syscall.Mkfifo(path, 0o600)) // nobody ever writes to it
	wantMessage(t, r.refused, "no regular file")
	requireNoError(t, os.Remove(path))
	writeFile(t, path, "bad")
	wantMessage(t, r.refused, "bad: bad")
	writeFile(t, path, "good 1")
	wantMessage(t, r.applied, "good 1")
	if len(r.refused) > 0 {
		t.Errorf("told twice: %q", <-r.refused)
	}
	requireNoError(t, os.Remove(path))
	requireNoError(t, os.Mkdir(path, 0o700)) // after a good one it is told of again
	wantMessage(t, r.refused, "no regular file")
}

// Two edits within 10 ms: the second stands in the end, whatever became of the first.
func TestTwoEditsWithinTenMilliseconds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	writeFile(t, path, "good 0")
	r := startWatch(t, path, true)
	writeFile(t, path, "good 1")
	writeFile(t, path, "good 2")
	for {
		select {
		case got := <-r.applied:
			if got == "good 2" {
				return
			}
		case <-time.After(10 * time.Second):
			t.Fatal("the second never came")
		}
	}
}

// The same length and, for all that a file system may tell, the same time: the content is read again all the same.
func TestSameLengthAndTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	writeFile(t, path, "good 0")
	r := startWatch(t, path, false)
	i, err := os.Stat(path)
	requireNoError(t, err)
	writeFile(t, path, "good 1")
	requireNoError(t, os.Chtimes(path, i.ModTime(), i.ModTime()))
	wantMessage(t, r.applied, "good 1")
}
