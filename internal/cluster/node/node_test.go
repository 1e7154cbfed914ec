package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// allSeeAllAlive reports whether each node observes all agents as alive.
func allSeeAllAlive(nodes []*Node) bool {
	isNotAlive := func(state membership.State) bool { return state != membership.Alive }
	return !slices.ContainsFunc(nodes, func(n *Node) bool {
		return slices.ContainsFunc(memberStates(n), isNotAlive)
	})
}

// allReportOneLeader reports whether all nodes report the same leader of a store of three members.
func allReportOneLeader(nodes []*Node) bool {
	leaders := map[string]bool{}
	for _, n := range nodes {
		status, err := storeStatus(n)
		if err != nil || status.Version != 1 || len(status.Members) != 3 {
			return false
		}
		leaders[status.Leader] = true
	}
	return len(leaders) == 1
}

// TestThreeNodesFormAClusterAndOneRejoins checks that nodes on loopback discover each other, that each of them provides
// access to the same store, and that a stopped node can be restarted at its address.
func TestThreeNodesFormAClusterAndOneRejoins(t *testing.T) {
	spec := newSpec(t, 3)
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	nodes := make([]*Node, 3)
	ends := make([]func(), 3)
	for i, host := range spec.Hosts {
		nodes[i], ends[i] = runNode(t, spec, host.Name, dirs[i])
	}
	waitUntil(t, "all observe all as alive", func() bool { return allSeeAllAlive(nodes) })
	waitUntil(t, "all report one leader", func() bool { return allReportOneLeader(nodes) })
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	acquire := quota.Command{Acquire: &quota.PermitCommand{Limit: "out", Name: "n", Host: "h1", AcquireID: "1"}}
	if result, err := nodes[0].Do(ctx, acquire); err != nil || result.Rejection != "" {
		t.Fatalf("acquire a permit: %+v, error %v", result, err)
	}

	ends[2]()
	waitUntil(t, "the others observe the stopped node as dead", func() bool {
		return memberStates(nodes[0])[2] == membership.Dead && memberStates(nodes[1])[2] == membership.Dead
	})
	nodes[2], _ = runNode(t, spec, "h3", dirs[2])
	waitUntil(t, "all observe all as alive after the restart", func() bool { return allSeeAllAlive(nodes) })
	waitUntil(t, "all report one leader after the restart", func() bool { return allReportOneLeader(nodes) })
	if status, err := storeStatus(nodes[2]); err != nil || status.Limits[0].InForce != 1 {
		t.Errorf("status %+v, error %v, want one permit in force", status, err)
	}
}

// TestUpdateAddressesMakesStoreReachable checks that a node outside the store's group uses the addresses of the latest
// configuration to reach it.
func TestUpdateAddressesMakesStoreReachable(t *testing.T) {
	spec := newSpec(t, 2)
	spec.QuotaHosts = spec.QuotaHosts[:1]
	runNode(t, spec, "h1", t.TempDir())
	former := *spec
	former.Hosts = slices.Clone(spec.Hosts)
	former.Hosts[0].PeerAddress = ""
	client, _ := runNode(t, &former, "h2", t.TempDir())
	if status, err := storeStatus(client); err == nil {
		t.Fatalf("the store is reached without the address of its member: %+v", status)
	}
	client.UpdateAddresses(spec)
	waitUntil(t, "the store is reached from outside the group", func() bool { return leads(client, "h1") })
}

// TestSingleNodeListensOnLoopbackAndLeads checks that a single node without a peer address listens on loopback and
// leads.
func TestSingleNodeListensOnLoopbackAndLeads(t *testing.T) {
	spec := newSpec(t, 1)
	spec.Hosts[0].PeerAddress = ""
	n, _ := runNode(t, spec, "h1", t.TempDir())
	if address := n.transport.Address(); !strings.HasPrefix(address, "127.0.0.1:") {
		t.Errorf("listening at %s, want 127.0.0.1", address)
	}
	waitUntil(t, "the node leads", func() bool { return leads(n, "h1") })
	waitUntil(t, "the node observes itself as alive", func() bool {
		return slices.Equal(memberStates(n), []membership.State{membership.Alive})
	})
}

// TestRunEndsWithoutQuorum checks that Run returns with its context while the node waits for the other members of its
// group, and that the node's address is free afterwards.
func TestRunEndsWithoutQuorum(t *testing.T) {
	spec := newSpec(t, 3)
	dir := t.TempDir()
	n, end := runNode(t, spec, "h1", dir)
	waitUntil(t, "the node waits for other members", func() bool { return n.Stage() == "waiting" })
	end()
	_, end = runNode(t, spec, "h1", dir)
	end()
}

// openCall makes one call to a node over a raw connection. It returns the connection, with a reader positioned after
// the response.
func openCall(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	const call = "milletbarrow/1 call h1 h2\n" +
		"POST /ledger/view HTTP/1.1\r\nHost: local\r\nContent-Length: 0\r\n\r\n"
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(conn, call); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return conn, in
}

// TestRunFreesAddressAndClosesCalls checks that when Run has returned, the node's address is free and the connections
// of calls are closed.
func TestRunFreesAddressAndClosesCalls(t *testing.T) {
	spec := newSpec(t, 1)
	address := spec.Hosts[0].PeerAddress
	for range 10 {
		_, end := runNode(t, spec, "h1", t.TempDir())
		conn, in := openCall(t, address)
		end()
		wantAddressFree(t, address)
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the connection of a call is still open: %v", err)
		}
		_ = conn.Close()
	}
}

// TestFailedOpenFreesAddress checks that Open frees the node's address if it fails.
func TestFailedOpenFreesAddress(t *testing.T) {
	spec := newSpec(t, 1)
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "ledger"), nil, 0o600); err != nil { // a file in place of the directory
		t.Fatal(err)
	}
	if _, err := Open(Config{Spec: spec, Host: "h1", Dir: dir, Bounds: limits.ForControl()}); err == nil {
		t.Fatal("Open succeeded without a store directory")
	}
	wantAddressFree(t, spec.Hosts[0].PeerAddress)
}

// TestOpenErrorNamesAddressInUse checks that the error of Open for an address that is in use names the address.
func TestOpenErrorNamesAddressInUse(t *testing.T) {
	listener := listen(t, "127.0.0.1:0")
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	spec := &fleet.Spec{Hosts: []fleet.HostSpec{{Name: "h1", PeerAddress: address}}, QuotaHosts: []string{"h1"}}
	_, err := Open(Config{Spec: spec, Host: "h1", Dir: t.TempDir(), Bounds: limits.ForControl()})
	if err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("error %v, want an error that contains %s", err, address)
	}
}
