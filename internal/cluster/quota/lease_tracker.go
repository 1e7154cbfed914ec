package quota

import (
	"cmp"
	"slices"

	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

const (
	// rebalancesPerLease is the number of rebalances within the shortest lease.
	rebalancesPerLease = 4
	// trackedGrantSlack is the number of grants beyond twice the possible ones that may be tracked before obsolete ones
	// are removed.
	trackedGrantSlack = 64
	// earlyExpiryDivisor shortens leases under the fail point EarlyExpiry.
	earlyExpiryDivisor = 2
)

// LeaseTracker times leases by the leader's clock. It decides when a lease has expired and when to rebalance. It is
// local to the leader and not replicated: a new leader times every existing grant in full again, from its own election.
// It is not safe for concurrent use.
//
// Invariants:
//   - A lease does not expire before its duration and margin have passed since the first Tick after its grant
//     (TestLeaseExpiresAfterItsTimeAndMargin).
//   - No grant grows while one that the state has lost may be in force (TestSoleReplicaFreezesGrowth,
//     TestRegressedStateFreezesGrowth).
//   - Each leader times a pause in full, whatever a former leader has timed (TestEachLeaderTimesPausesInFull).
type LeaseTracker struct {
	firstSeen     map[grantRef]monotime.Micros // when this leader first saw a grant
	lastRebalance monotime.Micros              // 0: none since the election
	frozenUntil   monotime.Micros              // no grant may grow before; 0: not frozen since the election
	regressions   uint64                       // State.Regressions as last seen
	pauses        map[LimitName]runningPause   // of cold starts
	scanned       bool                         // grants from before the election have been seen
}

// grantRef identifies a grant.
type grantRef struct {
	limit     LimitName
	clientKey ClientKey
	epoch     uint64
}

// BecomeLeader resets the tracker at an election. A sole replica can't detect that it runs on an older copy of its data
// directory, as there is no other replica to compare with. It freezes growth until every lease that it may have granted
// and lost has expired.
func (t *LeaseTracker) BecomeLeader(now monotime.Micros, state *State, soleReplica bool) {
	*t = LeaseTracker{firstSeen: map[grantRef]monotime.Micros{}, regressions: state.Regressions}
	if soleReplica {
		t.frozenUntil = now + longestLease(state)
	}
}

// longestLease returns the longest time for which a grant of the present configuration may be in force.
func longestLease(state *State) monotime.Micros {
	longest := monotime.Micros(0)
	for i := range state.Config.Limits {
		limit := &state.Config.Limits[i]
		longest = max(longest, limit.Lease+limit.ClockMargin)
	}
	return longest
}

// GrowthFrozen reports whether no grant may grow now, because grants that the state has lost may be in force.
func (t *LeaseTracker) GrowthFrozen(now monotime.Micros) bool { return now < t.frozenUntil }

// Tick returns the leases that have expired and whether to rebalance. It must be called after each command and at
// regular intervals: a lease is timed from the first Tick after its grant. The holder times it from before its request,
// so that it stops drawing before the lease expires here, even if the response arrives late.
func (t *LeaseTracker) Tick(now monotime.Micros, state *State) (expired []Expiry, rebalance bool) {
	if state.Regressions != t.regressions {
		t.regressions = state.Regressions
		t.frozenUntil = now + longestLease(state)
	}
	expired = t.expiries(now, state)
	t.scanned = true
	interval := rebalanceInterval(state)
	if interval > 0 && (now-t.lastRebalance >= interval || len(expired) > 0) {
		t.lastRebalance = now
		rebalance = true
	}
	t.sweep(state)
	return expired, rebalance
}

// expiries returns the grants that have expired, ordered by client, limit and epoch.
func (t *LeaseTracker) expiries(now monotime.Micros, state *State) []Expiry {
	var expired []Expiry
	for key, client := range state.Clients {
		for limit, allocation := range client.Allocations {
			for i, grant := range allocation.Grants {
				newest := i == len(allocation.Grants)-1
				if grant.Extra == 0 && (allocation.Idle || !newest) {
					continue // its expiry would have no effect
				}
				if t.expired(now, grantRef{limit, key, grant.Epoch}, grant) {
					expired = append(expired, Expiry{Limit: limit, ClientKey: key, Epoch: grant.Epoch})
				}
			}
		}
	}
	slices.SortFunc(expired, func(a, b Expiry) int {
		return cmp.Or(
			cmp.Compare(a.ClientKey, b.ClientKey),
			cmp.Compare(a.Limit, b.Limit),
			cmp.Compare(a.Epoch, b.Epoch),
		)
	})
	return expired
}

// expired reports whether a grant has expired. It begins to time a grant that it has not seen before.
func (t *LeaseTracker) expired(now monotime.Micros, ref grantRef, grant Grant) bool {
	seen, known := t.firstSeen[ref]
	if !known {
		seen = now
		t.firstSeen[ref] = seen
	}
	return now-seen >= validFor(grant) || failpoint.Enabled(failpoint.ForgetGrants) && !t.scanned
}

// rebalanceInterval returns the time between two rebalances; 0 if no rate is configured.
func rebalanceInterval(state *State) monotime.Micros {
	interval := monotime.Micros(0)
	for i := range state.Config.Limits {
		limit := &state.Config.Limits[i]
		if limit.Kind == Rate && (interval == 0 || limit.Lease/rebalancesPerLease < interval) {
			interval = limit.Lease / rebalancesPerLease
		}
	}
	return interval
}

// validFor returns the time for which a grant counts as in force: its lease and the margin for clock drift.
func validFor(grant Grant) monotime.Micros {
	switch {
	case failpoint.Enabled(failpoint.NoClockMargin):
		return grant.Lease
	case failpoint.Enabled(failpoint.EarlyExpiry):
		return grant.Lease / earlyExpiryDivisor
	}
	return grant.Lease + grant.ClockMargin
}

// sweep stops tracking grants that the state no longer has, once there are many of them.
func (t *LeaseTracker) sweep(state *State) {
	maxCurrent := 0
	for _, client := range state.Clients {
		maxCurrent += len(client.Allocations) * maxGrants
	}
	if len(t.firstSeen) <= 2*maxCurrent+trackedGrantSlack {
		return
	}
	current := map[grantRef]monotime.Micros{}
	for key, client := range state.Clients {
		for limit, allocation := range client.Allocations {
			for _, grant := range allocation.Grants {
				ref := grantRef{limit, key, grant.Epoch}
				if seen, known := t.firstSeen[ref]; known {
					current[ref] = seen
				}
			}
		}
	}
	t.firstSeen = current
}

// FillRemaining sets HolderUsage.Remaining of all holders.
func (t *LeaseTracker) FillRemaining(now monotime.Micros, state *State, usages []Usage) {
	for i := range usages {
		for j := range usages[i].Holders {
			holder := &usages[i].Holders[j]
			holder.Remaining = max(holder.Remaining, t.remaining(now, state, usages[i].Limit, holder))
		}
	}
}

// remaining returns the time until the last extra of a holder expires; 0 if it has none.
func (t *LeaseTracker) remaining(
	now monotime.Micros, state *State, limit LimitName, holder *HolderUsage,
) monotime.Micros {
	key := NewClientKey(holder.Name, holder.Incarnation)
	client := state.Clients[key]
	if client == nil || client.Allocations[limit] == nil {
		return 0
	}
	longest := monotime.Micros(0)
	for _, grant := range client.Allocations[limit].Grants {
		if seen, known := t.firstSeen[grantRef{limit, key, grant.Epoch}]; known && grant.Extra > 0 {
			longest = max(longest, seen+validFor(grant)-now)
		}
	}
	return longest
}
