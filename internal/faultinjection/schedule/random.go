package schedule

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// randomStream tells the draws of schedules from others of the same seed.
	randomStream = 27
	// earliestFault and quietEnd, in milliseconds, leave time for a first look before and for what follows the last
	// fault.
	earliestFault = 2000
	quietEnd      = 4000
	// maxBlackouts is how many faults that are hardest on the quota store are drawn beyond one of each.
	maxBlackouts = 3
	// randomQuota is the quota of the standard ones whose total is changed.
	randomQuota = "acme"
)

// Random makes a schedule from a seed: each kind at least once, then more of any, until there are so many.
func Random(seed uint64, hosts, backends, faults int, span time.Duration) *Schedule {
	r := rand.New(rand.NewPCG(seed, randomStream))
	s := &Schedule{
		Name: fmt.Sprint(
			"drawn-",
			seed,
		),
		Seed:     seed,
		Hosts:    hosts,
		Backends: backends,
		Span:     span,
		Load:     0.3,
		Skew:     30_000,
	}
	kinds := Kinds()
	for len(kinds) < faults {
		kinds = append(kinds, Kinds()[r.IntN(len(Kinds()))])
	}
	blackouts := 0
	for i, kind := range kinds {
		at := randomSpan(r, earliestFault, max(earliestFault+1, int(span.Milliseconds())-quietEnd))
		if kind == Blackout || kind == StaleStore {
			if blackouts++; blackouts > maxBlackouts && i >= len(Kinds()) {
				kind = StopBackend
			}
		}
		s.Faults = append(s.Faults, randomFault(r, kind, at, hosts, backends))
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return s
}

// randomSpan draws a span of milliseconds, both ends included.
func randomSpan(r *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+r.IntN(to-from+1)) * time.Millisecond
}

// randomFault draws where one fault happens and how long it lasts.
func randomFault(r *rand.Rand, kind Kind, at time.Duration, hosts, backends int) Fault {
	f := Fault{Kind: kind, At: at}
	ms := func(from, to int) time.Duration { return randomSpan(r, from, to) }
	first := r.IntN(hosts)
	second := (first + 1 + r.IntN(max(1, hosts-1))) % hosts
	host, peer := fmt.Sprint("h", first+1), fmt.Sprint("h", second+1)
	backend := fmt.Sprint("n", r.IntN(backends)+1)
	switch kind {
	case Cut, CutBoth, Stall:
		f.Target, f.Peer, f.Duration = host, peer, ms(500, 6000)
	case Delay:
		f.Target, f.Peer, f.Duration, f.Offset = host, peer, ms(1000, 5000), ms(20, 900)
	case Slow:
		f.Target, f.Peer, f.Duration, f.Value = host, peer, ms(1000, 5000), 500+r.IntN(5000)
	case Reset:
		f.Target, f.Peer = host, peer
	case Duplicate:
		f.Target, f.Peer, f.Duration, f.Offset = host, peer, ms(1000, 4000), ms(2000, 10_000)
	case KillAgent, StaleStore:
		f.Target, f.Duration = host, ms(100, 4000)
	case StopAgent:
		f.Target, f.Duration = host, ms(300, 6000)
	case FullDisk:
		f.Target, f.Duration = host, ms(1000, 4000)
	case Minority:
		f.Target, f.Duration = host, ms(2000, 7000)
	case KillLeader, Blackout:
		f.Duration = ms(100, 3000)
	case StopBackend:
		f.Target, f.Duration = backend, ms(200, 5000)
	case KillBackend, KillSupervisor:
		f.Target = backend
	case BadStart:
		f.Target, f.Duration = backend, ms(500, 2500)
	case ChangeTotal:
		f.Name, f.Value = randomQuota, 60+r.IntN(200)
	}
	return f
}
