package quotastore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// mustAcquire acquires a permit through a store. It retries until the group has a leader.
func mustAcquire(t *testing.T, store *Store, name quota.InstanceName) {
	t.Helper()
	command := quota.Command{Acquire: &quota.PermitCommand{Limit: "out", Name: name, Host: "h", AcquireID: "1"}}
	waitFor(t, waitTimeout, "the permit is acquired", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		result, err := store.Do(ctx, command)
		if err == nil && result.Rejection != "" {
			t.Fatal(result.Rejection)
		}
		return err == nil
	})
}

// TestMemberOnOlderCopyDoesNotDiscardPermit checks that a member that starts on an older copy of its directory does not
// elect a leader without the committed entries that the copy lacks: together with a member that never had them it is a
// majority.
func TestMemberOnOlderCopyDoesNotDiscardPermit(t *testing.T) {
	g := newGroup(t, 3)
	g.startAll()
	g.stop("h3")
	copied := filepath.Join(g.dir, "copy")
	if err := os.CopyFS(copied, os.DirFS(filepath.Join(g.dir, "h3"))); err != nil {
		t.Fatal(err)
	}
	// h3 is restarted and h2 stopped, so that h1 and h3 commit the permit.
	g.start("h3")
	waitFor(t, 15*time.Second, "h3 has caught up", func() bool {
		stage := g.node("h3").Stage()
		return (stage == "Follower" || stage == "Leader") && g.node("h3").serial() == g.node("h1").serial()
	})
	g.stop("h2")
	g.waitForStatus(15*time.Second, "a leader without h2", hasLeader)
	mustAcquire(t, g.node("h1"), "n1")
	g.stop("h3")
	if err := os.RemoveAll(filepath.Join(g.dir, "h3")); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(filepath.Join(g.dir, "h3"), os.DirFS(copied)); err != nil {
		t.Fatal(err)
	}
	g.stop("h1")
	// h2 never had the permit and h3 has lost it. They are a majority, but must not elect a leader without h1.
	g.start("h2")
	g.start("h3")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, name := range []string{"h2", "h3"} {
			current := g.node(name).leadership()
			if !current.leads() {
				continue
			}
			status, err := g.node(name).statusAsLeader(current)
			if err == nil && len(status.Limits) > 0 && status.Limits[0].InForce == 0 {
				t.Fatalf("%s leads although its state lacks a committed permit", name)
			}
		}
	}
	g.start("h1")
	if status := g.waitForStatus(20*time.Second, "a leader with h1", hasLeader); status.Limits[0].InForce != 1 {
		t.Fatalf("the permit is lost: %+v", status)
	}
}

// TestMembersChangeWhileOneIsIsolated checks that a group grows from three members to five while a follower is isolated
// for some time, and then changes to three other members.
func TestMembersChangeWhileOneIsIsolated(t *testing.T) {
	const isolation = 3 * time.Second
	g := newGroup(t, 5)
	g.members = g.names[:3]
	g.startAll()
	first := g.waitForStatus(20*time.Second, "three members", func(status quota.Status) bool {
		return hasLeader(status) && len(status.Members) == 3
	})
	setMembers := func(version uint64, members ...string) {
		g.config = permitConfig(version)
		g.members = members
		for _, name := range g.names {
			node := g.node(name)
			node.SetConfig(g.config, members)
			if slices.Contains(members, name) && node.log == nil { // an agent becomes a member only by a restart
				g.stop(name)
				g.start(name)
			}
		}
	}
	follower := g.names[slices.IndexFunc(g.names[:3], func(name string) bool { return name != first.Leader })]
	g.Isolate(follower, true, true, true)
	setMembers(2, g.names...)
	time.Sleep(isolation)
	g.Isolate(follower, true, true, false)
	g.waitForStatus(30*time.Second, "five members", func(status quota.Status) bool {
		return status.Version == 2 && len(status.Members) == 5
	})
	setMembers(3, "h3", "h4", "h5")
	last := g.waitForStatus(30*time.Second, "three other members", func(status quota.Status) bool {
		return status.Version == 3 && len(status.Members) == 3
	})
	if members := slices.Sorted(slices.Values(last.Members)); !slices.Equal(members, []string{"h3", "h4", "h5"}) {
		t.Fatalf("members %v", members)
	}
}

// TestOlderFleetFileDoesNotChangeMembers checks that agents with an older fleet file do not revert the members of a
// newer one.
func TestOlderFleetFileDoesNotChangeMembers(t *testing.T) {
	g := newGroup(t, 3)
	g.config = permitConfig(5)
	g.startAll()
	g.waitForStatus(20*time.Second, "version 5", func(status quota.Status) bool { return status.Version == 5 })
	for _, name := range g.names {
		g.node(name).SetConfig(permitConfig(4), g.names[:1])
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(pollInterval) {
		status := g.waitForStatus(5*time.Second, "a leader", hasLeader)
		if members := slices.Sorted(slices.Values(status.Members)); !slices.Equal(members, g.names) {
			t.Fatalf("members %v, want %v", members, g.names)
		}
	}
}

// TestRestartedSoleReplicaFreezesGrowth checks that a sole replica grants nothing after a restart, because its
// directory may be an older copy.
func TestRestartedSoleReplicaFreezesGrowth(t *testing.T) {
	g := newGroup(t, 1)
	g.config = rateConfig(60 * monotime.Second)
	if status := g.startAll(); status.GrowthFrozen {
		t.Error("growth is frozen after the first start")
	}
	g.stop("h1")
	g.start("h1")
	if status := g.waitForStatus(20*time.Second, "a leader", hasLeader); !status.GrowthFrozen {
		t.Error("growth is not frozen after a restart")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := g.node("h1").Do(ctx, renewal(1))
	if err != nil || len(result.Answers) != 1 || len(result.Answers[0].Grants) != 1 {
		t.Fatalf("%+v, %v, want one grant", result, err)
	}
	if grant := result.Answers[0].Grants[0]; grant.Floor != 0 || grant.Extra != 0 {
		t.Errorf("grant %+v while growth is frozen, want none", grant)
	}
}

// TestForwardedCommandCannotSetConfiguration checks that a leader ignores the fields of a forwarded command that only
// the leader itself may set.
func TestForwardedCommandCannotSetConfiguration(t *testing.T) {
	g := newGroup(t, 1)
	g.startAll()
	body, err := json.Marshal(quota.Command{Config: permitConfig(99), Rebalance: true})
	if err != nil {
		t.Fatal(err)
	}
	store := g.node("h1")
	mux := http.NewServeMux()
	store.RegisterHandlers(mux)
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, pathDo, bytes.NewReader(body))
	mux.ServeHTTP(recorder, request)
	if recorder.Code != http.StatusOK {
		t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if status, err := store.Status(ctx); err != nil || status.Version != 1 {
		t.Errorf("version %d, %v, want 1", status.Version, err)
	}
}
