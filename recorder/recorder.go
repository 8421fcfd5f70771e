// Package recorder writes the events of a process and their effects to a log,
// and replays such a log.
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

// Entry is the encoded form of one event and its effects.
type Entry struct {
	// Process names the process that wrote the log.
	Process string           `cbor:"1,keyasint,omitempty"`
	Kind    waxwingseam.Kind `cbor:"2,keyasint"`
	Event   cbor.RawMessage  `cbor:"3,keyasint"`
	Effects []RecordedEffect `cbor:"4,keyasint,omitempty"`
}

// RecordedEffect is the encoded form of one effect.
type RecordedEffect struct {
	Kind   waxwingseam.Kind `cbor:"1,keyasint"`
	Effect cbor.RawMessage  `cbor:"2,keyasint"`
}

var encMode = newEncMode()

// newEncMode returns the log's encoding, which is deterministic and stores times
// with nanosecond precision.
func newEncMode() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Config holds the settings of a Recorder.
type Config struct {
	Writer io.Writer
	// Process is the process name written to each entry.
	Process string
	Logger  *slog.Logger
}

// Recorder writes events to a log. It stops writing after the first error.
type Recorder struct {
	config Config

	mu  sync.Mutex
	out *bufio.Writer
	err error
}

// New returns a Recorder. The default logger discards its output.
func New(config Config) *Recorder {
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	return &Recorder{
		config: config,
		out:    bufio.NewWriter(config.Writer),
	}
}

// Observe adds an event and its effects to the buffered log. Flush returns the first
// error.
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
	data, err := encMode.Marshal(entry)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = r.out.Write(data)
	return trace.ConvertSystemError(err)
}

// Flush writes the buffered entries to the writer and returns the recorder's
// first error.
func (r *Recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = r.out.Flush()
	}
	return trace.Wrap(r.err)
}

// NewEntry encodes an event and its effects. It leaves the process name empty.
func NewEntry(e waxwingseam.Event, effects []waxwingseam.Effect) (Entry, error) {
	data, err := encMode.Marshal(e)
	if err != nil {
		return Entry{}, trace.Wrap(err)
	}
	entry := Entry{
		Kind:    e.Kind(),
		Event:   data,
		Effects: make([]RecordedEffect, len(effects)),
	}
	for i, x := range effects {
		data, err := encMode.Marshal(x)
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
