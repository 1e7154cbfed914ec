package quotastore

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
)

// stateMachine is the state of a Store as the consensus library drives it.
type stateMachine struct{ store *Store }

// Apply implements raft.FSM.
func (m stateMachine) Apply(l *raft.Log) any { return m.store.apply(l.Data) }

// Snapshot implements raft.FSM.
func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := m.store.snapshot()
	return encodedState(raw), err
}

// Restore implements raft.FSM.
func (m stateMachine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }()
	return m.store.restore(from)
}

// encodedState is a snapshot of the state.
type encodedState []byte

// Persist implements raft.FSMSnapshot.
func (s encodedState) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (encodedState) Release() {}

// apply applies a committed entry. One that can't be read is rejected: every replica does the same.
func (s *Store) apply(raw []byte) quota.Result {
	var c quota.Command
	if err := json.Unmarshal(raw, &c); err != nil {
		return quota.Result{Rejection: "not a command: " + err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Apply(c)
}

// snapshot encodes the state.
func (s *Store) snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Marshal(s.state)
}

// restore replaces the state by a snapshot.
func (s *Store) restore(from io.Reader) error {
	state := quota.NewState()
	if err := json.NewDecoder(from).Decode(state); err != nil {
		return err
	}
	state.RebuildIndexes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return nil
}
