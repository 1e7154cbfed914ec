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
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// Times of the group, each once. A leader that hears of no half for leaderLease gives up; elections take one to two of
// election.
const (
	heartbeat   = 500 * time.Millisecond
	election    = 500 * time.Millisecond
	leaderLease = 400 * time.Millisecond
	commit      = 20 * time.Millisecond
	look        = 25 * time.Millisecond // between two looks of the clerk
	apply       = 2 * time.Second       // a command waits so long for its half
)

// Options are what a node is opened with.
type Options struct {
	Host    string
	Members []string // of the group as the fleet's file names them
	Dir     string   // of this node alone
	Trust   bool     // the directory is known to be no older copy: an operator says so
	Net     *transport.Net
	Bounds  limits.Control
	Clock   func() quota.Micros
	Note    func(quota.Note) // of the leader's history; must not block
}

// Node is one agent's side of the ledger.
type Node struct {
	o     Options
	store *store // nil outside the group
	trans *careful

	mu      sync.Mutex // guards what follows
	raft    *raft.Raft
	truth   *quota.Ledger
	clerk   quota.Clerk
	ready   bool // this is the leader, and the clerk has begun
	terms   *quota.Terms
	asked   []string // members wanted, by the version of the file that this agent has
	version uint64
	leader  string // last known
	stage   string // why this node takes no part, as long as it does not

}

// ErrNoLeader: no half of the group can be reached, or none has agreed on a leader yet.
var ErrNoLeader = errors.New("the ledger has no leader that can be reached")

// Open opens this host's side; a host outside the group keeps nothing and asks.
func Open(o Options) (*Node, error) {
	n := &Node{o: o, truth: quota.NewLedger(), asked: o.Members, stage: "outside the group"}
	if !slices.Contains(o.Members, o.Host) {
		return n, nil
	}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	s, err := openStore(filepath.Join(o.Dir, "ledger.db"))
	if err != nil {
		return nil, err
	}
	n.store, n.stage = s, "starting"
	return n, nil
}

// Run takes part until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	if n.store == nil {
		<-ctx.Done()
		return nil
	}
	defer n.store.Close()
	fit, err := n.judge(ctx)
	if err != nil || ctx.Err() != nil {
		return err
	}
	r, err := n.begin(fit)
	if err != nil {
		n.say("", err.Error())
		return err
	}
	defer func() { r.Shutdown().Error() }()
	n.lead(ctx, r)
	return nil
}

func (n *Node) say(stage, why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if stage != n.stage {
		slog.Info("ledger", "stage", stage, "why", why)
	}
	n.stage = stage
}

// standing is what this member has written down.
func (n *Node) standing() (s quorum.Standing, err error) {
	if s.Term, err = n.store.GetUint64([]byte("CurrentTerm")); err != nil {
		return s, err
	}
	if s.Index, err = n.store.LastIndex(); err != nil || s.Index == 0 {
		return s, err
	}
	var last raft.Log
	err = n.store.GetLog(s.Index, &last)
	s.LogTerm = last.Term
	return s, err
}

// judge finds out whether this directory may be an older copy, from what enough others of the group have written down.
func (n *Node) judge(ctx context.Context) (quorum.Fit, error) {
	own, err := n.standing()
	if err != nil {
		return quorum.Fit{}, err
	}
	others := slices.DeleteFunc(slices.Clone(n.o.Members), func(m string) bool { return m == n.o.Host })
	if len(others) == 0 || n.o.Trust {
		return quorum.Judge(own, nil), nil
	}
	if !own.Empty() { // an election in which this member voted before must be over when the others are asked
		select {
		case <-time.After(2*election + heartbeat):
		case <-ctx.Done():
		}
	}
	heard := map[string]quorum.Standing{}
	for ctx.Err() == nil {
		for _, m := range others {
			ask, cancel := context.WithTimeout(ctx, n.o.Bounds.Call/2)
			var s quorum.Standing
			if err := n.o.Net.Ask(ask, m, "/ledger/standing", nil, &s); err == nil {
				heard[m] = s
			}
			cancel()
		}
		if quorum.Heard(len(n.o.Members), len(heard)) {
			var all []quorum.Standing
			for _, s := range heard {
				all = append(all, s)
			}
			f := quorum.Judge(own, all)
			slog.Info("ledger_standing", "term", own.Term, "index", own.Index, "heard", len(heard), "behind", f.Behind,
				"group_term", f.Term, "group_index", f.Log.Index, "first", f.Bootstrap)
			if f.Behind {
				n.note(quota.Note{Name: n.o.Host, Event: "ledger behind", Cause: fmt.Sprintf("has entry %d, the group %d: it votes for none that has less, until it has that", own.Index, f.Log.Index)})
			}
			return f, nil
		}
		n.say("waiting", fmt.Sprintf("heard from %d of the group, which is too few to know that this directory is no older copy", len(heard)))
		select {
		case <-time.After(200 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return quorum.Fit{}, nil
}

func (n *Node) begin(fit quorum.Fit) (*raft.Raft, error) {
	if fit.Term > 0 { // taken over with the vote used up
		err := errors.Join(n.store.SetUint64([]byte("CurrentTerm"), fit.Term), n.store.SetUint64([]byte("LastVoteTerm"), fit.Term),
			n.store.Set([]byte("LastVoteCand"), []byte("nobody: it may have voted before its directory was set back")))
		if err != nil {
			return nil, err
		}
	}
	quiet := hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Off})
	if os.Getenv("MILLETBARROW_RAFT_LOG") != "" {
		quiet = hclog.New(&hclog.LoggerOptions{Output: os.Stderr, Level: hclog.Info})
	}
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(n.o.Host)
	c.HeartbeatTimeout, c.ElectionTimeout, c.LeaderLeaseTimeout, c.CommitTimeout = heartbeat, election, leaderLease, commit
	c.Logger, c.NoLegacyTelemetry, c.ShutdownOnRemove = quiet, true, false
	c.SnapshotThreshold, c.TrailingLogs, c.SnapshotInterval = 4096, 1024, 30*time.Second
	snaps, err := raft.NewFileSnapshotStoreWithLogger(n.o.Dir, 2, quiet)
	if err != nil {
		return nil, err
	}
	trans := raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: layer{n.o.Net.Listener(transport.Raft), n.o.Net}, MaxPool: 3, Timeout: n.o.Bounds.Call, Logger: quiet,
		// No pipeline: where its reader gives up while its writer waits for room, the library (v1.8.0) waits for ever, and
		// with it the end of that node. Entries are sent in batches anyway.
		MaxRPCsInFlight: 1,
	})
	var r *raft.Raft
	started := make(chan struct{})
	n.trans = newCareful(trans, fit, func() (term, index uint64) {
		<-started
		s, err := n.standing()
		if err != nil {
			return 0, 0
		}
		return s.LogTerm, s.Index
	})
	if fit.Bootstrap {
		var group raft.Configuration
		for _, m := range n.o.Members {
			group.Servers = append(group.Servers, raft.Server{ID: raft.ServerID(m), Address: raft.ServerAddress(m)})
		}
		if err := raft.BootstrapCluster(c, n.store, n.store, snaps, trans, group); err != nil && !errors.Is(err, raft.ErrCantBootstrap) {
			return nil, err
		}
	}
	r, err = raft.NewRaft(c, machine{n}, n.store, n.store, snaps, n.trans)
	if err != nil {
		return nil, err
	}
	close(started)
	n.mu.Lock()
	n.raft = r
	n.mu.Unlock()
	n.say("member", "")
	return r, nil
}

// lead is the leader's loop, for as often as this node is one.
func (n *Node) lead(ctx context.Context, r *raft.Raft) {
	beat := time.NewTicker(look)
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
			if r.Barrier(apply).Error() != nil { // all that earlier leaders granted is known after it
				continue
			}
			n.mu.Lock()
			n.clerk.Elected(n.o.Clock(), n.truth, len(r.GetConfiguration().Configuration().Servers) == 1)
			n.ready = r.CurrentTerm() == term
			n.mu.Unlock()
			led = term
			n.note(quota.Note{Name: n.o.Host, Event: "leader", Cause: fmt.Sprintf("term %d", term)})
		}
		n.mu.Lock()
		over, divide := n.clerk.Due(n.o.Clock(), n.truth)
		var c quota.Command
		c.Rested = n.clerk.Rested(n.o.Clock(), n.truth)
		c.Lapse, c.Divide = over, divide && n.truth.Terms.Version > 0
		if n.terms != nil && n.terms.Version > n.truth.Terms.Version {
			c.Terms = n.terms
		}
		n.mu.Unlock()
		if len(c.Lapse) > 0 || len(c.Rested) > 0 || c.Divide || c.Terms != nil {
			if res, err := n.propose(r, c); err == nil && res.No != "" && c.Terms != nil {
				slog.Warn("budgets", "used", false, "why", res.No)
				n.mu.Lock()
				n.terms = nil
				n.mu.Unlock()
			}
		}
		n.regroup(r)
	}
}

// regroup takes one step towards the members that are wanted.
func (n *Node) regroup(r *raft.Raft) {
	n.mu.Lock()
	wanted, old := slices.Clone(n.asked), n.version < n.truth.Terms.Version
	n.mu.Unlock()
	f := r.GetConfiguration()
	if old || f.Error() != nil { // a file older than the terms in force must not undo what a newer one asked for
		return
	}
	var has []string
	for _, s := range f.Configuration().Servers {
		has = append(has, string(s.ID))
	}
	step := quorum.Next(has, wanted, n.o.Host)
	switch {
	case step.Add != "":
		if err := r.AddVoter(raft.ServerID(step.Add), raft.ServerAddress(step.Add), f.Index(), apply).Error(); err == nil {
			n.note(quota.Note{Name: step.Add, Event: "group", Cause: "added to it"})
		}
	case step.Remove != "":
		if err := r.RemoveServer(raft.ServerID(step.Remove), f.Index(), apply).Error(); err == nil {
			n.note(quota.Note{Name: step.Remove, Event: "group", Cause: "taken out of it"})
		}
	}
}

func (n *Node) note(l quota.Note) {
	if n.o.Note != nil {
		n.o.Note(l)
	}
}

// Use takes in what the fleet's file says now. Only a leader acts on it, and only on a version above the one in force.
func (n *Node) Use(t *quota.Terms, members []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.terms, n.asked, n.o.Members, n.version = t, members, members, t.Version
}

// apply takes in an entry that is committed.
func (n *Node) apply(raw []byte) quota.Result {
	var c quota.Command
	if err := json.Unmarshal(raw, &c); err != nil {
		return quota.Result{No: "not a command: " + err.Error()}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.truth.Apply(c)
}

func (n *Node) dump() ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return json.Marshal(n.truth)
}

func (n *Node) load(from io.Reader) error {
	l := quota.NewLedger()
	if err := json.NewDecoder(from).Decode(l); err != nil {
		return err
	}
	l.Restored()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.truth = l
	return nil
}

// propose has a command replicated, and waits until it is applied here.
func (n *Node) propose(r *raft.Raft, c quota.Command) (res quota.Result, err error) {
	raw, err := json.Marshal(c)
	if err != nil {
		return res, err
	}
	if plantEarlyAnswer && c.Renew != nil {
		return n.unproven(r, raw)
	}
	f := r.Apply(raw, apply)
	if err := f.Error(); err != nil {
		return res, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	res, ok := f.Response().(quota.Result)
	if !ok {
		return res, fmt.Errorf("ledger: %v", f.Response())
	}
	point("replicated")
	for _, l := range res.Notes {
		n.note(l)
	}
	return res, nil
}

// unproven is the planted fault: it answers from a copy.
func (n *Node) unproven(r *raft.Raft, raw []byte) (res quota.Result, err error) {
	was, err := n.dump()
	if err != nil {
		return res, err
	}
	copied := &Node{}
	if err := copied.load(bytes.NewReader(was)); err != nil {
		return res, err
	}
	go r.Apply(raw, apply).Error()
	return copied.apply(raw), nil
}

// notHere is the answer of an agent that is not the leader, with the name of whom it thinks to be.
type notHere struct {
	Leader string `json:"leader"`
}

// local does a command if this node leads; ok is false if it does not.
func (n *Node) local(c quota.Command) (res quota.Result, leader string, ok bool, err error) {
	n.mu.Lock()
	r, ready := n.raft, n.ready
	if ready {
		c.Hold = n.clerk.Hold(n.o.Clock())
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
	return res, n.o.Host, true, err
}

// Do has a command done, by whichever agent leads. An error does not say that it was not done.
func (n *Node) Do(ctx context.Context, c quota.Command) (res quota.Result, err error) {
	res, leader, ok, err := n.local(c)
	if ok {
		return res, err
	}
	err = n.atLeader(ctx, leader, "/ledger/do", c, &res)
	return res, err
}

// atLeader asks one agent after the other until one leads.
func (n *Node) atLeader(ctx context.Context, hint, path string, body, into any) error {
	n.mu.Lock()
	if hint == "" {
		hint = n.leader
	}
	members := slices.Clone(n.o.Members)
	n.mu.Unlock()
	tried := map[string]bool{n.o.Host: true}
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
		ask, cancel := context.WithTimeout(ctx, n.o.Bounds.Call)
		err := n.o.Net.Ask(ask, next, path, body, into)
		cancel()
		if err == nil {
			n.mu.Lock()
			n.leader = next
			n.mu.Unlock()
			return nil
		}
		last = fmt.Errorf("%s: %w", next, err)
		var other notHere
		if no, ok := errors.AsType[*jsonhttp.Status](err); ok && no.Code == http.StatusMisdirectedRequest {
			json.Unmarshal([]byte(no.Text), &other)
		}
		next = other.Leader
	}
	return errors.Join(ErrNoLeader, last)
}

// View asks the leader, which makes sure that it still is one.
func (n *Node) View(ctx context.Context) (v quota.View, err error) {
	v, leader, ok, err := n.localView()
	if ok {
		return v, err
	}
	err = n.atLeader(ctx, leader, "/ledger/view", nil, &v)
	return v, err
}

func (n *Node) localView() (v quota.View, leader string, ok bool, err error) {
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
	v.Leader, v.Term, v.Version, v.Hold = n.o.Host, r.CurrentTerm(), n.truth.Terms.Version, n.clerk.Hold(n.o.Clock())
	v.Budgets, v.Rises = n.truth.Uses(), n.truth.Risings()
	n.clerk.Left(n.o.Clock(), n.truth, v.Budgets)
	return v, n.o.Host, true, nil
}

// Stage says how this node takes part.
func (n *Node) Stage() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.raft != nil {
		return n.raft.State().String()
	}
	return n.stage
}

// Handle answers other agents.
func (n *Node) Handle(mux *http.ServeMux) {
	mux.HandleFunc("POST /ledger/standing", func(w http.ResponseWriter, _ *http.Request) {
		if n.store == nil {
			http.Error(w, "outside the group", http.StatusNotFound)
			return
		}
		s, err := n.standing()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(s)
	})
	mux.HandleFunc("POST /ledger/do", func(w http.ResponseWriter, r *http.Request) {
		var c quota.Command
		if err := json.NewDecoder(io.LimitReader(r.Body, 16*int64(n.o.Bounds.Message))).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.Terms, c.Lapse, c.Divide, c.Hold = nil, nil, false, false // the leader's own words
		res, leader, ok, err := n.local(c)
		answer(w, res, leader, ok, err)
	})
	mux.HandleFunc("POST /ledger/view", func(w http.ResponseWriter, _ *http.Request) {
		v, leader, ok, err := n.localView()
		answer(w, v, leader, ok, err)
	})
}

func answer(w http.ResponseWriter, v any, leader string, ok bool, err error) {
	switch {
	case !ok:
		w.WriteHeader(http.StatusMisdirectedRequest)
		json.NewEncoder(w).Encode(notHere{leader})
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		json.NewEncoder(w).Encode(v)
	}
}
