package journaler

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// A record is the payload's length in 4 bytes, the xxhash of length and
// payload in 8, both little-endian, and the payload in CBOR.
const (
	lengthSize       = 4
	hashSize         = 8
	recordHeaderSize = lengthSize + hashSize
	// sectorSize is the least that a disk writes in one step, in bytes.
	sectorSize = 512
)

// frame puts length and hash in front of a payload.
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

// unframe returns the payload of the record at the start of data; false when
// there is no whole one.
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
	// damage is set when what follows the offset is no torn record.
	damage error
}

// position names the file and the offset reached.
func (r *recordReader) position() string {
	return fmt.Sprintf("%s: offset %d", r.name, r.offset)
}

// more reports whether a whole record follows. Where something else follows,
// it tells a torn last record from damage.
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

// next decodes the record at the offset and steps behind it.
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

// torn reports whether the end of a file is one record that was being written
// when the host failed: it is cut short, or has sectors that were never
// written. A record that is whole but for its hash was damaged later, as was
// one that another record follows.
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

// batchPrefix is how the payload of each batch begins: a map of one or two
// pairs, whose first key is 1 and whose first value is such a map again.
var batchPrefix = [...][2]byte{{0xa1, 0xa2}, {1, 1}, {0xa1, 0xa2}, {1, 1}}

// hasLaterBatch reports whether a whole batch starts behind the first byte. Only
// what begins like a batch is hashed, since else the search would take time by
// the square of the rest.
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

// hasWrongLength reports whether the rest would be one whole record if its length
// were that of the rest.
func hasWrongLength(rest []byte) bool {
	if len(rest) < recordHeaderSize {
		return false
	}
	payload := rest[recordHeaderSize:]
	var length [lengthSize]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
	return binary.LittleEndian.Uint64(rest[lengthSize:]) == hash(length[:], payload)
}

// hasUnwrittenSector reports whether a sector's worth of bytes, or all of a short
// rest, is zero.
func hasUnwrittenSector(rest []byte) bool {
	zeros := make([]byte, min(sectorSize, len(rest)))
	return bytes.Contains(rest, zeros)
}
