package supervisor

import (
	"context"
	"net/http"
	"strconv"

	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// Client calls the supervisor of one instance. It is safe for concurrent use.
type Client struct {
	http   *http.Client
	bounds limits.Control
}

// NewClient returns a client for the supervisor of the named instance. dir is the agent's directory.
func NewClient(dir, name string, b limits.Control) *Client {
	return &Client{http: jsonhttp.Client("unix:"+PathsOf(dir, name).Socket, b), bounds: b}
}

// Report returns the first report whose serial exceeds after, or the current report after longPollTimeout.
func (c *Client) Report(ctx context.Context, after int) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+c.bounds.CallTimeout)
	defer cancel()
	path := "/v1/report?after=" + strconv.Itoa(after)
	var r Report
	err := jsonhttp.Call(ctx, c.http, http.MethodGet, path, nil, &r, int64(c.bounds.MessageSize))
	return r, err
}

// Request requests the supervisor to perform an action. It returns within limits.Control.CallTimeout.
func (c *Client) Request(ctx context.Context, r ActionRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.bounds.CallTimeout)
	defer cancel()
	return jsonhttp.Call(ctx, c.http, http.MethodPost, "/v1/order", r, nil, 0)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
