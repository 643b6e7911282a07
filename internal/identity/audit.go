package identity

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// maxAuditRecordsPerSecond bounds the records of one kind of event with one reason, a second.
const maxAuditRecordsPerSecond = 20

// Audit keeps a record of each login and refusal. In a storm some of each kind are written, and how many were not. It never sees a
// secret, a token or a key of a value, so it can't show one.
type Audit struct {
	log     *slog.Logger
	now     func() float64
	mu      sync.Mutex
	sampler *caller.Sampler
}

// NewAudit writes to a logger.
func NewAudit(log *slog.Logger, now func() float64) *Audit {
	return &Audit{log: log, now: now, sampler: caller.NewSampler(maxAuditRecordsPerSecond)}
}

// Event is what the audit has of one.
type Event struct {
	What   string // login, refused, withdrawn
	Reason caller.Reason
	Caller string
	Tenant string
	Key    string // id of the key or name of the certificate
	From   string // address
	Class  string // of the request, where it is one
	Rule   int    // line of the rule that decided, where one did
}

// Add writes an event, or counts it.
func (a *Audit) Add(e Event) {
	a.mu.Lock()
	write, left := a.sampler.Allow(a.now(), e.What+" "+e.Reason.String())
	a.mu.Unlock()
	if !write {
		return
	}
	attrs := []slog.Attr{slog.String("event", e.What)}
	for _, x := range []struct{ name, value string }{{"reason", reasonText(e.Reason)}, {"caller", e.Caller}, {"tenant", e.Tenant}, {"key_id", e.Key},
		{"from", e.From}, {"class", e.Class}} {
		if x.value != "" {
			attrs = append(attrs, slog.String(x.name, sanitize(x.value)))
		}
	}
	if e.Rule > 0 {
		attrs = append(attrs, slog.Int("rule_line", e.Rule))
	}
	if left > 0 {
		attrs = append(attrs, slog.Int("left_out", left))
	}
	level := slog.LevelInfo
	if e.Reason != caller.None {
		level = slog.LevelWarn
	}
	a.log.LogAttrs(context.Background(), level, "caller", attrs...)
}

func reasonText(r caller.Reason) string {
	if r == caller.None {
		return ""
	}
	return r.String()
}

// sanitize bounds what comes from outside and takes out what no name has: a record stays one record.
func sanitize(v string) string {
	b := []byte(v[:min(len(v), caller.MaxTextBytes)])
	for i, c := range b {
		if c < ' ' || c > '~' {
			b[i] = '?'
		}
	}
	return string(b)
}

// reportSuppressed tells each second of what was left out of storms that have passed, until ctx ends.
func (a *Audit) reportSuppressed(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		a.mu.Lock()
		left := a.sampler.TakeSuppressed(a.now())
		a.mu.Unlock()
		for kind, n := range left {
			a.log.LogAttrs(ctx, slog.LevelWarn, "caller", slog.String("event", "left out"), slog.String("kind", kind), slog.Int("left_out", n))
		}
	}
}
