// Package fsys is what the store needs of a file system: one folder of files. Dir is the real one; tests have one that forgets
// what was not synced.
package fsys

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

// FS is a folder of files. Names have no separator. Its methods may be called from any goroutine.
type FS interface {
	// Create makes a file that must not be there, and is lost with a crash until SyncDir.
	Create(name string) (File, error)
	// Open opens a file to read, and with write also to write. errors.Is(err, os.ErrNotExist) tells that there is none.
	Open(name string, write bool) (File, error)
	Remove(name string) error
	// Rename puts a file in the place of another. It may be forgotten until SyncDir.
	Rename(from, to string) error
	// List gives the names of all files, in no order.
	List() ([]string, error)
	SyncDir() error
	// Lock takes the lock of that name for this process until the closer is closed. An error of type *LockedError tells who
	// has it.
	Lock(name, owner string) (io.Closer, error)
}

// File is an open file. It stays readable when it has been removed.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// LockedError tells who has a lock.
type LockedError struct{ Name, Owner string }

func (e *LockedError) Error() string {
	return fmt.Sprintf("%s is held by %s: one program can have the store open", e.Name, e.Owner)
}

// Dir is a folder of this machine.
type Dir string

// MkdirAll makes the folder where it is not there. The folders above are synced, so that it is not lost in a crash.
func (d Dir) MkdirAll() error {
	if err := os.MkdirAll(string(d), 0o700); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return syncDir(filepath.Dir(string(d)))
}

// Create is FS's.
func (d Dir) Create(name string) (File, error) {
	return open(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL)
}

// Open is FS's.
func (d Dir) Open(name string, write bool) (File, error) {
	if write {
		return open(d.path(name), os.O_RDWR)
	}
	return open(d.path(name), os.O_RDONLY)
}

// Remove is FS's.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// Rename is FS's.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// List is FS's.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncDir is FS's.
func (d Dir) SyncDir() error { return syncDir(string(d)) }

// maxOwner bounds what is read of a lock's owner, in bytes.
const maxOwner = 256

// Lock is FS's. The kernel gives the lock back when the process ends, however that is.
func (d Dir) Lock(name, owner string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		defer f.Close()
		if !errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", f.Name(), err)
		}
		b := make([]byte, maxOwner)
		n, _ := f.ReadAt(b, 0)
		who := strings.TrimSpace(string(b[:n]))
		if who == "" {
			who = "another program"
		}
		return nil, &LockedError{f.Name(), who}
	}
	if err := f.Truncate(0); err == nil { // that it names its owner is a help, no more
		f.WriteAt([]byte(owner+"\n"), 0) //nolint:errcheck
	}
	return f, nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// file is an os.File with a Size.
type file struct{ *os.File }

func open(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, 0o600)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

func (f file) Size() (int64, error) {
	st, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return st.Size(), nil
}

func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
