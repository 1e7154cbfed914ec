// Package registry is a fake of the platform's endpoint registry for fault-injection trials. Depending on its phase it
// accepts load reports, rejects them, does not respond, or is down; it collapses when too many calls are open at once.
// It records every call.
//
// Invariants:
//   - Every call that has ended since Begin is recorded once, up to maxCalls (TestEachCallSinceBeginIsRecorded).
//   - A collapsed registry accepts no report until its recovery time has passed (TestTooManyOpenCallsCollapseRegistry).
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
	phasesStart    time.Time  // zero: behaves as at the start of the first phase
	observations   Observations
	openCalls      int
	openConns      int
	collapsedUntil time.Time // zero: has not collapsed
	server         *http.Server
	random         *rand.Rand // decides which reports a phase of mode RejectsHalf rejects
}

// Observations holds what the registry observed since its phases began.
type Observations struct {
	Calls          []coldstart.Call // the first maxCalls, in the order of their ends
	MaxConnections int              // highest number of open connections
	Collapses      int              // number of collapses
}

const (
	maxCalls      int           = 1_000_000 // recorded
	maxBody       int64         = 1 << 10   // bytes read of a report
	readTimeout   time.Duration = 5 * time.Second
	reopenBackoff time.Duration = 10 * time.Millisecond
	rejectOneIn   int           = 2 // reports, in a phase of mode RejectsHalf
)

// Seeds of the random rejections.
const (
	randomSeed   uint64 = 1
	randomStream uint64 = 2
)

// deregistrationReport is the body of the report with which a backend deregisters.
const deregistrationReport string = `{"duty":"off"}`

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
	phasesStart := time.Now()
	r.resetObservations(phasesStart)
	for _, phase := range r.behavior.Phases {
		if phase.Mode != coldstart.Down {
			continue
		}
		time.AfterFunc(time.Until(phasesStart.Add(phase.From)), r.closeServer)
		time.AfterFunc(time.Until(phasesStart.Add(r.behavior.Until(phase.From))), r.reopen)
	}
}

// resetObservations discards the observations and sets the start of the phases.
func (r *Registry) resetObservations(phasesStart time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phasesStart = phasesStart
	r.observations = Observations{MaxConnections: r.openConns}
}

// reopen listens again after a phase of mode Down. It retries, as the port may still be in use.
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
	collapsed bool // whether the connection is closed without a response
	rejected  bool
}

// beginCall counts a call and decides how to respond, by the phase and the number of open calls.
func (r *Registry) beginCall(name string) (coldstart.Call, response) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	phasesStart := r.phasesStart
	if phasesStart.IsZero() {
		phasesStart = now
	}
	sinceStart := now.Sub(phasesStart)
	phase := r.behavior.At(sinceStart)
	reply := response{
		phase:     phase,
		collapsed: now.Before(r.collapsedUntil),
		rejected:  r.rejects(phase.Mode),
	}
	r.openCalls++
	overloaded := r.behavior.MaxOpenCalls > 0 && r.openCalls > r.behavior.MaxOpenCalls
	if overloaded && !reply.collapsed {
		r.observations.Collapses++
		r.collapsedUntil = now.Add(r.behavior.RecoveryTime)
		reply.collapsed = true
	}
	return coldstart.Call{Name: name, At: sinceStart}, reply
}

// rejects decides whether to reject a report in a mode. The caller holds mu.
func (r *Registry) rejects(mode coldstart.Mode) bool {
	if mode == coldstart.RejectsHalf {
		return r.random.IntN(rejectOneIn) == 0
	}
	return mode == coldstart.Rejects
}

// endCall records a call that has ended.
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
	call.Deregisters = string(body) == deregistrationReport
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
	call.Accepted = true
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
