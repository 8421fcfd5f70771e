package controller

import (
	"github.com/prometheus/client_golang/prometheus"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
)

// The metrics of a control replica. Collect reads their values.
var (
	metricRevision = describe("revision", "Newest revision that the replica has applied.")
	metricLeader   = describe("leader", "1 while the replica leads the log.")
	metricCommit   = describe("log_commit_index", "Last entry of the log known to be committed.")
	metricApplied  = describe("log_applied_index", "Last entry of the log that was applied.")
	metricNodes    = describe("nodes", "Nodes that watch the replica.")
	metricLagging  = describe("nodes_lagging", "Nodes that watch the replica and hold an earlier revision.")
	metricPeers    = describe("peers_in_touch", "Other control replicas that exchange servers with this one.")
	metricDiskFull = describe("disk_full", "1 while the disk has no room and the replica stores nothing.")
	metricServers  = describe("backend_servers", "Announced backend servers known, by state.", "state")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("waxwingseam_control_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (c *controller) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		metricRevision, metricLeader, metricCommit, metricApplied,
		metricNodes, metricLagging, metricPeers, metricDiskFull, metricServers,
	} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *controller) Collect(metrics chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	head, _ := c.historian.Head()
	status, summaries := c.log.Status(), c.RevisionSummaries()
	own := summaries[0]
	gauge(metricRevision, float64(head.Revision))
	gauge(metricLeader, boolValue(status.Role == waxwingseam.RoleLeader))
	gauge(metricDiskFull, boolValue(status.DiskFull))
	gauge(metricCommit, float64(status.Commit))
	gauge(metricApplied, float64(status.Applied))
	gauge(metricNodes, float64(own.Nodes))
	gauge(metricLagging, float64(own.Nodes-own.Newest))
	gauge(metricPeers, float64(len(summaries)-1))
	for state, n := range c.countServers(head) {
		gauge(metricServers, float64(n), state)
	}
}

func boolValue(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// countServers returns the number of announced servers by state.
func (c *controller) countServers(set *waxwingseam.Set) map[string]int {
	counts := map[string]int{}
	for _, v := range administrator.ServerStatuses(set, c.publisher.Registrations()) {
		counts[v.State]++
	}
	return counts
}
