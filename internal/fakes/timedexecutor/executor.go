// Package timedexecutor is a fake of the executor that really takes time: runs share its cores evenly, and past a crowd all
// slow down, as the simulation has it. For load, demos and tests on this machine; it serves nobody. It owns runs and the
// links that backends open to it; it never decides which run begins.
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

// Config of one executor.
type Config struct {
	Cores int
	Crowd float64       // runs a core that it bears
	Takes time.Duration // of a run whose body does not say "work=MICROSECONDS"
	Cold  time.Duration // a new backend's executor is slower for so long, evenly less so; 0: it is not
	Share float64       // speed at the start of that
	Most  int           // runs at once; what comes beyond is ended with an error
}

// Executor is one executor, on one address.
type Executor struct {
	Address string
	t       Config

	mu     sync.Mutex
	l      net.Listener
	links  map[net.Conn]bool
	link   net.Conn
	lives  map[string]bool // runs launched since the last subscribe 0
	kept   [][]byte        // notices, by number from 1
	given  float64         // microseconds of full speed that each run has had
	at     time.Time
	slow   float64
	runs   ends
	timer  *time.Timer
	busy   float64 // core microseconds
	seen   float64
	seenAt time.Time
	born   time.Time
	closed bool
	Ran    int // runs that have ended
	Twice  int // launches of an id that another life of the backend had launched
	ever   map[string]bool
}

type run struct {
	end float64
	id  string
	was time.Time
}

// ends is a heap of runs, the next to end first.
type ends []*run

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].end < e[j].end }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push and Pop are heap's.
func (e *ends) Push(x any) { *e = append(*e, x.(*run)) }

// Pop takes the last off.
func (e *ends) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// mostKept notices are kept for a link that breaks.
const mostKept = 100_000

// Start opens an executor on an address; port 0 takes any.
func Start(address string, t Config) (*Executor, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	y := &Executor{
		Address: l.Addr().String(), t: t, l: l, links: map[net.Conn]bool{}, lives: map[string]bool{}, ever: map[string]bool{},
		at: time.Now(), seenAt: time.Now(), slow: 1,
	}
	y.timer = time.AfterFunc(time.Hour, y.due)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			y.mu.Lock()
			y.links[c] = true
			y.mu.Unlock()
			go y.serve(c)
		}
	}()
	return y, nil
}

// Close ends it with all its links.
func (y *Executor) Close() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.closed = true
	_ = y.l.Close()
	y.timer.Stop()
	for c := range y.links {
		_ = c.Close()
	}
}

// Slow makes the cores slower by a factor; 1 is their full speed.
func (y *Executor) Slow(factor float64) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.move()
	y.slow = max(factor, 1e-3)
	y.next()
}

// Counts tells how many runs have ended, how many are on the cores, and how many launches came twice.
func (y *Executor) Counts() (ran, on, twice int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.Ran, len(y.runs), y.Twice
}

// rate is the progress of each run by microsecond.
func (y *Executor) rate() float64 {
	n, cores := float64(len(y.runs)), float64(y.t.Cores)
	r := 1 / y.slow
	if warm := time.Since(y.born); y.t.Cold > 0 && warm < y.t.Cold {
		r *= y.t.Share + (1-y.t.Share)*float64(warm)/float64(y.t.Cold)
	}
	if n > cores {
		r *= cores / n
	}
	if bears := y.t.Crowd * cores; bears > 0 && n > bears {
		r *= bears / n * bears / n
	}
	return r
}

// move brings the runs up to now; y.mu is held.
func (y *Executor) move() {
	now := time.Now()
	us := float64(now.Sub(y.at).Nanoseconds()) / 1000
	y.given += us * y.rate()
	y.busy += us * min(float64(len(y.runs)), float64(y.t.Cores))
	y.at = now
}

// next sets the timer for the next end. A executor that warms up looks again soon, as its speed changes.
func (y *Executor) next() {
	if len(y.runs) == 0 || y.closed {
		return
	}
	in := time.Duration((y.runs[0].end - y.given) / y.rate() * 1000)
	if time.Since(y.born) < y.t.Cold {
		in = min(in, 20*time.Millisecond)
	}
	y.timer.Reset(max(in, 0))
}

func (y *Executor) due() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.move()
	for len(y.runs) > 0 && y.runs[0].end <= y.given+0.5 {
		r := heap.Pop(&y.runs).(*run)
		y.Ran++
		if y.lives[r.id] {
			result := "result of " + r.id
			y.notice(fmt.Appendf(nil, " %s complete %.3f %d\r\n%s\r\n", r.id, float64(time.Since(r.was).Microseconds())/1000, len(result), result))
		}
	}
	y.next()
}

// notice numbers and sends one.
func (y *Executor) notice(text []byte) {
	if len(y.kept) >= mostKept {
		return // the backend's run goes without a word; load counts it as lost
	}
	y.kept = append(y.kept, append(fmt.Appendf(nil, "outcome %d", len(y.kept)+1), text...))
	if y.link != nil {
		_, _ = y.link.Write(y.kept[len(y.kept)-1])
	}
}

func (y *Executor) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		y.mu.Lock()
		delete(y.links, c)
		if y.link == c {
			y.link = nil
		}
		y.mu.Unlock()
	}()
	in := bufio.NewReader(c)
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
			y.subscribe(c, after)
		case "sample":
			y.sample(c, words[1])
		case "launch":
			if len(words) < 4 {
				return
			}
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 || size > 1<<20 {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			y.launch(words[1], body[:size])
		}
	}
}

func (y *Executor) subscribe(c net.Conn, after int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	state := "hot 3600000"
	if after == 0 { // a backend that has just started; its cores are another's by now, and cold
		if y.t.Cold > 0 && len(y.ever) > 0 {
			y.born = time.Now()
			state = "chilly 0"
		}
		y.kept, y.lives = nil, map[string]bool{}
	}
	y.link = c
	fmt.Fprintf(c, "greeting %s\r\n", state)
	for _, n := range y.kept[min(after, len(y.kept)):] {
		_, _ = c.Write(n)
	}
}

func (y *Executor) sample(c net.Conn, token string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.move()
	span := max(1, float64(time.Since(y.seenAt).Microseconds()))
	use := min(1, (y.busy-y.seen)/span/float64(y.t.Cores))
	y.seen, y.seenAt = y.busy, time.Now()
	fmt.Fprintf(c, "sampled %s %.3f %d 0.05 3\r\n", token, use, len(y.runs))
}

func (y *Executor) launch(id string, body []byte) {
	work := float64(y.t.Takes.Microseconds())
	if rest, ok := bytes.CutPrefix(body, []byte("work=")); ok {
		if us, err := strconv.ParseFloat(string(rest), 64); err == nil && us > 0 && us < 3.6e9 {
			work = us
		}
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.lives[id] {
		return // for one that runs already nothing happens
	}
	if y.ever[id] {
		y.Twice++
	}
	if len(y.ever) < 10_000_000 {
		y.ever[id] = true
	}
	y.lives[id] = true
	if len(y.runs) >= y.t.Most {
		y.notice(fmt.Appendf(nil, " %s error 0 4\r\nfull\r\n", id))
		return
	}
	y.move()
	heap.Push(&y.runs, &run{end: y.given + work, id: id, was: time.Now()})
	y.next()
}
