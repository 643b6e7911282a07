package meta

import (
	"bufio"
	"strings"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// login handles "auth token TOKEN" and "auth key ID SECRET". A failed login leaves the connection unchanged
// and counts towards the limit of invalid commands.
func (s session) login(args []string) front.Command {
	reason := caller.Malformed
	switch {
	case len(args) == 2 && args[0] == "token":
		reason = s.connCaller.LoginToken(args[1])
	case len(args) == 3 && args[0] == "key":
		reason = s.connCaller.LoginSecret(args[1], []byte(args[2]))
	}
	if reason != caller.None {
		return front.Command{Text: meta.ClientError(reason.String(), 0), Invalid: true, Delayed: reason == caller.Throttled, End: reason == caller.Throttled, Work: front.LoginUnits}
	}
	return front.Command{Text: []byte("HD\r\n"), Work: front.LoginUnits}
}

// readAuthenticated reads a request on a pool that requires authentication. Until the caller is known, the
// request is parsed only to find its end. Its key, id and idempotency key are then mapped to the namespace
// of the tenant.
func (s session) readAuthenticated(in *bufio.Reader, e *engine.Engine, cmd meta.Command) (front.Command, error) {
	pass, reason := s.authenticate(&cmd)
	if reason != caller.None {
		return s.reject(in, &cmd, reason, 0, isUnauthenticated(reason))
	}
	if cmd.Tenant != "" && cmd.Tenant != pass.Tenant.Name {
		s.connCaller.ReportRefused(pass, caller.NoRight)
		return s.reject(in, &cmd, caller.NoRight, 0, false)
	}
	access := caller.Read
	if cmd.Verb == "ms" {
		access = caller.Write
	}
	if retryAfter, reason := s.connCaller.Allow(pass, cmd.Class, cmd.Key, access); reason != caller.None {
		return s.reject(in, &cmd, reason, retryAfter, false)
	}
	key, err := s.protocol.ServerKey(pass, cmd.Key)
	if err != nil {
		return s.skipValue(in, &cmd, front.Command{Text: meta.ClientError(err.Error(), 0)})
	}
	id := cmd.ID
	idempotencyKey := cmd.IdempotencyKey
	if idempotencyKey != "" {
		idempotencyKey = pass.Space.ID(idempotencyKey, meta.MaxID)
	}
	cmd.Key, cmd.ID = key, pass.Space.ID(id, meta.MaxID)
	cmd.RewriteFacts(pass.Tenant.Name, idempotencyKey)
	return s.readRequest(in, e, cmd, pass.Tenant.Generation, func(q *engine.Request, a engine.Answer) []byte { return renderWithID(id, q, a) })
}

// Tenant implements front.Session.
func (s session) Tenant() string { return s.connCaller.Tenant() }

// TooManyConnections implements front.Session.
func (session) TooManyConnections() []byte { return meta.ClientError(caller.Connections.String(), 0) }

// authenticate returns the caller of a request, by the token of the request itself or else by the
// connection.
func (s session) authenticate(cmd *meta.Command) (*caller.Identity, caller.Reason) {
	if cmd.Auth != "" {
		return s.connCaller.AuthenticateRequest(cmd.Auth)
	}
	return s.connCaller.Pass()
}

// isUnauthenticated reports whether a reason means that the sender has not proven its identity. A
// connection may send only a few such commands; those of an authenticated caller are all answered, as they
// were accepted.
func isUnauthenticated(reason caller.Reason) bool {
	switch reason {
	case caller.NoCaller, caller.UnknownKey, caller.BadSignature, caller.BadAlgorithm, caller.Malformed, caller.TooLong, caller.Throttled:
		return true
	}
	return false
}

// reject returns the answer to a request that is not accepted.
func (s session) reject(in *bufio.Reader, cmd *meta.Command, reason caller.Reason, retryAfter float64, invalid bool) (front.Command, error) {
	return s.skipValue(in, cmd, front.Command{Text: meta.ClientError(reason.String(), retryAfter), Invalid: invalid, Delayed: reason == caller.Throttled})
}

// skipValue reads and discards a command's value, so that the next command can be read, and returns answer.
func (s session) skipValue(in *bufio.Reader, cmd *meta.Command, answer front.Command) (front.Command, error) {
	if cmd.Verb == "ms" {
		if _, err := meta.ReadValue(in, cmd.Length, true); err != nil {
			return front.Command{}, err
		}
	}
	return answer, nil
}

// renderWithID formats the final answer to a request that its client knows by another id than the router.
func renderWithID(id string, q *engine.Request, a engine.Answer) []byte {
	if a.Result == engine.Served && a.Content == nil {
		switch {
		case a.Absent:
			return meta.NotFound(id)
		case a.Streamed != nil:
			return meta.ServedHeader(id, a.Streamed.Len())
		}
		return meta.Served(q.Write, id, a.Body)
	}
	return render(q, a) // these answers contain no id
}

// Login returns the command that authenticates a connection by a token or, if id is set, by the secret of
// that key.
func Login(id, credential string) string {
	if id == "" {
		return "auth token " + credential + "\r\n"
	}
	return strings.Join([]string{"auth key", id, credential}, " ") + "\r\n"
}
