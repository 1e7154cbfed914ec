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

func (m stateMachine) Apply(l *raft.Log) any { return m.store.apply(l.Data) }

func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := m.store.snapshot()
	return encodedState(raw), err
}

func (m stateMachine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }()
	return m.store.restore(from)
}

// encodedState is a snapshot.
type encodedState []byte

func (s encodedState) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (encodedState) Release() {}

// apply takes in an entry that is committed.
func (n *Store) apply(raw []byte) quota.Result {
	var c quota.Command
	if err := json.Unmarshal(raw, &c); err != nil {
		return quota.Result{Rejection: "not a command: " + err.Error()}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Apply(c)
}

func (n *Store) snapshot() ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return json.Marshal(n.state)
}

func (n *Store) restore(from io.Reader) error {
	l := quota.NewState()
	if err := json.NewDecoder(from).Decode(l); err != nil {
		return err
	}
	l.RebuildIndexes()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = l
	return nil
}
