package historian

import "waxwingseam.example/waxwingseam"

// Founding is the right of a server incarnation to found the view of its
// service, in which callers' keys are claimed. It is granted once per service,
// because a second view would lack the claims of the first.
type Founding struct {
	Service     waxwingseam.ServiceName       `cbor:"1,keyasint"`
	Incarnation waxwingseam.ServerIncarnation `cbor:"2,keyasint"`
}

// grantFounding grants a founding unless another incarnation holds it. A repeated
// request from the holder is answered with VerdictUnchanged.
func (h *historian) grantFounding(f Founding) Answer {
	for _, granted := range h.state.Foundings {
		if granted.Service != f.Service {
			continue
		}
		if granted.Incarnation == f.Incarnation {
			return Answer{Verdict: VerdictUnchanged, Revision: h.state.Head.Revision}
		}
		return Answer{Verdict: VerdictConflict, Revision: h.state.Head.Revision}
	}
	h.state.Foundings = append(h.state.Foundings, f)
	return Answer{Verdict: VerdictAccepted, Revision: h.state.Head.Revision}
}
