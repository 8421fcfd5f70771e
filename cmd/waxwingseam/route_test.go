package main

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"waxwingseam.example/waxwingseam"
)

// TestRouteText guards against a text that leaves out what a refusal is based on, or the age
// of the figures.
func TestRouteText(t *testing.T) {
	var out bytes.Buffer
	qt.Assert(t, printRoute(&out, waxwingseam.Route{
		Service: "fees", Class: "fee", Importance: 4, Fraction: 0.9, RefusedPermille: 250,
		Reason: waxwingseam.ReasonOverloaded, Basis: waxwingseam.BasisStatedShare, BasisAge: 30 * time.Millisecond,
		Candidates: []waxwingseam.RouteCandidate{
			{
				Server: "fees-2", DataCentre: "dc-1", Stated: true, Cost: 41 * time.Millisecond, Pace: 250,
				WorkLeft: 7 * time.Millisecond, Age: 12 * time.Millisecond, InFlight: 3, Error: 1.25, Filters: []string{"tried"},
			},
			{Server: "fees-3", Cost: time.Millisecond},
		},
	}), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, `service fees, class fee, account -, importance 4
of the roots of the class, 25.0 % are refused at this node; the place of this one in the order is 0.900
would be refused: overloaded, by stated-share, known for 30ms
SERVER  DATA CENTRE  COST  BASIS      WORK LEFT  PACE  AGE   OWN CALLS  ERROR  FILTERS
fees-2  dc-1         41ms  figures    7ms        250   12ms  3          1.25   tried
fees-3               1ms   own-calls  -          -     -     0          -      -
`)
}
