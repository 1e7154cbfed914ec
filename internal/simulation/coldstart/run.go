// Package coldstart simulates how hundreds or thousands of backends come up together, with the code that decides it
// in installations unchanged: registration/reportpacing for load reports, cluster/coldstart for starts, and fleet's
// backoff between launches. The endpoint registry and a dependency that each start calls can both be overloaded and
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

// Policy is how backends start and report.
type Policy struct {
	Name         string // in the tables of studies
	FixedReports bool   // report at fixed intervals, without jitter and backoff
	MaxStarting  int    // concurrent starts; 0: no bound; -n: by the cluster's cold start, up to n
}

// Config describes the installation that comes up.
type Config struct {
	Backends, Hosts   int
	StartDuration     time.Duration // of a start on an idle host; with more than UncontendedStarts each takes longer
	UncontendedStarts int           // concurrent starts of a host that do not slow each other down
	Registry          faultinjectioncoldstart.RegistryBehavior
	Dependency        Dependency
	Duration          time.Duration // simulated time
	Reports           reportpacing.Config
	RelaunchBackoff   backoff.Policy
}

// Dependency is the service that each start calls once.
type Dependency struct {
	Latency     time.Duration // of a call, up to Concurrency calls at once
	Concurrency int           // beyond it each call takes longer, by the square of the excess
	CollapseAt  int           // concurrent calls beyond which it collapses and loses all of them; 0: it never does
	Recovery    time.Duration // it recovers after so long without a call
}

// Result is the outcome of one run.
type Result struct {
	faultinjectioncoldstart.Figures
	HalfReadySeconds, MostReadySeconds float64 // seconds until 50% and 95% of the backends are ready; -1: never
	Ready                              int     // backends ready at the end
	DependencyCollapses                int
	DependencyCalls                    int
	PeakStarting                       int // highest number of concurrent starts
}

// event is scheduled by time, then by sequence.
type event struct {
	at        time.Duration
	kind      eventKind
	index     int // of the backend
	reference int // depends on the kind: a timer, a call, a report or a pause, by number
	sequence  int
}

// eventKind says what an event is.
type eventKind int

const (
	eventStart          eventKind = iota // a backend tries to start
	eventCall                            // a start calls the dependency
	eventCallDone                        // the dependency has answered
	eventReady                           // a start has succeeded
	eventReportDue                       // a backend's report timer
	eventReportAnswered                  // the registry has answered a report
	eventPauseOver                       // a pause of the cold start has ended
)

// eventQueue is a heap of events, the earliest first.
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

// backend is the state of one backend.
type backend struct {
	name        string
	host        int
	pacer       *reportpacing.Pacer
	startedAt   time.Duration
	failures    int
	starting    bool
	ready       bool
	reportTimer int  // number of its latest report timer; earlier ones are ignored
	calling     bool // its call to the dependency is in flight
	callNumber  int  // of its latest call to the dependency
}

// run is the state of one run.
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

	reportsInFlight   int // at the endpoint registry
	registryDownUntil time.Duration
	reports           []faultinjectioncoldstart.Call
	registryCollapses int

	callsInFlight       int           // to the dependency
	dependencyDownUntil time.Duration // unless it is called before
	result              Result
	readyTimes          []time.Duration
}

// Delays of a backend's attempts to start: the first, and those after the policy has refused one.
const (
	maxFirstStart  = 50 * time.Millisecond
	startPoll      = 300 * time.Millisecond
	startPollRange = 150 * time.Millisecond
)

// Run plays one cold start. The same configuration, policy and seed give the same result.
func Run(t Config, p Policy, seed uint64) (*Result, error) {
	w, err := newRun(t, p, seed)
	if err != nil {
		return nil, err
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > t.Duration {
			break
		}
		w.now = e.at
		w.handle(e)
	}
	w.result.Figures = faultinjectioncoldstart.Measure(
		w.reports,
		&t.Registry,
		t.Backends,
		time.Duration(t.Reports.Interval)*time.Microsecond,
		t.Duration,
	)
	w.result.Collapses, w.result.Ready = w.registryCollapses, len(w.readyTimes)
	w.result.HalfReadySeconds, w.result.MostReadySeconds = w.readyAt(0.5), w.readyAt(0.95)
	return &w.result, nil
}

// newRun sets up all backends, each of which tries to start within maxFirstStart.
func newRun(t Config, p Policy, seed uint64) (*run, error) {
	w := &run{config: t, policy: p, rand: rand.New(rand.NewPCG(seed, 28)), startsByHost: make([]int, t.Hosts)}
	members := make([]coldstart.Member, 0, t.Backends)
	reports := t.Reports
	reports.Fixed = p.FixedReports
	for n := range t.Backends {
		name := fmt.Sprintf("n%05d", n)
		w.backends = append(
			w.backends,
			backend{name: name, host: n % t.Hosts, pacer: reportpacing.New(reports, w.rand.Uint64())},
		)
		members = append(members, coldstart.Member{
			Name:  coldstart.MemberName(name),
			Group: coldstart.GroupName(fmt.Sprint("g", n%3)),
			Host:  fmt.Sprint("h", n%t.Hosts),
		})
	}
	if p.MaxStarting < 0 {
		bound := int64(-p.MaxStarting)
		var err error
		if w.coldStart, err = coldstart.New("r", coldstart.Config{
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
	for i := range w.backends {
		w.schedule(time.Duration(w.rand.Int64N(int64(maxFirstStart))), eventStart, i, 0)
	}
	return w, nil
}

// readyAt returns when a share of the backends was ready, in seconds; -1: never.
func (w *run) readyAt(share float64) float64 {
	n := int(share*float64(len(w.backends)) + 0.999)
	if n > len(w.readyTimes) {
		return -1
	}
	return w.readyTimes[n-1].Seconds()
}

// schedule adds an event after a delay.
func (w *run) schedule(after time.Duration, kind eventKind, index, reference int) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + after, kind: kind, index: index, reference: reference, sequence: w.sequence})
}

// micros converts a duration to whole microseconds.

// handle executes one event.
func (w *run) handle(e event) {
	b := &w.backends[e.index]
	switch e.kind {
	case eventStart:
		w.start(e.index)
	case eventCall:
		w.callDependency(e.index)
	case eventCallDone:
		if !b.calling || b.callNumber != e.reference { // it was lost in a collapse
			return
		}
		b.calling = false
		w.callsInFlight--
		w.schedule(w.config.StartDuration/4, eventReady, e.index, 0)
	case eventReady:
		w.endStart(e.index, true)
	case eventReportDue:
		if e.reference == b.reportTimer {
			w.report(e.index)
		}
	case eventPauseOver:
		w.coldStart.EndPause(uint64(e.reference))
	case eventReportAnswered:
		w.reportAnswered(e.index, e.reference)
	}
}

// start starts a backend if the policy allows it; else it tries again a little later, as agents do.
func (w *run) start(index int) {
	b := &w.backends[index]
	may := true
	switch {
	case w.policy.MaxStarting > 0:
		may = w.starting < w.policy.MaxStarting
	case w.coldStart != nil:
		may, _ = w.coldStart.RequestStart(coldstart.MemberName(b.name))
	}
	if !may {
		w.schedule(startPoll+time.Duration(w.rand.Int64N(int64(startPollRange))), eventStart, index, 0)
		return
	}
	b.starting, b.startedAt = true, w.now
	w.starting++
	w.startsByHost[b.host]++
	w.result.PeakStarting = max(w.result.PeakStarting, w.starting)
	slower := max(1, float64(w.startsByHost[b.host])/float64(w.config.UncontendedStarts))
	takes := time.Duration(float64(w.config.StartDuration) * (0.5 + w.rand.Float64()*0.5) * slower)
	w.schedule(takes, eventCall, index, 0)
}

// callDependency sends the call of a start to the dependency.
func (w *run) callDependency(index int) {
	b := &w.backends[index]
	w.result.DependencyCalls++
	if w.now < w.dependencyDownUntil { // and down for longer, as it was called again
		w.dependencyDownUntil = w.now + w.config.Dependency.Recovery
		w.endStart(index, false)
		return
	}
	w.callsInFlight++
	b.callNumber++
	b.calling = true
	if w.config.Dependency.CollapseAt > 0 && w.callsInFlight > w.config.Dependency.CollapseAt {
		w.result.DependencyCollapses++
		w.dependencyDownUntil = w.now + w.config.Dependency.Recovery
		for i := range w.backends {
			if o := &w.backends[i]; o.calling {
				o.calling = false
				w.endStart(i, false)
			}
		}
		w.callsInFlight = 0
		return
	}
	overload := max(1, float64(w.callsInFlight)/float64(w.config.Dependency.Concurrency))
	w.schedule(
		time.Duration(float64(w.config.Dependency.Latency)*overload*overload),
		eventCallDone,
		index,
		b.callNumber,
	)
}

// endStart ends a start. A failed one is relaunched after a backoff.
func (w *run) endStart(index int, well bool) {
	b := &w.backends[index]
	if !b.starting {
		return
	}
	b.starting = false
	w.starting--
	w.startsByHost[b.host]--
	if w.coldStart != nil {
		no := w.coldStart.PauseNumber
		w.coldStart.Report(coldstart.MemberName(b.name), coldstart.Outcome{
			Ready: well, Took: monotime.FromDuration(w.now - b.startedAt), Cause: "the service below",
		})
		if w.coldStart.PauseNumber != no {
			w.schedule(
				time.Duration(w.coldStart.Pause)*time.Microsecond,
				eventPauseOver,
				index,
				int(w.coldStart.PauseNumber),
			)
		}
	}
	if !well {
		b.failures++
		w.schedule(w.config.RelaunchBackoff.Pause(b.failures+1, w.rand), eventStart, index, 0)
		return
	}
	b.ready = true
	w.readyTimes = append(w.readyTimes, w.now)
	b.pacer.Start(monotime.FromDuration(w.now))
	w.scheduleReport(index)
}

// scheduleReport sets a backend's report timer by its pacer.
func (w *run) scheduleReport(index int) {
	b := &w.backends[index]
	b.reportTimer++
	if at, room := b.pacer.Due(); room {
		w.schedule(max(0, time.Duration(at)*time.Microsecond-w.now), eventReportDue, index, b.reportTimer)
	}
}

// report sends a load report to the endpoint registry.
func (w *run) report(index int) {
	b := &w.backends[index]
	b.pacer.Started(monotime.FromDuration(w.now))
	w.scheduleReport(index)
	r := &w.config.Registry
	p := r.At(w.now)
	w.reports = append(w.reports, faultinjectioncoldstart.Call{Name: b.name, At: w.now})
	call := len(w.reports) - 1
	w.reportsInFlight++
	if r.MaxOpenCalls > 0 && w.reportsInFlight > r.MaxOpenCalls && w.now >= w.registryDownUntil {
		w.registryCollapses++
		w.registryDownUntil = w.now + r.RecoveryTime
	}
	takes := p.ResponseTime + time.Duration(w.rand.Int64N(int64(time.Millisecond)))
	w.reports[call].Accepted = p.Mode == faultinjectioncoldstart.Accepts && w.now >= w.registryDownUntil ||
		p.Mode == faultinjectioncoldstart.RejectsHalf && w.rand.IntN(2) == 0
	w.schedule(takes, eventReportAnswered, index, call)
}

// reportAnswered passes the registry's answer to a backend's pacer.
func (w *run) reportAnswered(index, call int) {
	b := &w.backends[index]
	w.reportsInFlight--
	c := &w.reports[call]
	if c.Accepted {
		b.pacer.Succeeded(monotime.FromDuration(w.now), monotime.FromDuration(c.At))
	} else {
		b.pacer.Failed(
			monotime.FromDuration(w.now),
			reportpacing.Rejected,
			monotime.FromDuration(w.config.Registry.At(c.At).RetryAfter),
		)
	}
	w.scheduleReport(index)
}
