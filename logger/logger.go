// Package logger builds the logs of a process: slog with a fixed prefix for
// each part and a level that can be changed while the process runs.
package logger

import (
	"context"
	"io"
	"log/slog"

	"github.com/gravitational/trace"
)

// Format is the form of the log lines.
type Format string

// The formats that settings may name.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Config holds the settings of a process's logs.
type Config struct {
	Writer io.Writer
	Format Format
	Level  slog.Level
}

// Logger makes the loggers of the parts of one process.
type Logger struct {
	level   *slog.LevelVar
	handler slog.Handler
}

// New returns a logger.
func New(config Config) *Logger {
	level := &slog.LevelVar{}
	level.Set(config.Level)
	options := &slog.HandlerOptions{Level: level}
	if config.Format == FormatJSON {
		return &Logger{level: level, handler: slog.NewJSONHandler(config.Writer, options)}
	}
	return &Logger{level: level, handler: slog.NewTextHandler(config.Writer, options)}
}

// Part returns the logger of one part; each message begins with its prefix.
func (l *Logger) Part(prefix string) *slog.Logger {
	return slog.New(prefixer{Handler: l.handler, prefix: prefix + ": "})
}

// Level returns the level in force.
func (l *Logger) Level() slog.Level {
	return l.level.Level()
}

// SetLevel changes the level of all parts.
func (l *Logger) SetLevel(level slog.Level) {
	l.level.Set(level)
}

// ParseLevel reads a level from its name.
func ParseLevel(s string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s)); err != nil {
		return level, trace.BadParameter("level is %q, want debug, info, warn or error", s)
	}
	return level, nil
}

// prefixer puts the part's prefix before each message.
type prefixer struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (p prefixer) Handle(ctx context.Context, r slog.Record) error {
	r.Message = p.prefix + r.Message
	return p.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (p prefixer) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixer{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix}
}

// WithGroup implements slog.Handler.
func (p prefixer) WithGroup(name string) slog.Handler {
	return prefixer{Handler: p.Handler.WithGroup(name), prefix: p.prefix}
}
