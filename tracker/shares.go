package tracker

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

// shareLifetime is how long a share of roots to refuse counts after it was noted.
const shareLifetime = 2 * time.Second

// shares holds, for the runs of a place, the latest share of each service that they
// call. Not every run calls all of them.
type shares map[waxwingseam.Place]map[waxwingseam.ServiceName]notedShare

type notedShare struct {
	at    time.Time
	value waxwingseam.Permille
}

// expire removes the shares that no longer count.
func (s shares) expire(now time.Time) {
	for place, services := range s {
		for name, v := range services {
			if now.Sub(v.at) >= shareLifetime {
				delete(services, name)
			}
		}
		if len(services) == 0 {
			delete(s, place)
		}
	}
}

// NoteRefused implements waxwingseam.Tracker.
func (t *tracker) NoteRefused(now time.Time, parent waxwingseam.CallID, service waxwingseam.ServiceName, share waxwingseam.Permille) {
	r, ok := t.runs[parent]
	if !ok {
		return
	}
	t.note(now, r.call.Place(), service, share)
}

func (t *tracker) note(now time.Time, key waxwingseam.Place, service waxwingseam.ServiceName, share waxwingseam.Permille) {
	services, ok := t.shares[key]
	if !ok {
		if share == 0 {
			return
		}
		if now.Sub(t.sharesExpired) >= shareLifetime {
			t.shares.expire(now)
			t.sharesExpired = now
		}
		services = map[waxwingseam.ServiceName]notedShare{}
		t.shares[key] = services
	}
	services[service] = notedShare{at: now, value: share}
}

// Refused implements waxwingseam.Tracker.
func (t *tracker) Refused(now time.Time, place waxwingseam.Place) waxwingseam.Permille {
	if place.Account > waxwingseam.TagAny {
		if _, ok := t.shares[place]; !ok {
			place.Account = waxwingseam.TagOthers
		}
	}
	largest, current := waxwingseam.Permille(0), false
	for _, v := range t.shares[place] {
		if now.Sub(v.at) < shareLifetime {
			largest, current = max(largest, v.value), current || v.value > 0
		}
	}
	if !current {
		delete(t.shares, place)
	}
	return largest
}
