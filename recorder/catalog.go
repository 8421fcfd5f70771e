package recorder

import (
	"reflect"

	"waxwingseam.example/waxwingseam"
)

// Catalog maps the kind of each event in a log to its Go type.
type Catalog map[waxwingseam.Kind]reflect.Type

// NewCatalog returns a catalog of the types of the given events.
func NewCatalog(events ...waxwingseam.Event) Catalog {
	c := Catalog{}
	for _, e := range events {
		c[e.Kind()] = reflect.TypeOf(e)
	}
	return c
}

// DefaultCatalog returns the catalog of the events of a node.
func DefaultCatalog() Catalog {
	return NewCatalog(
		waxwingseam.CallArrived{},
		waxwingseam.CallerLeft{},
		waxwingseam.ReplyStarted{},
		waxwingseam.BodyConsumed{},
		waxwingseam.AttemptEnded{},
		waxwingseam.AttemptSilent{},
		waxwingseam.FenceAnswered{},
		waxwingseam.TimerFired{},
		waxwingseam.ServersUpdated{},
		waxwingseam.SetAdopted{},
		waxwingseam.ControlHeard{},
		waxwingseam.AttemptArrived{},
		waxwingseam.AttemptCancelled{},
		waxwingseam.RunEnded{},
		waxwingseam.FenceAsked{},
		waxwingseam.DrainAsked{},
		waxwingseam.BackendReported{},
		waxwingseam.EndingsLearned{},
		waxwingseam.BackendStated{},
		waxwingseam.IncarnationSuperseded{},
		waxwingseam.KeyedAttemptArrived{},
		waxwingseam.WitnessAsked{},
		waxwingseam.WitnessAnswered{},
		waxwingseam.FoundingGranted{},
		waxwingseam.BackendProbed{},
		waxwingseam.EndsReceived{},
		waxwingseam.QuarantineOrdered{},
		waxwingseam.RetryHistoryLearned{},
		waxwingseam.AccountMessageReceived{},
		waxwingseam.AccountMessageRefused{},
		waxwingseam.RouteAsked{},
	)
}
