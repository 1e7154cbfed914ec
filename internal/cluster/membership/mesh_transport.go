package membership

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"milletbarrow/internal/cluster/transport"
)

const (
	maxPacketBytes    = 64 << 10 // of a datagram
	maxPendingPackets = 64       // datagrams queued for the library; while the queue is full, connections are not read
)

// meshTransport carries the library's datagrams and streams over the agents' transport. All its goroutines end with the
// context passed to newMeshTransport, or with Shutdown. It stores a context because it implements
// memberlist.NodeAwareTransport, whose methods take none.
type meshTransport struct {
	config  Config
	hosts   hostList
	packets chan *memberlist.Packet // received datagrams
	streams chan net.Conn           // accepted streams

	ctx    context.Context // ends the goroutines
	cancel context.CancelFunc
	tasks  sync.WaitGroup // all goroutines

	mu      sync.Mutex               // guards senders, and prevents the start of a sender after Shutdown
	senders map[string]*packetSender // by host of the peer
}

// newMeshTransport returns a transport and starts to accept datagrams and streams.
func newMeshTransport(ctx context.Context, config Config) *meshTransport {
	ctx, cancel := context.WithCancel(ctx)
	t := &meshTransport{
		config:  config,
		hosts:   config.Hosts,
		packets: make(chan *memberlist.Packet, maxPendingPackets),
		streams: make(chan net.Conn),
		ctx:     ctx,
		cancel:  cancel,
		senders: map[string]*packetSender{},
	}
	t.tasks.Go(func() { t.accept(transport.KindPacket, t.readPackets) })
	t.tasks.Go(func() { t.accept(transport.KindStream, t.deliverStream) })
	return t
}

// accept accepts connections of one kind and handles each in its own goroutine.
func (t *meshTransport) accept(kind transport.Kind, handle func(net.Conn)) {
	listener := t.config.Transport.Listener(kind)
	stop := context.AfterFunc(t.ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.tasks.Go(func() { handle(conn) })
	}
}

// readPackets passes the datagrams of one connection to the library.
func (t *meshTransport) readPackets(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(t.ctx, func() { _ = conn.Close() })
	defer stop()
	from := t.hosts.address(conn.RemoteAddr().String())
	in := bufio.NewReader(conn)
	for {
		packet, err := transport.ReadFrame(in, maxPacketBytes)
		if err != nil {
			return
		}
		select {
		case t.packets <- &memberlist.Packet{Buf: packet, From: from, Timestamp: time.Now()}:
		case <-t.ctx.Done():
			return
		}
	}
}

// deliverStream passes a connection to the library, which becomes responsible for closing it.
func (t *meshTransport) deliverStream(conn net.Conn) {
	select {
	case t.streams <- conn:
	case <-t.ctx.Done():
		_ = conn.Close()
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *meshTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	address := t.hosts.address(t.config.Host)
	return address.IP, address.Port, nil
}

// WriteTo implements memberlist.Transport.
func (t *meshTransport) WriteTo(packet []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(packet, memberlist.Address{Addr: addr})
}

// WriteToAddress implements memberlist.NodeAwareTransport. It never blocks.
func (t *meshTransport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	host, err := t.hosts.host(to)
	if err != nil {
		return time.Time{}, err
	}
	sender := t.sender(host)
	if sender == nil {
		return time.Time{}, net.ErrClosed
	}
	sender.enqueue(slices.Clone(packet))
	return time.Now(), nil
}

// sender returns the sender of datagrams to a host, or nil after Shutdown.
func (t *meshTransport) sender(host string) *packetSender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sender := t.senders[host]; sender != nil {
		return sender
	}
	if t.ctx.Err() != nil {
		return nil
	}
	sender := newPacketSender(t.config, host)
	t.senders[host] = sender
	t.tasks.Go(func() { sender.run(t.ctx) })
	return sender
}

// PacketCh implements memberlist.Transport.
func (t *meshTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *meshTransport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout implements memberlist.Transport.
func (t *meshTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *meshTransport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	host, err := t.hosts.host(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	return t.config.Transport.Dial(ctx, transport.KindStream, host)
}

// Shutdown implements memberlist.Transport. It stops all goroutines and waits until they have ended.
func (t *meshTransport) Shutdown() error {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.tasks.Wait()
	return nil
}
