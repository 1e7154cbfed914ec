package admin

import (
	"context"
	"net/http"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// Client calls the admin socket of an instance. A response with a status other than 2xx is a *jsonhttp.StatusError. Its
// methods may be called from any goroutine.
type Client struct {
	client *http.Client
	bounds limits.Control
}

// NewClient returns a client of the socket at path.
func NewClient(path string, bounds limits.Control) *Client {
	return &Client{client: jsonhttp.Client("unix:"+path, bounds), bounds: bounds}
}

// State returns the instance's state.
func (c *Client) State(ctx context.Context) (state State, err error) {
	err = c.get(ctx, statePath, &state)
	return state, err
}

// Drain sends the instance a shutdown notice: it drains and exits. notifiedAt is the time of the first notice on the
// host's clock.
func (c *Client) Drain(ctx context.Context, notifiedAt monotime.Micros) error {
	return c.post(ctx, drainPath, Notice{Ago: int64(process.Now() - notifiedAt), NotifiedAt: notifiedAt})
}

// Override forces a level of graceful degradation, or ends an override.
func (c *Client) Override(ctx context.Context, override Override) error {
	return c.post(ctx, overridePath, override)
}

// QuotaRequest returns the instance's request for leases of fleet-wide quotas. The term of a lease starts at the time
// of the request.
func (c *Client) QuotaRequest(ctx context.Context) (request quota.LeaseRequest, err error) {
	err = c.get(ctx, quotaPath, &request)
	return request, err
}

// ApplyLease passes the response to a quota request to the instance.
func (c *Client) ApplyLease(ctx context.Context, response quota.LeaseResponse) error {
	return c.post(ctx, quotaPath, response)
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// get sends a GET request and decodes the response body into a message.
func (c *Client) get(ctx context.Context, path string, into any) error {
	return jsonhttp.Call(ctx, c.client, http.MethodGet, path, nil, into, int64(c.bounds.MessageSize))
}

// post sends a message in a POST request. The response has no body.
func (c *Client) post(ctx context.Context, path string, message any) error {
	return jsonhttp.Call(ctx, c.client, http.MethodPost, path, message, nil, 0)
}
