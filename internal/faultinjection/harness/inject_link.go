package harness

import (
	"context"

	"milletbarrow/internal/faultinjection/schedule"
)

// injectLinkFault injects a fault into the link between two hosts for its duration, and ends it.
func (harness *Harness) injectLinkFault(ctx context.Context, f schedule.Fault) {
	forward := harness.mesh.Direction(f.Target, f.Peer)
	reverse := harness.mesh.Direction(f.Peer, f.Target)
	switch f.Kind {
	case schedule.Cut:
		forward.Hold(true)
		pause(ctx, f.Duration)
		harness.mesh.Reset(f.Target, f.Peer) // so that held bytes are lost
		forward.Hold(false)
	case schedule.CutBoth:
		forward.Hold(true)
		reverse.Hold(true)
		pause(ctx, f.Duration)
		harness.mesh.Reset(f.Target, f.Peer)
		forward.Hold(false)
		reverse.Hold(false)
	case schedule.Stall:
		forward.Hold(true)
		pause(ctx, f.Duration)
		forward.Hold(false)
	case schedule.Delay:
		forward.Delay(f.Offset)
		pause(ctx, f.Duration)
		forward.Delay(0)
	case schedule.Slow:
		forward.Slow(f.Value)
		pause(ctx, f.Duration)
		forward.Slow(0)
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

// minHostsForPair is the least number of hosts for which isolateMinority isolates two.
const minHostsForPair int = 4

// isolateMinority isolates a host, and the next one if there are enough hosts, from all others.
func (harness *Harness) isolateMinority(ctx context.Context, f schedule.Fault) {
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
