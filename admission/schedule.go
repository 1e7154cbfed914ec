package admission

import (
	"math"

	"milletbarrow/monotime"
)

// startRuns starts what waits, as long as cores, the limit of runs and memory have capacity.
func (b *Backend) startRuns(now monotime.Micros, out []Action) []Action {
	for b.load.runnable() < math.Floor(runsPerCore*float64(b.config.Cores)) {
		inv := b.nextToRun(now)
		started := b.count(running) + b.count(atCall) + b.count(inCall)
		if inv == nil || started+1 > b.maxRuns(now) ||
			b.memory()+inv.memoryKB*(b.config.RunFactor-1) > maxStartMemory*b.config.MemoryKB {
			break
		}
		out = append(out, Start{inv.id})
		if b.config.ConfirmStarts {
			break
		}
		b.start(inv)
	}
	return out
}

func (b *Backend) start(inv *invocation) {
	b.setPhase(inv, running)
	inv.startedAt = b.runs.clock
	if key := b.remembered[inv.id]; key != nil {
		key.ran = true
	}
	b.load.startedSince++
}

// nextToRun is, of the heads of each operation's queue of short and of long work, the one with the highest
// response ratio: its wait in relation to its length, times its value.
func (b *Backend) nextToRun(now monotime.Micros) (best *invocation) {
	total, n, highest := b.workAhead(now, 0), b.count(waiting), 0.0
	for k := range b.costs {
		c := &b.costs[k]
		var seen [2]bool // heads of short and of long work
		for _, inv := range c.queue {
			class, cost := 0, b.expectedCost(now, inv)
			if cost*n > total { // longer than the mean
				class = 1
			}
			ratio := float64(now-inv.arrivedAt+1) / cost * inv.op.Value
			if !seen[class] && (best == nil || ratio > highest) {
				best, highest = inv, ratio
			}
			seen[class] = true
			if c.minUnits == c.maxUnits || seen[0] && seen[1] { // the others are like those seen, and came later
				break
			}
		}
	}
	return best
}

// maxRuns is how many runs may be started and not ended: a part of what is survived, less while warming up.
func (b *Backend) maxRuns(now monotime.Micros) float64 {
	speed := 1.0
	if b.config.JustStarted && now < b.openedAt+b.config.WarmUp {
		speed = b.config.ColdSpeed + (1-b.config.ColdSpeed)*float64(now-b.openedAt)/float64(b.config.WarmUp)
	}
	return max(1, runsSafety*float64(b.config.Cores)*(1+(b.config.CollapseMultiple-1)*speed))
}
