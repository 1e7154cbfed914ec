package admin

import (
	"context"
	"net/http"
	"time"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// Client calls an instance's admin socket. A response of another status than 2xx is a *jsonhttp.StatusError. It is safe for use
// by several goroutines.
type Client struct {
	client *http.Client
	bounds limits.Control
}

// NewClient makes a client of the socket at path.
func NewClient(path string, b limits.Control) *Client {
	return &Client{jsonhttp.Client("unix:"+path, b), b}
}

// State returns the instance's state.
func (p *Client) State(ctx context.Context) (s State, err error) {
	return s, jsonhttp.Call(ctx, p.client, http.MethodGet, "/v1/state", nil, &s, int64(p.bounds.MessageSize))
}

// Drain asks the instance to drain and exit; it was first notified so long ago.
func (p *Client) Drain(ctx context.Context, ago time.Duration) error {
	return jsonhttp.Call(ctx, p.client, http.MethodPost, "/v1/leave", Notice{Ago: ago.Microseconds()}, nil, 0)
}

// Override holds a level of graceful degradation, or releases it.
func (p *Client) Override(ctx context.Context, override Override) error {
	return jsonhttp.Call(ctx, p.client, http.MethodPost, "/v1/level", override, nil, 0)
}

// QuotaRequest returns what the instance requests of the fleet-wide budgets. A lease counts from the moment of the request.
func (p *Client) QuotaRequest(ctx context.Context) (request quota.LeaseRequest, err error) {
	return request, jsonhttp.Call(ctx, p.client, http.MethodGet, "/v1/share", nil, &request, int64(p.bounds.MessageSize))
}

// ApplyLease passes the response to a quota request to the instance.
func (p *Client) ApplyLease(ctx context.Context, response quota.LeaseResponse) error {
	return jsonhttp.Call(ctx, p.client, http.MethodPost, "/v1/share", response, nil, 0)
}

// Close closes idle connections.
func (p *Client) Close() { p.client.CloseIdleConnections() }
