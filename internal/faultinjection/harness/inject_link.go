package harness

import (
	"context"

	"milletbarrow/internal/faultinjection/schedule"
)

// disturbLink injects a fault between two hosts, and takes it back.
func (harness *Harness) disturbLink(ctx context.Context, f schedule.Fault) {
	there, back := harness.mesh.Direction(f.Target, f.Peer), harness.mesh.Direction(f.Peer, f.Target)
	switch f.Kind {
	case schedule.Cut:
		there.Hold(true)
		pause(ctx, f.Duration)
		harness.mesh.Reset(
			f.Target,
			f.Peer,
		) // what was lost meanwhile is not delivered by a connection that was given up
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
	}
}

// cutOffMinority cuts a host and the next off from all others.
func (harness *Harness) cutOffMinority(ctx context.Context, f schedule.Fault) {
	a := index(f.Target)
	few := map[int]bool{a: true, (a + 1) % len(harness.hosts): len(harness.hosts) > 3}
	each := func(do func(a, b string)) {
		for i := range harness.hosts {
			for j := range harness.hosts {
				if i != j && few[i] != few[j] {
					do(harness.hosts[i].name, harness.hosts[j].name)
				}
			}
		}
	}
	each(func(a, b string) { harness.mesh.Direction(a, b).Hold(true) })
	pause(ctx, f.Duration)
	each(harness.mesh.Reset)
	each(func(a, b string) { harness.mesh.Direction(a, b).Hold(false) })
}
