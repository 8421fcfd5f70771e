package estimator

// nodeRows returns what the control of one node needs.
func nodeRows(p Plan, s *Slopes) []Row {
	heartbeatBytes := s.get("heartbeat-payload-bytes-a-second") + s.get("heartbeat-messages-a-second")*s.get("packet-header-bytes")
	changeBytes := p.changesPerSecond() * (s.get("change-bytes") + s.get("packet-header-bytes"))
	serverChanges := p.serverChangesPerSecond() * p.CalledServices / p.Services
	serverChangeBytes := serverChanges * (s.get("server-change-bytes") + s.get("packet-header-bytes"))
	processorMicroseconds := s.get("heartbeat-processor-microseconds-a-second") + p.changesPerSecond()*s.get("change-processor-microseconds")
	knownServers := p.CalledServices * p.serversPerService()
	return []Row{
		{
			Role: RoleNode, Quantity: "control traffic", Unit: "KB/s",
			Value:     (heartbeatBytes + changeBytes + serverChangeBytes) / kilobyte,
			Bound:     p.BytesPerSecond / kilobyte,
			Formula:   "heartbeat payload + messages × packet header; changes/s × (change + header); server changes seen/s × (server change + header)",
			Mechanism: "one watch connection to a control replica (subscriber, publisher): steps, not whole sets; servers of called services alone",
		},
		{
			Role: RoleNode, Quantity: "processor time for control", Unit: "% of a core",
			Value:     processorMicroseconds * microsecond * percent,
			Bound:     p.CorePercent,
			Formula:   "heartbeat time + changes/s × time of a change (both ends of the connection)",
			Mechanism: "subscriber; checker brings a digest forward by the step",
		},
		{
			Role: RoleNode, Quantity: "memory", Unit: "MB",
			Value:     (s.get("node-base-memory-bytes") + s.get("set-memory-bytes") + knownServers*s.get("known-server-bytes") + s.get("kept-replies-bytes") + s.get("records-bytes-at-135-keyed-calls-a-second") + s.get("claims-bound")*s.get("claim-bytes")) / mebibyte,
			Bound:     p.MemoryBytes / mebibyte,
			Formula:   "base + set + known servers × bytes + bound on kept replies + records at 135 keyed calls/s + bound on claims × bytes of a claim",
			Mechanism: "deduplicator bounds records and replies, arbiter bounds claims; balancer keeps the servers of called services",
		},
		{
			Role: RoleNode, Quantity: "start without a set", Unit: "KB",
			Value:     (s.get("join-bytes") + knownServers*s.get("server-change-bytes")) / kilobyte,
			Formula:   "packed set + known servers × server change",
			Mechanism: "publisher sends one packed set, then steps",
		},
	}
}
