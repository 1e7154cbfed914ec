package quotastore

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"

	"milletbarrow/internal/cluster/quota"
)

// callLog records which agents were called, in order.
type callLog struct {
	mu    sync.Mutex // guards hosts
	hosts []string
}

func (c *callLog) add(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, host)
}

// drain returns the calls since the last drain.
func (c *callLog) drain() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.hosts
	c.hosts = nil
	return hosts
}

// newForwardingStore returns the store of h1 in the group of h1 to h4, which is not run. reportedLeaders maps each
// other agent to the leader that it reports; an agent that reports itself responds with a result. The log records the
// calls to all four agents.
func newForwardingStore(t *testing.T, reportedLeaders map[string]string) (*Store, *callLog) {
	t.Helper()
	calls := &callLog{}
	addresses := map[string]string{}
	serve := func(agent *Store, leader string) {
		host := agent.config.Host
		addresses[host] = agent.config.Transport.Address()
		serveCalls(t, agent, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.add(host)
			if leader != host {
				writeNotLeaderResponse(w, leader)
				return
			}
			writeResponse(w, quota.Result{Serial: 7}, nil)
		}))
	}
	for host, leader := range reportedLeaders {
		serve(openTestStore(t, host, nil), leader)
	}
	s := openTestStore(t, "h1", addresses, "h1", "h2", "h3", "h4")
	serve(s, "")
	return s, calls
}

// TestReportedLeaderIsCalledNext checks that the leader that another agent reports is called next, and that the next
// command goes to it directly.
func TestReportedLeaderIsCalledNext(t *testing.T) {
	s, calls := newForwardingStore(t, map[string]string{"h2": "h4", "h3": "", "h4": "h4"})
	for _, want := range [][]string{{"h2", "h4"}, {"h4"}} {
		result, err := s.Do(t.Context(), quota.Command{})
		if err != nil || result.Serial != 7 {
			t.Fatalf("result %+v, error %v, want serial 7", result, err)
		}
		if got := calls.drain(); !slices.Equal(got, want) {
			t.Errorf("called %v, want %v", got, want)
		}
	}
}

// TestEachAgentIsCalledOnce checks that a command fails with ErrNoLeader, after one call to each agent, if the agents
// report each other as the leader. With a context that has ended, no agent is called.
func TestEachAgentIsCalledOnce(t *testing.T) {
	s, calls := newForwardingStore(t, map[string]string{"h2": "h3", "h3": "h2", "h4": "h1"})
	if result, err := s.Do(t.Context(), quota.Command{}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("result %+v, error %v, want ErrNoLeader", result, err)
	}
	if got, want := calls.drain(), []string{"h2", "h3", "h4"}; !slices.Equal(got, want) {
		t.Errorf("called %v, want %v", got, want)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.Status(ctx); !errors.Is(err, ErrNoLeader) {
		t.Errorf("with a canceled context: error %v, want ErrNoLeader", err)
	}
	if got := calls.drain(); len(got) > 0 {
		t.Errorf("called %v with a canceled context", got)
	}
}
