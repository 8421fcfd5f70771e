package waxwingseam

import "time"

// The kinds of the events and effects by which the nodes of a service agree on
// the one server that runs the calls with a given caller's key.
const (
	KindKeyedAttemptArrived Kind = "key-arrived"
	KindWitnessAsked        Kind = "witness-asked"
	KindWitnessAnswered     Kind = "witness-answered"
	KindAskWitness          Kind = "ask-witness"
	KindAnswerWitness       Kind = "answer-witness"
	KindDecideKey           Kind = "decide-key"
	KindAskFounding         Kind = "ask-founding"
	KindFoundingGranted     Kind = "founding-granted"
)

// CallersKey is a caller's idempotency key within its request class.
type CallersKey struct {
	Class ClassName `cbor:"1,keyasint"`
	Key   string    `cbor:"2,keyasint"`
}

// ServerIncarnation identifies one incarnation of the node beside a backend
// server.
type ServerIncarnation struct {
	Name        ServerName  `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Term counts the drains that were undone in this incarnation.
	Term uint32 `cbor:"3,keyasint,omitempty"`
}

// EqualIgnoringTerm reports whether two incarnations are equal apart from the
// term.
func (s ServerIncarnation) EqualIgnoringTerm(o ServerIncarnation) bool {
	return s.Name == o.Name && s.Incarnation == o.Incarnation
}

// View lists the incarnations that a witness counts towards a quorum, sorted,
// and those that it no longer counts.
type View struct {
	Members []ServerIncarnation `cbor:"1,keyasint"`
	Removed []ServerIncarnation `cbor:"2,keyasint,omitempty"`
}

// Claim says which incarnation runs the calls with a caller's key.
type Claim struct {
	Key    CallersKey        `cbor:"1,keyasint"`
	Holder ServerIncarnation `cbor:"2,keyasint"`
	// Call is the call for which the claim was made.
	Call CallID `cbor:"3,keyasint"`
	// Age is the time since the claim was recorded.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// WitnessRequest says what a node asks of a witness.
type WitnessRequest uint8

const (
	// RequestClaim asks to record a claim.
	RequestClaim WitnessRequest = iota + 1
	// RequestRelease withdraws a claim under which no call ran.
	RequestRelease
	// RequestJoin asks for the claims from an index on, and to be added to the
	// view.
	RequestJoin
	// RequestHandover hands over claims before the sender leaves.
	RequestHandover
	// RequestLeave asks to be removed from the view.
	RequestLeave
	// RequestForget asks whether the receiver, too, has lost an incarnation for at
	// least the key retention.
	RequestForget
)

// WitnessMessage is a request from one node to another.
type WitnessMessage struct {
	Request WitnessRequest    `cbor:"1,keyasint"`
	From    ServerIncarnation `cbor:"2,keyasint"`
	// Claims holds the one claim to record or release, or those handed over.
	Claims []Claim `cbor:"3,keyasint,omitempty"`
	// View is the sender's view.
	View View `cbor:"4,keyasint"`
	// Lost is the incarnation that RequestForget asks about.
	Lost ServerIncarnation `cbor:"7,keyasint"`
	// Index is where the claims of a join begin, or where those of a handover
	// continue; 0 at their end.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// Call is the call that the message is for.
	Call CallID `cbor:"6,keyasint"`
}

// WitnessVerdict is a witness's decision on a request.
type WitnessVerdict uint8

const (
	// WitnessGranted means that the request was carried out or confirmed.
	WitnessGranted WitnessVerdict = iota + 1
	// WitnessTaken means that another claim on the key is recorded.
	WitnessTaken
	// WitnessStale means that the views differ.
	WitnessStale
	// WitnessUnready means that the node can't grant the request now.
	WitnessUnready
	// WitnessJoining means that the node has added the sender to its view, but
	// is itself still joining and has granted nothing.
	WitnessJoining
)

// WitnessAnswer is a witness's answer to a message.
type WitnessAnswer struct {
	Verdict WitnessVerdict    `cbor:"1,keyasint"`
	From    ServerIncarnation `cbor:"2,keyasint"`
	// Claims holds the claim already recorded for the key, or those of a join.
	Claims []Claim `cbor:"3,keyasint,omitempty"`
	View   View    `cbor:"4,keyasint"`
	// Next is where the claims of a join continue; 0 at their end.
	Next uint64 `cbor:"5,keyasint,omitempty"`
}

// KeyedAttemptArrived is the arrival of an attempt of a non-repeatable call
// with a caller's key. An AttemptArrived follows only if a DecideKey admits the
// attempt at this node.
type KeyedAttemptArrived struct {
	Stamp
	Call    Call
	Attempt Attempt
	// Relayed is set when another node passed the attempt on.
	Relayed bool
}

// WitnessAsked is a message from another node.
type WitnessAsked struct {
	Stamp
	// Number identifies the message in its AnswerWitness.
	Number  uint64
	Message WitnessMessage
}

// WitnessAnswered is the answer to a message, or the lack of one.
type WitnessAnswered struct {
	Stamp
	To      ServerName
	Message WitnessMessage
	// Reached is unset when no answer came.
	Reached bool
	Answer  WitnessAnswer
}

// AskWitness sends a message to another node of the service.
type AskWitness struct {
	To      Server
	Message WitnessMessage
}

// AnswerWitness answers a message.
type AnswerWitness struct {
	Number uint64
	Answer WitnessAnswer
}

// AskFounding asks control whether the node may found the view of its service.
// Control grants this to one incarnation only, once per service.
type AskFounding struct {
	Service     ServiceName
	Incarnation ServerIncarnation `cbor:"Life"`
}

// FoundingGranted allows the node to found the view of its service.
type FoundingGranted struct {
	Stamp
}

// KeyVerdict says what happens to an attempt with a caller's key.
type KeyVerdict uint8

const (
	// KeyAdmit admits the attempt at this node.
	KeyAdmit KeyVerdict = iota
	// KeyRelay passes the attempt on to the server that holds the key.
	KeyRelay
	// KeyRefuse answers the attempt with Result.
	KeyRefuse
)

// DecideKey is the decision on an attempt with a caller's key.
type DecideKey struct {
	ID      CallID
	Attempt Attempt
	Verdict KeyVerdict
	// Holder is set with KeyRelay, and Result with KeyRefuse.
	Holder Server
	Result Result
}

// Kind implements Event.
func (KeyedAttemptArrived) Kind() Kind { return KindKeyedAttemptArrived }

// Kind implements Event.
func (WitnessAsked) Kind() Kind { return KindWitnessAsked }

// Kind implements Event.
func (WitnessAnswered) Kind() Kind { return KindWitnessAnswered }

// Kind implements Event.
func (FoundingGranted) Kind() Kind { return KindFoundingGranted }

// Kind implements Effect.
func (AskFounding) Kind() Kind { return KindAskFounding }

// Kind implements Effect.
func (AskWitness) Kind() Kind { return KindAskWitness }

// Kind implements Effect.
func (AnswerWitness) Kind() Kind { return KindAnswerWitness }

// Kind implements Effect.
func (DecideKey) Kind() Kind { return KindDecideKey }
