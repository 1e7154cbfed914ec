// Package fakes holds what the tests share: traces kept in testdata, and stand-ins for the systems around a
// backend, written from their protocol alone: an edge node, the farm, the roster.
package fakes

import (
	"bufio"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the traces anew")

// patience is how long a test waits for what must happen.
const patience = 10 * time.Second

// Trace gathers what a test prints.
type Trace struct {
	testing.TB
	text strings.Builder
}

// NewTrace begins a trace that is compared, at the end of the test, with the one kept under its name.
func NewTrace(t testing.TB) *Trace {
	tr := &Trace{TB: t}
	t.Cleanup(func() {
		if !t.Failed() {
			Compare(t, tr.text.String())
		}
	})
	return tr
}

// Say prints a line.
func (tr *Trace) Say(format string, args ...any) { fmt.Fprintf(&tr.text, format+"\n", args...) }

// Compare compares text with the one kept under the test's name.
func Compare(t testing.TB, text string) {
	t.Helper()
	file := filepath.Join("testdata", t.Name()+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(text, "\n")); diff != "" {
		t.Errorf("not as in %s (-kept +now):\n%s", file, diff)
	}
}

// Until waits for a condition.
func Until(t testing.TB, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !met(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

// Take waits for a value.
func Take[T any](t testing.TB, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Frame is a frame as a caller sees it.
type Frame struct {
	Type   byte
	Stream uint32
	Code   byte
	Fields string // name=value, as they came
	Body   string
}

func (f Frame) String() string {
	switch f.Type {
	case 11, 21:
		return strings.TrimSpace(fmt.Sprintf("%d stream %d code %d %s %.40q", f.Type, f.Stream, f.Code, f.Fields, f.Body))
	}
	return fmt.Sprintf("%d stream %d", f.Type, f.Stream)
}

// Raw makes a frame of any type.
func Raw(kind byte, stream uint32, payload string) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	return string(binary.BigEndian.AppendUint32(append(b, kind), stream)) + payload
}

// Fields encodes name=value pairs.
func Fields(pairs ...string) string {
	b := []byte{byte(len(pairs))}
	for _, p := range pairs {
		name, value, _ := strings.Cut(p, "=")
		b = append(append(b, byte(len(name))), name...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(value))), value...)
	}
	return string(b)
}

// Usual are the fields of an invocation that has come now and may wait four seconds; edits replace or, with
// an empty value, drop some.
func Usual(number int, edits ...string) []string {
	pairs := []string{
		"class=look", fmt.Sprintf("id=%016x", number), fmt.Sprint("at=", time.Now().UnixMilli()), "from=1",
		"tenant=acme", "wait=4000", "cost=20.50", "kb=20.0", "rank=0.5000",
	}
	for _, e := range edits {
		name, value, _ := strings.Cut(e, "=")
		kept := pairs[:0]
		for _, p := range pairs {
			if !strings.HasPrefix(p, name+"=") {
				kept = append(kept, p)
			}
		}
		if pairs = kept; value != "" {
			pairs = append(pairs, e)
		}
	}
	return pairs
}

// Invocation makes the frame of an invocation whose id is that number.
func Invocation(stream uint32, number int, edits ...string) string {
	return Raw(10, stream, Fields(Usual(number, edits...)...)+fmt.Sprint("body ", number))
}

// Try makes the frame of one try of the work that a token names, in the operation post; its content goes by the token.
func Try(stream uint32, number int, token string, edits ...string) string {
	fields := Usual(number, append(edits, "class=post", "once="+token)...)
	return Raw(10, stream, Fields(fields...)+"work "+token)
}

// Node is an edge node with one connection.
type Node struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

// Dial connects an edge node.
func Dial(t testing.TB, address string) *Node {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return NewNode(t, c)
}

// NewNode makes an edge node of a connection.
func NewNode(t testing.TB, c net.Conn) *Node { return &Node{t: t, Conn: c, in: bufio.NewReader(c)} }

// Ask sends bytes and reads the next frame; either may fail.
func (n *Node) Ask(text string) (Frame, error) {
	if _, err := io.WriteString(n.Conn, text); err != nil {
		return Frame{}, err
	}
	return n.Next()
}

// Send writes bytes as they are.
func (n *Node) Send(parts ...string) {
	n.t.Helper()
	if _, err := io.WriteString(n.Conn, strings.Join(parts, "")); err != nil {
		n.t.Fatal(err)
	}
}

// Next reads a frame; an error means that the connection is over.
func (n *Node) Next() (f Frame, err error) {
	_ = n.SetReadDeadline(time.Now().Add(patience))
	var head [9]byte
	if _, err := io.ReadFull(n.in, head[:]); err != nil {
		return f, err
	}
	f.Type, f.Stream = head[4], binary.BigEndian.Uint32(head[5:])
	p := make([]byte, binary.BigEndian.Uint32(head[:])-5)
	if _, err := io.ReadFull(n.in, p); err != nil {
		return f, err
	}
	if f.Type == 11 || f.Type == 21 {
		var fields []string
		f.Code = p[0]
		count := int(p[1])
		for p = p[2:]; count > 0; count-- {
			name := string(p[1 : 1+p[0]])
			p = p[1+len(name):]
			size := binary.BigEndian.Uint16(p)
			fields = append(fields, name+"="+string(p[2:2+size]))
			p = p[2+size:]
		}
		f.Fields, f.Body = strings.Join(fields, " "), string(p)
	}
	return f, nil
}

// Expect reads a frame that must come.
func (n *Node) Expect() Frame {
	n.t.Helper()
	f, err := n.Next()
	if err != nil {
		n.t.Fatalf("no further frame: %v", err)
	}
	return f
}

// Launch is a run that the farm was told to start.
type Launch struct{ ID, Operation, Body string }

// Farm stands in for the farm, which owns the cores. It starts nothing by itself: tests end runs.
type Farm struct {
	Address    string
	Launches   chan Launch
	Subscribes chan int
	t          testing.TB
	listener   net.Listener
	mu         sync.Mutex
	link       net.Conn
	state      string // of the greeting; empty while the farm is not up
	gauges     string // empty: samples are left unanswered
	kept       []string
	known      map[string]bool
	samples    int
}

// NewFarm starts a farm that is up and answers samples.
func NewFarm(t testing.TB) *Farm {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &Farm{
		Address: l.Addr().String(), Launches: make(chan Launch, 10_000), Subscribes: make(chan int, 1000), t: t,
		listener: l, state: "hot 3600000", gauges: "0.10 0 0.05 3", known: map[string]bool{},
	}
	t.Cleanup(func() { _ = l.Close(); f.Cut() })
	go f.accept(l)
	return f
}

func (f *Farm) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.link = c
		f.mu.Unlock()
		go f.serve(c)
	}
}

// Move gives the farm another address; the old one takes nothing new, a link to it goes on until the test
// calls cut.
func (f *Farm) Move() (cut func()) {
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
	old := f.link
	return func() {
		if old != nil {
			_ = old.Close()
		}
	}
}

func (f *Farm) serve(c net.Conn) {
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
			if !f.known[words[1]] { // for one that runs already nothing happens
				f.known[words[1]] = true
				f.Launches <- Launch{words[1], words[2], string(body[:size])}
			}
		}
		f.mu.Unlock()
	}
}

func (f *Farm) greet(after int) {
	fmt.Fprintf(f.link, "greeting %s\r\n", f.state)
	for _, notice := range f.kept[min(after, len(f.kept)):] {
		_, _ = io.WriteString(f.link, notice)
	}
}

// With changes the farm's state under its lock.
func (f *Farm) With(change func(state, gauges *string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.state
	change(&f.state, &f.gauges)
	if before == "" && f.state != "" && f.link != nil {
		f.greet(0)
	}
}

// Samples counts the samples asked for.
func (f *Farm) Samples() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.samples
}

// End ends a run: word is complete, error, cancelled or unknown.
func (f *Farm) End(id, word, result string) {
	f.Notice(fmt.Sprintf("outcome %%d %s %s 12.5 %d\r\n%s\r\n", id, word, len(result), result))
}

// Notice sends a numbered notice, and keeps it; %d stands for the number.
func (f *Farm) Notice(format string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept = append(f.kept, strings.Replace(format, "%d", strconv.Itoa(len(f.kept)+1), 1))
	f.send(f.kept[len(f.kept)-1])
}

// Send writes text to the link as it is, if there is one.
func (f *Farm) Send(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.send(text)
}

func (f *Farm) send(text string) {
	if f.link != nil {
		_, _ = io.WriteString(f.link, text)
	}
}

// Forget makes the farm one that never heard of a launch.
func (f *Farm) Forget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.known, id)
}

// Refuse says that a launch names nobody's work. A later one of that id is refused or taken anew.
func (f *Farm) Refuse(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.known, id)
	f.send("refusal launch " + id + "\r\n")
}

// Cut ends the link.
func (f *Farm) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.link != nil {
		_ = f.link.Close()
		f.link = nil
	}
}

// NewRoster starts a roster; each report goes to the channel as "path body", then how answers it.
func NewRoster(t testing.TB, how http.HandlerFunc) (address string, reports chan string) {
	reports = make(chan string, 1000)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		select {
		case reports <- fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body):
		default: // nobody takes them: it must not turn into a roster that never answers, and never ends
		}
		how(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), reports
}

// Settings is a small deployment: two operations, two tenants, two cores.
const Settings = `{"classes":[
 {"name":"look","aim_ms":2000,"deadline_ms":5000,"repeat":"idempotent","late_value":0.1},
 {"name":"post","aim_ms":2000,"deadline_ms":5000,"repeat":"at_most_once"}],
 "projects":[{"name":"acme","quota_per_s":50},{"name":"zenith","quota_per_s":50}],"a_new_key":[1],
 "over_share_worth":0.05,"fleet_size":3,"round_ms":5,"policy_limits":{"max_retry_after_ms":1000,"retry_after":true},
 "invariants":{"answer_slack_ms":80,"cold_ms":9000,"cold_share":0.3,"drain_grace_ms":300,"fall_ms":3000,"fall_multiple":8},
 "family_info":{"below":"off","callers":3,"idle_ms":15000,"just_started":false,"mem_limit_kb":90000,"n_cores":2,
 "own_stats":["core_use","on_cores","heap_share","links"],"preemption":"off","run_factor":8,"say":"off"}}`
