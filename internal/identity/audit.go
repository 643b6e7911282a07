package identity

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// maxAuditRecordsPerSecond limits the records of one event type with one reason.
const maxAuditRecordsPerSecond = 20

// Audit logs logins and refusals. It samples each event type and reason and logs how many records were
// suppressed. It never receives secrets, tokens or the keys of cached values, so it cannot disclose them.
type Audit struct {
	log     *slog.Logger
	now     func() float64
	mu      sync.Mutex
	sampler *caller.Sampler
}

// NewAudit returns an Audit that writes to log; now returns the time in Unix ms.
func NewAudit(log *slog.Logger, now func() float64) *Audit {
	return &Audit{log: log, now: now, sampler: caller.NewSampler(maxAuditRecordsPerSecond)}
}

// Event is one audit record.
type Event struct {
	What   string // login, refused or withdrawn
	Reason caller.Reason
	Caller string
	Tenant string
	Key    string // credential ID or certificate name
	From   string // remote address
	Class  string // request class; empty for logins
	Rule   int    // line of the deciding access rule; 0 if none
}

// Add logs the event, or counts it as suppressed when the rate limit is reached.
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

// sanitize truncates untrusted text and replaces all but printable ASCII, so that an event stays one record.
func sanitize(v string) string {
	b := []byte(v[:min(len(v), caller.MaxTextBytes)])
	for i, c := range b {
		if c < ' ' || c > '~' {
			b[i] = '?'
		}
	}
	return string(b)
}

// reportSuppressed logs once a second the number of suppressed records, until ctx ends.
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
