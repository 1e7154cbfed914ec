package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// randomStream separates the draws of schedules from other draws with the same seed.
const randomStream uint64 = 27

const (
	// earliestFault is the time without faults at the start, in milliseconds.
	earliestFault int = 2000
	// quietEnd is the time after the last fault in which its effects can end, in milliseconds.
	quietEnd int = 4000
)

const (
	// maxBlackouts limits the faults of kinds Blackout and StaleStore together, as these are the hardest on the quota
	// store.
	maxBlackouts int = 3
	// randomQuota is the quota whose total ChangeTotal changes.
	randomQuota string = "acme"
	// randomLoad is the load as a fraction of the backends' capacity.
	randomLoad float64 = 0.3
	// randomSkew is the largest skew of lease clocks, in parts per million.
	randomSkew int = 30_000
)

// bounds is a range of integers, both ends included. The zero value stands for an unused field.
type bounds struct {
	minimum int
	maximum int
}

// draw draws an integer of the range.
func (b bounds) draw(r *rand.Rand) int { return b.minimum + r.IntN(b.maximum-b.minimum+1) }

// drawMilliseconds draws a duration from a range in milliseconds.
func (b bounds) drawMilliseconds(r *rand.Rand) time.Duration {
	return time.Duration(b.draw(r)) * time.Millisecond
}

// faultBounds limits the drawn fields of a fault.
type faultBounds struct {
	duration bounds // milliseconds
	offset   bounds // milliseconds
	value    bounds // bytes per second for Slow, the new total for ChangeTotal
}

// randomBounds lists the drawn fields of each kind. A kind without an entry has no field to draw.
var randomBounds = map[Kind]faultBounds{
	Cut:         {duration: bounds{500, 6000}},
	CutBoth:     {duration: bounds{500, 6000}},
	Stall:       {duration: bounds{500, 6000}},
	Delay:       {duration: bounds{1000, 5000}, offset: bounds{20, 900}},
	Slow:        {duration: bounds{1000, 5000}, value: bounds{500, 5499}},
	Duplicate:   {duration: bounds{1000, 4000}, offset: bounds{2000, 10_000}},
	KillAgent:   {duration: bounds{100, 4000}},
	StaleStore:  {duration: bounds{100, 4000}},
	StopAgent:   {duration: bounds{300, 6000}},
	FullDisk:    {duration: bounds{1000, 4000}},
	Minority:    {duration: bounds{2000, 7000}},
	KillLeader:  {duration: bounds{100, 3000}},
	Blackout:    {duration: bounds{100, 3000}},
	StopBackend: {duration: bounds{200, 5000}},
	BadStart:    {duration: bounds{500, 2500}},
	ChangeTotal: {value: bounds{60, 259}},
}

// Random draws a schedule from a seed: one fault of each kind, then further faults of any kind up to the given number.
func Random(seed uint64, hosts, backends, faults int, span time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, randomStream))
	s := &Schedule{
		Name:     fmt.Sprint("drawn-", seed),
		Seed:     seed,
		Hosts:    hosts,
		Backends: backends,
		Span:     span,
		Load:     randomLoad,
		Skew:     randomSkew,
	}
	kinds := Kinds()
	for len(kinds) < faults {
		kinds = append(kinds, Kinds()[r.IntN(len(Kinds()))])
	}
	times := bounds{
		minimum: earliestFault,
		maximum: max(earliestFault+1, int(span.Milliseconds())-quietEnd),
	}
	blackouts := 0
	for i, kind := range kinds {
		at := times.drawMilliseconds(r)
		if kind == Blackout || kind == StaleStore {
			blackouts++
			if blackouts > maxBlackouts && i >= len(Kinds()) {
				kind = StopBackend
			}
		}
		s.Faults = append(s.Faults, s.randomFault(r, kind, at))
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// randomFault draws the targets and the other fields of one fault. It draws two hosts and a backend for every kind, so
// that a seed's later draws do not depend on the kind's targets.
func (s *Schedule) randomFault(r *rand.Rand, kind Kind, at time.Duration) Fault {
	host := r.IntN(s.Hosts)
	peer := (host + 1 + r.IntN(max(1, s.Hosts-1))) % s.Hosts
	backend := r.IntN(s.Backends)
	hosts := []string{numberedName(hostPrefix, host+1), numberedName(hostPrefix, peer+1)}
	var names []string
	for i, target := range kind.targets() {
		switch target {
		case hostTarget:
			names = append(names, hosts[i])
		case backendTarget:
			names = append(names, numberedName(backendPrefix, backend+1))
		case nameTarget:
			names = append(names, randomQuota)
		}
	}
	f := Fault{Kind: kind, At: at}.withTargets(names)
	limits := randomBounds[kind]
	if limits.duration != (bounds{}) {
		f.Duration = limits.duration.drawMilliseconds(r)
	}
	if limits.offset != (bounds{}) {
		f.Offset = limits.offset.drawMilliseconds(r)
	}
	if limits.value != (bounds{}) {
		f.Value = limits.value.draw(r)
	}
	return f
}
