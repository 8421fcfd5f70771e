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
	lengthSize     = 4
	hashSize       = 8
	recordHeadSize = lengthSize + hashSize
	// sectorSize is the least that a disk writes in one step, in bytes.
	sectorSize = 512
)

// seal puts length and hash in front of a payload.
func seal(payload []byte) []byte {
	data := make([]byte, recordHeadSize, recordHeadSize+len(payload))
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

// open returns the payload of the record at the start of data; false when
// there is no whole one.
func open(data []byte) ([]byte, bool) {
	if len(data) < recordHeadSize {
		return nil, false
	}
	length := uint64(binary.LittleEndian.Uint32(data))
	if length > uint64(len(data)-recordHeadSize) {
		return nil, false
	}
	payload := data[recordHeadSize : recordHeadSize+length]
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

// place names the file and the offset reached.
func (r *recordReader) place() string {
	return fmt.Sprintf("%s: offset %d", r.name, r.offset)
}

// more reports whether a whole record follows. Where something else follows,
// it tells a torn last record from damage.
func (r *recordReader) more() bool {
	rest := r.data[r.offset:]
	if len(rest) == 0 {
		return false
	}
	if _, ok := open(rest); ok {
		return true
	}
	if !torn(rest) {
		r.damage = trace.BadParameter("%s: damaged record, %d bytes before the end of the file", r.place(), len(rest))
	}
	return false
}

// next decodes the record at the offset and steps behind it.
func (r *recordReader) next(v any) error {
	payload, ok := open(r.data[r.offset:])
	if !ok {
		return trace.BadParameter("%s: damaged record", r.place())
	}
	if err := cbor.Unmarshal(payload, v); err != nil {
		return trace.Wrap(err, "%s", r.place())
	}
	r.offset += recordHeadSize + len(payload)
	return nil
}

// torn reports whether the end of a file is one record that was being written
// when the host failed: it is cut short, or has sectors that were never
// written. A record that is whole but for its hash was damaged later, as was
// one that another record follows.
func torn(rest []byte) bool {
	if followed(rest) || misstated(rest) {
		return false
	}
	if len(rest) < recordHeadSize {
		return true
	}
	length := uint64(binary.LittleEndian.Uint32(rest))
	if length > uint64(len(rest)-recordHeadSize) {
		return true
	}
	return unwritten(rest)
}

// batchStart is how the payload of each batch begins: a map of one or two
// pairs, whose first key is 1 and whose first value is such a map again.
var batchStart = [...][2]byte{{0xa1, 0xa2}, {1, 1}, {0xa1, 0xa2}, {1, 1}}

// followed reports whether a whole batch starts behind the first byte. Only
// what begins like a batch is hashed, since else the search would take time by
// the square of the rest.
func followed(rest []byte) bool {
	for i := 1; i+recordHeadSize+len(batchStart) <= len(rest); i++ {
		if !startsBatch(rest[i+recordHeadSize:]) {
			continue
		}
		if _, ok := open(rest[i:]); ok {
			return true
		}
	}
	return false
}

func startsBatch(payload []byte) bool {
	for i, v := range batchStart {
		if payload[i] != v[0] && payload[i] != v[1] {
			return false
		}
	}
	return true
}

// misstated reports whether the rest would be one whole record if its length
// were that of the rest.
func misstated(rest []byte) bool {
	if len(rest) < recordHeadSize {
		return false
	}
	payload := rest[recordHeadSize:]
	var length [lengthSize]byte
	binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
	return binary.LittleEndian.Uint64(rest[lengthSize:]) == hash(length[:], payload)
}

// unwritten reports whether a sector's worth of bytes, or all of a short
// rest, is zero.
func unwritten(rest []byte) bool {
	zeros := make([]byte, min(sectorSize, len(rest)))
	return bytes.Contains(rest, zeros)
}
