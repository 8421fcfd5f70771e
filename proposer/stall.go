package proposer

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// fullDiskRetryInterval is the minimum time between two writes to a full disk.
	fullDiskRetryInterval = 100 * time.Millisecond
	// maxHeldEffects and maxHeldBytes bound what is held while the disk is full, in effects and
	// in bytes of commands and snapshots.
	maxHeldEffects = 4096
	maxHeldBytes   = 16 << 20
)

// heldEffects are effects in the order in which the reducer emitted them, with the writes to
// the journal that they wait for.
type heldEffects struct {
	effects []waxwingseam.Effect
	// written is the number of effects at the start of the list whose writes are in the
	// journal; state is the state in the last of these writes, nil if there was none.
	written int
	state   *waxwingseam.ReplicaState
	bytes   int
}

func (h *heldEffects) add(e waxwingseam.Effect) {
	h.effects = append(h.effects, e)
	switch v := e.(type) {
	case waxwingseam.PersistReplica:
		for _, entry := range v.Entries {
			h.bytes += len(entry.Command)
		}
	case waxwingseam.PersistSnapshot:
		h.bytes += len(v.Snapshot.Data)
	}
}

// confirm records that the writes of the first n effects are in the journal.
func (h *heldEffects) confirm(n int, state waxwingseam.ReplicaState) {
	h.written, h.state = n, &state
}

// take returns all effects and empties the list.
func (h *heldEffects) take() []waxwingseam.Effect {
	effects := h.effects
	*h = heldEffects{}
	return effects
}

func (h *heldEffects) tooLarge() bool {
	return len(h.effects) > maxHeldEffects || h.bytes > maxHeldBytes
}

// stalled reports whether the disk was full at the last write.
func (p *proposer) stalled() bool {
	return !p.stalledSince.IsZero()
}

// stall records that the disk is full. It returns the events that have the replica leave the
// lead: a leader that can't store entries would hold up all changes that the others could
// accept.
func (p *proposer) stall(cause error) []eventFunc {
	if !p.stalled() {
		p.stalledSince = time.Now()
		p.config.Logger.Warn("the disk is full: the replica stores nothing, and answers nothing that must be stored, until there is room", "cause", cause)
		p.answerHeld(p.held.effects)
	}
	if p.reducer.Status().Role != waxwingseam.RoleLeader || time.Since(p.handoverAsked) < p.config.handoverTimeout() {
		return nil
	}
	p.handoverAsked = time.Now()
	return []eventFunc{handoverEvent}
}

// endStall records that a write has succeeded.
func (p *proposer) endStall() {
	if p.stalled() {
		p.config.Logger.Info("the disk has room again", "after", time.Since(p.stalledSince), "effects", len(p.held.effects))
		p.stalledSince, p.handoverAsked = time.Time{}, time.Time{}
	}
}

// answerHeld answers the requests whose effects are held. A confirmed read and a refusal need
// no write. A command may be in force already, but is not applied here.
func (p *proposer) answerHeld(effects []waxwingseam.Effect) {
	for _, e := range effects {
		switch v := e.(type) {
		case waxwingseam.AnswerRequest:
			p.answer(v.ID, answer{index: v.Index})
		case waxwingseam.RefuseRequest:
			p.answer(v.ID, answer{reason: v.Reason})
		case waxwingseam.ApplyEntry:
			if v.Request != 0 {
				p.answer(v.Request, answer{reason: waxwingseam.ReasonOutcomeUnknown})
			}
		}
	}
}
