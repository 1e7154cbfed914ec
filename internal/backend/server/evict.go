package server

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// retentionPriority orders connections by the cost of closing them, lowest first: see Server.evict. A connection that was just
// opened may still send, and one that was just used may be used again.
type retentionPriority int

const (
	neverValid retentionPriority = iota
	resting
	justOpened
	justUsed
	busy
	leaving // closed, and only waits for the poller
)

// candidate is a connection that might be evicted, with its priority and since when it has it.
type candidate struct {
	*conn
	priority retentionPriority
	since    time.Time
}

// retention returns the priority of a connection, and since when it has it.
func (c *conn) retention(now time.Time) (retentionPriority, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.readClosed:
		return leaving, now
	case c.writeClosed: // and waits for its peer's end
		return neverValid, c.openedAt
	case !c.sentValid && now.Sub(c.openedAt) > c.server.bounds.NewConnectionAge:
		return neverValid, c.openedAt
	case !c.sentValid:
		return justOpened, c.openedAt
	case c.idle() && now.Sub(c.lastUsed) > c.server.bounds.IdleAge:
		return resting, c.lastUsed
	case c.idle():
		return justUsed, c.lastUsed
	}
	return busy, now
}

// byRetention lists all connections, those to evict first at the front.
func (s *Server) byRetention(now time.Time) []candidate {
	conns := s.all()
	list := make([]candidate, 0, len(conns))
	for _, c := range conns {
		priority, since := c.retention(now)
		list = append(list, candidate{c, priority, since})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.since.Compare(b.since))
	})
	return list
}

// full reports whether the bound on connections is reached, with so many more allowed that may be closing.
func (s *Server) full(extra int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.bounds.Connections+extra
}

// evict closes connections to make room, and reports whether there is or will be any: first those that never sent a valid frame,
// then those idle for longest, several at once, as finding them costs time; else one just opened, else one just used. It
// closes none with an open stream or unread input. So neither clients that connect by the hundred and send nothing, nor callers
// that hold connections open forever, can exclude others.
func (s *Server) evict(now time.Time) bool {
	evicted, list := 0, s.byRetention(now)
	firstLeaving := slices.IndexFunc(list, func(c candidate) bool { return c.priority == leaving })
	if firstLeaving >= 0 && firstLeaving < s.bounds.Connections { // these make room: a burst must not evict one more for each new connection
		return true
	}
	for _, c := range list {
		if c.priority >= busy || evicted > 0 && c.priority > resting || evicted > s.bounds.Connections/32 {
			break
		}
		if c.evictUnlessUnread() {
			evicted++
		}
	}
	return evicted > 0
}

// Sweep checks all connections at intervals, until done is closed: it asks callers to leave those that are idle for longer than
// the dispatcher wants, and closes those whose time is up.
func (s *Server) Sweep(done <-chan struct{}) {
	s.lastSweep = time.Now() // the process may be stalled before the first sweep too
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

// sweep checks all connections once; idleTimeout is how long the dispatcher lets them be idle, 0 for any time.
func (s *Server) sweep(idleTimeout time.Duration) {
	now := time.Now()
	if late := now.Sub(s.lastSweep) - s.bounds.SweepInterval; !s.lastSweep.IsZero() && late > s.bounds.SweepInterval {
		for _, c := range s.all() { // the process was stalled: that time is not counted against the peers
			c.extendDeadlines(late)
		}
	}
	s.lastSweep = now
	maxIdle := time.Duration(s.settings.Admission.IdleTimeout) * time.Microsecond
	if maxIdle += s.bounds.FrameTimeout; s.settings.Admission.IdleTimeout <= 0 {
		maxIdle = math.MaxInt64
	}
	for _, c := range s.all() {
		if since, idle := c.idleSince(); idle && idleTimeout > 0 && now.Sub(since) > idleTimeout {
			c.sendGoAway()
		}
		c.expire(now, maxIdle)
	}
	// As the table fills, callers are asked to leave the connections idle for longest before one has to be closed: those who
	// comply send nothing that crosses the close.
	if open, _ := s.Counts(); open > s.bounds.ConnectionsHighWater {
		for _, c := range s.byRetention(now) {
			if c.priority == resting && open > s.bounds.ConnectionsHighWater {
				c.sendGoAway()
			}
			open--
		}
	}
}

// expire closes a connection that has sent nothing valid, or not ended a frame, for too long, and one that is idle for longer
// than the deployment's callers are; it releases a buffer that is not in use.
func (c *conn) expire(now time.Time, maxIdle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, idle := &c.server.bounds, c.idle()
	switch {
	case c.writeClosed || c.closing:
	case !c.sentValid && now.Sub(c.openedAt) > b.FrameTimeout && !c.unread(): // with unread input the poller is behind
		c.server.violations.Warn("silent", nil)
		c.closing = true
		c.closeWriteIfDone()
	case !c.frameStart.IsZero() && now.Sub(c.frameStart) > b.FrameTimeout && !c.unread():
		c.server.violations.Warn("unended", nil)
		c.closing = true
		c.closeWriteIfDone()
	case idle && now.Sub(c.lastUsed) > maxIdle && !c.unread():
		c.shutdown()
	case idle && now.Sub(c.lastUsed) > b.SweepInterval:
		c.pending = nil
	}
}

// extendDeadlines moves the times of a connection by a span during which the process was stalled.
func (c *conn) extendDeadlines(span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openedAt, c.lastUsed = c.openedAt.Add(span), c.lastUsed.Add(span)
	if !c.frameStart.IsZero() {
		c.frameStart = c.frameStart.Add(span)
	}
}
