// Package admin is the socket on which one instance tells its state and hears a second notice to leave, for the
// keeper beside it. It is off unless asked for, is a Unix socket, and never touches an invocation.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// Version of the interface; it is the first part of every path.
const Version = 1

// State is what an instance says of itself. Times are microseconds of proc.Now's clock.
type State struct {
	Version        int    `json:"version"`
	Name           string `json:"name"`
	PID            int    `json:"pid"`
	Build          string `json:"build"`
	Config         string `json:"config"`               // hash of the configuration that was read at the start
	StartedAt      int64  `json:"since_us"`             // when it started
	Ready          bool   `json:"ready"`                // health checks are answered with good
	Draining       bool   `json:"draining"`             // it has heard the notice
	GraceEnds      int64  `json:"grace_ends,omitempty"` // what arrives later does not run
	StopBy         int64  `json:"stop_by,omitempty"`    // it has ended by then
	Connections    int    `json:"connections"`
	ServerInFlight int    `json:"carried"`
	InFlight       int    `json:"in_hand"`
	Arrived        int    `json:"picked"` // counts since the start
	Started        int    `json:"run"`
	Throttled      int    `json:"throttled"`
	Errored        int    `json:"errored"`
	Abandoned      int    `json:"left"`
	Panics         int    `json:"faults"`

	DegradationPolicy string   `json:"ladder,omitempty"` // of levels of reduced service, if there is one
	Level             string   `json:"level,omitempty"`  // in force; full: nothing is shed
	Depth             float64  `json:"depth,omitempty"`  // how much of it, 0 to 1
	Shed              int      `json:"shed,omitempty"`   // invocations since the start
	Changes           []string `json:"changes,omitempty"`
	SignalsAt         int64    `json:"clock_us,omitempty"` // of the signals
	Signals           string   `json:"signals,omitempty"`  // the latest, as a line of a trace has them

	ShadowCounts map[string]int `json:"watched,omitempty"` // by kind, where watched settings would have decided otherwise

	Quotas []quota.Status `json:"shares,omitempty"` // of fleet-wide budgets
}

// Pin holds a level of reduced service; an empty level lets the signals decide again.
type Override struct {
	Level       string `json:"level"`
	Duration    int64  `json:"for_us"`
	By          string `json:"by"`
	AllowHigher bool   `json:"above"` // the signals may go above it
}

// Notice asks an instance to leave. Ago is how long ago it was first told, in microseconds, 0 to one hour.
type Notice struct {
	Ago int64 `json:"ago_us"`
}

const maxAgo = int64(time.Hour / time.Microsecond)

// Instance is what answers on the socket. None of it may block.
type Instance struct {
	State        func() State
	Drain        func(ago time.Duration) // each notice
	Override     func(Override) error
	QuotaRequest func() (quota.LeaseRequest, bool) // what the instance would have of the fleet's budgets; false without any
	ApplyLease   func(quota.LeaseResponse) error
}

// Serve answers on the socket at path until ctx ends.
func Serve(ctx context.Context, path string, b limits.Control, in Instance) error {
	l, err := Listen(path)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(in.State())
	})
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, r *http.Request) {
		var n Notice
		err := json.NewDecoder(io.LimitReader(r.Body, int64(b.MessageSize))).Decode(&n)
		if err != nil || n.Ago < 0 || n.Ago > maxAgo {
			http.Error(w, fmt.Sprintf("ago_us: %d is not from 0 to an hour: %v", n.Ago, err), http.StatusBadRequest)
			return
		}
		in.Drain(time.Duration(n.Ago) * time.Microsecond)
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET /v1/share", func(w http.ResponseWriter, _ *http.Request) {
		a, ok := in.QuotaRequest()
		if !ok {
			http.Error(w, "no budget is drawn from here", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	})
	handleDecoded(mux, "POST /v1/share", b, in.ApplyLease)
	handleDecoded(mux, "POST /v1/level", b, in.Override)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: b.CallTimeout, ReadTimeout: b.CallTimeout, WriteTimeout: b.CallTimeout, IdleTimeout: b.IdleTimeout,
		MaxHeaderBytes: b.MessageSize,
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(limits.LimitListener(l, b.Connections)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// takes hands what comes at a path on, and answers with what was wrong with it.
func handleDecoded[T any](mux *http.ServeMux, at string, b limits.Control, take func(T) error) {
	mux.HandleFunc(at, func(w http.ResponseWriter, r *http.Request) {
		var v T
		err := json.NewDecoder(io.LimitReader(r.Body, int64(b.MessageSize))).Decode(&v)
		if err == nil {
			err = take(v)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
}

// Listen opens a Unix socket for this user alone, over what a process that was killed left there.
func Listen(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("%s: somebody answers there already", path)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("%s: is there and no socket", path)
	}
	_ = os.Remove(path)
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}

// Client speaks to an instance's socket.
type Client struct {
	client *http.Client
	bounds limits.Control
}

// NewClient is one for the socket at path.
func NewClient(path string, b limits.Control) *Client {
	return &Client{jsonhttp.Client("unix:"+path, b), b}
}

// State asks for the state.
func (p *Client) State(ctx context.Context) (s State, err error) {
	return s, jsonhttp.Call(ctx, p.client, http.MethodGet, "/v1/state", nil, &s, int64(p.bounds.MessageSize))
}

// Leave tells the instance to leave, as it was first told so long ago.
func (p *Client) Drain(ctx context.Context, ago time.Duration) error {
	return jsonhttp.Call(ctx, p.client, http.MethodPost, "/v1/leave", Notice{Ago: ago.Microseconds()}, nil, 0)
}

// Pin holds a level.
func (p *Client) Override(ctx context.Context, pin Override) error {
	return jsonhttp.Call(ctx, p.client, http.MethodPost, "/v1/level", pin, nil, 0)
}

// Ask has the instance say what it would have of the fleet's budgets. A lease counts from the moment it says so.
func (p *Client) QuotaRequest(ctx context.Context) (a quota.LeaseRequest, err error) {
	return a, jsonhttp.Call(ctx, p.client, http.MethodGet, "/v1/share", nil, &a, int64(p.bounds.MessageSize))
}

// Answer tells the instance what it has.
func (p *Client) ApplyLease(ctx context.Context, a quota.LeaseResponse) error {
	return jsonhttp.Call(ctx, p.client, http.MethodPost, "/v1/share", a, nil, 0)
}

// Close lets go of kept connections.
func (p *Client) Close() { p.client.CloseIdleConnections() }
