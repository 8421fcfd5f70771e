package registrar

import (
	"slices"
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// EndingTime is how long an ending is remembered. It is far longer than a heartbeat
	// can be late.
	EndingTime = time.Hour
	// maxEndings bounds the endings of one server's table. A server has one for each of
	// its incarnations, and notices of leaving may name any other instance.
	maxEndings = 64
)

// Endings holds the incarnations of one node's backend server that have reported that they
// are draining or gone, the oldest first.
type Endings []waxwingseam.Ending

// Covers reports whether an incarnation has ended. A zero start names an incarnation that
// does not report its start.
func (l Endings) Covers(instance string, started time.Time) bool {
	return slices.ContainsFunc(l, func(e waxwingseam.Ending) bool {
		switch {
		case e.Instance != instance:
			return false
		case started.IsZero():
			return true
		case e.Started.IsZero():
			// A later incarnation began after the notice without a start.
			return !started.After(e.At)
		}
		return !started.After(e.Started)
	})
}

// Add adds an ending and returns whether it was new. It drops endings that are older than
// EndingTime, and the oldest beyond the bound. Of several endings without a start, the latest
// is kept.
func (l *Endings) Add(now time.Time, e waxwingseam.Ending) bool {
	*l = slices.DeleteFunc(*l, func(known waxwingseam.Ending) bool { return now.Sub(known.At) > EndingTime })
	if l.Has(e) || now.Sub(e.At) > EndingTime {
		return false
	}
	*l = slices.DeleteFunc(*l, func(known waxwingseam.Ending) bool { return sameIncarnation(known, e) })
	*l = append(*l, e)
	*l = (*l)[max(0, len(*l)-maxEndings):]
	return true
}

// Has reports whether an ending is in the list, or a later one of the same instance if it has
// no start.
func (l Endings) Has(e waxwingseam.Ending) bool {
	return slices.ContainsFunc(l, func(known waxwingseam.Ending) bool {
		return sameIncarnation(known, e) && (!e.Started.IsZero() || !known.At.Before(e.At))
	})
}

func sameIncarnation(a, b waxwingseam.Ending) bool {
	return a.Instance == b.Instance && a.Started.Equal(b.Started)
}
