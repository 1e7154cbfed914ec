package simulation

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
)

// Decider decides for one life of one host: admit.Backend, unchanged, or a baseline that speaks the same events and
// actions.
type Decider interface {
	Decide(now admission.Micros, ev admission.Event, out []admission.Action) []admission.Action
}

// host is one backend machine and the process on it.
type host struct {
	number      int32
	incarnation uint32
	up          bool
	policy      Decider

	cores            sharedWork
	baseSpeed        float64 // speed of its own
	slowdown         float64 // slower by so much
	coreShare        float64 // part of the cores that is left to it
	warmUpSpeed      float64 // speed of a cold one
	startedAt        Micros
	firstAttempt     int32 // attempts in hand, the latest first
	inFlight         int
	queued           int
	running          int // on the cores
	reading          int
	inCalls          int
	memory           float64
	keyKB            float64
	connections      int
	idleTimeout      Micros
	healthy          bool
	draining         bool
	noticedAt        Micros // of the notice
	exitsAt          Micros
	overloadedAt     Micros // beyond its crowd since; 0: it is not
	busyMicros       float64
	busyUpdatedAt    Micros
	busyAtReading    float64 // at the last reading
	readingAt        Micros
	busyAtSecond     float64 // at the last second
	clockSkew        Micros
	managedByAgent   bool // an agent with the real fleet starts and stops it
	cachedResults    map[string]*cachedResult
	resultsByRequest map[uint64]string
	degradation      *degradationState
}

// cachedResult is a remembered request.
type cachedResult struct {
	expiresAt Micros
	ended     bool
	succeeded bool
	attempt   int32
}

// reduced is a ladder of levels on one host.
type degradationState struct {
	controller *degradation.Controller
	shedder    *degradation.Shedder
	signals    *degradation.SignalMeter
}

// startProcess starts a process on a host.
func (w *world) startProcess(h *host, cold bool) error {
	h.incarnation++
	w.result.Incarnations++
	h.up, h.healthy, h.draining = true, true, false
	h.startedAt, h.readingAt, h.busyUpdatedAt = w.now, w.now, w.now
	h.busyMicros, h.busyAtReading, h.busyAtSecond = 0, 0, 0
	h.warmUpSpeed, h.idleTimeout = 1, w.scenario.Hosts.IdleTimeout
	h.queued, h.running, h.reading, h.inCalls, h.inFlight, h.connections, h.overloadedAt = 0, 0, 0, 0, 0, 0, 0
	h.memory, h.firstAttempt = 0, none
	h.cores = sharedWork{updatedAt: w.now, jobs: h.cores.jobs[:0], generation: h.cores.generation + 1}
	h.cachedResults, h.resultsByRequest = nil, nil
	seed := w.policySeed ^ uint64(h.number)<<20 ^ uint64(h.incarnation)
	h.policy = w.policy.New(w.scenario.AdmissionConfig(cold), seed)
	if l := w.policy.Degradation; l != nil {
		shedder, err := degradation.NewShedder(l, w.scenario.operationNames(), w.scenario.tenantNames(), seed)
		if err != nil {
			return err
		}
		h.degradation = &degradationState{controller: degradation.NewController(l), shedder: shedder, signals: degradation.NewSignalMeter(w.scenario.Hosts.Cores)}
	}
	if cold && w.scenario.Hosts.WarmUp > 0 {
		h.warmUpSpeed = w.scenario.Hosts.ColdSpeed
		if h.degradation != nil {
			h.degradation.signals.SetWarmingUntil(degradation.Micros(w.now + w.scenario.Hosts.WarmUp))
		}
		w.queue.push(event{at: w.now + w.scenario.Hosts.WarmUp/20 + 1, kind: evWarmUp, subject: h.number, gen: h.incarnation})
	}
	w.startQuotas(h)
	w.decide(h, admission.Opened{})
	w.queue.push(event{at: w.now + w.scenario.Registry.Lag, kind: evListed, subject: h.number, detail: 1})
	return nil
}

func (s *Scenario) operationNames() (names []string) {
	for _, op := range s.Operations {
		names = append(names, op.Name)
	}
	return names
}

func (s *Scenario) tenantNames() (names []string) {
	for _, t := range s.Tenants {
		names = append(names, t.Name)
	}
	return names
}

// reachHost is an attempt at its host's door.
func (w *world) reachHost(j int32) {
	att := &w.attempts[j]
	h := &w.hosts[att.host]
	req := &w.requests[att.request]
	back := w.scenario.Nodes.NetworkDelay
	if !h.up {
		w.reject(j, Unreachable, back)
		return
	}
	opened, ok := w.connect(att, h)
	if !ok {
		w.reject(j, Unreachable, back)
		return
	}
	att.incarnation = h.incarnation
	att.atHost, att.phase, att.reachedAt, att.dueAt = true, phaseUnread, w.now, req.due-back
	att.prev, att.next = none, h.firstAttempt
	if h.firstAttempt != none {
		w.attempts[h.firstAttempt].prev = j
	}
	h.firstAttempt = j
	h.inFlight++
	work := float64(w.scenario.Hosts.ReadWork)
	if opened {
		work += float64(w.scenario.Hosts.HandshakeWork)
	}
	w.advanceCores(h)
	h.reading++
	h.cores.push(job{end: h.cores.progress + work, attempt: j, generation: att.gen, stage: 0})
	w.updateCores(h)
}

// reject is a word from the network, not from the process.
func (w *world) reject(j int32, out Outcome, after Micros) {
	att := &w.attempts[j]
	att.outcome = out
	w.queue.push(event{at: w.now + after, kind: evAnswer, subject: j, gen: att.gen})
}

// requestRead hands a request to the policy.
func (w *world) requestRead(h *host, j int32) {
	att := &w.attempts[j]
	req := &w.requests[att.request]
	op := &w.scenario.Operations[req.operation]
	h.reading--
	if att.callerGone { // taken back before it was read
		w.updateCores(h)
		w.leaveHost(h, j)
		return
	}
	att.phase, att.readAt = phaseQueued, w.now
	att.dueAt = max(att.dueAt, w.now) // what is read too late is owed an answer at once
	h.queued++
	h.memory += w.scenario.Hosts.RequestKB
	w.updateCores(h)
	w.trace.record(w, req.number, att, "read")
	hint := req.hint
	if w.policy.KnowsWork {
		hint = Micros(req.work)
	}
	ev := admission.Arrived{
		ID: att.id, Operation: int(req.operation), Tenant: int(req.tenant), Priority: op.Priority, Retry: att.retry,
		ExpectedWork: hint, QueueTime: w.now - att.reachedAt, TimeLeft: max(1, att.dueAt-w.now), MemoryKB: w.scenario.Hosts.RequestKB,
	}
	if op.RetrySafety == admission.IdempotencyKeyed {
		if id := h.resultsByRequest[req.number]; id != "" && h.cachedResults[id] != nil && h.cachedResults[id].expiresAt > w.now {
			ev.RepeatOf = id
		}
	}
	if r := h.degradation; r != nil {
		now := degradation.Micros(w.now)
		if r.shedder.ShouldShed(r.controller.Level(), r.controller.Depth(now), int(req.operation), int(req.tenant), op.Priority, degradation.Micros(req.hint)) {
			ev.ShedFor, att.shed = 1, true
			w.result.Shed++
		} else {
			r.signals.Count(now, degradation.Arrivals)
			if att.retry {
				r.signals.Count(now, degradation.RetriedArrivals)
			}
		}
	}
	if ev.ShedFor == 0 && len(w.scenario.Tenants) > 0 {
		ev.Quota = w.drawQuota(h, int(req.tenant))
		att.quotaDrawn = ev.Quota == admission.WithinQuota
	}
	w.decide(h, ev)
	if h.memory+h.keyKB > w.scenario.Hosts.MemoryKB {
		w.audit.breach(w, 4, h, att, "memory ran out")
		w.kill(h, Reset)
	}
}

// decide hands one event to a host's policy and does what it says.
func (w *world) decide(h *host, ev admission.Event) {
	w.result.Decisions++
	var acts [4]admission.Action
	for _, act := range h.policy.Decide(w.now+h.clockSkew, ev, acts[:0]) {
		if h.up {
			w.perform(h, act)
		}
	}
}

// perform carries out one action of a host's policy.
func (w *world) perform(h *host, act admission.Action) {
	switch a := act.(type) {
	case admission.Throttle:
		w.throttle(h, a)
	case admission.Fail:
		if j := w.answerable(h, a.ID); j != none {
			w.answer(h, j, Errored)
			w.dropWaiter(h, j)
		}
	case admission.Start:
		if j := w.inPhase(h, a.ID, phaseQueued); j != none {
			w.startRun(h, j)
		}
	case admission.Stop:
		if j := w.inPhase(h, a.ID, phaseRunning); j != none {
			w.preempt(h, j)
		}
	case admission.Call:
		if j := w.inPhase(h, a.ID, phaseBeforeCall); j != none {
			w.startCall(h, j, a.Timeout)
		}
	case admission.SkipCall:
		if j := w.inPhase(h, a.ID, phaseBeforeCall); j != none {
			w.attempts[j].skipped = true
			w.resumeRun(h, j)
		}
	case admission.Remember:
		w.remember(h, a)
	case admission.Forget:
		if h.cachedResults[a.ID] != nil {
			delete(h.cachedResults, a.ID)
			h.keyKB -= keyKB
		}
	case admission.Reuse:
		if j := w.inFlightAttempt(h, a.ID); j != none {
			w.reuse(h, j)
		}
	case admission.SetHealth:
		w.setHealth(h, a.Good)
	case admission.CloseIdle:
		h.idleTimeout = max(a.After, Second/10)
	case admission.Wake:
		w.queue.pushLane(laneTick, event{at: max(a.At-h.clockSkew, w.now+1), kind: evWake, subject: h.number, detail: int32(a.Token), gen: h.incarnation})
	}
}

// inPhase is the attempt of that id where it is on the host and in that phase, else none.
func (w *world) inPhase(h *host, id string, p phase) int32 {
	if j := w.inFlightAttempt(h, id); j != none && w.attempts[j].phase == p {
		return j
	}
	return none
}

// answerable is the attempt of that id; an answer for one that is not in flight breaks rule 1.
func (w *world) answerable(h *host, id string) int32 {
	j := w.inFlightAttempt(h, id)
	if j == none {
		w.audit.breach(w, 1, h, nil, "an answer for "+id+", which is not in hand")
	}
	return j
}

func (w *world) throttle(h *host, a admission.Throttle) {
	j := w.answerable(h, a.ID)
	if j == none {
		return
	}
	att := &w.attempts[j]
	att.retryIn, att.dontRetry = min(a.RetryAfter, w.scenario.Hosts.MaxRetryAfter), a.DontRetry
	if r := h.degradation; r != nil && att.answers == 0 && !att.shed { // what a level sheds must not keep it
		r.signals.Count(degradation.Micros(w.now), degradation.Rejections)
	}
	w.answer(h, j, Throttled)
	w.dropWaiter(h, j)
}

// keyKB is what an idempotency key takes of a host's memory.
const keyKB = 0.2

func (w *world) remember(h *host, a admission.Remember) {
	j := w.attemptByID(a.ID)
	if j == none {
		return
	}
	if h.cachedResults == nil {
		h.cachedResults, h.resultsByRequest = map[string]*cachedResult{}, map[uint64]string{}
	}
	if k := h.cachedResults[a.ID]; k != nil {
		k.expiresAt = w.now + a.For
		return
	}
	h.cachedResults[a.ID] = &cachedResult{expiresAt: w.now + a.For, attempt: j}
	h.resultsByRequest[w.requests[w.attempts[j].request].number] = a.ID
	h.keyKB += keyKB
}

// setHealth has the registry learn of a change after its lag.
func (w *world) setHealth(h *host, good bool) {
	if good == h.healthy {
		return
	}
	h.healthy = good
	listed := int32(0)
	if good {
		listed = 1
	}
	w.queue.push(event{at: w.now + w.scenario.Registry.Lag, kind: evListed, subject: h.number, detail: listed})
}

// inFlightAttempt is the attempt of that id that this life of a host has in hand.
func (w *world) inFlightAttempt(h *host, id string) int32 {
	j := w.attemptByID(id)
	if j == none || w.attempts[j].host != h.number || w.attempts[j].incarnation != h.incarnation || !w.attempts[j].atHost {
		return none
	}
	return j
}
