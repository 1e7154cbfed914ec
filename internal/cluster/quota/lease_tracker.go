package quota

import (
	"cmp"
	"slices"

	"milletbarrow/internal/failpoint"
)

// Clerk is the leader's side of time: it says when a lease is surely over, by the leader's own clock, and when to divide
// anew. It is never written down: a new leader's clerk knows of no time before its own election, and counts every grant
// that it finds from then on.
type LeaseTracker struct {
	electedAt     Micros
	firstSeen     map[grantRef]Micros // when a grant was first found here
	lastRebalance Micros
	frozenUntil   Micros // nothing may grow before
	regressions   uint64
	pauses        map[string]runningPause // of rises, by budget
	scanned       bool                    // grants from before the election were looked at
}

type grantRef struct {
	limit, clientKey string
	epoch            uint64
}

// Elected has the clerk begin. alone: this ledger has no other copy, so that grants may be in force of which it was
// made to forget, by a directory that was set back; it waits them out.
func (c *LeaseTracker) BecomeLeader(now Micros, l *State, alone bool) {
	*c = LeaseTracker{electedAt: now, firstSeen: map[grantRef]Micros{}, regressions: l.Regressions}
	if alone {
		c.frozenUntil = now + longestLease(l)
	}
}

func longestLease(l *State) (most Micros) {
	for i := range l.Config.Limits {
		most = max(most, l.Config.Limits[i].Lease+l.Config.Limits[i].ClockMargin)
	}
	return most
}

// Hold tells whether nothing may grow now.
func (c *LeaseTracker) GrowthFrozen(now Micros) bool { return now < c.frozenUntil }

// divideEvery is how often the division is made anew at the most, as a part of the shortest lease.
const rebalancesPerLease = 4

// Due says what is over and whether to divide. It is asked after each command and now and then; a grant's time runs from
// the first look after it was applied. Its holder counts from before it asked, so that the holder's end comes first,
// whenever the answer arrives.
func (c *LeaseTracker) Tick(now Micros, l *State) (over []Expiry, divide bool) {
	if l.Regressions != c.regressions {
		c.regressions, c.frozenUntil = l.Regressions, now+longestLease(l)
	}
	for key, life := range l.Clients {
		for name, h := range life.Allocations {
			for i, g := range h.Grants {
				if g.Extra == 0 && (h.Idle || i < len(h.Grants)-1) {
					continue // nothing of it is over with its lease
				}
				r := grantRef{name, key, g.Epoch}
				at, known := c.firstSeen[r]
				if !known {
					at = now
					c.firstSeen[r] = at
				}
				if now-at >= honouredFor(g) || failpoint.Enabled(failpoint.ForgetGrants) && !c.scanned {
					over = append(over, Expiry{name, key, g.Epoch})
				}
			}
		}
	}
	slices.SortFunc(over, func(a, b Expiry) int {
		return cmp.Or(cmp.Compare(a.ClientKey, b.ClientKey), cmp.Compare(a.Limit, b.Limit), cmp.Compare(a.Epoch, b.Epoch))
	})
	c.scanned = true
	every := Micros(0)
	for i := range l.Config.Limits {
		if b := &l.Config.Limits[i]; b.Kind == Rate && (every == 0 || b.Lease/rebalancesPerLease < every) {
			every = b.Lease / rebalancesPerLease
		}
	}
	if every > 0 && (now-c.lastRebalance >= every || len(over) > 0) {
		c.lastRebalance, divide = now, true
	}
	c.sweep(l)
	return over, divide
}

// span is how long a grant is honoured.
func honouredFor(g Grant) Micros {
	switch {
	case failpoint.Enabled(failpoint.NoClockMargin):
		return g.Lease
	case failpoint.Enabled(failpoint.EarlyExpiry):
		return g.Lease / 2
	}
	return g.Lease + g.ClockMargin
}

// sweep forgets grants that the ledger has no more, once they are many.
func (c *LeaseTracker) sweep(l *State) {
	live := 0
	for _, life := range l.Clients {
		live += len(life.Allocations) * maxGrants
	}
	if len(c.firstSeen) <= 2*live+64 {
		return
	}
	kept := map[grantRef]Micros{}
	for key, life := range l.Clients {
		for name, h := range life.Allocations {
			for _, g := range h.Grants {
				r := grantRef{name, key, g.Epoch}
				if at, ok := c.firstSeen[r]; ok {
					kept[r] = at
				}
			}
		}
	}
	c.firstSeen = kept
}

// Left fills in how long each holder's extra lasts yet.
func (c *LeaseTracker) FillRemaining(now Micros, l *State, all []Usage) {
	for i := range all {
		for j := range all[i].Holders {
			h := &all[i].Holders[j]
			life := l.Clients[ClientKey(h.Name, h.Incarnation)]
			if life == nil || life.Allocations[all[i].Limit] == nil {
				continue
			}
			for _, g := range life.Allocations[all[i].Limit].Grants {
				if at, ok := c.firstSeen[grantRef{all[i].Limit, ClientKey(h.Name, h.Incarnation), g.Epoch}]; ok && g.Extra > 0 {
					h.Remaining = max(h.Remaining, at+honouredFor(g)-now)
				}
			}
		}
	}
}
