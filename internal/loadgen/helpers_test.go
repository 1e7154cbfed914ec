package loadgen

import (
	"net"
	"sync"
	"testing"

	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/simulation"
	"milletbarrow/monotime"
)

// maxFieldsBytes bounds the fields of an invocation that a test backend reads.
const maxFieldsBytes = 2 << 10

// scenarioOf returns a scenario of the given duration with one host, two nodes and a load of half the capacity.
func scenarioOf(duration monotime.Micros) *simulation.Scenario {
	s := simulation.Default()
	s.Duration = duration
	s.Hosts.Count = 1
	s.Nodes.Count = 2
	s.Load.Level = 0.5
	return &s
}

// answerFunc returns the bytes that answer the number-th invocation, counted from 1; nil closes the connection.
type answerFunc func(number int, id string, stream uint32) []byte

// startBackend starts a backend that answers with the given function, and returns its address.
func startBackend(t *testing.T, answer answerFunc) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	b := &testBackend{answer: answer}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// testBackend answers the invocations of all connections one after the other.
type testBackend struct {
	mu     sync.Mutex // guards number and serializes calls of answer
	number int        // invocations so far
	answer answerFunc
}

// serve answers the invocations of one connection.
func (b *testBackend) serve(conn net.Conn) {
	defer conn.Close()
	buffer, filled := make([]byte, 64<<10), 0
	for {
		n, err := conn.Read(buffer[filled:])
		if err != nil {
			return
		}
		filled += n
		for {
			header, payload, size, _ := frame.SplitFrame(buffer[:filled], maxFrameBytes)
			if size == 0 {
				break
			}
			invocation, _ := frame.ReadInvocation(payload, maxFieldsBytes)
			out := b.next(string(invocation.ID), header.Stream)
			filled = copy(buffer, buffer[size:filled])
			if out == nil {
				return
			}
			_, _ = conn.Write(out)
		}
	}
}

// next returns the answer to the next invocation.
func (b *testBackend) next(id string, stream uint32) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	return b.answer(b.number, id, stream)
}

// success returns the answer of a backend that ran the invocation.
func success(id string, stream uint32) []byte {
	return frame.AppendAnswer(nil, stream, frame.Succeeded, 0, false, []byte("result of "+id))
}
