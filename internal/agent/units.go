package agent

import (
	"context"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// acquireUnit asks the quota store for a unit. Without an answer nothing is known, and the machine asks again with the
// same request id.
func (a *Agent) acquireUnit(ctx context.Context, action fleet.Action) {
	held := fleet.HeldUnit{Name: action.Name, Quota: action.Unit.Quota, RequestID: action.ID}
	if a.options.Cluster == nil {
		a.post(fleet.UnitAcquired{HeldUnit: held, Cause: errNoQuotas.Text})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*a.options.Bounds.CallTimeout)
	defer cancel()
	result, err := a.options.Cluster.Do(ctx, quota.Command{Acquire: a.permitCommand(action)})
	if err != nil {
		return
	}
	a.post(fleet.UnitAcquired{HeldUnit: held, Granted: result.Rejection == "", Cause: result.Rejection})
}

// releaseUnit gives a unit back to the quota store; without an answer the machine asks again.
func (a *Agent) releaseUnit(ctx context.Context, action fleet.Action) {
	if a.options.Cluster == nil {
		a.acquireUnit(ctx, action) // answers that there are no quotas
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*a.options.Bounds.CallTimeout)
	defer cancel()
	command := a.permitCommand(action)
	command.Outcome = &action.StartResult
	if _, err := a.options.Cluster.Do(ctx, quota.Command{Release: command}); err == nil {
		a.post(fleet.UnitReleased{Name: action.Name, RequestID: action.ID})
	}
}

func (a *Agent) permitCommand(action fleet.Action) *quota.PermitCommand {
	return &quota.PermitCommand{
		Limit: action.Unit.Quota, Name: action.Name, Host: a.options.Host, AcquireID: action.ID,
	}
}

// reportHeldUnits gives the loop the units that the quota store has this host's instances hold.
func (a *Agent) reportHeldUnits(permits []quota.Permit) {
	if len(permits) == 0 {
		return
	}
	units := make([]fleet.HeldUnit, 0, len(permits))
	for _, permit := range permits {
		units = append(units, fleet.HeldUnit{Name: permit.Name, Quota: permit.Limit, RequestID: permit.AcquireID})
	}
	a.post(fleet.UnitsListed{Units: units})
}
