package resp

import (
	"fmt"

	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// tokenUser is the AUTH user name whose password is a token. Any other user name is a key ID, and the
// password is that key's secret.
const tokenUser = "token"

// maxIdempotencyIDBytes limits the part of a request ID that is derived from its idempotency key.
const maxIdempotencyIDBytes = 128

// allowedBeforeLogin holds the commands that a connection may send before its caller is authenticated.
var allowedBeforeLogin = map[string]bool{"AUTH": true, "HELLO": true, "PING": true, "QUIT": true}

// Tenant implements front.Session.
func (s *session) Tenant() string {
	switch {
	case s.guest != nil:
		return s.guest.Tenant()
	case s.loggedIn && len(s.protocol.cfg.Logins) > 0:
		return s.tenant
	}
	return ""
}

// TooManyConnections implements front.Session with the error text that Redis clients recognize.
func (*session) TooManyConnections() []byte {
	return resp.AppendError(nil, "ERR max number of clients reached: "+caller.Connections.String())
}

// authenticate logs the connection in with a token or a key's secret. On failure the login state is
// unchanged.
func (s *session) authenticate(user, password []byte) caller.Reason {
	reason := caller.None
	if string(user) == tokenUser {
		reason = s.guest.LoginToken(string(password))
	} else {
		reason = s.guest.LoginSecret(string(user), password)
	}
	s.throttled = reason == caller.Throttled
	return reason
}

// wrongPassReply returns the error for a failed login: the WRONGPASS error that clients recognize, followed
// by the stable name of the reason.
func wrongPassReply(reason caller.Reason) []byte {
	return resp.AppendError(nil, "WRONGPASS invalid username-password pair or user is disabled: "+reason.String())
}

// noAuthReply returns the error for a command on a connection whose caller is unknown or no longer valid.
// Commands on a connection that never had a caller count towards the limit of invalid commands.
func noAuthReply(reason caller.Reason) front.Command {
	if reason == caller.NoCaller {
		return front.Command{Text: resp.AppendError(nil, "NOAUTH Authentication required."), Invalid: true}
	}
	return front.Command{Text: resp.AppendError(nil, "NOAUTH Authentication required: "+reason.String())}
}

// authorizeKeys returns the arguments with the caller's keys translated to server keys, or an error reply
// if the caller may not access one of them.
func (s *session) authorizeKeys(pass *caller.Identity, spec *commandSpec, args [][]byte, class string) (out [][]byte, errorReply []byte) {
	access := spec.access(args)
	out = append(make([][]byte, 0, len(args)), args...)
	for _, i := range spec.keyPositions(args) {
		key := string(args[i])
		if retryAfterMS, reason := s.guest.Allow(pass, class, key, access); reason != caller.None {
			return nil, noPermReply(reason, retryAfterMS)
		}
		name, err := s.protocol.cfg.ServerKey(pass, key)
		if err != nil {
			return nil, resp.AppendError(nil, "ERR "+err.Error())
		}
		out[i] = []byte(name)
	}
	return out, nil
}

// noPermReply returns the error for a command that the caller may not send. The command has not run.
func noPermReply(reason caller.Reason, retryAfterMS float64) []byte {
	if retryAfterMS >= 1 {
		return resp.AppendError(nil, fmt.Sprintf("NOPERM %s, come again after %d ms", reason, int64(retryAfterMS)))
	}
	return resp.AppendError(nil, "NOPERM "+reason.String())
}
