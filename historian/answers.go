package historian

import "waxwingseam.example/waxwingseam"

// Answer implements Historian.
func (h *historian) Answer(id waxwingseam.SubmissionID, content uint64) (Answer, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.answered(id, content)
}

// answered returns the answer that a resend gets.
func (h *historian) answered(id waxwingseam.SubmissionID, content uint64) (Answer, bool) {
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

// keep records an answer and drops those that are too old. The newest answers
// stay whatever the clock says, so that a clock which jumps forward makes no
// resend look new.
func (h *historian) keep(c Command, a Answer) {
	h.answers[c.Submission] = h.dropped + len(h.state.Answers)
	h.state.Answers = append(h.state.Answers, answered{
		Submission: c.Submission,
		Content:    c.Content,
		At:         h.state.Clock,
		Answer:     a,
	})
	for h.droppable() {
		delete(h.answers, h.state.Answers[0].Submission)
		h.state.Answers = h.state.Answers[1:]
		h.dropped++
	}
}

func (h *historian) droppable() bool {
	n := len(h.state.Answers)
	if n <= keptAnswers {
		return false
	}
	return n > maxAnswers || h.state.Clock.Sub(h.state.Answers[0].At) > AnswerLifetime
}
