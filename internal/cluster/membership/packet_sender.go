package membership

import (
	"context"
	"net"
	"time"

	"milletbarrow/internal/cluster/transport"
)

// minDialInterval is the least time between two attempts to reach a peer; datagrams in between are lost.
const minDialInterval = 200 * time.Millisecond

// packetSender sends datagrams to one peer over one connection, which it opens anew where it breaks. Its methods are for
// the goroutine of run, except enqueue.
type packetSender struct {
	host      string
	transport *transport.Transport
	timeout   time.Duration // of one attempt to dial, and of one datagram
	queue     chan []byte

	conn     net.Conn // nil: none is open
	dialedAt time.Time
}

func newPacketSender(config Config, host string) *packetSender {
	return &packetSender{host: host, transport: config.Transport, timeout: config.Bounds.CallTimeout / 4, queue: make(chan []byte, maxQueuedPackets)}
}

// enqueue queues a datagram, or drops it where the queue is full. It may be called from any goroutine.
func (s *packetSender) enqueue(packet []byte) {
	select {
	case s.queue <- packet:
	default:
	}
}

// run sends what is queued until ctx ends.
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

// send writes one datagram; it is lost where the peer can't be reached.
func (s *packetSender) send(ctx context.Context, packet []byte) {
	if s.conn == nil && !s.connect(ctx) {
		return
	}
	conn := s.conn
	_ = conn.SetWriteDeadline(time.Now().Add(s.timeout)) // fails for a closed connection alone, and then the write does too
	stop := context.AfterFunc(ctx, func() { _ = conn.SetWriteDeadline(time.Now()) })
	defer stop()
	if transport.WriteFrame(conn, packet) != nil {
		s.disconnect()
	}
}

// connect dials the peer, unless it did so a short time ago, and reports whether a connection is open.
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

func (s *packetSender) disconnect() {
	if s.conn != nil {
		_ = s.conn.Close()
		s.conn = nil
	}
}
