package checker

import (
	"cmp"
	"slices"
)

// change is a change of the grants in force, or a point in time at which the total changes.
type change struct {
	at      int64  // microseconds
	floor   int64  // units per second added; negative at the end of a grant
	extra   int64  // units per second added; negative at the end of a lease
	holder  int    // index of the process; noHolder for a change of the total
	granted bool   // whether a grant begins
	epoch   uint64 // of the grant that begins
}

const noHolder int = -1

// CheckGrants checks one quota: at no instant may the grants in force add up to more than the total. Peak and breaches
// cover the complete logs; Mean and Last cover the span between the two times.
func CheckGrants(all []*Process, quota string, limits Limits, from, to int64) Report {
	r := Report{Quota: quota}
	for _, process := range all {
		r.Grants += len(process.grants[quota])
	}
	changes := grantChanges(all, quota, limits)
	sum := int64(0)              // units per second in force
	area := 0.0                  // integral of the fraction in force over the checked time
	span := int64(0)             // checked time, microseconds
	inForce := map[int]*Holder{} // by index of the process
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
		fraction := float64(sum) / float64(total)
		if duration := min(next, to) - max(c.at, from); duration > 0 {
			area += fraction * float64(duration)
			span += duration
			r.Last = fraction
		}
		r.Peak = max(r.Peak, fraction)
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

// grantChanges returns all changes of a quota's grants and total, in order of time.
func grantChanges(all []*Process, quota string, limits Limits) []change {
	var changes []change
	for holder, process := range all {
		grants := process.grants[quota]
		for i, g := range grants {
			end := process.Last
			if i+1 < len(grants) {
				end = grants[i+1].at
			}
			if end <= g.at {
				continue
			}
			changes = append(changes,
				change{at: g.at, floor: g.floor, holder: holder, granted: true, epoch: g.epoch},
				change{at: end, floor: -g.floor, holder: holder})
			leaseEnd := min(end, process.leaseEnd(g))
			if g.extra > 0 && leaseEnd > g.at {
				changes = append(changes,
					change{at: g.at, extra: g.extra, holder: holder, granted: true, epoch: g.epoch},
					change{at: leaseEnd, extra: -g.extra, holder: holder})
			}
		}
	}
	for _, total := range limits[quota] {
		changes = append(changes, change{at: total.From, holder: noHolder})
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	return changes
}

// leaseEnd returns the time by the machine's clock at which a grant's lease expires. The lease expires by the process's
// lease clock, which a trial may run faster or slower than the machine's clock.
func (p *Process) leaseEnd(g grant) int64 {
	return g.at + g.lease*partsPerMillion/(partsPerMillion+p.PPM)
}

// apply applies a change to the units that its process has in force.
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

// holders returns the processes with units in force, sorted by name.
func holders(inForce map[int]*Holder) (all []Holder) {
	for _, h := range inForce {
		if h.Floor+h.Extra > 0 {
			all = append(all, *h)
		}
	}
	slices.SortFunc(all, func(a, b Holder) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// heldResolution is the interval of the times that HeldSince examines, in microseconds.
const heldResolution int64 = 5_000

// HeldSince returns the first time in a span at which the grants in force, without those of the excluded backends, add
// up to the given units per second. It returns false if they stay below until the end of the span. It ignores the skew
// of lease clocks.
func HeldSince(
	all []*Process,
	quota string,
	excluded map[string]bool,
	units int64,
	from, to int64,
) (at int64, ok bool) {
	for at = from; at < to; at += heldResolution {
		sum := int64(0)
		for _, process := range all {
			if !excluded[process.Name] {
				sum += process.heldAt(quota, at)
			}
		}
		if sum >= units {
			return at, true
		}
	}
	return 0, false
}

// heldAt returns the units per second of a quota that the process has in force at a time. It ignores the skew of the
// lease clock.
func (p *Process) heldAt(quota string, at int64) (units int64) {
	grants := p.grants[quota]
	later, _ := slices.BinarySearchFunc(grants, at, func(g grant, time int64) int {
		if g.at <= time {
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
