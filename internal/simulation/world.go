package simulation

import (
	"math/rand/v2"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// world is the state of one simulated day. Requests and attempts refer to each other by index.
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
	registryVersion    uint32 // number of changes of listed
	dependency         sharedWork
	dependencySlowdown float64 // by a DependencySlow fault; 1: full speed

	stream                *Stream // has its own random generator, so that the load is the same for all policies
	nextArrival           Arrival
	faultRand             *rand.Rand // for faults and the placement of nodes
	nodeRand              *rand.Rand // for decisions of edge nodes and callers
	lastRequestNumber     uint64
	agentsUnavailable     bool
	partitionedNodes      map[int32]bool
	partitionedHosts      int32         // hosts with lower indexes are partitioned from partitionedNodes
	quotaStorePartitioned bool          // the same hosts are partitioned from the quota store
	pricingHolder         *quota.Holder // for quotaValueFactor; nil until its first use
	quotas                *quotaState   // nil with GuessedQuotas
	grayDelay             monotime.Micros
	grayHosts             map[int32]bool

	agents     []*hostAgent // for releases that fleet.Machine decides
	oracleLoad []float64    // by host: load as the oracle knows it
	oracleAt   monotime.Micros

	audit        Audit
	result       *Result
	policySeed   uint64
	trace        *Trace
	lastUniqueID uint64
	active       int // number of attempts and requests in use
}

// Play simulates a scenario with a policy and a seed. The result depends on these three only, to the byte. tr may be
// nil. If the scenario can't be simulated, the error is a *ScenarioError.
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

// newWorld sets up a simulation at time 0.
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
		listed:             make([]bool, s.Hosts.Count),
		oracleLoad:         make([]float64, s.Hosts.Count),
		oracleAt:           -Second,
		partitionedNodes:   map[int32]bool{},
		grayHosts:          map[int32]bool{},
	}
	w.queue.lanes = make([]lane, laneDue+min(maxDueLanes, len(s.Operations)))
	w.result = NewResult(s, p.Name, seed)
	w.hosts = make([]host, s.Hosts.Count)
	speeds := rand.New(rand.NewPCG(seed, 4))
	for _, fault := range s.Faults { // applied once, as processes read no clock that can be set during the day
		if fault.Kind == ClockSkew {
			for _, n := range w.randomHosts(fault.Share) {
				w.hosts[n].clockSkew = monotime.Micros(fault.Factor * 1e6)
			}
		}
	}
	w.initQuotas()
	for i := range w.hosts {
		h := &w.hosts[i]
		h.number, h.baseSpeed, h.slowdown, h.coreShare = int32(i), 1+s.Hosts.SpeedSpread*(2*speeds.Float64()-1), 1, 1
		h.firstAttempt = none
		if err := w.startProcess(h, false); err != nil {
			return nil, err
		}
		w.listed[i] = true
	}
	for _, fault := range s.Faults {
		if fault.Kind == Release && fault.ByFleet && w.agents == nil {
			if err := w.startAgents(); err != nil {
				return nil, err
			}
		}
	}
	w.nodes = make([]node, s.Nodes.Count)
	for i := range w.nodes {
		w.initNode(int32(i))
	}
	w.scheduleArrival()
	for i, fault := range s.Faults {
		w.queue.push(event{at: fault.At, kind: evFault, subject: int32(i)})
	}
	w.queue.push(event{at: Second, kind: evSampleSecond})
	return w, nil
}

// run executes the events in order. After the end of the day it stops when no request is open, or at the time by which
// all should have ended. The audit then checks the attempts that are still in flight.
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

// handleArrival starts the request that scheduleArrival scheduled.
func (w *world) handleArrival() {
	s, arrival := w.scenario, w.nextArrival
	w.scheduleArrival()
	i := w.newRequest()
	req := &w.requests[i]
	w.lastRequestNumber++
	req.number, req.arrivedAt, req.work, req.hint = w.lastRequestNumber, w.now, arrival.Work, arrival.Hint
	req.node, req.operation, req.tenant = int32(arrival.Node), int16(arrival.Operation), int16(arrival.Tenant)
	op := &s.Operations[req.operation]
	req.due = w.now + op.Timeout
	w.result.RecordRequest(s, w.now, arrival.Operation, arrival.Tenant)
	w.queue.pushLane(
		laneDue+int(req.operation),
		event{at: req.due, kind: evClientTimeout, subject: i, generation: req.generation},
	)
	w.startAttempt(i, false)
	if h := s.Nodes.HedgeDelay; h > 0 && op.RetrySafety == admission.Idempotent {
		w.queue.push(event{at: w.now + h, kind: evHedge, subject: i, generation: req.generation})
	}
}
