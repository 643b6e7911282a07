package sock

import (
	"io"
	"net"
	"testing"
	"time"
)

// pair returns the two ends of a TCP connection. The reader's receive buffer is small.
func pair(t *testing.T) (writer, reader *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { out.Close(); in.Close() })
	writer, reader = in.(*net.TCPConn), out.(*net.TCPConn)
	reader.SetReadBuffer(8 << 10) //nolint:errcheck // the test fails without
	return writer, reader
}

// awaitAcknowledged waits until a peer has acknowledged all that was written.
func awaitAcknowledged(t *testing.T, c net.Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); Unacknowledged(c) > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are not acknowledged", Unacknowledged(c))
		}
	}
}

// Guards against output that is taken for delivered while it lies in the system's buffers.
func TestOutputTellsWhatThePeerHas(t *testing.T) {
	const size = 256 << 10
	writer, reader := pair(t)
	written := make(chan error, 1)
	go func() { _, err := writer.Write(make([]byte, size)); written <- err }()
	for end := time.Now().Add(10 * time.Second); Unacknowledged(writer) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a peer that reads nothing has all")
		}
	}
	state, err := Output(writer)
	if err != nil || state.Unacknowledged <= 0 || state.Unsent <= 0 || state.Acknowledged >= size {
		t.Errorf("while nothing is read: %+v, %v", state, err)
	}
	if _, err := io.CopyN(io.Discard, reader, size); err != nil {
		t.Fatal(err)
	}
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	awaitAcknowledged(t, writer)
	if state, err = Output(writer); err != nil || state.Unacknowledged != 0 || state.Unsent != 0 || state.Acknowledged < size {
		t.Errorf("when all is read: %+v, %v", state, err)
	}
}

// Guards against a wait for a peer that has reset its connection and will acknowledge nothing.
func TestNothingIsOutstandingOnAResetConnection(t *testing.T) {
	writer, reader := pair(t)
	go writer.Write(make([]byte, 256<<10)) //nolint:errcheck // it fails as the connection is reset
	for end := time.Now().Add(10 * time.Second); Unacknowledged(writer) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a peer that reads nothing has all")
		}
	}
	reader.SetLinger(0) //nolint:errcheck // the test fails without
	reader.Close()
	awaitAcknowledged(t, writer)
}
