// Package meta speaks the memcache meta text protocol to clients.
package meta

import (
	"bufio"
	"errors"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Protocol is a front.Protocol.
type Protocol struct {
	// Owners gives the servers that may serve a key; nil = any may. Servers that own keys drop no repeats.
	Owners func(key string, write bool) []uint32
	// Callers settles who calls; nil = nobody is asked, and commands say all that there is to know.
	Callers front.Authenticator
	// ServerKey is a caller's key as servers know it; an error says how long it may be.
	ServerKey func(p *caller.Identity, key string) (string, error)
}

// Session is a client's connection.
func (p Protocol) Session(peer front.Peer) front.Session {
	return session{p, front.NewConnCaller(p.Callers, peer)}
}

// Idle is how long a connection may stand between two commands.
func (Protocol) Idle() time.Duration { return 3 * time.Second }

// Drain changes nothing: clients come through a front that sends them elsewhere.
func (Protocol) Drain(bool) {}

type session struct {
	protocol   Protocol
	connCaller *front.ConnCaller // nil = nobody is asked who calls
}

// Withdrawn is front.Session's.
func (s session) Revoked() bool { return s.connCaller.Revoked() }

// Malformed is the answer to input that makes no sense.
func (session) Malformed(err error) ([]byte, bool) {
	if !errors.Is(err, meta.ErrMalformed) {
		return nil, false
	}
	return []byte("CLIENT_ERROR " + err.Error() + "\r\n"), true
}

// Read reads a command. Its value is read only if the rest makes sense, and kept only if there is room.
func (s session) Read(in *bufio.Reader, e *engine.Engine, ready func() bool) (front.Command, error) {
	cmd, err := meta.ReadCommand(in)
	if err != nil {
		return front.Command{}, err
	}
	switch cmd.Verb {
	case "mg", "ms":
		if s.connCaller != nil {
			return s.readAuthenticated(in, e, cmd)
		}
		return s.readRequest(in, e, cmd, 0, render)
	case "auth":
		if s.connCaller != nil {
			return s.login(cmd.Args), nil
		}
	case "mn": // the router is used from MN on, so it must be able to serve
		if ready() {
			return front.Command{Text: []byte("MN\r\n")}, nil
		}
		return front.Command{Text: []byte("SERVER_ERROR not ready\r\n")}, nil
	case "quit":
		return front.Command{End: true}, nil
	}
	return front.Command{Text: []byte("ERROR\r\n"), Invalid: true}, nil
}

// renderer gives the text of a request's final answer.
type renderer func(*engine.Request, engine.Answer) []byte

// readRequest reads the rest of a request, and checks it against what this deployment takes. generation is that of the caller's tenant.
func (s session) readRequest(in *bufio.Reader, e *engine.Engine, cmd meta.Command, generation uint32, render renderer) (front.Command, error) {
	if err := s.checkCommand(e, &cmd); err != nil {
		return front.Command{}, err
	}
	refuse := !e.ReserveValue(cmd.Length)
	if cmd.Verb == "ms" {
		var err error
		if cmd.Value, err = meta.ReadValue(in, cmd.Length, refuse); err != nil {
			if !refuse {
				e.HeldBytes.Release(cmd.Length)
			}
			return front.Command{}, err
		}
	}
	if refuse { // many large writes at once must not cost the router its life
		e.CountRejected(cmd.Class)
		return front.Command{Text: meta.Refused(0)}, nil
	}
	var owners []uint32
	if s.protocol.Owners != nil {
		owners = s.protocol.Owners(cmd.Key, cmd.Verb == "ms")
	}
	return front.Command{Render: render, Request: &engine.Request{Owners: owners, ID: cmd.ID, Class: cmd.Class, Tenant: cmd.Tenant, TenantGeneration: generation, Key: cmd.Key, Facts: cmd.Facts,
		Value: cmd.Value, HeldBytes: cmd.Length, Wait: cmd.Wait, Hint: cmd.Hint, Size: cmd.Size, Retry: cmd.Retry, Write: cmd.Verb == "ms"}}, nil
}

// checkCommand tells what is wrong with a command for this deployment.
func (s session) checkCommand(e *engine.Engine, cmd *meta.Command) error {
	c, ok := e.Class(cmd.Class)
	switch {
	case !ok:
		return meta.Malformed("class %.40q", cmd.Class)
	case c.Effect == decide.Keyed && cmd.IdempotencyKey == "":
		return meta.Malformed("class %s takes k", cmd.Class)
	case c.Effect == decide.Keyed && s.protocol.Owners != nil:
		return meta.Malformed("class %s: the servers of this pool drop no repeats", cmd.Class)
	}
	return nil
}

// render is the final answer to a request.
func render(q *engine.Request, a engine.Answer) []byte {
	switch a.Result {
	case engine.Served:
		switch {
		case a.Absent:
			return meta.NotFound(q.ID)
		case a.Streamed != nil:
			return meta.ServedHeader(q.ID, a.Streamed.Len())
		case a.Content != nil: // in terms that this protocol has no words for
			return meta.Failure()
		}
		return meta.Served(q.Write, q.ID, a.Body)
	case engine.Refused:
		return meta.Refused(a.RetryAfter)
	case engine.Duplicate:
		return []byte("CLIENT_ERROR the id of an open request\r\n")
	}
	return meta.Failure()
}
