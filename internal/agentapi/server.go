package agentapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// Default and maximum number of entries in the response to a history request.
const (
	defaultHistory = 1000
	maxHistory     = 100_000
)

// maxColdStartFactor is the maximum size of a cold start request, as a multiple of limits.Control.MessageSize: the
// request may name every instance of the fleet.
const maxColdStartFactor = 4

// readTimeoutFactor is the timeout for reading a request, as a multiple of limits.Control.CallTimeout.
const readTimeoutFactor = 2

// Listen listens on an agent's address, which is unix:PATH or a loopback address with a port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	if err := fleet.CheckAddress(address); err != nil {
		return nil, err
	}
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return admin.Listen(ctx, path)
	}
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Serve serves the API on a listener until ctx ends, and closes the listener. It returns an error if the listener
// fails.
func Serve(ctx context.Context, l net.Listener, m Manager, b limits.Control) error {
	s := &server{
		manager: m,
		bounds:  b,
		streams: make(chan struct{}, b.Watchers),
		stopped: ctx.Done(),
	}
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: b.CallTimeout,
		ReadTimeout:       readTimeoutFactor * b.CallTimeout,
		IdleTimeout:       b.IdleTimeout,
		MaxHeaderBytes:    b.MessageSize,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(limits.LimitListener(l, b.Connections)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// server handles the HTTP requests of the API.
type server struct {
	manager Manager
	bounds  limits.Control
	streams chan struct{}   // semaphore with one value for each open stream
	stopped <-chan struct{} // closed to end all streams
}

// handler returns the handler for all paths.
func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", respond(s, func(*http.Request) (Status, error) { return s.manager.Status(), nil }))
	mux.HandleFunc("GET /v1/commands", respond(s, func(*http.Request) ([]*fleet.Command, error) {
		return s.manager.Commands(), nil
	}))
	mux.HandleFunc("POST /v1/commands", respond(s, s.submit))
	mux.HandleFunc("GET /v1/commands/{id}", respond(s, s.command))
	mux.HandleFunc("POST /v1/commands/{id}/{verb}", respond(s, func(r *http.Request) (*fleet.Command, error) {
		return s.manager.Steer(r.PathValue("id"), r.PathValue("verb"), r.URL.Query().Get("by"))
	}))
	mux.HandleFunc("GET /v1/history", respond(s, s.history))
	mux.HandleFunc("GET /v1/budgets", respond(s, func(r *http.Request) (Budgets, error) {
		return s.manager.Budgets(r.Context())
	}))
	mux.HandleFunc("GET /v1/members", respond(s, func(*http.Request) ([]membership.Member, error) {
		return s.manager.Members(), nil
	}))
	mux.HandleFunc("POST /v1/write-off/{name}", respond(s, func(r *http.Request) (struct{}, error) {
		return struct{}{}, s.manager.WriteOff(r.Context(), r.PathValue("name"), r.URL.Query().Get("by"))
	}))
	mux.HandleFunc("POST /v1/rise", respond(s, s.coldStart))
	mux.HandleFunc("GET /v1/stream", s.stream)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, &StatusError{
			Status: http.StatusNotFound,
			Text: fmt.Sprintf("%s %s: unknown path; this agent has version %d of the API",
				r.Method, r.URL.Path, Version),
		})
	})
	return mux
}

// respond returns a handler that responds with the result of get.
func respond[T any](s *server, get func(*http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := get(r)
		if err != nil {
			s.writeError(w, err)
			return
		}
		_ = s.writeJSON(w, http.StatusOK, value) // fails only if the client has disconnected
	}
}

// decodeBody decodes the body of a request, which errors call name. An unknown field is an error, because ignoring it
// could change the meaning of the request.
func decodeBody(r *http.Request, name string, maxBytes int64, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &StatusError{Status: http.StatusBadRequest, Text: name + ": " + err.Error()}
	}
	return nil
}

func (s *server) submit(r *http.Request) (*fleet.Command, error) {
	var request CommandRequest
	if err := decodeBody(r, "command request", int64(s.bounds.MessageSize), &request); err != nil {
		return nil, err
	}
	return s.manager.Submit(request)
}

func (s *server) command(r *http.Request) (*fleet.Command, error) {
	if c := s.manager.Command(r.PathValue("id")); c != nil {
		return c, nil
	}
	return nil, fleet.ErrUnknownCommand
}

func (s *server) history(r *http.Request) ([]agentstore.Entry, error) {
	after, err := parseAfter(r)
	if err != nil {
		return nil, err
	}
	limit, err := parseLimit(r)
	if err != nil {
		return nil, err
	}
	return s.manager.History(after, limit)
}

func (s *server) coldStart(r *http.Request) (struct{}, error) {
	var command quota.ColdStartCommand
	maxBytes := maxColdStartFactor * int64(s.bounds.MessageSize)
	if err := decodeBody(r, "cold start request", maxBytes, &command); err != nil {
		return struct{}{}, err
	}
	return struct{}{}, s.manager.ColdStart(r.Context(), command)
}

// parseAfter returns the serial after which entries are requested, or 0 if the request has none.
func parseAfter(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &StatusError{
			Status: http.StatusBadRequest,
			Text:   fmt.Sprintf("after: found %q, expected a serial", text),
		}
	}
	return after, nil
}

// parseLimit returns how many entries are requested, or defaultHistory if the request has no number.
func parseLimit(r *http.Request) (int, error) {
	text := r.URL.Query().Get("most")
	if text == "" {
		return defaultHistory, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxHistory {
		return 0, &StatusError{
			Status: http.StatusBadRequest,
			Text:   fmt.Sprintf("most: found %q, expected a number from 1 to %d", text, maxHistory),
		}
	}
	return limit, nil
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// statusOf returns the HTTP status for an error. Errors without a status of their own get 422, such as those of
// commands that the state machine rejects because of their content.
func statusOf(err error) int {
	if rejection, ok := errors.AsType[*StatusError](err); ok {
		return rejection.Status
	}
	switch {
	case errors.Is(err, fleet.ErrUnknownCommand):
		return http.StatusNotFound
	case errors.Is(err, fleet.ErrIDConflict), errors.Is(err, fleet.ErrUpdateInProgress):
		return http.StatusConflict
	case errors.Is(err, fleet.ErrTooManyCommands):
		return http.StatusTooManyRequests
	}
	return http.StatusUnprocessableEntity
}

func (s *server) writeError(w http.ResponseWriter, err error) {
	_ = s.writeJSON(w, statusOf(err), errorBody{Error: err.Error()}) // fails only if the client has disconnected
}

// writeJSON writes a response, which the client must read within limits.Control.CallTimeout. An error means that the
// client has disconnected or is too slow.
func (s *server) writeJSON(w http.ResponseWriter, status int, value any) error {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.bounds.CallTimeout))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	return json.NewEncoder(w).Encode(value)
}
