// Package registry is a fake of the platform's endpoint registry for fault-injection trials. By its phases it accepts
// load reports, rejects them, does not respond, or is down; it collapses when too many calls are open at once. It
// records every call.
//
// Invariants:
//   - Every call that has ended since Begin is recorded once, up to maxCalls (TestAcceptsAndRejects).
//   - A collapsed registry accepts no report until its recovery time has passed (TestCollapsesUnderOpenCalls).
package registry

import (
	"context"
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

// Registry is a running fake. Its methods are safe for concurrent use.
type Registry struct {
	Address  string // host:port of the listener
	behavior coldstart.RegistryBehavior
	closed   chan struct{} // closed by Close

	mu             sync.Mutex // guards the fields below
	began          time.Time  // start of the phases; zero: behaves as at the start of the first phase
	observations   Observations
	openCalls      int
	openConns      int
	collapsedUntil time.Time // zero: has not collapsed
	server         *http.Server
	random         *rand.Rand // decides which reports a phase of mode Half rejects
}

// Observations holds what the registry observed since its phases began.
type Observations struct {
	Calls          []coldstart.Call // the first maxCalls, in the order of their ends
	MaxConnections int              // highest number of open connections
	Falls          int              // number of collapses
}

const (
	maxCalls      int           = 1_000_000 // recorded
	maxBody       int64         = 1 << 10   // bytes read of a report
	readTimeout   time.Duration = 5 * time.Second
	reopenBackoff time.Duration = 10 * time.Millisecond
	rejectOneIn   int           = 2 // reports, in a phase of mode Half
)

// Seeds of the random rejections.
const (
	randomSeed   uint64 = 1
	randomStream uint64 = 2
)

// offReport is the body of the report with which a backend leaves the registry.
const offReport string = `{"duty":"off"}`

// Start starts a registry that listens at the address and behaves as at the start of its first phase until Begin.
func Start(address string, behavior coldstart.RegistryBehavior) (*Registry, error) {
	r := &Registry{
		Address:  address,
		behavior: behavior,
		closed:   make(chan struct{}),
		random:   rand.New(rand.NewPCG(randomSeed, randomStream)),
	}
	listener, err := r.listen()
	if err != nil {
		return nil, err
	}
	r.Address = listener.Addr().String()
	r.serveOn(listener)
	return r, nil
}

func (r *Registry) listen() (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", r.Address)
	if err != nil {
		return nil, fmt.Errorf("endpoint registry: %w", err)
	}
	return listener, nil
}

// serveOn starts a server on the listener, which serves until it is closed.
func (r *Registry) serveOn(listener net.Listener) {
	server := &http.Server{
		Handler:     http.HandlerFunc(r.serve),
		ReadTimeout: readTimeout,
		ConnState:   r.countConnection,
	}
	r.mu.Lock()
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// countConnection counts open connections; the server calls it when the state of a connection changes.
func (r *Registry) countConnection(_ net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.openConns++
		r.observations.MaxConnections = max(r.observations.MaxConnections, r.openConns)
	case http.StateClosed, http.StateHijacked:
		r.openConns--
	case http.StateActive, http.StateIdle:
	}
}

// Begin starts the phases and discards earlier observations.
func (r *Registry) Begin() {
	began := time.Now()
	r.resetObservations(began)
	for _, phase := range r.behavior.Phases {
		if phase.Mode != coldstart.Down {
			continue
		}
		time.AfterFunc(time.Until(began.Add(phase.From)), r.closeServer)
		time.AfterFunc(time.Until(began.Add(r.behavior.Until(phase.From))), r.reopen)
	}
}

// resetObservations discards the observations and sets the start of the phases.
func (r *Registry) resetObservations(began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = began
	r.observations = Observations{MaxConnections: r.openConns}
}

// reopen listens again after a phase of mode Down. It retries, as the system may not release the port at once.
func (r *Registry) reopen() {
	for !r.isClosed() {
		listener, err := r.listen()
		if err == nil {
			r.serveOn(listener)
			return
		}
		select {
		case <-r.closed:
		case <-time.After(reopenBackoff):
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

// closeServer closes the listener and all connections.
func (r *Registry) closeServer() {
	_ = r.currentServer().Close()
}

func (r *Registry) currentServer() *http.Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server
}

// response is how the registry responds to one call.
type response struct {
	phase     coldstart.Phase
	collapsed bool // whether the connection is broken without a response
	rejected  bool
}

// beginCall counts a call and decides by the phase how to respond.
func (r *Registry) beginCall(name string) (coldstart.Call, response) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	began := r.began
	if began.IsZero() {
		began = now
	}
	sinceBegin := now.Sub(began)
	phase := r.behavior.At(sinceBegin)
	reply := response{
		phase:     phase,
		collapsed: now.Before(r.collapsedUntil),
		rejected:  r.rejects(phase.Mode),
	}
	r.openCalls++
	overloaded := r.behavior.MaxOpenCalls > 0 && r.openCalls > r.behavior.MaxOpenCalls
	if overloaded && !reply.collapsed {
		r.observations.Falls++
		r.collapsedUntil = now.Add(r.behavior.RecoveryTime)
		reply.collapsed = true
	}
	return coldstart.Call{Name: name, At: sinceBegin}, reply
}

// rejects decides whether a report is rejected in a mode. The caller holds mu.
func (r *Registry) rejects(mode coldstart.Mode) bool {
	if mode == coldstart.Half {
		return r.random.IntN(rejectOneIn) == 0
	}
	return mode == coldstart.Refuses
}

// endCall records a call.
func (r *Registry) endCall(call coldstart.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openCalls--
	if len(r.observations.Calls) < maxCalls {
		r.observations.Calls = append(r.observations.Calls, call)
	}
}

// serve handles one load report as the current phase prescribes.
func (r *Registry) serve(w http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(request.Body, maxBody))
	call, reply := r.beginCall(filepath.Base(request.URL.Path))
	call.Off = string(body) == offReport
	defer func() { r.endCall(call) }()
	if reply.collapsed {
		panic(http.ErrAbortHandler)
	}
	if reply.phase.Mode == coldstart.Silent {
		select {
		case <-request.Context().Done():
		case <-r.closed:
		}
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(reply.phase.ResponseTime):
	case <-request.Context().Done():
		return
	}
	if reply.rejected {
		if reply.phase.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.Itoa(int(reply.phase.RetryAfter/time.Second)))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	call.Counted = true
	w.WriteHeader(http.StatusNoContent)
}

// Observed returns the observations since Begin.
func (r *Registry) Observed() Observations {
	r.mu.Lock()
	defer r.mu.Unlock()
	observed := r.observations
	observed.Calls = slices.Clone(observed.Calls)
	return observed
}

// Close stops the registry and closes all connections.
func (r *Registry) Close() error {
	close(r.closed)
	if err := r.currentServer().Close(); err != nil {
		return fmt.Errorf("endpoint registry: %w", err)
	}
	return nil
}
