package executor

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"milletbarrow/internal/backend/dispatch"
)

// reader reads lines and results from a connection. What it returns are slices of its buffer, valid until the next call.
type reader struct {
	conn     net.Conn
	buf      []byte // holds the longest line and the longest result
	from, to int    // the part of buf that is read and not consumed
	maxLine  int    // bytes, without its end
}

// fill reads until so many bytes are buffered.
func (r *reader) fill(needed int) error {
	if r.from+needed > len(r.buf) {
		r.to, r.from = copy(r.buf, r.buf[r.from:r.to]), 0
	}
	for r.to-r.from < needed {
		n, err := r.conn.Read(r.buf[r.to:])
		r.to += n
		if err != nil && r.to-r.from < needed {
			return err
		}
	}
	return nil
}

// line reads a line and returns it without its CR LF.
func (r *reader) line() ([]byte, error) {
	end := -1
	for seen := 0; end < 0; {
		for ; seen < r.to-r.from && end < 0; seen++ {
			if r.buf[r.from+seen] == '\n' {
				end = seen
			}
		}
		if end >= 0 {
			break
		}
		if r.to-r.from > r.maxLine {
			return nil, errLineTooLong
		}
		if err := r.fill(r.to - r.from + 1); err != nil {
			return nil, err
		}
	}
	text := r.buf[r.from : r.from+end]
	if end == 0 || text[end-1] != '\r' {
		return nil, fmt.Errorf("line %.40q: %w", text, errNoCRLF)
	}
	r.from += end + 1
	return text[:end-1], nil
}

// bytes reads so many bytes, and makes sure that their CR LF is buffered.
func (r *reader) bytes(length int) ([]byte, error) {
	if err := r.fill(length + len("\r\n")); err != nil {
		return nil, err
	}
	b := r.buf[r.from : r.from+length]
	r.from += length
	return b, nil
}

// discard skips so many bytes, which may be more than the buffer holds, up to their CR LF.
func (r *reader) discard(length int) error {
	rest := length - (r.to - r.from)
	r.from = min(r.from+length, r.to)
	if rest > 0 {
		if _, err := io.CopyN(io.Discard, r.conn, int64(rest)); err != nil {
			return err
		}
	}
	return r.fill(len("\r\n"))
}

// crlf consumes the CR LF after a result, which is buffered, and reports whether it was one.
func (r *reader) crlf() bool {
	ok := r.buf[r.from] == '\r' && r.buf[r.from+1] == '\n'
	if ok {
		r.from += len("\r\n")
	}
	return ok
}

// read handles notices until the connection ends or brings a line that cannot be parsed.
func (l *Client) read(conn net.Conn) (greeted bool, err error) {
	r := &reader{conn: conn, buf: make([]byte, l.bounds.LineSize+l.bounds.ResultSize+4), maxLine: l.bounds.LineSize}
	var gauges []float64 // reused for each sample
	for {
		text, err := r.line()
		if err != nil {
			return greeted, err
		}
		n, err := parse(text, gauges[:0])
		if err != nil {
			if n.kind == outcome {
				l.failUnreadable(n.number, string(n.id))
			}
			return greeted, &lineError{line: string(text), err: err}
		}
		switch n.kind {
		case greeting:
			greeted = true
			l.takeGreeting(conn, n)
		case sampled:
			gauges = n.gauges
			l.takeSample(conn, n)
		case refusal:
			l.takeRefusal(n)
		case remark:
			l.takeRemark(n)
		case outcome:
			if err := l.takeOutcome(r, n); err != nil {
				return greeted, err
			}
		}
	}
}

// takeGreeting makes conn the connection in use, and closes the one that it replaces.
func (l *Client) takeGreeting(conn net.Conn, n notice) {
	slog.Info("executor_up", "cold", n.cold, "ago_us", n.micros)
	l.onGreeting(n.cold, n.micros)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.everGreeted = true
	if l.next == conn {
		l.takeOver(conn)
	}
	if l.conn != conn {
		return
	}
	if l.previous != nil {
		_ = l.previous.Close()
	}
	l.sendSample() // its answer follows the notices that the executor has held
}

// takeRefusal ends the run whose launch was refused.
func (l *Client) takeRefusal(n notice) {
	id := string(n.id)
	l.violations.Warn("executor_refusal", fmt.Errorf("%.20q %.20q", n.command, id))
	if string(n.command) == "launch" {
		l.finish(id, Outcome{End: dispatch.Unrunnable})
	}
}

// takeRemark counts a numbered remark, where it is the next notice.
func (l *Client) takeRemark(n notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.number == l.lastNotice+1 {
		l.lastNotice++
	}
}

// takeOutcome reads the result that follows an outcome, and ends its run unless the notice was counted before.
func (l *Client) takeOutcome(r *reader, n notice) error {
	id := string(n.id) // reading the result moves the buffer that the line's slices are of
	end := Outcome{End: n.end}
	var err error
	if n.length <= l.bounds.ResultSize {
		end.Result, err = r.bytes(n.length)
	} else { // more than an answer may hold: it cannot be passed on unchanged
		l.violations.Warn("executor_result", fmt.Errorf("%.20q: %d bytes", id, n.length))
		end.End = dispatch.RunErrored
		err = r.discard(n.length)
	}
	if err != nil {
		return err
	}
	if !r.crlf() {
		l.failUnreadable(n.number, id)
		return fmt.Errorf("result of %d bytes: %w", n.length, errNoCRLF)
	}
	if l.countNotice(r.conn, n.number) {
		end.Result = append([]byte(nil), end.Result...)
		l.finish(id, end)
	}
	return nil
}

// countNotice records the number of a notice, and reports whether it is new. The executor holds each until the next subscription,
// so that it may arrive on two connections.
func (l *Client) countNotice(conn net.Conn, number uint64) (isNew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew = number > l.lastNotice
	l.lastNotice = max(l.lastNotice, number)
	if conn != nil && l.conn == conn {
		l.lastInput = time.Now()
	}
	return isNew
}

// takeSample takes the sample requested last. The first one of a connection implies that all notices from before it have been
// read: the connection is synced. An older sample, or one of a connection that was replaced, is ignored.
func (l *Client) takeSample(conn net.Conn, n notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	l.lastInput = time.Now()
	if string(n.tag) != sampleTag(l.sampleTag) {
		return
	}
	l.samplePending = false
	if !l.synced {
		l.synced = true
		for _, r := range l.runs { // it is unknown which of them the executor has read; those it knows are ignored there
			l.sendLaunch(r)
		}
	}
	select {
	case <-l.samples:
	default:
	}
	l.samples <- append([]float64(nil), n.gauges...)
}

// failUnreadable ends the run of a notice that cannot be parsed though its number can: the notice must not be read again on every
// connection, and the run that it ended has no result.
func (l *Client) failUnreadable(number uint64, id string) {
	if number != 0 && l.countNotice(nil, number) {
		l.finish(id, Outcome{End: dispatch.RunErrored})
	}
}

// finish ends a run; outcomes of runs that are not in flight are ignored.
func (l *Client) finish(id string, end Outcome) {
	l.mu.Lock()
	r := l.runs[id]
	delete(l.runs, id)
	l.mu.Unlock()
	if r != nil {
		r.done <- end
	}
}
