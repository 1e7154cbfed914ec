package agent

import (
	"log/slog"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// restore brings the saved state into a new machine and decides on intents that an earlier agent left.
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

func (a *Agent) newMachine(s *fleet.Spec) *fleet.Machine {
	config := fleet.DefaultConfig(a.options.Bounds, a.options.Seed)
	return fleet.New(s, a.options.Host, config, func(in *fleet.InstanceSpec) fleet.ShutdownWindow {
		window, err := ReadShutdownWindow(in.ConfigFile)
		if err != nil {
			slog.Warn("config", "name", in.Name, "error", err.Error())
		}
		return window
	})
}

// adoptUnrecorded adds instances that run although the store does not know them.
func (a *Agent) adoptUnrecorded(saved *agentstore.State) {
	recorded := map[string]bool{}
	for _, in := range saved.Instances {
		recorded[in.Name] = true
	}
	for _, in := range a.loop.spec.InstancesOn(a.options.Host) {
		if recorded[in.Name] {
			continue
		}
		adopted, running := fleet.AdoptUnrecorded(in.Name, a.supervisorRecord(in.Name))
		if !running {
			continue
		}
		slog.Warn("adopt", "name", in.Name, "run", adopted.Incarnation, "why", "the record does not know it")
		saved.Instances = append(saved.Instances, adopted)
	}
}

// Reload uses a changed fleet file from now on. It fails, and changes nothing, if an instance runs here that the file
// does not name any more.
func (a *Agent) Reload(s *fleet.Spec) error {
	var rejected error
	err := a.call(func(now monotime.Micros) {
		if unnamed := a.loop.machine.RunningUnnamed(s, a.options.Host); len(unnamed) > 0 {
			rejected = &UnnamedInstanceError{Instance: unnamed[0]}
			return
		}
		machine := a.newMachine(s)
		machine.Restore(now, a.loop.machine.Snapshot(), false)
		a.loop.machine, a.loop.spec = machine, s
		clear(a.loop.reports) // the new machine has observed nothing yet
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
