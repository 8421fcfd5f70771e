package checker

import (
	"bytes"
	"fmt"
	"testing"

	"waxwingseam.example/waxwingseam"
)

// The numbers of objects of the planned system.
const (
	plannedServices          = 360
	plannedServers           = 6_900
	plannedClassesPerService = 5
)

// plannedFile returns a file with the planned numbers of objects.
func plannedFile() File {
	var b bytes.Buffer
	fmt.Fprint(&b, "[wait-limit usual]\nwait = 250ms\nwaiting = 60\n")
	for i := range plannedServices {
		fmt.Fprintf(&b, "[service s%d]\nslots = 60\nconnections = 500\n", i)
		for j := range plannedClassesPerService {
			fmt.Fprintf(&b, "[request-class s%d-c%d]\nservice = s%d\nmethod = GET\npath = /c%d/{id}\nimportance = 5\nrepeat = idempotent\ndeadline = 1s\nwait-limit = usual\n", i, j, i, j)
		}
	}
	for i := range plannedServers {
		fmt.Fprintf(&b, "[backend-server b%d]\nservice = s%d\nslots = 50\n", i, i%plannedServices)
	}
	return File{Name: "planned.ini", Data: b.Bytes()}
}

func BenchmarkParse(b *testing.B) {
	file := plannedFile()
	b.SetBytes(int64(len(file.Data)))
	for b.Loop() {
		if _, findings := Parse(file); len(findings) > 0 {
			b.Fatal(findings)
		}
	}
}

func BenchmarkDigest(b *testing.B) {
	set, _ := Parse(plannedFile())
	for b.Loop() {
		Digest(set)
	}
}

func BenchmarkApplyChange(b *testing.B) {
	set, _ := Parse(plannedFile())
	var c Change
	c.Put.BackendServers = []waxwingseam.BackendServer{{Name: "b9", Service: "s9", Drained: true, Weight: 100}}
	digest := Digest(set)
	for b.Loop() {
		next := c.Apply(set)
		digest = c.Digest(set, digest)
		set = next
	}
}
