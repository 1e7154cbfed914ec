package quotastore

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/quota"
)

// runLeader is the leader's loop, whenever this replica leads. It ends with ctx.
func (n *Store) runLeader(ctx context.Context, r *raft.Raft) {
	beat := time.NewTicker(trackerInterval)
	defer beat.Stop()
	led := uint64(0) // the term that this loop began to lead in
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		if r.State() != raft.Leader {
			led = 0
			n.mu.Lock()
			n.ready = false
			n.mu.Unlock()
			continue
		}
		if term := r.CurrentTerm(); led != term {
			n.mu.Lock()
			n.ready = false
			n.mu.Unlock()
			if r.Barrier(applyTimeout).Error() != nil { // all that earlier leaders granted is known after it
				continue
			}
			n.mu.Lock()
			n.tracker.BecomeLeader(n.config.Clock(), n.state, len(r.GetConfiguration().Configuration().Servers) == 1)
			n.ready = r.CurrentTerm() == term
			n.mu.Unlock()
			led = term
			n.emit(quota.Event{Name: n.config.Host, Kind: "leader", Cause: fmt.Sprintf("term %d", term)})
		}
		n.mu.Lock()
		over, divide := n.tracker.Tick(n.config.Clock(), n.state)
		var c quota.Command
		c.ElapsedPauses = n.tracker.ElapsedPauses(n.config.Clock(), n.state)
		c.Expire, c.Rebalance = over, divide && n.state.Config.Version > 0
		if n.wantedConfig != nil && n.wantedConfig.Version > n.state.Config.Version {
			c.Config = n.wantedConfig
		}
		n.mu.Unlock()
		if len(c.Expire) > 0 || len(c.ElapsedPauses) > 0 || c.Rebalance || c.Config != nil {
			if res, err := n.propose(r, c); err == nil && res.Rejection != "" && c.Config != nil {
				slog.Warn("budgets", "used", false, "why", res.Rejection)
				n.mu.Lock()
				n.wantedConfig = nil
				n.mu.Unlock()
			}
		}
		n.changeMembers(r)
	}
}

// changeMembers takes one step towards the members that are wanted.
func (n *Store) changeMembers(r *raft.Raft) {
	n.mu.Lock()
	wanted, old := slices.Clone(n.wantedMembers), n.wantedVersion < n.state.Config.Version
	n.mu.Unlock()
	f := r.GetConfiguration()
	if old || f.Error() != nil { // a file older than the terms in force must not undo what a newer one asked for
		return
	}
	var has []string
	for _, s := range f.Configuration().Servers {
		has = append(has, string(s.ID))
	}
	step := quorum.NextChange(has, wanted, n.config.Host)
	switch {
	case step.Add != "":
		if err := r.AddVoter(raft.ServerID(step.Add), raft.ServerAddress(step.Add), f.Index(), applyTimeout).Error(); err == nil {
			n.emit(quota.Event{Name: step.Add, Kind: "group", Cause: "added to it"})
		}
	case step.Remove != "":
		if err := r.RemoveServer(raft.ServerID(step.Remove), f.Index(), applyTimeout).Error(); err == nil {
			n.emit(quota.Event{Name: step.Remove, Kind: "group", Cause: "taken out of it"})
		}
	}
}
