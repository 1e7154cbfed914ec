package quotastore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/jsonhttp"
)

// Paths of the calls between agents.
const (
	pathLogPosition = "/ledger/standing"
	pathDo          = "/ledger/do"
	pathStatus      = "/ledger/view"
)

// notLeader is the answer of an agent that does not lead, with the host that it believes to.
type notLeader struct {
	Leader string `json:"leader"`
}

// Do has a command applied by whichever agent leads. After an error it may be applied all the same; ErrNoLeader is one of
// those that it wraps where no agent answered as the leader.
func (s *Store) Do(ctx context.Context, c quota.Command) (res quota.Result, err error) {
	l := s.leadership()
	if l.leads() {
		return s.doAsLeader(l, c)
	}
	err = s.forwardToLeader(ctx, l.leader, pathDo, c, &res)
	return res, err
}

// Status asks the leader, which makes sure that it still is one. Its errors are those of Do.
func (s *Store) Status(ctx context.Context) (status quota.Status, err error) {
	l := s.leadership()
	if l.leads() {
		return s.statusAsLeader(l)
	}
	err = s.forwardToLeader(ctx, l.leader, pathStatus, nil, &status)
	return status, err
}

// forwardToLeader calls one agent of the group after the other until one answers as the leader: first the likely leader,
// then whom the last answer named, then those that were not called yet.
func (s *Store) forwardToLeader(ctx context.Context, likely, path string, body, into any) error {
	s.mu.Lock()
	if likely == "" {
		likely = s.lastLeader
	}
	s.mu.Unlock()
	members := s.members()
	called := map[string]bool{s.config.Host: true}
	var lastErr error
	for next := likely; ctx.Err() == nil; {
		if next == "" || called[next] {
			i := slices.IndexFunc(members, func(m string) bool { return !called[m] })
			if i < 0 {
				break
			}
			next = members[i]
		}
		called[next] = true
		err := s.call(ctx, next, path, body, into)
		if err == nil {
			s.mu.Lock()
			s.lastLeader = next
			s.mu.Unlock()
			return nil
		}
		lastErr = fmt.Errorf("%s: %w", next, err)
		next = leaderNamedBy(err)
	}
	return errors.Join(ErrNoLeader, lastErr)
}

func (s *Store) call(ctx context.Context, host, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.Bounds.CallTimeout)
	defer cancel()
	return s.config.Transport.Call(ctx, host, path, body, into)
}

// leaderNamedBy returns the leader that an agent's answer names, empty for none.
func leaderNamedBy(err error) string {
	var other notLeader
	if status, ok := errors.AsType[*jsonhttp.StatusError](err); ok && status.Code == http.StatusMisdirectedRequest {
		_ = json.Unmarshal([]byte(status.Message), &other) // an answer that is cut short names none
	}
	return other.Leader
}
