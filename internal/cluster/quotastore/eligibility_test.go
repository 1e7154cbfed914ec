package quotastore

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
)

// requiresEntry9 is the eligibility of a member whose log must reach entry 9 of term 3.
var requiresEntry9 = quorum.Eligibility{
	Behind:      true,
	RequiredLog: quorum.LogPosition{Term: 3, LogTerm: 3, Index: 9},
}

// TestIneligibleMemberTakesNoPartInElections checks that a member whose log may lack entries neither requests votes nor
// votes for a candidate whose log lacks them too.
func TestIneligibleMemberTakesNoPartInElections(t *testing.T) {
	ownIndex := uint64(5)
	inner := newTCPTransport(t)
	filtered := newEligibilityTransport(inner, requiresEntry9, func() (term, index uint64) { return 3, ownIndex })
	t.Cleanup(func() { _ = filtered.Close() })
	var vote raft.RequestVoteResponse
	err := filtered.RequestVote("x", inner.LocalAddr(), &raft.RequestVoteRequest{}, &vote)
	if !errors.Is(err, errIneligible) {
		t.Errorf("RequestVote of an ineligible member: error %v, want errIneligible", err)
	}
	var preVote raft.RequestPreVoteResponse
	err = filtered.RequestPreVote("x", inner.LocalAddr(), &raft.RequestPreVoteRequest{}, &preVote)
	if !errors.Is(err, errIneligible) {
		t.Errorf("RequestPreVote of an ineligible member: error %v, want errIneligible", err)
	}
	request := &raft.RequestVoteRequest{LastLogTerm: 3, LastLogIndex: 8}
	err = newTCPTransport(t).RequestVote("x", inner.LocalAddr(), request, &vote)
	if err == nil || !strings.Contains(err.Error(), errIneligible.Error()) {
		t.Errorf("vote request of a candidate that lacks an entry: error %v, want errIneligible", err)
	}
	ownIndex = 9
	if !filtered.caughtUp() {
		t.Error("a member whose log has the required entry does not count as caught up")
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

// TestCloseWaitsForHeartbeats checks that no heartbeat is handled when Close returns or after it. The log is closed
// next, and a heartbeat handler that can't store a term in it makes the library panic.
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
	responded, closed := make(chan error, 1), make(chan error, 1)
	go func() { responded <- heartbeat() }()
	<-entered
	go func() { closed <- filtered.Close() }()
	<-filtered.done
	select {
	case err := <-closed:
		close(release)
		t.Fatalf("Close returned while a heartbeat was being handled: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if err := <-responded; err != nil {
		t.Error(err)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if err := heartbeat(); err == nil || handled != 1 {
		t.Errorf("heartbeat after Close: error %v, %d heartbeats handled, want an error and 1", err, handled)
	}
}
