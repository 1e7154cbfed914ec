package quotastore

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
)

// eligibilityTransport holds a member whose log is behind what it may have had from standing for election, and from voting
// for others whose log is behind too; see package quorum.
type eligibilityTransport struct {
	*raft.NetworkTransport
	eligibility quorum.Eligibility
	eligible    atomic.Bool   // once its log is far enough it stays so
	calls       chan raft.RPC // that the library may handle
	done        chan struct{} // closed by Close
	closing     sync.Once
	heartbeats  sync.RWMutex                // held for reading while one is handled
	lastLog     func() (term, index uint64) // of this member; called by several goroutines
}

var errIneligible = errors.New("this member's log is not as far as it has to be to take part")

var (
	_ raft.Transport   = (*eligibilityTransport)(nil)
	_ raft.WithPreVote = (*eligibilityTransport)(nil)
)

func newEligibilityTransport(inner *raft.NetworkTransport, eligibility quorum.Eligibility, lastLog func() (term, index uint64)) *eligibilityTransport {
	t := &eligibilityTransport{
		NetworkTransport: inner, eligibility: eligibility, lastLog: lastLog,
		calls: make(chan raft.RPC), done: make(chan struct{}),
	}
	t.eligible.Store(!eligibility.Behind)
	go t.filter() // ends with Close
	return t
}

// filter hands on the calls that this member may handle. It ends with Close.
func (t *eligibilityTransport) filter() {
	for {
		select {
		case call := <-t.NetworkTransport.Consumer():
			if !t.satisfied() && !t.mayHandle(call.Command) {
				call.Respond(nil, errIneligible)
				continue
			}
			select {
			case t.calls <- call:
			case <-t.done:
				call.Respond(nil, raft.ErrTransportShutdown)
				return
			}
		case <-t.done:
			return
		}
	}
}

// SetHeartbeatHandler implements raft.Transport. The library handles heartbeats in the goroutines of connections, which may
// write a term; Close waits for those.
func (t *eligibilityTransport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(call raft.RPC) {
		t.heartbeats.RLock()
		defer t.heartbeats.RUnlock()
		select {
		case <-t.done:
			call.Respond(nil, raft.ErrTransportShutdown)
		default:
			handle(call)
		}
	})
}

// Close ends the transport; the consensus library calls it as it shuts down. When it returns no heartbeat is handled any
// more, so that the log can be closed: the library panics where a term can't be written.
func (t *eligibilityTransport) Close() error {
	t.closing.Do(func() { close(t.done) })
	t.heartbeats.Lock() // waits for those that are being handled
	defer t.heartbeats.Unlock()
	return t.NetworkTransport.Close()
}

// satisfied reports whether the log is far enough by now.
func (t *eligibilityTransport) satisfied() bool {
	if t.eligible.Load() {
		return true
	}
	if t.eligibility.Satisfied(t.lastLog()) {
		t.eligible.Store(true)
		return true
	}
	return false
}

// mayHandle reports whether a member that is not eligible yet may handle a call.
func (t *eligibilityTransport) mayHandle(command any) bool {
	switch q := command.(type) {
	case *raft.RequestVoteRequest:
		return t.eligibility.Satisfied(q.LastLogTerm, q.LastLogIndex)
	case *raft.RequestPreVoteRequest:
		return t.eligibility.Satisfied(q.LastLogTerm, q.LastLogIndex)
	case *raft.TimeoutNowRequest:
		return false
	}
	return true
}

// Consumer implements raft.Transport.
func (t *eligibilityTransport) Consumer() <-chan raft.RPC { return t.calls }

// RequestVote implements raft.Transport.
func (t *eligibilityTransport) RequestVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestVoteRequest, a *raft.RequestVoteResponse) error {
	if !t.satisfied() {
		return errIneligible
	}
	return t.NetworkTransport.RequestVote(id, to, q, a)
}

// RequestPreVote implements raft.WithPreVote.
func (t *eligibilityTransport) RequestPreVote(id raft.ServerID, to raft.ServerAddress, q *raft.RequestPreVoteRequest, a *raft.RequestPreVoteResponse) error {
	if !t.satisfied() {
		return errIneligible
	}
	return t.NetworkTransport.RequestPreVote(id, to, q, a)
}
