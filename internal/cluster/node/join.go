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

// Options are what it is opened with.
type Options struct {
	Spec   *fleet.Spec // with budgets
	Host   string
	Dir    string // the agent's own
	Trust  bool   // an operator says that the directory is no older copy
	Bounds limits.Control
}

// Joined is an agent's part.
type Joined struct {
	*quotastore.Node
	o     Options
	net   *transport.Net
	list  *membership.List
	notes chan quota.Note

	mu    sync.Mutex
	quiet map[string]time.Time // by budget and event: when one was last told
}

// quietFor is between two notes of the same kind: a division moves with every count of demand.
const quietFor = 2 * time.Second

func addresses(s *fleet.Spec) (to map[string]string, hosts []string) {
	to = map[string]string{}
	for _, h := range s.Hosts {
		to[h.Name] = h.PeerAddress
		hosts = append(hosts, h.Name)
	}
	return to, hosts
}

// Open opens the listener and the files.
func Open(o Options) (*Joined, error) {
	j := &Joined{o: o, notes: make(chan quota.Note, 256), quiet: map[string]time.Time{}}
	to, hosts := addresses(o.Spec)
	listen := o.Spec.Host(o.Host).PeerAddress
	if listen == "" {
		listen = "127.0.0.1:0" // alone: nobody speaks to it
	}
	var err error
	if j.net, err = transport.Listen(o.Host, listen, to, o.Bounds); err != nil {
		return nil, err
	}
	j.Node, err = quotastore.Open(quotastore.Options{
		Host: o.Host, Members: o.Spec.QuotaHosts, Dir: filepath.Join(o.Dir, "ledger"), Trust: o.Trust, Net: j.net, Bounds: o.Bounds,
		Clock: func() quota.Micros { return quota.Micros(process.Now()) }, Note: j.note,
	})
	if err != nil {
		return nil, err
	}
	j.Node.Use(o.Spec.Quotas, o.Spec.QuotaHosts)
	j.list, err = membership.Start(membership.Options{
		Host: o.Host, Incarnation: uint64(time.Now().UnixMicro()), Hosts: hosts, Net: j.net, Bounds: o.Bounds, Clock: process.Now,
		Changed: func(s membership.Seen) { j.note(quota.Note{Name: s.Host, Event: "agent " + string(s.State)}) },
	})
	return j, err
}

// Run takes part until ctx ends.
func (j *Joined) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	j.Node.Handle(mux)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: j.o.Bounds.Call, ReadTimeout: 2 * j.o.Bounds.Call, WriteTimeout: 4 * j.o.Bounds.Call,
		IdleTimeout: j.o.Bounds.Idle, MaxHeaderBytes: j.o.Bounds.Message,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { j.net.Run(ctx) })
	all.Go(func() { j.list.Run(ctx) })
	all.Go(func() { server.Serve(j.net.Listener(transport.Call)) })
	return j.Node.Run(ctx)
}

// Move takes the addresses of another file.
func (j *Joined) Move(s *fleet.Spec) {
	to, _ := addresses(s)
	j.net.Move(to)
}

// Members as this agent judges them.
func (j *Joined) Members() []membership.Seen { return j.list.View() }

// Notes for the history.
func (j *Joined) Notes() <-chan quota.Note { return j.notes }

func (j *Joined) note(n quota.Note) {
	j.mu.Lock()
	key := n.Budget + " " + n.Name + " " + n.Event
	now := time.Now()
	if len(j.quiet) > 10_000 {
		clear(j.quiet)
	}
	told := now.Sub(j.quiet[key]) < quietFor
	if !told {
		j.quiet[key] = now
	}
	j.mu.Unlock()
	if told {
		return
	}
	select {
	case j.notes <- n:
	default: // a history that is not read holds up nobody
	}
}
