package proposer

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/journaler"
)

// Initialize creates a cluster in an empty data folder, with this replica as
// its only voter. It fails if the folder is already formatted.
func Initialize(config Config) (waxwingseam.ClusterID, error) {
	disk, err := config.openDisk()
	if err != nil {
		return "", err
	}
	identity := waxwingseam.ReplicaIdentity{
		Cluster: newClusterID(),
		Replica: config.Self,
		Storage: newStorageID(),
	}
	err = journaler.Format(disk, identity, bootstrap(soleMembership(config, identity)))
	return identity.Cluster, trace.NewAggregate(err, disk.Close())
}

// bootstrap returns the state and the first log entry of a new cluster.
func bootstrap(m waxwingseam.Membership) waxwingseam.PersistReplica {
	first := waxwingseam.LogPosition{Index: 1, Term: 1}
	return waxwingseam.PersistReplica{
		State:   waxwingseam.ReplicaState{Term: first.Term},
		Entries: []waxwingseam.LogEntry{membershipEntry(m, first)},
	}
}

// formatAsFounder formats the data folder with a cluster ID and a first log
// entry that each founder derives from the list of founders, so that no founder
// has to wait for another.
func (p *proposer) formatAsFounder() error {
	founders := slices.Clone(p.config.Founders)
	slices.SortFunc(founders, netip.AddrPort.Compare)
	digest := xxhash.New()
	for _, address := range founders {
		_, _ = digest.WriteString(address.String() + "\n")
	}
	cluster := waxwingseam.ClusterID(fmt.Sprintf("%016x", digest.Sum64()))
	var membership waxwingseam.Membership
	for _, address := range founders {
		membership = membership.With(waxwingseam.Member{
			Replica: ReplicaIDFromAddress(address),
			Storage: founderStorageID(cluster, address),
			Address: address,
			Voter:   true,
		})
	}
	identity := waxwingseam.ReplicaIdentity{
		Cluster: cluster,
		Replica: p.config.Self,
		Storage: founderStorageID(cluster, p.config.Address),
	}
	return journaler.Format(p.disk, identity, bootstrap(membership))
}

// founderStorageID returns the storage ID of a founder, which is derived from
// its address; other storages have random IDs.
func founderStorageID(cluster waxwingseam.ClusterID, address netip.AddrPort) waxwingseam.StorageID {
	return waxwingseam.StorageID(string(cluster) + "-" + string(ReplicaIDFromAddress(address)))
}

// ReplicaIDFromAddress returns the ID of a replica that is named after its
// address.
func ReplicaIDFromAddress(address netip.AddrPort) waxwingseam.ReplicaID {
	return waxwingseam.ReplicaID(strings.NewReplacer(".", "-", ":", "-", "[", "", "]", "").Replace(address.String()))
}

// soleMembership returns a membership with the replica as its only voter.
func soleMembership(config Config, identity waxwingseam.ReplicaIdentity) waxwingseam.Membership {
	return waxwingseam.Membership{}.With(waxwingseam.Member{
		Replica: config.Self,
		Storage: identity.Storage,
		Address: config.Address,
		Voter:   true,
	})
}

// membershipEntry returns the log entry for a membership at a log position.
func membershipEntry(m waxwingseam.Membership, at waxwingseam.LogPosition) waxwingseam.LogEntry {
	return waxwingseam.LogEntry{
		Index:      at.Index,
		Term:       at.Term,
		Kind:       waxwingseam.EntryMembership,
		Membership: &m,
	}
}

func newStorageID() waxwingseam.StorageID {
	return waxwingseam.StorageID(uuid.NewString())
}

func newClusterID() waxwingseam.ClusterID {
	return waxwingseam.ClusterID(uuid.NewString())
}

// Reestablish creates a new cluster from one replica's data folder after a
// quorum of the old cluster is permanently lost. All entries in the folder come
// into force, even those that were never accepted; entries that only the lost
// replicas had are lost. The new cluster refuses replicas of the old one.
// Reestablish can be repeated after a failure.
func Reestablish(config Config) (waxwingseam.ClusterID, error) {
	disk, err := config.openDisk()
	if err != nil {
		return "", err
	}
	journal, recovery, err := journaler.Open(disk)
	if err != nil {
		return "", trace.NewAggregate(err, disk.Close())
	}
	identity := journal.Identity()
	identity.Cluster = newClusterID()
	err = reestablish(config, disk, journal, recovery, identity)
	return identity.Cluster, trace.NewAggregate(err, journal.Close())
}

// reestablish writes the identity before the membership, so that a failure in
// between leaves a replica that cannot win an election in either cluster.
func reestablish(config Config, disk waxwingseam.Disk, journal waxwingseam.Journal, recovery waxwingseam.Recovery, identity waxwingseam.ReplicaIdentity) error {
	if identity.Replica != config.Self {
		return trace.BadParameter("the data folder belongs to replica %q, not to %q", identity.Replica, config.Self)
	}
	if err := journaler.WriteIdentity(disk, identity); err != nil {
		return err
	}
	last := recovery.Base.Index + waxwingseam.LogIndex(len(recovery.Entries))
	term := recovery.State.Term + 1
	return journal.Persist(waxwingseam.PersistReplica{
		State:   waxwingseam.ReplicaState{Term: term, Settled: last + 1},
		Entries: []waxwingseam.LogEntry{membershipEntry(soleMembership(config, identity), waxwingseam.LogPosition{Index: last + 1, Term: term})},
	})
}
