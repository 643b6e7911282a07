package store

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
	"unicode/utf8"

	"mossproxy.example/mossproxy/internal/store/fsys"
)

// line is one line of a dump: the head, a key, or the end. Keys and values that are no text stand in base64.
type line struct {
	Dump    int    `json:"cottonyoke_store_dump,omitempty"` // of the head: the format of the dump
	Key     string `json:"key,omitempty"`
	Key64   []byte `json:"key64,omitempty"`
	Value   string `json:"value,omitempty"`
	Value64 []byte `json:"value64,omitempty"`
	Version uint64 `json:"version,omitempty"` // of the put; of the head the store's
	Expires string `json:"expires,omitempty"`
	End     bool   `json:"end,omitempty"`
	Keys    uint64 `json:"keys,omitempty"` // of the end: how many there are
	Sum     uint32 `json:"crc32c,omitempty"`
}

const dumpFormat = 1

// Dump writes a snapshot as lines of JSON. The last line tells how many keys there are, so that a dump cut short is noticed.
func (sn *Snapshot) Dump(w io.Writer) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(line{Dump: dumpFormat, Version: sn.Version}); err != nil {
		return fmt.Errorf("store: dump: %w", err)
	}
	end := line{End: true}
	for item, err := range sn.Scan("", "") {
		if err != nil {
			return fmt.Errorf("store: dump: %w", err)
		}
		if err := enc.Encode(itemLine(item)); err != nil {
			return fmt.Errorf("store: dump: %w", err)
		}
		end.Keys, end.Sum = end.Keys+1, itemSum(end.Sum, item)
	}
	if err := enc.Encode(end); err != nil {
		return fmt.Errorf("store: dump: %w", err)
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("store: dump: %w", err)
	}
	return nil
}

// itemSum goes on with the checksum of a dump's keys and values.
func itemSum(sum uint32, item Item) uint32 {
	return sum ^ checksum([]byte(item.Key), []byte{0}, item.Value)
}

func itemLine(item Item) line {
	l := line{Version: item.Version}
	if utf8.ValidString(item.Key) {
		l.Key = item.Key
	} else {
		l.Key64 = []byte(item.Key)
	}
	if utf8.Valid(item.Value) {
		l.Value = string(item.Value)
	} else {
		l.Value64 = item.Value
	}
	if !item.Expires.IsZero() {
		l.Expires = item.Expires.UTC().Format(time.RFC3339Nano)
	}
	return l
}

func (l *line) item() (Item, error) {
	item := Item{Key: l.Key, Value: []byte(l.Value), Version: l.Version}
	if l.Key64 != nil {
		item.Key = string(l.Key64)
	}
	if l.Value64 != nil {
		item.Value = l.Value64
	}
	if l.Expires == "" {
		return item, nil
	}
	var err error
	item.Expires, err = time.Parse(time.RFC3339Nano, l.Expires)
	return item, err
}

const (
	maxLine      = 4 * (MaxValue + MaxKey) // bytes of a dump's line: a value may be all escapes or base64
	restoreBytes = 1 << 20                 // of a restored batch, with one value more at most
)

// Restore fills an empty store from a dump. Versions are given anew. Where the dump is not whole, or an error comes in between,
// keys may have been put all the same: throw such a store away.
func Restore(s *Store, r io.Reader) (keys uint64, err error) {
	if s.Version() != 0 {
		return 0, fmt.Errorf("store: restore: the store is not empty: it is at version %d", s.Version())
	}
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	var batch Batch
	var sum uint32
	n := 0
	for in.Scan() {
		n++
		var l line
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			return keys, fmt.Errorf("store: restore: line %d: %w", n, err)
		}
		switch {
		case n == 1 && l.Dump != dumpFormat:
			return keys, fmt.Errorf("store: restore: line 1: this is no dump of format %d", dumpFormat)
		case n == 1:
			continue
		case l.End && (l.Keys != keys || l.Sum != sum):
			return keys, fmt.Errorf("store: restore: line %d: the dump had %d keys, here are %d, or they have been changed", n, l.Keys, keys)
		case l.End:
			_, err := s.Apply(&batch)
			return keys, err
		}
		item, err := l.item()
		if err != nil {
			return keys, fmt.Errorf("store: restore: line %d: %w", n, err)
		}
		if item.Expires.IsZero() {
			batch.Put(item.Key, item.Value)
		} else {
			batch.PutUntil(item.Key, item.Value, item.Expires)
		}
		keys, sum = keys+1, itemSum(sum, item)
		if batch.err != nil {
			return keys, fmt.Errorf("store: restore: line %d: %w", n, batch.err)
		}
		if batch.bytes > restoreBytes {
			if _, err := s.Apply(&batch); err != nil {
				return keys, fmt.Errorf("store: restore: line %d: %w", n, err)
			}
			batch = Batch{}
		}
	}
	if err := in.Err(); err != nil {
		return keys, fmt.Errorf("store: restore: line %d: %w", n+1, err)
	}
	return keys, fmt.Errorf("store: restore: the dump ends after line %d without its last line: it was cut short", n)
}

// Backup writes a snapshot to a file of a folder, as a dump: whole and synced, or not at all.
func (sn *Snapshot) Backup(fs fsys.FS, name string) error {
	part := name + ".part"
	if err := fs.Remove(part); err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("store: backup: %w", err)
	}
	f, err := fs.Create(part)
	if err != nil {
		return fmt.Errorf("store: backup: %w", err)
	}
	defer f.Close()
	if err := sn.Dump(&appender{f: f}); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("store: backup: %s: sync: %w", part, err)
	}
	if err := fs.Rename(part, name); err != nil {
		return fmt.Errorf("store: backup: %w", err)
	}
	if err := fs.SyncDir(); err != nil {
		return fmt.Errorf("store: backup: %w", err)
	}
	return nil
}

// appender writes to the end of a file.
type appender struct {
	f  fsys.File
	at int64
}

func (a *appender) Write(b []byte) (int, error) {
	n, err := a.f.WriteAt(b, a.at)
	a.at += int64(n)
	return n, err
}
