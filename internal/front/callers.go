package front

import (
	"crypto/tls"
	"sync/atomic"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Authenticator identifies and authorizes callers. Its methods may be called from any goroutine and do not
// block.
type Authenticator interface {
	AuthenticateToken(from, text string) (*caller.Identity, caller.Reason)   // for a connection
	AuthenticateRequest(from, text string) (*caller.Identity, caller.Reason) // for a single request
	AuthenticateSecret(from, id string, secret []byte) (*caller.Identity, caller.Reason)
	AuthenticateCertificate(from string, link *tls.ConnectionState) (*caller.Identity, caller.Reason)
	Revalidate(*caller.Identity) (*caller.Identity, caller.Reason) // returns the identity that now applies
	Authorize(from string, p *caller.Identity, class, key string, access caller.Access) (retryAfter float64, reason caller.Reason)
	RecordWithdrawn(from string, p *caller.Identity, reason caller.Reason) // audits a revoked identity
	RecordRefused(from string, p *caller.Identity, reason caller.Reason)   // audits a rejected request
}

// Peer describes the remote end of a connection.
type Peer struct {
	RemoteAddr string               // network address of the client
	TLS        *tls.ConnectionState // nil = the connection is not encrypted
}

// ConnCaller is the authentication state of one connection. A nil ConnCaller stands for a listener without
// authentication.
type ConnCaller struct {
	authenticator Authenticator
	RemoteAddr    string // network address of the client
	state         atomic.Pointer[authState]
}

// authState is the caller's identity, or the reason why there is none, and whether an earlier one was
// revoked.
type authState struct {
	pass    *caller.Identity
	reason  caller.Reason
	revoked bool
}

// NewConnCaller authenticates a new connection by its client certificate, if any. Returns nil if
// authenticator is nil.
func NewConnCaller(authenticator Authenticator, p Peer) *ConnCaller {
	if authenticator == nil {
		return nil
	}
	c := &ConnCaller{authenticator: authenticator, RemoteAddr: p.RemoteAddr}
	pass, reason := authenticator.AuthenticateCertificate(p.RemoteAddr, p.TLS)
	c.state.Store(&authState{pass: pass, reason: reason})
	return c
}

// Pass returns the identity that now applies to the connection, or the reason why there is none. It does not
// allocate while the identity remains valid.
func (c *ConnCaller) Pass() (*caller.Identity, caller.Reason) {
	s := c.state.Load()
	if s.pass == nil {
		return nil, s.reason
	}
	p, reason := c.authenticator.Revalidate(s.pass)
	if p == s.pass {
		return p, caller.None
	}
	if c.state.CompareAndSwap(s, &authState{p, reason, p == nil}) && p == nil {
		c.authenticator.RecordWithdrawn(c.RemoteAddr, s.pass, reason)
	}
	return p, reason
}

// Revoked reports whether the connection had an identity that is no longer valid.
func (c *ConnCaller) Revoked() bool {
	if c == nil {
		return false
	}
	if s := c.state.Load(); s.pass == nil {
		return s.revoked
	}
	_, reason := c.Pass()
	return reason != caller.None
}

// Tenant returns the tenant of the connection, or "" if it is not identified. It does not check whether the
// identity is still valid.
func (c *ConnCaller) Tenant() string {
	if c == nil {
		return ""
	}
	if s := c.state.Load(); s.pass != nil {
		return s.pass.Tenant.Name
	}
	return ""
}

// LoginToken logs in with a token. A failed login leaves the connection's state unchanged.
func (c *ConnCaller) LoginToken(text string) caller.Reason {
	return c.storeLogin(c.authenticator.AuthenticateToken(c.RemoteAddr, text))
}

// LoginSecret logs in with the id and secret of a key. A failed login leaves the connection's state
// unchanged.
func (c *ConnCaller) LoginSecret(id string, secret []byte) caller.Reason {
	return c.storeLogin(c.authenticator.AuthenticateSecret(c.RemoteAddr, id, secret))
}

func (c *ConnCaller) storeLogin(p *caller.Identity, reason caller.Reason) caller.Reason {
	if reason == caller.None {
		c.state.Store(&authState{pass: p})
	}
	return reason
}

// AuthenticateRequest returns the identity for a single request that carries its own token.
func (c *ConnCaller) AuthenticateRequest(text string) (*caller.Identity, caller.Reason) {
	return c.authenticator.AuthenticateRequest(c.RemoteAddr, text)
}

// Allow reports whether the caller may make a request for the key; caller.None means yes. Otherwise
// retryAfter is the delay, in ms, after which a retry may be allowed, if it is not 0.
func (c *ConnCaller) Allow(p *caller.Identity, class, key string, access caller.Access) (retryAfter float64, reason caller.Reason) {
	return c.authenticator.Authorize(c.RemoteAddr, p, class, key, access)
}

// ReportRefused reports a rejected request to the audit log.
func (c *ConnCaller) ReportRefused(p *caller.Identity, reason caller.Reason) {
	c.authenticator.RecordRefused(c.RemoteAddr, p, reason)
}
