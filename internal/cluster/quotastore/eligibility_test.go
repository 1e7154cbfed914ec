package quotastore

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
)

// requiresEntry9 is the eligibility of a member that needs entry 9 of term 3.
var requiresEntry9 = quorum.Eligibility{
	Behind:      true,
	RequiredLog: quorum.LogPosition{Term: 3, LogTerm: 3, Index: 9},
}

// TestIneligibleMemberTakesNoPartInElections checks that a member whose log may lack entries neither stands for
// election nor votes for a candidate whose log lacks them too.
func TestIneligibleMemberTakesNoPartInElections(t *testing.T) {
	ownIndex := uint64(5)
	inner := newTCPTransport(t)
	filtered := newEligibilityTransport(inner, requiresEntry9, func() (term, index uint64) { return 3, ownIndex })
	t.Cleanup(func() { _ = filtered.Close() })
	var vote raft.RequestVoteResponse
	err := filtered.RequestVote("x", inner.LocalAddr(), &raft.RequestVoteRequest{}, &vote)
	if !errors.Is(err, errIneligible) {
		t.Errorf("requested a vote: %v", err)
	}
	var preVote raft.RequestPreVoteResponse
	err = filtered.RequestPreVote("x", inner.LocalAddr(), &raft.RequestPreVoteRequest{}, &preVote)
	if !errors.Is(err, errIneligible) {
		t.Errorf("requested a pre-vote: %v", err)
	}
	request := &raft.RequestVoteRequest{LastLogTerm: 3, LastLogIndex: 8}
	err = newTCPTransport(t).RequestVote("x", inner.LocalAddr(), request, &vote)
	if err == nil || !strings.Contains(err.Error(), errIneligible.Error()) {
		t.Errorf("handled the request of a candidate that lacks an entry: %v", err)
	}
	ownIndex = 9
	if !filtered.caughtUp() {
		t.Error("a log that has the required entry is not satisfied")
	}
}

func TestIneligibleMemberRejectsElectionCallsOnly(t *testing.T) {
	filtered := newEligibilityTransport(newTCPTransport(t), requiresEntry9, func() (term, index uint64) { return 3, 5 })
	t.Cleanup(func() { _ = filtered.Close() })
	for _, test := range []struct {
		name    string
		command any
		want    bool
	}{
		{"vote, lacks an entry", &raft.RequestVoteRequest{LastLogTerm: 3, LastLogIndex: 8}, false},
		{"vote, has the entry", &raft.RequestVoteRequest{LastLogTerm: 3, LastLogIndex: 9}, true},
		{"pre-vote, older term", &raft.RequestPreVoteRequest{LastLogTerm: 2, LastLogIndex: 99}, false},
		{"pre-vote, newer term", &raft.RequestPreVoteRequest{LastLogTerm: 4, LastLogIndex: 1}, true},
		{"leadership transfer", &raft.TimeoutNowRequest{}, false},
		{"entries", &raft.AppendEntriesRequest{}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := filtered.allowedWhileBehind(test.command); got != test.want {
				t.Errorf("%T: %v, want %v", test.command, got, test.want)
			}
		})
	}
}

// TestCloseWaitsForHeartbeats checks that no heartbeat is handled when Close returns or after it. A handler may write
// a term into the log, which is closed next.
func TestCloseWaitsForHeartbeats(t *testing.T) {
	inner, caller := newTCPTransport(t), newTCPTransport(t)
	filtered := newEligibilityTransport(inner, quorum.Eligibility{}, func() (term, index uint64) { return 0, 0 })
	entered, release := make(chan struct{}, 2), make(chan struct{})
	handled := 0
	filtered.SetHeartbeatHandler(func(call raft.RPC) {
		handled++
		entered <- struct{}{}
		<-release
		call.Respond(&raft.AppendEntriesResponse{Term: 7}, nil)
	})
	heartbeat := func() error {
		var response raft.AppendEntriesResponse
		header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, Addr: []byte("x")}
		request := &raft.AppendEntriesRequest{RPCHeader: header, Term: 7}
		return caller.AppendEntries("x", inner.LocalAddr(), request, &response)
	}
	answered, closed := make(chan error, 1), make(chan error, 1)
	go func() { answered <- heartbeat() }()
	<-entered
	go func() { closed <- filtered.Close() }()
	<-filtered.done
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
		t.Errorf("after Close: %v, %d heartbeats were handled, want an error and 1", err, handled)
	}
}
