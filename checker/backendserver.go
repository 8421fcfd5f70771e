package checker

import "waxwingseam.example/waxwingseam"

const (
	// DefaultWeight is the weight of a backend server that does not set one.
	DefaultWeight = 100
	maxWeight     = 1000
)

var backendServer = &typedKind[waxwingseam.BackendServer]{
	name: waxwingseam.KindBackendServer,
	fields: []field[waxwingseam.BackendServer]{
		required(text("service", nil, func(b *waxwingseam.BackendServer) *waxwingseam.ServiceName { return &b.Service })),
		number("slots", 1, MaxSlots, 0, func(b *waxwingseam.BackendServer) *int { return &b.Slots }),
		number("connections", 1, maxConnections, 0, func(b *waxwingseam.BackendServer) *int { return &b.Connections }),
		number("weight", 1, maxWeight, DefaultWeight, func(b *waxwingseam.BackendServer) *int { return &b.Weight }),
		boolean("drained", func(b *waxwingseam.BackendServer) *bool { return &b.Drained }),
	},
	newObject: func(name string) waxwingseam.BackendServer {
		return waxwingseam.BackendServer{Name: waxwingseam.ServerName(name), Weight: DefaultWeight}
	},
	nameOf: func(b waxwingseam.BackendServer) string { return string(b.Name) },
	list:   func(set *waxwingseam.Set) *[]waxwingseam.BackendServer { return &set.BackendServers },
}
