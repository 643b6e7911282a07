package operator

import (
	"net"
	"sync"
)

// placeKey is that of a call's connection in its context.
type placeKey struct{}

// standing is how far a connection has come.
type standing int

const (
	silent    standing = iota // no whole call has come
	answering                 // one has
	answered                  // and its answer is out: what is left is to close it
)

// place is an operator's connection.
type place struct {
	net.Conn
	of *places
	at standing // guarded by of.mu
}

// places are a listener whose open connections are bounded. One more is always taken: the one that has been answered, or else has
// stood longest without a whole call, gives way. Where calls are being answered on all, it waits: that takes milliseconds.
type places struct {
	net.Listener
	most int
	mu   sync.Mutex
	less sync.Cond
	open []*place // the oldest first
}

func newPlaces(ln net.Listener, most int) *places {
	p := &places{Listener: ln, most: most}
	p.less.L = &p.mu
	return p
}

// Accept takes one more.
func (p *places) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	var out *place
	for len(p.open) >= p.most {
		if out = p.yields(); out != nil {
			p.drop(out)
			break
		}
		p.less.Wait()
	}
	n := &place{Conn: c, of: p}
	p.open = append(p.open, n)
	p.mu.Unlock()
	if out != nil {
		out.Close()
	}
	return n, nil
}

// yields is who gives way, nil where nobody does. The caller holds mu, as that of drop does.
func (p *places) yields() *place {
	for _, want := range []standing{answered, silent} {
		for _, c := range p.open {
			if c.at == want {
				return c
			}
		}
	}
	return nil
}

// drop lets a connection's place go, once.
func (p *places) drop(c *place) {
	for i, o := range p.open {
		if o == c {
			p.open = append(p.open[:i], p.open[i+1:]...)
			p.less.Broadcast()
			return
		}
	}
}

// mark says how far a connection has come.
func (c *place) mark(at standing) {
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	if c.at = at; at == answered {
		c.of.less.Broadcast()
	}
}

// Close closes the connection and gives its place back.
func (c *place) Close() error {
	c.of.mu.Lock()
	c.of.drop(c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets the answer be read to its end before the connection goes.
func (c *place) CloseWrite() error {
	c.mark(answered)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
