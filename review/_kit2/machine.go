package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is what the stand-ins know of one invocation that an edge node wrote to a backend.
type request struct {
	ID      string
	Class   string
	Key     string // idempotency key; empty: none
	Body    []byte
	Retry   bool
	Life    int           // of the backend, from 1
	Cost    int           // hint of the work in milliseconds; 0: 50
	At      time.Time     // when it came to the machine
	Wait    time.Duration // how long the edge node waits, from At
	Written time.Time     // when its last byte was written; zero: it was not

	Answers []answer
	Ended   string // why no answer can come any more; empty: it can
	EndedAt time.Time
	Runs    []runRecord
	Refused int // launches of it that were not carried out
}

// due returns the time until which the edge node waits.
func (r *request) due() time.Time { return r.At.Add(r.Wait) }

// answer is one final answer as the edge node read it.
type answer struct {
	At   time.Time
	Code byte
	Body string
}

// runRecord is one run on the cores.
type runRecord struct {
	Began  time.Time
	Ended  time.Time
	Result string
}

// machine stands in for the render farm agent of one backend: it owns the cores, follows the line protocol and knows the
// requests that came to the backend.
type machine struct {
	Cores int

	mu        sync.Mutex
	listener  net.Listener
	link      net.Conn
	requests  map[string]*request
	active    map[string]*activeRun
	notices   [][]byte // number n is at index n-1
	started   time.Time
	busy      float64 // core seconds used
	sampled   float64
	sampleAt  time.Time
	last      time.Time
	closed    chan struct{}
	results   int
	Links     int         // links opened so far
	hung      bool        // runs make no progress
	Fresh     bool        // "subscribe 0" comes from new processes alone: nothing here breaks links
	duplicate func() bool // whether the next notice is sent twice
	remark    func() bool // whether a remark precedes the next notice
	pieces    func() bool // whether the next notice is sent in pieces
	recent    []recentLaunch
	breakNext bool // the next notice breaks the link in its middle
}

type activeRun struct {
	request *request
	index   int
	left    time.Duration // core time
}

func startMachine(cores int) (*machine, error) {
	m := &machine{
		Cores: cores, requests: map[string]*request{}, active: map[string]*activeRun{},
		started: time.Now(), sampleAt: time.Now(), last: time.Now(), closed: make(chan struct{}),
	}
	if err := m.listen(); err != nil {
		return nil, err
	}
	go m.work()
	return m, nil
}

// listen opens a new address. An earlier one takes no further links.
func (m *machine) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.mu.Lock()
	old := m.listener
	m.listener = l
	m.mu.Unlock()
	if old != nil {
		_ = old.Close()
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(conn)
		}
	}()
	return nil
}

func (m *machine) address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener.Addr().String()
}

// reset forgets all runs and notices: the backend was killed together with its render farm agent.
func (m *machine) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.active = map[string]*activeRun{}
	m.notices = nil
	m.started = time.Now()
	if m.link != nil {
		_ = m.link.Close()
		m.link = nil
	}
}

// breakLink closes the link in use, as in an interruption of the connection.
func (m *machine) breakLink() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link != nil {
		m.loseRecent()
		_ = m.link.Close()
		m.link = nil
	}
}

func (m *machine) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.listener.Close()
	if m.link != nil {
		_ = m.link.Close()
	}
	close(m.closed)
}

// register records a request that is about to be written to the backend.
func (m *machine) register(r *request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests[r.ID] = r
}

// work shares the cores evenly among the active runs.
func (m *machine) work() {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-m.closed:
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		now := time.Now()
		span := now.Sub(m.last)
		m.last = now
		n := len(m.active)
		if n > 0 && !m.hung {
			share := min(1, float64(m.Cores)/float64(n))
			m.busy += span.Seconds() * min(float64(m.Cores), float64(n))
			for id, a := range m.active {
				a.left -= time.Duration(float64(span) * share)
				if a.left > 0 {
					continue
				}
				delete(m.active, id)
				m.results++
				result := fmt.Sprintf("result %d of %s %s", m.results, id, a.request.Key)
				run := &a.request.Runs[a.index]
				run.Ended = now
				run.Result = result
				ms := float64(now.Sub(run.Began).Microseconds()) / 1000
				m.notice(fmt.Appendf(nil, " %s complete %.3f %d\r\n%s\r\n", id, ms, len(result), result))
			}
		}
		m.mu.Unlock()
	}
}

// recentLaunch is a launch that is lost if the link breaks within 50 ms.
type recentLaunch struct {
	request *request
	at      time.Time
}

// notice numbers, keeps and sends an outcome. m.mu is held.
func (m *machine) notice(text []byte) {
	if m.remark != nil && m.remark() {
		m.notices = append(m.notices, fmt.Appendf(nil, "aside %d all is well\r\n", len(m.notices)+1))
		if m.link != nil {
			_, _ = m.link.Write(m.notices[len(m.notices)-1])
		}
	}
	m.notices = append(m.notices, append(fmt.Appendf(nil, "outcome %d", len(m.notices)+1), text...))
	line := m.notices[len(m.notices)-1]
	if m.link == nil {
		return
	}
	switch {
	case m.breakNext:
		m.breakNext = false
		_, _ = m.link.Write(line[:len(line)/2])
		m.loseRecent()
		_ = m.link.Close()
		m.link = nil
		return
	case m.pieces != nil && m.pieces():
		_, _ = m.link.Write(line[:len(line)/3])
		time.Sleep(time.Millisecond)
		_, _ = m.link.Write(line[len(line)/3:])
	default:
		_, _ = m.link.Write(line)
	}
	if m.duplicate != nil && m.duplicate() {
		_, _ = m.link.Write(line)
	}
}

// loseRecent undoes the launches of the last 50 ms, which a break of the link may lose. m.mu is held.
func (m *machine) loseRecent() {
	for _, l := range m.recent {
		if time.Since(l.at) < 50*time.Millisecond && m.active[l.request.ID] != nil {
			delete(m.active, l.request.ID)
			l.request.Runs = l.request.Runs[:len(l.request.Runs)-1]
		}
	}
	m.recent = nil
}

func (m *machine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "subscribe":
			n, err := strconv.Atoi(words[1])
			if err != nil {
				return
			}
			m.subscribe(conn, n)
		case "sample":
			m.sample(conn, words[1])
		case "launch":
			size, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			m.launch(conn, words[1], words[2], body[:size])
		default:
			return
		}
	}
}

func (m *machine) subscribe(conn net.Conn, after int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.link != nil && m.link != conn {
		_ = m.link.Close()
	}
	m.link = conn
	m.Links++
	if after == 0 && m.Fresh { // a new backend process, whose render farm agent began with it
		m.notices, m.active = nil, map[string]*activeRun{}
	}
	out := fmt.Appendf(nil, "greeting hot %d\r\n", time.Since(m.started).Milliseconds())
	for _, n := range m.notices[min(after, len(m.notices)):] {
		out = append(out, n...)
	}
	_, _ = conn.Write(out)
}

func (m *machine) sample(conn net.Conn, tag string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	span := max(1e-6, time.Since(m.sampleAt).Seconds())
	use := min(1, (m.busy-m.sampled)/span/float64(m.Cores))
	m.sampled, m.sampleAt = m.busy, time.Now()
	fmt.Fprintf(conn, "sampled %s %.3f %d 0.05 3\r\n", tag, use, len(m.active))
}

// launch begins a run. The core time stands in the body as work=MILLISECONDS.
func (m *machine) launch(conn net.Conn, id, class string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.requests[id]
	switch {
	case r == nil || r.Class != class || !bytes.Equal(r.Body, body):
		if r != nil {
			r.Refused++
		}
		fmt.Fprintf(conn, "refusal launch %s\r\n", id)
	case m.active[id] != nil: // it runs already
	case len(r.Answers) > 0 || r.Ended != "" || len(r.Runs) > 0:
		m.notice(fmt.Appendf(nil, " %s unknown 0 0\r\n\r\n", id))
	case m.link != conn: // a link that was replaced
	default:
		work := 50.0
		if _, text, found := strings.Cut(string(body), "work="); found {
			if ms, err := strconv.ParseFloat(strings.Fields(text)[0], 64); err == nil {
				work = ms
			}
		}
		r.Runs = append(r.Runs, runRecord{Began: time.Now()})
		m.recent = append(m.recent, recentLaunch{r, time.Now()})
		if len(m.recent) > 64 {
			m.recent = m.recent[32:]
		}
		m.active[id] = &activeRun{request: r, index: len(r.Runs) - 1, left: time.Duration(work * float64(time.Millisecond))}
	}
}
