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

// drain returns the calls since the last take.
func (c *callLog) drain() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.hosts
	c.hosts = nil
	return hosts
}

// newForwardingStore returns the store of h1 in the group of h1 to h4, which does not run. leaderFromError has the leader
// that each other agent names; an agent that names itself answers with a result. The log records the calls to all four.
func newForwardingStore(t *testing.T, leaderNamedBy map[string]string) (*Store, *callLog) {
	t.Helper()
	calls := &callLog{}
	addresses := map[string]string{}
	answer := func(agent *Store, leader string) {
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
	for host, leader := range leaderNamedBy {
		answer(openTestStore(t, host, nil), leader)
	}
	s := openTestStore(t, "h1", addresses, "h1", "h2", "h3", "h4")
	answer(s, "")
	return s, calls
}

// TestNamedLeaderIsCalledNext checks that an agent that does not lead names the leader, which is called first the
// next time.
func TestNamedLeaderIsCalledNext(t *testing.T) {
	s, calls := newForwardingStore(t, map[string]string{"h2": "h4", "h3": "", "h4": "h4"})
	for _, want := range [][]string{{"h2", "h4"}, {"h4"}} {
		result, err := s.Do(t.Context(), quota.Command{})
		if err != nil || result.Serial != 7 {
			t.Fatalf("%+v, %v, want serial 7", result, err)
		}
		if got := calls.drain(); !slices.Equal(got, want) {
			t.Errorf("called %v, want %v", got, want)
		}
	}
}

// TestEachAgentIsCalledOnce checks that a command ends with ErrNoLeader if agents name each other as the leader.
func TestEachAgentIsCalledOnce(t *testing.T) {
	s, calls := newForwardingStore(t, map[string]string{"h2": "h3", "h3": "h2", "h4": "h1"})
	if result, err := s.Do(t.Context(), quota.Command{}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("%+v, %v, want ErrNoLeader", result, err)
	}
	if got, want := calls.drain(), []string{"h2", "h3", "h4"}; !slices.Equal(got, want) {
		t.Errorf("called %v, want %v", got, want)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := s.Status(ctx); !errors.Is(err, ErrNoLeader) {
		t.Errorf("after the context's end: %v, want ErrNoLeader", err)
	}
	if got := calls.drain(); len(got) > 0 {
		t.Errorf("called %v after the context's end", got)
	}
}
