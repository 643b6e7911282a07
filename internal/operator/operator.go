// Package operator serves the HTTP endpoints for operators: readiness, metrics, the view of the fleet,
// and taking the process out of service and back. It also queries the views of several routers and
// formats them as reports. It only exposes state that other packages publish and makes no decisions of
// its own.
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

// Router is the process that operators monitor and control.
type Router interface {
	Ready() bool           // reports whether clients may be sent to this process
	Counts() engine.Counts // returns a consistent snapshot, at most 0.5 s old
	// OutOfService takes the process out of service and returns once that is in force.
	OutOfService(ctx context.Context) error
	// InService puts the process back into service and returns once that is in force.
	InService(ctx context.Context) error
}

// Limits on clients. A response is due within one second, so slow clients are disconnected long before
// they can occupy all connections for long.
const (
	callTimeout    = 5 * time.Second        // to receive a whole request, and to send its response
	maxHeaderBytes = 8 << 10                // size of a request's header, in bytes
	handlerTimeout = 900 * time.Millisecond // leaves time to respond within one second
)

// Serve serves the endpoints on ln until ctx ends, and closes ln. It holds at most maxConns connections
// at once; a further one evicts the connection that has been open longest without a whole request. view
// returns the view of the fleet; if it is nil, there is no such endpoint. Returns nil if ctx has ended.
func Serve(ctx context.Context, ln net.Listener, r Router, view func(context.Context) (FleetView, error), maxConns int) error {
	s := &http.Server{
		Handler:           newHandler(r, view),
		ReadTimeout:       callTimeout,
		ReadHeaderTimeout: callTimeout,
		WriteTimeout:      callTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0), // errors caused by clients are not logged
		ConnContext:       func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	s.SetKeepAlivesEnabled(false)
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(newBoundedListener(ln, maxConns)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("operators' address: %w", err)
	}
	return nil
}

// newHandler routes the paths of the endpoints to their handlers and rejects every other request.
func newHandler(r Router, view func(context.Context) (FleetView, error)) http.Handler {
	type endpoint struct {
		method string
		handle http.HandlerFunc
	}
	endpoints := map[string]endpoint{
		"/control/ready":          {http.MethodGet, handleReady(r)},
		"/control/counters":       {http.MethodGet, handleCounters(r)},
		"/control/out-of-service": {http.MethodPost, handleChange("out of service: clients are being sent away", r.OutOfService)},
		"/control/in-service":     {http.MethodPost, handleChange("in service", r.InService)},
	}
	if view != nil {
		endpoints["/control/fleet"] = endpoint{http.MethodGet, handleFleet(view)}
	}
	return markReceived(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		switch c, ok := endpoints[req.URL.Path]; {
		case !ok:
			http.Error(w, fmt.Sprintf("there is no call %.100q", req.URL.Path), http.StatusNotFound)
		case c.method != req.Method:
			w.Header().Set("Allow", c.method)
			http.Error(w, fmt.Sprintf("%s takes %s, not %.20q", req.URL.Path, c.method, req.Method), http.StatusMethodNotAllowed)
		default:
			c.handle(w, req)
		}
	}))
}

// handleReady returns a handler that responds 200 if clients may be sent to this process, otherwise 503.
func handleReady(r Router) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			http.Error(w, "this process does not take clients", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

// handleCounters returns a handler that responds with the metrics.
func handleCounters(r Router) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", textContentType)
		w.Write(FormatMetrics(r.Counts())) //nolint:errcheck // fails only if the client has disconnected
	}
}

// handleChange returns a handler that applies a state change and responds with the text done once it is
// in force.
func handleChange(done string, apply func(context.Context) error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		ctx, stop := context.WithTimeout(req.Context(), handlerTimeout)
		defer stop()
		if err := apply(ctx); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, done)
	}
}

// markReceived marks the connection of a request as answering, so that it is not evicted while the request is
// handled.
func markReceived(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if c, ok := req.Context().Value(connKey{}).(*boundedConn); ok {
			c.setState(answering)
		}
		next.ServeHTTP(w, req)
	})
}
