package checker

import (
	"cmp"
	"slices"
)

// million is how many parts Process.PPM counts in, and how many microseconds a second has.
const million = 1_000_000

// change is a change of what is in force.
type change struct {
	at           int64
	floor, extra int64 // units that are added, negative where they end
	holder       int   // index of the process; noHolder where the total changes
	granted      bool  // a grant begins
	epoch        uint64
}

const noHolder = -1

// CheckGrants judges one quota between two times: at no instant may the grants in force add up to more than the total.
// Peak and breaches are those of the complete logs, Mean and Last those of the span.
func CheckGrants(all []*Process, quota string, limits Limits, from, to int64) Report {
	r := Report{Quota: quota}
	for _, p := range all {
		r.Grants += len(p.grants[quota])
	}
	changes := grantChanges(all, quota, limits)
	sum, area, span := int64(0), 0.0, int64(0)
	inForce := map[int]*Holder{}
	for i, c := range changes {
		sum += c.floor + c.extra
		if c.holder != noHolder {
			apply(inForce, all, c)
		}
		next := to
		if i+1 < len(changes) {
			next = changes[i+1].at
			if next == c.at {
				continue
			}
		}
		total := limits.at(quota, c.at)
		if total == 0 {
			continue
		}
		part := float64(sum) / float64(total)
		if lasts := min(next, to) - max(c.at, from); lasts > 0 {
			area += part * float64(lasts)
			span += lasts
			r.Last = part
		}
		r.Peak = max(r.Peak, part)
		if sum > total {
			r.add(Breach{
				Quota:    quota,
				Rule:     RuleGrantsInForce,
				At:       c.at,
				Duration: next - c.at,
				Found:    sum,
				Limit:    total,
				Holders:  holders(inForce),
			})
		}
	}
	if span > 0 {
		r.Mean = area / float64(span)
	}
	return r
}

// grantChanges are the changes of what is in force, in order of time. Those of one instant are judged together.
func grantChanges(all []*Process, quota string, limits Limits) []change {
	var changes []change
	for i, p := range all {
		grants := p.grants[quota]
		for j, g := range grants {
			end := p.Last
			if j+1 < len(grants) {
				end = grants[j+1].at
			}
			if end <= g.at {
				continue
			}
			changes = append(changes,
				change{at: g.at, floor: g.floor, holder: i, granted: true, epoch: g.epoch},
				change{at: end, floor: -g.floor, holder: i})
			leaseEnd := min(end, p.leaseEnd(g))
			if g.extra > 0 && leaseEnd > g.at {
				changes = append(changes,
					change{at: g.at, extra: g.extra, holder: i, granted: true, epoch: g.epoch},
					change{at: leaseEnd, extra: -g.extra, holder: i})
			}
		}
	}
	for _, total := range limits[quota] {
		changes = append(changes, change{at: total.From, holder: noHolder})
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	return changes
}

// leaseEnd is when a grant's lease ends on the machine's clock. It runs on the holder's own clock, which was set to run
// faster or slower than the machine's.
func (p *Process) leaseEnd(g grant) int64 {
	return g.at + g.lease*million/(million+p.PPM)
}

// apply takes one change into what its process has in force.
func apply(inForce map[int]*Holder, all []*Process, c change) {
	h := inForce[c.holder]
	if h == nil {
		h = &Holder{Name: all[c.holder].Name}
		inForce[c.holder] = h
	}
	h.Floor += c.floor
	h.Extra += c.extra
	if c.granted {
		h.Epoch = c.epoch
	}
}

// holders are those that have anything in force, by name.
func holders(inForce map[int]*Holder) (all []Holder) {
	for _, h := range inForce {
		if h.Floor+h.Extra > 0 {
			all = append(all, *h)
		}
	}
	slices.SortFunc(all, func(a, b Holder) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// heldStep is the resolution of HeldSince, in microseconds.
const heldStep = 5_000

// HeldSince is the first time in a span from which the grants in force, but for those of the excluded backends, add
// up to a number of units; ok is false if they do not before its end. Leases count by the machine's clock.
func HeldSince(
	all []*Process,
	quota string,
	excluded map[string]bool,
	units int64,
	from, to int64,
) (at int64, ok bool) {
	for at = from; at < to; at += heldStep {
		sum := int64(0)
		for _, p := range all {
			if !excluded[p.Name] {
				sum += p.heldAt(quota, at)
			}
		}
		if sum >= units {
			return at, true
		}
	}
	return 0, false
}

// heldAt is how many units of a quota the process has in force at a time; leases count by the machine's clock.
func (p *Process) heldAt(quota string, at int64) (units int64) {
	grants := p.grants[quota]
	later, _ := slices.BinarySearchFunc(grants, at, func(g grant, t int64) int {
		if g.at <= t {
			return -1
		}
		return 1
	})
	if later == 0 || at > p.Last {
		return 0
	}
	g := grants[later-1]
	if at < g.at+g.lease {
		return g.floor + g.extra
	}
	return g.floor
}
