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

	cores         shared
	base          float64 // speed of its own
	slow          float64 // slower by so much
	neighbour     float64 // part of the cores that is left to it
	warmth        float64 // speed of a cold one
	born          Micros
	first         int32 // attempts in hand, the latest first
	inHand        int
	held          int
	running       int // on the cores
	reading       int
	atBelow       int
	memory        float64
	keyKB         float64
	conns         int
	idleFor       Micros
	healthy       bool
	draining      bool
	told          Micros // of the notice
	stopAt        Micros
	overAt        Micros // beyond its crowd since; 0: it is not
	busy          float64
	busyAt        Micros
	busyRead      float64 // at the last reading
	readAt        Micros
	busySec       float64 // at the last second
	skew          Micros
	crewed        bool // an agent with the real fleet starts and stops it
	cachedResults map[string]*cachedResult
	byKey         map[uint64]string
	degradation   *degradationState
}

// cachedResult is a remembered request.
type cachedResult struct {
	until Micros
	ended bool
	ok    bool
	at    int32
}

// reduced is a ladder of levels on one host.
type degradationState struct {
	mover  *degradation.Controller
	drawer *degradation.Shedder
	meter  *degradation.SignalMeter
}

// begin starts a process on a host.
func (w *world) begin(h *host, cold bool) error {
	h.incarnation++
	w.res.Lives++
	h.up, h.healthy, h.draining = true, true, false
	h.born, h.readAt, h.busyAt = w.now, w.now, w.now
	h.busy, h.busyRead, h.busySec = 0, 0, 0
	h.warmth, h.idleFor = 1, w.s.Hosts.IdleFor
	h.held, h.running, h.reading, h.atBelow, h.inHand, h.conns, h.overAt = 0, 0, 0, 0, 0, 0, 0
	h.memory, h.first = 0, none
	h.cores = shared{at: w.now, jobs: h.cores.jobs[:0], gen: h.cores.gen + 1}
	h.cachedResults, h.byKey = nil, nil
	seed := w.policy ^ uint64(h.number)<<20 ^ uint64(h.incarnation)
	h.policy = w.p.New(w.s.Terms(cold), seed)
	if l := w.p.Ladder; l != nil {
		drawer, err := degradation.NewShedder(l, w.s.operationNames(), w.s.tenantNames(), seed)
		if err != nil {
			return err
		}
		h.degradation = &degradationState{mover: degradation.NewController(l), drawer: drawer, meter: degradation.NewSignalMeter(w.s.Hosts.Cores)}
	}
	if cold && w.s.Hosts.ColdFor > 0 {
		h.warmth = w.s.Hosts.ColdShare
		if h.degradation != nil {
			h.degradation.meter.SetWarmingUntil(degradation.Micros(w.now + w.s.Hosts.ColdFor))
		}
		w.q.push(event{at: w.now + w.s.Hosts.ColdFor/20 + 1, kind: evCold, a: h.number, gen: h.incarnation})
	}
	w.beginQuotas(h)
	w.decide(h, admission.Opened{})
	w.q.push(event{at: w.now + w.s.Register.Lag, kind: evListed, a: h.number, b: 1})
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

// reach is an attempt at its host's door.
func (w *world) reach(j int32) {
	t := &w.attempts[j]
	h := &w.hosts[t.host]
	a := &w.requests[t.request]
	back := w.s.Nodes.Net
	if !h.up {
		w.refuse(j, Unreachable, back)
		return
	}
	opened, ok := w.link(t, h)
	if !ok {
		w.refuse(j, Unreachable, back)
		return
	}
	t.incarnation = h.incarnation
	t.atHost, t.phase, t.reached, t.due = true, unread, w.now, a.due-back
	t.prev, t.next = none, h.first
	if h.first != none {
		w.attempts[h.first].prev = j
	}
	h.first = j
	h.inHand++
	work := float64(w.s.Hosts.Read)
	if opened {
		work += float64(w.s.Hosts.Handshake)
	}
	w.before(h)
	h.reading++
	h.cores.push(job{end: h.cores.given + work, who: j, gen: t.gen, sub: 0})
	w.after(h)
}

// refuse is a word from the network, not from the process.
func (w *world) refuse(j int32, out Outcome, after Micros) {
	t := &w.attempts[j]
	t.outcome = out
	w.q.push(event{at: w.now + after, kind: evAnswer, a: j, gen: t.gen})
}

// wasRead hands a request to the policy.
func (w *world) wasRead(h *host, j int32) {
	t := &w.attempts[j]
	a := &w.requests[t.request]
	op := &w.s.Operations[a.op]
	h.reading--
	if t.gone { // taken back before it was read
		w.after(h)
		w.leaveHost(h, j)
		return
	}
	t.phase, t.read = held, w.now
	t.due = max(t.due, w.now) // what is read too late is owed an answer at once
	h.held++
	h.memory += w.s.Hosts.HeldKB
	w.after(h)
	w.trace.note(w, a.number, t, "read")
	hint := a.hint
	if w.p.SeesWork {
		hint = Micros(a.work)
	}
	ev := admission.Arrived{
		ID: t.id, Operation: int(a.op), Tenant: int(a.tenant), Priority: op.Rank, Retry: t.retry,
		ExpectedWork: hint, QueueTime: w.now - t.reached, TimeLeft: max(1, t.due-w.now), MemoryKB: w.s.Hosts.HeldKB,
	}
	if op.Repeat == admission.IdempotencyKeyed {
		if id := h.byKey[a.number]; id != "" && h.cachedResults[id] != nil && h.cachedResults[id].until > w.now {
			ev.RepeatOf = id
		}
	}
	if r := h.degradation; r != nil {
		now := degradation.Micros(w.now)
		if r.drawer.ShouldShed(r.mover.Level(), r.mover.Depth(now), int(a.op), int(a.tenant), op.Rank, degradation.Micros(a.hint)) {
			ev.ShedFor, t.shed = 1, true
			w.res.Shed++
		} else {
			r.meter.Count(now, degradation.Arrivals)
			if t.retry {
				r.meter.Count(now, degradation.RetriedArrivals)
			}
		}
	}
	if ev.ShedFor == 0 && len(w.s.Tenants) > 0 {
		ev.Quota = w.drawQuota(h, int(a.tenant))
		t.drew = ev.Quota == admission.WithinQuota
	}
	w.decide(h, ev)
	if h.memory+h.keyKB > w.s.Hosts.MemoryKB {
		w.audit.broken(w, 4, h, t, "memory ran out")
		w.kill(h, Reset)
	}
}

// decide hands one event to a host's policy and does what it says.
func (w *world) decide(h *host, ev admission.Event) {
	w.res.Decisions++
	var acts [4]admission.Action
	for _, act := range h.policy.Decide(w.now+h.skew, ev, acts[:0]) {
		if h.up {
			w.act(h, act)
		}
	}
}

// act carries out one action of a host's policy.
func (w *world) act(h *host, act admission.Action) {
	switch a := act.(type) {
	case admission.Throttle:
		w.throttle(h, a)
	case admission.Fail:
		if j := w.answerable(h, a.ID); j != none {
			w.answer(h, j, Errored)
			w.unreused(h, j)
		}
	case admission.Start:
		if j := w.inPhase(h, a.ID, held); j != none {
			w.start(h, j)
		}
	case admission.Stop:
		if j := w.inPhase(h, a.ID, runs); j != none {
			w.takeOff(h, j)
		}
	case admission.Call:
		if j := w.inPhase(h, a.ID, waitsBelow); j != none {
			w.call(h, j, a.Timeout)
		}
	case admission.SkipCall:
		if j := w.inPhase(h, a.ID, waitsBelow); j != none {
			w.attempts[j].skipped = true
			w.resume(h, j)
		}
	case admission.Remember:
		w.remember(h, a)
	case admission.Forget:
		if h.cachedResults[a.ID] != nil {
			delete(h.cachedResults, a.ID)
			h.keyKB -= keyKB
		}
	case admission.Reuse:
		if j := w.mine(h, a.ID); j != none {
			w.reuse(h, j)
		}
	case admission.SetHealth:
		w.setHealth(h, a.Good)
	case admission.CloseIdle:
		h.idleFor = max(a.After, Second/10)
	case admission.Wake:
		w.q.later(laneTick, event{at: max(a.At-h.skew, w.now+1), kind: evWake, a: h.number, b: int32(a.Token), gen: h.incarnation})
	}
}

// inPhase is the attempt of that id where it is on the host and in that phase, else none.
func (w *world) inPhase(h *host, id string, p phase) int32 {
	if j := w.mine(h, id); j != none && w.attempts[j].phase == p {
		return j
	}
	return none
}

// answerable is the attempt of that id; an answer for one that is not in flight breaks rule 1.
func (w *world) answerable(h *host, id string) int32 {
	j := w.mine(h, id)
	if j == none {
		w.audit.broken(w, 1, h, nil, "an answer for "+id+", which is not in hand")
	}
	return j
}

func (w *world) throttle(h *host, a admission.Throttle) {
	j := w.answerable(h, a.ID)
	if j == none {
		return
	}
	t := &w.attempts[j]
	t.retryIn, t.dont = min(a.RetryAfter, w.s.Hosts.RetryAfter), a.DontRetry
	if r := h.degradation; r != nil && t.answers == 0 && !t.shed { // what a level sheds must not keep it
		r.meter.Count(degradation.Micros(w.now), degradation.Rejections)
	}
	w.answer(h, j, Throttled)
	w.unreused(h, j)
}

// keyKB is what an idempotency key takes of a host's memory.
const keyKB = 0.2

func (w *world) remember(h *host, a admission.Remember) {
	j := w.byID(a.ID)
	if j == none {
		return
	}
	if h.cachedResults == nil {
		h.cachedResults, h.byKey = map[string]*cachedResult{}, map[uint64]string{}
	}
	if k := h.cachedResults[a.ID]; k != nil {
		k.until = w.now + a.For
		return
	}
	h.cachedResults[a.ID] = &cachedResult{until: w.now + a.For, at: j}
	h.byKey[w.requests[w.attempts[j].request].number] = a.ID
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
	w.q.push(event{at: w.now + w.s.Register.Lag, kind: evListed, a: h.number, b: listed})
}

// mine is the attempt of that id that this life of a host has in hand.
func (w *world) mine(h *host, id string) int32 {
	j := w.byID(id)
	if j == none || w.attempts[j].host != h.number || w.attempts[j].incarnation != h.incarnation || !w.attempts[j].atHost {
		return none
	}
	return j
}
