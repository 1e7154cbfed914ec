package server

import (
	"log/slog"
	"runtime/debug"
	"time"

	"milletbarrow/internal/backend/frame"
)

// Texts of errors that belong to no stream. They are sent to the peer: they are part of the protocol.
const (
	unknownKindText = "unknown type"
	streamZeroText  = "an invocation on stream 0"
)

// ignoreAfterFactor is the multiple of the bound on invalid frames after which no more frames are read.
const ignoreAfterFactor = 2

// read handles all input. Netpoll calls it on the poller, and would call it again for input left unread.
func (c *conn) read() {
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
			c.feed(input)
			err = reader.Release()
		}
		if err != nil {
			c.abort()
			return
		}
	}
}

// feed handles input, which is valid until it returns. It stores the beginning of a frame that is not complete, as
// far as the frame can be an invocation, and skips the rest of a frame that is longer.
func (c *conn) feed(input []byte) {
	handled := false
	for len(input) > 0 && !c.ignoreInput {
		if c.skip > 0 {
			n := min(c.skip, len(input))
			c.skip -= n
			input = input[n:]
			continue
		}
		rest, complete, err := c.feedFrame(input)
		if err != nil {
			c.framingLost(err)
			return
		}
		handled = handled || complete
		input = rest
	}
	c.trackPartialFrame(handled)
}

// feedFrame handles the first frame of partial and input and returns the input after it. If the frame is not
// complete, it moves all input to partial.
func (c *conn) feedFrame(input []byte) (rest []byte, complete bool, err error) {
	if len(c.partial) > 0 {
		return c.feedPartialFrame(input)
	}
	needed, skip, err := c.neededOf(input)
	switch {
	case err != nil:
		return nil, false, err
	case len(input) < needed:
		return c.gather(input, len(input)), false, nil
	}
	c.skip = skip
	c.handleFrame(input[:needed])
	return input[needed:], true, nil
}

// feedPartialFrame is feedFrame for a frame whose beginning is in partial.
func (c *conn) feedPartialFrame(input []byte) (rest []byte, complete bool, err error) {
	input = c.gather(input, frame.LengthSize)
	needed, skip, err := c.neededOf(c.partial)
	if err != nil {
		return nil, false, err
	}
	input = c.gather(input, needed)
	if len(c.partial) < needed {
		return input, false, nil
	}
	c.skip = skip
	c.handleFrame(c.partial[:needed])
	if c.partial = c.partial[:0]; cap(c.partial) > c.server.bounds.PartialFrameBuffer {
		c.partial = nil
	}
	return input, true, nil
}

// neededOf returns how many bytes of a frame have to be there before it is handled, and how many after those are
// skipped. begun is the beginning of the frame; without the whole length, the bytes of the length are needed.
func (c *conn) neededOf(begun []byte) (needed, skip int, err error) {
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

// trackPartialFrame records when the frame that is not complete began, if there is one. handled reports whether frames
// before it were handled just now: it has begun since.
func (c *conn) trackPartialFrame(handled bool) {
	within := len(c.partial) > 0 || c.skip > 0
	tracked := !c.frameStart.IsZero()
	if within == tracked && (!within || !handled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frameStart = time.Time{}
	if within {
		c.frameStart = time.Now()
	}
}

// gather moves input to partial until that holds size bytes, and returns the rest.
func (c *conn) gather(input []byte, size int) (rest []byte) {
	n := min(max(0, size-len(c.partial)), len(input))
	c.partial = append(c.partial, input[:n]...)
	return input[n:]
}

// framingLost handles a length that no frame can have: the frames after it cannot be found. Invocations read before are
// answered, then the connection closes.
func (c *conn) framingLost(err error) {
	c.server.violations.Warn("frame_length", err)
	c.ignoreInput = true
	c.partial = nil
	c.send(func(to []byte) []byte { return frame.AppendError(to, err.Error()) })
	c.closeWhenAnswered()
}

// reject counts an invalid frame, or an invocation that the executor does not know. At the bound the connection
// closes, so that a peer that sends nothing else costs a bounded amount of CPU time.
func (c *conn) reject(kind string, err error) {
	c.server.violations.Warn(kind, err)
	c.mu.Lock()
	c.invalid++
	invalid := c.invalid
	c.mu.Unlock()
	if invalid == c.server.bounds.InvalidFrames {
		c.server.violations.Warn("unfit", nil)
		c.closeWhenAnswered()
	}
}

// ignoresInput reports whether nothing on the connection can be answered any more, or so many frames were invalid
// that no more are read.
func (c *conn) ignoresInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed || c.invalid >= ignoreAfterFactor*c.server.bounds.InvalidFrames
}

// handleFrame handles one frame, or the beginning of one that is too long to be an invocation. A panic is logged, and
// the stream of the frame is answered.
func (c *conn) handleFrame(b []byte) {
	h := frame.ReadHeader(b)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("internal_error", "in", "frame", "text", r, "stack", string(debug.Stack()))
			c.fail(h.Stream)
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
		c.cancel(h.Stream)
	case frame.KindHealthCheck:
		c.handleHealthCheck(h, payload)
	default: // what its stream number means is unknown, so no stream is failed
		c.reject("kind", nil)
		c.send(func(to []byte) []byte { return frame.AppendError(to, unknownKindText) })
	}
}

// handleHealthCheck answers a health check; the answer to an invalid one is bad.
func (c *conn) handleHealthCheck(h frame.Header, payload []byte) {
	good := c.server.healthy()
	if err := frame.ReadFields(payload); err != nil || h.Payload > len(payload) {
		c.reject("check", err)
		good = false
	} else {
		c.countHealthCheck()
	}
	c.send(func(to []byte) []byte { return frame.AppendHealthAnswer(to, h.Stream, good) })
}
