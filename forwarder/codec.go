package forwarder

import (
	"encoding/binary"
	"maps"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"waxwingseam.example/waxwingseam"
)

// frameVersion is the first byte of each frame. Any change of the layout changes it.
const frameVersion = 3

// frameEncoding encodes frames in a fixed layout: the fields in order, numbers as
// variable-length integers, texts behind their length.
var frameEncoding drpc.Encoding = frameCodec{}

type frameCodec struct{}

// Marshal implements drpc.Encoding.
func (e frameCodec) Marshal(msg drpc.Message) ([]byte, error) {
	return e.MarshalAppend(nil, msg)
}

// MarshalAppend is Marshal with a buffer that drpc reuses.
func (frameCodec) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	f, ok := msg.(*frame)
	if !ok {
		return nil, trace.BadParameter("a %T is not a frame", msg)
	}
	c := codec{buf: buf}
	c.frame(f)
	return c.buf, c.err
}

// Unmarshal implements drpc.Encoding. It copies what it keeps of buf; f.Data reuses
// the room of the earlier Data.
func (frameCodec) Unmarshal(buf []byte, msg drpc.Message) error {
	f, ok := msg.(*frame)
	if !ok {
		return trace.BadParameter("a %T is not a frame", msg)
	}
	*f = frame{Data: f.Data[:0]}
	c := codec{buf: buf, decoding: true}
	c.frame(f)
	if c.err == nil && len(c.buf) > 0 {
		c.fail("%d bytes too many", len(c.buf))
	}
	return c.err
}

// codec appends fields to buf or, if decoding, takes them from it. Its methods have
// the same order of fields both ways.
type codec struct {
	buf      []byte
	decoding bool
	// text is a copy of buf while fields with texts are decoded. Texts share it.
	text string
	// err is the first error.
	err error
}

func (c *codec) fail(format string, args ...any) {
	if c.err == nil {
		c.err = trace.BadParameter("frame: "+format, args...)
	}
	c.buf = nil
}

// take returns the next n bytes. It fails if there are fewer.
func (c *codec) take(n uint64) []byte {
	if n > uint64(len(c.buf)) {
		c.fail("%d bytes are missing", n-uint64(len(c.buf)))
		return nil
	}
	out := c.buf[:n]
	c.buf = c.buf[n:]
	return out
}

func (c *codec) byte(v *uint8) {
	if !c.decoding {
		c.buf = append(c.buf, *v)
	} else if b := c.take(1); b != nil {
		*v = b[0]
	}
}

// flags holds up to eight conditions in one byte.
func (c *codec) flags(flags ...*bool) {
	var v uint8
	for i, set := range flags {
		if *set {
			v |= 1 << i
		}
	}
	c.byte(&v)
	if v>>len(flags) != 0 {
		c.fail("unknown flags %#x", v)
	}
	if c.decoding {
		for i, set := range flags {
			*set = v&(1<<i) != 0
		}
	}
}

func (c *codec) uvarint(v *uint64) {
	if !c.decoding {
		c.buf = binary.AppendUvarint(c.buf, *v)
		return
	}
	x, n := binary.Uvarint(c.buf)
	if n <= 0 {
		c.fail("a number is cut off or too large")
		return
	}
	*v, c.buf = x, c.buf[n:]
}

// unsigned encodes a number that is usually small.
func unsigned[T ~uint8 | ~uint16 | ~uint32 | ~uint64](c *codec, v *T) {
	x := uint64(*v)
	c.uvarint(&x)
	if *v = T(x); uint64(*v) != x {
		c.fail("%d is out of range", x)
	}
}

// signed encodes a number that is usually small and may be negative.
func signed[T ~int | ~int64](c *codec, v *T) {
	if !c.decoding {
		c.buf = binary.AppendVarint(c.buf, int64(*v))
		return
	}
	x, n := binary.Varint(c.buf)
	if n <= 0 {
		c.fail("a number is cut off or too large")
		return
	}
	*v, c.buf = T(x), c.buf[n:]
}

// fixed encodes a number that is usually large.
func (c *codec) fixed(v *uint64) {
	const size = 8
	if !c.decoding {
		c.buf = binary.BigEndian.AppendUint64(c.buf, *v)
	} else if b := c.take(size); b != nil {
		*v = binary.BigEndian.Uint64(b)
	}
}

func (c *codec) array(v []byte) {
	if !c.decoding {
		c.buf = append(c.buf, v...)
	} else {
		copy(v, c.take(uint64(len(v))))
	}
}

func (c *codec) bytes(v *[]byte) {
	n := uint64(len(*v))
	c.uvarint(&n)
	if !c.decoding {
		c.buf = append(c.buf, *v...)
	} else {
		*v = append((*v)[:0], c.take(n)...)
	}
}

// seconds encodes a time in whole seconds, as CBOR does elsewhere: a time of one
// server must be equal wherever it comes from.
func (c *codec) seconds(v *time.Time) {
	c.wholeUnits(v, time.Second)
}

// milliseconds encodes a time in whole milliseconds.
func (c *codec) milliseconds(v *time.Time) {
	c.wholeUnits(v, time.Millisecond)
}

// wholeUnits encodes a time as a count of a unit, which divides a second.
func (c *codec) wholeUnits(v *time.Time, unit time.Duration) {
	var n int64
	perSecond := int64(time.Second / unit)
	set := !v.IsZero()
	if set {
		n = v.Unix()*perSecond + int64(v.Nanosecond())/int64(unit)
	}
	c.flags(&set)
	if !set {
		return
	}
	signed(c, &n)
	if c.decoding {
		*v = time.Unix(n/perSecond, n%perSecond*int64(unit))
	}
}

// textual encodes a text that only the call refers to.
func (c *codec) textual(v *string) {
	n := uint64(len(*v))
	c.uvarint(&n)
	if !c.decoding {
		c.buf = append(c.buf, *v...)
		return
	}
	if c.text == "" {
		c.text = string(c.buf)
	}
	start := len(c.text) - len(c.buf)
	if c.take(n) != nil {
		*v = c.text[start : start+int(n)]
	}
}

// name encodes a name from the configuration or from the project itself.
func name[T ~string](c *codec, v *T) {
	repeated(c, &names, v)
}

// repeated encodes a text that occurs again and again.
func repeated[T ~string](c *codec, held *interner, v *T) {
	n := uint64(len(*v))
	c.uvarint(&n)
	if !c.decoding {
		c.buf = append(c.buf, *v...)
		return
	}
	*v = T(held.intern(c.take(n)))
}

// frame encodes a frame. Texts are last, so that their copy holds no data.
func (c *codec) frame(f *frame) {
	version := uint8(frameVersion)
	c.byte(&version)
	if version != frameVersion {
		c.fail("version %d, want %d", version, frameVersion)
		return
	}
	open, head, result := f.Open != nil, f.Head != nil, f.Result != nil
	c.byte((*uint8)(&f.Kind))
	c.flags(&open, &head, &result, &f.KeepsStream, &f.Whole)
	signed(c, &f.Offset)
	signed(c, &f.Consumed)
	signed(c, &f.Length)
	c.fixed(&f.Digest)
	unsigned(c, &f.Incarnation)
	c.bytes(&f.Data)
	if result {
		c.result(allocated(c, &f.Result))
	}
	if open {
		c.opening(allocated(c, &f.Open))
	}
	if head {
		c.head(allocated(c, &f.Head))
	}
}

// allocated returns what p points to, which is new if it is to be decoded.
func allocated[T any](c *codec, p **T) *T {
	if c.decoding {
		*p = new(T)
	}
	return *p
}

func (c *codec) opening(o *opening) {
	known, parent, traced := o.Known != nil, !o.Parent.IsZero(), o.Trace != waxwingseam.TraceContext{}
	account := o.Account != ""
	c.flags(&known, &parent, &traced, &o.Resumed, &o.Relayed, &o.Repeated, &o.Patient, &account)
	c.array(o.Root[:])
	c.array(o.ID[:])
	if parent {
		c.array(o.Parent[:])
	}
	name(c, &o.Service)
	name(c, &o.Class)
	if account {
		repeated(c, &accountNames, &o.Account)
	}
	c.rank(&o.Rank)
	unsigned(c, &o.Depth)
	unsigned(c, &o.RefusedPermille)
	unsigned(c, &o.Repeat)
	signed(c, &o.TimeToDeadline)
	c.milliseconds(&o.Deadline)
	unsigned(c, &o.Allowance)
	unsigned(c, &o.Revision)
	unsigned(c, &o.Attempt)
	unsigned(c, &o.Incarnation)
	signed(c, &o.Length)
	signed(c, &o.Offset)
	if known {
		c.known(allocated(c, &o.Known))
	}
	if traced {
		c.array(o.Trace.TraceID[:])
		c.array(o.Trace.SpanID[:])
		c.flags(&o.Trace.Sampled)
	}
	repeated(c, &fieldNames, &o.Method)
	c.textual(&o.Host)
	c.textual(&o.Target)
	c.textual(&o.Key)
	if c.decoding {
		// Records keep the key for longer than the call.
		o.Key = strings.Clone(o.Key)
	}
	c.textual(&o.RequestID)
	c.header(&o.Header)
}

func (c *codec) head(h *replyHead) {
	signed(c, &h.Status)
	signed(c, &h.Length)
	c.header(&h.Header)
}

func (c *codec) result(r *waxwingseam.Result) {
	accounts := r.Accounts != waxwingseam.AccountShares{}
	c.flags(&r.Reached, &r.RefusedBelow, &accounts)
	unsigned(c, &r.Outcome)
	name(c, &r.Reason)
	signed(c, &r.Status)
	unsigned(c, &r.Unspent)
	signed(c, &r.RetryAfter)
	c.load(&r.Load)
	signed(c, &r.Waited)
	unsigned(c, &r.CallsBelow)
	unsigned(c, &r.RefusedPermille)
	if accounts {
		c.accountShares(&r.Accounts)
	}
	signed(c, &r.Length)
	c.fixed(&r.Digest)
}

// accountShares encodes what an answer says of other accounts, in at most 16 bytes.
func (c *codec) accountShares(s *waxwingseam.AccountShares) {
	unsigned(c, &s.Others)
	for i := range s.Cut {
		unsigned(c, &s.Cut[i].Account)
		unsigned(c, &s.Cut[i].Refused)
	}
}

func (c *codec) load(l *waxwingseam.Load) {
	statement, threshold := l.Statement != nil, l.Threshold != waxwingseam.Rank{}
	pace, work := l.Pace != 0, l.WorkLeft != 0
	c.flags(&statement, &threshold, &l.Shedding, &l.Leaving, &pace, &work)
	unsigned(c, &l.InFlight)
	unsigned(c, &l.Waiting)
	unsigned(c, &l.Limit)
	if threshold {
		c.rank(&l.Threshold)
	}
	signed(c, &l.ServiceTime)
	signed(c, &l.RateDelay)
	if pace {
		unsigned(c, &l.Pace)
	}
	if work {
		signed(c, &l.WorkLeft)
	}
	if statement {
		c.known(allocated(c, &l.Statement))
	}
	unsigned(c, &l.Revision)
}

func (c *codec) rank(r *waxwingseam.Rank) {
	unsigned(c, &r.Importance)
	c.fixed(&r.Order)
}

func (c *codec) known(k *waxwingseam.KnownStatement) {
	name(c, &k.Backend.Instance)
	c.seconds(&k.Backend.Started)
	unsigned(c, &k.Backend.Node)
	c.flags(&k.Statement.Limited, &k.Statement.Leaving)
	rate := math.Float64bits(k.Statement.Rate)
	c.fixed(&rate)
	k.Statement.Rate = math.Float64frombits(rate)
	c.textual(&k.Statement.Unreadable)
	signed(c, &k.Age)
}

// header encodes HTTP headers; an empty one becomes nil.
func (c *codec) header(h *http.Header) {
	fields, values := uint64(len(*h)), uint64(0)
	for _, v := range *h {
		values += uint64(len(v))
	}
	c.uvarint(&fields)
	c.uvarint(&values)
	if !c.decoding {
		for field, v := range *h {
			c.field(field, v)
		}
		return
	}
	// A field or a value takes a byte at least.
	if fields > uint64(len(c.buf)) || values > uint64(len(c.buf)) {
		c.fail("%d headers in %d bytes", fields, len(c.buf))
	}
	if c.err != nil || fields == 0 {
		return
	}
	*h = make(http.Header, fields)
	rest := make([]string, values)
	for range fields {
		rest = c.decodeField(*h, rest)
	}
}

func (c *codec) field(field string, values []string) {
	n := uint64(len(values))
	repeated(c, &fieldNames, &field)
	c.uvarint(&n)
	for _, v := range values {
		c.textual(&v)
	}
}

// decodeField decodes a field, whose values take the first elements of room. It
// returns the rest of room.
func (c *codec) decodeField(h http.Header, room []string) []string {
	var field string
	var n uint64
	repeated(c, &fieldNames, &field)
	c.uvarint(&n)
	if n > uint64(len(room)) {
		c.fail("more header values than announced")
	}
	if c.err != nil {
		return nil
	}
	values := room[:n:n]
	for i := range values {
		c.textual(&values[i])
	}
	h[field] = values
	return room[n:]
}

const (
	// maxInterned limits the texts that an interner holds, and maxInternedLength the
	// length of each.
	maxInterned       = 512
	maxInternedLength = 64
)

// names holds names from configurations and from the project, and fieldNames the
// names of header fields and methods, which callers choose. accountNames holds names of
// client accounts, which may be many.
var names, fieldNames, accountNames interner

// interner holds one copy of each text that occurs often. Its map is copied when it
// grows, so that reading takes no lock.
type interner struct {
	mu    sync.Mutex
	texts atomic.Pointer[map[string]string]
}

// intern returns the text of b.
func (n *interner) intern(b []byte) string {
	texts := n.texts.Load()
	if texts != nil {
		if s, ok := (*texts)[string(b)]; ok {
			return s
		}
	}
	s := string(b)
	if len(s) <= maxInternedLength {
		n.add(s)
	}
	return s
}

func (n *interner) add(s string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	texts := map[string]string{}
	if held := n.texts.Load(); held != nil {
		if len(*held) >= maxInterned {
			return
		}
		texts = maps.Clone(*held)
	}
	texts[s] = s
	n.texts.Store(&texts)
}
