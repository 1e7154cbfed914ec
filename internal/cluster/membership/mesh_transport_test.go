package membership

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/limits"
)

// largePacket is the length of a datagram. A few dozen of them fill the socket buffers.
const largePacket = 60_000

// TestSendingToUnknownHostOrAfterShutdownFails checks that datagrams and streams to an address without an agent return
// errors, as do datagrams after Shutdown.
func TestSendingToUnknownHostOrAfterShutdownFails(t *testing.T) {
	mesh := newMeshTransportOfH1(t, listenAsPeer(t).Addr().String(), limits.ForControl())
	if _, err := mesh.WriteTo(nil, "127.0.0.1:9"); !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("datagram to an unknown address: error %v, want an *UnknownMemberError", err)
	}
	if _, err := mesh.DialTimeout("127.0.0.1:9", time.Second); !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("stream to an unknown address: error %v, want an *UnknownMemberError", err)
	}
	_ = mesh.Shutdown()
	if _, err := mesh.WriteTo(nil, mesh.hosts.address("h2").String()); !errors.Is(err, net.ErrClosed) {
		t.Errorf("datagram after Shutdown: error %v, want net.ErrClosed", err)
	}
}

// TestBrokenConnectionIsReplaced checks that a closed connection is replaced, and that a peer that closes each
// connection is not dialed more often than minDialInterval allows.
func TestBrokenConnectionIsReplaced(t *testing.T) {
	listener := listenAsPeer(t)
	mesh := newMeshTransportOfH1(t, listener.Addr().String(), limits.ForControl())
	accepted := make(chan net.Conn, 1000)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
			_ = conn.Close()
		}
	}()
	to := mesh.hosts.address("h2").String()
	start := time.Now()
	waitUntil(t, waitTimeout, "a closed connection is replaced twice", func() bool {
		if _, err := mesh.WriteTo([]byte("x"), to); err != nil {
			t.Fatal(err)
		}
		return len(accepted) >= 3 && time.Since(start) >= 3*minDialInterval
	})
	if n, most := len(accepted), 1+int(time.Since(start)/minDialInterval); n > most {
		t.Errorf("%d connections within %v, want at most %d", n, time.Since(start), most)
	}
}

// TestWriteToCopiesThePacket checks that the caller may reuse its buffer after WriteTo, and that Shutdown closes the
// connection.
func TestWriteToCopiesThePacket(t *testing.T) {
	listener := listenAsPeer(t)
	mesh := newMeshTransportOfH1(t, listener.Addr().String(), limits.ForControl())
	packet := []byte("before")
	if _, err := mesh.WriteTo(packet, mesh.hosts.address("h2").String()); err != nil {
		t.Fatal(err)
	}
	copy(packet, "after!") // not sent yet, as the connection is not open
	in := bufio.NewReader(accept(t, listener))
	if _, err := in.ReadString('\n'); err != nil { // the greeting
		t.Fatal(err)
	}
	if got, err := transport.ReadFrame(in, maxPacketBytes); err != nil || string(got) != "before" {
		t.Errorf("received %q, error %v, want before", got, err)
	}
	_ = mesh.Shutdown()
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after Shutdown: error %v, want io.EOF", err)
	}
}

// TestFullQueueDropsDatagrams checks that datagrams are dropped while the queue is full, without blocking the caller.
func TestFullQueueDropsDatagrams(t *testing.T) {
	sender := newPacketSender(Config{Bounds: limits.ForControl()}, "h2") // not run, so that its queue is not drained
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 2 * maxQueuedPackets {
			sender.enqueue([]byte{byte(i)})
		}
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatal("enqueue blocks while the queue is full")
	}
	for i := range maxQueuedPackets {
		if packet := <-sender.queue; packet[0] != byte(i) {
			t.Fatalf("datagram %d at position %d", packet[0], i)
		}
	}
	if n := len(sender.queue); n > 0 {
		t.Errorf("%d more datagrams are queued, want 0", n)
	}
}

// TestUnreadConnectionIsReplaced checks that a connection is replaced after a timeout if its peer does not read, and
// that complete datagrams are sent over the new connection.
func TestUnreadConnectionIsReplaced(t *testing.T) {
	listener := listenAsPeer(t)
	mesh := newMeshTransportOfH1(t, listener.Addr().String(), limits.ForControl())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sent := make(chan error, 1)
	go func() { sent <- sendPackets(ctx, mesh) }()

	accept(t, listener) // is not read
	in := bufio.NewReader(accept(t, listener))
	if greeting, err := in.ReadString('\n'); err != nil || greeting != "milletbarrow/1 packet h2 h1\n" {
		t.Fatalf("greeting %q, %v", greeting, err)
	}
	if packet, err := transport.ReadFrame(in, maxPacketBytes); err != nil || len(packet) != largePacket {
		t.Fatalf("datagram of %d bytes, %v", len(packet), err)
	}
	cancel()
	if err := <-sent; err != nil {
		t.Error(err)
	}
}

// sendPackets sends a large datagram to h2 every millisecond, until ctx ends.
func sendPackets(ctx context.Context, mesh *meshTransport) error {
	for {
		if _, err := mesh.WriteTo(make([]byte, largePacket), mesh.hosts.address("h2").String()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Millisecond):
		}
	}
}

// TestShutdownEndsAllGoroutines checks that Shutdown ends all goroutines, including those that are blocked on a peer
// that does not read, on the library, or on a connection.
func TestShutdownEndsAllGoroutines(t *testing.T) {
	bounds := limits.ForControl()
	bounds.CallTimeout = time.Hour // so that no timeout ends the goroutines
	mesh := newMeshTransportOfH1(t, listenAsPeer(t).Addr().String(), bounds)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ran := make(chan error, 1)
	go func() { ran <- mesh.config.Transport.Run(ctx) }()
	addresses := map[string]string{"h1": mesh.config.Transport.Address()}
	peer, err := transport.Listen("h2", "127.0.0.1:0", addresses, limits.ForControl())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	waitForDatagrams := func(n int) {
		t.Helper()
		condition := fmt.Sprintf("%d datagrams were received", n)
		waitUntil(t, waitTimeout, condition, func() bool { return len(mesh.packets) >= n })
	}
	sendFrames := func(kind transport.Kind, count int) {
		t.Helper()
		conn, err := peer.Dial(ctx, kind, "h1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		for range count {
			if err := transport.WriteFrame(conn, []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
	}
	sendFrames(transport.KindPacket, 1)
	waitForDatagrams(1) // from here on its reader is blocked on the connection
	// In this test, nothing reads the library's channels.
	sendFrames(transport.KindPacket, 2*maxPendingPackets)
	sendFrames(transport.KindStream, 2*maxPendingPackets)
	for range 1000 {
		_, _ = mesh.WriteTo(make([]byte, largePacket), mesh.hosts.address("h2").String())
	}
	waitForDatagrams(maxPendingPackets)

	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = mesh.Shutdown()
	}()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("Shutdown did not return in time")
	}
	cancel()
	if err := <-ran; err != nil {
		t.Error(err)
	}
}
