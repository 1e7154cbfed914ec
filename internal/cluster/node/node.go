// Package node is one agent's part in what the agents of a fleet keep together: it opens the listener, the ledger and the
// list of members, and ends them together. It decides nothing.
package node

import (
	"context"
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

// Config is what a Node is opened with.
type Config struct {
	Spec     *fleet.Spec // with budgets
	Host     string
	Dir      string // the agent's own
	TrustDir bool   // an operator says that the directory is no older copy
	Bounds   limits.Control
}

// Node is one agent's part in the cluster.
type Node struct {
	*quotastore.Store
	config    Config
	transport *transport.Transport
	members   *membership.List
	events    chan quota.Event

	mu          sync.Mutex
	lastEmitted map[string]time.Time // by budget and event: when one was last told
}

// quietFor is between two notes of the same kind: a division moves with every count of demand.
const minEventInterval = 2 * time.Second

func addresses(s *fleet.Spec) (to map[string]string, hosts []string) {
	to = map[string]string{}
	for _, h := range s.Hosts {
		to[h.Name] = h.PeerAddress
		hosts = append(hosts, h.Name)
	}
	return to, hosts
}

// Open opens the listener and the files.
func Open(o Config) (*Node, error) {
	j := &Node{config: o, events: make(chan quota.Event, 256), lastEmitted: map[string]time.Time{}}
	to, hosts := addresses(o.Spec)
	listen := o.Spec.Host(o.Host).PeerAddress
	if listen == "" {
		listen = "127.0.0.1:0" // alone: nobody speaks to it
	}
	var err error
	if j.transport, err = transport.Listen(o.Host, listen, to, o.Bounds); err != nil {
		return nil, err
	}
	j.Store, err = quotastore.Open(quotastore.Config{
		Host: o.Host, Members: o.Spec.QuotaHosts, Dir: filepath.Join(o.Dir, "ledger"), TrustDir: o.TrustDir, Transport: j.transport, Bounds: o.Bounds,
		Clock: func() quota.Micros { return quota.Micros(process.Now()) }, OnEvent: j.emit,
	})
	if err != nil {
		return nil, err
	}
	j.SetConfig(o.Spec.Quotas, o.Spec.QuotaHosts)
	j.members, err = membership.Start(membership.Config{
		Host: o.Host, Incarnation: uint64(time.Now().UnixMicro()), Hosts: hosts, Transport: j.transport, Bounds: o.Bounds, Clock: process.Now,
		OnChange: func(s membership.Member) { j.emit(quota.Event{Name: s.Host, Kind: "agent " + string(s.State)}) },
	})
	return j, err
}

// Run takes part until ctx ends.
func (j *Node) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	j.RegisterHandlers(mux)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: j.config.Bounds.CallTimeout, ReadTimeout: 2 * j.config.Bounds.CallTimeout, WriteTimeout: 4 * j.config.Bounds.CallTimeout,
		IdleTimeout: j.config.Bounds.IdleTimeout, MaxHeaderBytes: j.config.Bounds.MessageSize,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { _ = j.transport.Run(ctx) })
	all.Go(func() { j.members.Run(ctx) })
	all.Go(func() { _ = server.Serve(j.transport.Listener(transport.KindCall)) })
	return j.Store.Run(ctx)
}

// UpdateAddresses takes the addresses of another configuration.
func (j *Node) UpdateAddresses(s *fleet.Spec) {
	to, _ := addresses(s)
	j.transport.SetAddresses(to)
}

// Members as this agent judges them.
func (j *Node) Members() []membership.Member { return j.members.Members() }

// Events are for the history.
func (j *Node) Events() <-chan quota.Event { return j.events }

func (j *Node) emit(n quota.Event) {
	j.mu.Lock()
	key := n.Limit + " " + n.Name + " " + n.Kind
	now := time.Now()
	if len(j.lastEmitted) > 10_000 {
		clear(j.lastEmitted)
	}
	told := now.Sub(j.lastEmitted[key]) < minEventInterval
	if !told {
		j.lastEmitted[key] = now
	}
	j.mu.Unlock()
	if told {
		return
	}
	select {
	case j.events <- n:
	default: // a history that is not read holds up nobody
	}
}
