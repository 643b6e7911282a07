package operator

import (
	"net"
	"sync"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// connState is the progress of a connection, which has one request.
type connState int

const (
	waiting   connState = iota // no whole request has been received
	answering                  // a request has been received and is being handled
	answered                   // the response has been sent; the connection is about to be closed
)

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	state    connState // guarded by listener.mu
}

// boundedListener is a listener that limits the number of open connections. A further connection evicts the
// oldest one that has been answered, or else the oldest one without a whole request. If requests are being
// handled on all connections, Accept waits until one has been answered, which takes milliseconds.
type boundedListener struct {
	net.Listener
	maxConns int
	mu       sync.Mutex
	freed    sync.Cond
	conns    []*boundedConn // in order of acceptance, the oldest first
}

// newBoundedListener wraps ln with a limit of maxConns open connections.
func newBoundedListener(ln net.Listener, maxConns int) *boundedListener {
	p := &boundedListener{Listener: ln, maxConns: maxConns}
	p.freed.L = &p.mu
	return p
}

// Accept returns the next connection, evicting another one if the limit is reached.
func (p *boundedListener) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	var evicted *boundedConn
	for len(p.conns) >= p.maxConns {
		if evicted = p.pickEvictable(); evicted != nil {
			p.remove(evicted)
			break
		}
		p.freed.Wait()
	}
	accepted := &boundedConn{Conn: c, listener: p}
	p.conns = append(p.conns, accepted)
	p.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
	return accepted, nil
}

// pickEvictable returns the connection to evict, or nil if requests are being handled on all of them. The
// caller holds mu.
func (p *boundedListener) pickEvictable() *boundedConn {
	for _, state := range []connState{answered, waiting} {
		for _, c := range p.conns {
			if c.state == state {
				return c
			}
		}
	}
	return nil
}

// remove removes c from the open connections; further calls have no effect. The caller holds mu.
func (p *boundedListener) remove(c *boundedConn) {
	for i, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			p.freed.Broadcast()
			return
		}
	}
}

// setState sets the state and wakes up Accept if the connection can be evicted now.
func (c *boundedConn) setState(state connState) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state = state; state == answered {
		c.listener.freed.Broadcast()
	}
}

// Close closes the connection and removes it from its listener.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite marks the connection as answered and closes its write side if the underlying connection supports
// that: the client can still read the whole response before the connection is closed.
func (c *boundedConn) CloseWrite() error {
	c.setState(answered)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
