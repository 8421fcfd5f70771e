// Package waxwingseam is an overload control layer for service call graphs.
//
// The package holds the types that all parts share: calls, objects, events,
// effects, and the interfaces that the subpackages implement. A node makes its
// decisions in a single reducer, which turns events into effects. Effects are
// data; a runner carries them out.
package waxwingseam
