package historian

import "waxwingseam.example/waxwingseam"

// Answer implements Historian.
func (h *historian) Answer(id waxwingseam.SubmissionID, content uint64) (Answer, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.findAnswer(id, content)
}

// findAnswer returns the stored answer to a submission. Other content under the
// same identifier is answered with VerdictOtherContent.
func (h *historian) findAnswer(id waxwingseam.SubmissionID, content uint64) (Answer, bool) {
	i, ok := h.answers[id]
	if !ok {
		return Answer{}, false
	}
	first := h.state.Answers[i-h.dropped]
	if first.Content != content {
		return Answer{Verdict: VerdictOtherContent, Revision: first.Answer.Revision}, true
	}
	return first.Answer, true
}

// storeAnswer stores an answer and drops the oldest answers while these are older
// than AnswerLifetime or more than maxAnswers are stored. The newest minAnswers are
// kept regardless of their age, so that resends are still recognized after a clock
// jumped forward.
func (h *historian) storeAnswer(c Command, a Answer) {
	h.answers[c.Submission] = h.dropped + len(h.state.Answers)
	h.state.Answers = append(h.state.Answers, storedAnswer{
		Submission: c.Submission,
		Content:    c.Content,
		At:         h.state.Clock,
		Answer:     a,
	})
	for h.canDropOldest() {
		delete(h.answers, h.state.Answers[0].Submission)
		h.state.Answers = h.state.Answers[1:]
		h.dropped++
	}
}

func (h *historian) canDropOldest() bool {
	n := len(h.state.Answers)
	if n <= minAnswers {
		return false
	}
	return n > maxAnswers || h.state.Clock.Sub(h.state.Answers[0].At) > AnswerLifetime
}
