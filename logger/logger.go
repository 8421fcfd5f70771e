// Package logger creates the slog loggers of a process, with a fixed prefix for
// each part and a level that can be changed at run time.
package logger

import (
	"context"
	"io"
	"log/slog"

	"github.com/gravitational/trace"
)

// Format is the encoding of log lines.
type Format string

// The formats that the settings file accepts.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Config contains the log settings of a process.
type Config struct {
	Writer io.Writer
	Format Format
	Level  slog.Level
}

// Logger creates the loggers for the parts of one process.
type Logger struct {
	level   *slog.LevelVar
	handler slog.Handler
}

// New returns a Logger with the given configuration.
func New(config Config) *Logger {
	level := &slog.LevelVar{}
	level.Set(config.Level)
	options := &slog.HandlerOptions{Level: level}
	if config.Format == FormatJSON {
		return &Logger{level: level, handler: slog.NewJSONHandler(config.Writer, options)}
	}
	return &Logger{level: level, handler: slog.NewTextHandler(config.Writer, options)}
}

// Part returns the logger of one part, which adds the prefix to each message.
func (l *Logger) Part(prefix string) *slog.Logger {
	return slog.New(prefixHandler{Handler: l.handler, prefix: prefix + ": "})
}

// Level returns the current level.
func (l *Logger) Level() slog.Level {
	return l.level.Level()
}

// SetLevel changes the level of all parts.
func (l *Logger) SetLevel(level slog.Level) {
	l.level.Set(level)
}

// ParseLevel parses the name of a level.
func ParseLevel(s string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s)); err != nil {
		return level, trace.BadParameter("level is %q, want debug, info, warn or error", s)
	}
	return level, nil
}

// prefixHandler adds the part's prefix to each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (p prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = p.prefix + r.Message
	return p.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (p prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix}
}

// WithGroup implements slog.Handler.
func (p prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: p.Handler.WithGroup(name), prefix: p.prefix}
}
