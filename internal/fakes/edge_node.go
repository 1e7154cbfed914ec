// Package fakes holds test helpers of several packages: golden traces in testdata, and fakes of the systems around a
// backend, namely edge nodes, the executor and the endpoint registry. The fakes implement the protocols independently
// of the backend's code.
package fakes

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Types of frames, and the code of a successful answer, as the protocol defines them.
const (
	frameInvocation   = 10
	frameAnswer       = 11
	frameHealthAnswer = 21
	frameGoAway       = 30
	succeeded         = 1
)

// Frame is a decoded frame of the backend.
type Frame struct {
	Type   byte
	Stream uint32
	Code   byte
	Fields string // name=value, separated by spaces, in the order received
	Body   string
}

// String formats a frame for golden traces.
func (f Frame) String() string {
	switch f.Type {
	case frameAnswer, frameHealthAnswer:
		return strings.TrimSpace(
			fmt.Sprintf("%d stream %d code %d %s %.40q", f.Type, f.Stream, f.Code, f.Fields, f.Body),
		)
	}
	return fmt.Sprintf("%d stream %d", f.Type, f.Stream)
}

// EncodeFrame encodes a frame of any type.
func EncodeFrame(kind byte, stream uint32, payload string) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	return string(binary.BigEndian.AppendUint32(append(b, kind), stream)) + payload
}

// EncodeFields encodes name=value pairs as the header fields of a frame.
func EncodeFields(pairs ...string) string {
	b := []byte{byte(len(pairs))}
	for _, p := range pairs {
		name, value, _ := strings.Cut(p, "=")
		b = append(append(b, byte(len(name))), name...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(value))), value...)
	}
	return string(b)
}

// DefaultFields returns the fields of a request that is sent now with a client timeout of four seconds. Edits
// (name=value) replace fields or, with an empty value, remove them.
func DefaultFields(number int, edits ...string) []string {
	pairs := []string{
		"class=look", fmt.Sprintf("id=%016x", number), fmt.Sprint("at=", time.Now().UnixMilli()), "from=1",
		"tenant=acme", "wait=4000", "cost=20.50", "kb=20.0", "rank=0.5000",
	}
	for _, e := range edits {
		name, value, _ := strings.Cut(e, "=")
		remaining := pairs[:0]
		for _, p := range pairs {
			if !strings.HasPrefix(p, name+"=") {
				remaining = append(remaining, p)
			}
		}
		if pairs = remaining; value != "" {
			pairs = append(pairs, e)
		}
	}
	return pairs
}

// Invocation encodes the invocation frame of a request whose id is the number.
func Invocation(stream uint32, number int, edits ...string) string {
	return EncodeFrame(
		frameInvocation,
		stream,
		EncodeFields(DefaultFields(number, edits...)...)+fmt.Sprint("body ", number),
	)
}

// Attempt encodes the invocation frame of one attempt at the operation post with an idempotency key. The body depends
// only on the key.
func Attempt(stream uint32, number int, idempotencyKey string, edits ...string) string {
	fields := DefaultFields(number, append(edits, "class=post", "once="+idempotencyKey)...)
	return EncodeFrame(frameInvocation, stream, EncodeFields(fields...)+"work "+idempotencyKey)
}

// EdgeNode is an edge node with one connection.
type EdgeNode struct {
	tb testing.TB
	net.Conn
	in *bufio.Reader
}

// Dial connects an edge node to a backend, until the end of the test.
func Dial(t testing.TB, address string) *EdgeNode {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return NewEdgeNode(t, conn)
}

// NewEdgeNode wraps a connection. t may be nil where Send and Expect are not used.
func NewEdgeNode(t testing.TB, conn net.Conn) *EdgeNode {
	return &EdgeNode{tb: t, Conn: conn, in: bufio.NewReader(conn)}
}

// RoundTrip sends bytes and reads the next frame.
func (n *EdgeNode) RoundTrip(text string) (Frame, error) {
	if _, err := io.WriteString(n.Conn, text); err != nil {
		return Frame{}, err
	}
	return n.Next()
}

// Send writes bytes unchanged and fails the test if the write fails.
func (n *EdgeNode) Send(parts ...string) {
	n.tb.Helper()
	if _, err := io.WriteString(n.Conn, strings.Join(parts, "")); err != nil {
		n.tb.Fatal(err)
	}
}

// Next reads a frame. An error means that the connection has ended.
func (n *EdgeNode) Next() (f Frame, err error) {
	_ = n.SetReadDeadline(time.Now().Add(waitLimit))
	var header [9]byte
	if _, err := io.ReadFull(n.in, header[:]); err != nil {
		return f, err
	}
	f.Type, f.Stream = header[4], binary.BigEndian.Uint32(header[5:])
	payload := make([]byte, binary.BigEndian.Uint32(header[:])-5)
	if _, err := io.ReadFull(n.in, payload); err != nil {
		return f, err
	}
	if f.Type == frameAnswer || f.Type == frameHealthAnswer {
		var fields []string
		f.Code = payload[0]
		count := int(payload[1])
		for payload = payload[2:]; count > 0; count-- {
			name := string(payload[1 : 1+payload[0]])
			payload = payload[1+len(name):]
			size := binary.BigEndian.Uint16(payload)
			fields = append(fields, name+"="+string(payload[2:2+size]))
			payload = payload[2+size:]
		}
		f.Fields, f.Body = strings.Join(fields, " "), string(payload)
	}
	return f, nil
}

// Expect reads a frame and fails the test if the connection ends or the read times out.
func (n *EdgeNode) Expect() Frame {
	n.tb.Helper()
	f, err := n.Next()
	if err != nil {
		n.tb.Fatalf("reading a frame: %v", err)
	}
	return f
}
