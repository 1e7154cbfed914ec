package quotastore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/transport"
)

// raftLogEnv is the environment variable that has the Raft library log to standard error.
const raftLogEnv = "MILLETBARROW_RAFT_LOG"

// Settings of the replicated log and of its connections.
const (
	snapshotThreshold = 4096 // entries since the latest snapshot that trigger another one
	trailingLogs      = 1024 // entries that are retained after a snapshot
	snapshotInterval  = 30 * time.Second
	snapshotsRetained = 2
	maxPooledConns    = 3 // to each other member
)

// startRaft starts Raft on this member, restricted to what its eligibility allows. If it fails, it leaves no goroutine
// and no listener behind.
func (s *Store) startRaft(eligibility quorum.Eligibility) (*raft.Raft, error) {
	if eligibility.AdoptTerm > 0 {
		if err := s.log.adoptTerm(eligibility.AdoptTerm); err != nil {
			return nil, fmt.Errorf("quota store: adopt term %d: %w", eligibility.AdoptTerm, err)
		}
	}
	logger := raftLogger()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(s.config.Dir, snapshotsRetained, logger)
	if err != nil {
		return nil, fmt.Errorf("quota store: open snapshots in %s: %w", s.config.Dir, err)
	}
	filtered := newEligibilityTransport(s.raftTransport(logger), eligibility, s.lastLogEntry)
	node, err := s.newRaft(s.raftConfig(logger), snapshots, filtered, eligibility.Bootstrap)
	if err != nil {
		_ = filtered.Close() // the start's error is returned
		return nil, fmt.Errorf("quota store: start replication: %w", err)
	}
	s.setReplica(node)
	s.setStage(stageMember, "")
	return node, nil
}

// newRaft creates the node of the Raft library. If bootstrap is set, it bootstraps the group first.
func (s *Store) newRaft(
	config *raft.Config, snapshots raft.SnapshotStore, filtered raft.Transport, bootstrap bool,
) (*raft.Raft, error) {
	if bootstrap {
		err := raft.BootstrapCluster(config, s.log, s.log, snapshots, filtered, s.initialGroup())
		if err != nil && !errors.Is(err, raft.ErrCantBootstrap) { // ErrCantBootstrap: the log already contains a group
			return nil, err
		}
	}
	return raft.NewRaft(config, stateMachine{store: s}, s.log, s.log, snapshots, filtered)
}

func (s *Store) setReplica(node replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica = node
}

func raftLogger() hclog.Logger {
	if os.Getenv(raftLogEnv) != "" {
		return hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Info})
	}
	return hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
}

func (s *Store) raftConfig(logger hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(s.config.Host)
	config.HeartbeatTimeout = heartbeatTimeout
	config.ElectionTimeout = electionTimeout
	config.LeaderLeaseTimeout = leaderLeaseTimeout
	config.CommitTimeout = commitTimeout
	config.SnapshotThreshold = snapshotThreshold
	config.TrailingLogs = trailingLogs
	config.SnapshotInterval = snapshotInterval
	config.ShutdownOnRemove = false
	config.NoLegacyTelemetry = true
	config.Logger = logger
	return config
}

func (s *Store) raftTransport(logger hclog.Logger) *raft.NetworkTransport {
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: streamLayer{
			Listener:  s.config.Transport.Listener(transport.KindRaft),
			transport: s.config.Transport,
		},
		MaxPool: maxPooledConns,
		Timeout: s.config.Bounds.CallTimeout,
		Logger:  logger,
		// Pipelining is off: if the reader of a pipeline gives up while its writer waits for space, the library
		// (v1.8.0) blocks forever and can't shut down. Entries are sent in batches even without it.
		MaxRPCsInFlight: 1,
	})
}

// initialGroup returns the group that is named in the fleet file.
func (s *Store) initialGroup() (group raft.Configuration) {
	for _, host := range s.members() {
		group.Servers = append(group.Servers, raft.Server{ID: raft.ServerID(host), Address: raft.ServerAddress(host)})
	}
	return group
}

// lastLogEntry returns the position of the last entry of this member's log. An unreadable log counts as empty.
func (s *Store) lastLogEntry() (term, index uint64) {
	position, err := s.log.position()
	if err != nil {
		return 0, 0
	}
	return position.LogTerm, position.Index
}

// streamLayer connects the Raft library to the transport between agents. Its addresses are host names.
type streamLayer struct {
	net.Listener
	transport *transport.Transport
}

// Dial implements raft.StreamLayer.
func (l streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.transport.Dial(ctx, transport.KindRaft, string(address))
}
