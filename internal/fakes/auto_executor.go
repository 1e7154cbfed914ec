package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// AutoExecutor is a fake executor that finishes runs by itself: each run takes ServiceTime on one of Cores cores. It
// records which runs were started and when. It keeps running when its backend restarts; notices are then numbered from
// 1 again.
type AutoExecutor struct {
	Address     string
	ServiceTime time.Duration
	Cores       int

	mu            sync.Mutex
	started       map[string]time.Time
	launchedTwice int // repeated launches of an id by another backend incarnation, which repeat the effect
	conn          net.Conn
	notices       []string
	reportedQueue float64         // reported queue length; 0: the actual one
	slowdown      float64         // multiplies the duration of runs; 0: no slowdown
	launched      map[string]bool // run ids launched since the last "subscribe 0"
	busy          int
	waiting       []string
	listener      net.Listener
}

// NewAutoExecutor starts an executor on a loopback address and closes it at the end of the test.
func NewAutoExecutor(t testing.TB, serviceTime time.Duration, cores int) *AutoExecutor {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &AutoExecutor{
		Address: listener.Addr().String(), ServiceTime: serviceTime, Cores: cores, started: map[string]time.Time{},
		launched: map[string]bool{}, listener: listener,
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

// Slow multiplies the duration of runs that begin from now on by factor.
func (e *AutoExecutor) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// OverrideQueueGauge makes the executor report the given queue length, in runs, instead of the actual one.
func (e *AutoExecutor) OverrideQueueGauge(queue float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportedQueue = max(0.001, queue)
}

// Started returns the start time of each run by id, and the number of launches of an id that an earlier incarnation of
// the backend had launched.
func (e *AutoExecutor) Started() (at map[string]time.Time, launchedTwice int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at = make(map[string]time.Time, len(e.started))
	for id, t := range e.started {
		at[id] = t
	}
	return at, e.launchedTwice
}

// serve answers the lines of one connection until it ends.
func (e *AutoExecutor) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		e.mu.Lock()
		switch words[0] {
		case "subscribe":
			after, _ := strconv.Atoi(words[1])
			if after == 0 { // a new backend
				e.notices, e.launched, e.waiting = nil, map[string]bool{}, nil
			}
			e.conn = conn
			fmt.Fprintf(conn, "greeting hot 3600000\r\n")
			for _, n := range e.notices[min(after, len(e.notices)):] {
				_, _ = io.WriteString(conn, n)
			}
		case "sample":
			queue := float64(e.busy + len(e.waiting))
			if e.reportedQueue > 0 {
				queue = e.reportedQueue
			}
			fmt.Fprintf(
				conn,
				"sampled %s %.3f %.3f 0.05 3\r\n",
				words[1],
				min(1, float64(e.busy)/float64(e.Cores)),
				queue,
			)
		case "launch":
			size, _ := strconv.Atoi(words[3])
			_, _ = io.CopyN(io.Discard, in, int64(size+2))
			e.launch(words[1])
		}
		e.mu.Unlock()
	}
}

// launch starts a run, or queues it until a core is free. The caller holds e.mu.
func (e *AutoExecutor) launch(id string) {
	if e.launched[id] {
		return
	}
	if _, known := e.started[id]; known {
		e.launchedTwice++
	}
	e.launched[id] = true
	e.started[id] = time.Now()
	if e.busy >= e.Cores {
		e.waiting = append(e.waiting, id)
		return
	}
	e.startOnCore(id)
}

// startOnCore starts a run on a core and sends its notice at the end. The caller holds e.mu.
func (e *AutoExecutor) startOnCore(id string) {
	e.busy++
	duration := e.ServiceTime
	if e.slowdown > 0 {
		duration = time.Duration(float64(duration) * e.slowdown)
	}
	time.AfterFunc(duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy--
		if e.launched[id] { // otherwise a later incarnation of the backend has subscribed
			result := "result of " + id
			notice := fmt.Sprintf(
				"outcome %d %s complete %d %d\r\n%s\r\n",
				len(e.notices)+1,
				id,
				duration.Milliseconds(),
				len(result),
				result,
			)
			e.notices = append(e.notices, notice)
			if e.conn != nil {
				_, _ = io.WriteString(e.conn, notice)
			}
		}
		if len(e.waiting) > 0 && e.busy < e.Cores {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.startOnCore(next)
		}
	})
}
