package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// FaultControlDiskLost is a control replica that is killed, loses its disk and starts again.
const FaultControlDiskLost Fault = "control-disk-lost"

const (
	// meanDiskLossGap is the mean time between the starts of two of these faults.
	meanDiskLossGap = 6 * time.Second
	// rejoinTimeout bounds the time after which a replica that has lost its disk votes again.
	// It is far longer than a join takes.
	rejoinTimeout = 20 * time.Second
)

// PlanLostDisks returns the times at which control replicas lose their disks. The same
// arguments give the same times.
func PlanLostDisks(seed uint64, duration time.Duration) []Step {
	return planApart(rand.New(rand.NewPCG(seed, 5)), FaultControlDiskLost, meanDiskLossGap, duration, replicaCount)
}

// loseDisk kills a control replica, empties its data folder and starts it again. It returns
// once the replica votes again, so that no other fault of control comes before.
func (d *deployment) loseDisk(ctx context.Context, s Step) string {
	d.controlFaultMu.Lock()
	defer d.controlFaultMu.Unlock()
	r := d.replicas[s.Target]
	r.kill()
	err := errors.Join(os.RemoveAll(r.dataFolder), os.WriteFile(r.settingsPath, []byte(r.laterSettings), 0o600))
	if err != nil {
		return r.name + " kept its data folder: " + err.Error()
	}
	time.Sleep(s.Duration / 2)
	if err := r.start(); err != nil {
		return r.name + " did not start: " + err.Error()
	}
	ctx, cancel := context.WithTimeout(ctx, rejoinTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := r.client().Status(ctx)
		if err == nil && status.Log.Self.Voter && status.Log.Leader != "" {
			return ""
		}
		time.Sleep(pollInterval)
	}
	return fmt.Sprintf("%s does not vote %v after it lost its disk", r.name, rejoinTimeout)
}
