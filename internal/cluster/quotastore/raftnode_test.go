package quotastore

import (
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/transport"
)

// TestFailedStartLeavesNoGoroutine checks that if the Raft library fails to start, the goroutine that filters its RPCs
// ends, even while a vote request to this ineligible member is pending.
func TestFailedStartLeavesNoGoroutine(t *testing.T) {
	const filter, listen = "quotastore.(*eligibilityTransport).filter", "raft.(*NetworkTransport).listen"
	waitForNoGoroutineIn(t, filter)
	waitForNoGoroutineIn(t, listen)
	s := openTestStore(t, "h1", nil, "h1", "h2", "h3")
	peer := openTestStore(t, "h2", map[string]string{"h1": s.config.Transport.Address()})
	conn, err := peer.config.Transport.Dial(t.Context(), transport.KindRaft, "h1")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte{1, 0x80}); err != nil { // a vote request: an empty msgpack map
		t.Fatal(err)
	}
	err = s.log.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(logBucket).Put(encodeUint64(5), []byte("no entry"))
	})
	if err != nil {
		t.Fatal(err)
	}
	required := quorum.Eligibility{Behind: true, RequiredLog: quorum.LogPosition{Term: 3, LogTerm: 3, Index: 9}}
	if node, err := s.startRaft(required); err == nil {
		_ = node.Shutdown().Error()
		t.Fatal("startRaft succeeded with an unreadable log")
	}
	waitForNoGoroutineIn(t, filter)
	waitForNoGoroutineIn(t, listen)
	if s.replica != nil {
		t.Error("the store has a replica after a failed start")
	}
}

// TestMemberGrantsNoVoteInAdoptedTerm checks that a member on an older copy of its directory adopts the group's term
// and grants no vote in it, as it may have voted already.
func TestMemberGrantsNoVoteInAdoptedTerm(t *testing.T) {
	s := openTestStore(t, "h1", nil, "h1", "h2", "h3")
	candidate := openTestStore(t, "h2", map[string]string{"h1": s.config.Transport.Address()})
	group := raft.EncodeConfiguration(s.initialGroup())
	err := s.log.StoreLog(&raft.Log{Index: 1, Term: 1, Type: raft.LogConfiguration, Data: group})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.log.SetUint64(currentTermKey, 1); err != nil {
		t.Fatal(err)
	}
	node, err := s.startRaft(quorum.Eligibility{AdoptTerm: 7})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = node.Shutdown().Error() }()
	if term := node.CurrentTerm(); term != 7 {
		t.Errorf("term %d, want 7", term)
	}
	caller := candidate.raftTransport(hclog.NewNullLogger())
	defer caller.Close()
	vote := func(term uint64) bool {
		t.Helper()
		var response raft.RequestVoteResponse
		request := &raft.RequestVoteRequest{
			RPCHeader: raft.RPCHeader{
				ProtocolVersion: raft.ProtocolVersionMax,
				ID:              []byte("h2"),
				Addr:            []byte("h2"),
			},
			Term:               term,
			LastLogTerm:        6,
			LastLogIndex:       20,
			LeadershipTransfer: true,
		}
		if err := caller.RequestVote("h1", "h1", request, &response); err != nil {
			t.Fatal(err)
		}
		return response.Granted
	}
	if vote(7) {
		t.Error("the member grants a vote in the adopted term")
	}
	if !vote(8) {
		t.Error("the member grants no vote in the next term")
	}
}
