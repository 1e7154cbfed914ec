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

func (n *Store) startRaft(fit quorum.Eligibility) (*raft.Raft, error) {
	if fit.AdoptTerm > 0 { // taken over with the vote used up
		err := errors.Join(n.log.SetUint64([]byte("CurrentTerm"), fit.AdoptTerm), n.log.SetUint64([]byte("LastVoteTerm"), fit.AdoptTerm),
			n.log.Set([]byte("LastVoteCand"), []byte("nobody: it may have voted before its directory was set back")))
		if err != nil {
			return nil, err
		}
	}
	quiet := hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
	if os.Getenv("MILLETBARROW_RAFT_LOG") != "" {
		quiet = hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Info})
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.config.Host)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeatTimeout, electionTimeout, leaderLeaseTimeout, commitTimeout
	c.Logger, c.NoLegacyTelemetry, c.ShutdownOnRemove = quiet, true, false
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = 4096, 1024, 30*time.Second
	snaps, err := raft.NewFileSnapshotStoreWithLogger(n.config.Dir, 2, quiet)
	if err != nil {
		return nil, err
	}
	trans := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: streamLayer{n.config.Transport.Listener(transport.KindRaft), n.config.Transport}, MaxPool: 3, Timeout: n.config.Bounds.CallTimeout, Logger: quiet,
		// No pipeline: where its reader gives up while its writer waits for room, the library (v1.8.0) waits for ever, and
		// with it the end of that node. Entries are sent in batches anyway.
		MaxRPCsInFlight: 1,
	})
	n.eligibility = newEligibilityTransport(trans, fit, func() (term, index uint64) {
		s, err := n.logPosition()
		if err != nil {
			return 0, 0
		}
		return s.LogTerm, s.Index
	})
	if fit.Bootstrap {
		var group raft.Configuration
		for _, m := range n.config.Members {
			group.Servers = append(group.Servers, raft.Server{ID: raft.ServerID(m), Address: raft.ServerAddress(m)})
		}
		if err := raft.BootstrapCluster(c, n.log, n.log, snaps, trans, group); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			_ = n.eligibility.Close()
			return nil, err
		}
	}
	r, err := raft.NewRaft(c, stateMachine{n}, n.log, n.log, snaps, n.eligibility)
	if err != nil {
		_ = n.eligibility.Close() // ends its goroutines and the listener; the error is that of the start
		return nil, err
	}
	n.mu.Lock()
	n.raft = r
	n.mu.Unlock()
	n.setStage("member", "")
	return r, nil
}

// streamLayer has the consensus library speak over the streams between agents. Addresses are names of hosts.
type streamLayer struct {
	net.Listener
	net *transport.Transport
}

func (l streamLayer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return l.net.Dial(ctx, transport.KindRaft, string(to))
}
