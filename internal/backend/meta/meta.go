// Package meta speaks the memcache meta text protocol to cache servers.
package meta

import (
	"bufio"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/settings"
)

// Protocol is a backend.Protocol.
type Protocol struct{}

// newCommand is a request in the protocol's terms.
func newCommand(r *engine.Request) *meta.Command {
	verb := "mg"
	if r.Write {
		verb = "ms"
	}
	return &meta.Command{Verb: verb, Key: r.Key, ID: r.ID, Facts: r.Facts, Value: r.Value}
}

// Command is the request as a cache server gets it: as it came, but for the deadline.
func (Protocol) Command(_ string, r *engine.Request, try engine.Try) ([]byte, error) {
	return newCommand(r).Append(nil, try.DeadlineMS), nil
}

// statusByKind of the answers.
var statusByKind = map[meta.Kind]decide.Status{meta.Done: decide.OK, meta.Miss: decide.Miss, meta.Busy: decide.QueueFull, meta.Failed: decide.Failed}

// Answer reads the answer to a request.
func (Protocol) ReadAnswer(in *bufio.Reader, _ string, r *engine.Request, _ engine.Try) (engine.Reply, bool, error) {
	a, err := meta.ReadAnswer(in, newCommand(r)) // an answer that can't be used may still tell the load
	reply := engine.Reply{Status: statusByKind[a.Kind], Body: a.Body, CacheResult: a.CacheResult, Load: settings.ParseLoad(a.LoadReport)}
	if a.UnreadBytes > 0 {
		reply.UnreadBytes, reply.Trailer = a.UnreadBytes, "\r\n"
	}
	return reply, false, err
}

// Open writes nothing: a connection is used as it is.
func (Protocol) Preamble() []byte { return nil }

// Opened reads nothing.
func (Protocol) ReadPreambleReply(*bufio.Reader) error { return nil }

// Probe asks for the load.
func (Protocol) Probe(string) string { return "stats load\r\n" }

// Load reads the load.
func (Protocol) ReadLoad(in *bufio.Reader) (decide.Load, error) {
	report, err := meta.ReadStats(in)
	if err != nil {
		return decide.NoLoad, err
	}
	return settings.ParseLoad(report), nil
}

// Rest is none: answers carry the id of their request.
func (Protocol) ReuseDelay() time.Duration { return 0 }
