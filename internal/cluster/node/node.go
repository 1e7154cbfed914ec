// Package node runs one agent's member of the cluster of a fleet's agents. It opens the transport, the quota store and
// the membership list, and runs and stops them together. It contains no logic of its own.
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
	// singleAgentAddress is the listening address of the only agent of a fleet, which has no configured peer address.
	singleAgentAddress = "127.0.0.1:0"
	// storeDir is the directory of the quota store within the agent's directory.
	storeDir = "ledger"

	// Time limits of handling a call from another agent, as multiples of the call timeout.
	readTimeoutFactor  = 2
	writeTimeoutFactor = 4
)

// Config is the configuration of a Node.
type Config struct {
	Spec     *fleet.Spec // with quotas
	Host     string      // of this agent
	Dir      string      // the agent's directory
	TrustDir bool        // an operator confirms that the directory is not an older copy
	Bounds   limits.Control
}

// Node is one agent's member of the cluster. It is safe for concurrent use.
type Node struct {
	*quotastore.Store
	bounds    limits.Control
	transport *transport.Transport
	members   *membership.List
	events    *eventFeed
}

// Open opens the listening address and the files of the quota store. Run serves the other agents, and closes both when
// it returns.
func Open(config Config) (*Node, error) {
	listen := config.Spec.Host(config.Host).PeerAddress
	if listen == "" {
		listen = singleAgentAddress
	}
	addresses, hosts := peers(config.Spec)
	agentTransport, err := transport.Listen(config.Host, listen, addresses, config.Bounds)
	if err != nil {
		return nil, fmt.Errorf("listen for other agents: %w", err)
	}
	events := newEventFeed()
	store, err := openStore(config, agentTransport, events.add)
	if err != nil {
		agentTransport.Close()
		return nil, err
	}
	members := membership.New(membership.Config{
		Host:        config.Host,
		Incarnation: uint64(time.Now().UnixMicro()),
		Hosts:       hosts,
		Transport:   agentTransport,
		Bounds:      config.Bounds,
		Clock:       process.Now,
		OnChange:    func(m membership.Member) { events.add(memberEvent(m)) },
	})
	return &Node{
		Store:     store,
		bounds:    config.Bounds,
		transport: agentTransport,
		members:   members,
		events:    events,
	}, nil
}

// openStore opens the quota store with the configuration of the spec.
func openStore(config Config, t *transport.Transport, onEvent func(quota.Event)) (*quotastore.Store, error) {
	store, err := quotastore.Open(quotastore.Config{
		Host:      config.Host,
		Members:   config.Spec.QuotaHosts,
		Dir:       filepath.Join(config.Dir, storeDir),
		TrustDir:  config.TrustDir,
		Transport: t,
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

// memberEvent returns the event for a change of an agent's state.
func memberEvent(m membership.Member) quota.Event {
	return quota.Event{Name: m.Host, Kind: "agent " + string(m.State)}
}

// peers returns the addresses of all agents by host, and the hosts in the order of the fleet file.
func peers(spec *fleet.Spec) (addresses map[string]string, hosts []string) {
	addresses = map[string]string{}
	for _, host := range spec.Hosts {
		addresses[host.Name] = host.PeerAddress
		hosts = append(hosts, host.Name)
	}
	return addresses, hosts
}

// Run participates in the cluster until ctx ends, and returns once everything that it started has ended. If one
// component fails, the others keep running until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	n.RegisterHandlers(mux)
	server := n.server(mux)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = n.transport.Run(ctx) }) // returns only when ctx ends, without an error
	tasks.Go(func() { _ = server.Serve(n.transport.Listener(transport.KindCall)) })
	var membersErr error
	tasks.Go(func() { membersErr = n.members.Run(ctx) })
	storeErr := n.Store.Run(ctx)
	tasks.Wait()
	return errors.Join(storeErr, membersErr)
}

// server returns the HTTP server for calls from other agents. It ends with the context of Run, or when the transport
// closes its listener.
func (n *Node) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: n.bounds.CallTimeout,
		ReadTimeout:       readTimeoutFactor * n.bounds.CallTimeout,
		WriteTimeout:      writeTimeoutFactor * n.bounds.CallTimeout,
		IdleTimeout:       n.bounds.IdleTimeout,
		MaxHeaderBytes:    n.bounds.MessageSize,
	}
}

// UpdateAddresses replaces the addresses of the other agents with those in a spec.
func (n *Node) UpdateAddresses(spec *fleet.Spec) {
	addresses, _ := peers(spec)
	n.transport.SetAddresses(addresses)
}

// Members returns the states of all agents as observed by this one.
func (n *Node) Members() []membership.Member { return n.members.Members() }

// Events returns the channel of events for the agent's history.
func (n *Node) Events() <-chan quota.Event { return n.events.events }
