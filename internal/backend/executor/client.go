// Package executor is the link to the farm: its lines (lines.go) and the one connection that
// carries them, made anew whenever it is lost, with the runs in hand kept by id.
package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"time"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
)

// Run is one run on the farm.
type Run struct {
	id, operation string
	body          []byte
	done          chan Outcome
}

// Outcome is how a run ended, with its result.
type Outcome struct {
	End    dispatch.Outcome
	Result []byte
}

// Done brings the outcome, once.
func (r *Run) Done() <-chan Outcome { return r.done }

// Client is the one link to the farm. Its methods never block.
type Client struct {
	bounds  limits.Bounds
	odd     *ratelimitlog.Logger
	greeted func(cold bool, ago dispatch.Micros)
	sampled chan []float64
	moved   chan struct{} // the address is another one

	mu      sync.Mutex
	address string
	wake    *sync.Cond // there is something to write, or the link is over
	conn    net.Conn   // all that is written goes to it, but for the first word of the next
	before  net.Conn   // the one it took over from
	came    bool       // the farm has greeted us once: it is up as long as we are
	nextAt  time.Time  // when next was made
	next    net.Conn   // subscribed, and takes over once it is greeted or conn ends; nil while conn is not level
	out     []byte     // to be written
	runs    map[string]*Run
	last    uint64    // number of the last notice read
	synced  bool      // all notices from before this link have been read
	heard   time.Time // when it was last so
	line    time.Time // when conn last brought something
	tag     uint64    // of the last sample asked for
	asked   bool      // and it has not come
	since   time.Time
}

// New makes a link; greeted is called at each greeting.
func New(
	address string, bounds limits.Bounds, tally *ratelimitlog.Logger, greeted func(cold bool, ago dispatch.Micros),
) *Client {
	l := &Client{
		address: address, bounds: bounds, odd: tally, greeted: greeted,
		runs: map[string]*Run{}, sampled: make(chan []float64, 1), moved: make(chan struct{}, 1),
	}
	l.wake = sync.NewCond(&l.mu)
	return l
}

// Launch starts a run. While there is no link it is kept and goes out with the next one.
func (l *Client) Launch(id, operation string, body []byte) *Run {
	r := &Run{id: id, operation: operation, body: body, done: make(chan Outcome, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = r
	if l.synced {
		l.send(r)
	}
	return r
}

func (l *Client) send(r *Run) {
	l.out = appendLaunch(l.out, r.id, r.operation, r.body)
	l.wake.Signal()
}

// RequestSample asks for the gauges and tells whether it did: not without a link, nor while an answer is to come,
// unless that is so late that it may never come.
func (l *Client) RequestSample() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced || l.asked && time.Since(l.since) < l.bounds.SampleOld {
		return false
	}
	l.ask()
	return true
}

func (l *Client) ask() {
	l.tag++
	l.asked, l.since = true, time.Now()
	l.out = appendSample(l.out, l.tag)
	l.wake.Signal()
}

// Samples brings gauges; only the newest are kept for who comes late.
func (l *Client) Samples() <-chan []float64 { return l.sampled }

// Available tells whether runs can be started now, or will be as soon as a link that was just lost is back: a cut of
// a moment costs no run, and callers that hear of bad health act on it for seconds.
func (l *Client) Available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced || time.Since(l.heard) < l.bounds.LinkMissed
}

// SetAddress names another address of the same farm, to which a new link is made while the old one goes on.
func (l *Client) SetAddress(address string) {
	l.mu.Lock()
	same := l.address == address
	l.address = address
	l.mu.Unlock()
	if !same {
		select {
		case l.moved <- struct{}{}:
		default:
		}
	}
}

// Run holds the link up until the context ends.
func (l *Client) Run(ctx context.Context) {
	dialer := net.Dialer{Timeout: l.bounds.Dial}
	pause := l.bounds.RedialLeast
	look := time.NewTicker(l.bounds.LinkSilent / 2)
	defer look.Stop()
dial:
	for down := false; ctx.Err() == nil; {
		l.mu.Lock()
		address := l.address
		l.mu.Unlock()
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			over := make(chan ending, 1)
			first := l.subscribe(conn)
			go func() { over <- l.hold(ctx, conn, first) }()
			for held := true; held; {
				select {
				case end := <-over:
					if err = end.err; end.greeted {
						pause, down = l.bounds.RedialLeast, false
					}
					held = false
				case <-l.moved: // this link goes on until the next has taken over, or the farm closes it
					pause = l.bounds.RedialLeast
					continue dial
				case <-look.C:
					if l.silent() { // likewise: it may be open at our side alone
						slog.Warn("farm_silent")
						continue dial
					}
				}
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !down {
			slog.Warn("farm_lost", "runs", l.count(), "reason", fmt.Sprint(err))
			down = true
		}
		select {
		case <-time.After(pause):
			pause = min(2*pause, l.bounds.RedialMost)
		case <-l.moved:
			pause = l.bounds.RedialLeast
		case <-ctx.Done():
		}
	}
}

func (l *Client) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// ending is how a link came to its end.
type ending struct {
	greeted bool
	err     error
}

// silent: the link in use has brought nothing for long though it was asked, or has not been greeted for long, and if another
// is on its way, nor has that. Before the first greeting of all nothing is to be done about it: a farm may come up late.
func (l *Client) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	long := l.bounds.LinkSilent
	return (l.asked || l.came && !l.synced) && time.Since(l.line) > long && (l.next == nil || time.Since(l.nextAt) > long)
}

// subscribe brings a new connection in, subscribed from the last notice read. While the link in use is level, it goes on
// taking launches until the new one is greeted: a greeting may be late, or never come. It returns what is to be written
// to the new one first.
func (l *Client) subscribe(conn net.Conn) (first []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = appendSubscribe(nil, l.last)
	if l.next != nil {
		l.next.Close()
	}
	if l.next = nil; l.synced {
		l.next, l.nextAt = conn, time.Now()
		return first
	}
	l.takeOver(conn)
	return first
}

// takeOver makes conn the link in use. The one before is still read, until this one is greeted: its notices count by
// their numbers, whichever link brings them first. What was written to it and not read by the farm is sent again once
// the new link is level. l.mu is held.
func (l *Client) takeOver(conn net.Conn) {
	if l.before != nil {
		l.before.Close()
	}
	l.before = l.conn
	l.unlink(conn)
	l.out = l.out[:0]
}

// unlink lets conn, which may be nil, stand in for a link that is level; l.mu is held.
func (l *Client) unlink(conn net.Conn) {
	if l.synced {
		l.heard = time.Now()
	}
	if l.next == conn {
		l.next = nil
	}
	l.conn, l.synced, l.asked, l.line = conn, false, false, time.Now()
	l.wake.Broadcast()
}

// hold works one connection until it is over.
func (l *Client) hold(ctx context.Context, conn net.Conn, first []byte) (end ending) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	writer.Go(func() { l.write(conn, first) })
	end.greeted, end.err = l.read(conn)
	l.mu.Lock()
	switch conn {
	case l.next:
		l.next = nil
		l.wake.Broadcast()
	case l.conn:
		l.unlink(l.next) // nil where there is none
		l.out = l.out[:0]
	case l.before:
		l.before = nil
	}
	l.mu.Unlock()
	conn.Close()
	writer.Wait()
	return end
}

// write sends what gathers, until the link is over.
func (l *Client) write(conn net.Conn, first []byte) {
	if _, err := conn.Write(first); err != nil {
		conn.Close() // its reader sees the end
		return
	}
	var sending []byte
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for l.conn == conn && len(l.out) == 0 || l.next == conn {
			l.wake.Wait()
		}
		if l.conn != conn {
			return
		}
		sending, l.out = l.out, sending[:0]
		l.mu.Unlock()
		_, err := conn.Write(sending)
		l.mu.Lock()
		if err != nil {
			conn.Close() // its reader sees the end
			return
		}
	}
}

// read takes lines in until the link is over.
func (l *Client) read(conn net.Conn) (greeted bool, err error) {
	// Lines are slices of this buffer; it holds the longest line and the longest result.
	buf := make([]byte, l.bounds.Line+l.bounds.Result+4)
	var gauges []float64
	from, to := 0, 0
	fill := func(least int) error { // until that many bytes stand ready
		if from+least > len(buf) {
			to, from = copy(buf, buf[from:to]), 0
		}
		for to-from < least {
			n, err := conn.Read(buf[to:])
			to += n
			if err != nil && to-from < least {
				return err
			}
		}
		return nil
	}
	for {
		line := -1
		for seen := 0; line < 0; {
			for ; seen < to-from && line < 0; seen++ {
				if buf[from+seen] == '\n' {
					line = seen
				}
			}
			if line >= 0 {
				break
			}
			if to-from > l.bounds.Line {
				return greeted, errors.New("a line without an end")
			}
			if err := fill(to - from + 1); err != nil {
				return greeted, err
			}
		}
		text := buf[from : from+line]
		if line == 0 || text[line-1] != '\r' {
			return greeted, fmt.Errorf("a line that does not end in CR LF: %.40q", text)
		}
		n, err := parse(text[:line-1], gauges[:0])
		if err != nil {
			l.spoilt(n)
			return greeted, fmt.Errorf("cannot read %.60q: %w", text[:line-1], err)
		}
		var id string
		if n.kind == outcome || n.kind == refusal {
			id = string(n.id)
		}
		from += line + 1
		switch n.kind {
		case greeting:
			greeted = true
			slog.Info("farm_up", "cold", n.cold, "ago_us", n.micros)
			l.greeted(n.cold, n.micros)
			l.mu.Lock()
			l.came = true
			if l.next == conn {
				l.takeOver(conn)
			}
			if l.conn == conn {
				if l.before != nil {
					l.before.Close()
				}
				l.ask() // its answer follows the notices that were kept for us
			}
			l.mu.Unlock()
		case sampled:
			gauges = n.gauges
			l.gauge(conn, n)
		case refusal:
			l.odd.Warn("farm_refusal", fmt.Errorf("%.20q %.20q", n.command, id))
			if string(n.command) == "launch" {
				l.over(id, Outcome{End: dispatch.Unrunnable})
			}
		case aside:
			l.mu.Lock()
			if n.number == l.last+1 {
				l.last++
			}
			l.mu.Unlock()
		case outcome:
			end := Outcome{End: n.end}
			if n.length <= l.bounds.Result {
				if err := fill(n.length + 2); err != nil {
					return greeted, err
				}
				end.Result = buf[from : from+n.length]
				from += n.length
			} else { // more than an answer may hold: it cannot be passed on unchanged
				l.odd.Warn("farm_result", fmt.Errorf("%.20q: %d bytes", id, n.length))
				end.End = dispatch.RunErrored
				rest := n.length - (to - from)
				if from = min(from+n.length, to); rest > 0 {
					if _, err := io.CopyN(io.Discard, conn, int64(rest)); err != nil {
						return greeted, err
					}
				}
				if err := fill(2); err != nil {
					return greeted, err
				}
			}
			if buf[from] != '\r' || buf[from+1] != '\n' {
				l.spoilt(n)
				return greeted, fmt.Errorf("result of %d bytes without CR LF", n.length)
			}
			from += 2
			l.mu.Lock()
			news := n.number > l.last
			l.last = max(l.last, n.number)
			if l.conn == conn {
				l.line = time.Now()
			}
			l.mu.Unlock()
			if news {
				end.Result = append([]byte(nil), end.Result...)
				l.over(id, end)
			}
		}
	}
}

// gauge takes the sample last asked for; the first of a link tells that what came before it has been read.
// One from before, which came after another was asked for or another link took over, is passed over.
func (l *Client) gauge(conn net.Conn, n notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.line = time.Now()
	if string(n.tag) != sampleTag(l.tag) {
		return
	}
	l.asked = false
	if !l.synced {
		l.synced = true
		for _, r := range l.runs { // it is not known which of them the farm has read; known ones do no harm
			l.send(r)
		}
	}
	select {
	case <-l.sampled:
	default:
	}
	l.sampled <- append([]float64(nil), n.gauges...)
}

// spoilt is a notice that cannot be read though its number can: it must not come again with every link, and
// the run that it ended has no result.
func (l *Client) spoilt(n notice) {
	if n.kind != outcome || n.number == 0 {
		return
	}
	l.mu.Lock()
	news := n.number > l.last
	l.last = max(l.last, n.number)
	l.mu.Unlock()
	if news {
		l.over(string(n.id), Outcome{End: dispatch.RunErrored})
	}
}

// over ends a run; ends of runs that are not in hand are void.
func (l *Client) over(id string, end Outcome) {
	l.mu.Lock()
	r := l.runs[id]
	delete(l.runs, id)
	l.mu.Unlock()
	if r != nil {
		r.done <- end
	}
}
