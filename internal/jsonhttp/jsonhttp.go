// Package jsonhttp makes HTTP calls with JSON bodies over Unix sockets or TCP. It does not retry.
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

// Limits of one client.
const (
	maxConnections     = 4       // open connections
	maxIdleConnections = 2       // of these, without a call
	maxErrorBytes      = 4 << 10 // bytes read from the body of a response with an error status
)

// StatusError reports a response with a status other than 2xx.
type StatusError struct {
	// Code is the HTTP status.
	Code int
	// Message is the start of the response's body, at most 4 KB, without white space around it.
	Message string
}

func (s *StatusError) Error() string { return fmt.Sprintf("status %d: %s", s.Code, s.Message) }

// Client returns a client of one server, whose address is unix:PATH or HOST:PORT. bounds.CallTimeout limits the time to
// connect. A call has no deadline other than that of its context.
func Client(address string, bounds limits.Control) *http.Client {
	network, target := "tcp", address
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		network, target = "unix", path
	}
	dialer := &net.Dialer{Timeout: bounds.CallTimeout}
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     bounds.IdleTimeout,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, target)
		},
	}}
}

// Call sends one request with body encoded as JSON and decodes the response from JSON to into. If body is nil, the
// request has no body; if into is nil, the body of the response is ignored. Call reads at most maxBytes of the
// response. For a status other than 2xx it returns a *StatusError.
func Call(ctx context.Context, c *http.Client, method, path string, body, into any, maxBytes int64) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode request of %s %s: %w", method, path, err)
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
	defer func() { _ = response.Body.Close() }()
	if !isSuccess(response.StatusCode) {
		// The status is reported even if the body cannot be read completely.
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &StatusError{Code: response.StatusCode, Message: string(bytes.TrimSpace(text))}
	}
	if into == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBytes)).Decode(into); err != nil {
		return fmt.Errorf("decode response of %s %s: %w", method, path, err)
	}
	return nil
}

// isSuccess reports whether a status is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
