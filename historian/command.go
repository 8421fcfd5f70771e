package historian

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
)

// Command is one command in the log: an operator's submission or a founding.
type Command struct {
	Submission waxwingseam.SubmissionID `cbor:"1,keyasint"`
	Operator   string                   `cbor:"2,keyasint"`
	// At is when a replica received the submission, by that replica's clock.
	At   time.Time            `cbor:"3,keyasint"`
	Base waxwingseam.Revision `cbor:"4,keyasint"`
	// Content is a digest of what was submitted. It distinguishes a resend from
	// a different submission with the same identifier.
	Content uint64 `cbor:"5,keyasint"`
	// Change turns the base revision's set into the submitted set.
	Change checker.Change `cbor:"6,keyasint"`
	// Drain is set instead of Change to drain one backend server or to undo a drain.
	Drain *Drain `cbor:"7,keyasint,omitempty"`
	// Founding is set instead of a submission.
	Founding *Founding `cbor:"8,keyasint,omitempty"`
	// Number is the operator's own version number of the set; 0 if there is none.
	Number uint64 `cbor:"9,keyasint,omitempty"`
}

// Drain marks a backend server as drained, or removes the mark if Undo is set.
// It changes the set that is in force when the command is applied.
type Drain struct {
	Server waxwingseam.ServerName `cbor:"1,keyasint"`
	// Service is the service that the server announced. It is used if the set
	// has no object for the server.
	Service waxwingseam.ServiceName `cbor:"2,keyasint"`
	Undo    bool                    `cbor:"3,keyasint"`
}

// Verdict is the result of a command.
type Verdict string

const (
	// VerdictAccepted means that the submission became a revision, or that the
	// founding was granted.
	VerdictAccepted Verdict = "accepted"
	// VerdictUnchanged means that the set in force already equals the submitted
	// one, or that the founding was granted to the same incarnation before.
	VerdictUnchanged Verdict = "unchanged"
	// VerdictConflict means that the base is not the revision in force, that
	// the version number is not higher than the one in force, or that the
	// founding was granted to another incarnation.
	VerdictConflict Verdict = "conflict"
	// VerdictOtherContent means that the identifier was used with other content.
	VerdictOtherContent Verdict = "other-content"
	// VerdictUnreadable means that this version of the software cannot decode the
	// command.
	VerdictUnreadable Verdict = "unreadable"
	// VerdictUnknownService means that the service of the server to drain has no
	// object.
	VerdictUnknownService Verdict = "unknown-service"
)

// Answer is the answer to one command. While the answer to a submission is kept,
// all resends of the submission receive it. The answer to a numbered submission
// is kept only if the submission was accepted.
type Answer struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	// Revision is the revision that an accepted submission became. For
	// VerdictOtherContent it is the revision of the first answer, for
	// VerdictUnreadable it is 0, and otherwise it is the revision in force.
	Revision waxwingseam.Revision `cbor:"2,keyasint" json:"revision"`
	// Winner is the revision that follows the base of a submission in conflict;
	// nil if there is none or the history no longer contains it.
	Winner *Entry `cbor:"3,keyasint,omitempty" json:"winner,omitempty"`
	// Differing lists at most maxListed of the objects changed since the base.
	Differing []checker.ID `cbor:"4,keyasint,omitempty" json:"differing,omitempty"`
	// Clashing lists the objects in Differing that the submission changes too.
	Clashing []checker.ID `cbor:"5,keyasint,omitempty" json:"clashing,omitempty"`
}

// Entry is one accepted revision in the history.
type Entry struct {
	Revision   waxwingseam.Revision     `cbor:"1,keyasint" json:"revision"`
	Operator   string                   `cbor:"2,keyasint" json:"operator"`
	At         time.Time                `cbor:"3,keyasint" json:"at"`
	Submission waxwingseam.SubmissionID `cbor:"4,keyasint" json:"submission-id"`
	// Digest is the digest of the revision's set.
	Digest uint64 `cbor:"5,keyasint" json:"digest"`
	// Objects lists at most maxListed of the changed objects.
	Objects []checker.ID `cbor:"6,keyasint,omitempty" json:"objects"`
	// Changed is the number of all changed objects.
	Changed int `cbor:"7,keyasint" json:"changed"`
}

// Encode returns the encoded form of a command for the log.
func Encode(c Command) ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, trace.Wrap(err)
}

// DecodeAnswer decodes an answer that Apply returned.
func DecodeAnswer(data []byte) (Answer, error) {
	var a Answer
	err := cbor.Unmarshal(data, &a)
	return a, trace.Wrap(err)
}
