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
)

// Launch is a run that the executor was asked to start.
type Launch struct{ ID, Operation, Body string }

// ScriptedExecutor is a fake executor that the test controls: runs end only when the test calls End.
type ScriptedExecutor struct {
	Address    string
	Launches   chan Launch
	Subscribes chan int
	tb         testing.TB
	listener   net.Listener
	mu         sync.Mutex
	conn       net.Conn
	state      string // as in the greeting; empty while the executor is down
	gauges     string // as in the answer to a sample; empty: samples are not answered
	notices    []string
	launched   map[string]bool
	samples    int
}

// NewScriptedExecutor starts an executor on a loopback address that answers samples, until the end of the test.
func NewScriptedExecutor(t testing.TB) *ScriptedExecutor {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &ScriptedExecutor{
		Address: listener.Addr().String(), Launches: make(chan Launch, 10_000), Subscribes: make(chan int, 1000), tb: t,
		listener: listener, state: "hot 3600000", gauges: "0.10 0 0.05 3", launched: map[string]bool{},
	}
	t.Cleanup(func() { _ = listener.Close(); e.Cut() })
	go e.accept(listener)
	return e
}

// accept serves all connections of a listener. Notices are sent on the latest connection only.
func (e *ScriptedExecutor) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conn = conn
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// Move gives the executor another address and closes the listener of the former one. The present connection stays open
// until the test calls cut.
func (e *ScriptedExecutor) Move() (cut func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.tb.Fatal(err)
	}
	e.tb.Cleanup(func() { _ = listener.Close() })
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	e.listener, e.Address = listener, listener.Addr().String()
	go e.accept(listener)
	old := e.conn
	return func() {
		if old != nil {
			_ = old.Close()
		}
	}
}

// serve answers the lines of one connection until it ends.
func (e *ScriptedExecutor) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			_ = conn.Close()
			return
		}
		e.mu.Lock()
		switch words[0] {
		case "subscribe":
			n, _ := strconv.Atoi(words[1])
			if e.state != "" {
				e.greet(n)
			}
			e.Subscribes <- n
		case "sample":
			e.samples++
			if e.gauges != "" && e.state != "" {
				fmt.Fprintf(conn, "sampled %s %s\r\n", words[1], e.gauges)
			}
		case "launch":
			size, _ := strconv.Atoi(words[3])
			body := make([]byte, size+2)
			_, _ = io.ReadFull(in, body)
			if !e.launched[words[1]] { // a repeated launch is ignored
				e.launched[words[1]] = true
				e.Launches <- Launch{words[1], words[2], string(body[:size])}
			}
		}
		e.mu.Unlock()
	}
}

// greet sends the greeting and the notices after a number. The caller holds e.mu.
func (e *ScriptedExecutor) greet(after int) {
	fmt.Fprintf(e.conn, "greeting %s\r\n", e.state)
	for _, notice := range e.notices[min(after, len(e.notices)):] {
		_, _ = io.WriteString(e.conn, notice)
	}
}

// With changes the executor's state and gauges under its lock. A change from down to up sends the greeting.
func (e *ScriptedExecutor) With(change func(state, gauges *string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.state
	change(&e.state, &e.gauges)
	if before == "" && e.state != "" && e.conn != nil {
		e.greet(0)
	}
}

// Samples returns the number of samples requested so far.
func (e *ScriptedExecutor) Samples() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.samples
}

// End ends a run; outcome is complete, error, cancelled or unknown.
func (e *ScriptedExecutor) End(id, outcome, result string) {
	e.Notice(fmt.Sprintf("outcome %%d %s %s 12.5 %d\r\n%s\r\n", id, outcome, len(result), result))
}

// Notice sends a numbered notice and stores it for later subscribers; the first %d of format is the number.
func (e *ScriptedExecutor) Notice(format string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notices = append(e.notices, strings.Replace(format, "%d", strconv.Itoa(len(e.notices)+1), 1))
	e.send(e.notices[len(e.notices)-1])
}

// Send writes text unchanged to the connection, if there is one.
func (e *ScriptedExecutor) Send(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.send(text)
}

// send is Send for a caller that holds e.mu.
func (e *ScriptedExecutor) send(text string) {
	if e.conn != nil {
		_, _ = io.WriteString(e.conn, text)
	}
}

// Forget removes a launch from the known ones, so that a repeated launch starts a run again.
func (e *ScriptedExecutor) Forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.launched, id)
}

// Refuse rejects a launch and forgets it: the executor decides again on a later launch of the same id.
func (e *ScriptedExecutor) Refuse(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.launched, id)
	e.send("refusal launch " + id + "\r\n")
}

// Cut closes the connection, if there is one.
func (e *ScriptedExecutor) Cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		_ = e.conn.Close()
		e.conn = nil
	}
}
