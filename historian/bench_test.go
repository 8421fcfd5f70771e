package historian

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// historianWithChanges returns a historian that accepted a number of changes.
func historianWithChanges(b *testing.B, changes int) Historian {
	h := New(Config{})
	for i := range changes {
		apply(b, h, command(fmt.Sprintf("01234567-89ab-cdef-%d", i), waxwingseam.Revision(i), fmt.Sprintf("s%d", i%360), 1+i))
	}
	return h
}

// BenchmarkApply measures one accepted change of one object.
func BenchmarkApply(b *testing.B) {
	h := historianWithChanges(b, 400)
	i := 400
	for b.Loop() {
		apply(b, h, command(fmt.Sprint(i), waxwingseam.Revision(i), fmt.Sprintf("s%d", i%360), 1+i))
		i++
	}
}

// BenchmarkRestore measures the restore of a snapshot after a number of changes.
func BenchmarkRestore(b *testing.B) {
	for _, changes := range []int{500, 10_000, 50_000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			data, err := historianWithChanges(b, changes).Snapshot()
			qt.Assert(b, err, qt.IsNil)
			for b.Loop() {
				qt.Assert(b, New(Config{}).Restore(data), qt.IsNil)
			}
			b.ReportMetric(float64(len(data))/float64(changes), "bytes/change")
		})
	}
}
