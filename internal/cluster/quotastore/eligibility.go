package quotastore

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
)

// eligibilityTransport keeps a member whose log may lack entries from standing for election, and from voting for others
// whose log lacks them too; see package quorum. It is safe for concurrent use.
type eligibilityTransport struct {
	*raft.NetworkTransport
	eligibility quorum.Eligibility
	eligible    atomic.Bool                 // set for good once the log reaches eligibility.RequiredLog
	calls       chan raft.RPC               // calls that the library may handle
	done        chan struct{}               // closed by Close
	closing     sync.Once                   // closes done
	heartbeats  sync.RWMutex                // held for reading while a heartbeat is handled
	lastLog     func() (term, index uint64) // of this member; called by several goroutines
}

var errIneligible = errors.New("this member's log may lack entries: no part in elections until it has caught up")

var (
	_ raft.Transport   = (*eligibilityTransport)(nil)
	_ raft.WithPreVote = (*eligibilityTransport)(nil)
)

func newEligibilityTransport(
	inner *raft.NetworkTransport, eligibility quorum.Eligibility, lastLog func() (term, index uint64),
) *eligibilityTransport {
	t := &eligibilityTransport{
		NetworkTransport: inner,
		eligibility:      eligibility,
		calls:            make(chan raft.RPC),
		done:             make(chan struct{}),
		lastLog:          lastLog,
	}
	t.eligible.Store(!eligibility.Behind)
	go t.filter()
	return t
}

// filter passes on the calls that this member may handle. It ends with Close.
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

// SetHeartbeatHandler implements raft.Transport. The library handles heartbeats in the goroutines of connections, and
// may write a term there; Close waits for them.
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

// Close closes the transport; the library calls it as it shuts down. No heartbeat is handled after it returns, so that
// the log can be closed: the library panics if a term can't be written.
func (t *eligibilityTransport) Close() error {
	t.closing.Do(func() { close(t.done) })
	t.heartbeats.Lock() // waits for heartbeats that are being handled
	defer t.heartbeats.Unlock()
	return t.NetworkTransport.Close()
}

// satisfied reports whether this member's log reaches RequiredLog by now.
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
	switch request := command.(type) {
	case *raft.RequestVoteRequest:
		return t.eligibility.Satisfied(request.LastLogTerm, request.LastLogIndex)
	case *raft.RequestPreVoteRequest:
		return t.eligibility.Satisfied(request.LastLogTerm, request.LastLogIndex)
	case *raft.TimeoutNowRequest:
		return false
	}
	return true
}

// Consumer implements raft.Transport.
func (t *eligibilityTransport) Consumer() <-chan raft.RPC { return t.calls }

// RequestVote implements raft.Transport.
func (t *eligibilityTransport) RequestVote(
	id raft.ServerID, address raft.ServerAddress, request *raft.RequestVoteRequest, response *raft.RequestVoteResponse,
) error {
	if !t.satisfied() {
		return errIneligible
	}
	return t.NetworkTransport.RequestVote(id, address, request, response)
}

// RequestPreVote implements raft.WithPreVote.
func (t *eligibilityTransport) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	if !t.satisfied() {
		return errIneligible
	}
	return t.NetworkTransport.RequestPreVote(id, address, request, response)
}
