// Package resp implements the RESP client for the servers of a cluster. It sends one command at a time on a
// connection and maps the reply to the outcome of the attempt, including whether the command has run. It
// never follows redirections: a redirection is an outcome, and package decide chooses the next attempt.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"strconv"
	"strings"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/resp"
)

// Topology receives what the error replies of servers reveal about the slots of the cluster.
type Topology interface {
	// HandleMoved applies a permanent redirection (MOVED), and returns the servers that may serve the request
	// now. ok is false if the redirection is rejected.
	HandleMoved(slot int, addr string) (owners []uint32, ok bool)
	// HandleAsk returns the server that a temporary redirection (ASK) names. ok is false if it is rejected.
	HandleAsk(addr string) (owners []uint32, ok bool)
	// RequestRefresh requests a new slot map soon.
	RequestRefresh()
}

// Protocol implements backend.Protocol.
type Protocol struct {
	Cluster  Topology
	User     string // "" = AUTH with the password only
	Password string // "" = no AUTH
	Replicas bool   // replicas may serve reads
	Origin   bool   // an origin stands behind the servers: a key that they don't hold is a miss
}

var askingCommand = resp.AppendCommand(nil, []byte("ASKING"))

// Command returns the bytes of the client's command, preceded by ASKING if the attempt follows an ASK
// redirection. A request of a front end of another protocol becomes a GET or a SET.
func (Protocol) Command(_ string, r *engine.Request, try engine.Try) ([]byte, error) {
	var b []byte
	if try.Asking {
		b = append(b, askingCommand...)
	}
	switch {
	case len(r.Args) > 0:
		return resp.AppendCommand(b, r.Args...), nil
	case r.Key == "":
		return nil, errors.New("no command")
	case r.Write:
		return resp.AppendCommand(b, []byte("SET"), []byte(r.Key), r.Value), nil
	}
	return resp.AppendCommand(b, []byte("GET"), []byte(r.Key)), nil
}

// MaxOriginKey is the maximum length in bytes of a key that is fetched from the origin: the key becomes part
// of a URL.
const MaxOriginKey = 1024

// isMiss reports whether a reply means that the server does not hold a key that the origin may have. Only GET
// can miss; all other commands are answered from the data of the servers alone.
func (p Protocol) isMiss(r *engine.Request, reply *resp.Reply) bool {
	get := len(r.Args) == 0 || len(r.Args) == 2 && strings.EqualFold(string(r.Args[0]), "GET")
	return p.Origin && get && !r.Write && reply.Kind == resp.Null && len(r.Key) <= MaxOriginKey
}

// StoreCommand returns the command that stores a value of the origin for ttlMS milliseconds, unless the key
// exists.
func StoreCommand(key string, value []byte, ttlMS int64) [][]byte {
	return [][]byte{[]byte("SET"), []byte(key), value, []byte("PX"), strconv.AppendInt(nil, ttlMS, 10), []byte("NX")}
}

// okBody is the receipt of a write for front ends of other protocols: the reply of the server.
var okBody = []byte("OK")

// convertReply converts a reply for front ends of other protocols. A reply that is neither a value nor a
// receipt stays in Content: the server has answered, so the attempt does not count against it, and the front
// end reports a failure.
func convertReply(a *engine.Reply, r *engine.Request, reply *resp.Reply) {
	switch a.Content = nil; {
	case r.Write && reply.Kind == resp.Simple:
		a.Body = okBody
	case !r.Write && reply.Kind == resp.Null:
		a.Absent = true
	case !r.Write && reply.Kind == resp.Bulk:
		a.Body = reply.Text
	default:
		a.Content = reply
	}
}

// Preamble returns the commands that start a connection: authentication, and READONLY if replicas may serve
// reads.
func (p Protocol) Preamble() (b []byte) {
	if p.Password != "" {
		args := [][]byte{[]byte("AUTH")}
		if p.User != "" {
			args = append(args, []byte(p.User))
		}
		b = resp.AppendCommand(b, append(args, []byte(p.Password))...)
	}
	if p.Replicas {
		b = resp.AppendCommand(b, []byte("READONLY"))
	}
	return b
}

// ReadPreambleReply reads the replies to the commands of Preamble. It ignores error replies, because the
// command that follows then fails as well.
func (p Protocol) ReadPreambleReply(in *bufio.Reader) error {
	n := 0
	if p.Password != "" {
		n++
	}
	if p.Replicas {
		n++
	}
	for range n {
		if _, err := resp.NewReader(in).ReadReply(); err != nil {
			return err
		}
	}
	return nil
}

// ReadAnswer reads the reply to a command and maps it to the outcome of the attempt. An error means that the
// connection can't be used any more.
func (p Protocol) ReadAnswer(in *bufio.Reader, addr string, q *engine.Request, try engine.Try, head func()) (engine.Reply, engine.Reuse, error) {
	r := resp.NewReader(in)
	if try.Asking {
		if _, err := r.ReadReply(); err != nil {
			return engine.Reply{Load: decide.NoLoad}, engine.NoReuse, err
		}
	}
	r = r.OnHead(head)
	reply, err := r.ReadReply()
	for err == nil && reply.Kind == resp.Push { // unsolicited push message
		reply, err = r.ReadReply()
	}
	if err != nil {
		return engine.Reply{Load: decide.NoLoad}, engine.NoReuse, err
	}
	a := engine.Reply{Status: decide.OK, Load: decide.NoLoad, Content: &reply}
	if reply.IsError() {
		p.applyError(&a, addr, string(reply.Text))
	}
	switch {
	case a.Status != decide.OK:
	case p.isMiss(q, &reply):
		a.Status, a.CacheResult, a.Content = decide.Miss, 2, nil
	case len(q.Args) == 0:
		convertReply(&a, q, &reply)
	}
	return a, engine.Identified, nil
}

// barrierText returns the argument of a barrier, which its reply repeats.
func barrierText(number uint64) []byte { return strconv.AppendUint([]byte("cottonyoke-"), number, 10) }

// Barrier returns an ECHO: replies name no command, and this one repeats its argument.
func (Protocol) Barrier(number uint64) []byte {
	return resp.AppendCommand(nil, []byte("ECHO"), barrierText(number))
}

// ReadBarrierReply reads the reply to Barrier. Servers that are loading or that don't permit ECHO reject it.
func (Protocol) ReadBarrierReply(in *bufio.Reader, number uint64) (bool, error) {
	r := resp.NewReader(in)
	reply, err := r.ReadReply()
	for err == nil && reply.Kind == resp.Push {
		reply, err = r.ReadReply()
	}
	switch {
	case err != nil:
		return false, err
	case reply.IsError():
		return false, nil
	case reply.Kind != resp.Bulk || !bytes.Equal(reply.Text, barrierText(number)):
		return false, errors.New("a reply that belongs to no command")
	}
	return true, nil
}

// Probe returns "", since RESP has no load report.
func (Protocol) Probe(string) string { return "" }

// ReadLoad is never called, since Probe returns "".
func (Protocol) ReadLoad(*bufio.Reader) (decide.Load, engine.Reuse, error) {
	return decide.NoLoad, engine.NoReuse, nil
}

// errorOutcome is the meaning of an error reply.
type errorOutcome struct {
	status     decide.Status
	refreshMap bool // the slot map may be outdated
}

// errorOutcomes maps the error codes that prove that a command did not run
// (redis.io/docs/reference/cluster-spec and the source code of the server). Any other error is the result of
// the command itself, which has run as far as it could, and goes to the client unchanged. Ignored does not
// count against the server; QueueFull means that it can't serve requests at present.
var errorOutcomes = map[string]errorOutcome{
	"TRYAGAIN":    {decide.Ignored, false},   // command with several keys, some of which have moved
	"CLUSTERDOWN": {decide.Ignored, true},    // the slot has no owner, or the cluster is down
	"READONLY":    {decide.Ignored, true},    // write sent to a replica
	"LOADING":     {decide.QueueFull, false}, // loading its data set
	"MASTERDOWN":  {decide.QueueFull, true},  // replica without a connection to its primary
	"BUSY":        {decide.QueueFull, false}, // running a script
	"MISCONF":     {decide.QueueFull, false}, // can't persist data, so rejects writes
	"OOM":         {decide.QueueFull, false}, // out of memory
	"NOREPLICAS":  {decide.QueueFull, false}, // too few replicas to accept writes
	"NOAUTH":      {decide.QueueFull, false}, // the router has not authenticated
	"WRONGPASS":   {decide.QueueFull, false},
	"NOPERM":      {decide.QueueFull, false},
}

// applyError sets the outcome of the attempt for an error reply, and requests a new slot map if necessary.
func (p Protocol) applyError(a *engine.Reply, addr, text string) {
	code, rest, _ := strings.Cut(text, " ")
	if code == "MOVED" || code == "ASK" {
		a.Status, a.Content = decide.Ignored, nil
		p.applyRedirection(a, addr, code, rest)
		return
	}
	v, ok := errorOutcomes[code]
	if !ok {
		return
	}
	a.Status, a.Content = v.status, nil
	if v.refreshMap {
		p.Cluster.RequestRefresh()
	}
}

// applyRedirection applies a redirection "SLOT HOST:PORT"; an omitted host is that of the server at addr.
func (p Protocol) applyRedirection(a *engine.Reply, addr, code, rest string) {
	slotText, target, _ := strings.Cut(rest, " ")
	slot, err := strconv.Atoi(slotText)
	if err != nil || target == "" {
		p.Cluster.RequestRefresh()
		return
	}
	if strings.HasPrefix(target, ":") {
		target = addr[:strings.LastIndexByte(addr, ':')] + target
	}
	if target == addr { // redirection to itself: not usable, a new map may resolve it
		p.Cluster.RequestRefresh()
		return
	}
	var owners []uint32
	ok := false
	if code == "MOVED" {
		owners, ok = p.Cluster.HandleMoved(slot, target)
	} else {
		owners, ok = p.Cluster.HandleAsk(target)
	}
	if ok {
		a.Owners, a.Asking = owners, code == "ASK"
	}
}
