package node

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// patience is how long a test waits for a condition.
const patience = 30 * time.Second

// newSpec returns a fleet of the hosts h1, h2, ... with free addresses, all of which replicate the quota store.
func newSpec(t *testing.T, n int) *fleet.Spec {
	t.Helper()
	spec := &fleet.Spec{Quotas: &quota.Config{
		Version: 1,
		Limits:  []quota.Limit{{Name: "out", Kind: quota.Concurrency, Total: 2}},
	}}
	for i := range n {
		// No outgoing connection takes an address of this network, so that it stays free.
		l := listen(t, fmt.Sprintf("127.0.29.%d:0", i+1))
		defer l.Close()
		name := fmt.Sprint("h", i+1)
		spec.Hosts = append(spec.Hosts, fleet.HostSpec{Name: name, PeerAddress: l.Addr().String()})
		spec.QuotaHosts = append(spec.QuotaHosts, name)
	}
	return spec
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatalf("the address is not free: %v", err)
	}
	return l
}

// wantFree fails the test unless an address is free.
func wantFree(t *testing.T, address string) {
	t.Helper()
	_ = listen(t, address).Close()
}

// runNode opens and runs a host's node until the end of the test, or until the returned function is called.
func runNode(t *testing.T, spec *fleet.Spec, host, dir string) (node *Node, stop func()) {
	t.Helper()
	node, err := Open(Config{Spec: spec, Host: host, Dir: dir, Bounds: limits.ForControl()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	stop = func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("%s: %v", host, err)
			}
			ended <- nil // stop may be called again
		case <-time.After(patience):
			t.Errorf("%s goes on after its context has ended", host)
		}
	}
	t.Cleanup(stop)
	return node, stop
}

// waitFor fails the test unless a condition comes true within patience.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for began := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("not within %v: %s", patience, condition)
		}
	}
}

func statusOf(node *Node) (quota.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return node.Status(ctx)
}

// statesSeenBy returns the states of all agents as a node sees them.
func statesSeenBy(node *Node) (states []membership.State) {
	for _, member := range node.Members() {
		states = append(states, member.State)
	}
	return states
}
