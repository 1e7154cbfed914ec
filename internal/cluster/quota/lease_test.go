package quota

import (
	"fmt"
	"testing"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// TestLeaseExpiresAfterItsTimeAndMargin checks that a lease expires neither earlier nor later than after its duration
// and margin, and that a leader that is elected again times it anew.
func TestLeaseExpiresAfterItsTimeAndMargin(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 0, DivideEvenly))
	client := newTestClients(1)[0]
	client.renew(state, false)
	state.Apply(Command{Rebalance: true})
	client.renew(state, false)
	wantExpiry := func(tracker *LeaseTracker, from monotime.Micros) {
		t.Helper()
		for _, at := range []monotime.Micros{from, from + testLease, from + testLease + testMargin - 1} {
			if expired, _ := tracker.Tick(at, state); len(expired) != 0 {
				t.Fatalf("%d us after the lease was first seen: expired %v, lease and margin are %d us",
					at-from, expired, testLease+testMargin)
			}
		}
		if expired, _ := tracker.Tick(from+testLease+testMargin, state); len(expired) == 0 {
			t.Fatal("the lease has not expired after its time and margin")
		}
	}
	tracker := &LeaseTracker{}
	tracker.BecomeLeader(5, state, false)
	wantExpiry(tracker, 1000)
	tracker.BecomeLeader(3*monotime.Second, state, false) // elected again: the time of its former term must not count
	wantExpiry(tracker, 3*monotime.Second)
}

// TestSoleReplicaFreezesGrowth checks that a sole replica, and no other, freezes growth at its election: it can't
// detect that its data directory is an older copy.
func TestSoleReplicaFreezesGrowth(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 0, DivideEvenly))
	for _, sole := range []bool{true, false} {
		t.Run(fmt.Sprint("sole replica ", sole), func(t *testing.T) {
			tracker := &LeaseTracker{}
			tracker.BecomeLeader(1000, state, sole)
			if tracker.GrowthFrozen(1000+testLease+testMargin-1) != sole {
				t.Errorf("growth is frozen before a lease and its margin have passed: %v, want %v", !sole, sole)
			}
			if tracker.GrowthFrozen(1000 + testLease + testMargin) {
				t.Error("growth is frozen after a lease and its margin have passed")
			}
		})
	}
}

func TestGrantsDoNotGrowWhileGrowthIsFrozen(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 2, DivideEvenly))
	client := newTestClients(1)[0]
	if grant := client.granted(t, state, true); grant.Floor != 0 || grant.Extra != 0 {
		t.Fatalf("granted while frozen: %+v", grant)
	}
	state.Apply(Command{Rebalance: true})
	if grant := client.granted(t, state, true); grant.Floor != 0 || grant.Extra != 0 {
		t.Fatalf("granted while frozen, after a rebalance: %+v", grant)
	}
	if grant := client.granted(t, state, false); grant.Floor != 2 || grant.Extra != 8 {
		t.Fatalf("granted afterwards: %+v, want floor 2 and extra 8", grant)
	}
}

// TestRaisedFloorWaitsForOthers checks that a raised floor takes effect only as far as other clients have confirmed
// lower grants.
func TestRaisedFloorWaitsForOthers(t *testing.T) {
	state := newTestState(t, rateConfig(10, 2, 0, DivideEvenly))
	clients := newTestClients(2)
	clients[0].renew(state, false)
	state.Apply(Command{Rebalance: true})
	if grant := clients[0].granted(t, state, false); grant.Extra != 10 {
		t.Fatalf("the only client: %+v, want extra 10", grant)
	}
	raised := rateConfig(10, 2, 0, DivideEvenly)
	raised.Version = 2
	raised.Limits[0].Floors["n1"] = 6
	state.Apply(Command{Config: &raised})
	if grant := clients[1].granted(t, state, false); grant.Floor != 0 {
		t.Fatalf("a floor of %d was granted while another client has all 10 units", grant.Floor)
	}
	if inForce := state.Usages()[0].InForce; inForce > 10 {
		t.Fatalf("%d units of 10 are in force", inForce)
	}
}

// TestMergedGrantCoversAllThatMayBeInForce checks that the oldest grant of a client that never confirms one keeps the
// highest values of the grants merged into it.
func TestMergedGrantCoversAllThatMayBeInForce(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 0, DivideEvenly))
	client := newTestClients(1)[0]
	client.renew(state, false)
	state.Apply(Command{Rebalance: true})
	client.renew(state, false) // 10 units, for the longer lease
	lower := rateConfig(1, 1, 0, DivideEvenly)
	lower.Version = 2
	lower.Limits[0].Lease = testLease / 2
	lower.Limits[0].ClockMargin = testMargin / 2
	state.Apply(Command{Config: &lower})
	for range 3 * maxGrants {
		client.renew(state, false)
	}
	grants := client.allocation(state).Grants
	if len(grants) != maxGrants {
		t.Fatalf("%d grants are kept, want %d", len(grants), maxGrants)
	}
	if grant := grants[0]; grant.Extra != 10 || grant.Lease != testLease || grant.ClockMargin != testMargin {
		t.Fatalf("merged into %+v: 10 units for %d us with a margin of %d us may be in force",
			grant, testLease, testMargin)
	}
}

// TestConfirmedGrantStaysInForce checks that a confirmed grant counts until the client confirms a newer one.
func TestConfirmedGrantStaysInForce(t *testing.T) {
	state := newTestState(t, rateConfig(10, 2, 0, DivideEvenly))
	clients := newTestClients(2)
	clients[0].renew(state, false)
	state.Apply(Command{Rebalance: true})
	clients[0].epoch = clients[0].granted(t, state, false).Epoch // 10 units
	clients[1].renew(state, false)
	state.Apply(Command{Rebalance: true})
	if grant := clients[0].granted(t, state, false); grant.Extra != 5 { // its response may be lost
		t.Fatalf("granted %+v, want extra 5", grant)
	}
	if inForce := clients[0].allocation(state).maxExtra(); inForce != 10 {
		t.Fatalf("%d units count as in force, the client acts on 10", inForce)
	}
	if grant := clients[1].granted(t, state, false); grant.Extra != 0 {
		t.Fatalf("%d units were granted that the other client may still draw", grant.Extra)
	}
}

func TestExpiryKeepsLaterGrants(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 0, DivideEvenly))
	client := newTestClients(1)[0]
	client.renew(state, false)
	state.Apply(Command{Rebalance: true})
	older := client.granted(t, state, false).Epoch
	client.renew(state, false)
	state.Apply(Command{Expire: []Expiry{{Limit: testRate, ClientKey: client.key(), Epoch: older}}})
	if extra := client.allocation(state).maxExtra(); extra != 10 {
		t.Fatalf("%d units of the later grant are left, want 10", extra)
	}
}

func TestOnlyTheOwnHostReportsAnExit(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 2, DivideEvenly))
	client := newTestClients(1)[0]
	client.renew(state, false)
	exited := []ClientKey{client.key()}
	state.Apply(Command{Exited: &ExitCommand{Host: "elsewhere", ClientKeys: exited}})
	if state.Clients[client.key()] == nil {
		t.Fatal("another host's report removed the client")
	}
	state.Apply(Command{Exited: &ExitCommand{Host: "h", ClientKeys: exited}})
	if state.Clients[client.key()] != nil {
		t.Fatal("its own host's report did not remove the client")
	}
}

func TestBackendWithoutAFloorEntryIsGrantedNothing(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 2, DivideEvenly))
	unlisted := &testClient{backend: "unlisted", incarnation: "a", host: "h"}
	if grants := unlisted.renew(state, false).Grants; len(grants) != 0 {
		t.Fatalf("granted %+v", grants)
	}
}

func TestClientsAreBounded(t *testing.T) {
	state := newTestState(t, rateConfig(10, 1, 2, DivideEvenly))
	for i := range maxClients {
		state.Clients[ClientKey(fmt.Sprint(i))] = &Client{}
	}
	if response := newTestClients(1)[0].renew(state, false); response.Refusal == "" {
		t.Errorf("answered %+v, want a refusal", response)
	}
	if len(state.Clients) != maxClients {
		t.Errorf("%d clients, want %d", len(state.Clients), maxClients)
	}
}

func TestDuplicateCommandsChangeNothing(t *testing.T) {
	config := rateConfig(10, 2, 1, DivideEvenly)
	config.Limits = append(config.Limits, Limit{Name: testPermits, Kind: Concurrency, Total: 1})
	permit := func(name InstanceName, id string) *PermitCommand {
		return &PermitCommand{Limit: testPermits, Name: name, Host: "h", AcquireID: id}
	}
	t.Run("permits", func(t *testing.T) {
		state := newTestState(t, config)
		acquire := Command{Acquire: permit("n0", "w1")}
		if result := state.Apply(acquire); result.Rejection != "" {
			t.Fatal(result.Rejection)
		}
		if result := state.Apply(Command{Acquire: permit("n1", "w1")}); result.Rejection == "" {
			t.Fatal("two instances hold the only permit")
		}
		state.Apply(Command{Release: permit("n0", "w1")})
		if result := state.Apply(acquire); result.Rejection == "" {
			t.Fatal("a duplicate of a released acquisition was granted a permit")
		}
		state.Apply(Command{Acquire: permit("n0", "w2")})
		state.Apply(Command{Release: permit("n0", "w1")})
		if n := len(state.Permits[testPermits]); n != 1 {
			t.Fatalf("%d permits are held after a late release of an earlier acquisition, want 1", n)
		}
	})
	t.Run("lease requests", func(t *testing.T) {
		state := newTestState(t, config)
		usage := []backendquota.Usage{{Budget: string(testRate)}}
		request := backendquota.LeaseRequest{Name: "n0", Incarnation: "a", Number: 2, Clock: 5, Usage: usage}
		renewOne(state, "h", request)
		if response := renewOne(state, "h", request); response.Refusal == "" || response.Grants != nil {
			t.Fatalf("the same request was granted twice: %+v", response)
		}
		other := backendquota.LeaseRequest{Name: "n0", Incarnation: "b", Number: 1, Usage: usage}
		if response := renewOne(state, "h2", other); response.Refusal == "" {
			t.Fatalf("two processes have the floor of one backend: %+v", response)
		}
		state.Apply(Command{Acquire: permit("n0", "w1")})
		state.Apply(Command{WriteOff: &WriteOffCommand{Name: "n0", By: "test"}})
		if n := len(state.Permits[testPermits]); n != 0 {
			t.Fatalf("%d permits are held after their holder was written off, want 0", n)
		}
		if response := renewOne(state, "h2", other); response.Refusal != "" {
			t.Fatalf("refused after the former process was written off: %s", response.Refusal)
		}
	})
}

// TestRegressedStateFreezesGrowth checks that growth is frozen after a client has reported a later epoch than the
// state's latest: the state has lost grants, as after a restart from an older copy of the data directory.
func TestRegressedStateFreezesGrowth(t *testing.T) {
	state := newTestState(t, rateConfig(10, 2, 0, DivideEvenly))
	tracker := &LeaseTracker{}
	tracker.BecomeLeader(1, state, false)
	tracker.Tick(2, state)
	response := renewOne(state, "h", backendquota.LeaseRequest{
		Name:        "n0",
		Incarnation: "a",
		Number:      9,
		Usage:       []backendquota.Usage{{Budget: string(testRate), Epoch: 900}},
	})
	if response.Refusal == "" || state.Serial <= 900 {
		t.Fatalf("answered %+v, serial %d", response, state.Serial)
	}
	tracker.Tick(3, state)
	for _, test := range []struct {
		at   monotime.Micros
		want bool
	}{{4, true}, {testLease, true}, {testLease + testMargin + 4, false}} {
		if frozen := tracker.GrowthFrozen(test.at); frozen != test.want {
			t.Errorf("growth is frozen at %d: %v, want %v", test.at, frozen, test.want)
		}
	}
}
