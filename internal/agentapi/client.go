package agentapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/backoff"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// UnreachableError reports an agent that did not answer. The agent's instances may be running all the same.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("agent at %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// ClientFactory creates clients that share a retry budget. Only this package retries requests to agents.
type ClientFactory struct {
	bounds limits.Control

	mu          sync.Mutex // guards the fields below
	retryBudget backoff.RetryBudget
	random      *rand.Rand // jitter of retry and reconnect delays
}

// jitterStream is the second seed word of the jitter's random generator.
const jitterStream = 2

// NewClientFactory returns a factory. The seed determines the jitter of retry and reconnect delays.
func NewClientFactory(b limits.Control, seed uint64) *ClientFactory {
	return &ClientFactory{bounds: b, random: rand.New(rand.NewPCG(seed, jitterStream))}
}

const (
	// maxResponseFactor is the maximum size of a response, as a multiple of limits.Control.MessageSize: a status lists
	// many instances.
	maxResponseFactor = 64
	// attemptTimeoutFactor is the timeout of an attempt, as a multiple of limits.Control.CallTimeout: the agent itself
	// may need one CallTimeout.
	attemptTimeoutFactor = 2
)

// Client sends requests to one agent. It is safe for concurrent use. It retries a request that got
// status 503 or no response that can be decoded, which is safe because all requests are idempotent. The error is
// *UnreachableError, which wraps the last one, if no further attempt is allowed, and *StatusError for other rejections.
type Client struct {
	factory *ClientFactory
	address string
	http    *http.Client
}

// Client returns a client of the agent at an address, which fleet.CheckAddress must accept.
func (f *ClientFactory) Client(address string) *Client {
	return &Client{factory: f, address: address, http: jsonhttp.Client(address, f.bounds)}
}

// attemptDelay returns how long to wait before an attempt, and whether the attempt is allowed. Attempts count from 1.
func (f *ClientFactory) attemptDelay(attempt int) (delay time.Duration, allowed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if attempt == 1 {
		f.retryBudget.RecordAttempt()
		return 0, true
	}
	if attempt > f.bounds.Attempts || !f.retryBudget.AllowRetry() {
		return 0, false
	}
	policy := backoff.Policy{Min: f.bounds.RetryBackoff, Max: f.bounds.RetryBackoffMax}
	return policy.Pause(attempt, f.random), true
}

// reconnectDelay returns how long to wait before the n-th consecutive reconnect of a broken stream.
func (f *ClientFactory) reconnectDelay(n int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return reconnectBackoff.Pause(n+1, f.random)
}

// call sends a request and retries it while the retry budget allows.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var lastErr error
	for attempt := 1; ; attempt++ {
		delay, allowed := c.factory.attemptDelay(attempt)
		if !allowed {
			return c.unreachable(lastErr)
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return c.unreachable(errors.Join(ctx.Err(), lastErr))
		}
		retryable, err := c.attempt(ctx, method, path, body, into)
		if err == nil || !retryable {
			return err
		}
		lastErr = err
	}
}

// unreachable returns the error for an agent that did not answer.
func (c *Client) unreachable(err error) error {
	return &UnreachableError{Address: c.address, Err: err}
}

// attempt sends a request once, and reports whether another attempt may succeed.
func (c *Client) attempt(ctx context.Context, method, path string, body, into any) (retryable bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeoutFactor*c.factory.bounds.CallTimeout)
	defer cancel()
	maxResponse := maxResponseFactor * int64(c.factory.bounds.MessageSize)
	err = jsonhttp.Call(ctx, c.http, method, path, body, into, maxResponse)
	if rejection, ok := errors.AsType[*jsonhttp.StatusError](err); ok {
		retryable = rejection.Code == http.StatusServiceUnavailable
		return retryable, newStatusError(rejection.Code, []byte(rejection.Message))
	}
	return err != nil, err
}

// newStatusError returns the error for a rejected request, with the reason from the response body, or the status code
// if the body has no reason.
func newStatusError(status int, raw []byte) *StatusError {
	var body errorBody
	if json.Unmarshal(raw, &body) != nil || body.Error == "" {
		body.Error = fmt.Sprintf("status %d", status)
	}
	return &StatusError{Status: status, Text: body.Error}
}

// Status returns the state of the agent and its instances.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Submit submits a command. It is idempotent by the ID of the request: see CommandRequest.
func (c *Client) Submit(ctx context.Context, r CommandRequest) (*fleet.Command, error) {
	command := &fleet.Command{}
	err := c.call(ctx, http.MethodPost, "/v1/commands", r, command)
	return command, err
}

// Command returns a command, or fleet.ErrUnknownCommand if the agent has no command with that ID.
func (c *Client) Command(ctx context.Context, id string) (*fleet.Command, error) {
	command := &fleet.Command{}
	err := c.call(ctx, http.MethodGet, "/v1/commands/"+url.PathEscape(id), nil, command)
	if rejection, ok := errors.AsType[*StatusError](err); ok && rejection.Status == http.StatusNotFound {
		return nil, fleet.ErrUnknownCommand
	}
	return command, err
}

// Commands returns the commands that the agent knows, newest first.
func (c *Client) Commands(ctx context.Context) ([]*fleet.Command, error) {
	var commands []*fleet.Command
	err := c.call(ctx, http.MethodGet, "/v1/commands", nil, &commands)
	return commands, err
}

// Steer pauses, resumes or cancels a command.
func (c *Client) Steer(ctx context.Context, id, verb, by string) (*fleet.Command, error) {
	command := &fleet.Command{}
	path := "/v1/commands/" + url.PathEscape(id) + "/" + url.PathEscape(verb) + "?by=" + url.QueryEscape(by)
	err := c.call(ctx, http.MethodPost, path, nil, command)
	return command, err
}

// History returns the latest entries after a serial, at most limit of them.
func (c *Client) History(ctx context.Context, after uint64, limit int) ([]agentstore.Entry, error) {
	var entries []agentstore.Entry
	path := fmt.Sprintf("/v1/history?after=%d&most=%d", after, limit)
	err := c.call(ctx, http.MethodGet, path, nil, &entries)
	return entries, err
}

// Budgets returns the state of the fleet's quotas.
func (c *Client) Budgets(ctx context.Context) (Budgets, error) {
	var budgets Budgets
	err := c.call(ctx, http.MethodGet, "/v1/budgets", nil, &budgets)
	return budgets, err
}

// Members returns the agents that the called agent considers alive.
func (c *Client) Members(ctx context.Context) ([]membership.Member, error) {
	var members []membership.Member
	err := c.call(ctx, http.MethodGet, "/v1/members", nil, &members)
	return members, err
}

// WriteOff has the quota store end the leases and permits of a holder, which an operator confirms are no longer in use.
func (c *Client) WriteOff(ctx context.Context, name, by string) error {
	path := "/v1/write-off/" + url.PathEscape(name) + "?by=" + url.QueryEscape(by)
	return c.call(ctx, http.MethodPost, path, nil, nil)
}

// ColdStart starts or changes a cold start of the fleet.
func (c *Client) ColdStart(ctx context.Context, command quota.ColdStartCommand) error {
	return c.call(ctx, http.MethodPost, "/v1/rise", command, nil)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
