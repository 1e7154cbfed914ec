package membership

import (
	"context"
	"net"
	"time"

	"milletbarrow/internal/cluster/transport"
)

const (
	// minDialInterval is the minimum time between two dials of a peer; datagrams in between are dropped.
	minDialInterval = 200 * time.Millisecond
	// maxQueuedPackets is the maximum number of datagrams queued for one peer; further ones are dropped.
	maxQueuedPackets = 64
	// packetTimeoutDivisor is the ratio of the time limit of a call to that of sending a datagram.
	packetTimeoutDivisor = 4
)

// packetSender sends datagrams to one peer over one connection, which it replaces after an error. All methods except
// enqueue must be called from the goroutine of run.
type packetSender struct {
	host      string // of the peer
	transport *transport.Transport
	timeout   time.Duration // of one dial, and of one datagram
	queue     chan []byte

	conn     net.Conn  // nil: not connected
	dialedAt time.Time // start of the last dial
}

// newPacketSender returns a sender to a peer. The caller has to start run.
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

// send writes one datagram, or drops it if the peer cannot be reached.
func (s *packetSender) send(ctx context.Context, packet []byte) {
	if s.conn == nil && !s.connect(ctx) {
		return
	}
	conn := s.conn
	// SetWriteDeadline fails only for a closed connection, on which the write fails too.
	_ = conn.SetWriteDeadline(time.Now().Add(s.timeout))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetWriteDeadline(time.Now()) })
	defer stop()
	if transport.WriteFrame(conn, packet) != nil {
		s.disconnect()
	}
}

// connect dials the peer, unless the last dial was within minDialInterval, and reports whether a connection is open.
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
