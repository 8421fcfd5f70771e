package forwarder

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"waxwingseam.example/waxwingseam"
)

// prefixLimit is how many bytes of its body count for the identity of a request. A request
// can then be recognized, and kept from the backend server, before a long body has
// arrived.
const prefixLimit = 64 << 10

// maxUsualIdentity is room for the identity of a usual request.
const maxUsualIdentity = 256

// prefixSum is the digest of the first prefixLimit bytes of a body.
type prefixSum [sha256.Size]byte

// prefixKnown reports whether all bytes of the body that count for the request's identity
// have arrived. The buffer must be locked.
func (b *buffer) prefixKnown() bool {
	return b.prefixSum != nil || b.base == 0 && (b.ended || len(b.data) >= prefixLimit)
}

// sumPrefix returns the digest of the beginning of the body, which must be known. The
// buffer must be locked.
func (b *buffer) sumPrefix() *prefixSum {
	if b.prefixSum != nil {
		return b.prefixSum
	}
	sum := prefixSum(sha256.Sum256(b.data[:min(len(b.data), prefixLimit)]))
	return &sum
}

// identity returns the parts of the request's head that count for its identity.
func (h *hostedCall) identity() []byte {
	o := h.opening
	b := make([]byte, 0, maxUsualIdentity)
	b = waxwingseam.AppendText(b, o.Method)
	b = waxwingseam.AppendText(b, o.Target)
	b = h.forwarder.config.Callers.AppendIdentity(b, o.Service, o.Host, o.Header)
	if o.Account != "" {
		// The first node has removed the key, by which the caller is told otherwise.
		b = waxwingseam.AppendText(b, string(o.Account))
	}
	return b
}

// fingerprint returns the fingerprint of the call's request, with its digest only if that
// is wanted and known.
func (h *hostedCall) fingerprint(wantDigest bool) waxwingseam.Fingerprint {
	identity := h.identity()
	out := waxwingseam.Fingerprint{Head: xxhash.Sum64(identity)}
	h.mu.Lock()
	bodyDigest := h.digest.Sum64()
	h.mu.Unlock()
	b := h.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		var whole [16]byte
		binary.BigEndian.PutUint64(whole[:8], out.Head)
		binary.BigEndian.PutUint64(whole[8:], bodyDigest)
		out.Quick = xxhash.Sum64(whole[:])
	}
	if !wantDigest || !b.prefixKnown() {
		return out
	}
	sum := sha256.Sum256(append(identity, b.sumPrefix()[:]...))
	copy(out.Digest[:], sum[:])
	return out
}

// watchRequests carries out a WatchRequests.
func (f *Forwarder) watchRequests(e waxwingseam.WatchRequests) {
	if len(e.Heads) == 0 {
		f.watched.Store(nil)
		return
	}
	watched := make(map[uint64]struct{}, len(e.Heads))
	for _, v := range e.Heads {
		watched[v] = struct{}{}
	}
	f.watched.Store(&watched)
}

// watched reports whether the head of the call's request is watched.
func (h *hostedCall) watched() bool {
	watched := h.forwarder.watched.Load()
	if watched == nil {
		return false
	}
	_, ok := (*watched)[xxhash.Sum64(h.identity())]
	return ok
}

// watchedFingerprint returns the fingerprint of a watched request, and nothing for others.
func (h *hostedCall) watchedFingerprint() waxwingseam.Fingerprint {
	if !h.watched() {
		return waxwingseam.Fingerprint{}
	}
	return h.fingerprint(true)
}

// recognizable reports whether the request's digest can be computed.
func (h *hostedCall) recognizable() bool {
	h.body.mu.Lock()
	defer h.body.mu.Unlock()
	return h.body.prefixKnown()
}

// postpone reports whether the attempt's arrival has to wait for more of its body, because
// its request is watched.
func (in *inbound) postpone() bool {
	if in.call.recognizable() || !in.call.watched() {
		return false
	}
	in.postponed.Store(true)
	return true
}

// reportPostponed reports the arrival of a postponed attempt once its request can be
// recognized.
func (in *inbound) reportPostponed() {
	if in.postponed.Load() && in.call.recognizable() && in.postponed.CompareAndSwap(true, false) {
		in.report()
	}
}
