package simulation

import (
	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/monotime"
)

// Decider makes the decisions of one incarnation of a host. It is admission.Backend, unchanged, or a baseline that uses
// the same events and actions. Decide appends its actions to out.
type Decider interface {
	Decide(now monotime.Micros, ev admission.Event, out []admission.Action) []admission.Action
}

// host is a backend machine and its process.
type host struct {
	number      int32
	incarnation uint32
	up          bool
	policy      Decider

	cores             sharedWork
	baseSpeed         float64 // speed of the machine; the mean is 1
	slowdown          float64 // slowdown by a Slow fault; 1: none
	coreShare         float64 // share of the cores that other processes leave unused
	warmUpSpeed       float64 // speed during warm-up, up to 1
	startedAt         monotime.Micros
	firstAttempt      int32 // head of the list of attempts in flight, newest first
	inFlight          int
	queued            int
	running           int // number of runs on the cores
	reading           int
	inCalls           int
	memory            float64
	idempotencyKeysKB float64
	connections       int
	idleTimeout       monotime.Micros
	healthy           bool
	draining          bool
	noticedAt         monotime.Micros // time of the shutdown notice
	exitsAt           monotime.Micros
	overloadedAt      monotime.Micros // start of the present overload; 0: not overloaded
	busyMicros        float64
	busyUpdatedAt     monotime.Micros
	busyAtReading     float64 // busyMicros at the last reading of the gauges
	readingAt         monotime.Micros
	busyAtSecond      float64 // busyMicros at the last full second
	clockSkew         monotime.Micros
	managedByAgent    bool // a hostAgent starts and stops the process
	cachedResults     map[string]*cachedResult
	resultsByRequest  map[uint64]string
	degradation       *degradationState
}

// cachedResult is the result of a request with an idempotency key. Its run may still be pending.
type cachedResult struct {
	expiresAt monotime.Micros
	ended     bool
	succeeded bool
	attempt   int32
}

// degradationState is the state of graceful degradation on one host.
type degradationState struct {
	controller *degradation.Controller
	shedder    *degradation.Shedder
	signals    *degradation.SignalMeter
}

// startProcess starts the next incarnation of a host. A cold process starts slowly and warms up.
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
	if policy := w.policy.Degradation; policy != nil {
		shedder, err := degradation.NewShedder(policy, w.scenario.operationNames(), w.scenario.tenantNames(), seed)
		if err != nil {
			return err
		}
		h.degradation = &degradationState{
			controller: degradation.NewController(policy),
			shedder:    shedder,
			signals:    degradation.NewSignalMeter(w.scenario.Hosts.Cores),
		}
	}
	if cold && w.scenario.Hosts.WarmUp > 0 {
		h.warmUpSpeed = w.scenario.Hosts.ColdSpeed
		if h.degradation != nil {
			h.degradation.signals.SetWarmingUntil(w.now + w.scenario.Hosts.WarmUp)
		}
		w.queue.push(
			event{
				at:         w.now + w.scenario.Hosts.WarmUp/warmUpSteps + 1,
				kind:       evWarmUp,
				subject:    h.number,
				generation: h.incarnation,
			},
		)
	}
	w.startQuotas(h)
	w.decide(h, admission.Opened{})
	w.queue.push(event{at: w.now + w.scenario.Registry.Lag, kind: evListed, subject: h.number, detail: 1})
	return nil
}

// operationNames returns the names of the operations, in order.
func (s *Scenario) operationNames() (names []string) {
	for _, op := range s.Operations {
		names = append(names, op.Name)
	}
	return names
}

// tenantNames returns the names of the tenants, in order.
func (s *Scenario) tenantNames() (names []string) {
	for _, t := range s.Tenants {
		names = append(names, t.Name)
	}
	return names
}
