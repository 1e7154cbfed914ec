package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

type world struct {
	rec   *record
	e     *executor
	r     *roster
	b     *backend
	rng   *rand.Rand
	mu    sync.Mutex
	all   []*try
	slow  time.Duration
	seen  map[string][]*try // by logical
	cx    []*edge
	kinds string
	term  time.Time
	bad   []string
}

func (w *world) conn() *edge {
	w.mu.Lock()
	defer w.mu.Unlock()
	var live []*edge
	for _, e := range w.cx {
		if e.usable() {
			live = append(live, e)
		}
	}
	w.cx = live
	if len(live) > 0 && (len(live) > 6 || w.rng.IntN(10) > 0) {
		return live[w.rng.IntN(len(live))]
	}
	e, err := dialEdge(w.b.addr, fmt.Sprintf("c%d", len(w.all)), w.e, w.rec)
	if err != nil {
		return nil
	}
	w.cx = append(w.cx, e)
	return e
}

// request sends a request and its retries.
func (w *world) request(class string, keyed, unsafe bool, wait, work time.Duration) {
	logical := newID()
	once := ""
	if keyed {
		once = newID()
	}
	begun := time.Now()
	for n := 0; n < 4 && time.Since(begun) < 4*time.Second; n++ {
		t := &try{id: newID(), class: class, logical: logical, once: once, body: "body of " + logical, tenant: "malanad-power",
			retry: n > 0, wait: wait, work: work, notified: make(chan struct{})}
		c := w.conn()
		if c == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		w.mu.Lock()
		pieces, spread := 1, time.Duration(0)
		if w.rng.IntN(6) == 0 {
			pieces, spread = 3, time.Duration(w.rng.IntN(200))*time.Millisecond
		}
		w.all = append(w.all, t)
		w.seen[logical] = append(w.seen[logical], t)
		impatient := w.rng.IntN(15) == 0
		patience := time.Duration(w.rng.IntN(int(wait) + 1))
		w.mu.Unlock()
		if err := c.send(t, pieces, spread); err != nil {
			if unsafe && !refusedDial(err) && t.fresh == false {
				return
			}
			continue
		}
		limit := wait + 500*time.Millisecond
		if impatient {
			limit = patience
		}
		select {
		case <-t.notified:
		case <-time.After(limit):
			c.cancel(t)
		}
		if t.code == 1 {
			return
		}
		if unsafe && t.code != 2 {
			return
		}
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

// mix plays keyed, unsafe and safe requests under troubles drawn from a list, and judges all rules but the fall-over.
func mix(args []string) int {
	f := flag.NewFlagSet("mix", flag.ExitOnError)
	seed := f.Uint64("seed", 1, "")
	secs := f.Int("secs", 20, "")
	rate := f.Float64("rate", 25, "")
	window := f.Int("window", 2000, "")
	kinds := f.String("kinds", "cut,dup,remarks,mid,move,reset,stop,hang,mute,kill,slowio", "")
	memory := f.Float64("memory", 192, "")
	out := f.String("out", "record.txt", "")
	stopMs := f.Int("stop", 3200, "")
	workScale := f.Float64("work", 1, "")
	every := f.Float64("every", 1, "")
	drain := f.Bool("drain", true, "")
	_ = f.Parse(args)
	w := &world{rec: newRecord(*out), rng: rand.New(rand.NewPCG(*seed, 7)), seen: map[string][]*try{}}
	defer w.rec.close()
	w.kinds = *kinds
	w.e, w.r = newExecutor(w.rec), newRoster()
	w.r.silent = 0.25
	has := func(k string) bool { return strings.Contains(","+*kinds+",", ","+k+",") }
	w.e.dup, w.e.remarks = has("dup"), has("remarks")
	set := settings([]map[string]any{
		class("look", "idempotent", 1000, 2500, 0),
		class("post", "deduplicated", 1000, 2500, *window),
		class("once", "at_most_once", 1000, 2500, 0),
	})
	w.b = newBackend(deploy{e: w.e, r: w.r, set: set, memory: *memory, cores: 1, sockets: 384, stopMs: *stopMs})
	w.b.ready(w.e, w.rec)
	stop := time.Now().Add(time.Duration(*secs) * time.Second)
	var wg sync.WaitGroup
	done := make(chan struct{})
	go func() { // disruptions
		var list []string
		for _, k := range strings.Split(*kinds, ",") {
			if k != "dup" && k != "remarks" {
				list = append(list, k)
			}
		}
		rng := rand.New(rand.NewPCG(*seed, 9))
		for len(list) > 0 && list[0] != "" {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(float64(200+rng.IntN(1500))**every) * time.Millisecond):
			}
			k := list[rng.IntN(len(list))]
			w.rec.log("disruption %s", k)
			switch k {
			case "cut":
				w.e.cut()
			case "mid":
				w.e.mu.Lock()
				w.e.breakMid = true
				w.e.mu.Unlock()
			case "move":
				w.e.move()
				if rng.IntN(2) == 0 {
					w.r.move()
				}
				w.b.config["agent"], w.b.config["roster"] = w.e.addr, w.r.addr
				w.b.write()
				w.b.signal(syscall.SIGHUP)
			case "reset":
				w.mu.Lock()
				if len(w.cx) > 0 {
					w.cx[rng.IntN(len(w.cx))].reset()
				}
				w.mu.Unlock()
			case "stop":
				w.b.signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
				w.b.signal(syscall.SIGCONT)
			case "down":
				w.e.mu.Lock()
				_ = w.e.ln.Close()
				addr := w.e.addr
				w.e.mu.Unlock()
				w.e.cut()
				time.Sleep(time.Duration(rng.IntN(6000)) * time.Millisecond)
				w.e.relisten(addr)
			case "hang":
				w.e.mu.Lock()
				w.e.hang = true
				w.e.mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
				w.e.mu.Lock()
				w.e.hang = false
				w.e.mu.Unlock()
			case "mute":
				w.e.mu.Lock()
				w.e.mute = true
				w.e.mu.Unlock()
				time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
				w.e.mu.Lock()
				w.e.mute = false
				w.e.mu.Unlock()
			}
		}
	}()
	for time.Now().Before(stop) && w.b.running() {
		time.Sleep(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second)))
		wait := time.Duration(300+rand.IntN(2200)) * time.Millisecond
		if rand.IntN(20) == 0 {
			wait = time.Duration(rand.IntN(20)) * time.Millisecond
		}
		work := time.Duration(float64(20+rand.IntN(120)) * *workScale * float64(time.Millisecond))
		name, keyed, unsafe := "look", false, false
		switch rand.IntN(3) {
		case 0:
			name, keyed = "post", true
		case 1:
			name, unsafe = "once", true
		}
		wg.Go(func() { w.request(name, keyed, unsafe, wait, work) })
	}
	if *drain && w.b.running() {
		w.term = time.Now()
		w.rec.log("SIGTERM")
		w.b.signal(syscall.SIGTERM)
		for time.Since(w.term) < time.Duration(*stopMs)*time.Millisecond && w.b.running() {
			time.Sleep(time.Duration(rand.ExpFloat64() / *rate * float64(time.Second)))
			wg.Go(func() { w.request("post", true, false, time.Second, 50*time.Millisecond) })
		}
		if w.b.running() {
			w.rec.log("SIGKILL")
			w.b.signal(syscall.SIGKILL)
		}
	} else if !w.b.running() {
		w.bad = append(w.bad, fmt.Sprintf("crash: %v", w.b.err))
	}
	close(done)
	wg.Wait()
	w.judge(time.Duration(*window) * time.Millisecond)
	for _, x := range w.bad {
		fmt.Println(x)
	}
	codes := map[byte]int{}
	for _, t := range w.all {
		codes[t.code]++
	}
	fmt.Printf("seed %d: %d tries, answers by code %v, %d violations\n", *seed, len(w.all), codes, len(w.bad))
	if len(w.bad) > 0 {
		return 1
	}
	return 0
}

func (w *world) judge(window time.Duration) {
	w.e.mu.Lock()
	defer w.e.mu.Unlock()
	say := func(format string, args ...any) {
		w.bad = append(w.bad, fmt.Sprintf(format, args...))
		w.rec.log("VIOLATION "+format, args...)
	}
	ran := map[string]*task{}
	slack := 130 * time.Millisecond
	if strings.Contains(w.kinds, "stop") {
		slack += 400 * time.Millisecond
	}
	for _, t := range w.all {
		k := w.e.tasks[t.id]
		if t.answers > 1 {
			say("duplicate: two answers for %s", t.id)
		}
		if k == nil {
			continue
		}
		if t.code == 2 && len(k.launched) > 0 {
			say("refused but launched: %s", t.id)
		}
		if t.code == 1 && !t.gone {
			good := false
			for _, o := range w.seen[t.logical] {
				if t.result == "result of "+o.id && w.e.tasks[o.id].done {
					good = true
				}
			}
			if !good {
				say("lost: served with a foreign result: %s %q", t.id, t.result)
			}
		}
		if k.started {
			if other := ran[t.logical]; other != nil && t.class != "look" {
				if t.class == "once" || k.arrived.Sub(other.arrived) <= window {
					say("duplicate: %s and %s of %s ran", other.id, k.id, t.logical)
				}
			}
			ran[t.logical] = k
			if !w.term.IsZero() && k.arrived.After(w.term.Add(2*time.Second)) {
				say("drain: %s ran", t.id)
			}
		}
		if !t.unsent && !t.gone && t.code == 0 {
			say("lost: %s %s broken %v fresh %v", t.id, t.class, t.broken, t.fresh)
		}
		if t.code != 0 && !t.gone && t.answered.After(t.due.Add(slack)) && t.answered.After(t.at.Add(slack)) {
			say("late: %s by %v", t.id, t.answered.Sub(t.due))
		}
	}
	// A try that is refused after another try of the same request ran.
	for _, list := range w.seen {
		for _, t := range list {
			if t.class == "look" || t.code != 2 {
				continue
			}
			for _, o := range list {
				k := w.e.tasks[o.id]
				if o != t && k != nil && k.started && k.launched[0].Before(t.answered) && k.arrived.Before(t.at) &&
					t.at.Sub(k.arrived) <= window {
					say("refused although %s ran: %s", o.id, t.id)
				}
			}
		}
	}
}
