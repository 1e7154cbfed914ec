package quotastore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
)

// stateMachine adapts a Store to the Raft library's state machine interface.
type stateMachine struct{ store *Store }

// Apply implements raft.FSM.
func (m stateMachine) Apply(entry *raft.Log) any { return m.store.apply(entry.Data) }

// Snapshot implements raft.FSM.
func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	encoded, err := m.store.snapshot()
	return encodedState(encoded), err
}

// Restore implements raft.FSM.
func (m stateMachine) Restore(snapshot io.ReadCloser) error {
	defer func() { _ = snapshot.Close() }()
	return m.store.restore(snapshot)
}

// encodedState is a snapshot of the state as JSON.
type encodedState []byte

// Persist implements raft.FSMSnapshot.
func (s encodedState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (encodedState) Release() {}

// apply applies a committed entry. It rejects a malformed one, identically on every replica.
func (s *Store) apply(entry []byte) quota.Result {
	var command quota.Command
	if err := json.Unmarshal(entry, &command); err != nil {
		return quota.Result{Rejection: fmt.Sprintf("malformed command: %v", err)}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Apply(command)
}

// snapshot encodes the state.
func (s *Store) snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded, err := json.Marshal(s.state)
	if err != nil {
		return nil, fmt.Errorf("encode the quota store's state: %w", err)
	}
	return encoded, nil
}

// restore replaces the state by that of a snapshot.
func (s *Store) restore(snapshot io.Reader) error {
	state := quota.NewState()
	if err := json.NewDecoder(snapshot).Decode(state); err != nil {
		return fmt.Errorf("decode a snapshot of the quota store: %w", err)
	}
	state.RebuildIndexes()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
	return nil
}
