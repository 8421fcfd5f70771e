package dispatcher_test

import (
	"fmt"
	"testing"

	"waxwingseam.example/waxwingseam"
)

// serverNames returns the names of n servers of the service "fees".
func serverNames(n int) []waxwingseam.ServerName {
	names := make([]waxwingseam.ServerName, n)
	for i := range names {
		names[i] = waxwingseam.ServerName(fmt.Sprintf("fees-%d", i))
	}
	return names
}

// BenchmarkCall measures the events of one call at its sending node: its arrival
// and the end of its only attempt, which is completed or refused.
func BenchmarkCall(b *testing.B) {
	shed := waxwingseam.Result{Outcome: waxwingseam.OutcomeDidNotRun, Reason: waxwingseam.ReasonOverloaded, Reached: true}
	for _, v := range []struct {
		name   string
		result waxwingseam.Result
	}{{"served", completed}, {"refused", shed}} {
		for _, servers := range []int{20, 1000} {
			b.Run(fmt.Sprintf("%s/servers-%d", v.name, servers), func(b *testing.B) {
				n := newNode(serverNames(servers)...)
				number := uint64(0)
				call := func() {
					number++
					id := waxwingseam.NewCallID(number, number)
					n.reducer.Reduce(waxwingseam.CallArrived{
						Stamp: waxwingseam.Stamp{Now: n.now, Random: number}, ID: id, Root: waxwingseam.RootID(id), Service: "fees",
					})
					n.reducer.Reduce(waxwingseam.AttemptEnded{Stamp: n.stamp(), ID: id, Attempt: 1, Result: v.result})
				}
				for range 100 {
					call()
				}
				b.ReportAllocs()
				for b.Loop() {
					call()
				}
			})
		}
	}
}
