// Package quotastore replicates the state of package quota between the agents of a group. The consensus library stores
// every command on the disks of a majority before it is answered. Any agent can be asked; it forwards to the leader.
//
// The package owns the files, the traffic of the group and the leader's clock. Package quota decides what is granted,
// package quorum who may vote.
package quotastore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// Times of the group. A leader that hears from no quorum for leaderLeaseTimeout steps down. An election takes one to
// two electionTimeout.
const (
	heartbeatTimeout   = 500 * time.Millisecond
	electionTimeout    = 500 * time.Millisecond
	leaderLeaseTimeout = 400 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
	trackerInterval    = 25 * time.Millisecond // between two ticks of the leader
	applyTimeout       = 2 * time.Second       // how long a command waits for a quorum
)

const (
	databaseFile              = "ledger.db"
	directoryMode os.FileMode = 0o700
	fileMode      os.FileMode = 0o600
)

// Stages of a member that has not joined the group's replication, and of one that has.
const (
	stageOutside  = "outside the group"
	stageStarting = "starting"
	stageWaiting  = "waiting" // for enough other members to answer
	stageMember   = "member"
	stageFailed   = ""
)

// Config configures a Store.
type Config struct {
	Host      string   // name of this agent's host
	Members   []string // hosts of the group, as the fleet's file names them
	Dir       string   // for this store alone; created if it is missing
	TrustDir  bool     // an operator says that the directory is no older copy
	Transport *transport.Transport
	Bounds    limits.Control
	Clock     func() monotime.Micros // monotonic, of this host
	OnEvent   func(quota.Event)      // receives events for the leader's history; must not block; nil: none
}

// Store is one agent's replica, or its client if the agent is outside the group. It is safe for concurrent use.
//
// Invariants:
//   - A replica answers as the leader only after it has applied all entries of earlier leaders, in its present term
//     (TestNewLeaderAppliesEarlierEntriesFirst, TestLeaderBeginsAnewInEachTerm, TestReelectedFollowerBeginsAnew).
//   - A leader that can't reach a quorum reports no status (TestDeposedLeaderReportsNoStatus).
//   - A member on an older copy of its directory does not help to undo what the copy lacks
//     (TestOlderCopyUndoesNothing, TestIneligibleMemberTakesNoPartInElections, TestAdoptedTermHasNoVoteLeft).
//   - Clients see a linearizable history of permits (TestHistoryIsLinearizable).
type Store struct {
	config Config
	log    *boltStore // nil outside the group

	mu            sync.Mutex // guards the fields below, and the state and the tracker themselves
	replica       replica    // nil until this member has joined the replication
	state         *quota.State
	tracker       quota.LeaseTracker
	ready         bool // this replica leads, has applied all entries of earlier leaders, and its tracker has begun
	wantedConfig  *quota.Config
	wantedMembers []string // of the fleet's file
	wantedVersion uint64   // of the fleet's file; 0: none yet
	lastLeader    string   // host that answered last as the leader; empty: none yet
	stage         string
}

// ErrNoLeader is returned while no quorum of the group can be reached, or before the group has elected a leader.
var ErrNoLeader = errors.New("no leader of the quota store can be reached")

// Open opens this host's side of the store. A host outside the group stores nothing and asks the others. Run closes
// what Open opened.
func Open(config Config) (*Store, error) {
	s := &Store{
		config:        config,
		state:         quota.NewState(),
		wantedMembers: config.Members,
		stage:         stageOutside,
	}
	if !slices.Contains(config.Members, config.Host) {
		return s, nil
	}
	if err := os.MkdirAll(config.Dir, directoryMode); err != nil {
		return nil, fmt.Errorf("quota store: %w", err)
	}
	log, err := openBoltStore(filepath.Join(config.Dir, databaseFile))
	if err != nil {
		return nil, err
	}
	s.log = log
	s.stage = stageStarting
	return s, nil
}

// Run takes part in the group until ctx ends, or until this member fails to start. It closes the files as it returns.
func (s *Store) Run(ctx context.Context) error {
	if s.log == nil {
		<-ctx.Done()
		return nil
	}
	defer func() { _ = s.log.Close() }()
	eligibility, err := s.assessEligibility(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	node, err := s.startRaft(eligibility)
	if err != nil {
		s.setStage(stageFailed, err.Error())
		return err
	}
	defer func() { _ = node.Shutdown().Error() }()
	leader := leaderLoop{store: s, replica: node}
	leader.run(ctx)
	return nil
}

// setReady sets whether this replica may answer as the leader.
func (s *Store) setReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

// setStage records the stage of this member and logs a change.
func (s *Store) setStage(stage, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stage != s.stage {
		slog.Info("quota_store", "stage", stage, "why", reason)
	}
	s.stage = stage
}

func (s *Store) emit(event quota.Event) {
	if s.config.OnEvent != nil {
		s.config.OnEvent(event)
	}
}

// SetConfig sets the configuration and the members that the fleet's file names now. Only a leader acts on them, and
// only if their version is not below the one in force.
func (s *Store) SetConfig(config *quota.Config, members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wantedConfig = config
	s.wantedMembers = members
	s.wantedVersion = config.Version
}

// members returns the hosts of the group as the latest fleet file names them.
func (s *Store) members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.wantedMembers)
}

// Stage returns the state of this member as the consensus library names it, or why it has not joined the replication.
func (s *Store) Stage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica != nil {
		return s.replica.State().String()
	}
	return s.stage
}
