package membership

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// patience is how long a test waits for what has to happen.
const patience = 10 * time.Second

// newTestList returns a list of h1, which judges h1 to h4 and is not run, with the changes that it reports and its clock.
func newTestList() (l *List, changed *[]Member, now *monotime.Micros) {
	changed, now = new([]Member), new(monotime.Micros)
	l = New(Config{
		Host: "h1", Hosts: []string{"h1", "h2", "h3", "h4"}, Clock: func() monotime.Micros { return *now },
		OnChange: func(m Member) { *changed = append(*changed, m) },
	})
	return l, changed, now
}

func node(host string, incarnation uint64) *memberlist.Node {
	return &memberlist.Node{Name: host, Meta: binary.BigEndian.AppendUint64(nil, incarnation)}
}

// TestUpdates: a change of state or incarnation is reported once, with the time since; an agent that the configuration does
// not name is ignored.
func TestUpdates(t *testing.T) {
	l, changed, now := newTestList()
	events := changes{l}
	for _, step := range []struct {
		at     monotime.Micros
		notify func(*memberlist.Node)
		node   *memberlist.Node
		want   string // what is reported
	}{
		{5, events.NotifyJoin, node("h2", 1), "[{h2 alive 1 5}]"},
		{6, events.NotifyJoin, node("h2", 1), "[]"},
		{7, events.NotifyJoin, node("stranger", 1), "[]"},
		{8, events.NotifyLeave, node("h2", 1), "[{h2 gone 1 8}]"},
		{9, events.NotifyJoin, node("h2", 1), "[{h2 alive 1 9}]"},
		{10, events.NotifyUpdate, node("h2", 2), "[{h2 alive 2 10}]"}, // restarted without being missed
		{11, events.NotifyUpdate, node("h2", 2), "[]"},
		{12, events.NotifyLeave, node("h3", 9), "[{h3 gone 9 12}]"},
	} {
		*now, *changed = step.at, nil
		step.notify(step.node)
		if got := fmt.Sprint(*changed); got != step.want {
			t.Errorf("at %d: reported %s, want %s", step.at, got, step.want)
		}
	}
	*now = 20
	if got := fmt.Sprint(l.Members()); got != "[{h1 unheard 0 20} {h2 alive 2 10} {h3 gone 9 8} {h4 unheard 0 20}]" {
		t.Errorf("members %s", got)
	}
}

// TestAbsent: agents that are dead or were never heard of are joined, those that are alive are not, nor is this agent
// itself.
func TestAbsent(t *testing.T) {
	l, _, _ := newTestList()
	if got := l.absent(); !slices.Equal(got, []string{"h2", "h3", "h4"}) {
		t.Errorf("at first %v", got)
	}
	changes{l}.NotifyJoin(node("h2", 1))
	changes{l}.NotifyJoin(node("h3", 1))
	changes{l}.NotifyLeave(node("h3", 1))
	if got := l.absent(); !slices.Equal(got, []string{"h3", "h4"}) {
		t.Errorf("with one alive, one dead and one that was never heard of: %v", got)
	}
}

// TestAddresses: each host has an address of its own, which leads back to it; any other address is of no agent.
func TestAddresses(t *testing.T) {
	hosts := hostList{"h1", "h2"}
	for _, host := range hosts {
		for _, a := range []memberlist.Address{{Addr: hosts.address(host).String()}, {Addr: "10.0.0.1:99", Name: host}} {
			if got, err := hosts.host(a); got != host || err != nil {
				t.Errorf("%+v is %q, %v, want %s", a, got, err, host)
			}
		}
	}
	for _, a := range []memberlist.Address{{Addr: "127.0.0.1:0"}, {Addr: "127.0.0.1:3"}, {Addr: "no port"}, {Addr: "127.0.0.1:3", Name: "stranger"}} {
		_, err := hosts.host(a)
		if unknown, ok := errors.AsType[*UnknownMemberError](err); !ok || unknown.Address != a || !strings.HasPrefix(err.Error(), "members: ") {
			t.Errorf("%+v: %v", a, err)
		}
	}
}

// newTestMesh returns the transport of h1, whose peer h2 is at an address of the test's, until the test ends.
func newTestMesh(t *testing.T, peer string, bounds limits.Control) *meshTransport {
	t.Helper()
	tr, err := transport.Listen("h1", "127.0.0.1:0", map[string]string{"h2": peer}, bounds)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	mesh := newMeshTransport(context.Background(), Config{Host: "h1", Hosts: []string{"h1", "h2"}, Transport: tr, Bounds: bounds})
	t.Cleanup(func() { _ = mesh.Shutdown() })
	return mesh
}

// peerListener is a peer's address without an agent behind it.
func peerListener(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// TestDatagramsToNobody: what is sent or dialed to no agent is an error, and what is sent after the end is.
func TestDatagramsToNobody(t *testing.T) {
	mesh := newTestMesh(t, peerListener(t).Addr().String(), limits.ForControl())
	if _, err := mesh.WriteTo(nil, "127.0.0.1:9"); !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("a datagram: %v", err)
	}
	if _, err := mesh.DialTimeout("127.0.0.1:9", time.Second); !errors.As(err, new(*UnknownMemberError)) {
		t.Errorf("a stream: %v", err)
	}
	_ = mesh.Shutdown()
	if _, err := mesh.WriteTo(nil, mesh.hosts.address("h2").String()); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a datagram after the end: %v", err)
	}
}

// TestBrokenStream: datagrams go over a new connection after one has broken, and a peer that breaks each is not dialed
// more often than minDialInterval allows.
func TestBrokenStream(t *testing.T) {
	l := peerListener(t)
	mesh := newTestMesh(t, l.Addr().String(), limits.ForControl())
	accepted := make(chan net.Conn, 1000)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
			_ = c.Close()
		}
	}()
	to := mesh.hosts.address("h2").String()
	began := time.Now()
	for len(accepted) < 3 || time.Since(began) < 3*minDialInterval {
		if _, err := mesh.WriteTo([]byte("x"), to); err != nil {
			t.Fatal(err)
		}
		if time.Since(began) > patience {
			t.Fatalf("%d connections: a broken one is not replaced", len(accepted))
		}
		time.Sleep(time.Millisecond)
	}
	if n, most := len(accepted), 1+int(time.Since(began)/minDialInterval); n > most {
		t.Errorf("%d connections within %v, at most %d are wanted", n, time.Since(began), most)
	}
}

// TestPacketIsCopied: what a caller writes into its buffer after WriteTo does not change the datagram, and the connection is
// closed with the transport.
func TestPacketIsCopied(t *testing.T) {
	l := peerListener(t)
	mesh := newTestMesh(t, l.Addr().String(), limits.ForControl())
	packet := []byte("before")
	if _, err := mesh.WriteTo(packet, mesh.hosts.address("h2").String()); err != nil {
		t.Fatal(err)
	}
	copy(packet, "after!") // its connection is not open yet
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(patience))
	in := bufio.NewReader(c)
	if _, err := in.ReadString('\n'); err != nil { // the greeting
		t.Fatal(err)
	}
	if got, err := transport.ReadFrame(in, maxPacket); err != nil || string(got) != "before" {
		t.Errorf("sent %q, %v", got, err)
	}
	_ = mesh.Shutdown()
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the end the connection is open: %v", err)
	}
}

// TestFullQueue: datagrams beyond a full queue are dropped, and whoever sends them does not wait.
func TestFullQueue(t *testing.T) {
	s := newPacketSender(Config{Bounds: limits.ForControl()}, "h2") // not run: nothing leaves its queue
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 2 * maxQueuedPackets {
			s.enqueue([]byte{byte(i)})
		}
	}()
	select {
	case <-done:
	case <-time.After(patience):
		t.Fatal("a full queue blocks its sender")
	}
	for i := range maxQueuedPackets {
		if packet := <-s.queue; packet[0] != byte(i) {
			t.Fatalf("datagram %d is in place %d", packet[0], i)
		}
	}
	if n := len(s.queue); n > 0 {
		t.Errorf("%d datagrams more are queued", n)
	}
}

// TestUnreadStream: a connection whose peer reads nothing is given up after a time, and what is sent then arrives over
// another, each datagram complete.
func TestUnreadStream(t *testing.T) {
	l := peerListener(t)
	mesh := newTestMesh(t, l.Addr().String(), limits.ForControl())
	stop := make(chan struct{})
	sent := make(chan error, 1)
	go func() {
		for i := uint32(0); ; i++ {
			packet := make([]byte, 60_000) // a few dozen fill the system's buffers
			binary.BigEndian.PutUint32(packet, i)
			if _, err := mesh.WriteTo(packet, mesh.hosts.address("h2").String()); err != nil {
				sent <- err
				return
			}
			select {
			case <-stop:
				sent <- nil
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	for i := range 2 {
		_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(patience))
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("connection %d: %v", i+1, err)
		}
		defer c.Close()
		if i == 0 {
			continue // nobody reads it
		}
		_ = c.SetReadDeadline(time.Now().Add(patience))
		in := bufio.NewReader(c)
		if greeting, err := in.ReadString('\n'); err != nil || greeting != "milletbarrow/1 packet h2 h1\n" {
			t.Fatalf("greeted with %q, %v", greeting, err)
		}
		for last := -1; last < 0; {
			packet, err := transport.ReadFrame(in, maxPacket)
			if err != nil || len(packet) != 60_000 {
				t.Fatalf("%d bytes, %v", len(packet), err)
			}
			last = int(binary.BigEndian.Uint32(packet))
		}
	}
	close(stop)
	if err := <-sent; err != nil {
		t.Error(err)
	}
}

// TestMeshShutdown: all goroutines end, whatever they wait for: a peer that reads nothing, the library, a connection.
func TestMeshShutdown(t *testing.T) {
	l := peerListener(t)
	bounds := limits.ForControl()
	bounds.CallTimeout = time.Hour // no time limit ends them
	mesh := newTestMesh(t, l.Addr().String(), bounds)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ran := make(chan error, 1)
	go func() { ran <- mesh.config.Transport.Run(ctx) }()
	self, err := transport.Listen("h2", "127.0.0.1:0", map[string]string{"h1": mesh.config.Transport.Address()}, limits.ForControl())
	if err != nil {
		t.Fatal(err)
	}
	defer self.Close()
	received := func(n int) {
		t.Helper()
		for began := time.Now(); len(mesh.packets) < n; time.Sleep(time.Millisecond) {
			if time.Since(began) > patience {
				t.Fatalf("%d datagrams came in, %d were sent", len(mesh.packets), n)
			}
		}
	}
	idle, err := self.Dial(ctx, transport.KindPacket, "h1")
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	if err := transport.WriteFrame(idle, []byte("x")); err != nil {
		t.Fatal(err)
	}
	received(1) // its reader waits for the next one from here on
	for _, kind := range []transport.Kind{transport.KindPacket, transport.KindStream} {
		c, err := self.Dial(ctx, kind, "h1")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for range 2 * maxPendingPackets { // nobody reads the library's channels here
			if err := transport.WriteFrame(c, []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 1000 {
		_, _ = mesh.WriteTo(make([]byte, 60_000), mesh.hosts.address("h2").String())
	}
	received(maxPendingPackets)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = mesh.Shutdown()
	}()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("a goroutine goes on")
	}
	cancel()
	if err := <-ran; err != nil {
		t.Error(err)
	}
}
