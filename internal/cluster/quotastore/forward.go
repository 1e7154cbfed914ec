package quotastore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/hashicorp/raft"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/jsonhttp"
)

// notLeader is the answer of an agent that is not the leader, with the name of whom it thinks to be.
type notLeader struct {
	Leader string `json:"leader"`
}

// local does a command if this node leads; ok is false if it does not.
func (n *Store) local(c quota.Command) (res quota.Result, leader string, ok bool, err error) {
	n.mu.Lock()
	r, ready := n.raft, n.ready
	if ready {
		c.FreezeGrowth = n.tracker.GrowthFrozen(n.config.Clock())
	}
	n.mu.Unlock()
	if r == nil {
		return res, "", false, nil
	}
	if !ready || r.State() != raft.Leader {
		_, id := r.LeaderWithID()
		return res, string(id), false, nil
	}
	res, err = n.propose(r, c)
	return res, n.config.Host, true, err
}

// Do has a command done, by whichever agent leads. An error does not say that it was not done.
func (n *Store) Do(ctx context.Context, c quota.Command) (res quota.Result, err error) {
	res, leader, ok, err := n.local(c)
	if ok {
		return res, err
	}
	err = n.forwardToLeader(ctx, leader, "/ledger/do", c, &res)
	return res, err
}

// forwardToLeader asks one agent after the other until one leads.
func (n *Store) forwardToLeader(ctx context.Context, hint, path string, body, into any) error {
	n.mu.Lock()
	if hint == "" {
		hint = n.lastLeader
	}
	members := slices.Clone(n.config.Members)
	n.mu.Unlock()
	tried := map[string]bool{n.config.Host: true}
	var last error
	for next := hint; ctx.Err() == nil; {
		if next == "" || tried[next] {
			i := slices.IndexFunc(members, func(m string) bool { return !tried[m] })
			if i < 0 {
				break
			}
			next = members[i]
		}
		tried[next] = true
		ask, cancel := context.WithTimeout(ctx, n.config.Bounds.CallTimeout)
		err := n.config.Transport.Call(ask, next, path, body, into)
		cancel()
		if err == nil {
			n.mu.Lock()
			n.lastLeader = next
			n.mu.Unlock()
			return nil
		}
		last = fmt.Errorf("%s: %w", next, err)
		var other notLeader
		if no, ok := errors.AsType[*jsonhttp.StatusError](err); ok && no.Code == http.StatusMisdirectedRequest {
			_ = json.Unmarshal([]byte(no.Message), &other)
		}
		next = other.Leader
	}
	return errors.Join(ErrNoLeader, last)
}

// Status asks the leader, which makes sure that it still is one.
func (n *Store) Status(ctx context.Context) (v quota.Status, err error) {
	v, leader, ok, err := n.localStatus()
	if ok {
		return v, err
	}
	err = n.forwardToLeader(ctx, leader, "/ledger/view", nil, &v)
	return v, err
}

func (n *Store) localStatus() (v quota.Status, leader string, ok bool, err error) {
	n.mu.Lock()
	r, ready := n.raft, n.ready
	n.mu.Unlock()
	if r == nil {
		return v, "", false, nil
	}
	if _, id := r.LeaderWithID(); !ready || r.State() != raft.Leader {
		return v, string(id), false, nil
	}
	if err := r.VerifyLeader().Error(); err != nil {
		return v, "", true, fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	for _, s := range r.GetConfiguration().Configuration().Servers {
		v.Members = append(v.Members, string(s.ID))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	v.Leader, v.Term, v.Version, v.GrowthFrozen = n.config.Host, r.CurrentTerm(), n.state.Config.Version, n.tracker.GrowthFrozen(n.config.Clock())
	v.Limits, v.ColdStarts = n.state.Usages(), n.state.ColdStartStatuses()
	n.tracker.FillRemaining(n.config.Clock(), n.state, v.Limits)
	return v, n.config.Host, true, nil
}
