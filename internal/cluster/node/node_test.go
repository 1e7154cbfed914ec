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
	"milletbarrow/internal/limits"
)

// allAlive reports whether each node sees all agents alive.
func allAlive(nodes []*Node) bool {
	return !slices.ContainsFunc(nodes, func(node *Node) bool {
		return slices.ContainsFunc(statesSeenBy(node), func(state membership.State) bool {
			return state != membership.Alive
		})
	})
}

// agreeOnLeader reports whether all nodes report the same leader of a group of as many members.
func agreeOnLeader(nodes []*Node) bool {
	leaders := map[string]bool{}
	for _, node := range nodes {
		status, err := statusOf(node)
		if err != nil || status.Version != 1 || len(status.Members) != len(nodes) {
			return false
		}
		leaders[status.Leader] = true
	}
	return len(leaders) == 1
}

// TestNodesShareOneStore checks that nodes find each other and answer for one store through any of them. A node that
// has ended can be started again at its address.
func TestNodesShareOneStore(t *testing.T) {
	spec := newSpec(t, 3)
	nodes := make([]*Node, len(spec.Hosts))
	dirs := make([]string, len(spec.Hosts))
	stops := make([]func(), len(spec.Hosts))
	for i, host := range spec.Hosts {
		dirs[i] = t.TempDir()
		nodes[i], stops[i] = runNode(t, spec, host.Name, dirs[i])
	}
	waitFor(t, "all see all alive", func() bool { return allAlive(nodes) })
	waitFor(t, "all name one leader", func() bool { return agreeOnLeader(nodes) })
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	acquire := quota.Command{Acquire: &quota.PermitCommand{Limit: "out", Name: "n", Host: "h1", AcquireID: "1"}}
	if result, err := nodes[0].Do(ctx, acquire); err != nil || result.Rejection != "" {
		t.Fatalf("acquire a permit: %+v, %v", result, err)
	}
	stops[2]()
	waitFor(t, "the others see the ended node dead", func() bool {
		return statesSeenBy(nodes[0])[2] == membership.Dead && statesSeenBy(nodes[1])[2] == membership.Dead
	})
	nodes[2], _ = runNode(t, spec, "h3", dirs[2])
	waitFor(t, "all see all alive again", func() bool { return allAlive(nodes) })
	waitFor(t, "all name one leader again", func() bool { return agreeOnLeader(nodes) })
	if status, err := statusOf(nodes[2]); err != nil || status.Limits[0].InForce != 1 {
		t.Errorf("the permit is not held: %+v, %v", status, err)
	}
}

// TestUpdatedAddressesAreUsed checks that a node outside the store's group reaches it at the addresses of the latest
// file.
func TestUpdatedAddressesAreUsed(t *testing.T) {
	spec := newSpec(t, 2)
	spec.QuotaHosts = spec.QuotaHosts[:1]
	_, _ = runNode(t, spec, "h1", t.TempDir())
	former := *spec
	former.Hosts = slices.Clone(spec.Hosts)
	former.Hosts[0].PeerAddress = ""
	client, _ := runNode(t, &former, "h2", t.TempDir())
	if status, err := statusOf(client); err == nil {
		t.Fatalf("answered without an address: %+v", status)
	}
	client.UpdateAddresses(spec)
	waitFor(t, "the node answers from outside the group", func() bool {
		status, err := statusOf(client)
		return err == nil && status.Leader == "h1"
	})
}

// TestSoleNodeLeadsOnLoopback checks that a node without a peer address leads alone.
func TestSoleNodeLeadsOnLoopback(t *testing.T) {
	spec := newSpec(t, 1)
	spec.Hosts[0].PeerAddress = ""
	node, _ := runNode(t, spec, "h1", t.TempDir())
	if address := node.transport.Address(); !strings.HasPrefix(address, "127.0.0.1:") {
		t.Errorf("listens at %s", address)
	}
	waitFor(t, "it leads", func() bool {
		status, err := statusOf(node)
		return err == nil && status.Leader == "h1"
	})
	waitFor(t, "it sees itself alive", func() bool {
		return slices.Equal(statesSeenBy(node), []membership.State{membership.Alive})
	})
}

// TestWaitingNodeEnds checks that a node that waits for the others of its group ends with its context, and its
// address is free.
func TestWaitingNodeEnds(t *testing.T) {
	spec, dir := newSpec(t, 3), t.TempDir()
	node, stop := runNode(t, spec, "h1", dir)
	waitFor(t, "it waits for others", func() bool { return node.Stage() == "waiting" })
	stop()
	_, stop = runNode(t, spec, "h1", dir)
	stop()
}

// TestNothingGoesOnAfterRun checks that the address is free and that connections of calls are closed.
func TestNothingGoesOnAfterRun(t *testing.T) {
	spec := newSpec(t, 1)
	address := spec.Hosts[0].PeerAddress
	for range 10 {
		_, stop := runNode(t, spec, "h1", t.TempDir())
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(patience))
		in := bufio.NewReader(conn)
		callStatus(t, conn, in)
		stop()
		wantFree(t, address)
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("the connection of a call is open: %v", err)
		}
		_ = conn.Close()
	}
}

// callStatus calls a node over a connection as another agent does, and reads the answer.
func callStatus(t *testing.T, conn io.Writer, in *bufio.Reader) {
	t.Helper()
	const call = "milletbarrow/1 call h1 h2\n" +
		"POST /ledger/view HTTP/1.1\r\nHost: local\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, call); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
}

func TestFailedOpenLeavesTheAddressFree(t *testing.T) {
	spec, dir := newSpec(t, 1), t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, storeDirectory), nil, 0o600); err != nil { // must be a directory
		t.Fatal(err)
	}
	if _, err := Open(Config{Spec: spec, Host: "h1", Dir: dir, Bounds: limits.ForControl()}); err == nil {
		t.Fatal("opened without a directory")
	}
	wantFree(t, spec.Hosts[0].PeerAddress)
}
