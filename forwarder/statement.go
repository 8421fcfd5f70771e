package forwarder

import (
	"net/http"
	"sync"

	"waxwingseam.example/waxwingseam"
)

// statementFilter selects the statements that are reported as events: the first of
// each incarnation of the backend server, and each change after it.
type statementFilter struct {
	mu       sync.Mutex
	reported bool
	backend  waxwingseam.BackendIncarnation
	handOver uint64
	last     waxwingseam.Statement
}

// selects records the statement in the answer to a run and reports whether it is to
// be reported. An answer to a run that was handed over earlier than that of the last
// statement is too old.
func (f *statementFilter) selects(run waxwingseam.Run, s waxwingseam.Statement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reported && run.HandOver < f.handOver {
		return false
	}
	changed := !f.reported || !f.backend.Equal(run.Backend) || f.last != s
	f.reported, f.backend, f.handOver, f.last = true, run.Backend, run.HandOver, s
	return changed
}

// reportStatement reports the statement in the header of an answer to a run.
func (f *Forwarder) reportStatement(run waxwingseam.Run, header http.Header) {
	statement := f.config.BackendServer.ParseStatement(header)
	if !f.statements.selects(run, statement) {
		return
	}
	f.config.Step(func(s waxwingseam.Stamp) waxwingseam.Event {
		return waxwingseam.BackendStated{
			Stamp:     s,
			Backend:   run.Backend,
			HandOver:  run.HandOver,
			Statement: statement,
		}
	})
}
