package quotastore

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
)

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
