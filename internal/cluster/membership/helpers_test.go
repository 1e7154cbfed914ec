package membership

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// waitTimeout is how long a test waits for an expected event.
const waitTimeout = 10 * time.Second

// waitUntil polls a condition and fails the test if it is not met in time. It returns how long that took.
func waitUntil(t *testing.T, within time.Duration, condition string, met func() bool) time.Duration {
	t.Helper()
	const pollInterval = time.Millisecond
	for start := time.Now(); ; time.Sleep(pollInterval) {
		if met() {
			return time.Since(start)
		}
		if time.Since(start) > within {
			t.Fatalf("not within %v: %s", within, condition)
		}
	}
}

// fakeClockList is the List of agent h1 in a cluster of h1 to h4, with a clock that the test sets. It is not run.
type fakeClockList struct {
	*List
	now      monotime.Micros // time of the list's clock
	reported []Member        // arguments of Config.OnChange
}

func newFakeClockList() *fakeClockList {
	l := &fakeClockList{}
	l.List = New(Config{
		Host:     "h1",
		Hosts:    []string{"h1", "h2", "h3", "h4"},
		Clock:    func() monotime.Micros { return l.now },
		OnChange: func(m Member) { l.reported = append(l.reported, m) },
	})
	return l
}

// newLibraryNode returns an agent as the memberlist library reports it.
func newLibraryNode(host string, incarnation uint64) *memberlist.Node {
	return &memberlist.Node{Name: host, Meta: binary.BigEndian.AppendUint64(nil, incarnation)}
}

// listenOn listens at an address on loopback until the end of the test.
func listenOn(t *testing.T, address string) *net.TCPListener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		t.Fatalf("listener is a %T", listener)
	}
	return tcpListener
}

// listenAsPeer listens at the address of a peer that runs no agent.
func listenAsPeer(t *testing.T) *net.TCPListener {
	t.Helper()
	return listenOn(t, "127.0.0.1:0")
}

// accept accepts one connection, or fails the test.
func accept(t *testing.T, listener *net.TCPListener) net.Conn {
	t.Helper()
	_ = listener.SetDeadline(time.Now().Add(waitTimeout))
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	return conn
}

// newMeshTransportOfH1 returns the transport of h1, whose peer h2 has the given address. It is shut down at the end of
// the test.
func newMeshTransportOfH1(t *testing.T, peer string, bounds limits.Control) *meshTransport {
	t.Helper()
	agentTransport, err := transport.Listen("h1", "127.0.0.1:0", map[string]string{"h2": peer}, bounds)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agentTransport.Close)
	mesh := newMeshTransport(context.Background(), Config{
		Host:      "h1",
		Hosts:     []string{"h1", "h2"},
		Transport: agentTransport,
		Bounds:    bounds,
	})
	t.Cleanup(func() { _ = mesh.Shutdown() })
	return mesh
}

// cluster is a cluster of agents in this process. A test can interrupt the links between them.
type cluster struct {
	*proxy.Mesh
	t         *testing.T
	addresses []string          // by index of the agent
	lists     map[string]*List  // of running agents, by name
	stops     map[string]func() // of running agents, by name

	mu     sync.Mutex // guards deaths
	deaths int        // number of reports that an agent is dead
}

// newCluster returns a cluster of agents h1, h2 and so on, none of which is started.
func newCluster(t *testing.T, size int) *cluster {
	t.Helper()
	c := &cluster{t: t, lists: map[string]*List{}, stops: map[string]func(){}}
	names := make([]string, 0, size)
	listeners := make([]net.Listener, 0, size)
	for i := 1; i <= size; i++ {
		listener := listenOn(t, fmt.Sprintf("127.0.28.%d:0", i))
		listeners = append(listeners, listener)
		names = append(names, fmt.Sprint("h", i))
		c.addresses = append(c.addresses, listener.Addr().String())
	}
	mesh, err := proxy.NewMesh(names, c.addresses)
	if err != nil {
		t.Fatal(err)
	}
	c.Mesh = mesh
	t.Cleanup(c.Close)
	for _, listener := range listeners {
		_ = listener.Close() // frees the address for the agent
	}
	return c
}

// start starts one agent, until stop or stopAll is called.
func (c *cluster) start(i int, incarnation uint64) {
	c.t.Helper()
	name := c.Names[i]
	agentTransport, err := transport.Listen(name, c.addresses[i], c.Addresses(name), limits.ForControl())
	if err != nil {
		c.t.Fatal(err)
	}
	list := New(Config{
		Host:        name,
		Incarnation: incarnation,
		Hosts:       c.Names,
		Transport:   agentTransport,
		Bounds:      limits.ForControl(),
		Clock:       process.Now,
		OnChange:    c.countDeath,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = agentTransport.Run(ctx) })
	tasks.Go(func() {
		if err := list.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", name, err)
		}
	})
	c.lists[name] = list
	c.stops[name] = func() {
		cancel()
		tasks.Wait()
	}
}

// startAll starts all agents, with incarnations from 1.
func (c *cluster) startAll() {
	c.t.Helper()
	for i := range c.Names {
		c.start(i, uint64(i+1))
	}
}

// stop stops one agent.
func (c *cluster) stop(name string) {
	c.stops[name]()
	delete(c.stops, name)
	delete(c.lists, name)
}

// stopAll stops all agents.
func (c *cluster) stopAll() {
	for _, stop := range c.stops {
		stop()
	}
}

func (c *cluster) countDeath(m Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.State == Dead {
		c.deaths++
	}
}

// deathCount returns how often an agent reported another as dead.
func (c *cluster) deathCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deaths
}

// waitUntilOthersSee waits until a condition holds for the state of one agent as observed by each of the others, and
// returns how long that took.
func (c *cluster) waitUntilOthersSee(name string, within time.Duration, condition string, holds func(Member) bool,
) time.Duration {
	c.t.Helper()
	return waitUntil(c.t, within, fmt.Sprintf("all others observe %s as %s", name, condition), func() bool {
		count := 0
		for by, list := range c.lists {
			for _, member := range list.Members() {
				if by != name && member.Host == name && holds(member) {
					count++
				}
			}
		}
		return count == len(c.Names)-1
	})
}

// waitForState waits until all other agents observe one agent in a state, and returns how long that took.
func (c *cluster) waitForState(name string, state State, within time.Duration) time.Duration {
	c.t.Helper()
	return c.waitUntilOthersSee(name, within, string(state), func(m Member) bool { return m.State == state })
}
