// Package quotastore replicates the state of package quota between the agents of a group by the consensus library, on disk
// before anything is answered. Any agent can be asked; it forwards to the leader. The package owns the files, the traffic
// of the group and the leader's clock; what is granted and when is decided in package quota, who may vote in package
// quorum.
package quotastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/failpoint"
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

// propose has a command replicated, and waits until it is applied here.
func (n *Store) propose(r *raft.Raft, c quota.Command) (res quota.Result, err error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return res, err
	}
	if failpoint.Enabled(failpoint.AnswerEarly) && c.Renew != nil {
		return n.answerBeforeCommit(r, raw)
	}
	f := r.Apply(raw, applyTimeout)
	if err := f.Error(); err != nil {
		return res, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	res, ok := f.Response().(quota.Result)
	if !ok {
		return res, fmt.Errorf("ledger: %v", f.Response())
	}
	failpoint.CrashAt(failpoint.AfterReplicated)
	for _, l := range res.Events {
		n.emit(l)
	}
	return res, nil
}

// unproven is what failpoint.AnswerEarly does: it answers from a copy.
func (n *Store) answerBeforeCommit(r *raft.Raft, raw []byte) (res quota.Result, err error) {
	was, err := n.snapshot()
	if err != nil {
		return res, err
	}
	copied := &Store{}
	if err := copied.restore(bytes.NewReader(was)); err != nil {
		return res, err
	}
	f := r.Apply(raw, applyTimeout)
	go func() { _ = f.Error() }() // its outcome shows in the log alone; ends with applyTimeout
	return copied.apply(raw), nil
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
