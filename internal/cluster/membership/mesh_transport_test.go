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

// largePacket is the length of datagrams of which a few dozen fill the system's buffers.
const largePacket = 60_000

// TestSendingToUnknownHostOrAfterShutdownFails checks that datagrams and streams to no agent are errors, as are
// datagrams after the end.
func TestSendingToUnknownHostOrAfterShutdownFails(t *testing.T) {
	mesh := newMeshTransportOfH1(t, listenAsPeer(t).Addr().String(), limits.ForControl())
	if _, err := mesh.WriteTo(nil, "127.0.0.1:9"); !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("datagram: error %v", err)
	}
	if _, err := mesh.DialTimeout("127.0.0.1:9", time.Second); !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("stream: error %v", err)
	}
	_ = mesh.Shutdown()
	if _, err := mesh.WriteTo(nil, mesh.hosts.address("h2").String()); !errors.Is(err, net.ErrClosed) {
		t.Errorf("datagram after the end: error %v", err)
	}
}

// TestBrokenConnectionIsReplaced checks that datagrams go over a new connection after one has broken, and that a peer
// that breaks each is not dialed more often than minDialInterval allows.
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
	waitUntil(t, waitTimeout, "a broken connection is replaced twice", func() bool {
		if _, err := mesh.WriteTo([]byte("x"), to); err != nil {
			t.Fatal(err)
		}
		return len(accepted) >= 3 && time.Since(start) >= 3*minDialInterval
	})
	if n, most := len(accepted), 1+int(time.Since(start)/minDialInterval); n > most {
		t.Errorf("%d connections within %v, want at most %d", n, time.Since(start), most)
	}
}

// TestWriteToCopiesThePacket checks that what a caller writes into its buffer after WriteTo does not change the
// datagram, and that the connection is closed with the transport.
func TestWriteToCopiesThePacket(t *testing.T) {
	listener := listenAsPeer(t)
	mesh := newMeshTransportOfH1(t, listener.Addr().String(), limits.ForControl())
	packet := []byte("before")
	if _, err := mesh.WriteTo(packet, mesh.hosts.address("h2").String()); err != nil {
		t.Fatal(err)
	}
	copy(packet, "after!") // the connection is not open yet
	in := bufio.NewReader(accept(t, listener))
	if _, err := in.ReadString('\n'); err != nil { // the greeting
		t.Fatal(err)
	}
	if got, err := transport.ReadFrame(in, maxPacketBytes); err != nil || string(got) != "before" {
		t.Errorf("sent %q, %v", got, err)
	}
	_ = mesh.Shutdown()
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the end the connection is open: %v", err)
	}
}

// TestFullQueueDropsDatagrams checks that datagrams beyond a full queue are dropped, and that their caller does not
// wait.
func TestFullQueueDropsDatagrams(t *testing.T) {
	sender := newPacketSender(Config{Bounds: limits.ForControl()}, "h2") // not run: nothing leaves its queue
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
		t.Fatal("a full queue blocks its caller")
	}
	for i := range maxQueuedPackets {
		if packet := <-sender.queue; packet[0] != byte(i) {
			t.Fatalf("datagram %d is in place %d", packet[0], i)
		}
	}
	if n := len(sender.queue); n > 0 {
		t.Errorf("%d datagrams more are queued", n)
	}
}

// TestUnreadConnectionIsReplaced checks that a connection whose peer reads nothing is given up after a time, and that
// what is sent then arrives over another, each datagram complete.
func TestUnreadConnectionIsReplaced(t *testing.T) {
	listener := listenAsPeer(t)
	mesh := newMeshTransportOfH1(t, listener.Addr().String(), limits.ForControl())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sent := make(chan error, 1)
	go func() { sent <- sendPackets(ctx, mesh) }()

	accept(t, listener) // nobody reads it
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

// sendPackets sends large datagrams to h2, one a millisecond, until ctx ends.
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

// TestShutdownEndsAllGoroutines checks that all goroutines end, whatever they wait for: a peer that reads nothing, the
// library, a connection.
func TestShutdownEndsAllGoroutines(t *testing.T) {
	bounds := limits.ForControl()
	bounds.CallTimeout = time.Hour // no time limit ends them
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
		condition := fmt.Sprintf("%d datagrams came in", n)
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
	waitForDatagrams(1) // its reader waits for the next one from here on
	// Nobody reads the channels for the library in this test.
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
		t.Fatal("a goroutine goes on")
	}
	cancel()
	if err := <-ran; err != nil {
		t.Error(err)
	}
}
