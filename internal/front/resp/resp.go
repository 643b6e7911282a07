// Package resp speaks the cluster dialect of RESP to clients: they see a cluster whose nodes are the routers of the tier.
package resp

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/slots"
)

// Rule maps commands on keys with a prefix to a class.
type Rule struct {
	Commands []string // names in capitals; empty = any
	Prefix   string
	Class    string
}

// Login is a user's way to a tenant.
type Login struct {
	User   string
	SHA256 [32]byte // of the password
	Tenant string
}

// Config is what a RESP front works by.
type Config struct {
	ReadClass, WriteClass string   // classes of what no rule maps: reads, and writes
	Rules                 []Rule   // the first that fits counts
	Logins                []Login  // empty: no AUTH is asked for
	DefaultTenant         string   // of clients that have not logged in
	Peers                 []string // addresses of the routers of the tier, by number; empty = this one alone
	Self                  int
	RouterName            string                              // by which a view of the fleet names this router; "" = Peers count
	Owners                func(slot int, write bool) []uint32 // who may serve a slot
	Callers               front.Authenticator                 // settles who calls, by AUTH, HELLO or certificate; nil = Logins say
	// ServerKey is a caller's key as servers know it, in the slot that the caller's own key has.
	ServerKey func(p *caller.Identity, key string) (string, error)
}

// Protocol is a front.Protocol.
type Protocol struct {
	cfg      Config
	lastID   atomic.Uint64 // of requests and connections
	draining atomic.Bool   // slots are handed on
	peers    peers
}

// idleTimeout is how long a connection may stand between two commands: clients keep pools of them for long.
const idleTimeout = 5 * time.Minute

// Idle is front.Protocol's.
func (p *Protocol) Idle() time.Duration { return idleTimeout }

// New is the protocol of a listener at an address.
func New(cfg Config, addr string) *Protocol {
	p := &Protocol{cfg: cfg}
	switch {
	case cfg.RouterName != "":
		p.peers.initFromView(cfg.RouterName, addr)
	case len(cfg.Peers) == 0:
		p.cfg.Self = 0
		p.peers.initNumbered([]string{addr}, 0)
	default:
		p.peers.initNumbered(cfg.Peers, cfg.Self)
	}
	return p
}

// Session is a client's connection.
func (p *Protocol) Session(peer front.Peer) front.Session {
	return &session{protocol: p, id: p.lastID.Add(1), respVersion: 2, tenant: p.cfg.DefaultTenant, loggedIn: len(p.cfg.Logins) == 0, guest: front.NewConnCaller(p.cfg.Callers, peer)}
}

// Withdrawn is front.Session's.
func (s *session) Revoked() bool { return s.guest.Revoked() }

// session is what one connection has set. Only its reader uses it.
type session struct {
	protocol    *Protocol
	id          uint64
	cmd         resp.Command
	respVersion int
	tenant      string
	loggedIn    bool // logged in, or nobody has to
	asking      bool // the next command may be for a slot of another router
	name        []byte
	throttled   bool              // the command that is answered is one of a flood
	guest       *front.ConnCaller // nil = nobody is asked who calls beyond Logins
}

// Malformed is the answer to input that makes no sense.
func (s *session) Malformed(err error) ([]byte, bool) {
	if !errors.Is(err, resp.ErrProtocol) {
		return nil, false
	}
	return resp.AppendError(nil, "ERR "+err.Error()), true
}

// ReadClass reads a command.
func (s *session) Read(in *bufio.Reader, e *engine.Engine, _ func() bool) (front.Command, error) {
	if err := resp.NewReader(in).ReadCommand(&s.cmd); err != nil {
		return front.Command{}, err
	}
	args := s.cmd.Args
	if len(args) == 0 {
		return front.Command{}, nil
	}
	name := strings.ToUpper(string(args[0][:min(len(args[0]), 32)]))
	asking := s.asking
	s.asking = false
	if name == "YOKE" {
		if isStateCommand(args) {
			return textReply(s.stateReply(e)), nil
		}
		return s.readYoke(e, args, asking)
	}
	return s.runCommand(e, name, args, asking, commandOptions{})
}

// commandOptions are what a client says of one command by YOKE.
type commandOptions struct {
	class          string
	deadline       float64
	idempotencyKey string // no two commands of a tenant with the same are open at once
}

// maxIdempotencyKeyBytes bounds an idempotency key.
const maxIdempotencyKeyBytes = 64

// readYoke reads YOKE class=NAME,d=MS,k=KEY COMMAND ...: the class, the deadline and the key of that one command.
func (s *session) readYoke(e *engine.Engine, args [][]byte, asking bool) (front.Command, error) {
	if len(args) < 3 {
		return textReply(resp.AppendError(nil, "ERR wrong number of arguments for 'yoke' command: YOKE class=NAME,d=MS,k=KEY COMMAND ...")), nil
	}
	var f commandOptions
	for part := range strings.SplitSeq(string(args[1]), ",") {
		k, v, _ := strings.Cut(part, "=")
		switch n, err := strconv.ParseFloat(v, 64); {
		case k == "class" && v != "":
			f.class = v
		case k == "d" && err == nil && n >= 1 && n < 1e9:
			f.deadline = n
		case k == "k" && v != "" && len(v) <= maxIdempotencyKeyBytes && !strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }):
			f.idempotencyKey = v
		default:
			return textReply(resp.AppendError(nil, fmt.Sprintf("ERR yoke: %.40q; class=NAME, d=MS and k=KEY are taken", part))), nil
		}
	}
	rest := args[2:]
	return s.runCommand(e, strings.ToUpper(string(rest[0][:min(len(rest[0]), 32)])), rest, asking, f)
}

func textReply(b []byte) front.Command { return front.Command{Text: b} }

// runCommand answers a command, or makes a request of it.
func (s *session) runCommand(e *engine.Engine, name string, args [][]byte, asking bool, f commandOptions) (front.Command, error) {
	c := commandSpecs[name]
	switch {
	case c == nil && unsupportedCommands[name] != "":
		return textReply(resp.AppendError(nil, unsupportedCommands[name])), nil
	case c == nil:
		return front.Command{Text: resp.AppendError(nil, fmt.Sprintf("ERR unknown command '%.40s'", printable(args[0])))}, nil
	case c.arity >= 0 && len(args) != c.arity, len(args) < -c.arity, c.keyStep == 2 && len(args)%2 == 0:
		return textReply(resp.AppendError(nil, "ERR wrong number of arguments for '"+strings.ToLower(name)+"' command")), nil
	}
	var pass *caller.Identity
	if s.guest != nil {
		var why caller.Reason
		if pass, why = s.guest.Pass(); why != caller.None && !allowedBeforeLogin[name] {
			return noAuthReply(why), nil
		}
	}
	switch {
	case !s.loggedIn && name != "AUTH" && name != "HELLO" && name != "QUIT":
		return textReply(resp.AppendError(nil, "NOAUTH Authentication required.")), nil
	case c.handler != nil:
		s.throttled = false
		answer := c.handler(s, args)
		return front.Command{Text: answer, End: name == "QUIT" || s.throttled, Delayed: s.throttled}, nil
	case !e.Ready():
		return textReply(resp.AppendError(nil, "LOADING the router has no list of servers yet")), nil
	}
	keys := c.keys(args)
	slot := slots.ForKey(keys[0])
	for _, k := range keys[1:] {
		if slots.ForKey(k) != slot {
			return textReply(resp.AppendError(nil, "CROSSSLOT Keys in request don't hash to the same slot")), nil
		}
	}
	if to := s.protocol.redirect(slot, asking); to != "" {
		return textReply(resp.AppendError(nil, to)), nil
	}
	return s.newRequest(e, c, args, keys, slot, f, pass), nil
}

// printable keeps what a client has sent from breaking a line.
func printable(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, string(b[:min(len(b), 40)]))
}

// className is the class of a command: the client's word, a rule's, or the usual one.
func (s *session) className(c *commandSpec, key []byte, f commandOptions) string {
	if f.class != "" {
		return f.class
	}
	for _, r := range s.protocol.cfg.Rules {
		named := len(r.Commands) == 0
		for _, n := range r.Commands {
			named = named || n == c.name
		}
		if named && bytes.HasPrefix(key, []byte(r.Prefix)) {
			return r.Class
		}
	}
	if c.write {
		return s.protocol.cfg.WriteClass
	}
	return s.protocol.cfg.ReadClass
}

// newRequest makes a request of a command. What is kept of it is one copy of its words.
func (s *session) newRequest(e *engine.Engine, c *commandSpec, args, keys [][]byte, slot int, f commandOptions, pass *caller.Identity) front.Command {
	name := s.className(c, keys[0], f)
	class, ok := e.Class(name)
	switch {
	case !ok:
		return textReply(resp.AppendError(nil, fmt.Sprintf("ERR unknown class %.40q", name)))
	case class.Effect == decide.Repeatable && !c.isRepeatable(args):
		return textReply(resp.AppendError(nil, fmt.Sprintf("ERR class %s may run twice, and %s must not: name another class for it", class.Name, c.name)))
	}
	tenant, generation := s.tenant, uint32(0)
	if pass != nil {
		var refused []byte
		if args, refused = s.authorizeKeys(pass, c, args, class.Name); refused != nil {
			return textReply(refused)
		}
		keys, tenant, generation = c.keys(args), pass.Tenant.Name, pass.Tenant.Generation
	}
	size := 0
	for _, a := range args {
		size += len(a)
	}
	if !e.ReserveValue(size) {
		e.CountRejected(class.Name)
		return textReply(refusedReply(0))
	}
	deadline := class.Deadline
	if f.deadline > 0 {
		deadline = min(deadline, f.deadline)
	}
	id := "resp " + strconv.FormatUint(s.protocol.lastID.Add(1), 16)
	switch {
	case f.idempotencyKey != "" && pass != nil:
		id = "resp k " + pass.Space.ID(f.idempotencyKey, maxIdempotencyIDBytes)
	case f.idempotencyKey != "":
		id = "resp k " + s.tenant + " " + f.idempotencyKey
	}
	proto := s.respVersion
	return front.Command{OrderKey: slot + 1, Request: &engine.Request{ID: id, Class: class.Name, Tenant: tenant, TenantGeneration: generation,
		Key: string(keys[0]), HeldBytes: size, Wait: deadline, Write: c.write, Owners: s.protocol.cfg.Owners(slot, c.write), Args: cloneArgs(args, size)},
		Render: func(q *engine.Request, a engine.Answer) []byte { return renderAnswer(a, proto) }}
}

// cloneArgs copies words into one piece of memory.
func cloneArgs(args [][]byte, size int) [][]byte {
	buf, out := make([]byte, 0, size), make([][]byte, 0, len(args))
	for _, a := range args {
		at := len(buf)
		buf = append(buf, a...)
		out = append(out, buf[at:len(buf):len(buf)])
	}
	return out
}

// refusedReply is a refusal. Clients of the cluster dialect resend by themselves after TRYAGAIN, which is harmless here, and
// keep their map of slots; docs/design/resp.md has the table of what each resends after.
func refusedReply(wait float64) []byte {
	if wait < 1 {
		return resp.AppendError(nil, "TRYAGAIN busy")
	}
	return resp.AppendError(nil, fmt.Sprintf("TRYAGAIN busy, come again after %d ms", int64(wait)))
}

// failedReply promises nothing. No client resends by itself after an error of the word ERR.
func failedReply() []byte {
	return resp.AppendError(nil, "ERR failed: the command may have run")
}

// renderAnswer is the final answer to a request.
func renderAnswer(a engine.Answer, proto int) []byte {
	switch a.Result {
	case engine.Served:
		if a.Absent {
			return resp.AppendNull(nil, proto)
		}
		if r, ok := a.Content.(*resp.Reply); ok {
			return resp.AppendReply(nil, r, proto)
		}
		return resp.AppendBulk(nil, a.Body)
	case engine.Refused:
		return refusedReply(a.RetryAfter)
	case engine.Duplicate:
		return resp.AppendError(nil, "ERR doubled: a command with this key is open, and this one has not run")
	}
	return failedReply()
}

// checkPassword checks a password in constant time, whatever user is named.
func (p *Protocol) checkPassword(user, password []byte) (tenant string, ok bool) {
	sum := sha256.Sum256(password)
	for _, l := range p.cfg.Logins {
		if subtle.ConstantTimeCompare(sum[:], l.SHA256[:])&subtle.ConstantTimeCompare(user, []byte(l.User)) == 1 {
			tenant, ok = l.Tenant, true
		}
	}
	return tenant, ok
}
