// Package timedexecutor is a fake of the executor whose runs take time: they share its cores evenly, and with more
// runs than the cores bear all slow down, as in the simulation. It serves load tests and demos on one machine. It
// owns the runs and the connections that backends open to it; which run begins is the backend's decision.
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
	CollapseMultiple float64       // runs a core beyond which all slow down by the square of the excess; 0: no bound
	ServiceTime      time.Duration // core time of a run whose body does not say "work=MICROSECONDS"
	WarmUp           time.Duration // how long a new backend finds the cores slower, with linear recovery; 0: it does not
	ColdSpeed        float64       // speed at the start of WarmUp, of 1
	MaxRuns          int           // runs at once; a launch beyond them ends with an error
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
	notices       [][]byte        // by number, from 1
	progress      float64         // microseconds of full speed that a run present since the start has had
	advancedAt    time.Time
	slowdown      float64
	runs          runHeap
	timer         *time.Timer
	busyMicros    float64 // core time used, up to advancedAt
	sampledMicros float64
	sampledAt     time.Time
	startedAt     time.Time
	closed        bool
	finished      int // runs that have ended
	launchedTwice int // launches of an id that an earlier incarnation of the backend had launched
	launchedEver  map[string]bool
}

// run is one run on the cores.
type run struct {
	endsAt    float64
	id        string
	startedAt time.Time
}

// runHeap is a heap of runs, the next to finish first.
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
	maxNotices    = 100_000    // stored for a backend that reconnects
	maxBody       = 1 << 20    // bytes of the body of a launch
	maxLaunchedID = 10_000_000 // remembered to count launchedTwice
)

// Start opens an executor on an address; port 0 takes any free port.
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
		launchedEver: map[string]bool{},
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

// Close ends the executor and all its connections.
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

// Counts returns how many runs have finished, how many are on the cores, and how many ids two incarnations of the
// backend launched.
func (e *Executor) Counts() (finished, running, launchedTwice int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished, len(e.runs), e.launchedTwice
}

// rate returns the progress of each run per microsecond.
func (e *Executor) rate() float64 {
	n, cores := float64(len(e.runs)), float64(e.config.Cores)
	r := 1 / e.slowdown
	if warm := time.Since(e.startedAt); e.config.WarmUp > 0 && warm < e.config.WarmUp {
		r *= e.config.ColdSpeed + (1-e.config.ColdSpeed)*float64(warm)/float64(e.config.WarmUp)
	}
	if n > cores {
		r *= cores / n
	}
	if bears := e.config.CollapseMultiple * cores; bears > 0 && n > bears {
		r *= bears / n * bears / n
	}
	return r
}

// advance brings the runs up to now. The caller holds e.mu.
func (e *Executor) advance() {
	now := time.Now()
	us := float64(now.Sub(e.advancedAt).Nanoseconds()) / 1000
	e.progress += us * e.rate()
	e.busyMicros += us * min(float64(len(e.runs)), float64(e.config.Cores))
	e.advancedAt = now
}

// setTimer sets the timer for the next run to finish, and a short one while the executor warms up, as its speed
// changes. The caller holds e.mu.
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
		return // the backend never hears of this run; the load generator counts it as lost
	}
	e.notices = append(e.notices, append(fmt.Appendf(nil, "outcome %d", len(e.notices)+1), text...))
	if e.subscriber != nil {
		_, _ = e.subscriber.Write(e.notices[len(e.notices)-1])
	}
}

// serve reads the lines of one connection until it ends or a line can't be used.
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

// subscribe makes a connection the subscriber, and sends the notices after a number. After 0 the backend is a new one.
func (e *Executor) subscribe(conn net.Conn, after int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "hot 3600000"
	if after == 0 { // a backend that has just started: the cores are cold for it
		if e.config.WarmUp > 0 && len(e.launchedEver) > 0 {
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

// sample sends the gauges: use of the cores since the last sample, and the number of runs.
func (e *Executor) sample(conn net.Conn, token string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	span := max(1, float64(time.Since(e.sampledAt).Microseconds()))
	use := min(1, (e.busyMicros-e.sampledMicros)/span/float64(e.config.Cores))
	e.sampledMicros, e.sampledAt = e.busyMicros, time.Now()
	fmt.Fprintf(conn, "sampled %s %.3f %d 0.05 3\r\n", token, use, len(e.runs))
}

// launch starts a run, unless this incarnation of the backend has launched the id before.
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
	if e.launchedEver[id] {
		e.launchedTwice++
	}
	if len(e.launchedEver) < maxLaunchedID {
		e.launchedEver[id] = true
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
