// Package examples embeds the object sets of two example deployments in INI format.
package examples

import _ "embed" // for the go:embed directives

// VanDalen is the object set of a hallmarking office in three data centres.
//
//go:embed van-dalen/objects.ini
var VanDalen []byte

// Jnina is the object set of an association for seasonal work in three data
// centres.
//
//go:embed jnina/objects.ini
var Jnina []byte
