package waxwingseam

import "time"

// The kinds of the event and the effect about the keys of client accounts.
const (
	KindControlHeard Kind = "control-heard"
	KindRequireKeys  Kind = "require-keys"
)

// ControlHeard says that a control replica has confirmed that the node's set is the
// newest. It is reported only while the set has client accounts.
type ControlHeard struct {
	Stamp
	// Age is how long ago the node sent the report that control has answered.
	Age time.Duration
}

// RequireKeys says whether the configuration in force has client accounts, so that keys
// of roots are not passed on.
type RequireKeys struct {
	Required bool
}

// Kind implements Event.
func (ControlHeard) Kind() Kind { return KindControlHeard }

// Kind implements Effect.
func (RequireKeys) Kind() Kind { return KindRequireKeys }
