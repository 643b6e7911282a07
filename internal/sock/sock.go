// Package sock inspects the state of sockets without consuming their input.
package sock

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasInput reports whether a connection has unread input.
func HasInput(c net.Conn) bool {
	n, err := Peek(c)
	return err == nil && n > 0
}

// IsOutOfBuffers reports whether err says that the system is temporarily out of memory or socket buffers.
// The connection is unaffected, and the same call may succeed later.
func IsOutOfBuffers(err error) bool {
	return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// pendingConnErrors are the network errors of a connection still in the accept queue, which accept returns
// as its own errors (accept(2)).
var pendingConnErrors = []syscall.Errno{syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.ETIMEDOUT}

// IsPendingConnError reports whether an error of accept concerns only the connection that would have been
// accepted, not the listener.
func IsPendingConnError(err error) bool {
	return slices.ContainsFunc(pendingConnErrors, func(e syscall.Errno) bool { return errors.Is(err, e) })
}

// Closed reports whether either side has closed a connection, even if unread input precedes the end.
func Closed(c net.Conn) bool {
	raw, err := rawConn(c)
	if err != nil {
		return !errors.Is(err, errors.ErrUnsupported)
	}
	var events int16
	if raw.Control(func(fd uintptr) { events = pollFD(fd) }) != nil {
		return true
	}
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// pollFD returns the poll events that are pending on a descriptor, or 0 if polling fails. It does not block.
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

// Peek returns how many bytes (0 or 1) can be read from a connection, without consuming them or blocking.
// At the end of the input it returns 0 and no error.
func Peek(c net.Conn) (n int, err error) {
	raw, err := rawConn(c) // with TLS, input is records, possibly without payload
	if err != nil {
		return 0, err
	}
	if ctl := raw.Control(func(fd uintptr) { // not Read, which fails once the read deadline has passed
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

// IsIdleFD is IsIdle for a descriptor. It must be called within a call of a syscall.RawConn.
func IsIdleFD(fd uintptr) bool {
	_, err := peekFD(fd)
	return isIdle(err)
}

// IsIdle reports whether a connection is open and has nothing to read. Unread input, an end of input and a
// reset all make it false.
func IsIdle(c net.Conn) bool {
	_, err := Peek(c)
	return isIdle(err)
}

// isIdle reports whether a peek with this error found neither input nor the end of the connection.
func isIdle(err error) bool {
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
}
