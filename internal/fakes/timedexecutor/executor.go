// Package timedexecutor is a fake executor whose runs take time. Runs share the cores evenly, and all slow down further
// beyond a multiple of the cores, as in the simulation. Load tests and demos on one machine use it. It owns the runs
// and the connections of backends; the backend decides which runs begin.
package timedexecutor

import (
	"bufio"
	"bytes"
	"container/heap"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config describes one executor.
type Config struct {
	Cores            int
	CollapseMultiple float64       // runs per core beyond which all slow by the square of the excess; 0: unlimited
	ServiceTime      time.Duration // core time of a run without "work=MICROSECONDS" in its body
	WarmUp           time.Duration // slow phase for a new backend, with linear recovery; 0: none
	ColdSpeed        float64       // share of full speed at the start of WarmUp
	MaxRuns          int           // concurrent runs; a launch beyond them ends with an error
}

// Executor is one executor, on one address. Its methods may be called by several goroutines.
type Executor struct {
	Address string
	config  Config

	mu            sync.Mutex
	listener      net.Listener
	conns         map[net.Conn]bool
	subscriber    net.Conn
	launched      map[string]bool // run ids launched since the last "subscribe 0"
	notices       [][]byte        // number n is at index n-1
	progress      float64         // core microseconds that a run present since the start would have had
	advancedAt    time.Time
	slowdown      float64
	runs          runHeap
	timer         *time.Timer
	busyMicros    float64 // core time used, up to advancedAt
	sampledMicros float64
	sampledAt     time.Time
	startedAt     time.Time
	closed        bool
	finished      int // runs that ended
	launchedTwice int // launches of an id that an earlier incarnation of the backend launched
	everLaunched  map[string]bool
}

// run is one run in progress.
type run struct {
	endsAt    float64 // value of Executor.progress at which it ends
	id        string
	startedAt time.Time
}

// runHeap is a heap of runs by endsAt.
type runHeap []*run

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *runHeap) Push(x any) { *h = append(*h, x.(*run)) }

// Pop implements heap.Interface.
func (h *runHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// Bounds of one executor.
const (
	maxNotices    = 100_000    // kept for a backend that reconnects
	maxBody       = 1 << 20    // bytes of the body of a launch
	maxLaunchedID = 10_000_000 // ids kept to count launchedTwice
)

// Start starts an executor on an address; port 0 selects a free port.
func Start(address string, config Config) (*Executor, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &Executor{
		Address:      listener.Addr().String(),
		config:       config,
		listener:     listener,
		conns:        map[net.Conn]bool{},
		launched:     map[string]bool{},
		everLaunched: map[string]bool{},
		advancedAt:   time.Now(),
		sampledAt:    time.Now(),
		slowdown:     1,
	}
	e.timer = time.AfterFunc(time.Hour, e.finishDue)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e, nil
}

// Close stops the executor and closes all connections.
func (e *Executor) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.listener.Close()
	e.timer.Stop()
	for conn := range e.conns {
		_ = conn.Close()
	}
}

// Slow divides the speed of the cores by a factor; 1 restores full speed.
func (e *Executor) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.slowdown = max(factor, 1e-3)
	e.setTimer()
}

// Counts returns the number of finished runs, of runs in progress, and of launches of an id that an earlier incarnation
// of the backend had launched.
func (e *Executor) Counts() (finished, running, launchedTwice int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished, len(e.runs), e.launchedTwice
}

// rate returns the progress of each run per microsecond. The caller holds e.mu.
func (e *Executor) rate() float64 {
	n, cores := float64(len(e.runs)), float64(e.config.Cores)
	r := 1 / e.slowdown
	if warm := time.Since(e.startedAt); e.config.WarmUp > 0 && warm < e.config.WarmUp {
		r *= e.config.ColdSpeed + (1-e.config.ColdSpeed)*float64(warm)/float64(e.config.WarmUp)
	}
	if n > cores {
		r *= cores / n
	}
	if limit := e.config.CollapseMultiple * cores; limit > 0 && n > limit {
		r *= limit / n * limit / n
	}
	return r
}

// advance updates the progress of the runs and the core time used to the present. The caller holds e.mu.
func (e *Executor) advance() {
	now := time.Now()
	us := float64(now.Sub(e.advancedAt).Nanoseconds()) / 1000
	e.progress += us * e.rate()
	e.busyMicros += us * min(float64(len(e.runs)), float64(e.config.Cores))
	e.advancedAt = now
}

// setTimer sets the timer for the next run to finish. While the executor warms up, the timer is short, as the speed
// changes meanwhile. The caller holds e.mu.
func (e *Executor) setTimer() {
	if len(e.runs) == 0 || e.closed {
		return
	}
	in := time.Duration((e.runs[0].endsAt - e.progress) / e.rate() * 1000)
	if time.Since(e.startedAt) < e.config.WarmUp {
		in = min(in, 20*time.Millisecond)
	}
	e.timer.Reset(max(in, 0))
}

// finishDue ends the runs that are due and notifies the backend.
func (e *Executor) finishDue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	for len(e.runs) > 0 && e.runs[0].endsAt <= e.progress+0.5 {
		r := heap.Pop(&e.runs).(*run)
		e.finished++
		if e.launched[r.id] {
			result := "result of " + r.id
			e.sendNotice(
				fmt.Appendf(
					nil,
					" %s complete %.3f %d\r\n%s\r\n",
					r.id,
					float64(time.Since(r.startedAt).Microseconds())/1000,
					len(result),
					result,
				),
			)
		}
	}
	e.setTimer()
}

// sendNotice numbers, stores and sends a notice. The caller holds e.mu.
func (e *Executor) sendNotice(text []byte) {
	if len(e.notices) >= maxNotices {
		return // the backend gets no outcome of this run, which the load generator counts as lost
	}
	e.notices = append(e.notices, append(fmt.Appendf(nil, "outcome %d", len(e.notices)+1), text...))
	if e.subscriber != nil {
		_, _ = e.subscriber.Write(e.notices[len(e.notices)-1])
	}
}

// serve handles the commands of one connection until it ends or a command is malformed.
func (e *Executor) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		if e.subscriber == conn {
			e.subscriber = nil
		}
		e.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		switch words[0] {
		case "subscribe":
			after, err := strconv.Atoi(words[1])
			if err != nil || after < 0 {
				return
			}
			e.subscribe(conn, after)
		case "sample":
			e.sample(conn, words[1])
		case "launch":
			if len(words) < 4 {
				return
			}
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 || size > maxBody {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			e.launch(words[1], body[:size])
		}
	}
}

// subscribe makes a connection the subscriber and sends the notices after the given number. Number 0 means a new
// backend.
func (e *Executor) subscribe(conn net.Conn, after int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "hot 3600000"
	if after == 0 { // the cores are cold for a new backend
		if e.config.WarmUp > 0 && len(e.everLaunched) > 0 {
			e.startedAt = time.Now()
			state = "chilly 0"
		}
		e.notices, e.launched = nil, map[string]bool{}
	}
	e.subscriber = conn
	fmt.Fprintf(conn, "greeting %s\r\n", state)
	for _, n := range e.notices[min(after, len(e.notices)):] {
		_, _ = conn.Write(n)
	}
}

// sample sends the gauges: utilization of the cores since the last sample, and the number of runs.
func (e *Executor) sample(conn net.Conn, token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	span := max(1, float64(time.Since(e.sampledAt).Microseconds()))
	utilization := min(1, (e.busyMicros-e.sampledMicros)/span/float64(e.config.Cores))
	e.sampledMicros, e.sampledAt = e.busyMicros, time.Now()
	fmt.Fprintf(conn, "sampled %s %.3f %d 0.05 3\r\n", token, utilization, len(e.runs))
}

// launch starts a run, unless this incarnation of the backend has launched the id already.
func (e *Executor) launch(id string, body []byte) {
	work := float64(e.config.ServiceTime.Microseconds())
	if rest, ok := bytes.CutPrefix(body, []byte("work=")); ok {
		if us, err := strconv.ParseFloat(string(rest), 64); err == nil && us > 0 && us < 3.6e9 {
			work = us
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.launched[id] {
		return // a repeated launch is ignored
	}
	if e.everLaunched[id] {
		e.launchedTwice++
	}
	if len(e.everLaunched) < maxLaunchedID {
		e.everLaunched[id] = true
	}
	e.launched[id] = true
	if len(e.runs) >= e.config.MaxRuns {
		e.sendNotice(fmt.Appendf(nil, " %s error 0 4\r\nfull\r\n", id))
		return
	}
	e.advance()
	heap.Push(&e.runs, &run{endsAt: e.progress + work, id: id, startedAt: time.Now()})
	e.setTimer()
}
