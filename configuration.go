package waxwingseam

import "context"

// ConfigurationVerdict is the outcome of the submission of a numbered set.
type ConfigurationVerdict uint8

const (
	// ConfigurationAccepted means that the set is, or was, in force.
	ConfigurationAccepted ConfigurationVerdict = iota + 1
	// ConfigurationConflict means that a set other than the base is in force.
	ConfigurationConflict
)

// Configurer accepts sets that operators number themselves.
type Configurer interface {
	// Submit puts a numbered set in force in place of the one numbered base; 0
	// stands for none. Once a set was accepted, submitting it again returns the
	// same verdict. The error is of type Findings if the set is invalid; after
	// any other error the outcome is unknown.
	Submit(ctx context.Context, set *Set, base uint64) (ConfigurationVerdict, error)
	// Current returns the newest accepted set, which must not be changed, or an
	// error if the replica can't tell which set that is.
	Current(ctx context.Context) (*Set, error)
}
