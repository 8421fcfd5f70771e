package runner

import "time"

// minSuspension is the shortest suspension that is noticed.
const minSuspension = 50 * time.Millisecond

// suspension measures for how long the process has been suspended. The steady clock
// stops during a suspension, whereas the time of day and the time since the boot of the
// host go on. Reading the latter costs a system call, so that it is read only after the
// time of day has moved against the steady clock.
type suspension struct {
	started time.Time
	// sinceBoot returns the time since the boot of the host, including suspensions;
	// 0 if it is unknown.
	sinceBoot func() time.Duration
	// startedAfter is the time since the boot at started.
	startedAfter time.Duration
	// shift is how far the time of day had moved when sinceBoot was last read.
	shift time.Duration
	total time.Duration
}

func newSuspension(now time.Time, sinceBoot func() time.Duration) suspension {
	return suspension{started: now, sinceBoot: sinceBoot, startedAfter: sinceBoot()}
}

// until returns for how long the process was suspended until now.
func (s *suspension) until(now time.Time) time.Duration {
	return s.advance(now.Round(0).Sub(s.started.Round(0)), now.Sub(s.started))
}

// advance returns for how long the process was suspended, given the elapsed times by the
// time of day and by the steady clock.
func (s *suspension) advance(timeOfDay, steady time.Duration) time.Duration {
	shift := timeOfDay - steady
	if moved := shift - s.shift; moved.Abs() < minSuspension {
		return s.total
	}
	s.shift = shift
	suspended := s.sinceBoot() - s.startedAfter - steady
	if s.startedAfter > 0 && suspended >= s.total+minSuspension {
		s.total = suspended
	}
	return s.total
}
