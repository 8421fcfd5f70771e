package waxwingseam

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"

	"github.com/gravitational/trace"
)

// IDSize is the length of a CallID or a RootID in bytes.
const IDSize = 16

// CallID identifies one call across all its attempts.
type CallID [IDSize]byte

// RootID identifies a root request: a call without a known parent, and all calls
// below it.
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

// Revision numbers the accepted configurations, starting at 1.
type Revision uint64

// Incarnation numbers the incarnations of one process in increasing order.
type Incarnation uint64

// SubmissionID identifies an operator's submission across all its resends.
type SubmissionID string

// Attempt numbers the attempts of one call, starting at 1.
type Attempt uint16

// Allowance is the number of retries that may still be made.
type Allowance uint16

// NewCallID returns the identifier with the given high and low words.
func NewCallID(high, low uint64) CallID {
	var id CallID
	binary.BigEndian.PutUint64(id[:8], high)
	binary.BigEndian.PutUint64(id[8:], low)
	return id
}

// ParseCallID parses the hexadecimal form of a call identifier.
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

// Compare returns the order of two identifiers by their bytes.
func (id CallID) Compare(o CallID) int {
	return bytes.Compare(id[:], o[:])
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

// maxNameLength is the largest length of a name in bytes.
const maxNameLength = 63

// ValidName reports whether s is a valid object name: at most 63 bytes of
// lower-case letters, digits and hyphens, with a letter or digit at both ends.
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
