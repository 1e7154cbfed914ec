// Package coldstart plays how hundreds or thousands of backends come up together, with the code that decides it in
// installations (registration/reportpacing for load reports, cluster/coldstart for starts, fleet's pauses between launches) unchanged: beside a
// register, and a service below that each start has to call, both of which can be crowded and fall over. One seed, one course.
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
)

// Policy is how backends start and report.
type Policy struct {
	Name         string
	FixedReports bool // reports without chance and growing pauses
	MaxStarting  int  // starts at once; 0: all; below 0: by manage/rise, up to so many
}

// Config of a course.
type Config struct {
	Backends, Hosts   int
	StartDuration     time.Duration // a start on a host that has nothing else to do; so many more at once and each takes longer
	UncontendedStarts int           // starts of a host that do not slow each other down
	Registry          faultinjectioncoldstart.Register
	Dependency        Dependency
	Duration          time.Duration
	Reports           reportpacing.Config
	RelaunchBackoff   backoff.Policy
}

// Dependency is the service that each start calls once.
type Dependency struct {
	Latency     time.Duration // while no more than so many call at once
	Concurrency int           // beyond it each takes longer, by the square
	CollapseAt  int           // beyond it, it falls over and what it had in hand comes to nothing; 0: it never does
	Recovery    time.Duration // it is well again once it was left alone for so long
}

// Result is what came of it.
type Result struct {
	faultinjectioncoldstart.Figures
	HalfReadySeconds, MostReadySeconds float64 // seconds until a half, and 95 in a hundred, are warm; -1: never
	Ready                              int     // at the end
	DependencyCollapses                int
	DependencyCalls                    int
	PeakStarting                       int // at once, at the most
}

type event struct {
	at        time.Duration
	kind      int
	index     int
	reference int
	sequence  int
}

const (
	eventStart = iota // a start is tried
	eventCall         // a start has come to its call below
	eventCallDone
	eventReady
	eventReportDue // a report
	eventReportAnswered
	eventPauseOver // a rise has
)

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push and Pop are heap's.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last off.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type backend struct {
	name        string
	host        int
	pacer       *reportpacing.Pacer
	startedAt   time.Duration
	failures    int
	starting    bool
	ready       bool
	reportTimer int  // of its timer
	calling     bool // its call below is in hand
	callNumber  int  // of them, by number
}

type run struct {
	config       Config
	policy       Policy
	queue        eventQueue
	sequence     int
	now          time.Duration
	rand         *rand.Rand
	backends     []backend
	startsByHost []int // starts under way, by host
	starting     int
	coldStart    *coldstart.State
	indexByName  map[string]int

	reportsInFlight   int // calls at the endpoint registry
	registryDownUntil time.Duration
	reports           []faultinjectioncoldstart.Call
	registryCollapses int

	callsInFlight       int           // calls in hand
	dependencyDownUntil time.Duration // the service below is ill until then, if it is left alone
	result              Result
	readyTimes          []time.Duration
}

// Run plays one course.
func Run(t Config, p Policy, seed uint64) (*Result, error) {
	w := &run{config: t, policy: p, rand: rand.New(rand.NewPCG(seed, 28)), startsByHost: make([]int, t.Hosts), indexByName: map[string]int{}}
	members := make([]coldstart.Member, 0, t.Backends)
	reports := t.Reports
	reports.Fixed = p.FixedReports
	for n := range t.Backends {
		name := fmt.Sprintf("n%05d", n)
		w.backends = append(w.backends, backend{name: name, host: n % t.Hosts, pacer: reportpacing.New(reports, w.rand.Uint64())})
		w.indexByName[name] = n
		members = append(members, coldstart.Member{Name: name, Group: fmt.Sprint("g", n%3), Host: fmt.Sprint("h", n%t.Hosts)})
	}
	if p.MaxStarting < 0 {
		var err error
		terms := coldstart.Config{MaxConcurrent: int64(-p.MaxStarting), InitialConcurrent: min(2, int64(-p.MaxStarting)), MinServing: 0.1, MaxFailures: 8, SlowFactor: 3, MaxRejected: 0.1}
		if w.coldStart, err = coldstart.New("r", terms, members); err != nil {
			return nil, err
		}
	}
	for i := range w.backends {
		w.schedule(time.Duration(w.rand.Int64N(int64(50*time.Millisecond))), eventStart, i, 0)
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > t.Duration {
			break
		}
		w.now = e.at
		w.handle(e)
	}
	w.result.Figures = faultinjectioncoldstart.Of(w.reports, &t.Registry, t.Backends, time.Duration(t.Reports.Interval)*time.Microsecond, t.Duration)
	w.result.Falls, w.result.Ready = w.registryCollapses, len(w.readyTimes)
	w.result.HalfReadySeconds, w.result.MostReadySeconds = w.readyAt(0.5), w.readyAt(0.95)
	return &w.result, nil
}

func (w *run) readyAt(share float64) float64 {
	n := int(share*float64(len(w.backends)) + 0.999)
	if n > len(w.readyTimes) {
		return -1
	}
	return w.readyTimes[n-1].Seconds()
}

func (w *run) schedule(after time.Duration, kind, index, gen int) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + after, kind: kind, index: index, reference: gen, sequence: w.sequence})
}

func micros(d time.Duration) reportpacing.Micros { return reportpacing.Micros(d.Microseconds()) }

func (w *run) handle(e event) {
	b := &w.backends[e.index]
	switch e.kind {
	case eventStart:
		w.start(e.index)
	case eventCall:
		w.callDependency(e.index)
	case eventCallDone:
		if !b.calling || b.callNumber != e.reference { // it fell over with this in hand
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

// eventStart starts one, if it may now; else it asks again a little later, as agents do.
func (w *run) start(index int) {
	b := &w.backends[index]
	may := true
	switch {
	case w.policy.MaxStarting > 0:
		may = w.starting < w.policy.MaxStarting
	case w.coldStart != nil:
		may, _ = w.coldStart.RequestStart(b.name)
	}
	if !may {
		w.schedule(300*time.Millisecond+time.Duration(w.rand.Int64N(int64(150*time.Millisecond))), eventStart, index, 0)
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

// callDependency has a start fetch what it needs.
func (w *run) callDependency(index int) {
	b := &w.backends[index]
	w.result.DependencyCalls++
	if w.now < w.dependencyDownUntil { // and ill for longer, because it is not left alone
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
	crowd := max(1, float64(w.callsInFlight)/float64(w.config.Dependency.Concurrency))
	w.schedule(time.Duration(float64(w.config.Dependency.Latency)*crowd*crowd), eventCallDone, index, b.callNumber)
}

// endStart closes a start.
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
		w.coldStart.Report(b.name, coldstart.Outcome{Ready: well, Took: coldstart.Micros((w.now - b.startedAt).Microseconds()), Cause: "the service below"})
		if w.coldStart.PauseNumber != no {
			w.schedule(time.Duration(w.coldStart.Pause)*time.Microsecond, eventPauseOver, index, int(w.coldStart.PauseNumber))
		}
	}
	if !well {
		b.failures++
		w.schedule(w.config.RelaunchBackoff.Pause(b.failures+1, w.rand), eventStart, index, 0)
		return
	}
	b.ready = true
	w.readyTimes = append(w.readyTimes, w.now)
	b.pacer.Start(micros(w.now))
	w.scheduleReport(index)
}

// scheduleReport sets a backend's timer by its pace.
func (w *run) scheduleReport(index int) {
	b := &w.backends[index]
	b.reportTimer++
	if at, room := b.pacer.Due(); room {
		w.schedule(max(0, time.Duration(at)*time.Microsecond-w.now), eventReportDue, index, b.reportTimer)
	}
}

// report calls the endpoint registry.
func (w *run) report(index int) {
	b := &w.backends[index]
	b.pacer.Started(micros(w.now))
	w.scheduleReport(index)
	r := &w.config.Registry
	p := r.At(w.now)
	w.reports = append(w.reports, faultinjectioncoldstart.Call{Name: b.name, At: w.now})
	call := len(w.reports) - 1
	w.reportsInFlight++
	if r.Crowd > 0 && w.reportsInFlight > r.Crowd && w.now >= w.registryDownUntil {
		w.registryCollapses++
		w.registryDownUntil = w.now + r.Needs
	}
	takes := p.Takes + time.Duration(w.rand.Int64N(int64(time.Millisecond)))
	w.reports[call].Counted = p.Mode == faultinjectioncoldstart.Takes && w.now >= w.registryDownUntil || p.Mode == faultinjectioncoldstart.Half && w.rand.IntN(2) == 0
	w.schedule(takes, eventReportAnswered, index, call)
}

func (w *run) reportAnswered(index, call int) {
	b := &w.backends[index]
	w.reportsInFlight--
	c := &w.reports[call]
	if c.Counted {
		b.pacer.Succeeded(micros(w.now), micros(c.At))
	} else {
		b.pacer.Failed(micros(w.now), reportpacing.Rejected, micros(w.config.Registry.At(c.At).Advice))
	}
	w.scheduleReport(index)
}
