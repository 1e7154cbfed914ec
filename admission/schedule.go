package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// targetRunsPerCore is the number of runnable tasks per core up to which requests are started. A value slightly
	// over 1 keeps the cores of large hosts busy between an end and the next start. The product is rounded down, so
	// that a host with few cores gets no extra run.
	targetRunsPerCore = 1.2
	// collapseSafetyFactor is the share of the sustainable concurrent runs that is used.
	collapseSafetyFactor = 0.85
	// maxStartMemoryShare is the share of the memory above which no request is started.
	maxStartMemoryShare = 0.80
)

// startRuns starts waiting requests within the limits of cores, memory and maxRuns.
func (b *Backend) startRuns(now monotime.Micros, out []Action) []Action {
	for b.load.runnable() < math.Floor(targetRunsPerCore*float64(b.config.Cores)) {
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
	started := b.count(running) + b.count(callPending) + b.count(callInFlight)
	runningMemoryKB := req.memoryKB * (b.config.RunFactor - 1)
	return started+1 <= b.maxRuns(now) && b.memoryKB()+runningMemoryKB <= maxStartMemoryShare*b.config.MemoryKB
}

// start marks a waiting request as running.
func (b *Backend) start(req *request) {
	b.setPhase(req, running)
	req.startVirtualTime = b.runs.virtualTime
	if key := b.idempotencyKeys[req.id]; key != nil {
		key.started = true
	}
	b.load.startedSinceReading++
}

// workClass classifies waiting requests by expected cost.
type workClass int

const (
	shortWork workClass = iota // up to the mean cost of all waiting requests
	longWork
	numWorkClasses
)

// nextToRun returns the waiting request with the highest response ratio: its waiting time divided by its expected cost,
// times its value. Only the first short and the first long request of each operation's queue are compared, because
// those behind them arrived later. It returns nil if no request is waiting.
func (b *Backend) nextToRun(now monotime.Micros) *request {
	var best *request
	highest := 0.0
	totalCost := b.queuedCoreTime(now, 0)
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

// maxRuns returns the limit on runs that have started and not ended. It is lower while the backend warms up.
func (b *Backend) maxRuns(now monotime.Micros) float64 {
	speed := 1.0
	if b.config.JustStarted && now < b.openedAt+b.config.WarmUp {
		elapsed := float64(now - b.openedAt)
		speed = b.config.ColdSpeed + (1-b.config.ColdSpeed)*elapsed/float64(b.config.WarmUp)
	}
	sustainablePerCore := 1 + (b.config.CollapseMultiple-1)*speed
	return max(1, collapseSafetyFactor*float64(b.config.Cores)*sustainablePerCore)
}
