package server

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// retentionPriority orders connections by the cost of closing them, lowest first: see Server.evict.
type retentionPriority int

// The priorities.
const (
	neverValid retentionPriority = iota // has sent no valid frame, or is closed for writing
	idleLong                            // idle for longer than IdleAge
	justOpened                          // its peer may still send
	justUsed                            // its peer may use it again
	busy                                // has open streams or unwritten answers
	closed                              // waits for the poller to find its end
)

// evictionDivisor bounds the connections that are evicted at once, as a part of all.
const evictionDivisor = 32

// candidate is a connection that might be evicted.
type candidate struct {
	*conn

	priority retentionPriority
	since    time.Time // when it got this priority
}

// asCandidate returns the connection with its priority.
func (c *conn) asCandidate(now time.Time) candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	bounds := &c.server.bounds
	switch {
	case c.readClosed:
		return candidate{c, closed, now}
	case c.writeClosed:
		return candidate{c, neverValid, c.openedAt}
	case !c.sentValid && now.Sub(c.openedAt) > bounds.NewConnectionAge:
		return candidate{c, neverValid, c.openedAt}
	case !c.sentValid:
		return candidate{c, justOpened, c.openedAt}
	case c.idle() && now.Sub(c.lastUsed) > bounds.IdleAge:
		return candidate{c, idleLong, c.lastUsed}
	case c.idle():
		return candidate{c, justUsed, c.lastUsed}
	}
	return candidate{c, busy, now}
}

// candidates returns all connections in the order of their eviction.
func (s *Server) candidates(now time.Time) []candidate {
	conns := s.all()
	list := make([]candidate, 0, len(conns))
	for _, c := range conns {
		list = append(list, c.asCandidate(now))
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.since.Compare(b.since))
	})
	return list
}

// full reports whether the bound on connections is reached, with extra ones allowed beyond it.
func (s *Server) full(extra int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.bounds.Connections+extra
}

// evict closes connections to make capacity for a new one, and reports whether there is or will be any. It closes
// those that never sent a valid frame first, then those idle for longest, several at once, as finding them costs
// time. If there are none, it closes one that was just opened, or else one that was just used. It closes none with an
// open stream or unread input. So neither clients that open hundreds of connections and send nothing, nor callers
// that hold connections open forever, can exclude others.
func (s *Server) evict(now time.Time) bool {
	list := s.candidates(now)
	// A burst of new connections must not evict one more for each, while closed connections wait for the poller.
	firstClosed := slices.IndexFunc(list, func(c candidate) bool { return c.priority == closed })
	if firstClosed >= 0 && firstClosed < s.bounds.Connections {
		return true
	}
	evicted := 0
	for _, c := range list {
		enough := evicted > 0 && c.priority > idleLong || evicted > s.bounds.Connections/evictionDivisor
		if c.priority >= busy || enough {
			break
		}
		if c.evictUnlessUnread() {
			evicted++
		}
	}
	return evicted > 0
}

// Sweep checks all connections at intervals, until done is closed. It sends GoAway on those that are idle for longer
// than the dispatcher's idle timeout, and closes those that have expired.
func (s *Server) Sweep(done <-chan struct{}) {
	s.lastSweep = time.Now() // so that a stall before the first sweep is recognised
	tick := time.NewTicker(s.bounds.SweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		s.sweep(s.dispatcher.IdleTimeout())
	}
}

// sweep checks all connections once. idleTimeout is that of the dispatcher; 0: none.
func (s *Server) sweep(idleTimeout time.Duration) {
	now := time.Now()
	s.forgiveStall(now)
	maxIdle := s.maxIdle()
	for _, c := range s.all() {
		if since, idle := c.idleSince(); idle && idleTimeout > 0 && now.Sub(since) > idleTimeout {
			c.sendGoAway()
		}
		c.expire(now, maxIdle)
	}
	s.relieve(now)
}

// forgiveStall extends the deadlines of all connections if the process was stalled since the last sweep.
func (s *Server) forgiveStall(now time.Time) {
	late := now.Sub(s.lastSweep) - s.bounds.SweepInterval
	if !s.lastSweep.IsZero() && late > s.bounds.SweepInterval {
		for _, c := range s.all() {
			c.extendDeadlines(late)
		}
	}
	s.lastSweep = now
}

// maxIdle returns how long a connection may be idle before it is closed: longer than the deployment's callers leave
// it so.
func (s *Server) maxIdle() time.Duration {
	configured := s.settings.Admission.IdleTimeout
	if configured <= 0 {
		return math.MaxInt64
	}
	return configured.Duration() + s.bounds.FrameTimeout
}

// relieve sends GoAway on the connections that are idle for longest, as many as exceed the high-water mark. If
// callers leave these, none has to be closed, and no invocation crosses a close.
func (s *Server) relieve(now time.Time) {
	open, _ := s.Counts()
	if open <= s.bounds.ConnectionsHighWater {
		return
	}
	for _, c := range s.candidates(now) {
		if c.priority == idleLong && open > s.bounds.ConnectionsHighWater {
			c.sendGoAway()
		}
		open--
	}
}

// expire closes a connection on which no valid frame has arrived, or a frame has not ended, for FrameTimeout, and one
// that is idle for longer than maxIdle. It releases the output buffer of an idle one.
func (c *conn) expire(now time.Time, maxIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	bounds := &c.server.bounds
	idle := c.idle()
	switch {
	case c.writeClosed || c.closing:
	case !c.sentValid && now.Sub(c.openedAt) > bounds.FrameTimeout && !c.hasUnreadInput():
		c.closeExpired("silent")
	case !c.frameStart.IsZero() && now.Sub(c.frameStart) > bounds.FrameTimeout && !c.hasUnreadInput():
		c.closeExpired("unended")
	case idle && now.Sub(c.lastUsed) > maxIdle && !c.hasUnreadInput():
		c.shutdown()
	case idle && now.Sub(c.lastUsed) > bounds.SweepInterval:
		c.pending = nil
	}
}

// closeExpired logs a violation of this kind and closes the connection once all is answered. c.mu must be held.
func (c *conn) closeExpired(kind string) {
	c.server.violations.Warn(kind, nil)
	c.closing = true
	c.closeWriteIfDone()
}

// extendDeadlines moves the times of a connection by a span during which the process was stalled.
func (c *conn) extendDeadlines(span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openedAt = c.openedAt.Add(span)
	c.lastUsed = c.lastUsed.Add(span)
	if !c.frameStart.IsZero() {
		c.frameStart = c.frameStart.Add(span)
	}
}
