package allocator

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// The kinds of messages between allocators. A message is the byte of its kind and the
// CBOR encoding of the struct.
const (
	kindRequest byte = iota + 1
	kindAnswer
	kindNotice
	kindProbe
	kindProbeAnswer
)

// shardKey identifies one part of the accounts: those whose identifier is Shard modulo
// Shards. Nodes with a set of another size have other parts for a short time.
type shardKey struct {
	Shards uint16
	Shard  uint16
}

// vote says whether a node brings its part of the rates to an owner.
type vote uint8

const (
	voteNone vote = iota
	voteFull
	// voteEarly is that of a node whose former owner refused its connection. It has ended
	// if all nodes say so; if some don't, it may only be out of reach.
	voteEarly
)

// request is a message from a node to the owner of a shard. It is repeated unchanged until
// it is answered, and the owner counts it once.
type request struct {
	_    struct{} `cbor:",toarray"`
	From netip.AddrPort
	// Nodes is how many nodes the sender knows, including itself.
	Nodes  uint32
	Shards uint16
	Shard  uint16
	// Life identifies the sender's process, and Seq the request within it.
	Life uint32
	Seq  uint32
	// OwnerLife and Echo repeat the Life and the Clock of the owner's last answer.
	OwnerLife uint32
	Echo      uint32
	// Vote says whether the sender brings its part of the rates to this owner. The request
	// that takes the part back has none.
	Vote vote
	// Version is the version of the list of scarce accounts that the sender has.
	Version uint32
	// Sampled is the account whose admission caused the request by sampling; 0 without one.
	Sampled uint32
	// Plain holds the identifier and the use without credit of each account of which there
	// is no more to say, which is the usual case; Entries are the others.
	Plain   []uint32
	Entries []use
}

// uses returns what is reported of all accounts, the plain ones first.
func (m *request) uses() []use {
	out := make([]use, 0, len(m.Plain)/2+len(m.Entries))
	for i := 0; i+1 < len(m.Plain); i += 2 {
		out = append(out, use{ID: m.Plain[i], Used: m.Plain[i+1]})
	}
	return append(out, m.Entries...)
}

// use is what a node reports of one account, and what it asks for.
type use struct {
	_  struct{} `cbor:",toarray"`
	ID uint32
	// Used are admissions without credit, Returned unused credits, Refunded admitted roots
	// that did not run, and Refused the roots over the limit, all since the last request.
	Used     uint32
	Returned uint32
	Refunded uint32
	Refused  uint32
	// Waiting are the roots that wait for credit; Ahead is the credit asked for in
	// addition.
	Waiting uint32
	Ahead   uint32
}

// answer is the owner's answer to a request.
type answer struct {
	_      struct{} `cbor:",toarray"`
	From   netip.AddrPort
	Nodes  uint32
	Shards uint16
	Shard  uint16
	// Life and Seq are those of the request.
	Life uint32
	Seq  uint32
	// OwnerLife identifies the owner's process, and Clock is its time in milliseconds.
	OwnerLife uint32
	Clock     uint32
	Scarce    scarcity
	// Plain holds Admitted and Over of each plain account of the request, and Entries the
	// grants for the others, in the order of the request.
	Plain   []uint32
	Entries []grant
}

// grants returns the grants for the uses of the request.
func (m *answer) grants() []grant {
	out := make([]grant, 0, len(m.Plain)/2+len(m.Entries))
	for i := 0; i+1 < len(m.Plain); i += 2 {
		out = append(out, grant{Admitted: m.Plain[i], Over: m.Plain[i+1]})
	}
	return append(out, m.Entries...)
}

// scarcity lists the accounts of a shard that are admitted only by credit.
type scarcity struct {
	_       struct{} `cbor:",toarray"`
	Version uint32
	// All is set while the owner does not know its accounts yet.
	All bool
	// Listed is unset if the receiver has the version already.
	Listed bool
	IDs    []uint32
}

// grant is the owner's decision on one account.
type grant struct {
	_ struct{} `cbor:",toarray"`
	// Granted is the credit, and Retry the milliseconds until there is more.
	Granted uint32
	Retry   uint32
	// Admitted are the roots per second over all nodes, and Over those beyond the limit,
	// both times ten.
	Admitted uint32
	Over     uint32
}

// notice tells all nodes that accounts have become scarce.
type notice struct {
	_         struct{} `cbor:",toarray"`
	From      netip.AddrPort
	Shards    uint16
	Shard     uint16
	OwnerLife uint32
	Scarce    scarcity
}

// probe asks a node that did not answer before whether it answers again. The answer has
// the same form.
type probe struct {
	_     struct{} `cbor:",toarray"`
	From  netip.AddrPort
	Nodes uint32
}

// plain reports whether there is no more to say of the account than its use.
func (u use) plain() bool {
	return u == use{ID: u.ID, Used: u.Used}
}

// encode returns the bytes of a message.
func encode(kind byte, m any) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// The structs have no field that can't be encoded.
		panic(trace.Wrap(err))
	}
	return append([]byte{kind}, data...)
}

// decode decodes the bytes of a message behind its kind.
func decode(data []byte, m any) error {
	return trace.Wrap(cbor.Unmarshal(data[1:], m))
}
