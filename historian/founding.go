package historian

import "waxwingseam.example/waxwingseam"

// Founding grants one life the right to found the view of its service, in
// which callers' keys are claimed. It is granted once for each service: a
// second founder would know nothing of the keys that the first view claimed.
type Founding struct {
	Service     waxwingseam.ServiceName       `cbor:"1,keyasint"`
	Incarnation waxwingseam.ServerIncarnation `cbor:"2,keyasint"`
}

// found decides on a founding. The life that was granted it is told so again.
func (h *historian) found(f Founding) Answer {
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
