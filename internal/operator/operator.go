// Package operator serves the operators' calls: whether the process takes clients, its figures, and its way out of service and
// back. It reads what others publish and decides nothing.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
)

// Router is what operators call upon.
type Router interface {
	Ready() bool           // clients may be sent here
	Counts() engine.Counts // of one moment, at most half a second ago
	OutOfService(ctx context.Context) error
	InService(ctx context.Context) error
}

// Bounds on callers. An answer is owed within a second, so whoever is slow gives way well before the places are all taken for long.
const (
	callTimeout    = 5 * time.Second // for a call to come whole, and for its answer to be taken
	maxHeaderBytes = 8 << 10         // bytes of a call's head
	handlerTimeout = 900 * time.Millisecond
)

// Serve answers calls that come to ln, which it closes, until ctx ends. It holds as many connections at once; the one that has stood longest
// without a whole call gives way to one more. view gives what is known of the fleet; nil = there is no such call.
func Serve(ctx context.Context, ln net.Listener, r Router, view func(context.Context) (FleetView, error), places int) error {
	s := &http.Server{
		Handler:           newHandler(r, view),
		ReadTimeout:       callTimeout,
		ReadHeaderTimeout: callTimeout,
		WriteTimeout:      callTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // whatever callers send is no news
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	s.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(newBoundedListener(ln, places)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("operators' address: %w", err)
	}
	return nil
}

// newHandler answers the calls, and nothing else.
func newHandler(r Router, view func(context.Context) (FleetView, error)) http.Handler {
	type answer struct {
		method string
		do     http.HandlerFunc
	}
	calls := map[string]answer{
		"/control/ready":          {http.MethodGet, handleReady(r)},
		"/control/counters":       {http.MethodGet, handleCounters(r)},
		"/control/out-of-service": {http.MethodPost, handleChange("out of service: clients are being sent away", r.OutOfService)},
		"/control/in-service":     {http.MethodPost, handleChange("in service", r.InService)},
	}
	if view != nil {
		calls["/control/fleet"] = answer{http.MethodGet, handleFleet(view)}
	}
	return markReceived(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch c, ok := calls[q.URL.Path]; {
		case !ok:
			http.Error(w, fmt.Sprintf("there is no call %.100q", q.URL.Path), http.StatusNotFound)
		case c.method != q.Method:
			w.Header().Set("Allow", c.method)
			http.Error(w, fmt.Sprintf("%s takes %s, not %.20q", q.URL.Path, c.method, q.Method), http.StatusMethodNotAllowed)
		default:
			c.do(w, q)
		}
	}))
}

// handleReady answers whether clients may be sent here.
func handleReady(r Router) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			http.Error(w, "this process does not take clients", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

// handleCounters answers with the figures.
func handleCounters(r Router) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", textContentType)
		w.Write(FormatMetrics(r.Counts())) //nolint:errcheck // the caller has left
	}
}

// handleChange answers a call that changes something, once that is in force.
func handleChange(done string, do func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		ctx, stop := context.WithTimeout(q.Context(), handlerTimeout)
		defer stop()
		if err := do(ctx); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, done)
	}
}

// markReceived marks the connections on which a whole call has come: they do not give way while it is answered.
func markReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if c, ok := q.Context().Value(connKey{}).(*boundedConn); ok {
			c.setState(answering)
		}
		next.ServeHTTP(w, q)
	})
}
