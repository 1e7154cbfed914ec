package quotastore

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/failpoint"
)

// leadership is a snapshot of what a replica knows about the leader.
type leadership struct {
	replica      replica // nil unless this replica leads and is ready
	leader       string  // the leader's host; empty: unknown
	growthFrozen bool    // grants must not increase
}

// leads reports whether this replica may respond as the leader.
func (l leadership) leads() bool { return l.replica != nil }

func (s *Store) leadership() leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica == nil {
		return leadership{}
	}
	if !s.ready || s.replica.State() != raft.Leader {
		_, leader := s.replica.LeaderWithID()
		return leadership{leader: string(leader)}
	}
	return leadership{
		replica:      s.replica,
		leader:       s.config.Host,
		growthFrozen: s.tracker.GrowthFrozen(s.config.Clock()),
	}
}

// doAsLeader proposes a command to the group that this replica leads.
func (s *Store) doAsLeader(current leadership, command quota.Command) (quota.Result, error) {
	command.FreezeGrowth = current.growthFrozen
	return s.propose(current.replica, command)
}

// statusAsLeader verifies that this replica still leads and returns the status: a part of the group that it can't reach
// may have elected another leader. If the verification fails, its error wraps ErrNoLeader.
func (s *Store) statusAsLeader(current leadership) (quota.Status, error) {
	if err := current.replica.VerifyLeader().Error(); err != nil {
		return quota.Status{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	members := memberNames(current.replica.GetConfiguration().Configuration())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock()
	status := quota.Status{
		Leader:       s.config.Host,
		Term:         current.replica.CurrentTerm(),
		Version:      s.state.Config.Version,
		Members:      members,
		GrowthFrozen: s.tracker.GrowthFrozen(now),
		Limits:       s.state.Usages(),
		ColdStarts:   s.state.ColdStartStatuses(),
	}
	s.tracker.FillRemaining(now, s.state, status.Limits)
	return status, nil
}

// propose replicates a command and waits until it is applied on this replica. Its error wraps ErrNoLeader if the
// command was not committed in time; it may still be applied later.
func (s *Store) propose(leader replica, command quota.Command) (quota.Result, error) {
	encoded, err := json.Marshal(command)
	if err != nil {
		return quota.Result{}, fmt.Errorf("encode a command of the quota store: %w", err)
	}
	if failpoint.Enabled(failpoint.AnswerEarly) && command.Renew != nil {
		return s.respondBeforeCommit(leader, encoded)
	}
	future := leader.Apply(encoded, applyTimeout)
	if err := future.Error(); err != nil {
		return quota.Result{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	result, ok := future.Response().(quota.Result)
	if !ok {
		return quota.Result{}, &responseError{response: future.Response()}
	}
	failpoint.CrashAt(failpoint.AfterReplicated)
	for _, event := range result.Events {
		s.emit(event)
	}
	return result, nil
}

// responseError reports a response of the state machine that is not a quota.Result.
type responseError struct{ response any }

func (e *responseError) Error() string {
	return fmt.Sprintf("quota store: the state machine returned %T, expected a result: %v", e.response, e.response)
}

// respondBeforeCommit returns the result of a command on a copy of the state, without waiting for the commit. It
// implements the fault failpoint.AnswerEarly.
func (s *Store) respondBeforeCommit(leader replica, encoded []byte) (quota.Result, error) {
	before, err := s.snapshot()
	if err != nil {
		return quota.Result{}, err
	}
	copied := &Store{}
	if err := copied.restore(bytes.NewReader(before)); err != nil {
		return quota.Result{}, err
	}
	future := leader.Apply(encoded, applyTimeout)
	go func() { _ = future.Error() }() // ends after applyTimeout
	return copied.apply(encoded), nil
}
