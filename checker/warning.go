package checker

import (
	"fmt"

	"waxwingseam.example/waxwingseam"
)

// Warnings returns a warning for each service that a change removes while backend
// servers announce it, each backend server that it removes while the server is
// announced, and each service that it leaves without a server that accepts calls.
func Warnings(before, after *waxwingseam.Set, announced []waxwingseam.Server) waxwingseam.Findings {
	var findings waxwingseam.Findings
	for _, s := range before.Services {
		n := countAnnounced(announced, s.Name)
		if _, ok := after.Service(s.Name); !ok && n > 0 {
			findings = append(findings, warning(waxwingseam.KindService, string(s.Name), fmt.Sprintf("is removed while %d backend servers announce it", n)))
		}
	}
	for _, b := range before.BackendServers {
		if _, ok := after.BackendServer(b.Name); !ok && isAnnounced(announced, b.Name) {
			findings = append(findings, warning(waxwingseam.KindBackendServer, string(b.Name), "is removed while it is announced"))
		}
	}
	for _, s := range after.Services {
		if countAccepting(before, s.Name, announced) > 0 && countAccepting(after, s.Name, announced) == 0 {
			findings = append(findings, warning(waxwingseam.KindService, string(s.Name), "is left without a backend server that takes calls"))
		}
	}
	return findings
}

// DrainWarnings returns the warnings about draining one backend server.
func DrainWarnings(set *waxwingseam.Set, name waxwingseam.ServerName, service waxwingseam.ServiceName, announced []waxwingseam.Server) waxwingseam.Findings {
	object, _ := set.BackendServer(name)
	object.Name, object.Service, object.Drained = name, service, true
	var change Change
	change.Put.BackendServers = []waxwingseam.BackendServer{object}
	return Warnings(set, change.Apply(set), announced)
}

func warning(kind waxwingseam.Kind, name, text string) waxwingseam.Finding {
	return waxwingseam.Finding{Section: ID{Kind: kind, Name: name}.String(), Warning: true, Text: text}
}

func countAnnounced(announced []waxwingseam.Server, service waxwingseam.ServiceName) int {
	n := 0
	for _, v := range announced {
		if v.Service == service {
			n++
		}
	}
	return n
}

func isAnnounced(announced []waxwingseam.Server, name waxwingseam.ServerName) bool {
	for _, v := range announced {
		if v.Name == name {
			return true
		}
	}
	return false
}

// countAccepting returns the number of a service's announced servers that accept
// calls.
func countAccepting(set *waxwingseam.Set, service waxwingseam.ServiceName, announced []waxwingseam.Server) int {
	n := 0
	for _, v := range announced {
		object, _ := set.BackendServer(v.Name)
		if v.Service == service && !v.Leaving && !object.Drained {
			n++
		}
	}
	return n
}
