package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in for the render farm agent. It follows PROTOCOL.md: runs go on without a link, notices are
// numbered from 1 and kept, a launch of what is over gives "unknown", and a launch of what was never sent is refused.
type executor struct {
	mu       sync.Mutex
	ln       net.Listener
	addr     string
	link     net.Conn
	state    string // of the greeting
	bootedAt time.Time
	notices  []string
	tasks    map[string]*task
	cores    float64
	slow     float64 // times slower than usual; 0 counts as 1
	running  int
	onCores  []*task
	workedAt time.Time
	hang     bool // runs do not end
	mute     bool // the link is accepted and nothing is read
	dup      bool // every notice is written twice
	remarks  bool // remarks stand between notices
	breakMid bool // the link breaks in the middle of the next notice
	rec      *record
}

// task is one try that reached the machine.
type task struct {
	id, class, body string
	logical         string
	arrived         time.Time
	work            time.Duration
	over            bool // answered, or its caller has gone
	launched        []time.Time
	started, done   bool
	begun           time.Time
	left            time.Duration // of the work
	result          string
}

func newExecutor(rec *record) *executor {
	e := &executor{tasks: map[string]*task{}, rec: rec, state: "hot", bootedAt: time.Now().Add(-time.Hour), cores: 2, workedAt: time.Now()}
	e.listen()
	go e.work()
	return e
}

// listen opens a new address.
func (e *executor) listen() { e.relisten("127.0.0.1:0") }

func (e *executor) relisten(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		die(err)
	}
	e.ln, e.addr = ln, ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
}

// move opens a new address; the old one takes nothing new, and its link is closed after 1.5 s.
func (e *executor) move() {
	e.mu.Lock()
	old, link := e.ln, e.link
	e.listen()
	e.mu.Unlock()
	_ = old.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		if link != nil {
			_ = link.Close()
		}
	})
}

// cut breaks the link.
func (e *executor) cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		if t, ok := e.link.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = e.link.Close()
		e.link = nil
	}
}

// register notes a try that is about to be written to the backend.
func (e *executor) register(t *task) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tasks[t.id] = t
}

func (e *executor) over(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := e.tasks[id]; t != nil {
		t.over = true
	}
}

func (e *executor) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		e.mu.Lock()
		mute := e.mute
		e.mu.Unlock()
		if mute {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		if len(w) < 2 {
			return
		}
		var body string
		if w[0] == "launch" {
			n, _ := strconv.Atoi(w[3])
			b := make([]byte, n+2)
			if _, err := io.ReadFull(in, b); err != nil {
				return
			}
			body = string(b[:n])
		}
		e.mu.Lock()
		if w[0] != "subscribe" && e.link != c {
			e.mu.Unlock()
			return
		}
		switch w[0] {
		case "subscribe":
			if e.link != nil && e.link != c {
				_ = e.link.Close()
			}
			e.link = c
			n, _ := strconv.Atoi(w[1])
			e.rec.log("executor subscribe %d", n)
			fmt.Fprintf(c, "greeting %s %d\r\n", e.state, time.Since(e.bootedAt).Milliseconds())
			for _, x := range e.notices[min(n, len(e.notices)):] {
				_, _ = io.WriteString(c, x)
			}
		case "sample":
			use := min(1, float64(e.running)/e.cores)
			fmt.Fprintf(c, "sampled %s %.3f %d 0.05 3\r\n", w[1], use, e.running)
		case "launch":
			e.launch(w[1], w[2], body)
		}
		e.mu.Unlock()
	}
}

// launch begins a run. e.mu is held.
func (e *executor) launch(id, class, body string) {
	t := e.tasks[id]
	if t == nil || t.class != class || t.body != body {
		e.rec.log("refusal launch %s", id)
		if e.link != nil {
			fmt.Fprintf(e.link, "refusal launch %s\r\n", id)
		}
		return
	}
	t.launched = append(t.launched, time.Now())
	if t.started && !t.done { // it runs already: nothing happens
		return
	}
	if t.over || t.done {
		e.rec.log("launch %s unknown: over", id)
		e.notice(id, "unknown", 0, "")
		return
	}
	t.started = true
	e.running++
	e.rec.log("run %s %s logical %s", id, class, t.logical)
	t.begun = time.Now()
	t.left = t.work
	e.onCores = append(e.onCores, t)
}

// standStill stops the cores and the link while the machine stands still, until the returned function is called.
func (e *executor) standStill() (goOn func()) {
	e.mu.Lock()
	return func() {
		e.workedAt = time.Now()
		e.mu.Unlock()
	}
}

// work lets the runs share the cores evenly, until the program ends.
func (e *executor) work() {
	for range time.Tick(2 * time.Millisecond) {
		e.mu.Lock()
		now := time.Now()
		passed := now.Sub(e.workedAt)
		e.workedAt = now
		share := min(1, e.cores/max(1, float64(len(e.onCores)))) / max(1, e.slow)
		var rest []*task
		for _, t := range e.onCores {
			if !e.hang {
				t.left -= time.Duration(float64(passed) * share)
			}
			if t.left > 0 {
				rest = append(rest, t)
				continue
			}
			e.running--
			t.done = true
			t.result = "result of " + t.id
			e.notice(t.id, "complete", time.Since(t.begun).Milliseconds(), t.result)
		}
		e.onCores = rest
		e.mu.Unlock()
	}
}

// notice stores a notice and writes it. e.mu is held.
func (e *executor) notice(id, end string, ms int64, result string) {
	add := func(format string, args ...any) {
		text := fmt.Sprintf(format, append([]any{len(e.notices) + 1}, args...)...)
		e.notices = append(e.notices, text)
		if e.link == nil {
			return
		}
		if e.breakMid {
			e.breakMid = false
			_, _ = io.WriteString(e.link, text[:len(text)/2])
			_ = e.link.Close()
			e.link = nil
			return
		}
		_, _ = io.WriteString(e.link, text)
		if e.dup {
			_, _ = io.WriteString(e.link, text)
		}
	}
	if e.remarks {
		add("aside %d a remark\r\n")
	}
	add("outcome %d %s %s %d %d\r\n%s\r\n", id, end, ms, len(result), result)
}
