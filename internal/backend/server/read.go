package server

import (
	"log/slog"
	"runtime/debug"
	"time"

	"milletbarrow/internal/backend/frame"
)

// read handles all input. Netpoll calls it on the poller, and would call it repeatedly for input left unread.
func (c *conn) read() {
	defer func() {
		if r := recover(); r != nil {
			slog.Error("internal_error", "in", "read", "text", r, "stack", string(debug.Stack()))
			c.abort()
		}
	}()
	r := c.transport.Reader()
	for n := r.Len(); n > 0; n = r.Len() {
		b, err := r.Next(n)
		if err == nil {
			c.feed(b)
			err = r.Release()
		}
		if err != nil {
			c.abort()
			return
		}
	}
}

// feed handles bytes, which are valid until it returns. It stores the beginning of a frame that is not complete, as far as the
// frame can be an invocation.
func (c *conn) feed(b []byte) {
	handled := false
	for len(b) > 0 && !c.ignoreInput {
		if c.skip > 0 {
			n := min(c.skip, len(b))
			c.skip -= n
			b = b[n:]
			continue
		}
		needed := frame.LengthSize
		head := b
		if len(c.partial) > 0 {
			b = c.gather(b, needed)
			head = c.partial
		}
		if len(head) >= needed {
			size, err := frame.Length(head, c.server.bounds.FrameSize)
			if err != nil {
				c.framingLost(err)
				return
			}
			needed = min(frame.LengthSize+size, frame.HeaderSize+c.server.bounds.InvocationFrameSize)
			if len(c.partial) > 0 {
				b = c.gather(b, needed)
				head = c.partial
			}
			if len(head) >= needed {
				c.skip = frame.LengthSize + size - needed
				c.handleFrame(head[:needed])
				handled = true
				if len(c.partial) == 0 {
					b = b[needed:]
				} else if c.partial = c.partial[:0]; cap(c.partial) > c.server.bounds.PartialFrameBuffer {
					c.partial = nil
				}
				continue
			}
		}
		if len(c.partial) == 0 {
			b = c.gather(b, len(b))
		}
	}
	c.trackPartialFrame(handled)
}

// trackPartialFrame records when the frame that is not complete began. handled: frames before it were handled now.
func (c *conn) trackPartialFrame(handled bool) {
	within := len(c.partial) > 0 || c.skip > 0
	if within == !c.frameStart.IsZero() && (!within || !handled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frameStart = time.Time{}
	if within {
		c.frameStart = time.Now()
	}
}

// gather moves bytes to partial until it holds size of them, and returns the rest.
func (c *conn) gather(b []byte, size int) []byte {
	n := min(max(0, size-len(c.partial)), len(b))
	c.partial = append(c.partial, b[:n]...)
	return b[n:]
}

// framingLost handles a length that no frame can have: the frames after it cannot be found. Invocations read before are answered,
// then the connection closes.
func (c *conn) framingLost(err error) {
	c.server.violations.Warn("frame_length", err)
	c.ignoreInput, c.partial = true, nil
	c.send(func(to []byte) []byte { return frame.AppendError(to, err.Error()) })
	c.closeWhenAnswered()
}

// reject counts an invalid frame, or an invocation that the executor does not know. It limits floods of them: a caller that
// sends nothing else costs a bounded amount of CPU time, then its connection closes.
func (c *conn) reject(kind string, err error) {
	c.server.violations.Warn(kind, err)
	c.mu.Lock()
	c.invalid++
	invalid, most := c.invalid, c.server.bounds.InvalidFrames
	c.mu.Unlock()
	if invalid == most {
		c.server.violations.Warn("unfit", nil)
		c.closeWhenAnswered()
	}
}

// ignoresInput reports whether nothing on the connection can be answered any more, or so many frames were invalid that no further
// one is read.
func (c *conn) ignoresInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed || c.invalid >= 2*c.server.bounds.InvalidFrames
}

// handleFrame handles one frame; b holds all of it, or the beginning of one that is too long. A panic is logged, and the stream
// of the frame is answered.
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
		good := c.server.healthy()
		if err := frame.ReadFields(payload); err != nil || h.Payload > len(payload) {
			c.reject("check", err)
			good = false
		} else {
			c.openStream(nil)
		}
		c.send(func(to []byte) []byte { return frame.AppendHealthAnswer(to, h.Stream, good) })
	default: // the meaning of its stream number is unknown, so no stream is touched
		c.reject("kind", nil)
		c.send(func(to []byte) []byte { return frame.AppendError(to, "unknown type") })
	}
}
