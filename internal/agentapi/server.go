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

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// Listen opens an agent's address: unix:PATH or a loopback address with a port.
func Listen(address string) (net.Listener, error) {
	if err := fleet.CheckAddress(address); err != nil {
		return nil, err
	}
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return admin.Listen(path)
	}
	return net.Listen("tcp", address)
}

// Serve answers on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, m Manager, b limits.Control) error {
	s := &server{m: m, b: b, streams: make(chan struct{}, b.Streams), over: ctx.Done()}
	server := &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: b.Call, ReadTimeout: 2 * b.Call, IdleTimeout: b.Idle,
		MaxHeaderBytes: b.Message,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(limits.LimitListener(l, b.Clients)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type server struct {
	m       Manager
	b       limits.Control
	streams chan struct{}
	over    <-chan struct{}
}

func (s *server) handler() http.Handler {
	mux := http.NewServeMux()
	at := func(pattern string, f func(*http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			v, err := f(r)
			s.answer(w, v, err)
		})
	}
	at("GET /v1/status", func(*http.Request) (any, error) { return s.m.Status(), nil })
	at("GET /v1/commands", func(*http.Request) (any, error) { return s.m.Commands(), nil })
	at("POST /v1/commands", func(r *http.Request) (any, error) {
		var o CommandRequest
		in := json.NewDecoder(io.LimitReader(r.Body, int64(s.b.Message)))
		in.DisallowUnknownFields() // what this agent does not know it must not pass over
		if err := in.Decode(&o); err != nil {
			return nil, &StatusError{http.StatusBadRequest, "not an order: " + err.Error()}
		}
		return s.m.Submit(o)
	})
	at("GET /v1/commands/{id}", func(r *http.Request) (any, error) {
		if c := s.m.Command(r.PathValue("id")); c != nil {
			return c, nil
		}
		return nil, fleet.ErrUnknownCommand
	})
	at("POST /v1/commands/{id}/{verb}", func(r *http.Request) (any, error) {
		return s.m.Steer(r.PathValue("id"), r.PathValue("verb"), r.URL.Query().Get("by"))
	})
	at("GET /v1/history", func(r *http.Request) (any, error) {
		after, most, err := numbers(r)
		if err != nil {
			return nil, err
		}
		return s.m.History(after, most)
	})
	at("GET /v1/budgets", func(r *http.Request) (any, error) { return s.m.Budgets(r.Context()) })
	at("GET /v1/members", func(*http.Request) (any, error) { return s.m.Members(), nil })
	at("POST /v1/write-off/{name}", func(r *http.Request) (any, error) {
		return struct{}{}, s.m.WriteOff(r.Context(), r.PathValue("name"), r.URL.Query().Get("by"))
	})
	at("POST /v1/rise", func(r *http.Request) (any, error) {
		var o quota.ColdStartCommand
		in := json.NewDecoder(io.LimitReader(r.Body, 4*int64(s.b.Message)))
		in.DisallowUnknownFields()
		if err := in.Decode(&o); err != nil {
			return nil, &StatusError{http.StatusBadRequest, "not a rise: " + err.Error()}
		}
		return struct{}{}, s.m.Rise(r.Context(), o)
	})
	mux.HandleFunc("GET /v1/stream", s.stream)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, nil, &StatusError{http.StatusNotFound, fmt.Sprintf("%s %s: nothing here; this agent speaks version %d", r.Method, r.URL.Path, Version)})
	})
	return mux
}

func numbers(r *http.Request) (after uint64, most int, err error) {
	q := r.URL.Query()
	if text := q.Get("after"); text != "" {
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, &StatusError{http.StatusBadRequest, fmt.Sprintf("after: %q is no number", text)}
		}
	}
	most = 1000
	if text := q.Get("most"); text != "" {
		if most, err = strconv.Atoi(text); err != nil || most < 1 || most > 100_000 {
			return 0, 0, &StatusError{http.StatusBadRequest, fmt.Sprintf("most: %q is no number from 1 to 100000", text)}
		}
	}
	return after, most, nil
}

// answer writes what was asked for, or why not.
func (s *server) answer(w http.ResponseWriter, v any, err error) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.b.Call))
	w.Header().Set("Content-Type", "application/json")
	if err == nil {
		json.NewEncoder(w).Encode(v)
		return
	}
	status := http.StatusUnprocessableEntity
	switch refusal, ok := errors.AsType[*StatusError](err); {
	case ok:
		status = refusal.Status
	case errors.Is(err, fleet.ErrUnknownCommand):
		status = http.StatusNotFound
	case errors.Is(err, fleet.ErrIDConflict), errors.Is(err, fleet.ErrUpdateInProgress):
		status = http.StatusConflict
	case errors.Is(err, fleet.ErrTooManyCommands):
		status = http.StatusTooManyRequests
	}
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}

// stream sends entries of history as they come, all of them or those of one command, whose last line has its
// results. It can be left at any time and joined again after the last serial that was read.
func (s *server) stream(w http.ResponseWriter, r *http.Request) {
	select {
	case s.streams <- struct{}{}:
		defer func() { <-s.streams }()
	default:
		s.answer(w, nil, &StatusError{http.StatusTooManyRequests, "too many watch already"})
		return
	}
	after, _, err := numbers(r)
	id := r.URL.Query().Get("command")
	if err == nil && id != "" && s.m.Command(id) == nil {
		err = fleet.ErrUnknownCommand
	}
	if err != nil {
		s.answer(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	out, control := json.NewEncoder(w), http.NewResponseController(w)
	say := func(l StreamEvent) bool { // one that reads nothing is let go; it can join again
		control.SetWriteDeadline(time.Now().Add(s.b.Call))
		return out.Encode(l) == nil && control.Flush() == nil
	}
	alive := time.NewTicker(s.b.Call)
	defer alive.Stop()
	for {
		c := (*fleet.Command)(nil)
		if id != "" { // before the entries, so that none of them comes after the last line
			if c = s.m.Command(id); c == nil {
				return
			}
		}
		entries, lost, more := s.m.Entries(after)
		if lost > 0 && !say(StreamEvent{LostEntries: lost}) {
			return
		}
		for _, e := range entries {
			if after = e.Serial; (id == "" || e.CommandID == id) && !say(StreamEvent{Entry: &e, Serial: after}) {
				return
			}
		}
		if c != nil && c.State == fleet.CommandDone {
			say(StreamEvent{Command: c, Serial: after})
			return
		}
		if len(entries) > 0 {
			continue
		}
		select {
		case <-more:
		case <-alive.C:
			if !say(StreamEvent{Serial: after}) {
				return
			}
		case <-r.Context().Done():
			return
		case <-s.over:
			return
		}
	}
}
