package estimator

// replicaRows returns what a control replica needs to serve the nodes of its
// data centre.
func replicaRows(p Plan, s *Slopes) []Row {
	nodes := p.nodesPerReplica()
	return []Row{
		{
			Role: RoleReplica, Quantity: "nodes that watch it", Unit: "",
			Value:     nodes,
			Formula:   "nodes / data centres",
			Mechanism: "nodes prefer the replica listed first in their settings, that of their data centre",
		},
		{
			Role: RoleReplica, Quantity: "traffic with its nodes", Unit: "KB/s",
			Value:     nodes * (s.get("heartbeat-payload-bytes-a-second") + s.get("heartbeat-messages-a-second")*s.get("packet-header-bytes") + p.changesPerSecond()*s.get("change-bytes")) / kilobyte,
			Formula:   "nodes × a node's control traffic",
			Mechanism: "publisher",
		},
		{
			Role: RoleReplica, Quantity: "processor time for its nodes", Unit: "% of a core",
			Value:     nodes * (s.get("heartbeat-processor-microseconds-a-second") + p.changesPerSecond()*s.get("change-processor-microseconds")) * microsecond * percent,
			Formula:   "nodes × (heartbeat time + changes/s × time of a change); the slopes hold both ends, so an upper bound",
			Mechanism: "publisher",
		},
		{
			Role: RoleReplica, Quantity: "burst of bytes when its whole data centre starts anew", Unit: "MB",
			Value:     nodes * (s.get("join-bytes") + p.CalledServices*p.serversPerService()*s.get("server-change-bytes")) / mebibyte,
			Formula:   "nodes × a node's start",
			Mechanism: "publisher; nodes come back after random pauses",
		},
		{
			Role: RoleReplica, Quantity: "time to serve such a start", Unit: "s",
			Value:     nodes * s.get("join-milliseconds") * millisecond,
			Bound:     0,
			Formula:   "nodes × time of one start, one after the other",
			Mechanism: "publisher packs one set for all",
		},
	}
}

// registrarRows returns what the announcements need at each control replica.
func registrarRows(p Plan, s *Slopes) []Row {
	return []Row{
		{
			Role: RoleRegistrar, Quantity: "announced servers known", Unit: "",
			Value:     p.Nodes,
			Formula:   "nodes",
			Mechanism: "registrar: soft state at each replica, exchanged as deltas, not in the log",
		},
		{
			Role: RoleRegistrar, Quantity: "processor time for leases", Unit: "% of a core",
			Value:     leaseChecksPerSecond * s.get("lease-look-microseconds") * microsecond * percent,
			Formula:   "4 looks a second × time of a look at 6,900 leases",
			Mechanism: "registrar",
		},
		{
			Role: RoleRegistrar, Quantity: "traffic with the other replicas", Unit: "KB/s",
			Value:     (p.DataCentres - 1) * (s.get("heartbeat-messages-a-second")*s.get("packet-header-bytes") + s.get("heartbeat-payload-bytes-a-second") + p.serverChangesPerSecond()*s.get("server-change-bytes")) / kilobyte,
			Formula:   "other replicas × (heartbeats + server changes/s × bytes)",
			Mechanism: "exchange streams between replicas",
		},
	}
}

// voterRows returns what the replicated log needs.
func voterRows(p Plan, s *Slopes) []Row {
	retainedChanges := p.ChangesPerDay * p.HistoryDays
	return []Row{
		{
			Role: RoleVoter, Quantity: "changes accepted, mean", Unit: "/s",
			Value:     p.changesPerSecond(),
			Bound:     s.get("accepted-changes-a-second"),
			Formula:   "changes a day / 86,400, against the measured rate of one leader with fsync",
			Mechanism: "replicator, journaler",
		},
		{
			Role: RoleVoter, Quantity: "history kept for 30 days", Unit: "MB",
			Value:     retainedChanges * s.get("history-bytes-a-change") / mebibyte,
			Formula:   "changes a day × 30 × bytes of a change",
			Mechanism: "historian; snapshot and compaction by journaler",
		},
		{
			Role: RoleVoter, Quantity: "restart with 10,000 changes behind it", Unit: "s",
			Value:     s.get("restart-milliseconds-of-10000-changes") * millisecond,
			Bound:     1,
			Formula:   "measured",
			Mechanism: "journaler: snapshot and the entries after it",
		},
		{
			Role: RoleVoter, Quantity: "failover", Unit: "s",
			Value:     s.get("failover-milliseconds") * millisecond,
			Bound:     3,
			Formula:   "measured on loopback",
			Mechanism: "replicator: pre-vote, check-quorum, election timeout",
		},
		{
			Role: RoleVoter, Quantity: "traffic of the leader with the other replicas", Unit: "KB/s",
			Value:     ((p.DataCentres-1)*s.get("replica-heartbeat-bytes-a-second") + (p.DataCentres-1)*p.changesPerSecond()*s.get("change-bytes")) / kilobyte,
			Formula:   "other replicas × (heartbeat bytes + changes/s × bytes of a change)",
			Mechanism: "replicator",
		},
	}
}

// systemRows returns the rows for the system as a whole.
func systemRows(p Plan, s *Slopes) []Row {
	return []Row{
		{
			Role: RoleSystem, Quantity: "hosts set aside", Unit: "",
			Value:     p.DataCentres,
			Bound:     p.ControlHosts,
			Formula:   "one replica a data centre: 5 voters, the rest learners",
			Mechanism: "controller",
		},
		{
			Role: RoleSystem, Quantity: "a change in force everywhere", Unit: "s",
			Value:     s.get("change-in-force-milliseconds")*millisecond + p.RoundTrips*p.RegionRoundTripSeconds,
			Bound:     p.InForceSeconds,
			Formula:   "measured with 400 nodes at one replica + 3 round trips between regions at an assumed 200 ms",
			Mechanism: "replicator, then publisher at each replica, in parallel",
		},
		{
			Role: RoleSystem, Quantity: "added to a call, p99", Unit: "ms",
			Value:     s.get("added-p99-milliseconds"),
			Bound:     p.NodeAddedSeconds / millisecond,
			Formula:   "measured at 135 calls/s",
			Mechanism: "forwarder, receiver, dispatcher",
		},
	}
}
