package waxwingseam

import "time"

// The kinds of the events and effects by which the nodes of one service agree
// on the one server that runs the calls with a caller's key.
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

// ServerIncarnation is one life of the node beside a backend server.
type ServerIncarnation struct {
	Name        ServerName  `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	// Term counts the drains that were undone in this life.
	Term uint32 `cbor:"3,keyasint,omitempty"`
}

// EqualIgnoringTerm reports whether two lives are the same but for the term.
func (l ServerIncarnation) EqualIgnoringTerm(o ServerIncarnation) bool {
	return l.Name == o.Name && l.Incarnation == o.Incarnation
}

// View is the lives that a witness counts for a quorum, in order, and those
// that it counts no more.
type View struct {
	Members []ServerIncarnation `cbor:"1,keyasint"`
	Removed []ServerIncarnation `cbor:"2,keyasint,omitempty"`
}

// Claim says which life runs the calls with a caller's key.
type Claim struct {
	Key    CallersKey        `cbor:"1,keyasint"`
	Holder ServerIncarnation `cbor:"2,keyasint"`
	// Call is the call for which the claim was made.
	Call CallID `cbor:"3,keyasint"`
	// Age is the time since the claim was recorded.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// WitnessRequest says what a node asks a witness.
type WitnessRequest uint8

const (
	// RequestClaim asks to record a claim.
	RequestClaim WitnessRequest = iota + 1
	// RequestRelease takes back a claim under which nothing ran.
	RequestRelease
	// RequestJoin asks for the claims from an index on, and to be counted.
	RequestJoin
	// RequestHandover gives claims before a leave.
	RequestHandover
	// RequestLeave asks to be counted no more.
	RequestLeave
	// RequestForget asks whether a life was lost long ago.
	RequestForget
)

// WitnessMessage is what one node asks another.
type WitnessMessage struct {
	Request WitnessRequest    `cbor:"1,keyasint"`
	From    ServerIncarnation `cbor:"2,keyasint"`
	// Claims holds the one claim asked for, or those handed over.
	Claims []Claim `cbor:"3,keyasint,omitempty"`
	// View is the sender's.
	View View `cbor:"4,keyasint"`
	// Lost is the life that is asked about.
	Lost ServerIncarnation `cbor:"7,keyasint"`
	// Index is where the claims of a join begin, and where those of a handover
	// go on; 0 at their end.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// Call is the call that the message is for.
	Call CallID `cbor:"6,keyasint"`
}

// WitnessVerdict is a witness's answer.
type WitnessVerdict uint8

const (
	// WitnessGranted means done as asked.
	WitnessGranted WitnessVerdict = iota + 1
	// WitnessTaken means that another claim on the key is recorded.
	WitnessTaken
	// WitnessStale means that the views differ.
	WitnessStale
	// WitnessUnready means that the node does not count as a witness now.
	WitnessUnready
	// WitnessJoining means that the node counts the asking one from now on, and
	// has granted nothing itself.
	WitnessJoining
)

// WitnessAnswer is a witness's answer to a message.
type WitnessAnswer struct {
	Verdict WitnessVerdict    `cbor:"1,keyasint"`
	From    ServerIncarnation `cbor:"2,keyasint"`
	// Claims holds the claim that takes the key, or those of a join.
	Claims []Claim `cbor:"3,keyasint,omitempty"`
	View   View    `cbor:"4,keyasint"`
	// Next is where the claims of a join go on; 0 at their end.
	Next uint64 `cbor:"5,keyasint,omitempty"`
}

// KeyedAttemptArrived is an attempt of a not-repeatable call with a caller's key, which
// becomes an AttemptArrived only once it may run here.
type KeyedAttemptArrived struct {
	Stamp
	Call    Call
	Attempt Attempt
	// Relayed is set when another node passed it on.
	Relayed bool
}

// WitnessAsked is a message from another node.
type WitnessAsked struct {
	Stamp
	// Number goes back with the answer.
	Number  uint64
	Message WitnessMessage
}

// WitnessAnswered is the answer to a message, or its loss.
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

// AskFounding asks whether the node may found the view of its service. It is
// granted to one life only, once in the time of the service.
type AskFounding struct {
	Service     ServiceName
	Incarnation ServerIncarnation `cbor:"Life"`
}

// FoundingGranted says that the node may found the view of its service.
type FoundingGranted struct {
	Stamp
}

// KeyVerdict says what happens to an attempt with a caller's key.
type KeyVerdict uint8

const (
	// KeyAdmit lets the attempt arrive.
	KeyAdmit KeyVerdict = iota
	// KeyRelay passes it on to the server that holds the key.
	KeyRelay
	// KeyRefuse answers it with Result.
	KeyRefuse
)

// DecideKey decides on an attempt with a caller's key.
type DecideKey struct {
	ID      CallID
	Attempt Attempt
	Verdict KeyVerdict
	Holder  Server
	Result  Result
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
