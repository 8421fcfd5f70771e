// Package deduplicator records the calls of one backend server. While the record
// of a call is kept, a resend of the call joins the first run or receives its
// reply, and does not start a second run.
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

// Config holds the limits of a deduplicator; zero fields take their defaults.
type Config struct {
	// ReplyRetention is how long a reply is kept after its run, for a call that is
	// resumed over a new connection. The default is 10 seconds.
	ReplyRetention time.Duration
	// KeyedReplyRetention replaces ReplyRetention for a non-repeatable call with an
	// idempotency key, because its caller may send it again. The default is one
	// minute.
	KeyedReplyRetention time.Duration
	// RecordRetention is how long a record is kept after the later of the call's
	// deadline and the end of its run. It must exceed the largest clock difference
	// between two hosts. The default is one minute.
	RecordRetention time.Duration
	// KeyRetention replaces RecordRetention for a non-repeatable call with an
	// idempotency key. The default is 10 minutes.
	KeyRetention time.Duration
	// ReplyBytes limits the size that is counted for one reply. It should equal
	// the number of bytes that the node keeps of a reply. The default is 256 KiB.
	ReplyBytes int64
	// TotalBytes limits the size of all kept replies together. The default is
	// 32 MiB.
	TotalBytes int64
}

// idempotencyKey is a caller's key within its request class.
type idempotencyKey struct {
	class waxwingseam.ClassName
	key   string
}

// record is the record of one call.
type record struct {
	state waxwingseam.CallState
	// resumed is set once the call was resumed over a new connection. An earlier
	// request for the same call may then still arrive.
	resumed bool
	// key is the idempotency key that the call owns, if any.
	key *idempotencyKey
	// owner is the call with the same key that this call joined, if any.
	owner *waxwingseam.CallID
	// result is the result of the run; nil unless the reply is kept.
	result   *waxwingseam.Result
	deadline instant
	// expires is when the record may be removed.
	expires instant
}

type deduplicator struct {
	config   Config
	records  map[waxwingseam.CallID]*record
	keys     map[idempotencyKey]waxwingseam.CallID
	schedule schedule
	unkeyed  replies
	keyed    replies
}

// New returns a deduplicator without records.
func New(config Config) waxwingseam.Deduplicator {
	config = config.withDefaults()
	return &deduplicator{
		config:  config,
		records: map[waxwingseam.CallID]*record{},
		keys:    map[idempotencyKey]waxwingseam.CallID{},
		unkeyed: replies{retention: config.ReplyRetention},
		keyed:   replies{retention: config.KeyedReplyRetention},
	}
}

func (c Config) withDefaults() Config {
	c.ReplyRetention = orDefault(c.ReplyRetention, defaultReplyRetention)
	c.KeyedReplyRetention = orDefault(c.KeyedReplyRetention, defaultKeyedReplyRetention)
	c.RecordRetention = orDefault(c.RecordRetention, defaultRecordRetention)
	c.KeyRetention = orDefault(c.KeyRetention, defaultKeyRetention)
	c.ReplyBytes = orDefault(c.ReplyBytes, defaultReplyBytes)
	c.TotalBytes = orDefault(c.TotalBytes, defaultTotalBytes)
	return c
}

func orDefault[T time.Duration | int64](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}

// Arrive implements waxwingseam.Deduplicator.
func (d *deduplicator) Arrive(c *waxwingseam.Context, call waxwingseam.Call) waxwingseam.Record {
	if r, ok := d.records[call.ID]; ok {
		r.resumed = r.resumed || call.Resumed
		return d.recordOf(call.ID)
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
		r.state = waxwingseam.CallStateWaiting
		r.key = key
		d.claimKey(key, call.ID)
	}
	d.records[call.ID] = r
	d.setExpiry(call.ID, r, max(instantOf(c.Now), r.deadline).add(d.retention(r)))
	if r.owner == nil {
		return waxwingseam.Record{Owner: call.ID}
	}
	return d.recordOf(call.ID)
}

// keyOf returns the key by which a call joins others, or nil if it has none.
// Only calls that must not be repeated join by key.
func keyOf(call waxwingseam.Call) *idempotencyKey {
	if call.Key == "" || call.Repeat != waxwingseam.RepeatNever {
		return nil
	}
	return &idempotencyKey{
		class: call.Class,
		key:   call.Key,
	}
}

// ownerOf returns the call that owns a key, or nil if the key is free.
func (d *deduplicator) ownerOf(key idempotencyKey) *waxwingseam.CallID {
	owner, ok := d.keys[key]
	if !ok {
		return nil
	}
	return &owner
}

func (d *deduplicator) claimKey(key *idempotencyKey, id waxwingseam.CallID) {
	if key != nil {
		d.keys[*key] = id
	}
}

// recordOf returns the record of a call, or that of the call that it joined. If
// that call's record has been removed, its reply cannot be returned.
func (d *deduplicator) recordOf(id waxwingseam.CallID) waxwingseam.Record {
	r := d.records[id]
	if r.owner != nil {
		id = *r.owner
	}
	out := waxwingseam.Record{
		State: waxwingseam.CallStateReplyDropped,
		Owner: id,
	}
	if owner, ok := d.records[id]; ok {
		out.State = owner.state
		if owner.result != nil {
			out.Result = *owner.result
		}
	}
	return out
}

// retention returns how long a record is kept after its run.
func (d *deduplicator) retention(r *record) time.Duration {
	if r.key != nil {
		return d.config.KeyRetention
	}
	return d.config.RecordRetention
}

// setExpiry sets when a record expires, and schedules the first check of a new
// record.
func (d *deduplicator) setExpiry(id waxwingseam.CallID, r *record, at instant) {
	if r.expires == 0 {
		d.schedule.add(expiryCheck{at: at, id: id})
	}
	r.expires = at
}

// Refuse implements waxwingseam.Deduplicator. If an earlier request for the
// call may still arrive, the call is fenced.
func (d *deduplicator) Refuse(c *waxwingseam.Context, id waxwingseam.CallID) {
	r, ok := d.records[id]
	if !ok || r.state != waxwingseam.CallStateWaiting {
		return
	}
	d.remove(id, r)
	if r.resumed {
		d.fence(c, id, r.deadline)
	}
}

// Start implements waxwingseam.Deduplicator.
func (d *deduplicator) Start(_ *waxwingseam.Context, id waxwingseam.CallID) {
	if r, ok := d.records[id]; ok && r.state == waxwingseam.CallStateWaiting {
		r.state = waxwingseam.CallStateRunning
	}
}

// Finish implements waxwingseam.Deduplicator. A call that did not run is
// treated as refused.
func (d *deduplicator) Finish(c *waxwingseam.Context, id waxwingseam.CallID, result waxwingseam.Result) bool {
	r, ok := d.records[id]
	if !ok {
		return false
	}
	if result.Outcome == waxwingseam.OutcomeDidNotRun {
		r.state = waxwingseam.CallStateWaiting
		d.Refuse(c, id)
		return false
	}
	r.state = waxwingseam.CallStateReplyDropped
	d.setExpiry(id, r, max(instantOf(c.Now), r.deadline).add(d.retention(r)))
	bytes := min(result.Length, d.config.ReplyBytes)
	if !result.Completed() || d.unkeyed.bytes+d.keyed.bytes+bytes > d.config.TotalBytes {
		return false
	}
	r.state = waxwingseam.CallStateFinished
	r.result = &result
	d.repliesOf(r).add(instantOf(c.Now), id, bytes)
	return true
}

func (d *deduplicator) repliesOf(r *record) *replies {
	if r.key != nil {
		return &d.keyed
	}
	return &d.unkeyed
}

// Fence implements waxwingseam.Deduplicator. A call that joined another has
// started if the other has.
func (d *deduplicator) Fence(c *waxwingseam.Context, id waxwingseam.CallID, until time.Time) bool {
	r, ok := d.records[id]
	if ok {
		state := d.recordOf(id).State
		if state != waxwingseam.CallStateWaiting && state != waxwingseam.CallStateFenced {
			return true
		}
		d.remove(id, r)
	}
	d.fence(c, id, instantOf(until))
	return false
}

func (d *deduplicator) fence(c *waxwingseam.Context, id waxwingseam.CallID, until instant) {
	r := &record{state: waxwingseam.CallStateFenced}
	d.records[id] = r
	d.setExpiry(id, r, max(instantOf(c.Now), until).add(d.config.RecordRetention))
}

// Expire implements waxwingseam.Deduplicator. Besides expired replies, it
// evicts the oldest ones, those without a key first, until at most half of
// TotalBytes is used.
func (d *deduplicator) Expire(c *waxwingseam.Context) []waxwingseam.CallID {
	now := instantOf(c.Now)
	limit := d.config.TotalBytes / 2
	dropped := d.unkeyed.evict(now, max(limit-d.keyed.bytes, 0))
	dropped = append(dropped, d.keyed.evict(now, limit-d.unkeyed.bytes)...)
	for _, id := range dropped {
		d.dropResult(id)
	}
	for {
		next, ok := d.schedule.popDue(now)
		if !ok {
			return dropped
		}
		d.expire(now, next.id)
	}
}

// dropResult marks a record whose reply is no longer kept.
func (d *deduplicator) dropResult(id waxwingseam.CallID) {
	if r, ok := d.records[id]; ok && r.state == waxwingseam.CallStateFinished {
		r.state = waxwingseam.CallStateReplyDropped
		r.result = nil
	}
}

// expire removes a record that has expired, or schedules another check.
func (d *deduplicator) expire(now instant, id waxwingseam.CallID) {
	r, ok := d.records[id]
	switch {
	case !ok:
	case r.expires > now:
		d.schedule.add(expiryCheck{at: r.expires, id: id})
	case r.state == waxwingseam.CallStateRunning:
		d.schedule.add(expiryCheck{at: now.add(d.config.RecordRetention), id: id})
	default:
		d.remove(id, r)
	}
}

func (d *deduplicator) remove(id waxwingseam.CallID, r *record) {
	delete(d.records, id)
	if r.key != nil && d.keys[*r.key] == id {
		delete(d.keys, *r.key)
	}
}
