package harness

import (
	"context"

	"milletbarrow/internal/faultinjection/schedule"
)

// disturbLink injects a fault between two hosts for its duration, and ends it.
func (harness *Harness) disturbLink(ctx context.Context, f schedule.Fault) {
	there := harness.mesh.Direction(f.Target, f.Peer)
	back := harness.mesh.Direction(f.Peer, f.Target)
	switch f.Kind {
	case schedule.Cut:
		there.Hold(true)
		pause(ctx, f.Duration)
		harness.mesh.Reset(f.Target, f.Peer) // so that held bytes are lost
		there.Hold(false)
	case schedule.CutBoth:
		there.Hold(true)
		back.Hold(true)
		pause(ctx, f.Duration)
		harness.mesh.Reset(f.Target, f.Peer)
		there.Hold(false)
		back.Hold(false)
	case schedule.Stall:
		there.Hold(true)
		pause(ctx, f.Duration)
		there.Hold(false)
	case schedule.Delay:
		there.Delay(f.Offset)
		pause(ctx, f.Duration)
		there.Delay(0)
	case schedule.Slow:
		there.Slow(f.Value)
		pause(ctx, f.Duration)
		there.Slow(0)
	case schedule.Reset:
		harness.mesh.Reset(f.Target, f.Peer)
	case schedule.Duplicate:
		harness.mesh.Link(f.Target, f.Peer).Duplicate(f.Offset)
		pause(ctx, f.Duration)
		harness.mesh.Link(f.Target, f.Peer).Duplicate(0)
		pause(ctx, f.Offset)
	default: // kinds that do not concern a link
	}
}

// minHostsForPair is the number of hosts from which on a host and the next one are a minority.
const minHostsForPair int = 4

// cutOffMinority isolates a host, and the next one if there are enough hosts, from all others.
func (harness *Harness) cutOffMinority(ctx context.Context, f schedule.Fault) {
	first := index(f.Target)
	next := (first + 1) % len(harness.hosts)
	isolated := map[int]bool{first: true, next: len(harness.hosts) >= minHostsForPair}
	forEachRoute := func(do func(a, b string)) {
		for i := range harness.hosts {
			for j := range harness.hosts {
				if i != j && isolated[i] != isolated[j] {
					do(harness.hosts[i].name, harness.hosts[j].name)
				}
			}
		}
	}
	forEachRoute(func(a, b string) { harness.mesh.Direction(a, b).Hold(true) })
	pause(ctx, f.Duration)
	forEachRoute(harness.mesh.Reset)
	forEachRoute(func(a, b string) { harness.mesh.Direction(a, b).Hold(false) })
}
