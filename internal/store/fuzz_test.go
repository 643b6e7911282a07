package store

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/internal/standin/disk"
)

// Whatever a segment holds, opening it ends with a store or an error, and what can be read was checked.
func FuzzOpen(f *testing.F) {
	d := disk.New()
	s, err := Open(d, small)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 3 {
		if _, err := s.Put(fmt.Sprint("k", i), []byte("v")); err != nil {
			f.Fatal(err)
		}
	}
	s.Close()
	whole := d.Content(fmt.Sprintf(segmentName, 1))
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(append(bytes.Clone(whole[:headSize]), op{kind: opPut, key: []byte("k")}.append(nil)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, o := range []Options{small, {ReadOnly: true, Salvage: true}} {
			d := disk.New()
			d.Put(fmt.Sprintf(segmentName, 1), b)
			s, err := Open(d, o)
			if err != nil {
				continue
			}
			sn, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			for _, err := range sn.Scan("", "") {
				if err != nil && !o.Salvage {
					t.Fatal(err)
				}
			}
			sn.Release()
			s.Close()
		}
	})
}

// Whatever a dump holds, restoring it ends, and what it gives can be dumped again.
func FuzzRestore(f *testing.F) {
	f.Add(`{"cottonyoke_store_dump":1,"version":2}` + "\n" + `{"key":"a","value":"1","version":1}` + "\n" + `{"end":true,"keys":1,"crc32c":0}` + "\n")
	f.Add(`{"cottonyoke_store_dump":1}` + "\n" + `{"key64":"/w==","value64":"AA==","expires":"2030-01-01T00:00:00Z"}` + "\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Open(disk.New(), small)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if _, err := Restore(s, strings.NewReader(text)); err != nil {
			return
		}
		sn, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		defer sn.Release()
		if err := sn.Dump(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}
