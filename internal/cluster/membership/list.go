// Package membership knows which agents are there: the member list library judges each by its own probes and by those of
// others on its behalf, so that one bad link condemns nobody. It owns the conversations that this takes. What it says is a
// judgement and never a promise: no share and no unit is given anew because of it.
package membership

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"milletbarrow/internal/cluster/transport"
	"milletbarrow/internal/limits"
)

// State of an agent, as this one judges it.
type State string

// The states. Unheard was never heard of since this agent started.
const (
	Alive   State = "alive"
	Suspect State = "suspected"
	Dead    State = "gone"
	Unknown State = "unheard"
)

// Member is one agent, as this one judges it.
type Member struct {
	Host        string `json:"host"`
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation,omitempty"` // another one is another start of that agent
	For         int64  `json:"for_us"`                // in this state
}

// Config is what a List is started with.
type Config struct {
	Host        string
	Incarnation uint64
	Hosts       []string // all, in an order that every agent has
	Transport   *transport.Transport
	Bounds      limits.Control
	Clock       func() int64
	OnChange    func(Member) // must not block
}

// List is one agent's judgement of all.
type List struct {
	config    Config
	list      *memberlist.Memberlist
	transport *meshTransport

	mu      sync.Mutex
	members map[string]Member
}

// Start begins to probe. It goes on until Stop.
func Start(o Config) (*List, error) {
	l := &List{config: o, members: map[string]Member{}, transport: newMeshTransport(o)}
	for _, h := range o.Hosts {
		l.members[h] = Member{Host: h, State: Unknown, For: o.Clock()}
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Delegate, c.Events = o.Host, l.transport, l, l
	c.ProbeInterval, c.ProbeTimeout, c.IndirectChecks, c.SuspicionMult = 500*time.Millisecond, 200*time.Millisecond, 3, 4
	c.GossipInterval, c.PushPullInterval, c.TCPTimeout = 100*time.Millisecond, 5*time.Second, time.Second
	c.DisableTcpPings = true // its datagrams go over streams here, so that a ping of that kind would prove nothing more
	c.EnableCompression, c.Logger = false, log.New(io.Discard, "", 0)
	c.DeadNodeReclaimTime = time.Second
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	l.list = list
	return l, nil
}

// Run joins those that are not in the list, again and again: after a cut nobody else would.
func (l *List) Run(ctx context.Context) {
	every := time.NewTicker(time.Second)
	defer every.Stop()
	for {
		l.refresh()
		for _, s := range l.Members() {
			if s.Host != l.config.Host && (s.State == Dead || s.State == Unknown) {
				_, _ = l.list.Join([]string{s.Host + "/" + l.transport.syntheticAddress(s.Host)})
			}
		}
		select {
		case <-every.C:
		case <-ctx.Done():
			_ = l.list.Shutdown()
			return
		}
	}
}

// judge takes over what the library thinks of each.
func (l *List) refresh() {
	for _, n := range l.list.Members() {
		state := Alive
		if n.State == memberlist.StateSuspect {
			state = Suspect
		}
		l.update(n, state)
	}
}

func (l *List) update(n *memberlist.Node, state State) {
	s := Member{Host: n.Name, State: state, For: l.config.Clock()}
	if len(n.Meta) == 8 {
		s.Incarnation = binary.BigEndian.Uint64(n.Meta)
	}
	l.mu.Lock()
	was, known := l.members[n.Name]
	same := was.State == s.State && was.Incarnation == s.Incarnation
	if known && !same {
		l.members[n.Name] = s
	}
	l.mu.Unlock()
	if known && !same && l.config.OnChange != nil {
		l.config.OnChange(s)
	}
}

// Members lists how all are judged, in order; For is the time until now.
func (l *List) Members() (all []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.config.Hosts {
		s := l.members[h]
		s.For = l.config.Clock() - s.For
		all = append(all, s)
	}
	return all
}

// What the library tells and asks. Meta is the incarnation.

// NotifyJoin implements the member list library's delegates.
func (l *List) NotifyJoin(n *memberlist.Node) { l.update(n, Alive) }

// NotifyUpdate implements the member list library's delegates.
func (l *List) NotifyUpdate(n *memberlist.Node) { l.update(n, Alive) }

// NotifyLeave implements the member list library's delegates.
func (l *List) NotifyLeave(n *memberlist.Node) { l.update(n, Dead) }

// NodeMeta implements the member list library's delegates.
func (l *List) NodeMeta(int) []byte { return binary.BigEndian.AppendUint64(nil, l.config.Incarnation) }

// NotifyMsg implements the member list library's delegates.
func (l *List) NotifyMsg([]byte) {}

// GetBroadcasts implements the member list library's delegates.
func (l *List) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements the member list library's delegates.
func (l *List) LocalState(bool) []byte { return nil }

// MergeRemoteState implements the member list library's delegates.
func (l *List) MergeRemoteState([]byte, bool) {}

// wire carries the library's datagrams and streams over the agents' conversations. The library knows members by addresses;
// here they are made of a host's place in the file, as each agent may reach another by an address of its own.
type meshTransport struct {
	config  Config
	packets chan *memberlist.Packet
	streams chan net.Conn
	closed  chan struct{}
	once    sync.Once

	mu     sync.Mutex
	queues map[string]chan []byte
}

const (
	maxPacket = 64 << 10
	maxQueued = 64 // datagrams for one peer; further ones are lost, as datagrams are
)

func newMeshTransport(o Config) *meshTransport {
	w := &meshTransport{
		config: o, packets: make(chan *memberlist.Packet, 64), streams: make(chan net.Conn), closed: make(chan struct{}),
		queues: map[string]chan []byte{},
	}
	go w.accept(transport.KindPacket, w.readPackets)
	go w.accept(transport.KindStream, func(c net.Conn) {
		select {
		case w.streams <- c:
		case <-w.closed:
			_ = c.Close()
		}
	})
	return w
}

func (w *meshTransport) accept(kind transport.Kind, take func(net.Conn)) {
	l := w.config.Transport.Listener(kind)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go take(c)
	}
}

func (w *meshTransport) readPackets(c net.Conn) {
	defer func() { _ = c.Close() }()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.closed:
			_ = c.Close()
		case <-stop:
		}
	}()
	from := c.RemoteAddr().String()
	in := bufio.NewReader(c)
	for {
		b, err := transport.ReadFrame(in, maxPacket)
		if err != nil {
			return
		}
		select {
		case w.packets <- &memberlist.Packet{Buf: b, From: w.syntheticAddr(from), Timestamp: time.Now()}:
		case <-w.closed:
			return
		}
	}
}

func (w *meshTransport) syntheticAddr(host string) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1 + slices.Index(w.config.Hosts, host)}
}

func (w *meshTransport) syntheticAddress(host string) string { return w.syntheticAddr(host).String() }

// host that an address was made of; empty for none.
func (w *meshTransport) hostOf(a memberlist.Address) string {
	if slices.Contains(w.config.Hosts, a.Name) {
		return a.Name
	}
	_, port, _ := net.SplitHostPort(a.Addr)
	if i, err := strconv.Atoi(port); err == nil && i >= 1 && i <= len(w.config.Hosts) {
		return w.config.Hosts[i-1]
	}
	return ""
}

func (w *meshTransport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a := w.syntheticAddr(w.config.Host)
	return a.IP, a.Port, nil
}

func (w *meshTransport) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (w *meshTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	host := w.hostOf(to)
	if host == "" {
		return time.Time{}, fmt.Errorf("members: %v is nobody", to)
	}
	w.mu.Lock()
	q := w.queues[host]
	if q == nil {
		q = make(chan []byte, maxQueued)
		w.queues[host] = q
		go w.sendPackets(host, q)
	}
	w.mu.Unlock()
	select {
	case q <- slices.Clone(b):
	default:
	}
	return time.Now(), nil
}

// send writes datagrams on one conversation, which is begun anew where it breaks.
func (w *meshTransport) sendPackets(host string, q chan []byte) {
	var c net.Conn
	tried := time.Time{}
	for {
		var b []byte
		select {
		case b = <-q:
		case <-w.closed:
			if c != nil {
				_ = c.Close()
			}
			return
		}
		if c == nil && time.Since(tried) > 200*time.Millisecond {
			tried = time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), w.config.Bounds.CallTimeout/4)
			if fresh, err := w.config.Transport.Dial(ctx, transport.KindPacket, host); err == nil {
				c = fresh
			}
			cancel()
		}
		if c == nil {
			continue
		}
		_ = c.SetWriteDeadline(time.Now().Add(w.config.Bounds.CallTimeout / 4))
		if transport.WriteFrame(c, b) != nil {
			_ = c.Close()
			c = nil
		}
	}
}

func (w *meshTransport) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *meshTransport) StreamCh() <-chan net.Conn           { return w.streams }

func (w *meshTransport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, within)
}

func (w *meshTransport) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	host := w.hostOf(to)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return w.config.Transport.Dial(ctx, transport.KindStream, host)
}

func (w *meshTransport) Shutdown() error {
	w.once.Do(func() { close(w.closed) })
	return nil
}
