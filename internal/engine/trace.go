package engine

import (
	"context"
	"log/slog"

	"mossproxy.example/mossproxy/decide"
)

// statusNames are the log names of the results of attempts.
var statusNames = map[decide.Status]string{decide.OK: "ok", decide.Failed: "failed", decide.QueueFull: "queue_full", decide.TimedOut: "timed_out",
	decide.ConnectError: "connect_error", decide.Reset: "reset", decide.Canceled: "canceled", decide.Ignored: "never_sent", decide.Miss: "miss",
	decide.InvalidAnswer: "spoilt"}

// resultNames are the log names of final answers.
var resultNames = map[Result]string{Served: "served", Refused: "refused", Failed: "failed", Duplicate: "doubled", ClientGone: "client_gone"}

// tracingEnabled reports whether each request is logged. It is evaluated once per engine, as the check would
// cost time for every event.
func tracingEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceTaken logs an accepted request with what its client has left, in ms.
func (e *Engine) traceTaken(r *request, remaining float64) {
	if e.traceRequests {
		slog.Debug("request taken", "request", r.ID, "class", r.Class, "wait_ms", r.Wait, "left_ms", remaining)
	}
}

// traceBegun logs that an attempt begins, with the deadline passed to the server.
func (a *attempt) traceBegun(remaining float64) {
	if a.engine.traceRequests {
		slog.Debug("attempt begun", "request", a.request.ID, "attempt", a.index, "server", a.serverID, "passed_ms", a.passedDeadline, "left_ms", remaining, "since_decided_ms", a.engine.now()-a.startedAt)
	}
}

// traceEnded logs the result of an attempt, which explains the next decision.
func (a *attempt) traceEnded(reply Reply) {
	if a.engine.traceRequests {
		slog.Debug("attempt ended", "request", a.request.ID, "attempt", a.index, "server", a.serverID, "status", statusNames[reply.Status], "may_have_run", a.maybeRan, "took_ms", a.engine.now()-a.startedAt)
	}
}

// cancelReason is the log name of why an attempt is canceled.
type cancelReason string

// Why attempts are canceled.
const (
	cancelDecided    cancelReason = "decided: stalled, overtaken, or its request has its final answer"
	cancelClientLeft cancelReason = "the client has disconnected"
)

// traceCanceled logs that an attempt is canceled, and what its client has left.
func (a *attempt) traceCanceled(reason cancelReason) {
	if a.engine.traceRequests {
		now := a.engine.now()
		slog.Debug("attempt canceled", "request", a.request.ID, "attempt", a.index, "server", a.serverID, "why", string(reason), "after_ms", now-a.startedAt, "left_ms", a.request.deadline-now)
	}
}

// traceStalled logs that nothing more of an answer comes.
func (a *attempt) traceStalled(since float64) {
	if a.engine.traceRequests {
		slog.Debug("answer stalled", "request", a.request.ID, "attempt", a.index, "server", a.serverID, "since_ms", since, "left_ms", a.request.deadline-a.engine.now())
	}
}

// traceAnswered logs a final answer with the number of attempts.
func (e *Engine) traceAnswered(r *request, answer Answer) {
	if e.traceRequests {
		slog.Debug("request answered", "request", r.ID, "result", resultNames[answer.Result], "attempts", len(r.attempts), "out", r.inFlight, "retry_after_ms", answer.RetryAfter,
			"left_ms", r.deadline-e.now())
	}
}
