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

// Guards against losing datagrams that are queued at a socket during a handover, and against losing the last
// update of the old process: it arrives before the end of that process is reported. Later updates may replace
// earlier ones.
func TestDatagramsAndUpdatesAreHandedOver(t *testing.T) {
	path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	next, finished := make(chan string), make(chan struct{})
	k.yield = func(context.Context) (Grant, error) {
		return Grant{Share: 0.5, StreamUpdates: func(ctx context.Context, send func([]byte) error) {
			defer close(finished)
			for {
				select {
				case update := <-next:
					if err := send([]byte(update)); err != nil {
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
		t.Fatalf("%d listeners, %d datagram sockets", len(taken.Listeners), len(taken.PacketConns))
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
	taken.PacketConns[0].SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // the read reports it
	if n, _, err := taken.PacketConns[0].ReadFrom(b[:]); err != nil || !bytes.Equal(b[:n], []byte("early")) {
		t.Errorf("%q, %v", b[:n], err)
	}
	next <- "one"
	if update := <-taken.Updates(); string(update) != "one" {
		t.Errorf("the first update is %q", update)
	}
	for _, update := range []string{"two", "three", "last"} {
		next <- update
	}
	if err := taken.ConfirmServing(); err != nil {
		t.Fatal(err)
	}
	standintest.Until(t, "a call of Followed", func() bool { return len(k.followed) > 0 })
	stop()
	var received []string
	for update := range taken.Updates() {
		received = append(received, string(update))
	}
	if text := strings.Join(received, " "); !strings.HasSuffix(text, "last") || len(received) > 3 {
		t.Errorf("received %q", text)
	}
	<-taken.Gone()
	<-finished
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A takeover fails if the old process has other sockets than the new one expects.
func TestOtherSocketsAreRefused(t *testing.T) {
	path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
	servePredecessor(t, path, "a", ln, k)
	if taken, err := TakeOverAll(path, "a", 1, 1, time.Second); err == nil || !strings.Contains(err.Error(), "1 listeners and 0 datagram sockets, want 1 and 1") {
		t.Errorf("%v, %v", taken, err)
	}
}
