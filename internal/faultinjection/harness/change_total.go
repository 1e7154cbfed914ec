package harness

import (
	"context"
	"syscall"
	"time"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/process"
)

// changeTotal gives a quota another total, in every host's file. A higher one may be granted from now on; a lower one
// counts once no lease from before can be left.
func (harness *Harness) changeTotal(ctx context.Context, name string, units int) error {
	version, units, err := harness.writeTotal(name, units)
	if err != nil {
		return err
	}
	harness.reload()
	harness.totalChanges.Go(func() { // once the quota store goes by it, what was granted before ends with its leases
		if harness.waitFor(ctx, maxTotalChange, "other whole", func() bool {
			harness.reload() // one that was started or stopped meanwhile may have the file of before
			state := harness.quotaState(ctx)
			return state != nil && state.Version >= version
		}) != nil {
			return
		}
		at := int64(process.Now()) + (harness.options.Lease + harness.options.Margin + leaseEndTolerance).Microseconds()
		harness.mu.Lock()
		defer harness.mu.Unlock()
		if harness.version == version { // else the total was changed again
			harness.limits[name] = append(harness.limits[name], checker.Total{From: at, Units: int64(units)})
		}
	})
	return nil
}

const (
	// maxTotalChange is how long the quota store may take until it goes by another total.
	maxTotalChange = 2 * time.Minute
	// leaseEndTolerance is how long after lease and margin units may still be in force.
	leaseEndTolerance = time.Second
)

// writeTotal writes every host's file with another total, which is at least one unit more than the floors.
func (harness *Harness) writeTotal(name string, wanted int) (version, units int, err error) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	if _, known := harness.totals[name]; !known {
		return 0, 0, &UnknownQuotaError{name}
	}
	floors := 0
	for _, quota := range harness.options.Quotas {
		if quota.Name == name {
			floors = quota.Floor * len(harness.site.Names)
		}
	}
	units = max(wanted, floors+1)
	harness.totals[name] = units
	harness.version++
	limits := harness.limits[name]
	highest := max(limits[len(limits)-1].Units, int64(units))
	harness.limits[name] = append(limits, checker.Total{From: int64(process.Now()), Units: highest})
	return harness.version, units, harness.writeFiles()
}

// reload has the agents that run read their files.
func (harness *Harness) reload() {
	for _, h := range harness.hosts {
		if h.mu.TryLock() { // else a fault acts on it, after which the agent reads the file anyway
			_ = h.cmd.Process.Signal(syscall.SIGHUP)
			h.mu.Unlock()
		}
	}
}
