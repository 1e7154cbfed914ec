package quotastore

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/quota"
)

func tcpTransport(t *testing.T) *raft.NetworkTransport {
	t.Helper()
	n, err := raft.NewTCPTransportWithLogger("127.0.0.1:0", nil, 1, 5*time.Second, hclog.New(&hclog.LoggerOptions{Output: io.Discard}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// TestIneligibleMember: a member whose log may have lost entries neither stands for election nor votes for a candidate
// whose log lacks them too; it takes entries, and votes for who has all.
func TestIneligibleMember(t *testing.T) {
	own := uint64(5)
	trans := tcpTransport(t)
	required := quorum.Eligibility{Behind: true, RequiredLog: quorum.LogPosition{Term: 3, LogTerm: 3, Index: 9}}
	e := newEligibilityTransport(trans, required, func() (term, index uint64) { return 3, own })
	t.Cleanup(func() { _ = e.Close() })
	var vote raft.RequestVoteResponse
	var preVote raft.RequestPreVoteResponse
	if err := e.RequestVote("x", trans.LocalAddr(), &raft.RequestVoteRequest{}, &vote); !errors.Is(err, errIneligible) {
		t.Errorf("asked for votes: %v", err)
	}
	if err := e.RequestPreVote("x", trans.LocalAddr(), &raft.RequestPreVoteRequest{}, &preVote); !errors.Is(err, errIneligible) {
		t.Errorf("asked for votes ahead of an election: %v", err)
	}
	caller := tcpTransport(t)
	err := caller.RequestVote("x", trans.LocalAddr(), &raft.RequestVoteRequest{LastLogTerm: 3, LastLogIndex: 8}, &vote)
	if err == nil || !strings.Contains(err.Error(), errIneligible.Error()) {
		t.Errorf("a candidate that lacks an entry was heard: %v", err)
	}
	for _, c := range []struct {
		command any
		want    bool
	}{
		{&raft.RequestVoteRequest{LastLogTerm: 3, LastLogIndex: 8}, false},
		{&raft.RequestVoteRequest{LastLogTerm: 3, LastLogIndex: 9}, true},
		{&raft.RequestPreVoteRequest{LastLogTerm: 2, LastLogIndex: 99}, false},
		{&raft.RequestPreVoteRequest{LastLogTerm: 4, LastLogIndex: 1}, true},
		{&raft.TimeoutNowRequest{}, false},
		{&raft.AppendEntriesRequest{}, true},
	} {
		if got := e.mayHandle(c.command); got != c.want {
			t.Errorf("%T %+v: handled %v, want %v", c.command, c.command, got, c.want)
		}
	}
	own = 9
	if !e.satisfied() {
		t.Error("a log that has what is required does not count as complete")
	}
}

// TestCloseAwaitsHeartbeats: Close returns when no heartbeat is being handled, and none is handled after it: a
// handler writes terms into a log that is closed next.
func TestCloseAwaitsHeartbeats(t *testing.T) {
	inner, caller := tcpTransport(t), tcpTransport(t)
	e := newEligibilityTransport(inner, quorum.Eligibility{}, func() (term, index uint64) { return 0, 0 })
	entered, release, handled := make(chan struct{}, 2), make(chan struct{}), 0
	e.SetHeartbeatHandler(func(call raft.RPC) {
		handled++
		entered <- struct{}{}
		<-release
		call.Respond(&raft.AppendEntriesResponse{Term: 7}, nil)
	})
	heartbeat := func() error {
		var answer raft.AppendEntriesResponse
		request := &raft.AppendEntriesRequest{RPCHeader: raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, Addr: []byte("x")}, Term: 7}
		return caller.AppendEntries("x", inner.LocalAddr(), request, &answer)
	}
	answered, closed := make(chan error, 1), make(chan error, 1)
	go func() { answered <- heartbeat() }()
	<-entered
	go func() { closed <- e.Close() }()
	<-e.done
	select {
	case err := <-closed:
		close(release)
		t.Fatalf("closed while a heartbeat is handled: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if err := <-answered; err != nil {
		t.Error(err)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if err := heartbeat(); err == nil || handled != 1 {
		t.Errorf("after the end: %v, %d heartbeats were handled", err, handled)
	}
}

// TestRestore: a restored state has its totals.
func TestRestore(t *testing.T) {
	from, to := &Store{state: quota.NewState()}, &Store{}
	config := quota.Config{Version: 1, Limits: []quota.Limit{{
		Name: "b", Kind: quota.Rate, Total: 10, Floors: map[quota.InstanceName]int64{"n": 3}, Division: quota.DivideEvenly, Step: 1,
		Lease: 1_000_000, ClockMargin: 50_000, Tenant: "t",
	}}}
	from.state.Apply(quota.Command{Config: &config})
	from.state.Apply(quota.Command{Renew: &quota.RenewCommand{Host: "h", Requests: []backendquota.LeaseRequest{
		{Name: "n", Incarnation: "1", Number: 1, Usage: []backendquota.Usage{{Budget: "b"}}},
	}}})
	want := from.state.Usages()[0].InForce
	raw, err := from.snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := to.restore(bytes.NewReader(raw)); err != nil {
		t.Fatal(err)
	}
	if got := to.state.Usages()[0].InForce; want == 0 || got != want {
		t.Errorf("%d in force after the restore, %d before", got, want)
	}
}
