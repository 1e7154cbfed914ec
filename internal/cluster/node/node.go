// Package node is one agent's part in what the agents of a fleet share: it opens the transport, the quota store and the
// membership, runs them and ends them together. It decides nothing.
package node

import (
	"context"
	"errors"
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

// soleAddress is where an agent listens that has no address for others, as it is the only one.
const soleAddress = "127.0.0.1:0"

// Config is what a Node is opened with.
type Config struct {
	Spec     *fleet.Spec // with quotas
	Host     string
	Dir      string // the agent's own
	TrustDir bool   // an operator says that the directory is no older copy
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
	n := &Node{bounds: config.Bounds, events: newEventFeed()}
	listen := config.Spec.Host(config.Host).PeerAddress
	if listen == "" {
		listen = soleAddress
	}
	addresses, hosts := peers(config.Spec)
	var err error
	if n.transport, err = transport.Listen(config.Host, listen, addresses, config.Bounds); err != nil {
		return nil, err
	}
	if n.Store, err = openStore(config, n.transport, n.events.add); err != nil {
		n.transport.Close()
		return nil, err
	}
	n.members = membership.New(membership.Config{
		Host: config.Host, Incarnation: uint64(time.Now().UnixMicro()), Hosts: hosts, Transport: n.transport, Bounds: config.Bounds,
		Clock:    process.Now,
		OnChange: func(m membership.Member) { n.events.add(quota.Event{Name: m.Host, Kind: "agent " + string(m.State)}) },
	})
	return n, nil
}

func openStore(config Config, t *transport.Transport, onEvent func(quota.Event)) (*quotastore.Store, error) {
	s, err := quotastore.Open(quotastore.Config{
		Host: config.Host, Members: config.Spec.QuotaHosts, Dir: filepath.Join(config.Dir, "ledger"), TrustDir: config.TrustDir,
		Transport: t, Bounds: config.Bounds, Clock: process.Now, OnEvent: onEvent,
	})
	if err != nil {
		return nil, err
	}
	s.SetConfig(config.Spec.Quotas, config.Spec.QuotaHosts)
	return s, nil
}

// peers lists the addresses of all agents by host, and the hosts in the order of the fleet's file.
func peers(spec *fleet.Spec) (addresses map[string]string, hosts []string) {
	addresses = map[string]string{}
	for _, h := range spec.Hosts {
		addresses[h.Name] = h.PeerAddress
		hosts = append(hosts, h.Name)
	}
	return addresses, hosts
}

// Run takes part until ctx ends, and returns when all that it started has ended. Where one part fails the others go on
// until then.
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

// server answers the calls of other agents. It is closed with ctx, or with the listener as the transport ends.
func (n *Node) server(handler http.Handler) *http.Server {
	call := n.bounds.CallTimeout
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: call, ReadTimeout: 2 * call, WriteTimeout: 4 * call, IdleTimeout: n.bounds.IdleTimeout,
		MaxHeaderBytes: n.bounds.MessageSize,
	}
}

// UpdateAddresses takes the addresses of another configuration.
func (n *Node) UpdateAddresses(spec *fleet.Spec) {
	addresses, _ := peers(spec)
	n.transport.SetAddresses(addresses)
}

// Members lists all agents as this one judges them.
func (n *Node) Members() []membership.Member { return n.members.Members() }

// Events are for the agent's history.
func (n *Node) Events() <-chan quota.Event { return n.events.events }
