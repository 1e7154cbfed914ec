package limits

import (
	"testing"

	"milletbarrow/internal/fakes"
)

// TestBoundsFitProcessSize checks that the bounds of a process fit within its size, and compares them with the
// stored trace.
func TestBoundsFitProcessSize(t *testing.T) {
	trace := fakes.NewTrace(t)
	for _, size := range []struct {
		cores       float64
		memoryMB    float64
		descriptors int
	}{
		{1, 192, 1024},
		{0.1, 24, 48},
		{1, 8, 16},
		{4, 2048, 4096},
	} {
		b := For(size.cores, size.memoryMB, size.descriptors)
		trace.Say("%v cores, %v MB, %d descriptors: "+
			"processors %d, heap %d KB, connections %d, invocations %d, unsent %d KB",
			size.cores, size.memoryMB, size.descriptors,
			b.Processors, b.Heap>>10, b.Connections, b.Invocations, b.UnsentTotal>>10)
		if b.Connections >= size.descriptors {
			t.Errorf("%d connections with %d descriptors", b.Connections, size.descriptors)
		}
		if b.Heap >= int64(size.memoryMB*bytesPerMB) {
			t.Errorf("heap of %d bytes with a memory of %v MB", b.Heap, size.memoryMB)
		}
		if b.UnsentPerConnection < b.Streams*b.ResultSize {
			t.Errorf("%d unsent bytes of a connection, fewer than the results of its streams", b.UnsentPerConnection)
		}
	}
}
