// Package registry is a fake for the platform's register of backends that can be down, slow, refusing, silent, or fall
// over when too much comes at once. It writes down every call. It owns its listener; it decides nothing but what its
// phases say.
package registry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"milletbarrow/internal/faultinjection/coldstart"
)

// Registry is a running one.
type Registry struct {
	Address string
	terms   coldstart.Register

	mu     sync.Mutex
	began  time.Time // of the phases; zero: it takes all at once
	calls  []coldstart.Call
	within int // calls that are open
	conns  int
	most   int // connections that were open at once
	falls  int
	fallen time.Time // it takes nothing before
	server *http.Server
	over   chan struct{}
	draw   *rand.Rand
}

// mostCalls are written down.
const mostCalls = 1_000_000

// Start makes one listen at this address.
func Start(address string, t coldstart.Register) (*Registry, error) {
	r := &Registry{Address: address, terms: t, over: make(chan struct{}), draw: rand.New(rand.NewPCG(1, 2))}
	if err := r.open(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Registry) open() error {
	l, err := net.Listen("tcp", r.Address)
	if err != nil {
		return fmt.Errorf("register: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Address = l.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.take), ReadTimeout: 5 * time.Second, ConnState: r.state}
	go func() { _ = r.server.Serve(l) }()
	return nil
}

// state counts connections.
func (r *Registry) state(_ net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.conns++
		r.most = max(r.most, r.conns)
	case http.StateClosed, http.StateHijacked:
		r.conns--
	}
}

// Begin has the phases run from now on, and forgets the calls of before.
func (r *Registry) Begin() {
	r.mu.Lock()
	r.began, r.calls, r.most, r.falls = time.Now(), nil, r.conns, 0
	began := r.began
	r.mu.Unlock()
	for _, p := range r.terms.Phases {
		if p.Mode != coldstart.Down {
			continue
		}
		time.AfterFunc(time.Until(began.Add(p.From)), func() { r.shut() })
		time.AfterFunc(time.Until(began.Add(r.terms.Until(p.From))), func() {
			for r.ended() || r.open() != nil { // its address is of a net where nobody's calls begin; still, ports may linger
				select {
				case <-r.over:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
}

func (r *Registry) ended() bool {
	select {
	case <-r.over:
		return true
	default:
		return false
	}
}

// shut closes the door and all connections.
func (r *Registry) shut() {
	r.mu.Lock()
	s := r.server
	r.mu.Unlock()
	_ = s.Close()
}

// take answers one report as the phase has it.
func (r *Registry) take(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(q.Body, 1<<10))
	now := time.Now()
	r.mu.Lock()
	began := r.began
	if began.IsZero() {
		began = now
	}
	p := r.terms.At(now.Sub(began))
	c := coldstart.Call{Name: filepath.Base(q.URL.Path), At: now.Sub(began)}
	refuses := p.Mode == coldstart.Refuses || p.Mode == coldstart.Half && r.draw.IntN(2) == 0
	silent := p.Mode == coldstart.Silent
	broken := now.Before(r.fallen)
	if r.within++; r.terms.Crowd > 0 && r.within > r.terms.Crowd && !broken {
		r.falls++
		r.fallen, broken = now.Add(r.terms.Needs), true
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.within--
		if c.Off = string(body) == `{"duty":"off"}`; len(r.calls) < mostCalls {
			r.calls = append(r.calls, c)
		}
	}()
	switch {
	case broken:
		panic(http.ErrAbortHandler)
	case silent:
		select {
		case <-q.Context().Done():
		case <-r.over:
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(p.Takes):
	case <-q.Context().Done():
		return
	}
	if refuses {
		if p.Advice > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(p.Advice/time.Second)))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.Counted = true
	w.WriteHeader(http.StatusNoContent)
}

// Heard is what came since Begin: calls by their time, the most connections at once, and how often it fell over.
func (r *Registry) Heard() (calls []coldstart.Call, conns, falls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(calls, r.calls...), r.most, r.falls
}

// Close ends it.
func (r *Registry) Close() error {
	close(r.over)
	r.mu.Lock()
	s := r.server
	r.mu.Unlock()
	return s.Close()
}
