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

// command is a request in the protocol's terms.
func command(r *engine.Request) *meta.Command {
	verb := "mg"
	if r.Write {
		verb = "ms"
	}
	return &meta.Command{Verb: verb, Key: r.Key, ID: r.ID, Facts: r.Facts, Value: r.Value}
}

// Command is the request as a cache server gets it: as it came, but for the deadline.
func (Protocol) Command(_ string, r *engine.Request, try engine.Try) ([]byte, error) {
	return command(r).Append(nil, try.DeadlineMS), nil
}

// statuses of the answers.
var statuses = map[meta.Kind]decide.Status{meta.Done: decide.OK, meta.Miss: decide.Miss, meta.Busy: decide.QueueFull, meta.Failed: decide.Failed}

// Answer reads the answer to a request.
func (Protocol) Answer(in *bufio.Reader, _ string, r *engine.Request, _ engine.Try) (engine.Reply, bool, error) {
	a, err := meta.ReadAnswer(in, command(r)) // an answer that can't be used may still tell the load
	reply := engine.Reply{Status: statuses[a.Kind], Body: a.Body, CacheResult: a.CacheResult, Load: settings.ParseLoad(a.LoadReport)}
	if a.UnreadBytes > 0 {
		reply.UnreadBytes, reply.Trailer = a.UnreadBytes, "\r\n"
	}
	return reply, false, err
}

// Open writes nothing: a connection is used as it is.
func (Protocol) Open() []byte { return nil }

// Opened reads nothing.
func (Protocol) Opened(*bufio.Reader) error { return nil }

// Probe asks for the load.
func (Protocol) Probe(string) string { return "stats load\r\n" }

// Load reads the load.
func (Protocol) Load(in *bufio.Reader) (decide.Load, error) {
	report, err := meta.ReadStats(in)
	if err != nil {
		return decide.NoLoad, err
	}
	return settings.ParseLoad(report), nil
}

// Rest is none: answers carry the id of their request.
func (Protocol) Rest() time.Duration { return 0 }
