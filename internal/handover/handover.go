package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Hello is who asks.
type Hello struct {
	Listen string `json:"listen"` // the clients' address: a router of another one is not taken over from
	PID    int    `json:"pid"`
}

// Grant is what the old process leaves to the new one while both live.
type Grant struct {
	Share        float64         `json:"part"`    // of the limits on memory and descriptors, within 0.05 to 0.5
	LearnedState json.RawMessage `json:"learned"` // for the module and the lists; whoever reads it checks it
	// Updates says what there is to tell, each time it changes, until ctx ends; nil = nothing. Whoever takes over may hear the latest alone.
	StreamUpdates func(ctx context.Context, say func([]byte) error) `json:"-"`
}

// Times of an exchange. A new process that finds nobody there, or somebody who does not answer, starts by itself.
const (
	ExchangeTimeout = 800 * time.Millisecond // the whole exchange of the new process
	yieldTimeout    = 600 * time.Millisecond // of that, for the old one to give room back
	refusalTimeout  = 50 * time.Millisecond  // for who comes while another exchange is on
)

// SocketPath is the socket at which the process of a router that listens there is found.
func SocketPath(dir, listen string) string {
	h := fnv.New64a()
	h.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("cottonyoke-%016x.sock", h.Sum64()))
}

// Predecessor is a process that may be taken over from.
type Predecessor interface {
	// Yield gives room back and says what the new process may use. It returns when ctx ends at the latest.
	Yield(ctx context.Context) (Grant, error)
	// Followed tells that the new process takes clients, and Regain that it is gone: all room is this process's again.
	Followed()
	Regain()
}

// Serve waits at a path for processes that take over, one at a time, until ctx ends, and gives each the sockets. A process that listened at the
// path before is found there no longer.
func Serve(ctx context.Context, path, listen string, sockets []syscall.Conn, old Predecessor) error {
	ln, err := bind(path)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer ln.Close()
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	var one sync.Mutex // held by the exchange that is on
	for {
		c, err := ln.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("handover: %w", err)
		}
		if !one.TryLock() {
			c.SetDeadline(time.Now().Add(refusalTimeout))
			readFrame(c, nil)                                                                //nolint:errcheck // a close ahead of it would look like a crash
			c.Write(appendFrame(nil, kindRefusal, []byte("another process is taking over"))) //nolint:errcheck // it starts by itself
			c.Close()
			continue
		}
		wg.Go(func() {
			defer one.Unlock()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			if err := handOver(ctx, c, listen, sockets, old); err != nil && ctx.Err() == nil {
				slog.Warn("handover: not taken over from", "why", err)
			}
		})
	}
}

// bind listens at a path, in place of whoever does.
func bind(path string) (*net.UnixListener, error) {
	next := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: next, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then the name may be the next process's
	if err = os.Chmod(next, 0o600); err == nil {
		err = os.Rename(next, path)
	}
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return ln, nil
}

// handOver is the old process's half of an exchange. It returns when the new process is gone, or this one ends.
func handOver(ctx context.Context, c *net.UnixConn, listen string, sockets []syscall.Conn, old Predecessor) error {
	c.SetDeadline(time.Now().Add(ExchangeTimeout))
	if err := sameUser(c); err != nil {
		return err
	}
	k, body, err := readFrame(c, nil)
	if err != nil {
		return err
	}
	var who Hello
	if err := json.Unmarshal(body, &who); err != nil || k != kindHello {
		return fmt.Errorf("%w: no greeting", errInvalidFrame)
	}
	if who.Listen != listen {
		c.Write(appendFrame(nil, kindRefusal, []byte("this is the router at "+listen))) //nolint:errcheck // it starts by itself
		return fmt.Errorf("handover: asked for by the router at %.60q", who.Listen)
	}
	defer old.Regain()
	yield, cancel := context.WithTimeout(ctx, yieldTimeout)
	g, err := old.Yield(yield)
	cancel()
	if err != nil {
		c.Write(appendFrame(nil, kindRefusal, []byte(err.Error()))) //nolint:errcheck // it starts by itself
		return err
	}
	if err := sendGrant(c, g, sockets); err != nil {
		return err
	}
	c.SetDeadline(time.Time{})
	if g.StreamUpdates != nil {
		var telling sync.WaitGroup
		defer telling.Wait()
		tell, stop := context.WithCancel(ctx)
		defer stop()
		telling.Go(func() { g.StreamUpdates(tell, func(b []byte) error { return sendUpdate(c, b) }) })
	}
	if k, _, err = readFrame(c, nil); err != nil || k != kindServing {
		return fmt.Errorf("handover: the new process ended before it took clients: %w", err)
	}
	old.Followed()
	slog.Info("handover: the new process takes clients", "pid", who.PID)
	var b [1]byte
	c.Read(b[:]) //nolint:errcheck // until it is gone, or this process ends
	return nil
}

// sendUpdate sends a word.
func sendUpdate(c *net.UnixConn, b []byte) error {
	if len(b) > maxBodyBytes {
		return fmt.Errorf("handover: a word of %d bytes, %d at most", len(b), maxBodyBytes)
	}
	c.SetWriteDeadline(time.Now().Add(ExchangeTimeout))
	if _, err := c.Write(appendFrame(nil, kindUpdate, b)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// sendGrant sends what the new process may use, and the sockets with its first bytes.
func sendGrant(c *net.UnixConn, g Grant, sockets []syscall.Conn) error {
	body, err := json.Marshal(g)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if len(body) > maxBodyBytes {
		g.LearnedState = nil
		if body, err = json.Marshal(g); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
	}
	return withFDs(sockets, nil, func(fds []int) error {
		frame := appendFrame(nil, kindGrant, body)
		n, _, err := c.WriteMsgUnix(frame, syscall.UnixRights(fds...), nil)
		if err == nil && n < len(frame) {
			_, err = c.Write(frame[n:])
		}
		if err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		return nil
	})
}

// withFDs has something done with the descriptors of sockets, which stay open meanwhile.
func withFDs(sockets []syscall.Conn, fds []int, do func(fds []int) error) error {
	if len(sockets) == 0 {
		return do(fds)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	ctl := raw.Control(func(fd uintptr) { err = withFDs(sockets[1:], append(fds, int(fd)), do) })
	return errors.Join(err, ctl)
}

// sameUser checks that the other side is of this process's user.
func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var cred *syscall.Ucred
	if ctl := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); ctl != nil {
		return fmt.Errorf("handover: %w", ctl)
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("handover: the other side is user %d, not %d", cred.Uid, os.Getuid())
	}
	return nil
}
