package service

import (
	"io"
	"log/slog"

	"mossproxy.example/mossproxy/internal/config"
)

// Logger writes the program's log as its configuration says.
func Logger(w io.Writer, l config.Log) *slog.Logger {
	o := &slog.HandlerOptions{}
	var level slog.Level
	if level.UnmarshalText([]byte(l.Level)) == nil { // the configuration knows the levels
		o.Level = level
	}
	if l.JSON {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}
