package meta

import (
	"bufio"
	"strings"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// login is auth token TOKEN or auth key ID SECRET. One that fails leaves the connection as it was, and counts towards the few that a
// client may get wrong.
func (s session) login(words []string) front.Command {
	why := caller.Malformed
	switch {
	case len(words) == 2 && words[0] == "token":
		why = s.connCaller.LoginToken(words[1])
	case len(words) == 3 && words[0] == "key":
		why = s.connCaller.LoginSecret(words[1], []byte(words[2]))
	}
	if why != caller.None {
		return front.Command{Text: meta.ClientError(why.String(), 0), Invalid: true, Delayed: why == caller.Throttled, End: why == caller.Throttled}
	}
	return front.Command{Text: []byte("HD\r\n")}
}

// readAuthenticated is a request on a pool that asks who calls. Until that is known nothing of it is looked at but where it ends. What it names is
// its tenant's own from here on: key, id and idempotency key.
func (s session) readAuthenticated(in *bufio.Reader, e *engine.Engine, cmd meta.Command) (front.Command, error) {
	pass, why := s.authenticate(&cmd)
	if why != caller.None {
		return s.reject(in, &cmd, why, 0, isUnauthenticated(why))
	}
	if cmd.Tenant != "" && cmd.Tenant != pass.Tenant.Name {
		s.connCaller.ReportRefused(pass, caller.NoRight)
		return s.reject(in, &cmd, caller.NoRight, 0, false)
	}
	access := caller.Read
	if cmd.Verb == "ms" {
		access = caller.Write
	}
	if again, why := s.connCaller.Allow(pass, cmd.Class, cmd.Key, access); why != caller.None {
		return s.reject(in, &cmd, why, again, false)
	}
	key, err := s.protocol.ServerKey(pass, cmd.Key)
	if err != nil {
		return s.skipValue(in, &cmd, front.Command{Text: meta.ClientError(err.Error(), 0)})
	}
	id := cmd.ID
	idem := cmd.IdempotencyKey
	if idem != "" {
		idem = pass.Space.ID(idem, meta.MaxID)
	}
	cmd.Key, cmd.ID = key, pass.Space.ID(id, meta.MaxID)
	cmd.RewriteFacts(pass.Tenant.Name, idem)
	return s.readRequest(in, e, cmd, pass.Tenant.Generation, func(q *engine.Request, a engine.Answer) []byte { return renderWithID(id, q, a) })
}

// Tenant is front.Session's.
func (s session) Tenant() string { return s.connCaller.Tenant() }

// Crowded is front.Session's.
func (session) TooManyConnections() []byte { return meta.ClientError(caller.Connections.String(), 0) }

// authenticate is who makes a request: whom its own token stands for, or the connection's caller.
func (s session) authenticate(cmd *meta.Command) (*caller.Identity, caller.Reason) {
	if cmd.Auth != "" {
		return s.connCaller.AuthenticateRequest(cmd.Auth)
	}
	return s.connCaller.Pass()
}

// isUnauthenticated says whether a reason is that of somebody who has proven nothing. Few such commands are answered on a connection; those of
// a caller that was known are answered all, as they were taken.
func isUnauthenticated(why caller.Reason) bool {
	switch why {
	case caller.NoCaller, caller.UnknownKey, caller.BadSignature, caller.BadAlgorithm, caller.Malformed, caller.TooLong, caller.Throttled:
		return true
	}
	return false
}

// reject answers a request that is not taken.
func (s session) reject(in *bufio.Reader, cmd *meta.Command, why caller.Reason, again float64, unknown bool) (front.Command, error) {
	return s.skipValue(in, cmd, front.Command{Text: meta.ClientError(why.String(), again), Invalid: unknown, Delayed: why == caller.Throttled})
}

// skipValue passes over a command's value, so that the next one can be read.
func (s session) skipValue(in *bufio.Reader, cmd *meta.Command, answer front.Command) (front.Command, error) {
	if cmd.Verb == "ms" {
		if _, err := meta.ReadValue(in, cmd.Length, true); err != nil {
			return front.Command{}, err
		}
	}
	return answer, nil
}

// renderWithID is the final answer to a request that its client knows by another id.
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
	return render(q, a) // which names no id
}

// Login is the command by which a connection says who calls, by a token or, where there is an id, by that key's secret.
func Login(id, credential string) string {
	if id == "" {
		return "auth token " + credential + "\r\n"
	}
	return strings.Join([]string{"auth key", id, credential}, " ") + "\r\n"
}
