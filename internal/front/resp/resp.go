// Package resp speaks the cluster dialect of RESP to clients. They see a cluster whose nodes are the
// routers of the tier.
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

// Rule maps commands on keys with a given prefix to a class.
type Rule struct {
	Commands []string // upper-case names; empty = any
	Prefix   string
	Class    string
}

// Login maps a user and password to a tenant.
type Login struct {
	User   string
	SHA256 [32]byte // hash of the password
	Tenant string
}

// Config configures a RESP front end.
type Config struct {
	ReadClass, WriteClass string   // classes of reads and writes that no rule matches
	Rules                 []Rule   // the first match applies
	Logins                []Login  // empty = no AUTH required
	DefaultTenant         string   // tenant of clients that have not logged in
	Peers                 []string // addresses of the tier's routers, by number; empty = only this one
	Self                  int      // number of this router in Peers
	RouterName            string   // name of this router in the fleet view; "" = use Peers
	// Owners returns the IDs of the servers that may serve a slot.
	Owners func(slot int, write bool) []uint32
	// Callers authenticates by AUTH, HELLO or certificate; nil = use Logins.
	Callers front.Authenticator
	// ServerKey translates a caller's key to the key that servers store it under. Both are in the same slot.
	ServerKey func(p *caller.Identity, key string) (string, error)
}

// Protocol implements front.Protocol for RESP.
type Protocol struct {
	cfg      Config
	lastID   atomic.Uint64 // last ID given to a request or connection
	draining atomic.Bool   // whether slots are being handed over
	peers    peers
}

// idleTimeout limits the time between two commands on a connection. It is long because clients keep pools
// of idle connections.
const idleTimeout = 5 * time.Minute

// Idle implements front.Protocol.
func (p *Protocol) Idle() time.Duration { return idleTimeout }

// New returns the protocol for a listener at addr.
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

// Session implements front.Protocol.
func (p *Protocol) Session(peer front.Peer) front.Session {
	return &session{protocol: p, id: p.lastID.Add(1), respVersion: 2, tenant: p.cfg.DefaultTenant, loggedIn: len(p.cfg.Logins) == 0, guest: front.NewConnCaller(p.cfg.Callers, peer)}
}

// Revoked implements front.Session.
func (s *session) Revoked() bool { return s.guest.Revoked() }

// session is the state of one connection. Only the connection's reader uses it.
type session struct {
	protocol    *Protocol
	id          uint64
	cmd         resp.Command
	respVersion int
	tenant      string
	loggedIn    bool // logged in, or no login required
	asking      bool // the next command may address a slot of another router
	name        []byte
	throttled   bool              // the current command was a login, rejected after too many failures
	guest       *front.ConnCaller // authentication state; nil = use Logins
}

// Malformed returns the error reply to malformed input; ok is false if err is another kind of error.
func (s *session) Malformed(err error) ([]byte, bool) {
	if !errors.Is(err, resp.ErrProtocol) {
		return nil, false
	}
	return resp.AppendError(nil, "ERR "+err.Error()), true
}

// Read reads a command and answers it or turns it into a request.
func (s *session) Read(in *bufio.Reader, e *engine.Engine, _ func() bool) (front.Command, error) {
	if s.cmd.Reserve == nil {
		s.cmd.Reserve, s.cmd.Return = e.ReserveValue, e.HeldBytes.Release
	}
	defer s.cmd.Release()
	if err := resp.NewReader(in).ReadCommand(&s.cmd); err != nil {
		return front.Command{}, err
	}
	if s.cmd.Discarded { // many long commands at once must not exhaust memory
		return textReply(refusedReply(0)), nil
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

// commandOptions holds what a client sets for one command with YOKE.
type commandOptions struct {
	class          string
	deadline       float64
	idempotencyKey string // at most one command of a tenant with this key is in flight
}

// maxIdempotencyKeyBytes limits the idempotency key that a client may set.
const maxIdempotencyKeyBytes = 64

// readYoke parses YOKE class=NAME,d=MS,k=KEY COMMAND ..., which sets the class, the deadline in
// milliseconds and the idempotency key of that one command.
func (s *session) readYoke(e *engine.Engine, args [][]byte, asking bool) (front.Command, error) {
	if len(args) < 3 {
		return textReply(resp.AppendError(nil, "ERR wrong number of arguments for 'yoke' command: YOKE class=NAME,d=MS,k=KEY COMMAND ...")), nil
	}
	var opts commandOptions
	for option := range strings.SplitSeq(string(args[1]), ",") {
		k, v, _ := strings.Cut(option, "=")
		switch n, err := strconv.ParseFloat(v, 64); {
		case k == "class" && v != "":
			opts.class = v
		case k == "d" && err == nil && n >= 1 && n < 1e9:
			opts.deadline = n
		case k == "k" && v != "" && len(v) <= maxIdempotencyKeyBytes && !strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }):
			opts.idempotencyKey = v
		default:
			return textReply(resp.AppendError(nil, fmt.Sprintf("ERR yoke: %.40q; class=NAME, d=MS and k=KEY are taken", option))), nil
		}
	}
	rest := args[2:]
	return s.runCommand(e, strings.ToUpper(string(rest[0][:min(len(rest[0]), 32)])), rest, asking, opts)
}

func textReply(b []byte) front.Command { return front.Command{Text: b} }

// runCommand answers a command locally or turns it into a request.
func (s *session) runCommand(e *engine.Engine, name string, args [][]byte, asking bool, opts commandOptions) (front.Command, error) {
	spec := commandSpecs[name]
	switch {
	case spec == nil && unsupportedCommands[name] != "":
		return textReply(resp.AppendError(nil, unsupportedCommands[name])), nil
	case spec == nil:
		return front.Command{Text: resp.AppendError(nil, fmt.Sprintf("ERR unknown command '%.40s'", printable(args[0])))}, nil
	case spec.arity >= 0 && len(args) != spec.arity, len(args) < -spec.arity, spec.keyStep == 2 && len(args)%2 == 0:
		return textReply(resp.AppendError(nil, "ERR wrong number of arguments for '"+strings.ToLower(name)+"' command")), nil
	}
	var pass *caller.Identity
	if s.guest != nil {
		var reason caller.Reason
		if pass, reason = s.guest.Pass(); reason != caller.None && !allowedBeforeLogin[name] {
			return noAuthReply(reason), nil
		}
	}
	switch {
	case !s.loggedIn && name != "AUTH" && name != "HELLO" && name != "QUIT":
		return textReply(resp.AppendError(nil, "NOAUTH Authentication required.")), nil
	case spec.handler != nil:
		s.throttled = false
		reply := spec.handler(s, args)
		return front.Command{Text: reply, End: name == "QUIT" || s.throttled, Delayed: s.throttled, Work: spec.work}, nil
	case !e.Ready():
		return textReply(resp.AppendError(nil, "LOADING the router has no list of servers yet")), nil
	}
	keys := spec.keys(args)
	slot := slots.ForKey(keys[0])
	for _, k := range keys[1:] {
		if slots.ForKey(k) != slot {
			return textReply(resp.AppendError(nil, "CROSSSLOT Keys in request don't hash to the same slot")), nil
		}
	}
	if redirectError := s.protocol.redirect(slot, asking); redirectError != "" {
		return textReply(resp.AppendError(nil, redirectError)), nil
	}
	return s.newRequest(e, spec, args, keys, slot, opts, pass), nil
}

// printable replaces control and non-ASCII characters in client input, so that it cannot break up the reply
// line, and truncates it.
func printable(b []byte) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, string(b[:min(len(b), 40)]))
}

// className returns the class of a command: the one that the client set, that of the first matching rule,
// or the default for reads or writes.
func (s *session) className(spec *commandSpec, key []byte, opts commandOptions) string {
	if opts.class != "" {
		return opts.class
	}
	for _, r := range s.protocol.cfg.Rules {
		matches := len(r.Commands) == 0
		for _, n := range r.Commands {
			matches = matches || n == spec.name
		}
		if matches && bytes.HasPrefix(key, []byte(r.Prefix)) {
			return r.Class
		}
	}
	if spec.write {
		return s.protocol.cfg.WriteClass
	}
	return s.protocol.cfg.ReadClass
}

// newRequest turns a command into an engine request. The request holds a single copy of the arguments.
func (s *session) newRequest(e *engine.Engine, spec *commandSpec, args, keys [][]byte, slot int, opts commandOptions, pass *caller.Identity) front.Command {
	name := s.className(spec, keys[0], opts)
	class, ok := e.Class(name)
	switch {
	case !ok:
		return textReply(resp.AppendError(nil, fmt.Sprintf("ERR unknown class %.40q", name)))
	case class.Effect == decide.Repeatable && !spec.isRepeatable(args):
		return textReply(resp.AppendError(nil, fmt.Sprintf("ERR class %s may run twice, and %s must not: name another class for it", class.Name, spec.name)))
	}
	tenant, generation := s.tenant, uint32(0)
	if pass != nil {
		var errorReply []byte
		if args, errorReply = s.authorizeKeys(pass, spec, args, class.Name); errorReply != nil {
			return textReply(errorReply)
		}
		keys, tenant, generation = spec.keys(args), pass.Tenant.Name, pass.Tenant.Generation
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
	if opts.deadline > 0 {
		deadline = min(deadline, opts.deadline)
	}
	id := "resp " + strconv.FormatUint(s.protocol.lastID.Add(1), 16)
	switch {
	case opts.idempotencyKey != "" && pass != nil:
		id = "resp k " + pass.Space.ID(opts.idempotencyKey, maxIdempotencyIDBytes)
	case opts.idempotencyKey != "":
		id = "resp k " + s.tenant + " " + opts.idempotencyKey
	}
	respVersion := s.respVersion
	return front.Command{OrderKey: slot + 1, Request: &engine.Request{ID: id, ReusableID: true, Class: class.Name, Tenant: tenant, TenantGeneration: generation,
		Key: string(keys[0]), HeldBytes: size, Wait: deadline, Write: spec.write, Owners: s.protocol.cfg.Owners(slot, spec.write), Args: cloneArgs(args, size)},
		Render: func(q *engine.Request, a engine.Answer) []byte { return renderAnswer(a, respVersion) }}
}

// cloneArgs copies the arguments into a single allocation.
func cloneArgs(args [][]byte, size int) [][]byte {
	buf, out := make([]byte, 0, size), make([][]byte, 0, len(args))
	for _, a := range args {
		at := len(buf)
		buf = append(buf, a...)
		out = append(out, buf[at:len(buf):len(buf)])
	}
	return out
}

// refusedReply returns the reply to a refused command. Cluster clients resend by themselves after TRYAGAIN,
// which is harmless for a refusal, and keep their slot map; docs/design/resp.md has the table of errors
// after which each client resends.
func refusedReply(wait float64) []byte {
	if wait < 1 {
		return resp.AppendError(nil, "TRYAGAIN busy")
	}
	return resp.AppendError(nil, fmt.Sprintf("TRYAGAIN busy, come again after %d ms", int64(wait)))
}

// failedReply returns the reply to a failed command, which may have run. Clients do not resend by
// themselves after an ERR error.
func failedReply() []byte {
	return resp.AppendError(nil, "ERR failed: the command may have run")
}

// renderAnswer encodes the final answer to a request.
func renderAnswer(answer engine.Answer, respVersion int) []byte {
	switch answer.Result {
	case engine.Served:
		if answer.Absent {
			return resp.AppendNull(nil, respVersion)
		}
		if r, ok := answer.Content.(*resp.Reply); ok {
			return resp.AppendReply(nil, r, respVersion)
		}
		return resp.AppendBulk(nil, answer.Body)
	case engine.Refused:
		return refusedReply(answer.RetryAfter)
	case engine.Duplicate:
		return resp.AppendError(nil, "ERR doubled: a command with this key is open, and this one has not run")
	}
	return failedReply()
}

// checkPassword looks up a login. It compares in constant time and checks every entry, whichever user is
// given.
func (p *Protocol) checkPassword(user, password []byte) (tenant string, ok bool) {
	sum := sha256.Sum256(password)
	for _, l := range p.cfg.Logins {
		if subtle.ConstantTimeCompare(sum[:], l.SHA256[:])&subtle.ConstantTimeCompare(user, []byte(l.User)) == 1 {
			tenant, ok = l.Tenant, true
		}
	}
	return tenant, ok
}
