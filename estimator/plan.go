// Package estimator works out what each role of the system needs at the size
// planned, from measured slopes.
package estimator

// Plan is the size planned and the bounds at that size.
type Plan struct {
	Nodes          float64
	Services       float64
	CallsPerSecond float64
	DataCentres    float64
	Voters         float64
	ChangesPerDay  float64
	// RestartsPerDay and FailuresDay count hosts.
	RestartsPerDay float64
	FailuresPerDay float64
	// CalledServices is how many services one node calls.
	CalledServices float64
	// RoundTrips is how many round trips between regions lie before a change is
	// in force; RegionRoundTripSeconds is the time of one, an assumption.
	RoundTrips             float64
	RegionRoundTripSeconds float64
	// HistoryDays is for how long changes are kept.
	HistoryDays float64

	InForceSeconds   float64
	CorePercent      float64
	MemoryBytes      float64
	BytesPerSecond   float64
	ControlHosts     float64
	NodeAddedSeconds float64
}

const (
	// secondsADay turns rates a day into rates a second.
	secondsADay = 86400
	// megabyte is the unit of the bounds on memory, in bytes.
	megabyte = 1 << 20
	// kilobyte is the unit of the bounds on traffic, in bytes.
	kilobyte = 1000
	// leaseLooksASecond is how often a replica looks at its leases.
	leaseLooksASecond = 4
	// changesOfARestart is how often a restarted host changes its announcement.
	changesOfARestart = 3
	// microsecond is the unit of processor times, in seconds.
	microsecond = 1e-6
	// millisecond is the unit of times, in seconds.
	millisecond = 1e-3
	// whole is the whole, in hundredths.
	whole = 100
)

// DefaultPlan returns the size that the project is designed for.
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
		MemoryBytes:      256 * megabyte,
		BytesPerSecond:   22 * kilobyte,
		ControlHosts:     18,
		NodeAddedSeconds: 1.2 * millisecond,
	}
}

// nodesAReplica is how many nodes watch one control replica.
func (p Plan) nodesAReplica() float64 {
	return p.Nodes / p.DataCentres
}

// serversAService is how many backend servers a service has.
func (p Plan) serversAService() float64 {
	return p.Nodes / p.Services
}

// changesSecond is the mean rate of changes of configuration.
func (p Plan) changesSecond() float64 {
	return p.ChangesPerDay / secondsADay
}

// serverChangesSecond is the mean rate of changes of announcements.
func (p Plan) serverChangesSecond() float64 {
	return (p.RestartsPerDay + p.FailuresPerDay) * changesOfARestart / secondsADay
}
