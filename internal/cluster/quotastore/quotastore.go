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

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/limits"
)

// Times of the group, each once. A leader that hears of no half for leaderLease gives up; elections take one to two of
// election.
const (
	heartbeatTimeout   = 500 * time.Millisecond
	electionTimeout    = 500 * time.Millisecond
	leaderLeaseTimeout = 400 * time.Millisecond
	commitTimeout      = 20 * time.Millisecond
	trackerInterval    = 25 * time.Millisecond // between two looks of the clerk
	applyTimeout       = 2 * time.Second       // a command waits so long for its half
)

// Config is what a Store is opened with.
type Config struct {
	Host      string
	Members   []string // of the group as the fleet's file names them
	Dir       string   // of this node alone
	TrustDir  bool     // the directory is known to be no older copy: an operator says so
	Transport *transport.Transport
	Bounds    limits.Control
	Clock     func() quota.Micros
	OnEvent   func(quota.Event) // of the leader's history; must not block
}

// Store is one agent's replica, or its client where the agent is outside the group. It is safe for concurrent use.
type Store struct {
	config      Config
	log         *boltStore // nil outside the group
	eligibility *eligibilityTransport

	mu            sync.Mutex // guards what follows
	raft          *raft.Raft
	state         *quota.State
	tracker       quota.LeaseTracker
	ready         bool // this is the leader, and the clerk has begun
	wantedConfig  *quota.Config
	wantedMembers []string // members wanted, by the version of the file that this agent has
	wantedVersion uint64
	lastLeader    string // last known
	stage         string // why this node takes no part, as long as it does not

}

// ErrNoLeader says that no half of the group can be reached, or that none has agreed on a leader yet.
var ErrNoLeader = errors.New("the ledger has no leader that can be reached")

// Open opens this host's side; a host outside the group keeps nothing and asks.
func Open(o Config) (*Store, error) {
	n := &Store{config: o, state: quota.NewState(), wantedMembers: o.Members, stage: "outside the group"}
	if !slices.Contains(o.Members, o.Host) {
		return n, nil
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	s, err := openBoltStore(filepath.Join(o.Dir, "ledger.db"))
	if err != nil {
		return nil, err
	}
	n.log, n.stage = s, "starting"
	return n, nil
}

// Run takes part until ctx ends.
func (n *Store) Run(ctx context.Context) error {
	if n.log == nil {
		<-ctx.Done()
		return nil
	}
	defer func() { _ = n.log.Close() }()
	fit, err := n.assessEligibility(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	r, err := n.startRaft(fit)
	if err != nil {
		n.setStage("", err.Error())
		return err
	}
	defer func() { _ = r.Shutdown().Error() }()
	n.runLeader(ctx, r)
	return nil
}

func (n *Store) setStage(stage, why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if stage != n.stage {
		slog.Info("quota_store", "stage", stage, "why", why)
	}
	n.stage = stage
}

func (n *Store) emit(l quota.Event) {
	if n.config.OnEvent != nil {
		n.config.OnEvent(l)
	}
}

// SetConfig takes in what the fleet's file says now. Only a leader acts on it, and only on a version above the one in force.
func (n *Store) SetConfig(t *quota.Config, members []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wantedConfig, n.wantedMembers, n.config.Members, n.wantedVersion = t, members, members, t.Version
}

// Stage says how this node takes part.
func (n *Store) Stage() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.raft != nil {
		return n.raft.State().String()
	}
	return n.stage
}
