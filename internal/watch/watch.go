// Package watch monitors a single file that people edit. It passes each new content to a consumer once the
// file has stopped changing; the consumer accepts or rejects it. File system notifications reduce the delay,
// but only reading the file decides what changed.
package watch

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fsnotify/fsnotify"
)

// Config selects the file to watch and how to watch it.
type Config struct {
	Path     string
	MaxBytes int64   // of a longer file the consumer gets the first MaxBytes+1 bytes
	SettleMS float64 // time that new content must stay unchanged before it is evaluated
	PollOnly bool    // use no file system notifications, for example on network file systems
}

const (
	// DefaultSettleMS is the usual Config.SettleMS, in milliseconds.
	DefaultSettleMS = 25
	// pollInterval is the time between polls without notifications. A drain must take effect within 500 ms of
	// the complete file being there, even if notifications are lost; this interval plus settling and reading
	// stays well below that.
	pollInterval = 250 * time.Millisecond
	// badReportDelayMS is how long bad content must stay before it is reported, as it may be a partial write.
	badReportDelayMS = 400
	// maxSettleMS is how long a file may keep changing before it is evaluated anyway.
	maxSettleMS = 150
	// eventBatchWindow is the time over which notifications are merged into one poll. It limits the poll rate
	// when other files in the directory change all the time.
	eventBatchWindow = 2 * time.Millisecond
)

// Consumer receives the contents of a watched file. Its methods are never called concurrently.
type Consumer interface {
	// Apply starts using new content, or returns an error that says why it is rejected.
	Apply(text []byte) error
	// Refused reports, once per content, that the file still holds rejected content or is still unreadable.
	Refused(why error)
	// NotificationsFailed reports an error of the file system notifications. The file is still polled every
	// 250 ms.
	NotificationsFailed(err error)
}

// RestoreObserver is implemented by a Consumer that keeps rejected content to apply it later.
type RestoreObserver interface {
	// Restored is called when the file, after rejected content, holds the content again that was applied last. An
	// error says why it is rejected now.
	Restored(text []byte) error
}

// File is a watched file.
type File struct {
	cfg            Config
	now            func() float64 // Unix time in ms, comparable with file modification times
	consumer       Consumer
	debouncer      debouncer
	lastStamp      fileStamp // of the file at the last read
	lastDigest     digest    // of the content or error at the last read
	rejectedDigest digest    // of the last rejected content
	rejectReason   error     // why it was rejected
}

// New returns a File that Run or Poll watches. now returns the Unix time in milliseconds.
func New(cfg Config, now func() float64, consumer Consumer) *File {
	return &File{cfg: cfg, now: now, consumer: consumer,
		debouncer: debouncer{settleMS: max(0, cfg.SettleMS), badReportDelayMS: badReportDelayMS, maxSettleMS: maxSettleMS, unsettledSince: math.Inf(1)}}
}

// Read returns the present content. If the file changes while it is read, it is read again, up to 20 times in
// all.
func (f *File) Read() ([]byte, error) {
	for range 20 {
		text, _, err := readStable(f.cfg.Path, f.cfg.MaxBytes)
		if !errors.Is(err, errChanging) {
			return text, err
		}
	}
	return nil, fmt.Errorf("%s: %w", f.cfg.Path, errChanging)
}

// SetCurrent sets the content that is already in use. It must be called before Run.
func (f *File) SetCurrent(text []byte) { f.debouncer.current = sha256.Sum256(text) }

// SetKnownBad marks content as rejected and reported, so that it is not reported again. It must be called
// before Run.
func (f *File) SetKnownBad(text []byte) {
	f.debouncer.reported = append(f.debouncer.reported, sha256.Sum256(text))
}

// Run watches the file until ctx ends. Bad content leaves the current content in use.
func (f *File) Run(ctx context.Context) {
	notifier := newNotifier(f.cfg.Path, f.cfg.PollOnly, f.consumer.NotificationsFailed)
	defer notifier.close()
	pollTicker := time.NewTicker(pollInterval)
	defer pollTicker.Stop()
	recheckTimer := time.NewTimer(0)
	defer recheckTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-notifier.events():
			notifier.drainEvents(ctx)
		case err := <-notifier.errors(): // notifications may be lost; polling continues
			f.consumer.NotificationsFailed(err)
		case <-pollTicker.C:
			notifier.updateWatches()
		case <-recheckTimer.C:
		}
		if recheckAt := f.Poll(); !math.IsInf(recheckAt, 1) {
			recheckTimer.Reset(time.Duration(max(0, recheckAt-f.now())*float64(time.Millisecond)) + time.Millisecond)
		}
	}
}

// Poll reads the file if it may have changed and hands new content to the consumer. It returns when to poll
// again, in Unix milliseconds; +Inf = at the next regular poll. It must not be called while Run is running,
// which calls it itself.
func (f *File) Poll() float64 {
	stamp, statErr := statStamp(f.cfg.Path)
	var text []byte
	if statErr != nil || stamp != f.lastStamp || stamp.recentlyWritten(f.now()) || f.debouncer.pending != (digest{}) {
		var err error
		text, stamp, err = readStable(f.cfg.Path, f.cfg.MaxBytes)
		if errors.Is(err, errChanging) {
			return f.now() + max(1, f.cfg.SettleMS/2)
		}
		f.lastStamp, f.lastDigest = stamp, sha256.Sum256(text)
		if err != nil {
			f.lastStamp, f.lastDigest = fileStamp{}, sha256.Sum256([]byte("error "+err.Error()))
			return f.evaluate(nil, err)
		}
		return f.evaluate(text, nil)
	}
	return math.Inf(1)
}

// evaluate carries out the debouncer's action for the last read and returns when to poll again.
func (f *File) evaluate(text []byte, err error) float64 {
	act, nextPoll := f.debouncer.observe(f.now(), f.lastDigest)
	switch act {
	case actionNone:
		f.noteRestored(text)
		return math.Inf(1)
	case actionRecheck:
		return nextPoll
	}
	if f.rejectedDigest != f.lastDigest {
		if err == nil {
			if err = f.consumer.Apply(text); err == nil {
				f.debouncer.markCurrent()
				f.rejectedDigest = digest{}
				return math.Inf(1)
			}
		}
		f.rejectedDigest, f.rejectReason = f.lastDigest, err
	}
	report, recheckAt := f.debouncer.markBad(f.now())
	if report {
		f.consumer.Refused(f.rejectReason)
	}
	return recheckAt
}

// noteRestored forgets rejected content, as the file holds the content again that was applied last, and tells the
// consumer.
func (f *File) noteRestored(text []byte) {
	if f.rejectedDigest == (digest{}) {
		return
	}
	f.rejectedDigest = digest{}
	if observer, ok := f.consumer.(RestoreObserver); ok {
		if err := observer.Restored(text); err != nil {
			f.consumer.Refused(err)
		}
	}
}

// fileStamp identifies a version of a file by its metadata. A file whose stamp differs may have changed.
type fileStamp struct {
	dev, ino uint64
	size     int64
	mtime    int64 // ns
	ctime    int64 // ns
}

// recentlyWritten reports whether the file was written so recently that another write might have the same
// timestamp: timestamps of local file systems advance in steps of up to about ten milliseconds, those of
// network file systems in steps of seconds.
func (s fileStamp) recentlyWritten(nowMS float64) bool { return nowMS-float64(s.mtime)/1e6 < 2500 }

func stampOf(info os.FileInfo) fileStamp {
	s := fileStamp{size: info.Size(), mtime: info.ModTime().UnixNano()}
	if stat, ok := info.Sys().(*syscall.Stat_t); ok {
		s.dev, s.ino, s.ctime = uint64(stat.Dev), stat.Ino, stat.Ctim.Nano()
	}
	return s
}

func statStamp(path string) (fileStamp, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}, err
	}
	return stampOf(info), nil
}

// errChanging means that a file changed while it was read.
var errChanging = errors.New("the file changed while it was read")

// OpenRegular opens a regular file for reading. It rejects other kinds: reading a pipe or a device might
// block or never end.
func OpenRegular(path string) (*os.File, os.FileInfo, error) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	info, err := f.Stat()
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("%s: not a regular file", path)
	}
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, info, nil
}

// readStable reads up to limit+1 bytes of the file, so that the consumer can reject a file that is too long.
// It returns errChanging if the file changed meanwhile.
func readStable(path string, limit int64) ([]byte, fileStamp, error) {
	f, before, err := OpenRegular(path)
	if err != nil {
		if p := (*fs.PathError)(nil); errors.As(err, &p) {
			err = fmt.Errorf("%s: can't be read: %w", path, p.Err)
		}
		return nil, fileStamp{}, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, fileStamp{}, fmt.Errorf("%s: can't be read: %w", path, err)
	}
	after, err := f.Stat()
	if err != nil {
		return nil, fileStamp{}, fmt.Errorf("%s: can't be read: %w", path, err)
	}
	if stampOf(before) != stampOf(after) {
		return nil, fileStamp{}, errChanging
	}
	return text, stampOf(after), nil
}

// notifier receives file system notifications for the directories that hold the watched file. A notification
// only triggers a poll.
type notifier struct {
	watcher     *fsnotify.Watcher // nil = no notifications
	path        string
	watchedDirs map[string]fileStamp // watched directories and their stamps
	onError     func(error)
}

func newNotifier(path string, disabled bool, onError func(error)) *notifier {
	n := &notifier{path: path, watchedDirs: map[string]fileStamp{}, onError: onError}
	if disabled {
		return n
	}
	w, err := fsnotify.NewWatcher()
	if err != nil {
		onError(err)
		return n
	}
	n.watcher = w
	n.updateWatches()
	return n
}

func (n *notifier) close() {
	if n.watcher != nil {
		n.watcher.Close()
	}
}

func (n *notifier) events() <-chan fsnotify.Event {
	if n.watcher == nil {
		return nil
	}
	return n.watcher.Events
}

func (n *notifier) errors() <-chan error {
	if n.watcher == nil {
		return nil
	}
	return n.watcher.Errors
}

// drainEvents discards the notifications of the next eventBatchWindow, because one write causes several.
func (n *notifier) drainEvents(ctx context.Context) {
	batchEnd := time.NewTimer(eventBatchWindow)
	defer batchEnd.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-batchEnd.C:
			n.updateWatches()
			return
		case <-n.watcher.Events:
		}
	}
}

// updateWatches watches the directory of the file and, if the file is a symbolic link, that of its target. A
// directory that was replaced is watched again.
func (n *notifier) updateWatches() {
	if n.watcher == nil {
		return
	}
	wanted := map[string]bool{filepath.Dir(n.path): true}
	if target, err := filepath.EvalSymlinks(n.path); err == nil {
		wanted[filepath.Dir(target)] = true
	}
	for dir := range wanted {
		info, err := os.Stat(dir)
		if err != nil {
			delete(n.watchedDirs, dir)
			continue
		}
		current := stampOf(info)
		current.mtime, current.ctime, current.size = 0, 0, 0 // compare the identity, not the contents
		if previous, ok := n.watchedDirs[dir]; ok && previous == current {
			continue
		}
		n.watcher.Remove(dir) //nolint:errcheck // the directory may not be watched yet
		if err := n.watcher.Add(dir); err == nil {
			n.watchedDirs[dir] = current
		}
	}
	for dir := range n.watchedDirs {
		if !wanted[dir] {
			n.watcher.Remove(dir) //nolint:errcheck // as above
			delete(n.watchedDirs, dir)
		}
	}
}
