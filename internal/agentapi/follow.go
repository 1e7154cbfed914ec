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

// Bounds of the delay before a broken stream is reconnected.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
)

var reconnectBackoff = backoff.Policy{Min: minReconnectDelay, Max: maxReconnectDelay}

const (
	// maxSilenceFactor is how long a stream without a line counts as connected, as a multiple of
	// limits.Control.CallTimeout. The server sends at least one line per CallTimeout.
	maxSilenceFactor = 4
	// maxRejectionBody is how many bytes of the body of a rejection are read.
	maxRejectionBody = 4 << 10
)

// Follow calls handle for each event after a serial in a command's stream, or in the complete history if id is empty.
// It returns when the command is done, handle returns false, the agent rejects the request with status 400 or 404, or
// ctx ends. It reconnects a broken stream after the last serial read, without a limit on reconnects: an agent may be
// down for a while.
func (c *Client) Follow(ctx context.Context, id string, after uint64, handle func(StreamEvent) bool) error {
	for reconnects := 1; ; reconnects++ { // consecutive reconnects without an event
		finished, err := c.readStream(ctx, id, &after, func(event StreamEvent) bool {
			reconnects = 1
			return handle(event)
		})
		if finished {
			return err
		}
		select {
		case <-time.After(c.factory.reconnectDelay(reconnects)):
		case <-ctx.Done():
			return c.unreachable(errors.Join(ctx.Err(), err))
		}
	}
}

// readStream opens a stream, reads it to its end, and advances after to the last serial read. It reports whether Follow
// is finished; if not, the stream broke.
func (c *Client) readStream(
	ctx context.Context, id string, after *uint64, handle func(StreamEvent) bool,
) (finished bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := "/v1/stream?after=" + strconv.FormatUint(*after, 10) + "&command=" + url.QueryEscape(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://agent"+path, nil)
	if err != nil {
		return true, err
	}
	maxSilence := maxSilenceFactor * c.factory.bounds.CallTimeout
	silenceTimer := time.AfterFunc(maxSilence, cancel)
	defer silenceTimer.Stop()
	response, err := c.http.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if status := response.StatusCode; status != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(response.Body, maxRejectionBody)) // the reason; it may be missing
		return status == http.StatusNotFound || status == http.StatusBadRequest, newStatusError(status, raw)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxResponseFactor*c.factory.bounds.MessageSize)
	for lines.Scan() {
		silenceTimer.Reset(maxSilence)
		var event StreamEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return false, err
		}
		*after = max(*after, event.Serial)
		if !handle(event) || event.Command != nil && event.Command.State == fleet.CommandDone {
			return true, nil
		}
	}
	return false, lines.Err()
}
