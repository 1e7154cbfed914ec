package membership

import (
	"context"
	"net"
	"time"

	"milletbarrow/internal/cluster/transport"
)

const (
	// minDialInterval is the shortest time between two dials of a peer; datagrams in between are lost.
	minDialInterval = 200 * time.Millisecond
	// maxQueuedPackets is the number of datagrams queued for one peer; further ones are lost.
	maxQueuedPackets = 64
	// packetTimeoutDivisor is the ratio of the time limit of a call to that of a datagram.
	packetTimeoutDivisor = 4
)

// packetSender sends datagrams to one peer over one connection, which it replaces when it breaks. All methods but
// enqueue are for the goroutine of run.
type packetSender struct {
	host      string // of the peer
	transport *transport.Transport
	timeout   time.Duration // of one dial, and of one datagram
	queue     chan []byte

	conn     net.Conn  // nil: none is open
	dialedAt time.Time // start of the last dial
}

// newPacketSender returns a sender to a peer, whose run is not started.
func newPacketSender(config Config, host string) *packetSender {
	return &packetSender{
		host:      host,
		transport: config.Transport,
		timeout:   config.Bounds.CallTimeout / packetTimeoutDivisor,
		queue:     make(chan []byte, maxQueuedPackets),
	}
}

// enqueue queues a datagram, or drops it if the queue is full. It may be called from any goroutine.
func (s *packetSender) enqueue(packet []byte) {
	select {
	case s.queue <- packet:
	default:
	}
}

// run sends queued datagrams until ctx ends.
func (s *packetSender) run(ctx context.Context) {
	defer s.disconnect()
	for {
		select {
		case packet := <-s.queue:
			s.send(ctx, packet)
		case <-ctx.Done():
			return
		}
	}
}

// send writes one datagram. It is lost if the peer cannot be reached.
func (s *packetSender) send(ctx context.Context, packet []byte) {
	if s.conn == nil && !s.connect(ctx) {
		return
	}
	conn := s.conn
	_ = conn.SetWriteDeadline(time.Now().Add(s.timeout)) // fails only for a closed connection, as the write does
	stop := context.AfterFunc(ctx, func() { _ = conn.SetWriteDeadline(time.Now()) })
	defer stop()
	if transport.WriteFrame(conn, packet) != nil {
		s.disconnect()
	}
}

// connect dials the peer, unless the last dial is less than minDialInterval ago, and reports whether a connection is
// open.
func (s *packetSender) connect(ctx context.Context) bool {
	if time.Since(s.dialedAt) <= minDialInterval {
		return false
	}
	s.dialedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	conn, err := s.transport.Dial(ctx, transport.KindPacket, s.host)
	if err != nil {
		return false
	}
	s.conn = conn
	return true
}

// disconnect closes the connection, if one is open.
func (s *packetSender) disconnect() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
