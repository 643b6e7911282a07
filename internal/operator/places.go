package operator

import (
	"net"
	"sync"
)

// connKey is that of a call's connection in its context.
type connKey struct{}

// connState is how far a connection has come.
type connState int

const (
	waiting   connState = iota // no whole call has come
	answering                  // one has
	answered                   // and its answer is out: what is left is to close it
)

// boundedConn is an operator's connection.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	state    connState // guarded by of.mu
}

// boundedListener are a listener whose open connections are bounded. One more is always taken: the one that has been answered, or else has
// stood longest without a whole call, gives way. Where calls are being answered on all, it waits: that takes milliseconds.
type boundedListener struct {
	net.Listener
	maxConns int
	mu       sync.Mutex
	freed    sync.Cond
	conns    []*boundedConn // the oldest first
}

func newBoundedListener(ln net.Listener, most int) *boundedListener {
	p := &boundedListener{Listener: ln, maxConns: most}
	p.freed.L = &p.mu
	return p
}

// Accept takes one more.
func (p *boundedListener) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	var out *boundedConn
	for len(p.conns) >= p.maxConns {
		if out = p.pickEvictable(); out != nil {
			p.remove(out)
			break
		}
		p.freed.Wait()
	}
	n := &boundedConn{Conn: c, listener: p}
	p.conns = append(p.conns, n)
	p.mu.Unlock()
	if out != nil {
		out.Close()
	}
	return n, nil
}

// pickEvictable is who gives way, nil where nobody does. The caller holds mu, as that of drop does.
func (p *boundedListener) pickEvictable() *boundedConn {
	for _, want := range []connState{answered, waiting} {
		for _, c := range p.conns {
			if c.state == want {
				return c
			}
		}
	}
	return nil
}

// remove lets a connection's place go, once.
func (p *boundedListener) remove(c *boundedConn) {
	for i, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			p.freed.Broadcast()
			return
		}
	}
}

// setState says how far a connection has come.
func (c *boundedConn) setState(at connState) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state = at; at == answered {
		c.listener.freed.Broadcast()
	}
}

// Close closes the connection and gives its place back.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets the answer be read to its end before the connection goes.
func (c *boundedConn) CloseWrite() error {
	c.setState(answered)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
