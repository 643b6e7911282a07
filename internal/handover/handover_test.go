package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// fakePredecessor is a Predecessor whose Yield the test provides, and that reports the other calls on
// channels.
type fakePredecessor struct {
	yield    func(ctx context.Context) (Grant, error)
	followed chan struct{}
	regained chan struct{}
}

func newFakePredecessor() *fakePredecessor {
	return &fakePredecessor{yield: func(context.Context) (Grant, error) { return Grant{Share: 0.5, LearnedState: []byte(`{"v":1}`)}, nil },
		followed: make(chan struct{}, 10), regained: make(chan struct{}, 10)}
}

func (k *fakePredecessor) Yield(ctx context.Context) (Grant, error) { return k.yield(ctx) }
func (k *fakePredecessor) Followed()                                { k.followed <- struct{}{} }
func (k *fakePredecessor) Regain()                                  { k.regained <- struct{}{} }

// servePredecessor runs Serve at a path until the test ends or stop is called.
func servePredecessor(t *testing.T, path, listen string, ln net.Listener, k Predecessor) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, path, listen, []syscall.Conn{ln.(syscall.Conn)}, k) }()
	standintest.Until(t, "the socket", func() bool { _, err := os.Stat(path); return err == nil })
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return stop
}

func testSocketPath(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "h") // the path of t.TempDir may be too long for a socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return SocketPath(dir, "127.0.0.1:11211")
}

// takeOverNext takes over as soon as the previous exchange has ended.
func takeOverNext(t *testing.T, path, listen string) (taken *Takeover, err error) {
	t.Helper()
	standintest.Until(t, "the end of the exchange before", func() bool {
		taken, err = TakeOver(path, listen, 1, time.Second)
		return err == nil || !strings.Contains(err.Error(), "another process is taking over")
	})
	return taken, err
}

// Guards against resets of connections in the listen queue when the old process closes its listener: the new
// process serves them.
func TestListenQueueSurvivesTheOldProcess(t *testing.T) {
	path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
	servePredecessor(t, path, "a", ln, k)
	var waiting []net.Conn
	for range 5 { // not accepted by the old process
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		waiting = append(waiting, c)
	}
	taken, err := TakeOver(path, "a", 1, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if taken.Share != 0.5 || string(taken.LearnedState) != `{"v":1}` {
		t.Errorf("granted %v, learned %s", taken.Share, taken.LearnedState)
	}
	if err := taken.ConfirmServing(); err != nil {
		t.Fatal(err)
	}
	standintest.Next(t, k.followed, "call of Followed")
	ln.Close()
	for i, c := range waiting {
		got, err := taken.Listeners[0].Accept()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(got, "hello")
		got.Close()
		c.SetDeadline(time.Now().Add(standintest.Wait))
		if b, err := io.ReadAll(c); err != nil || string(b) != "hello\n" {
			t.Errorf("connection %d: %q, %v", i, b, err)
		}
	}
	if c, err := net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Errorf("connecting after the takeover: %v", err)
	} else {
		c.Close()
	}
	taken.Listeners[0].Close()
}

// The new process dies before or after it serves clients. In both cases the old one reclaims its resources
// and can be taken over from again.
func TestNewProcessDies(t *testing.T) {
	for _, afterServing := range []bool{false, true} {
		t.Run(fmt.Sprint("after serving clients: ", afterServing), func(t *testing.T) {
			path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
			servePredecessor(t, path, "a", ln, k)
			for range 2 {
				taken, err := takeOverNext(t, path, "a")
				if err != nil {
					t.Fatal(err)
				}
				if afterServing {
					if err := taken.ConfirmServing(); err != nil {
						t.Fatal(err)
					}
					standintest.Next(t, k.followed, "call of Followed")
				}
				taken.Listeners[0].Close()
				taken.Close()
				standintest.Next(t, k.regained, "call of Regain")
			}
		})
	}
}

// The old process dies after the grant: the new one is notified.
func TestOldProcessDies(t *testing.T) {
	path, ln := testSocketPath(t), standintest.Listen(t)
	stop := servePredecessor(t, path, "a", ln, newFakePredecessor())
	taken, err := TakeOver(path, "a", 1, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Listeners[0].Close()
	stop()
	standintest.Next(t, taken.Gone(), "end of the old process")
}

// A second process listens at the path of the first one. The first one continues until it ends, and must not
// remove the second one's socket then.
func TestTwoReplacementsOneAfterTheOther(t *testing.T) {
	path, ln, second := testSocketPath(t), standintest.Listen(t), newFakePredecessor()
	stop := servePredecessor(t, path, "a", ln, newFakePredecessor())
	one, err := TakeOver(path, "a", 1, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, path, "a", []syscall.Conn{one.Listeners[0].(syscall.Conn)}, second) }()
	var two *Takeover
	standintest.Until(t, "the second process to be found", func() bool {
		two, err = TakeOver(path, "a", 1, time.Second)
		return err == nil
	})
	if err := two.ConfirmServing(); err != nil {
		t.Fatal(err)
	}
	standintest.Next(t, second.followed, "call of Followed")
	stop() // the first process ends after the second has been taken over from
	if _, err := os.Stat(path); err != nil {
		t.Errorf("the first process removed the socket: %v", err)
	}
	two.Listeners[0].Close()
	two.Close()
	one.Listeners[0].Close()
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestOneAtATime(t *testing.T) {
	path, ln := testSocketPath(t), standintest.Listen(t)
	servePredecessor(t, path, "a", ln, newFakePredecessor())
	one, err := TakeOver(path, "a", 1, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer one.Close()
	defer one.Listeners[0].Close()
	if _, err := TakeOver(path, "a", 1, time.Second); err == nil || !strings.Contains(err.Error(), "another process is taking over") {
		t.Errorf("a second concurrent takeover: %v", err)
	}
}

// Guards against a process at the socket that answers with invalid frames or not at all: the takeover fails
// with an error within a second.
func TestInvalidPredecessorIsRejected(t *testing.T) {
	ok := `{"part":0.5}`
	for name, c := range map[string]struct {
		does func(c *net.UnixConn)
		want string
	}{
		"half dead":     {func(c *net.UnixConn) { io.Copy(io.Discard, c) }, "timeout"}, //nolint:errcheck // until the new process closes it
		"closes":        {func(*net.UnixConn) {}, "EOF"},
		"noise":         {func(c *net.UnixConn) { io.WriteString(c, strings.Repeat("noise ", 100)) }, "wrong magic"}, //nolint:errcheck // TakeOver reports it
		"other version": {func(c *net.UnixConn) { c.Write([]byte("CYHO\x00\x02\x00\x02\x00\x00\x00\x00\x00\x00\x00\x00")) }, "version 2"},
		"endless":       {func(c *net.UnixConn) { c.Write([]byte("CYHO\x00\x01\x00\x02\xff\xff\xff\xff\x00\x00\x00\x00")) }, "4294967295 bytes"},
		"cut":           {func(c *net.UnixConn) { c.Write(appendFrame(nil, kindGrant, []byte(ok))[:20]) }, "EOF"},
		"damaged": {func(c *net.UnixConn) {
			c.Write(append(appendFrame(nil, kindGrant, []byte(ok))[:headerBytes], `{"part":0.4}`...))
		}, "checksum mismatch"},
		"no sockets": {func(c *net.UnixConn) { c.Write(appendFrame(nil, kindGrant, []byte(ok))) }, "0 listeners and 0 datagram sockets, want 1 and 0"},
		"no JSON":    {func(c *net.UnixConn) { c.Write(appendFrame(nil, kindGrant, []byte("{"))) }, "invalid message"},
		"share of 1": {func(c *net.UnixConn) { c.Write(appendFrame(nil, kindGrant, []byte(`{"part":1}`))) }, "share 1 is not within"},
		"refuses":    {func(c *net.UnixConn) { c.Write(appendFrame(nil, kindRefusal, []byte("no"))) }, `refused: "no"`},
		"no listener": {func(c *net.UnixConn) {
			c.WriteMsgUnix(appendFrame(nil, kindGrant, []byte(ok)), syscall.UnixRights(0), nil)
		}, "neither a listener"},
		"other listener": {func(c *net.UnixConn) { c.Write(appendFrame(nil, kindServing, nil)) }, "unexpected kind 3"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path, behavior := testSocketPath(t), c.does
			ln, err := bind(path)
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				c, err := ln.AcceptUnix()
				if err != nil {
					return
				}
				defer c.Close()
				k, _, err := readFrame(c, nil)
				if k != kindHello || err != nil {
					t.Errorf("the first frame has kind %d, %v", k, err)
				}
				behavior(c)
			}()
			began := time.Now()
			taken, err := TakeOver(path, "a", 1, ExchangeTimeout)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, %v; want %q", taken, err, c.want)
			}
			if took := time.Since(began); took > time.Second {
				t.Errorf("the takeover failed only after %v", took)
			}
			ln.Close()
			<-done
		})
	}
}

func TestNoRunningProcess(t *testing.T) {
	path := testSocketPath(t)
	if _, err := TakeOver(path, "a", 1, time.Second); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no file: %v", err)
	}
	ln, err := bind(path)
	if err != nil {
		t.Fatal(err)
	}
	ln.Close() // the path remains, as after a crash
	if _, err := TakeOver(path, "a", 1, time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a stale name: %v", err)
	}
	// The stale socket does not prevent listening.
	servePredecessor(t, path, "a", standintest.Listen(t), newFakePredecessor())
}

// Invalid requests and those of another router are refused without a call of Yield. If Yield fails, the old
// process reclaims its resources.
func TestTakeoverRequestsAreRefused(t *testing.T) {
	path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
	var asked atomic.Int32
	k.yield = func(context.Context) (Grant, error) {
		asked.Add(1)
		return Grant{}, errors.New("this process is ending")
	}
	servePredecessor(t, path, "a", ln, k)
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(c, "GET / HTTP/1.1\r\n\r\n")
	c.SetDeadline(time.Now().Add(standintest.Wait))
	if b, _ := io.ReadAll(c); len(b) > 0 {
		t.Errorf("an invalid request is answered with %q", b)
	}
	c.Close()
	if _, err := takeOverNext(t, path, "b"); err == nil || !strings.Contains(err.Error(), "the router at a") {
		t.Errorf("request of another router: %v", err)
	}
	if asked.Load() != 0 {
		t.Error("Yield was called without a valid request")
	}
	if _, err := takeOverNext(t, path, "a"); err == nil || !strings.Contains(err.Error(), "this process is ending") {
		t.Errorf("request to a process that is ending: %v", err)
	}
	standintest.Next(t, k.regained, "call of Regain")
}

func TestSocketPathDependsOnTheAddress(t *testing.T) {
	if a, b := SocketPath("/x", "127.0.0.1:1"), SocketPath("/x", "127.0.0.1:2"); a == b || filepath.Dir(a) != "/x" || len(a) > 60 {
		t.Errorf("%q and %q", a, b)
	}
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, kindGrant, []byte("{}")))
	f.Add([]byte("CYHO\x00\x01\x00\x02\xff\xff\xff\xff\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, in []byte) {
		k, body, err := readFrame(strings.NewReader(string(in)), nil)
		if err != nil {
			return
		}
		if again := appendFrame(nil, k, body); !strings.HasPrefix(string(in), string(again)) {
			t.Errorf("%q read as kind %d, %q", in, k, body)
		}
	})
}

// The new process dies while the old one prepares the grant: the old one reclaims its resources.
func TestNewProcessDiesWhileStateIsPassed(t *testing.T) {
	path, k, ln := testSocketPath(t), newFakePredecessor(), standintest.Listen(t)
	asked, release := make(chan struct{}), make(chan struct{})
	k.yield = func(context.Context) (Grant, error) {
		close(asked)
		<-release
		// More than the socket buffer holds.
		return Grant{Share: 0.5, LearnedState: []byte(`"` + strings.Repeat("x", 1<<19) + `"`)}, nil
	}
	servePredecessor(t, path, "a", ln, k)
	c, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(appendFrame(nil, kindHello, []byte(`{"listen":"a","pid":1}`))); err != nil {
		t.Fatal(err)
	}
	standintest.Next(t, asked, "call of Yield")
	c.Close()
	close(release)
	standintest.Next(t, k.regained, "call of Regain")
	if len(k.followed) > 0 {
		t.Error("Followed was called although the new process never served clients")
	}
}
