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

// save writes the unsaved changes. After an error they are kept and written together with later ones.
func (a *Agent) save() {
	snapshot, deleted := a.loop.machine.Changes()
	mergeChange(&a.loop.unsaved, agentstore.Change{Snapshot: snapshot, DeletedCommands: deleted})
	if a.loop.unsaved.Empty() {
		return
	}
	err := a.options.Store.Save(a.loop.unsaved)
	a.loop.setStoreErr(err)
	if err == nil {
		a.loop.unsaved = agentstore.Change{}
	}
}

// setStoreErr records the result of a write, and logs when writes begin to fail and when they succeed again.
func (l *loopState) setStoreErr(err error) {
	switch {
	case err != nil && l.storeErr == nil:
		slog.Error("cannot write the agent store", "written", false, "error", err.Error())
	case err == nil && l.storeErr != nil:
		slog.Info("agent store is writable again", "written", true)
	}
	l.storeErr = err
}

// mergeChange merges a later change into one that is not written yet. The later state of an instance or command
// replaces the earlier one, and commands that were deleted since are removed from the commands to write.
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

// replaceOrAppend replaces the first item of the list for which same returns true, or appends the item if there is
// none.
func replaceOrAppend[T any](list []T, item T, same func(T) bool) []T {
	if i := slices.IndexFunc(list, same); i >= 0 {
		list[i] = item
		return list
	}
	return append(list, item)
}

// saveIntent saves a command before the machine decides on it. The error rejects the command: it can't be saved, or the
// last write failed.
func (a *Agent) saveIntent(now monotime.Micros, r agentapi.CommandRequest) error {
	if a.loop.storeErr == nil {
		a.loop.setStoreErr(a.options.Store.Save(agentstore.Change{Intent: newCommand(now, r)}))
	}
	if a.loop.storeErr != nil {
		return unavailable(fmt.Sprintf("command rejected, its intent can't be saved: %v", a.loop.storeErr))
	}
	return nil
}
