package sock

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// SendState is what a system knows about the output of a TCP connection. A write that has returned says only
// that the system has taken the bytes; the peer has them once they are acknowledged.
type SendState struct {
	// Unacknowledged bytes were written, but the peer has not acknowledged them. They are lost if the connection is
	// reset. The end of the output, once it is sent, counts as one.
	Unacknowledged int
	Unsent         int    // of these, bytes that are not sent yet, as the peer or the network takes no more
	Acknowledged   uint64 // bytes acknowledged since the connection began
}

// Output returns the state of the output of a TCP connection, or of the one below a TLS connection. It does
// not block.
func Output(c net.Conn) (state SendState, err error) {
	raw, err := rawConn(c)
	if err != nil {
		return SendState{}, err
	}
	if ctl := raw.Control(func(fd uintptr) { state, err = outputFD(int(fd)) }); ctl != nil {
		return SendState{}, fmt.Errorf("state of the output: %w", ctl)
	}
	return state, err
}

func outputFD(fd int) (state SendState, err error) {
	if state.Unacknowledged, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ); err != nil {
		return SendState{}, fmt.Errorf("unacknowledged bytes: %w", err)
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return SendState{}, fmt.Errorf("acknowledged bytes: %w", err)
	}
	state.Acknowledged, state.Unsent = info.Bytes_acked, int(info.Notsent_bytes)
	return state, nil
}

// Unacknowledged returns the number of bytes that were written to an open connection and that its peer has not
// acknowledged; 0 if that is not known, or the connection has ended.
func Unacknowledged(c net.Conn) (n int) {
	raw, err := rawConn(c)
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { n = unacknowledgedFD(int(fd)) }) //nolint:errcheck // a closed one has none
	return n
}

func unacknowledgedFD(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	if err != nil || n <= 0 || pollFD(uintptr(fd))&(unix.POLLHUP|unix.POLLERR) != 0 {
		return 0
	}
	return n
}

// rawConn returns access to the descriptor of a connection, or of the one below a TLS connection.
func rawConn(c net.Conn) (syscall.RawConn, error) {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("descriptor: %w", err)
	}
	return raw, nil
}
