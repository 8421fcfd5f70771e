// Package recorder writes the events of a process to a log, with the effects
// that they had, and replays such a log.
package recorder

import (
	"bufio"
	"io"
	"log/slog"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// Entry is one event of a log with its effects, in the form of the log.
type Entry struct {
	// Process names the process that wrote the log.
	Process string           `cbor:"1,keyasint,omitempty"`
	Kind    waxwingseam.Kind `cbor:"2,keyasint"`
	Event   cbor.RawMessage  `cbor:"3,keyasint"`
	Effects []RecordedEffect           `cbor:"4,keyasint,omitempty"`
}

// RecordedEffect is one effect of an entry.
type RecordedEffect struct {
	Kind   waxwingseam.Kind `cbor:"1,keyasint"`
	Effect cbor.RawMessage  `cbor:"2,keyasint"`
}

var encoding = mustEncoding()

// mustEncoding returns the log's encoding: one form for each value, times to
// the nanosecond.
func mustEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Config holds a recorder's output.
type Config struct {
	Writer io.Writer
	// Process names the process in each entry.
	Process string
	Logger  *slog.Logger
}

// Recorder writes a log. It stops at the first error.
type Recorder struct {
	config Config

	mu  sync.Mutex
	out *bufio.Writer
	err error
}

// New returns a recorder.
func New(config Config) *Recorder {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Recorder{
		config: config,
		out:    bufio.NewWriter(config.Writer),
	}
}

// Observe writes one event with its effects.
func (r *Recorder) Observe(e waxwingseam.Event, effects []waxwingseam.Effect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return
	}
	if r.err = r.write(e, effects); r.err != nil {
		r.config.Logger.Error("recording stopped", "error", r.err)
	}
}

func (r *Recorder) write(e waxwingseam.Event, effects []waxwingseam.Effect) error {
	entry, err := NewEntry(e, effects)
	if err != nil {
		return err
	}
	entry.Process = r.config.Process
	data, err := encoding.Marshal(entry)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = r.out.Write(data)
	return trace.ConvertSystemError(err)
}

// Flush hands what is buffered to the writer, and returns the first error.
func (r *Recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = r.out.Flush()
	}
	return trace.Wrap(r.err)
}

// NewEntry returns the entry of an event.
func NewEntry(e waxwingseam.Event, effects []waxwingseam.Effect) (Entry, error) {
	data, err := encoding.Marshal(e)
	if err != nil {
		return Entry{}, trace.Wrap(err)
	}
	entry := Entry{
		Kind:    e.Kind(),
		Event:   data,
		Effects: make([]RecordedEffect, len(effects)),
	}
	for i, x := range effects {
		data, err := encoding.Marshal(x)
		if err != nil {
			return Entry{}, trace.Wrap(err)
		}
		entry.Effects[i] = RecordedEffect{
			Kind:   x.Kind(),
			Effect: data,
		}
	}
	return entry, nil
}
