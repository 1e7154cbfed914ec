package quotastore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
)

// logPosition is what this member has written down.
func (n *Store) logPosition() (s quorum.LogPosition, err error) {
	if s.Term, err = n.log.GetUint64([]byte("CurrentTerm")); err != nil {
		return s, err
	}
	if s.Index, err = n.log.LastIndex(); err != nil || s.Index == 0 {
		return s, err
	}
	var last raft.Log
	err = n.log.GetLog(s.Index, &last)
	s.LogTerm = last.Term
	return s, err
}

// assessEligibility finds out whether this directory may be an older copy, from what enough others of the group have written down.
func (n *Store) assessEligibility(ctx context.Context) (quorum.Eligibility, error) {
	own, err := n.logPosition()
	if err != nil {
		return quorum.Eligibility{}, err
	}
	others := slices.DeleteFunc(slices.Clone(n.config.Members), func(m string) bool { return m == n.config.Host })
	if len(others) == 0 || n.config.TrustDir {
		return quorum.Assess(own, nil), nil
	}
	if !own.Empty() { // an election in which this member voted before must be over when the others are asked
		select {
		case <-time.After(2*electionTimeout + heartbeatTimeout):
		case <-ctx.Done():
		}
	}
	heard := map[string]quorum.LogPosition{}
	for ctx.Err() == nil {
		for _, m := range others {
			ask, cancel := context.WithTimeout(ctx, n.config.Bounds.CallTimeout/2)
			var s quorum.LogPosition
			if err := n.config.Transport.Call(ask, m, "/ledger/standing", nil, &s); err == nil {
				heard[m] = s
			}
			cancel()
		}
		if quorum.EnoughResponses(len(n.config.Members), len(heard)) {
			var all []quorum.LogPosition
			for _, s := range heard {
				all = append(all, s)
			}
			f := quorum.Assess(own, all)
			slog.Info("quota_store_position", "term", own.Term, "index", own.Index, "heard", len(heard), "behind", f.Behind,
				"group_term", f.AdoptTerm, "group_index", f.RequiredLog.Index, "first", f.Bootstrap)
			if f.Behind {
				n.emit(quota.Event{Name: n.config.Host, Kind: "ledger behind", Cause: fmt.Sprintf("has entry %d, the group %d: it votes for none that has less, until it has that", own.Index, f.RequiredLog.Index)})
			}
			return f, nil
		}
		n.setStage("waiting", fmt.Sprintf("heard from %d of the group, which is too few to know that this directory is no older copy", len(heard)))
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return quorum.Eligibility{}, nil
}

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
