package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// A record consists of the payload's length in 4 bytes, the xxhash of length and
// payload in 8 bytes, both little-endian, and the payload in CBOR.
const (
	lengthSize       = 4
	hashSize         = 8
	recordHeaderSize = lengthSize + hashSize
	// sectorSize is the smallest number of bytes that a disk writes at once.
	sectorSize = 512
)

// frame prepends length and hash to a payload.
func frame(payload []byte) []byte {
	data := make([]byte, recordHeaderSize, recordHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(data, uint32(len(payload)))
	binary.LittleEndian.PutUint64(data[lengthSize:], hash(data[:lengthSize], payload))
	return append(data, payload...)
}

func hash(length, payload []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(length)
	_, _ = d.Write(payload)
	return d.Sum64()
}

// unframe returns the payload of the record at the start of data, and reports
// whether the record is whole and its hash is correct.
func unframe(data []byte) ([]byte, bool) {
	if len(data) < recordHeaderSize {
		return nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	if length > uint64(len(data)-recordHeaderSize) {
		return nil, false
	}
	payload := data[recordHeaderSize : recordHeaderSize+length]
	sum := binary.LittleEndian.Uint64(data[lengthSize:])
	return payload, sum == hash(data[:lengthSize], payload)
}

// recordReader reads the records of one file.
type recordReader struct {
	name   string
	data   []byte
	offset int
	// damage is set if the rest of the data is damaged rather than torn.
	damage error
}

// position returns the file name and the current offset as text.
func (r *recordReader) position() string {
	return fmt.Sprintf("%s: offset %d", r.name, r.offset)
}

// more reports whether a whole record follows. If other data follows that is not
// a torn record, more sets damage.
func (r *recordReader) more() bool {
	rest := r.data[r.offset:]
	if len(rest) == 0 {
		return false
	}
	if _, ok := unframe(rest); ok {
		return true
	}
	if !torn(rest) {
		r.damage = trace.BadParameter("%s: damaged record, %d bytes before the end of the file", r.position(), len(rest))
	}
	return false
}

// next decodes the record at the offset and advances the offset past it.
func (r *recordReader) next(v any) error {
	payload, ok := unframe(r.data[r.offset:])
	if !ok {
		return trace.BadParameter("%s: damaged record", r.position())
	}
	if err := cbor.Unmarshal(payload, v); err != nil {
		return trace.Wrap(err, "%s", r.position())
	}
	r.offset += recordHeaderSize + len(payload)
	return nil
}

// torn reports whether the rest of a file is one record that was being written
// when the host failed: it is cut short, or has sectors that were never written.
// A complete record with a wrong length or hash was damaged later, and so was a
// record that is followed by another one.
func torn(rest []byte) bool {
	if hasLaterBatch(rest) || hasWrongLength(rest) {
		return false
	}
	if len(rest) < recordHeaderSize {
		return true
	}
	length := uint64(binary.LittleEndian.Uint32(rest))
	if length > uint64(len(rest)-recordHeaderSize) {
		return true
	}
	return hasUnwrittenSector(rest)
}

// batchPrefix lists the possible values of the first bytes of a batch's payload:
// a map of one or two pairs, whose first key is 1 and whose first value is also
// a map of one or two pairs with the first key 1.
var batchPrefix = [...][2]byte{{0xa1, 0xa2}, {1, 1}, {0xa1, 0xa2}, {1, 1}}

// hasLaterBatch reports whether a whole record with a batch starts after the
// first byte. It hashes only data that starts like a batch, because a hash at
// each offset would take time quadratic in the length of the rest.
func hasLaterBatch(rest []byte) bool {
	for i := 1; i+recordHeaderSize+len(batchPrefix) <= len(rest); i++ {
		if !hasBatchPrefix(rest[i+recordHeaderSize:]) {
			continue
		}
		if _, ok := unframe(rest[i:]); ok {
			return true
		}
	}
	return false
}

func hasBatchPrefix(payload []byte) bool {
	for i, v := range batchPrefix {
		if payload[i] != v[0] && payload[i] != v[1] {
			return false
		}
	}
	return true
}

// hasWrongLength reports whether the rest is one whole record of which only
// the length field is damaged.
func hasWrongLength(rest []byte) bool {
	if len(rest) < recordHeaderSize {
		return false
	}
	payload := rest[recordHeaderSize:]
	var length [lengthSize]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
	return binary.LittleEndian.Uint64(rest[lengthSize:]) == hash(length[:], payload)
}

// hasUnwrittenSector reports whether the rest contains a sector's length of zero
// bytes, or is shorter than a sector and contains only zero bytes.
func hasUnwrittenSector(rest []byte) bool {
	zeros := make([]byte, min(sectorSize, len(rest)))
	return bytes.Contains(rest, zeros)
}
