// Package jsonhttp makes calls with JSON over HTTP, over Unix sockets or TCP. It does not retry.
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
	Code    int
	Message string // at most 4 KB
}

func (s *StatusError) Error() string { return fmt.Sprintf("status %d: %s", s.Code, s.Message) }

// Client returns a client of one address: unix:PATH, or a host and a port. Connecting is bounded by b.CallTimeout; a call has no
// other deadline than that of its context.
func Client(address string, b limits.Control) *http.Client {
	network, target := "tcp", address
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, target = "unix", path
	}
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 4, MaxIdleConnsPerHost: 2, DisableCompression: true, IdleConnTimeout: b.IdleTimeout,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: b.CallTimeout}).DialContext(ctx, network, target)
		},
	}}
}

// Call makes one call; body and into may be nil. At most maxBytes of the response are read. A response of another status than 2xx
// is a *StatusError.
func Call(ctx context.Context, c *http.Client, method, path string, body, into any, maxBytes int64) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://local"+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := c.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // it was only read
	if response.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
		return &StatusError{response.StatusCode, string(bytes.TrimSpace(text))}
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBytes)).Decode(into); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}
