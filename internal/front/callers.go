package front

import (
	"crypto/tls"
	"sync/atomic"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Authenticator settles who calls. Its methods may be called from any goroutine and don't block.
type Authenticator interface {
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
	RemoteAddr string               // its address
	TLS        *tls.ConnectionState // nil = the link is plain
}

// ConnCaller is who calls on one connection, for as long as it holds. A nil Guest is that of a front that asks nobody.
type ConnCaller struct {
	authenticator Authenticator
	RemoteAddr    string
	state         atomic.Pointer[authState]
}

// authState is a pass, or why there is none, and whether there was one before.
type authState struct {
	pass    *caller.Identity
	reason  caller.Reason
	revoked bool
}

// NewConnCaller is who has come; a client certificate has said who that is already. nil where nobody is asked.
func NewConnCaller(c Authenticator, p Peer) *ConnCaller {
	if c == nil {
		return nil
	}
	g := &ConnCaller{authenticator: c, RemoteAddr: p.RemoteAddr}
	pass, why := c.Certificate(p.RemoteAddr, p.TLS)
	g.state.Store(&authState{pass: pass, reason: why})
	return g
}

// Pass is the pass by which the connection goes on, or why it does not. It allocates nothing while the pass holds.
func (g *ConnCaller) Pass() (*caller.Identity, caller.Reason) {
	s := g.state.Load()
	if s.pass == nil {
		return nil, s.reason
	}
	p, why := g.authenticator.Check(s.pass)
	if p == s.pass {
		return p, caller.None
	}
	if g.state.CompareAndSwap(s, &authState{p, why, p == nil}) && p == nil {
		g.authenticator.Withdrawn(g.RemoteAddr, s.pass, why)
	}
	return p, why
}

// Revoked says whether there was a pass that no longer holds.
func (g *ConnCaller) Revoked() bool {
	if g == nil {
		return false
	}
	if s := g.state.Load(); s.pass == nil {
		return s.revoked
	}
	_, why := g.Pass()
	return why != caller.None
}

// Tenant is whose the connection is, "" = nobody's that is known. It does not look whether the pass still holds.
func (g *ConnCaller) Tenant() string {
	if g == nil {
		return ""
	}
	if s := g.state.Load(); s.pass != nil {
		return s.pass.Tenant.Name
	}
	return ""
}

// LoginToken logs in by a token, and Secret by a key's. A login that fails leaves the connection as it was.
func (g *ConnCaller) LoginToken(text string) caller.Reason {
	return g.storeLogin(g.authenticator.Token(g.RemoteAddr, text))
}

// LoginSecret is Token's brother.
func (g *ConnCaller) LoginSecret(id string, secret []byte) caller.Reason {
	return g.storeLogin(g.authenticator.Secret(g.RemoteAddr, id, secret))
}

func (g *ConnCaller) storeLogin(p *caller.Identity, why caller.Reason) caller.Reason {
	if why == caller.None {
		g.state.Store(&authState{pass: p})
	}
	return why
}

// AuthenticateRequest is the pass of a single request that has brought its own token.
func (g *ConnCaller) AuthenticateRequest(text string) (*caller.Identity, caller.Reason) {
	return g.authenticator.Once(g.RemoteAddr, text)
}

// Allow says whether the caller may make a request on each of its keys.
func (g *ConnCaller) Allow(p *caller.Identity, class, key string, access caller.Access) (again float64, why caller.Reason) {
	return g.authenticator.Allow(g.RemoteAddr, p, class, key, access)
}

// ReportRefused tells the audit of a request that is not taken.
func (g *ConnCaller) ReportRefused(p *caller.Identity, why caller.Reason) {
	g.authenticator.Refused(g.RemoteAddr, p, why)
}
