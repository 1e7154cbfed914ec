// Package membership knows which agents are alive: the memberlist library judges each by its own probes and by those of
// other agents on its behalf, so that one bad link condemns nobody. The package owns the traffic that this takes. What it
// says is a judgement and no promise: no quota and no permit is granted because of it.
package membership

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// State of an agent, as this one judges it.
type State string

// The states. Unknown is an agent that was not heard of since this one started. Suspect is a word of the format that no
// release has used: the library (v0.7.0) reports no suspicion, its Node.State is never set.
const (
	Alive   State = "alive"
	Suspect State = "suspected"
	Dead    State = "gone"
	Unknown State = "unheard"
)

// Times of the membership.
const (
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 200 * time.Millisecond
	gossipInterval   = 100 * time.Millisecond
	pushPullInterval = 5 * time.Second
	streamTimeout    = time.Second
	reclaimAfter     = time.Second // an agent that was dead for so long may come back at another address
	rejoinInterval   = time.Second // between two rounds of joining agents that are not in the list

	indirectChecks = 3 // other agents that probe one that does not answer
	suspicionMult  = 4 // of probeInterval, before a suspect is dead
)

// Member is one agent, as this one judges it.
type Member struct {
	Host        string          `json:"host"`
	State       State           `json:"state"`
	Incarnation uint64          `json:"incarnation,omitempty"` // differs for each start of that agent
	For         monotime.Micros `json:"for_us"`                // microseconds in this state
}

// Config is what a List is made of.
type Config struct {
	Host        string   // this agent's
	Incarnation uint64   // of this start of it
	Hosts       []string // all, in an order that every agent has
	Transport   *transport.Transport
	Bounds      limits.Control
	Clock       func() monotime.Micros
	OnChange    func(Member) // called for each change of a host's state; must not block
}

// List is one agent's judgement of all. It is safe for concurrent use.
type List struct {
	config Config

	mu      sync.Mutex
	members map[string]Member // For is the time of the latest change
}

// New returns a list in which no agent was heard of yet.
func New(config Config) *List {
	l := &List{config: config, members: map[string]Member{}}
	for _, host := range config.Hosts {
		l.members[host] = Member{Host: host, State: Unknown, For: config.Clock()}
	}
	return l
}

// Run takes part in the membership until ctx ends, and joins the agents that are not in the list again and again: after a
// partition nobody else would. It owns all goroutines of the traffic; they have ended when it returns.
func (l *List) Run(ctx context.Context) error {
	mesh := newMeshTransport(ctx, l.config)
	list, err := memberlist.Create(l.libraryConfig(mesh))
	if err != nil {
		_ = mesh.Shutdown() // never fails
		return fmt.Errorf("members: %w", err)
	}
	defer func() { _ = list.Shutdown() }() // fails where the transport's does, which never does
	ticker := time.NewTicker(rejoinInterval)
	defer ticker.Stop()
	for {
		for _, host := range l.absent() {
			if ctx.Err() != nil {
				break
			}
			_, _ = list.Join([]string{host + "/" + mesh.hosts.address(host).String()}) // tried again with the next tick
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (l *List) libraryConfig(mesh *meshTransport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport = l.config.Host, mesh
	c.Delegate, c.Events = metadata{l.config.Incarnation}, changes{l}
	c.ProbeInterval, c.ProbeTimeout, c.IndirectChecks, c.SuspicionMult = probeInterval, probeTimeout, indirectChecks, suspicionMult
	c.GossipInterval, c.PushPullInterval, c.TCPTimeout = gossipInterval, pushPullInterval, streamTimeout
	c.DisableTcpPings = true // datagrams go over streams here, so that a ping of that kind would prove nothing more
	c.EnableCompression, c.Logger = false, log.New(io.Discard, "", 0)
	c.DeadNodeReclaimTime = reclaimAfter
	return c
}

// absent lists the other agents that are to be joined: those that are dead or were never heard of.
func (l *List) absent() (hosts []string) {
	for _, m := range l.Members() {
		if m.Host != l.config.Host && (m.State == Dead || m.State == Unknown) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// update takes over the state of one agent, and reports it if it has changed. Agents that the configuration does not name
// are ignored. The library calls it with its lock held, which guards the node: its own list of nodes may change while it is
// read.
func (l *List) update(node *memberlist.Node, state State) {
	m := Member{Host: node.Name, State: state, For: l.config.Clock()}
	if len(node.Meta) == incarnationBytes {
		m.Incarnation = binary.BigEndian.Uint64(node.Meta)
	}
	if l.replace(m) && l.config.OnChange != nil {
		l.config.OnChange(m)
	}
}

// replace stores a member and reports whether it is a known host whose state or incarnation has changed.
func (l *List) replace(m Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.members[m.Host]
	if !known || before.State == m.State && before.Incarnation == m.Incarnation {
		return false
	}
	l.members[m.Host] = m
	return true
}

// Members lists how all agents are judged, in the order of Config.Hosts; For is the time until now.
func (l *List) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Member, 0, len(l.config.Hosts))
	for _, host := range l.config.Hosts {
		m := l.members[host]
		m.For = l.config.Clock() - m.For
		all = append(all, m)
	}
	return all
}
