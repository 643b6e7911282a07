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
	taken, refused chan string
}

func (r *recorder) Take(text []byte) error {
	if !strings.HasPrefix(string(text), "good") {
		return errors.New("bad: " + string(text))
	}
	r.taken <- string(text)
	return nil
}
func (r *recorder) Refused(why error) { r.refused <- why.Error() }
func (r *recorder) Trouble(error)     {}

func unixMS() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// follow runs a watch of path until the test ends.
func follow(t *testing.T, path string, notices bool) *recorder {
	t.Helper()
	r := &recorder{make(chan string, 1000), make(chan string, 1000)}
	f := New(Config{Path: path, Limit: 1 << 20, SettleMS: 10, NoNotices: !notices}, unixMS, r)
	text, err := f.Read()
	if err != nil {
		t.Fatal(err)
	}
	f.InUse(text)
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	t.Cleanup(func() { stop(); wg.Wait() })
	return r
}

func want(t *testing.T, ch <-chan string, text string) {
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

func put(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func do(t *testing.T, err error) {
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
			put(t, path, "good 0")
			r := follow(t, path, notices)
			put(t, path, "good 1")
			want(t, r.taken, "good 1")
			f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
			do(t, err)
			_, err = f.WriteString(" and more")
			do(t, err)
			do(t, f.Close())
			want(t, r.taken, "good 1 and more")
		})
		t.Run(name+"/rename", func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f")
			put(t, path, "good 0")
			r := follow(t, path, notices)
			put(t, path+".swp", "good 1")
			do(t, os.Rename(path+".swp", path))
			want(t, r.taken, "good 1")
			do(t, os.Rename(path, path+"~")) // as editors that keep a copy do
			put(t, path, "good 2")
			want(t, r.taken, "good 2")
		})
		t.Run(name+"/link", func(t *testing.T) {
			dir := t.TempDir()
			do(t, os.MkdirAll(filepath.Join(dir, "1"), 0o700))
			do(t, os.MkdirAll(filepath.Join(dir, "2"), 0o700))
			put(t, filepath.Join(dir, "1", "f"), "good 1")
			put(t, filepath.Join(dir, "2", "f"), "good 2")
			do(t, os.Symlink("1", filepath.Join(dir, "now")))
			do(t, os.Symlink(filepath.Join("now", "f"), filepath.Join(dir, "f")))
			r := follow(t, filepath.Join(dir, "f"), notices)
			do(t, os.Symlink("2", filepath.Join(dir, "next")))
			do(t, os.Rename(filepath.Join(dir, "next"), filepath.Join(dir, "now")))
			want(t, r.taken, "good 2")
			put(t, filepath.Join(dir, "2", "f"), "good 3") // behind the link
			want(t, r.taken, "good 3")
		})
		t.Run(name+"/removed and back", func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "f")
			put(t, path, "good 0")
			r := follow(t, path, notices)
			do(t, os.Remove(path))
			want(t, r.refused, "can't be read")
			put(t, path, "good 1")
			want(t, r.taken, "good 1")
		})
		t.Run(name+"/folder replaced", func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "d")
			do(t, os.Mkdir(dir, 0o700))
			path := filepath.Join(dir, "f")
			put(t, path, "good 0")
			r := follow(t, path, notices)
			do(t, os.Mkdir(dir+".new", 0o700))
			put(t, filepath.Join(dir+".new", "f"), "good 1")
			do(t, os.Rename(dir, dir+".old"))
			do(t, os.Rename(dir+".new", dir))
			want(t, r.taken, "good 1")
			put(t, path, "good 2") // in the new folder
			want(t, r.taken, "good 2")
			put(t, filepath.Join(dir+".old", "f"), "good of the old folder")
			put(t, path, "good 3")
			want(t, r.taken, "good 3")
		})
	}
}

// A pipe, a folder, a file that is too long or may not be read: told of once, and what is in use stays.
func TestWhatCannotBeRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	put(t, path, "good 0")
	r := follow(t, path, true)
	do(t, os.Remove(path))
	do(t, syscall.Mkfifo(path, 0o600)) // nobody ever writes to it
	want(t, r.refused, "no regular file")
	do(t, os.Remove(path))
	put(t, path, "bad")
	want(t, r.refused, "bad: bad")
	put(t, path, "good 1")
	want(t, r.taken, "good 1")
	if len(r.refused) > 0 {
		t.Errorf("told twice: %q", <-r.refused)
	}
	do(t, os.Remove(path))
	do(t, os.Mkdir(path, 0o700)) // after a good one it is told of again
	want(t, r.refused, "no regular file")
}

// Two edits within 10 ms: the second stands in the end, whatever became of the first.
func TestTwoEditsWithinTenMilliseconds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "f")
	put(t, path, "good 0")
	r := follow(t, path, true)
	put(t, path, "good 1")
	put(t, path, "good 2")
	for {
		select {
		case got := <-r.taken:
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
	put(t, path, "good 0")
	r := follow(t, path, false)
	i, err := os.Stat(path)
	do(t, err)
	put(t, path, "good 1")
	do(t, os.Chtimes(path, i.ModTime(), i.ModTime()))
	want(t, r.taken, "good 1")
}
