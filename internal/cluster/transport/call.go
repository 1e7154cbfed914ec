package transport

import (
	"context"
	"net"
	"net/http"

	"milletbarrow/internal/jsonhttp"
)

// Limits of the calls to one agent.
const (
	maxCallConns     = 8
	maxIdleCallConns = 4
	// maxResponseMessages is the length limit of a response, as a multiple of the message size limit.
	maxResponseMessages = 16
)

// Call posts body as JSON to another agent, without retries, and decodes the response into response. Its errors are
// those of Dial and of jsonhttp.Call. After any error but a *jsonhttp.StatusError the call may have been handled.
func (t *Transport) Call(ctx context.Context, to, path string, body, response any) error {
	maxBytes := maxResponseMessages * int64(t.limits.MessageSize)
	return jsonhttp.Call(ctx, t.client(to), http.MethodPost, path, body, response, maxBytes)
}

// client returns the HTTP client for one agent, which keeps connections to it open between calls.
func (t *Transport) client(to string) *http.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if client := t.clients[to]; client != nil {
		return client
	}
	client := &http.Client{Transport: &http.Transport{
		MaxConnsPerHost:     maxCallConns,
		MaxIdleConnsPerHost: maxIdleCallConns,
		DisableCompression:  true,
		IdleConnTimeout:     t.limits.IdleTimeout,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return t.Dial(ctx, KindCall, to)
		},
	}}
	t.clients[to] = client
	return client
}
