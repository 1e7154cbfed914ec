package quotastore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/jsonhttp"
)

// Paths of the calls between agents.
const (
	pathLogPosition = "/ledger/standing"
	pathDo          = "/ledger/do"
	pathStatus      = "/ledger/view"
)

// notLeaderResponse is the response of an agent that is not the leader.
type notLeaderResponse struct {
	Leader string `json:"leader"` // host of the presumed leader; empty: unknown
}

// Do submits a command to the leader. After an error the command may still be applied. The error wraps ErrNoLeader if
// no agent responded as the leader.
func (s *Store) Do(ctx context.Context, command quota.Command) (result quota.Result, err error) {
	current := s.leadership()
	if current.leads() {
		return s.doAsLeader(current, command)
	}
	err = s.forwardToLeader(ctx, current.leader, pathDo, command, &result)
	return result, err
}

// Status returns the leader's status, after the leader has verified its leadership. Its errors are those of Do.
func (s *Store) Status(ctx context.Context) (status quota.Status, err error) {
	current := s.leadership()
	if current.leads() {
		return s.statusAsLeader(current)
	}
	err = s.forwardToLeader(ctx, current.leader, pathStatus, nil, &status)
	return status, err
}

// forwardToLeader calls the agents of the group one after another until one responds as the leader: first the presumed
// leader, then the host that the last response named, then the members that were not called yet.
func (s *Store) forwardToLeader(ctx context.Context, presumed, path string, body, response any) error {
	if presumed == "" {
		presumed = s.leaderHint()
	}
	candidates := leaderCandidates{members: s.members(), called: map[string]bool{s.config.Host: true}}
	var lastErr error
	host, ok := candidates.next(presumed)
	for ok && ctx.Err() == nil {
		err := s.call(ctx, host, path, body, response)
		if err == nil {
			s.setLeaderHint(host)
			return nil
		}
		lastErr = fmt.Errorf("%s: %w", host, err)
		host, ok = candidates.next(leaderFromError(err))
	}
	return errors.Join(ErrNoLeader, lastErr)
}

// leaderCandidates tracks which hosts of the group were called in search of the leader.
type leaderCandidates struct {
	members []string
	called  map[string]bool // by host
}

// next returns the host to call next: the preferred one if it was not called yet, otherwise the first member that was
// not. It returns no host twice; ok is false if none is left.
func (c *leaderCandidates) next(preferred string) (host string, ok bool) {
	host = preferred
	for i := 0; host == "" || c.called[host]; i++ {
		if i == len(c.members) {
			return "", false
		}
		host = c.members[i]
	}
	c.called[host] = true
	return host, true
}

func (s *Store) call(ctx context.Context, host, path string, body, response any) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.Bounds.CallTimeout)
	defer cancel()
	return s.config.Transport.Call(ctx, host, path, body, response)
}

// leaderHint returns the host that last responded as the leader, or "".
// leaderHint returns the host that last responded as the leader, or "".
func (s *Store) leaderHint() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLeader
}

func (s *Store) setLeaderHint(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeader = host
}

// leaderFromError returns the leader that is named in an agent's notLeaderResponse, or "".
func leaderFromError(err error) string {
	var response notLeaderResponse
	if status, ok := errors.AsType[*jsonhttp.StatusError](err); ok && status.Code == http.StatusMisdirectedRequest {
		_ = json.Unmarshal([]byte(status.Message), &response) // a truncated response names no leader
	}
	return response.Leader
}
