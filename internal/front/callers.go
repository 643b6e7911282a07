package front

import (
	"crypto/tls"
	"sync/atomic"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Callers settles who calls. Its methods may be called from any goroutine and don't block.
type Callers interface {
	Token(from, text string) (*caller.Identity, caller.Reason) // of a connection
	Once(from, text string) (*caller.Identity, caller.Reason)  // of a single request
	Secret(from, id string, secret []byte) (*caller.Identity, caller.Reason)
	Certificate(from string, link *tls.ConnectionState) (*caller.Identity, caller.Reason)
	Check(*caller.Identity) (*caller.Identity, caller.Reason) // the pass by which a caller goes on
	Allow(from string, p *caller.Identity, class, key string, access caller.Access) (again float64, why caller.Reason)
	Withdrawn(from string, p *caller.Identity, why caller.Reason) // for the audit
	Refused(from string, p *caller.Identity, why caller.Reason)   // as above
}

// Peer is the far end of a connection.
type Peer struct {
	From string               // its address
	TLS  *tls.ConnectionState // nil = the link is plain
}

// Guest is who calls on one connection, for as long as it holds. A nil Guest is that of a front that asks nobody.
type Guest struct {
	callers Callers
	From    string
	now     atomic.Pointer[standing]
}

// standing is a pass, or why there is none, and whether there was one before.
type standing struct {
	pass *caller.Identity
	why  caller.Reason
	lost bool
}

// NewGuest is who has come; a client certificate has said who that is already. nil where nobody is asked.
func NewGuest(c Callers, p Peer) *Guest {
	if c == nil {
		return nil
	}
	g := &Guest{callers: c, From: p.From}
	pass, why := c.Certificate(p.From, p.TLS)
	g.now.Store(&standing{pass: pass, why: why})
	return g
}

// Pass is the pass by which the connection goes on, or why it does not. It allocates nothing while the pass holds.
func (g *Guest) Pass() (*caller.Identity, caller.Reason) {
	s := g.now.Load()
	if s.pass == nil {
		return nil, s.why
	}
	p, why := g.callers.Check(s.pass)
	if p == s.pass {
		return p, caller.None
	}
	if g.now.CompareAndSwap(s, &standing{p, why, p == nil}) && p == nil {
		g.callers.Withdrawn(g.From, s.pass, why)
	}
	return p, why
}

// Withdrawn says whether there was a pass that no longer holds.
func (g *Guest) Withdrawn() bool {
	if g == nil {
		return false
	}
	if s := g.now.Load(); s.pass == nil {
		return s.lost
	}
	_, why := g.Pass()
	return why != caller.None
}

// Tenant is whose the connection is, "" = nobody's that is known. It does not look whether the pass still holds.
func (g *Guest) Tenant() string {
	if g == nil {
		return ""
	}
	if s := g.now.Load(); s.pass != nil {
		return s.pass.Tenant.Name
	}
	return ""
}

// Token logs in by a token, and Secret by a key's. A login that fails leaves the connection as it was.
func (g *Guest) Token(text string) caller.Reason {
	return g.in(g.callers.Token(g.From, text))
}

// Secret is Token's brother.
func (g *Guest) Secret(id string, secret []byte) caller.Reason {
	return g.in(g.callers.Secret(g.From, id, secret))
}

func (g *Guest) in(p *caller.Identity, why caller.Reason) caller.Reason {
	if why == caller.None {
		g.now.Store(&standing{pass: p})
	}
	return why
}

// Once is the pass of a single request that has brought its own token.
func (g *Guest) Once(text string) (*caller.Identity, caller.Reason) {
	return g.callers.Once(g.From, text)
}

// Allow says whether the caller may make a request on each of its keys.
func (g *Guest) Allow(p *caller.Identity, class, key string, access caller.Access) (again float64, why caller.Reason) {
	return g.callers.Allow(g.From, p, class, key, access)
}

// Refuse tells the audit of a request that is not taken.
func (g *Guest) Refuse(p *caller.Identity, why caller.Reason) { g.callers.Refused(g.From, p, why) }
