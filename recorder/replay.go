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

// decoding accepts texts that are not UTF-8: request targets and header values are recorded as
// they were sent.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Reader reads a log entry by entry.
type Reader struct {
	decoder *cbor.Decoder
	catalog Catalog
	entries int
}

// NewReader returns a Reader that decodes events with the given catalog.
func NewReader(r io.Reader, catalog Catalog) *Reader {
	return &Reader{
		decoder: decoding.NewDecoder(r),
		catalog: catalog,
	}
}

// Next returns the next entry and its decoded event, or io.EOF at the end of the
// log.
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
	if err := decoding.Unmarshal(entry.Event, value.Interface()); err != nil {
		return nil, trace.Wrap(err)
	}
	return value.Elem().Interface().(waxwingseam.Event), nil
}

// Replay feeds a log's events to a reducer and returns a finding for each
// entry whose recorded effects differ from those of the reducer. File is the
// process of the entry, and Line the number of the entry in the log, from 1.
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
		replayed, err := NewEntry(event, reducer.Reduce(event))
		if err != nil {
			return findings, err
		}
		if text := entry.diffEffects(replayed); text != "" {
			findings = append(findings, waxwingseam.Finding{
				File:    entry.Process,
				Line:    r.entries,
				Section: string(entry.Kind),
				Text:    text,
			})
		}
	}
}

// diffEffects describes the first difference between the effects of e and o, or
// returns an empty string if they are equal.
func (e Entry) diffEffects(o Entry) string {
	if len(e.Effects) != len(o.Effects) {
		return fmt.Sprintf("%d effects were recorded, but the replay returned %d", len(e.Effects), len(o.Effects))
	}
	for i, x := range e.Effects {
		y := o.Effects[i]
		if x.Kind != y.Kind || !bytes.Equal(x.Effect, y.Effect) {
			return fmt.Sprintf("effect %d was recorded as %s, but the replay returned %s", i+1, x, y)
		}
	}
	return ""
}

// String returns the kind of the effect and its value in CBOR diagnostic
// notation, or in hexadecimal if the value cannot be decoded.
func (x RecordedEffect) String() string {
	text, err := cbor.Diagnose(x.Effect)
	if err != nil {
		text = fmt.Sprintf("%x", []byte(x.Effect))
	}
	return string(x.Kind) + " " + text
}
