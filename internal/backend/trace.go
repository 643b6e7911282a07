package backend

import (
	"context"
	"log/slog"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
)

// reuseNames are the log names of what an answer allows.
var reuseNames = map[engine.Reuse]string{engine.NoReuse: "none", engine.Identified: "identified", engine.UnnamedError: "unnamed_error", engine.UnnamedAnswer: "unnamed_answer"}

// closeReason is the log name of why a connection to a server is closed.
type closeReason string

// Why connections to servers are closed.
const (
	closeUnused    closeReason = "idle for too long, or made under an earlier TLS configuration"
	closeEvicted   closeReason = "evicted for another connection"
	closeReset     closeReason = "idle connections to the server are closed"
	closeNotReused closeReason = "canceled, or its last answer does not allow another command"
	closeIdleInput closeReason = "it ended, or received input that answers no command"
	closePool      closeReason = "the pool ends"
	closeWrite     closeReason = "a command could not be written whole in time"
)

// tracingEnabled reports whether connections are logged. It is evaluated once per pool, as the check would
// cost time for every command.
func tracingEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceWritten logs that a command is written: number tells whether the connection is new.
func (c *conn) traceWritten(work *task) {
	if c.target.pool.trace {
		slog.Debug("command to a server", "request", work.requestID(), "server", c.target.addr, "connection", c.LocalAddr().String(), "number", work.number)
	}
}

// traceAnswered logs what an answer allows.
func (c *conn) traceAnswered(work *task, reuse engine.Reuse) {
	if c.target.pool.trace {
		slog.Debug("answer of a server", "request", work.requestID(), "server", c.target.addr, "connection", c.LocalAddr().String(), "number", work.number, "reuse", reuseNames[reuse])
	}
}

// traceIncomplete logs an answer that could not be read, or not whole: what had come of it, and since when.
func (c *conn) traceIncomplete(work *task, err error) {
	if !c.target.pool.trace {
		return
	}
	sinceFirst := -1.0
	if !c.answerStart.IsZero() {
		sinceFirst = float64(time.Since(c.answerStart).Microseconds()) / 1000
	}
	slog.Debug("answer of a server is incomplete", "request", work.requestID(), "server", c.target.addr, "connection", c.LocalAddr().String(), "number", work.number,
		"bytes", maxAnswerBytes-c.readBudget, "since_first_byte_ms", sinceFirst, "canceled", c.shut.Load(), "why", err)
}

// closeFor closes the connection and logs why.
func (c *conn) closeFor(reason closeReason) {
	if c.target.pool.trace {
		slog.Debug("connection to a server is closed", "server", c.target.addr, "connection", c.LocalAddr().String(), "why", string(reason))
	}
	c.Close()
}
