// Package admin is the admin socket of one instance. It serves the instance's state, and receives shutdown notices,
// overrides of the degradation level and quota leases from the supervisor and the agent on the same host. It is a Unix
// socket, off unless configured, and takes no part in handling invocations.
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

// Errors of Listen, which wraps them with the socket's path.
var (
	ErrSocketInUse = errors.New("socket is in use by another process")
	ErrNotSocket   = errors.New("file exists and is not a socket")
)

// socketMode lets only the user of the process connect.
const socketMode = 0o600

// Instance is the backend that a socket serves. None of its functions may block.
type Instance struct {
	State        func() State
	Drain        func(ago time.Duration) // called for each notice, with the time since the first one
	Override     func(Override) error
	QuotaRequest func() (request quota.LeaseRequest, ok bool) // ok is false without fleet-wide quotas
	ApplyLease   func(quota.LeaseResponse) error
}

// Serve serves the socket at path until ctx ends. It returns an error of Listen or of the listener.
func Serve(ctx context.Context, path string, bounds limits.Control, instance Instance) error {
	listener, err := Listen(ctx, path)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler(bounds, instance),
		ReadHeaderTimeout: bounds.CallTimeout,
		ReadTimeout:       bounds.CallTimeout,
		WriteTimeout:      bounds.CallTimeout,
		IdleTimeout:       bounds.IdleTimeout,
		MaxHeaderBytes:    bounds.MessageSize,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(limits.LimitListener(listener, bounds.Connections))
	if !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", path, err)
	}
	return nil
}

// handler routes the calls to the instance.
func handler(bounds limits.Control, instance Instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, instance.State())
	})
	mux.HandleFunc("POST "+drainPath, handleMessage(bounds, http.StatusBadRequest, func(notice Notice) error {
		if notice.Ago < 0 || notice.Ago > maxAgo {
			return fmt.Errorf("ago_us: %d is outside the range 0 to %d", notice.Ago, maxAgo)
		}
		instance.Drain(time.Duration(notice.Ago) * time.Microsecond)
		return nil
	}))
	mux.HandleFunc("POST "+overridePath, handleMessage(bounds, http.StatusUnprocessableEntity, instance.Override))
	mux.HandleFunc("GET "+quotaPath, func(w http.ResponseWriter, _ *http.Request) {
		request, ok := instance.QuotaRequest()
		if !ok {
			http.Error(w, "no fleet-wide quota is configured", http.StatusNotFound)
			return
		}
		writeJSON(w, request)
	})
	mux.HandleFunc("POST "+quotaPath, handleMessage(bounds, http.StatusUnprocessableEntity, instance.ApplyLease))
	return mux
}

// writeJSON writes a response with a message.
func writeJSON(w http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // the caller may have gone
}

// handleMessage returns a handler that decodes the message of a call and passes it to apply. The status of a response
// is 202, or errorStatus if the message is not JSON or apply refuses it.
func handleMessage[T any](bounds limits.Control, errorStatus int, apply func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message T
		err := json.NewDecoder(io.LimitReader(r.Body, int64(bounds.MessageSize))).Decode(&message)
		if err == nil {
			err = apply(message)
		}
		if err != nil {
			http.Error(w, err.Error(), errorStatus)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	}
}

// Listen opens a Unix socket to which only this user may connect. It replaces the socket of a process that was
// killed. It returns ErrSocketInUse if a process still accepts connections there, ErrNotSocket if path is a file of
// another kind.
func Listen(ctx context.Context, path string) (net.Listener, error) {
	// A cancelled attempt to connect must not be taken for a socket that nobody accepts connections on.
	ctx = context.WithoutCancel(ctx)
	var dialer net.Dialer
	if conn, err := dialer.DialContext(ctx, "unix", path); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrSocketInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrNotSocket)
	}
	_ = os.Remove(path) // it may not exist
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return listener, nil
}
