package agent

import (
	"fmt"
	"log/slog"
	"slices"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// save writes what is not written yet. After an error it stays unsaved, and is written with what follows.
func (a *Agent) save() {
	snapshot, deleted := a.loop.machine.Changes()
	mergeChange(&a.loop.unsaved, agentstore.Change{Snapshot: snapshot, DeletedCommands: deleted})
	if a.loop.unsaved.Empty() {
		return
	}
	err := a.options.Store.Save(a.loop.unsaved)
	switch {
	case err != nil && a.loop.storeErr == nil:
		slog.Error("store", "written", false, "error", err.Error())
	case err == nil && a.loop.storeErr != nil:
		slog.Info("store", "written", true)
	}
	a.loop.storeErr = err
	if err == nil {
		a.loop.unsaved = agentstore.Change{}
	}
}

// mergeChange adds a later change to one that is still to be written: the later state of an instance or a command
// replaces the earlier, and a deleted command is not written.
func mergeChange(to *agentstore.Change, later agentstore.Change) {
	for _, in := range later.Instances {
		to.Instances = replaceOrAppend(to.Instances, in, func(o fleet.Instance) bool { return o.Name == in.Name })
	}
	for _, c := range later.Commands {
		to.Commands = replaceOrAppend(to.Commands, c, func(o *fleet.Command) bool { return o.ID == c.ID })
	}
	to.DeletedCommands = append(to.DeletedCommands, later.DeletedCommands...)
	to.Commands = slices.DeleteFunc(to.Commands, func(c *fleet.Command) bool {
		return slices.Contains(later.DeletedCommands, c.ID)
	})
}

func replaceOrAppend[T any](list []T, item T, same func(T) bool) []T {
	if i := slices.IndexFunc(list, same); i >= 0 {
		list[i] = item
		return list
	}
	return append(list, item)
}

// saveIntent makes a command durable before anything is decided. What can't be saved is not accepted.
func (a *Agent) saveIntent(now monotime.Micros, r agentapi.CommandRequest) error {
	if a.loop.storeErr == nil {
		err := a.options.Store.Save(agentstore.Change{Intent: newCommand(now, r)})
		if err == nil {
			return nil
		}
		a.loop.storeErr = err
		slog.Error("store", "written", false, "error", err.Error())
	}
	return unavailable(fmt.Sprintf("nothing new is taken: the record can't be written: %v", a.loop.storeErr))
}
