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

// Hello is the takeover request of a new process.
type Hello struct {
	Listen string `json:"listen"` // client address of the router; a takeover needs the same one
	PID    int    `json:"pid"`
}

// Grant is what the old process grants to the new one while both run.
type Grant struct {
	Share        float64         `json:"part"`    // of the memory and descriptor limits, within 0.05 to 0.5
	LearnedState json.RawMessage `json:"learned"` // of balancer and server lists; the reader checks it
	// StreamUpdates calls send with the current state after each change until ctx ends. The new process may
	// receive only the latest update. nil = no updates.
	StreamUpdates func(ctx context.Context, send func([]byte) error) `json:"-"`
}

// Timeouts of an exchange. A new process that finds no running process, or gets no answer, starts without
// one.
const (
	ExchangeTimeout = 800 * time.Millisecond // the whole exchange, as the new process sees it
	yieldTimeout    = 600 * time.Millisecond // part of it, for the old process to release resources
	refusalTimeout  = 50 * time.Millisecond  // for refusing a request during another exchange
)

// SocketPath returns the path of the Unix socket of the router that serves clients at an address.
func SocketPath(dir, listen string) string {
	h := fnv.New64a()
	h.Write([]byte(listen))
	return filepath.Join(dir, fmt.Sprintf("cottonyoke-%016x.sock", h.Sum64()))
}

// Predecessor is implemented by a running process that a new one may take over from.
type Predecessor interface {
	// Yield releases resources and returns what the new process may use. It returns when ctx ends at the
	// latest.
	Yield(ctx context.Context) (Grant, error)
	// Followed is called when the new process serves clients.
	Followed()
	// Regain is called when the new process has ended: all resources belong to this process again.
	Regain()
}

// Serve listens at a socket path for takeover requests and hands the sockets over, to one process at a time,
// until ctx ends. It replaces a process that listened at the path before.
func Serve(ctx context.Context, path, listen string, sockets []syscall.Conn, old Predecessor) error {
	ln, err := bind(path)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer ln.Close()
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	var exchangeLock sync.Mutex // held during an exchange
	for {
		c, err := ln.AcceptUnix()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("handover: %w", err)
		}
		if !exchangeLock.TryLock() {
			// The request is read first: closing with unread input resets the connection, which looks like a
			// crash.
			c.SetDeadline(time.Now().Add(refusalTimeout))
			readFrame(c, nil)                                                                //nolint:errcheck // best effort
			c.Write(appendFrame(nil, kindRefusal, []byte("another process is taking over"))) //nolint:errcheck // best effort
			c.Close()
			continue
		}
		wg.Go(func() {
			defer exchangeLock.Unlock()
			defer c.Close()
			defer context.AfterFunc(ctx, func() { c.Close() })()
			if err := handOver(ctx, c, listen, sockets, old); err != nil && ctx.Err() == nil {
				slog.Warn("handover: takeover failed", "why", err)
			}
		})
	}
}

// bind listens at a path and atomically replaces a socket that is there.
func bind(path string) (*net.UnixListener, error) {
	tempPath := fmt.Sprintf("%s.%d", path, os.Getpid())
	if err := os.Remove(tempPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: tempPath, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false) // by then the path may belong to the next process
	if err = os.Chmod(tempPath, 0o600); err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return ln, nil
}

// handOver runs the old process's side of an exchange. It returns when the exchange fails, or when the new
// process or this one ends. Refusals are best effort: a new process that receives none starts without a
// predecessor.
func handOver(ctx context.Context, c *net.UnixConn, listen string, sockets []syscall.Conn, old Predecessor) error {
	c.SetDeadline(time.Now().Add(ExchangeTimeout))
	if err := sameUser(c); err != nil {
		return err
	}
	k, body, err := readFrame(c, nil)
	if err != nil {
		return err
	}
	var request Hello
	if err := json.Unmarshal(body, &request); err != nil || k != kindHello {
		return fmt.Errorf("%w: no hello", errInvalidFrame)
	}
	if request.Listen != listen {
		c.Write(appendFrame(nil, kindRefusal, []byte("this is the router at "+listen))) //nolint:errcheck // best effort
		return fmt.Errorf("handover: requested by the router at %.60q", request.Listen)
	}
	defer old.Regain()
	yieldCtx, cancel := context.WithTimeout(ctx, yieldTimeout)
	g, err := old.Yield(yieldCtx)
	cancel()
	if err != nil {
		c.Write(appendFrame(nil, kindRefusal, []byte(err.Error()))) //nolint:errcheck // best effort
		return err
	}
	if err := sendGrant(c, g, sockets); err != nil {
		return err
	}
	c.SetDeadline(time.Time{})
	if g.StreamUpdates != nil {
		var updatesWG sync.WaitGroup
		defer updatesWG.Wait()
		updatesCtx, stop := context.WithCancel(ctx)
		defer stop()
		updatesWG.Go(func() { g.StreamUpdates(updatesCtx, func(b []byte) error { return sendUpdate(c, b) }) })
	}
	if k, _, err = readFrame(c, nil); err != nil || k != kindServing {
		return fmt.Errorf("handover: the new process ended before it served clients: %w", err)
	}
	old.Followed()
	slog.Info("handover: the new process serves clients", "pid", request.PID)
	var b [1]byte
	c.Read(b[:]) //nolint:errcheck // returns when the new process or this one ends
	return nil
}

// sendUpdate sends an update to the new process.
func sendUpdate(c *net.UnixConn, b []byte) error {
	if len(b) > maxBodyBytes {
		return fmt.Errorf("handover: update of %d bytes exceeds %d", len(b), maxBodyBytes)
	}
	c.SetWriteDeadline(time.Now().Add(ExchangeTimeout))
	if _, err := c.Write(appendFrame(nil, kindUpdate, b)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// sendGrant sends the grant, and the sockets with its first bytes. Learned state that exceeds a frame is
// omitted.
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

// withFDs calls a function with the descriptors of sockets, which stay open during the call.
func withFDs(sockets []syscall.Conn, fds []int, fn func(fds []int) error) error {
	if len(sockets) == 0 {
		return fn(fds)
	}
	raw, err := sockets[0].SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) { err = withFDs(sockets[1:], append(fds, int(fd)), fn) })
	return errors.Join(err, controlErr)
}

// sameUser checks that the other process runs as the same user.
func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var cred *syscall.Ucred
	if controlErr := raw.Control(func(fd uintptr) {
		cred, err = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); controlErr != nil {
		return fmt.Errorf("handover: %w", controlErr)
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if int(cred.Uid) != os.Getuid() {
		return fmt.Errorf("handover: the other process runs as user %d, not %d", cred.Uid, os.Getuid())
	}
	return nil
}
