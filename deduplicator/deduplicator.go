// Package deduplicator keeps the records of the calls of one backend server,
// so that a resend joins or collects and never starts a second run.
package deduplicator

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	defaultReplyLife  = 10 * time.Second
	defaultRecordLife = time.Minute
	defaultKeyLife    = 10 * time.Minute
	defaultReplyBytes = 256 << 10
	defaultTotalBytes = 32 << 20
	defaultSkew       = 2 * time.Second
)

// Config holds the bounds of a deduplicator; what is zero takes its default.
type Config struct {
	// ReplyLife is how long a whole reply is kept after its run.
	ReplyLife time.Duration
	// RecordLife is how long a record outlives its run or its deadline.
	RecordLife time.Duration
	// KeyLife is RecordLife for a not-repeatable call with a caller's key.
	KeyLife time.Duration
	// ReplyBytes is the largest reply kept.
	ReplyBytes int64
	// TotalBytes bounds all replies kept.
	TotalBytes int64
	// Skew is added to the time for which a fence stands.
	Skew time.Duration
}

// callersKey is a caller's key within its scope.
type callersKey struct {
	class waxwingseam.ClassName
	key   string
}

type record struct {
	standing waxwingseam.Standing
	key      callersKey
	result   waxwingseam.Result
	deadline time.Time
	// until is when the record may go.
	until time.Time
	// replyUntil is when the kept reply may go.
	replyUntil time.Time
}

type deduplicator struct {
	config   Config
	records  map[waxwingseam.CallID]*record
	keys     map[callersKey]waxwingseam.CallID
	schedule schedule
	kept     int64
}

// New returns a deduplicator without records.
func New(config Config) waxwingseam.Deduplicator {
	return &deduplicator{
		config:  config.withDefaults(),
		records: map[waxwingseam.CallID]*record{},
		keys:    map[callersKey]waxwingseam.CallID{},
	}
}

func (c Config) withDefaults() Config {
	c.ReplyLife = or(c.ReplyLife, defaultReplyLife)
	c.RecordLife = or(c.RecordLife, defaultRecordLife)
	c.KeyLife = or(c.KeyLife, defaultKeyLife)
	c.ReplyBytes = or(c.ReplyBytes, defaultReplyBytes)
	c.TotalBytes = or(c.TotalBytes, defaultTotalBytes)
	c.Skew = or(c.Skew, defaultSkew)
	return c
}

func or[T time.Duration | int64](value, otherwise T) T {
	if value == 0 {
		return otherwise
	}
	return value
}

// Arrive implements waxwingseam.Deduplicator.
func (d *deduplicator) Arrive(c *waxwingseam.Context, call waxwingseam.Call) waxwingseam.Record {
	if r, ok := d.records[call.ID]; ok {
		return r.view(call.ID)
	}
	key := keyOf(call)
	if owner, ok := d.keys[key]; ok {
		return d.records[owner].view(owner)
	}
	d.add(c, call, key)
	return waxwingseam.Record{Owner: call.ID}
}

// keyOf returns the key that joins calls; zero where none does.
func keyOf(call waxwingseam.Call) callersKey {
	if call.Key == "" || call.Repeat != waxwingseam.RepeatNever {
		return callersKey{}
	}
	return callersKey{
		class: call.Class,
		key:   call.Key,
	}
}

func (d *deduplicator) add(c *waxwingseam.Context, call waxwingseam.Call, key callersKey) {
	r := &record{
		standing: waxwingseam.StandingWaiting,
		key:      key,
		deadline: call.Deadline,
	}
	d.records[call.ID] = r
	if key != (callersKey{}) {
		d.keys[key] = call.ID
	}
	d.keep(call.ID, r, latest(c.Now, call.Deadline).Add(d.life(r)))
}

func (r *record) view(id waxwingseam.CallID) waxwingseam.Record {
	return waxwingseam.Record{
		Standing: r.standing,
		Owner:    id,
		Result:   r.result,
	}
}

// life returns how long the record outlives its run.
func (d *deduplicator) life(r *record) time.Duration {
	if r.key != (callersKey{}) {
		return d.config.KeyLife
	}
	return d.config.RecordLife
}

// keep puts off the end of a record.
func (d *deduplicator) keep(id waxwingseam.CallID, r *record, until time.Time) {
	r.until = until
	d.schedule.add(due{at: until, id: id})
}

// Refuse implements waxwingseam.Deduplicator.
func (d *deduplicator) Refuse(_ *waxwingseam.Context, id waxwingseam.CallID) {
	r, ok := d.records[id]
	if !ok || r.standing != waxwingseam.StandingWaiting {
		return
	}
	d.forget(id, r)
}

// Start implements waxwingseam.Deduplicator.
func (d *deduplicator) Start(_ *waxwingseam.Context, id waxwingseam.CallID) {
	if r, ok := d.records[id]; ok {
		r.standing = waxwingseam.StandingRunning
	}
}

// Finish implements waxwingseam.Deduplicator.
func (d *deduplicator) Finish(c *waxwingseam.Context, id waxwingseam.CallID, result waxwingseam.Result) bool {
	r, ok := d.records[id]
	if !ok {
		return false
	}
	r.result = result
	r.standing = waxwingseam.StandingUnkept
	d.keep(id, r, latest(c.Now, r.deadline).Add(d.life(r)))
	if !d.fits(result) {
		return false
	}
	r.standing = waxwingseam.StandingFinished
	r.replyUntil = c.Now.Add(d.config.ReplyLife)
	d.kept += result.Length
	d.schedule.add(due{at: r.replyUntil, id: id})
	return true
}

func (d *deduplicator) fits(result waxwingseam.Result) bool {
	return result.Completed() &&
		result.Length <= d.config.ReplyBytes &&
		d.kept+result.Length <= d.config.TotalBytes
}

// Fence implements waxwingseam.Deduplicator.
func (d *deduplicator) Fence(c *waxwingseam.Context, id waxwingseam.CallID, until time.Time) bool {
	r, ok := d.records[id]
	if ok && r.standing != waxwingseam.StandingWaiting && r.standing != waxwingseam.StandingFenced {
		return true
	}
	if ok {
		d.forget(id, r)
	}
	fence := &record{standing: waxwingseam.StandingFenced}
	d.records[id] = fence
	d.keep(id, fence, latest(c.Now, until).Add(d.config.Skew))
	return false
}

// Expire implements waxwingseam.Deduplicator.
func (d *deduplicator) Expire(c *waxwingseam.Context) []waxwingseam.CallID {
	var gone []waxwingseam.CallID
	for {
		next, ok := d.schedule.next(c.Now)
		if !ok {
			return gone
		}
		if d.expire(c.Now, next.id) {
			gone = append(gone, next.id)
		}
	}
}

// expire drops what has ended of one record and reports whether its kept
// reply goes.
func (d *deduplicator) expire(now time.Time, id waxwingseam.CallID) bool {
	r, ok := d.records[id]
	if !ok {
		return false
	}
	dropped := r.standing == waxwingseam.StandingFinished && !r.replyUntil.After(now)
	if dropped {
		r.standing = waxwingseam.StandingUnkept
		d.kept -= r.result.Length
	}
	if !r.until.After(now) && r.standing != waxwingseam.StandingRunning {
		d.forget(id, r)
	}
	return dropped
}

func (d *deduplicator) forget(id waxwingseam.CallID, r *record) {
	delete(d.records, id)
	if d.keys[r.key] == id {
		delete(d.keys, r.key)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
