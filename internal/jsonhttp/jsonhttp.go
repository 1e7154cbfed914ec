// Package jsonhttp makes calls with JSON over HTTP to programs of this machine, for all that do so here. It holds no
// words of its own and makes no call twice.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"milletbarrow/internal/limits"
)

// StatusError is a response of a status other than 2xx.
type StatusError struct {
	Code int
	Text string // at most 4 KB
}

func (s *StatusError) Error() string { return fmt.Sprintf("status %d: %s", s.Code, s.Text) }

// Client speaks to one address: unix:PATH, or a host and a port. It sets no time limit of its own: calls have
// that of their context.
func Client(address string, b limits.Control) *http.Client {
	network, to := "tcp", address
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, to = "unix", path
	}
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: b.IdleTimeout,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: b.CallTimeout}).DialContext(ctx, network, to)
		},
	}}
}

// Call makes one call; body and into may be nil. A response of another status than 2xx is a *StatusError. Of an answer at most so many
// bytes are read.
func Call(ctx context.Context, c *http.Client, method, path string, body, into any, most int64) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://local"+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	a, err := c.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }() // it was only read
	if a.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(a.Body, 4<<10))
		return &StatusError{a.StatusCode, string(bytes.TrimSpace(text))}
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(a.Body, most)).Decode(into); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}
