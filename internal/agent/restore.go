package agent

import (
	"log/slog"
	"slices"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// restore creates a machine from the saved state and passes it the intents that the previous agent did not decide on.
func (a *Agent) restore(saved *agentstore.State) error {
	rebooted := saved.BootID != "" && saved.BootID != process.Boot()
	if saved.BootID != process.Boot() {
		a.loop.unsaved.BootID = process.Boot()
	}
	a.adoptUnrecorded(saved)
	a.loop.machine = a.newMachine(a.loop.spec)
	now := process.Now()
	if unnamed := a.loop.machine.Restore(now, saved.Snapshot, rebooted); len(unnamed) > 0 {
		return &UnnamedInstanceError{Instance: unnamed[0].Name}
	}
	a.addHistory(fleet.HistoryEvent{At: now, Event: "agent started", Cause: a.options.Build})
	for _, c := range saved.Intents {
		a.handle(now, fleet.CommandReceived{Command: c})
		a.loop.unsaved.CompletedIntents = append(a.loop.unsaved.CompletedIntents, c.ID)
	}
	return nil
}

// newMachine returns a machine for this host's instances that has no state yet.
func (a *Agent) newMachine(s *fleet.Spec) *fleet.Machine {
	config := fleet.DefaultConfig(a.options.Bounds, a.options.Seed)
	return fleet.New(s, a.options.Host, config, func(in *fleet.InstanceSpec) fleet.ShutdownWindow {
		window, err := ReadShutdownWindow(in.ConfigFile)
		if err != nil {
			slog.Warn("cannot read the shutdown window of the instance", "name", in.Name, "error", err.Error())
		}
		return window
	})
}

// adoptUnrecorded adds running instances that are missing from the saved state to it.
func (a *Agent) adoptUnrecorded(saved *agentstore.State) {
	for _, in := range a.loop.spec.InstancesOn(a.options.Host) {
		recorded := slices.ContainsFunc(saved.Instances, func(s fleet.Instance) bool { return s.Name == in.Name })
		if recorded {
			continue
		}
		adopted, running := fleet.AdoptUnrecorded(in.Name, a.supervisorRecord(in.Name))
		if !running {
			continue
		}
		slog.Warn("adopted an unrecorded running instance",
			"name", in.Name, "run", adopted.Incarnation, "why", "the instance is missing from the store")
		saved.Instances = append(saved.Instances, adopted)
	}
}

// Reload switches to a changed fleet file. If the file does not name an instance that is running here, Reload changes
// nothing and returns an *UnnamedInstanceError. Other errors are *agentapi.StatusError.
func (a *Agent) Reload(s *fleet.Spec) error {
	var rejected error
	err := a.call(func(now monotime.Micros) {
		if unnamed := a.loop.machine.RunningUnnamed(s, a.options.Host); len(unnamed) > 0 {
			rejected = &UnnamedInstanceError{Instance: unnamed[0]}
			return
		}
		const rebooted = false
		machine := a.newMachine(s)
		machine.Restore(now, a.loop.machine.Snapshot(), rebooted)
		a.loop.machine = machine
		a.loop.spec = s
		clear(a.loop.reportByInstance) // the new machine has no observations yet
		if a.options.Cluster != nil && s.Quotas != nil {
			a.options.Cluster.SetConfig(s.Quotas, s.QuotaHosts)
		}
		a.addHistory(fleet.HistoryEvent{At: now, Event: "fleet's file read anew"})
	})
	if err != nil {
		return err
	}
	return rejected
}
