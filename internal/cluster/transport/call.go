package transport

import (
	"context"
	"net"
	"net/http"

	"milletbarrow/internal/jsonhttp"
)

// Bounds of the calls to one agent.
const (
	maxCallConns      = 8
	maxIdleCallConns  = 4
	maxAnswerMessages = 16 // an answer may be as long as so many messages
)

// Call posts body as JSON to another agent, once, and decodes its answer into into. Its errors are those of Dial and of
// jsonhttp.Call; after any but a *jsonhttp.StatusError the call may have been handled.
func (t *Transport) Call(ctx context.Context, to, path string, body, into any) error {
	return jsonhttp.Call(ctx, t.client(to), http.MethodPost, path, body, into, maxAnswerMessages*int64(t.limits.MessageSize))
}

// client returns the HTTP client for one agent, which keeps connections to it open between calls.
func (t *Transport) client(to string) *http.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	if client := t.clients[to]; client != nil {
		return client
	}
	client := &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: maxCallConns, MaxIdleConnsPerHost: maxIdleCallConns, DisableCompression: true, IdleConnTimeout: t.limits.IdleTimeout,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return t.Dial(ctx, KindCall, to) },
	}}
	t.clients[to] = client
	return client
}
