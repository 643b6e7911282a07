package handover

import (
	"bytes"
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// Datagrams that wait at a socket as it is handed over are read by the new process, and what the old one tells comes in order, its last word
// before its end.
func TestDatagramsAndWordsGoOver(t *testing.T) {
	path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	next, over := make(chan string), make(chan struct{})
	k.yield = func(context.Context) (Grant, error) {
		return Grant{Share: 0.5, StreamUpdates: func(ctx context.Context, say func([]byte) error) {
			defer close(over)
			for {
				select {
				case w := <-next:
					if err := say([]byte(w)); err != nil {
						t.Error(err)
					}
				case <-ctx.Done():
					return
				}
			}
		}}, nil
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, path, "a", []syscall.Conn{ln.(syscall.Conn), udp}, k) }()
	defer stop()
	var taken *Takeover
	standintest.Until(t, "the exchange", func() bool {
		taken, err = TakeOverAll(path, "a", 1, 1, time.Second)
		return err == nil
	})
	defer taken.Close()
	if len(taken.Listeners) != 1 || len(taken.PacketConns) != 1 {
		t.Fatalf("%d listeners, %d sockets of datagrams", len(taken.Listeners), len(taken.PacketConns))
	}
	defer taken.Listeners[0].Close()
	defer taken.PacketConns[0].Close()
	c, err := net.Dial("udp", udp.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("early")); err != nil {
		t.Fatal(err)
	}
	udp.Close() // as the old process ends
	var b [16]byte
	taken.PacketConns[0].SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // the read tells
	if n, _, err := taken.PacketConns[0].ReadFrom(b[:]); err != nil || !bytes.Equal(b[:n], []byte("early")) {
		t.Errorf("%q, %v", b[:n], err)
	}
	next <- "one"
	if w := <-taken.Updates(); string(w) != "one" {
		t.Errorf("the first word is %q", w)
	}
	for _, w := range []string{"two", "three", "last"} {
		next <- w
	}
	if err := taken.ConfirmServing(); err != nil {
		t.Fatal(err)
	}
	standintest.Until(t, "it is followed", func() bool { return len(k.followed) > 0 })
	stop()
	var heard []string
	for w := range taken.Updates() {
		heard = append(heard, string(w))
	}
	if text := strings.Join(heard, " "); !strings.HasSuffix(text, "last") || len(heard) > 3 {
		t.Errorf("heard %q", text)
	}
	<-taken.Gone()
	<-over
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A process that has other sockets than the next one expects is not taken over from.
func TestOtherSocketsAreRefused(t *testing.T) {
	path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
	servePredecessor(t, path, "a", ln, k)
	if taken, err := TakeOverAll(path, "a", 1, 1, time.Second); err == nil || !strings.Contains(err.Error(), "1 listeners and 0 datagram sockets, want 1 and 1") {
		t.Errorf("%v, %v", taken, err)
	}
}
