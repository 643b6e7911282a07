package backend

import (
	"bufio"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
)

// Protocol is the protocol of a server. Its methods may be called from any goroutine.
type Protocol interface {
	// Command encodes the request of an attempt. It is called once the connection is open. An error means
	// that the protocol cannot express the request; nothing has been written then.
	Command(addr string, r *engine.Request, try engine.Try) ([]byte, error)
	// ReadAnswer reads the answer to a command. It calls head once what comes ahead of a value is read and
	// fits the request: the rest of such an answer may come slowly. If err is not nil, the connection is closed.
	ReadAnswer(in *bufio.Reader, addr string, r *engine.Request, try engine.Try, head func()) (a engine.Reply, reuse engine.Reuse, err error)
	// Barrier returns a command that is written behind the command of an attempt and whose reply repeats the
	// given number; nil = the protocol has none. As servers answer in order, a reply to it that follows an
	// answer proves that the answer is not a copy of an earlier one.
	Barrier(number uint64) []byte
	// ReadBarrierReply reads the reply to Barrier. It reports false if the server rejects the command, and
	// returns an error for any other reply than the expected one.
	ReadBarrierReply(in *bufio.Reader, number uint64) (bool, error)
	// Preamble returns what is written ahead of the first command of a connection; ReadPreambleReply reads
	// the reply to it.
	Preamble() []byte
	ReadPreambleReply(in *bufio.Reader) error
	// Probe returns the command that requests the load; "" = the protocol has none.
	Probe(addr string) string
	// ReadLoad reads the answer to a probe.
	ReadLoad(in *bufio.Reader) (decide.Load, engine.Reuse, error)
}
