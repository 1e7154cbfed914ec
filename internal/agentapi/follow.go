package agentapi

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"milletbarrow/internal/backoff"
	"milletbarrow/internal/fleet"
)

// reconnectBackoff paces how a broken stream is joined again.
var reconnectBackoff = backoff.Policy{Min: 50 * time.Millisecond, Max: 500 * time.Millisecond}

const (
	maxSilenceCalls    = 4       // a stream that brings nothing for so many Bounds.Call is broken; the server sends a line each
	maxRejectionBody = 4 << 10 // bytes
)

// Follow gives take the events of a command's stream, or of all history if id is empty, from after a serial, until
// the command has ended, take returns false, or ctx ends. A stream that breaks is joined again where it was left, for
// as long as ctx lasts: an agent that is away for a while is no reason to give up.
func (c *Client) Follow(ctx context.Context, id string, after uint64, take func(StreamEvent) bool) error {
	for attempt := 1; ; attempt++ {
		finished, err := c.readStream(ctx, id, &after, func(event StreamEvent) bool {
			attempt = 1
			return take(event)
		})
		if finished {
			return err
		}
		c.factory.mu.Lock()
		pause := reconnectBackoff.Pause(attempt+1, c.factory.random)
		c.factory.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return &UnreachableError{c.address, errors.Join(ctx.Err(), err)}
		}
	}
}

// readStream reads one stream to its end and moves after to the last serial that it read; finished: there is nothing
// to join again for.
func (c *Client) readStream(
	ctx context.Context, id string, after *uint64, take func(StreamEvent) bool,
) (finished bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := "/v1/stream?after=" + strconv.FormatUint(*after, 10) + "&command=" + url.QueryEscape(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://agent"+path, nil)
	if err != nil {
		return true, err
	}
	maxSilence := maxSilenceCalls * c.factory.bounds.CallTimeout
	silence := time.AfterFunc(maxSilence, cancel)
	defer silence.Stop()
	response, err := c.http.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if status := response.StatusCode; status != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(response.Body, maxRejectionBody)) // what can't be read has no reason
		return status == http.StatusNotFound || status == http.StatusBadRequest, newStatusError(status, raw)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxResponseFactor*c.factory.bounds.MessageSize)
	for lines.Scan() {
		silence.Reset(maxSilence)
		var event StreamEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return false, err
		}
		*after = max(*after, event.Serial)
		if !take(event) || event.Command != nil && event.Command.State == fleet.CommandDone {
			return true, nil
		}
	}
	return false, lines.Err()
}
