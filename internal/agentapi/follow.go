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

// Pauses before a broken stream is connected again.
const (
	minReconnectPause = 50 * time.Millisecond
	maxReconnectPause = 500 * time.Millisecond
)

var reconnectBackoff = backoff.Policy{Min: minReconnectPause, Max: maxReconnectPause}

const (
	// maxSilenceCalls is how long a stream without a line counts as connected, in Bounds.CallTimeout. The server sends
	// a line every Bounds.CallTimeout.
	maxSilenceCalls = 4
	// maxRejectionBody is how much of the body of a rejection is read, in bytes.
	maxRejectionBody = 4 << 10
)

// Follow calls handle for the events of a command's stream, or of the complete history if id is empty, that come
// after a serial. It returns when the command has ended, handle returns false, or ctx ends. It reconnects a broken
// stream from the last serial for as long as ctx lasts: an agent may be away for a while.
func (c *Client) Follow(ctx context.Context, id string, after uint64, handle func(StreamEvent) bool) error {
	for reconnects := 1; ; reconnects++ { // in a row, without an event
		finished, err := c.readStream(ctx, id, &after, func(event StreamEvent) bool {
			reconnects = 1
			return handle(event)
		})
		if finished {
			return err
		}
		select {
		case <-time.After(c.factory.reconnectPause(reconnects)):
		case <-ctx.Done():
			return c.unreachable(errors.Join(ctx.Err(), err))
		}
	}
}

// readStream connects a stream, reads it to its end, and moves after to the last serial that it read. It reports
// whether Follow is finished; otherwise the stream broke.
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
	maxSilence := maxSilenceCalls * c.factory.bounds.CallTimeout
	silence := time.AfterFunc(maxSilence, cancel)
	defer silence.Stop()
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
		silence.Reset(maxSilence)
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
