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
	KindRaft   Kind = "raft"
	KindPacket Kind = "packet"
	KindStream Kind = "stream"
	KindCall   Kind = "call"
)

// greeting is the first line: the version, the kind, whom it is for, who speaks.
const protocolVersion = "milletbarrow/1"

// Transport is one agent's side. It is safe for concurrent use.
type Transport struct {
	Self   string
	limits limits.Control

	listener net.Listener
	queues   map[Kind]*listenerQueue

	mu        sync.Mutex
	addresses map[string]string // by name: the address at which this agent reaches it
	clients   map[string]*http.Client
}

// Listen opens this agent's address. to names the others.
func Listen(self, address string, to map[string]string, b limits.Control) (*Transport, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &Transport{Self: self, limits: b, listener: l, queues: map[Kind]*listenerQueue{}, addresses: to, clients: map[string]*http.Client{}}
	for _, k := range []Kind{KindRaft, KindPacket, KindStream, KindCall} {
		n.queues[k] = &listenerQueue{conns: make(chan net.Conn, 16), closed: make(chan struct{}), addr: peerAddr(self)}
	}
	return n, nil
}

// SetAddresses takes other addresses; connections that are open go on.
func (n *Transport) SetAddresses(to map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses = to
	n.clients = map[string]*http.Client{}
}

// Run accepts until ctx ends.
func (n *Transport) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.listener.Close() })
	defer stop()
	defer func() {
		for _, q := range n.queues {
			_ = q.Close()
		}
	}()
	l := limits.LimitListener(n.listener, 4*n.limits.Connections)
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(n.limits.RetryBackoff)
			continue
		}
		go n.accept(c)
	}
}

// greet reads the first line and hands the conversation to its kind; one that is meant for another agent is closed.
func (n *Transport) accept(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(n.limits.CallTimeout))
	line := make([]byte, 0, 128)
	for one := make([]byte, 1); len(line) < cap(line); { // no byte beyond the line may be taken
		if _, err := io.ReadFull(c, one); err != nil {
			_ = c.Close()
			return
		}
		if one[0] == '\n' {
			break
		}
		line = append(line, one[0])
	}
	_ = c.SetReadDeadline(time.Time{})
	words := strings.Fields(string(line))
	if len(words) != 4 || words[0] != protocolVersion || words[2] != n.Self || n.queues[Kind(words[1])] == nil {
		_ = c.Close()
		return
	}
	q := n.queues[Kind(words[1])]
	select {
	case q.conns <- &peerConn{c, peerAddr(words[3])}:
	case <-q.closed:
		_ = c.Close()
	case <-time.After(n.limits.CallTimeout):
		_ = c.Close()
	}
}

// Dial begins a conversation.
func (n *Transport) Dial(ctx context.Context, kind Kind, to string) (net.Conn, error) {
	n.mu.Lock()
	address := n.addresses[to]
	n.mu.Unlock()
	if address == "" {
		return nil, fmt.Errorf("peer %q: no address is known", to)
	}
	c, err := (&net.Dialer{Timeout: n.limits.CallTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Now().Add(n.limits.CallTimeout))
	if _, err := fmt.Fprintf(c, "%s %s %s %s\n", protocolVersion, kind, to, n.Self); err != nil {
		_ = c.Close()
		return nil, err
	}
	_ = c.SetWriteDeadline(time.Time{})
	return &peerConn{c, peerAddr(to)}, nil
}

// Listener of one kind.
func (n *Transport) Listener(kind Kind) net.Listener { return n.queues[kind] }

// Call makes a call of our own to another agent, once.
func (n *Transport) Call(ctx context.Context, to, path string, body, into any) error {
	n.mu.Lock()
	c := n.clients[to]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			MaxConnsPerHost: 8, MaxIdleConnsPerHost: 4, DisableCompression: true, IdleConnTimeout: n.limits.IdleTimeout,
			DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return n.Dial(ctx, KindCall, to) },
		}}
		n.clients[to] = c
	}
	n.mu.Unlock()
	return jsonhttp.Call(ctx, c, http.MethodPost, path, body, into, 16*int64(n.limits.MessageSize))
}

// name is a peer's address where one is asked for.
type peerAddr string

func (peerAddr) Network() string  { return "peer" }
func (n peerAddr) String() string { return string(n) }

// conn is a conversation whose far end is known by name.
type peerConn struct {
	net.Conn
	remote peerAddr
}

func (c *peerConn) RemoteAddr() net.Addr { return c.remote }

// queue hands conversations of one kind on, as a listener.
type listenerQueue struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	addr   peerAddr
}

func (q *listenerQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

func (q *listenerQueue) Close() error   { q.once.Do(func() { close(q.closed) }); return nil }
func (q *listenerQueue) Addr() net.Addr { return q.addr }

// WriteFrame writes one message of less than 16 MiB to a stream.
func WriteFrame(w io.Writer, b []byte) error {
	head := []byte{byte(len(b) >> 16), byte(len(b) >> 8), byte(len(b))}
	_, err := w.Write(append(head, b...))
	return err
}

// ReadFrame reads one message of at most so many bytes; after an error the stream is of no more use.
func ReadFrame(r *bufio.Reader, most int) ([]byte, error) {
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
