// Package admin implements the admin socket of one instance: HTTP on a Unix socket. It serves the instance's state, and
// receives shutdown notices, overrides of the degradation level and quota leases from the supervisor and the agent on
// the same host. It is disabled unless configured, and is not involved in handling invocations.
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
	"milletbarrow/internal/process"
)

// Errors that Listen returns, wrapped with the socket's path.
var (
	ErrSocketInUse = errors.New("socket is in use by another process")
	ErrNotSocket   = errors.New("file exists and is not a socket")
)

// socketMode is the file mode of the socket: only the user of the process may connect.
const socketMode = 0o600

// Instance has the functions of the backend that handle the calls. None of them may block.
type Instance struct {
	State        func() State
	Drain        func(ago time.Duration) // called for each notice, with the time since the first notice
	Override     func(Override) error
	QuotaRequest func() (request quota.LeaseRequest, ok bool) // ok is false if no fleet-wide quota is configured
	ApplyLease   func(quota.LeaseResponse) error
}

// Serve serves the socket at path until ctx is done, and then returns nil. Any error is from Listen or from accepting
// connections.
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

// handler returns the HTTP handler that routes the calls to the instance.
func handler(bounds limits.Control, instance Instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, instance.State())
	})
	mux.HandleFunc("POST "+drainPath, handleMessage(bounds, http.StatusBadRequest, func(notice Notice) error {
		ago, err := notice.sinceFirst(process.Now())
		if err != nil {
			return err
		}
		instance.Drain(ago)
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

// writeJSON writes a message as the JSON body of a response.
func writeJSON(w http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // the client may have disconnected
}

// handleMessage returns a handler that decodes the message of a request and passes it to apply. The status of the
// response is 202, or errorStatus if the message is not valid JSON or apply returns an error.
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

// Listen opens a Unix socket to which only this user may connect. It replaces a stale socket that a killed process has
// left behind. It returns ErrSocketInUse if a process still accepts connections there, and ErrNotSocket if path is
// another type of file.
func Listen(ctx context.Context, path string) (net.Listener, error) {
	// With a canceled ctx, the attempt to connect would fail, and a socket in use would be taken for a stale one.
	ctx = context.WithoutCancel(ctx)
	var dialer net.Dialer
	if conn, err := dialer.DialContext(ctx, "unix", path); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%s: %w", path, ErrSocketInUse)
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("%s: %w", path, ErrNotSocket)
	}
	_ = os.Remove(path) // the file may not exist
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
