package journaler

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// ending returns a message with the n-th ending of a server.
func ending(n int) waxwingseam.EndingsMessage {
	at := time.UnixMilli(1_700_000_000_123 + int64(n)).UTC()
	return waxwingseam.EndingsMessage{Server: "fees-1", Endings: []waxwingseam.Ending{{Instance: fmt.Sprint("i-", n), Started: at, At: at}}}
}

// storeEndings appends four endings, with a rewrite before the last one, and returns how many
// were acknowledged until the first error.
func storeEndings(d waxwingseam.Disk) (int, error) {
	l, _, err := OpenEndings(d)
	if err != nil {
		return 0, err
	}
	var all []waxwingseam.EndingsMessage
	for n := range 4 {
		if n == 3 {
			if err := l.Rewrite(all); err != nil {
				return n, err
			}
		}
		all = append(all, ending(n))
		if err := l.Append(all[n:]); err != nil {
			return n, err
		}
	}
	return len(all), nil
}

func recoverEndings(t *testing.T, d waxwingseam.Disk, description string) []waxwingseam.EndingsMessage {
	t.Helper()
	_, recovered, err := OpenEndings(d)
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", description))
	qt.Assert(t, recovered.Damage, qt.IsNil, qt.Commentf("%s", description))
	return recovered.Messages
}

// TestAcknowledgedEndingIsLost guards against endings that are acknowledged and lost with the
// power, at each step and in each loss mode.
func TestAcknowledgedEndingIsLost(t *testing.T) {
	reference := newCrashDisk()
	n, err := storeEndings(reference)
	qt.Assert(t, err, qt.IsNil)
	for step := 1; step <= reference.steps; step++ {
		for _, l := range lossModes {
			d := newCrashDisk()
			d.failAt, d.failure = step, errCrash
			acknowledged, err := storeEndings(d)
			qt.Assert(t, err, qt.ErrorMatches, "(?s).*the host failed.*")
			d.crash(l)
			description := fmt.Sprintf("step %d, %s", step, l)
			got := recoverEndings(t, d, description)
			qt.Assert(t, acknowledged <= len(got) && len(got) <= n, qt.IsTrue, qt.Commentf("%s: %v", description, got))
			for i, m := range got {
				qt.Assert(t, fmt.Sprint(m), qt.Equals, fmt.Sprint(ending(i)), qt.Commentf("%s", description))
			}
		}
	}
}

// TestEndingsAfterFullDisk guards against a log of endings that stays unusable, or loses what
// it acknowledged, once the disk has room again.
func TestEndingsAfterFullDisk(t *testing.T) {
	reference := newCrashDisk()
	_, err := storeEndings(reference)
	qt.Assert(t, err, qt.IsNil)
	for step := 1; step <= reference.steps; step++ {
		d := newCrashDisk()
		l, _, err := OpenEndings(d)
		qt.Assert(t, err, qt.IsNil)
		all := make([]waxwingseam.EndingsMessage, 0, 4)
		d.failAt, d.failure = step, errFull
		for n := range 4 {
			if n == 3 && l.Rewrite(all) != nil {
				d.failAt = 0
			}
			all = append(all, ending(n))
			if l.Append(all[n:]) != nil {
				d.failAt = 0
				qt.Assert(t, l.Append(all[n:]), qt.IsNil, qt.Commentf("step %d", step))
			}
		}
		d.crash(loseAll)
		description := fmt.Sprintf("step %d", step)
		qt.Assert(t, fmt.Sprint(recoverEndings(t, d, description)), qt.Equals, fmt.Sprint(all), qt.Commentf("%s", description))
	}
}

// FuzzOpenEndings opens a log with arbitrary bytes after a whole record. What can be read is
// recovered, and what is appended later is recovered as well.
func FuzzOpenEndings(f *testing.F) {
	whole, err := encodeRecord([]waxwingseam.EndingsMessage{ending(0), ending(1)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole[:len(whole)/2])
	f.Add(append(slices.Clone(whole), 0, 0, 0))
	f.Add(bytes.Replace(whole, []byte("i-0"), []byte("i-7"), 1))
	odd, err := encodeRecord([]any{map[int]any{1: 7, 3: "x"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(odd, whole...))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := encodeRecord([]waxwingseam.EndingsMessage{ending(2)})
		qt.Assert(t, err, qt.IsNil)
		d := newCrashDisk()
		d.names[endingsFile] = &inode{data: append(first, data...)}
		l, recovered, err := OpenEndings(d)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(recovered.Messages) > 0, qt.IsTrue)
		qt.Assert(t, l.Append([]waxwingseam.EndingsMessage{ending(3)}), qt.IsNil)
		_, again, err := OpenEndings(d)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Messages, qt.HasLen, len(recovered.Messages)+1)
	})
}

// BenchmarkAppendEnding measures the time and the bytes of one ending in a folder.
func BenchmarkAppendEnding(b *testing.B) {
	d, err := OpenFolder(b.TempDir())
	qt.Assert(b, err, qt.IsNil)
	l, _, err := OpenEndings(d)
	qt.Assert(b, err, qt.IsNil)
	n := 0
	for b.Loop() {
		qt.Assert(b, l.Append([]waxwingseam.EndingsMessage{ending(n)}), qt.IsNil)
		n++
	}
	b.ReportMetric(float64(l.Size())/float64(n), "bytes/ending")
	qt.Assert(b, l.Close(), qt.IsNil)
}
