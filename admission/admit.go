package admission

// How it is called: New(terms, seed) makes one backend's instance, and Decide is
// given everything that happens to it, first Opened, and appends to out what is
// to be done. The events, actions and terms stand in types.go. Nothing here knows
// of a wire, another instance or a clock of its own.
//
// The design: every arrival is counted with its retry mark, or what stands in for it; a throttle says
// "don't retry" while the recent share of marks is above retryCut, else it invites
// a try elsewhere; an arrival is throttled when the smoothed run queue is above
// a threshold that rises with rank and the cores are busy.
//
// Guards of the four rules: due (one answer in time, running work included),
// remembered (no effect twice), drain (grace and stop), memory, crowd (the cores,
// sooner when cold), share (calls below).
//
// Mechanisms beside the design, six at most:
//  1. hopeless: what cannot meet its latency objective is given up at once, on arrival, in line, at a
//     call or, where it can be stopped, running
//  2. next: a short and a long line each, by response ratio and billed value, run while the cores have room
//  3. tenants: beyond its part of the quota an invocation ranks as what it is worth
//  4. what callers hear: stayAway, how long the excess takes to drain; the free value and health answers
//     say the same; connections: those of rare callers are closed early, but in a storm of new ones
//  5. room: the slower calls below are, the fewer are in hand

import (
	"math"
	"slices"
)

const (
	tickMost      = 20_000          // gauges are read at least this often
	retryWindow   = 4_000_000       // the recent past of the retry share
	retryCut      = 0.10            // the source's retry budget
	retryCutTop   = 0.50            // the same for the highest rank
	usualWait     = 0.15            // a wait that so many arrivals tell is a first try's, where none is marked
	unusualFound  = 0.5             // about the part of the later tries that shows by the wait
	sameWait      = 0.01            // waits that differ by less, as a part of the client timeout, are the same
	readersOver   = 1_000_000       // time constant of what wants a core to read or connect
	smoothing     = 200_000         // time constant of the run queue
	lowPerCore    = 1.0             // threshold of the lowest rank
	topPerCore    = 2.5             // threshold of the highest rank
	burst         = 4.0             // and so many more of it, whatever the cores: chance weighs more on few
	lowBurst      = 2.0             // the same of the lowest rank
	runPerCore    = 1.2             // whole runs wanted: a third on two slows all, a seventh on six spans a gap
	busyShare     = 0.85            // cores count as busy from here on
	crowdSafety   = 0.85            // part of the survivable crowd ever used
	startMemory   = 0.80            // no start beyond this part of memory
	holdMemory    = 0.90            // no invocation held beyond it
	paceOver      = 20_000_000      // what an operation costs here is learnt over this
	lately        = 2_000_000       // and over this, whether runs, calls and tenants are as they were
	dragPrior     = 100_000         // core time, by core, that speaks for no change
	tenantSlack   = 1.5             // standard deviations by which chance may exceed an even part of a quota
	shareRank     = 0.3             // work within a share ranks above this, work beyond it below
	callAttempts  = 3               // of one invocation
	callRetryPart = 0.10            // retried calls to first calls
	callRetryOver = 10_000_000      // measured over this
	callUsualOver = 60_000_000      // what a call usually takes is learnt over this
	callSlowFrom  = 2.0             // times the usual; from here on fewer calls are in hand
	callWaitCore  = 2.0             // invocations waiting at calls, by core
	awayLeast     = 50_000          // shortest advice to stay away
	restMost      = 8e6             // callers that come less often than this, in the mean, are sparse
	paceSoon      = 1_000_000       // after so long the rate of arrivals is known well enough
	fewCallers    = 16              // a core: any table has room for them all, and nothing is closed
	stormReads    = 3.0             // a core, of what wants one to read or connect, from which tables may fill
	stormFor      = 60_000_000      // and for so long after
	restLeast     = 50_000          // their connections are closed when idle for so long
	leastValue    = 0.05            // least weight, and the weight or allowance while stuck
	stuckLeast    = 2_000_000       // full cores that read nothing in time and end nothing for so long are stuck
	stuckReads    = 0.5             // and read less than this part of what they usually do
	stuckCosts    = 8               // or for so many usual runs, if that is longer
	stuckFor      = 3_000_000       // a backend that was stuck is not healthy for so long after
	token         = int64(1)        // of the one timer
	never         = Micros(1 << 60) // no such time
)

type phase int

const (
	held phase = iota
	running
	atCall
	calling
	reusing
	phases
)

type invocation struct {
	id                   string
	op                   *Operation
	pace                 *pace
	rank, kb             float64
	unit                 float64 // expected work in the hint's terms
	arrived, wantBy, due Micros
	unread               Micros // it waited so long to be read, or is shed for so long
	phase                phase
	retry                bool
	of, tenant, attempts int     // operation; attempts: calls made
	notUntil             Micros  // the next call
	began, leftAt        float64 // coreTime at the start of the run, and when it left the cores for a call
	taken                bool    // past the gate
	answered             bool    // nothing is owed; it only leaves the cores
	stopped              Micros  // when a stop was last asked for
	seq                  int     // in order of arrival
}

// entry is a remembered invocation.
type entry struct {
	until Micros
	ran   bool
}

// Backend decides for one instance.
type Backend struct {
	t       Config
	chance  uint64
	hand    []*invocation // everything read and not over, in order of arrival
	seen    []*invocation // of the hand, while it is gone through
	spare   []*invocation // over, to be used again
	seq     int
	in      [phases]int // of the hand, by phase
	kb      float64     // what the hand takes
	byID    map[string]*invocation
	kept    map[string]*entry
	paces   []pace
	before  []float64  // core time in line of each, while it is gone through
	tenants []decaying // admitted invocations of each

	opened, tick, nextAt, drainAt, stopAt Micros

	reads, retries         decaying
	usual                  decaying // reads over long
	waits                  [6]wait  // those told most of late
	firstCalls, retryCalls decaying
	callTook, callsEnded   decaying // calls that succeeded, over long
	callSpent, callsLate   decaying // time of all calls, ended or not, and successes, of late
	callMean               decaying
	lingering              []Micros // when abandoned calls leave the dependency

	readAt           Micros   // of the gauges
	onCores, coreUse float64  // at that reading
	queue            float64  // the smoothed run queue, waiting invocations included
	readers          float64  // smoothed too: what wants a core without being a run
	since, begun     float64  // admitted, and started, less ended since that reading
	coreTime         float64  // time that one run among those present has had on a core
	spent            decaying // core time of all runs, ended or not
	earning          float64  // what those that have not ended have had, up to what they were expected to cost
	earned, ended    decaying // what the runs that ended were expected to cost, and how many they were
	moved, sickTill  Micros   // when a read was last in time or a run last ended well; not healthy until
	lateAt           Micros   // when a read was last not in time
	healthy          bool     // as last sent
	value            float64  // the free value last sent
	sparse           bool     // idle connections are closed early
	stormTill        Micros   // they are not until then
}

// decaying is a sum that forgets with time constant over.
type decaying struct {
	sum  float64
	at   Micros
	over float64
}

func over(span Micros) decaying { return decaying{over: float64(span)} }

func (d *decaying) read(now Micros) float64 {
	if now > d.at {
		d.sum *= math.Exp(-float64(now-d.at) / d.over)
		d.at = now
	}
	return d.sum
}

func (d *decaying) add(now Micros, x float64) { d.sum = d.read(now) + x }

func (d *decaying) take(now Micros, x float64) { d.sum = max(0, d.read(now)-x) }

// pace learns the core time of an operation for each unit of expected work, and has those that are held.
type pace struct {
	spent, units decaying
	line         []*invocation // held, in order of arrival
	waits        float64       // their units
	low, high    float64       // of units, since the line was last empty
}

func (p *pace) ratio(now Micros) float64 { return p.spent.read(now) / p.units.read(now) }

func bySeq(inv *invocation, seq int) int { return inv.seq - seq }

// without takes one out of a list in order of arrival.
func without(list []*invocation, inv *invocation) []*invocation {
	n, there := slices.BinarySearchFunc(list, inv.seq, bySeq)
	switch {
	case !there:
		return list
	case n < len(list)/2: // the oldest mostly: the shorter side moves
		copy(list[1:n+1], list[:n])
		list[0] = nil
		return list[1:]
	}
	return slices.Delete(list, n, n+1)
}

// wait is a time that callers wait for a try, as a part of the client timeout, and how many told it.
type wait struct {
	part float64
	seen decaying
}

// unusual stands in for the retry mark where none is given: callers wait the same for each first try, and
// for a later one what is left.
func (b *Backend) unusual(now Micros, a Arrived, op *Operation) bool {
	part, least := float64(a.QueueTime+a.TimeLeft)/float64(op.ClientTimeout), &b.waits[0]
	for n := range b.waits {
		w := &b.waits[n]
		w.seen.read(now)
		if math.Abs(w.part-part) < math.Abs(least.part-part) {
			least = w
		}
	}
	if math.Abs(least.part-part) >= sameWait {
		for n := range b.waits {
			if w := &b.waits[n]; w.seen.sum < least.seen.sum {
				least = w
			}
		}
		*least = wait{part, over(paceOver)}
	}
	least.seen.add(now, 1)
	return a.TimeLeft > 0 && least.seen.sum < usualWait*b.usual.read(now)
}

// become changes a phase, and what is counted by it.
func (b *Backend) become(inv *invocation, to phase) {
	p := inv.pace
	b.in[inv.phase]--
	b.in[to]++
	if inv.phase == held {
		p.line, p.waits = without(p.line, inv), p.waits-inv.unit
		if len(p.line) == 0 {
			p.waits = 0
		}
	}
	if factor := b.t.RunFactor - 1; to != held && to != reusing && (inv.phase == held || inv.phase == reusing) {
		b.kb += inv.kb * factor
	} else if inv.phase != held && inv.phase != reusing && (to == held || to == reusing) {
		b.kb -= inv.kb * factor
	}
	inv.phase = to
}

// New makes an instance; its first event is Opened.
func New(t Config, seed uint64) *Backend {
	b := &Backend{
		t: t, chance: seed, byID: map[string]*invocation{}, kept: map[string]*entry{},
		paces: make([]pace, len(t.Operations)), before: make([]float64, len(t.Operations)),
		tenants: make([]decaying, len(t.QuotaPerSecond)),
		drainAt: never, stopAt: never,
		reads: over(retryWindow), retries: over(retryWindow), usual: over(paceOver),
		firstCalls: over(callRetryOver), retryCalls: over(callRetryOver),
		callTook: over(callUsualOver), callsEnded: over(callUsualOver),
		callSpent: over(lately), callsLate: over(lately),
		callMean: over(max(t.CallQuotaWindow/5, 1)),
		spent:    over(lately), earned: over(lately), ended: over(lately),
	}
	b.t.Cores, b.t.FleetSize, b.t.Callers = max(t.Cores, 1), max(t.FleetSize, 1), max(t.Callers, 1)
	b.tick = max(min(tickMost, t.AnswerSlack/3), t.BatchInterval, 1000)
	b.t.Operations = slices.Clone(t.Operations)
	for n := range b.paces {
		if op := &b.t.Operations[n]; op.Value <= 0 || t.ValuePerWork {
			op.Value = 1 // not told, or all are alike for their length
		}
		b.paces[n] = pace{spent: over(paceOver), units: over(paceOver)}
	}
	for n := range b.tenants {
		b.tenants[n] = over(lately)
	}
	return b
}

// random is a permuted congruential generator; it returns a value in [0, 1).
func (b *Backend) random() float64 {
	b.chance = b.chance*6364136223846793005 + 1442695040888963407
	x := uint32(((b.chance >> 18) ^ b.chance) >> 27)
	rot := uint32(b.chance >> 59)
	return float64(x>>rot|x<<(-rot&31)) / (1 << 32)
}

// Decide takes what happened and appends what is to be done.
func (b *Backend) Decide(now Micros, ev Event, out []Action) []Action {
	switch e := ev.(type) {
	case Opened:
		b.opened, b.readAt, b.nextAt, b.moved, b.healthy = now, now, now+b.tick, now, true
		return append(out, SetHealth{Good: true, FromStore: true}, Wake{At: b.nextAt, Token: token})
	case Arrived:
		out = b.arrive(now, e, out)
	case Launched:
		if inv := b.byID[e.ID]; inv != nil && inv.phase == held {
			b.start(inv)
		}
	case Finished:
		out = b.finished(now, e, out)
	case CallerGone:
		if inv := b.byID[e.ID]; inv != nil {
			out = b.leave(now, inv, out)
		}
	case NeedsCall:
		if inv := b.byID[e.ID]; inv != nil && !inv.answered {
			b.become(inv, atCall)
			inv.notUntil, inv.leftAt = now, b.coreTime
			b.begun--
			if b.count(atCall) > callWaitCore*float64(b.t.Cores) {
				out = b.leaveCall(now, inv, out)
			}
		}
	case CallReturned:
		out = b.returned(now, e, out)
	case DrainNotice:
		b.drainAt, b.stopAt = now, now+e.Left
		out = b.settle(now, b.health(now, out)) // the stop may come before the next reading
	case Reading:
		if now < b.nextAt {
			return out // a timer of another life
		}
		b.nextAt = now + b.tick
		out = append(b.reading(now, e, out), Wake{At: b.nextAt, Token: token})
	}
	return b.fill(now, b.calls(now, out))
}

// arrive is the ordinary path of an invocation, from the count of its mark to its line.
func (b *Backend) arrive(now Micros, a Arrived, out []Action) []Action {
	op := &b.t.Operations[a.Operation]
	a.Retry = a.Retry || b.t.RetriesUnmarked && b.unusual(now, a, op)
	b.reads.add(now, 1)
	b.usual.add(now, 1)
	if a.Retry {
		b.retries.add(now, 1)
	}
	if a.QueueTime < op.Objective/2 {
		b.moved = now
	} else {
		b.lateAt = now
	}
	inv := &invocation{}
	if n := len(b.spare); n > 0 {
		inv, b.spare = b.spare[n-1], b.spare[:n-1]
	}
	b.seq++
	*inv = invocation{
		id: a.ID, seq: b.seq, op: op, pace: &b.paces[a.Operation], rank: a.Priority, kb: a.MemoryKB, unit: 1,
		unread: max(a.QueueTime, a.ShedFor), arrived: now - a.QueueTime, due: now + a.TimeLeft, retry: a.Retry,
		of: a.Operation, tenant: a.Tenant,
	}
	if a.TimeLeft <= 0 {
		inv.due = max(now, inv.arrived+op.ClientTimeout)
	}
	if a.ExpectedWork > 0 {
		inv.unit = float64(a.ExpectedWork)
	}
	inv.wantBy = min(inv.due, inv.arrived+op.Objective+Micros(op.ObjectiveStretch*float64(a.ExpectedWork)))
	if inv.pace.units.sum == 0 { // a first guess, soon outweighed
		inv.pace.units.add(now, inv.unit)
		inv.pace.spent.add(now, max(float64(a.ExpectedWork), float64(op.Objective)/8))
	}
	b.hand = append(b.hand, inv)
	b.byID[a.ID] = inv
	b.in[held]++
	b.kb += inv.kb
	p := inv.pace
	if len(p.line) == 0 {
		p.low, p.high = inv.unit, inv.unit
	}
	p.line, p.waits = append(p.line, inv), p.waits+inv.unit
	p.low, p.high = min(p.low, inv.unit), max(p.high, inv.unit)

	// Guards: a repeat never runs again; nothing is taken after the grace, beyond memory, or against a level.
	late := inv.arrived > b.drainAt+b.t.DrainGrace || now >= b.lastCall()
	if a.RepeatOf != "" && op.RetrySafety == IdempotencyKeyed {
		if late || inv.due <= now {
			return b.leave(now, inv, append(out, Fail{inv.id}))
		}
		b.become(inv, reusing)
		return append(out, Reuse{a.ID})
	}
	if late || a.ShedFor > 0 || b.memory() > holdMemory*b.t.MemoryKB {
		return b.throttle(now, inv, out, false)
	}

	// Beyond its part of a tenant's quota, an invocation ranks as what it is worth. Where a
	// backend gets more than an even part of all traffic, the parts grow with what it admits.
	if a.Tenant < len(b.tenants) && b.t.QuotaPerSecond[a.Tenant] > 0 {
		total, quotas := 0.0, 0.0
		for n := range b.tenants {
			total, quotas = total+b.tenants[n].read(now), quotas+b.t.QuotaPerSecond[n]
		}
		quota := b.t.QuotaPerSecond[a.Tenant]
		even := quota / float64(b.t.FleetSize) * lately / 1e6
		even += tenantSlack * math.Sqrt(even) // of one invocation a second two may come, of ten hardly twenty
		over := b.tenants[a.Tenant].read(now) >= max(even, total*quota/quotas)
		if a.Quota != QuotaUnknown { // the fleet's division knows more than the fleet's size tells
			over = a.Quota == OverQuota
		}
		if over {
			inv.rank *= shareRank * b.t.OverQuotaValue
		} else {
			inv.rank = shareRank + (1-shareRank)*inv.rank
		}
	}

	// The gate: the smoothed run queue against the threshold of this rank, on busy cores.
	if b.hopeless(now, inv, b.ahead(now, op.Value)-b.cost(now, inv)) {
		return b.throttle(now, inv, out, b.callHopeless(now, inv))
	}
	if b.busy() && b.pressure() > b.threshold(now, inv.rank) {
		return b.throttle(now, inv, out, false)
	}

	// Taken: from here on it is remembered, and waits in the short or the long line.
	if op.RetrySafety == IdempotencyKeyed {
		if b.memory()+b.t.IdempotencyKeyKB > holdMemory*b.t.MemoryKB {
			return b.throttle(now, inv, out, false)
		}
		b.kept[inv.id] = &entry{until: now + op.RepeatWindow}
		out = append(out, Remember{inv.id, op.RepeatWindow})
	}
	if a.Tenant < len(b.tenants) {
		b.tenants[a.Tenant].add(now, 1)
	}
	inv.taken = true
	b.since++
	return out
}

// busy: by their gauge of late, and as many wanting one as there are.
func (b *Backend) busy() bool { return b.coreUse >= busyShare && b.crowded() }

// crowded: at least as many on the cores as there are.
func (b *Backend) crowded() bool { return b.onCores+b.begun >= float64(b.t.Cores) }

// pressure is the smoothed run queue with what is known to have come and gone since.
func (b *Backend) pressure() float64 { return b.queue + b.since }

// threshold rises with rank from little above the cores to below the survivable crowd. A few that come
// together by chance double the queue of two cores and hardly move that of many: they must not close the
// gate, least of all to high ranks.
func (b *Backend) threshold(now Micros, rank float64) float64 {
	low := min(lowPerCore*float64(b.t.Cores)+lowBurst, b.crowd(now))
	top := max(low, min(topPerCore*float64(b.t.Cores)+burst, b.crowd(now)))
	return low + (top-low)*rank
}

// crowd is how many runs may be on the cores: a part of what is survived, less while cold.
func (b *Backend) crowd(now Micros) float64 {
	speed := 1.0
	if b.t.JustStarted && now < b.opened+b.t.WarmUp {
		speed = b.t.ColdSpeed + (1-b.t.ColdSpeed)*float64(now-b.opened)/float64(b.t.WarmUp)
	}
	return max(1, crowdSafety*float64(b.t.Cores)*(1+(b.t.CollapseMultiple-1)*speed))
}

// drag is how many times more core time runs take of late than they did. Runs that have
// not ended count with the time they have had, so it sees work that hangs or crawls, for
// whatever reason, though nothing finishes to tell of it. Rare very long work can raise it
// for a while; it falls back by itself once nothing runs.
func (b *Backend) drag(now Micros) float64 {
	prior := dragPrior * float64(b.t.Cores)
	earned := b.earned.read(now)
	if b.count(held) <= 1 { // no line: what runs is not late yet
		earned += b.earning
	}
	return max(1, (b.spent.read(now)+prior)/(earned+prior))
}

// cost is the core time that a run is expected to need here as things are.
func (b *Backend) cost(now Micros, inv *invocation) float64 {
	return inv.unit * inv.pace.ratio(now) * b.drag(now)
}

// ahead is the core time of what is held and runs before one of this value that comes now: what is worth less
// yields. Of a value of 0 it is all.
func (b *Backend) ahead(now Micros, value float64) float64 {
	sum := 0.0
	for n := range b.paces {
		if p := &b.paces[n]; len(p.line) > 0 {
			sum += p.waits * p.ratio(now) * b.drag(now) * min(1, b.t.Operations[n].Value/value)
		}
	}
	return sum
}

// hopeless: with what is held before it and what runs beside it, it ends after its objective.
// It holds against any cause of slowness; it harms where costs are guessed far too high.
func (b *Backend) hopeless(now Micros, inv *invocation, before float64) bool {
	if !b.crowded() {
		return b.callHopeless(now, inv)
	}
	cores := float64(b.t.Cores)
	ends := b.callTime(now, inv.op) + before/cores + b.cost(now, inv)*max(1, (b.onCores+b.begun)/cores)
	return now+Micros(ends) > min(inv.wantBy, b.lastCall())
}

// callHopeless: the call below would keep it beyond its objective, however free the cores are.
// Long work must not pass for a slow call, so at most half of the time left is set aside for it.
func (b *Backend) callHopeless(now Micros, inv *invocation) bool {
	left := max(0, float64(inv.wantBy-now))
	return b.callTime(now, inv.op) > left-min(b.cost(now, inv), left/2)
}

// lastCall is when everything must be answered before the process is stopped.
func (b *Backend) lastCall() Micros { return b.stopAt - 3*b.tick }

// fill starts what waits, while the cores, the crowd and the memory have room.
func (b *Backend) fill(now Micros, out []Action) []Action {
	for b.onCores+b.begun < math.Floor(runPerCore*float64(b.t.Cores)) {
		inv := b.next(now)
		on := b.count(running) + b.count(atCall) + b.count(calling)
		if inv == nil || on+1 > b.crowd(now) ||
			b.memory()+inv.kb*(b.t.RunFactor-1) > startMemory*b.t.MemoryKB {
			break
		}
		out = append(out, Start{inv.id})
		if b.t.ConfirmStarts {
			break
		}
		b.start(inv)
	}
	return out
}

func (b *Backend) start(inv *invocation) {
	b.become(inv, running)
	inv.began = b.coreTime
	if e := b.kept[inv.id]; e != nil {
		e.ran = true
	}
	b.begun++
}

// next is, of the heads of each operation's short and long line, the one that waited longest for its length,
// a dearer operation so many times longer as it is worth more.
func (b *Backend) next(now Micros) (best *invocation) {
	mean, n, most := b.ahead(now, 0), b.count(held), 0.0
	for k := range b.paces {
		p := &b.paces[k]
		var had [2]bool
		for _, inv := range p.line {
			line, cost := 0, b.cost(now, inv)
			if cost*n > mean {
				line = 1
			}
			if ratio := float64(now-inv.arrived+1) / cost * inv.op.Value; !had[line] && (best == nil || ratio > most) {
				best, most = inv, ratio
			}
			had[line] = true
			if p.low == p.high || had[0] && had[1] { // the others are like those seen, and came later
				break
			}
		}
	}
	return best
}

func (b *Backend) count(p phase) float64 { return float64(b.in[p]) }

// memory is what held, running and remembered invocations take.
func (b *Backend) memory() float64 { return float64(len(b.kept))*b.t.IdempotencyKeyKB + b.kb }

// throttle turns away what never ran, in words chosen from the recent retry share. What waits too long below
// is everyone's trouble: no try elsewhere, and this backend has room for other work.
func (b *Backend) throttle(now Micros, inv *invocation, out []Action, below bool) []Action {
	cut := retryCut + (retryCutTop-retryCut)*inv.rank
	if b.t.RetriesUnmarked {
		cut *= unusualFound
	}
	marked := b.retries.read(now) > cut*b.reads.read(now)
	told := Throttle{ID: inv.id, RetryAfter: b.stayAway(now, inv), DontRetry: marked}
	if below {
		told.RetryAfter, told.DontRetry = 0, true
	}
	return b.drop(inv, append(out, told))
}

// stayAway is the time in which the excess over this rank's threshold drains, or as long as
// this invocation waited to be read: what is sent now would wait as long. Gauges do not show
// what stands unread before a server that barely reads. On a short pause it may be too long.
func (b *Backend) stayAway(now Micros, inv *invocation) Micros {
	if b.drainAt != never {
		return b.t.MaxRetryAfter
	}
	excess := max(1, b.pressure()-b.threshold(now, inv.rank)) / float64(b.t.Cores)
	usual := (b.earned.read(now) + b.cost(now, inv)) / (b.ended.read(now) + 1)
	away := excess * usual * b.drag(now) * (0.75 + 0.5*b.random())
	return min(max(Micros(away), inv.unread, awayLeast), b.t.MaxRetryAfter)
}

// leave ends what nobody waits for; what is on the cores stays in hand until it has left them.
func (b *Backend) leave(now Micros, inv *invocation, out []Action) []Action {
	if inv.phase == held || inv.phase == reusing {
		return b.drop(inv, out)
	}
	inv.answered = true
	return b.stop(now, inv, out)
}

// drop forgets an invocation that is over; an entry of one that never ran goes too.
func (b *Backend) drop(inv *invocation, out []Action) []Action {
	b.become(inv, reusing) // it takes no more than what is held
	b.in[reusing]--
	b.hand, b.kb = without(b.hand, inv), b.kb-inv.kb
	if len(b.hand) == 0 {
		b.kb = 0
	}
	delete(b.byID, inv.id)
	b.spare = append(b.spare, inv)
	if inv.taken {
		b.since--
	}
	if e := b.kept[inv.id]; e != nil && !e.ran {
		delete(b.kept, inv.id)
		out = append(out, Forget{inv.id})
	}
	return out
}

// stop takes work that nobody waits for off the cores. Effects that must not happen
// twice are left to finish, so that their repeats find a result.
func (b *Backend) stop(now Micros, inv *invocation, out []Action) []Action {
	if b.t.Preemption == NoPreemption || inv.phase != running || inv.op.RetrySafety != Idempotent ||
		now < inv.stopped+10*b.tick {
		return out
	}
	inv.stopped = now
	return append(out, Stop{inv.id})
}

// worthless: it runs past its objective, a late answer has no value, and its cores can be
// freed. It guards against runs that crawl for whatever reason.
func (b *Backend) worthless(now Micros, inv *invocation) bool {
	return inv.phase == running && inv.op.RetrySafety == Idempotent && inv.op.LateValue == 0 &&
		b.t.Preemption != NoPreemption && now > inv.wantBy && b.crowded()
}

func (b *Backend) finished(now Micros, e Finished, out []Action) []Action {
	inv := b.byID[e.ID]
	if inv == nil {
		return out
	}
	switch e.Outcome {
	case OK:
		b.moved = now
	case Unrunnable: // as if never read: a flood of what nobody asked for must not pass for load or first tries
		b.reads.take(now, 1)
		if inv.retry {
			b.retries.take(now, 1)
		}
		if inv.tenant < len(b.tenants) {
			b.tenants[inv.tenant].take(now, 1)
		}
		b.begun--
		return b.drop(inv, out)
	}
	if inv.phase == calling {
		b.lingering = append(b.lingering, now+b.t.AbandonedCallLinger)
	}
	if inv.phase != reusing && inv.phase != held {
		b.begun--
		if inv.phase != running {
			b.resume(inv)
		}
		had, expected := max(1, b.coreTime-inv.began), inv.unit*inv.pace.ratio(now)
		if e.Outcome == OK {
			inv.pace.spent.add(now, had)
			inv.pace.units.add(now, inv.unit)
		} else {
			expected = min(expected, had) // it may have been cut short
		}
		b.earned.add(now, expected)
		b.ended.add(now, 1)
	}
	if e.Outcome == Canceled && !inv.answered {
		out = append(out, Fail{inv.id})
	}
	return b.drop(inv, out)
}

// usualCall is what a call that succeeds takes here.
func (b *Backend) usualCall(now Micros) float64 {
	return (b.callTook.read(now) + 1000) / (b.callsEnded.read(now) + 0.01)
}

// lateCall is what a call takes of late, those not ended included.
func (b *Backend) lateCall(now Micros) float64 {
	return (b.callSpent.read(now) + b.usualCall(now)) / (b.callsLate.read(now) + 1)
}

// room is the part of our share below that is used: the slower calls are of late against the
// usual, the less. A dependency that crowds, hangs or is gone shows here alike, and what it
// holds, abandoned calls too, is what slows it. Where calls differ much in length by
// themselves, some room is given away.
func (b *Backend) room(now Micros) float64 {
	return b.t.CallQuota * min(1, callSlowFrom*b.usualCall(now)/b.lateCall(now))
}

// callTime is how long an invocation would be at its call, with those that wait before it.
func (b *Backend) callTime(now Micros, op *Operation) float64 {
	if !op.MakesCalls || op.ValueWithoutCall > 0 {
		return 0
	}
	return b.lateCall(now) * (1 + b.count(atCall)/max(1, math.Floor(b.room(now))))
}

// calls makes the calls that are waited for, in order, within this backend's share.
func (b *Backend) calls(now Micros, out []Action) []Action {
	for len(b.lingering) > 0 && b.lingering[0] <= now {
		b.lingering = b.lingering[1:]
	}
	below := b.count(calling) + float64(len(b.lingering))
	if b.in[atCall] == 0 {
		return out
	}
	room := b.room(now)
	for _, inv := range b.hand {
		if inv.phase != atCall || inv.answered || inv.notUntil > now {
			continue
		}
		full := below >= max(1, math.Floor(room)) || b.callMean.read(now) > 0.9*room*b.callMean.over
		if b.t.SharedDependency && full {
			break
		}
		if inv.attempts == 0 {
			b.firstCalls.add(now, 1)
		} else {
			b.retryCalls.add(now, 1)
		}
		inv.attempts++
		b.become(inv, calling)
		below++
		within := min(inv.due, b.lastCall()) - now
		if b.callsEnded.read(now) > 0 {
			within = min(within, Micros(8*b.usualCall(now))+inv.op.Objective/8)
		}
		out = append(out, Call{ID: inv.id, Timeout: max(within, 1000)})
	}
	return out
}

func (b *Backend) returned(now Micros, e CallReturned, out []Action) []Action {
	inv := b.byID[e.ID]
	if inv == nil || inv.phase != calling {
		return out
	}
	if e.Outcome == OK {
		b.callTook.add(now, float64(e.Took))
		b.callsEnded.add(now, 1)
		b.callsLate.add(now, 1)
		b.resume(inv)
		return out
	}
	if e.Outcome == TimedOut {
		b.lingering = append(b.lingering, now+b.t.AbandonedCallLinger)
	}
	b.become(inv, atCall)
	if inv.answered {
		return out
	}
	if inv.op.RetrySafety == Idempotent && inv.attempts < callAttempts &&
		b.retryCalls.read(now)+1 <= callRetryPart*b.firstCalls.read(now) {
		inv.notUntil = now + b.tick<<inv.attempts
		return out
	}
	return b.leaveCall(now, inv, out)
}

// resume is a run back on the cores; its time at the call is not core time.
func (b *Backend) resume(inv *invocation) {
	b.become(inv, running)
	b.begun++
	inv.attempts = 0
	inv.began += b.coreTime - inv.leftAt
}

// leaveCall gives up on a call: skipped where allowed, else don't retry or an error.
func (b *Backend) leaveCall(now Micros, inv *invocation, out []Action) []Action {
	if inv.op.ValueWithoutCall > 0 {
		b.resume(inv)
		return append(out, SkipCall{inv.id})
	}
	if inv.op.RetrySafety == Idempotent {
		return b.leave(now, inv, append(out, Throttle{ID: inv.id, DontRetry: true}))
	}
	return b.leave(now, inv, append(out, Fail{inv.id}))
}

// reading brings the gauges up to date.
func (b *Backend) reading(now Micros, r Reading, out []Action) []Action {
	cores, span := float64(b.t.Cores), float64(now-b.readAt)
	share := span / max(1, (b.onCores+r.OnCores)/2/cores)
	b.coreTime += share
	b.spent.add(now, share*b.count(running))
	b.earning = 0
	for _, inv := range b.hand {
		if inv.phase == running {
			b.earning += min(b.coreTime-inv.began, inv.unit*inv.pace.ratio(now))
		}
	}
	b.callMean.add(now, (b.count(calling)+float64(len(b.lingering)))*span)
	b.callSpent.add(now, b.count(calling)*span)
	b.readAt, b.coreUse, b.onCores = now, r.CoreUse, r.OnCores
	if r.CoreUse < 0 {
		b.coreUse = 1 // not told: the run queue alone says whether they are busy
	}
	if r.OnCores < 0 {
		b.onCores = b.count(running)
	}
	sample := b.onCores + b.count(held)
	b.queue += b.since // known at once; the rest of the difference is smoothed
	b.queue += (sample - b.queue) * (1 - math.Exp(-span/smoothing))
	b.readers += (max(0, b.onCores-b.count(running)) - b.readers) * (1 - math.Exp(-span/readersOver))
	b.since, b.begun = 0, 0

	for id, e := range b.kept {
		if e.until <= now {
			delete(b.kept, id)
		}
	}
	return b.connections(now, b.advertise(now, b.health(now, b.settle(now, out))))
}

// settle answers what can wait no longer, and what has no hope left.
func (b *Backend) settle(now Micros, out []Action) []Action {
	clear(b.before)
	b.seen = append(b.seen[:0], b.hand...)
	for _, inv := range b.seen {
		due := now+b.tick >= min(inv.due, b.lastCall())
		if inv.phase == held && !due {
			before := 0.0
			for n := range b.before {
				before += b.before[n] * min(1, b.t.Operations[n].Value/inv.op.Value)
			}
			if !b.hopeless(now, inv, before) {
				b.before[inv.of] += b.cost(now, inv)
				continue
			}
		}
		switch {
		case inv.answered:
			out = b.stop(now, inv, out)
		case inv.phase == held:
			out = b.throttle(now, inv, out, b.callHopeless(now, inv))
		case due:
			out = b.leave(now, inv, append(out, Fail{inv.id}))
		case inv.phase == atCall && now > inv.wantBy:
			out = b.leaveCall(now, inv, out)
		case b.worthless(now, inv):
			out = b.leave(now, inv, append(out, Throttle{ID: inv.id, DontRetry: true}))
		}
	}
	return out
}

// health: a backend whose full cores have for long ended no run, and read little, and that late, tells who
// checks to pass it by; its other answers come too late. It guards against machines that stall, crawl or lose
// their disk. It acts late on purpose: an overload that moves is not sickness, nor is one that makes it read
// more than it did. Each backend that leaves the list sends its load to the next, until all are unhealthy.
func (b *Backend) health(now Micros, out []Action) []Action {
	took := b.earned.read(now) / max(b.ended.read(now), 0.01)
	reads, usual := b.reads.read(now)/retryWindow, b.usual.read(now)/paceOver
	if b.crowded() && b.lateAt > b.moved && reads < stuckReads*usual &&
		now > b.moved+max(stuckLeast, Micros(stuckCosts*took)) {
		b.sickTill = now + stuckFor
	}
	if good := now >= b.sickTill && b.drainAt == never; good != b.healthy {
		b.healthy = good
		out = append(out, SetHealth{Good: good, FromStore: true})
	}
	return out
}

// advertise sends the free value, in the meaning that callers here give to it.
func (b *Backend) advertise(now Micros, out []Action) []Action {
	value, cores := 1.0, float64(b.t.Cores)
	load := b.pressure() / cores
	switch b.t.AdvertisedValue {
	case NothingAdvertised:
		return out
	case CallerAllowance:
		value = cores * topPerCore / float64(b.t.Callers) * min(1, lowPerCore/max(load, 0.1)) / b.drag(now)
	case TrafficWeight:
		value = max(leastValue, min(1, busyShare/max(load, 0.1))/b.drag(now))
	}
	if now < b.sickTill {
		value = leastValue
	}
	if math.Abs(value-b.value) <= 0.05*max(value, b.value) {
		return out
	}
	b.value = value
	return append(out, Advertise{value})
}

// connections: where callers come back only after long, an idle connection costs the cores more than
// opening it anew, and takes the room of others. It guards against callers by the hundred, each with
// little to send; where they are few nothing is closed. In a storm, where each try opens one, a full table
// keeps the rest out at no cost.
func (b *Backend) connections(now Micros, out []Action) []Action {
	age := float64(now - b.opened)
	rate := max(1, b.reads.read(now)) / (retryWindow * (1 - math.Exp(-age/retryWindow)))
	gap, limit, after := float64(b.t.Callers)/rate, restMost, b.t.IdleTimeout
	if b.sparse {
		limit /= 2
	}
	if b.readers > stormReads*float64(b.t.Cores) {
		b.stormTill = now + stormFor
	}
	sparse := gap > limit && now >= b.stormTill
	if age < paceSoon || b.t.IdleTimeout <= restLeast || b.t.Callers <= fewCallers*b.t.Cores || b.sparse == sparse {
		return out
	}
	if b.sparse = !b.sparse; b.sparse {
		after = restLeast
	}
	return append(out, CloseIdle{after})
}
