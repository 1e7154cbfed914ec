package quota

import (
	"cmp"
	"slices"
)

// Clerk is the leader's side of time: it says when a lease is surely over, by the leader's own clock, and when to divide
// anew. It is never written down: a new leader's clerk knows of no time before its own election, and counts every grant
// that it finds from then on.
type Clerk struct {
	elected Micros
	seen    map[ref]Micros // when a grant was first found here
	divided Micros
	hold    Micros // nothing may grow before
	forgot  uint64
	rests   map[string]resting // of rises, by budget
	found   bool               // grants from before the election were looked at
}

type ref struct {
	budget, key string
	epoch       uint64
}

// Elected has the clerk begin. alone: this ledger has no other copy, so that grants may be in force of which it was
// made to forget, by a directory that was set back; it waits them out.
func (c *Clerk) Elected(now Micros, l *Ledger, alone bool) {
	*c = Clerk{elected: now, seen: map[ref]Micros{}, forgot: l.Forgot}
	if alone {
		c.hold = now + longest(l)
	}
}

func longest(l *Ledger) (most Micros) {
	for i := range l.Terms.Budgets {
		most = max(most, l.Terms.Budgets[i].Lease+l.Terms.Budgets[i].Margin)
	}
	return most
}

// Hold tells whether nothing may grow now.
func (c *Clerk) Hold(now Micros) bool { return now < c.hold }

// divideEvery is how often the division is made anew at the most, as a part of the shortest lease.
const divideEvery = 4

// Due says what is over and whether to divide. It is asked after each command and now and then; a grant's time runs from
// the first look after it was applied. Its holder counts from before it asked, so that the holder's end comes first,
// whenever the answer arrives.
func (c *Clerk) Due(now Micros, l *Ledger) (over []Lapse, divide bool) {
	if l.Forgot != c.forgot {
		c.forgot, c.hold = l.Forgot, now+longest(l)
	}
	for key, life := range l.Lives {
		for name, h := range life.Held {
			for i, g := range h.Grants {
				if g.Extra == 0 && (h.Quiet || i < len(h.Grants)-1) {
					continue // nothing of it is over with its lease
				}
				r := ref{name, key, g.Epoch}
				at, known := c.seen[r]
				if !known {
					at = now
					c.seen[r] = at
				}
				if now-at >= span(g) || plants.forget && !c.found {
					over = append(over, Lapse{name, key, g.Epoch})
				}
			}
		}
	}
	slices.SortFunc(over, func(a, b Lapse) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Budget, b.Budget), cmp.Compare(a.Epoch, b.Epoch))
	})
	c.found = true
	every := Micros(0)
	for i := range l.Terms.Budgets {
		if b := &l.Terms.Budgets[i]; b.Kind == Rate && (every == 0 || b.Lease/divideEvery < every) {
			every = b.Lease / divideEvery
		}
	}
	if every > 0 && (now-c.divided >= every || len(over) > 0) {
		c.divided, divide = now, true
	}
	c.sweep(l)
	return over, divide
}

// span is how long a grant is honoured.
func span(g Grant) Micros {
	switch {
	case plants.margin:
		return g.Lease
	case plants.early:
		return g.Lease / 2
	}
	return g.Lease + g.Margin
}

// sweep forgets grants that the ledger has no more, once they are many.
func (c *Clerk) sweep(l *Ledger) {
	live := 0
	for _, life := range l.Lives {
		live += len(life.Held) * keptGrants
	}
	if len(c.seen) <= 2*live+64 {
		return
	}
	kept := map[ref]Micros{}
	for key, life := range l.Lives {
		for name, h := range life.Held {
			for _, g := range h.Grants {
				r := ref{name, key, g.Epoch}
				if at, ok := c.seen[r]; ok {
					kept[r] = at
				}
			}
		}
	}
	c.seen = kept
}

// Left fills in how long each holder's extra lasts yet.
func (c *Clerk) Left(now Micros, l *Ledger, all []Use) {
	for i := range all {
		for j := range all[i].Holders {
			h := &all[i].Holders[j]
			life := l.Lives[Key(h.Name, h.Life)]
			if life == nil || life.Held[all[i].Budget] == nil {
				continue
			}
			for _, g := range life.Held[all[i].Budget].Grants {
				if at, ok := c.seen[ref{all[i].Budget, Key(h.Name, h.Life), g.Epoch}]; ok && g.Extra > 0 {
					h.Left = max(h.Left, at+span(g)-now)
				}
			}
		}
	}
}
