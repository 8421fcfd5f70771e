package journaler

import (
	"errors"
	"syscall"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// FullError says that a disk has no room for a write. Nothing that was acknowledged before is
// lost, and the write may be repeated.
type FullError struct {
	Cause error
}

// Error implements error.
func (e *FullError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *FullError) Unwrap() error { return e.Cause }

// IsFull reports whether a write failed for lack of room on the disk.
func IsFull(err error) bool {
	var full *FullError
	return errors.As(err, &full)
}

// diskError converts an error of a disk.
func diskError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return &FullError{Cause: err}
	}
	return trace.ConvertSystemError(err)
}

// writeFile creates or replaces a file atomically and makes it durable.
func writeFile(disk waxwingseam.Disk, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := disk.Create(temporary)
	if err != nil {
		return diskError(err)
	}
	if err := writeAndClose(file, data); err != nil {
		return trace.Wrap(err, "%s", name)
	}
	if err := disk.Rename(temporary, name); err != nil {
		return diskError(err)
	}
	return diskError(disk.Sync())
}

func writeAndClose(file waxwingseam.DiskFile, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return diskError(errors.Join(err, file.Close()))
}

// readRecordFile decodes a file that consists of exactly one record.
func readRecordFile(disk waxwingseam.Disk, name string, v any) error {
	data, err := disk.ReadFile(name)
	if err != nil {
		return trace.Wrap(trace.ConvertSystemError(err), "%s", name)
	}
	r := &recordReader{name: name, data: data}
	if err := r.next(v); err != nil {
		return err
	}
	if r.offset < len(data) {
		return trace.BadParameter("%s: more than one record", r.position())
	}
	return nil
}

// encoding keeps times to the nanosecond.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encodeRecord encodes a value as one record.
func encodeRecord(v any) ([]byte, error) {
	payload, err := encoding.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return frame(payload), nil
}
