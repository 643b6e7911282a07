// Package meta implements the memcache meta text protocol for connections to cache servers.
package meta

import (
	"bufio"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/meta"
	"mossproxy.example/mossproxy/internal/settings"
)

// Protocol implements backend.Protocol.
type Protocol struct{}

// newCommand converts a request to a meta command.
func newCommand(r *engine.Request) *meta.Command {
	verb := "mg"
	if r.Write {
		verb = "ms"
	}
	return &meta.Command{Verb: verb, Key: r.Key, ID: r.ID, Facts: r.Facts, Value: r.Value}
}

// Command encodes a request as the client sent it, except for the deadline, which is that of the attempt.
func (Protocol) Command(_ string, r *engine.Request, try engine.Try) ([]byte, error) {
	return newCommand(r).Append(nil, try.DeadlineMS), nil
}

// statusByKind maps the kind of an answer to the status of the attempt.
var statusByKind = map[meta.Kind]decide.Status{meta.Done: decide.OK, meta.Miss: decide.Miss, meta.Busy: decide.QueueFull, meta.Failed: decide.Failed}

// ReadAnswer reads the answer to a request.
func (Protocol) ReadAnswer(in *bufio.Reader, _ string, r *engine.Request, _ engine.Try) (engine.Reply, bool, error) {
	a, err := meta.ReadAnswer(in, newCommand(r)) // an invalid answer may still carry a load report
	reply := engine.Reply{Status: statusByKind[a.Kind], Body: a.Body, CacheResult: a.CacheResult, Load: settings.ParseLoad(a.LoadReport)}
	if a.UnreadBytes > 0 {
		reply.UnreadBytes, reply.Trailer = a.UnreadBytes, "\r\n"
	}
	return reply, false, err
}

// Preamble returns nil: the protocol needs no connection setup.
func (Protocol) Preamble() []byte { return nil }

// ReadPreambleReply reads nothing, as there is no preamble.
func (Protocol) ReadPreambleReply(*bufio.Reader) error { return nil }

// Probe returns the command that requests the load.
func (Protocol) Probe(string) string { return "stats load\r\n" }

// ReadLoad reads the answer to a probe.
func (Protocol) ReadLoad(in *bufio.Reader) (decide.Load, error) {
	report, err := meta.ReadStats(in)
	if err != nil {
		return decide.NoLoad, err
	}
	return settings.ParseLoad(report), nil
}

// ReuseDelay returns 0: answers carry the id of their request, so a duplicate is recognized.
func (Protocol) ReuseDelay() time.Duration { return 0 }
