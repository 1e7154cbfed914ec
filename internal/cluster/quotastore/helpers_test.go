package quotastore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

const (
	waitTimeout  = 10 * time.Second // for conditions that require no election
	pollInterval = 10 * time.Millisecond
)

// waitFor polls a condition and fails the test if it does not hold in time.
func waitFor(tb testing.TB, within time.Duration, condition string, holds func() bool) {
	tb.Helper()
	for began := time.Now(); !holds(); time.Sleep(pollInterval) {
		if time.Since(began) > within {
			tb.Fatalf("not within %v: %s", within, condition)
		}
	}
}

// testGroup is a group of stores in this process. A test can interrupt the links between them.
type testGroup struct {
	*proxy.Mesh
	tb        testing.TB
	dir       string
	names     []string          // of all hosts
	addresses map[string]string // by host
	config    *quota.Config
	members   []string // of the group, as named in the fleet file

	mu    sync.Mutex // guards the fields below
	nodes map[string]*Store
	stops map[string]func()
}

// newGroup returns a group of the hosts h1, h2, ..., none of which is started. Its configuration has one limit of two
// permits.
func newGroup(tb testing.TB, n int) *testGroup {
	tb.Helper()
	g := &testGroup{
		tb:        tb,
		dir:       tb.TempDir(),
		addresses: map[string]string{},
		config:    permitConfig(1),
		nodes:     map[string]*Store{},
		stops:     map[string]func(){},
	}
	addresses := make([]string, 0, n)
	for i := range n {
		name := fmt.Sprint("h", i+1)
		// No outgoing connection uses a local address of this network, so that the port stays free.
		l, err := new(net.ListenConfig).Listen(tb.Context(), "tcp", fmt.Sprintf("127.0.27.%d:0", i+1))
		if err != nil {
			tb.Fatal(err)
		}
		defer l.Close()
		g.names = append(g.names, name)
		g.addresses[name] = l.Addr().String()
		addresses = append(addresses, l.Addr().String())
	}
	var err error
	g.Mesh, err = proxy.NewMesh(g.names, addresses)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(g.Close)
	g.members = g.names
	return g
}

// listen listens at a host's address. It retries, because the address may not be free immediately after the host was
// stopped.
func (g *testGroup) listen(name string) (*transport.Transport, error) {
	for attempt := 1; ; attempt++ {
		t, err := transport.Listen(name, g.addresses[name], g.Addresses(name), limits.ForControl())
		if err == nil || attempt == 50 {
			return t, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// start starts a host. It may be called from goroutines other than the test's.
func (g *testGroup) start(name string) {
	t, err := g.listen(name)
	if err != nil {
		g.tb.Error(err)
		return
	}
	node, err := Open(Config{
		Host:      name,
		Members:   g.members,
		Dir:       filepath.Join(g.dir, name),
		Transport: t,
		Bounds:    limits.ForControl(),
		Clock:     process.Now,
	})
	if err != nil {
		g.tb.Error(err)
		return
	}
	node.SetConfig(g.config, g.members)
	ctx, cancel := context.WithCancel(context.Background())
	mux := http.NewServeMux()
	node.RegisterHandlers(mux)
	server := &http.Server{Handler: mux}
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = t.Run(ctx) })
	tasks.Go(func() { _ = server.Serve(t.Listener(transport.KindCall)) })
	tasks.Go(func() { _ = node.Run(ctx) })
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nodes[name] = node
	g.stops[name] = func() {
		cancel()
		server.Close()
		tasks.Wait()
	}
}

// startAll starts all hosts, which are stopped at the end of the test, and waits for a leader.
func (g *testGroup) startAll() quota.Status {
	g.tb.Helper()
	for _, name := range g.names {
		g.start(name)
	}
	g.tb.Cleanup(g.stopAll)
	return g.waitForStatus(20*time.Second, "a leader", hasLeader)
}

func (g *testGroup) stop(name string) {
	g.mu.Lock()
	stop := g.stops[name]
	delete(g.stops, name)
	delete(g.nodes, name)
	g.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (g *testGroup) stopAll() {
	for _, name := range slices.Sorted(maps.Keys(g.addresses)) {
		g.stop(name)
	}
}

// node returns the store of a host, or nil while it is stopped.
func (g *testGroup) node(name string) *Store {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.nodes[name]
}

// waitForStatus waits until the status from any host meets a condition, and returns that status.
func (g *testGroup) waitForStatus(
	within time.Duration, condition string, meets func(quota.Status) bool,
) (status quota.Status) {
	g.tb.Helper()
	waitFor(g.tb, within, condition, func() bool {
		return slices.ContainsFunc(g.names, func(name string) bool {
			node := g.node(name)
			if node == nil {
				return false
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			var err error
			status, err = node.Status(ctx)
			return err == nil && meets(status)
		})
	})
	return status
}

func hasLeader(status quota.Status) bool { return status.Leader != "" && status.Version > 0 }

// serial returns the serial number of the latest command that the replica has applied.
func (s *Store) serial() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Serial
}

// permitConfig returns a configuration with a limit of two permits.
func permitConfig(version uint64) *quota.Config {
	return &quota.Config{
		Version: version,
		Limits:  []quota.Limit{{Name: "out", Kind: quota.Concurrency, Total: 2}},
	}
}

// rateConfig returns a configuration with a rate of 10 units per second for the backend n.
func rateConfig(lease monotime.Micros) *quota.Config {
	return &quota.Config{Version: 1, Limits: []quota.Limit{{
		Name:        "b",
		Kind:        quota.Rate,
		Total:       10,
		Floors:      map[quota.InstanceName]int64{"n": 3},
		Division:    quota.DivideEvenly,
		Step:        1,
		Lease:       lease,
		ClockMargin: lease / 20,
		Tenant:      "t",
	}}}
}

// renewal returns a lease request of the backend n.
func renewal(number uint64) quota.Command {
	return quota.Command{Renew: &quota.RenewCommand{Host: "h", Requests: []backendquota.LeaseRequest{{
		Name:        "n",
		Incarnation: "1",
		Number:      number,
		Usage:       []backendquota.Usage{{Budget: "b"}},
	}}}}
}

// openTestStore opens the store of a host on loopback. Its transport is run, but not the store.
func openTestStore(t *testing.T, host string, addresses map[string]string, members ...string) *Store {
	t.Helper()
	tr, err := transport.Listen(host, "127.0.0.1:0", addresses, limits.ForControl())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tr.Run(ctx)
	}()
	s, err := Open(Config{
		Host:      host,
		Members:   members,
		Dir:       t.TempDir(),
		Transport: tr,
		Bounds:    limits.ForControl(),
		Clock:     process.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-ended
		if s.log != nil {
			_ = s.log.Close()
		}
	})
	return s
}

// serveCalls serves calls to a store's agent until the end of the test.
func serveCalls(t *testing.T, s *Store, handler http.Handler) {
	t.Helper()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(s.config.Transport.Listener(transport.KindCall)) }()
	t.Cleanup(func() { _ = server.Close() })
}

// fakeReplica is a replica whose Raft state and term are set by the test. It applies commands to the store immediately.
type fakeReplica struct {
	store *Store

	servers   []raft.Server
	onBarrier func() error // called by Barrier; nil: Barrier succeeds
	verifyErr error        // returned by VerifyLeader
	changes   []string     // calls of AddVoter and RemoveServer

	mu      sync.Mutex // guards the fields below
	state   raft.RaftState
	term    uint64
	applied []quota.Command
}

// future is a completed future.
type future struct {
	err           error
	response      any
	configuration raft.Configuration
}

func (f future) Error() error                      { return f.err }
func (f future) Index() uint64                     { return 0 }
func (f future) Response() any                     { return f.response }
func (f future) Configuration() raft.Configuration { return f.configuration }

func (r *fakeReplica) State() raft.RaftState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

func (r *fakeReplica) CurrentTerm() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term
}

func (r *fakeReplica) LeaderWithID() (raft.ServerAddress, raft.ServerID) { return "h2", "h2" }

func (r *fakeReplica) VerifyLeader() raft.Future { return future{err: r.verifyErr} }

func (r *fakeReplica) Barrier(time.Duration) raft.Future {
	if r.onBarrier != nil {
		return future{err: r.onBarrier()}
	}
	return future{}
}

func (r *fakeReplica) Apply(encoded []byte, _ time.Duration) raft.ApplyFuture {
	var command quota.Command
	if err := json.Unmarshal(encoded, &command); err != nil {
		return future{err: err}
	}
	r.mu.Lock()
	r.applied = append(r.applied, command)
	r.mu.Unlock()
	return future{response: r.store.apply(encoded)}
}

func (r *fakeReplica) GetConfiguration() raft.ConfigurationFuture {
	return future{configuration: raft.Configuration{Servers: r.servers}}
}

func (r *fakeReplica) AddVoter(
	id raft.ServerID, _ raft.ServerAddress, _ uint64, _ time.Duration,
) raft.IndexFuture {
	r.changes = append(r.changes, "add "+string(id))
	return future{}
}

func (r *fakeReplica) RemoveServer(id raft.ServerID, _ uint64, _ time.Duration) raft.IndexFuture {
	r.changes = append(r.changes, "remove "+string(id))
	return future{}
}

// setState sets the Raft state and the term.
func (r *fakeReplica) setState(state raft.RaftState, term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.term = term
}

// expired reports whether a lease expiry was proposed.
func (r *fakeReplica) expired() bool {
	return slices.ContainsFunc(r.applied, func(command quota.Command) bool { return len(command.Expire) > 0 })
}

// newFakeLeader returns the leader loop and the replica of h1, in a group of three members, and the clock of its store.
// The replica was elected in term 1, but the loop has not begun the term yet.
func newFakeLeader() (loop *leaderLoop, fake *fakeReplica, now *monotime.Micros) {
	now = new(monotime.Micros)
	members := []string{"h1", "h2", "h3"}
	s := &Store{
		config: Config{
			Host:    "h1",
			Members: members,
			Bounds:  limits.ForControl(),
			Clock:   func() monotime.Micros { return *now },
		},
		state:          quota.NewState(),
		desiredMembers: members,
	}
	fake = &fakeReplica{store: s, state: raft.Leader, term: 1}
	for _, member := range members {
		server := raft.Server{ID: raft.ServerID(member), Address: raft.ServerAddress(member)}
		fake.servers = append(fake.servers, server)
	}
	s.replica = fake
	return &leaderLoop{store: s, replica: fake}, fake, now
}

// newTCPTransport returns the Raft library's own TCP transport on loopback.
func newTCPTransport(t *testing.T) *raft.NetworkTransport {
	t.Helper()
	logger := hclog.New(&hclog.LoggerOptions{Output: io.Discard})
	n, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, 5*time.Second, logger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

func newBoltStore(t *testing.T) *boltStore {
	t.Helper()
	s, err := openBoltStore(filepath.Join(t.TempDir(), databaseFile))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// waitForNoGoroutineIn waits until no goroutine has a function on its stack.
func waitForNoGoroutineIn(t *testing.T, function string) {
	t.Helper()
	waitFor(t, waitTimeout, "no goroutine runs "+function, func() bool {
		stacks := make([]byte, 1<<20)
		stacks = stacks[:runtime.Stack(stacks, true)]
		return !bytes.Contains(stacks, []byte(function+"("))
	})
}
