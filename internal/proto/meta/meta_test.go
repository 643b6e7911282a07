package meta

import (
	"bufio"
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestCommandIsRead(t *testing.T) {
	in := "ms 7f3a9c21e0b4d655 3 Oa1 Pc=put,t=acme,d=480.5,k=7,r=1,h=52000,size=3,zz=1\r\nabc\r\n"
	r := bufio.NewReaderSize(strings.NewReader(in), MaxLine)
	got, err := ReadCommand(r)
	if err == nil {
		got.Value, err = ReadValue(r, got.Length, false)
	}
	want := Command{Verb: "ms", Length: 3, IdempotencyKey: "7", Key: "7f3a9c21e0b4d655", ID: "a1", Facts: "c=put,t=acme,d=480.5,k=7,r=1,h=52000,size=3,zz=1",
		Value: []byte("abc"), Class: "put", Tenant: "acme", Wait: 480.5, Hint: 52, Size: 3, Retry: true} // h is in µs
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func FuzzReadCommand(f *testing.F) {
	f.Add([]byte("mg 7f3a9c21e0b4d655 v Oa1 Pc=read,t=t,d=480\r\n"))
	f.Add([]byte("ms 7f3a9c21e0b4d655 5 Oa1 Pc=bill,t=t,d=480\r\nvalue\r\n"))
	f.Add([]byte("ms k 99999999999999999999 O P\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		read := func(in []byte) (Command, error) {
			r := bufio.NewReaderSize(bytes.NewReader(in), 2*MaxLine)
			c, err := ReadCommand(r)
			if err == nil && c.Verb == "ms" {
				c.Value, err = ReadValue(r, c.Length, false)
			}
			return c, err
		}
		c, err := read(in)
		if err != nil || c.Verb != "mg" && c.Verb != "ms" {
			return
		}
		again, err := read(c.Append(nil, c.Wait))
		if err != nil || again.Key != c.Key || again.ID != c.ID || !bytes.Equal(again.Value, c.Value) {
			t.Errorf("%q read back as %+v, %v", in, again, err)
		}
	})
}

func FuzzReadAnswer(f *testing.F) {
	for _, s := range []string{"VA 5 Oa1 h1 Lqps=1,util=x\r\nhello\r\n", "EN Oa1 h0 Z\r\n", "SERVER_ERROR busy\r\n", "HD Oa1 c7\r\n", "STAT qps 1\r\nEND\r\n"} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, in []byte, write bool) {
		c := &Command{Verb: "mg", ID: "a1"}
		if write {
			c.Verb = "ms"
		}
		if a, err := ReadAnswer(bufio.NewReaderSize(bytes.NewReader(in), MaxLine), c, func() {}); err == nil && len(a.Body) > MaxValue {
			t.Errorf("%d bytes of %q", len(a.Body), in)
		}
		ReadStats(bufio.NewReaderSize(bytes.NewReader(in), MaxLine)) //nolint:errcheck // must terminate
	})
}
