// Package deduplicator keeps the records of the calls of one backend server,
// so that a resend joins or collects and never starts a second run.
package deduplicator

import (
	"time"

	"waxwingseam.example/waxwingseam"
)

const (
	defaultReplyRetention      = 10 * time.Second
	defaultKeyedReplyRetention = time.Minute
	defaultRecordRetention     = time.Minute
	defaultKeyRetention        = 10 * time.Minute
	defaultReplyBytes          = 256 << 10
	defaultTotalBytes          = 32 << 20
)

// Config holds the bounds of a deduplicator; what is zero takes its default.
type Config struct {
	// ReplyRetention is how long a reply is kept after its run, for a call that
	// goes on over a fresh connection.
	ReplyRetention time.Duration
	// KeyedReplyRetention is ReplyRetention for a not-repeatable call with a caller's
	// key, which the caller may send again.
	KeyedReplyRetention time.Duration
	// RecordRetention is how long a record outlives its deadline and its run. It is
	// longer than the clocks of two hosts may differ.
	RecordRetention time.Duration
	// KeyRetention is RecordRetention for a not-repeatable call with a caller's key.
	KeyRetention time.Duration
	// ReplyBytes is the most that is kept of one reply.
	ReplyBytes int64
	// TotalBytes bounds all replies kept.
	TotalBytes int64
}

// callersKey is a caller's key within its request class.
type callersKey struct {
	class waxwingseam.ClassName
	key   string
}

// record is what is kept of one call. A nil key is that of a call without one.
type record struct {
	standing waxwingseam.CallState
	// resumed is set once the call went on over a fresh connection, so that an
	// earlier opening may still be under way.
	resumed bool
	key     *callersKey
	// owner is set where the call joined another with the same key.
	owner *waxwingseam.CallID
	// result is set while the reply is kept.
	result   *waxwingseam.Result
	deadline instant
	// until is when the record may go.
	until instant
}

type deduplicator struct {
	config   Config
	records  map[waxwingseam.CallID]*record
	keys     map[callersKey]waxwingseam.CallID
	schedule schedule
	plain    replies
	keyed    replies
}

// New returns a deduplicator without records.
func New(config Config) waxwingseam.Deduplicator {
	config = config.withDefaults()
	return &deduplicator{
		config:  config,
		records: map[waxwingseam.CallID]*record{},
		keys:    map[callersKey]waxwingseam.CallID{},
		plain:   replies{life: config.ReplyRetention},
		keyed:   replies{life: config.KeyedReplyRetention},
	}
}

func (c Config) withDefaults() Config {
	c.ReplyRetention = or(c.ReplyRetention, defaultReplyRetention)
	c.KeyedReplyRetention = or(c.KeyedReplyRetention, defaultKeyedReplyRetention)
	c.RecordRetention = or(c.RecordRetention, defaultRecordRetention)
	c.KeyRetention = or(c.KeyRetention, defaultKeyRetention)
	c.ReplyBytes = or(c.ReplyBytes, defaultReplyBytes)
	c.TotalBytes = or(c.TotalBytes, defaultTotalBytes)
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
		r.resumed = r.resumed || call.Resumed
		return d.view(call.ID)
	}
	key := keyOf(call)
	r := &record{
		resumed:  call.Resumed,
		deadline: instantOf(call.Deadline),
	}
	if key != nil {
		r.owner = d.ownerOf(*key)
	}
	if r.owner == nil {
		r.standing = waxwingseam.CallStateWaiting
		r.key = key
		d.claim(key, call.ID)
	}
	d.records[call.ID] = r
	d.keep(call.ID, r, max(instantOf(c.Now), r.deadline).after(d.life(r)))
	if r.owner == nil {
		return waxwingseam.Record{Owner: call.ID}
	}
	return d.view(call.ID)
}

// keyOf returns the key that joins calls; nil where none does.
func keyOf(call waxwingseam.Call) *callersKey {
	if call.Key == "" || call.Repeat != waxwingseam.RepeatNever {
		return nil
	}
	return &callersKey{
		class: call.Class,
		key:   call.Key,
	}
}

// ownerOf returns the call that a key belongs to; nil while it is free.
func (d *deduplicator) ownerOf(key callersKey) *waxwingseam.CallID {
	owner, ok := d.keys[key]
	if !ok {
		return nil
	}
	return &owner
}

func (d *deduplicator) claim(key *callersKey, id waxwingseam.CallID) {
	if key != nil {
		d.keys[*key] = id
	}
}

// view returns the record of a call, or of the one that it joined. An owner
// that is forgotten leaves nothing to collect.
func (d *deduplicator) view(id waxwingseam.CallID) waxwingseam.Record {
	r := d.records[id]
	if r.owner != nil {
		id = *r.owner
	}
	out := waxwingseam.Record{
		State: waxwingseam.CallStateReplyDropped,
		Owner: id,
	}
	if owner, ok := d.records[id]; ok {
		out.State = owner.standing
		if owner.result != nil {
			out.Result = *owner.result
		}
	}
	return out
}

// life returns how long the record outlives its run.
func (d *deduplicator) life(r *record) time.Duration {
	if r.key != nil {
		return d.config.KeyRetention
	}
	return d.config.RecordRetention
}

// keep puts off the end of a record.
func (d *deduplicator) keep(id waxwingseam.CallID, r *record, until instant) {
	if r.until == 0 {
		d.schedule.add(due{at: until, id: id})
	}
	r.until = until
}

// Refuse implements waxwingseam.Deduplicator. Where an earlier opening of the
// call may still be under way, the call is fenced.
func (d *deduplicator) Refuse(c *waxwingseam.Context, id waxwingseam.CallID) {
	r, ok := d.records[id]
	if !ok || r.standing != waxwingseam.CallStateWaiting {
		return
	}
	d.forget(id, r)
	if r.resumed {
		d.fence(c, id, r.deadline)
	}
}

// Start implements waxwingseam.Deduplicator.
func (d *deduplicator) Start(_ *waxwingseam.Context, id waxwingseam.CallID) {
	if r, ok := d.records[id]; ok && r.standing == waxwingseam.CallStateWaiting {
		r.standing = waxwingseam.CallStateRunning
	}
}

// Finish implements waxwingseam.Deduplicator. A run of which nothing was
// handed over is a refusal.
func (d *deduplicator) Finish(c *waxwingseam.Context, id waxwingseam.CallID, result waxwingseam.Result) bool {
	r, ok := d.records[id]
	if !ok {
		return false
	}
	if result.Outcome == waxwingseam.OutcomeDidNotRun {
		r.standing = waxwingseam.CallStateWaiting
		d.Refuse(c, id)
		return false
	}
	r.standing = waxwingseam.CallStateReplyDropped
	d.keep(id, r, max(instantOf(c.Now), r.deadline).after(d.life(r)))
	bytes := min(result.Length, d.config.ReplyBytes)
	if !result.Completed() || d.plain.bytes+d.keyed.bytes+bytes > d.config.TotalBytes {
		return false
	}
	r.standing = waxwingseam.CallStateFinished
	r.result = &result
	d.repliesOf(r).add(instantOf(c.Now), id, bytes)
	return true
}

func (d *deduplicator) repliesOf(r *record) *replies {
	if r.key != nil {
		return &d.keyed
	}
	return &d.plain
}

// Fence implements waxwingseam.Deduplicator. A call that joined another has
// started where the other has.
func (d *deduplicator) Fence(c *waxwingseam.Context, id waxwingseam.CallID, until time.Time) bool {
	r, ok := d.records[id]
	if ok {
		standing := d.view(id).State
		if standing != waxwingseam.CallStateWaiting && standing != waxwingseam.CallStateFenced {
			return true
		}
		d.forget(id, r)
	}
	d.fence(c, id, instantOf(until))
	return false
}

func (d *deduplicator) fence(c *waxwingseam.Context, id waxwingseam.CallID, until instant) {
	r := &record{standing: waxwingseam.CallStateFenced}
	d.records[id] = r
	d.keep(id, r, max(instantOf(c.Now), until).after(d.config.RecordRetention))
}

// Expire implements waxwingseam.Deduplicator. Half of the bytes for replies
// are free again afterwards.
func (d *deduplicator) Expire(c *waxwingseam.Context) []waxwingseam.CallID {
	now := instantOf(c.Now)
	spare := d.config.TotalBytes / 2
	gone := d.plain.drop(now, max(spare-d.keyed.bytes, 0))
	gone = append(gone, d.keyed.drop(now, spare-d.plain.bytes)...)
	for _, id := range gone {
		d.unkeep(id)
	}
	for {
		next, ok := d.schedule.next(now)
		if !ok {
			return gone
		}
		d.expire(now, next.id)
	}
}

// unkeep marks a record whose reply goes.
func (d *deduplicator) unkeep(id waxwingseam.CallID) {
	if r, ok := d.records[id]; ok && r.standing == waxwingseam.CallStateFinished {
		r.standing = waxwingseam.CallStateReplyDropped
		r.result = nil
	}
}

// expire drops a record that has ended, or looks at it again later.
func (d *deduplicator) expire(now instant, id waxwingseam.CallID) {
	r, ok := d.records[id]
	switch {
	case !ok:
	case r.until > now:
		d.schedule.add(due{at: r.until, id: id})
	case r.standing == waxwingseam.CallStateRunning:
		d.schedule.add(due{at: now.after(d.config.RecordRetention), id: id})
	default:
		d.forget(id, r)
	}
}

func (d *deduplicator) forget(id waxwingseam.CallID, r *record) {
	delete(d.records, id)
	if r.key != nil && d.keys[*r.key] == id {
		delete(d.keys, *r.key)
	}
}
