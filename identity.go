package waxwingseam

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/gravitational/trace"
)

// IDSize is the length of a call identifier in bytes.
const IDSize = 16

// CallID identifies one call from its sender to one answer, over all attempts.
type CallID [IDSize]byte

// RootID identifies a whole request: the call that entered at the first node.
type RootID [IDSize]byte

// ServiceName names a service object.
type ServiceName string

// ServerName names a backend server.
type ServerName string

// ClassName names a request class object.
type ClassName string

// DataCentre names a data centre.
type DataCentre string

// ReplicaID identifies a control replica within its cluster.
type ReplicaID string

// Revision numbers an accepted configuration, counted from 1.
type Revision uint64

// Incarnation numbers the lives of one process; a later life has a larger one.
type Incarnation uint64

// SubmissionID identifies one operator's submission over all its resends.
type SubmissionID string

// Attempt numbers the attempts of one call, counted from 1.
type Attempt uint16

// Allowance is a number of retries that may still be spent.
type Allowance uint16

// NewCallID returns the identifier made of two random words.
func NewCallID(high, low uint64) CallID {
	var id CallID
	binary.BigEndian.PutUint64(id[:8], high)
	binary.BigEndian.PutUint64(id[8:], low)
	return id
}

// ParseCallID reads the hexadecimal form of a call identifier.
func ParseCallID(s string) (CallID, error) {
	var id CallID
	if len(s) != hex.EncodedLen(IDSize) {
		return id, trace.BadParameter("call id has %d characters, want %d", len(s), hex.EncodedLen(IDSize))
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return id, trace.BadParameter("call id is not hexadecimal")
	}
	return id, nil
}

// String returns the hexadecimal form of the identifier.
func (id CallID) String() string {
	return hex.EncodeToString(id[:])
}

// IsZero reports whether the identifier is unset.
func (id CallID) IsZero() bool {
	return id == CallID{}
}

// String returns the hexadecimal form of the identifier.
func (id RootID) String() string {
	return hex.EncodeToString(id[:])
}

// IsZero reports whether the identifier is unset.
func (id RootID) IsZero() bool {
	return id == RootID{}
}

// maxNameLength bounds names, in bytes.
const maxNameLength = 63

// ValidName reports whether s can name an object: lower-case letters, digits
// and hyphens, with a letter or digit at both ends, at most 63 bytes.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	if s[0] == '-' || s[len(s)-1] == '-' {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
