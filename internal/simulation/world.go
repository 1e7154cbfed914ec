package simulation

import (
	"math/rand/v2"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// world is the state of one run. Requests and attempts refer to each other by index.
type world struct {
	scenario           *Scenario
	policy             *Policy
	queue              queue
	now                monotime.Micros
	hosts              []host
	nodes              []node
	requests           []request
	attempts           []attempt
	freeRequests       []int32
	freeAttempts       []int32
	listed             []bool // by host: whether the endpoint registry lists it
	registryVersion    uint32 // counts changes of listed
	dependency         sharedWork
	dependencySlowdown float64 // 1: full speed

	stream            *Stream // has a generator of its own, so that all policies meet the same load
	nextArrival       Arrival
	faultRand         *rand.Rand // of faults
	nodeRand          *rand.Rand // of edge nodes
	lastNumber        uint64
	agentsUnavailable bool
	partitionedNodes  map[int32]bool
	partitionedHosts  int32         // hosts with lower indexes are cut off from partitionedNodes
	quotaStoreCut     bool          // and those hosts from the quota store
	pricing           *quota.Holder // for quotaPrice; nil until it is needed
	quotas            *quotaState   // nil with GuessedQuotas
	grayDelay         monotime.Micros
	grayHosts         map[int32]bool

	agents     []*hostAgent // of releases that fleet.Machine decides
	oracleLoad []float64    // by host: what the oracle knows of it
	oracleAt   monotime.Micros

	audit        Audit
	result       *Result
	policySeed   uint64
	trace        *Trace
	lastUniqueID uint64
	active       int // attempts and requests in use
}

// Play plays a scenario with a policy on a seed. The same three give the same result to the byte. tr may be nil. A
// scenario that can't be played is a *ScenarioError.
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

// newWorld sets up a run at time 0.
func newWorld(s *Scenario, p *Policy, seed uint64, tr *Trace) (*world, error) {
	w := &world{
		scenario:           s,
		policy:             p,
		trace:              tr,
		policySeed:         seed * 0x9e3779b97f4a7c15,
		dependencySlowdown: 1,
		stream:             NewStream(s, seed),
		faultRand:          rand.New(rand.NewPCG(seed, 2)),
		nodeRand:           rand.New(rand.NewPCG(seed, 3)),
		listed: make(
			[]bool,
			s.Hosts.Count,
		),
		oracleLoad:       make([]float64, s.Hosts.Count),
		oracleAt:         -Second,
		partitionedNodes: map[int32]bool{},
		grayHosts:        map[int32]bool{},
	}
	w.queue.lanes = make([]lane, laneDue+min(maxDueLanes, len(s.Operations)))
	w.result = NewResult(s, p.Name, seed)
	w.hosts = make([]host, s.Hosts.Count)
	speeds := rand.New(rand.NewPCG(seed, 4))
	for _, t := range s.Faults { // clocks are wrong all day or not at all, as no process reads one that can be set
		if t.Kind == ClockSkew {
			for _, n := range w.randomHosts(t.Share) {
				w.hosts[n].clockSkew = monotime.Micros(t.Factor * 1e6)
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

// run executes event after event. After the day it ends once nothing is open, or when nothing can be open any more; the
// audit checks what is in flight then.
func (w *world) run() {
	last := w.scenario.Duration + w.scenario.Hosts.ExitTimeout + Second*60
	for _, op := range w.scenario.Operations {
		last = max(
			last,
			w.scenario.Duration+w.scenario.Hosts.ExitTimeout+4*(op.Timeout+w.scenario.Nodes.ClientRetryDelay*2)+60*Second,
		)
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

// scheduleArrival schedules the next request of the day.
func (w *world) scheduleArrival() {
	if a, more := w.stream.Next(); more {
		w.nextArrival = a
		w.queue.push(event{at: a.At, kind: evArrival})
	}
}

// handleArrival starts the request that was scheduled last.
func (w *world) handleArrival() {
	s, c := w.scenario, w.nextArrival
	w.scheduleArrival()
	i := w.newRequest()
	req := &w.requests[i]
	w.lastNumber++
	req.number, req.arrivedAt, req.node, req.operation, req.tenant, req.work, req.hint = w.lastNumber, w.now, int32(
		c.Node,
	), int16(c.Operation), int16(c.Tenant), c.Work, c.Hint
	op := &s.Operations[req.operation]
	req.due = w.now + op.Timeout
	w.result.RecordRequest(s, w.now, c.Operation, c.Tenant)
	w.queue.pushLane(
		laneDue+int(req.operation),
		event{at: req.due, kind: evClientTimeout, subject: i, generation: req.generation},
	)
	w.startAttempt(i, false)
	if h := s.Nodes.HedgeDelay; h > 0 && op.RetrySafety == admission.Idempotent {
		w.queue.push(event{at: w.now + h, kind: evHedge, subject: i, generation: req.generation})
	}
}
