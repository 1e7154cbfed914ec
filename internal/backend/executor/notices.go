package executor

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"milletbarrow/internal/backend/dispatch"
)

// read handles messages until the connection ends or a line cannot be parsed. greeted reports whether a greeting
// arrived.
func (c *Client) read(conn net.Conn) (greeted bool, err error) {
	r := newReader(conn, c.bounds.LineSize, c.bounds.ResultSize)
	var gauges []float64 // reused for each sample
	for {
		line, err := r.line()
		if err != nil {
			return greeted, err
		}
		m, err := parse(line, gauges[:0])
		if err != nil {
			if m.kind == outcome {
				c.failMalformed(m.number, string(m.id))
			}
			return greeted, &lineError{line: string(line), err: err}
		}
		switch m.kind {
		case greeting:
			greeted = true
			c.handleGreeting(conn, m)
		case sampled:
			gauges = m.gauges
			c.handleSample(conn, m)
		case refusal:
			c.handleRefusal(m)
		case remark:
			c.handleRemark(m)
		case outcome:
			if err := c.handleOutcome(r, m); err != nil {
				return greeted, err
			}
		}
	}
}

// handleGreeting makes conn the connection in use, and closes the one that it replaces. It requests a sample, which
// the executor sends after the notices that it has stored.
func (c *Client) handleGreeting(conn net.Conn, m message) {
	slog.Info("executor_up", "cold", m.cold, "ago_us", m.elapsed)
	c.onGreeting(m.cold, m.elapsed)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.everGreeted = true
	if c.next == conn {
		c.replaceCurrent(conn)
	}
	if c.conn != conn {
		return
	}
	if c.previous != nil {
		_ = c.previous.Close()
	}
	c.sendSample()
}

// handleSample delivers the sample requested last. The first one on a connection follows all notices of earlier
// connections: the connection is then synced. An older sample, or one on a connection not in use, is ignored.
func (c *Client) handleSample(conn net.Conn, m message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.lastInput = time.Now()
	if string(m.tag) != sampleTag(c.sampling.tag) {
		return
	}
	c.sampling.pending = false
	if !c.synced {
		c.synced = true
		for _, run := range c.runs { // the executor ignores launches that it has already read
			c.sendLaunch(run)
		}
	}
	select {
	case <-c.samples:
	default:
	}
	c.samples <- append([]float64(nil), m.gauges...) // nil if the sample has no gauges
}

// handleRefusal ends the run whose launch was refused.
func (c *Client) handleRefusal(m message) {
	id := string(m.id)
	c.violations.Warn("executor_refusal", fmt.Errorf("executor refused command %.20q of run %.20q", m.command, id))
	if string(m.command) == launchWord {
		c.finish(id, Outcome{End: dispatch.Unrunnable})
	}
}

// handleRemark records the number of a remark if it is that of the next notice.
func (c *Client) handleRemark(m message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.number == c.lastNotice+1 {
		c.lastNotice++
	}
}

// handleOutcome reads the result that follows an outcome, and ends its run unless the notice is a repeat.
func (c *Client) handleOutcome(r *reader, m message) error {
	id := string(m.id) // copied, as reading the result changes the buffer
	end := Outcome{End: m.end}
	var err error
	if m.length <= c.bounds.ResultSize {
		end.Result, err = r.result(m.length)
	} else {
		tooLong := fmt.Errorf("%.20q: result of %d bytes exceeds %d", id, m.length, c.bounds.ResultSize)
		c.violations.Warn("executor_result", tooLong)
		end.End = dispatch.RunErrored
		err = r.discard(m.length)
	}
	if err != nil {
		return err
	}
	if !r.consumeCRLF() {
		c.failMalformed(m.number, id)
		return fmt.Errorf("result of %d bytes: %w", m.length, errNoCRLF)
	}
	if c.countNotice(r.conn, m.number) {
		end.Result = append([]byte(nil), end.Result...) // the reader's buffer is reused
		c.finish(id, end)
	}
	return nil
}

// countNotice records the number of a notice that was read on conn, and reports whether it is new. The executor
// stores notices until the next subscription, so that one may arrive on two connections. conn is nil if the notice
// could not be parsed.
func (c *Client) countNotice(conn net.Conn, number uint64) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew = number > c.lastNotice
	c.lastNotice = max(c.lastNotice, number)
	if conn != nil && c.conn == conn {
		c.lastInput = time.Now()
	}
	return isNew
}

// failMalformed ends the run of a notice of which only the number and the run's ID can be parsed. It records the
// number, so that the executor does not send the notice again on the next connection.
func (c *Client) failMalformed(number uint64, id string) {
	if number != 0 && c.countNotice(nil, number) {
		c.finish(id, Outcome{End: dispatch.RunErrored})
	}
}
