package server

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// retentionPriority orders connections by the cost of closing them. Those with the lowest are evicted first: see
// Server.evict.
type retentionPriority int

// The priorities, in ascending order.
const (
	neverValid     retentionPriority = iota // no valid frame for NewConnectionAge, or closed for writing
	longIdle                                // idle for longer than IdleAge
	recentlyOpened                          // has not sent a valid frame yet, but may still do so
	recentlyUsed                            // idle for up to IdleAge: the peer may use it again
	busy                                    // has open streams or unwritten answers
	closed                                  // shut down, and the poller has yet to detect it
)

// evictionDivisor limits how many connections are evicted at once: the limit on connections divided by it, plus one.
const evictionDivisor = 32

// evictionCandidate is a connection with its priority for eviction.
type evictionCandidate struct {
	*conn

	priority retentionPriority
	since    time.Time // start of the state behind the priority; the oldest is evicted first
}

// asEvictionCandidate returns the connection with its current priority.
func (c *conn) asEvictionCandidate(now time.Time) evictionCandidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	bounds := &c.server.bounds
	switch {
	case c.readClosed:
		return evictionCandidate{c, closed, now}
	case c.writeClosed:
		return evictionCandidate{c, neverValid, c.openedAt}
	case !c.sentValid && now.Sub(c.openedAt) > bounds.NewConnectionAge:
		return evictionCandidate{c, neverValid, c.openedAt}
	case !c.sentValid:
		return evictionCandidate{c, recentlyOpened, c.openedAt}
	case c.idle() && now.Sub(c.lastUsed) > bounds.IdleAge:
		return evictionCandidate{c, longIdle, c.lastUsed}
	case c.idle():
		return evictionCandidate{c, recentlyUsed, c.lastUsed}
	}
	return evictionCandidate{c, busy, now}
}

// evictionCandidates returns all connections, sorted in the order of eviction.
func (s *Server) evictionCandidates(now time.Time) []evictionCandidate {
	conns := s.openConnections()
	list := make([]evictionCandidate, 0, len(conns))
	for _, c := range conns {
		list = append(list, c.asEvictionCandidate(now))
	}
	slices.SortFunc(list, func(a, b evictionCandidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.since.Compare(b.since))
	})
	return list
}

// atConnectionLimit reports whether the number of connections has reached the limit plus extra.
func (s *Server) atConnectionLimit(extra int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.bounds.Connections+extra
}

// evict closes connections to make capacity for a new one, and reports whether there is or will be any. It first closes
// those without a valid frame, then those idle for longest. It closes several at once, because sorting all connections
// is expensive. If there are none of these, it closes one that was recently opened, or else one that was recently used.
// It never closes one with an open stream or unread input. Therefore neither clients that open hundreds of connections
// and send nothing, nor callers that keep connections open indefinitely, can lock out others.
func (s *Server) evict(now time.Time) bool {
	list := s.evictionCandidates(now)
	// While closed connections wait for the poller, a burst of new connections must not evict one more for each.
	firstClosed := slices.IndexFunc(list, func(c evictionCandidate) bool { return c.priority == closed })
	if firstClosed >= 0 && firstClosed < s.bounds.Connections {
		return true
	}
	evicted := 0
	for _, c := range list {
		enough := evicted > 0 && c.priority > longIdle || evicted > s.bounds.Connections/evictionDivisor
		if c.priority >= busy || enough {
			break
		}
		if c.evictUnlessUnread() {
			evicted++
		}
	}
	return evicted > 0
}

// Sweep checks all connections every SweepInterval until done is closed. It sends GoAway on those idle for longer than
// the dispatcher's idle timeout, and closes those that have expired.
func (s *Server) Sweep(done <-chan struct{}) {
	s.lastSweep = time.Now() // to detect a stall before the first sweep
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

// sweep checks all connections once. idleTimeout is the dispatcher's idle timeout; 0: none.
func (s *Server) sweep(idleTimeout time.Duration) {
	now := time.Now()
	s.compensateStall(now)
	maxIdle := s.maxIdle()
	for _, c := range s.openConnections() {
		if since, idle := c.idleSince(); idle && idleTimeout > 0 && now.Sub(since) > idleTimeout {
			c.sendGoAway()
		}
		c.closeIfExpired(now, maxIdle)
	}
	s.reduceIdleConnections(now)
}

// compensateStall extends the deadlines of all connections by the delay of this sweep, if the process was stalled since
// the previous one.
func (s *Server) compensateStall(now time.Time) {
	late := now.Sub(s.lastSweep) - s.bounds.SweepInterval
	if !s.lastSweep.IsZero() && late > s.bounds.SweepInterval {
		for _, c := range s.openConnections() {
			c.extendDeadlines(late)
		}
	}
	s.lastSweep = now
}

// maxIdle returns how long a connection may be idle before it is closed. It exceeds the idle timeout of the
// deployment's callers.
func (s *Server) maxIdle() time.Duration {
	configured := s.settings.Admission.IdleTimeout
	if configured <= 0 {
		return math.MaxInt64
	}
	return configured.Duration() + s.bounds.FrameTimeout
}

// reduceIdleConnections sends GoAway on the connections idle for longest, as many as exceed the high-water mark. If the
// callers close these, the server does not have to, and no invocation is sent on a connection that is being closed.
func (s *Server) reduceIdleConnections(now time.Time) {
	open, _ := s.Counts()
	if open <= s.bounds.ConnectionsHighWater {
		return
	}
	for _, c := range s.evictionCandidates(now) {
		if c.priority == longIdle && open > s.bounds.ConnectionsHighWater {
			c.sendGoAway()
		}
		open--
	}
}

// closeIfExpired closes a connection that has sent no valid frame within FrameTimeout, that has not completed a frame
// within FrameTimeout, or that is idle for longer than maxIdle. It releases the output buffer of an idle connection.
func (c *conn) closeIfExpired(now time.Time, maxIdle time.Duration) {
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

// closeExpired logs a violation of the given kind, and closes the connection once all open streams are answered.
// c.mu must be held.
func (c *conn) closeExpired(kind string) {
	c.server.violations.Warn(kind, nil)
	c.closing = true
	c.closeWriteIfDone()
}

// extendDeadlines moves the activity times of a connection forward by span, during which the process was stalled.
func (c *conn) extendDeadlines(span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openedAt = c.openedAt.Add(span)
	c.lastUsed = c.lastUsed.Add(span)
	if !c.frameStart.IsZero() {
		c.frameStart = c.frameStart.Add(span)
	}
}
