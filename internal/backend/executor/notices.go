package executor

import (
	"fmt"
	"log/slog"
	"net"
	"time"

	"milletbarrow/internal/backend/dispatch"
)

// read handles notices until the connection ends or a line cannot be parsed. greeted reports whether a greeting
// arrived.
func (c *Client) read(conn net.Conn) (greeted bool, err error) {
	r := newReader(conn, c.bounds.LineSize, c.bounds.ResultSize)
	var gauges []float64 // reused for each sample
	for {
		line, err := r.line()
		if err != nil {
			return greeted, err
		}
		n, err := parse(line, gauges[:0])
		if err != nil {
			if n.kind == outcome {
				c.failUnreadable(n.number, string(n.id))
			}
			return greeted, &lineError{line: string(line), err: err}
		}
		switch n.kind {
		case greeting:
			greeted = true
			c.handleGreeting(conn, n)
		case sampled:
			gauges = n.gauges
			c.handleSample(conn, n)
		case refusal:
			c.handleRefusal(n)
		case remark:
			c.handleRemark(n)
		case outcome:
			if err := c.handleOutcome(r, n); err != nil {
				return greeted, err
			}
		}
	}
}

// handleGreeting makes conn the connection in use, and closes the one that it replaces. It requests a sample, which
// follows the notices that the executor has stored.
func (c *Client) handleGreeting(conn net.Conn, n notice) {
	slog.Info("executor_up", "cold", n.cold, "ago_us", n.elapsed)
	c.onGreeting(n.cold, n.elapsed)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.everGreeted = true
	if c.next == conn {
		c.takeOver(conn)
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
// connections: the connection is synced. An older sample, or one on a connection not in use, is ignored.
func (c *Client) handleSample(conn net.Conn, n notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != conn {
		return
	}
	c.lastInput = time.Now()
	if string(n.tag) != sampleTag(c.sampling.tag) {
		return
	}
	c.sampling.pending = false
	if !c.synced {
		c.synced = true
		for _, run := range c.runs { // the executor ignores the launches that it has read before
			c.sendLaunch(run)
		}
	}
	select {
	case <-c.samples:
	default:
	}
	c.samples <- append([]float64(nil), n.gauges...) // nil if the sample has no gauges
}

// handleRefusal ends the run whose launch was refused.
func (c *Client) handleRefusal(n notice) {
	id := string(n.id)
	c.violations.Warn("executor_refusal", fmt.Errorf("%.20q %.20q", n.command, id))
	if string(n.command) == launchWord {
		c.finish(id, Outcome{End: dispatch.Unrunnable})
	}
}

// handleRemark counts a numbered remark if it is the next notice.
func (c *Client) handleRemark(n notice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.number == c.lastNotice+1 {
		c.lastNotice++
	}
}

// handleOutcome reads the result that follows an outcome, and ends its run unless the notice has been counted before.
func (c *Client) handleOutcome(r *reader, n notice) error {
	id := string(n.id) // copied, as reading the result changes the buffer
	end := Outcome{End: n.end}
	var err error
	if n.length <= c.bounds.ResultSize {
		end.Result, err = r.result(n.length)
	} else {
		tooLong := fmt.Errorf("%.20q: result of %d bytes exceeds %d", id, n.length, c.bounds.ResultSize)
		c.violations.Warn("executor_result", tooLong)
		end.End = dispatch.RunErrored
		err = r.discard(n.length)
	}
	if err != nil {
		return err
	}
	if !r.consumeCRLF() {
		c.failUnreadable(n.number, id)
		return fmt.Errorf("result of %d bytes: %w", n.length, errNoCRLF)
	}
	if c.countNotice(r.conn, n.number) {
		end.Result = append([]byte(nil), end.Result...) // the reader's buffer is reused
		c.finish(id, end)
	}
	return nil
}

// countNotice records the number of a notice that was read on conn, and reports whether it is new. The executor
// stores each notice until the next subscription, so that it may arrive on two connections. conn is nil if the notice
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

// failUnreadable ends the run of a notice that cannot be parsed except for its number and the run's ID. The notice is
// counted, so that the next connection does not bring it again.
func (c *Client) failUnreadable(number uint64, id string) {
	if number != 0 && c.countNotice(nil, number) {
		c.finish(id, Outcome{End: dispatch.RunErrored})
	}
}
