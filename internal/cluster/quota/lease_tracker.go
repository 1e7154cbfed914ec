package quota

import (
	"cmp"
	"slices"

	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

// rebalancesPerLease is how often at most the rates are rebalanced within the shortest lease.
const rebalancesPerLease = 4

// LeaseTracker times leases by the leader's own clock: it says when a lease has surely expired, and when to rebalance. It is
// local to the leader and never replicated: a new leader knows of no time before its own election, and times every grant
// that it finds from then on. It is not safe for concurrent use.
type LeaseTracker struct {
	firstSeen     map[grantRef]monotime.Micros // when a grant was first found by this leader
	lastRebalance monotime.Micros
	frozenUntil   monotime.Micros            // nothing may grow before
	regressions   uint64                     // of the state, as last seen
	pauses        map[LimitName]runningPause // of cold starts, by limit
	scanned       bool                       // the grants from before the election were seen
}

// grantRef identifies a grant.
type grantRef struct {
	limit     LimitName
	clientKey ClientKey
	epoch     uint64
}

// BecomeLeader resets the tracker at an election. The only replica of a state may run on an older copy of its directory and
// has no other to find that out from; as sole replica it freezes growth until every lease that it may have granted and
// lost has expired.
func (t *LeaseTracker) BecomeLeader(now monotime.Micros, s *State, soleReplica bool) {
	*t = LeaseTracker{firstSeen: map[grantRef]monotime.Micros{}, regressions: s.Regressions}
	if soleReplica {
		t.frozenUntil = now + longestLease(s)
	}
}

// longestLease is the longest time for which a grant of the configuration in force is honoured.
func longestLease(s *State) (longest monotime.Micros) {
	for i := range s.Config.Limits {
		longest = max(longest, s.Config.Limits[i].Lease+s.Config.Limits[i].ClockMargin)
	}
	return longest
}

// GrowthFrozen reports whether no grant may grow now, because grants may be in force that the state has lost.
func (t *LeaseTracker) GrowthFrozen(now monotime.Micros) bool { return now < t.frozenUntil }

// Tick says which leases have expired and whether to rebalance. It has to be called after each command and at regular
// intervals: a grant's time runs from the first Tick after it was applied. The holder counts from before it sent its
// request, so that the lease ends there first, whenever the response arrives.
func (t *LeaseTracker) Tick(now monotime.Micros, s *State) (expired []Expiry, rebalance bool) {
	if s.Regressions != t.regressions {
		t.regressions, t.frozenUntil = s.Regressions, now+longestLease(s)
	}
	for key, client := range s.Clients {
		for limit, a := range client.Allocations {
			for i, g := range a.Grants {
				if g.Extra == 0 && (a.Idle || i < len(a.Grants)-1) {
					continue // its expiry would change nothing
				}
				if t.expired(now, grantRef{limit, key, g.Epoch}, g) {
					expired = append(expired, Expiry{Limit: limit, ClientKey: key, Epoch: g.Epoch})
				}
			}
		}
	}
	slices.SortFunc(expired, func(a, b Expiry) int {
		return cmp.Or(cmp.Compare(a.ClientKey, b.ClientKey), cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Epoch, b.Epoch))
	})
	t.scanned = true
	if interval := rebalanceInterval(s); interval > 0 && (now-t.lastRebalance >= interval || len(expired) > 0) {
		t.lastRebalance, rebalance = now, true
	}
	t.sweep(s)
	return expired, rebalance
}

// expired reports whether a grant is honoured no longer, and starts its time where it is new.
func (t *LeaseTracker) expired(now monotime.Micros, ref grantRef, g Grant) bool {
	seen, known := t.firstSeen[ref]
	if !known {
		seen = now
		t.firstSeen[ref] = seen
	}
	return now-seen >= honouredFor(g) || failpoint.Enabled(failpoint.ForgetGrants) && !t.scanned
}

// rebalanceInterval is the time between two divisions; 0 where no rate is configured.
func rebalanceInterval(s *State) (interval monotime.Micros) {
	for i := range s.Config.Limits {
		l := &s.Config.Limits[i]
		if l.Kind == Rate && (interval == 0 || l.Lease/rebalancesPerLease < interval) {
			interval = l.Lease / rebalancesPerLease
		}
	}
	return interval
}

// honouredFor is how long a grant counts as in force: its lease, and the margin for clocks that run apart.
func honouredFor(g Grant) monotime.Micros {
	switch {
	case failpoint.Enabled(failpoint.NoClockMargin):
		return g.Lease
	case failpoint.Enabled(failpoint.EarlyExpiry):
		return g.Lease / 2
	}
	return g.Lease + g.ClockMargin
}

// sweep removes grants that the state no longer has, once they are many.
func (t *LeaseTracker) sweep(s *State) {
	const slack = 64
	maxCurrent := 0
	for _, client := range s.Clients {
		maxCurrent += len(client.Allocations) * maxGrants
	}
	if len(t.firstSeen) <= 2*maxCurrent+slack {
		return
	}
	current := map[grantRef]monotime.Micros{}
	for key, client := range s.Clients {
		for limit, a := range client.Allocations {
			for _, g := range a.Grants {
				ref := grantRef{limit, key, g.Epoch}
				if seen, ok := t.firstSeen[ref]; ok {
					current[ref] = seen
				}
			}
		}
	}
	t.firstSeen = current
}

// FillRemaining fills in how long each holder's extra lasts without a renewal.
func (t *LeaseTracker) FillRemaining(now monotime.Micros, s *State, all []Usage) {
	for i := range all {
		for j := range all[i].Holders {
			h := &all[i].Holders[j]
			key := NewClientKey(h.Name, h.Incarnation)
			client := s.Clients[key]
			if client == nil || client.Allocations[all[i].Limit] == nil {
				continue
			}
			for _, g := range client.Allocations[all[i].Limit].Grants {
				if seen, ok := t.firstSeen[grantRef{all[i].Limit, key, g.Epoch}]; ok && g.Extra > 0 {
					h.Remaining = max(h.Remaining, seen+honouredFor(g)-now)
				}
			}
		}
	}
}
