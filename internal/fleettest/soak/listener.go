package soak

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// listener listens on loopback and can leave connections waiting in the kernel: while it stalls, one that comes is not answered
// until its handshake is repeated, a second later.
type listener struct {
	*net.TCPListener
	addr string

	mu      sync.Mutex
	gate    sync.Cond
	stalls  bool
	closed  bool
	resumed time.Time  // when it last stopped stalling
	fill    []net.Conn // while it stalls: one that accept holds, one in the kernel's queue, which is full by it
}

const usualBacklog = 128

func listenLoopback(addr string) (*listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("soak server: %w", err)
	}
	l := &listener{TCPListener: ln.(*net.TCPListener), addr: ln.Addr().String()}
	l.gate.L = &l.mu
	return l, nil
}

// stall stops or resumes taking connections.
func (l *listener) stall(yes bool) {
	l.mu.Lock()
	if l.closed || l.stalls == yes {
		l.mu.Unlock()
		return
	}
	l.stalls = yes
	fill := l.fill
	l.fill = nil
	if !yes {
		l.resumed = time.Now()
	}
	l.mu.Unlock()
	if !yes {
		l.setBacklog(usualBacklog)
		l.gate.Broadcast()
		closeConns(fill)
		return
	}
	l.setBacklog(0)
	for range 2 {
		if c, err := net.DialTimeout("tcp", l.addr, fillWithin); err == nil {
			fill = append(fill, c)
		}
	}
	l.mu.Lock()
	l.fill = fill
	l.mu.Unlock()
}

// queueEmptied is how long after a stall a connection may still come out of the queue that has waited there.
const queueEmptied = 30 * time.Millisecond

// fillWithin bounds the time for filling the kernel's queue.
const fillWithin = 100 * time.Millisecond

func closeConns(conns []net.Conn) {
	for _, c := range conns {
		c.Close()
	}
}

// setBacklog changes the length of the kernel's queue.
func (l *listener) setBacklog(n int) {
	raw, err := l.SyscallConn()
	if err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) }) //nolint:errcheck // it has been closed
	}
}

// accept takes the next connection that has not waited while it stalled: when the requests on such a one came is not known.
func (l *listener) accept() (*net.TCPConn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, fmt.Errorf("soak server: %w", err)
		}
		l.mu.Lock()
		waited := l.stalls || time.Since(l.resumed) < queueEmptied
		for l.stalls && !l.closed {
			l.gate.Wait()
		}
		l.mu.Unlock()
		if !waited {
			return c, nil
		}
		reset(c)
	}
}

// shut ends the listener.
func (l *listener) shut() {
	l.mu.Lock()
	l.closed = true
	closeConns(l.fill)
	l.mu.Unlock()
	l.gate.Broadcast()
	l.Close()
}
