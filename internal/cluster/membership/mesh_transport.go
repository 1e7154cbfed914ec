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
	maxPacket         = 64 << 10 // bytes of a datagram
	maxQueuedPackets  = 64       // datagrams for one peer; further ones are lost, as datagrams are
	maxPendingPackets = 64       // datagrams that the library has not read yet; their streams wait then
)

// meshTransport carries the library's datagrams and streams over the agents' transport. All its goroutines end with the
// context that it was made with, or with Shutdown. It implements memberlist.NodeAwareTransport.
type meshTransport struct {
	config  Config
	hosts   hostList
	packets chan *memberlist.Packet
	streams chan net.Conn

	ctx    context.Context // ends the goroutines
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu      sync.Mutex // guards senders, and tasks against a sender that begins after Shutdown
	senders map[string]*packetSender
}

func newMeshTransport(ctx context.Context, config Config) *meshTransport {
	t := &meshTransport{
		config: config, hosts: config.Hosts, packets: make(chan *memberlist.Packet, maxPendingPackets), streams: make(chan net.Conn),
		senders: map[string]*packetSender{},
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.tasks.Go(func() { t.accept(transport.KindPacket, t.readPackets) })
	t.tasks.Go(func() { t.accept(transport.KindStream, t.passStream) })
	return t
}

// accept handles each connection of one kind in a goroutine of its own.
func (t *meshTransport) accept(kind transport.Kind, handle func(net.Conn)) {
	l := t.config.Transport.Listener(kind)
	stop := context.AfterFunc(t.ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.tasks.Go(func() { handle(c) })
	}
}

// readPackets passes the datagrams of one connection to the library.
func (t *meshTransport) readPackets(c net.Conn) {
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(t.ctx, func() { _ = c.Close() })
	defer stop()
	from := t.hosts.address(c.RemoteAddr().String())
	in := bufio.NewReader(c)
	for {
		packet, err := transport.ReadFrame(in, maxPacket)
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

// passStream passes a connection to the library, which closes it.
func (t *meshTransport) passStream(c net.Conn) {
	select {
	case t.streams <- c:
	case <-t.ctx.Done():
		_ = c.Close()
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *meshTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a := t.hosts.address(t.config.Host)
	return a.IP, a.Port, nil
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
	s := t.sender(host)
	if s == nil {
		return time.Time{}, net.ErrClosed
	}
	s.enqueue(slices.Clone(packet))
	return time.Now(), nil
}

// sender returns the sender of datagrams to a host, nil after the end.
func (t *meshTransport) sender(host string) *packetSender {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.senders[host]; s != nil {
		return s
	}
	if t.ctx.Err() != nil {
		return nil
	}
	s := newPacketSender(t.config, host)
	t.senders[host] = s
	t.tasks.Go(func() { s.run(t.ctx) })
	return s
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

// Shutdown implements memberlist.Transport: it ends all goroutines and waits for them.
func (t *meshTransport) Shutdown() error {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.tasks.Wait()
	return nil
}
