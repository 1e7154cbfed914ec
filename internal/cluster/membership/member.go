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
	Alive     State = "alive"
	Suspected State = "suspected"
	Gone      State = "gone"
	Unheard   State = "unheard"
)

// Seen is one agent.
type Seen struct {
	Host        string `json:"host"`
	State       State  `json:"state"`
	Incarnation uint64 `json:"incarnation,omitempty"` // another one is another start of that agent
	For         int64  `json:"for_us"`                // in this state
}

// Options are what a list is started with.
type Options struct {
	Host        string
	Incarnation uint64
	Hosts       []string // all, in an order that every agent has
	Net         *transport.Net
	Bounds      limits.Control
	Clock       func() int64
	Changed     func(Seen) // must not block
}

// List is one agent's judgement of all.
type List struct {
	o    Options
	list *memberlist.Memberlist
	wire *wire

	mu   sync.Mutex
	seen map[string]Seen
}

// Start begins to probe. It goes on until Stop.
func Start(o Options) (*List, error) {
	l := &List{o: o, seen: map[string]Seen{}, wire: newWire(o)}
	for _, h := range o.Hosts {
		l.seen[h] = Seen{Host: h, State: Unheard, For: o.Clock()}
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Delegate, c.Events = o.Host, l.wire, l, l
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
		l.judge()
		for _, s := range l.View() {
			if s.Host != l.o.Host && (s.State == Gone || s.State == Unheard) {
				l.list.Join([]string{s.Host + "/" + l.wire.address(s.Host)})
			}
		}
		select {
		case <-every.C:
		case <-ctx.Done():
			l.list.Shutdown()
			return
		}
	}
}

// judge takes over what the library thinks of each.
func (l *List) judge() {
	for _, n := range l.list.Members() {
		state := Alive
		if n.State == memberlist.StateSuspect {
			state = Suspected
		}
		l.take(n, state)
	}
}

func (l *List) take(n *memberlist.Node, state State) {
	s := Seen{Host: n.Name, State: state, For: l.o.Clock()}
	if len(n.Meta) == 8 {
		s.Incarnation = binary.BigEndian.Uint64(n.Meta)
	}
	l.mu.Lock()
	was, known := l.seen[n.Name]
	same := was.State == s.State && was.Incarnation == s.Incarnation
	if known && !same {
		l.seen[n.Name] = s
	}
	l.mu.Unlock()
	if known && !same && l.o.Changed != nil {
		l.o.Changed(s)
	}
}

// View is how all are judged, in order; For is the span until now.
func (l *List) View() (all []Seen) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.o.Hosts {
		s := l.seen[h]
		s.For = l.o.Clock() - s.For
		all = append(all, s)
	}
	return all
}

// What the library tells and asks. Meta is the incarnation.

func (l *List) NotifyJoin(n *memberlist.Node)   { l.take(n, Alive) }
func (l *List) NotifyUpdate(n *memberlist.Node) { l.take(n, Alive) }
func (l *List) NotifyLeave(n *memberlist.Node)  { l.take(n, Gone) }
func (l *List) NodeMeta(int) []byte             { return binary.BigEndian.AppendUint64(nil, l.o.Incarnation) }
func (l *List) NotifyMsg([]byte)                {}
func (l *List) GetBroadcasts(int, int) [][]byte { return nil }
func (l *List) LocalState(bool) []byte          { return nil }
func (l *List) MergeRemoteState([]byte, bool)   {}

// wire carries the library's datagrams and streams over the agents' conversations. The library knows members by addresses;
// here they are made of a host's place in the file, as each agent may reach another by an address of its own.
type wire struct {
	o       Options
	packets chan *memberlist.Packet
	streams chan net.Conn
	over    chan struct{}
	once    sync.Once

	mu  sync.Mutex
	out map[string]chan []byte
}

const (
	mostPacket = 64 << 10
	mostWaits  = 64 // datagrams for one peer; further ones are lost, as datagrams are
)

func newWire(o Options) *wire {
	w := &wire{
		o: o, packets: make(chan *memberlist.Packet, 64), streams: make(chan net.Conn), over: make(chan struct{}),
		out: map[string]chan []byte{},
	}
	go w.accept(transport.Packet, w.read)
	go w.accept(transport.Stream, func(c net.Conn) {
		select {
		case w.streams <- c:
		case <-w.over:
			c.Close()
		}
	})
	return w
}

func (w *wire) accept(kind transport.Kind, take func(net.Conn)) {
	l := w.o.Net.Listener(kind)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go take(c)
	}
}

func (w *wire) read(c net.Conn) {
	defer c.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-w.over:
			c.Close()
		case <-stop:
		}
	}()
	from := c.RemoteAddr().String()
	in := bufio.NewReader(c)
	for {
		b, err := transport.ReadMessage(in, mostPacket)
		if err != nil {
			return
		}
		select {
		case w.packets <- &memberlist.Packet{Buf: b, From: w.addr(from), Timestamp: time.Now()}:
		case <-w.over:
			return
		}
	}
}

func (w *wire) addr(host string) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1 + slices.Index(w.o.Hosts, host)}
}

func (w *wire) address(host string) string { return w.addr(host).String() }

// host that an address was made of; empty for none.
func (w *wire) host(a memberlist.Address) string {
	if slices.Contains(w.o.Hosts, a.Name) {
		return a.Name
	}
	_, port, _ := net.SplitHostPort(a.Addr)
	if i, err := strconv.Atoi(port); err == nil && i >= 1 && i <= len(w.o.Hosts) {
		return w.o.Hosts[i-1]
	}
	return ""
}

func (w *wire) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a := w.addr(w.o.Host)
	return a.IP, a.Port, nil
}

func (w *wire) WriteTo(b []byte, addr string) (time.Time, error) {
	return w.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (w *wire) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	host := w.host(to)
	if host == "" {
		return time.Time{}, fmt.Errorf("members: %v is nobody", to)
	}
	w.mu.Lock()
	q := w.out[host]
	if q == nil {
		q = make(chan []byte, mostWaits)
		w.out[host] = q
		go w.send(host, q)
	}
	w.mu.Unlock()
	select {
	case q <- slices.Clone(b):
	default:
	}
	return time.Now(), nil
}

// send writes datagrams on one conversation, which is begun anew where it breaks.
func (w *wire) send(host string, q chan []byte) {
	var c net.Conn
	tried := time.Time{}
	for {
		var b []byte
		select {
		case b = <-q:
		case <-w.over:
			if c != nil {
				c.Close()
			}
			return
		}
		if c == nil && time.Since(tried) > 200*time.Millisecond {
			tried = time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), w.o.Bounds.Call/4)
			if fresh, err := w.o.Net.Dial(ctx, transport.Packet, host); err == nil {
				c = fresh
			}
			cancel()
		}
		if c == nil {
			continue
		}
		c.SetWriteDeadline(time.Now().Add(w.o.Bounds.Call / 4))
		if transport.WriteMessage(c, b) != nil {
			c.Close()
			c = nil
		}
	}
}

func (w *wire) PacketCh() <-chan *memberlist.Packet { return w.packets }
func (w *wire) StreamCh() <-chan net.Conn           { return w.streams }

func (w *wire) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return w.DialAddressTimeout(memberlist.Address{Addr: addr}, within)
}

func (w *wire) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	host := w.host(to)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	return w.o.Net.Dial(ctx, transport.Stream, host)
}

func (w *wire) Shutdown() error {
	w.once.Do(func() { close(w.over) })
	return nil
}
