package quotastore

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/failpoint"
)

// leadership is how a replica stands to the leader at one moment.
type leadership struct {
	replica      replica // nil unless this replica leads and has begun to
	leader       string  // the leader's host as far as it is known, else empty
	growthFrozen bool    // no grant may grow
}

// leads reports whether this replica may answer as the leader.
func (l leadership) leads() bool { return l.replica != nil }

func (s *Store) leadership() leadership {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica == nil {
		return leadership{}
	}
	if !s.ready || s.replica.State() != raft.Leader {
		_, id := s.replica.LeaderWithID()
		return leadership{leader: string(id)}
	}
	return leadership{replica: s.replica, leader: s.config.Host, growthFrozen: s.tracker.GrowthFrozen(s.config.Clock())}
}

// doAsLeader has a command applied by this replica, which leads.
func (s *Store) doAsLeader(l leadership, c quota.Command) (quota.Result, error) {
	c.FreezeGrowth = l.growthFrozen
	return s.propose(l.replica, c)
}

// statusAsLeader makes sure that this replica still leads before it answers: another may have been elected in a part of the
// group that this one can't reach. It returns ErrNoLeader then.
func (s *Store) statusAsLeader(l leadership) (quota.Status, error) {
	if err := l.replica.VerifyLeader().Error(); err != nil {
		return quota.Status{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	members := memberNames(l.replica.GetConfiguration().Configuration())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock()
	status := quota.Status{
		Leader: s.config.Host, Term: l.replica.CurrentTerm(), Version: s.state.Config.Version, Members: members,
		GrowthFrozen: s.tracker.GrowthFrozen(now), Limits: s.state.Usages(), ColdStarts: s.state.ColdStartStatuses(),
	}
	s.tracker.FillRemaining(now, s.state, status.Limits)
	return status, nil
}

// propose has a command replicated and waits until it is applied here. It returns ErrNoLeader where the
// group did not agree in time; the command may be applied all the same.
func (s *Store) propose(r replica, c quota.Command) (quota.Result, error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return quota.Result{}, err
	}
	if failpoint.Enabled(failpoint.AnswerEarly) && c.Renew != nil {
		return s.answerBeforeCommit(r, raw)
	}
	f := r.Apply(raw, applyTimeout)
	if err := f.Error(); err != nil {
		return quota.Result{}, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	res, ok := f.Response().(quota.Result)
	if !ok {
		return quota.Result{}, &responseError{f.Response()}
	}
	failpoint.CrashAt(failpoint.AfterReplicated)
	for _, e := range res.Events {
		s.emit(e)
	}
	return res, nil
}

// responseError says that the state machine answered with something else than a result.
type responseError struct{ response any }

func (e *responseError) Error() string { return fmt.Sprintf("ledger: %v", e.response) }

// answerBeforeCommit is the fault failpoint.AnswerEarly: it answers from a copy of the state.
func (s *Store) answerBeforeCommit(r replica, raw []byte) (res quota.Result, err error) {
	before, err := s.snapshot()
	if err != nil {
		return res, err
	}
	copied := &Store{}
	if err := copied.restore(bytes.NewReader(before)); err != nil {
		return res, err
	}
	f := r.Apply(raw, applyTimeout)
	go func() { _ = f.Error() }() // its outcome shows in the log alone; ends with applyTimeout
	return copied.apply(raw), nil
}
