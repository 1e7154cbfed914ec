// Package quotastore replicates the state of package quota between the agents of a group. The Raft library stores every
// command on the disks of a majority before the caller gets its result. Any agent accepts commands and forwards them to
// the leader.
//
// The package owns the files, the network traffic of the group and the leader's timers. Package quota decides what is
// granted, package quorum which members may vote.
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

// Timing of the group. A leader that loses contact with a quorum for leaderLeaseTimeout steps down. An election takes
// one to two times electionTimeout.
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

// Stages of an agent that joins the group. stageMember means that Raft has started, stageFailed that its start failed.
const (
	stageOutside  = "outside the group"
	stageStarting = "starting"
	stageWaiting  = "waiting" // for responses of enough other members
	stageMember   = "member"
	stageFailed   = ""
)

// Config configures a Store.
type Config struct {
	Host      string   // name of this agent's host
	Members   []string // hosts of the group, as named in the fleet file
	Dir       string   // used by this store alone; created if it is missing
	TrustDir  bool     // an operator confirms that the directory is not an older copy
	Transport *transport.Transport
	Bounds    limits.Control
	Clock     func() monotime.Micros // monotonic, of this host
	OnEvent   func(quota.Event)      // receives events for the leader's history; must not block; nil: none
}

// Store is one agent's replica, or a client of the group if the agent is not a member. It is safe for concurrent use.
//
// Invariants:
//   - A replica responds as the leader only after it has applied all entries of earlier leaders in its current term
//     (TestNewLeaderAppliesEarlierEntriesFirst, TestLeaderRepeatsBarrierInEachTerm,
//     TestReelectedFollowerLeadsOnlyAfterBarrier).
//   - A leader that can't reach a quorum reports no status (TestDeposedLeaderReportsNoStatus).
//   - A member on an older copy of its directory does not help to discard committed entries that the copy lacks
//     (TestMemberOnOlderCopyDoesNotDiscardPermit, TestIneligibleMemberTakesNoPartInElections,
//     TestMemberGrantsNoVoteInAdoptedTerm).
//   - The history of permits is linearizable to clients (TestHistoryIsLinearizable).
type Store struct {
	config Config
	log    *boltStore // nil outside the group

	mu             sync.Mutex // guards the fields below, and the state and the tracker themselves
	replica        replica    // nil until Raft has started on this member
	state          *quota.State
	tracker        quota.LeaseTracker
	ready          bool // this replica leads, has applied all entries of earlier leaders and has reset its tracker
	desiredConfig  *quota.Config
	desiredMembers []string // of the fleet file
	desiredVersion uint64   // of the fleet file; 0: none yet
	lastLeader     string   // host that last responded as the leader; empty: none yet
	stage          string
}

// ErrNoLeader is returned while no quorum of the group can be reached, or before the group has elected a leader.
var ErrNoLeader = errors.New("no leader of the quota store can be reached")

// Open opens the store of this host. A host outside the group stores nothing and forwards all calls to the members. Run
// closes the files that Open opened.
func Open(config Config) (*Store, error) {
	s := &Store{
		config:         config,
		state:          quota.NewState(),
		desiredMembers: config.Members,
		stage:          stageOutside,
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

// Run participates in the group until ctx ends, or until this member fails to start. It closes the files when it
// returns.
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

// setReady sets whether this replica may respond as the leader.
func (s *Store) setReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

// setStage sets the stage of this member and logs a change.
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

// SetConfig sets the desired configuration and members, from the latest fleet file. Only a leader applies them, and
// only if their version is not lower than the one in force.
func (s *Store) SetConfig(config *quota.Config, members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.desiredConfig = config
	s.desiredMembers = members
	s.desiredVersion = config.Version
}

// members returns the hosts of the group, as named in the latest fleet file.
func (s *Store) members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.desiredMembers)
}

// Stage returns the Raft state of this member as the library names it or, before Raft has started, the stage of the
// start.
func (s *Store) Stage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica != nil {
		return s.replica.State().String()
	}
	return s.stage
}
