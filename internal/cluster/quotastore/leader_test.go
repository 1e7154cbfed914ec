package quotastore

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// TestNewLeaderAppliesEarlierEntriesFirst checks that a new leader does not respond as the leader before it has applied
// the entries of earlier leaders, and that it measures the duration of their leases from that time.
func TestNewLeaderAppliesEarlierEntriesFirst(t *testing.T) {
	loop, fake, now := newFakeLeader()
	fake.onBarrier = func() error { return errors.New("no quorum") }
	for range 3 {
		loop.tick()
		if loop.store.leadership().leads() {
			t.Fatal("leads although entries of earlier leaders may be missing")
		}
	}
	if len(fake.applied) > 0 {
		t.Fatalf("proposed before it is ready to lead: %+v", fake.applied)
	}
	config := rateConfig(monotime.Second)
	fake.onBarrier = func() error { // applies the entries of the earlier leader
		if loop.store.leadership().leads() {
			t.Error("leads before the entries of earlier leaders are applied")
		}
		loop.store.state.Apply(quota.Command{Config: config})
		loop.store.state.Apply(renewal(1))
		return nil
	}
	loop.tick()
	if !loop.store.leadership().leads() {
		t.Fatal("does not lead after the entries are applied")
	}
	if loop.store.state.Usages()[0].InForce == 0 {
		t.Fatal("the lease of this test is not in force")
	}
	*now += config.Limits[0].Lease + config.Limits[0].ClockMargin - 1
	loop.tick()
	if fake.expired() {
		t.Error("a lease of the earlier leader expired before its duration and margin had elapsed")
	}
	*now++
	loop.tick()
	if !fake.expired() {
		t.Error("a lease of the earlier leader did not expire after its duration and margin")
	}
}

// TestLeaderRepeatsBarrierInEachTerm checks that a replica that leads two terms applies the entries of the leaders in
// between before it leads again.
func TestLeaderRepeatsBarrierInEachTerm(t *testing.T) {
	loop, fake, _ := newFakeLeader()
	barriers := 0
	fake.onBarrier = func() error {
		barriers++
		if barriers == 1 {
			fake.setState(raft.Leader, 3) // deposed and reelected during beginTerm
		}
		return nil
	}
	loop.tick()
	if loop.store.leadership().leads() {
		t.Fatal("leads term 3 after the barrier of term 1 only")
	}
	loop.tick()
	if leads := loop.store.leadership().leads(); !leads || barriers != 2 {
		t.Errorf("leads: %v after %d barriers, want true after 2", leads, barriers)
	}
	fake.setState(raft.Leader, 4) // deposed and reelected between two ticks
	loop.tick()
	if barriers != 3 {
		t.Errorf("%d barriers in 3 terms, want 3", barriers)
	}
}

func TestReelectedFollowerLeadsOnlyAfterBarrier(t *testing.T) {
	loop, fake, _ := newFakeLeader()
	loop.tick()
	if !loop.store.leadership().leads() {
		t.Fatal("does not lead")
	}
	fake.setState(raft.Follower, 2)
	if current := loop.store.leadership(); current.leads() || current.leader != "h2" {
		t.Errorf("as a follower: %+v, want leader h2", current)
	}
	loop.tick()
	fake.setState(raft.Leader, 3)
	if loop.store.leadership().leads() {
		t.Error("leads term 3 before its barrier")
	}
}

func TestRejectedConfigIsProposedOnce(t *testing.T) {
	loop, fake, _ := newFakeLeader()
	invalid := rateConfig(monotime.Second)
	invalid.Limits[0].Step = 0
	loop.store.SetConfig(invalid, loop.store.members())
	for range 5 {
		loop.tick()
	}
	if len(fake.applied) != 1 || fake.applied[0].Config == nil {
		t.Errorf("proposed %+v, want the configuration once", fake.applied)
	}
	loop.store.SetConfig(rateConfig(monotime.Second), loop.store.members()) // corrected
	loop.tick()
	if version := loop.store.state.Config.Version; version != 1 {
		t.Errorf("version %d is in force, want 1", version)
	}
	applied := len(fake.applied)
	loop.tick()
	if len(fake.applied) != applied {
		t.Errorf("proposed %+v although nothing is due", fake.applied[applied:])
	}
}

func TestOlderFleetFileProposesNoMemberChange(t *testing.T) {
	loop, fake, _ := newFakeLeader()
	loop.store.SetConfig(permitConfig(5), []string{"h1", "h2", "h3"})
	loop.tick()
	if version := loop.store.state.Config.Version; version != 5 {
		t.Fatalf("version %d is in force, want 5", version)
	}
	loop.store.SetConfig(permitConfig(4), []string{"h1"})
	loop.tick()
	if len(fake.changes) > 0 {
		t.Errorf("changes with an older fleet file: %v, want none", fake.changes)
	}
	loop.store.SetConfig(permitConfig(6), []string{"h1"})
	loop.tick()
	if want := []string{"remove h2"}; !slices.Equal(fake.changes, want) {
		t.Errorf("changes with a newer fleet file: %v, want %v", fake.changes, want)
	}
}

// TestUnreadyLeaderRedirectsCalls checks that a leader that is not ready does not handle calls, and responds with the
// leader that it knows of.
func TestUnreadyLeaderRedirectsCalls(t *testing.T) {
	loop, fake, _ := newFakeLeader()
	mux := http.NewServeMux()
	loop.store.RegisterHandlers(mux)
	for _, path := range []string{pathDo, pathStatus} {
		recorder := httptest.NewRecorder()
		body := strings.NewReader("{}")
		mux.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, body))
		text := strings.TrimSpace(recorder.Body.String())
		if recorder.Code != http.StatusMisdirectedRequest || text != `{"leader":"h2"}` {
			t.Errorf("%s: status %d, %s", path, recorder.Code, text)
		}
	}
	if len(fake.applied) > 0 {
		t.Errorf("proposed %+v, want nothing", fake.applied)
	}
}

// TestDeposedLeaderReportsNoStatus checks that a replica verifies its leadership before it reports a status: it may not
// have noticed yet that it was deposed.
func TestDeposedLeaderReportsNoStatus(t *testing.T) {
	loop, fake, _ := newFakeLeader()
	loop.tick()
	status, err := loop.store.Status(t.Context())
	if err != nil || status.Leader != "h1" || !slices.Equal(status.Members, []string{"h1", "h2", "h3"}) {
		t.Fatalf("%+v, %v, want leader h1 of three members", status, err)
	}
	fake.verifyErr = raft.ErrLeadershipLost
	status, err = loop.store.Status(t.Context())
	if !errors.Is(err, ErrNoLeader) || !errors.Is(err, raft.ErrLeadershipLost) {
		t.Errorf("status of a deposed leader: %+v, error %v, want ErrNoLeader and ErrLeadershipLost", status, err)
	}
}
