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

// Kinds of events that the leader emits.
const (
	eventElected = "leader"
	eventMembers = "group"
)

// replica is the part of the Raft library that a Store uses; *raft.Raft implements it.
type replica interface {
	State() raft.RaftState
	CurrentTerm() uint64
	LeaderWithID() (raft.ServerAddress, raft.ServerID)

	// VerifyLeader succeeds once a quorum has confirmed this leader.
	VerifyLeader() raft.Future

	// Barrier succeeds once all preceding entries are applied to the state.
	Barrier(timeout time.Duration) raft.Future

	Apply(command []byte, timeout time.Duration) raft.ApplyFuture
	GetConfiguration() raft.ConfigurationFuture
	AddVoter(id raft.ServerID, address raft.ServerAddress, previous uint64, timeout time.Duration) raft.IndexFuture
	RemoveServer(id raft.ServerID, previous uint64, timeout time.Duration) raft.IndexFuture
}

// leaderLoop performs the periodic tasks of the group's leader: it expires leases, rebalances limits, proposes new
// configurations and changes the members of the group. It is not safe for concurrent use.
type leaderLoop struct {
	store   *Store
	replica replica
	term    uint64 // for which beginTerm has succeeded; 0: this replica does not lead
}

// run calls tick every trackerInterval until ctx ends.
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
		if err := l.beginTerm(term); err != nil {
			return // retried on the next tick
		}
	}
	l.proposeDueCommand()
	l.changeMembers()
}

// beginTerm prepares this replica to lead in a term. The replica becomes ready once it has applied all entries of
// earlier leaders, unless the term has changed meanwhile.
func (l *leaderLoop) beginTerm(term uint64) error {
	l.store.setReady(false)
	if err := l.replica.Barrier(applyTimeout).Error(); err != nil {
		return err
	}
	soleReplica := len(l.replica.GetConfiguration().Configuration().Servers) == 1
	l.store.becomeLeader(soleReplica, func() bool { return l.replica.CurrentTerm() == term })
	l.term = term
	l.store.emit(quota.Event{Name: l.store.config.Host, Kind: eventElected, Cause: fmt.Sprintf("term %d", term)})
	return nil
}

// becomeLeader resets the lease tracker. The replica is ready if it still leads afterwards.
func (s *Store) becomeLeader(soleReplica bool, stillLeads func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.BecomeLeader(s.config.Clock(), s.state, soleReplica)
	s.ready = stillLeads()
}

// proposeDueCommand proposes the changes that are due according to the leader's clock and its fleet file.
func (l *leaderLoop) proposeDueCommand() {
	command, due := l.store.dueCommand()
	if !due {
		return
	}
	result, err := l.store.propose(l.replica, command)
	if err != nil || result.Rejection == "" || command.Config == nil {
		return // after an error the command is due again on the next tick
	}
	slog.Warn("quota configuration from the fleet file rejected", "used", false, "why", result.Rejection)
	l.store.discardDesiredConfig()
}

// discardDesiredConfig discards a configuration that the state has rejected, so that it is not proposed on every tick.
func (s *Store) discardDesiredConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desiredConfig = nil
}

// dueCommand returns a command with the lease expiries, the rebalance, the elapsed pauses and the configuration that
// are due. due is false if nothing is.
func (s *Store) dueCommand() (command quota.Command, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock()
	expired, rebalance := s.tracker.Tick(now, s.state)
	command.Expire = expired
	command.Rebalance = rebalance && s.state.Config.Version > 0
	command.ElapsedPauses = s.tracker.ElapsedPauses(now, s.state)
	if s.desiredConfig != nil && s.desiredConfig.Version > s.state.Config.Version {
		command.Config = s.desiredConfig
	}
	due = len(command.Expire) > 0 || command.Rebalance || len(command.ElapsedPauses) > 0 || command.Config != nil
	return command, due
}

// changeMembers adds or removes one member, towards the members that the fleet file names. A failed change is retried
// on the next tick.
func (l *leaderLoop) changeMembers() {
	desired, outdated := l.store.desiredGroup()
	configuration := l.replica.GetConfiguration()
	if outdated || configuration.Error() != nil {
		return
	}
	present := memberNames(configuration.Configuration())
	change := quorum.NextChange(present, desired, l.store.config.Host)
	switch {
	case change.Add != "":
		id, address := raft.ServerID(change.Add), raft.ServerAddress(change.Add)
		if err := l.replica.AddVoter(id, address, configuration.Index(), applyTimeout).Error(); err == nil {
			l.store.emit(quota.Event{Name: change.Add, Kind: eventMembers, Cause: "added to it"})
		}
	case change.Remove != "":
		id := raft.ServerID(change.Remove)
		if err := l.replica.RemoveServer(id, configuration.Index(), applyTimeout).Error(); err == nil {
			l.store.emit(quota.Event{Name: change.Remove, Kind: eventMembers, Cause: "taken out of it"})
		}
	}
}

// desiredGroup returns the members that the fleet file names. outdated reports that the file is older than the
// configuration in force, and must not revert it.
func (s *Store) desiredGroup() (members []string, outdated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.desiredMembers), s.desiredVersion < s.state.Config.Version
}

// memberNames returns the hosts of a group's members.
func memberNames(group raft.Configuration) (names []string) {
	for _, server := range group.Servers {
		names = append(names, string(server.ID))
	}
	return names
}
