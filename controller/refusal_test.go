package controller

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/operator"
)

// refusalOf returns the status and reason of a refusal, and zero values for any
// other error.
func refusalOf(err error) (int, administrator.Reason) {
	var r *operator.Refusal
	if errors.As(err, &r) {
		return r.Status, r.Reason
	}
	return 0, ""
}

// TestRefusals checks that requests with various faults are refused with the right
// status and reason, and that none of them becomes a revision.
func TestRefusals(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "operators.ini")
	operators := fmt.Sprintf("[operator alice]\nrights = write\ntoken-digest = %s\n[operator bob]\nrights = read\ntoken-digest = %s\n",
		authenticator.Digest("a"), authenticator.Digest("b"))
	qt.Assert(t, os.WriteFile(file, []byte(operators), 0o600), qt.IsNil)
	config := Config{Replica: "r1", Messenger: listen(t, loopback), DataFolder: t.TempDir(), Voter: true, OperatorsFile: file}
	initialize(t, config)
	control := startReplica(t, config)
	client := func(token string) operator.Client {
		return operator.New(operator.Config{Address: control.operators, Token: token})
	}
	alice := client("a")
	good := submission("first", example(t, "jnina"))
	_, err := alice.Submit(t.Context(), good)
	qt.Assert(t, err, qt.IsNil)

	other, late, ahead, bad, empty, large := good, good, good, good, good, good
	other.Files = nil
	late.ID = "late"
	ahead.ID, ahead.BaseRevision = "ahead", 9
	bad.ID, bad.Files = "bad", append(bad.Files, good.Files...)
	empty.ID = ""
	large.ID, large.Files = "large", append(large.Files, good.Files...)
	large.Files[1].Data = bytes.Repeat([]byte("#"), administrator.MaxBody)
	for _, v := range []struct {
		name   string
		token  string
		s      administrator.Submission
		status int
		reason administrator.Reason
	}{
		{"no token", "", good, http.StatusUnauthorized, "unknown-operator"},
		{"wrong token", "c", good, http.StatusUnauthorized, "unknown-operator"},
		{"no right to write", "b", good, http.StatusForbidden, "missing-right"},
		{"resent with other content", "a", other, http.StatusConflict, administrator.ReasonOtherContent},
		{"old base", "a", late, http.StatusConflict, administrator.ReasonConflict},
		{"unknown base", "a", ahead, http.StatusConflict, administrator.ReasonUnknownRevision},
		{"findings", "a", bad, http.StatusUnprocessableEntity, administrator.ReasonFindings},
		{"no submission id", "a", empty, http.StatusBadRequest, administrator.ReasonBadRequest},
		{"oversized", "a", large, http.StatusRequestEntityTooLarge, administrator.ReasonTooLarge},
	} {
		t.Run(v.name, func(t *testing.T) {
			_, err := client(v.token).Submit(t.Context(), v.s)
			status, reason := refusalOf(err)
			qt.Assert(t, status, qt.Equals, v.status)
			qt.Assert(t, reason, qt.Equals, v.reason)
		})
	}
	again, err := alice.Submit(t.Context(), good)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, int(again.Revision), qt.Equals, 1)
	history, err := client("b").History(t.Context(), 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, history.Entries, qt.HasLen, 1)
	qt.Assert(t, history.Entries[0].Operator, qt.Equals, "alice")
}

// TestDrainNeedsAcceptedWarnings checks that a drain of a service's only server is
// refused unless its warnings are accepted, and that it can be undone.
func TestDrainNeedsAcceptedWarnings(t *testing.T) {
	t.Parallel()
	control := startCluster(t, 1)[0]
	n := startNode(t, "fees-1", control.address)
	n.updates.await(t, "own server received", func() bool { _, ok := n.server("fees-1"); return ok })
	_, _ = submit(t, submission("first", example(t, "van-dalen")), control)
	drain := administrator.DrainRequest{ID: "drain", BackendServer: "fees-1"}
	_, err := control.client.Drain(t.Context(), drain)
	_, reason := refusalOf(err)
	qt.Assert(t, reason, qt.Equals, administrator.ReasonWarnings)
	drain.AcceptWarnings = true
	answer, err := control.client.Drain(t.Context(), drain)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, int(answer.Revision), qt.Equals, 2)
	n.updates.await(t, "drain in force", func() bool { return n.revision() == 2 })
	answer, err = control.client.Drain(t.Context(), administrator.DrainRequest{ID: "undo", BackendServer: "fees-1", Undo: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, int(answer.Revision), qt.Equals, 3)
	_, err = control.client.Drain(t.Context(), administrator.DrainRequest{ID: "none", BackendServer: "none"})
	_, reason = refusalOf(err)
	qt.Assert(t, reason, qt.Equals, administrator.ReasonUnknownServer)
}
