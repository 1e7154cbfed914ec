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

// ScriptedExecutor is a fake of the executor, which owns the cores. It finishes nothing by itself: the test ends runs.
type ScriptedExecutor struct {
	Address    string
	Launches   chan Launch
	Subscribes chan int
	t          testing.TB
	listener   net.Listener
	mu         sync.Mutex
	conn       net.Conn
	state      string // as in the greeting; empty while the executor is not up
	gauges     string // as in the answer to a sample; empty: samples are left unanswered
	notices    []string
	known      map[string]bool
	samples    int
}

// NewScriptedExecutor starts an executor on loopback that is up and answers samples, until the end of the test.
func NewScriptedExecutor(t testing.TB) *ScriptedExecutor {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &ScriptedExecutor{
		Address: l.Addr().String(), Launches: make(chan Launch, 10_000), Subscribes: make(chan int, 1000), t: t,
		listener: l, state: "hot 3600000", gauges: "0.10 0 0.05 3", known: map[string]bool{},
	}
	t.Cleanup(func() { _ = l.Close(); f.Cut() })
	go f.accept(l)
	return f
}

func (f *ScriptedExecutor) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.conn = c
		f.mu.Unlock()
		go f.serve(c)
	}
}

// Move gives the executor another address. The former one accepts nothing more; a connection to it goes on until the
// test calls cut.
func (f *ScriptedExecutor) Move() (cut func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listener.Close()
	f.listener, f.Address = l, l.Addr().String()
	go f.accept(l)
	old := f.conn
	return func() {
		if old != nil {
			_ = old.Close()
		}
	}
}

func (f *ScriptedExecutor) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			_ = c.Close()
			return
		}
		f.mu.Lock()
		switch words[0] {
		case "subscribe":
			n, _ := strconv.Atoi(words[1])
			if f.state != "" {
				f.greet(n)
			}
			f.Subscribes <- n
		case "sample":
			f.samples++
			if f.gauges != "" && f.state != "" {
				fmt.Fprintf(c, "sampled %s %s\r\n", words[1], f.gauges)
			}
		case "launch":
			size, _ := strconv.Atoi(words[3])
			body := make([]byte, size+2)
			_, _ = io.ReadFull(in, body)
			if !f.known[words[1]] { // a repeated launch is ignored
				f.known[words[1]] = true
				f.Launches <- Launch{words[1], words[2], string(body[:size])}
			}
		}
		f.mu.Unlock()
	}
}

func (f *ScriptedExecutor) greet(after int) {
	fmt.Fprintf(f.conn, "greeting %s\r\n", f.state)
	for _, notice := range f.notices[min(after, len(f.notices)):] {
		_, _ = io.WriteString(f.conn, notice)
	}
}

// With changes the executor's state and gauges under its lock.
func (f *ScriptedExecutor) With(change func(state, gauges *string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state
	change(&f.state, &f.gauges)
	if before == "" && f.state != "" && f.conn != nil {
		f.greet(0)
	}
}

// Samples counts the samples requested so far.
func (f *ScriptedExecutor) Samples() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.samples
}

// End ends a run; outcome is complete, error, cancelled or unknown.
func (f *ScriptedExecutor) End(id, outcome, result string) {
	f.Notice(fmt.Sprintf("outcome %%d %s %s 12.5 %d\r\n%s\r\n", id, outcome, len(result), result))
}

// Notice sends a numbered notice, and stores it for later subscribers; %d stands for the number.
func (f *ScriptedExecutor) Notice(format string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notices = append(f.notices, strings.Replace(format, "%d", strconv.Itoa(len(f.notices)+1), 1))
	f.send(f.notices[len(f.notices)-1])
}

// Send writes text to the connection unchanged, if there is one.
func (f *ScriptedExecutor) Send(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.send(text)
}

func (f *ScriptedExecutor) send(text string) {
	if f.conn != nil {
		_, _ = io.WriteString(f.conn, text)
	}
}

// Forget removes a launch, as if the executor had never received it.
func (f *ScriptedExecutor) Forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.known, id)
}

// Refuse rejects a launch. A later one of the same id is rejected or accepted anew.
func (f *ScriptedExecutor) Refuse(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.known, id)
	f.send("refusal launch " + id + "\r\n")
}

// Cut closes the connection, if there is one.
func (f *ScriptedExecutor) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conn != nil {
		_ = f.conn.Close()
		f.conn = nil
	}
}
