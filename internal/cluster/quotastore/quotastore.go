// Package quotastore keeps the one truth about budgets: manage/budget's ledger, replicated between the agents of a group by
// the consensus library, on disk before anything is answered. Any agent can be asked; it hands on to the leader. It owns
// the files, the conversations of the group and the leader's clock; what is granted and when is decided in manage/budget,
// who may take part in manage/quorum.
package quotastore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/failpoint"
	"milletbarrow/internal/jsonhttp"
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

// Options are what a node is opened with.
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

// Node is one agent's side of the ledger.
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

// ErrNoLeader: no half of the group can be reached, or none has agreed on a leader yet.
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
	defer n.log.Close()
	fit, err := n.assessEligibility(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	r, err := n.startRaft(fit)
	if err != nil {
		n.setStage("", err.Error())
		return err
	}
	defer func() { r.Shutdown().Error() }()
	n.runLeader(ctx, r)
	return nil
}

func (n *Store) setStage(stage, why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if stage != n.stage {
		slog.Info("ledger", "stage", stage, "why", why)
	}
	n.stage = stage
}

// standing is what this member has written down.
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

// judge finds out whether this directory may be an older copy, from what enough others of the group have written down.
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
			ask, cancel := context.WithTimeout(ctx, n.config.Bounds.Call/2)
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
			slog.Info("ledger_standing", "term", own.Term, "index", own.Index, "heard", len(heard), "behind", f.Behind,
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
		Stream: streamLayer{n.config.Transport.Listener(transport.KindRaft), n.config.Transport}, MaxPool: 3, Timeout: n.config.Bounds.Call, Logger: quiet,
		// No pipeline: where its reader gives up while its writer waits for room, the library (v1.8.0) waits for ever, and
		// with it the end of that node. Entries are sent in batches anyway.
		MaxRPCsInFlight: 1,
	})
	var r *raft.Raft
	started := make(chan struct{})
	n.eligibility = newEligibilityTransport(trans, fit, func() (term, index uint64) {
		<-started
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
			return nil, err
		}
	}
	r, err = raft.NewRaft(c, stateMachine{n}, n.log, n.log, snaps, n.eligibility)
	if err != nil {
		return nil, err
	}
	close(started)
	n.mu.Lock()
	n.raft = r
	n.mu.Unlock()
	n.setStage("member", "")
	return r, nil
}

// lead is the leader's loop, for as often as this node is one.
func (n *Store) runLeader(ctx context.Context, r *raft.Raft) {
	beat := time.NewTicker(trackerInterval)
	defer beat.Stop()
	led := uint64(0) // the term that this loop began to lead in
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		if r.State() != raft.Leader {
			led = 0
			n.mu.Lock()
			n.ready = false
			n.mu.Unlock()
			continue
		}
		if term := r.CurrentTerm(); led != term {
			n.mu.Lock()
			n.ready = false
			n.mu.Unlock()
			if r.Barrier(applyTimeout).Error() != nil { // all that earlier leaders granted is known after it
				continue
			}
			n.mu.Lock()
			n.tracker.BecomeLeader(n.config.Clock(), n.state, len(r.GetConfiguration().Configuration().Servers) == 1)
			n.ready = r.CurrentTerm() == term
			n.mu.Unlock()
			led = term
			n.emit(quota.Event{Name: n.config.Host, Kind: "leader", Cause: fmt.Sprintf("term %d", term)})
		}
		n.mu.Lock()
		over, divide := n.tracker.Tick(n.config.Clock(), n.state)
		var c quota.Command
		c.ElapsedPauses = n.tracker.ElapsedPauses(n.config.Clock(), n.state)
		c.Expire, c.Rebalance = over, divide && n.state.Config.Version > 0
		if n.wantedConfig != nil && n.wantedConfig.Version > n.state.Config.Version {
			c.Config = n.wantedConfig
		}
		n.mu.Unlock()
		if len(c.Expire) > 0 || len(c.ElapsedPauses) > 0 || c.Rebalance || c.Config != nil {
			if res, err := n.propose(r, c); err == nil && res.Rejection != "" && c.Config != nil {
				slog.Warn("budgets", "used", false, "why", res.Rejection)
				n.mu.Lock()
				n.wantedConfig = nil
				n.mu.Unlock()
			}
		}
		n.changeMembers(r)
	}
}

// regroup takes one step towards the members that are wanted.
func (n *Store) changeMembers(r *raft.Raft) {
	n.mu.Lock()
	wanted, old := slices.Clone(n.wantedMembers), n.wantedVersion < n.state.Config.Version
	n.mu.Unlock()
	f := r.GetConfiguration()
	if old || f.Error() != nil { // a file older than the terms in force must not undo what a newer one asked for
		return
	}
	var has []string
	for _, s := range f.Configuration().Servers {
		has = append(has, string(s.ID))
	}
	step := quorum.NextChange(has, wanted, n.config.Host)
	switch {
	case step.Add != "":
		if err := r.AddVoter(raft.ServerID(step.Add), raft.ServerAddress(step.Add), f.Index(), applyTimeout).Error(); err == nil {
			n.emit(quota.Event{Name: step.Add, Kind: "group", Cause: "added to it"})
		}
	case step.Remove != "":
		if err := r.RemoveServer(raft.ServerID(step.Remove), f.Index(), applyTimeout).Error(); err == nil {
			n.emit(quota.Event{Name: step.Remove, Kind: "group", Cause: "taken out of it"})
		}
	}
}

func (n *Store) emit(l quota.Event) {
	if n.config.OnEvent != nil {
		n.config.OnEvent(l)
	}
}

// Use takes in what the fleet's file says now. Only a leader acts on it, and only on a version above the one in force.
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
	go r.Apply(raw, applyTimeout).Error()
	return copied.apply(raw), nil
}

// notHere is the answer of an agent that is not the leader, with the name of whom it thinks to be.
type notLeader struct {
	Leader string `json:"leader"`
}

// local does a command if this node leads; ok is false if it does not.
func (n *Store) local(c quota.Command) (res quota.Result, leader string, ok bool, err error) {
	n.mu.Lock()
	r, ready := n.raft, n.ready
	if ready {
		c.FreezeGrowth = n.tracker.GrowthFrozen(n.config.Clock())
	}
	n.mu.Unlock()
	if r == nil {
		return res, "", false, nil
	}
	if !ready || r.State() != raft.Leader {
		_, id := r.LeaderWithID()
		return res, string(id), false, nil
	}
	res, err = n.propose(r, c)
	return res, n.config.Host, true, err
}

// Do has a command done, by whichever agent leads. An error does not say that it was not done.
func (n *Store) Do(ctx context.Context, c quota.Command) (res quota.Result, err error) {
	res, leader, ok, err := n.local(c)
	if ok {
		return res, err
	}
	err = n.forwardToLeader(ctx, leader, "/ledger/do", c, &res)
	return res, err
}

// atLeader asks one agent after the other until one leads.
func (n *Store) forwardToLeader(ctx context.Context, hint, path string, body, into any) error {
	n.mu.Lock()
	if hint == "" {
		hint = n.lastLeader
	}
	members := slices.Clone(n.config.Members)
	n.mu.Unlock()
	tried := map[string]bool{n.config.Host: true}
	var last error
	for next := hint; ctx.Err() == nil; {
		if next == "" || tried[next] {
			i := slices.IndexFunc(members, func(m string) bool { return !tried[m] })
			if i < 0 {
				break
			}
			next = members[i]
		}
		tried[next] = true
		ask, cancel := context.WithTimeout(ctx, n.config.Bounds.Call)
		err := n.config.Transport.Call(ask, next, path, body, into)
		cancel()
		if err == nil {
			n.mu.Lock()
			n.lastLeader = next
			n.mu.Unlock()
			return nil
		}
		last = fmt.Errorf("%s: %w", next, err)
		var other notLeader
		if no, ok := errors.AsType[*jsonhttp.Status](err); ok && no.Code == http.StatusMisdirectedRequest {
			json.Unmarshal([]byte(no.Text), &other)
		}
		next = other.Leader
	}
	return errors.Join(ErrNoLeader, last)
}

// View asks the leader, which makes sure that it still is one.
func (n *Store) Status(ctx context.Context) (v quota.Status, err error) {
	v, leader, ok, err := n.localStatus()
	if ok {
		return v, err
	}
	err = n.forwardToLeader(ctx, leader, "/ledger/view", nil, &v)
	return v, err
}

func (n *Store) localStatus() (v quota.Status, leader string, ok bool, err error) {
	n.mu.Lock()
	r, ready := n.raft, n.ready
	n.mu.Unlock()
	if r == nil {
		return v, "", false, nil
	}
	if _, id := r.LeaderWithID(); !ready || r.State() != raft.Leader {
		return v, string(id), false, nil
	}
	if err := r.VerifyLeader().Error(); err != nil {
		return v, "", true, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	for _, s := range r.GetConfiguration().Configuration().Servers {
		v.Members = append(v.Members, string(s.ID))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v.Leader, v.Term, v.Version, v.GrowthFrozen = n.config.Host, r.CurrentTerm(), n.state.Config.Version, n.tracker.GrowthFrozen(n.config.Clock())
	v.Limits, v.ColdStarts = n.state.Usages(), n.state.ColdStartStatuses()
	n.tracker.FillRemaining(n.config.Clock(), n.state, v.Limits)
	return v, n.config.Host, true, nil
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

// Handle answers other agents.
func (n *Store) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /ledger/standing", func(w http.ResponseWriter, _ *http.Request) {
		if n.log == nil {
			http.Error(w, "outside the group", http.StatusNotFound)
			return
		}
		s, err := n.logPosition()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(s)
	})
	mux.HandleFunc("POST /ledger/do", func(w http.ResponseWriter, r *http.Request) {
		var c quota.Command
		if err := json.NewDecoder(io.LimitReader(r.Body, 16*int64(n.config.Bounds.Message))).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.Config, c.Expire, c.Rebalance, c.FreezeGrowth = nil, nil, false, false // the leader's own words
		res, leader, ok, err := n.local(c)
		writeAnswer(w, res, leader, ok, err)
	})
	mux.HandleFunc("POST /ledger/view", func(w http.ResponseWriter, _ *http.Request) {
		v, leader, ok, err := n.localStatus()
		writeAnswer(w, v, leader, ok, err)
	})
}

func writeAnswer(w http.ResponseWriter, v any, leader string, ok bool, err error) {
	switch {
	case !ok:
		w.WriteHeader(http.StatusMisdirectedRequest)
		json.NewEncoder(w).Encode(notLeader{leader})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		json.NewEncoder(w).Encode(v)
	}
}
