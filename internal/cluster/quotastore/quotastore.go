// Package quotastore replicates the state of package quota between the agents of a group by the consensus library, on disk
// before anything is answered. Any agent can be asked; it forwards to the leader. The package owns the files, the traffic
// of the group and the leader's clock; what is granted and when is decided in package quota, who may vote in package
// quorum.
package quotastore

import (
	"context"
	"errors"
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

// Times of the group. A leader that hears of no quorum for leaderLeaseTimeout steps down; an election takes one to two
// electionTimeout.
const (
	heartbeatTimeout   = 500 * time.Millisecond
	electionTimeout    = 500 * time.Millisecond
	leaderLeaseTimeout = 400 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
	trackerInterval    = 25 * time.Millisecond // between two ticks of the leader
	applyTimeout       = 2 * time.Second       // a command waits so long for a quorum
)

// Config is what a Store is opened with.
type Config struct {
	Host      string   // this agent's
	Members   []string // hosts of the group as the fleet's file names them
	Dir       string   // for this store alone; made where it is missing
	TrustDir  bool     // the directory is known to be no older copy: an operator says so
	Transport *transport.Transport
	Bounds    limits.Control
	Clock     func() monotime.Micros // this host's own, which only goes on
	OnEvent   func(quota.Event)      // of the leader's history; must not block
}

// Store is one agent's replica, or its client where the agent is outside the group. It is safe for concurrent use.
type Store struct {
	config Config
	log    *boltStore // nil outside the group

	mu            sync.Mutex // guards what follows
	replica       replica    // nil until this member takes part
	state         *quota.State
	tracker       quota.LeaseTracker
	ready         bool // this replica leads, knows all that earlier leaders granted, and its tracker has begun
	wantedConfig  *quota.Config
	wantedMembers []string // members wanted, by the version of the file that this agent has
	wantedVersion uint64
	lastLeader    string // that answered last
	stage         string // why this member takes no part, as long as it does not
}

// ErrNoLeader says that no quorum of the group can be reached, or that it has not agreed on a leader yet.
var ErrNoLeader = errors.New("the ledger has no leader that can be reached")

// Open opens this host's side; a host outside the group stores nothing and asks the others. Run closes what it opened.
func Open(config Config) (*Store, error) {
	s := &Store{config: config, state: quota.NewState(), wantedMembers: config.Members, stage: "outside the group"}
	if !slices.Contains(config.Members, config.Host) {
		return s, nil
	}
	if err := os.MkdirAll(config.Dir, 0o700); err != nil {
		return nil, err
	}
	var err error
	if s.log, err = openBoltStore(filepath.Join(config.Dir, "ledger.db")); err != nil {
		return nil, err
	}
	s.stage = "starting"
	return s, nil
}

// Run takes part until ctx ends, or until this member can't start. It closes the files as it returns.
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
	r, err := s.startRaft(eligibility)
	if err != nil {
		s.setStage("", err.Error())
		return err
	}
	defer func() { _ = r.Shutdown().Error() }()
	leader := leaderLoop{store: s, replica: r}
	leader.run(ctx)
	return nil
}

// setReady says whether this replica may answer as the leader.
func (s *Store) setReady(ready bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = ready
}

// setStage records and logs how this member takes part.
func (s *Store) setStage(stage, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stage != s.stage {
		slog.Info("quota_store", "stage", stage, "why", why)
	}
	s.stage = stage
}

func (s *Store) emit(e quota.Event) {
	if s.config.OnEvent != nil {
		s.config.OnEvent(e)
	}
}

// SetConfig takes in what the fleet's file says now. Only a leader acts on it, and only on a version above the one in force.
func (s *Store) SetConfig(config *quota.Config, members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wantedConfig, s.wantedMembers, s.config.Members, s.wantedVersion = config, members, members, config.Version
}

// members lists the group's members as the latest fleet file names them.
func (s *Store) members() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.config.Members)
}

// Stage says how this member takes part: as the consensus library names it, or why it does not.
func (s *Store) Stage() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica != nil {
		return s.replica.State().String()
	}
	return s.stage
}
