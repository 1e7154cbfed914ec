package quota

import (
	"fmt"
	"testing"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

const (
	testLease  = monotime.Micros(1_000_000)
	testMargin = monotime.Micros(50_000)
)

// requester sends the lease requests of one process, numbered and with the epoch that it last got.
type requester struct {
	backend, incarnation, host string
	number, epoch              uint64
}

func (r *requester) renew(s *State, freeze bool) quota.LeaseResponse {
	r.number++
	return s.Apply(Command{FreezeGrowth: freeze, Renew: &RenewCommand{Host: r.host, Requests: []quota.LeaseRequest{{
		Name: r.backend, Incarnation: r.incarnation, Number: r.number, Usage: []quota.Usage{{Budget: "b", Epoch: r.epoch}},
	}}}}).Answers[0]
}

func newTestState(t *testing.T, config Config) *State {
	t.Helper()
	s := NewState()
	if r := s.Apply(Command{Config: &config}); r.Rejection != "" {
		t.Fatal(r.Rejection)
	}
	return s
}

func (s *State) testAllocation(r *requester) *Allocation {
	return s.Clients[NewClientKey(InstanceName(r.backend), r.incarnation)].Allocations["b"]
}

// TestLeaseHonouredWithMargin: a lease is over after its time and the margin for clocks that run apart, no earlier, and a
// new leader counts every lease that it finds from its own election on.
func TestLeaseHonouredWithMargin(t *testing.T) {
	s := newTestState(t, rate(10, 1, 0, DivideEvenly))
	r := &requester{backend: "n0", incarnation: "a", host: "h"}
	r.renew(s, false)
	s.Apply(Command{Rebalance: true})
	r.renew(s, false)
	expiresAt := func(tracker *LeaseTracker, from monotime.Micros) {
		t.Helper()
		for _, at := range []monotime.Micros{from, from + testLease, from + testLease + testMargin - 1} {
			if over, _ := tracker.Tick(at, s); len(over) != 0 {
				t.Fatalf("%d us after it was first seen, lease and margin are %d us: expired %v", at-from, testLease+testMargin, over)
			}
		}
		if over, _ := tracker.Tick(from+testLease+testMargin, s); len(over) == 0 {
			t.Fatal("a lease whose time and margin are over goes on")
		}
	}
	tracker := &LeaseTracker{}
	tracker.BecomeLeader(5, s, false)
	expiresAt(tracker, 1000)
	tracker.BecomeLeader(3_000_000, s, false) // the same agent leads again: what it saw in its earlier term says nothing
	expiresAt(tracker, 3_000_000)
}

// TestSoleReplicaFreezesGrowth: the only replica may have been set back without being able to find out, and waits for a full lease.
func TestSoleReplicaFreezesGrowth(t *testing.T) {
	s := newTestState(t, rate(10, 1, 0, DivideEvenly))
	for _, sole := range []bool{true, false} {
		tracker := &LeaseTracker{}
		tracker.BecomeLeader(1000, s, sole)
		if tracker.GrowthFrozen(1000+testLease+testMargin-1) != sole || tracker.GrowthFrozen(1000+testLease+testMargin) {
			t.Errorf("sole replica %v: growth is not frozen for a lease and its margin", sole)
		}
	}
}

// TestFrozenGrowth: while growth is frozen, no floor and no extra grows.
func TestFrozenGrowth(t *testing.T) {
	s := newTestState(t, rate(10, 1, 2, DivideEvenly))
	r := &requester{backend: "n0", incarnation: "a", host: "h"}
	if p := r.renew(s, true).Grants[0]; p.Floor != 0 || p.Extra != 0 {
		t.Fatalf("granted while frozen: %+v", p)
	}
	s.Apply(Command{Rebalance: true})
	if p := r.renew(s, true).Grants[0]; p.Floor != 0 || p.Extra != 0 {
		t.Fatalf("granted while frozen: %+v", p)
	}
	if p := r.renew(s, false).Grants[0]; p.Floor != 2 || p.Extra != 8 {
		t.Fatalf("granted after it: %+v", p)
	}
}

// TestRaisedFloorWaits: a floor that was raised grows only as far as others have confirmed that they have less.
func TestRaisedFloorWaits(t *testing.T) {
	config := rate(10, 2, 0, DivideEvenly)
	s := newTestState(t, config)
	a, b := &requester{backend: "n0", incarnation: "a", host: "h"}, &requester{backend: "n1", incarnation: "b", host: "h"}
	a.renew(s, false)
	s.Apply(Command{Rebalance: true})
	if p := a.renew(s, false).Grants[0]; p.Extra != 10 {
		t.Fatalf("alone: %+v", p)
	}
	next := rate(10, 2, 0, DivideEvenly)
	next.Version, next.Limits[0].Floors["n1"] = 2, 6
	s.Apply(Command{Config: &next})
	if p := b.renew(s, false).Grants[0]; p.Floor != 0 {
		t.Fatalf("all 10 are in force elsewhere, and a floor of %d was granted", p.Floor)
	}
	if in := s.Usages()[0].InForce; in > 10 {
		t.Fatalf("%d of 10 are in force", in)
	}
}

// TestOldGrantsFold: a process that confirms nothing has its oldest grants folded into one that is no less than any.
func TestOldGrantsFold(t *testing.T) {
	s := newTestState(t, rate(10, 1, 0, DivideEvenly))
	r := &requester{backend: "n0", incarnation: "a", host: "h"}
	r.renew(s, false)
	s.Apply(Command{Rebalance: true})
	r.renew(s, false) // 10 units, for the longer lease
	next := rate(1, 1, 0, DivideEvenly)
	next.Version, next.Limits[0].Lease, next.Limits[0].ClockMargin = 2, testLease/2, testMargin/2
	s.Apply(Command{Config: &next})
	for range 3 * maxGrants {
		r.renew(s, false)
	}
	grants := s.testAllocation(r).Grants
	if len(grants) != maxGrants {
		t.Fatalf("%d grants are remembered", len(grants))
	}
	if g := grants[0]; g.Extra != 10 || g.Lease != testLease || g.ClockMargin != testMargin {
		t.Fatalf("folded into %+v: 10 units for %d us with a margin of %d us may be in force", g, testLease, testMargin)
	}
}

// TestConfirmedGrantStaysInForce: a process acts on the grant that it confirms until it has a newer one.
func TestConfirmedGrantStaysInForce(t *testing.T) {
	s := newTestState(t, rate(10, 2, 0, DivideEvenly))
	a, b := &requester{backend: "n0", incarnation: "a", host: "h"}, &requester{backend: "n1", incarnation: "b", host: "h"}
	a.renew(s, false)
	s.Apply(Command{Rebalance: true})
	a.epoch = a.renew(s, false).Grants[0].Epoch // 10 units
	b.renew(s, false)
	s.Apply(Command{Rebalance: true})
	if p := a.renew(s, false).Grants[0]; p.Extra != 5 { // granted, but the answer may be lost
		t.Fatalf("granted %+v, wanted half", p)
	}
	if in := s.testAllocation(a).maxExtra(); in != 10 {
		t.Fatalf("%d are counted, 10 are acted on", in)
	}
	if p := b.renew(s, false).Grants[0]; p.Extra != 0 {
		t.Fatalf("%d units granted twice", p.Extra)
	}
}

// TestExpiryKeepsLaterGrants: what is over up to an epoch says nothing of what was granted after it.
func TestExpiryKeepsLaterGrants(t *testing.T) {
	s := newTestState(t, rate(10, 1, 0, DivideEvenly))
	r := &requester{backend: "n0", incarnation: "a", host: "h"}
	r.renew(s, false)
	s.Apply(Command{Rebalance: true})
	older := r.renew(s, false).Grants[0].Epoch
	r.renew(s, false)
	s.Apply(Command{Expire: []Expiry{{Limit: "b", ClientKey: NewClientKey("n0", "a"), Epoch: older}}})
	if in := s.testAllocation(r).maxExtra(); in != 10 {
		t.Fatalf("%d of a later grant's 10 units are left", in)
	}
}

// TestExitFromItsOwnHost: only the host on which a process ran can say that it has ended.
func TestExitFromItsOwnHost(t *testing.T) {
	s := newTestState(t, rate(10, 1, 2, DivideEvenly))
	r := &requester{backend: "n0", incarnation: "a", host: "h"}
	r.renew(s, false)
	key := NewClientKey("n0", "a")
	if s.Apply(Command{Exited: &ExitCommand{Host: "elsewhere", ClientKeys: []ClientKey{key}}}); s.Clients[key] == nil {
		t.Fatal("another host ended a process")
	}
	if s.Apply(Command{Exited: &ExitCommand{Host: "h", ClientKeys: []ClientKey{key}}}); s.Clients[key] != nil {
		t.Fatal("a process that has ended is known still")
	}
}

// TestUnknownBackendGetsNothing: a backend that a limit does not name draws nothing from it.
func TestUnknownBackendGetsNothing(t *testing.T) {
	s := newTestState(t, rate(10, 1, 2, DivideEvenly))
	if parts := (&requester{backend: "stranger", incarnation: "a", host: "h"}).renew(s, false).Grants; len(parts) != 0 {
		t.Fatalf("granted %+v", parts)
	}
}

// TestClientsAreBounded: a state grows no further than its bound, whatever it is asked.
func TestClientsAreBounded(t *testing.T) {
	s := newTestState(t, rate(10, 1, 2, DivideEvenly))
	for i := range maxClients {
		s.Clients[ClientKey(fmt.Sprint(i))] = &Client{}
	}
	if a := (&requester{backend: "n0", incarnation: "a", host: "h"}).renew(s, false); a.Refusal == "" || len(s.Clients) != maxClients {
		t.Fatalf("answered %+v, %d clients", a, len(s.Clients))
	}
}

// TestPermits: reserved units are not given out, and only the host that acquired a permit releases it.
func TestPermits(t *testing.T) {
	s := newTestState(t, Config{Version: 1, Limits: []Limit{{Name: "c", Kind: Concurrency, Total: 3, Reserved: 1}}})
	command := func(name InstanceName, host string) *PermitCommand {
		return &PermitCommand{Limit: "c", Name: name, Host: host, AcquireID: "1"}
	}
	for i, name := range []InstanceName{"x", "y", "z"} {
		if r := s.Apply(Command{Acquire: command(name, "h")}); (r.Rejection == "") != (i < 2) {
			t.Fatalf("permit %d of 3 with one reserved: %q", i+1, r.Rejection)
		}
	}
	if s.Apply(Command{Release: command("x", "elsewhere")}); len(s.Permits["c"]) != 2 {
		t.Fatal("another host released a permit")
	}
	if s.Apply(Command{Release: command("x", "h")}); len(s.Permits["c"]) != 1 {
		t.Fatal("a permit was not released")
	}
}

// TestConfigVersions: an older version, other content under the same one, and an invalid limit change nothing.
func TestConfigVersions(t *testing.T) {
	config := rate(10, 1, 0, DivideEvenly)
	config.Version = 5
	s := newTestState(t, config)
	older, other, unusable := rate(20, 1, 0, DivideEvenly), rate(20, 1, 0, DivideEvenly), rate(20, 1, 0, DivideEvenly)
	older.Version, other.Version, unusable.Version = 4, 5, 6
	unusable.Limits[0].Lease = unusable.Limits[0].ClockMargin
	for _, c := range []Config{older, other, unusable} {
		if r := s.Apply(Command{Config: &c}); r.Rejection == "" || s.Config.Version != 5 || s.Config.Limits[0].Total != 10 {
			t.Errorf("version %d: %q, in force is %+v", c.Version, r.Rejection, s.Config)
		}
	}
	same := rate(10, 1, 0, DivideEvenly)
	same.Version = 5
	if r := s.Apply(Command{Config: &same}); r.Rejection != "" {
		t.Error(r.Rejection)
	}
}
