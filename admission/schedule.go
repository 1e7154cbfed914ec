package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// wantedRunsPerCore is the number of runnable tasks per core up to which requests are started. A little over 1
	// keeps many cores busy between an end and the next start; it is rounded down, so that few cores get no extra
	// run.
	wantedRunsPerCore = 1.2
	// maxRunsShare is the share of the concurrent runs that the backend survives that is used.
	maxRunsShare = 0.85
	// maxStartMemory is the share of the memory beyond which nothing is started.
	maxStartMemory = 0.80
)

// startRuns starts waiting requests while cores, memory and maxRuns allow it.
func (b *Backend) startRuns(now monotime.Micros, out []Action) []Action {
	for b.load.runnable() < math.Floor(wantedRunsPerCore*float64(b.config.Cores)) {
		req := b.nextToRun(now)
		if req == nil || !b.mayStart(now, req) {
			break
		}
		out = append(out, Start{ID: req.id})
		if b.config.ConfirmStarts {
			break
		}
		b.start(req)
	}
	return out
}

// mayStart reports whether maxRuns and the memory allow another run.
func (b *Backend) mayStart(now monotime.Micros, req *request) bool {
	started := b.count(running) + b.count(atCall) + b.count(inCall)
	runningMemoryKB := req.memoryKB * (b.config.RunFactor - 1)
	return started+1 <= b.maxRuns(now) && b.memory()+runningMemoryKB <= maxStartMemory*b.config.MemoryKB
}

// start moves a waiting request to the cores.
func (b *Backend) start(req *request) {
	b.setPhase(req, running)
	req.startedAt = b.runs.clock
	if key := b.remembered[req.id]; key != nil {
		key.ran = true
	}
	b.load.startedSince++
}

// workClass divides an operation's queue by the length of the work.
type workClass int

const (
	shortWork workClass = iota // up to the mean of all waiting requests
	longWork
	numWorkClasses
)

// nextToRun returns the waiting request with the highest response ratio: the time it has waited in relation to its
// cost, times its value. Only the first short and the first long request of each operation's queue are compared, as
// those behind them arrived later. Without a waiting request it returns nil.
func (b *Backend) nextToRun(now monotime.Micros) *request {
	var best *request
	highest := 0.0
	totalCost := b.waitingCoreTime(now, 0)
	waitingRequests := b.count(waiting)
	for i := range b.costs {
		cost := &b.costs[i]
		sameLength := cost.minUnits == cost.maxUnits
		var seen [numWorkClasses]bool
		for _, req := range cost.queue {
			expected := b.expectedCost(now, req)
			class := shortWork
			if expected*waitingRequests > totalCost {
				class = longWork
			}
			ratio := float64(now-req.arrivedAt+1) / expected * req.op.Value
			if !seen[class] && (best == nil || ratio > highest) {
				best = req
				highest = ratio
			}
			seen[class] = true
			if sameLength || seen[shortWork] && seen[longWork] {
				break
			}
		}
	}
	return best
}

// maxRuns returns how many runs may have started and not ended. It is lower while the backend warms up.
func (b *Backend) maxRuns(now monotime.Micros) float64 {
	speed := 1.0
	if b.config.JustStarted && now < b.openedAt+b.config.WarmUp {
		elapsed := float64(now - b.openedAt)
		speed = b.config.ColdSpeed + (1-b.config.ColdSpeed)*elapsed/float64(b.config.WarmUp)
	}
	survivedPerCore := 1 + (b.config.CollapseMultiple-1)*speed
	return max(1, maxRunsShare*float64(b.config.Cores)*survivedPerCore)
}
