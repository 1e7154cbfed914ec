// Package admin is the admin socket of one instance: it serves the instance's state, and takes shutdown notices, overrides of
// the degradation level and quota leases from the supervisor and the agent on the same host. It is a Unix socket, off unless
// configured, and never touches an invocation.
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
	"milletbarrow/internal/limits"
)

// Errors of Listen; the error wraps one of them after the socket's path.
var (
	ErrSocketInUse = errors.New("somebody answers there already")
	ErrNotSocket   = errors.New("is there and no socket")
)

// socketMode lets only the user of the process connect.
const socketMode = 0o600

// Instance is the backend that a socket serves. None of its functions may block.
type Instance struct {
	State        func() State
	Drain        func(ago time.Duration) // called for each notice, with how long ago the first one was given
	Override     func(Override) error
	QuotaRequest func() (quota.LeaseRequest, bool) // false without any budget
	ApplyLease   func(quota.LeaseResponse) error
}

// Serve serves the socket at path until ctx ends. The error is that of Listen, or of the listener.
func Serve(ctx context.Context, path string, b limits.Control, instance Instance) error {
	l, err := Listen(path)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler(b, instance), ReadHeaderTimeout: b.CallTimeout, ReadTimeout: b.CallTimeout, WriteTimeout: b.CallTimeout,
		IdleTimeout: b.IdleTimeout, MaxHeaderBytes: b.MessageSize,
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

// handler routes the calls to the instance.
func handler(b limits.Control, instance Instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, instance.State())
	})
	mux.HandleFunc("POST /v1/leave", func(w http.ResponseWriter, r *http.Request) {
		var n Notice
		err := json.NewDecoder(io.LimitReader(r.Body, int64(b.MessageSize))).Decode(&n)
		if err != nil || n.Ago < 0 || n.Ago > maxAgo {
			http.Error(w, fmt.Sprintf("ago_us: %d is not from 0 to an hour: %v", n.Ago, err), http.StatusBadRequest)
			return
		}
		instance.Drain(time.Duration(n.Ago) * time.Microsecond)
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET /v1/share", func(w http.ResponseWriter, _ *http.Request) {
		request, ok := instance.QuotaRequest()
		if !ok {
			http.Error(w, "no budget is drawn from here", http.StatusNotFound)
			return
		}
		writeJSON(w, request)
	})
	handleDecoded(mux, "POST /v1/share", b, instance.ApplyLease)
	handleDecoded(mux, "POST /v1/level", b, instance.Override)
	return mux
}

// writeJSON writes a response. The caller that has gone misses it: its error is ignored.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleDecoded passes the decoded body of calls of a route to apply, and responds with its error.
func handleDecoded[T any](mux *http.ServeMux, route string, b limits.Control, apply func(T) error) {
	mux.HandleFunc(route, func(w http.ResponseWriter, r *http.Request) {
		var v T
		err := json.NewDecoder(io.LimitReader(r.Body, int64(b.MessageSize))).Decode(&v)
		if err == nil {
			err = apply(v)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
}

// Listen opens a Unix socket for this user alone. It replaces the socket of a process that was killed; ErrSocketInUse if one
// still answers there, ErrNotSocket if the path is a file of another kind.
func Listen(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		_ = c.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrSocketInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrNotSocket)
	}
	_ = os.Remove(path) // it need not exist
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		_ = l.Close()
		return nil, err
	}
	return l, nil
}
