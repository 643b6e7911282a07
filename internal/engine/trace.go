package engine

import (
	"context"
	"log/slog"

	"mossproxy.example/mossproxy/decide"
)

// statusNames are what the log calls the ends of attempts.
var statusNames = map[decide.Status]string{decide.OK: "ok", decide.Failed: "failed", decide.QueueFull: "queue_full", decide.TimedOut: "timed_out",
	decide.ConnectError: "connect_error", decide.Reset: "reset", decide.Canceled: "canceled", decide.Ignored: "never_sent", decide.Miss: "miss",
	decide.InvalidAnswer: "spoilt"}

// resultNames are what the log calls final answers.
var resultNames = map[Result]string{Served: "served", Refused: "refused", Failed: "failed", Duplicate: "doubled", ClientGone: "client_gone"}

// tracingEnabled says whether each request is logged. It is looked at once, as what it costs is paid for each event.
func tracingEnabled() bool { return slog.Default().Enabled(context.Background(), slog.LevelDebug) }

// traceTaken logs a request that is taken, with what its client has left in ms.
func (e *Engine) traceTaken(r *request, left float64) {
	if e.traceRequests {
		slog.Debug("request taken", "request", r.ID, "class", r.Class, "wait_ms", r.Wait, "left_ms", left)
	}
}

// traceBegun logs an attempt's first byte, with the deadline that the server is passed.
func (a *attempt) traceBegun(left float64) {
	if a.engine.traceRequests {
		slog.Debug("attempt begun", "request", a.request.ID, "attempt", a.index, "server", a.serverID, "passed_ms", a.passedDeadline, "left_ms", left, "since_decided_ms", a.engine.now()-a.startedAt)
	}
}

// traceEnded logs how an attempt ended: the reason of what is done next.
func (a *attempt) traceEnded(got Reply) {
	if a.engine.traceRequests {
		slog.Debug("attempt ended", "request", a.request.ID, "attempt", a.index, "server", a.serverID, "status", statusNames[got.Status], "may_have_run", a.maybeRan, "took_ms", a.engine.now()-a.startedAt)
	}
}

// traceAnswered logs a final answer and what its last attempt came to.
func (e *Engine) traceAnswered(r *request, answer Answer) {
	if e.traceRequests {
		slog.Debug("request answered", "request", r.ID, "result", resultNames[answer.Result], "attempts", len(r.attempts), "out", r.inFlight, "retry_after_ms", answer.RetryAfter,
			"left_ms", r.deadline-e.now())
	}
}
