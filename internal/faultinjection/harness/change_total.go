package harness

import (
	"context"
	"syscall"
	"time"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/process"
)

// changeTotal changes a quota's total in every host's fleet file. The checker allows a higher total from now on, but
// applies a lower one only when every lease granted under the old total has expired.
func (harness *Harness) changeTotal(ctx context.Context, name string, units int) error {
	version, units, err := harness.writeTotal(name, units)
	if err != nil {
		return err
	}
	harness.reload()
	harness.totalChanges.Go(func() {
		// Grants made before the quota store applied the new total end with their leases.
		if harness.waitFor(ctx, totalChangeTimeout, "new total in the quota store", func() bool {
			harness.reload() // an agent that was started or stopped meanwhile may still have the old file
			state := harness.quotaState(ctx)
			return state != nil && state.Version >= version
		}) != nil {
			return
		}
		at := int64(process.Now()) + (harness.options.Lease + harness.options.Margin + leaseEndTolerance).Microseconds()
		harness.mu.Lock()
		defer harness.mu.Unlock()
		if harness.version == version { // otherwise the total was changed again
			harness.limits[name] = append(harness.limits[name], checker.Total{From: at, Units: int64(units)})
		}
	})
	return nil
}

const (
	// totalChangeTimeout limits the wait until the quota store applies a new total.
	totalChangeTimeout = 2 * time.Minute
	// leaseEndTolerance is how long grants may remain in force after the lease and the margin.
	leaseEndTolerance = time.Second
)

// writeTotal writes every host's fleet file with a new total and returns the version of the quotas and the total. The
// total is at least one unit more than the sum of the floors.
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

// reload makes the agents reread their fleet files.
func (harness *Harness) reload() {
	for _, h := range harness.hosts {
		if h.mu.TryLock() { // otherwise a fault acts on the agent, which reads the file after it anyway
			_ = h.cmd.Process.Signal(syscall.SIGHUP)
			h.mu.Unlock()
		}
	}
}
