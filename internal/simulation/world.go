package simulation

import (
	"fmt"
	"math/rand/v2"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
)

// request is what one caller wants: it may take several attempts, and, where the caller asks anew, several incarnations.
type request struct {
	number    uint64 // the same through all that the caller asks anew
	node      int32
	op        int16
	tenant    int16
	tries     int32
	anew      uint8
	over      bool
	later     bool // its caller will ask anew
	unsure    bool // an attempt may have run without a word of it
	unheeded  bool
	open      [2]int32 // attempts without an answer; -1: none
	refs      int32    // attempts that still name it, running ones that nobody waits for included
	gen       uint32
	born, due Micros
	work      float64 // core time
	hint      Micros
	last      int32 // slot of the latest attempt
}

// phase of an attempt.
type phase uint8

const (
	travels phase = iota
	unread
	held
	runs
	waitsBelow
	calls
	reuses
	ended
)

// attempt is one try at one host.
type attempt struct {
	id                 string
	request            int32
	host               int32
	slot               int32
	incarnation        uint32 // of the host, when it was sent
	gen                uint32
	phase              phase
	answers            uint8
	outcome            Outcome
	gone               bool // its host knows that the caller has left
	retry              bool
	skipped            bool
	shed               bool // by a level
	ending             bool // the policy hears that it is over
	called             bool
	drew               bool // a unit of its tenant's share
	atHost, atNode     bool // who still has to do with it
	prev, next         int32
	reached, read, due Micros
	callGen            uint32
	retryIn            Micros
	dont               bool
	waits              []int32 // attempts that repeat this one and wait for its result
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
	s        *Scenario
	p        *Policy
	q        queue
	now      Micros
	hosts    []host
	nodes    []node
	requests []request
	attempts []attempt
	freeA    []int32
	freeT    []int32
	listed   []bool // by the endpoint registry
	lists    uint32 // changes of it
	below    shared
	belowX   float64 // the dependency is slower by so much

	stream     *Stream // has a chance of its own, so that policies meet the same day
	coming     Arrival
	fate       *rand.Rand // of troubles
	chance     *rand.Rand // of nodes
	number     uint64
	agentOff   bool
	cutNodes   map[int32]bool
	cutHosts   int32            // hosts below this one are cut off from those nodes
	ledgerCut  bool             // and from the quota store
	quotas     *quota.Holder    // what succeeds is priced by
	quotaState *quotaSimulation // nil where hosts guess
	grayBy     Micros
	grayHost   map[int32]bool

	agents []*hostAgent // of a release that the real fleet decides about
	seen   []float64    // an oracle's sight of the hosts
	seenAt Micros

	audit  Audit
	res    *Result
	policy uint64 // seed
	trace  *Trace
	tick   uint64
	busyA  int // attempts and asks under way
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
	return w.res, nil
}

func newWorld(s *Scenario, p *Policy, seed uint64, tr *Trace) (*world, error) {
	w := &world{
		s: s, p: p, trace: tr, policy: seed * 0x9e3779b97f4a7c15, belowX: 1, stream: NewStream(s, seed),
		fate: rand.New(rand.NewPCG(seed, 2)), chance: rand.New(rand.NewPCG(seed, 3)),
		listed: make([]bool, s.Hosts.Count), seen: make([]float64, s.Hosts.Count), seenAt: -Second, cutNodes: map[int32]bool{}, grayHost: map[int32]bool{},
	}
	w.q.lanes = make([]lane, laneDue+min(mostDues, len(s.Operations)))
	w.res = NewResult(s, p.Name, seed)
	w.hosts = make([]host, s.Hosts.Count)
	speeds := rand.New(rand.NewPCG(seed, 4))
	for _, t := range s.Troubles { // no process reads a clock that can be set, so that a clock stands off all day or not at all
		if t.Kind == Skew {
			for _, n := range w.randomHosts(t.Share) {
				w.hosts[n].skew = Micros(t.Factor * 1e6)
			}
		}
	}
	w.openQuotas()
	for i := range w.hosts {
		h := &w.hosts[i]
		h.number, h.base, h.slow, h.neighbour = int32(i), 1+s.Hosts.Spread*(2*speeds.Float64()-1), 1, 1
		h.first = none
		if err := w.begin(h, false); err != nil {
			return nil, err
		}
		w.listed[i] = true
	}
	for _, t := range s.Troubles {
		if t.Kind == Release && t.Fleet && w.agents == nil {
			if err := w.startAgents(); err != nil {
				return nil, err
			}
		}
	}
	w.nodes = make([]node, s.Nodes.Count)
	for i := range w.nodes {
		w.placeNode(int32(i))
	}
	w.arrivals()
	for i, t := range s.Troubles {
		w.q.push(event{at: t.At, kind: evFault, a: int32(i)})
	}
	w.q.push(event{at: Second, kind: evSampleSecond})
	return w, nil
}

// run goes from event to event. After the day, it ends once nobody waits for anything, or when nobody can wait any more: what
// is in hand then is judged by the audit.
func (w *world) run() {
	last := w.s.For + w.s.Hosts.Stop + Second*60
	for _, op := range w.s.Operations {
		last = max(last, w.s.For+w.s.Hosts.Stop+4*(op.Timeout+w.s.Nodes.BehindIn*2)+60*Second)
	}
	for {
		e, found := w.q.next()
		if !found || e.at > last || e.at > w.s.For && w.busyA == 0 {
			break
		}
		w.now = e.at
		w.res.Events++
		w.handle(&e)
	}
	w.res.close(w)
}

// handle carries one event out. Each group of events has a function of its own; an event belongs to one of them.
func (w *world) handle(e *event) {
	if w.hostEvent(e) || w.attemptEvent(e) {
		return
	}
	switch e.kind {
	case evLoad:
		w.arrive()
	case evBelow:
		if w.below.gen == e.gen {
			w.belowDue()
		}
	case evRefresh:
		w.refresh(e.a)
	case evListed:
		if w.listed[e.a] != (e.b == 1) {
			w.listed[e.a] = e.b == 1
			w.lists++
		}
	case evIdle:
		w.idle(e.a, e.b)
	case evFault:
		w.beginFault(int(e.a))
	case evFaultOver:
		w.endFault(int(e.a))
	case evSampleSecond:
		w.res.second(w)
		if w.now < w.s.For || w.busyA > 0 {
			w.q.push(event{at: w.now + Second, kind: evSampleSecond})
		}
	case evExpiry:
		w.expireLeases()
	case evAgent:
		w.tickAgent(e.a)
	}
}

// hostEvent carries out what concerns one host, unless that host's process ended since the event was scheduled.
func (w *world) hostEvent(e *event) bool {
	var do func(h *host)
	switch e.kind {
	case evCores:
		if h := &w.hosts[e.a]; h.cores.gen == e.gen {
			w.coresDue(h)
		}
		return true
	case evBack:
		w.back(&w.hosts[e.a])
		return true
	case evWake:
		do = func(h *host) { w.wake(h, int64(e.b)) }
	case evCold:
		do = w.warm
	case evOverload:
		do = w.crowded
	case evStop:
		do = w.stop
	case evLease:
		do = func(h *host) {
			if w.now < w.s.For {
				w.renewLeases(h)
			}
		}
	default:
		return false
	}
	if h := &w.hosts[e.a]; h.incarnation == e.gen && h.up {
		do(h)
	}
	return true
}

// attemptEvent carries out what concerns one request or one attempt, unless its place was reused since.
func (w *world) attemptEvent(e *event) bool {
	switch e.kind {
	case evReach, evAnswer, evGone, evCall:
		if w.sameAttempt(e) {
			w.handleAttempt(e)
		}
	case evDue, evRetry, evHedge, evClientRetry:
		if w.requests[e.a].gen == e.gen {
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
		w.reach(e.a)
	case evAnswer:
		w.receiveAnswer(e.a)
	case evGone:
		w.left(e.a)
	case evCall:
		if t := &w.attempts[e.a]; t.phase == calls && t.callGen == uint32(e.b) {
			w.callOver(e.a, admission.TimedOut)
		}
	}
}

func (w *world) handleRequest(e *event) {
	a := &w.requests[e.a]
	switch {
	case e.kind == evClientRetry:
		w.repeatRequest(e.a)
	case a.over:
	case e.kind == evDue:
		w.end(e.a, Lost)
	case e.kind == evRetry:
		w.startAttempt(e.a, true)
	case e.kind == evHedge && a.open[1] == none && a.open[0] != none:
		w.startAttempt(e.a, true)
	}
}

func (w *world) sameAttempt(e *event) bool { return w.attempts[e.a].gen == e.gen }

// arrivals schedules the next request.
func (w *world) arrivals() {
	if a, more := w.stream.Next(); more {
		w.coming = a
		w.q.push(event{at: a.At, kind: evLoad})
	}
}

// arrive is a caller's wish.
func (w *world) arrive() {
	s, c := w.s, w.coming
	w.arrivals()
	i := w.newRequest()
	a := &w.requests[i]
	w.number++
	a.number, a.born, a.node, a.op, a.tenant, a.work, a.hint = w.number, w.now, int32(c.Node), int16(c.Operation), int16(c.Tenant), c.Work, c.Hint
	op := &s.Operations[a.op]
	a.due = w.now + op.Timeout
	w.res.Offer(s, w.now, c.Operation, c.Tenant)
	w.q.later(laneDue+int(a.op), event{at: a.due, kind: evDue, a: i, gen: a.gen})
	w.startAttempt(i, false)
	if h := s.Nodes.Hedge; h > 0 && op.Repeat == admission.Idempotent {
		w.q.push(event{at: w.now + h, kind: evHedge, a: i, gen: a.gen})
	}
}

func (w *world) newRequest() int32 {
	w.busyA++
	if n := len(w.freeA); n > 0 {
		i := w.freeA[n-1]
		w.freeA = w.freeA[:n-1]
		w.requests[i] = request{gen: w.requests[i].gen, open: [2]int32{none, none}, last: none}
		return i
	}
	w.requests = append(w.requests, request{open: [2]int32{none, none}, last: none})
	return int32(len(w.requests) - 1)
}

func (w *world) freeRequest(i int32) {
	w.busyA--
	w.requests[i].gen++
	w.freeA = append(w.freeA, i)
}

func (w *world) newAttempt(unique bool) int32 {
	w.busyA++
	var i int32
	if n := len(w.freeT); n > 0 {
		i = w.freeT[n-1]
		w.freeT = w.freeT[:n-1]
		t := &w.attempts[i]
		*t = attempt{id: t.id, gen: t.gen, waits: t.waits[:0]}
	} else {
		w.attempts = append(w.attempts, attempt{})
		i = int32(len(w.attempts) - 1)
		w.attempts[i].id = fmt.Sprintf("%d", i)
	}
	if unique { // what a host remembers must not be met again under another's name
		w.tick++
		w.attempts[i].id = fmt.Sprintf("%d.%d", i, w.tick)
	}
	return i
}

// free lets go of an attempt with which nobody has to do any more.
func (w *world) free(i int32) {
	if t := &w.attempts[i]; !t.atHost && !t.atNode && t.phase != ended {
		t.phase = ended
		t.gen++
		w.busyA--
		w.freeT = append(w.freeT, i)
		w.requests[t.request].refs--
		w.release(t.request)
	}
}

// byID finds the attempt that a policy names: its id begins with its place.
func (w *world) byID(id string) int32 {
	n := 0
	for i := 0; i < len(id) && id[i] != '.'; i++ {
		if id[i] < '0' || id[i] > '9' {
			return none
		}
		n = n*10 + int(id[i]-'0')
	}
	if id == "" || n >= len(w.attempts) || w.attempts[n].id != id || w.attempts[n].phase == ended {
		return none
	}
	return int32(n)
}
