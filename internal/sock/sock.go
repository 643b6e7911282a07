// Package sock looks at sockets without reading from them.
package sock

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasInput reports whether there is something to read on a connection.
func HasInput(c net.Conn) bool {
	n, err := Peek(c)
	return err == nil && n > 0
}

// IsOutOfBuffers reports whether an error says that the system lacks memory or buffers just now: the connection is as it was, and the same
// call may do later.
func IsOutOfBuffers(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// pendingConnErrors are the errors of a connection that has not been accepted yet, which accept gives in its place (accept(2)).
var pendingConnErrors = []syscall.Errno{syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.ETIMEDOUT}

// IsPendingConnError reports whether an error of accept is that of the one connection that would have been accepted.
func IsPendingConnError(err error) bool {
	return slices.ContainsFunc(pendingConnErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// Closed reports whether the other side has closed a connection, or this one has, also behind input that nobody has read.
func Closed(c net.Conn) bool {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	var events int16
	if raw.Control(func(fd uintptr) { events = pollFD(fd) }) != nil {
		return true
	}
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// pollFD gives what is there at once on a descriptor, nothing where that can't be said.
func pollFD(fd uintptr) int16 {
	p := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(p[:], 0)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if n != 1 || err != nil {
			return 0
		}
		return p[0].Revents
	}
}

// Peek looks for input on a connection without taking it or waiting for it.
func Peek(c net.Conn) (n int, err error) {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // of TLS: records, which may or may not hold what is read
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, fmt.Errorf("peeking: %w", err)
	}
	if ctl := raw.Control(func(fd uintptr) { // not Read, which fails once the time for reading is up
		n, err = peekFD(fd)
	}); ctl != nil {
		return 0, fmt.Errorf("peeking: %w", ctl)
	}
	return n, err
}

func peekFD(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// IsIdleFD is Quiet for a descriptor, within a call of a syscall.RawConn.
func IsIdleFD(fd uintptr) bool {
	_, err := peekFD(fd)
	return isIdle(err)
}

// IsIdle reports whether a connection is open and has nothing to read: an end, a reset or a stray answer is something.
func IsIdle(c net.Conn) bool {
	_, err := Peek(c)
	return isIdle(err)
}

// isIdle says whether a look found neither input nor an end.
func isIdle(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}
