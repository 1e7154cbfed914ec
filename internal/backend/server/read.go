package server

import (
	"log/slog"
	"runtime/debug"
	"time"

	"milletbarrow/internal/backend/frame"
)

// Texts of errors of the connection. They are sent to the peer, which makes them part of the protocol.
const (
	unknownKindText = "unknown type"
	streamZeroText  = "an invocation on stream 0"
)

// ignoreInputFactor is the multiple of the limit on invalid frames at which no more frames are read.
const ignoreInputFactor = 2

// readInput reads and handles all available input. Netpoll calls it on the poller, and calls it again if input is left
// unread.
func (c *conn) readInput() {
	defer func() {
		if r := recover(); r != nil {
			slog.Error("internal_error", "in", "read", "text", r, "stack", string(debug.Stack()))
			c.abort()
		}
	}()
	reader := c.transport.Reader()
	for n := reader.Len(); n > 0; n = reader.Len() {
		input, err := reader.Next(n)
		if err == nil {
			c.parseInput(input)
			err = reader.Release()
		}
		if err != nil {
			c.abort()
			return
		}
	}
}

// parseInput handles the frames in input, which is only valid until it returns. It buffers an incomplete frame, up to
// the maximum size of an invocation, and skips the rest of a longer frame.
func (c *conn) parseInput(input []byte) {
	handled := false
	for len(input) > 0 && !c.ignoreInput {
		if c.skipBytes > 0 {
			n := min(c.skipBytes, len(input))
			c.skipBytes -= n
			input = input[n:]
			continue
		}
		rest, complete, err := c.parseFrame(input)
		if err != nil {
			c.handleFramingError(err)
			return
		}
		handled = handled || complete
		input = rest
	}
	c.trackPartialFrame(handled)
}

// parseFrame handles the first frame, whose beginning may be in partialFrame, and returns the input after it. If the
// frame is incomplete, it moves all input to partialFrame.
func (c *conn) parseFrame(input []byte) (rest []byte, complete bool, err error) {
	if len(c.partialFrame) > 0 {
		return c.parsePartialFrame(input)
	}
	needed, skip, err := c.requiredBytes(input)
	switch {
	case err != nil:
		return nil, false, err
	case len(input) < needed:
		return c.bufferPartialFrame(input, len(input)), false, nil
	}
	c.skipBytes = skip
	c.handleFrame(input[:needed])
	return input[needed:], true, nil
}

// parsePartialFrame does the work of parseFrame for a frame whose beginning is in partialFrame.
func (c *conn) parsePartialFrame(input []byte) (rest []byte, complete bool, err error) {
	input = c.bufferPartialFrame(input, frame.LengthSize)
	needed, skip, err := c.requiredBytes(c.partialFrame)
	if err != nil {
		return nil, false, err
	}
	input = c.bufferPartialFrame(input, needed)
	if len(c.partialFrame) < needed {
		return input, false, nil
	}
	c.skipBytes = skip
	c.handleFrame(c.partialFrame[:needed])
	if c.partialFrame = c.partialFrame[:0]; cap(c.partialFrame) > c.server.bounds.PartialFrameBuffer {
		c.partialFrame = nil
	}
	return input, true, nil
}

// requiredBytes returns how many bytes of a frame must be read before it can be handled, and how many after those are
// to be skipped. begun has the bytes read so far; while the length is incomplete, only the length is required.
func (c *conn) requiredBytes(begun []byte) (needed, skip int, err error) {
	if len(begun) < frame.LengthSize {
		return frame.LengthSize, 0, nil
	}
	length, err := frame.Length(begun, c.server.bounds.FrameSize)
	if err != nil {
		return 0, 0, err
	}
	size := frame.LengthSize + length
	needed = min(size, frame.HeaderSize+c.server.bounds.InvocationFrameSize)
	return needed, size - needed, nil
}

// trackPartialFrame records when the incomplete frame began, if there is one. handled reports whether the same input
// completed other frames before it: then the incomplete frame has begun now.
func (c *conn) trackPartialFrame(handled bool) {
	incomplete := len(c.partialFrame) > 0 || c.skipBytes > 0
	tracked := !c.frameStart.IsZero()
	if incomplete == tracked && (!incomplete || !handled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frameStart = time.Time{}
	if incomplete {
		c.frameStart = time.Now()
	}
}

// bufferPartialFrame appends input to partialFrame until that has size bytes, and returns the rest of the input.
func (c *conn) bufferPartialFrame(input []byte, size int) (rest []byte) {
	n := min(max(0, size-len(c.partialFrame)), len(input))
	c.partialFrame = append(c.partialFrame, input[:n]...)
	return input[n:]
}

// handleFramingError handles an invalid frame length, after which the start of the next frame is unknown. Invocations
// read before it are answered, then the connection closes.
func (c *conn) handleFramingError(err error) {
	c.server.violations.Warn("frame_length", err)
	c.ignoreInput = true
	c.partialFrame = nil
	c.sendFrame(func(to []byte) []byte { return frame.AppendError(to, err.Error()) })
	c.closeWhenAnswered()
}

// countInvalidFrame logs and counts an invalid frame, or an invocation of an operation unknown to the executor. At the
// limit the connection closes, so that a peer that sends only invalid frames uses a bounded amount of CPU time.
func (c *conn) countInvalidFrame(kind string, err error) {
	c.server.violations.Warn(kind, err)
	c.mu.Lock()
	c.invalidFrames++
	invalid := c.invalidFrames
	c.mu.Unlock()
	if invalid == c.server.bounds.InvalidFrames {
		c.server.violations.Warn("unfit", nil)
		c.closeWhenAnswered()
	}
}

// ignoresInput reports whether the connection is closed for writing, or so many frames were invalid that no more are
// read.
func (c *conn) ignoresInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed || c.invalidFrames >= ignoreInputFactor*c.server.bounds.InvalidFrames
}

// handleFrame handles one frame, or the beginning of one that is too long for an invocation. If it panics, the panic is
// logged and the stream of the frame is answered with Errored.
func (c *conn) handleFrame(b []byte) {
	h := frame.ReadHeader(b)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("internal_error", "in", "frame", "text", r, "stack", string(debug.Stack()))
			c.failStream(h.Stream)
		}
	}()
	payload := b[frame.HeaderSize:]
	if c.ignoresInput() {
		c.ignoreInput = true
		return
	}
	switch h.Kind {
	case frame.KindInvocation:
		c.handleInvocation(h, payload)
	case frame.KindCancel:
		c.cancelStream(h.Stream)
	case frame.KindHealthCheck:
		c.handleHealthCheck(h, payload)
	default: // the meaning of the stream number is unknown, so no stream is failed
		c.countInvalidFrame("kind", nil)
		c.sendFrame(func(to []byte) []byte { return frame.AppendError(to, unknownKindText) })
	}
}

// handleHealthCheck answers a health check. The answer to an invalid one is unhealthy.
func (c *conn) handleHealthCheck(h frame.Header, payload []byte) {
	healthy := c.server.healthy()
	if err := frame.ReadFields(payload); err != nil || h.Payload > len(payload) {
		c.countInvalidFrame("check", err)
		healthy = false
	} else {
		c.recordHealthCheck()
	}
	c.sendFrame(func(to []byte) []byte { return frame.AppendHealthAnswer(to, h.Stream, healthy) })
}
