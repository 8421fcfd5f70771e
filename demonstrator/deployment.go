package demonstrator

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/examples"
	"waxwingseam.example/waxwingseam/imitator"
	"waxwingseam.example/waxwingseam/launcher"
)

// Deployment is a set of services with the requests that callers make.
type Deployment struct {
	Name string
	// Objects is the set of objects in INI format.
	Objects  []byte
	Services []launcher.Service
	Requests []Request
}

// Request is one kind of request that callers make.
type Request struct {
	Name    string
	Service waxwingseam.ServiceName
	Method  string
	Path    string
	// Percent is the percentage of this kind among all requests.
	Percent int
	// Body is the length of the body in bytes.
	Body int
	// NotRepeatable is set if the request must not run twice.
	NotRepeatable bool
	// TryTimeout is how long a caller waits for the answer to one try.
	TryTimeout time.Duration
}

// serviceTime is the mean service time of one request at every stand-in. It is long
// enough that the load generated on one machine can saturate the deployments.
const serviceTime = 200 * time.Millisecond

// uploadSize is the size of an uploaded body in bytes.
const uploadSize = 64 << 10

// Deployments returns all deployments.
func Deployments() []Deployment {
	return []Deployment{VanDalen(), Jnina()}
}

// Find returns the deployment with the given name.
func Find(name string) (Deployment, error) {
	for _, d := range Deployments() {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, trace.NotFound("no deployment is named %q", name)
}

// VanDalen returns the deployment of a hallmarking office. Its bottleneck is the
// small service "fees", which other services call.
func VanDalen() Deployment {
	fee := imitator.Child{Service: "fees", Path: "/fees/1"}
	mark := imitator.Child{Service: "mark-ledger", Method: http.MethodPost, Path: "/marks"}
	check := imitator.Child{Service: "mark-ledger", Path: "/checks/1"}
	return Deployment{
		Name:    "van-dalen",
		Objects: examples.VanDalen,
		Services: withServiceTime([]launcher.Service{
			{Name: "lot-desk", Servers: 3, Slots: 60, Connections: 500, Routes: []imitator.Route{
				{Prefix: "/registrations", Children: []imitator.Child{mark}},
				{Prefix: "/lots", Children: []imitator.Child{fee}},
				{Prefix: "/checks", Children: []imitator.Child{check}},
			}},
			{Name: "mark-ledger", Servers: 3, Slots: 60, Connections: 500, Routes: []imitator.Route{
				{Prefix: "/marks", Children: []imitator.Child{fee}},
			}},
			{Name: "assay-images", Servers: 4, Slots: 50, Connections: 400},
			{Name: "fees", Servers: 3, Slots: 15, Connections: 200},
		}),
		Requests: []Request{
			{Name: "lot-registration", Service: "lot-desk", Method: http.MethodPost, Path: "/registrations", Percent: 20, NotRepeatable: true, TryTimeout: 3 * time.Second},
			{Name: "photo-upload", Service: "assay-images", Method: http.MethodPut, Path: "/photos/1", Percent: 15, Body: uploadSize, TryTimeout: 3 * time.Second},
			{Name: "lot-lookup", Service: "lot-desk", Method: http.MethodGet, Path: "/lots/1", Percent: 40, TryTimeout: time.Second},
			{Name: "lot-check", Service: "lot-desk", Method: http.MethodGet, Path: "/checks/1", Percent: 25, TryTimeout: time.Second},
		},
	}
}

// Jnina returns the deployment of an association for seasonal work. Its bottleneck
// is the small service "rosters", which other services call.
func Jnina() Deployment {
	roster := imitator.Child{Service: "rosters", Path: "/rosters/1"}
	place := imitator.Child{Service: "placements", Path: "/placements/1"}
	return Deployment{
		Name:    "jnina",
		Objects: examples.Jnina,
		Services: withServiceTime([]launcher.Service{
			{Name: "job-board", Servers: 4, Slots: 130, Connections: 850, Routes: []imitator.Route{
				{Prefix: "/jobs", Children: []imitator.Child{roster}},
				{Prefix: "/checks", Children: []imitator.Child{place}},
			}},
			{Name: "placements", Servers: 3, Slots: 170, Connections: 1100, Routes: []imitator.Route{
				{Prefix: "/placements", Children: []imitator.Child{roster}},
			}},
			{Name: "paperwork", Servers: 3, Slots: 170, Connections: 1100},
			{Name: "rosters", Servers: 3, Slots: 30, Connections: 270},
		}),
		Requests: []Request{
			{Name: "placement", Service: "placements", Method: http.MethodPost, Path: "/placements", Percent: 20, NotRepeatable: true, TryTimeout: 3 * time.Second},
			{Name: "document-upload", Service: "paperwork", Method: http.MethodPut, Path: "/documents/1", Percent: 10, Body: uploadSize, TryTimeout: 3 * time.Second},
			{Name: "roster-lookup", Service: "rosters", Method: http.MethodGet, Path: "/rosters/1", Percent: 30, TryTimeout: time.Second},
			{Name: "job-browsing", Service: "job-board", Method: http.MethodGet, Path: "/jobs/1", Percent: 40, TryTimeout: time.Second},
		},
	}
}

// withServiceTime sets the service time of all services to serviceTime.
func withServiceTime(list []launcher.Service) []launcher.Service {
	for i := range list {
		list[i].ServiceTime = serviceTime
	}
	return list
}

// Saturation returns the highest rate, in requests per second, that the deployment
// can serve with its mix of requests. The service that saturates first limits it.
func (d Deployment) Saturation() float64 {
	load := map[waxwingseam.ServiceName]float64{}
	for _, r := range d.Requests {
		d.addLoad(load, r.Service, r.Path, float64(r.Percent)/100)
	}
	least := 0.0
	for _, s := range d.Services {
		if load[s.Name] == 0 {
			continue
		}
		rate := float64(s.Servers*s.Slots) / serviceTime.Seconds() / load[s.Name]
		if least == 0 || rate < least {
			least = rate
		}
	}
	return least
}

// addLoad adds share to the load of a service, and to the loads of the services
// that it calls for the path.
func (d Deployment) addLoad(load map[waxwingseam.ServiceName]float64, service waxwingseam.ServiceName, path string, share float64) {
	load[service] += share
	for _, s := range d.Services {
		if s.Name != service {
			continue
		}
		for _, c := range imitator.Children(s.Routes, path) {
			d.addLoad(load, c.Service, c.Path, share)
		}
	}
}
