package quota

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

const (
	maxInFlight   = 8  // lease requests of a faultyFleet
	maxProcesses  = 20 // of a faultyFleet
	tickInterval  = 100 * monotime.Millisecond
	settlingTime  = 4 * monotime.Second // after it, no grant from before a change of the total is in force
	maxTotals     = 3
	recentAnswers = 12 // a late response is one of this many latest ones
)

// faultyFleet simulates holders and a leader, all with drifting clocks, and messages that are lost, late or duplicated.
type faultyFleet struct {
	t         *rapid.T
	config    Config
	now       monotime.Micros // true time
	state     *State
	tracker   LeaseTracker
	drift     monotime.Micros // of the leader's clock, in thousandths
	processes []*faultyProcess
	requests  []inFlightRequest
	responses []backendquota.LeaseResponse
	totals    []configuredTotal // oldest first
}

type configuredTotal struct {
	units int64
	since monotime.Micros
}

// faultyProcess is one process of a backend.
type faultyProcess struct {
	*backendquota.Holder
	backend     int
	incarnation string
	host        string
	drift       monotime.Micros // of its clock, in millionths
	exited      bool
}

type inFlightRequest struct {
	host    string
	message backendquota.LeaseRequest
}

func (p *faultyProcess) name() InstanceName { return backendName(p.backend) }

func (p *faultyProcess) key() ClientKey { return NewClientKey(p.name(), p.incarnation) }

func (p *faultyProcess) clock(now monotime.Micros) monotime.Micros {
	return now + now/1000*p.drift/1000
}

func newFaultyFleet(t *rapid.T) *faultyFleet {
	backends := rapid.IntRange(1, 6).Draw(t, "backends")
	floor := int64(rapid.IntRange(0, 4).Draw(t, "floor"))
	total := max(1, floor*int64(backends)) + int64(rapid.IntRange(0, 60).Draw(t, "pool"))
	divisions := []Division{DivideEvenly, DivideByCapacity, DivideByDemand}
	f := &faultyFleet{
		t:      t,
		config: rateConfig(total, backends, floor, rapid.SampledFrom(divisions).Draw(t, "division")),
		now:    1000 * monotime.Second,
		state:  NewState(),
		drift:  monotime.Micros(rapid.IntRange(0, 4).Draw(t, "leader drift")),
		totals: []configuredTotal{{units: total}},
	}
	f.state.Apply(Command{Config: &f.config})
	f.tracker.BecomeLeader(f.leaderClock(), f.state, false)
	for i := range backends {
		f.start(i)
	}
	return f
}

func (f *faultyFleet) leaderClock() monotime.Micros { return f.now + f.now/1000*f.drift }

// start starts a new process of a backend.
func (f *faultyFleet) start(backend int) {
	p := &faultyProcess{
		backend:     backend,
		incarnation: fmt.Sprint(len(f.processes)),
		host:        fmt.Sprint("h", backend%3),
		drift:       monotime.Micros(rapid.IntRange(-4000, 4000).Draw(f.t, "drift")),
	}
	p.Holder = backendquota.New(string(p.name()), p.incarnation, []string{string(testRate)})
	f.processes = append(f.processes, p)
}

func (f *faultyFleet) anyProcess() *faultyProcess {
	return f.processes[rapid.IntRange(0, len(f.processes)-1).Draw(f.t, "process")]
}

// running returns the processes that have not exited.
func (f *faultyFleet) running() []*faultyProcess {
	var running []*faultyProcess
	for _, p := range f.processes {
		if !p.exited {
			running = append(running, p)
		}
	}
	return running
}

func (f *faultyFleet) apply(command Command) Result {
	command.FreezeGrowth = f.tracker.GrowthFrozen(f.leaderClock())
	return f.state.Apply(command)
}

func (f *faultyFleet) tick() {
	expired, rebalance := f.tracker.Tick(f.leaderClock(), f.state)
	f.apply(Command{Expire: expired, Rebalance: rebalance})
}

func (f *faultyFleet) send(p *faultyProcess) {
	f.requests = append(f.requests, inFlightRequest{host: p.host, message: p.NewRequest(p.clock(f.now))})
}

// deliver delivers a request. A duplicated one stays in flight, to be delivered and answered once more.
func (f *faultyFleet) deliver(i int, duplicate bool) {
	request := f.requests[i]
	if !duplicate {
		f.requests = slices.Delete(f.requests, i, i+1)
	}
	f.responses = append(f.responses, f.renew(request))
}

func (f *faultyFleet) renew(request inFlightRequest) backendquota.LeaseResponse {
	command := &RenewCommand{Host: request.host, Requests: []backendquota.LeaseRequest{request.message}}
	return f.apply(Command{Renew: command}).Answers[0]
}

func (f *faultyFleet) reportExit(p *faultyProcess, host string) {
	f.apply(Command{Exited: &ExitCommand{Host: host, ClientKeys: []ClientKey{p.key()}}})
}

// actions returns the actions of a rapid state machine test; "" is run after each of them.
func (f *faultyFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"request": func(*rapid.T) {
			if p := f.anyProcess(); !p.exited && len(f.requests) < maxInFlight {
				f.send(p)
			}
		},
		"all renew without faults": func(*rapid.T) {
			for _, p := range f.running() {
				f.send(p)
				f.deliver(len(f.requests)-1, false)
				_ = p.Apply(p.clock(f.now), f.responses[len(f.responses)-1])
			}
		},
		"deliver request": func(t *rapid.T) {
			if n := len(f.requests); n > 0 {
				f.deliver(rapid.IntRange(0, n-1).Draw(t, "request"), rapid.Bool().Draw(t, "duplicate"))
			}
		},
		"deliver response": func(t *rapid.T) {
			if n := len(f.responses); n > 0 {
				response := f.responses[rapid.IntRange(max(0, n-recentAnswers), n-1).Draw(t, "response")]
				for _, p := range f.running() {
					_ = p.Apply(p.clock(f.now), response) // all but its addressee reject it
				}
			}
		},
		"requests are lost": func(*rapid.T) { f.requests = f.requests[:0] },
		"draw": func(t *rapid.T) {
			if p := f.anyProcess(); !p.exited {
				for range rapid.IntRange(1, 50).Draw(t, "draws") {
					p.TryAcquire(p.clock(f.now), 0)
				}
			}
		},
		"time passes":    func(t *rapid.T) { f.now += monotime.Micros(rapid.IntRange(1, 400_000).Draw(t, "us")) },
		"a lease passes": func(*rapid.T) { f.now += testLease },
		"election":       func(*rapid.T) { f.tracker.BecomeLeader(f.leaderClock(), f.state, false) },
		"tick":           func(*rapid.T) { f.tick() },
		"exit": func(t *rapid.T) {
			if p := f.anyProcess(); !p.exited && len(f.processes) < maxProcesses {
				p.exited = true
				if rapid.Bool().Draw(t, "reported") {
					f.reportExit(p, p.host)
				}
				f.start(p.backend)
			}
		},
		"exit reported by another host": func(*rapid.T) {
			p := f.anyProcess()
			f.reportExit(p, p.host+"x")
		},
		"another total": func(t *rapid.T) {
			if len(f.totals) <= maxTotals {
				f.changeTotal(int64(rapid.IntRange(0, 60).Draw(t, "pool")))
			}
		},
		"": func(*rapid.T) { f.check() },
	}
}

// changeTotal configures another total and ticks until the leases granted under the former one have expired.
func (f *faultyFleet) changeTotal(pool int64) {
	floors := int64(0)
	for _, floor := range f.config.Limits[0].Floors {
		floors += floor
	}
	next := f.config
	next.Version = uint64(len(f.totals) + 1)
	next.Limits = slices.Clone(f.config.Limits)
	next.Limits[0].Total = max(1, floors) + pool
	f.state.Apply(Command{Config: &next})
	f.totals = append(f.totals, configuredTotal{units: next.Limits[0].Total, since: f.now})
	for range settlingTime / tickInterval {
		f.now += tickInterval
		f.tick()
	}
}

// check compares the sum that the processes may draw, by their own clocks, with the total. It also compares the
// incrementally updated totals of the state with recomputed ones.
func (f *faultyFleet) check() {
	sum := int64(0)
	floors := map[InstanceName]int64{}
	for _, p := range f.running() {
		for _, status := range p.Status(p.clock(f.now)) {
			sum += status.Extra
			floors[p.name()] += status.Floor
		}
	}
	for _, floor := range floors {
		sum += floor
	}
	if total := f.highestTotal(); sum > total {
		f.t.Fatalf("at %d grants in force add up to %d, the total is %d", f.now, sum, total)
	}
	incremental := *f.state.totals[testRate]
	f.state.recount(testRate)
	recounted := *f.state.totals[testRate]
	if incremental.inForce != recounted.inForce || incremental.reservedFloors != recounted.reservedFloors ||
		incremental.extras != recounted.extras {
		f.t.Fatalf("incremental totals %+v, recounted %+v", incremental, recounted)
	}
}

// highestTotal returns the highest total under which grants may be in force now: the present one, or a former one whose
// leases may not have expired yet.
func (f *faultyFleet) highestTotal() int64 {
	latest := len(f.totals) - 1
	highest := f.totals[latest].units
	for i := latest - 1; i >= 0 && f.now-f.totals[i+1].since < settlingTime; i-- {
		highest = max(highest, f.totals[i].units)
	}
	return highest
}

// recover simulates 60 ticks without faults, in which all exits are reported and all running processes renew.
func (f *faultyFleet) recover() {
	for range 60 {
		f.now += tickInterval
		f.tick()
		for _, p := range f.processes {
			if p.exited {
				f.reportExit(p, p.host)
				continue
			}
			response := f.renew(inFlightRequest{host: p.host, message: p.NewRequest(p.clock(f.now))})
			if err := p.Apply(p.clock(f.now), response); err != nil {
				f.t.Fatalf("%s: %v: %s", p.name(), err, response.Refusal)
			}
		}
		f.check()
	}
}

// TestGrantsInForceNeverExceedTheTotal checks the sum of grants in force while clocks drift and messages are lost, late
// or duplicated, and that the whole total is granted again once faults end.
func TestGrantsInForceNeverExceedTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaultyFleet(t)
		t.Repeat(f.actions())
		f.recover()
		sum := int64(0)
		for _, p := range f.running() {
			status := p.Status(p.clock(f.now))[0]
			sum += status.Floor + status.Extra
		}
		if total := f.totals[len(f.totals)-1].units; sum != total {
			t.Fatalf("after the faults %d units of %d are granted", sum, total)
		}
	})
}
