package logger_test

import (
	"context"
	"log/slog"
	"time"
)

// withoutTime removes the time of each record to make examples reproducible.
type withoutTime struct {
	slog.Handler
}

// Handle implements slog.Handler.
func (w withoutTime) Handle(ctx context.Context, r slog.Record) error {
	r.Time = time.Time{}
	return w.Handler.Handle(ctx, r)
}
