// Package transport carries what agents say to each other: one listener an agent, one address for each other agent, and
// several kinds of conversation over it, told apart by a first line. It knows nothing of what is said.
package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// Kind of a conversation.
type Kind string

// The kinds: the consensus library's, the member list's datagrams and streams, and calls of our own.
const (
	Raft   Kind = "raft"
	Packet Kind = "packet"
	Stream Kind = "stream"
	Call   Kind = "call"
)

// greeting is the first line: the version, the kind, whom it is for, who speaks.
const greeting = "milletbarrow/1"

// Net is one agent's side.
type Net struct {
	Self   string
	bounds limits.Control

	l     net.Listener
	kinds map[Kind]*queue

	mu   sync.Mutex
	to   map[string]string // by name: the address at which this agent reaches it
	http map[string]*http.Client
}

// Listen opens this agent's address. to names the others.
func Listen(self, address string, to map[string]string, b limits.Control) (*Net, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &Net{Self: self, bounds: b, l: l, kinds: map[Kind]*queue{}, to: to, http: map[string]*http.Client{}}
	for _, k := range []Kind{Raft, Packet, Stream, Call} {
		n.kinds[k] = &queue{conns: make(chan net.Conn, 16), over: make(chan struct{}), addr: name(self)}
	}
	return n, nil
}

// Move takes other addresses; conversations that are under way go on.
func (n *Net) Move(to map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.to = to
	n.http = map[string]*http.Client{}
}

// Run accepts until ctx ends.
func (n *Net) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { n.l.Close() })
	defer stop()
	defer func() {
		for _, q := range n.kinds {
			q.Close()
		}
	}()
	l := limits.Conns(n.l, 4*n.bounds.Clients)
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(n.bounds.Again)
			continue
		}
		go n.greet(c)
	}
}

// greet reads the first line and hands the conversation to its kind; one that is meant for another agent is closed.
func (n *Net) greet(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(n.bounds.Call))
	line := make([]byte, 0, 128)
	for one := make([]byte, 1); len(line) < cap(line); { // no byte beyond the line may be taken
		if _, err := io.ReadFull(c, one); err != nil {
			c.Close()
			return
		}
		if one[0] == '\n' {
			break
		}
		line = append(line, one[0])
	}
	c.SetReadDeadline(time.Time{})
	words := strings.Fields(string(line))
	if len(words) != 4 || words[0] != greeting || words[2] != n.Self || n.kinds[Kind(words[1])] == nil {
		c.Close()
		return
	}
	q := n.kinds[Kind(words[1])]
	select {
	case q.conns <- &conn{c, name(words[3])}:
	case <-q.over:
		c.Close()
	case <-time.After(n.bounds.Call):
		c.Close()
	}
}

// Dial begins a conversation.
func (n *Net) Dial(ctx context.Context, kind Kind, to string) (net.Conn, error) {
	n.mu.Lock()
	address := n.to[to]
	n.mu.Unlock()
	if address == "" {
		return nil, fmt.Errorf("peer %q: no address is known", to)
	}
	c, err := (&net.Dialer{Timeout: n.bounds.Call}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(n.bounds.Call))
	if _, err := fmt.Fprintf(c, "%s %s %s %s\n", greeting, kind, to, n.Self); err != nil {
		c.Close()
		return nil, err
	}
	c.SetWriteDeadline(time.Time{})
	return &conn{c, name(to)}, nil
}

// Listener of one kind.
func (n *Net) Listener(kind Kind) net.Listener { return n.kinds[kind] }

// Ask makes a call of our own to another agent, once.
func (n *Net) Ask(ctx context.Context, to, path string, body, into any) error {
	n.mu.Lock()
	c := n.http[to]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: 8, MaxIdleConnsPerHost: 4, DisableCompression: true, IdleConnTimeout: n.bounds.Idle,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return n.Dial(ctx, Call, to) },
		}}
		n.http[to] = c
	}
	n.mu.Unlock()
	return jsonhttp.Call(ctx, c, http.MethodPost, path, body, into, 16*int64(n.bounds.Message))
}

// name is a peer's address where one is asked for.
type name string

func (name) Network() string  { return "peer" }
func (n name) String() string { return string(n) }

// conn is a conversation whose far end is known by name.
type conn struct {
	net.Conn
	far name
}

func (c *conn) RemoteAddr() net.Addr { return c.far }

// queue hands conversations of one kind on, as a listener.
type queue struct {
	conns chan net.Conn
	over  chan struct{}
	once  sync.Once
	addr  name
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.over:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error   { q.once.Do(func() { close(q.over) }); return nil }
func (q *queue) Addr() net.Addr { return q.addr }

// WriteMessage and ReadMessage carry whole messages of at most so many bytes over a stream.
func WriteMessage(w io.Writer, b []byte) error {
	head := []byte{byte(len(b) >> 16), byte(len(b) >> 8), byte(len(b))}
	_, err := w.Write(append(head, b...))
	return err
}

// ReadMessage reads one; an error means that the stream is of no more use.
func ReadMessage(r *bufio.Reader, most int) ([]byte, error) {
	var head [3]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(head[0])<<16 | int(head[1])<<8 | int(head[2])
	if n > most {
		return nil, fmt.Errorf("a message of %d bytes, at most %d are read", n, most)
	}
	b := make([]byte, n)
	_, err := io.ReadFull(r, b)
	return b, err
}
