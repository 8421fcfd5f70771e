package journaler

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
)

// writeFile creates or replaces a file atomically and makes it durable.
func writeFile(disk waxwingseam.Disk, name string, data []byte) error {
	temporary := name + temporarySuffix
	file, err := disk.Create(temporary)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := writeAndClose(file, data); err != nil {
		return trace.Wrap(err, "%s", name)
	}
	if err := disk.Rename(temporary, name); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(disk.Sync())
}

func writeAndClose(file waxwingseam.DiskFile, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return trace.NewAggregate(err, file.Close())
	}
	return trace.ConvertSystemError(file.Close())
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
