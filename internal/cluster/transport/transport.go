// Package transport carries the traffic between agents: one listening address for each agent, and several protocols over
// it, which the first line of a connection tells apart. It knows nothing of what is transported.
//
// That first line, the greeting, names the protocol version, the kind of the connection, the agent that it is for and the
// agent that dials. It names the peers; it does not authenticate them, and addresses are expected to be on loopback.
package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"milletbarrow/internal/limits"
)

// Kind is the protocol that a connection is for.
type Kind string

// The kinds: the consensus library's RPCs, the membership library's datagrams and streams, and HTTP calls between agents.
const (
	KindRaft   Kind = "raft"
	KindPacket Kind = "packet"
	KindStream Kind = "stream"
	KindCall   Kind = "call"
)

// connectionsPerClient is how many connections a listener holds open at once for each client that the limits allow.
const connectionsPerClient = 4

// Transport is one agent's side. It is safe for concurrent use.
type Transport struct {
	Self   string // the agent's name
	limits limits.Control

	listener net.Listener
	queues   map[Kind]*listenerQueue

	mu        sync.Mutex
	addresses map[string]string // by name: the address at which this agent reaches it
	clients   map[string]*http.Client
}

// Listen opens this agent's address. addresses are those of the other agents, by name. Connections wait until Run accepts
// them. The caller has to end it by Run or Close.
func Listen(self, address string, addresses map[string]string, bounds limits.Control) (*Transport, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	t := &Transport{
		Self: self, limits: bounds, listener: limits.LimitListener(l, connectionsPerClient*bounds.Connections),
		queues: map[Kind]*listenerQueue{}, addresses: addresses, clients: map[string]*http.Client{},
	}
	for _, kind := range []Kind{KindRaft, KindPacket, KindStream, KindCall} {
		t.queues[kind] = newListenerQueue(peerAddr(self))
	}
	return t, nil
}

// SetAddresses replaces the addresses of the other agents; open connections go on.
func (t *Transport) SetAddresses(addresses map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses = addresses
	t.clients = map[string]*http.Client{}
}

// Address is where this agent listens.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Listener returns the connections of one kind as they come in. It is closed when Run ends; a caller that closes it before
// has further connections of its kind closed.
func (t *Transport) Listener(kind Kind) net.Listener { return t.queues[kind] }

// Run accepts connections until ctx ends. When it returns, the address is free and connections that no one has accepted
// from a Listener are closed; those that were accepted belong to who accepted them.
func (t *Transport) Run(ctx context.Context) error {
	var greetings sync.WaitGroup
	defer t.Close()
	defer greetings.Wait()
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = t.listener.Close()
	})
	defer func() {
		if !stop() {
			<-closed // Accept fails a moment before the address is free
		}
	}()
	for {
		c, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, most likely
			wait(ctx, t.limits.RetryBackoff)
			continue
		}
		greetings.Go(func() { t.handOver(ctx, c) })
	}
}

// Close releases what Listen opened. Run does so as it ends; Close is for a Transport that is not run.
func (t *Transport) Close() {
	_ = t.listener.Close()
	for _, q := range t.queues {
		_ = q.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, client := range t.clients {
		client.CloseIdleConnections()
	}
}

// handOver reads a connection's greeting and passes the connection to the listener of its kind. One whose greeting is not
// for this agent, or that nobody accepts in time, is closed.
func (t *Transport) handOver(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	accepted := false
	defer func() {
		if !stop() || !accepted {
			_ = c.Close()
		}
	}()
	greeting, err := readGreeting(c, time.Now().Add(t.limits.CallTimeout))
	if err != nil || greeting.to != t.Self || t.queues[greeting.kind] == nil {
		return
	}
	accepted = t.queues[greeting.kind].offer(ctx, &peerConn{c, peerAddr(greeting.from)}, t.limits.CallTimeout)
}

// wait sleeps for a duration, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
