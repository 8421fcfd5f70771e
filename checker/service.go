package checker

import "waxwingseam.example/waxwingseam"

const (
	// MaxSlots is the largest number of slots of a backend server.
	MaxSlots       = 100_000
	maxConnections = 1_000_000
	maxSubsetSize  = 10_000
)

var service = &typedKind[waxwingseam.Service]{
	name: waxwingseam.KindService,
	fields: []field[waxwingseam.Service]{
		number("slots", 1, MaxSlots, 0, func(s *waxwingseam.Service) *int { return &s.Slots }),
		required(number("connections", 1, maxConnections, 0, func(s *waxwingseam.Service) *int { return &s.Connections })),
		number("subset-size", 0, maxSubsetSize, 0, func(s *waxwingseam.Service) *int { return &s.SubsetSize }),
		text("health-path", checkPrefix, func(s *waxwingseam.Service) *string { return &s.HealthPath }),
		text("protocol", nil, func(s *waxwingseam.Service) *string { return &s.Protocol }),
		boolean("tls", func(s *waxwingseam.Service) *bool { return &s.TLS }),
	},
	newObject: func(name string) waxwingseam.Service {
		return waxwingseam.Service{Name: waxwingseam.ServiceName(name)}
	},
	nameOf: func(s waxwingseam.Service) string { return string(s.Name) },
	list:   func(set *waxwingseam.Set) *[]waxwingseam.Service { return &set.Services },
}
