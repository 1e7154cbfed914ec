package quotastore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"

	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/transport"
)

// agentCalls records which agents were called, in order.
type agentCalls struct {
	mu    sync.Mutex
	hosts []string
}

func (c *agentCalls) add(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = append(c.hosts, host)
}

// take returns the calls since the last take.
func (c *agentCalls) take() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := c.hosts
	c.hosts = nil
	return hosts
}

// newForwardingStore returns the store of h1, a member of the group of h1 to h4 that is not run. The agents of
// leaders, by host, answer that another leads; one that leads by itself answers a result. A call of h1 to itself is
// recorded too.
func newForwardingStore(t *testing.T, leaders map[string]string) (*Store, *agentCalls) {
	t.Helper()
	calls, addresses := &agentCalls{}, map[string]string{}
	serve := func(agent *Store, leader string) {
		host := agent.config.Host
		addresses[host] = agent.config.Transport.Address()
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls.add(host)
			if leader != host {
				writeNotLeader(w, leader)
				return
			}
			_ = json.NewEncoder(w).Encode(quota.Result{Serial: 7})
		})}
		go func() { _ = server.Serve(agent.config.Transport.Listener(transport.KindCall)) }()
		t.Cleanup(func() { _ = server.Close() })
	}
	for host, leader := range leaders {
		serve(openTestStore(t, host, nil), leader)
	}
	s := openTestStore(t, "h1", addresses, "h1", "h2", "h3", "h4")
	serve(s, "")
	return s, calls
}

// TestForwarding: an agent that does not lead names who does, and that one is called next; it is called first the
// next time.
func TestForwarding(t *testing.T) {
	s, calls := newForwardingStore(t, map[string]string{"h2": "h4", "h3": "", "h4": "h4"})
	for _, want := range [][]string{{"h2", "h4"}, {"h4"}} {
		res, err := s.Do(context.Background(), quota.Command{})
		if err != nil || res.Serial != 7 {
			t.Fatalf("%+v, %v", res, err)
		}
		if got := calls.take(); !slices.Equal(got, want) {
			t.Errorf("called %v, want %v", got, want)
		}
	}
}

// TestForwardingEnds: where agents name each other as the leader, each is called once, and the answer is that there
// is none.
func TestForwardingEnds(t *testing.T) {
	s, calls := newForwardingStore(t, map[string]string{"h2": "h3", "h3": "h2", "h4": "h1"})
	if res, err := s.Do(context.Background(), quota.Command{}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("%+v, %v", res, err)
	}
	if got := calls.take(); !slices.Equal(got, []string{"h2", "h3", "h4"}) {
		t.Errorf("called %v", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := s.Status(ctx); !errors.Is(err, ErrNoLeader) {
		t.Error(err)
	}
	if got := calls.take(); len(got) > 0 {
		t.Errorf("called %v after the context's end", got)
	}
}
