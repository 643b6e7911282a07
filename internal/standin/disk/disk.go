// Package disk is a file system that forgets: what was not synced is lost, torn or kept as a test orders, at a loss of power at
// any call. It fails on order, and keeps a record of its calls.
package disk

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"

	"mossproxy.example/mossproxy/internal/store/fsys"
)

// ErrPower is what every call gives once the power is lost.
var ErrPower = errors.New("disk: the power is lost")

// Call is one call, counted from 0 on. Only those that change something are counted.
type Call struct {
	Op, Name string // "write", "sync", "create", "remove", "rename", "truncate", "syncdir"
	Bytes    int
}

// Keep says how many bytes of a change that was not synced a loss of power leaves: of a write 0 to bytes, of any other change
// 0 or 1 of 1. Of a write -1-n leaves n bytes too, and zeros in the place of the others: the file had its new length already.
type Keep func(c Call) int

// KeepNone loses all that was not synced.
func KeepNone(Call) int { return 0 }

// KeepAll loses nothing.
func KeepAll(c Call) int { return c.Bytes }

// KeepHalf tears each write in its middle, and forgets other changes.
func KeepHalf(c Call) int { return c.Bytes / 2 }

// KeepLength loses what was written, but not that files became longer.
func KeepLength(c Call) int { return -1 }

// KeepSome keeps, tears and loses changes as drawn from a seed, each for itself: so later ones may be kept where earlier ones
// are lost.
func KeepSome(seed uint64) Keep {
	rng := rand.New(rand.NewPCG(seed, 17))
	return func(c Call) int {
		switch rng.IntN(4) {
		case 0:
			return 0
		case 1:
			return rng.IntN(c.Bytes + 1)
		case 2:
			return -1 - rng.IntN(c.Bytes+1)
		}
		return c.Bytes
	}
}

// Disk is such a file system. Its methods may be called from any goroutine.
type Disk struct {
	mu      sync.Mutex
	files   map[string]*inode
	durable map[string]*inode // as the folder was synced
	changes []dirChange       // since then
	locks   map[string]string
	calls   []Call
	powerAt int // the call at which the power is lost; -1 = never
	lost    bool
	fault   func(n int, c Call) error
	limit   int64 // bytes that files may have together; 0 = any
}

// inode is a file's content.
type inode struct {
	content []byte
	synced  []byte
	changes []fileChange // since then
}

// fileChange is a write, or with size 0 or more a truncation.
type fileChange struct {
	call Call
	off  int64
	b    []byte
	size int64
}

// dirChange puts a file at a name, or none.
type dirChange struct {
	call Call
	set  map[string]*inode
}

// New is an empty disk.
func New() *Disk {
	return &Disk{files: map[string]*inode{}, durable: map[string]*inode{}, locks: map[string]string{}, powerAt: -1}
}

// LosePower has the power lost at the n-th change from now on: that call and all later ones fail.
func (d *Disk) LosePower(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.powerAt = len(d.calls) + n
}

// Kill has the process end that had the disk, and not the machine: locks are free, and what was not synced can be read and is
// still not synced. A disk whose power was lost works again: so a process can end at any call.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost, d.powerAt = false, -1
	clear(d.locks)
}

// Fault asks f at each change whether it fails, and how; nil = none does. A failed write leaves half of it.
func (d *Disk) Fault(f func(n int, c Call) error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Limit bounds the bytes of all files; a write beyond fails with the error that a full disk gives.
func (d *Disk) Limit(bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = bytes
}

// Calls are the changes so far.
func (d *Disk) Calls() []Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// Used is how many bytes the files have that are in the folder.
func (d *Disk) Used() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.used()
}

func (d *Disk) used() (n int64) {
	for _, f := range d.files {
		n += int64(len(f.content))
	}
	return n
}

// Restart is the disk as it is found after a loss of power now, with what keep leaves. Nothing of the old one is changed.
func (d *Disk) Restart(keep Keep) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := map[*inode]*inode{}
	left := func(f *inode) *inode {
		if after[f] == nil {
			b := f.left(keep)
			after[f] = &inode{content: b, synced: slices.Clone(b)}
		}
		return after[f]
	}
	names := maps.Clone(d.durable)
	for _, c := range d.changes {
		if keep(c.call) <= 0 {
			continue
		}
		for name, f := range c.set {
			if names[name] = f; f == nil {
				delete(names, name)
			}
		}
	}
	n := New()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		n.files[name] = left(names[name])
	}
	n.durable = maps.Clone(n.files)
	return n
}

// left is a file's content after a loss of power.
func (f *inode) left(keep Keep) []byte {
	b := slices.Clone(f.synced)
	for _, c := range f.changes {
		n := keep(c.call)
		if n < 0 && c.size < 0 {
			b = resize(b, max(int64(len(b)), c.off+int64(len(c.b))))
			n = -1 - n
		}
		switch {
		case c.size >= 0:
			if n > 0 {
				b = resize(b, c.size)
			}
		case n > 0:
			n = min(n, len(c.b))
			b = resize(b, max(int64(len(b)), c.off+int64(n)))
			copy(b[c.off:], c.b[:n])
		}
	}
	return b
}

func resize(b []byte, size int64) []byte {
	if size <= int64(len(b)) {
		return b[:size]
	}
	return append(b, make([]byte, size-int64(len(b)))...)
}

// Content is a file's bytes as they are now, nil where there is none.
func (d *Disk) Content(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.files[name]; f != nil {
		return slices.Clone(f.content)
	}
	return nil
}

// Put sets a file's bytes, synced, behind everybody's back.
func (d *Disk) Put(name string, b []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := &inode{content: slices.Clone(b), synced: slices.Clone(b)}
	d.files[name], d.durable[name] = f, f
}

// change books a change, and says whether it fails. The caller holds mu.
func (d *Disk) change(c Call) error {
	n := len(d.calls)
	if d.lost || n == d.powerAt {
		d.lost = true
		return ErrPower
	}
	d.calls = append(d.calls, c)
	if d.fault != nil {
		return d.fault(n, c)
	}
	return nil
}

// inDir carries out a change of the folder.
func (d *Disk) inDir(c Call, set map[string]*inode) error {
	if err := d.change(c); err != nil {
		return err
	}
	for name, f := range set {
		if d.files[name] = f; f == nil {
			delete(d.files, name)
		}
	}
	d.changes = append(d.changes, dirChange{c, set})
	return nil
}

// Create is fsys.FS's.
func (d *Disk) Create(name string) (fsys.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] != nil {
		return nil, fmt.Errorf("%s: %w", name, os.ErrExist)
	}
	f := &inode{}
	if err := d.inDir(Call{"create", name, 1}, map[string]*inode{name: f}); err != nil {
		return nil, err
	}
	return &handle{d, name, f}, nil
}

// Open is fsys.FS's.
func (d *Disk) Open(name string, _ bool) (fsys.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		return nil, ErrPower
	}
	f := d.files[name]
	if f == nil {
		return nil, fmt.Errorf("%s: %w", name, os.ErrNotExist)
	}
	return &handle{d, name, f}, nil
}

// Remove is fsys.FS's.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return fmt.Errorf("%s: %w", name, os.ErrNotExist)
	}
	return d.inDir(Call{"remove", name, 1}, map[string]*inode{name: nil})
}

// Rename is fsys.FS's.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[from]
	if f == nil {
		return fmt.Errorf("%s: %w", from, os.ErrNotExist)
	}
	return d.inDir(Call{"rename", to, 1}, map[string]*inode{from: nil, to: f})
}

// List is fsys.FS's.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		return nil, ErrPower
	}
	return slices.Collect(maps.Keys(d.files)), nil
}

// SyncDir is fsys.FS's.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.change(Call{"syncdir", "", 1}); err != nil {
		return err
	}
	d.durable, d.changes = maps.Clone(d.files), nil
	return nil
}

// Lock is fsys.FS's.
func (d *Disk) Lock(name, owner string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost {
		return nil, ErrPower
	}
	if who, ok := d.locks[name]; ok {
		return nil, &fsys.LockedError{Name: name, Owner: who}
	}
	d.locks[name] = owner
	return unlock(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.locks, name)
	}), nil
}

type unlock func()

func (u unlock) Close() error { u(); return nil }

// handle is an open file.
type handle struct {
	d    *Disk
	name string
	f    *inode
}

func (h *handle) ReadAt(b []byte, off int64) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.lost {
		return 0, ErrPower
	}
	if off >= int64(len(h.f.content)) {
		return 0, io.EOF
	}
	n := copy(b, h.f.content[off:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *handle) WriteAt(b []byte, off int64) (int, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	c := Call{"write", h.name, len(b)}
	err := h.d.change(c)
	if errors.Is(err, ErrPower) { // what was under way may be there in part
		h.f.changes = append(h.f.changes, fileChange{c, off, slices.Clone(b), -1})
		return 0, err
	}
	if grown := off + int64(len(b)) - int64(len(h.f.content)); err == nil && h.d.limit > 0 && h.d.used()+max(0, grown) > h.d.limit {
		err = fmt.Errorf("%s: %w", h.name, syscall.ENOSPC)
	}
	if err != nil {
		b = b[:len(b)/2]
	}
	h.f.content = resize(h.f.content, max(int64(len(h.f.content)), off+int64(len(b))))
	copy(h.f.content[off:], b)
	h.f.changes = append(h.f.changes, fileChange{Call{c.Op, c.Name, len(b)}, off, slices.Clone(b), -1})
	return len(b), err
}

func (h *handle) Truncate(size int64) error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	c := Call{"truncate", h.name, 1}
	if err := h.d.change(c); err != nil {
		return err
	}
	h.f.content = resize(h.f.content, size)
	h.f.changes = append(h.f.changes, fileChange{c, 0, nil, size})
	return nil
}

// Sync makes the content last. A failed one lasts in part, and what it left out is never written again: that is what kernels
// do, which mark the pages clean.
func (h *handle) Sync() error {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if err := h.d.change(Call{"sync", h.name, 1}); err != nil {
		if !errors.Is(err, ErrPower) {
			h.f.synced, h.f.changes = h.f.left(KeepHalf), nil
		}
		return err
	}
	h.f.synced, h.f.changes = slices.Clone(h.f.content), nil
	return nil
}

func (h *handle) Size() (int64, error) {
	h.d.mu.Lock()
	defer h.d.mu.Unlock()
	if h.d.lost {
		return 0, ErrPower
	}
	return int64(len(h.f.content)), nil
}

func (h *handle) Close() error { return nil }
