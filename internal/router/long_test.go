package router

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/proto/meta"
)

// longValue is a value of n bytes that no other id has.
func longValue(id string, n int) string {
	return strings.Repeat(id+"-", n/(len(id)+1)+1)[:n]
}

// idOf is the id in a command's line.
func idOf(line string) string {
	_, rest, _ := strings.Cut(line, " O")
	id, _, _ := strings.Cut(rest, " ")
	return id
}

// longAnswer is a cache server's answer with a value of n bytes.
func longAnswer(n int) func(line string) string {
	return func(line string) string {
		return fmt.Sprintf("VA %d O{id} h1\r\n%s\r\n", n, longValue(idOf(line), n))
	}
}

// takeLong reads an answer with a value of n bytes, and says what is wrong with it.
func (c *client) takeLong(id string, n int) error {
	head, err := c.r.ReadString('\n')
	if err != nil || head != fmt.Sprintf("VA %d O%s\r\n", n, id) {
		return fmt.Errorf("head %.80q: %w", head, err)
	}
	got := make([]byte, n+2)
	if read, err := io.ReadFull(c.r, got); err != nil {
		return fmt.Errorf("%d of %d bytes: %w", read, n, err)
	}
	if !bytes.Equal(got[:n], []byte(longValue(id, n))) || string(got[n:]) != "\r\n" {
		return fmt.Errorf("the value is another")
	}
	return nil
}

// Long values come whole, in the order of commands, from a cache server and from the origin, and the connections to servers go on.
func TestLongValuesPass(t *testing.T) {
	const n = 1 << 20
	s := startFake(t, func(line string) string {
		if strings.Contains(line, " Om") {
			return miss(line)
		}
		if strings.Contains(line, " Os") {
			return hit(line)
		}
		return longAnswer(n)(line)
	})
	o := startFake(t, func(line string) string {
		return httpAnswer("200 OK", longValue("m1", n))
	})
	r, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	c := dial(t, r.addr)
	c.send(read("a1", 5000) + "\r\n" + read("s1", 5000) + "\r\n" + read("a2", 5000) + "\r\n")
	if err := c.takeLong("a1", n); err != nil {
		t.Error(err)
	}
	if got := c.line(); got != "VA 5 Os1 hello" {
		t.Errorf("behind a long value: %q", got)
	}
	if err := c.takeLong("a2", n); err != nil {
		t.Error(err)
	}
	before := s.Conns.Load()
	c.send(read("a3", 5000) + "\r\n")
	if err := c.takeLong("a3", n); err != nil {
		t.Error(err)
	}
	if got := s.Conns.Load(); got != before {
		t.Errorf("%d connections after a long value, %d before", got, before)
	}
	c.send(strings.Replace(read("m1", 5000), "7f3a9c21e0b4d655", "0000000000000001", 1) + "\r\n")
	if err := c.takeLong("m1", n); err != nil {
		t.Errorf("of the origin: %v", err)
	}
	until(t, "the figures", func() bool { c := control.Counts(); return c.Classes[2].Served == 5 && c.Open == 0 })
}

// 24 values of 4 MiB at once at a limit of 32 MB, for readers that hardly read: short requests go on beside them, and the memory for it is
// a piece for each.
func TestManyLongValuesForSlowReaders(t *testing.T) {
	const n, readers = meta.MaxLongValue, 24 // three times the memory; more do not all begin within the 2 s after which the first is given up
	s := startFake(t, func(line string) string {
		if strings.Contains(line, " Os") {
			return hit(line)
		}
		return longAnswer(n)(line)
	})
	d := startDirectory(t, full(box("s-0000000b", s.Addr), originAt(startFake(t, originOK).Addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), config.Config{}.Known)
	cfg.Limits.MemoryMB, cfg.Limits.Sockets = 32, 512
	control := NewControl(1)
	r := startSetup(t, Setup{Config: cfg, Control: control})
	until(t, "the router to be ready", control.Ready)
	for i := range readers {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.(*net.TCPConn).SetReadBuffer(4096)
		fmt.Fprintf(c, "%s\r\n", strings.Replace(read(fmt.Sprint("l", i), 2000), "7f3a9c21e0b4d655", fmt.Sprintf("%016x", i), 1))
		if _, err := io.ReadFull(c, make([]byte, 1024)); err != nil {
			t.Fatalf("reader %d: %v", i, err)
		}
	}
	if got := control.Counts().Open; got < readers {
		until(t, "all to be on their way", func() bool { return control.Counts().Open >= readers })
	}
	for i := range 20 {
		if got := dial(t, r.addr).ask(read(fmt.Sprint("s", i), 2000)); got != fmt.Sprintf("VA 5 Os%d hello", i) {
			t.Fatalf("a short request beside them: %q", got)
		}
	}
}

// A server that stops in the middle, one that says too much of its length, and an end that is none: the client can tell that the value is not
// whole, nothing is sent again, and the request has failed.
func TestLongValueThatIsNotWhole(t *testing.T) {
	const n = 200 << 10
	for name, answer := range map[string]string{
		"cut":      fmt.Sprintf("VA %d O{id} h1\r\n%s{cut}", n, strings.Repeat("x", n/2)),
		"no end":   fmt.Sprintf("VA %d O{id} h1\r\n%s??more", n, strings.Repeat("x", n)),
		"too long": fmt.Sprintf("VA %d O{id} h1\r\n%s\r\n{cut}", n+10, strings.Repeat("x", n)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, o := startFake(t, func(string) string { return answer }), startFake(t, originOK)
			r, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
			c := dial(t, r.addr)
			c.send(read("a1", 2000) + "\r\n")
			got, err := io.ReadAll(c.r)
			if err != nil && !strings.Contains(err.Error(), "reset") {
				t.Errorf("the connection stays open: %v", err)
			}
			if head := fmt.Sprintf("VA %d Oa1\r\n", n); name != "too long" && (!strings.HasPrefix(string(got), head) || len(got) >= len(head)+n+2) {
				t.Errorf("%d bytes, beginning with %.40q", len(got), got)
			}
			until(t, "the figures", func() bool { k := control.Counts().Classes[2]; return k.Failed == 1 && k.Served == 0 })
			next(t, s.Seen, "attempt")
			if len(s.Seen)+len(o.Seen) > 0 {
				t.Error("sent again after its first bytes were out")
			}
		})
	}
}

// A server that ends before the first byte of a long value is tried again elsewhere.
func TestLongValueIsTriedAgainBeforeItsFirstByte(t *testing.T) {
	s := startFake(t, func(string) string { return "VA 200000 O{id} h1\r\n{cut}" })
	r, _ := operated(t, box("s-0000000b", s.Addr), originAt(startFake(t, originOK).Addr))
	if got := dial(t, r.addr).ask(read("a1", 2000)); !strings.HasPrefix(got, "SERVER_ERROR busy") {
		t.Errorf("got %q", got)
	}
}

// A client that leaves in the middle of a long value: the server's connection ends, and the value is not read to its end for nobody.
func TestClientLeavesInTheMiddleOfALongValue(t *testing.T) {
	s := startFake(t, longAnswer(meta.MaxLongValue))
	r, control := operated(t, box("s-0000000b", s.Addr), originAt(startFake(t, originOK).Addr))
	c := dial(t, r.addr)
	c.send(read("a1", 5000) + "\r\n" + read("a2", 5000) + "\r\n") // the second waits behind the first
	if _, err := io.ReadFull(c.r, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		next(t, s.Seen, "attempt")
	}
	c.Close()
	until(t, "nothing to be on its way", func() bool { return control.Counts().Open == 0 })
	next(t, r.idleAgain(t), "an answer to another client")
}

// idleAgain asks once more, as another client.
func (r *running) idleAgain(t *testing.T) <-chan struct{} {
	t.Helper()
	c := dial(t, r.addr)
	c.send(read("b1", 5000) + "\r\n")
	if err := c.takeLong("b1", meta.MaxLongValue); err != nil {
		t.Error(err)
	}
	done := make(chan struct{})
	close(done)
	return done
}

// A body of the origin without a length ends with its connection; where that breaks, it is no answer.
func TestOriginBodyWithoutALength(t *testing.T) {
	s := startFake(t, miss)
	o := startFake(t, func(string) string { return "HTTP/1.1 200\r\nConnection: close\r\n\r\nto the end" })
	r, _ := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	if got := dial(t, r.addr).ask(read("a1", 2000)); got != "VA 10 Oa1 to the end" {
		t.Errorf("got %q", got)
	}
	ln := listenLocal(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			io.ReadAtLeast(c, make([]byte, 1000), 50) //nolint:errcheck // it is answered all the same
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nnot to the e")
			c.(*net.TCPConn).SetLinger(0) // a reset
			time.Sleep(20 * time.Millisecond)
			c.Close()
		}
	}()
	r, _ = operated(t, box("s-0000000b", s.Addr), originAt(ln.Addr().String()))
	if got := dial(t, r.addr).ask(read("a1", 1000)); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("broken off: %q", got)
	}
}

// A long write that comes in pieces over three seconds is carried out whole, once; those that are more at once than may be held are refused,
// and short ones go on.
func TestLongWrites(t *testing.T) {
	const n = 3 << 19
	o := startFake(t, originOK)
	d := startDirectory(t, full(box("s-0000000b", startFake(t, hit).Addr), originAt(o.Addr)))
	cfg := testConfig(t, d.Listener.Addr().String(), config.Config{}.Known)
	cfg.Limits.MemoryMB = 32 // a sixteenth may be held
	control := NewControl(1)
	r := startSetup(t, Setup{Config: cfg, Control: control})
	until(t, "the router to be ready", control.Ready)
	slow, value := dial(t, r.addr), longValue("w1", n)
	slow.send(fmt.Sprintf("ms 7f3a9c21e0b4d655 %d Ow1 Pc=bill,t=t,d=2000\r\n", n))
	const pieces = 30
	for k := range pieces {
		slow.send(value[k*n/pieces : (k+1)*n/pieces])
		if k == pieces/2 {
			other := dial(t, r.addr)
			other.send(fmt.Sprintf("ms 7f3a9c21e0b4d655 %d Ow2 Pc=bill,t=t,d=2000\r\n%s\r\n", n, longValue("w2", n)))
			if got := other.line(); !strings.HasPrefix(got, "SERVER_ERROR busy") {
				t.Errorf("a second long write at once: %q", got)
			}
			if got := other.ask(bill("s1", 2000)); !strings.HasPrefix(got, "HD Os1 ") {
				t.Errorf("a short write beside it: %q", got)
			}
			next(t, o.Seen, "short write")
		}
		time.Sleep(100 * time.Millisecond) // the client's pace
	}
	slow.send("\r\n")
	if got := slow.line(); !strings.HasPrefix(got, "HD Ow1 ") {
		t.Errorf("got %q", got)
	}
	if got := next(t, o.Seen, "write"); !strings.HasSuffix(got, " "+value) || len(o.Seen) > 0 {
		t.Errorf("the origin got %d bytes, and %d further writes", len(got), len(o.Seen))
	}
	until(t, "the figures", func() bool { k := control.Counts().Classes[0]; return k.Served == 2 && k.Refused == 1 })
}
