package quotastore

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/transport"
)

// raftLogVariable is the environment variable that has the consensus library log to standard error.
const raftLogVariable = "MILLETBARROW_RAFT_LOG"

// Sizes of the replicated log.
const (
	snapshotThreshold = 4096 // entries since the last snapshot
	trailingLogs      = 1024 // entries that are left after one
	snapshotInterval  = 30 * time.Second
	snapshotsRetained = 2
	maxPooledConns    = 3 // to each other member
)

// startRaft starts this member of the group within what it is eligible for. Where it fails it leaves nothing behind.
func (s *Store) startRaft(eligibility quorum.Eligibility) (*raft.Raft, error) {
	if eligibility.AdoptTerm > 0 {
		if err := s.log.adoptTerm(eligibility.AdoptTerm); err != nil {
			return nil, err
		}
	}
	logger := raftLogger()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(s.config.Dir, snapshotsRetained, logger)
	if err != nil {
		return nil, err
	}
	config := s.raftConfig(logger)
	filtered := newEligibilityTransport(s.raftTransport(logger), eligibility, s.lastLogEntry)
	if eligibility.Bootstrap {
		err = raft.BootstrapCluster(config, s.log, s.log, snapshots, filtered, s.initialGroup())
		if errors.Is(err, raft.ErrCantBootstrap) { // the log has a group already
			err = nil
		}
	}
	var r *raft.Raft
	if err == nil {
		r, err = raft.NewRaft(config, stateMachine{s}, s.log, s.log, snapshots, filtered)
	}
	if err != nil {
		_ = filtered.Close() // ends its goroutines and the listener; the error is that of the start
		return nil, err
	}
	s.mu.Lock()
	s.replica = r
	s.mu.Unlock()
	s.setStage("member", "")
	return r, nil
}

func raftLogger() hclog.Logger {
	if os.Getenv(raftLogVariable) != "" {
		return hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Info})
	}
	return hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
}

func (s *Store) raftConfig(logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(s.config.Host)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeatTimeout, electionTimeout, leaderLeaseTimeout, commitTimeout
	c.Logger, c.NoLegacyTelemetry, c.ShutdownOnRemove = logger, true, false
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = snapshotThreshold, trailingLogs, snapshotInterval
	return c
}

func (s *Store) raftTransport(logger hclog.Logger) *raft.NetworkTransport {
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  streamLayer{s.config.Transport.Listener(transport.KindRaft), s.config.Transport},
		MaxPool: maxPooledConns, Timeout: s.config.Bounds.CallTimeout, Logger: logger,
		// No pipeline: where its reader gives up while its writer waits for room, the library (v1.8.0) waits for ever, and
		// with it the end of that node. Entries are sent in batches anyway.
		MaxRPCsInFlight: 1,
	})
}

// initialGroup is the group that the fleet's file names.
func (s *Store) initialGroup() (group raft.Configuration) {
	for _, host := range s.members() {
		group.Servers = append(group.Servers, raft.Server{ID: raft.ServerID(host), Address: raft.ServerAddress(host)})
	}
	return group
}

// lastLogEntry returns the position of the last entry of this member's log; one that can't be read counts as none.
func (s *Store) lastLogEntry() (term, index uint64) {
	position, err := s.log.position()
	if err != nil {
		return 0, 0
	}
	return position.LogTerm, position.Index
}

// streamLayer has the consensus library use the transport between agents. Addresses are names of hosts.
type streamLayer struct {
	net.Listener
	transport *transport.Transport
}

// Dial implements raft.StreamLayer.
func (l streamLayer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return l.transport.Dial(ctx, transport.KindRaft, string(to))
}
