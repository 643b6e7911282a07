package resp

import (
	"slices"
	"strings"

	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// commandSpec describes a command: what COMMAND reports about it and whether it is safe to repeat.
type commandSpec struct {
	name                       string
	arity                      int // number of arguments including the name; negative: the minimum
	firstKey, lastKey, keyStep int // positions of the keys, as in COMMAND
	write                      bool
	repeatable                 bool // running it twice has the same effect and reply as running it once
	handler                    func(s *session, args [][]byte) []byte
	work                       int // see front.Command.Work
}

// commandSpecs holds the supported commands by upper-case name. A repeatable write gives the same reply the
// second time: SET without options and MSET do; DEL does not, because it returns how many keys existed;
// INCR and APPEND never do.
var commandSpecs = map[string]*commandSpec{}

func defineCommands(names string, arity, first, last, step int, write, repeatable bool) {
	for n := range strings.FieldsSeq(names) {
		commandSpecs[n] = &commandSpec{name: n, arity: arity, firstKey: first, lastKey: last, keyStep: step, write: write, repeatable: repeatable}
	}
}

func init() { // fills the table, as Go has no constant maps
	defineCommands("GET STRLEN TTL PTTL EXPIRETIME PEXPIRETIME", 2, 1, 1, 1, false, true)
	defineCommands("MGET EXISTS", -2, 1, -1, 1, false, true)
	defineCommands("SET", -3, 1, 1, 1, true, true) // not with every option: see isRepeatable
	defineCommands("MSET", -3, 1, -1, 2, true, true)
	defineCommands("SETEX PSETEX", 4, 1, 1, 1, true, true)
	defineCommands("SETNX GETSET APPEND INCRBY DECRBY INCRBYFLOAT", 3, 1, 1, 1, true, false)
	defineCommands("GETDEL INCR DECR PERSIST", 2, 1, 1, 1, true, false)
	defineCommands("GETEX", -2, 1, 1, 1, true, false)
	defineCommands("DEL UNLINK", -2, 1, -1, 1, true, false)
	defineCommands("EXPIRE PEXPIRE EXPIREAT PEXPIREAT", -3, 1, 1, 1, true, false)
	for name, f := range map[string]func(*session, [][]byte) []byte{"PING": handlePing, "ECHO": handleEcho, "HELLO": handleHello, "AUTH": handleAuth, "SELECT": handleSelect,
		"CLIENT": handleClient, "COMMAND": handleCommand, "INFO": handleInfo, "READONLY": replyOK, "READWRITE": replyOK, "ASKING": handleAsking, "CLUSTER": handleCluster, "QUIT": replyOK} {
		commandSpecs[name] = &commandSpec{name: name, arity: -1, handler: f}
	}
	commandSpecs["ECHO"].arity, commandSpecs["SELECT"].arity, commandSpecs["AUTH"].arity = 2, 2, -2
	commandSpecs["CLUSTER"].arity, commandSpecs["CLIENT"].arity = -2, -2
	commandSpecs["AUTH"].work, commandSpecs["HELLO"].work = front.LoginUnits, front.LoginUnits
}

// unsupportedCommands maps the names of known but unsupported commands to their error replies.
var unsupportedCommands = map[string]string{}

func init() { // fills the table, as Go has no constant maps
	for names, reason := range map[string]string{
		"MULTI EXEC DISCARD WATCH UNWATCH":                                                            "transactions are not taken: a router can't hold several commands together",
		"EVAL EVALSHA EVAL_RO EVALSHA_RO FCALL FCALL_RO SCRIPT FUNCTION":                              "scripts are not taken: nobody can tell what running one twice does",
		"SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE SUNSUBSCRIBE PUBLISH SPUBLISH":      "subscriptions are not taken: connect to a server for them",
		"BLPOP BRPOP BLMOVE BLMPOP BZPOPMIN BZPOPMAX BZMPOP BRPOPLPUSH XREAD XREADGROUP WAIT MONITOR": "blocking commands are not taken: each request has a deadline",
	} {
		for n := range strings.FieldsSeq(names) {
			unsupportedCommands[n] = "ERR " + n + ": " + reason
		}
	}
}

// keyPositions returns the indexes of the keys in the command's arguments.
func (c *commandSpec) keyPositions(args [][]byte) (out []int) {
	last := c.lastKey
	if last < 0 {
		last += len(args)
	}
	for i := c.firstKey; i > 0 && i <= last && i < len(args); i += c.keyStep {
		out = append(out, i)
	}
	return out
}

// keys returns the keys in the command's arguments.
func (c *commandSpec) keys(args [][]byte) (out [][]byte) {
	for _, i := range c.keyPositions(args) {
		out = append(out, args[i])
	}
	return out
}

// access returns how the command accesses its keys. Writes that return the previous or resulting value also
// need read access.
func (c *commandSpec) access(args [][]byte) caller.Access {
	switch {
	case !c.write:
		return caller.Read
	case slices.Contains([]string{"GETSET", "GETDEL", "GETEX", "INCR", "DECR", "INCRBY", "DECRBY", "INCRBYFLOAT"}, c.name):
		return caller.ReadWrite
	case c.name == "SET":
		for _, a := range args[3:] {
			if strings.EqualFold(string(a), "GET") {
				return caller.ReadWrite
			}
		}
	}
	return caller.Write
}

// isRepeatable reports whether the command with these arguments may run twice.
func (c *commandSpec) isRepeatable(args [][]byte) bool {
	if c.name != "SET" {
		return c.repeatable
	}
	// NX, XX and GET reply differently the second time; EX and similar options do not.
	for _, a := range args[3:] {
		switch strings.ToUpper(string(a)) {
		case "NX", "XX", "GET":
			return false
		}
	}
	return true
}

// appendCommandSpec appends one entry of the COMMAND reply: name, arity, flags, first key, last key, step,
// and four lists that are always empty.
func appendCommandSpec(b []byte, c *commandSpec) []byte {
	flags := []string{"fast"}
	switch {
	case c.write:
		flags = append(flags, "write")
	case c.firstKey > 0:
		flags = append(flags, "readonly")
	}
	b = resp.AppendArrayHeader(b, 10)
	b = resp.AppendBulk(b, []byte(strings.ToLower(c.name)))
	b = resp.AppendInt(b, int64(c.arity))
	b = resp.AppendArrayHeader(b, len(flags))
	for _, f := range flags {
		b = resp.AppendSimple(b, f)
	}
	b = resp.AppendInt(resp.AppendInt(resp.AppendInt(b, int64(c.firstKey)), int64(c.lastKey)), int64(c.keyStep))
	for range 4 { // ACL categories, tips, key specifications, subcommands
		b = resp.AppendArrayHeader(b, 0)
	}
	return b
}
