package administrator

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/checker"
	"waxwingseam.example/waxwingseam/historian"
)

// ConfigurerConfig holds the dependencies of a configurer.
type ConfigurerConfig struct {
	Historian historian.Historian
	Log       Log
	Logger    *slog.Logger
}

type configurer struct {
	config ConfigurerConfig
}

// NewConfigurer returns a configurer that proposes sets to the replicated log.
func NewConfigurer(config ConfigurerConfig) waxwingseam.Configurer {
	return &configurer{config: config}
}

// Submit implements waxwingseam.Configurer.
func (f *configurer) Submit(ctx context.Context, set *waxwingseam.Set, base uint64) (waxwingseam.ConfigurationVerdict, error) {
	checker.Normalize(set)
	text := checker.Format(set)
	content := contentDigest(strconv.FormatUint(set.Number, 10), strconv.FormatUint(base, 10), string(text))
	id := waxwingseam.SubmissionID(fmt.Sprintf("number-%d-%016x", set.Number, content))
	if f.accepted(id, content) {
		return waxwingseam.ConfigurationAccepted, nil
	}
	parsed, findings := checker.Parse(checker.File{Name: "set", Data: text})
	if len(findings) > 0 {
		return 0, findings
	}
	if !bytes.Equal(checker.Format(parsed), text) {
		// The set in force would differ from the one that was checked.
		return 0, waxwingseam.Findings{{File: "set", Line: 1, Text: "the set has a text that objects can't represent"}}
	}
	head, _ := f.config.Historian.Head()
	if !canFollow(set, base, head) {
		if err := f.config.Log.ReadIndex(ctx); err != nil {
			return 0, err
		}
		if f.accepted(id, content) {
			return waxwingseam.ConfigurationAccepted, nil
		}
		head, _ = f.config.Historian.Head()
	}
	if !canFollow(set, base, head) {
		f.logVerdict(id, set, base, head, historian.VerdictConflict)
		return waxwingseam.ConfigurationConflict, nil
	}
	return f.propose(ctx, id, content, set, head)
}

// accepted reports whether a submission with this content was accepted before.
func (f *configurer) accepted(id waxwingseam.SubmissionID, content uint64) bool {
	answer, ok := f.config.Historian.Answer(id, content)
	return ok && answer.Verdict == historian.VerdictAccepted
}

// canFollow reports whether a numbered set may replace the one in force.
func canFollow(set *waxwingseam.Set, base uint64, head *waxwingseam.Set) bool {
	return head.Number == base && set.Number > head.Number
}

// propose submits the change from the set in force to the log. The verdict is a
// conflict if another change is applied first.
func (f *configurer) propose(ctx context.Context, id waxwingseam.SubmissionID, content uint64, set, head *waxwingseam.Set) (waxwingseam.ConfigurationVerdict, error) {
	next := checker.Clone(set)
	next.BackendServers = retainedServers(head, next)
	command, err := historian.Encode(historian.Command{
		Submission: id,
		At:         time.Now().UTC(),
		Base:       head.Revision,
		Content:    content,
		Change:     checker.ChangeOf(head, next),
		Number:     set.Number,
	})
	if err != nil {
		return 0, err
	}
	data, err := f.config.Log.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	answer, err := historian.DecodeAnswer(data)
	if err != nil {
		return 0, err
	}
	f.logVerdict(id, set, head.Number, head, answer.Verdict)
	if answer.Verdict == historian.VerdictAccepted {
		return waxwingseam.ConfigurationAccepted, nil
	}
	return waxwingseam.ConfigurationConflict, nil
}

// retainedServers returns the backend server objects of the set in force, such as
// drained ones, whose services are still in the next set.
func retainedServers(head, next *waxwingseam.Set) []waxwingseam.BackendServer {
	return slices.DeleteFunc(slices.Clone(head.BackendServers), func(b waxwingseam.BackendServer) bool {
		_, ok := next.Service(b.Service)
		return !ok
	})
}

func (f *configurer) logVerdict(id waxwingseam.SubmissionID, set *waxwingseam.Set, base uint64, head *waxwingseam.Set, verdict historian.Verdict) {
	f.config.Logger.Info("configuration decided on",
		"submission-id", id, "number", set.Number, "base", base,
		"in-force", head.Number, "revision", head.Revision, "verdict", verdict)
}

// Current implements waxwingseam.Configurer.
func (f *configurer) Current(ctx context.Context) (*waxwingseam.Set, error) {
	if err := f.config.Log.ReadIndex(ctx); err != nil {
		return nil, err
	}
	head, _ := f.config.Historian.Head()
	return head, nil
}
