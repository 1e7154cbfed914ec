// Package registry is a fake of the platform's endpoint registry that can be down, slow, refusing, silent, or fall
// over when too many calls come at once. It records every call. It owns its listener; it decides nothing but what its
// phases say.
package registry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"milletbarrow/internal/faultinjection/coldstart"
)

// Registry is a running fake. Its methods may be called by several goroutines.
type Registry struct {
	Address  string // host:port it listens at
	behavior coldstart.RegistryBehavior

	mu           sync.Mutex
	began        time.Time // of the phases; zero: it behaves as in the first instant
	observations Observations
	openCalls    int
	openConns    int
	fallenUntil  time.Time
	server       *http.Server
	closed       chan struct{}
	random       *rand.Rand
}

// Observations are what the registry saw since its phases began.
type Observations struct {
	Calls          []coldstart.Call // in the order of their ends, the first maxCalls
	MaxConnections int              // open at once
	Falls          int              // times that it fell over
}

const (
	// maxCalls is how many calls are recorded.
	maxCalls = 1_000_000
	// maxBody is how many bytes of a report are read.
	maxBody = 1 << 10
	// readTimeout is for one request.
	readTimeout = 5 * time.Second
	// reopenPause is between two attempts to listen again.
	reopenPause = 10 * time.Millisecond
)

// offReport is the body of a report by which a backend leaves.
const offReport = `{"duty":"off"}`

// Start makes one listen at this address.
func Start(address string, behavior coldstart.RegistryBehavior) (*Registry, error) {
	r := &Registry{
		Address:  address,
		behavior: behavior,
		closed:   make(chan struct{}),
		random:   rand.New(rand.NewPCG(1, 2)),
	}
	l, err := r.listen()
	if err != nil {
		return nil, err
	}
	r.Address = l.Addr().String()
	r.serveOn(l)
	return r, nil
}

func (r *Registry) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", r.Address)
	if err != nil {
		return nil, fmt.Errorf("register: %w", err)
	}
	return l, nil
}

// serveOn serves on a listener until the server is closed.
func (r *Registry) serveOn(l net.Listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadTimeout: readTimeout, ConnState: r.countConnection}
	server := r.server
	go func() { _ = server.Serve(l) }()
}

// countConnection is the server's hook for the states of connections.
func (r *Registry) countConnection(_ net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.openConns++
		r.observations.MaxConnections = max(r.observations.MaxConnections, r.openConns)
	case http.StateClosed, http.StateHijacked:
		r.openConns--
	}
}

// Begin has the phases run from now on, and forgets what was observed before.
func (r *Registry) Begin() {
	r.mu.Lock()
	r.began, r.observations = time.Now(), Observations{MaxConnections: r.openConns}
	began := r.began
	r.mu.Unlock()
	for _, p := range r.behavior.Phases {
		if p.Mode != coldstart.Down {
			continue
		}
		time.AfterFunc(time.Until(began.Add(p.From)), r.shut)
		time.AfterFunc(time.Until(began.Add(r.behavior.Until(p.From))), r.reopen)
	}
}

// reopen listens again. Nobody's calls begin at its address, but a port may linger.
func (r *Registry) reopen() {
	for !r.isClosed() {
		l, err := r.listen()
		if err == nil {
			r.serveOn(l)
			return
		}
		select {
		case <-r.closed:
		case <-time.After(reopenPause):
		}
	}
}

func (r *Registry) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// shut closes the listener and all connections.
func (r *Registry) shut() {
	r.mu.Lock()
	s := r.server
	r.mu.Unlock()
	_ = s.Close()
}

// answer is what becomes of one call.
type answer struct {
	phase  coldstart.Phase
	broken bool // it has fallen over
	refuse bool
}

// begin counts a call and decides by the phase what becomes of it.
func (r *Registry) begin(name string) (coldstart.Call, answer) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	began := r.began
	if began.IsZero() {
		began = now
	}
	sinceBegin := now.Sub(began)
	phase := r.behavior.At(sinceBegin)
	a := answer{
		phase:  phase,
		broken: now.Before(r.fallenUntil),
		refuse: phase.Mode == coldstart.Refuses || phase.Mode == coldstart.Half && r.random.IntN(2) == 0,
	}
	r.openCalls++
	if r.behavior.MaxOpenCalls > 0 && r.openCalls > r.behavior.MaxOpenCalls && !a.broken {
		r.observations.Falls++
		r.fallenUntil, a.broken = now.Add(r.behavior.RecoveryTime), true
	}
	return coldstart.Call{Name: name, At: sinceBegin}, a
}

// end records a call.
func (r *Registry) end(call coldstart.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openCalls--
	if len(r.observations.Calls) < maxCalls {
		r.observations.Calls = append(r.observations.Calls, call)
	}
}

// serve answers one report as the phase has it.
func (r *Registry) serve(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(request.Body, maxBody))
	call, a := r.begin(filepath.Base(request.URL.Path))
	call.Off = string(body) == offReport
	defer func() { r.end(call) }()
	if a.broken {
		panic(http.ErrAbortHandler)
	}
	if a.phase.Mode == coldstart.Silent {
		select {
		case <-request.Context().Done():
		case <-r.closed:
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(a.phase.ResponseTime):
	case <-request.Context().Done():
		return
	}
	if a.refuse {
		if a.phase.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(a.phase.RetryAfter/time.Second)))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call.Counted = true
	w.WriteHeader(http.StatusNoContent)
}

// Observed is what was observed since Begin.
func (r *Registry) Observed() Observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	observed := r.observations
	observed.Calls = slices.Clone(observed.Calls)
	return observed
}

// Close ends it.
func (r *Registry) Close() error {
	close(r.closed)
	r.mu.Lock()
	s := r.server
	r.mu.Unlock()
	return s.Close()
}
