package quotastore

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quorum"
)

// eligibilityTransport prevents a member whose log may lack entries from standing for election, and from voting for
// candidates whose logs lack them too; see package quorum. It is safe for concurrent use.
type eligibilityTransport struct {
	*raft.NetworkTransport
	eligibility quorum.Eligibility
	eligible    atomic.Bool                 // set permanently once the log reaches eligibility.RequiredLog
	calls       chan raft.RPC               // RPCs passed to the library
	done        chan struct{}               // closed by Close
	closeOnce   sync.Once                   // closes done
	heartbeatMu sync.RWMutex                // read-locked while a heartbeat is handled
	lastLog     func() (term, index uint64) // of this member's log; safe for concurrent use
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

// filter passes the RPCs that this member may handle to the library. It returns after Close.
func (t *eligibilityTransport) filter() {
	for {
		select {
		case call := <-t.NetworkTransport.Consumer():
			if !t.caughtUp() && !t.allowedWhileBehind(call.Command) {
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

// SetHeartbeatHandler implements raft.Transport. The library handles heartbeats in the goroutines of connections, where
// it may store a term; Close waits for them.
func (t *eligibilityTransport) SetHeartbeatHandler(handle func(raft.RPC)) {
	t.NetworkTransport.SetHeartbeatHandler(func(call raft.RPC) {
		t.heartbeatMu.RLock()
		defer t.heartbeatMu.RUnlock()
		select {
		case <-t.done:
			call.Respond(nil, raft.ErrTransportShutdown)
		default:
			handle(call)
		}
	})
}

// Close closes the transport; the library calls it on shutdown. No heartbeat is handled after it returns, so that the
// log can be closed: the library panics if a term can't be written.
func (t *eligibilityTransport) Close() error {
	t.closeOnce.Do(func() { close(t.done) })
	t.heartbeatMu.Lock() // waits for heartbeats in progress
	defer t.heartbeatMu.Unlock()
	return t.NetworkTransport.Close()
}

// caughtUp reports whether this member's log has reached RequiredLog.
func (t *eligibilityTransport) caughtUp() bool {
	if t.eligible.Load() {
		return true
	}
	if t.eligibility.Satisfied(t.lastLog()) {
		t.eligible.Store(true)
		return true
	}
	return false
}

// allowedWhileBehind reports whether a member that has not caught up yet may handle an RPC.
func (t *eligibilityTransport) allowedWhileBehind(command any) bool {
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
	if !t.caughtUp() {
		return errIneligible
	}
	return t.NetworkTransport.RequestVote(id, address, request, response)
}

// RequestPreVote implements raft.WithPreVote.
func (t *eligibilityTransport) RequestPreVote(
	id raft.ServerID, address raft.ServerAddress,
	request *raft.RequestPreVoteRequest, response *raft.RequestPreVoteResponse,
) error {
	if !t.caughtUp() {
		return errIneligible
	}
	return t.NetworkTransport.RequestPreVote(id, address, request, response)
}
