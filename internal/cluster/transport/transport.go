// Package transport carries the traffic between agents. Each agent listens at one address, over which several protocols
// are multiplexed. The package is independent of their content.
//
// The first line of a connection, the greeting, contains the protocol version, the kind of the connection, the name of
// the agent that is dialed and that of the agent that dials. Names are not authenticated; addresses are expected to be
// on loopback.
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

// Kind is the protocol of a connection.
type Kind string

// The protocols that share an agent's address.
const (
	KindRaft   Kind = "raft"   // RPCs of the Raft library
	KindPacket Kind = "packet" // datagrams of the membership library
	KindStream Kind = "stream" // streams of the membership library
	KindCall   Kind = "call"   // HTTP calls between agents
)

// connectionsPerClient is the number of open connections that a listener allows for each client within the limits.
const connectionsPerClient = 4

// Transport is one agent's endpoint: its listener and its connections to other agents. It is safe for concurrent use.
type Transport struct {
	Self     string // the agent's name
	limits   limits.Control
	listener net.Listener
	queues   map[Kind]*listenerQueue

	mu        sync.Mutex              // guards addresses and clients
	addresses map[string]string       // dial addresses by name of the agent
	clients   map[string]*http.Client // by name of the agent
}

// Listen listens at this agent's address. addresses maps the names of the other agents to their dial addresses.
// Connections are accepted once Run is called. The caller has to call Run or Close to release the address.
func Listen(self, address string, addresses map[string]string, bounds limits.Control) (*Transport, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address) // binding an address does not block
	if err != nil {
		return nil, err
	}
	t := &Transport{
		Self:      self,
		limits:    bounds,
		listener:  limits.LimitListener(listener, connectionsPerClient*bounds.Connections),
		queues:    map[Kind]*listenerQueue{},
		addresses: addresses,
		clients:   map[string]*http.Client{},
	}
	for _, kind := range []Kind{KindRaft, KindPacket, KindStream, KindCall} {
		t.queues[kind] = newListenerQueue(peerAddr(self))
	}
	return t, nil
}

// SetAddresses replaces the addresses of the other agents. Open connections stay open.
func (t *Transport) SetAddresses(addresses map[string]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses = addresses
	t.clients = map[string]*http.Client{}
}

// Address returns the address at which this agent listens.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Listener returns the listener for connections of one kind. It is closed when Run returns. If the caller closes it
// earlier, pending and later connections of its kind are closed.
func (t *Transport) Listener(kind Kind) net.Listener { return t.queues[kind] }

// Run accepts connections until ctx ends. When it returns, the address is free and the connections that were not
// accepted from a Listener are closed. Accepted connections belong to the caller of Accept.
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
			<-closed // Accept may return before the address is free
		}
	}()
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // most likely out of file descriptors
			sleep(ctx, t.limits.RetryBackoff)
			continue
		}
		greetings.Go(func() { t.dispatch(ctx, conn) })
	}
}

// Close releases the resources that Listen acquired. Run does so before it returns; Close is for a Transport that is
// not run.
func (t *Transport) Close() {
	_ = t.listener.Close()
	for _, queue := range t.queues {
		_ = queue.Close()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, client := range t.clients {
		client.CloseIdleConnections()
	}
}

// dispatch reads a connection's greeting and queues the connection for the listener of its kind. It closes the
// connection if the greeting is invalid or not for this agent, or if the queue stays full.
func (t *Transport) dispatch(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	accepted := false
	defer func() {
		if !stop() || !accepted {
			_ = conn.Close()
		}
	}()
	greeting, err := readGreeting(conn, time.Now().Add(t.limits.CallTimeout))
	if err != nil || greeting.to != t.Self {
		return
	}
	queue := t.queues[greeting.kind]
	if queue == nil {
		return
	}
	accepted = queue.offer(ctx, &peerConn{Conn: conn, remote: peerAddr(greeting.from)}, t.limits.CallTimeout)
}

// sleep sleeps for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
