package quotastore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
)

// TestSoleReplicaRestarts: the only replica may have been started on an older copy of its directory; no grant grows
// until the leases have expired that it may have granted, and commands of the leader are accepted from no other
// agent.
func TestSoleReplicaRestarts(t *testing.T) {
	g := newGroup(t, 1)
	g.config = &quota.Config{Version: 1, Limits: []quota.Limit{{
		Name: "b", Kind: quota.Rate, Total: 10, Floors: map[quota.InstanceName]int64{"n": 3}, Division: quota.DivideEvenly, Step: 1,
		Lease: 60_000_000, ClockMargin: 3_000_000, Tenant: "t",
	}}}
	g.start("h1")
	defer g.stopAll()
	if v := g.view(20*time.Second, anyLeader); v.GrowthFrozen {
		t.Error("growth is frozen at the first start")
	}
	g.stop("h1")
	g.start("h1")
	if v := g.view(20*time.Second, anyLeader); !v.GrowthFrozen {
		t.Error("growth is not frozen after a restart")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	renew := quota.Command{Renew: &quota.RenewCommand{Host: "h", Requests: []backendquota.LeaseRequest{
		{Name: "n", Incarnation: "1", Number: 1, Usage: []backendquota.Usage{{Budget: "b"}}},
	}}}
	res, err := g.node("h1").Do(ctx, renew)
	if err != nil || len(res.Answers) != 1 || res.Answers[0].Grants[0].Floor != 0 || res.Answers[0].Grants[0].Extra != 0 {
		t.Errorf("granted while growth is frozen: %+v, %v", res, err)
	}
	other := *g.config
	other.Version = 99
	store := g.node("h1")
	mux := http.NewServeMux()
	store.RegisterHandlers(mux)
	body, err := json.Marshal(quota.Command{Config: &other, Rebalance: true})
	if err != nil {
		t.Fatal(err)
	}
	answer := httptest.NewRecorder()
	mux.ServeHTTP(answer, httptest.NewRequestWithContext(ctx, http.MethodPost, "/ledger/do", bytes.NewReader(body)))
	if answer.Code != http.StatusOK {
		t.Fatalf("status %d: %s", answer.Code, answer.Body)
	}
	if v, err := store.Status(ctx); err != nil || v.Version != 1 {
		t.Errorf("another agent set the configuration: version %d, %v", v.Version, err)
	}
}

// TestOlderFileChangesNoMembers: an agent with an older file does not undo what a newer one configured.
func TestOlderFileChangesNoMembers(t *testing.T) {
	g := newGroup(t, 3)
	newer := *g.config
	newer.Version = 5
	g.config = &newer
	for _, n := range g.names {
		g.start(n)
	}
	defer g.stopAll()
	g.view(20*time.Second, func(v quota.Status) bool { return v.Version == 5 })
	older := newer
	older.Version = 4
	for _, n := range g.names {
		g.node(n).SetConfig(&older, g.names[:1])
	}
	time.Sleep(time.Second)
	g.members = g.names
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	v, err := g.node("h1").Status(ctx)
	if slices.Sort(v.Members); err != nil || !slices.Equal(v.Members, g.names) {
		t.Errorf("members %v, %v", v.Members, err)
	}
}
