// Package estimator calculates what each role of the system needs at a planned
// size, from measured slopes.
package estimator

// Plan is the planned size, with the bounds at that size.
type Plan struct {
	Nodes          float64
	Services       float64
	CallsPerSecond float64
	DataCentres    float64
	Voters         float64
	ChangesPerDay  float64
	// RestartsPerDay and FailuresPerDay count hosts.
	RestartsPerDay float64
	FailuresPerDay float64
	// CalledServices is the number of services that one node calls.
	CalledServices float64
	// RoundTrips is the number of round trips between regions until a change is in
	// force; RegionRoundTripSeconds is the assumed duration of one.
	RoundTrips             float64
	RegionRoundTripSeconds float64
	// HistoryDays is how long changes are kept.
	HistoryDays float64

	// InForceSeconds and the fields below it are the bounds.
	InForceSeconds   float64
	CorePercent      float64
	MemoryBytes      float64
	BytesPerSecond   float64
	ControlHosts     float64
	NodeAddedSeconds float64
}

const (
	// secondsPerDay converts rates per day into rates per second.
	secondsPerDay = 86400
	// mebibyte is the unit of the bounds on memory, in bytes; the table calls it MB.
	mebibyte = 1 << 20
	// kilobyte is the unit of the bounds on traffic, in bytes.
	kilobyte = 1000
	// leaseChecksPerSecond is how often a replica checks its leases.
	leaseChecksPerSecond = 4
	// changesPerRestart is the number of announcement changes of a restarted host.
	changesPerRestart = 3
	// microsecond is the unit of processor times, in seconds.
	microsecond = 1e-6
	// millisecond is the unit of times, in seconds.
	millisecond = 1e-3
	// percent converts fractions into percentages.
	percent = 100
)

// DefaultPlan returns the plan that the project is designed for.
func DefaultPlan() Plan {
	return Plan{
		Nodes:          6900,
		Services:       360,
		CallsPerSecond: 930000,
		DataCentres:    16,
		Voters:         5,
		ChangesPerDay:  7400,
		RestartsPerDay: 360,
		FailuresPerDay: 9,
		CalledServices: 10,
		RoundTrips:     3,
		HistoryDays:    30,

		RegionRoundTripSeconds: 0.2,

		InForceSeconds:   6,
		CorePercent:      3.9,
		MemoryBytes:      256 * mebibyte,
		BytesPerSecond:   22 * kilobyte,
		ControlHosts:     18,
		NodeAddedSeconds: 1.2 * millisecond,
	}
}

// nodesPerReplica returns the number of nodes that watch one control replica.
func (p Plan) nodesPerReplica() float64 {
	return p.Nodes / p.DataCentres
}

// serversPerService returns the number of backend servers of a service.
func (p Plan) serversPerService() float64 {
	return p.Nodes / p.Services
}

// changesPerSecond returns the mean rate of configuration changes.
func (p Plan) changesPerSecond() float64 {
	return p.ChangesPerDay / secondsPerDay
}

// serverChangesPerSecond returns the mean rate of changes of announcements.
func (p Plan) serverChangesPerSecond() float64 {
	return (p.RestartsPerDay + p.FailuresPerDay) * changesPerRestart / secondsPerDay
}
