// Package resp speaks RESP to the servers of a cluster: one command on one connection, its reply mapped to how the attempt
// ended and whether it has run. A redirection is never followed here: it is an outcome, and the module decides on the next.
package resp

import (
	"bufio"
	"errors"
	"strconv"
	"strings"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/resp"
)

// Topology tells the cluster of what a server said beside an answer.
type Topology interface {
	// HandleMoved takes a redirection for good, and gives the servers that may serve the request now; ok is false where it is not
	// believed.
	HandleMoved(slot int, addr string) (owners []uint32, ok bool)
	// HandleAsk gives the server that an ASK names.
	HandleAsk(addr string) (owners []uint32, ok bool)
	// RequestRefresh asks for a new map soon.
	RequestRefresh()
}

// Protocol is a backend.Protocol.
type Protocol struct {
	Cluster  Topology
	User     string // "" = AUTH with a password alone
	Password string // "" = no AUTH
	Replicas bool   // connections may read from replicas
	Origin   bool   // there is one behind the servers: a key that they lack is a miss
}

var askingCommand = resp.AppendCommand(nil, []byte("ASKING"))

// Command is the client's command, behind ASKING where the server has it by leave. A request of another front is a GET or
// a SET.
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

// MaxOriginKey is the longest key that the origin is asked for, in bytes: it becomes part of an address.
const MaxOriginKey = 1024

// isMiss says whether a reply means that the server lacks a key that the origin may have. Commands other than GET are
// answered by what the servers hold.
func (p Protocol) isMiss(r *engine.Request, got *resp.Reply) bool {
	get := len(r.Args) == 0 || len(r.Args) == 2 && strings.EqualFold(string(r.Args[0]), "GET")
	return p.Origin && get && !r.Write && got.Kind == resp.Null && len(r.Key) <= MaxOriginKey
}

// StoreCommand is the write by which a value of the origin is kept for some ms, only where the key is not there.
func StoreCommand(key string, value []byte, keep int64) [][]byte {
	return [][]byte{[]byte("SET"), []byte(key), value, []byte("PX"), strconv.AppendInt(nil, keep, 10), []byte("NX")}
}

// okBody is what a write of another front gets: the server's word.
var okBody = []byte("OK")

// convertReply puts a reply into the terms of other fronts. What is neither value nor receipt stays as it is: the server has
// answered, so nothing is held against it, and the front can only call it a failure.
func convertReply(a *engine.Reply, r *engine.Request, got *resp.Reply) {
	switch a.Content = nil; {
	case r.Write && got.Kind == resp.Simple:
		a.Body = okBody
	case !r.Write && got.Kind == resp.Null:
		a.Absent = true
	case !r.Write && got.Kind == resp.Bulk:
		a.Body = got.Text
	default:
		a.Content = got
	}
}

// Open says who we are, and that replicas may answer reads.
func (p Protocol) Preamble() (b []byte) {
	if p.Password != "" {
		words := [][]byte{[]byte("AUTH")}
		if p.User != "" {
			words = append(words, []byte(p.User))
		}
		b = resp.AppendCommand(b, append(words, []byte(p.Password))...)
	}
	if p.Replicas {
		b = resp.AppendCommand(b, []byte("READONLY"))
	}
	return b
}

// Opened reads what a server says to Open. An error there shows in the answer to the command behind it too.
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

// Answer reads the reply to a command.
func (p Protocol) ReadAnswer(in *bufio.Reader, addr string, q *engine.Request, try engine.Try) (engine.Reply, bool, error) {
	r := resp.NewReader(in)
	if try.Asking {
		if _, err := r.ReadReply(); err != nil {
			return engine.Reply{Load: decide.NoLoad}, true, err
		}
	}
	got, err := r.ReadReply()
	for err == nil && got.Kind == resp.Push { // news that nobody asked for
		got, err = r.ReadReply()
	}
	if err != nil {
		return engine.Reply{Load: decide.NoLoad}, true, err
	}
	a := engine.Reply{Status: decide.OK, Load: decide.NoLoad, Content: &got}
	if got.IsError() {
		p.applyError(&a, addr, string(got.Text))
	}
	switch {
	case a.Status != decide.OK:
	case p.isMiss(q, &got):
		a.Status, a.CacheResult, a.Content = decide.Miss, 2, nil
	case len(q.Args) == 0:
		convertReply(&a, q, &got)
	}
	return a, false, nil
}

// Probe asks nothing: RESP has no load report.
func (Protocol) Probe(string) string { return "" }

// Load is never read.
func (Protocol) ReadLoad(*bufio.Reader) (decide.Load, error) { return decide.NoLoad, nil }

// Rest is none: a server gives one reply for each command, and one too many shows as input on an idle connection.
func (Protocol) ReuseDelay() time.Duration { return 0 }

// errorOutcome is what an error says.
type errorOutcome struct {
	status     decide.Status
	refreshMap bool // the map may be old
}

// errorOutcomes are the errors that prove that a command did not run (redis.io/docs/reference/cluster-spec, and the server's
// own sources for the words). Any other error is the command's own answer: it was carried out as far as it goes, and the
// client gets it as it is. Ignored says nothing against the server; QueueFull says that it can't serve now.
var errorOutcomes = map[string]errorOutcome{
	"TRYAGAIN":    {decide.Ignored, false},   // several keys, of which some have moved
	"CLUSTERDOWN": {decide.Ignored, true},    // the slot, or the cluster, is without an owner
	"READONLY":    {decide.Ignored, true},    // a write at a replica
	"LOADING":     {decide.QueueFull, false}, // it reads its data
	"MASTERDOWN":  {decide.QueueFull, true},  // a replica that has lost its primary
	"BUSY":        {decide.QueueFull, false}, // a script runs
	"MISCONF":     {decide.QueueFull, false}, // it can't save, so it takes no writes
	"OOM":         {decide.QueueFull, false}, // and no more memory
	"NOREPLICAS":  {decide.QueueFull, false},
	"NOAUTH":      {decide.QueueFull, false}, // our password is missing
	"WRONGPASS":   {decide.QueueFull, false},
	"NOPERM":      {decide.QueueFull, false},
}

// applyError books what an error says of the attempt.
func (p Protocol) applyError(a *engine.Reply, addr, text string) {
	word, rest, _ := strings.Cut(text, " ")
	if word == "MOVED" || word == "ASK" {
		a.Status, a.Content = decide.Ignored, nil
		p.applyRedirection(a, addr, word, rest)
		return
	}
	v, ok := errorOutcomes[word]
	if !ok {
		return
	}
	a.Status, a.Content = v.status, nil
	if v.refreshMap {
		p.Cluster.RequestRefresh()
	}
}

// applyRedirection books a redirection: "SLOT HOST:PORT", where a host that is left out is the server's own.
func (p Protocol) applyRedirection(a *engine.Reply, addr, word, rest string) {
	n, to, _ := strings.Cut(rest, " ")
	slot, err := strconv.Atoi(n)
	if err != nil || to == "" {
		p.Cluster.RequestRefresh()
		return
	}
	if strings.HasPrefix(to, ":") {
		to = addr[:strings.LastIndexByte(addr, ':')] + to
	}
	if to == addr { // to itself: it does not know what it says, and a new map may
		p.Cluster.RequestRefresh()
		return
	}
	var owners []uint32
	ok := false
	if word == "MOVED" {
		owners, ok = p.Cluster.HandleMoved(slot, to)
	} else {
		owners, ok = p.Cluster.HandleAsk(to)
	}
	if ok {
		a.Owners, a.Asking = owners, word == "ASK"
	}
}
