package dispatcher

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	// spentKeyLifetime is how long the node remembers the allowance that a key
	// has spent, after the key's last open root has ended.
	spentKeyLifetime = 10 * time.Minute
	// maxExpiredPerCall bounds the expired queue entries that are removed when
	// a root with a key arrives.
	maxExpiredPerCall = 2
)

// rootKey is a caller's idempotency key within its request class.
type rootKey struct {
	class waxwingseam.ClassName
	key   string
}

// keyAllowance is the allowance that all roots of one key share.
type keyAllowance struct {
	shared  waxwingseam.SharedAllowance
	granted waxwingseam.Allowance
	// openRoots counts the roots without a reply.
	openRoots int
	// expiresAt is when an allowance without open roots is removed.
	expiresAt time.Time
}

// keyExpiry is an entry in the queue of allowances without open roots.
type keyExpiry struct {
	key rootKey
	at  time.Time
}

// keyAllowances holds the allowances of the keys that have open roots or have
// spent a part of their allowance. A key that has spent nothing needs no entry:
// a new allowance is the same.
type keyAllowances struct {
	byKey    map[rootKey]*keyAllowance
	expiries []keyExpiry
}

// acquire returns the allowance of a key for one more open root. A new key
// starts with the granted allowance.
func (k *keyAllowances) acquire(key rootKey, granted waxwingseam.Allowance) *waxwingseam.SharedAllowance {
	a, ok := k.byKey[key]
	if !ok {
		a = &keyAllowance{shared: waxwingseam.SharedAllowance{Remaining: granted}, granted: granted}
		k.byKey[key] = a
	}
	a.openRoots++
	return &a.shared
}

// release ends one root's use of a key.
func (k *keyAllowances) release(key rootKey, now time.Time) {
	a, ok := k.byKey[key]
	if !ok {
		return
	}
	a.openRoots--
	if a.openRoots > 0 {
		return
	}
	if a.shared.Remaining >= a.granted {
		delete(k.byKey, key)
		return
	}
	a.expiresAt = now.Add(spentKeyLifetime)
	k.expiries = append(k.expiries, keyExpiry{key: key, at: a.expiresAt})
}

// expire removes a few of the allowances that have expired.
func (k *keyAllowances) expire(now time.Time) {
	for range maxExpiredPerCall {
		if len(k.expiries) == 0 || now.Before(k.expiries[0].at) {
			return
		}
		first := k.expiries[0]
		k.expiries = k.expiries[1:]
		a, ok := k.byKey[first.key]
		if ok && a.openRoots == 0 && a.expiresAt.Equal(first.at) {
			delete(k.byKey, first.key)
		}
	}
}

// rootKey returns the key of a root; false for other calls and without a key.
func (f *flight) rootKey() (rootKey, bool) {
	keyed := f.call.Parent.IsZero() && f.call.Key != ""
	return rootKey{class: f.call.Class, key: f.call.Key}, keyed
}
