package resp

import (
	"fmt"

	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// tokenUser is the user of AUTH whose password is a token; any other is the id of a key, whose secret the password is.
const tokenUser = "token"

// maxIdempotencyIDBytes bounds the part of a request's id that its idempotency key makes.
const maxIdempotencyIDBytes = 128

// allowedBeforeLogin are the commands that a connection may send before its caller is known.
var allowedBeforeLogin = map[string]bool{"AUTH": true, "HELLO": true, "PING": true, "QUIT": true}

// DefaultTenant is front.Session's.
func (s *session) Tenant() string {
	switch {
	case s.guest != nil:
		return s.guest.Tenant()
	case s.loggedIn && len(s.protocol.cfg.Logins) > 0:
		return s.tenant
	}
	return ""
}

// Crowded is front.Session's, in the words that clients know.
func (*session) TooManyConnections() []byte {
	return resp.AppendError(nil, "ERR max number of clients reached: "+caller.Connections.String())
}

// authenticate logs the connection in, or leaves it as it was.
func (s *session) authenticate(user, password []byte) caller.Reason {
	why := caller.None
	if string(user) == tokenUser {
		why = s.guest.LoginToken(string(password))
	} else {
		why = s.guest.LoginSecret(string(user), password)
	}
	s.throttled = why == caller.Throttled
	return why
}

// wrongPassReply is the answer to a login that failed: the word that clients know, and the reason by its stable name.
func wrongPassReply(why caller.Reason) []byte {
	return resp.AppendError(nil, "WRONGPASS invalid username-password pair or user is disabled: "+why.String())
}

// noAuthReply is the answer to a command of a connection whose caller is not known, or no longer. Those of a connection that never had one
// count towards the few that it may send.
func noAuthReply(why caller.Reason) front.Command {
	if why == caller.NoCaller {
		return front.Command{Text: resp.AppendError(nil, "NOAUTH Authentication required."), Invalid: true}
	}
	return front.Command{Text: resp.AppendError(nil, "NOAUTH Authentication required: "+why.String())}
}

// authorizeKeys gives a command's words with the caller's keys as servers know them, or the answer where the caller may not send it.
func (s *session) authorizeKeys(pass *caller.Identity, c *commandSpec, args [][]byte, class string) (out [][]byte, refused []byte) {
	access := c.access(args)
	out = append(make([][]byte, 0, len(args)), args...)
	for _, i := range c.keyPositions(args) {
		key := string(args[i])
		if again, why := s.guest.Allow(pass, class, key, access); why != caller.None {
			return nil, noPermReply(why, again)
		}
		name, err := s.protocol.cfg.ServerKey(pass, key)
		if err != nil {
			return nil, resp.AppendError(nil, "ERR "+err.Error())
		}
		out[i] = []byte(name)
	}
	return out, nil
}

// noPermReply is the answer to a command that its caller may not send: it has not run.
func noPermReply(why caller.Reason, again float64) []byte {
	if again >= 1 {
		return resp.AppendError(nil, fmt.Sprintf("NOPERM %s, come again after %d ms", why, int64(again)))
	}
	return resp.AppendError(nil, "NOPERM "+why.String())
}
