package front

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"
)

// slowPair returns two ends of a connection whose system buffers are small.
func slowPair(t *testing.T) (writer, reader *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	writer, reader = accepted.(*net.TCPConn), c.(*net.TCPConn)
	t.Cleanup(func() { writer.Close(); reader.Close() })
	writer.SetWriteBuffer(64 << 10) //nolint:errcheck // the test takes longer without
	reader.SetReadBuffer(64 << 10)  //nolint:errcheck // as above
	return writer, reader
}

// Guards against answers that are cut off as the client takes longer for all of them than the time for its next
// bytes.
func TestClientThatReadsSlowlyGetsItsWholeAnswer(t *testing.T) {
	const span = 500 * time.Millisecond
	writer, reader := slowPair(t)
	answer := bytes.Repeat([]byte("x"), 2<<20)
	written := make(chan error, 1)
	began := time.Now()
	go func() {
		err := writeWithProgress(writer, &net.Buffers{answer}, span)
		writer.Close()
		written <- err
	}()
	for got := 0; got < len(answer); time.Sleep(span / 10) {
		n, err := io.CopyN(io.Discard, reader, int64(min(64<<10, len(answer)-got)))
		if got += int(n); err != nil {
			t.Fatalf("after %d bytes and %v: %v", got, time.Since(began), err)
		}
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took < 2*span {
		t.Errorf("the client took %v, which tests nothing", took)
	}
}

// Guards against a client that stops reading and holds its answers for ever.
func TestClientThatReadsNothingIsGivenUp(t *testing.T) {
	writer, _ := slowPair(t)
	answer := bytes.Repeat([]byte("x"), 8<<20)
	written := make(chan error, 1)
	go func() { written <- writeWithProgress(writer, &net.Buffers{answer}, 100*time.Millisecond) }()
	select {
	case err := <-written:
		if err == nil {
			t.Error("all was written")
		}
	case <-time.After(5 * time.Second):
		t.Error("the write goes on")
	}
}
