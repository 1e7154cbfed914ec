package quotastore

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/transport"
)

// layer has the consensus library speak over the agents' own conversations. Addresses are names of hosts.
type layer struct {
	net.Listener
	net *transport.Net
}

func (l layer) Dial(to raft.ServerAddress, within time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return l.net.Dial(ctx, transport.Raft, string(to))
}

// careful holds a member whose log is not as far as it has to be from standing for election, and from voting for others
// whose log is not either; see package quorum.
type careful struct {
	*raft.NetworkTransport
	fit   quorum.Fit
	fits  atomic.Bool
	calls chan raft.RPC
	log   func() (term, index uint64)
}

var errUnfit = errors.New("this member's log is not as far as it has to be to take part")

func newCareful(t *raft.NetworkTransport, fit quorum.Fit, log func() (term, index uint64)) *careful {
	c := &careful{NetworkTransport: t, fit: fit, calls: make(chan raft.RPC), log: log}
	c.fits.Store(!fit.Behind)
	go func() {
		for call := range t.Consumer() {
			if !c.reached() && !c.mayHear(call.Command) {
				call.Respond(nil, errUnfit)
				continue
			}
			c.calls <- call
		}
	}()
	return c
}

// reached tells whether the log is far enough by now.
func (c *careful) reached() bool {
	if c.fits.Load() {
		return true
	}
	if c.fit.Reached(c.log()) {
		c.fits.Store(true)
		return true
	}
	return false
}

func (c *careful) mayHear(command any) bool {
	switch q := command.(type) {
	case *raft.RequestVoteRequest:
		return c.fit.Reached(q.LastLogTerm, q.LastLogIndex)
	case *raft.RequestPreVoteRequest:
		return c.fit.Reached(q.LastLogTerm, q.LastLogIndex)
	case *raft.TimeoutNowRequest:
		return false
	}
	return true
}

func (c *careful) Consumer() <-chan raft.RPC { return c.calls }

func (c *careful) RequestVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestVoteRequest, a *raft.RequestVoteResponse) error {
	if !c.reached() {
		return errUnfit
	}
	return c.NetworkTransport.RequestVote(id, to, q, a)
}

func (c *careful) RequestPreVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestPreVoteRequest, a *raft.RequestPreVoteResponse) error {
	if !c.reached() {
		return errUnfit
	}
	return c.NetworkTransport.RequestPreVote(id, to, q, a)
}

// machine is the ledger as the library drives it.
type machine struct{ n *Node }

func (m machine) Apply(l *raft.Log) any { return m.n.apply(l.Data) }

func (m machine) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := m.n.dump()
	return saved(raw), err
}

func (m machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	return m.n.load(from)
}

// saved is a ledger written out.
type saved []byte

func (s saved) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		return errors.Join(err, to.Cancel())
	}
	return to.Close()
}

func (saved) Release() {}
