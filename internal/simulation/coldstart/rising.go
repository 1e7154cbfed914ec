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
	Name   string
	Steady bool // reports without chance and growing pauses
	AtOnce int  // starts at once; 0: all; below 0: by manage/rise, up to so many
}

// Terms of a course.
type Terms struct {
	Backends, Hosts int
	Starts          time.Duration // a start on a host that has nothing else to do; so many more at once and each takes longer
	Cores           int           // starts of a host that do not slow each other down
	Register        faultinjectioncoldstart.Register
	Below           Below
	For             time.Duration
	Reports         reportpacing.Config
	Relaunch        backoff.Policy
}

// Below is the service that each start calls once.
type Below struct {
	Takes time.Duration // while no more than so many call at once
	Crowd int           // beyond it each takes longer, by the square
	Bound int           // beyond it, it falls over and what it had in hand comes to nothing; 0: it never does
	Needs time.Duration // it is well again once it was left alone for so long
}

// Course is what came of it.
type Course struct {
	faultinjectioncoldstart.Figures
	HalfWarm, MostWarm float64 // seconds until a half, and 95 in a hundred, are warm; -1: never
	Warm               int     // at the end
	BelowFell          int
	BelowCalls         int
	Starting           int // at once, at the most
}

type event struct {
	at   time.Duration
	kind int
	who  int
	gen  int
	n    int
}

const (
	begin  = iota // a start is tried
	called        // a start has come to its call below
	fetched
	warm
	due // a report
	answered
	rested // a rise has
)

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push and Pop are heap's.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last off.
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type backend struct {
	name   string
	host   int
	pace   *reportpacing.Pacer
	began  time.Duration
	tries  int
	starts bool
	warm   bool
	gen    int  // of its timer
	below  bool // its call below is in hand
	fetch  int  // of them, by number
}

type play struct {
	t        Terms
	p        Policy
	q        queue
	n        int
	now      time.Duration
	draw     *rand.Rand
	all      []backend
	hosts    []int // starts under way, by host
	starting int
	rise     *coldstart.State
	place    map[string]int

	within      int // calls at the endpoint registry
	fallenUntil time.Duration
	calls       []faultinjectioncoldstart.Call
	falls       int

	below     int           // calls in hand
	illUntil  time.Duration // the service below is ill until then, if it is left alone
	c         Course
	warmTimes []time.Duration
}

// Run plays one course.
func Run(t Terms, p Policy, seed uint64) (*Course, error) {
	w := &play{t: t, p: p, draw: rand.New(rand.NewPCG(seed, 28)), hosts: make([]int, t.Hosts), place: map[string]int{}}
	members := make([]coldstart.Member, 0, t.Backends)
	reports := t.Reports
	reports.Fixed = p.Steady
	for n := range t.Backends {
		name := fmt.Sprintf("n%05d", n)
		w.all = append(w.all, backend{name: name, host: n % t.Hosts, pace: reportpacing.New(reports, w.draw.Uint64())})
		w.place[name] = n
		members = append(members, coldstart.Member{Name: name, Group: fmt.Sprint("g", n%3), Host: fmt.Sprint("h", n%t.Hosts)})
	}
	if p.AtOnce < 0 {
		var err error
		terms := coldstart.Config{MaxConcurrent: int64(-p.AtOnce), InitialConcurrent: min(2, int64(-p.AtOnce)), MinServing: 0.1, MaxFailures: 8, SlowFactor: 3, MaxRejected: 0.1}
		if w.rise, err = coldstart.New("r", terms, members); err != nil {
			return nil, err
		}
	}
	for i := range w.all {
		w.later(time.Duration(w.draw.Int64N(int64(50*time.Millisecond))), begin, i, 0)
	}
	for len(w.q) > 0 {
		e := heap.Pop(&w.q).(event)
		if e.at > t.For {
			break
		}
		w.now = e.at
		w.step(e)
	}
	w.c.Figures = faultinjectioncoldstart.Of(w.calls, &t.Register, t.Backends, time.Duration(t.Reports.Interval)*time.Microsecond, t.For)
	w.c.Falls, w.c.Warm = w.falls, len(w.warmTimes)
	w.c.HalfWarm, w.c.MostWarm = w.nth(0.5), w.nth(0.95)
	return &w.c, nil
}

func (w *play) nth(share float64) float64 {
	n := int(share*float64(len(w.all)) + 0.999)
	if n > len(w.warmTimes) {
		return -1
	}
	return w.warmTimes[n-1].Seconds()
}

func (w *play) later(after time.Duration, kind, who, gen int) {
	w.n++
	heap.Push(&w.q, event{at: w.now + after, kind: kind, who: who, gen: gen, n: w.n})
}

func micros(d time.Duration) reportpacing.Micros { return reportpacing.Micros(d.Microseconds()) }

func (w *play) step(e event) {
	b := &w.all[e.who]
	switch e.kind {
	case begin:
		w.begin(e.who)
	case called:
		w.callBelow(e.who)
	case fetched:
		if !b.below || b.fetch != e.gen { // it fell over with this in hand
			return
		}
		b.below = false
		w.below--
		w.later(w.t.Starts/4, warm, e.who, 0)
	case warm:
		w.ended(e.who, true)
	case due:
		if e.gen == b.gen {
			w.report(e.who)
		}
	case rested:
		w.rise.EndPause(uint64(e.gen))
	case answered:
		w.answer(e.who, e.gen)
	}
}

// begin starts one, if it may now; else it asks again a little later, as agents do.
func (w *play) begin(who int) {
	b := &w.all[who]
	may := true
	switch {
	case w.p.AtOnce > 0:
		may = w.starting < w.p.AtOnce
	case w.rise != nil:
		may, _ = w.rise.RequestStart(b.name)
	}
	if !may {
		w.later(300*time.Millisecond+time.Duration(w.draw.Int64N(int64(150*time.Millisecond))), begin, who, 0)
		return
	}
	b.starts, b.began = true, w.now
	w.starting++
	w.hosts[b.host]++
	w.c.Starting = max(w.c.Starting, w.starting)
	slower := max(1, float64(w.hosts[b.host])/float64(w.t.Cores))
	takes := time.Duration(float64(w.t.Starts) * (0.5 + w.draw.Float64()*0.5) * slower)
	w.later(takes, called, who, 0)
}

// callBelow has a start fetch what it needs.
func (w *play) callBelow(who int) {
	b := &w.all[who]
	w.c.BelowCalls++
	if w.now < w.illUntil { // and ill for longer, because it is not left alone
		w.illUntil = w.now + w.t.Below.Needs
		w.ended(who, false)
		return
	}
	w.below++
	b.fetch++
	b.below = true
	if w.t.Below.Bound > 0 && w.below > w.t.Below.Bound {
		w.c.BelowFell++
		w.illUntil = w.now + w.t.Below.Needs
		for i := range w.all {
			if o := &w.all[i]; o.below {
				o.below = false
				w.ended(i, false)
			}
		}
		w.below = 0
		return
	}
	crowd := max(1, float64(w.below)/float64(w.t.Below.Crowd))
	w.later(time.Duration(float64(w.t.Below.Takes)*crowd*crowd), fetched, who, b.fetch)
}

// ended closes a start.
func (w *play) ended(who int, well bool) {
	b := &w.all[who]
	if !b.starts {
		return
	}
	b.starts = false
	w.starting--
	w.hosts[b.host]--
	if w.rise != nil {
		no := w.rise.PauseNumber
		w.rise.Report(b.name, coldstart.Outcome{Ready: well, Took: coldstart.Micros((w.now - b.began).Microseconds()), Cause: "the service below"})
		if w.rise.PauseNumber != no {
			w.later(time.Duration(w.rise.Pause)*time.Microsecond, rested, who, int(w.rise.PauseNumber))
		}
	}
	if !well {
		b.tries++
		w.later(w.t.Relaunch.Pause(b.tries+1, w.draw), begin, who, 0)
		return
	}
	b.warm = true
	w.warmTimes = append(w.warmTimes, w.now)
	b.pace.Start(micros(w.now))
	w.schedule(who)
}

// schedule sets a backend's timer by its pace.
func (w *play) schedule(who int) {
	b := &w.all[who]
	b.gen++
	if at, room := b.pace.Due(); room {
		w.later(max(0, time.Duration(at)*time.Microsecond-w.now), due, who, b.gen)
	}
}

// report calls the endpoint registry.
func (w *play) report(who int) {
	b := &w.all[who]
	b.pace.Started(micros(w.now))
	w.schedule(who)
	r := &w.t.Register
	p := r.At(w.now)
	w.calls = append(w.calls, faultinjectioncoldstart.Call{Name: b.name, At: w.now})
	call := len(w.calls) - 1
	w.within++
	if r.Crowd > 0 && w.within > r.Crowd && w.now >= w.fallenUntil {
		w.falls++
		w.fallenUntil = w.now + r.Needs
	}
	takes := p.Takes + time.Duration(w.draw.Int64N(int64(time.Millisecond)))
	w.calls[call].Counted = p.Mode == faultinjectioncoldstart.Takes && w.now >= w.fallenUntil || p.Mode == faultinjectioncoldstart.Half && w.draw.IntN(2) == 0
	w.later(takes, answered, who, call)
}

func (w *play) answer(who, call int) {
	b := &w.all[who]
	w.within--
	c := &w.calls[call]
	if c.Counted {
		b.pace.Succeeded(micros(w.now), micros(c.At))
	} else {
		b.pace.Failed(micros(w.now), reportpacing.Rejected, micros(w.t.Register.At(c.At).Advice))
	}
	w.schedule(who)
}
