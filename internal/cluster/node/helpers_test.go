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

// waitTimeout is how long a test waits for an expected event.
const waitTimeout = 30 * time.Second

// listen listens at an address on loopback.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// wantAddressFree fails the test if it cannot listen at an address.
func wantAddressFree(t *testing.T, address string) {
	t.Helper()
	_ = listen(t, address).Close()
}

// newSpec returns a fleet of hosts h1, h2 and so on with free addresses. All are members of the quota store.
func newSpec(t *testing.T, size int) *fleet.Spec {
	t.Helper()
	spec := &fleet.Spec{Quotas: &quota.Config{
		Version: 1,
		Limits:  []quota.Limit{{Name: "out", Kind: quota.Concurrency, Total: 2}},
	}}
	for i := 1; i <= size; i++ {
		// No outgoing connection uses this local address, so that the port stays free.
		listener := listen(t, fmt.Sprintf("127.0.29.%d:0", i))
		defer func() { _ = listener.Close() }()
		name := fmt.Sprint("h", i)
		spec.Hosts = append(spec.Hosts, fleet.HostSpec{Name: name, PeerAddress: listener.Addr().String()})
		spec.QuotaHosts = append(spec.QuotaHosts, name)
	}
	return spec
}

// runNode opens a host's node and runs it until the end of the test, or until the returned function is called.
func runNode(t *testing.T, spec *fleet.Spec, host, dir string) (*Node, func()) {
	t.Helper()
	n, err := Open(Config{Spec: spec, Host: host, Dir: dir, Bounds: limits.ForControl()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	end := func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("%s: %v", host, err)
			}
			ended <- nil // for a second call of end
		case <-time.After(waitTimeout):
			t.Errorf("%s: Run did not return after its context ended", host)
		}
	}
	t.Cleanup(end)
	return n, end
}

// waitUntil polls a condition and fails the test if it is not met in time.
func waitUntil(t *testing.T, condition string, met func() bool) {
	t.Helper()
	const pollInterval = 10 * time.Millisecond
	for start := time.Now(); !met(); time.Sleep(pollInterval) {
		if time.Since(start) > waitTimeout {
			t.Fatalf("not within %v: %s", waitTimeout, condition)
		}
	}
}

// storeStatus returns the status of the quota store from a node, with a timeout of a second.
func storeStatus(n *Node) (quota.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return n.Status(ctx)
}

// leads reports whether a node's status names a host as the leader of the quota store.
func leads(n *Node, host string) bool {
	status, err := storeStatus(n)
	return err == nil && status.Leader == host
}

// memberStates returns the states of all agents as observed by a node.
func memberStates(n *Node) (all []membership.State) {
	for _, member := range n.Members() {
		all = append(all, member.State)
	}
	return all
}
