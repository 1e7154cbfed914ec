package agentapi

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/backoff"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// UnreachableError reports an agent that did not answer. It says nothing about the agent's instances.
type UnreachableError struct {
	Address string
	Err     error
}

func (u *UnreachableError) Error() string { return fmt.Sprintf("agent at %s: %v", u.Address, u.Err) }
func (u *UnreachableError) Unwrap() error { return u.Err }

// ClientFactory makes clients that share one retry budget. Requests are retried here and nowhere else.
type ClientFactory struct {
	bounds limits.Control

	mu    sync.Mutex
	share backoff.RetryBudget
	draw  *rand.Rand
}

// NewClientFactory makes a factory; the seed is of the backoff's jitter.
func NewClientFactory(b limits.Control, seed uint64) *ClientFactory {
	return &ClientFactory{bounds: b, draw: rand.New(rand.NewPCG(seed, 2))}
}

// Client speaks to one agent.
type Client struct {
	caller  *ClientFactory
	address string
	http    *http.Client
}

// Client for the agent at an address, as CheckAddress has it.
func (c *ClientFactory) Client(address string) *Client {
	return &Client{caller: c, address: address, http: jsonhttp.Client(address, c.bounds)}
}

// pause before try n, or false if there is none.
func (c *ClientFactory) pause(n int) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 1 {
		c.share.RecordAttempt()
		return 0, true
	}
	if n > c.bounds.Tries || !c.share.AllowRetry() {
		return 0, false
	}
	return backoff.Policy{Min: c.bounds.Again, Max: c.bounds.AgainMax}.Pause(n, c.draw), true
}

// call makes one call, again where it got no answer; every call here may be made twice.
func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	var last error
	for n := 1; ; n++ {
		pause, ok := c.caller.pause(n)
		if !ok {
			return &UnreachableError{c.address, last}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return &UnreachableError{c.address, errors.Join(ctx.Err(), last)}
		}
		again, err := c.once(ctx, method, path, body, into)
		if err == nil || !again {
			return err
		}
		last = err
	}
}

// once makes one try; again tells whether another may help.
func (c *Client) once(ctx context.Context, method, path string, body, into any) (again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*c.caller.bounds.Call)
	defer cancel()
	err = jsonhttp.Call(ctx, c.http, method, path, body, into, 64*int64(c.caller.bounds.Message))
	if no, ok := errors.AsType[*jsonhttp.Status](err); ok {
		return no.Code == http.StatusServiceUnavailable, refusal(no.Code, []byte(no.Text))
	}
	return err != nil, err
}

func refusal(status int, raw []byte) error {
	var why struct{ Error string }
	if json.Unmarshal(raw, &why) != nil || why.Error == "" {
		why.Error = fmt.Sprintf("status %d", status)
	}
	return &StatusError{status, why.Error}
}

// Status asks how all stands.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Order sends a command; it may be sent again.
func (c *Client) Submit(ctx context.Context, o CommandRequest) (cmd *fleet.Command, err error) {
	cmd = &fleet.Command{}
	return cmd, c.call(ctx, http.MethodPost, "/v1/commands", o, cmd)
}

// Command asks for one; ErrUnknown if the agent has none with that id.
func (c *Client) Command(ctx context.Context, id string) (cmd *fleet.Command, err error) {
	cmd = &fleet.Command{}
	err = c.call(ctx, http.MethodGet, "/v1/commands/"+url.PathEscape(id), nil, cmd)
	if r, ok := errors.AsType[*StatusError](err); ok && r.Status == http.StatusNotFound {
		return nil, fleet.ErrUnknownCommand
	}
	return cmd, err
}

// Commands lists what the agent knows, newest first.
func (c *Client) Commands(ctx context.Context) (all []*fleet.Command, err error) {
	return all, c.call(ctx, http.MethodGet, "/v1/commands", nil, &all)
}

// Steer pauses, resumes or cancels a command.
func (c *Client) Steer(ctx context.Context, id, verb, by string) (cmd *fleet.Command, err error) {
	cmd = &fleet.Command{}
	path := "/v1/commands/" + url.PathEscape(id) + "/" + url.PathEscape(verb) + "?by=" + url.QueryEscape(by)
	return cmd, c.call(ctx, http.MethodPost, path, nil, cmd)
}

// History asks for the latest entries after a serial.
func (c *Client) History(ctx context.Context, after uint64, most int) (all []agentstore.Entry, err error) {
	return all, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/history?after=%d&most=%d", after, most), nil, &all)
}

// Follow hands on the lines of a command's stream, or of all history if id is empty, from after a serial, until
// the command has ended, take wants no more, or ctx ends. Where the stream breaks it is joined again where it was
// left, for as long as ctx lasts: an agent that is away for a while is no reason to give up.
func (c *Client) Follow(ctx context.Context, id string, after uint64, take func(StreamEvent) bool) error {
	again := backoff.Policy{Min: 50 * time.Millisecond, Max: 500 * time.Millisecond}
	for n := 1; ; n++ {
		over, err := c.join(ctx, id, &after, func(l StreamEvent) bool { n = 1; return take(l) })
		if over {
			return err
		}
		c.caller.mu.Lock()
		pause := again.Pause(n+1, c.caller.draw)
		c.caller.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return &UnreachableError{c.address, errors.Join(ctx.Err(), err)}
		}
	}
}

// join reads one stream to its end; over tells that there is nothing to join again for.
func (c *Client) join(ctx context.Context, id string, after *uint64, take func(StreamEvent) bool) (over bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := "/v1/stream?after=" + strconv.FormatUint(*after, 10) + "&command=" + url.QueryEscape(id)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://agent"+path, nil)
	if err != nil {
		return true, err
	}
	silent := time.AfterFunc(4*c.caller.bounds.Call, cancel) // its signs of life come twice as often
	defer silent.Stop()
	a, err := c.http.Do(q)
	if err != nil {
		return false, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(a.Body, 4<<10))
		err := refusal(a.StatusCode, raw)
		return a.StatusCode == http.StatusNotFound || a.StatusCode == http.StatusBadRequest, err
	}
	lines := bufio.NewScanner(a.Body)
	lines.Buffer(nil, 64*c.caller.bounds.Message)
	for lines.Scan() {
		silent.Reset(4 * c.caller.bounds.Call)
		var l StreamEvent
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return false, err
		}
		*after = max(*after, l.Serial)
		if !take(l) {
			return true, nil
		}
		if l.Command != nil && l.Command.State == fleet.CommandDone {
			return true, nil
		}
	}
	return false, lines.Err()
}

// Budgets asks how the fleet's budgets stand.
func (c *Client) Budgets(ctx context.Context) (b Budgets, err error) {
	return b, c.call(ctx, http.MethodGet, "/v1/budgets", nil, &b)
}

// Members asks which agents this one thinks are there.
func (c *Client) Members(ctx context.Context) (all []membership.Member, err error) {
	return all, c.call(ctx, http.MethodGet, "/v1/members", nil, &all)
}

// WriteOff says that what a name has of budgets is in force no more.
func (c *Client) WriteOff(ctx context.Context, name, by string) error {
	return c.call(ctx, http.MethodPost, "/v1/write-off/"+url.PathEscape(name)+"?by="+url.QueryEscape(by), nil, nil)
}

// Rise begins a rise at the ledger, or says a word about one.
func (c *Client) Rise(ctx context.Context, r quota.ColdStartCommand) error {
	return c.call(ctx, http.MethodPost, "/v1/rise", r, nil)
}

// Close lets go of kept connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// FanOut calls do for each key, at most b.FanOut at a time, and returns the results in the order of the keys.
func FanOut[K, V any](ctx context.Context, b limits.Control, all []K, do func(context.Context, K) (V, error)) ([]V, []error) {
	values, errs := make([]V, len(all)), make([]error, len(all))
	var group errgroup.Group
	group.SetLimit(b.FanOut)
	for i, one := range all {
		group.Go(func() error {
			values[i], errs[i] = do(ctx, one)
			return nil
		})
	}
	group.Wait()
	return values, errs
}
