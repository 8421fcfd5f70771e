package forwarder

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// fill sets a value and all that it holds to values other than zero.
func fill(r *rand.Rand, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(r, v.Elem())
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(1+r.Int64N(1<<32), 0)))
			return
		}
		for i := range v.NumField() {
			fill(r, v.Field(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 1 + r.IntN(5) {
			key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			fill(r, key)
			fill(r, elem)
			v.SetMapIndex(key, elem)
		}
	case reflect.Slice:
		n := 1 + r.IntN(5)
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		fallthrough
	case reflect.Array:
		for i := range v.Len() {
			fill(r, v.Index(i))
		}
	case reflect.String:
		text := make([]byte, 1+r.IntN(80))
		for i := range text {
			text[i] = byte('a' + r.IntN(26))
		}
		v.SetString(string(text))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1 + r.Float64())
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1 + r.Uint64()>>(65-v.Type().Bits()))
	default:
		v.SetInt(1 + r.Int64()>>r.IntN(62))
	}
}

// newFilledFrame returns a frame in which all fields are set.
func newFilledFrame(r *rand.Rand) frame {
	var f frame
	fill(r, reflect.ValueOf(&f).Elem())
	f.Result.Load.RootLimit = 0
	return f
}

// TestFrameArrivesWhole fails if a field of a frame is not sent.
func TestFrameArrivesWhole(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var got frame
	for range 1000 {
		want := newFilledFrame(r)
		data, err := frameEncoding.Marshal(&want)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, frameEncoding.Unmarshal(data, &got), qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	}
	for _, want := range []frame{
		{Kind: frameHeartbeat, Consumed: 1 << 40},
		{Kind: frameOpen, Open: &opening{Length: -1}, Whole: true},
		{Kind: frameResult, Result: &waxwingseam.Result{Outcome: waxwingseam.OutcomeMayHaveRun}, KeepsStream: true},
	} {
		data, err := frameEncoding.Marshal(&want)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, frameEncoding.Unmarshal(data, &got), qt.IsNil)
		got.Data = nil
		qt.Assert(t, got, qt.DeepEquals, want)
	}
}

// TestDamagedFrameIsRefused decodes frames that are cut off, of another version, or
// continued, and frames with a damaged byte, which must not panic.
func TestDamagedFrameIsRefused(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	f := newFilledFrame(r)
	data, err := frameEncoding.Marshal(&f)
	qt.Assert(t, err, qt.IsNil)
	var got frame
	for n := range data {
		qt.Assert(t, frameEncoding.Unmarshal(data[:n], &got), qt.IsNotNil, qt.Commentf("%d of %d bytes", n, len(data)))
	}
	qt.Assert(t, frameEncoding.Unmarshal(append(data[:len(data):len(data)], 0), &got), qt.IsNotNil)
	for range 10_000 {
		damaged := append([]byte(nil), data...)
		damaged[r.IntN(len(damaged))] ^= byte(1 + r.IntN(255))
		_ = frameEncoding.Unmarshal(damaged, &got)
	}
	data[0]++
	qt.Assert(t, frameEncoding.Unmarshal(data, &got), qt.ErrorMatches, "frame: version 4, want 3")
}

// TestInternerIsBounded checks that texts of callers can't fill the memory.
func TestInternerIsBounded(t *testing.T) {
	var n interner
	for i := range 2 * maxInterned {
		text := []byte{byte(i >> 8), byte(i)}
		qt.Assert(t, n.intern(text), qt.Equals, string(text))
	}
	qt.Assert(t, len(*n.texts.Load()), qt.Equals, maxInterned)
	long := make([]byte, maxInternedLength+1)
	var empty interner
	qt.Assert(t, empty.intern(long), qt.Equals, string(long))
	qt.Assert(t, empty.texts.Load(), qt.IsNil)
}
