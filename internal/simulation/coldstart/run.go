// Package coldstart simulates the simultaneous start of hundreds or thousands of backends. It uses the code of
// installations, unchanged: registration/reportpacing for load reports, cluster/coldstart for starts, and the backoff
// of fleet between launches. The endpoint registry and a dependency that each start calls can be overloaded and
// collapse.
package coldstart

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/backoff"
	"milletbarrow/internal/cluster/coldstart"
	faultinjectioncoldstart "milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/monotime"
)

// Policy is how backends start and send load reports.
type Policy struct {
	Name         string // name in the tables of studies; part of stored results
	FixedReports bool   // report at fixed intervals, without jitter and backoff
	MaxStarting  int    // limit of concurrent starts; 0: none; -n: set by cluster/coldstart, at most n
}

// Config describes the installation that starts.
type Config struct {
	Backends, Hosts   int
	StartDuration     time.Duration // on an idle host; longer with more than UncontendedStarts at once
	UncontendedStarts int           // concurrent starts on a host that do not slow each other down
	Registry          faultinjectioncoldstart.RegistryBehavior
	Dependency        Dependency
	Duration          time.Duration // simulated time
	Reports           reportpacing.Config
	RelaunchBackoff   backoff.Policy
}

// Dependency is the service that each start calls once.
type Dependency struct {
	Latency     time.Duration // of a call, with up to Concurrency calls at once
	Concurrency int           // with more concurrent calls, latency grows by the square of the excess
	CollapseAt  int           // with more concurrent calls it collapses and all calls fail; 0: never
	Recovery    time.Duration // it recovers after this time without a call
}

// Result is the result of one simulated cold start.
type Result struct {
	faultinjectioncoldstart.Figures
	HalfReadySeconds, MostReadySeconds float64 // seconds until 50% and 95% of the backends are ready; -1: never
	Ready                              int     // number of backends ready at the end
	DependencyCollapses                int
	DependencyCalls                    int
	PeakStarting                       int // highest number of concurrent starts
}

// event is a scheduled event. Events are executed by time, then by sequence.
type event struct {
	at        time.Duration
	kind      eventKind
	index     int // of the backend
	reference int // number of the timer, call, report or pause, depending on the kind
	sequence  int
}

// eventKind is the kind of an event.
type eventKind int

const (
	eventStart          eventKind = iota // a backend tries to start
	eventCall                            // a start calls the dependency
	eventCallDone                        // the dependency answers a call
	eventReady                           // a start succeeds
	eventReportDue                       // a backend's report timer expires
	eventReportAnswered                  // the registry answers a report
	eventPauseOver                       // a pause of the cold start ends
)

// eventQueue is a heap of events with the earliest on top. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// backend is the state of a backend.
type backend struct {
	name        string
	host        int
	pacer       *reportpacing.Pacer
	startedAt   time.Duration
	failures    int
	starting    bool
	ready       bool
	reportTimer int  // number of the latest report timer; earlier timers are ignored
	calling     bool // the call to the dependency is in flight
	callNumber  int  // number of the latest call to the dependency
}

// run is the state of one simulated cold start.
type run struct {
	config       Config
	policy       Policy
	queue        eventQueue
	sequence     int
	now          time.Duration
	rand         *rand.Rand
	backends     []backend
	startsByHost []int // concurrent starts, by host
	starting     int
	coldStart    *coldstart.State

	reportsInFlight   int // reports that the endpoint registry has not answered
	registryDownUntil time.Duration
	reports           []faultinjectioncoldstart.Call
	registryCollapses int

	callsInFlight       int           // calls that the dependency has not answered
	dependencyDownUntil time.Duration // extended by each call before it
	result              Result
	readyTimes          []time.Duration
}

// Delays of a backend's attempts to start. The first follows within maxInitialDelay. After a refusal by the policy the
// next follows after startRetryDelay, plus a random part of startRetryJitter.
const (
	maxInitialDelay  = 50 * time.Millisecond
	startRetryDelay  = 300 * time.Millisecond
	startRetryJitter = 150 * time.Millisecond
)

// Run simulates one cold start. The result depends on the configuration, the policy and the seed only.
func Run(config Config, p Policy, seed uint64) (*Result, error) {
	r, err := newRun(config, p, seed)
	if err != nil {
		return nil, err
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		if e.at > config.Duration {
			break
		}
		r.now = e.at
		r.handle(e)
	}
	r.result.Figures = faultinjectioncoldstart.Measure(
		r.reports,
		&config.Registry,
		config.Backends,
		time.Duration(config.Reports.Interval)*time.Microsecond,
		config.Duration,
	)
	r.result.Collapses, r.result.Ready = r.registryCollapses, len(r.readyTimes)
	r.result.HalfReadySeconds, r.result.MostReadySeconds = r.readyAt(0.5), r.readyAt(0.95)
	return &r.result, nil
}

// newRun sets up a run in which each backend tries to start within maxInitialDelay.
func newRun(config Config, p Policy, seed uint64) (*run, error) {
	r := &run{config: config, policy: p, rand: rand.New(rand.NewPCG(seed, 28)), startsByHost: make([]int, config.Hosts)}
	members := make([]coldstart.Member, 0, config.Backends)
	reports := config.Reports
	reports.Fixed = p.FixedReports
	for n := range config.Backends {
		name := fmt.Sprintf("n%05d", n)
		r.backends = append(
			r.backends,
			backend{name: name, host: n % config.Hosts, pacer: reportpacing.New(reports, r.rand.Uint64())},
		)
		members = append(members, coldstart.Member{
			Name:  coldstart.MemberName(name),
			Group: coldstart.GroupName(fmt.Sprint("g", n%3)),
			Host:  fmt.Sprint("h", n%config.Hosts),
		})
	}
	if p.MaxStarting < 0 {
		bound := int64(-p.MaxStarting)
		var err error
		if r.coldStart, err = coldstart.New("r", coldstart.Config{
			MaxConcurrent:     bound,
			InitialConcurrent: min(2, bound),
			MinServing:        0.1,
			MaxFailures:       8,
			SlowFactor:        3,
			MaxRejected:       0.1,
		}, members); err != nil {
			return nil, err
		}
	}
	for i := range r.backends {
		r.schedule(time.Duration(r.rand.Int64N(int64(maxInitialDelay))), eventStart, i, 0)
	}
	return r, nil
}

// readyAt returns the time at which a share of the backends was ready, in seconds, or -1 if that never happened.
func (r *run) readyAt(share float64) float64 {
	n := int(share*float64(len(r.backends)) + 0.999)
	if n > len(r.readyTimes) {
		return -1
	}
	return r.readyTimes[n-1].Seconds()
}

// schedule schedules an event after a delay.
func (r *run) schedule(after time.Duration, kind eventKind, index, reference int) {
	r.sequence++
	heap.Push(&r.queue, event{at: r.now + after, kind: kind, index: index, reference: reference, sequence: r.sequence})
}

// handle executes one event.
func (r *run) handle(e event) {
	b := &r.backends[e.index]
	switch e.kind {
	case eventStart:
		r.start(e.index)
	case eventCall:
		r.callDependency(e.index)
	case eventCallDone:
		if !b.calling || b.callNumber != e.reference { // the call failed in a collapse
			return
		}
		b.calling = false
		r.callsInFlight--
		r.schedule(r.config.StartDuration/4, eventReady, e.index, 0)
	case eventReady:
		r.endStart(e.index, true)
	case eventReportDue:
		if e.reference == b.reportTimer {
			r.report(e.index)
		}
	case eventPauseOver:
		r.coldStart.EndPause(uint64(e.reference))
	case eventReportAnswered:
		r.reportAnswered(e.index, e.reference)
	}
}

// start starts a backend if the policy allows it. Otherwise it schedules the next attempt, as agents do.
func (r *run) start(index int) {
	b := &r.backends[index]
	allowed := true
	switch {
	case r.policy.MaxStarting > 0:
		allowed = r.starting < r.policy.MaxStarting
	case r.coldStart != nil:
		allowed, _ = r.coldStart.RequestStart(coldstart.MemberName(b.name))
	}
	if !allowed {
		r.schedule(startRetryDelay+time.Duration(r.rand.Int64N(int64(startRetryJitter))), eventStart, index, 0)
		return
	}
	b.starting, b.startedAt = true, r.now
	r.starting++
	r.startsByHost[b.host]++
	r.result.PeakStarting = max(r.result.PeakStarting, r.starting)
	slowdown := max(1, float64(r.startsByHost[b.host])/float64(r.config.UncontendedStarts))
	duration := time.Duration(float64(r.config.StartDuration) * (0.5 + r.rand.Float64()*0.5) * slowdown)
	r.schedule(duration, eventCall, index, 0)
}

// callDependency sends the call of a starting backend to the dependency.
func (r *run) callDependency(index int) {
	b := &r.backends[index]
	r.result.DependencyCalls++
	if r.now < r.dependencyDownUntil { // a call delays the recovery
		r.dependencyDownUntil = r.now + r.config.Dependency.Recovery
		r.endStart(index, false)
		return
	}
	r.callsInFlight++
	b.callNumber++
	b.calling = true
	if r.config.Dependency.CollapseAt > 0 && r.callsInFlight > r.config.Dependency.CollapseAt {
		r.result.DependencyCollapses++
		r.dependencyDownUntil = r.now + r.config.Dependency.Recovery
		for i := range r.backends {
			if other := &r.backends[i]; other.calling {
				other.calling = false
				r.endStart(i, false)
			}
		}
		r.callsInFlight = 0
		return
	}
	overload := max(1, float64(r.callsInFlight)/float64(r.config.Dependency.Concurrency))
	r.schedule(
		time.Duration(float64(r.config.Dependency.Latency)*overload*overload),
		eventCallDone,
		index,
		b.callNumber,
	)
}

// endStart ends a start. A backend that failed to start is relaunched after a backoff.
func (r *run) endStart(index int, succeeded bool) {
	b := &r.backends[index]
	if !b.starting {
		return
	}
	b.starting = false
	r.starting--
	r.startsByHost[b.host]--
	if r.coldStart != nil {
		pauseNumber := r.coldStart.PauseNumber
		r.coldStart.Report(coldstart.MemberName(b.name), coldstart.Outcome{
			Ready: succeeded, Took: monotime.FromDuration(r.now - b.startedAt), Cause: "the dependency failed",
		})
		if r.coldStart.PauseNumber != pauseNumber {
			r.schedule(
				time.Duration(r.coldStart.Pause)*time.Microsecond,
				eventPauseOver,
				index,
				int(r.coldStart.PauseNumber),
			)
		}
	}
	if !succeeded {
		b.failures++
		r.schedule(r.config.RelaunchBackoff.Pause(b.failures+1, r.rand), eventStart, index, 0)
		return
	}
	b.ready = true
	r.readyTimes = append(r.readyTimes, r.now)
	b.pacer.Start(monotime.FromDuration(r.now))
	r.scheduleReport(index)
}

// scheduleReport schedules the report timer of a backend for the time that its pacer sets.
func (r *run) scheduleReport(index int) {
	b := &r.backends[index]
	b.reportTimer++
	if at, room := b.pacer.Due(); room {
		r.schedule(max(0, time.Duration(at)*time.Microsecond-r.now), eventReportDue, index, b.reportTimer)
	}
}

// report sends a load report to the endpoint registry.
func (r *run) report(index int) {
	b := &r.backends[index]
	b.pacer.Started(monotime.FromDuration(r.now))
	r.scheduleReport(index)
	registry := &r.config.Registry
	phase := registry.At(r.now)
	r.reports = append(r.reports, faultinjectioncoldstart.Call{Name: b.name, At: r.now})
	call := len(r.reports) - 1
	r.reportsInFlight++
	if registry.MaxOpenCalls > 0 && r.reportsInFlight > registry.MaxOpenCalls && r.now >= r.registryDownUntil {
		r.registryCollapses++
		r.registryDownUntil = r.now + registry.RecoveryTime
	}
	duration := phase.ResponseTime + time.Duration(r.rand.Int64N(int64(time.Millisecond)))
	r.reports[call].Accepted = phase.Mode == faultinjectioncoldstart.Accepts && r.now >= r.registryDownUntil ||
		phase.Mode == faultinjectioncoldstart.RejectsHalf && r.rand.IntN(2) == 0
	r.schedule(duration, eventReportAnswered, index, call)
}

// reportAnswered passes the registry's answer to a backend's pacer.
func (r *run) reportAnswered(index, call int) {
	b := &r.backends[index]
	r.reportsInFlight--
	c := &r.reports[call]
	if c.Accepted {
		b.pacer.Succeeded(monotime.FromDuration(r.now), monotime.FromDuration(c.At))
	} else {
		b.pacer.Failed(
			monotime.FromDuration(r.now),
			reportpacing.Rejected,
			monotime.FromDuration(r.config.Registry.At(c.At).RetryAfter),
		)
	}
	r.scheduleReport(index)
}
