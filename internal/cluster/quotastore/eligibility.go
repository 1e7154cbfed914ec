package quotastore

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/transport"
)

// streamLayer has the consensus library speak over the streams between agents. Addresses are names of hosts.
type streamLayer struct {
	net.Listener
	net *transport.Transport
}

func (l streamLayer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return l.net.Dial(ctx, transport.KindRaft, string(to))
}

// eligibilityTransport holds a member whose log is not as far as it has to be from standing for election, and from voting for others
// whose log is not either; see package quorum.
type eligibilityTransport struct {
	*raft.NetworkTransport
	eligibility quorum.Eligibility
	eligible    atomic.Bool
	calls       chan raft.RPC
	done        chan struct{} // closed by Close
	closing     sync.Once
	lastLog     func() (term, index uint64)
}

var errIneligible = errors.New("this member's log is not as far as it has to be to take part")

func newEligibilityTransport(t *raft.NetworkTransport, fit quorum.Eligibility, log func() (term, index uint64)) *eligibilityTransport {
	c := &eligibilityTransport{NetworkTransport: t, eligibility: fit, calls: make(chan raft.RPC), done: make(chan struct{}), lastLog: log}
	c.eligible.Store(!fit.Behind)
	go c.filter()
	return c
}

// filter hands on the calls that this member may handle. It ends with Close.
func (c *eligibilityTransport) filter() {
	for {
		select {
		case call := <-c.NetworkTransport.Consumer():
			if !c.satisfied() && !c.mayHandle(call.Command) {
				call.Respond(nil, errIneligible)
				continue
			}
			select {
			case c.calls <- call:
			case <-c.done:
				call.Respond(nil, raft.ErrTransportShutdown)
				return
			}
		case <-c.done:
			return
		}
	}
}

// Close ends the transport; the consensus library calls it as it shuts down.
func (c *eligibilityTransport) Close() error {
	c.closing.Do(func() { close(c.done) })
	return c.NetworkTransport.Close()
}

// satisfied tells whether the log is far enough by now.
func (c *eligibilityTransport) satisfied() bool {
	if c.eligible.Load() {
		return true
	}
	if c.eligibility.Satisfied(c.lastLog()) {
		c.eligible.Store(true)
		return true
	}
	return false
}

func (c *eligibilityTransport) mayHandle(command any) bool {
	switch q := command.(type) {
	case *raft.RequestVoteRequest:
		return c.eligibility.Satisfied(q.LastLogTerm, q.LastLogIndex)
	case *raft.RequestPreVoteRequest:
		return c.eligibility.Satisfied(q.LastLogTerm, q.LastLogIndex)
	case *raft.TimeoutNowRequest:
		return false
	}
	return true
}

func (c *eligibilityTransport) Consumer() <-chan raft.RPC { return c.calls }

func (c *eligibilityTransport) RequestVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestVoteRequest, a *raft.RequestVoteResponse) error {
	if !c.satisfied() {
		return errIneligible
	}
	return c.NetworkTransport.RequestVote(id, to, q, a)
}

func (c *eligibilityTransport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestPreVoteRequest, a *raft.RequestPreVoteResponse) error {
	if !c.satisfied() {
		return errIneligible
	}
	return c.NetworkTransport.RequestPreVote(id, to, q, a)
}

// stateMachine is the state as the library drives it.
type stateMachine struct{ store *Store }

func (m stateMachine) Apply(l *raft.Log) any { return m.store.apply(l.Data) }

func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := m.store.snapshot()
	return encodedState(raw), err
}

func (m stateMachine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }()
	return m.store.restore(from)
}

// encodedState is a snapshot.
type encodedState []byte

func (s encodedState) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (encodedState) Release() {}
