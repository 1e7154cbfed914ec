// Package node combines what one agent shares with the other agents of a fleet: it opens the transport, the quota store
// and the membership list, runs them and closes them together. It decides nothing itself.
package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/cluster/quotastore"
	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

const (
	// loopbackAddress is the listening address of the only agent of a fleet, which has no peer address.
	loopbackAddress = "127.0.0.1:0"

	// storeDirectory is the quota store's part of the agent's directory.
	storeDirectory = "ledger"

	// Timeouts of the server for calls of other agents, in call timeouts.
	readCallTimeouts  = 2
	writeCallTimeouts = 4
)

// Config configures a Node.
type Config struct {
	Spec     *fleet.Spec // with quotas
	Host     string      // name of this agent's host
	Dir      string      // the agent's own directory
	TrustDir bool        // an operator says that the directory is no older copy
	Bounds   limits.Control
}

// Node is one agent's part in the cluster. It is safe for concurrent use.
type Node struct {
	*quotastore.Store
	bounds    limits.Control
	transport *transport.Transport
	members   *membership.List
	events    *eventFeed
}

// Open opens the listening address and the files of the quota store. Nothing is answered before Run, which also closes
// them.
func Open(config Config) (*Node, error) {
	listen := config.Spec.Host(config.Host).PeerAddress
	if listen == "" {
		listen = loopbackAddress
	}
	addresses, hosts := peers(config.Spec)
	events := newEventFeed()
	agents, err := transport.Listen(config.Host, listen, addresses, config.Bounds)
	if err != nil {
		return nil, fmt.Errorf("listen for other agents: %w", err)
	}
	store, err := openStore(config, agents, events.add)
	if err != nil {
		agents.Close()
		return nil, err
	}
	members := membership.New(membership.Config{
		Host:        config.Host,
		Incarnation: uint64(time.Now().UnixMicro()),
		Hosts:       hosts,
		Transport:   agents,
		Bounds:      config.Bounds,
		Clock:       process.Now,
		OnChange:    func(member membership.Member) { events.add(memberEvent(member)) },
	})
	return &Node{
		Store:     store,
		bounds:    config.Bounds,
		transport: agents,
		members:   members,
		events:    events,
	}, nil
}

// memberEvent returns the event for a change of another agent's state.
func memberEvent(member membership.Member) quota.Event {
	return quota.Event{Name: member.Host, Kind: "agent " + string(member.State)}
}

func openStore(config Config, agents *transport.Transport, onEvent func(quota.Event)) (*quotastore.Store, error) {
	store, err := quotastore.Open(quotastore.Config{
		Host:      config.Host,
		Members:   config.Spec.QuotaHosts,
		Dir:       filepath.Join(config.Dir, storeDirectory),
		TrustDir:  config.TrustDir,
		Transport: agents,
		Bounds:    config.Bounds,
		Clock:     process.Now,
		OnEvent:   onEvent,
	})
	if err != nil {
		return nil, err
	}
	store.SetConfig(config.Spec.Quotas, config.Spec.QuotaHosts)
	return store, nil
}

// peers returns the addresses of all agents by host, and the hosts in the order of the fleet's file.
func peers(spec *fleet.Spec) (addresses map[string]string, hosts []string) {
	addresses = map[string]string{}
	for _, host := range spec.Hosts {
		addresses[host.Name] = host.PeerAddress
		hosts = append(hosts, host.Name)
	}
	return addresses, hosts
}

// Run takes part in the cluster until ctx ends, and returns once all that it started has ended. If one part fails the
// others go on until then.
func (n *Node) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	n.RegisterHandlers(mux)
	server := n.server(mux)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = n.transport.Run(ctx) }) // ends with ctx alone, without an error
	tasks.Go(func() { _ = server.Serve(n.transport.Listener(transport.KindCall)) })
	var membersErr error
	tasks.Go(func() { membersErr = n.members.Run(ctx) })
	storeErr := n.Store.Run(ctx)
	tasks.Wait()
	return errors.Join(storeErr, membersErr)
}

// server returns the server for calls of other agents. It is closed when ctx ends, or with its listener.
func (n *Node) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: n.bounds.CallTimeout,
		ReadTimeout:       readCallTimeouts * n.bounds.CallTimeout,
		WriteTimeout:      writeCallTimeouts * n.bounds.CallTimeout,
		IdleTimeout:       n.bounds.IdleTimeout,
		MaxHeaderBytes:    n.bounds.MessageSize,
	}
}

// UpdateAddresses replaces the addresses of other agents by those of another fleet file.
func (n *Node) UpdateAddresses(spec *fleet.Spec) {
	addresses, _ := peers(spec)
	n.transport.SetAddresses(addresses)
}

// Members returns all agents with the states in which this one sees them.
func (n *Node) Members() []membership.Member { return n.members.Members() }

// Events returns the events for the agent's history.
func (n *Node) Events() <-chan quota.Event { return n.events.events }
