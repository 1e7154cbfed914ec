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

// replica is what a Store uses of the consensus library; *raft.Raft implements it.
type replica interface {
	State() raft.RaftState
	CurrentTerm() uint64
	LeaderWithID() (raft.ServerAddress, raft.ServerID)
	// VerifyLeader ends without an error once a quorum has answered this leader.
	VerifyLeader() raft.Future
	// Barrier ends once all entries from before it are applied to the state.
	Barrier(timeout time.Duration) raft.Future
	Apply(command []byte, timeout time.Duration) raft.ApplyFuture
	GetConfiguration() raft.ConfigurationFuture
	AddVoter(id raft.ServerID, address raft.ServerAddress, previous uint64, timeout time.Duration) raft.IndexFuture
	RemoveServer(id raft.ServerID, previous uint64, timeout time.Duration) raft.IndexFuture
}

// leaderLoop does what the leader of the group alone does: lease expiry, division, configuration and changes of the group.
// It is for one goroutine.
type leaderLoop struct {
	store   *Store
	replica replica
	term    uint64 // in which this replica has begun to lead; 0: it does not lead
}

// run ticks until ctx ends.
func (l *leaderLoop) run(ctx context.Context) {
	ticker := time.NewTicker(trackerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		}
	}
}

func (l *leaderLoop) tick() {
	if l.replica.State() != raft.Leader {
		l.term = 0
		l.store.setReady(false)
		return
	}
	if term := l.replica.CurrentTerm(); term != l.term {
		if err := l.begin(term); err != nil {
			return // begun again with the next tick
		}
	}
	l.proposeDue()
	l.changeMembers()
}

// begin starts to lead in a term. Nothing is granted before all that earlier leaders granted is known here, nor by a
// replica that has lost the term meanwhile.
func (l *leaderLoop) begin(term uint64) error {
	s := l.store
	s.setReady(false)
	if err := l.replica.Barrier(applyTimeout).Error(); err != nil {
		return err
	}
	soleReplica := len(l.replica.GetConfiguration().Configuration().Servers) == 1
	s.mu.Lock()
	s.tracker.BecomeLeader(s.config.Clock(), s.state, soleReplica)
	s.ready = l.replica.CurrentTerm() == term
	s.mu.Unlock()
	l.term = term
	s.emit(quota.Event{Name: s.config.Host, Kind: "leader", Cause: fmt.Sprintf("term %d", term)})
	return nil
}

// proposeDue has the group agree on what is due by the leader's clock and its fleet file.
func (l *leaderLoop) proposeDue() {
	c, due := l.store.dueCommand()
	if !due {
		return
	}
	res, err := l.store.propose(l.replica, c)
	if err != nil || res.Rejection == "" || c.Config == nil {
		return // what failed is due again with the next tick
	}
	slog.Warn("budgets", "used", false, "why", res.Rejection)
	l.store.mu.Lock()
	l.store.wantedConfig = nil
	l.store.mu.Unlock()
}

// dueCommand returns the expiries, the division and the configuration that are due; due is false if nothing is.
func (s *Store) dueCommand() (c quota.Command, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock()
	expired, rebalance := s.tracker.Tick(now, s.state)
	c.Expire, c.Rebalance = expired, rebalance && s.state.Config.Version > 0
	c.ElapsedPauses = s.tracker.ElapsedPauses(now, s.state)
	if s.wantedConfig != nil && s.wantedConfig.Version > s.state.Config.Version {
		c.Config = s.wantedConfig
	}
	return c, len(c.Expire) > 0 || len(c.ElapsedPauses) > 0 || c.Rebalance || c.Config != nil
}

// changeMembers takes one step towards the members that are wanted. A step that fails is taken again with the next tick.
func (l *leaderLoop) changeMembers() {
	s := l.store
	s.mu.Lock()
	wanted, older := slices.Clone(s.wantedMembers), s.wantedVersion < s.state.Config.Version
	s.mu.Unlock()
	configuration := l.replica.GetConfiguration()
	if older || configuration.Error() != nil { // an older file must not undo what a newer one asked for
		return
	}
	present := memberNames(configuration.Configuration())
	change := quorum.NextChange(present, wanted, s.config.Host)
	switch {
	case change.Add != "":
		id, address := raft.ServerID(change.Add), raft.ServerAddress(change.Add)
		if err := l.replica.AddVoter(id, address, configuration.Index(), applyTimeout).Error(); err == nil {
			s.emit(quota.Event{Name: change.Add, Kind: "group", Cause: "added to it"})
		}
	case change.Remove != "":
		id := raft.ServerID(change.Remove)
		if err := l.replica.RemoveServer(id, configuration.Index(), applyTimeout).Error(); err == nil {
			s.emit(quota.Event{Name: change.Remove, Kind: "group", Cause: "taken out of it"})
		}
	}
}

// memberNames lists the members of a group by host.
func memberNames(group raft.Configuration) (names []string) {
	for _, server := range group.Servers {
		names = append(names, string(server.ID))
	}
	return names
}
