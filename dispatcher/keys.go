package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// keyLifetime is how long the allowance that a key has spent stays spent.
	keyLifetime = 10 * time.Minute
	// expiredPerCall bounds the old keys that one arriving call forgets.
	expiredPerCall = 2
)

// rootKey is a caller's idempotency key within its request class.
type rootKey struct {
	class waxwingseam.ClassName
	key   string
}

// keyedPot is the allowance that all roots of one key share.
type keyedPot struct {
	pot     waxwingseam.SharedAllowance
	granted waxwingseam.Allowance
	// flights counts the roots that have no answer yet.
	flights int
	// until is when an unused pot is forgotten.
	until time.Time
}

// keyExpiry is a place in the line of unused pots.
type keyExpiry struct {
	key rootKey
	at  time.Time
}

// keys keeps the pots of the keys that are in use or have spent something. A
// key that has spent nothing needs no memory: a new pot is the same.
type keys struct {
	pots map[rootKey]*keyedPot
	line []keyExpiry
}

// open returns the pot of a key, granted when the key is new.
func (k *keys) open(key rootKey, granted waxwingseam.Allowance) *waxwingseam.SharedAllowance {
	p, ok := k.pots[key]
	if !ok {
		p = &keyedPot{pot: waxwingseam.SharedAllowance{Remaining: granted}, granted: granted}
		k.pots[key] = p
	}
	p.flights++
	return &p.pot
}

// close ends one root's use of a key.
func (k *keys) close(key rootKey, now time.Time) {
	p, ok := k.pots[key]
	if !ok {
		return
	}
	p.flights--
	if p.flights > 0 {
		return
	}
	if p.pot.Remaining >= p.granted {
		delete(k.pots, key)
		return
	}
	p.until = now.Add(keyLifetime)
	k.line = append(k.line, keyExpiry{key: key, at: p.until})
}

// expire forgets a few of the pots that have been unused for their lifetime.
func (k *keys) expire(now time.Time) {
	for range expiredPerCall {
		if len(k.line) == 0 || now.Before(k.line[0].at) {
			return
		}
		first := k.line[0]
		k.line = k.line[1:]
		p, ok := k.pots[first.key]
		if ok && p.flights == 0 && p.until.Equal(first.at) {
			delete(k.pots, first.key)
		}
	}
}

// rootKey returns the key of a root that has one.
func (f *flight) rootKey() (rootKey, bool) {
	keyed := f.call.Parent.IsZero() && f.call.Key != ""
	return rootKey{class: f.call.Class, key: f.call.Key}, keyed
}
