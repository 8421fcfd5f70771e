// Package waxwingseam is an overload control layer for service call graphs.
//
// The package holds the types that every part shares: calls, objects,
// events, effects, and the interfaces whose implementations stand in the
// packages below it. A node's decisions are made by one reducer: events go
// in, effects come out as data, and a runner carries the effects out.
package waxwingseam
