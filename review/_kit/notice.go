package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// gate holds the writes of the edge nodes back while the machine stands still: it writes nothing to a backend then.
type gate struct {
	mu sync.RWMutex
}

// Figures of the case, with the page that sets their limits: see claim.txt.
const (
	noticeWarm   = 14 * time.Second        // of load before the notice
	noticePause  = 380 * time.Millisecond  // MORE.md: 100 to 390 ms; its table of kinds: 50 to 600 ms
	noticeStop   = 3500 * time.Millisecond // collect-kerala.toml, deploy: 3.5 to 6 s
	noticeLate   = 3 * time.Second         // edge nodes learn of the drain 1.9 to 4.7 s late
	noticeCores  = 6
	noticeSlow   = 4.0 // times slower than usual, all the time; the brief: 2.6 to 8.8 for 11 to 35 s
	noticeLoad   = 1.0 // of what the cores can do; the brief: 90 to 110%
	noticeSpeed  = 0.5 // of a core; the brief: 0.5 to 0.7
	noticeSpread = 1.1 // coefficient of variation of the work; the site file: 0.44 to 1.2
)

type operation struct {
	name          string
	share, work   float64 // work in seconds on a standard core
	aim, deadline int     // ms
}

var keralaOperations = []operation{
	{"bill-lookup", 0.36, 0.35, 2200, 7000},
	{"pay-status", 0.34, 0.21, 2100, 5600},
	{"receipt-fetch", 0.24, 0.35, 2200, 8300},
	{"pay-post", 0.06, 0.35, 2100, 7000},
}

// notice is the case of a notice to leave that comes while the backend stands still.
func notice(args []string) int {
	f, out, trouble := caseFlags("notice")
	seed := f.Uint64("seed", 7, "of the load")
	pause := f.Duration("pause", noticePause, "how long the backend stands still")
	_ = f.Parse(args)
	rec := newRecord(*out)
	defer rec.close()
	e, r := newExecutor(rec), newRoster()
	e.cores, e.slow = noticeCores, noticeSlow
	var classes []map[string]any
	mean := 0.0
	for _, o := range keralaOperations {
		classes = append(classes, class(o.name, "idempotent", o.aim, o.deadline, 0))
		mean += o.share * o.work / noticeSpeed
	}
	set := settings(classes)
	set["family_info"].(map[string]any)["n_cores"] = noticeCores
	b := newBackend(deploy{e: e, r: r, set: set, memory: 192, cores: 1, sockets: 384, stopMs: int(noticeStop.Milliseconds())})
	b.ready(e, rec)

	var machine gate
	rng := rand.New(rand.NewPCG(*seed, 17))
	w := &noticeLoadState{b: b, e: e, rec: rec, machine: &machine}
	rate := noticeLoad * noticeCores / mean
	load := func(until time.Time) {
		for time.Now().Before(until) {
			time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			w.request(rng)
		}
	}
	load(time.Now().Add(noticeWarm))

	noticeAt := time.Now()
	resumed := noticeAt
	if *trouble {
		machine.mu.Lock()
		goOn := e.standStill()
		b.signal(syscall.SIGSTOP)
		rec.log("the backend stands still")
		time.Sleep(20 * time.Millisecond)
		noticeAt = time.Now()
		b.signal(syscall.SIGTERM)
		rec.log("notice to leave (SIGTERM)")
		time.Sleep(*pause - 20*time.Millisecond)
		goOn()
		b.signal(syscall.SIGCONT)
		resumed = time.Now()
		rec.log("the backend goes on")
		machine.mu.Unlock()
	} else {
		b.signal(syscall.SIGTERM)
		rec.log("notice to leave (SIGTERM)")
	}
	load(noticeAt.Add(noticeLate))
	time.Sleep(time.Until(noticeAt.Add(noticeStop)))
	ended := !b.running()
	b.signal(syscall.SIGKILL)
	rec.log("stopped (SIGKILL) %v after the notice; had ended by itself: %v", time.Since(noticeAt).Round(time.Millisecond), ended)
	time.Sleep(300 * time.Millisecond)
	return w.judge(noticeAt, resumed, ended)
}

type noticeLoadState struct {
	b       *backend
	e       *executor
	rec     *record
	machine *gate
	mu      sync.Mutex
	conns   []*edge
	tries   []*try
	refused int
}

// conn gives a connection with room, or opens one.
func (w *noticeLoadState) conn() *edge {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*edge
	for _, c := range w.conns {
		if c.usable() {
			live = append(live, c)
		}
	}
	w.conns = live
	if len(live) >= 4 {
		return live[rand.IntN(len(live))]
	}
	c, err := dialEdge(w.b.addr, fmt.Sprintf("edge-%d", len(w.tries)), w.e, w.rec)
	if err != nil {
		w.refused++
		return nil
	}
	w.conns = append(w.conns, c)
	return c
}

// request sends one request. The draws of its work are made here, so that they follow the seed.
func (w *noticeLoadState) request(rng *rand.Rand) {
	x, o := rng.Float64(), keralaOperations[0]
	for _, next := range keralaOperations {
		if o = next; x < o.share {
			break
		}
		x -= o.share
	}
	sigma := math.Sqrt(math.Log(1 + noticeSpread*noticeSpread))
	work := o.work / noticeSpeed * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
	t := &try{id: newID(), class: o.name, logical: "-", tenant: "malanad-power", body: "body", wait: time.Duration(o.deadline) * time.Millisecond,
		work: time.Duration(work * float64(time.Second))}
	go func() {
		w.machine.mu.RLock()
		defer w.machine.mu.RUnlock()
		c := w.conn()
		if c == nil {
			return // a refused connection: nothing was read
		}
		w.mu.Lock()
		w.tries = append(w.tries, t)
		w.mu.Unlock()
		_ = c.send(t, 1, 0)
	}()
}

// judge counts what was read after the backend had gone on and had no answer when it was stopped. What came in the last
// 300 ms is left out, as it may have crossed the end.
func (w *noticeLoadState) judge(noticeAt, resumed time.Time, ended bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	after, unanswered, before, late := 0, 0, 0, 0
	stop := noticeAt.Add(noticeStop)
	codes := map[byte]int{}
	for _, t := range w.tries {
		codes[t.code]++
		k := w.e.tasks[t.id]
		if k != nil && k.started && k.arrived.After(noticeAt.Add(2*time.Second)) {
			late++
			w.rec.log("ran: %s, which reached the machine %v after the notice", t.id, k.arrived.Sub(noticeAt).Round(time.Millisecond))
		}
		if t.unsent || t.at.IsZero() || t.at.After(stop.Add(-300*time.Millisecond)) {
			continue
		}
		counts := t.at.After(resumed)
		if counts {
			after++
		}
		if t.answers > 0 {
			continue
		}
		w.rec.log("NO ANSWER: %s, written %v after the notice, launched %v, ended %v", t.id,
			t.at.Sub(noticeAt).Round(time.Millisecond), len(k.launched), k.done)
		if counts {
			unanswered++
		} else {
			before++
		}
	}
	fmt.Printf("answers by code %v; ended by itself before the stop: %v\n", codes, ended)
	fmt.Printf("read after the backend went on: %d, of these without an answer when it was stopped: %d\n", after, unanswered)
	fmt.Printf("not judged: read before the notice and unanswered at the stop: %d; ran although they came over 2 s after the notice: %d\n", before, late)
	if after == 0 {
		fmt.Println("cannot run: no request was read after the notice")
		return 2
	}
	if unanswered > 0 {
		fmt.Println("BROKEN: a backend answers everything that it has read before it is stopped")
		return 1
	}
	return 0
}
