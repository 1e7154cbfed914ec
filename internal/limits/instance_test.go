package limits

import (
	"testing"

	"milletbarrow/internal/fakes"
)

// TestBounds: whatever the size of the process, connections and invocations have capacity, and the bounds fit within its size.
func TestBounds(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, c := range []struct {
		cores, memoryMB float64
		sockets         int
	}{{1, 192, 1024}, {0.1, 24, 48}, {1, 8, 16}, {4, 2048, 4096}} {
		b := For(c.cores, c.memoryMB, c.sockets)
		tr.Say("%v cores, %v MB, %d descriptors: processors %d, heap %d KB, connections %d, invocations %d, unsent %d KB",
			c.cores, c.memoryMB, c.sockets, b.Processors, b.Heap>>10, b.Connections, b.Invocations, b.UnsentTotal>>10)
		if b.Connections >= c.sockets || b.Heap >= int64(c.memoryMB*(1<<20)) || b.UnsentPerConnection < b.Streams*b.ResultSize {
			t.Errorf("beyond the limits: %+v", b)
		}
	}
}
