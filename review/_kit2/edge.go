package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Types of frames.
const (
	frameRequest = 10
	frameAnswer  = 11
	frameCancel  = 12
	frameGoAway  = 30
)

// maxOpen is how many requests one connection carries at a time.
const maxOpen = 32

// edge stands in for an edge node. It sends requests to one backend, opens connections when it needs them, sends no new
// request on a connection that got a frame of type 30, and closes that once all on it is answered.
type edge struct {
	Number  int
	Address string
	Machine *machine

	mu      sync.Mutex
	conns   []*edgeConn
	refused int // attempts to connect that were refused
}

type edgeConn struct {
	edge   *edge
	conn   net.Conn
	next   uint32
	open   map[uint32]*request // without an answer
	all    map[uint32]*request // by stream
	goAway bool
	done   bool
}

func appendField(to []byte, name, value string) []byte {
	to = append(to, byte(len(name)))
	to = append(to, name...)
	to = binary.BigEndian.AppendUint16(to, uint16(len(value)))
	return append(to, value...)
}

// frameOf encodes a request on a stream.
func frameOf(stream uint32, r *request, from int) []byte {
	fields := [][2]string{
		{"class", r.Class}, {"id", r.ID}, {"at", fmt.Sprint(r.At.UnixMilli())}, {"from", fmt.Sprint(from)},
		{"tenant", "acme"}, {"wait", fmt.Sprint(r.Wait.Milliseconds())}, {"cost", fmt.Sprintf("%d.00", max(r.Cost, 1))}, {"kb", "24.5"}, {"rank", "0.6250"},
	}
	if r.Retry {
		fields = append(fields, [2]string{"retry", "1"})
	}
	if r.Key != "" {
		fields = append(fields, [2]string{"once", r.Key})
	}
	payload := []byte{byte(len(fields))}
	for _, f := range fields {
		payload = appendField(payload, f[0], f[1])
	}
	payload = append(payload, r.Body...)
	out := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	out = append(out, frameRequest)
	out = binary.BigEndian.AppendUint32(out, stream)
	return append(out, payload...)
}

// send writes a request on a connection with room, or on a new one. It reports false if no connection could be opened:
// a refused connection proves that nothing ran.
func (e *edge) send(r *request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	var use *edgeConn
	for _, c := range e.conns {
		if !c.done && !c.goAway && len(c.open) < maxOpen {
			use = c
			break
		}
	}
	if use == nil {
		conn, err := net.DialTimeout("tcp", e.Address, 500*time.Millisecond)
		if err != nil {
			e.refused++
			return false
		}
		use = &edgeConn{edge: e, conn: conn, open: map[uint32]*request{}, all: map[uint32]*request{}}
		e.conns = append(e.conns, use)
		go use.read()
	}
	use.next++
	r.At = time.Now().Truncate(time.Millisecond)
	e.Machine.register(r)
	use.open[use.next] = r
	use.all[use.next] = r
	_, err := use.conn.Write(frameOf(use.next, r, e.Number))
	e.Machine.mu.Lock()
	if err == nil {
		r.Written = time.Now()
	} else {
		r.Ended, r.EndedAt = "not written: "+err.Error(), time.Now()
	}
	e.Machine.mu.Unlock()
	return true
}

// read takes answers until the connection ends.
func (c *edgeConn) read() {
	var cause error
	for {
		var head [4]byte
		if _, cause = io.ReadFull(c.conn, head[:]); cause != nil {
			break
		}
		frame := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, cause = io.ReadFull(c.conn, frame); cause != nil {
			break
		}
		c.take(frame)
	}
	now := time.Now()
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	c.done = true
	_ = c.conn.Close()
	c.edge.Machine.mu.Lock()
	defer c.edge.Machine.mu.Unlock()
	for _, r := range c.open {
		if r.Ended == "" {
			r.Ended, r.EndedAt = "connection ended: "+cause.Error(), now
		}
	}
}

func (c *edgeConn) take(frame []byte) {
	now := time.Now()
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	kind, stream := frame[0], binary.BigEndian.Uint32(frame[1:])
	switch kind {
	case frameGoAway:
		c.goAway = true
	case frameAnswer:
		r := c.all[stream]
		if r == nil {
			break
		}
		code, body := frame[5], skipFields(frame[6:])
		c.edge.Machine.mu.Lock()
		r.Answers = append(r.Answers, answer{At: now, Code: code, Body: string(body)})
		c.edge.Machine.mu.Unlock()
		delete(c.open, stream)
	}
	if c.goAway && len(c.open) == 0 && !c.done {
		_ = c.conn.Close()
	}
}

// skipFields returns what follows the fields of an answer.
func skipFields(b []byte) []byte {
	count := int(b[0])
	b = b[1:]
	for range count {
		b = b[1+int(b[0]):]
		b = b[2+int(binary.BigEndian.Uint16(b)):]
	}
	return b
}

// giveUp sends a frame of type 12 for an open request.
func (e *edge) giveUp(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		for stream, other := range c.open {
			if other != r || c.done {
				continue
			}
			e.Machine.mu.Lock()
			r.Ended, r.EndedAt = "given up", time.Now()
			e.Machine.mu.Unlock()
			out := binary.BigEndian.AppendUint32(nil, 5)
			out = append(out, frameCancel)
			_, _ = c.conn.Write(binary.BigEndian.AppendUint32(out, stream))
			delete(c.open, stream)
			return
		}
	}
}

// reset resets one connection.
func (e *edge) reset(pick int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.conns) == 0 {
		return
	}
	c := e.conns[pick%len(e.conns)]
	if c.done {
		return
	}
	e.Machine.mu.Lock()
	for _, r := range c.open {
		r.Ended, r.EndedAt = "reset by the edge node", time.Now()
	}
	e.Machine.mu.Unlock()
	c.done = true
	_ = c.conn.(*net.TCPConn).SetLinger(0)
	_ = c.conn.Close()
}

func (e *edge) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.conn.Close()
	}
}
