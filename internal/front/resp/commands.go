package resp

import (
	"slices"
	"strings"

	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// commandSpec is what is known of a command: as COMMAND tells it, and how safe it is to repeat.
type commandSpec struct {
	name                       string
	arity                      int // words with the name; below 0: at least so many
	firstKey, lastKey, keyStep int // places of the keys
	write                      bool
	repeatable                 bool // running it twice leaves what running it once does, and answers the same
	handler                    func(s *session, args [][]byte) []byte
}

// commandSpecs are the commands that are taken, by name in capitals. Writes that are repeatable answer alike the second time:
// SET without options and MSET do, DEL does not (it answers how many there were), INCR and APPEND never do.
var commandSpecs = map[string]*commandSpec{}

func defineCommands(names string, arity, first, last, step int, write, repeatable bool) {
	for n := range strings.FieldsSeq(names) {
		commandSpecs[n] = &commandSpec{name: n, arity: arity, firstKey: first, lastKey: last, keyStep: step, write: write, repeatable: repeatable}
	}
}

func init() { // a table: Go has no constant maps
	defineCommands("GET STRLEN TTL PTTL EXPIRETIME PEXPIRETIME", 2, 1, 1, 1, false, true)
	defineCommands("MGET EXISTS", -2, 1, -1, 1, false, true)
	defineCommands("SET", -3, 1, 1, 1, true, true) // with options it may not be: see repeatable
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
}

// unsupportedCommands are commands that are known and not taken, and why.
var unsupportedCommands = map[string]string{}

func init() { // as above
	for names, why := range map[string]string{
		"MULTI EXEC DISCARD WATCH UNWATCH":                                                            "transactions are not taken: a router can't hold several commands together",
		"EVAL EVALSHA EVAL_RO EVALSHA_RO FCALL FCALL_RO SCRIPT FUNCTION":                              "scripts are not taken: nobody can tell what running one twice does",
		"SUBSCRIBE PSUBSCRIBE SSUBSCRIBE UNSUBSCRIBE PUNSUBSCRIBE SUNSUBSCRIBE PUBLISH SPUBLISH":      "subscriptions are not taken: connect to a server for them",
		"BLPOP BRPOP BLMOVE BLMPOP BZPOPMIN BZPOPMAX BZMPOP BRPOPLPUSH XREAD XREADGROUP WAIT MONITOR": "blocking commands are not taken: each request has a deadline",
	} {
		for n := range strings.FieldsSeq(names) {
			unsupportedCommands[n] = "ERR " + n + ": " + why
		}
	}
}

// keyPositions are where the keys stand among a command's words.
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

// keys are a command's keys.
func (c *commandSpec) keys(args [][]byte) (out [][]byte) {
	for _, i := range c.keyPositions(args) {
		out = append(out, args[i])
	}
	return out
}

// access is what a command does with its keys. Some writes tell what was there, so they are reads too.
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

// isRepeatable says whether a command with these words may run twice.
func (c *commandSpec) isRepeatable(args [][]byte) bool {
	if c.name != "SET" {
		return c.repeatable
	}
	for _, a := range args[3:] { // NX, XX and GET answer otherwise the second time; EX and the like don't
		switch strings.ToUpper(string(a)) {
		case "NX", "XX", "GET":
			return false
		}
	}
	return true
}

// appendCommandSpec writes an entry of COMMAND's answer: name, arity, flags, first, last, step, and what is empty here.
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
	for range 4 { // categories, tips, key specifications, subcommands
		b = resp.AppendArrayHeader(b, 0)
	}
	return b
}
