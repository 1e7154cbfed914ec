// Package membership detects which agents are alive. The memberlist library probes each agent directly and through
// other agents, so that one faulty link does not mark an agent as dead. The package owns the traffic for this.
//
// The states are not authoritative: no quota and no permit is granted because of them.
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

// State is the state of an agent as observed by the local agent.
type State string

// The states of an agent.
const (
	Alive   State = "alive"
	Suspect State = "suspected" // not used by any release: the library (v0.7.0) does not report suspicion
	Dead    State = "gone"
	Unknown State = "unheard" // no information about the agent since the local agent started
)

const (
	probeInterval       = 500 * time.Millisecond
	probeTimeout        = 200 * time.Millisecond
	gossipInterval      = 100 * time.Millisecond
	pushPullInterval    = 5 * time.Second // between full state exchanges with one agent
	streamTimeout       = time.Second
	deadNodeReclaimTime = time.Second // after which a dead agent may rejoin at another address
	rejoinInterval      = time.Second // between two attempts to join absent agents

	// indirectChecks is the number of other agents that probe an unresponsive agent.
	indirectChecks = 3
	// suspicionMult scales the time until a suspected agent is marked as dead, in probe intervals.
	suspicionMult = 4
)

// Member is the state of one agent as observed by the local agent.
type Member struct {
	Host        string          `json:"host"`
	State       State           `json:"state"`
	Incarnation uint64          `json:"incarnation,omitempty"` // of the agent's process; 0: unknown
	For         monotime.Micros `json:"for_us"`                // time in this state
}

// Config is the configuration of a List.
type Config struct {
	Host        string   // of the local agent
	Incarnation uint64   // of the local agent's process
	Hosts       []string // of all agents; all agents must use the same order
	Transport   *transport.Transport
	Bounds      limits.Control
	Clock       func() monotime.Micros
	OnChange    func(Member) // called for each change of an agent's state; must not block; may be nil
}

// List is the local agent's view of all agents. It is safe for concurrent use.
//
// Invariants:
//   - Each change of an agent's state or incarnation is reported once (TestChangesAreReportedOnce).
//   - It contains exactly the configured agents (TestChangesAreReportedOnce).
//   - Once Run has returned, no goroutine that it started is running (TestRunEndsAllGoroutines,
//     TestShutdownEndsAllGoroutines).
type List struct {
	config Config

	mu      sync.Mutex              // guards members
	members map[string]memberRecord // by host
}

// memberRecord is the stored state of one agent.
type memberRecord struct {
	state       State
	incarnation uint64 // 0: unknown
	changedAt   monotime.Micros
}

// New returns a list in which the state of each agent is Unknown.
func New(config Config) *List {
	l := &List{config: config, members: map[string]memberRecord{}}
	for _, host := range config.Hosts {
		l.members[host] = memberRecord{state: Unknown, changedAt: config.Clock()}
	}
	return l
}

// Run participates in the membership protocol until ctx ends. It retries joining absent agents, because nothing else
// would reconnect them after a partition. All goroutines that it started have ended when it returns.
func (l *List) Run(ctx context.Context) error {
	mesh := newMeshTransport(ctx, l.config)
	list, err := memberlist.Create(l.libraryConfig(mesh))
	if err != nil {
		_ = mesh.Shutdown() // never fails
		return fmt.Errorf("membership: %w", err)
	}
	defer func() { _ = list.Shutdown() }() // fails only if the transport's Shutdown fails, which it never does
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
		_, _ = list.Join([]string{host + "/" + hosts.address(host).String()}) // retried after rejoinInterval
	}
}

// libraryConfig returns the configuration of the memberlist library.
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
	c.DisableTcpPings = true // datagrams go over TCP too, so that these pings would add no information
	c.EnableCompression = false
	c.Logger = log.New(io.Discard, "", 0)
	c.DeadNodeReclaimTime = deadNodeReclaimTime
	return c
}

// absent returns the hosts of the other agents that are dead or unknown.
func (l *List) absent() (hosts []string) {
	for _, m := range l.Members() {
		if m.Host != l.config.Host && (m.State == Dead || m.State == Unknown) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// update sets the state of one agent and reports a change to OnChange. Agents that are not configured are ignored. The
// library calls it with the lock held that guards the node.
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

// replace stores the record of a configured agent and reports whether its state or incarnation has changed. For any
// other agent it returns false.
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

// Members returns the states of all agents as observed by the local agent, in the order of Config.Hosts.
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
