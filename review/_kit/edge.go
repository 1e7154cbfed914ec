package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// try is one attempt of a request, as its edge node knows it.
type try struct {
	id, class, logical, once, body, tenant string
	retry                                  bool
	wait                                   time.Duration
	work                                   time.Duration

	at       time.Time // written completely
	due      time.Time
	answers  int
	code     byte
	result   string
	after    string
	answered time.Time
	gone     bool // canceled, or the edge node reset its connection
	broken   bool // the connection ended without an answer
	unsent   bool // refused or not written completely
	fresh    bool // first on its connection
	brokenAt time.Time
	notified chan struct{}
}

// edge is a connection of an edge node.
type edge struct {
	c       net.Conn
	exec    *executor
	rec     *record
	name    string
	wmu     sync.Mutex // one frame is written at a time
	mu      sync.Mutex
	next    uint32
	open    map[uint32]*try
	sent    int
	goAway  bool
	ended   bool
	ourEnd  bool
	endedAt time.Time
	health  chan byte
}

func dialEdge(addr, name string, exec *executor, rec *record) (*edge, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	e := &edge{c: c, exec: exec, rec: rec, name: name, open: map[uint32]*try{}, health: make(chan byte, 16)}
	go e.read()
	return e, nil
}

func field(to []byte, name, value string) []byte {
	to = append(to, byte(len(name)))
	to = append(to, name...)
	to = binary.BigEndian.AppendUint16(to, uint16(len(value)))
	return append(to, value...)
}

func frameOf(kind byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

func fieldsOf(pairs ...string) []byte {
	b := []byte{byte(len(pairs) / 2)}
	for i := 0; i+1 < len(pairs); i += 2 {
		b = field(b, pairs[i], pairs[i+1])
	}
	return b
}

// encode gives the frame of a try that comes to the machine at a time.
func (t *try) encode(stream uint32, at time.Time) []byte {
	pairs := []string{"class", t.class, "id", t.id, "at", fmt.Sprint(at.UnixMilli()), "from", "4", "kb", "24.5",
		"rank", "0.5000", "wait", fmt.Sprint(t.wait.Milliseconds())}
	if t.work > 0 {
		pairs = append(pairs, "cost", fmt.Sprintf("%.2f", float64(t.work.Microseconds())/1000))
	}
	if t.tenant != "" {
		pairs = append(pairs, "tenant", t.tenant)
	}
	if t.retry {
		pairs = append(pairs, "retry", "1")
	}
	if t.once != "" {
		pairs = append(pairs, "once", t.once)
	}
	return frameOf(10, stream, append(fieldsOf(pairs...), t.body...))
}

// send writes a try. With pieces over 1 the frame goes out in as many, over the time that spread gives.
func (e *edge) send(t *try, pieces int, spread time.Duration) error {
	e.mu.Lock()
	if e.ended || e.goAway || len(e.open) >= 32 {
		e.mu.Unlock()
		t.unsent = true
		return errors.New("connection takes no request")
	}
	e.next++
	stream := e.next
	t.fresh = e.sent == 0
	e.sent++
	e.open[stream] = t
	e.mu.Unlock()
	e.wmu.Lock()
	defer e.wmu.Unlock()
	at := time.Now()
	t.due = at.Add(t.wait)
	f := t.encode(stream, at)
	e.exec.register(&task{id: t.id, class: t.class, body: t.body, logical: t.logical, arrived: at, work: t.work})
	e.rec.log("send %s stream %d %s %s logical %s wait %v", e.name, stream, t.id, t.class, t.logical, t.wait)
	pieces = max(1, pieces)
	for i := range pieces {
		from, to := len(f)*i/pieces, len(f)*(i+1)/pieces
		if _, err := e.c.Write(f[from:to]); err != nil {
			t.unsent = true
			e.mu.Lock()
			delete(e.open, stream)
			e.mu.Unlock()
			return err
		}
		if i < pieces-1 {
			time.Sleep(spread / time.Duration(pieces-1))
		}
	}
	t.at = time.Now()
	return nil
}

// cancel sends type 12 for a try.
func (e *edge) cancel(t *try) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s, o := range e.open {
		if o == t {
			delete(e.open, s)
			t.gone = true
			e.exec.over(t.id)
			e.rec.log("cancel %s", t.id)
			go func() {
				e.wmu.Lock()
				defer e.wmu.Unlock()
				_, _ = e.c.Write(frameOf(12, s, nil))
			}()
		}
	}
}

// reset ends the connection with a reset from the side of the edge node.
func (e *edge) reset() {
	e.mu.Lock()
	e.ourEnd = true
	for _, t := range e.open {
		t.gone = true
		e.exec.over(t.id)
	}
	e.mu.Unlock()
	if t, ok := e.c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = e.c.Close()
}

func (e *edge) close() {
	e.mu.Lock()
	e.ourEnd = true
	e.mu.Unlock()
	_ = e.c.Close()
}

func (e *edge) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.open) == 0
}

func (e *edge) usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.ended && !e.goAway && len(e.open) < 32
}

func (e *edge) read() {
	head := make([]byte, 9)
	var err error
	for {
		if _, err = io.ReadFull(e.c, head); err != nil {
			break
		}
		p := make([]byte, binary.BigEndian.Uint32(head)-5)
		if _, err = io.ReadFull(e.c, p); err != nil {
			break
		}
		e.handle(head[4], binary.BigEndian.Uint32(head[5:]), p)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	e.endedAt = time.Now()
	for _, t := range e.open {
		if !e.ourEnd {
			t.broken = true
			t.brokenAt = time.Now()
			e.rec.log("broken %s %s: %v", e.name, t.id, err)
		}
		e.exec.over(t.id)
		if t.notified != nil {
			close(t.notified)
		}
	}
	e.open = map[uint32]*try{}
	_ = e.c.Close()
}

func (e *edge) handle(kind byte, stream uint32, p []byte) {
	switch kind {
	case 30:
		e.mu.Lock()
		e.goAway = true
		e.mu.Unlock()
		e.rec.log("goaway %s", e.name)
		e.closeIfDone()
	case 21:
		e.health <- p[0]
	case 11:
		code := p[0]
		body := p[1:]
		n := int(body[0])
		body = body[1:]
		after := ""
		for range n {
			name := string(body[1 : 1+body[0]])
			body = body[1+int(body[0]):]
			size := int(binary.BigEndian.Uint16(body))
			if name == "after" {
				after = string(body[2 : 2+size])
			}
			body = body[2+size:]
		}
		e.mu.Lock()
		t := e.open[stream]
		delete(e.open, stream)
		e.mu.Unlock()
		if t == nil {
			e.rec.log("answer %s stream %d code %d to nobody", e.name, stream, code)
			return
		}
		t.code, t.result, t.after, t.answered = code, string(body), after, time.Now()
		t.answers++
		e.exec.over(t.id)
		e.rec.log("answer %s stream %d %s code %d %q", e.name, stream, t.id, code, body)
		if t.notified != nil {
			close(t.notified)
		}
		e.closeIfDone()
	}
}

// closeIfDone closes a connection that gets no new request once everything on it is answered.
func (e *edge) closeIfDone() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.goAway && len(e.open) == 0 {
		e.ourEnd = true
		_ = e.c.Close()
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func refusedDial(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
