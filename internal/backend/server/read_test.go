package server

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/fakes"
)

// sendByteByByte sends each byte of a text in a separate write.
func sendByteByByte(node *fakes.EdgeNode, text string) {
	for _, char := range []byte(text) {
		node.Send(string([]byte{char}))
	}
}

// Frames are handled the same whether they arrive byte by byte or all at once.
func TestFragmentedFramesAreHandled(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	withField := fakes.EncodeFrame(byte(frame.KindHealthCheck), 1, fakes.EncodeFields("a=b"))
	sendByteByByte(node, withField+fakes.Invocation(2, 2)+healthCheck(3))
	launch := s.nextLaunch(t)
	tr.Say("byte by byte: %v, %v, %+v", node.Expect(), node.Expect(), launch)
	s.fakeExecutor.End(launch.ID, "complete", "r")
	tr.Say("  %v", node.Expect())
	frames := make([]string, 20)
	for stream := range frames {
		frames[stream] = healthCheck(uint32(stream))
	}
	node.Send(frames...)
	for stream := range frames {
		if f := node.Expect(); f.Stream != uint32(stream) {
			t.Errorf("answer %d: %v, want stream %d", stream, f, stream)
		}
	}
	s.awaitIdle(t, 1)
}

// An invocation in every encoding that the protocol allows runs, whether it is sent at once, byte by byte, or split
// within its length, a name, a value or its body.
func TestEveryValidInvocationEncodingRuns(t *testing.T) {
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	number := 0
	for _, encoding := range []struct {
		name    string
		payload func(number int) string
	}{
		{"default", func(n int) string { return fakes.EncodeFields(fakes.DefaultFields(n)...) + "body" }},
		{"fields in reverse order", func(n int) string {
			fields := fakes.DefaultFields(n)
			slices.Reverse(fields)
			return fakes.EncodeFields(fields...) + "body"
		}},
		{"unknown fields", func(n int) string {
			unknown := []string{"unknown=value", "x=", "=" + strings.Repeat("v", 300)}
			return fakes.EncodeFields(append(fakes.DefaultFields(n), unknown...)...) + "body"
		}},
		{"required fields alone", func(n int) string {
			return fakes.EncodeFields(fakes.DefaultFields(n, "from=", "cost=", "retry=")...) + "body"
		}},
		{"all known fields", func(n int) string {
			return fakes.EncodeFields(append(fakes.DefaultFields(n), "retry=0", "key=k", "once=o")...) + "body"
		}},
		{"forms of numbers", func(n int) string {
			return fakes.EncodeFields(fakes.DefaultFields(n, "kb=.5", "rank=0", "cost=20.", "wait=04000")...)
		}},
		{"empty body", func(n int) string { return fakes.EncodeFields(fakes.DefaultFields(n)...) }},
		{"binary body", func(n int) string { return fakes.EncodeFields(fakes.DefaultFields(n)...) + "\x00\r\n\xff" }},
	} {
		for _, fragmentation := range []struct {
			name string
			send func(text string)
		}{
			{"at once", func(text string) { node.Send(text) }},
			{"byte by byte", func(text string) { sendByteByByte(node, text) }},
			{"split in the length", func(text string) { sendFragments(node, text, 2) }},
			{"split at the header and in a name", func(text string) { sendFragments(node, text, 9, 14) }},
			{"split in a value", func(text string) { sendFragments(node, text, 30, 31) }},
			{"split in the body", func(text string) { sendFragments(node, text, len(text)-1) }},
			{"each byte of the header", func(text string) { sendFragments(node, text, 1, 2, 3, 4, 5, 6, 7, 8, 9) }},
		} {
			number++
			stream := uint32(number)
			fragmentation.send(fakes.EncodeFrame(byte(frame.KindInvocation), stream, encoding.payload(number)))
			launch := s.endNextRun(t, "complete", "r")
			f := node.Expect()
			answered := f.Stream == stream && f.Code == succeeded && f.Body == "r"
			if !answered || launch.ID != fmt.Sprintf("%016x", number) {
				t.Errorf("%s, %s: %v, launched %v", encoding.name, fragmentation.name, f, launch)
			}
		}
	}
	s.awaitIdle(t, 1)
}

// sendFragments sends a text in fragments that end at the given indices.
func sendFragments(node *fakes.EdgeNode, text string, cuts ...int) {
	start := 0
	for _, cut := range cuts {
		node.Send(text[start:cut])
		start = cut
	}
	node.Send(text[start:])
}

// An invalid frame with a valid length ends its own stream and no other.
func TestInvalidFrameEndsOnlyItsStream(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	node.Send(fakes.Invocation(1, 1))
	valid := s.nextLaunch(t)
	invocation := func(stream uint32, payload string) string {
		return fakes.EncodeFrame(byte(frame.KindInvocation), stream, payload)
	}
	longBody := strings.Repeat("x", s.bounds.BodySize+1)
	for _, test := range []struct {
		name  string
		frame string
	}{
		{"unknown operation", fakes.Invocation(2, 2, "class=nothing")},
		{"unknown tenant", fakes.Invocation(3, 3, "tenant=nobody")},
		{"no tenant", fakes.Invocation(4, 4, "tenant=")},
		{"no fields", invocation(5, "")},
		{"truncated fields", invocation(6, "\x09\x05class")},
		{"body too long", invocation(7, fakes.EncodeFields(fakes.DefaultFields(7)...)+longBody)},
		{"longest frame", invocation(8, strings.Repeat("x", 262_144-5))},
		{"stream 0", fakes.Invocation(0, 9)},
		{"unknown kind", fakes.EncodeFrame(77, 1, "payload")},
		{"an answer", fakes.EncodeFrame(byte(frame.KindAnswer), 1, "\x01\x00")},
		{"truncated health check", fakes.EncodeFrame(byte(frame.KindHealthCheck), 9, "\x01")},
		{"cancel of an unknown stream", cancelFrame(99) + healthCheck(10)},
		{"duplicate of an ID in flight", fakes.Invocation(11, 1)},
		{"duplicate of an open stream", fakes.Invocation(1, 12)},
	} {
		node.Send(test.frame)
		tr.Say("%s: %v", test.name, node.Expect())
	}
	s.fakeExecutor.End(valid.ID, "complete", "result of two open streams")
	node.Send(healthCheck(13))
	tr.Say("a health check after them: %v", node.Expect())
	s.awaitIdle(t, 1)
}

// After an invalid length, no more input is handled. Invocations read before it are answered, then the connection
// closes.
func TestInvalidLengthClosesConnectionAfterAnswers(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	other := fakes.Dial(t, s.address)
	for n, length := range []string{"\x00\x00\x00\x04", "\x00\x04\x00\x01", "\xff\xff\xff\xff"} {
		node := fakes.Dial(t, s.address)
		node.Send(fakes.Invocation(1, 2*n+1), length, "ignored", fakes.Invocation(2, 2*n+2))
		tr.Say("length %x: %v", length, node.Expect())
		s.endNextRun(t, "complete", "still answered")
		tr.Say("  %v", node.Expect())
		_, err := node.Next()
		tr.Say("  then %v", err)
		s.awaitIdle(t, 1)
	}
	other.Send(healthCheck(1))
	tr.Say("the other connection: %v", other.Expect())
}

// A connection with too many invalid frames closes once all open streams are answered. A valid invocation that arrives
// before the close is throttled and does not run.
func TestValidInvocationAfterInvalidFramesIsThrottled(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	node := fakes.Dial(t, s.address)
	node.Send(fakes.Invocation(1, 1))
	first := s.nextLaunch(t)
	for n := range s.bounds.InvalidFrames {
		node.Send(fakes.Invocation(uint32(n+2), n+2, "class=x"))
		if f := node.Expect(); f.Code != errored {
			t.Errorf("invalid frame %d: %v, want errored", n, f)
		}
	}
	node.Send(fakes.Invocation(99, 99))
	tr.Say("a valid invocation: %v", node.Expect())
	s.fakeExecutor.End(first.ID, "complete", "r")
	tr.Say("the first invocation: %v", node.Expect())
	_, err := node.Next()
	tr.Say("then %v", err)
	tr.Say("unread launches %d", len(s.fakeExecutor.Launches))
}

// The time during which the process was stalled does not count towards the timeout of an incomplete frame.
func TestStallDoesNotExpireFrame(t *testing.T) {
	s := openServer(t, nil)
	node, c := s.dialOne(t)
	complete := fakes.Invocation(1, 1)
	node.Send(complete[:30])
	awaitFrameStart(t, c)
	s.sweep(0)
	stalled := s.bounds.FrameTimeout + time.Second
	c.extendDeadlines(-stalled) // as if the frame had begun, and the last sweep had run, that long ago
	s.lastSweep = s.lastSweep.Add(-stalled)
	s.sweep(0)
	node.Send(complete[30:])
	s.endNextRun(t, "complete", "r")
	if f := node.Expect(); f.Code != succeeded {
		t.Errorf("the invocation: %v, want succeeded", f)
	}
}
