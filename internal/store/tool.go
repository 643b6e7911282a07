package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"mossproxy.example/mossproxy/internal/store/fsys"
)

// ErrFaults is CheckTo's where there are faults, which are written.
var ErrFaults = errors.New("the store is damaged")

// mustExist says that a folder has a store: opening one that has none would make it.
func mustExist(dir string) error {
	names, err := fsys.Dir(dir).List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if !hasSegments(names) {
		return fmt.Errorf("store: %s: there is no store", dir)
	}
	return nil
}

// existing is a folder that has a store, for reading.
func existing(dir string) (*Store, error) {
	if err := mustExist(dir); err != nil {
		return nil, err
	}
	return Open(fsys.Dir(dir), Options{ReadOnly: true})
}

func hasSegments(names []string) bool {
	for _, n := range names {
		if filepath.Ext(n) == ".seg" {
			return true
		}
	}
	return false
}

// CheckTo reads a whole store and writes a line for each fault, or one that says that there is none. Another program may write
// the store meanwhile.
func CheckTo(w io.Writer, dir string) error {
	if err := mustExist(dir); err != nil {
		return err
	}
	faults, err := Check(fsys.Dir(dir))
	for _, f := range faults {
		fmt.Fprintln(w, f.Error())
	}
	if err != nil {
		return err
	}
	if len(faults) > 0 {
		return ErrFaults
	}
	fmt.Fprintln(w, "no fault")
	return nil
}

// DumpTo writes a store as lines of JSON.
func DumpTo(w io.Writer, dir string) error {
	return reading(dir, func(_ *Store, sn *Snapshot) error { return sn.Dump(w) })
}

// reading opens a store for reading, and calls do with a snapshot of it.
func reading(dir string, do func(s *Store, sn *Snapshot) error) error {
	s, err := existing(dir)
	if err != nil {
		return err
	}
	defer s.Close()
	sn, err := s.Snapshot()
	if err != nil {
		return err
	}
	defer sn.Release()
	return do(s, sn)
}

// StatsTo writes a store's figures as JSON.
func StatsTo(w io.Writer, dir string) error {
	return reading(dir, func(s *Store, _ *Snapshot) error {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		st := s.Stats()
		st.ReadOnly, st.Snapshots = "", 0 // that is about this reader
		return enc.Encode(st)
	})
}

// BackupTo writes a store to a file, whole and synced or not at all, while another program may write the store.
func BackupTo(dir, file string) error {
	return reading(dir, func(_ *Store, sn *Snapshot) error {
		return sn.Backup(fsys.Dir(filepath.Dir(file)), filepath.Base(file))
	})
}

// CompactDir compacts a store that no program has open. With salvage a damaged one is opened with what can be read of it, and is
// whole afterwards; each fault is written.
func CompactDir(ctx context.Context, w io.Writer, dir string, salvage bool) error {
	if err := mustExist(dir); err != nil {
		return err
	}
	s, err := Open(fsys.Dir(dir), Options{NoCompact: true, Salvage: salvage, Report: func(f Fault) { fmt.Fprintln(w, f.Error()) }})
	if err != nil {
		return err
	}
	defer s.Close()
	before := s.Stats().Bytes
	if err := s.Compact(ctx); err != nil {
		return err
	}
	fmt.Fprintf(w, "%d bytes, %d before\n", s.Stats().Bytes, before)
	return nil
}

// RestoreFrom makes a store in a folder, which is made too, from a dump or backup; "-" is in. Where that fails no store is left.
func RestoreFrom(w io.Writer, in io.Reader, dir, file string) error {
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return fmt.Errorf("store: restore: %w", err)
		}
		defer f.Close()
		in = f
	}
	fs := fsys.Dir(dir)
	if err := fs.MkdirAll(); err != nil {
		return err
	}
	names, err := fs.List()
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if hasSegments(names) {
		return fmt.Errorf("store: restore: %s has a store already", dir)
	}
	s, err := Open(fs, Options{NoCompact: true})
	if err != nil {
		return err
	}
	keys, err := Restore(s, in)
	s.Close()
	if err != nil {
		return errors.Join(err, clearAll(fs))
	}
	fmt.Fprintf(w, "%d keys\n", keys)
	return nil
}

// clearAll removes the segments of a store that could not be restored.
func clearAll(fs fsys.Dir) error {
	names, err := fs.List()
	if err != nil {
		return err
	}
	for _, n := range names {
		if filepath.Ext(n) == ".seg" {
			err = errors.Join(err, fs.Remove(n))
		}
	}
	return errors.Join(err, fs.SyncDir())
}
