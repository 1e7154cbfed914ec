package simulation

import (
	"math"

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
	number int32
	life   uint32
	up     bool
	policy Decider

	cores     shared
	base      float64 // speed of its own
	slow      float64 // slower by so much
	neighbour float64 // part of the cores that is left to it
	warmth    float64 // speed of a cold one
	born      Micros
	first     int32 // attempts in hand, the latest first
	inHand    int
	held      int
	running   int // on the cores
	reading   int
	atBelow   int
	memory    float64
	keyKB     float64
	conns     int
	idleFor   Micros
	healthy   bool
	draining  bool
	told      Micros // of the notice
	stopAt    Micros
	overAt    Micros // beyond its crowd since; 0: it is not
	busy      float64
	busyAt    Micros
	busyRead  float64 // at the last reading
	readAt    Micros
	busySec   float64 // at the last second
	skew      Micros
	crewed    bool // an agent with the real fleet starts and stops it
	kept      map[string]*kept
	byKey     map[uint64]string
	reduced   *reduced
}

// kept is a remembered invocation.
type kept struct {
	until Micros
	ended bool
	ok    bool
	at    int32
}

// reduced is a ladder of levels on one host.
type reduced struct {
	mover  *degradation.Controller
	drawer *degradation.Shedder
	meter  *degradation.SignalMeter
}

// begin starts a process on a host.
func (w *world) begin(h *host, cold bool) error {
	h.life++
	w.res.Lives++
	h.up, h.healthy, h.draining = true, true, false
	h.born, h.readAt, h.busyAt = w.now, w.now, w.now
	h.busy, h.busyRead, h.busySec = 0, 0, 0
	h.warmth, h.idleFor = 1, w.s.Hosts.IdleFor
	h.held, h.running, h.reading, h.atBelow, h.inHand, h.conns, h.overAt = 0, 0, 0, 0, 0, 0, 0
	h.memory, h.first = 0, none
	h.cores = shared{at: w.now, jobs: h.cores.jobs[:0], gen: h.cores.gen + 1}
	h.kept, h.byKey = nil, nil
	seed := w.policy ^ uint64(h.number)<<20 ^ uint64(h.life)
	h.policy = w.p.New(w.s.Terms(cold), seed)
	if l := w.p.Ladder; l != nil {
		drawer, err := degradation.NewShedder(l, w.s.operationNames(), w.s.tenantNames(), seed)
		if err != nil {
			return err
		}
		h.reduced = &reduced{mover: degradation.NewController(l), drawer: drawer, meter: degradation.NewSignalMeter(w.s.Hosts.Cores)}
	}
	if cold && w.s.Hosts.ColdFor > 0 {
		h.warmth = w.s.Hosts.ColdShare
		if h.reduced != nil {
			h.reduced.meter.SetWarmingUntil(degradation.Micros(w.now + w.s.Hosts.ColdFor))
		}
		w.q.push(event{at: w.now + w.s.Hosts.ColdFor/20 + 1, kind: evCold, a: h.number, gen: h.life})
	}
	w.beginShares(h)
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

// before brings the cores up to now; what changes their load or speed comes next, then after.
func (w *world) before(h *host) {
	n := min(float64(h.cores.live), float64(w.s.Hosts.Cores))
	h.busy += n * float64(w.now-h.busyAt)
	h.busyAt = w.now
	h.cores.move(w.now)
}

// after sets the speed that each job has now, and when the next one ends.
func (w *world) after(h *host) {
	s := &w.s.Hosts
	n, cores := float64(h.cores.live), float64(s.Cores)
	rate := h.base / h.slow * h.warmth * h.neighbour
	if n > cores {
		rate *= cores / n
	}
	// Past the crowd of runs what is done at all falls. Readers are no crowd: one reads at a time.
	if bears, on := s.Crowd*cores, float64(h.running); on > bears {
		rate *= (bears / on) * (bears / on)
		if h.overAt == 0 {
			h.overAt = w.now
			w.q.push(event{at: w.now + s.FallOver, kind: evCrowd, a: h.number, gen: h.life})
		}
	} else {
		h.overAt = 0
	}
	h.cores.rate = rate
	if h.cores.live == 0 {
		h.cores.given, h.cores.jobs, h.cores.next = 0, h.cores.jobs[:0], 0
		return
	}
	w.due(&h.cores, evCores, h.number)
}

// due schedules the next end of shared work. One that is scheduled too early finds nothing and looks again; that is
// cheaper than to schedule anew with each change.
func (w *world) due(s *shared, k kind, who int32) {
	for len(s.jobs) > 0 && s.jobs[0].who != none && w.atts[s.jobs[0].who].gen != s.jobs[0].gen {
		s.pop()
	}
	if len(s.jobs) == 0 {
		return
	}
	at := w.now + Micros(math.Ceil(max(0, s.jobs[0].end-s.given)/s.rate))
	if s.next > w.now && s.next <= at {
		return
	}
	s.gen++
	s.next = at
	w.q.push(event{at: at, kind: k, a: who, gen: s.gen})
}

const nearly = 1e-3 // microseconds of work that count as none

// coresDue ends what has had its work.
func (w *world) coresDue(h *host) {
	h.cores.next = 0
	if !h.up {
		return
	}
	w.before(h)
	life := h.life
	for len(h.cores.jobs) > 0 && h.cores.jobs[0].end <= h.cores.given+nearly {
		j := h.cores.pop()
		t := &w.atts[j.who]
		if t.gen != j.gen || t.phase != unread && t.phase != runs || (t.phase == unread) != (j.sub == 0) {
			continue // taken off before
		}
		h.cores.live--
		if j.sub == 0 {
			w.wasRead(h, j.who)
		} else {
			w.ran(h, j.who)
		}
		if !h.up || h.life != life {
			return
		}
	}
	w.after(h)
}

// reach is an attempt at its host's door.
func (w *world) reach(j int32) {
	t := &w.atts[j]
	h := &w.hosts[t.host]
	a := &w.asks[t.ask]
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
	t.life = h.life
	t.atHost, t.phase, t.reached, t.due = true, unread, w.now, a.due-back
	t.prev, t.next = none, h.first
	if h.first != none {
		w.atts[h.first].prev = j
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
	t := &w.atts[j]
	t.outcome = out
	w.q.push(event{at: w.now + after, kind: evAnswer, a: j, gen: t.gen})
}

// wasRead hands an invocation to the policy.
func (w *world) wasRead(h *host, j int32) {
	t := &w.atts[j]
	a := &w.asks[t.ask]
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
		if id := h.byKey[a.number]; id != "" && h.kept[id] != nil && h.kept[id].until > w.now {
			ev.RepeatOf = id
		}
	}
	if r := h.reduced; r != nil {
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
		ev.Quota = w.drawShare(h, int(a.tenant))
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

func (w *world) act(h *host, act admission.Action) {
	switch a := act.(type) {
	case admission.Start:
		if j := w.mine(h, a.ID); j != none && w.atts[j].phase == held {
			w.start(h, j)
		}
	case admission.Throttle:
		if j := w.mine(h, a.ID); j != none {
			t := &w.atts[j]
			t.retryIn, t.dont = min(a.RetryAfter, w.s.Hosts.RetryAfter), a.DontRetry
			if r := h.reduced; r != nil && t.answers == 0 && !t.shed { // what a level sheds must not keep it
				r.meter.Count(degradation.Micros(w.now), degradation.Rejections)
			}
			w.answer(h, j, Throttled)
			w.unreused(h, j)
		} else {
			w.audit.broken(w, 1, h, nil, "an answer for "+a.ID+", which is not in hand")
		}
	case admission.Fail:
		if j := w.mine(h, a.ID); j != none {
			w.answer(h, j, Errored)
			w.unreused(h, j)
		} else {
			w.audit.broken(w, 1, h, nil, "an answer for "+a.ID+", which is not in hand")
		}
	case admission.Stop:
		if j := w.mine(h, a.ID); j != none && w.atts[j].phase == runs {
			w.takeOff(h, j)
		}
	case admission.Call:
		if j := w.mine(h, a.ID); j != none && w.atts[j].phase == waitsBelow {
			w.call(h, j, a.Timeout)
		}
	case admission.SkipCall:
		if j := w.mine(h, a.ID); j != none && w.atts[j].phase == waitsBelow {
			w.atts[j].skipped = true
			w.resume(h, j)
		}
	case admission.Remember:
		if j := w.byID(a.ID); j != none {
			if h.kept == nil {
				h.kept, h.byKey = map[string]*kept{}, map[uint64]string{}
			}
			if k := h.kept[a.ID]; k != nil {
				k.until = w.now + a.For
			} else {
				h.kept[a.ID] = &kept{until: w.now + a.For, at: j}
				h.byKey[w.asks[w.atts[j].ask].number] = a.ID
				h.keyKB += 0.2
			}
		}
	case admission.Forget:
		if h.kept[a.ID] != nil {
			delete(h.kept, a.ID)
			h.keyKB -= 0.2
		}
	case admission.Reuse:
		if j := w.mine(h, a.ID); j != none {
			w.reuse(h, j)
		}
	case admission.SetHealth:
		if a.Good != h.healthy {
			h.healthy = a.Good
			b := int32(0)
			if a.Good {
				b = 1
			}
			w.q.push(event{at: w.now + w.s.Register.Lag, kind: evListed, a: h.number, b: b})
		}
	case admission.CloseIdle:
		h.idleFor = max(a.After, Second/10)
	case admission.Wake:
		w.q.later(laneTick, event{at: max(a.At-h.skew, w.now+1), kind: evWake, a: h.number, b: int32(a.Token), gen: h.life})
	}
}

// mine is the attempt of that id that this life of a host has in hand.
func (w *world) mine(h *host, id string) int32 {
	j := w.byID(id)
	if j == none || w.atts[j].host != h.number || w.atts[j].life != h.life || !w.atts[j].atHost {
		return none
	}
	return j
}

func (w *world) start(h *host, j int32) {
	t := &w.atts[j]
	w.audit.started(w, h, t)
	w.trace.note(w, w.asks[t.ask].number, t, "runs")
	t.phase = runs
	h.held--
	h.memory += w.s.Hosts.HeldKB * (w.s.Hosts.RunFactor - 1)
	w.onCores(h, j)
}

// onCores puts a run, or what is left of it after its call, on the cores.
func (w *world) onCores(h *host, j int32) {
	t := &w.atts[j]
	a := &w.asks[t.ask]
	work := a.work
	if w.s.Operations[a.op].Calls {
		work /= 2
	}
	w.before(h)
	h.running++
	h.cores.push(job{end: h.cores.given + work, who: j, gen: t.gen, sub: 1})
	w.after(h)
}

// ran is a run that has had its work: of the half before its call, or of all.
func (w *world) ran(h *host, j int32) {
	t := &w.atts[j]
	a := &w.asks[t.ask]
	h.running--
	if w.s.Operations[a.op].Calls && !t.called {
		t.called, t.phase = true, waitsBelow
		w.after(h)
		w.decide(h, admission.NeedsCall{ID: t.id})
		return
	}
	w.after(h)
	w.res.Runs++
	w.audit.ran(w, h, t)
	if k := h.kept[t.id]; k != nil {
		k.ended, k.ok = true, true
	}
	if r := h.reduced; r != nil && t.answers == 0 {
		r.meter.Count(degradation.Micros(w.now), degradation.Successes)
		if w.now-t.reached > w.s.Operations[a.op].Objective {
			r.meter.Count(degradation.Micros(w.now), degradation.LateSuccesses)
		}
	}
	if t.answers > 0 {
		w.res.Wasted += a.work
	} else {
		w.answer(h, j, Succeeded)
	}
	w.finish(h, j, admission.OK)
}

// finish tells the policy that a run is over and lets go of it.
func (w *world) finish(h *host, j int32, out admission.Outcome) {
	t := &w.atts[j]
	id, took := t.id, w.now-t.read
	h.memory -= w.s.Hosts.HeldKB * (w.s.Hosts.RunFactor - 1)
	t.phase, t.ending = reuses, true // off the cores; still in hand while the policy hears of it
	w.decide(h, admission.Finished{ID: id, Outcome: out, Took: took})
	if h.up && w.atts[j].atHost && w.atts[j].id == id {
		w.leaveHost(h, j)
	}
	waits := w.atts[j].waits
	w.atts[j].waits = nil
	for _, k := range waits {
		if h.up && w.atts[k].phase == reuses && w.atts[k].atHost && w.atts[k].host == h.number && w.atts[k].answers == 0 {
			w.reuse(h, k)
		}
	}
}

// takeOff ends a run before its end.
func (w *world) takeOff(h *host, j int32) {
	t := &w.atts[j]
	w.before(h)
	h.cores.live--
	h.running--
	t.phase = reuses
	w.after(h)
	w.finish(h, j, admission.Canceled)
}

// reuse answers a repeat with what an earlier invocation brought, at once or when it ends.
func (w *world) reuse(h *host, j int32) {
	t := &w.atts[j]
	a := &w.asks[t.ask]
	k := h.kept[h.byKey[a.number]]
	if t.phase == held {
		h.held--
	}
	t.phase = reuses
	if k != nil && !k.ended {
		w.atts[k.at].waits = append(w.atts[k.at].waits, j)
		return
	}
	if k == nil {
		w.answer(h, j, Errored)
	} else {
		w.answer(h, j, Succeeded)
	}
	id := t.id
	t.ending = true
	w.decide(h, admission.Finished{ID: id, Outcome: admission.OK, Took: 1})
	if h.up && w.atts[j].atHost && w.atts[j].id == id {
		w.leaveHost(h, j)
	}
}

// answer sends what a policy says. The one final answer is judged here.
func (w *world) answer(h *host, j int32, out Outcome) {
	t := &w.atts[j]
	w.audit.answered(w, h, t)
	t.answers++
	w.trace.note(w, w.asks[t.ask].number, t, outcomeNames[out])
	if t.answers == 1 && !t.gone {
		t.outcome = out
		if d := w.way(w.asks[t.ask].node, h.number); d >= 0 {
			w.q.later(laneNet, event{at: w.now + d, kind: evAnswer, a: j, gen: t.gen})
		} else { // nobody hears it; the node counts it as open until its caller leaves
			t.outcome = Reset
			w.q.push(event{at: max(w.now, t.due) + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
		}
	}
	if t.phase == held {
		w.leaveHost(h, j)
	}
}

// unreused lets go of a repeat that was answered before the result came for which it waits.
func (w *world) unreused(h *host, j int32) {
	if t := &w.atts[j]; t.phase == reuses && t.atHost && !t.ending {
		w.leaveHost(h, j)
	}
}

// leaveHost takes an attempt out of its host's hand.
func (w *world) leaveHost(h *host, j int32) {
	t := &w.atts[j]
	if !t.atHost {
		return
	}
	if t.phase == held { // it never ran
		h.held--
		w.giveBack(h, t)
	}
	if t.phase != unread && t.read > 0 {
		h.memory -= w.s.Hosts.HeldKB
	}
	w.audit.leaves(w, h, t)
	t.atHost = false
	if t.gone && t.atNode && t.answers == 0 { // its node hears of the end by itself
		t.outcome = Reset
		w.q.push(event{at: w.now + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
	} else if t.gone && t.atNode {
		w.q.push(event{at: w.now + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
	}
	if t.prev != none {
		w.atts[t.prev].next = t.next
	} else {
		h.first = t.next
	}
	if t.next != none {
		w.atts[t.next].prev = t.prev
	}
	h.inHand--
	w.free(j)
}

// left is the word that a caller has gone.
func (w *world) left(j int32) {
	t := &w.atts[j]
	h := &w.hosts[t.host]
	if !t.atHost || t.gone || t.life != h.life || !h.up {
		return
	}
	if t.answers > 0 {
		return // it crossed the answer
	}
	t.gone = true
	if t.phase == unread {
		return
	}
	if w.now >= t.due && t.read < t.due-w.s.Hosts.Slack { // it did not leave: its time ran out
		w.audit.broken(w, 1, h, t, "its caller's time is over and it has no answer")
	}
	was := t.phase
	w.decide(h, admission.CallerGone{ID: t.id})
	if h.up && w.atts[j].atHost && (was == held || was == reuses) {
		w.leaveHost(h, j)
	}
}

// call takes a run to the dependency that all share.
func (w *world) call(h *host, j int32, within Micros) {
	t := &w.atts[j]
	t.phase = calls
	t.callGen++
	h.atBelow++
	b := &w.below
	b.move(w.now)
	b.push(job{end: b.given + float64(w.s.Below.Work), who: j, gen: t.gen, sub: uint8(t.callGen)})
	w.afterBelow()
	w.q.push(event{at: w.now + max(within, 1), kind: evCall, a: j, b: int32(t.callGen), gen: t.gen})
}

func (w *world) afterBelow() {
	b := &w.below
	b.rate = 1 / w.belowX
	if n := float64(b.live); n > float64(w.s.Below.Slots) {
		b.rate *= float64(w.s.Below.Slots) / n
	}
	if b.live > 0 {
		w.due(b, evBelow, 0)
	}
}

func (w *world) belowDue() {
	b := &w.below
	b.next = 0
	b.move(w.now)
	for len(b.jobs) > 0 && b.jobs[0].end <= b.given+nearly {
		j := b.pop()
		b.live--
		if t := &w.atts[j.who]; t.gen == j.gen && t.phase == calls && uint8(t.callGen) == j.sub {
			w.callOver(j.who, admission.OK)
		}
	}
	w.afterBelow()
}

func (w *world) callOver(j int32, out admission.Outcome) {
	t := &w.atts[j]
	h := &w.hosts[t.host]
	if !h.up || h.life != t.life {
		return
	}
	h.atBelow--
	t.callGen++
	t.phase = waitsBelow
	id := t.id
	w.decide(h, admission.CallReturned{ID: id, Outcome: out, Took: 1 + w.s.Below.Work})
	if !h.up {
		return
	}
	t = &w.atts[j]
	if out == admission.OK && t.phase == waitsBelow {
		w.resume(h, j)
	} else if t.answers > 0 && t.phase == waitsBelow { // given up: nothing of it goes on
		w.finish(h, j, admission.Errored)
	}
}

func (w *world) resume(h *host, j int32) {
	w.atts[j].phase = runs
	w.onCores(h, j)
}

// wake is a reading of the gauges.
func (w *world) wake(h *host, token int64) {
	w.before(h)
	w.after(h)
	span := max(1, float64(w.now-h.readAt))
	use := (h.busy - h.busyRead) / span / float64(w.s.Hosts.Cores)
	h.busyRead, h.readAt = h.busy, w.now
	on := float64(h.cores.live)
	memory := (h.memory + h.keyKB) / w.s.Hosts.MemoryKB
	w.res.Readings++
	w.decide(h, admission.Reading{
		Token: token, CoreUse: use, OnCores: on, MemoryShare: memory, Connections: float64(h.conns) / float64(w.s.Hosts.Connections),
	})
	if r := h.reduced; r != nil && h.up {
		now := degradation.Micros(w.now)
		if h.draining {
			r.meter.SetDraining()
		}
		if c, changed := r.mover.Update(now, r.meter.Signals(now, on+float64(h.held), use, memory, true)); changed {
			w.res.changed(w, h, c)
		}
	}
}

// warm makes a cold host a little faster.
func (w *world) warm(h *host) {
	s := &w.s.Hosts
	w.before(h)
	h.warmth = min(1, s.ColdShare+(1-s.ColdShare)*float64(w.now-h.born)/float64(s.ColdFor))
	w.after(h)
	if h.warmth < 1 {
		w.q.push(event{at: w.now + s.ColdFor/20 + 1, kind: evCold, a: h.number, gen: h.life})
	}
}

// crowded looks whether a host has been beyond its crowd all along.
func (w *world) crowded(h *host) {
	switch {
	case h.overAt == 0:
	case w.now-h.overAt >= w.s.Hosts.FallOver:
		w.audit.broken(w, 4, h, nil, "it fell over under its crowd")
		w.kill(h, Reset)
	default:
		w.q.push(event{at: h.overAt + w.s.Hosts.FallOver, kind: evCrowd, a: h.number, gen: h.life})
	}
}

// kill ends a host's process with everything in hand; it comes back cold.
func (w *world) kill(h *host, out Outcome) {
	w.goDown(h, out)
	w.q.push(event{at: w.now + 3*Second, kind: evBack, a: h.number})
}

// goDown loses everything that a host has in hand.
func (w *world) goDown(h *host, out Outcome) {
	w.goneShares(h)
	w.before(h)
	h.up = false
	h.cores.gen++
	h.cores.next = 0
	for j := h.first; j != none; {
		t := &w.atts[j]
		next := t.next
		if t.atNode && t.answers == 0 || t.atNode && t.gone {
			t.outcome = out
			w.q.push(event{at: w.now + w.s.Nodes.Net, kind: evAnswer, a: j, gen: t.gen})
		}
		t.atHost, t.waits = false, t.waits[:0]
		if t.phase == calls {
			t.callGen++
		}
		t.phase = unread // of no life any more; not ended, or it would not be let go of
		w.free(j)
		j = next
	}
	h.first, h.inHand = none, 0
	w.q.push(event{at: w.now + w.s.Register.Lag, kind: evListed, a: h.number, b: 0})
}

// stop is the end of a process that was told to leave.
func (w *world) stop(h *host) {
	for j := h.first; j != none; j = w.atts[j].next {
		if t := &w.atts[j]; t.answers == 0 && !t.gone && t.phase != unread && !h.unheard() {
			w.audit.broken(w, 3, h, t, "it was in hand without an answer when the process was stopped")
		}
	}
	w.goDown(h, Reset)
	if !h.crewed { // else its agent starts it
		w.q.push(event{at: w.now + 200*Millisecond, kind: evBack, a: h.number})
	}
}

// unheard: the notice to leave never came.
func (h *host) unheard() bool { return !h.draining }

func (w *world) back(h *host) {
	if h.up {
		return
	}
	if err := w.begin(h, true); err != nil {
		panic(err) // the ladder was taken at the start
	}
}
