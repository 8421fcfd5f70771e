package recorder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// Reader reads a log entry by entry.
type Reader struct {
	decoder *cbor.Decoder
	catalog Catalog
	entries int
}

// NewReader returns a reader of a log.
func NewReader(r io.Reader, catalog Catalog) *Reader {
	return &Reader{
		decoder: cbor.NewDecoder(r),
		catalog: catalog,
	}
}

// Next returns the next entry with its event; io.EOF at the end.
func (r *Reader) Next() (Entry, waxwingseam.Event, error) {
	var entry Entry
	err := r.decoder.Decode(&entry)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return entry, nil, io.EOF
	}
	if err != nil {
		return entry, nil, trace.BadParameter("entry %d: %v", r.entries+1, err)
	}
	r.entries++
	event, err := r.catalog.decode(entry)
	if err != nil {
		return entry, nil, trace.BadParameter("entry %d: %v", r.entries, err)
	}
	return entry, event, nil
}

func (c Catalog) decode(entry Entry) (waxwingseam.Event, error) {
	t, ok := c[entry.Kind]
	if !ok {
		return nil, trace.NotFound("unknown event %q", entry.Kind)
	}
	value := reflect.New(t)
	if err := cbor.Unmarshal(entry.Event, value.Interface()); err != nil {
		return nil, trace.Wrap(err)
	}
	return value.Elem().Interface().(waxwingseam.Event), nil
}

// Replay feeds a log's events to a reducer and returns a finding for each
// entry whose effects differ from the log's.
func Replay(r *Reader, reducer waxwingseam.Reducer) (waxwingseam.Findings, error) {
	var findings waxwingseam.Findings
	for {
		entry, event, err := r.Next()
		if errors.Is(err, io.EOF) {
			return findings, nil
		}
		if err != nil {
			return findings, err
		}
		again, err := NewEntry(event, reducer.Reduce(event))
		if err != nil {
			return findings, err
		}
		if text := entry.compare(again); text != "" {
			findings = append(findings, waxwingseam.Finding{
				File:    entry.Process,
				Line:    r.entries,
				Section: string(entry.Kind),
				Text:    text,
			})
		}
	}
}

// compare says how an entry's effects differ from another's; empty if they do
// not.
func (e Entry) compare(o Entry) string {
	if len(e.Effects) != len(o.Effects) {
		return fmt.Sprintf("%d effects were recorded, %d come now", len(e.Effects), len(o.Effects))
	}
	for i, x := range e.Effects {
		y := o.Effects[i]
		if x.Kind != y.Kind || !bytes.Equal(x.Effect, y.Effect) {
			return fmt.Sprintf("effect %d was %s, now %s", i+1, x, y)
		}
	}
	return ""
}

// String returns the effect in CBOR's diagnostic notation.
func (i RecordedEffect) String() string {
	text, err := cbor.Diagnose(i.Effect)
	if err != nil {
		text = fmt.Sprintf("%x", []byte(i.Effect))
	}
	return string(i.Kind) + " " + text
}
