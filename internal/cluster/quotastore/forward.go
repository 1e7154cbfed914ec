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

// notLeader is the answer of an agent that does not lead.
type notLeader struct {
	Leader string `json:"leader"` // host that it believes to lead; empty: unknown
}

// Do has the leader apply a command. After an error the command may still be applied. The error wraps ErrNoLeader if no
// agent answered as the leader.
func (s *Store) Do(ctx context.Context, command quota.Command) (result quota.Result, err error) {
	current := s.leadership()
	if current.leads() {
		return s.doAsLeader(current, command)
	}
	err = s.forwardToLeader(ctx, current.leader, pathDo, command, &result)
	return result, err
}

// Status returns the status that the leader reports, after it has verified that it still leads. Its errors are those of
// Do.
func (s *Store) Status(ctx context.Context) (status quota.Status, err error) {
	current := s.leadership()
	if current.leads() {
		return s.statusAsLeader(current)
	}
	err = s.forwardToLeader(ctx, current.leader, pathStatus, nil, &status)
	return status, err
}

// forwardToLeader calls the agents of the group one after another until one answers as the leader: first the likely
// leader, then whom the last answer named, then those that were not called yet.
func (s *Store) forwardToLeader(ctx context.Context, likely, path string, body, into any) error {
	if likely == "" {
		likely = s.latestLeader()
	}
	candidates := leaderCandidates{members: s.members(), called: map[string]bool{s.config.Host: true}}
	var lastErr error
	host, ok := candidates.next(likely)
	for ok && ctx.Err() == nil {
		err := s.call(ctx, host, path, body, into)
		if err == nil {
			s.setLatestLeader(host)
			return nil
		}
		lastErr = fmt.Errorf("%s: %w", host, err)
		host, ok = candidates.next(leaderNamedBy(err))
	}
	return errors.Join(ErrNoLeader, lastErr)
}

// leaderCandidates are the hosts that may lead.
type leaderCandidates struct {
	members []string
	called  map[string]bool // by host
}

// next returns the host to call next, each of them once: the preferred one if it was not called yet, else the first
// member that was not. ok is false if none is left.
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

func (s *Store) call(ctx context.Context, host, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.Bounds.CallTimeout)
	defer cancel()
	return s.config.Transport.Call(ctx, host, path, body, into)
}

func (s *Store) latestLeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLeader
}

func (s *Store) setLatestLeader(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLeader = host
}

// leaderNamedBy returns the leader that an agent's answer names, or "".
func leaderNamedBy(err error) string {
	var answer notLeader
	if status, ok := errors.AsType[*jsonhttp.StatusError](err); ok && status.Code == http.StatusMisdirectedRequest {
		_ = json.Unmarshal([]byte(status.Message), &answer) // an answer that was cut short names none
	}
	return answer.Leader
}
