// Package meta implements the memcache meta text protocol for connections to cache servers.
package meta

import (
	"bufio"

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

// ReadAnswer reads the answer to a request. Error lines carry no id.
func (Protocol) ReadAnswer(in *bufio.Reader, _ string, r *engine.Request, _ engine.Try, head func()) (engine.Reply, engine.Reuse, error) {
	a, err := meta.ReadAnswer(in, newCommand(r), head) // an invalid answer may still carry a load report
	reply := engine.Reply{Status: statusByKind[a.Kind], Body: a.Body, CacheResult: a.CacheResult, Load: settings.ParseLoad(a.LoadReport)}
	if a.UnreadBytes > 0 {
		reply.UnreadBytes, reply.Trailer = a.UnreadBytes, "\r\n"
	}
	if a.Kind == meta.Busy || a.Kind == meta.Failed {
		return reply, engine.UnnamedError, err
	}
	return reply, engine.Identified, err
}

// Barrier returns nil: no command of the protocol has a reply that repeats an argument.
func (Protocol) Barrier(uint64) []byte { return nil }

// ReadBarrierReply reads nothing, as there is no barrier.
func (Protocol) ReadBarrierReply(*bufio.Reader, uint64) (bool, error) { return false, nil }

// Preamble returns nil: the protocol needs no connection setup.
func (Protocol) Preamble() []byte { return nil }

// ReadPreambleReply reads nothing, as there is no preamble.
func (Protocol) ReadPreambleReply(*bufio.Reader) error { return nil }

// Probe returns the command that requests the load.
func (Protocol) Probe(string) string { return "stats load\r\n" }

// ReadLoad reads the answer to a probe. It names no probe, but a copy can't pass for the answer to a request.
func (Protocol) ReadLoad(in *bufio.Reader) (decide.Load, engine.Reuse, error) {
	report, err := meta.ReadStats(in)
	if err != nil {
		return decide.NoLoad, engine.NoReuse, err
	}
	return settings.ParseLoad(report), engine.Identified, nil
}
