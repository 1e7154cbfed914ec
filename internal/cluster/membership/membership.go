// Package membership tracks which agents are alive: the memberlist library judges each by its own probes and by those
// of other agents on its behalf, so that one bad link makes no agent dead. The package owns the traffic for this. Its
// judgements are no promises: no quota and no permit is granted because of one.
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

// State is the state of an agent, as this one judges it.
type State string

// The states.
const (
	Alive   State = "alive"
	Suspect State = "suspected" // not used by any release: the library (v0.7.0) does not report suspicion
	Dead    State = "gone"
	Unknown State = "unheard" // nothing was heard of the agent since this one started
)

const (
	probeInterval    = 500 * time.Millisecond
	probeTimeout     = 200 * time.Millisecond
	gossipInterval   = 100 * time.Millisecond
	pushPullInterval = 5 * time.Second // between exchanges of the whole list with one agent
	streamTimeout    = time.Second
	reclaimAfter     = time.Second // after which a dead agent may return at another address
	rejoinInterval   = time.Second // between two rounds of joining absent agents

	// indirectChecks is the number of other agents that probe an agent that does not respond.
	indirectChecks = 3
	// suspicionMult is the time before a suspect is dead, in probe intervals.
	suspicionMult = 4
)

// Member is one agent, as this one judges it.
type Member struct {
	Host        string          `json:"host"`
	State       State           `json:"state"`
	Incarnation uint64          `json:"incarnation,omitempty"` // of the agent's process; 0: nothing was heard of it
	For         monotime.Micros `json:"for_us"`                // time in this state
}

// Config is the configuration of a List.
type Config struct {
	Host        string   // of this agent
	Incarnation uint64   // of this agent's process
	Hosts       []string // of all agents, in the same order at each
	Transport   *transport.Transport
	Bounds      limits.Control
	Clock       func() monotime.Micros
	OnChange    func(Member) // called for each change of an agent's state; must not block; may be nil
}

// List is one agent's judgement of all agents. It is safe for concurrent use.
//
// Invariants:
//   - Each change of an agent's state or incarnation is reported once (TestChangesAreReportedOnce).
//   - It has exactly the agents that the configuration names (TestChangesAreReportedOnce).
//   - Once Run has returned, no goroutine of the traffic goes on (TestRunEndsAllGoroutines,
//     TestShutdownEndsAllGoroutines).
type List struct {
	config Config

	mu      sync.Mutex              // guards members
	members map[string]memberRecord // by host
}

// memberRecord is what a List stores of one agent.
type memberRecord struct {
	state       State
	incarnation uint64 // 0: nothing was heard of the agent
	changedAt   monotime.Micros
}

// New returns a list in which nothing was heard of any agent.
func New(config Config) *List {
	l := &List{config: config, members: map[string]memberRecord{}}
	for _, host := range config.Hosts {
		l.members[host] = memberRecord{state: Unknown, changedAt: config.Clock()}
	}
	return l
}

// Run takes part in the membership until ctx ends. It joins absent agents again and again, as after a partition nobody
// else would. It owns all goroutines of the traffic; they have ended when it returns.
func (l *List) Run(ctx context.Context) error {
	mesh := newMeshTransport(ctx, l.config)
	list, err := memberlist.Create(l.libraryConfig(mesh))
	if err != nil {
		_ = mesh.Shutdown() // never fails
		return fmt.Errorf("membership: %w", err)
	}
	defer func() { _ = list.Shutdown() }() // fails only if the transport's Shutdown does, which never fails
	ticker := time.NewTicker(rejoinInterval)
	defer ticker.Stop()
	for {
		l.joinAbsent(ctx, list, mesh.hosts)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// joinAbsent tries to join each absent agent once.
func (l *List) joinAbsent(ctx context.Context, list *memberlist.Memberlist, hosts hostList) {
	for _, host := range l.absent() {
		if ctx.Err() != nil {
			return
		}
		_, _ = list.Join([]string{host + "/" + hosts.address(host).String()}) // retried in the next round
	}
}

// libraryConfig returns the library's configuration.
func (l *List) libraryConfig(mesh *meshTransport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = l.config.Host
	c.Transport = mesh
	c.Delegate = metadataDelegate{incarnation: l.config.Incarnation}
	c.Events = eventDelegate{list: l}
	c.ProbeInterval = probeInterval
	c.ProbeTimeout = probeTimeout
	c.IndirectChecks = indirectChecks
	c.SuspicionMult = suspicionMult
	c.GossipInterval = gossipInterval
	c.PushPullInterval = pushPullInterval
	c.TCPTimeout = streamTimeout
	c.DisableTcpPings = true // they would go over the same streams as datagrams, and prove nothing more
	c.EnableCompression = false
	c.Logger = log.New(io.Discard, "", 0)
	c.DeadNodeReclaimTime = reclaimAfter
	return c
}

// absent returns the hosts of the other agents that are dead or of which nothing was heard.
func (l *List) absent() (hosts []string) {
	for _, m := range l.Members() {
		if m.Host != l.config.Host && (m.State == Dead || m.State == Unknown) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// update updates the state of one agent, and reports a change. Agents that the configuration does not name are ignored.
// The library calls it with the lock held that guards the node.
func (l *List) update(node *memberlist.Node, state State) {
	now := l.config.Clock()
	record := memberRecord{state: state, changedAt: now}
	if len(node.Meta) == incarnationBytes {
		record.incarnation = binary.BigEndian.Uint64(node.Meta)
	}
	if l.replace(node.Name, record) && l.config.OnChange != nil {
		l.config.OnChange(Member{Host: node.Name, State: state, Incarnation: record.incarnation, For: now})
	}
}

// replace stores the record of an agent, and reports whether the configuration names the agent and its state or
// incarnation has changed.
func (l *List) replace(host string, record memberRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	former, known := l.members[host]
	if !known || former.state == record.state && former.incarnation == record.incarnation {
		return false
	}
	l.members[host] = record
	return true
}

// Members returns all agents as this one judges them, in the order of Config.Hosts.
func (l *List) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Member, 0, len(l.config.Hosts))
	for _, host := range l.config.Hosts {
		record := l.members[host]
		all = append(all, Member{
			Host:        host,
			State:       record.state,
			Incarnation: record.incarnation,
			For:         l.config.Clock() - record.changedAt,
		})
	}
	return all
}
