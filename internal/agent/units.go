package agent

import (
	"context"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// acquireUnit requests a unit from the quota store. If the store does not respond, acquireUnit posts nothing, and the
// machine repeats the request with the same request ID.
func (a *Agent) acquireUnit(ctx context.Context, action fleet.Action) {
	held := fleet.HeldUnit{Name: action.Name, Quota: action.Unit.Quota, RequestID: action.ID}
	if a.options.Cluster == nil {
		a.post(fleet.UnitAcquired{HeldUnit: held, Cause: errNoQuotas.Text})
		return
	}
	result, err := a.doUnitCommand(ctx, quota.Command{Acquire: a.permitCommand(action)})
	if err != nil {
		return
	}
	a.post(fleet.UnitAcquired{HeldUnit: held, Granted: result.Rejection == "", Cause: result.Rejection})
}

// releaseUnit returns a unit to the quota store. If the store does not respond, the machine repeats the release.
func (a *Agent) releaseUnit(ctx context.Context, action fleet.Action) {
	if a.options.Cluster == nil {
		a.acquireUnit(ctx, action) // posts that there are no quotas
		return
	}
	command := a.permitCommand(action)
	command.Outcome = &action.StartResult
	if _, err := a.doUnitCommand(ctx, quota.Command{Release: command}); err == nil {
		a.post(fleet.UnitReleased{Name: action.Name, RequestID: action.ID})
	}
}

// doUnitCommand sends a command to the quota store. Its timeout is longer than that of a client's call, because no
// client waits for it.
func (a *Agent) doUnitCommand(ctx context.Context, c quota.Command) (quota.Result, error) {
	const callTimeouts = 2
	ctx, cancel := context.WithTimeout(ctx, callTimeouts*a.options.Bounds.CallTimeout)
	defer cancel()
	return a.options.Cluster.Do(ctx, c)
}

// permitCommand returns the quota command that acquires or releases the unit of an action.
func (a *Agent) permitCommand(action fleet.Action) *quota.PermitCommand {
	return &quota.PermitCommand{
		Limit:     quota.LimitName(action.Unit.Quota),
		Name:      quota.InstanceName(action.Name),
		Host:      a.options.Host,
		AcquireID: action.ID,
	}
}

// reportHeldUnits posts to the loop the units that this host's instances hold according to the quota store.
func (a *Agent) reportHeldUnits(permits []quota.Permit) {
	if len(permits) == 0 {
		return
	}
	units := make([]fleet.HeldUnit, 0, len(permits))
	for _, permit := range permits {
		units = append(units, fleet.HeldUnit{
			Name:      string(permit.Name),
			Quota:     string(permit.Limit),
			RequestID: permit.AcquireID,
		})
	}
	a.post(fleet.UnitsListed{Units: units})
}
