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

// AutoExecutor is an executor that works by itself: each run takes so long, on so many cores. It remembers which runs were
// started and when, and survives its backend: a new one begins with a new numbering.
type AutoExecutor struct {
	Address string
	Takes   time.Duration
	Cores   int

	mu       sync.Mutex
	started  map[string]time.Time
	again    int // launches of an id that another life of the backend had launched: the effect would come twice
	link     net.Conn
	kept     []string
	claim    float64         // says that so many want a core, whatever is true; 0: it says what is true
	slow     float64         // runs take so many times longer; 0: they do not
	life     map[string]bool // launched since the last subscribe 0
	busy     int
	waiting  []string
	listener net.Listener
}

// NewAutoExecutor starts one on loopback.
func NewAutoExecutor(t testing.TB, takes time.Duration, cores int) *AutoExecutor {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &AutoExecutor{
		Address: l.Addr().String(), Takes: takes, Cores: cores, started: map[string]time.Time{},
		life: map[string]bool{}, listener: l,
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

// Slow has runs that begin from now on take so many times longer.
func (c *AutoExecutor) Slow(factor float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = factor
}

// Claim has the gauges say that so many want a core, whatever is true.
func (c *AutoExecutor) Claim(queue float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claim = max(0.001, queue)
}

// Started tells when each run was started.
func (c *AutoExecutor) Started() (at map[string]time.Time, twice int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at = make(map[string]time.Time, len(c.started))
	for id, t := range c.started {
		at[id] = t
	}
	return at, c.again
}

func (c *AutoExecutor) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		c.mu.Lock()
		switch words[0] {
		case "subscribe":
			after, _ := strconv.Atoi(words[1])
			if after == 0 { // a backend that has just started
				c.kept, c.life, c.waiting = nil, map[string]bool{}, nil
			}
			c.link = conn
			fmt.Fprintf(conn, "greeting hot 3600000\r\n")
			for _, n := range c.kept[min(after, len(c.kept)):] {
				_, _ = io.WriteString(conn, n)
			}
		case "sample":
			queue := float64(c.busy + len(c.waiting))
			if c.claim > 0 {
				queue = c.claim
			}
			fmt.Fprintf(conn, "sampled %s %.3f %.3f 0.05 3\r\n", words[1], min(1, float64(c.busy)/float64(c.Cores)), queue)
		case "launch":
			size, _ := strconv.Atoi(words[3])
			_, _ = io.CopyN(io.Discard, in, int64(size+2))
			c.launch(words[1])
		}
		c.mu.Unlock()
	}
}

// launch starts a run, or keeps it until a core is free; c.mu is held.
func (c *AutoExecutor) launch(id string) {
	if c.life[id] {
		return
	}
	if _, known := c.started[id]; known {
		c.again++
	}
	c.life[id] = true
	c.started[id] = time.Now()
	if c.busy >= c.Cores {
		c.waiting = append(c.waiting, id)
		return
	}
	c.run(id)
}

func (c *AutoExecutor) run(id string) {
	c.busy++
	takes := c.Takes
	if c.slow > 0 {
		takes = time.Duration(float64(takes) * c.slow)
	}
	time.AfterFunc(takes, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy--
		if c.life[id] { // else its backend is another by now
			result := "result of " + id
			notice := fmt.Sprintf("outcome %d %s complete %d %d\r\n%s\r\n", len(c.kept)+1, id, takes.Milliseconds(), len(result), result)
			c.kept = append(c.kept, notice)
			if c.link != nil {
				_, _ = io.WriteString(c.link, notice)
			}
		}
		if len(c.waiting) > 0 && c.busy < c.Cores {
			next := c.waiting[0]
			c.waiting = c.waiting[1:]
			c.run(next)
		}
	})
}
