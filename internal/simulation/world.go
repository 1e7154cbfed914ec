package simulation

import (
	"fmt"
	"math/rand/v2"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
)

// request is what one caller wants: it may take several attempts, and, where the caller asks anew, several incarnations.
type request struct {
	number         uint64 // the same through all that the caller asks anew
	node           int32
	operation      int16
	tenant         int16
	attempts       int32
	clientRetries  uint8
	finished       bool
	retriesLater   bool // its caller will ask anew
	maybeRan       bool // an attempt may have run without a word of it
	retryForbidden bool
	openAttempts   [2]int32 // attempts without an answer; -1: none
	liveAttempts   int32    // attempts that still name it, running ones that nobody waits for included
	gen            uint32
	arrivedAt, due Micros
	work           float64 // core time
	hint           Micros
	lastSlot       int32 // slot of the latest attempt
}

// phase of an attempt.
type phase uint8

const (
	phaseInTransit phase = iota
	phaseUnread
	phaseQueued
	phaseRunning
	phaseBeforeCall
	phaseCalling
	phaseAwaitingResult
	phaseEnded
)

// attempt is one try at one host.
type attempt struct {
	id                       string
	request                  int32
	host                     int32
	slot                     int32
	incarnation              uint32 // of the host, when it was sent
	gen                      uint32
	phase                    phase
	answers                  uint8
	outcome                  Outcome
	callerGone               bool // its host knows that the caller has left
	retry                    bool
	skipped                  bool
	shed                     bool // by a level
	finishing                bool // the policy hears that it is over
	called                   bool
	quotaDrawn               bool // a unit of its tenant's share
	atHost, atNode           bool // who still has to do with it
	prev, next               int32
	reachedAt, readAt, dueAt Micros
	callGen                  uint32
	retryIn                  Micros
	dontRetry                bool
	waiters                  []int32 // attempts that repeat this one and wait for its result
}

// Outcome is how an attempt or an ask ended, as the node sees it.
type Outcome uint8

// The outcomes.
const (
	Succeeded Outcome = iota
	Throttled
	Errored
	Unreachable // nothing ran
	Reset       // nobody knows
	Lost        // no answer in the client's time
	Local       // the node throttled it by itself
	outcomes
)

var outcomeNames = [outcomes]string{"succeeded", "throttled", "errored", "unreachable", "reset", "lost", "local"}

// world is one run.
type world struct {
	scenario           *Scenario
	policy             *Policy
	queue              queue
	now                Micros
	hosts              []host
	nodes              []node
	requests           []request
	attempts           []attempt
	freeRequests       []int32
	freeAttempts       []int32
	listed             []bool // by the endpoint registry
	registryVersion    uint32 // changes of it
	dependency         sharedWork
	dependencySlowdown float64 // the dependency is slower by so much

	stream            *Stream // has a chance of its own, so that policies meet the same day
	nextArrival       Arrival
	faultRand         *rand.Rand // of troubles
	nodeRand          *rand.Rand // of nodes
	lastNumber        uint64
	agentsUnavailable bool
	partitionedNodes  map[int32]bool
	partitionedHosts  int32         // hosts below this one are cut off from those nodes
	quotaStoreCut     bool          // and from the quota store
	pricing           *quota.Holder // what succeeds is priced by
	quotas            *quotaState   // nil where hosts guess
	grayDelay         Micros
	grayHosts         map[int32]bool

	agents     []*hostAgent // of a release that the real fleet decides about
	oracleLoad []float64    // an oracle's sight of the hosts
	oracleAt   Micros

	audit        Audit
	result       *Result
	policySeed   uint64 // seed
	trace        *Trace
	lastUniqueID uint64
	active       int // attempts and asks under way
}

const none = int32(-1)

// Play plays a scenario with a policy on a seed. The same three give the same result to the byte. tr may be nil.
func Play(s *Scenario, p *Policy, seed uint64, tr *Trace) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w, err := newWorld(s, p, seed, tr)
	if err != nil {
		return nil, err
	}
	w.run()
	return w.result, nil
}

func newWorld(s *Scenario, p *Policy, seed uint64, tr *Trace) (*world, error) {
	w := &world{
		scenario: s, policy: p, trace: tr, policySeed: seed * 0x9e3779b97f4a7c15, dependencySlowdown: 1, stream: NewStream(s, seed),
		faultRand: rand.New(rand.NewPCG(seed, 2)), nodeRand: rand.New(rand.NewPCG(seed, 3)),
		listed: make([]bool, s.Hosts.Count), oracleLoad: make([]float64, s.Hosts.Count), oracleAt: -Second, partitionedNodes: map[int32]bool{}, grayHosts: map[int32]bool{},
	}
	w.queue.lanes = make([]lane, laneDue+min(maxDueLanes, len(s.Operations)))
	w.result = NewResult(s, p.Name, seed)
	w.hosts = make([]host, s.Hosts.Count)
	speeds := rand.New(rand.NewPCG(seed, 4))
	for _, t := range s.Faults { // no process reads a clock that can be set, so that a clock stands off all day or not at all
		if t.Kind == ClockSkew {
			for _, n := range w.randomHosts(t.Share) {
				w.hosts[n].clockSkew = Micros(t.Factor * 1e6)
			}
		}
	}
	w.openQuotas()
	for i := range w.hosts {
		h := &w.hosts[i]
		h.number, h.baseSpeed, h.slowdown, h.coreShare = int32(i), 1+s.Hosts.SpeedSpread*(2*speeds.Float64()-1), 1, 1
		h.firstAttempt = none
		if err := w.startProcess(h, false); err != nil {
			return nil, err
		}
		w.listed[i] = true
	}
	for _, t := range s.Faults {
		if t.Kind == Release && t.ByFleet && w.agents == nil {
			if err := w.startAgents(); err != nil {
				return nil, err
			}
		}
	}
	w.nodes = make([]node, s.Nodes.Count)
	for i := range w.nodes {
		w.placeNode(int32(i))
	}
	w.scheduleArrival()
	for i, t := range s.Faults {
		w.queue.push(event{at: t.At, kind: evFault, subject: int32(i)})
	}
	w.queue.push(event{at: Second, kind: evSampleSecond})
	return w, nil
}

// run goes from event to event. After the day, it ends once nobody waits for anything, or when nobody can wait any more: what
// is in hand then is judged by the audit.
func (w *world) run() {
	last := w.scenario.Duration + w.scenario.Hosts.ExitTimeout + Second*60
	for _, op := range w.scenario.Operations {
		last = max(last, w.scenario.Duration+w.scenario.Hosts.ExitTimeout+4*(op.Timeout+w.scenario.Nodes.ClientRetryDelay*2)+60*Second)
	}
	for {
		e, found := w.queue.next()
		if !found || e.at > last || e.at > w.scenario.Duration && w.active == 0 {
			break
		}
		w.now = e.at
		w.result.Events++
		w.handle(&e)
	}
	w.result.finish(w)
}

// handle carries one event out. Each group of events has a function of its own; an event belongs to one of them.
func (w *world) handle(e *event) {
	if w.hostEvent(e) || w.attemptEvent(e) {
		return
	}
	switch e.kind {
	case evLoad:
		w.handleArrival()
	case evDependency:
		if w.dependency.generation == e.gen {
			w.completeCalls()
		}
	case evRefresh:
		w.refreshNode(e.subject)
	case evListed:
		if w.listed[e.subject] != (e.detail == 1) {
			w.listed[e.subject] = e.detail == 1
			w.registryVersion++
		}
	case evIdleCheck:
		w.checkIdle(e.subject, e.detail)
	case evFault:
		w.beginFault(int(e.subject))
	case evFaultOver:
		w.endFault(int(e.subject))
	case evSampleSecond:
		w.result.recordSecond(w)
		if w.now < w.scenario.Duration || w.active > 0 {
			w.queue.push(event{at: w.now + Second, kind: evSampleSecond})
		}
	case evExpiry:
		w.expireLeases()
	case evAgent:
		w.tickAgent(e.subject)
	}
}

// hostEvent carries out what concerns one host, unless that host's process ended since the event was scheduled.
func (w *world) hostEvent(e *event) bool {
	var do func(h *host)
	switch e.kind {
	case evCores:
		if h := &w.hosts[e.subject]; h.cores.generation == e.gen {
			w.completeWork(h)
		}
		return true
	case evRestart:
		w.restart(&w.hosts[e.subject])
		return true
	case evWake:
		do = func(h *host) { w.readGauges(h, int64(e.detail)) }
	case evWarmUp:
		do = w.warmUp
	case evOverload:
		do = w.checkOverload
	case evStop:
		do = w.exitProcess
	case evLease:
		do = func(h *host) {
			if w.now < w.scenario.Duration {
				w.renewLeases(h)
			}
		}
	default:
		return false
	}
	if h := &w.hosts[e.subject]; h.incarnation == e.gen && h.up {
		do(h)
	}
	return true
}

// attemptEvent carries out what concerns one request or one attempt, unless its place was reused since.
func (w *world) attemptEvent(e *event) bool {
	switch e.kind {
	case evReach, evAnswer, evCallerGone, evCallTimeout:
		if w.sameAttempt(e) {
			w.handleAttempt(e)
		}
	case evDue, evRetry, evHedge, evClientRetry:
		if w.requests[e.subject].gen == e.gen {
			w.handleRequest(e)
		}
	default:
		return false
	}
	return true
}

func (w *world) handleAttempt(e *event) {
	switch e.kind {
	case evReach:
		w.reachHost(e.subject)
	case evAnswer:
		w.receiveAnswer(e.subject)
	case evCallerGone:
		w.callerLeft(e.subject)
	case evCallTimeout:
		if att := &w.attempts[e.subject]; att.phase == phaseCalling && att.callGen == uint32(e.detail) {
			w.endCall(e.subject, admission.TimedOut)
		}
	}
}

func (w *world) handleRequest(e *event) {
	req := &w.requests[e.subject]
	switch {
	case e.kind == evClientRetry:
		w.repeatRequest(e.subject)
	case req.finished:
	case e.kind == evDue:
		w.failRequest(e.subject, Lost)
	case e.kind == evRetry:
		w.startAttempt(e.subject, true)
	case e.kind == evHedge && req.openAttempts[1] == none && req.openAttempts[0] != none:
		w.startAttempt(e.subject, true)
	}
}

func (w *world) sameAttempt(e *event) bool { return w.attempts[e.subject].gen == e.gen }

// scheduleArrival schedules the next request.
func (w *world) scheduleArrival() {
	if a, more := w.stream.Next(); more {
		w.nextArrival = a
		w.queue.push(event{at: a.At, kind: evLoad})
	}
}

// handleArrival is a caller's wish.
func (w *world) handleArrival() {
	s, c := w.scenario, w.nextArrival
	w.scheduleArrival()
	i := w.newRequest()
	req := &w.requests[i]
	w.lastNumber++
	req.number, req.arrivedAt, req.node, req.operation, req.tenant, req.work, req.hint = w.lastNumber, w.now, int32(c.Node), int16(c.Operation), int16(c.Tenant), c.Work, c.Hint
	op := &s.Operations[req.operation]
	req.due = w.now + op.Timeout
	w.result.RecordRequest(s, w.now, c.Operation, c.Tenant)
	w.queue.pushLane(laneDue+int(req.operation), event{at: req.due, kind: evDue, subject: i, gen: req.gen})
	w.startAttempt(i, false)
	if h := s.Nodes.HedgeDelay; h > 0 && op.RetrySafety == admission.Idempotent {
		w.queue.push(event{at: w.now + h, kind: evHedge, subject: i, gen: req.gen})
	}
}

func (w *world) newRequest() int32 {
	w.active++
	if n := len(w.freeRequests); n > 0 {
		i := w.freeRequests[n-1]
		w.freeRequests = w.freeRequests[:n-1]
		w.requests[i] = request{gen: w.requests[i].gen, openAttempts: [2]int32{none, none}, lastSlot: none}
		return i
	}
	w.requests = append(w.requests, request{openAttempts: [2]int32{none, none}, lastSlot: none})
	return int32(len(w.requests) - 1)
}

func (w *world) freeRequest(i int32) {
	w.active--
	w.requests[i].gen++
	w.freeRequests = append(w.freeRequests, i)
}

func (w *world) newAttempt(unique bool) int32 {
	w.active++
	var i int32
	if n := len(w.freeAttempts); n > 0 {
		i = w.freeAttempts[n-1]
		w.freeAttempts = w.freeAttempts[:n-1]
		att := &w.attempts[i]
		*att = attempt{id: att.id, gen: att.gen, waiters: att.waiters[:0]}
	} else {
		w.attempts = append(w.attempts, attempt{})
		i = int32(len(w.attempts) - 1)
		w.attempts[i].id = fmt.Sprintf("%d", i)
	}
	if unique { // what a host remembers must not be met again under another's name
		w.lastUniqueID++
		w.attempts[i].id = fmt.Sprintf("%d.%d", i, w.lastUniqueID)
	}
	return i
}

// freeAttempt lets go of an attempt with which nobody has to do any more.
func (w *world) freeAttempt(i int32) {
	if att := &w.attempts[i]; !att.atHost && !att.atNode && att.phase != phaseEnded {
		att.phase = phaseEnded
		att.gen++
		w.active--
		w.freeAttempts = append(w.freeAttempts, i)
		w.requests[att.request].liveAttempts--
		w.releaseRequest(att.request)
	}
}

// attemptByID finds the attempt that a policy names: its id begins with its place.
func (w *world) attemptByID(id string) int32 {
	n := 0
	for i := 0; i < len(id) && id[i] != '.'; i++ {
		if id[i] < '0' || id[i] > '9' {
			return none
		}
		n = n*10 + int(id[i]-'0')
	}
	if id == "" || n >= len(w.attempts) || w.attempts[n].id != id || w.attempts[n].phase == phaseEnded {
		return none
	}
	return int32(n)
}
